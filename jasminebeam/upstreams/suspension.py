"""Decides when an upstream is out of service for its unusable responses."""

from __future__ import annotations

import dataclasses

from jasminebeam import http_client

# Time out of service; doubled with each further suspension.
FIRST_SUSPENSION_MS = 1_000.0
MAX_SUSPENSION_MS = 8_000.0

# An upstream that stayed in service for this long starts anew.
FORGET_MS = 2 * MAX_SUSPENSION_MS

# Successive unusable responses that suspend an upstream. An answer may exceed
# its limit, or be malformed, because of a single request.
MAX_UNUSABLE_RESPONSES = 3

# Reasons that no request explains: each costs the node work and is enough.
_SEVERE = frozenset(
    {
        http_client.EndReason.INTERIM,
        http_client.EndReason.HEAD,
        http_client.EndReason.FRAMING,
    }
)

# The response was complete, and closing the connection is enough.
_HARMLESS = frozenset({http_client.EndReason.UNSOLICITED})


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of suspensions.

    Parameters
    ----------
    first_ms, max_ms : float
        Shortest and longest suspension.
    forget_ms : float
        Time in service after which the next suspension is the shortest.
    """

    first_ms: float = FIRST_SUSPENSION_MS
    max_ms: float = MAX_SUSPENSION_MS
    forget_ms: float = FORGET_MS


DEFAULT_OPTIONS = Options()


class Suspension:
    """Takes an upstream out of service, each time for longer.

    During a suspension the upstream gets neither requests nor health checks.
    After it, a health check decides whether the upstream is back.

    Parameters
    ----------
    options : Options
        Durations.
    """

    def __init__(self, options: Options = DEFAULT_OPTIONS) -> None:
        self.active = False
        self._options = options
        self._unusable = 0
        self._duration_ms = 0.0
        self._end_ms = 0.0
        self._resumed_ms = 0.0

    def wait_ms(self, now_ms: float) -> float:
        """Return the time until a health check is allowed."""
        return max(0.0, self._end_ms - now_ms) if self.active else 0.0

    def on_unusable(
        self, reason: http_client.EndReason, to_check: bool, now_ms: float
    ) -> bool:
        """Record an unusable response; return True if it suspends.

        Parameters
        ----------
        reason : EndReason
            Why its connection was closed.
        to_check : bool
            True for a response to a health check.
        now_ms : float
            Monotonic time.
        """
        if reason in _HARMLESS:
            return False
        if self.active:
            # Responses to requests were on their way when it began.
            if not to_check or self.wait_ms(now_ms):
                return False
        else:
            self._unusable += 1
            if (
                reason not in _SEVERE
                and self._unusable < MAX_UNUSABLE_RESPONSES
            ):
                return False
            if now_ms - self._resumed_ms > self._options.forget_ms:
                self._duration_ms = 0.0
        self._suspend(now_ms)
        return True

    def on_sound(self, to_check: bool, now_ms: float) -> bool:
        """Record a complete response; return True if it ends a suspension."""
        self._unusable = 0
        if not (self.active and to_check) or self.wait_ms(now_ms):
            return False
        self.resume(now_ms)
        return True

    def resume(self, now_ms: float) -> None:
        """End a suspension."""
        self.active = False
        self._resumed_ms = now_ms

    @property
    def duration_ms(self) -> float:
        """Duration of the latest suspension."""
        return self._duration_ms

    def _suspend(self, now_ms: float) -> None:
        self.active = True
        self._unusable = 0
        self._duration_ms = min(
            max(self._options.first_ms, 2 * self._duration_ms),
            self._options.max_ms,
        )
        self._end_ms = now_ms + self._duration_ms
