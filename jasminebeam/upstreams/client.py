"""HTTP client of the node's local upstream."""

from __future__ import annotations

import asyncio
import contextvars
import dataclasses
import re
import socket
import typing

import aiohttp
import multidict
import yarl

from jasminebeam import answer_room
from jasminebeam import body_payload
from jasminebeam import budget_sweeper
from jasminebeam import clock
from jasminebeam import http_client
from jasminebeam.model import requests
from jasminebeam.model import upstreams
from jasminebeam.upstreams import answer_reader
from jasminebeam.upstreams import notices
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam import body_buffer
    from jasminebeam.upstreams import dialect as dialect_module

_SKIPPED_HEADERS = ('User-Agent', 'Accept-Encoding', 'Accept', 'Content-Type')

# An upstream that stops its work at the deadline needs this time to send its
# answer.
ANSWER_GRACE_MS = 20.0

CONNECT_TIMEOUT_S = 0.25
HEALTH_TIMEOUT_S = 1.0
MAX_HEALTH_BYTES = 64 * 1024

# Bytes of incomplete responses of a node's upstreams together, of requests
# and of health checks.
MAX_HELD_BYTES = 16 * 1024 * 1024

# Share of the upstream's idle timeout for which a connection is reused. The
# rest is a margin: a request sent just before the timeout could arrive after
# the upstream has closed the connection.
REUSE_RATIO = 0.7
INITIAL_REUSE_S = 4.0

# Refused requests that are remembered for one connection. It is closed when
# there are more.
MAX_REFUSED_IDS = 256

# Reasons for which an answer tells nothing about the upstream: it belongs to
# another request, or another upstream sent it.
_FOREIGN_REASONS = frozenset(
    {verdict.Reason.WRONG_ANSWER, verdict.Reason.WRONG_UPSTREAM}
)

_KEEP_ALIVE = re.compile(r'timeout=([0-9]{1,9})')


OnNotice = typing.Callable[
    [upstreams.Announcement, upstreams.NoticeSource, upstreams.Notice], None
]


def ignore_notice(
    announcement: upstreams.Announcement,
    source: upstreams.NoticeSource,
    notice: upstreams.Notice,
) -> None:
    """Ignore a notice; the caller only wants answers."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnusableResponse:
    """Bytes of the upstream that are no response, or exceed its limits.

    Parameters
    ----------
    reason : EndReason
        Why the connection was closed.
    received_bytes : int
        Bytes received since the last request on the connection.
    to_check : bool
        True if the request was a health check.
    violation : str
        Part that is malformed; empty for another reason.
    """

    reason: http_client.EndReason
    received_bytes: int
    to_check: bool = False
    violation: str = ''


class ResponseObserver(typing.Protocol):
    """Receives whether the upstream's responses can be used."""

    def on_sound(
        self, announcement: upstreams.Announcement, to_check: bool
    ) -> None:
        """Record a complete response."""

    def on_unusable(
        self,
        announcement: upstreams.Announcement,
        response: UnusableResponse,
    ) -> None:
        """Record that a connection was closed for what it received."""


class IgnoringObserver:
    """Ignores the responses; the caller only wants answers."""

    def on_sound(
        self, announcement: upstreams.Announcement, to_check: bool
    ) -> None:
        """Ignore a complete response."""

    def on_unusable(
        self,
        announcement: upstreams.Announcement,
        response: UnusableResponse,
    ) -> None:
        """Ignore that a connection was closed."""


class UpstreamClient(typing.Protocol):
    """Runs one request at the upstream."""

    async def run(
        self, call: requests.Call, timeout_ms: float
    ) -> verdict.Verdict:
        """Send the request once and return the verdict on it."""

    async def check_health(self) -> upstreams.Health | None:
        """Run a health check and return the reported health and load."""

    async def close(self) -> None:
        """Close the connections."""


