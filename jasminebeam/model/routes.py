"""Routes as operators declare them, and what a match yields."""

from __future__ import annotations

import dataclasses
import typing

from jasminebeam.model import services as service_model

# Attempts of a request whose route names no number.
DEFAULT_MAX_ATTEMPTS = 4
LOWEST_PRIORITY = 255

# Rank of calls made by running requests, before all routes: refusing one
# fails its parent, whose work and slot are lost.
NESTED_PRIORITY = -1


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services of a route and its share of the requests."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix.

    Parameters
    ----------
    name : str
        Name for logs.
    host : str
        Value of the Host header, without a port.
    path_prefix : str
        Prefix of the path; the longest one that fits is used.
    services : tuple of WeightedService
        Services that run the requests, in proportion to their weights.
    idempotent : bool
        True if a request may run more than once.
    timeout_ms : int
        Longest time until the final answer.
    objective_ms : int
        Time within which an answer is worth its full value; 0 if unset.
    max_attempts : int
        Most upstreams that one request may be handed to.
    priority : int
        Rank under overload; 0 is served first.
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


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers send and on how long they take.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest request header and body.
    header_timeout_ms : int
        Longest time from the first byte of a header to its end.
    idle_timeout_ms : int
        Time after which a connection without a request is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000


@dataclasses.dataclass(frozen=True, slots=True)
class RouteSet:
    """All routes and services of one revision, in force as a whole.

    Parameters
    ----------
    revision : int
        Rises with each change.
    routes : tuple of Route
        The routes.
    services : tuple of Service
        Services that the routes name, with their budgets.
    health_paths : tuple of (str, str)
        Path of the health check of each service.
    limits : CallerLimits
        Bounds towards callers.
    """

    revision: int
    routes: tuple[Route, ...]
    services: tuple[service_model.Service, ...]
    health_paths: tuple[tuple[str, str], ...] = ()
    limits: CallerLimits = CallerLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class RouteMatch:
    """How one request is carried.

    Parameters
    ----------
    route : str
        Name of the route, for logs.
    revision : int
        Revision that the match comes from.
    service : Service
        The service that runs the request.
    idempotent, timeout_ms, objective_ms, max_attempts, priority
        As in `Route`.
    """

    route: str
    revision: int
    service: service_model.Service
    idempotent: bool
    timeout_ms: int
    objective_ms: int = 0
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    priority: int = LOWEST_PRIORITY


class Matcher(typing.Protocol):
    """Matches requests to services."""

    @property
    def revision(self) -> int:
        """Highest revision in force; 0 if there is no configuration."""

    @property
    def limits(self) -> CallerLimits | None:
        """Bounds towards callers; None leaves them to the settings."""

    def route(self, host: str, method: str, path: str) -> RouteMatch | None:
        """Return how a request is carried; None if nothing matches."""
