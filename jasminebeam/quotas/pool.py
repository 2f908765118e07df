"""Tokens of one team that its coordinator collects and grants."""

from __future__ import annotations

import dataclasses
import heapq
import math
import typing

from jasminebeam.peering import token_messages
from jasminebeam.quotas import amounts
from jasminebeam.quotas import limit as limit_module
from jasminebeam.quotas import share
from jasminebeam.quotas import totals

# Time for which a coordinator waits for the surplus of a member. A round
# trip between two regions takes 60 ms.
COLLECT_TIMEOUT_MS = 90.0

# Time for which a request is kept while its tokens are collected: two
# collections, since members may have less than expected.
HOLD_MS = 170.0

# Time for which a request is kept, whether or not tokens are under way, while
# the demand is near the limit: the requests of a burst then wait for the
# tokens that are generated next. A request waits for less than
# `limiter.ASK_TIMEOUT_MS`, also between regions.
QUEUE_MS = 240.0

# Part of the demand that the rate must cover for requests to wait so. Beyond
# it, further tokens do not suffice for those that wait.
NEAR_LIMIT_RATIO = 0.7

# Shortest time until the next collection for requests that wait so.
MIN_RETRY_MS = 10.0

# Lifetime below which a token is not worth granting.
MIN_LIFETIME_MS = 20.0

# Smallest amount that is worth a message to a member.
MIN_COLLECTED = 0.01

# Nodes that have asked within this time share what can be expected. The more
# they are, the longer each waits, which bounds the messages of all together.
ASKERS_MS = 1_000.0

# Shortest and longest wait that a coordinator tells, whatever the rate.
MIN_WAIT_MS = 50.0
MAX_WAIT_MS = 2_000.0

# Part of the demand below which collections are less frequent: there are few
# tokens to find, and a refusal is certain.
OVERLOAD_RATIO = 0.7

# Factor by which more is granted than the rate covers, so that errors of the
# estimated demand leave no tokens unused.
MARGIN = 1.2

