"""Estimates the time since a caller's first attempt."""

from __future__ import annotations

from jasminebeam.retries import quantile

# First attempts of a route arrive with nearly the same remaining time. In a
# retry storm half of all requests may be retries, so a high quantile of the
# remaining times of all requests represents the first attempts.
FIRST_ATTEMPT_QUANTILE = 0.75

# A request with less than this share of a first attempt's remaining time
# counts as a retry. The timeouts of different callers differ by about a sixth.
FIRST_ATTEMPT_RATIO = 0.8

# Routes with an estimate. New configurations add routes, so the number must
# be bounded.
MAX_ROUTES = 1_024


class ElapsedEstimator:
    """Distinguishes retries from first attempts.

    Load pattern: callers whose requests were refused retry with less
    time left. Their objective counts from the first attempt. A retry is
    therefore more urgent than a new request, or already late.

    Examples
    --------
    >>> elapsed = ElapsedEstimator()
    >>> elapsed.observe('r', 1000.0), elapsed.observe('r', 990.0)
    (0.0, 0.0)
    >>> round(elapsed.observe('r', 600.0), -2)
    400.0
    """

    def __init__(self) -> None:
        self._estimates: dict[str, quantile.QuantileEstimate] = {}

    def observe(self, route: str, time_left_ms: float) -> float:
        """Return the time since the caller's first attempt, in ms.

        The result is 0 for a first attempt.

        Parameters
        ----------
        route : str
            Route of the request. Callers of one route use similar
            timeouts.
        time_left_ms : float
            Time that the caller has left.
        """
        estimate = self._estimates.get(route)
        if estimate is None:
            if len(self._estimates) >= MAX_ROUTES:
                self._estimates.clear()
            estimate = quantile.QuantileEstimate(
                FIRST_ATTEMPT_QUANTILE, time_left_ms
            )
            self._estimates[route] = estimate
        first_ms = estimate.value_ms
        estimate.add(time_left_ms)
        if time_left_ms >= FIRST_ATTEMPT_RATIO * first_ms:
            return 0.0
        return first_ms - time_left_ms
