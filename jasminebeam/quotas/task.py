"""Rate limits of teams: timers, connections and waiting requests."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import math
import typing

import msgspec

from jasminebeam.peering import token_messages
from jasminebeam.quotas import limiter
from jasminebeam.quotas import team_state
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    import random

    from jasminebeam.membership import task as membership_task
    from jasminebeam.model import teams as team_model
    from jasminebeam.model import upstreams
    from jasminebeam.peering import base
    from jasminebeam.peering import control
    from jasminebeam.telemetry import metrics

Send = typing.Callable[['base.Message'], int]

# Time without a refusal after which the next one is logged again.
LIMITED_QUIET_MS = 10_000.0

# Peers whose connections are remembered for answers.
MAX_RETURN_PATHS = 512

# Connections to other nodes, and bytes a second that are sent. In simulations
# of 82 nodes with 83 teams at eight times their limits, the busiest node sent
# 13 kB a second (docs/CAPACITY.md).
MAX_LINKS = 128
BYTES_PER_S = 100_000.0

# Part of the time until further tokens by which `Retry-After` varies.
JITTER = 0.25

_ANSWERS = (token_messages.TokenGrant, token_messages.TokenSurplus)


class TeamLimitTask:
    """Owns the state of the rate limits of teams at one node.

    Messages are sent once in each iteration of the event loop. There is no
    timer unless requests or tokens are under way.

    Parameters
    ----------
    state : TeamLimiter
        The state machine.
    membership : MembershipTask
        Tells the addresses of members.
    clock : callable
        Returns a monotonic time in ms that goes on while the host is
        suspended, so that tokens expire meanwhile.
    generator : random.Random
        Spreads the retries of callers over time.
    log : EventLog
        Receives the start of a limitation, and silent coordinators.
    counters : Metrics
        Counts tokens.
    """

    def __init__(
        self,
        state: limiter.TeamLimiter,
        membership: membership_task.MembershipTask,
        clock: typing.Callable[[], float],
        generator: random.Random,
        log: events.EventLog,
        counters: metrics.Metrics,
    ) -> None:
        self._state = state
        self._membership = membership
        self._clock = clock
        self._generator = generator
        self._log = log
        self._counters = counters
        self._links: control.ControlLinks | None = None
        self._futures: dict[int, asyncio.Future[team_state.Decision]] = {}
        self._return_paths: collections.OrderedDict[str, Send] = (
            collections.OrderedDict()
        )
        self._is_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._refused_ms: dict[str, float] = {}

    def attach(self, links: control.ControlLinks) -> None:
        """Set the connections to send through."""
        self._links = links

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def configure(
        self,
        teams: tuple[team_model.Team, ...] | msgspec.UnsetType,
        revision: int,
    ) -> None:
        """Put the limits of the teams of a revision in force."""
        had_limits = self._state.has_limits
        self._counters.team_requests.limits_per_s = {
            team.name: team.rate_per_s
            for team in teams or ()
            if team.rate_per_s
        }
        self._state.has_peers = self._membership.has_seeds
        self._state.configure(
            () if teams is msgspec.UNSET else teams, self._clock()
        )
        if had_limits or self._state.has_limits:
            self._log.write(
                events.Event.TEAM_LIMITS_APPLIED,
                revision=revision,
                teams=self._state.limits,
                nodes=self._state.nodes(self._clock()),
            )
            self._schedule()

    def observe(self, member: upstreams.Member) -> None:
        """Record a changed member record."""
        self._state.observe(member, self._clock())

    async def acquire(self, team: str, left_ms: float) -> team_state.Decision:
        """Take a token for a request, and wait for it if necessary.

        Parameters
        ----------
        team : str
            Name of the request's team.
        left_ms : float
            Time until the caller's deadline.
        """
        self._state.has_peers = self._membership.has_seeds
        decision = self._state.take(team, self._clock())
        if self._state.has_work:
            self._schedule()
        if isinstance(decision, int):
            decision = await self._wait(decision, team, left_ms)
        if isinstance(decision, team_state.Refused):
            return self._refuse(team, decision)
        return decision

    def put_back(self, team: str, token: team_state.Admitted) -> None:
        """Return the token of a request that has not run."""
        if token.expires_ms is None:
            return
        self._state.put_back(team, token.expires_ms, self._clock())
        if self._state.has_work:
            self._schedule()

    def receive(
        self, message: base.Message, send: Send, size_bytes: int = 0
    ) -> None:
        """Process a message of another node.

        A size of 0 bytes means that the message is already counted.
        """
        if size_bytes:
            self._links.count_received(message, size_bytes)
        self._return_paths[message.node_id] = send
        self._return_paths.move_to_end(message.node_id)
        if len(self._return_paths) > MAX_RETURN_PATHS:
            self._return_paths.popitem(last=False)
        self._state.receive(message, self._clock())
        self._schedule()

    async def _wait(
        self, ticket: int, team: str, left_ms: float
    ) -> team_state.Decision:
        future: asyncio.Future[team_state.Decision] = (
            asyncio.get_running_loop().create_future()
        )
        self._futures[ticket] = future
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left_ms / 1_000):
                return await future
        return team_state.Refused(limiter.UNKNOWN_WAIT_MS)

    def _refuse(
        self, team: str, decision: team_state.Refused
    ) -> team_state.Refused:
        now_ms = self._clock()
        last_ms = self._refused_ms.get(team, -math.inf)
        self._refused_ms[team] = now_ms
        limit = self._state.limit(team)
        if now_ms - last_ms >= LIMITED_QUIET_MS and limit is not None:
            self._log.write(
                events.Event.TEAM_LIMITED,
                team=team,
                rate_per_s=limit.rate_per_s,
                burst=limit.burst,
                nodes=self._state.nodes(now_ms),
                wait_ms=round(decision.wait_ms),
            )
        jitter = 1.0 + JITTER * self._generator.random()
        return team_state.Refused(decision.wait_ms * jitter)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._is_scheduled = False
        now_ms = self._clock()
        for outgoing in self._state.flush(now_ms):
            self._send(outgoing, now_ms)
        decisions, self._state.decisions = self._state.decisions, []
        for decision in decisions:
            self._decide(decision)
        silent, self._state.silent = self._state.silent, []
        for team, node_id in silent:
            self._log.write(
                events.Event.TEAM_COORDINATOR_SILENT, team=team, node=node_id
            )
        for kind, amount in self._state.totals.take().items():
            self._counters.team_tokens.labels(kind).inc(amount)
        self._set_timer(now_ms)

    def _decide(self, decided: team_state.Decided) -> None:
        future = self._futures.pop(decided.ticket, None)
        if future is not None and not future.done():
            future.set_result(decided.decision)
        elif isinstance(decided.decision, team_state.Admitted):
            # The caller has left, or its time is over.
            self.put_back(decided.team, decided.decision)

    def _send(self, outgoing: team_state.Outgoing, now_ms: float) -> None:
        if isinstance(outgoing.message, _ANSWERS):
            send = self._return_paths.get(outgoing.node_id)
            if send is not None:
                self._links.send_within_budget(outgoing.message, send, now_ms)
                return
        member = self._membership.member(outgoing.node_id)
        if member is not None:
            self._links.send(member.address, outgoing.message, now_ms)

    def _set_timer(self, now_ms: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        next_ms = self._state.next_ms(now_ms)
        if next_ms < math.inf:
            delay_s = max(0.0, next_ms - now_ms) / 1_000
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._schedule)
