"""HTTP connections to upstreams and stores, with bounded input."""

from __future__ import annotations

import asyncio
import enum
import functools
import socket
import ssl
import typing

import aiohttp
from aiohttp import client_proto
from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams

from jasminebeam import loop_timeout
from jasminebeam import response_syntax

if typing.TYPE_CHECKING:
    SocketOption = tuple[int, int, int]

# Bytes of a response besides its body: status lines, headers, interim
# responses, chunk framing and trailers. Chunk framing may be as long as the
# body in addition.
FRAMING_BYTES = 64 * 1024

# Interim (1xx) responses before a final one.
MAX_INTERIM_RESPONSES = 5

# Bytes that are parsed between two checks of the limits, before and after the
# head of the final response. The parser creates an object for each interim
# response and each chunk, so these bound its work beyond a limit.
HEAD_PART_BYTES = 1024
BODY_PART_BYTES = 16 * 1024

# Socket options that detect within about 3 s that a connection is dead.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 3_000
KEEP_ALIVE = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
)


class EndReason(enum.StrEnum):
    """Why a connection was closed by its client."""

    INTERIM = 'interim_responses'
    HEAD = 'head'
    FRAMING = 'framing'
    BODY = 'body'
    MALFORMED = 'malformed'
    # Limit of all responses of the node together.
    NODE = 'node'
    # Bytes on a connection on which no request waits.
    UNSOLICITED = 'unsolicited'


def ignore_unsolicited(received_bytes: int) -> None:
    """Ignore that a connection was closed while no request waited."""


