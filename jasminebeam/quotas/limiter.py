"""Rate limits of teams at one node: takes, asks for and passes on tokens."""

from __future__ import annotations

import math
import typing

from jasminebeam.peering import token_messages
from jasminebeam.quotas import amounts
from jasminebeam.quotas import coordinators
from jasminebeam.quotas import fleet_size
from jasminebeam.quotas import limit as limit_module
from jasminebeam.quotas import limited_teams
from jasminebeam.quotas import pool
from jasminebeam.quotas import share
from jasminebeam.quotas import team_state
from jasminebeam.quotas import totals

if typing.TYPE_CHECKING:
    from jasminebeam.model import teams as team_model
    from jasminebeam.model import upstreams
    from jasminebeam.peering import base

# Time after which the next coordinator is asked: the time for which it keeps
# a request, and round trips between regions with some delay of the processes.
# With 150 ms, half of the demand of one host was refused in three regions.
ASK_TIMEOUT_MS = 300.0

# Longest time that a request waits for a token. The next coordinator of the
# same region answers within it.
MAX_WAIT_MS = 450.0

# Wait that is told if no coordinator has answered, or if the coordinator
# does not know the team yet.
UNKNOWN_WAIT_MS = 250.0

# Requests of one team that wait for tokens at one node; further ones are
# refused at once, so that they hold no memory.
MAX_WAITING = 256

# A node that uses granted tokens asks for further ones when those left last
# for less than this time, if it uses at least one in it.
PREFETCH_MS = 50.0

# Demand for which a node asks ahead: granted tokens are used well before
# they expire.
AHEAD_MS = 100.0


