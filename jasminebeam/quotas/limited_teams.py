"""Teams that had rate limits in recent revisions."""

from __future__ import annotations

import typing

from jasminebeam.quotas import limit as limit_module


class LimitedTeams:
    """Tells which teams were not limited before a revision.

    Their buckets may start full, which allows their burst at once. A team
    whose limit was dropped just before may have used its burst.
    """

    def __init__(self) -> None:
        # Teams of the last revision; None before the first one, when a
        # previous process of the node may have known any team.
        self._last: frozenset[str] | None = None
        # Teams of recent revisions, and until when they were limited.
        self._until_ms: dict[str, float] = {}

    def replace(
        self, names: typing.Collection[str], now_ms: float
    ) -> frozenset[str]:
        """Put a revision in force; return the teams that are new in it."""
        is_first = self._last is None
        recent = {
            name: until_ms
            for name, until_ms in self._until_ms.items()
            if until_ms > now_ms - limit_module.WINDOW_MS
        }
        self._until_ms = recent | dict.fromkeys(self._last or (), now_ms)
        self._last = frozenset(names)
        if is_first:
            return frozenset()
        return self._last - self._until_ms.keys()