_DEMAND_TAU_MS = 1_000.0
_ROUNDING = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Request of one node for tokens.

    Parameters
    ----------
    node_id : str
        Asking node.
    number : int
        Number of its request.
    needed : float
        Amount below which the node can start no request.
    wanted : float
        Amount that its demand needs.
    arrived_ms : float
        Monotonic time of the arrival.
    """

    node_id: str
    number: int
    needed: float
    wanted: float
    arrived_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Answer to an `Ask`: lots of tokens, and the wait for further ones."""

    ask: Ask
    lots: tuple[share.Lot, ...]
    wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Tokens that a member is expected to have.

    Parameters
    ----------
    left : float
        Surplus after the last collection.
    at_ms, asked_ms : float
        Monotonic time of that surplus, and of the last collection.
    interval_ms : float
        Minimum time until the next collection; 0 for that of the limit.
    """

    left: float
    at_ms: float
    asked_ms: float
    interval_ms: float = 0.0


# Estimate of a member that was never asked: its bucket is full.
UNKNOWN = Estimate(0.0, -math.inf, -math.inf)


@dataclasses.dataclass(frozen=True, slots=True)
class Collection:
    """Collection from one member that is not yet answered."""

    number: int
    sent_ms: float
    expected: float


class Pool:
    """Collects tokens of one team from all members and grants them.

    Load pattern: the demand of a team is uneven, or moves from node to node,
    so that some nodes have tokens to spare and others have none.

    Only as many members are asked as are expected to have the wanted amount,
    those with the most first, so that few requests cause few messages.

    Parameters
    ----------
    limit : Limit
        Limit of the team.
    token_totals : TokenTotals
        Counts tokens.
    """

    def __init__(
        self, limit: limit_module.Limit, token_totals: totals.TokenTotals
    ) -> None:
        self._limit = limit
        self._totals = token_totals
        self._lots: list[share.Lot] = []
        self._asks: dict[str, Ask] = {}
        self._estimates: dict[str, Estimate] = {}
        self._collections: dict[str, Collection] = {}
        self._askers: dict[str, float] = {}
        self._demand = share.DecayingRate(_DEMAND_TAU_MS)
        # Tokens that all members were last expected to have.
        self._stock = 0.0

    def change(self, limit: limit_module.Limit) -> None:
        """Put another limit in force; a lower one drops all tokens."""
        if limit.lowers(self._limit):
            self._lots = []
            self._estimates = {}
            self._collections = {}
        self._limit = limit

    def ask(self, request: Ask) -> None:
        """Add the request of a node; it replaces its earlier one."""
        now_ms = request.arrived_ms
        self._asks.pop(request.node_id, None)
        self._asks[request.node_id] = request
        self._askers[request.node_id] = now_ms
        self._demand.add(request.wanted, now_ms)

    def collected(
        self,
        node_id: str,
        number: int,
        amount: float,
        left: float,
        now_ms: float,
    ) -> None:
        """Add the tokens that a member has given, unless it is a duplicate.

        Their lifetime counts from the request for them, which is before they
        left the member's bucket.
        """
        collection = self._collections.get(node_id)
        if collection is None or collection.number != number:
            return
        del self._collections[node_id]
        expires_ms = collection.sent_ms + limit_module.LIFETIME_MS
        self._lots.append(share.Lot(amount, expires_ms))
        self._lots.sort(key=lambda lot: lot.expires_ms)
        estimate = self._estimates[node_id]
        interval_ms = 0.0
        if amount < collection.expected / 2:
            base_ms = estimate.interval_ms or self._limit.interval_ms
            interval_ms = min(limit_module.MAX_INTERVAL_MS, 2 * base_ms)
        self._estimates[node_id] = Estimate(
            left, now_ms, estimate.asked_ms, interval_ms
        )

    def next_ms(self, now_ms: float) -> float:
        """Return the monotonic time of the next step; infinite if none."""
        if not self._asks:
            return math.inf
        hold_ms = QUEUE_MS if self._is_near_limit(now_ms) else HOLD_MS
        holds = (ask.arrived_ms + hold_ms for ask in self._asks.values())
        timeouts = (
            collection.sent_ms + COLLECT_TIMEOUT_MS
            for collection in self._collections.values()
        )
        upcoming = [due for due in timeouts if due > now_ms]
        if self._is_near_limit(now_ms):
            retry_ms = max(MIN_RETRY_MS, 1_000.0 / self._limit.rate_per_s)
            upcoming.append(now_ms + retry_ms)
        return min([*holds, *upcoming])

    def collect(
        self,
        members: typing.Collection[str],
        nodes: int,
        number: int,
        now_ms: float,
    ) -> dict[str, float]:
        """Return the amounts to collect from members now.

        Parameters
        ----------
        members : collection of str
            Live members.
        nodes : int
            Number of nodes that share the limit.
        number : int
            Number of the messages that are sent.
        """
        self._expire(now_ms)
        if not self._asks:
            return {}
        needed = min(ask.needed for ask in self._asks.values())
        present = self._present(now_ms)
        expected = self._askable(members, nodes, now_ms)
        wanted = self._wanted(now_ms)
        if present >= wanted or present + sum(expected.values()) < needed:
            return {}
        return self._choose(expected, wanted - present, number, now_ms)

    def grants(self, now_ms: float) -> list[Grant]:
        """Return the answers to the requests that can be answered now."""
        self._expire(now_ms)
        ratio = self._granted_ratio(now_ms)
        is_under_way = bool(self._under_way(now_ms))
        is_near_limit = self._is_near_limit(now_ms)
        grants = []
        ahead = 0.0
        for ask in list(self._asks.values()):
            age_ms = now_ms - ask.arrived_ms
            is_enough = self._held() >= _granted(ask, ratio) - _ROUNDING
            is_held = is_under_way and age_ms < HOLD_MS
            if is_near_limit:
                is_held = self._can_wait(ask, ahead, now_ms)
                least = max(ask.needed, min(1.0, ask.wanted))
                is_enough = self._held() >= least - _ROUNDING
            # Later requests do not overtake this one.
            if is_held and (ahead or not is_enough):
                ahead += ask.needed
                if is_near_limit:
                    continue
                break
            del self._asks[ask.node_id]
            grants.append(self._grant(ask, ratio, now_ms))
        return grants

    def _is_near_limit(self, now_ms: float) -> bool:
        """Return True if the requests may wait for further tokens."""
        return self._covered_ratio(now_ms) >= NEAR_LIMIT_RATIO

    def _can_wait(self, ask: Ask, ahead: float, now_ms: float) -> bool:
        """Return True if there may be enough for a request within its time.

        Parameters
        ----------
        ask : Ask
            The request.
        ahead : float
            What the requests before it need.
        now_ms : float
            Monotonic time.
        """
        left_ms = ask.arrived_ms + QUEUE_MS - now_ms
        missing = ahead + ask.needed - max(self._stock, self._held())
        wait_ms = max(0.0, missing) * 1_000 / self._limit.rate_per_s
        return wait_ms < left_ms

    def _grant(self, ask: Ask, ratio: float, now_ms: float) -> Grant:
        amount = min(_granted(ask, ratio), self._held() + _ROUNDING)
        if amount < ask.needed:
            amount = 0.0
        elif ask.needed and self._is_near_limit(now_ms):
            # The node can use only whole tokens; a fraction would expire.
            amount = ask.needed + math.floor(amount - ask.needed + _ROUNDING)
        amount = amounts.round_down(amount)
        lots = self._remove(amount)
        self._totals.add('granted', amount)
        self._stock -= amount
        if amount >= ask.wanted - _ROUNDING:
            return Grant(ask, lots, 0.0)
        if amount and self._is_near_limit(now_ms):
            # The node asks again for the rest.
            self._demand.add(amount - ask.wanted, now_ms)
            return Grant(ask, lots, 0.0)
        return Grant(ask, lots, self._wait_ms(ask.needed, now_ms))

    def _wanted(self, now_ms: float) -> float:
        """Return what the requests are to get together."""
        ratio = self._granted_ratio(now_ms)
        return sum(_granted(ask, ratio) for ask in self._asks.values())

    def _granted_ratio(self, now_ms: float) -> float:
        """Return the part of the wanted amounts that can be granted.

        Requests arrive one by one. Each gets the part that the rate covers
        of all recent ones, unless there is enough for those present.
        """
        wanted = sum(ask.wanted for ask in self._asks.values())
        if wanted <= max(self._stock, self._held()):
            return 1.0
        return min(1.0, MARGIN * self._covered_ratio(now_ms))

    def _covered_ratio(self, now_ms: float) -> float:
        """Return the part of the recent demand that the rate covers."""
        demand_per_s = self._demand.per_s(now_ms)
        if demand_per_s <= self._limit.rate_per_s:
            return 1.0
        return self._limit.rate_per_s / demand_per_s

    def _wait_ms(self, needed: float, now_ms: float) -> float:
        """Return the time for which an asking node can expect nothing.

        Parameters
        ----------
        needed : float
            Smallest amount that is of use to the node.
        """
        self._askers = {
            node_id: asked_ms
            for node_id, asked_ms in self._askers.items()
            if now_ms - asked_ms < ASKERS_MS
        }
        missing = max(1.0, needed) - self._stock
        if missing > 0 and not self._is_near_limit(now_ms):
            # The nodes that have asked get further tokens in turn.
            missing += (len(self._askers) - 1) / 2
        refill_ms = 1_000.0 * missing / self._limit.rate_per_s
        return min(MAX_WAIT_MS, max(MIN_WAIT_MS, refill_ms))

    def _held(self) -> float:
        return sum(lot.amount for lot in self._lots)

    def _present(self, now_ms: float) -> float:
        """Return the tokens held and those under way."""
        return self._held() + sum(self._under_way(now_ms).values())

    def _askable(
        self, members: typing.Collection[str], nodes: int, now_ms: float
    ) -> dict[str, float]:
        """Return what each member that may be asked is expected to have."""
        capacity = self._limit.capacity / max(1, nodes)
        per_ms = self._limit.rate_per_s / max(1, nodes) / 1_000
        plenty = min(1.0, capacity / 2)
        fractional = capacity < 1.0
        interval_ms = self._limit.interval_ms
        if self._covered_ratio(now_ms) < OVERLOAD_RATIO:
            interval_ms = self._limit.overload_interval_ms
        asked = self._under_way(now_ms)
        estimates = self._estimates
        found = {}
        self._stock = self._held()
        for node_id in members:
            if not fractional and node_id in self._asks:
                # It gives nothing while it waits for tokens itself.
                continue
            estimate = estimates.get(node_id, UNKNOWN)
            expected = estimate.left + per_ms * (now_ms - estimate.at_ms)
            if expected > capacity:
                expected = capacity
            self._stock += expected
            age_ms = now_ms - estimate.asked_ms
            if (
                (expected >= plenty or age_ms >= interval_ms)
                and age_ms >= estimate.interval_ms
                and node_id not in asked
            ):
                found[node_id] = expected
        return found

    def _under_way(self, now_ms: float) -> dict[str, float]:
        """Return the tokens expected from members that were just asked."""
        return {
            node_id: collection.expected
            for node_id, collection in self._collections.items()
            if now_ms - collection.sent_ms < COLLECT_TIMEOUT_MS
        }

    def _choose(
        self,
        expected: dict[str, float],
        short: float,
        number: int,
        now_ms: float,
    ) -> dict[str, float]:
        chosen = {}
        heap = [(-amount, node_id) for node_id, amount in expected.items()]
        heapq.heapify(heap)
        while heap and short > _ROUNDING:
            negative, node_id = heapq.heappop(heap)
            amount = -negative
            if amount < MIN_COLLECTED:
                break
            # A member may have more than expected. Its fraction of a token
            # is of use to nobody else.
            chosen[node_id] = min(short, amount * 1.25)
            short -= amount
            self._estimates[node_id] = Estimate(0.0, now_ms, now_ms)
            self._collections[node_id] = Collection(
                number, now_ms, min(chosen[node_id], amount)
            )
        return chosen

    def _remove(self, amount: float) -> tuple[share.Lot, ...]:
        removed = []
        while amount > _ROUNDING and self._lots:
            lot = self._lots[0]
            used = min(amount, lot.amount)
            removed.append(share.Lot(used, lot.expires_ms))
            amount -= used
            if used < lot.amount:
                rest = share.Lot(lot.amount - used, lot.expires_ms)
                self._lots[0] = rest
            else:
                del self._lots[0]
        return _merge(removed)

    def _expire(self, now_ms: float) -> None:
        for node_id, collection in list(self._collections.items()):
            age_ms = now_ms - collection.sent_ms
            estimate = self._estimates[node_id]
            if age_ms >= COLLECT_TIMEOUT_MS and not estimate.interval_ms:
                self._estimates[node_id] = dataclasses.replace(
                    estimate, interval_ms=limit_module.MAX_INTERVAL_MS
                )
            if age_ms >= limit_module.LIFETIME_MS:
                del self._collections[node_id]
        usable_ms = now_ms + MIN_LIFETIME_MS
        while self._lots and self._lots[0].expires_ms <= usable_ms:
            self._totals.add('expired', self._lots.pop(0).amount)


def _granted(ask: Ask, ratio: float) -> float:
    """Return what a request is to get if a part of all can be granted."""
    return max(ask.needed, ask.wanted * ratio)


def _merge(lots: list[share.Lot]) -> tuple[share.Lot, ...]:
    """Merge lots of the same expiry."""
    merged: dict[float, float] = {}
    for lot in lots:
        merged[lot.expires_ms] = merged.get(lot.expires_ms, 0.0) + lot.amount
    return tuple(
        share.Lot(amount, expires_ms) for expires_ms, amount in merged.items()
    )


def grant_parts(
    team: str, grant: Grant, now_ms: float
) -> list[token_messages.TokenGrantPart]:
    """Return the parts of a grant; one without tokens if there are none."""
    wait_ms = math.ceil(grant.wait_ms)
    parts = [
        token_messages.TokenGrantPart(
            team,
            amounts.whole(lot.amount),
            math.floor(lot.expires_ms - now_ms),
            wait_ms,
        )
        for lot in grant.lots
    ]
    return parts or [token_messages.TokenGrantPart(team, 0, 0, wait_ms)]
