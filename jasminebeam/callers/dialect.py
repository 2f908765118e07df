"""Translation between callers' HTTP and the node's calls and verdicts."""

from __future__ import annotations

import dataclasses
import json
import typing
import uuid

from aiohttp import web

from jasminebeam import body_payload
from jasminebeam.callers import headers
from jasminebeam.model import requests
from jasminebeam import verdict

MAX_KEY_CHARS = 200
MAX_REQUEST_ID_CHARS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Content of a problem document (RFC 9457).

    Parameters
    ----------
    status : int
        HTTP status.
    title, detail : str
        Short and detailed description.
    """

    status: int
    title: str
    detail: str


class ProblemError(Exception):
    """Invalid request of a caller, answered with a problem document."""

    def __init__(self, status: int, title: str, detail: str) -> None:
        super().__init__(title)
        self.problem = Problem(status, title, detail)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata in the header of a request.

    Parameters
    ----------
    request_id : str
        Identifier that is forwarded to the upstream.
    time_left_ms : float or None
        Remaining time for which the caller waits; None if the caller does
        not state it.
    key : str
        Idempotency key; empty if there is none.
    headers : Headers
        Headers that are forwarded to the upstream.
    parent_id : str
        Identifier of the request for which an upstream sends this one;
        empty if the caller is not an upstream or does not state it.
    """

    request_id: str
    time_left_ms: float | None
    key: str
    headers: requests.Headers
    parent_id: str = ''


class CallerDialect(typing.Protocol):
    """Reads metadata from HTTP requests and writes verdicts as responses.

    Parameters
    ----------
    team_header : str
        Name of the header that tells the upstream the team of a request.
    """

    team_header: str

    def read(self, request: web.BaseRequest) -> RequestMetadata:
        """Return the metadata in the header of a request.

        Raises
        ------
        ProblemError
            If the header is malformed.
        """

    def write_problem(self, problem: Problem) -> web.Response:
        """Return the response to an invalid request."""

    def write_verdict(
        self, result: verdict.Verdict, retry_after_ms: float
    ) -> web.Response:
        """Return the response for a verdict.

        Parameters
        ----------
        result : Verdict
            Verdict on the request.
        retry_after_ms : float
            Delay after which the caller should retry, if the request did
            not run.
        """


class NativeDialect:
    """The native HTTP interface for callers."""

    team_header = headers.TEAM

    _STATUS = {
        verdict.Outcome.NOT_RUN: 503,
        verdict.Outcome.MAY_HAVE_RUN: 504,
    }
    _STATUS_BY_REASON = {
        verdict.Reason.KEY_CONFLICT: 422,
        verdict.Reason.TEAM_LIMITED: 429,
        verdict.Reason.KEY_BUSY: 409,
        verdict.Reason.UPSTREAM_DISCONNECTED: 502,
        verdict.Reason.SIDECAR_LOST: 502,
        verdict.Reason.ANSWER_TOO_LARGE: 502,
        verdict.Reason.ANSWER_TRUNCATED: 502,
        verdict.Reason.WRONG_ANSWER: 502,
    }

    def read(self, request: web.BaseRequest) -> RequestMetadata:
        """Return the metadata in the header of a request."""
        return RequestMetadata(
            _request_id(request),
            _time_left_ms(request),
            _idempotency_key(request),
            forwarded_headers(request),
        )

    def write_problem(self, problem: Problem) -> web.Response:
        """Return a problem document."""
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

    def write_verdict(
        self, result: verdict.Verdict, retry_after_ms: float
    ) -> web.Response:
        """Return the upstream's answer, or a problem document."""
        if result.answer is not None:
            response = response_from(result.answer)
            response.headers[headers.VERDICT] = result.outcome.value
            return response
        status = self._STATUS_BY_REASON.get(
            result.reason, self._STATUS[result.outcome]
        )
        problem = Problem(status, result.outcome.value, result.reason.value)
        response = self.write_problem(problem)
        response.headers[headers.VERDICT] = result.outcome.value
        response.headers[headers.REASON] = result.reason.value
        response.headers[headers.FINAL] = '1'
        if result.reason is verdict.Reason.TEAM_LIMITED:
            response.headers[headers.RETRY_AFTER] = seconds(retry_after_ms)
        return response


def seconds(duration_ms: float) -> str:
    """Return a duration in seconds with fractions, for a header.

    Examples
    --------
    >>> seconds(1_250.0)
    '1.250'
    """
    return f'{duration_ms / 1e3:.3f}'


def forwarded_headers(request: web.BaseRequest) -> requests.Headers:
    """Return the headers of a request that are forwarded.

    Raises
    ------
    ProblemError
        If the target is not ASCII or a header is not valid text.
    """
    pairs = headers.end_to_end(request.headers.items())
    if not request.raw_path.isascii() or not headers.is_text(pairs):
        raise ProblemError(
            400, 'invalid characters', 'target or header is not text'
        )
    return pairs


def response_from(answer: requests.Answer) -> web.Response:
    """Return the response that carries an upstream's answer."""
    response = web.Response(status=answer.status)
    for name, value in headers.end_to_end(answer.headers):
        response.headers.add(name, value)
    # A payload states a type only if the answer does not.
    response.body = body_payload.payload_of(answer.body)
    return response


def _time_left_ms(request: web.BaseRequest) -> float | None:
    text = request.headers.get(headers.TIMEOUT_MS)
    if text is None:
        return None
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
    return timeout_ms


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


def _idempotency_key(request: web.BaseRequest) -> str:
    key = request.headers.get(headers.IDEMPOTENCY_KEY, '')
    if len(key) > MAX_KEY_CHARS:
        raise ProblemError(
            400,
            'invalid idempotency key',
            f'{headers.IDEMPOTENCY_KEY} must have at most '
            f'{MAX_KEY_CHARS} characters',
        )
    return key
