"""Limit of the starts at an upstream that is cold, or may be."""

from __future__ import annotations

import dataclasses
import enum
import math

# Requests that may start at once at a cold upstream after a pause.
BURST = 2.0

# Requests that may start within the window since the latest health check
# whose response said that the upstream is warm: this number plus a multiple
# of the cold-start rate. The upstream tolerates 8 plus 1.5 times the rate in
# a second; the remainder is for a process of the sidecar that has restarted
# within that second, and for requests that arrive closer together than they
# were sent.
UNCONFIRMED_STARTS = 6.0
UNCONFIRMED_RATIO = 0.5

# Longer than the second to which the upstream's tolerance applies, because
# requests may arrive closer together than they were sent.
WINDOW_MS = 1_200.0

# An upstream counts as silent if no health check has had a response for this
# time since one was sent. It equals the timeout of a health check.
SILENT_MS = 1_000.0

# Shortest time between two health checks, which keeps the checks of a busy
# day below 50 a second.
MIN_CHECK_INTERVAL_MS = 20.0
# Time between two health checks while the upstream is cold or silent.
CHECK_INTERVAL_MS = 250.0

# Expected time until the response to a health check, before the first one.
INITIAL_CHECK_MS = 5.0
SMOOTHING_FACTOR = 0.2

# Longest wait that is stated, for rates close to 0. Messages between nodes
# carry the wait as a 64-bit integer of microseconds.
MAX_WAIT_MS = 3_600_000.0

_ROUNDING = 1e-6


class State(enum.Enum):
    """What the sidecar knows about the temperature of its upstream."""

    OFF = 'off'
    UNCHECKED = 'unchecked'
    WARM = 'warm'
    COLD = 'cold'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, slots=True)
