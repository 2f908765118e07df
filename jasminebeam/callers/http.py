"""HTTP server towards callers."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import typing
import uuid

from aiohttp import web

from jasminebeam.callers import headers
from jasminebeam.model import requests
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.ingress import dispatcher
    from jasminebeam.configuration import directory
    from jasminebeam.model import services
    from jasminebeam.routing import probing
    from jasminebeam.telemetry import metrics

MAX_KEY_CHARS = 200
MAX_REQUEST_ID_CHARS = 200
DRAIN_GRACE_S = 1.0

_STATUS = {
    verdict.Outcome.NOT_RUN: 503,
    verdict.Outcome.MAY_HAVE_RUN: 504,
}
_STATUS_BY_REASON = {
    verdict.Reason.KEY_CONFLICT: 422,
    verdict.Reason.KEY_BUSY: 409,
    verdict.Reason.UPSTREAM_DISCONNECTED: 502,
    verdict.Reason.SIDECAR_LOST: 502,
    verdict.Reason.ANSWER_TOO_LARGE: 502,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Content of a problem document.

    Parameters
    ----------
    status : int
        HTTP status.
    title, detail : str
        Short and full description.
    """

    status: int
    title: str
    detail: str


class ProblemError(Exception):
    """A caller's mistake, answered with a problem document."""

    def __init__(self, status: int, title: str, detail: str) -> None:
        super().__init__(title)
        self.problem = Problem(status, title, detail)


class CallerServer:
    """Reads whole requests, dispatches them and writes the verdicts.

    Parameters
    ----------
    matcher : ServiceDirectory
        Matches requests to services.
    dispatch : Dispatcher
        Carries the requests.
    probes : ProbePlanner
        Told which services are in use.
    max_body_bytes : int
        Largest request body.
    clock : callable
        Returns the monotonic time in ms.
    counters : Metrics
        Counts latencies and refused requests.
    """

    def __init__(
        self,
        matcher: directory.ServiceDirectory,
        dispatch: dispatcher.Dispatcher,
        probes: probing.ProbePlanner,
        max_body_bytes: int,
        clock: typing.Callable[[], float],
        counters: metrics.Metrics,
    ) -> None:
        self._matcher = matcher
        self._dispatcher = dispatch
        self._probes = probes
        self._max_body_bytes = max_body_bytes
        self._clock = clock
        self._counters = counters
        self._runner: web.ServerRunner | None = None
        self._open = 0
        self._stopping = False

    async def start(self, host: str, port: int) -> None:
        """Listen for callers."""
        server = web.Server(
            self._handle,
            handler_cancellation=True,
            auto_decompress=False,
            access_log=None,
        )
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()

    async def stop(self) -> None:
        """Answer what is in progress, then stop listening.

        Kept-alive connections are told to close with their next answer.
        """
        self._stopping = True
        await asyncio.sleep(DRAIN_GRACE_S)
        for site in list(self._runner.sites):
            await site.stop()
        while self._open:
            await asyncio.sleep(0.01)
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._open += 1
        try:
            response = await self._respond(request)
        except ProblemError as error:
            status = str(error.problem.status)
            self._counters.caller_errors.labels(status).inc()
            response = _problem_response(error.problem)
        finally:
            self._open -= 1
        if self._stopping:
            response.force_close()
        return response

    async def _respond(self, request: web.BaseRequest) -> web.Response:
        started_ms = self._clock()
        service = self._matcher.match(request.host, request.path)
        if service is None:
            raise ProblemError(404, 'no such service', 'no service matches')
        body = await self._read_body(request)
        call = self._call_from(request, service, body, started_ms)
        result = await self._dispatcher.dispatch(call, service)
        if service.probe_share:
            size_bytes = _wire_bytes(call, result)
            self._probes.on_request(service, size_bytes, started_ms)
        taken_s = (self._clock() - started_ms) / 1_000
        self._counters.latency.labels(service.name).observe(taken_s)
        return _verdict_response(result)

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        if not request.body_exists:
            return b''
        limit_bytes = self._max_body_bytes
        length = request.content_length
        if length is not None and length > limit_bytes:
            raise ProblemError(
                413, 'body too large', f'at most {limit_bytes} bytes'
            )
        body = bytearray()
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > limit_bytes:
                raise ProblemError(
                    413, 'body too large', f'at most {limit_bytes} bytes'
                )
        return bytes(body)

    def _call_from(
        self,
        request: web.BaseRequest,
        service: services.Service,
        body: bytes,
        now_ms: float,
    ) -> requests.Call:
        passed_on = headers.end_to_end(request.headers.items())
        if not request.raw_path.isascii() or not headers.is_text(passed_on):
            raise ProblemError(
                400, 'invalid characters', 'target or header is not text'
            )
        idempotent = service.is_idempotent(request.method, request.path)
        timeout_ms = _timeout_ms(request, service.timeout_ms)
        return requests.Call(
            request_id=_request_id(request),
            service=service.name,
            method=request.method,
            target=request.raw_path,
            headers=passed_on,
            body=body,
            idempotent=idempotent,
            deadline_ms=now_ms + timeout_ms,
            key='' if idempotent else _key(request),
        )


