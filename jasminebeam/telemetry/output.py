"""Log handler that never blocks the event loop."""

from __future__ import annotations

import asyncio
import collections
import os
import typing

import logbook

# Maximum number of lines that the handler buffers while the reader of the
# log falls behind. Beyond this limit it drops new lines and counts them.
MAX_BUFFERED_LINES = 2_000
FLUSH_INTERVAL_S = 0.1

# Maximum number of lines that a node writes per second. A node usually
# handles some tens of requests per second and writes about five lines for
# each.
MAX_LINES_PER_S = 1_000
WRITE_CHUNK_BYTES = 32_768


class LineHandler(logbook.Handler):
    """Buffers lines and writes them in batches, without blocking.

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
        self._unwritten = b''
        self._dropped_lines = 0
        self._current_second = 0.0
        self._lines_in_second = 0
        self._timer: asyncio.TimerHandle | None = None

    def emit(self, record: logbook.LogRecord) -> None:
        """Buffer one record, or drop and count it beyond the limits."""
        loop = _running_loop()
        if not self._is_within_limits(loop):
            self._dropped_lines += 1
            return
        self._lines.append(self.format(record).encode() + b'\n')
        if loop is None:
            self.flush()
        elif self._timer is None:
            self._timer = loop.call_later(FLUSH_INTERVAL_S, self._on_timer)

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        if self._dropped_lines and len(self._lines) < MAX_BUFFERED_LINES:
            self._lines.append(b'{"left_out": %d}\n' % self._dropped_lines)
            self._dropped_lines = 0
        os.set_blocking(self._descriptor, False)
        while self._unwritten or self._lines:
            chunk = self._unwritten or self._next_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                self._unwritten = chunk
                return
            except OSError:
                # The reader has closed the log. The node drops the buffered
                # lines and continues.
                self._unwritten = b''
                self._lines.clear()
                return
            self._unwritten = chunk[written:]

    def _next_chunk(self) -> bytes:
        lines: list[bytes] = []
        size_bytes = 0
        while self._lines and size_bytes < WRITE_CHUNK_BYTES:
            lines.append(self._lines.popleft())
            size_bytes += len(lines[-1])
        return b''.join(lines)

    def _is_within_limits(
        self, loop: asyncio.AbstractEventLoop | None
    ) -> bool:
        if len(self._lines) >= MAX_BUFFERED_LINES:
            return False
        if loop is None:
            return True
        second = loop.time() // 1
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        return self._lines_in_second <= MAX_LINES_PER_S

    def _on_timer(self) -> None:
        self._timer = None
        self.flush()
        if self._unwritten or self._lines:
            loop = typing.cast(asyncio.AbstractEventLoop, _running_loop())
            self._timer = loop.call_later(FLUSH_INTERVAL_S, self._on_timer)


def _running_loop() -> asyncio.AbstractEventLoop | None:
    try:
        return asyncio.get_running_loop()
    except RuntimeError:
        return None
