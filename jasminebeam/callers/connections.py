"""Connections of callers, with time limits on headers and idle time."""

from __future__ import annotations

import asyncio
import http
import typing

from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from jasminebeam.admission import byte_budget
from jasminebeam.callers import framing
from jasminebeam.callers import pipelining
from jasminebeam.callers import room as room_module
from jasminebeam.callers import unread_check

if typing.TYPE_CHECKING:
    from jasminebeam.callers import processor as processor_module

# The server closes an idle connection by this margin later than the idle
# timeout. A caller with the same timeout then stops reusing the connection
# a little before the server closes it.
IDLE_MARGIN_S = 1.0

# Bytes of a request besides its header and body, such as chunk extensions.
FRAMING_BYTES = 64 * 1024

# Bytes that are parsed at once. An error of the parser refers to them until
# it is collected.
PART_BYTES = 4 * 1024

# Bytes of chunk framing beyond the length of the body; each chunk costs work.
CHUNK_OVERHEAD_BYTES = 16 * 1024

# Bytes of a body that the parser may hold ahead of its reader, and memory of
# each part of a body besides its bytes.
READ_AHEAD_BYTES = 64 * 1024
BODY_PART_BYTES = 96

# A connection that holds more is closed even if it has a running request.
MAX_BUSY_BYTES = 256 * 1024

# Bytes of finely chunked data that are parsed in one turn. At 16 bytes a
# chunk this takes about a millisecond.
TURN_BYTES = 16 * 1024

# Data is finely chunked if its framing exceeds this share of the body.
FINE_FRAMING_RATIO = 1 / 16

