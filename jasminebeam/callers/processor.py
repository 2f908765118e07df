"""Interface between connections of callers and the server of requests."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from aiohttp import web

    from jasminebeam.callers import pipelining
    from jasminebeam.model import routes


class RequestProcessor(typing.Protocol):
    """Answers the requests of all connections."""

    @property
    def limits(self) -> routes.CallerLimits:
        """Limits in force."""

    @property
    def stopping(self) -> bool:
        """True while connections are closed with their next response."""

    def now_ms(self) -> float:
        """Return the monotonic time."""

    def is_idempotent(self, message: pipelining.Message) -> bool:
        """Return True if the request of a message may run more than once."""

    async def respond(
        self, request: web.BaseRequest, arrived_ms: float
    ) -> web.StreamResponse:
        """Return the response to a request."""

    def on_oversized(self, received_bytes: int) -> None:
        """Record a request whose bytes exceed all limits."""

    def on_error(self, status: int, error: BaseException | None) -> None:
        """Record a malformed request or a failed handler."""

    def on_unread(self, unread_bytes: int) -> None:
        """Record an answer that the caller does not read."""
