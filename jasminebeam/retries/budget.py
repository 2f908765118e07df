"""Budgets that bound retries, hedges and probes."""

from __future__ import annotations


class RatioBudget:
    """Allows extra attempts as a share of the requests.

    Parameters
    ----------
    ratio : float
        Extra attempts allowed for each request.
    burst : float
        Most extra attempts that can be saved up.

    Examples
    --------
    >>> budget = RatioBudget(ratio=0.5, burst=1.0)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.earn()
    >>> budget.earn()
    >>> budget.take()
    True
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self.available = burst

    def earn(self) -> None:
        """Count one request."""
        self.available = min(self._burst, self.available + self._ratio)

    def take(self) -> bool:
        """Take one extra attempt; False if none is left."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


class ShareBudget:
    """Allows an amount as a share of another amount.

    Parameters
    ----------
    share : float
        Amount allowed for each unit that is earned with.
    most_saved : float
        Most that can be saved up.

    Examples
    --------
    >>> budget = ShareBudget(share=0.01, most_saved=300.0)
    >>> budget.earn(20_000)
    >>> budget.take(150.0), budget.take(150.0)
    (True, False)
    """

    def __init__(self, share: float, most_saved: float) -> None:
        self._share = share
        self._most_saved = most_saved
        self.available = 0.0

    def earn(self, amount: float) -> None:
        """Count the amount that a share is allowed of."""
        saved = self.available + amount * self._share
        self.available = min(self._most_saved, saved)

    def take(self, amount: float) -> bool:
        """Take an amount; False, and nothing taken, if it is not there."""
        if self.available < amount:
            return False
        self.available -= amount
        return True


class RateBudget:
    """Allows an amount per second, with a burst of at most one second.

    Parameters
    ----------
    per_s : float
        Amount allowed in a second.
    now_ms : float
        Monotonic time of the start.

    Examples
    --------
    >>> budget = RateBudget(per_s=100.0, now_ms=0.0)
    >>> budget.take(100.0, 0.0), budget.take(1.0, 0.0)
    (True, False)
    >>> budget.take(50.0, 500.0)
    True
    """

    def __init__(self, per_s: float, now_ms: float) -> None:
        self.per_s = per_s
        self._tokens = per_s
        self._refilled_ms = now_ms

    def take(self, amount: float, now_ms: float) -> bool:
        """Take an amount; False, and nothing taken, if it is not there."""
        if self.available(now_ms) < amount:
            return False
        self._tokens -= amount
        return True

    def spend(self, amount: float, now_ms: float) -> None:
        """Take an amount even if it is not there; the rest is owed."""
        self.available(now_ms)
        self._tokens -= amount

    def available(self, now_ms: float) -> float:
        """Return the amount that could be taken."""
        passed_s = (now_ms - self._refilled_ms) / 1_000
        self._refilled_ms = now_ms
        refilled = self._tokens + passed_s * self.per_s
        self._tokens = min(self.per_s, refilled)
        return self._tokens
