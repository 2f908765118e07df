"""Route set that is in force at one node."""

from __future__ import annotations

import random

from jasminebeam.configuration import teams
from jasminebeam import inputs
from jasminebeam.model import routes
from jasminebeam.model import services
from jasminebeam.model import teams as team_model
from jasminebeam.routing import weighted_round_robin


class RouteDirectory:
    """Keeps the route set with the highest revision and matches requests.

    A new set replaces the previous one as a whole, so that no request is
    matched against routes of two revisions.

    Parameters
    ----------
    generator : random.Random
        Chooses the starting position of each weighted rotation.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self.current: routes.RouteSet | None = None
        self._by_host: dict[str, tuple[routes.Route, ...]] = {}
        self._services: dict[str, services.Service] = {}
        self._health_paths: dict[str, str] = {}
        self._keys: team_model.KeyTable | None = None
        self._rotations: dict[
            tuple[routes.WeightedService, ...],
            weighted_round_robin.SmoothWeightedRoundRobin,
        ] = {}

    @property
    def revision(self) -> int:
        """Revision in force; 0 if there is none."""
        return self.current.revision if self.current is not None else 0

    @property
    def limits(self) -> routes.CallerLimits | None:
        """Limits on requests of callers; None before the first set."""
        return self.current.limits if self.current is not None else None

    def apply(self, new: routes.RouteSet) -> bool:
        """Put a set in force; False if it is not newer.

        A set is not newer if one of a higher or equal revision is in force.
        """
        if new.revision <= self.revision:
            return False
        by_host: dict[str, list[routes.Route]] = {}
        for route in new.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        self._by_host = {
            host: tuple(sorted(found, key=_longest_prefix_first))
            for host, found in by_host.items()
        }
        self._services = {service.name: service for service in new.services}
        self._health_paths = dict(new.health_paths)
        self._keys = team_model.KeyTable(new.teams) if new.teams else None
        used = {route.services for route in new.routes}
        self._rotations = {
            weighted_services: rotation
            for weighted_services, rotation in self._rotations.items()
            if weighted_services in used
        }
        self.current = new
        return True

    def service(self, name: str) -> services.Service | None:
        """Return a service of the set in force; None if it is unknown."""
        return self._services.get(name)

    def health_path(self, service: str) -> str:
        """Return the path of a service's health check; empty if unknown."""
        return self._health_paths.get(service, '')

    def route(
        self, host: str, method: str, path: str
    ) -> routes.RouteMatch | None:
        """Return the match of a request; None if no route matches."""
        route = self._find(host, path)
        return None if route is None else self._match(route)

    def is_idempotent(self, host: str, method: str, path: str) -> bool:
        """Return True if a route matches and its requests are idempotent."""
        route = self._find(host, path)
        return route is not None and route.idempotent

    def _find(self, host: str, path: str) -> routes.Route | None:
        for route in self._by_host.get(host.partition(':')[0].lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def _match(self, route: routes.Route) -> routes.RouteMatch:
        name = self._rotation(route.services).next()
        return routes.RouteMatch(
            route=route.name,
            revision=self.revision,
            service=self._services[name],
            idempotent=route.idempotent,
            timeout_ms=route.timeout_ms,
            objective_ms=route.objective_ms,
            max_attempts=route.max_attempts,
            priority=route.priority,
            public=route.public is True,
            keys=self._keys,
            allowed_regions=route.allowed_regions or (),
        )

    def _rotation(
        self, weighted_services: tuple[routes.WeightedService, ...]
    ) -> weighted_round_robin.SmoothWeightedRoundRobin:
        rotation = self._rotations.get(weighted_services)
        if rotation is None:
            rotation = weighted_round_robin.SmoothWeightedRoundRobin(
                [(entry.service, entry.weight) for entry in weighted_services],
                self._generator.random(),
            )
            self._rotations[weighted_services] = rotation
        return rotation


def _longest_prefix_first(route: routes.Route) -> int:
    return -len(route.path_prefix)


def check(candidate: routes.RouteSet) -> str:
    """Return a description of the first error; empty if valid."""
    defined = {service.name for service in candidate.services}
    matched: set[tuple[str, str]] = set()
    for route in candidate.routes:
        problem = _check_route(route, defined)
        host_prefix = (route.host.lower(), route.path_prefix)
        if not problem and host_prefix in matched:
            problem = 'another route has the same host and path prefix'
        if problem:
            return f'route {route.name!r}: {problem}'
        matched.add(host_prefix)
    return teams.check(candidate.teams or ())


def _check_route(route: routes.Route, defined: set[str]) -> str:
    if not route.host:
        return 'host must not be empty'
    if not route.path_prefix.startswith('/'):
        return 'path prefix must begin with a slash'
    if not any(entry.weight > 0 for entry in route.services):
        return 'no service has a positive weight'
    for entry in route.services:
        if entry.weight < 0:
            return f'weight of {entry.service!r} is negative'
        if entry.service not in defined:
            return f'service {entry.service!r} is not defined'
    if route.timeout_ms < 1 or route.max_attempts < 1:
        return 'timeout and number of attempts must be positive'
    if not 0 <= route.priority <= inputs.MAX_COUNT:
        return 'priority is out of range'
    return ''
