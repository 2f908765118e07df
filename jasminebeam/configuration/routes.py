"""Routes in force at one node."""

from __future__ import annotations

import random

from jasminebeam.model import routes
from jasminebeam.model import services
from jasminebeam.routing import weighted_round_robin


class RouteDirectory:
    """Keeps the route set with the highest revision and matches requests.

    A set replaces the former one as a whole, so that no request sees
    routes of two revisions.

    Parameters
    ----------
    generator : random.Random
        Places the start of each weighted rotation.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self.current: routes.RouteSet | None = None
        self._by_host: dict[str, tuple[routes.Route, ...]] = {}
        self._services: dict[str, services.Service] = {}
        self._health_paths: dict[str, str] = {}
        self._shares: dict[
            tuple[routes.WeightedService, ...],
            weighted_round_robin.SmoothWeightedRoundRobin,
        ] = {}

    @property
    def revision(self) -> int:
        """Revision in force; 0 if there is none."""
        return self.current.revision if self.current is not None else 0

    @property
    def limits(self) -> routes.CallerLimits | None:
        """Bounds towards callers; None before the first set."""
        return self.current.limits if self.current is not None else None

    def apply(self, new: routes.RouteSet) -> bool:
        """Put a set in force; False if a higher or equal one is."""
        if new.revision <= self.revision:
            return False
        by_host: dict[str, list[routes.Route]] = {}
        for route in new.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        self._by_host = {
            host: tuple(sorted(found, key=_longest_first))
            for host, found in by_host.items()
        }
        self._services = {service.name: service for service in new.services}
        self._health_paths = dict(new.health_paths)
        used = {route.services for route in new.routes}
        self._shares = {
            parts: rotation
            for parts, rotation in self._shares.items()
            if parts in used
        }
        self.current = new
        return True

    def service(self, name: str) -> services.Service | None:
        """Return a service of the set in force."""
        return self._services.get(name)

    def health_path(self, service: str) -> str:
        """Return the path of a service's health check; empty if unknown."""
        return self._health_paths.get(service, '')

    def route(
        self, host: str, method: str, path: str
    ) -> routes.RouteMatch | None:
        """Return how a request is carried; None if no route matches."""
        for route in self._by_host.get(host.partition(':')[0].lower(), ()):
            if path.startswith(route.path_prefix):
                return self._match(route)
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
        )

    def _rotation(
        self, parts: tuple[routes.WeightedService, ...]
    ) -> weighted_round_robin.SmoothWeightedRoundRobin:
        known = self._shares.get(parts)
        if known is None:
            known = weighted_round_robin.SmoothWeightedRoundRobin(
                [(part.service, part.weight) for part in parts],
                self._generator.random(),
            )
            self._shares[parts] = known
        return known


def _longest_first(route: routes.Route) -> int:
    return -len(route.path_prefix)


def check(candidate: routes.RouteSet) -> str:
    """Return what is wrong with a set; empty if nothing."""
    known = {service.name for service in candidate.services}
    for route in candidate.routes:
        problem = _check_route(route, known)
        if problem:
            return f'route {route.name!r}: {problem}'
    return ''


def _check_route(route: routes.Route, known: set[str]) -> str:
    if not route.host:
        return 'host must not be empty'
    if not route.path_prefix.startswith('/'):
        return 'path prefix must begin with a slash'
    if not any(part.weight > 0 for part in route.services):
        return 'no service has a positive weight'
    for part in route.services:
        if part.weight < 0:
            return f'weight of {part.service!r} is negative'
        if part.service not in known:
            return f'service {part.service!r} is not defined'
    if route.timeout_ms < 1 or route.max_attempts < 1:
        return 'timeout and number of attempts must be positive'
    return ''