class ByteBudget:
    """Counts the bytes that the connections of a node hold together.

    Parameters
    ----------
    limit_bytes : int
        Maximum number of bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    @property
    def exceeded(self) -> bool:
        """True if the connections hold more than the limit."""
        return self.held_bytes > self.limit_bytes


class ResponseTooLargeError(aiohttp.ClientError):
    """The server exceeded a limit of one response.

    Parameters
    ----------
    reason : EndReason
        The limit.
    received_bytes : int
        Bytes of the response that were received.
    """

    def __init__(self, reason: EndReason, received_bytes: int) -> None:
        super().__init__(f'{reason} after {received_bytes} bytes')
        self.reason = reason
        self.received_bytes = received_bytes


class MalformedResponseError(aiohttp.ClientError):
    """The server sent bytes that are no response.

    Parameters
    ----------
    violation : Violation
        Part of the response that breaks the syntax.
    """

    def __init__(self, violation: response_syntax.Violation) -> None:
        super().__init__(f'malformed {violation}')
        self.violation = violation


class LimitedProtocol(client_proto.ResponseHandler):
    """Ends a connection whose response is malformed or exceeds a limit.

    The base class has a lenient parser, so all bytes are checked before.

    All received bytes count: interim responses and chunk extensions can go
    on without end while neither a header nor a body is ever complete.

    Parameters
    ----------
    loop : AbstractEventLoop
        Event loop of the connection.
    on_unsolicited : callable
        Receives the number of bytes after a complete response, once.
    budget : ByteBudget or None
        Counts the bytes of incomplete responses; None for no common limit.
    """

    limit_bytes = FRAMING_BYTES
    received_bytes = 0
    # Part of the response that is malformed; None if there is none.
    violation: response_syntax.Violation | None = None
    _interim_responses = 0
    _has_ended = False
    _has_surplus = False
    # Body of the final response; None before its head is complete.
    _final_body: streams.StreamReader | None = None
    _held_bytes = 0

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_unsolicited: typing.Callable[[int], None] = ignore_unsolicited,
        budget: ByteBudget | None = None,
    ) -> None:
        super().__init__(loop)
        self._on_unsolicited = on_unsolicited
        self._budget = budget
        self._checker = response_syntax.ResponseChecker()

    def start_exchange(self) -> None:
        """Check the next response, and count its bytes from zero."""
        self.received_bytes = 0
        self._interim_responses = 0
        self._final_body = None
        self._checker = response_syntax.ResponseChecker()

    def set_response_params(
        self, *, skip_payload: bool = False, **options: typing.Any
    ) -> None:
        """Prepare for the response to a request.

        Parameters
        ----------
        skip_payload : bool
            True if the response has no content, as that to a HEAD request.
        options
            As for the base class.
        """
        if skip_payload:
            self._checker = response_syntax.ResponseChecker(has_content=False)
        super().set_response_params(skip_payload=skip_payload, **options)

    def data_received(self, data: bytes) -> None:
        """Check and parse data; close the connection beyond a limit."""
        if self._has_ended:
            return
        if data and self._checker.is_complete:
            self._end_unsolicited(len(data))
            return
        self.received_bytes += len(data)
        self._hold(len(data))
        parsed_bytes = 0
        while True:
            part_bytes = BODY_PART_BYTES
            if self._final_body is None:
                part_bytes = HEAD_PART_BYTES
            parsed_bytes += self._parse(
                data[parsed_bytes : parsed_bytes + part_bytes]
            )
            if self._has_ended:
                return
            unparsed_bytes = len(data) - parsed_bytes
            reason = self._exceeded(self.received_bytes - unparsed_bytes)
            if reason is not None:
                self._fail(ResponseTooLargeError(reason, self.received_bytes))
            if self._is_complete():
                self._hold(-self._held_bytes)
            if not unparsed_bytes or self._is_unusable():
                return
            if self._checker.is_complete:
                self._end_unsolicited(unparsed_bytes)
                return

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back the bytes of an incomplete response."""
        self._hold(-self._held_bytes)
        super().connection_lost(exc)

    def feed_data(
        self,
        data: tuple[http_parser.RawResponseMessage, streams.StreamReader],
        size: int = 0,
    ) -> None:
        """Queue a final response; only count an interim one."""
        message, body = data
        if 100 <= message.code < 200 and message.code != 101:
            self._interim_responses += 1
            return
        if self._final_body is None:
            self._final_body = body
        super().feed_data(data, size)

    def _hold(self, size_bytes: int) -> None:
        self._held_bytes += size_bytes
        if self._budget is not None:
            self._budget.held_bytes += size_bytes

    def _is_over_budget(self) -> bool:
        """Return True if this connection is to make room for others.

        Short responses go on: they need little, and end soon.
        """
        if self._budget is None or self._held_bytes <= FRAMING_BYTES:
            return False
        return self._budget.exceeded

    def _is_complete(self) -> bool:
        return self._final_body is not None and self._final_body.is_eof()

    def _is_unusable(self) -> bool:
        return self.transport is None or self._exception is not None

    def _exceeded(self, parsed_bytes: int) -> EndReason | None:
        """Return the limit that the response exceeds, or None."""
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            return EndReason.INTERIM
        if self._is_over_budget():
            return EndReason.NODE
        body = self._final_body
        if body is None:
            return EndReason.HEAD if parsed_bytes > FRAMING_BYTES else None
        if parsed_bytes > self.limit_bytes:
            return EndReason.BODY
        # A parser that waits for the reader of the body has parsed less.
        if self._reading_paused:
            return None
        framing_bytes = parsed_bytes - 2 * body.total_bytes
        return EndReason.FRAMING if framing_bytes > FRAMING_BYTES else None

    def _parse(self, data: bytes) -> int:
        """Check data and parse what belongs to the response.

        Returns
        -------
        int
            Number of bytes of the response: all, or fewer at its end.
        """
        try:
            response_bytes = self._checker.check(data)
        except response_syntax.SyntaxViolationError as error:
            self._fail_malformed(error.violation)
            return 0
        super().data_received(data[:response_bytes])
        if isinstance(self._exception, http_exceptions.HttpProcessingError):
            # The base class does not tell the reader of the body.
            self._fail_malformed(response_syntax.Violation.OTHER)
        return response_bytes

    def _end_unsolicited(self, unsolicited_bytes: int) -> None:
        """Close the connection after its response; the response holds.

        If the parser still waits for the reader of the response, the
        connection ends with it, and the bytes are dropped.
        """
        if not self._has_surplus:
            self._has_surplus = True
            self._on_unsolicited(unsolicited_bytes)
        self.force_close()
        if self._is_complete():
            self._has_ended = True
            if self.transport is not None:
                self.transport.abort()

    def _fail_malformed(self, violation: response_syntax.Violation) -> None:
        self.violation = violation
        self._fail(MalformedResponseError(violation))

    def _fail(self, error: aiohttp.ClientError) -> None:
        """Abort the connection and fail its response."""
        self._has_ended = True
        self._hold(-self._held_bytes)
        payload, transport = self._payload, self.transport
        self.set_exception(error)
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        if transport is not None:
            transport.abort()


