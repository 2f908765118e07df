"""Streaming estimate of a latency quantile."""

from __future__ import annotations

STEP_RATIO = 0.05


class QuantileEstimate:
    """Approximates a quantile by small steps, in constant memory.

    Parameters
    ----------
    quantile : float
        Share of values below the estimate.
    initial_ms : float
        Estimate before the first value.
    """

    def __init__(self, quantile: float, initial_ms: float) -> None:
        self._quantile = quantile
        self.value_ms = initial_ms

    def add(self, value_ms: float) -> None:
        """Move the estimate towards a new value."""
        step_ms = STEP_RATIO * self.value_ms
        if value_ms > self.value_ms:
            self.value_ms += step_ms * self._quantile
        else:
            self.value_ms -= step_ms * (1 - self._quantile)