class _ResetAwareProtocol(http_client.LimitedProtocol):
    """Records a reset, and the requests that were refused.

    A faulty upstream may write a refusal once more. If the same request
    were sent again on the connection, the copy would seem to answer it.
    """

    was_reset = False
    _refused_ids: frozenset[str] = frozenset()

    def on_refused(self, request_id: str) -> None:
        """Record that the upstream has refused a request."""
        self._refused_ids |= {request_id}
        if len(self._refused_ids) > MAX_REFUSED_IDS:
            self.close()

    def has_refused(self, request_id: str) -> bool:
        """Return True if the upstream has refused the request on it."""
        return request_id in self._refused_ids

    def eof_received(self) -> None:
        """Check whether a reset caused the end of the stream.

        If the peer resets the connection after its last data, libuv
        reports an ordinary end of stream and leaves the error on the socket.
        """
        raw = self.transport.get_extra_info('socket')
        self.was_reset = bool(
            raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        )
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record a reset; the base class discards it on release."""
        self.was_reset = self.was_reset or exc is not None
        super().connection_lost(exc)


class UpstreamConnector(http_client.Connector):
    """Reports the protocol of each connection that it returns."""

    async def connect(
        self, *args: typing.Any, **kwargs: typing.Any
    ) -> aiohttp.connector.Connection:
        """Return a connection that has not refused the same request.

        Its protocol is recorded for the caller.
        """
        while True:
            connection = await super().connect(*args, **kwargs)
            if not connection.protocol.has_refused(_current_request_id.get()):
                _current_protocol.set(connection.protocol)
                return connection
            connection.close()

    def set_idle_limit(self, idle_s: float) -> None:
        """Set for how long an idle connection may be reused."""
        self._keepalive_timeout = idle_s


_current_protocol: contextvars.ContextVar[_ResetAwareProtocol | None] = (
    contextvars.ContextVar('protocol', default=None)
)
_current_request_id: contextvars.ContextVar[str] = contextvars.ContextVar(
    'request_id', default=''
)


class HttpUpstreamClient:
    """Sends each request once, over a bounded set of connections.

    Parameters
    ----------
    announcement : Announcement
        Address of the upstream, and how it marks the requests that it sheds.
    max_answer_bytes : int
        Maximum size of an answer body.
    dialect : UpstreamDialect
        Converts requests and answers.
    on_report : callable
        Receives each load report.
    on_notice : callable
        Receives the announcement of the upstream, the kind of answer and
        what the upstream states about itself in it.
    observer : ResponseObserver
        Receives whether the responses can be used.
    budget : ByteBudget or None
        Common limit of the responses to all clients of the node.
    sweeper : BudgetSweeper or None
        Room of large answers; None for a budget of its own.
    """

    def __init__(
        self,
        announcement: upstreams.Announcement,
        max_answer_bytes: int,
        dialect: dialect_module.UpstreamDialect,
        on_report: typing.Callable[[upstreams.LoadReport], None],
        on_notice: OnNotice = ignore_notice,
        observer: ResponseObserver | None = None,
        budget: http_client.ByteBudget | None = None,
        sweeper: budget_sweeper.BudgetSweeper | None = None,
    ) -> None:
        self.announcement = announcement
        self._sweeper = sweeper or budget_sweeper.create_default(
            clock.monotonic_ms
        )
        self._reader = answer_reader.AnswerReader(
            self._sweeper, max_answer_bytes
        )
        self._dialect = dialect
        self._on_report = on_report
        self._on_notice = on_notice
        self._observer = observer or IgnoringObserver()
        self._base_url = f'http://{announcement.host}:{announcement.port}'
        self._connector = UpstreamConnector(
            max_answer_bytes,
            _ResetAwareProtocol,
            limit=announcement.connections,
            ttl_dns_cache=None,
            keepalive_timeout=INITIAL_REUSE_S,
            socket_options=answer_reader.SOCKET_OPTIONS,
            on_unsolicited=self._on_unsolicited,
            budget=budget,
        )
        self._session = http_client.create_session(
            self._connector,
            aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            skip_auto_headers=_SKIPPED_HEADERS,
            read_bufsize=answer_reader.READ_AHEAD_BYTES,
        )

    async def run(
        self, call: requests.Call, timeout_ms: float
    ) -> verdict.Verdict:
        """Send the request once and return the verdict on it."""
        try:
            async with asyncio.timeout((timeout_ms + ANSWER_GRACE_MS) / 1_000):
                return await self._exchange(call, timeout_ms)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            return verdict.not_run(verdict.Reason.CONNECT_FAILED)
        except answer_room.NoRoomError:
            return verdict.may_have_run(verdict.Reason.ANSWER_WITHOUT_ROOM)
        except TimeoutError:
            return verdict.may_have_run(verdict.Reason.UPSTREAM_TIMEOUT)
        except http_client.ResponseTooLargeError as error:
            self._on_unusable(error.reason, to_check=False)
            return verdict.may_have_run(verdict.Reason.ANSWER_TOO_LARGE)
        except (aiohttp.ClientError, ConnectionError):
            self._report_malformed(to_check=False)
            return verdict.may_have_run(verdict.Reason.UPSTREAM_DISCONNECTED)

    async def check_health(self) -> upstreams.Health | None:
        """Run a health check; return None if there is no path or answer.

        A refused connection is a result: it shows that nothing listens.
        """
        target = self._dialect.health_target(self.announcement)
        if not target:
            return None
        _current_protocol.set(None)
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                async with self._session.get(
                    self._base_url + target
                ) as response:
                    body = await http_client.read_body(
                        response, MAX_HEALTH_BYTES
                    )
        except aiohttp.ClientConnectorError as error:
            refused = isinstance(error.os_error, ConnectionRefusedError)
            return upstreams.NOT_LISTENING if refused else None
        except http_client.ResponseTooLargeError as error:
            self._on_unusable(error.reason, to_check=True)
            return None
        except (aiohttp.ClientError, TimeoutError, OSError):
            self._report_malformed(to_check=True)
            return None
        health = self._dialect.read_health(
            response.status, response.headers, body
        )
        if health is None:
            # The health check's own answer may still arrive.
            _current_protocol.get().close()
            return None
        self._observer.on_sound(self.announcement, to_check=True)
        own_id = self.announcement.upstream_id
        if not own_id or health.upstream_id in ('', own_id):
            self._read_statements(
                upstreams.NoticeSource.HEALTH, health.report, response.headers
            )
        return health

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    def _url(self, target: str) -> yarl.URL:
        """Return the URL of a request target, which is sent unchanged.

        Parsed into its parts, an empty query or a fragment would be lost.
        """
        return yarl.URL.build(
            scheme='http',
            host=self.announcement.host,
            port=self.announcement.port,
            path=target,
            encoded=True,
        )

    async def _exchange(
        self, call: requests.Call, timeout_ms: float
    ) -> verdict.Verdict:
        deadline_ms = self._sweeper.clock() + timeout_ms
        _current_request_id.set(call.request_id)
        _current_protocol.set(None)
        async with self._session.request(
            call.method,
            self._url(call.target),
            headers=self._dialect.request_headers(
                call, timeout_ms, self.announcement
            ),
            data=body_payload.payload_of(call.body),
            allow_redirects=False,
        ) as response:
            protocol = _current_protocol.get()
            # An answer states what holds when its head is sent; its body may
            # take longer than those of later answers.
            result = self._classify_head(call, response)
            body = await self._reader.read(response, deadline_ms)
            if _is_truncated(response, protocol):
                return verdict.may_have_run(verdict.Reason.ANSWER_TRUNCATED)
            if result.reason is verdict.Reason.WRONG_ANSWER:
                # The answer to this request may still arrive, so the
                # connection must not be reused.
                protocol.close()
            elif result.outcome is verdict.Outcome.NOT_RUN:
                protocol.on_refused(call.request_id)
            self._observer.on_sound(self.announcement, to_check=False)
            return _with_body(result, body)

    def _classify_head(
        self, call: requests.Call, response: aiohttp.ClientResponse
    ) -> verdict.Verdict:
        """Return the verdict that follows once the body is complete."""
        self._update_idle_limit(response)
        headers = tuple(
            (name.decode('latin-1'), value.decode('utf-8', 'replace'))
            for name, value in response.raw_headers
        )
        answer = requests.Answer(response.status, headers, b'')
        result = self._dialect.classify(
            call, answer, response.headers, self.announcement
        )
        if result.reason not in _FOREIGN_REASONS:
            source = upstreams.NoticeSource.ANSWER
            if result.outcome is verdict.Outcome.NOT_RUN:
                source = upstreams.NoticeSource.REFUSAL
            report = self._dialect.read_report(response.headers)
            self._read_statements(source, report, response.headers)
        return result

    def _read_statements(
        self,
        source: upstreams.NoticeSource,
        report: upstreams.LoadReport | None,
        headers: multidict.MultiMapping[str],
    ) -> None:
        """Pass on what the upstream reports and states in an answer."""
        if report is not None:
            self._on_report(report)
        notice = self._dialect.notice_headers.read(headers)
        if report is None:
            text = headers.get(self._dialect.load_header, '')
            malformed = text[: notices.MAX_TEXT_CHARS]
            notice = dataclasses.replace(notice, malformed_load=malformed)
        self._on_notice(self.announcement, source, notice)

    def _on_unusable(
        self, reason: http_client.EndReason, to_check: bool
    ) -> None:
        protocol = _current_protocol.get()
        self._observer.on_unusable(
            self.announcement,
            UnusableResponse(
                reason,
                protocol.received_bytes,
                to_check,
                protocol.violation or '',
            ),
        )

    def _report_malformed(self, to_check: bool) -> None:
        """Report a connection that failed because of malformed bytes."""
        protocol = _current_protocol.get()
        if protocol is not None and protocol.violation is not None:
            self._on_unusable(http_client.EndReason.MALFORMED, to_check)

    def _on_unsolicited(self, received_bytes: int) -> None:
        reason = http_client.EndReason.UNSOLICITED
        self._observer.on_unusable(
            self.announcement, UnusableResponse(reason, received_bytes)
        )

    def _update_idle_limit(self, response: aiohttp.ClientResponse) -> None:
        match = _KEEP_ALIVE.search(response.headers.get('Keep-Alive', ''))
        if match is not None:
            self._connector.set_idle_limit(REUSE_RATIO * int(match.group(1)))


def _with_body(
    result: verdict.Verdict, body: body_buffer.Body
) -> verdict.Verdict:
    if result.answer is None:
        return result
    return verdict.answered(dataclasses.replace(result.answer, body=body))


def _is_truncated(
    response: aiohttp.ClientResponse,
    protocol: _ResetAwareProtocol | None,
) -> bool:
    """Return True if a reset ended an answer of undeclared length."""
    if response.content_length is not None or protocol is None:
        return False
    if 'chunked' in response.headers.get('Transfer-Encoding', '').lower():
        return False
    return protocol.was_reset
