"""Rate limit that an upstream names for the requests of all nodes."""

from __future__ import annotations

import dataclasses
import math

from jasminebeam.model import upstreams

# An upstream may name its limit in some of its answers only. The limit stays
# in force for this time after the last answer that names it.
HOLD_MS = 3_000.0
# The same for answers of another kind than those that have named the limit.
OTHER_SOURCE_HOLD_MS = 10_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """State of the rate limit of one upstream.

    Parameters
    ----------
    per_s : float
        Rate that the upstream has named; infinite if there is none.
    named_ms : float
        Monotonic instant of the last answer that names the limit.
    sources : frozenset of NoticeSource
        Kinds of answers that have named the limit.
    """

    per_s: float = math.inf
    named_ms: float = -math.inf
    sources: frozenset[upstreams.NoticeSource] = frozenset()

    @property
    def in_force(self) -> bool:
        """True from the first answer that names a limit until its end."""
        return self.per_s < math.inf

    def named(
        self, per_s: float, source: upstreams.NoticeSource, now_ms: float
    ) -> RateLimit:
        """Return the state after an answer that names a limit."""
        return dataclasses.replace(
            self,
            per_s=per_s,
            named_ms=now_ms,
            sources=self.sources | {source},
        )

    def unnamed(
        self, source: upstreams.NoticeSource, now_ms: float
    ) -> RateLimit:
        """Return the state after an answer that names no limit."""
        if not self.in_force:
            return self
        hold_ms = OTHER_SOURCE_HOLD_MS
        if source in self.sources:
            hold_ms = HOLD_MS
        if now_ms - self.named_ms < hold_ms:
            return self
        return UNLIMITED


UNLIMITED = RateLimit()
