"""HTTP client towards the upstream beside the node."""

from __future__ import annotations

import asyncio
import contextvars
import functools
import re
import socket
import typing

import aiohttp
from aiohttp import client_proto
import yarl

from jasminebeam.model import requests
from jasminebeam.model import upstreams
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.upstreams import dialect as dialect_module

_SKIPPED_HEADERS = ('User-Agent', 'Accept-Encoding', 'Accept', 'Content-Type')

# An upstream that stops work at the deadline still gets its answer out.
ANSWER_GRACE_MS = 20.0

CONNECT_TIMEOUT_S = 0.25
HEALTH_TIMEOUT_S = 1.0

# Share of the upstream's idle time-out for which a connection is reused;
# the rest covers a request that crosses the close.
REUSE_SHARE = 0.7
FIRST_REUSE_S = 4.0

_KEEP_ALIVE = re.compile(r'timeout=(\d+)')


class UpstreamClient(typing.Protocol):
    """Runs one request at the upstream."""

    async def run(
        self, call: requests.Call, timeout_ms: float
    ) -> verdict.Verdict:
        """Return the verdict on one hand-over of the request."""

    async def check_health(self) -> upstreams.Health | None:
        """Return the upstream's own account of its health and load."""

    async def close(self) -> None:
        """Close the connections."""


class _Protocol(client_proto.ResponseHandler):
    """Remembers how the connection ended."""

    was_reset = False

    def eof_received(self) -> None:
        """Look for a reset behind the end.

        libuv reports the end as soon as the peer has hung up behind the
        last data, and leaves the error on the socket.
        """
        raw = self.transport.get_extra_info('socket')
        self.was_reset = bool(
            raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        )
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note a reset; the base class forgets it on release."""
        self.was_reset = self.was_reset or exc is not None
        super().connection_lost(exc)


class CheckedConnector(aiohttp.TCPConnector):
    """Reuses no connection on which bytes wait that nobody asked for."""

    def __init__(self, **options: typing.Any) -> None:
        super().__init__(**options)
        self._factory = functools.partial(_Protocol, loop=self._loop)

    async def connect(
        self, *args: typing.Any, **kwargs: typing.Any
    ) -> aiohttp.connector.Connection:
        """Return a connection that is clean."""
        while True:
            connection = await super().connect(*args, **kwargs)
            if not connection.protocol.should_close:
                _protocol.set(connection.protocol)
                return connection
            connection.close()

    def reuse_for(self, idle_s: float) -> None:
        """Set how long an idle connection is reused."""
        self._keepalive_timeout = idle_s


_protocol: contextvars.ContextVar[_Protocol | None] = contextvars.ContextVar(
    'protocol', default=None
)


class HttpUpstreamClient:
    """Sends each request once, over a bounded set of connections.

    Parameters
    ----------
    announcement : Announcement
        How to reach the upstream and how it sheds.
    max_answer_bytes : int
        Largest answer body that is accepted.
    dialect : UpstreamDialect
        Translates requests and answers.
    on_report : callable
        Receives each load report.
    """

    def __init__(
        self,
        announcement: upstreams.Announcement,
        max_answer_bytes: int,
        dialect: dialect_module.UpstreamDialect,
        on_report: typing.Callable[[upstreams.LoadReport], None],
    ) -> None:
        self.announcement = announcement
        self._max_answer_bytes = max_answer_bytes
        self._dialect = dialect
        self._on_report = on_report
        self._base = f'http://{announcement.host}:{announcement.port}'
        self._connector = CheckedConnector(
            limit=announcement.connections,
            ttl_dns_cache=None,
            keepalive_timeout=FIRST_REUSE_S,
        )
        self._session = aiohttp.ClientSession(
            connector=self._connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED_HEADERS,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S
            ),
        )
        # aiohttp repeats GET, HEAD, PUT and DELETE on a lost connection.
        self._session._retry_connection = False

    async def run(
        self, call: requests.Call, timeout_ms: float
    ) -> verdict.Verdict:
        """Return the verdict on one hand-over of the request."""
        try:
            async with asyncio.timeout((timeout_ms + ANSWER_GRACE_MS) / 1_000):
                return await self._exchange(call, timeout_ms)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            return verdict.not_run(verdict.Reason.CONNECT_FAILED)
        except TimeoutError:
            return verdict.may_have_run(verdict.Reason.UPSTREAM_TIMEOUT)
        except (aiohttp.ClientError, ConnectionError):
            return verdict.may_have_run(verdict.Reason.UPSTREAM_DISCONNECTED)

    async def check_health(self) -> upstreams.Health | None:
        """Return the upstream's own account; None if there is no answer."""
        target = self._dialect.health_target(self.announcement)
        if not target:
            return None
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                async with self._session.get(self._base + target) as response:
                    body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        health = self._dialect.read_health(
            response.status, response.headers, body
        )
        if health.report is not None:
            self._on_report(health.report)
        return health

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def _exchange(
        self, call: requests.Call, timeout_ms: float
    ) -> verdict.Verdict:
        async with self._session.request(
            call.method,
            yarl.URL(self._base + call.target, encoded=True),
            headers=self._dialect.request_headers(
                call, timeout_ms, self.announcement
            ),
            data=call.body or None,
            allow_redirects=False,
        ) as response:
            protocol = _protocol.get()
            body = await self._read_body(response)
            if body is None:
                return verdict.may_have_run(verdict.Reason.ANSWER_TOO_LARGE)
            if _is_cut(response, protocol):
                return verdict.may_have_run(verdict.Reason.ANSWER_TRUNCATED)
            result = self._judge(call, response, body)
            if result.reason is verdict.Reason.WRONG_ANSWER:
                # The answer that was due may still come: never reused.
                protocol.close()
            return result

    async def _read_body(
        self, response: aiohttp.ClientResponse
    ) -> bytes | None:
        length = response.content_length
        if length is not None and length > self._max_answer_bytes:
            return None
        chunks = []
        size_bytes = 0
        async for chunk in response.content.iter_any():
            size_bytes += len(chunk)
            if size_bytes > self._max_answer_bytes:
                return None
            chunks.append(chunk)
        return b''.join(chunks)

    def _judge(
        self,
        call: requests.Call,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> verdict.Verdict:
        self._note_idle_timeout(response)
        report = self._dialect.read_report(response.headers)
        if report is not None:
            self._on_report(report)
        headers = tuple(
            (name.decode('latin-1'), value.decode('utf-8', 'replace'))
            for name, value in response.raw_headers
        )
        answer = requests.Answer(response.status, headers, body)
        return self._dialect.classify(
            call, answer, response.headers, self.announcement
        )

    def _note_idle_timeout(self, response: aiohttp.ClientResponse) -> None:
        told = _KEEP_ALIVE.search(response.headers.get('Keep-Alive', ''))
        if told is not None:
            self._connector.reuse_for(REUSE_SHARE * int(told.group(1)))


def _is_cut(
    response: aiohttp.ClientResponse,
    protocol: _Protocol | None,
) -> bool:
    """Return True if an answer without a length ended with a reset."""
    if response.content_length is not None or protocol is None:
        return False
    if 'chunked' in response.headers.get('Transfer-Encoding', '').lower():
        return False
    return protocol.was_reset
