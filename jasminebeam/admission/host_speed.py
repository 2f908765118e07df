"""Slowness of the upstream's host, and whether it predicts durations."""

from __future__ import annotations

from jasminebeam.model import upstreams

# Hosts change their speed several times a second. A slowness report up to
# this age still holds for nearly all requests.
FRESH_MS = 20.0

# A report older than this is ignored: the speed has changed by then.
STALE_MS = 300.0

# A host counts as slow from this slowness on. A request is then worth delaying
# or rerouting.
SLOW_THRESHOLD = 1.5

# Noisy neighbours slow a host down for some hundred milliseconds at a time.
# Cold starts and faults slow it down for seconds. The minimum slowness within
# this window is therefore the best that the host can do at present, and
# waiting for a lower one is useless.
BASELINE_WINDOW_MS = 2_000.0

# The reports are trusted until this many requests that started on a slow
# host have completed.
MIN_SLOW_STARTS = 8
SMOOTHING_FACTOR = 0.1

# Requests that start on a slow host must take at least this many times as
# long as others of their route. Otherwise the reports do not predict durations
# and are ignored.
PREDICTIVE_RATIO = 1.3

# Maximum number of routes whose durations are kept. New configurations add
# routes, so the table would otherwise grow without bound.
MAX_ROUTES = 1_024


class HostSpeed:
    """Tracks the slowness that the upstream reports of its host.

    The slowness is the present service time as a multiple of the service
    time at normal speed.

    Load pattern: noisy neighbours slow a host down for some hundred
    milliseconds at a time, and the host's speed at the start of a request
    determines its service time. The reports are used only as long as the
    durations of completed requests confirm them.
    """

    def __init__(self) -> None:
        self._slowness = upstreams.NORMAL_SLOWNESS
        self._reported_ms = float('-inf')
        # Minimum slowness in the current and the previous half window.
        self._minima = (float('inf'), float('inf'))
        self._half_started_ms = float('-inf')
        self._normal_means_ms: dict[str, float] = {}
        self._slow_ratio = 0.0
        self._slow_count = 0

    @property
    def reported(self) -> bool:
        """True once the upstream has reported its host's slowness."""
        return self._reported_ms > float('-inf')

    def age_ms(self, now_ms: float) -> int:
        """Return the age of the last report; -1 if there is none."""
        return round(now_ms - self._reported_ms) if self.reported else -1

    def on_report(self, slowness: float, now_ms: float) -> None:
        """Record a slowness report."""
        self._slowness = slowness
        self._reported_ms = now_ms
        current, previous = self._minima
        if now_ms - self._half_started_ms >= BASELINE_WINDOW_MS:
            current, previous = float('inf'), float('inf')
            self._half_started_ms = now_ms
        elif now_ms - self._half_started_ms >= BASELINE_WINDOW_MS / 2:
            current, previous = float('inf'), current
            self._half_started_ms = now_ms
        self._minima = (min(current, slowness), previous)

    @property
    def baseline_slowness(self) -> float:
        """Minimum slowness of the host within the baseline window."""
        minimum = min(self._minima)
        if minimum == float('inf') or not self.is_predictive():
            return upstreams.NORMAL_SLOWNESS
        return max(minimum, upstreams.NORMAL_SLOWNESS)

    def relative_slowness(self, now_ms: float) -> float:
        """Return the present slowness relative to the baseline."""
        return max(1.0, self.slowness(now_ms) / self.baseline_slowness)

    def fresh_slowness(self, now_ms: float) -> float | None:
        """Return the reported slowness if fresh, even if not predictive."""
        if now_ms - self._reported_ms > FRESH_MS:
            return None
        return self._slowness

    def on_completion(
        self, route: str, slowness: float, duration_ms: float
    ) -> None:
        """Compare a request's duration with the slowness at its start.

        Parameters
        ----------
        route : str
            Durations are compared within a route, because only requests
            of the same route take about the same time.
        slowness : float
            Fresh slowness report at the start.
        duration_ms : float
            Time from the start to the answer.
        """
        normal_ms = self._normal_means_ms.get(route, 0.0)
        if slowness < SLOW_THRESHOLD:
            if len(self._normal_means_ms) >= MAX_ROUTES:
                self._normal_means_ms.clear()
            self._normal_means_ms[route] = _smoothed(normal_ms, duration_ms)
        elif normal_ms:
            self._slow_count += 1
            self._slow_ratio = _smoothed(
                self._slow_ratio, duration_ms / normal_ms
            )

    def is_predictive(self) -> bool:
        """Return False once durations show no effect of the slowness."""
        if self._slow_count < MIN_SLOW_STARTS:
            return True
        return self._slow_ratio >= PREDICTIVE_RATIO

    def needs_check(self, now_ms: float, fresh_ms: float = FRESH_MS) -> bool:
        """Return True if a decision should wait for a newer report.

        Parameters
        ----------
        now_ms : float
            Monotonic time.
        fresh_ms : float
            Maximum age of a report that the decision may rely on.
        """
        if not self.reported or not self.is_predictive():
            return False
        return now_ms - self._reported_ms > fresh_ms

    def slowness(self, now_ms: float) -> float:
        """Return the expected slowness for a request that starts now."""
        if now_ms - self._reported_ms > STALE_MS or not self.is_predictive():
            return upstreams.NORMAL_SLOWNESS
        return self._slowness


def is_slow(slowness: float) -> bool:
    """Return True if a start at this slowness is worth avoiding."""
    return slowness >= SLOW_THRESHOLD


def _smoothed(mean: float, value: float) -> float:
    if not mean:
        return value
    return mean + SMOOTHING_FACTOR * (value - mean)
