"""How slow the upstream's host is, and whether that tells anything."""

from __future__ import annotations

from jasminebeam.model import upstreams

# Hosts change their speed some times a second; within this age a figure
# still holds for nearly all requests.
FRESH_MS = 20.0

# Beyond this age a figure says nothing: the speed has changed by then.
STALE_MS = 300.0

# From here on a start is worth avoiding.
SLOW_FROM = 1.5

# Neighbours slow a host down for some hundred milliseconds at a time, cold
# starts and faults for seconds: the least slowness of this time is what the
# host can do at present, and waiting for less is in vain.
LEVEL_WINDOW_MS = 2_000.0

# Completed requests that began on a slow host before the figure is judged.
MIN_JUDGED = 8
LEARNING_WEIGHT = 0.1

# Slow starts must take at least this much longer than others of their
# route, or the figure does not predict and is ignored.
PREDICTIVE_RATIO = 1.3

# Routes whose durations are kept; configurations bring new ones.
MAX_ROUTES = 1_024


class HostSpeed:
    """Follows the slowness that the upstream reports of its host.

    Load pattern: neighbours on the same host slow it down for some
    hundred milliseconds at a time, and how long a request takes is set
    by the host's speed when it starts. The figure is trusted only as far
    as the durations of completed requests bear it out.
    """

    def __init__(self) -> None:
        self._slowness = upstreams.NORMAL_SLOWNESS
        self._reported_ms = float('-inf')
        # Least figures of the present and the former half of the window.
        self._least = (float('inf'), float('inf'))
        self._half_ms = float('-inf')
        self._usual_means_ms: dict[str, float] = {}
        self._slow_ratio = 0.0
        self._slow_count = 0

    @property
    def reported(self) -> bool:
        """True once the upstream has told its host's slowness."""
        return self._reported_ms > float('-inf')

    def age_ms(self, now_ms: float) -> int:
        """Return the age of the figure; -1 if there is none."""
        return round(now_ms - self._reported_ms) if self.reported else -1

    def on_report(self, slowness: float, now_ms: float) -> None:
        """Record a figure."""
        self._slowness = slowness
        self._reported_ms = now_ms
        present, former = self._least
        if now_ms - self._half_ms >= LEVEL_WINDOW_MS:
            present, former = float('inf'), float('inf')
            self._half_ms = now_ms
        elif now_ms - self._half_ms >= LEVEL_WINDOW_MS / 2:
            present, former = float('inf'), present
            self._half_ms = now_ms
        self._least = (min(present, slowness), former)

    @property
    def level(self) -> float:
        """Slowness that the host has had at the least of late."""
        least = min(self._least)
        if least == float('inf') or not self.is_predictive():
            return upstreams.NORMAL_SLOWNESS
        return max(least, upstreams.NORMAL_SLOWNESS)

    def excess(self, now_ms: float) -> float:
        """Return how much slower than of late a start now would be."""
        return max(1.0, self.slowness(now_ms) / self.level)

    def figure(self, now_ms: float) -> float | None:
        """Return what the upstream says, trusted or not, if it is fresh."""
        if now_ms - self._reported_ms > FRESH_MS:
            return None
        return self._slowness

    def on_completion(
        self, route: str, slowness: float, duration_ms: float
    ) -> None:
        """Learn from a request that began at a slowness.

        Parameters
        ----------
        route : str
            Only requests of one route take about the same time.
        slowness : float
            Fresh figure at the start.
        duration_ms : float
            Time until the answer.
        """
        usual_ms = self._usual_means_ms.get(route, 0.0)
        if slowness < SLOW_FROM:
            if len(self._usual_means_ms) >= MAX_ROUTES:
                self._usual_means_ms.clear()
            self._usual_means_ms[route] = _moved(usual_ms, duration_ms)
        elif usual_ms:
            self._slow_count += 1
            self._slow_ratio = _moved(self._slow_ratio, duration_ms / usual_ms)

    def is_predictive(self) -> bool:
        """Return False once durations have shown that the figure is idle."""
        if self._slow_count < MIN_JUDGED:
            return True
        return self._slow_ratio >= PREDICTIVE_RATIO

    def needs_check(self, now_ms: float, fresh_ms: float = FRESH_MS) -> bool:
        """Return True if a decision should wait for a fresher figure.

        Parameters
        ----------
        now_ms : float
            Monotonic time.
        fresh_ms : float
            Age up to which the present figure will do.
        """
        if not self.reported or not self.is_predictive():
            return False
        return now_ms - self._reported_ms > fresh_ms

    def slowness(self, now_ms: float) -> float:
        """Return the slowness that a start at this moment would meet."""
        if now_ms - self._reported_ms > STALE_MS or not self.is_predictive():
            return upstreams.NORMAL_SLOWNESS
        return self._slowness


def is_slow(slowness: float) -> bool:
    """Return True if a start at this slowness is worth avoiding."""
    return slowness >= SLOW_FROM


def _moved(mean: float, value: float) -> float:
    if not mean:
        return value
    return mean + LEARNING_WEIGHT * (value - mean)