class ColdLimit:
    """State of the limit of one upstream that may become cold.

    Load pattern: an upstream restarts or loses its caches under load. Until
    it is warm, it tolerates a small rate of requests and fails above it. It
    says in health responses that it is cold, so the sidecar learns of it
    only after it has become cold.

    The number of starts since the latest confirmation that the upstream is
    warm is therefore bounded at any time, and a token bucket paces the starts
    while the upstream is cold, silent or unchecked. Starts since the latest
    confirmation count against the bucket.

    Each method returns a result or a new state for the time it is given.

    Parameters
    ----------
    per_s : float
        Requests a second that the upstream tolerates while it is cold;
        infinite if it tolerates any rate.
    has_check : bool
        False if the upstream has no health check. Only its announcements
        tell then that it is cold.
    attached_ms : float
        Monotonic instant at which the upstream was put into service.
    confirmed_ms : float
        Monotonic instant at which the latest health check was sent whose
        response said that the upstream is warm.
    claimed_ms : float
        Monotonic instant of the latest statement that the upstream is cold.
    cold : bool
        True from such a statement until a later health check says warm.
    cold_until_ms : float
        Monotonic instant until which the upstream has said to be cold.
    has_failed : bool
        True once a health check of the upstream has ended without response.
    unanswered_ms : float
        Monotonic instant of the first health check without a response since
        the latest response; infinite if there is none.
    last_check_ms : float
        Monotonic instant at which the latest health check was sent.
    check_ms : float
        Smoothed time between a health check and its response.
    tokens : float
        Requests that the bucket allowed at ``updated_ms``.
    updated_ms : float
        Monotonic instant of the latest change of ``tokens``.
    starts_ms : tuple of float
        Starts since the latest confirmation, within the window.
    """

    per_s: float = math.inf
    has_check: bool = True
    attached_ms: float = 0.0
    confirmed_ms: float = -math.inf
    claimed_ms: float = -math.inf
    cold: bool = False
    cold_until_ms: float = -math.inf
    has_failed: bool = False
    unanswered_ms: float = math.inf
    last_check_ms: float = -math.inf
    check_ms: float = INITIAL_CHECK_MS
    tokens: float = 0.0
    updated_ms: float = 0.0
    starts_ms: tuple[float, ...] = ()

    @property
    def enabled(self) -> bool:
        """True if the upstream's service has a cold-start rate."""
        return self.per_s < math.inf

    @property
    def unconfirmed_starts(self) -> int:
        """Largest number of starts in a window without a confirmation."""
        return int(UNCONFIRMED_STARTS + UNCONFIRMED_RATIO * self.per_s)

    def state(self, now_ms: float) -> State:
        """Return what is known about the upstream."""
        if not self.enabled:
            return State.OFF
        if self.cold and (self.has_check or now_ms < self.cold_until_ms):
            return State.COLD
        if not self.has_check:
            return State.WARM
        if self._is_silent(now_ms):
            return State.SILENT
        if math.isinf(self.confirmed_ms):
            return State.UNCHECKED
        return State.WARM

    def is_paced(self, now_ms: float) -> bool:
        """Return True while the starts are paced at the cold-start rate."""
        return self.state(now_ms) in (State.COLD, State.SILENT)

    def with_rate(self, per_s: float, now_ms: float) -> ColdLimit:
        """Return the state after a configuration with another rate.

        A service that had no rate before starts anew: nothing is known about
        the starts of its upstream.
        """
        if not self.enabled:
            return ColdLimit(per_s, self.has_check, now_ms, updated_ms=now_ms)
        return dataclasses.replace(
            self, per_s=per_s, tokens=self._tokens(now_ms), updated_ms=now_ms
        )

    def on_check_sent(self, now_ms: float) -> ColdLimit:
        """Return the state after a health check was sent."""
        return dataclasses.replace(
            self,
            last_check_ms=now_ms,
            unanswered_ms=min(self.unanswered_ms, now_ms),
        )

    def on_no_response(self, sent_ms: float) -> ColdLimit:
        """Return the state after a health check ended without response.

        Parameters
        ----------
        sent_ms : float
            Monotonic instant at which the check was sent.
        """
        if sent_ms < self.attached_ms:
            return self
        return dataclasses.replace(self, has_failed=True)

    def on_health(
        self, sent_ms: float, cold_ms: float, now_ms: float
    ) -> ColdLimit:
        """Return the state after the response to a health check.

        A response to a check from before the upstream was put into service
        may come from a previous one. One to a check from before the latest
        statement that the upstream is cold may be older than that.

        Parameters
        ----------
        sent_ms : float
            Monotonic instant at which the check was sent.
        cold_ms : float
            Time for which the upstream stays cold; 0 if it is warm.
        now_ms : float
            Monotonic time.
        """
        if not self.enabled or sent_ms < self.attached_ms:
            return self
        change_ms = now_ms - sent_ms - self.check_ms
        answered = dataclasses.replace(
            self,
            unanswered_ms=math.inf,
            has_failed=False,
            check_ms=self.check_ms + SMOOTHING_FACTOR * change_ms,
        )
        if cold_ms > 0:
            return answered.on_cold(cold_ms, now_ms)
        if sent_ms < self.claimed_ms:
            return answered
        return answered._confirmed(sent_ms, now_ms)

    def on_cold(self, cold_ms: float, now_ms: float) -> ColdLimit:
        """Return the state after a statement that the upstream is cold."""
        if not self.enabled:
            return self
        return dataclasses.replace(
            self, cold=True, claimed_ms=now_ms, cold_until_ms=now_ms + cold_ms
        )

    def started(self, now_ms: float) -> ColdLimit:
        """Return the state after the start of a request."""
        if not self.enabled:
            return self
        lowest = BURST - self.unconfirmed_starts
        return dataclasses.replace(
            self,
            tokens=max(lowest, self._tokens(now_ms) - 1),
            updated_ms=now_ms,
            starts_ms=(*self._recent(now_ms), now_ms),
        )

    def wait_ms(self, ahead: int, now_ms: float) -> float:
        """Return the expected time until a request behind others may start.

        Parameters
        ----------
        ahead : int
            Requests that start before it.
        now_ms : float
            Monotonic time.
        """
        state = self.state(now_ms)
        if state is State.OFF or (state is State.WARM and not self.has_check):
            return 0.0
        if state is State.UNCHECKED:
            return self._expected_check_ms()
        if state is State.WARM:
            return self._confirmation_wait_ms(ahead, now_ms)
        missing = ahead + 1 - self._tokens(now_ms) - _ROUNDING
        return min(max(0.0, missing * 1_000 / self.per_s), MAX_WAIT_MS)

    def check_delay_ms(self, now_ms: float) -> float:
        """Return the time until a health check is due.

        It is infinite if the limit needs none: the regular checks go on.
        """
        state = self.state(now_ms)
        if state is State.OFF or not self.has_check:
            return math.inf
        due_ms = self.last_check_ms + CHECK_INTERVAL_MS
        if state is State.COLD:
            soonest_ms = self.last_check_ms + MIN_CHECK_INTERVAL_MS
            due_ms = min(due_ms, max(soonest_ms, self.cold_until_ms))
            if self.last_check_ms < self.claimed_ms:
                # An announcement says so, which may have arrived late.
                due_ms = min(due_ms, soonest_ms)
        elif state is State.WARM:
            if math.isinf(self.unanswered_ms):
                due_ms = math.inf
            if 2 * len(self._recent(now_ms)) >= self.unconfirmed_starts:
                due_ms = self.last_check_ms + MIN_CHECK_INTERVAL_MS
        return max(0.0, due_ms - now_ms)

    def _confirmed(self, sent_ms: float, now_ms: float) -> ColdLimit:
        confirmed_ms = max(self.confirmed_ms, sent_ms)
        since = tuple(
            start_ms for start_ms in self.starts_ms if start_ms >= confirmed_ms
        )
        return dataclasses.replace(
            self,
            cold=False,
            confirmed_ms=confirmed_ms,
            tokens=BURST - len(since),
            updated_ms=now_ms,
            starts_ms=since,
        )

    def _is_silent(self, now_ms: float) -> bool:
        if self.has_failed and math.isinf(self.confirmed_ms):
            return True
        return now_ms - self.unanswered_ms >= SILENT_MS

    def _confirmation_wait_ms(self, ahead: int, now_ms: float) -> float:
        recent = self._recent(now_ms)
        allowed = self.unconfirmed_starts
        excess = len(recent) + ahead + 1 - allowed
        if excess <= 0:
            return 0.0
        checks = math.ceil(excess / allowed)
        return checks * self._expected_check_ms()

    def _expected_check_ms(self) -> float:
        return max(1.0, self.check_ms)

    def _tokens(self, now_ms: float) -> float:
        passed_s = max(0.0, now_ms - self.updated_ms) / 1_000
        return min(BURST, self.tokens + self.per_s * passed_s)

    def _recent(self, now_ms: float) -> tuple[float, ...]:
        oldest_ms = now_ms - WINDOW_MS
        return tuple(
            start_ms for start_ms in self.starts_ms if start_ms > oldest_ms
        )


def attached(
    per_s: float, cold_ms: float, has_check: bool, now_ms: float
) -> ColdLimit:
    """Return the state for an upstream that is put into service.

    A previous process of the sidecar may have used the bucket until now, so
    the bucket is empty.

    Parameters
    ----------
    per_s : float
        Cold-start rate; infinite if there is none.
    cold_ms : float
        Time for which the upstream stays cold according to its announcement;
        0 if unknown.
    has_check : bool
        True if the upstream has a health check.
    now_ms : float
        Monotonic time.
    """
    limit = ColdLimit(per_s, has_check, now_ms, updated_ms=now_ms)
    return limit.on_cold(cold_ms, now_ms) if cold_ms > 0 else limit
