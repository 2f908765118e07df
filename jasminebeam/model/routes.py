"""Routes as operators declare them, and the results of matching."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from jasminebeam.model import services as service_model
from jasminebeam.model import teams as team_model

# Maximum number of attempts of a request whose route sets none.
DEFAULT_MAX_ATTEMPTS = 4
LOWEST_PRIORITY = 255

# Priority of calls that upstreams make to complete a running request, ahead
# of all routes: a refused call fails its parent request, and the work and
# the slot that the parent has used are lost.
NESTED_PRIORITY = -1

# Number of priority classes of one team priority. It exceeds all priorities
# that a configuration may contain, and the product of both stays below the
# 63 bits of an integer in messages between nodes.
PRIORITIES_PER_TEAM = 1 << 30


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """Service of a route and its weight among the route's services."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rule for the requests of one host and path prefix.

    Parameters
    ----------
    name : str
        Name for logs. Nodes also estimate latencies and service times
        separately for each route name.
    host : str
        Value of the Host header, without a port.
    path_prefix : str
        Prefix of the path; the route with the longest matching prefix is
        used.
    services : tuple of WeightedService
        Services that run the requests, in proportion to their weights.
    idempotent : bool
        True if a request may safely run more than once.
    timeout_ms : int
        Maximum time until the final answer.
    objective_ms : int
        Latency objective: time within which an answer has its full
        value; 0 if unset.
    max_attempts : int
        Maximum number of upstreams that one request may be sent to.
    priority : int
        Priority under overload; 0 is served first.
    public : bool
        True if callers need no key although there are teams.
    allowed_regions : tuple of str
        Regions in which the requests may be served; empty for all.

    Notes
    -----
    Messages between nodes leave out the fields that are unset, so that they
    cost nothing where operators do not use them.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    idempotent: bool
    timeout_ms: int
    objective_ms: int = 0
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    priority: int = LOWEST_PRIORITY
    public: bool | msgspec.UnsetType = msgspec.UNSET
    allowed_regions: tuple[str, ...] | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass(frozen=True, slots=True)
class ColdStart:
    """What the upstreams of a service tolerate while they are cold.

    Parameters
    ----------
    service : str
        Name of the service.
    duration_ms : int
        Time for which an upstream is cold after its start.
    per_s : float
        Requests a second that a cold upstream tolerates from all nodes
        together.
    """

    service: str
    duration_ms: int
    per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits for the requests of callers.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of a request header and body.
    header_timeout_ms : int
        Maximum time from the first byte of a header to its end.
    idle_timeout_ms : int
        Time after which a connection without a request is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000


@dataclasses.dataclass(frozen=True, slots=True)
class RouteSet:
    """All routes and services of one revision, applied as a unit.

    Parameters
    ----------
    revision : int
        Increases with each change.
    routes : tuple of Route
        Routes of this revision.
    services : tuple of Service
        Services that the routes refer to, with their budgets.
    health_paths : tuple of (str, str)
        Name of each service and path of its health check.
    limits : CallerLimits
        Limits for callers.
    teams : tuple of Team
        Teams whose keys requests must carry, except on public routes.
    cold_starts : tuple of ColdStart
        Services whose upstreams tolerate little while they are cold.

    Notes
    -----
    Messages between nodes leave out the fields that are unset.
    """

    revision: int
    routes: tuple[Route, ...]
    services: tuple[service_model.Service, ...]
    health_paths: tuple[tuple[str, str], ...] = ()
    limits: CallerLimits = CallerLimits()
    teams: tuple[team_model.Team, ...] | msgspec.UnsetType = msgspec.UNSET
    cold_starts: tuple[ColdStart, ...] | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass(frozen=True, slots=True)
class RouteMatch:
    """Result of matching one request: its service and its limits.

    Parameters
    ----------
    route : str
        Name of the matching route.
    revision : int
        Revision of the configuration that the match is based on.
    service : Service
        Service that runs the request.
    idempotent, timeout_ms, objective_ms, max_attempts, priority
        As in `Route`.
    public : bool
        True if callers need no key. Without meaning if there are no teams.
    keys : KeyTable or None
        Keys of the teams of the same revision; None if there are no teams.
    allowed_regions : tuple of str
        Regions that the route allows; empty for all.
    """

    route: str
    revision: int
    service: service_model.Service
    idempotent: bool
    timeout_ms: int
    objective_ms: int = 0
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    priority: int = LOWEST_PRIORITY
    public: bool = False
    keys: team_model.KeyTable | None = None
    allowed_regions: tuple[str, ...] = ()


def priority_class(team_priority: int, route_priority: int) -> int:
    """Return the priority class of a request; the lowest is served first.

    The priority of the team precedes that of the route. Without a team, the
    class is the priority of the route.

    Examples
    --------
    >>> priority_class(0, 255)
    255
    >>> priority_class(0, 255) < priority_class(1, 0) < priority_class(1, 1)
    True
    """
    return team_priority * PRIORITIES_PER_TEAM + route_priority


class Matcher(typing.Protocol):
    """Matches requests to services."""

    @property
    def revision(self) -> int:
        """Highest revision in force; 0 if there is no configuration."""

    @property
    def limits(self) -> CallerLimits | None:
        """Limits for callers; None if the settings determine them."""

    def route(self, host: str, method: str, path: str) -> RouteMatch | None:
        """Return the match of a request; None if no route matches."""

    def is_idempotent(self, host: str, method: str, path: str) -> bool:
        """Return True if a route matches and its requests are idempotent."""