class Connector(aiohttp.TCPConnector):
    """Opens connections whose sockets belong to the event loop alone.

    Parameters
    ----------
    max_body_bytes : int
        Maximum size of a response body.
    protocol : type of LimitedProtocol
        Class of the connections' protocols.
    socket_options : sequence of tuple
        Level, name and value of options to set on each new socket.
    on_unsolicited : callable
        Receives the number of bytes for which a connection was closed while
        no request waited on it.
    budget : ByteBudget or None
        Common limit of the connections of several connectors.
    options
        As for the base class.

    Notes
    -----
    The base class creates a socket object and passes it to the event loop.
    If the set-up is cancelled, uvloop closes the descriptor, but the object
    still refers to it. When the object is collected, it closes the same
    number again, which may belong to another connection by then.
    """

    def __init__(
        self,
        max_body_bytes: int,
        protocol: type[LimitedProtocol] = LimitedProtocol,
        socket_options: typing.Sequence[SocketOption] = (),
        on_unsolicited: typing.Callable[[int], None] = ignore_unsolicited,
        budget: ByteBudget | None = None,
        **options: typing.Any,
    ) -> None:
        super().__init__(**options)
        self._limit_bytes = 2 * max_body_bytes + FRAMING_BYTES
        self._factory = functools.partial(
            protocol,
            loop=self._loop,
            on_unsolicited=on_unsolicited,
            budget=budget,
        )
        self._socket_options = socket_options

    async def connect(
        self, *args: typing.Any, **kwargs: typing.Any
    ) -> aiohttp.connector.Connection:
        """Return a connection that has received no unsolicited bytes."""
        while True:
            connection = await super().connect(*args, **kwargs)
            protocol = connection.protocol
            if not protocol.should_close:
                protocol.limit_bytes = self._limit_bytes
                protocol.start_exchange()
                return connection
            connection.close()

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[typing.Any],
        timeout: aiohttp.ClientTimeout,
    ) -> client_proto.ResponseHandler:
        context = self._get_ssl_context(req)
        try:
            async with loop_timeout.limit_running_time(timeout.sock_connect):
                transport, protocol = await self._loop.create_connection(
                    self._factory,
                    req.url.raw_host,
                    req.port,
                    ssl=context,
                    server_hostname=req.url.raw_host if context else None,
                )
        except ssl.SSLError as error:
            raise aiohttp.ClientConnectorSSLError(
                req.connection_key, error
            ) from error
        except OSError as error:
            if isinstance(error, TimeoutError) and error.errno is None:
                raise
            raise aiohttp.ClientConnectorError(
                req.connection_key, error
            ) from error
        self._set_options(transport)
        return protocol

    def _set_options(self, transport: asyncio.BaseTransport) -> None:
        raw = transport.get_extra_info('socket')
        for level, name, value in self._socket_options:
            raw.setsockopt(level, name, value)


def create_session(
    connector: aiohttp.BaseConnector,
    timeout: aiohttp.ClientTimeout,
    **options: typing.Any,
) -> aiohttp.ClientSession:
    """Return a session that sends each request once.

    By default, aiohttp sends GET, HEAD, PUT and DELETE requests again after
    it loses a reused connection. The first request may have taken effect.
    """
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=timeout,
        **options,
    )
    session._retry_connection = False
    return session


async def read_body(
    response: aiohttp.ClientResponse, limit_bytes: int
) -> bytes:
    """Return the body of a response.

    Raises
    ------
    ResponseTooLargeError
        If the body has more than `limit_bytes`.
    """
    length = response.content_length
    if length is not None and length > limit_bytes:
        raise ResponseTooLargeError(EndReason.BODY, 0)
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > limit_bytes:
            raise ResponseTooLargeError(EndReason.BODY, len(body))
    return bytes(body)
