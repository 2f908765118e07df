"""Connections of callers, with time limits on headers and idle time."""

from __future__ import annotations

import asyncio
import http
import re
import typing

from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from jasminebeam.callers import pipelining

if typing.TYPE_CHECKING:
    from jasminebeam.model import routes

# The server closes an idle connection by this margin later than the idle
# timeout. A caller with the same timeout then stops reusing the connection
# a little before the server closes it.
IDLE_MARGIN_S = 1.0

# An answer is given up if the caller reads none of it between this number of
# checks within the idle timeout. A process that was paused itself finds no
# progress at the first of them.
UNREAD_CHECKS = 2

# Bytes of a request besides its header and body, such as chunk extensions.
FRAMING_BYTES = 64 * 1024

# Bytes that are parsed at once. An error of the parser refers to them until
# it is collected.
PART_BYTES = 4 * 1024

# Bytes of chunk framing beyond the length of the body. Each chunk costs the
# parser the same, however short it is.
CHUNK_OVERHEAD_BYTES = 16 * 1024

_HEADER_END = b'\r\n\r\n'
_BLANK_LINES = re.compile(rb'[\r\n]*')


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


class LimitedConnection(web_protocol.RequestHandler):
    """Limits time and bytes of requests; processes pipelined requests.

    Parameters
    ----------
    manager : LimitedServer
        Server that created the connection.
    processor : RequestProcessor
        Answers the requests and provides the limits.
    options
        As for the base class.
    """

    def __init__(
        self,
        manager: LimitedServer,
        processor: RequestProcessor,
        **options: typing.Any,
    ) -> None:
        limits = processor.limits
        options['max_line_size'] = limits.header_bytes
        options['max_field_size'] = limits.header_bytes
        super().__init__(
            manager,
            keepalive_timeout=limits.idle_timeout_ms / 1_000 + IDLE_MARGIN_S,
            **options,
        )
        self._processor = processor
        self._header_timer: asyncio.TimerHandle | None = None
        self._pipeline = pipelining.PipelinedRequests(
            processor.respond, processor.is_idempotent
        )
        # Body of the last message that arrived.
        self._last_payload = streams.EMPTY_PAYLOAD
        # Bytes of an incomplete header, or of a message whose body is not
        # complete.
        self._message_bytes = 0
        # Data behind requests, or a body, that wait for their turn.
        self._unparsed = b''
        self._has_malformed = False
        self._dropped_bytes = 0
        self._unread_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Parse data; limit the time and the size of an incomplete message."""
        data, self._unparsed = self._unparsed + data, b''
        end = 0
        while not end or end < len(data):
            if self._has_malformed:
                self._drop(len(data) - end)
                return
            if self._force_close:
                return
            if self._is_full():
                # The base class has paused reading.
                self._unparsed = data[end:]
                return
            start, end = end, self._part_end(data, end)
            self._parse(data[start:end])
            if not data:
                return

    def _is_full(self) -> bool:
        """Return True if requests, or a body, wait for their turn."""
        return (
            self._reading_paused
            or len(self._messages) >= self._max_msg_queue_size
        )

    def _part_end(self, data: bytes, start: int) -> int:
        """Return the end of the bytes to parse next."""
        limit = min(len(data), start + PART_BYTES)
        if not self._last_payload.is_eof():
            return limit
        # If a message is malformed, the parser drops all messages of the
        # same data. Parsing each header by itself keeps those before it.
        return _header_end(data, start, limit)

    def _drop(self, size_bytes: int) -> None:
        """Drop what follows a malformed request.

        The requests before it are still answered, so the connection stays
        open until then.
        """
        self._dropped_bytes += size_bytes
        if self._dropped_bytes > FRAMING_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def _parse(self, data: bytes) -> None:
        before = self._request_count
        in_body = not self._last_payload.is_eof()
        super().data_received(data)
        arrived = self._request_count - before
        if arrived:
            self._on_messages(arrived)
        if arrived or (in_body and self._last_payload.is_eof()):
            self._message_bytes = 0
        if not (arrived and self._last_payload.is_eof()):
            self._limit_message(len(data))
        if arrived or self._current_request is not None:
            self._stop_header_timer()
        elif self._header_timer is None and not self._messages:
            self._header_timer = self._loop.call_later(
                self._processor.limits.header_timeout_ms / 1_000,
                self.force_close,
            )

    async def respond(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response of the request whose turn it is."""
        message = request._message
        self._start_pipelined(message)
        response = await self._pipeline.respond(
            request, message, self._processor.now_ms()
        )
        # A response that closes the connection tells the caller that the
        # requests behind it did not run.
        if self._processor.stopping and not self._pipeline.started:
            response.force_close()
        return response

    def pause_writing(self) -> None:
        """Check from now on whether the caller reads its answer."""
        super().pause_writing()
        self._check_unread_later(self.transport.get_write_buffer_size(), 0)

    def resume_writing(self) -> None:
        """Stop the checks: the caller has read most of its answer."""
        self._stop_unread_timer()
        super().resume_writing()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timers and the requests when the connection ends."""
        self._stop_header_timer()
        self._stop_unread_timer()
        self._pipeline.cancel()
        self._release_buffers()
        super().connection_lost(exc)

    def _release_buffers(self) -> None:
        """Free unread data, which cycles of references would keep longer."""
        self._unparsed = b''
        if not self._last_payload.is_eof():
            self._last_payload._buffer.clear()
            self._last_payload._http_chunk_splits = None

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = http.HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a malformed request or a failed handler."""
        self._processor.on_error(status, exc)
        if request.writer.output_size > 0:
            raise ConnectionError('a part of the response is already sent')
        response = web.Response(
            status=status, text=http.HTTPStatus(status).phrase
        )
        response.force_close()
        return response

    def _on_messages(self, count: int) -> None:
        arrived = list(self._messages)[-count:]
        if not isinstance(arrived[-1][0], http_parser.RawRequestMessage):
            self._has_malformed = True
        if not self._last_payload.is_eof():
            # Only a malformed body is followed by a message before its end.
            self._processor.on_error(http.HTTPStatus.BAD_REQUEST, None)
            self.force_close()
            return
        self._pipeline.on_arrival(
            [
                message
                for message, _ in arrived
                if isinstance(message, http_parser.RawRequestMessage)
            ],
            self._processor.now_ms(),
        )
        self._last_payload = arrived[-1][1]
        current = self._current_request
        self._start_pipelined(None if current is None else current._message)

    def _start_pipelined(self, current: pipelining.Message | None) -> None:
        if self._messages and not self._processor.stopping:
            self._pipeline.start_waiting(
                current, self._messages, self._create_request
            )

    def _create_request(
        self, message: pipelining.Message, payload: streams.StreamReader
    ) -> web.BaseRequest:
        writer = web_protocol.StreamWriter(self, self._loop)
        return self._request_factory(
            message, payload, self, writer, self._task_handler
        )

    def _limit_message(self, size_bytes: int) -> None:
        """Close a connection whose current message grows without end."""
        self._message_bytes += size_bytes
        limits = self._processor.limits
        limit_bytes = limits.header_bytes + FRAMING_BYTES
        overhead_bytes = 0
        if not self._last_payload.is_eof():
            limit_bytes += 2 * limits.body_bytes
            overhead_bytes = self._chunk_overhead()
        if (
            self._message_bytes > limit_bytes
            or overhead_bytes > limits.header_bytes + CHUNK_OVERHEAD_BYTES
        ):
            self._processor.on_oversized(self._message_bytes)
            self.force_close()

    def _chunk_overhead(self) -> int:
        """Return the bytes of the message beyond twice those of its body."""
        if self._reading_paused:
            # The parser waits for the reader of the body.
            return 0
        return self._message_bytes - 2 * self._last_payload.total_bytes

    def _process_keepalive(self) -> None:
        # The idle timeout may have been raised since the connection opened.
        limits = self._processor.limits
        idle_s = limits.idle_timeout_ms / 1_000 + IDLE_MARGIN_S
        started_s = self._next_keepalive_close_time - self._keepalive_timeout
        self._next_keepalive_close_time = max(
            self._next_keepalive_close_time, started_s + idle_s
        )
        super()._process_keepalive()

    def _check_unread_later(self, unread_bytes: int, unchanged: int) -> None:
        interval_s = self._processor.limits.idle_timeout_ms / 1_000
        self._unread_timer = self._loop.call_later(
            interval_s / UNREAD_CHECKS,
            self._check_unread,
            unread_bytes,
            unchanged,
        )

    def _check_unread(self, before_bytes: int, unchanged: int) -> None:
        """Abort the connection if the caller has stopped reading."""
        unread_bytes = self.transport.get_write_buffer_size()
        unchanged = unchanged + 1 if unread_bytes == before_bytes else 0
        if unchanged < UNREAD_CHECKS:
            self._check_unread_later(unread_bytes, unchanged)
            return
        self._unread_timer = None
        self._processor.on_unread(unread_bytes)
        self.transport.abort()

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


def _header_end(data: bytes, start: int, limit: int) -> int:
    """Return where the header that begins at `start` may end.

    Examples
    --------
    >>> _header_end(b'one\\r\\n\\r\\ntwo', 0, 10)
    7
    >>> _header_end(b'one\\r\\n\\r\\ntwo', 7, 10)
    10
    """
    # Blank lines may precede a request; they are no header.
    first = _BLANK_LINES.match(data, start, limit).end() if start else 0
    end = data.find(_HEADER_END, first, limit)
    return limit if end < 0 else end + len(_HEADER_END)


class LimitedServer(web.Server):
    """Creates a `LimitedConnection` for each connection of a caller.

    Parameters
    ----------
    processor : RequestProcessor
        Answers the requests and provides the limits.
    """

    def __init__(self, processor: RequestProcessor) -> None:
        super().__init__(
            _respond,
            handler_cancellation=True,
            auto_decompress=False,
            access_log=None,
        )
        self._processor = processor

    def __call__(self) -> LimitedConnection:
        """Return the protocol of a new connection."""
        return LimitedConnection(
            self, self._processor, loop=self._loop, **self._kwargs
        )


async def _respond(request: web.BaseRequest) -> web.StreamResponse:
    return await request.protocol.respond(request)
