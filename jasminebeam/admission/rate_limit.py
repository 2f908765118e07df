"""Rate limit that an upstream names for the requests of all nodes."""

from __future__ import annotations

import dataclasses
import math

from jasminebeam.model import upstreams

# Time after which no trace of a limit that is no longer named is left. The
# rate grows until then, so that an upstream that still has its limit can name
# it again before it is overrun.
RECOVERY_MS = 8_000.0
RECOVERY_GROWTH_PER_S = 1.5
MIN_RECOVERY_PER_S = 1.0

# Rate at which an upstream that names a limit of 0 gets requests. Their
# answers show when the limit has ended.
MIN_PER_S = 1 / 60

# Requests in any span of this length stay below a multiple of the limit, also
# when an upstream lowers it.
WINDOW_MS = 4_000.0
WINDOW_RATIO = 1.25
WINDOW_EXTRA = 4.0

# Starts that are assumed at most after a restart; higher limits than these
# imply do not bind.
MAX_ASSUMED_STARTS = 4_096

# Multiple of the mean time between two requests for which a limit stays in
# force without being named.
HOLD_INTERVALS = 2.0
MAX_HOLD_MS = 30_000.0

_ROUNDING = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of rate limits.

    Parameters
    ----------
    burst_ms : float
        The requests of this time may be sent at once after a pause.
    hold_ms : float
        Time for which a limit stays in force after the last answer that
        names it. An upstream may name its limit in some answers only.
    other_source_hold_ms : float
        The same for answers of another kind than those that have named the
        limit.
    """

    burst_ms: float = 500.0
    hold_ms: float = 3_000.0
    other_source_hold_ms: float = 10_000.0


DEFAULT_OPTIONS = Options()


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """State of the rate limit of one upstream: a token bucket and a window.

    Load pattern: a service has more load than an upstream that needs relief
    may take. The bucket spreads its share evenly, and the window holds when
    the limit falls.

    Each method returns a result or a new state for the time it is given.

    Parameters
    ----------
    per_s : float
        Rate that the upstream has named; infinite if there is none.
    named_ms : float
        Monotonic instant of the last answer that names the limit.
    sources : frozenset of NoticeSource
        Kinds of answers that have named the limit.
    ended_ms : float
        Monotonic instant at which the limit ended and the recovery began;
        infinite while the limit is in force.
    tokens : float
        Requests that could start at ``updated_ms``.
    updated_ms : float
        Monotonic instant of the last change of ``tokens``.
    starts_ms : tuple of float
        Starts within the window before ``updated_ms``.
    options : Options
        Burst and hold times.
    """

    per_s: float = math.inf
    named_ms: float = -math.inf
    sources: frozenset[upstreams.NoticeSource] = frozenset()
    ended_ms: float = math.inf
    tokens: float = 0.0
    updated_ms: float = 0.0
    starts_ms: tuple[float, ...] = ()
    options: Options = DEFAULT_OPTIONS

    @property
    def paced(self) -> bool:
        """True while starts are paced: until the end of the recovery."""
        return self.per_s < math.inf

    @property
    def in_force(self) -> bool:
        """True from the first answer that names a limit until its end."""
        return self.paced and math.isinf(self.ended_ms)

    def named(
        self, per_s: float, source: upstreams.NoticeSource, now_ms: float
    ) -> RateLimit:
        """Return the state after an answer that names a limit."""
        return dataclasses.replace(
            self,
            per_s=per_s,
            named_ms=now_ms,
            sources=self.sources | {source},
            ended_ms=math.inf,
            tokens=min(self._tokens(now_ms), self._burst(per_s)),
            updated_ms=now_ms,
        )

    def adopted(
        self, per_s: float, recent_starts: int, now_ms: float
    ) -> RateLimit:
        """Return the state of a restarted sidecar that learns of a limit.

        The previous process may have used the limit in full until now. If
        it had started more requests, because the limit was higher before,
        all of them may have started just now.

        Parameters
        ----------
        per_s : float
            The limit.
        recent_starts : int
            Starts within the window of the previous process, as it has last
            told.
        now_ms : float
            Monotonic time.
        """
        # Ingress nodes do not tell which kind of answer has named it.
        limit = self.named(per_s, upstreams.NoticeSource.ANSWER, now_ms)
        limit = limit.named(per_s, upstreams.NoticeSource.REFUSAL, now_ms)
        count = math.ceil(limit._rate(now_ms) * WINDOW_MS / 1_000)
        count = min(count, MAX_ASSUMED_STARTS)
        spread = [now_ms - k * WINDOW_MS / count for k in range(count)]
        at_once = [now_ms] * min(count, math.ceil(limit._burst(per_s)))
        starts_ms = (*reversed(spread), *at_once)
        if recent_starts > len(starts_ms):
            starts_ms = (now_ms,) * min(recent_starts, MAX_ASSUMED_STARTS)
        return dataclasses.replace(limit, starts_ms=starts_ms)

    def recent_starts(self, now_ms: float) -> int:
        """Return the number of starts within the window."""
        return len(self._recent(now_ms))

    def unnamed(
        self, source: upstreams.NoticeSource, now_ms: float
    ) -> RateLimit:
        """Return the state after an answer that names no limit."""
        if not self.in_force:
            return self
        if now_ms - self.named_ms < self._hold_ms(source):
            return self
        return dataclasses.replace(
            self,
            ended_ms=now_ms,
            tokens=self._tokens(now_ms),
            updated_ms=now_ms,
            sources=frozenset(),
        )

    def recovered(self, now_ms: float) -> RateLimit:
        """Return the state without a limit once the recovery is over."""
        if now_ms - self.ended_ms < RECOVERY_MS:
            return self
        return RateLimit(options=self.options)

    def started(self, now_ms: float) -> RateLimit:
        """Return the state after the start of a request."""
        if not self.paced:
            return self
        return dataclasses.replace(
            self,
            tokens=self._tokens(now_ms) - 1,
            updated_ms=now_ms,
            starts_ms=(*self._recent(now_ms), now_ms),
        )

    def wait_ms(self, ahead: int, now_ms: float) -> float:
        """Return the time until a request behind others may start.

        Parameters
        ----------
        ahead : int
            Requests that start before it.
        now_ms : float
            Monotonic time.
        """
        if not self.paced:
            return 0.0
        missing = ahead + 1 - self._tokens(now_ms) - _ROUNDING
        wait_ms = max(0.0, missing * 1_000 / self._rate(now_ms))
        if self.in_force:
            wait_ms = max(wait_ms, self._window_wait_ms(ahead, now_ms))
        return wait_ms

    def _window_wait_ms(self, ahead: int, now_ms: float) -> float:
        recent = self._recent(now_ms)
        most = int(
            WINDOW_RATIO * self._rate(now_ms) * WINDOW_MS / 1_000
            + WINDOW_EXTRA
        )
        excess = min(len(recent) + ahead + 1 - most, len(recent))
        if excess <= 0:
            return 0.0
        return max(0.0, recent[excess - 1] + WINDOW_MS - now_ms)

    def _rate(self, now_ms: float) -> float:
        if self.in_force:
            return max(self.per_s, MIN_PER_S)
        recovered_s = max(0.0, now_ms - self.ended_ms) / 1_000
        return max(self.per_s, MIN_RECOVERY_PER_S) * (
            RECOVERY_GROWTH_PER_S**recovered_s
        )

    def _tokens(self, now_ms: float) -> float:
        if not self.paced:
            return 0.0
        rate = self._rate(now_ms)
        passed_s = max(0.0, now_ms - self.updated_ms) / 1_000
        return min(self._burst(rate), self.tokens + rate * passed_s)

    def _burst(self, per_s: float) -> float:
        return max(1.0, per_s * self.options.burst_ms / 1_000)

    def _recent(self, now_ms: float) -> tuple[float, ...]:
        oldest_ms = now_ms - WINDOW_MS
        return tuple(
            start_ms for start_ms in self.starts_ms if start_ms > oldest_ms
        )

    def _hold_ms(self, source: upstreams.NoticeSource) -> float:
        hold_ms = self.options.other_source_hold_ms
        if source in self.sources:
            hold_ms = self.options.hold_ms
        interval_ms = 1_000 / max(self.per_s, MIN_PER_S)
        return max(hold_ms, min(HOLD_INTERVALS * interval_ms, MAX_HOLD_MS))