class TeamLimiter:
    """State machine of the rate limits of teams; it does no input or output.

    Load pattern: teams send more than their limits, to any of the nodes, or
    less than their limits, unevenly.

    Call `take` for each request of a team and `receive` for each message.
    Call `flush` afterwards, and again at the time that `next_ms` returns;
    then send the messages and pass on the decisions.

    Parameters
    ----------
    node_id : str
        Name of the local node.
    size : FleetSize
        Counts the nodes.
    first_number : int
        First number of the node's messages; random, so that answers to a
        previous process of the node are not taken for answers to this one.
    """

    def __init__(
        self, node_id: str, size: fleet_size.FleetSize, first_number: int
    ) -> None:
        self._node_id = node_id
        self._size = size
        self._number = first_number
        self._teams: dict[str, team_state.TeamState] = {}
        self._coordinators = coordinators.Coordinators(node_id)
        # Teams with requests or tokens under way.
        self._active: set[str] = set()
        self._outgoing: list[team_state.Outgoing] = []
        self._ticket = 0
        self._history = limited_teams.LimitedTeams()
        self.has_peers = False
        self.totals = totals.TokenTotals()
        # Decisions on requests that waited.
        self.decisions: list[team_state.Decided] = []
        # Teams and coordinators that have not answered in time.
        self.silent: list[tuple[str, str]] = []

    @property
    def has_limits(self) -> bool:
        """True if any team has a limit."""
        return bool(self._teams)

    @property
    def limits(self) -> int:
        """Number of teams with a limit."""
        return len(self._teams)

    @property
    def has_work(self) -> bool:
        """True if `flush` has something to do."""
        return bool(self._active or self._outgoing or self.decisions)

    def nodes(self, now_ms: float) -> int:
        """Return the number of nodes; 0 while it is not known."""
        return self._size.nodes(self.has_peers, now_ms)

    def limit(self, team: str) -> limit_module.Limit | None:
        """Return the limit of a team; None if it has none."""
        state = self._teams.get(team)
        return None if state is None else state.share.limit

    def configure(
        self, teams: typing.Iterable[team_model.Team], now_ms: float
    ) -> None:
        """Put the limits of a revision in force.

        The requests of a team that no longer has a limit are admitted.
        """
        limits = {
            team.name: limit_module.Limit(team.rate_per_s, team.burst)
            for team in teams
            if team.rate_per_s > 0
        }
        for name in [name for name in self._teams if name not in limits]:
            state = self._teams.pop(name)
            self._active.discard(name)
            for waiting in state.waiting:
                self._decide(state, waiting.ticket, team_state.Admitted())
        is_new = self._history.replace(limits, now_ms)
        settled = self.nodes(now_ms) > 0
        age_ms = now_ms - self._size.settled_ms
        if not settled or age_ms < limit_module.WINDOW_MS:
            is_new = frozenset()
        for name, limit in limits.items():
            state = self._teams.get(name)
            if state is None:
                state = team_state.TeamState(
                    name,
                    share.Share(limit, self.totals, now_ms),
                    pool.Pool(limit, self.totals),
                )
                self._teams[name] = state
                self._resize(state, now_ms)
                if name in is_new:
                    state.share.fill()
            elif limit != state.share.limit:
                state.share.change(limit, now_ms)
                state.pool.change(limit)
                state.refused_until_ms = -math.inf
        self._coordinators.retain(self._teams)

    def observe(self, member: upstreams.Member, now_ms: float) -> None:
        """Record a changed member record; more nodes have smaller shares."""
        self._size.observe(member, now_ms)
        for state in self._teams.values():
            self._resize(state, now_ms)

    def take(self, team: str, now_ms: float) -> team_state.Decision | int:
        """Take a token for a request.

        Returns
        -------
        Admitted, Refused or int
            The decision, or the ticket of a request that waits for it.
        """
        state = self._teams.get(team)
        if state is None:
            return team_state.Admitted()
        self._resize(state, now_ms)
        state.share.record_demand(now_ms)
        if not state.waiting:
            expires_ms = state.share.take(now_ms)
            if expires_ms is not None:
                if self._is_running_out(state, now_ms):
                    self._active.add(team)
                return team_state.Admitted(expires_ms)
        if now_ms < state.refused_until_ms:
            return team_state.Refused(state.refused_until_ms - now_ms)
        if len(state.waiting) >= MAX_WAITING:
            return team_state.Refused(UNKNOWN_WAIT_MS)
        self._ticket += 1
        state.waiting.append(team_state.Waiting(self._ticket, now_ms))
        self._active.add(team)
        return self._ticket

    def put_back(self, team: str, expires_ms: float, now_ms: float) -> None:
        """Return the token of a request that has not run."""
        state = self._teams.get(team)
        if state is not None:
            state.share.put_back(expires_ms, now_ms)
            if state.waiting:
                self._active.add(team)

    def receive(self, message: base.Message, now_ms: float) -> None:
        """Process one received message."""
        self._coordinators.on_response(message.node_id)
        match message:
            case token_messages.TokenRequest():
                self._on_request(message, now_ms)
            case token_messages.TokenGrant():
                self._on_grant(message, now_ms)
            case token_messages.TokenCollection():
                self._on_collection(message, now_ms)
            case token_messages.TokenSurplus():
                self._on_surplus(message, now_ms)

    def flush(self, now_ms: float) -> list[team_state.Outgoing]:
        """Take the steps that are due; return the messages to send."""
        self._coordinators.update(self._size.live)
        remote: list[team_state.Outgoing] = []
        while True:
            self._step(now_ms)
            if not self._outgoing:
                break
            outgoing, self._outgoing = self._outgoing, []
            for item in outgoing:
                if item.node_id == self._node_id:
                    self.receive(item.message, now_ms)
                else:
                    remote.append(item)
        return remote

    def next_ms(self, now_ms: float) -> float:
        """Return the monotonic time of the next step; infinite if none."""
        return min(
            (
                self._next_of(self._teams[team], now_ms)
                for team in self._active
            ),
            default=math.inf,
        )

    def _next_of(self, state: team_state.TeamState, now_ms: float) -> float:
        next_ms = state.pool.next_ms(now_ms)
        if state.sent is not None:
            next_ms = min(next_ms, state.sent.sent_ms + ASK_TIMEOUT_MS)
        if state.waiting:
            next_ms = min(
                next_ms,
                state.waiting[0].since_ms + MAX_WAIT_MS,
                now_ms + state.share.refill_ms(now_ms),
            )
        return next_ms

    def _step(self, now_ms: float) -> None:
        for team in list(self._active):
            self._serve(team, now_ms)
        self._send_asks(now_ms)
        self._send_collections(now_ms)
        self._send_grants(now_ms)
        self._active = {
            team
            for team in self._active
            if self._next_of(self._teams[team], now_ms) < math.inf
        }

    def _resize(self, state: team_state.TeamState, now_ms: float) -> None:
        nodes = self.nodes(now_ms)
        state.share.resize(nodes, self._size.settled_ms, now_ms)

    def _is_running_out(
        self, state: team_state.TeamState, now_ms: float
    ) -> bool:
        """Return True if the node should ask before its tokens are used."""
        if state.sent is not None or now_ms < state.refused_until_ms:
            return False
        demand_per_s = state.share.demand_per_s(now_ms)
        needed = demand_per_s * PREFETCH_MS / 1_000
        if needed < 1.0 or demand_per_s <= state.share.generated_per_s:
            return False
        return state.share.held(now_ms) < needed

    def _serve(self, team: str, now_ms: float) -> None:
        """Admit waiting requests, and refuse those that waited too long."""
        state = self._teams[team]
        self._check_answer(team, state, now_ms)
        while state.waiting:
            expires_ms = state.share.take(now_ms)
            if expires_ms is None:
                break
            ticket = state.waiting.popleft().ticket
            self._decide(state, ticket, team_state.Admitted(expires_ms))
        if now_ms < state.refused_until_ms:
            self._refuse_all(state, state.refused_until_ms - now_ms)
        while (
            state.waiting and now_ms - state.waiting[0].since_ms >= MAX_WAIT_MS
        ):
            ticket = state.waiting.popleft().ticket
            self._decide(state, ticket, team_state.Refused(UNKNOWN_WAIT_MS))

    def _check_answer(
        self, team: str, state: team_state.TeamState, now_ms: float
    ) -> None:
        sent = state.sent
        if sent is None or now_ms - sent.sent_ms < ASK_TIMEOUT_MS:
            return
        state.sent = None
        self._coordinators.on_silent(sent.coordinator, now_ms)
        self.silent.append((team, sent.coordinator))

    def _decide(
        self,
        state: team_state.TeamState,
        ticket: int,
        decision: team_state.Decision,
    ) -> None:
        self.decisions.append(team_state.Decided(ticket, state.name, decision))

    def _refuse_all(self, state: team_state.TeamState, wait_ms: float) -> None:
        for waiting in state.waiting:
            self._decide(state, waiting.ticket, team_state.Refused(wait_ms))
        state.waiting.clear()

    def _send_asks(self, now_ms: float) -> None:
        wants: dict[str, list[token_messages.TokenWant]] = {}
        for team in self._active:
            state = self._teams[team]
            if state.sent is not None:
                continue
            if state.waiting or self._is_running_out(state, now_ms):
                coordinator = self._coordinators.choose(team, now_ms)
                state.sent = team_state.SentAsk(
                    self._number, coordinator, now_ms
                )
                wants.setdefault(coordinator, []).append(
                    self._want(team, state, now_ms)
                )
        for coordinator, parts in wants.items():
            self._send(
                coordinator,
                token_messages.TokenRequest(
                    self._number, self._node_id, tuple(parts)
                ),
            )
        if wants:
            self._number += 1

    def _want(
        self, team: str, state: team_state.TeamState, now_ms: float
    ) -> token_messages.TokenWant:
        held = state.share.counted(now_ms)
        demand_per_s = state.share.demand_per_s(now_ms)
        # The request that asks is part of the demand.
        ahead = max(0.0, demand_per_s * AHEAD_MS / 1_000 - 1.0)
        needed = max(0.0, 1.0 - held)
        wanted = max(needed, len(state.waiting) + ahead - held)
        return token_messages.TokenWant(
            team, amounts.from_tokens(needed), amounts.from_tokens(wanted)
        )

    def _on_request(
        self, message: token_messages.TokenRequest, now_ms: float
    ) -> None:
        unknown = []
        for want in message.wants:
            state = self._teams.get(want.team)
            if state is None:
                wait_ms = round(UNKNOWN_WAIT_MS)
                unknown.append(
                    token_messages.TokenGrantPart(want.team, 0, 0, wait_ms)
                )
                continue
            state.pool.ask(
                pool.Ask(
                    message.node_id,
                    message.number,
                    want.needed / amounts.UNIT,
                    want.wanted / amounts.UNIT,
                    now_ms,
                )
            )
            self._active.add(want.team)
        if unknown:
            self._send_grant(message.node_id, message.number, unknown)

    def _send_collections(self, now_ms: float) -> None:
        nodes = self.nodes(now_ms)
        nodes = nodes or len(self._coordinators.members)
        collected: dict[str, list[token_messages.TokenAmount]] = {}
        for team in self._active:
            chosen = self._teams[team].pool.collect(
                self._coordinators.members, nodes, self._number, now_ms
            )
            for node_id, amount in chosen.items():
                collected.setdefault(node_id, []).append(
                    token_messages.TokenAmount(
                        team, amounts.from_tokens(amount)
                    )
                )
        for node_id, parts in collected.items():
            self._send(
                node_id,
                token_messages.TokenCollection(
                    self._number, self._node_id, tuple(parts)
                ),
            )
        if collected:
            self._number += 1

    def _on_collection(
        self, message: token_messages.TokenCollection, now_ms: float
    ) -> None:
        parts = []
        for wanted in message.amounts:
            state = self._teams.get(wanted.team)
            if state is None:
                parts.append(token_messages.TokenAmount(wanted.team, 0))
                continue
            self._resize(state, now_ms)
            most = 0
            if state.sent is None or state.share.is_fractional:
                # Otherwise the node has counted on what it holds.
                most = math.floor(state.share.surplus(now_ms) * amounts.UNIT)
            amount = min(most, wanted.amount)
            state.share.give(amount / amounts.UNIT, now_ms)
            left = min(most - amount, amounts.MAX_AMOUNT)
            parts.append(token_messages.TokenAmount(wanted.team, amount, left))
        self._send(
            message.node_id,
            token_messages.TokenSurplus(
                message.number, self._node_id, tuple(parts)
            ),
        )

    def _on_surplus(
        self, message: token_messages.TokenSurplus, now_ms: float
    ) -> None:
        for part in message.amounts:
            state = self._teams.get(part.team)
            if state is not None:
                state.pool.collected(
                    message.node_id,
                    message.number,
                    part.amount / amounts.UNIT,
                    part.left / amounts.UNIT,
                    now_ms,
                )

    def _send_grants(self, now_ms: float) -> None:
        parts: dict[tuple[str, int], list[token_messages.TokenGrantPart]] = {}
        for team in self._active:
            for grant in self._teams[team].pool.grants(now_ms):
                key = (grant.ask.node_id, grant.ask.number)
                parts.setdefault(key, []).extend(
                    pool.grant_parts(team, grant, now_ms)
                )
        for (node_id, number), granted in parts.items():
            self._send_grant(node_id, number, granted)

    def _send_grant(
        self,
        node_id: str,
        number: int,
        parts: list[token_messages.TokenGrantPart],
    ) -> None:
        self._send(
            node_id,
            token_messages.TokenGrant(number, self._node_id, tuple(parts)),
        )

    def _on_grant(
        self, message: token_messages.TokenGrant, now_ms: float
    ) -> None:
        accepted: dict[str, team_state.TeamState] = {}
        for part in message.parts:
            state = self._teams.get(part.team)
            if state is None:
                continue
            if part.team not in accepted:
                sent = state.sent
                if sent is None or sent.number != message.number:
                    continue
                accepted[part.team] = state
                sent_ms = sent.sent_ms
                state.sent = None
            self._add_grant(state, part, sent_ms, now_ms)
            self._active.add(part.team)

    def _add_grant(
        self,
        state: team_state.TeamState,
        part: token_messages.TokenGrantPart,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        # The lifetime counts from the request, which was sent before the
        # coordinator answered it.
        state.share.add(part.amount / amounts.UNIT, sent_ms + part.lifetime_ms)
        if part.wait_ms:
            state.refused_until_ms = now_ms + part.wait_ms

    def _send(self, node_id: str, message: base.Message) -> None:
        self._outgoing.append(team_state.Outgoing(node_id, message))
