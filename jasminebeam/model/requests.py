"""Requests and answers as the packages of a node exchange them."""

from __future__ import annotations

import dataclasses
import math

Headers = tuple[tuple[str, str], ...]
# Regions that may serve a request; None for all.
AllowedRegions = frozenset[str] | None

REQUEST_ID_HEADER = 'X-Request-Id'
TIMEOUT_HEADER = 'Jasminebeam-Timeout-Ms'
FINAL_HEADER = 'Jasminebeam-Final'


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Request of a caller.

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
    body : bytes or memoryview
        Complete request body; a view of memory that is freed with it if the
        body is large.
    idempotent : bool
        True if an operator declared the request idempotent.
    deadline_ms : float
        Monotonic instant in ms after which the caller has no use for an
        answer.
    key : str
        Value of the ``Idempotency-Key`` header, or the empty string.
    max_attempts : int
        Maximum number of upstreams that the request may be sent to.
    objective_ms : float
        Latency objective: monotonic instant until which an answer has
        its full value.
    priority : int
        Priority under overload; the lowest value is served first.
    route : str
        Name of the matching route, for logs. Nodes also estimate latencies
        and service times separately for each route.
    revision : int
        Revision of the configuration that the route comes from.
    team : str
        Name of the team whose key the request carries; empty if there is
        none.
    allowed_regions : frozenset of str or None
        Regions that may serve the request; None for all. Only the ingress
        node knows them.
    """

    request_id: str
    service: str
    method: str
    target: str
    headers: Headers
    body: bytes | memoryview
    idempotent: bool
    deadline_ms: float
    key: str = ''
    max_attempts: int = 4
    objective_ms: float = math.inf
    priority: int = 255
    route: str = ''
    revision: int = 0
    team: str = ''
    allowed_regions: AllowedRegions = None

    def team_field(self) -> dict[str, object]:
        """Return the team as a field for the log; empty if there is none."""
        return {'team': self.team} if self.team else {}


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Complete answer of an upstream."""

    status: int
    headers: Headers
    body: bytes | memoryview
