"""Budgets that limit retries, hedges, probes and control traffic."""

from __future__ import annotations


class RatioBudget:
    """Allows extra attempts as a ratio of the requests.

    Parameters
    ----------
    ratio : float
        Extra attempts allowed for each request.
    burst : float
        Maximum number of unused extra attempts that accumulate.

    Examples
    --------
    >>> budget = RatioBudget(ratio=0.5, burst=1.0)
    >>> budget.withdraw(), budget.withdraw()
    (True, False)
    >>> budget.deposit()
    >>> budget.deposit()
    >>> budget.withdraw()
    True
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self.available = burst

    def deposit(self) -> None:
        """Credit the budget for one request."""
        self.available = min(self._burst, self.available + self._ratio)

    def withdraw(self) -> bool:
        """Use one extra attempt; return False if none is left."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


class ShareBudget:
    """Allows an amount as a share of a base amount.

    Parameters
    ----------
    share : float
        Amount allowed for each unit of the base amount.
    max_saved : float
        Maximum unused amount that accumulates.

    Examples
    --------
    >>> budget = ShareBudget(share=0.01, max_saved=300.0)
    >>> budget.deposit(20_000)
    >>> budget.withdraw(150.0), budget.withdraw(150.0)
    (True, False)
    """

    def __init__(self, share: float, max_saved: float) -> None:
        self._share = share
        self._max_saved = max_saved
        self.available = 0.0

    def deposit(self, amount: float) -> None:
        """Credit the budget for a base amount."""
        saved = self.available + amount * self._share
        self.available = min(self._max_saved, saved)

    def withdraw(self, amount: float) -> bool:
        """Use an amount; return False, unchanged, if it is not available."""
        if self.available < amount:
            return False
        self.available -= amount
        return True


class RateBudget:
    """Token bucket that holds at most the tokens of one second.

    Parameters
    ----------
    per_s : float
        Amount allowed per second.
    now_ms : float
        Monotonic time of the start, when the bucket is full.

    Examples
    --------
    >>> budget = RateBudget(per_s=100.0, now_ms=0.0)
    >>> budget.withdraw(100.0, 0.0), budget.withdraw(1.0, 0.0)
    (True, False)
    >>> budget.withdraw(50.0, 500.0)
    True
    """

    def __init__(self, per_s: float, now_ms: float) -> None:
        self.per_s = per_s
        self._tokens = per_s
        self._refilled_ms = now_ms

    def withdraw(self, amount: float, now_ms: float) -> bool:
        """Use an amount; return False, unchanged, if it is not available."""
        if self.available(now_ms) < amount:
            return False
        self._tokens -= amount
        return True

    def spend(self, amount: float, now_ms: float) -> None:
        """Use an amount; overdraw the budget if it is not available."""
        self.available(now_ms)
        self._tokens -= amount

    def available(self, now_ms: float) -> float:
        """Return the amount that is available now."""
        passed_s = (now_ms - self._refilled_ms) / 1_000
        self._refilled_ms = now_ms
        refilled = self._tokens + passed_s * self.per_s
        self._tokens = min(self.per_s, refilled)
        return self._tokens
