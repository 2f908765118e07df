"""Log lines that never block the event loop."""

from __future__ import annotations

import asyncio
import collections
import os
import typing

import logbook

# Lines that wait for the reader of the log; beyond it the newest are left
# out and counted.
MAX_WAITING_LINES = 2_000
FLUSH_INTERVAL_S = 0.1

# Lines a second that a node may write; a node of the users' sites handles
# some tens of requests a second with about five lines each.
MAX_LINES_PER_S = 1_000
WRITE_BYTES = 32_768


class LineHandler(logbook.Handler):
    """Collects lines and writes them in batches, without waiting.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    level : int
        Lowest level that is written.
    """

    def __init__(self, descriptor: int, level: int) -> None:
        super().__init__(level=level, bubble=False)
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b''
        self._left_out = 0
        self._second = 0.0
        self._in_second = 0
        self._timer: asyncio.TimerHandle | None = None

    def emit(self, record: logbook.LogRecord) -> None:
        """Take one record, or count it if there is no room."""
        loop = _running_loop()
        if not self._has_room(loop):
            self._left_out += 1
            return
        self._lines.append(self.format(record).encode() + b'\n')
        if loop is None:
            self.flush()
        elif self._timer is None:
            self._timer = loop.call_later(FLUSH_INTERVAL_S, self._on_timer)

    def flush(self) -> None:
        """Write what the descriptor takes without waiting."""
        if self._left_out and len(self._lines) < MAX_WAITING_LINES:
            self._lines.append(b'{"left_out": %d}\n' % self._left_out)
            self._left_out = 0
        os.set_blocking(self._descriptor, False)
        while self._rest or self._lines:
            chunk = self._rest or self._next_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                self._rest = chunk
                return
            except OSError:
                # Nobody reads the log any more; the node goes on.
                self._rest = b''
                self._lines.clear()
                return
            self._rest = chunk[written:]

    def _next_chunk(self) -> bytes:
        taken: list[bytes] = []
        size_bytes = 0
        while self._lines and size_bytes < WRITE_BYTES:
            taken.append(self._lines.popleft())
            size_bytes += len(taken[-1])
        return b''.join(taken)

    def _has_room(self, loop: asyncio.AbstractEventLoop | None) -> bool:
        if len(self._lines) >= MAX_WAITING_LINES:
            return False
        if loop is None:
            return True
        second = loop.time() // 1
        if second != self._second:
            self._second = second
            self._in_second = 0
        self._in_second += 1
        return self._in_second <= MAX_LINES_PER_S

    def _on_timer(self) -> None:
        self._timer = None
        self.flush()
        if self._rest or self._lines:
            loop = typing.cast(asyncio.AbstractEventLoop, _running_loop())
            self._timer = loop.call_later(FLUSH_INTERVAL_S, self._on_timer)


def _running_loop() -> asyncio.AbstractEventLoop | None:
    try:
        return asyncio.get_running_loop()
    except RuntimeError:
        return None
