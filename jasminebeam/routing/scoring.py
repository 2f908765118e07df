"""Expected cost of sending a request to an upstream."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from jasminebeam.routing import table


# Tells upstreams with free slots apart by how busy they are.
_BUSY_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CostParameters:
    """Parameters of the cost.

    Parameters
    ----------
    default_service_ms : float
        Service time of an upstream without a sample.
    stale_ms : float
        Age at which a sample counts for half; it then decays towards
        the mean of the other upstreams.
    failure_ms : float
        Cost of an upstream whose attempts all fail.
    stall_ratio : float
        An oldest request older than this multiple of the service time
        tells that the upstream has slowed down.
    cold_factor : float
        Largest multiple of the service time during a cold start.
    other_domain_ms : float
        What a request to another failure domain costs, told as a wait
        that is accepted in its place.
    """

    default_service_ms: float = 5.0
    stale_ms: float = 200.0
    failure_ms: float = 500.0
    stall_ratio: float = 3.0
    cold_factor: float = 5.0
    other_domain_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Means:
    """Mean load per slot, service time and slowness of some upstreams."""

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
    """Return the expected completion time with failures priced in.

    Parameters
    ----------
    state : UpstreamState
        The upstream.
    means : Means
        Values that stale samples decay towards.
    weights : Weights
        Parameters of the cost.
    now_ms, wall_ms : float
        Monotonic and wall-clock time.
    """
    slots = max(1, state.member.slots)
    if state.sample is None:
        load = means.load_per_slot * slots + len(state.outstanding)
        service_ms = means.service_ms
    else:
        load, service_ms = _from_sample(state, means, cost_parameters, now_ms)
    service_ms *= _cold_factor(state, cost_parameters, wall_ms)
    load = max(load, float(len(state.outstanding)))
    wait_ms = max(0.0, load + 1 - slots) * service_ms / slots
    busy_ms = load / slots * service_ms * _BUSY_SHARE
    failure_ms = state.failure_rate * cost_parameters.failure_ms
    way_ms = state.round_trip_ms
    if not state.same_domain:
        way_ms += cost_parameters.other_domain_ms
    return way_ms + service_ms + wait_ms + busy_ms + failure_ms


def _from_sample(
    state: table.UpstreamState,
    means: Means,
    cost_parameters: CostParameters,
    now_ms: float,
) -> tuple[float, float]:
    """Return load and service time; an old sample decays to the means."""
    sample = state.sample
    age_ms = now_ms - state.sample_ms
    trust = cost_parameters.stale_ms / (cost_parameters.stale_ms + age_ms)
    mean_load = means.load_per_slot * max(1, state.member.slots)
    load = trust * (sample.in_flight + sample.queued)
    load += (1 - trust) * mean_load + state.sent_since_sample
    service_ms = trust * sample.service_us / 1_000
    service_ms += (1 - trust) * means.service_ms
    slowness = trust * sample.slowness_percent / 100
    service_ms *= slowness + (1 - trust) * means.slowness
    return load, _stalled_ms(state, service_ms, cost_parameters, now_ms)


def _stalled_ms(
    state: table.UpstreamState,
    service_ms: float,
    cost_parameters: CostParameters,
    now_ms: float,
) -> float:
    oldest_ms = state.own_oldest_ms(now_ms) - state.round_trip_ms
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
    left = 1.0 - max(0.0, progress)
    return 1.0 + (cost_parameters.cold_factor - 1.0) * left
