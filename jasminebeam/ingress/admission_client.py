"""Asks sidecars what a request would get before it is sent."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from jasminebeam.routing import admission_estimates
from jasminebeam.routing import scoring
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.ingress import sources
    from jasminebeam.model import requests
    from jasminebeam.peering import messages
    from jasminebeam.routing import table

# Sidecars of other failure domains asked at once: with a third of the
# hosts slow, one of three has room and speed in 24 of 25 cases.
WAVE_SIZE = 3

# Longest wait for replies beyond the round trip: a check of the host's
# speed and a busy event loop.
REPLY_SLACK_MS = 8.0
MIN_REPLY_MS = 5.0
MAX_REPLY_MS = 60.0

# Longest further wait for sidecars that have not replied, if all others
# refuse: three ways between failure domains open a connection.
LATE_REPLY_MS = 25.0

# For this time after all sidecars have refused, the answer is the same: a
# slot becomes free about as often, and many requests wait for it.
REFUSED_FOR_MS = 10.0

# Routes whose last refusal is kept; configurations bring new ones.
MAX_ROUTES = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    reason: verdict.Reason
    until_ms: float
    objective_left_ms: float
    time_left_ms: float

    def covers(self, call: requests.Call, now_ms: float) -> bool:
        """Return True if a call has no better chance than the one refused."""
        return (
            now_ms < self.until_ms
            and call.objective_ms - now_ms <= self.objective_left_ms
            and call.deadline_ms - now_ms <= self.time_left_ms
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """Where to send a request.

    Parameters
    ----------
    state : UpstreamState or None
        The upstream to send to; None if there is none to recommend.
    refusal : Reason
        Why all upstreams that replied would refuse; ``NONE`` if one would
        not, or if nobody has replied.
    asked : int
        Sidecars that were asked.
    wait_ms : float
        Expected time until the request starts.
    """

    state: table.UpstreamState | None
    refusal: verdict.Reason = verdict.Reason.NONE
    asked: int = 0
    wait_ms: float = 0.0


class AdmissionClient:
    """Finds the upstream that can serve a request best at this moment.

    Load pattern: hosts change their speed faster than requests follow each
    other, so that samples are stale; and under overload most sidecars
    refuse. A question costs some dozens of bytes, a refused request all of
    its own, so that sidecars are asked until one accepts or all refuse.

    Parameters
    ----------
    source : PeerSource
        Gives access to the sidecars.
    weights : Weights
        Parameters of the cost.
    clock : callable
        Returns the monotonic time in ms.
    """

    def __init__(
        self,
        source: sources.PeerSource,
        cost_parameters: scoring.CostParameters,
        clock: typing.Callable[[], float],
    ) -> None:
        self._source = source
        self._cost_parameters = cost_parameters
        self._clock = clock
        self._refusals: dict[tuple[str, str], _Refusal] = {}

    async def advise(
        self,
        call: requests.Call,
        ranked: typing.Sequence[table.UpstreamState],
    ) -> Advice:
        """Return where to send a call.

        Parameters
        ----------
        call : Call
            The request.
        ranked : sequence of UpstreamState
            Eligible upstreams, the cheapest by what is known first.
        """
        name = (call.service, call.route)
        started_ms = self._clock()
        refusal = self._refusals.get(name)
        if refusal is not None and refusal.covers(call, started_ms):
            return Advice(None, refusal.reason)
        replies = _Replies()
        try:
            asked = await self._ask_in_waves(call, ranked, replies)
        finally:
            replies.cancel()
        best = admission_estimates.choose(replies.found, self._cost_parameters)
        if best is not None:
            return Advice(best.state, asked=asked, wait_ms=best.wait_ms)
        if not replies.found:
            return Advice(None, asked=asked)
        reason = replies.found[0].reason
        self._note_refusal(name, call, reason, started_ms)
        return Advice(None, reason, asked)

    async def _ask_in_waves(
        self,
        call: requests.Call,
        ranked: typing.Sequence[table.UpstreamState],
        replies: _Replies,
    ) -> int:
        """Ask until a reply is as good as can be; return how many."""
        asked = 0
        for wave in _waves(ranked):
            known = admission_estimates.from_samples(wave, self._clock())
            if known is not None:
                replies.found.append(known)
                return asked
            asked += len(wave)
            self._ask(call, wave, replies)
            await replies.wait(_reply_ms(wave), self._clock)
            if replies.immediate:
                return asked
        if not replies.accepted:
            # Connections that are being opened take longer.
            await replies.wait(LATE_REPLY_MS, self._clock)
        return asked

    def _note_refusal(
        self,
        name: tuple[str, str],
        call: requests.Call,
        reason: verdict.Reason,
        asked_ms: float,
    ) -> None:
        if len(self._refusals) >= MAX_ROUTES:
            self._refusals.clear()
        self._refusals[name] = _Refusal(
            reason,
            self._clock() + REFUSED_FOR_MS,
            call.objective_ms - asked_ms,
            call.deadline_ms - asked_ms,
        )

    def _ask(
        self,
        call: requests.Call,
        wave: typing.Sequence[table.UpstreamState],
        replies: _Replies,
    ) -> None:
        for state in wave:
            member = state.member
            peer = self._source.peer(member.node_id, member.address)
            replies.expect(peer.query_admission(call), state)


class _Replies:
    """Replies of the sidecars that were asked for one request."""

    def __init__(self) -> None:
        self.found: list[admission_estimates.UpstreamEstimate] = []
        self._pending: dict[
            asyncio.Future[messages.AdmissionReply], table.UpstreamState
        ] = {}

    @property
    def immediate(self) -> bool:
        """True if a quote is as good as can be."""
        return any(estimate.immediate for estimate in self.found)

    @property
    def accepted(self) -> bool:
        """True if a sidecar would accept the request."""
        return any(estimate.accepted for estimate in self.found)

    def expect(
        self,
        reply: asyncio.Future[messages.AdmissionReply],
        state: table.UpstreamState,
    ) -> None:
        """Wait for one more reply."""
        self._pending[reply] = state

    async def wait(
        self, longest_ms: float, clock: typing.Callable[[], float]
    ) -> None:
        """Return when all have replied, one well, or after a time."""
        until_ms = clock() + longest_ms
        while self._pending and not self.immediate:
            left_ms = max(0.0, until_ms - clock())
            done, _ = await asyncio.wait(
                self._pending,
                timeout=left_ms / 1_000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                return
            # In the order of asking: sets have none.
            for reply in [reply for reply in self._pending if reply in done]:
                state = self._pending.pop(reply)
                if not reply.cancelled():
                    self.found.append(_quote_from(state, reply.result()))

    def cancel(self) -> None:
        """Stop waiting."""
        for reply in self._pending:
            reply.cancel()


def _waves(
    ranked: typing.Sequence[table.UpstreamState],
) -> typing.Iterator[list[table.UpstreamState]]:
    """Yield the own domain's upstreams, then some others at a time."""
    near = [state for state in ranked if state.same_domain]
    far = [state for state in ranked if not state.same_domain]
    for states in (near, far):
        for start in range(0, len(states), WAVE_SIZE):
            yield states[start : start + WAVE_SIZE]


def _reply_ms(states: typing.Sequence[table.UpstreamState]) -> float:
    slowest_ms = max((state.round_trip_ms for state in states), default=0.0)
    return min(MAX_REPLY_MS, max(MIN_REPLY_MS, slowest_ms + REPLY_SLACK_MS))


def _quote_from(
    state: table.UpstreamState, reply: messages.AdmissionReply
) -> admission_estimates.UpstreamEstimate:
    return admission_estimates.UpstreamEstimate(
        state, verdict.Reason(reply.reason), reply.wait_us / 1_000
    )
