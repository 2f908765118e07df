"""Choosing among upstreams that have told what a request would get."""

from __future__ import annotations

import dataclasses
import typing

from jasminebeam.admission import host_speed
from jasminebeam.routing import scoring
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.routing import table

# A sample of this age still tells whether the host is slow: hosts change
# their speed some times a second.
FRESH_MS = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEstimate:
    """What one upstream would do with a request.

    Parameters
    ----------
    state : UpstreamState
        The upstream, with the sample that came with the quote.
    reason : Reason
        Why it would refuse; ``NONE`` if it would accept.
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
        """True if nothing better can be expected in the same domain."""
        return self.accepted and self.wait_ms <= 0 and not _is_slow(self.state)


def from_samples(
    states: typing.Iterable[table.UpstreamState], now_ms: float
) -> UpstreamEstimate | None:
    """Return an immediate quote if a fresh sample shows room.

    Load pattern: answers that follow each other closely bring samples that
    are as good as a question, and cost nothing.
    """
    for state in states:
        sample = state.sample
        if sample is None or now_ms - state.sample_ms > FRESH_MS:
            continue
        load = sample.in_flight + sample.queued + state.sent_since_sample
        if load < sample.slots and not _is_slow(state):
            return UpstreamEstimate(state, verdict.Reason.NONE, 0.0)
    return None


def choose(
    estimates: typing.Iterable[UpstreamEstimate],
    cost_parameters: scoring.CostParameters,
) -> UpstreamEstimate | None:
    """Return the quote with the earliest expected answer.

    Load pattern: all upstreams are busy or slow, each to another degree,
    and what was known of them is older than the change.
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
    way_ms = state.round_trip_ms
    if not state.same_domain:
        way_ms += cost_parameters.other_domain_ms
    failure_ms = state.failure_rate * cost_parameters.failure_ms
    return way_ms + estimate.wait_ms + service_ms + failure_ms


def _is_slow(state: table.UpstreamState) -> bool:
    sample = state.sample
    return sample is not None and host_speed.is_slow(
        sample.slowness_percent / 100
    )
