"""Running estimate of a latency quantile."""

from __future__ import annotations

STEP_SHARE = 0.05


class QuantileEstimate:
    """Follows a quantile by small steps, in constant memory.

    Parameters
    ----------
    quantile : float
        Share of values below the estimate.
    first_ms : float
        Estimate before any value.
    """

    def __init__(self, quantile: float, first_ms: float) -> None:
        self._quantile = quantile
        self.value_ms = first_ms

    def add(self, value_ms: float) -> None:
        """Move the estimate towards a new value."""
        step_ms = STEP_SHARE * self.value_ms
        if value_ms > self.value_ms:
            self.value_ms += step_ms * self._quantile
        else:
            self.value_ms -= step_ms * (1 - self._quantile)
