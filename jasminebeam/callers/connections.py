"""Connections of callers, with time limits on headers and idle time."""

from __future__ import annotations

import asyncio
import typing

from aiohttp import web
from aiohttp import web_protocol

from jasminebeam.model import routes

# The server closes an idle connection by this margin later than the idle
# timeout. A caller with the same timeout then stops reusing the connection
# a little before the server closes it.
IDLE_MARGIN_S = 1.0


class LimitedConnection(web_protocol.RequestHandler):
    """Closes a connection on a header timeout or an idle timeout.

    Parameters
    ----------
    manager : LimitedServer
        Provides the limits in force.
    options
        As for the base class.
    """

    def __init__(self, manager: LimitedServer, **options: typing.Any) -> None:
        limits = manager.limits()
        options['max_line_size'] = limits.header_bytes
        options['max_field_size'] = limits.header_bytes
        super().__init__(
            manager,
            keepalive_timeout=limits.idle_timeout_ms / 1_000 + IDLE_MARGIN_S,
            **options,
        )
        self._limits = manager.limits
        self._header_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Parse data; start the header timer if a header is incomplete."""
        before = self._request_count
        super().data_received(data)
        if self._request_count != before or self._current_request is not None:
            self._stop_header_timer()
        elif self._header_timer is None and not self._messages:
            self._header_timer = self._loop.call_later(
                self._limits().header_timeout_ms / 1_000, self.force_close
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the header timer when the connection ends."""
        self._stop_header_timer()
        super().connection_lost(exc)

    def _process_keepalive(self) -> None:
        # The idle timeout may have been raised since the connection opened.
        idle_s = self._limits().idle_timeout_ms / 1_000 + IDLE_MARGIN_S
        started_s = self._next_keepalive_close_time - self._keepalive_timeout
        self._next_keepalive_close_time = max(
            self._next_keepalive_close_time, started_s + idle_s
        )
        super()._process_keepalive()

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


class LimitedServer(web.Server):
    """Creates a `LimitedConnection` for each connection of a caller.

    Parameters
    ----------
    handler : callable
        Answers each request.
    limits : callable
        Returns the limits in force.
    """

    def __init__(
        self,
        handler: typing.Callable[..., typing.Any],
        limits: typing.Callable[[], routes.CallerLimits],
    ) -> None:
        super().__init__(
            handler,
            handler_cancellation=True,
            auto_decompress=False,
            access_log=None,
        )
        self.limits = limits

    def __call__(self) -> LimitedConnection:
        """Return the protocol of a new connection."""
        return LimitedConnection(self, loop=self._loop, **self._kwargs)
