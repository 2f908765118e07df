"""Queries sidecars for admission before a request is sent."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from jasminebeam.ingress import query_budget
from jasminebeam.routing import admission_estimates
from jasminebeam.routing import scoring
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.ingress import peer_provider
    from jasminebeam.model import requests
    from jasminebeam.peering import messages
    from jasminebeam.routing import table

# Sidecars that are queried at the same time. If a third of the hosts is
# slow, at least one of three hosts in other failure domains has a free slot
# and runs at its normal speed in 24 of 25 cases.
BATCH_SIZE = 3

# Time that a reply may take beyond the round trip. It covers the sidecar's
# check of its host's speed and the delay of a busy event loop.
REPLY_SLACK_MS = 8.0
MIN_REPLY_TIMEOUT_MS = 5.0
MAX_REPLY_TIMEOUT_MS = 60.0

# Additional time for outstanding replies if no sidecar has accepted so far.
# Opening a connection takes three one-way trips between failure domains.
LATE_REPLY_TIMEOUT_MS = 25.0

# Lifetime of a cached refusal. About one slot becomes free in this time, and
# many requests compete for it, so that a new query would be refused too.
REFUSAL_LIFETIME_MS = 10.0

# Time for which the replies to the queries of one request are used for its
# further attempts. It covers a refused attempt in another failure domain.
SURVEY_LIFETIME_MS = 60.0

# Routes and teams with a cached refusal. New configurations add both, so the
# number must be bounded.
MAX_REFUSALS = 1_024

# Service, route, team and allowed regions.
_RefusalKey = tuple[str, str, str, frozenset[str] | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedRefusal:
    reason: verdict.Reason
    expires_ms: float
    objective_left_ms: float
    time_left_ms: float

    def applies_to(self, call: requests.Call, now_ms: float) -> bool:
        """Return True if a call has no more time than the refused one.

        A refusal that has expired applies to no call.
        """
        return (
            now_ms < self.expires_ms
            and call.objective_ms - now_ms <= self.objective_left_ms
            and call.deadline_ms - now_ms <= self.time_left_ms
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Survey:
    """Replies to the queries of one request.

    Parameters
    ----------
    estimates : tuple of UpstreamEstimate
        What the sidecars would do with the request.
    taken_ms : float
        Monotonic time of the last reply.
    """

    estimates: tuple[admission_estimates.UpstreamEstimate, ...]
    taken_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Recommendation:
    """Where to send a request.

    Parameters
    ----------
    state : UpstreamState or None
        The upstream to send to; None if there is no recommendation.
    refusal : Reason
        Why all sidecars that replied would refuse the request; ``NONE``
        if at least one would accept it, or if no sidecar has replied.
        A cached refusal counts as a reply.
    queried : int
        Number of sidecars that were queried.
    wait_ms : float
        Expected time until the request starts.
    survey : Survey or None
        The replies, for the next attempt of the same request.
    """

    state: table.UpstreamState | None
    refusal: verdict.Reason = verdict.Reason.NONE
    queried: int = 0
    wait_ms: float = 0.0
    survey: Survey | None = None


class AdmissionClient:
    """Finds the upstream that can currently serve a request best.

    Load pattern: the speed of hosts changes faster than requests arrive,
    so that load samples are stale. Under overload most sidecars refuse.
    A query costs a few dozen bytes, whereas a refused request costs its
    full size. Sidecars are therefore queried until one can start the
    request immediately, or until the budget for other domains is used up.

    Parameters
    ----------
    provider : PeerProvider
        Gives access to the sidecars.
    cost_parameters : CostParameters
        Parameters of the cost estimate.
    clock : callable
        Returns the monotonic time in ms.
    """

    def __init__(
        self,
        provider: peer_provider.PeerProvider,
        cost_parameters: scoring.CostParameters,
        clock: typing.Callable[[], float],
    ) -> None:
        self._peer_provider = provider
        self._cost_parameters = cost_parameters
        self._clock = clock
        # A team that uses much is refused where one within its share is not,
        # and upstreams of other regions may not be full.
        self._refusals: dict[_RefusalKey, _CachedRefusal] = {}
        self._budget = query_budget.QueryBudget()

    async def recommend(
        self,
        call: requests.Call,
        ranked: typing.Sequence[table.UpstreamState],
        last_resort: typing.Sequence[table.UpstreamState] = (),
        survey: Survey | None = None,
    ) -> Recommendation:
        """Return where to send a call.

        Parameters
        ----------
        call : Call
            The request.
        ranked : sequence of UpstreamState
            Eligible upstreams, ordered by their cost according to the
            known load samples, the cheapest first.
        last_resort : sequence of UpstreamState
            Upstreams that are queried if none of the others accepts.
        survey : Survey or None
            Replies to the queries of the previous attempt.
        """
        if survey is not None:
            known = self._from_survey(survey, ranked)
            if known is not None:
                return known
        refusal_key = (
            call.service,
            call.route,
            call.team,
            call.allowed_regions,
        )
        started_ms = self._clock()
        refusal = self._refusals.get(refusal_key)
        if refusal is not None and refusal.applies_to(call, started_ms):
            return Recommendation(None, refusal.reason)
        self._budget.deposit()
        replies = _Replies()
        try:
            queried = await self._query_in_batches(call, ranked, replies)
            if last_resort and not replies.any_accepted:
                queried += await self._query_in_batches(
                    call, last_resort, replies
                )
        finally:
            replies.cancel_pending()
        best = admission_estimates.choose(
            replies.estimates, self._cost_parameters
        )
        if best is not None:
            return Recommendation(
                best.state,
                queried=queried,
                wait_ms=best.wait_ms,
                survey=Survey(tuple(replies.estimates), self._clock()),
            )
        if not replies.estimates:
            return Recommendation(None, queried=queried)
        reason = replies.estimates[0].reason
        self._cache_refusal(refusal_key, call, reason, started_ms)
        return Recommendation(None, reason, queried)

    def _from_survey(
        self,
        survey: Survey,
        ranked: typing.Sequence[table.UpstreamState],
    ) -> Recommendation | None:
        """Return the best of the known estimates that is still eligible.

        Load pattern: under overload, the sidecar that was chosen has filled
        up since its reply, and the others have hardly changed.
        """
        if self._clock() - survey.taken_ms > SURVEY_LIFETIME_MS:
            return None
        best = admission_estimates.choose(
            (
                estimate
                for estimate in survey.estimates
                if estimate.state in ranked
            ),
            self._cost_parameters,
        )
        if best is None:
            return None
        return Recommendation(best.state, wait_ms=best.wait_ms, survey=survey)

    def _queryable(
        self, ranked: typing.Sequence[table.UpstreamState]
    ) -> list[table.UpstreamState]:
        """Return the upstreams of the region whose sidecars may be queried.

        Those of other failure domains are the cheapest that the budget
        allows.
        """
        local = [state for state in ranked if state.same_region]
        other = sum(not state.same_domain for state in local)
        excess = other - self._budget.allowance(BATCH_SIZE)
        if excess <= 0:
            return local
        kept = []
        for state in reversed(local):
            if excess > 0 and not state.same_domain:
                excess -= 1
            else:
                kept.append(state)
        return kept[::-1]

    async def _query_in_batches(
        self,
        call: requests.Call,
        ranked: typing.Sequence[table.UpstreamState],
        replies: _Replies,
    ) -> int:
        """Query until a sidecar can start the request immediately.

        If no sidecar can, all that the budget allows are queried.

        Sidecars of other regions are not queried: the reply would take longer
        than most requests may wait. They are chosen by their load samples, and
        only if no sidecar of the own region accepts the request.

        Returns
        -------
        int
            Number of sidecars that were queried.
        """
        queried = 0
        for batch in _batches(self._queryable(ranked)):
            sampled = admission_estimates.from_samples(batch, self._clock())
            if sampled is not None:
                replies.estimates.append(sampled)
                return queried
            queried += len(batch)
            self._query(call, batch, replies)
            await replies.wait(_reply_timeout_ms(batch), self._clock)
            if replies.any_immediate:
                return queried
        if not replies.any_accepted:
            # Replies over connections that are being opened arrive later.
            await replies.wait(LATE_REPLY_TIMEOUT_MS, self._clock)
        if not replies.any_accepted:
            remote = [state for state in ranked if not state.same_region]
            sampled = admission_estimates.from_older_samples(
                remote, self._clock()
            )
            if sampled is not None:
                replies.estimates.append(sampled)
        return queried

    def _cache_refusal(
        self,
        refusal_key: _RefusalKey,
        call: requests.Call,
        reason: verdict.Reason,
        queried_ms: float,
    ) -> None:
        if len(self._refusals) >= MAX_REFUSALS:
            self._refusals.clear()
        self._refusals[refusal_key] = _CachedRefusal(
            reason,
            self._clock() + REFUSAL_LIFETIME_MS,
            call.objective_ms - queried_ms,
            call.deadline_ms - queried_ms,
        )

    def _query(
        self,
        call: requests.Call,
        batch: typing.Sequence[table.UpstreamState],
        replies: _Replies,
    ) -> None:
        if not batch[0].same_domain:
            self._budget.spend(len(batch))
        for state in batch:
            member = state.member
            peer = self._peer_provider.peer(member.node_id, member.address)
            replies.add_pending(peer.query_admission(call), state)


class _Replies:
    """Replies of the sidecars that were queried for one request."""

    def __init__(self) -> None:
        self.estimates: list[admission_estimates.UpstreamEstimate] = []
        self._pending: dict[
            asyncio.Future[messages.AdmissionReply], table.UpstreamState
        ] = {}

    @property
    def any_immediate(self) -> bool:
        """True if a sidecar can start the request immediately."""
        return any(estimate.immediate for estimate in self.estimates)

    @property
    def any_accepted(self) -> bool:
        """True if a sidecar would accept the request."""
        return any(estimate.accepted for estimate in self.estimates)

    def add_pending(
        self,
        reply: asyncio.Future[messages.AdmissionReply],
        state: table.UpstreamState,
    ) -> None:
        """Register the future reply of one sidecar."""
        self._pending[reply] = state

    async def wait(
        self, timeout_ms: float, clock: typing.Callable[[], float]
    ) -> None:
        """Wait for all replies, an immediate acceptance or the timeout."""
        until_ms = clock() + timeout_ms
        while self._pending and not self.any_immediate:
            left_ms = max(0.0, until_ms - clock())
            done, _ = await asyncio.wait(
                self._pending,
                timeout=left_ms / 1_000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                return
            # Keep the order of the queries: a set has no defined order.
            for reply in [reply for reply in self._pending if reply in done]:
                state = self._pending.pop(reply)
                if not reply.cancelled():
                    self.estimates.append(
                        _estimate_from(state, reply.result())
                    )

    def cancel_pending(self) -> None:
        """Cancel the outstanding replies."""
        for reply in self._pending:
            reply.cancel()


def _batches(
    ranked: typing.Sequence[table.UpstreamState],
) -> typing.Iterator[list[table.UpstreamState]]:
    """Yield batches; upstreams in the same failure domain come first."""
    same_domain = [state for state in ranked if state.same_domain]
    other_domains = [state for state in ranked if not state.same_domain]
    for states in (same_domain, other_domains):
        for start in range(0, len(states), BATCH_SIZE):
            yield states[start : start + BATCH_SIZE]


def _reply_timeout_ms(states: typing.Sequence[table.UpstreamState]) -> float:
    slowest_ms = max((state.round_trip_ms for state in states), default=0.0)
    return min(
        MAX_REPLY_TIMEOUT_MS,
        max(MIN_REPLY_TIMEOUT_MS, slowest_ms + REPLY_SLACK_MS),
    )


def _estimate_from(
    state: table.UpstreamState, reply: messages.AdmissionReply
) -> admission_estimates.UpstreamEstimate:
    return admission_estimates.UpstreamEstimate(
        state, verdict.Reason(reply.reason), reply.wait_us / 1_000
    )
