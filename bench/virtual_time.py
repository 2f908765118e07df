"""Event loop in virtual time, which advances only while no task can run."""

from __future__ import annotations

import asyncio
import selectors
import typing


class _VirtualTimeSelector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        if timeout is None:
            raise RuntimeError(
                'deadlock: all tasks wait and no timer is pending'
            )
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks that do no input or output, in virtual time."""

    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._time_selector.now_s

    def skip(self, seconds: float) -> None:
        """Advance the time without running tasks, as while paused."""
        self._time_selector.now_s += seconds

    def now_ms(self) -> float:
        """Return the virtual time in milliseconds."""
        return self._time_selector.now_s * 1_000
