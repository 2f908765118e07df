"""A timeout that does not count the time in which the event loop stands still.

While a host is suspended or short of processor time, its timers run out before
the event loop has seen what arrived in the meantime.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

# Parts of a limit. A stall of any length uses up one of them.
PARTS = 10


class _Parts:
    """Starts the parts of a limit one after the other."""

    def __init__(self, timeout: asyncio.Timeout, limit_s: float) -> None:
        self._timeout = timeout
        self._part_s = limit_s / PARTS
        self._left_parts = PARTS
        self._timer: asyncio.TimerHandle | None = None

    def start_next(self) -> None:
        """Start the next part; after the last one, the limit has passed."""
        loop = asyncio.get_running_loop()
        if not self._left_parts:
            self._timeout.reschedule(loop.time())
            return
        self._left_parts -= 1
        self._timer = loop.call_later(self._part_s, self.start_next)

    def close(self) -> None:
        """Start no further part."""
        if self._timer is not None:
            # A cancelled timer no longer refers to this object. A cycle that
            # includes the timeout, and so its task, would keep what the task
            # returns in memory.
            self._timer.cancel()
            self._timer = None


@contextlib.asynccontextmanager
async def limit_running_time(
    limit_s: float | None,
) -> typing.AsyncIterator[None]:
    """Limit the time for which the event loop runs in a block.

    Parameters
    ----------
    limit_s : float or None
        Limit in seconds; None for no limit.

    Raises
    ------
    TimeoutError
        If the block takes longer. As with `asyncio.timeout`, the block itself
        is cancelled.
    """
    if limit_s is None:
        yield
        return
    async with asyncio.timeout(None) as timeout:
        parts = _Parts(timeout, limit_s)
        parts.start_next()
        try:
            yield
        finally:
            parts.close()