def _timeout_ms(request: web.BaseRequest, service_ms: int) -> float:
    text = request.headers.get(headers.TIMEOUT_MS)
    if text is None:
        return service_ms
    try:
        timeout_ms = int(text)
    except ValueError:
        timeout_ms = 0
    if timeout_ms <= 0:
        raise ProblemError(
            400,
            'invalid timeout',
            f'{headers.TIMEOUT_MS} must be a positive whole number of ms',
        )
    return min(timeout_ms, service_ms)


def _request_id(request: web.BaseRequest) -> str:
    text = request.headers.get(headers.REQUEST_ID)
    if text is None:
        return uuid.uuid4().hex
    if not text.isascii() or len(text) > MAX_REQUEST_ID_CHARS:
        raise ProblemError(
            400,
            'invalid request id',
            f'{headers.REQUEST_ID} must have at most '
            f'{MAX_REQUEST_ID_CHARS} ASCII characters',
        )
    return text


def _key(request: web.BaseRequest) -> str:
    key = request.headers.get(headers.IDEMPOTENCY_KEY, '')
    if len(key) > MAX_KEY_CHARS:
        raise ProblemError(
            400,
            'invalid idempotency key',
            f'{headers.IDEMPOTENCY_KEY} must have at most '
            f'{MAX_KEY_CHARS} characters',
        )
    return key


def _wire_bytes(call: requests.Call, result: verdict.Verdict) -> int:
    """Return roughly the bytes of a request and its answer."""
    size_bytes = len(call.target) + len(call.body)
    size_bytes += _header_bytes(call.headers)
    if result.answer is not None:
        size_bytes += len(result.answer.body)
        size_bytes += _header_bytes(result.answer.headers)
    return size_bytes


def _header_bytes(pairs: requests.Headers) -> int:
    return sum(len(name) + len(value) for name, value in pairs)


def _verdict_response(result: verdict.Verdict) -> web.Response:
    if result.answer is not None:
        answer = result.answer
        response = web.Response(status=answer.status, body=answer.body)
        for name, value in headers.end_to_end(answer.headers):
            response.headers.add(name, value)
        response.headers[headers.VERDICT] = result.outcome.value
        return response
    status = _STATUS_BY_REASON.get(result.reason, _STATUS[result.outcome])
    problem = Problem(status, result.outcome.value, result.reason.value)
    response = _problem_response(problem)
    response.headers[headers.VERDICT] = result.outcome.value
    response.headers[headers.REASON] = result.reason.value
    response.headers[headers.FINAL] = '1'
    return response


def _problem_response(problem: Problem) -> web.Response:
    document = {
        'type': 'about:blank',
        'status': problem.status,
        'title': problem.title,
        'detail': problem.detail,
    }
    return web.Response(
        status=problem.status,
        body=json.dumps(document).encode(),
        content_type='application/problem+json',
    )
