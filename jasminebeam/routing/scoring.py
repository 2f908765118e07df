"""Estimates the cost of sending a request to an upstream."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from jasminebeam.routing import table


# Weight of the utilization in the cost. It makes the cost of upstreams with
# free slots differ by their load.
_UTILIZATION_WEIGHT = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CostParameters:
    """Parameters of the cost estimate.

    Parameters
    ----------
    default_service_ms : float
        Service time of an upstream without a sample.
    half_weight_age_ms : float
        Age at which a sample counts for half. The older a sample is, the
        closer the estimate is to the mean of the upstreams.
    failure_ms : float
        Cost that is added for an upstream whose attempts all fail.
    stall_ratio : float
        Multiple of the service time. If the oldest request in flight is
        older, the upstream has slowed down.
    cold_factor : float
        Multiple of the service time when a cold start begins; it falls
        linearly to 1 by the end of the cold start.
    other_domain_ms : float
        Additional time that a request may wait in the node's failure
        domain before another failure domain is preferred.
    """

    default_service_ms: float = 5.0
    half_weight_age_ms: float = 200.0
    failure_ms: float = 500.0
    stall_ratio: float = 3.0
    cold_factor: float = 5.0
    other_domain_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Means:
    """Mean load per slot, service time and slowness of upstreams.

    The slowness of a host is the service time as a multiple of the service
    time at normal speed.
    """

    load_per_slot: float
    service_ms: float
    slowness: float = 1.0


def compute_means(
    states: typing.Sequence[table.UpstreamState],
    cost_parameters: CostParameters,
) -> Means:
    """Return the means over the upstreams that have a sample."""
    loads = 0.0
    service_ms = 0.0
    slowness = 0.0
    count = 0
    for state in states:
        sample = state.sample
        if sample is None or not sample.slots:
            continue
        loads += (sample.in_flight + sample.queued) / sample.slots
        service_ms += sample.service_us / 1_000
        slowness += sample.slowness_percent / 100
        count += 1
    if not count:
        return Means(0.0, cost_parameters.default_service_ms)
    return Means(loads / count, service_ms / count, slowness / count)


def estimate_cost_ms(
    state: table.UpstreamState,
    means: Means,
    cost_parameters: CostParameters,
    now_ms: float,
    wall_ms: float,
) -> float:
    """Return the expected completion time plus the cost of failures.

    Parameters
    ----------
    state : UpstreamState
        The upstream.
    means : Means
        Values that the estimates of old samples decay towards.
    cost_parameters : CostParameters
        Parameters of the cost estimate.
    now_ms, wall_ms : float
        Monotonic and wall-clock time.
    """
    slots = max(1, state.member.slots)
    if state.sample is None:
        load = means.load_per_slot * slots + len(state.outstanding)
        service_ms = means.service_ms
    else:
        load, service_ms = _estimate_from_sample(
            state, means, cost_parameters, now_ms
        )
    service_ms *= _cold_factor(state, cost_parameters, wall_ms)
    load = max(load, float(len(state.outstanding)))
    wait_ms = max(0.0, load + 1 - slots) * service_ms / slots
    utilization_ms = load / slots * service_ms * _UTILIZATION_WEIGHT
    failure_ms = state.failure_rate * cost_parameters.failure_ms
    network_ms = state.round_trip_ms
    if not state.same_domain:
        network_ms += cost_parameters.other_domain_ms
    return network_ms + service_ms + wait_ms + utilization_ms + failure_ms


def _estimate_from_sample(
    state: table.UpstreamState,
    means: Means,
    cost_parameters: CostParameters,
    now_ms: float,
) -> tuple[float, float]:
    """Return load and service time; old samples decay to the means."""
    sample = state.sample
    age_ms = now_ms - state.sample_ms
    sample_weight = cost_parameters.half_weight_age_ms / (
        cost_parameters.half_weight_age_ms + age_ms
    )
    mean_load = means.load_per_slot * max(1, state.member.slots)
    load = sample_weight * (sample.in_flight + sample.queued)
    load += (1 - sample_weight) * mean_load + state.sent_since_sample
    service_ms = sample_weight * sample.service_us / 1_000
    service_ms += (1 - sample_weight) * means.service_ms
    slowness = sample_weight * sample.slowness_percent / 100
    service_ms *= slowness + (1 - sample_weight) * means.slowness
    return load, _service_ms_if_stalled(
        state, service_ms, cost_parameters, now_ms
    )


def _service_ms_if_stalled(
    state: table.UpstreamState,
    service_ms: float,
    cost_parameters: CostParameters,
    now_ms: float,
) -> float:
    oldest_ms = state.oldest_outstanding_ms(now_ms) - state.round_trip_ms
    oldest_ms = max(oldest_ms, state.sample.oldest_us / 1_000)
    if oldest_ms > cost_parameters.stall_ratio * service_ms:
        return oldest_ms
    return service_ms


def _cold_factor(
    state: table.UpstreamState, cost_parameters: CostParameters, wall_ms: float
) -> float:
    cold_start_ms = state.member.cold_start_ms
    if not cold_start_ms:
        return 1.0
    progress = (wall_ms - state.member.ready_ms) / cold_start_ms
    if progress >= 1.0:
        return 1.0
    remaining = 1.0 - max(0.0, progress)
    return 1.0 + (cost_parameters.cold_factor - 1.0) * remaining