# Time that a refused caller has to read its response, while nothing more is
# read from it. Closing at once would reset the connection, and the response
# could be lost.
LINGER_S = 1.0


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
        processor: processor_module.RequestProcessor,
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
        self._room = manager.room
        self.progress_ms = processor.now_ms()
        # Bytes that count against the budget, besides the body that is read.
        self.held_bytes = byte_budget.CONNECTION_BYTES
        # Reasons for not reading.
        self._is_held = False
        self._waits_for_turn = False
        self._is_refused = False
        self._header_timer: asyncio.TimerHandle | None = None
        self._pipeline = pipelining.PipelinedRequests(
            processor.respond, processor.is_idempotent, self._count_held
        )
        # Body of the last message that arrived.
        self._last_payload = streams.EMPTY_PAYLOAD
        # Bytes of an incomplete header, or message with an incomplete body.
        self._message_bytes = 0
        # Data behind requests, or a body, that wait for their turn.
        self._unparsed = b''
        self._has_malformed = False
        self._dropped_bytes = 0
        self._unread_check = unread_check.UnreadCheck(
            self._on_taken, self._on_unread
        )

    def data_received(self, data: bytes) -> None:
        """Parse data; limit the time and the size of an incomplete message."""
        if data and not self._paused:
            self.progress_ms = self._processor.now_ms()
        self._parse_parts(self._unparsed + data)
        if (
            self._unparsed
            or self._message_bytes > PART_BYTES
            or len(self._messages) > 1
            or self.held_bytes > byte_budget.CONNECTION_BYTES
        ):
            self._count_held()

    def _parse_parts(self, data: bytes) -> None:
        self._unparsed = b''
        end = 0
        while not end or end < len(data):
            if self._has_malformed:
                self._drop(len(data) - end)
                return
            if self._force_close:
                return
            if self._is_full():
                self._unparsed = data[end:]
                return
            start, end = end, self._part_end(data, end)
            self._parse(data[start:end])
            if not data:
                return
            if end >= TURN_BYTES and self._is_finely_chunked():
                self._unparsed = data[end:]
                self._wait_for_turn()
                return

    def _is_full(self) -> bool:
        """Return True if requests, or a body, wait for their turn."""
        return (
            self._reading_paused
            or self._is_held
            or self._waits_for_turn
            or len(self._messages) >= self._max_msg_queue_size
        )

    def _is_finely_chunked(self) -> bool:
        """Return True if the body arrives in very small chunks."""
        body = self._last_payload
        if body.is_eof() or self.transport is None:
            return False
        framing_bytes = self._message_bytes - body.total_bytes
        return framing_bytes > FINE_FRAMING_RATIO * self._message_bytes

    def _wait_for_turn(self) -> None:
        """Parse on once others have had their turn."""
        self._waits_for_turn = True
        self._pause_transport_reading()
        self._room.turns.wait(self._take_turn)

    def _take_turn(self) -> None:
        self._waits_for_turn = False
        self._read_on()

    def hold_reading(self) -> None:
        """Read and parse no more until `release_reading`."""
        self._is_held = True
        self._pause_transport_reading()

    def release_reading(self) -> None:
        """Read on."""
        self._is_held = False
        self._read_on()

    def refuse_rest(self) -> None:
        """Drop what has arrived; read no more of a refused request."""
        self._is_refused = True
        self._lingering_time = 0.0
        self._pause_transport_reading()
        self._release_buffers()
        self._count_held()

    def _read_on(self) -> None:
        if self.transport is None:
            return
        if not self._reading_paused:
            # The parser may hold data, too.
            self.data_received(b'')
        if not (self._reading_paused or self._buffer_paused):
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not (self._is_held or self._waits_for_turn or self._is_refused):
            super()._resume_transport_reading()

    @property
    def answer_bytes(self) -> int:
        """Bytes of unread answers that have room of their own."""
        return self._pipeline.answer_bytes

    @property
    def is_closable(self) -> bool:
        """True unless a complete request is running and little is held.

        Answers to pipelined requests wait for the one before them.
        """
        request = self._current_request
        if (
            self._paused
            or self._is_refused
            or self.held_bytes + self.answer_bytes > MAX_BUSY_BYTES
        ):
            return True
        if request is None:
            return not self._messages
        return not request.content.is_eof()

    def give_up(self) -> None:
        """Close the connection at once, to make room for others."""
        if self.transport is not None:
            self.transport.abort()

    def _count_held(self) -> None:
        """Count what the connection holds besides the body that is read."""
        held_bytes = byte_budget.CONNECTION_BYTES + len(self._unparsed)
        held_bytes += self._pipeline.held_bytes(len(self._messages))
        if not self._last_payload.is_eof():
            body = self._last_payload
            held_bytes += body._size + BODY_PART_BYTES * len(body._buffer)
        else:
            held_bytes += self._message_bytes
        if self.transport is not None and self._paused:
            held_bytes += self.transport.get_write_buffer_size()
        before, self.held_bytes = self.held_bytes, held_bytes
        self._room.hold(self, held_bytes - before)

    def _part_end(self, data: bytes, start: int) -> int:
        """Return the end of the bytes to parse next."""
        limit = min(len(data), start + PART_BYTES)
        if not self._last_payload.is_eof():
            return limit
        # If a message is malformed, the parser drops all messages of the same
        # data. Parsing each header by itself keeps those before it.
        return framing.header_end(data, start, limit)

    def _drop(self, size_bytes: int) -> None:
        """Drop what follows a malformed request.

        The requests before it are still answered, so the connection stays
        open until then.
        """
        self._dropped_bytes += size_bytes
        if self._dropped_bytes > FRAMING_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def _parse(self, data: bytes) -> None:
        if self._is_refused:
            return
        before = self._request_count
        in_body = not self._last_payload.is_eof()
        super().data_received(data)
        arrived = self._request_count - before
        self._pipeline.on_bytes(len(data), arrived, len(self._messages))
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
        if self._is_refused:
            await self._send_refusal(request, response)
        # A response that closes the connection tells the caller that the
        # requests behind it did not run.
        if self._processor.stopping and not self._pipeline.started:
            response.force_close()
        return response

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response; from then on, it no longer counts."""
        result = await super().finish_response(request, resp, start_time)
        self._pipeline.on_written()
        if self.held_bytes > byte_budget.CONNECTION_BYTES:
            self._count_held()
        return result

    async def _send_refusal(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """Send a response whose request is not read to its end."""
        response.force_close()
        await response.prepare(request)
        await response.write_eof()
        if self.transport is not None:
            self.transport.write_eof()
            await asyncio.sleep(LINGER_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; others are closed if there are too many."""
        super().connection_made(transport)
        self._room.on_opened(self)

    def pause_writing(self) -> None:
        """Check from now on whether the caller reads its answer."""
        super().pause_writing()
        self.progress_ms = self._processor.now_ms()
        self._count_held()
        self._unread_check.start(
            self.transport, self._processor.limits.idle_timeout_ms / 1_000
        )

    def resume_writing(self) -> None:
        """Stop the checks: the caller has read most of its answer."""
        self._unread_check.stop()
        super().resume_writing()
        self.progress_ms = self._processor.now_ms()
        self._count_held()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timers and the requests when the connection ends."""
        self._stop_header_timer()
        self._unread_check.stop()
        self._pipeline.cancel()
        self._release_buffers()
        super().connection_lost(exc)
        self._room.on_closed(self)

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
        if not self._last_payload.is_eof():
            self._last_payload._high_water = READ_AHEAD_BYTES
            self._last_payload._low_water = READ_AHEAD_BYTES // 2
        current = self._current_request
        self._start_pipelined(None if current is None else current._message)

    def _start_pipelined(self, current: pipelining.Message | None) -> None:
        if self._paused or self._room.is_short:
            # The caller does not read its answers, or others wait for room.
            return
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
        idle_ms = self._processor.limits.idle_timeout_ms
        idle_s = idle_ms / 1_000 + IDLE_MARGIN_S
        started_s = self._next_keepalive_close_time - self._keepalive_timeout
        self._next_keepalive_close_time = max(
            self._next_keepalive_close_time, started_s + idle_s
        )
        super()._process_keepalive()

    def _on_taken(self) -> None:
        """Record that the caller has taken a part of its answer."""
        self.progress_ms = self._processor.now_ms()

    def _on_unread(self, unread_bytes: int) -> None:
        self._processor.on_unread(unread_bytes)
        self.transport.abort()

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


class LimitedServer(web.Server):
    """Creates a `LimitedConnection` for each connection of a caller.

    Parameters
    ----------
    processor : RequestProcessor
        Answers the requests and provides the limits.
    room : ConnectionRoom or None
        Limits the connections together; None for a limit of its own.
    """

    def __init__(
        self,
        processor: processor_module.RequestProcessor,
        room: room_module.ConnectionRoom | None = None,
    ) -> None:
        self.room = room or room_module.default_room(processor.now_ms)
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
