"""Caller-side HTTP of the platform: requests, answers and verdicts."""

from __future__ import annotations

import http
import math
import typing

from aiohttp import web

from jasminebeam.callers import dialect
from jasminebeam.platform import wire
from jasminebeam import verdict

MAX_REQUEST_ID_CHARS = 200

# The node drops callers' values of these headers. It sends its own values of
# all of them except `Expect`.
_DROPPED_HEADERS = frozenset(
    name.lower()
    for name in (wire.CALLER, wire.EXPECTED_ID, wire.TIME_LEFT, 'Expect')
)

_TIMEOUT_REASONS = frozenset(
    {
        verdict.Reason.DEADLINE,
        verdict.Reason.UPSTREAM_TIMEOUT,
        verdict.Reason.SILENT_CONNECTION,
    }
)


class PlatformCallerDialect:
    """Decodes callers' requests and encodes verdicts as HTTP responses.

    Parameters
    ----------
    service : callable
        Returns the name of the service whose upstream runs on this host.
    """

    team_header = wire.TEAM

    def __init__(self, service: typing.Callable[[], str]) -> None:
        self._service = service

    def read(self, request: web.BaseRequest) -> dialect.RequestMetadata:
        """Return the metadata of a request, read from its header."""
        request_id = request.headers.get(wire.REQUEST_ID, '')
        if not request_id or len(request_id) > MAX_REQUEST_ID_CHARS:
            raise dialect.ProblemError(
                400, 'invalid request id', f'{wire.REQUEST_ID} is required'
            )
        forwarded_headers = tuple(
            (name, value)
            for name, value in dialect.forwarded_headers(request)
            if name.lower() not in _DROPPED_HEADERS
        )
        return dialect.RequestMetadata(
            request_id,
            _time_left_ms(request),
            '',
            (*forwarded_headers, (wire.CALLER, self._service())),
            # Nested calls append a suffix to their parent's id: `parent.1`.
            parent_id=request_id.rpartition('.')[0],
        )

    def write_problem(self, problem: dialect.Problem) -> web.Response:
        """Return the response to an invalid request."""
        return web.json_response(
            {'error': f'{problem.title}: {problem.detail}'},
            status=problem.status,
        )

    def write_verdict(
        self, result: verdict.Verdict, retry_after_ms: float
    ) -> web.Response:
        """Return the upstream's answer, or an error with the reason."""
        if result.answer is not None:
            return dialect.response_from(result.answer)
        response = web.json_response(
            {'error': result.reason.value}, status=_status(result)
        )
        if result.outcome is verdict.Outcome.NOT_RUN:
            response.headers[wire.RETRY_AFTER] = dialect.seconds(
                retry_after_ms
            )
        return response


def _status(result: verdict.Verdict) -> int:
    """Return the status; only a proven *not run* gets a 503 or 429."""
    if result.reason is verdict.Reason.TEAM_LIMITED:
        return http.HTTPStatus.TOO_MANY_REQUESTS
    if result.outcome is verdict.Outcome.NOT_RUN:
        return http.HTTPStatus.SERVICE_UNAVAILABLE
    if result.reason in _TIMEOUT_REASONS:
        return http.HTTPStatus.GATEWAY_TIMEOUT
    return http.HTTPStatus.BAD_GATEWAY


def _time_left_ms(request: web.BaseRequest) -> float | None:
    text = request.headers.get(wire.TIME_LEFT)
    if text is None:
        return None
    try:
        time_left_ms = float(text)
    except ValueError:
        time_left_ms = math.nan
    if not 0 < time_left_ms < math.inf:
        raise dialect.ProblemError(
            400, 'invalid time left', f'{wire.TIME_LEFT} must be positive'
        )
    return time_left_ms
