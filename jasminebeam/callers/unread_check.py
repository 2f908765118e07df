"""Checks whether a caller reads its answer."""

from __future__ import annotations

import asyncio
import typing

# An answer is given up if the caller reads none of it between this number of
# checks within the idle timeout. A process that was paused itself finds no
# progress at the first of them.
UNREAD_CHECKS = 2


class UnreadCheck:
    """Looks at the write buffer of a connection while it is full.

    Parameters
    ----------
    on_taken : callable
        Called if the caller has read a part since the last check.
    on_unread : callable
        Called with the number of unread bytes if it has stopped reading.
    """

    def __init__(
        self,
        on_taken: typing.Callable[[], None],
        on_unread: typing.Callable[[int], None],
    ) -> None:
        self._on_taken = on_taken
        self._on_unread = on_unread
        self._timer: asyncio.TimerHandle | None = None

    def start(
        self, transport: asyncio.WriteTransport, timeout_s: float
    ) -> None:
        """Check until `stop`; a reader has `timeout_s` for any progress."""
        self._check_later(
            transport, timeout_s, transport.get_write_buffer_size(), 0
        )

    def stop(self) -> None:
        """Stop the checks."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check_later(
        self,
        transport: asyncio.WriteTransport,
        timeout_s: float,
        unread_bytes: int,
        unchanged: int,
    ) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            timeout_s / UNREAD_CHECKS,
            self._check,
            transport,
            timeout_s,
            unread_bytes,
            unchanged,
        )

    def _check(
        self,
        transport: asyncio.WriteTransport,
        timeout_s: float,
        before_bytes: int,
        unchanged: int,
    ) -> None:
        unread_bytes = transport.get_write_buffer_size()
        unchanged = unchanged + 1 if unread_bytes == before_bytes else 0
        if not unchanged:
            self._on_taken()
        if unchanged < UNREAD_CHECKS:
            self._check_later(transport, timeout_s, unread_bytes, unchanged)
            return
        self._timer = None
        self._on_unread(unread_bytes)
