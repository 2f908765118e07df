"""HTTP connections to upstreams and stores, with bounded input."""

from __future__ import annotations

import asyncio
import functools
import socket
import ssl
import typing

import aiohttp
from aiohttp import client_proto

if typing.TYPE_CHECKING:
    SocketOption = tuple[int, int, int]

# Bytes of a response besides its body: status lines, headers, interim
# responses, chunk framing and trailers.
FRAMING_BYTES = 64 * 1024

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


class ResponseTooLargeError(aiohttp.ClientError):
    """The server sent more bytes than one response may have."""


class LimitedProtocol(client_proto.ResponseHandler):
    """Ends a connection that receives too many bytes for one response.

    All received bytes count: interim responses and chunk extensions can go
    on without end while neither a header nor a body is ever complete.
    """

    limit_bytes = FRAMING_BYTES
    _received_bytes = 0

    def start_exchange(self) -> None:
        """Count the bytes of the next response from zero."""
        self._received_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Parse data; close the connection beyond the limit."""
        self._received_bytes += len(data)
        if self._received_bytes <= self.limit_bytes:
            super().data_received(data)
            return
        error = ResponseTooLargeError(
            f'more than {self.limit_bytes} bytes for one response'
        )
        payload, transport = self._payload, self.transport
        self.set_exception(error)
        if payload is not None:
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
        **options: typing.Any,
    ) -> None:
        super().__init__(**options)
        self._limit_bytes = 2 * max_body_bytes + FRAMING_BYTES
        self._factory = functools.partial(protocol, loop=self._loop)
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
            async with asyncio.timeout(timeout.sock_connect):
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
        raise ResponseTooLargeError(f'body of {length} bytes')
    chunks = []
    size_bytes = 0
    async for chunk in response.content.iter_any():
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            raise ResponseTooLargeError(f'body over {limit_bytes} bytes')
        chunks.append(chunk)
    return b''.join(chunks)
