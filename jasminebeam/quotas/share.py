"""Tokens of one team at one node: its bucket, and what it was granted."""

from __future__ import annotations

import dataclasses
import math

from jasminebeam.quotas import limit as limit_module
from jasminebeam.quotas import totals

# Time constant of the estimate of a node's demand.
DEMAND_TAU_MS = 500.0

# Time for which a node keeps tokens for its own demand when others collect.
RESERVE_MS = 250.0

# Absorbs rounding, so that two halves make a whole token.
_ROUNDING = 1e-6


class DecayingRate:
    """Estimate of a rate that forgets exponentially.

    Parameters
    ----------
    tau_ms : float
        Time constant.
    """

    def __init__(self, tau_ms: float) -> None:
        self._tau_ms = tau_ms
        self._weight = 0.0
        self._updated_ms = 0.0

    def add(self, amount: float, now_ms: float) -> None:
        """Count an amount that occurs now."""
        self._weight = self._decayed(now_ms) + amount
        self._updated_ms = now_ms

    def per_s(self, now_ms: float) -> float:
        """Return the amount a second."""
        return self._decayed(now_ms) * 1_000 / self._tau_ms

    def _decayed(self, now_ms: float) -> float:
        age_ms = max(0.0, now_ms - self._updated_ms)
        return self._weight * math.exp(-age_ms / self._tau_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Lot:
    """Tokens that expire at the same monotonic instant."""

    amount: float
    expires_ms: float


class Share:
    """Tokens of one team at one node.

    The node generates its part of the team's rate, ``1 / nodes`` of it, into
    a bucket that holds the same part of the capacity. Tokens of other nodes
    that it was granted are kept apart, because they expire.

    Load pattern: a team sends more than its limit to all nodes together,
    while each node sees only a part of it.

    Parameters
    ----------
    limit : Limit
        Limit of the team.
    token_totals : TokenTotals
        Counts tokens.
    now_ms : float
        Monotonic time of the creation; the bucket is empty then, and remains
        so until the number of nodes is known (`resize`).
    """

    def __init__(
        self,
        limit: limit_module.Limit,
        token_totals: totals.TokenTotals,
        now_ms: float,
    ) -> None:
        self._limit = limit
        self._totals = token_totals
        self._nodes = 0
        self._tokens = 0.0
        self._lots: list[Lot] = []
        self._updated_ms = now_ms
        self._demand = DecayingRate(DEMAND_TAU_MS)

    @property
    def limit(self) -> limit_module.Limit:
        """Limit in force."""
        return self._limit

    @property
    def capacity(self) -> float:
        """Maximum number of tokens in the bucket."""
        return self._limit.capacity / self._nodes if self._nodes else 0.0

    @property
    def generated_per_s(self) -> float:
        """Tokens that the node generates in a second."""
        return self._limit.rate_per_s / self._nodes if self._nodes else 0.0

    def change(self, limit: limit_module.Limit, now_ms: float) -> None:
        """Put another limit in force; a lower one cuts the tokens held."""
        self._advance(now_ms)
        if limit.lowers(self._limit):
            self._lots = []
        self._limit = limit
        self._tokens = min(self._tokens, self.capacity)

    def resize(self, nodes: int, settled_ms: float, now_ms: float) -> None:
        """Change the number of nodes that share the limit.

        Parameters
        ----------
        nodes : int
            Number of nodes; 0 if it is not yet known.
        settled_ms : float
            Monotonic time since which it is known.
        """
        if nodes == self._nodes:
            return
        self._advance(now_ms)
        if not self._nodes:
            self._updated_ms = max(self._updated_ms, settled_ms)
        self._nodes = nodes
        self._advance(now_ms)
        self._tokens = min(self._tokens, self.capacity)

    def fill(self) -> None:
        """Fill the bucket, as that of a team that was not limited before."""
        self._tokens = self.capacity

    def record_demand(self, now_ms: float) -> None:
        """Count a request that needs a token."""
        self._demand.add(1.0, now_ms)

    def demand_per_s(self, now_ms: float) -> float:
        """Return the estimated number of requests a second."""
        return self._demand.per_s(now_ms)

    def held(self, now_ms: float) -> float:
        """Return the number of tokens that the node may use."""
        self._advance(now_ms)
        return self._tokens + sum(lot.amount for lot in self._lots)

    @property
    def is_fractional(self) -> bool:
        """True if the bucket is too small to start a request by itself."""
        return self.capacity < 1.0

    def counted(self, now_ms: float) -> float:
        """Return the tokens that the node counts on when it asks for others.

        A bucket for less than one token is not among them, so that its tokens
        can be collected while the node waits for others. It would fill up
        otherwise, and generate nothing.
        """
        held = self.held(now_ms)
        return held - self._tokens if self.is_fractional else held

    def refill_ms(self, now_ms: float) -> float:
        """Return the time until the node's own bucket completes a token.

        The result is infinite if it holds no whole token.
        """
        missing = 1.0 - self.held(now_ms)
        if self._tokens + missing > self.capacity or not self._nodes:
            return math.inf
        return max(0.0, missing) * 1_000 / self.generated_per_s

    def take(self, now_ms: float) -> float | None:
        """Take one token; None if there is less than one.

        Returns
        -------
        float or None
            Monotonic instant at which the token expires if it is returned;
            ``now_ms`` if it comes from the bucket.
        """
        if self.held(now_ms) < 1.0 - _ROUNDING:
            return None
        left = 1.0
        expires_ms = now_ms
        while left > _ROUNDING and self._lots:
            lot = self._lots[0]
            used = min(left, lot.amount)
            left -= used
            expires_ms = lot.expires_ms
            if used < lot.amount:
                self._lots[0] = Lot(lot.amount - used, lot.expires_ms)
            else:
                del self._lots[0]
        self._tokens = max(0.0, self._tokens - left)
        return expires_ms

    def put_back(self, expires_ms: float, now_ms: float) -> None:
        """Return a token whose request has not run.

        What the bucket cannot hold is kept until the token expires.
        """
        self._advance(now_ms)
        room = min(1.0, max(0.0, self.capacity - self._tokens))
        self._tokens += room
        if room < 1.0 and expires_ms > now_ms:
            self.add(1.0 - room, expires_ms)

    def add(self, amount: float, expires_ms: float) -> None:
        """Add tokens that another node has granted."""
        if amount > 0:
            self._lots.append(Lot(amount, expires_ms))
            self._lots.sort(key=_expiry)

    def give(self, amount: float, now_ms: float) -> float:
        """Remove up to an amount of the surplus; return what was removed."""
        given = min(amount, self.surplus(now_ms))
        self._tokens -= given
        self._totals.add('given', given)
        return given

    def surplus(self, now_ms: float) -> float:
        """Return the tokens of the bucket beyond the node's own demand.

        The reserve consists of whole tokens: with a fraction, the node can
        start no request.
        """
        self._advance(now_ms)
        demand = self.demand_per_s(now_ms) * RESERVE_MS / 1_000
        return self._tokens - min(math.floor(demand), math.floor(self._tokens))

    def _advance(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms > 0 and self._nodes:
            generated = self.generated_per_s * elapsed_ms / 1_000
            self._tokens = min(self.capacity, self._tokens + generated)
            self._updated_ms = now_ms
        while self._lots and self._lots[0].expires_ms <= now_ms:
            self._totals.add('expired', self._lots.pop(0).amount)


def _expiry(lot: Lot) -> float:
    return lot.expires_ms
