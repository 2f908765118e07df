"""Requests and answers as the packages exchange them."""

from __future__ import annotations

import dataclasses
import math

Headers = tuple[tuple[str, str], ...]

REQUEST_ID_HEADER = 'X-Request-Id'
TIMEOUT_HEADER = 'Jasminebeam-Timeout-Ms'
FINAL_HEADER = 'Jasminebeam-Final'


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One caller's request.

    Parameters
    ----------
    request_id : str
        Identifier that is passed on to the upstream.
    service : str
        Name of the service that the request belongs to.
    method, target : str
        HTTP method and request target (path and query).
    headers : Headers
        End-to-end headers.
    body : bytes
        Whole request body.
    idempotent : bool
        True if an operator declared the request idempotent.
    deadline_ms : float
        Monotonic instant in ms after which no answer is wanted.
    key : str
        Value of the ``Idempotency-Key`` header, or the empty string.
    max_attempts : int
        Most upstreams that the request may be handed to.
    objective_ms : float
        Monotonic instant until which an answer has its full value.
    priority : int
        Rank under overload; 0 is served first.
    route : str
        Name of the route that matched, for logs.
    revision : int
        Revision of the configuration that the route comes from.
    """

    request_id: str
    service: str
    method: str
    target: str
    headers: Headers
    body: bytes
    idempotent: bool
    deadline_ms: float
    key: str = ''
    max_attempts: int = 4
    objective_ms: float = math.inf
    priority: int = 255
    route: str = ''
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One upstream's whole answer."""

    status: int
    headers: Headers
    body: bytes
