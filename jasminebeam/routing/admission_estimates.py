"""Chooses among upstreams by their estimated admission of a request."""

from __future__ import annotations

import dataclasses
import typing

from jasminebeam.admission import host_speed
from jasminebeam.routing import scoring
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.routing import table

# Greatest age at which a sample still shows whether the host is slow. The
# speed of a host changes a few times per second.
MAX_SAMPLE_AGE_MS = 20.0


# Age up to which a sample that shows no free slot speaks against an upstream
# of another region. It is in the order of the service times there and of the
# round trip between regions.
MAX_BUSY_SAMPLE_AGE_MS = 250.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEstimate:
    """What one upstream would do with a request.

    Parameters
    ----------
    state : UpstreamState
        The upstream, with its latest load sample.
    reason : Reason
        Why the upstream would refuse the request; ``NONE`` if it would
        accept it.
    wait_ms : float
        Expected time until the request would start there.
    """

    state: table.UpstreamState
    reason: verdict.Reason
    wait_ms: float

    @property
    def accepted(self) -> bool:
        """True if the upstream would accept the request."""
        return self.reason is verdict.Reason.NONE

    @property
    def immediate(self) -> bool:
        """True if the request would start immediately on a host that is fast.

        No other upstream of the same failure domain can do better.
        """
        return self.accepted and self.wait_ms <= 0 and not _is_slow(self.state)


def from_samples(
    states: typing.Iterable[table.UpstreamState], now_ms: float
) -> UpstreamEstimate | None:
    """Return an immediate estimate if a fresh sample shows a free slot.

    Load pattern: at a high rate of requests the answers arrive close
    together. Their load samples are as fresh as the reply to a query and
    cost no extra message.
    """
    for state in states:
        sample = state.sample
        if sample is None or now_ms - state.sample_ms > MAX_SAMPLE_AGE_MS:
            continue
        if not state.has_room(now_ms) or (
            state.is_limited and state.sent_since_sample
        ):
            continue
        load = sample.in_flight + sample.queued + state.sent_since_sample
        if load < sample.slots and not _is_slow(state):
            return UpstreamEstimate(state, verdict.Reason.NONE, 0.0)
    return None


def from_older_samples(
    states: typing.Iterable[table.UpstreamState], now_ms: float
) -> UpstreamEstimate | None:
    """Return an estimate for an upstream that is not known to be busy.

    Load pattern: the own region has no capacity left for a part of its load,
    and a query to another region takes as long as the request may wait. The
    known samples are then the only information.

    Parameters
    ----------
    states : iterable of UpstreamState
        Upstreams of other regions, the cheapest first.
    now_ms : float
        Monotonic time.
    """
    for state in states:
        if state.has_room(now_ms) and not _is_busy(state, now_ms):
            return UpstreamEstimate(state, verdict.Reason.NONE, 0.0)
    return None


def choose(
    estimates: typing.Iterable[UpstreamEstimate],
    cost_parameters: scoring.CostParameters,
) -> UpstreamEstimate | None:
    """Return the estimate with the earliest expected answer.

    Load pattern: all upstreams are busy or slow to different degrees,
    and the load samples from before the query are older than the latest
    change.
    """
    return min(
        (estimate for estimate in estimates if estimate.accepted),
        key=lambda estimate: _expected_ms(estimate, cost_parameters),
        default=None,
    )


def _expected_ms(
    estimate: UpstreamEstimate, cost_parameters: scoring.CostParameters
) -> float:
    state = estimate.state
    sample = state.sample
    service_ms = cost_parameters.default_service_ms
    if sample is not None:
        service_ms = sample.service_us / 1_000
        if not estimate.wait_ms:
            service_ms *= sample.slowness_percent / 100
    network_ms = state.round_trip_ms
    if not state.same_domain:
        network_ms += cost_parameters.other_domain_ms
    failure_ms = state.failure_rate * cost_parameters.failure_ms
    return network_ms + estimate.wait_ms + service_ms + failure_ms


def _is_slow(state: table.UpstreamState) -> bool:
    sample = state.sample
    return sample is not None and host_speed.is_slow(
        sample.slowness_percent / 100
    )


def _is_busy(state: table.UpstreamState, now_ms: float) -> bool:
    """Return True if a recent sample shows no free slot."""
    sample = state.sample
    if sample is None or now_ms - state.sample_ms > MAX_BUSY_SAMPLE_AGE_MS:
        # Requests that have been sent since then may fill the slots as well.
        return len(state.outstanding) >= max(1, state.member.slots)
    load = sample.in_flight + sample.queued + state.sent_since_sample
    return load >= sample.slots
