"""Records which configuration a node has put in force, and since when."""

from __future__ import annotations

import typing

import msgspec

from jasminebeam.peering import messages
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.configuration import directory
    from jasminebeam.model import routes
    from jasminebeam.model import services
    from jasminebeam.model import teams
    from jasminebeam.routing import table
    from jasminebeam.telemetry import metrics

Teams: typing.TypeAlias = 'tuple[teams.Team, ...] | msgspec.UnsetType'
OnTeams = typing.Callable[[Teams, int], None]


class AppliedConfiguration:
    """Logs and counts what comes into force, and tells its source and age.

    Parameters
    ----------
    service_directory : ServiceDirectory
        Services in force.
    upstream_table : RoutingTable
        Rebuilds its subsets for changed services.
    store_age_ms : callable
        Returns the time since the store last answered the fleet.
    clock : callable
        Returns the monotonic time in ms.
    log, counters
        Record each change.
    on_teams : callable
        Receives the teams of each revision, and its number.
    """

    def __init__(
        self,
        service_directory: directory.ServiceDirectory,
        upstream_table: table.RoutingTable,
        store_age_ms: typing.Callable[[], int],
        clock: typing.Callable[[], float],
        log: events.EventLog,
        counters: metrics.Metrics,
        on_teams: OnTeams,
    ) -> None:
        self._on_teams = on_teams
        self._services = service_directory
        self._table = upstream_table
        self._store_age_ms = store_age_ms
        self._clock = clock
        self._log = log
        self._counters = counters
        self._routes_source = ''
        self._routes_applied_ms = 0.0
        self._has_allowed_regions = False
        counters.store_age.set_function(self.store_age_s)

    def fields(self) -> dict[str, object]:
        """Return whence and how recently the node knows its routes."""
        routes_age_ms = messages.UNKNOWN_AGE_MS
        if self._routes_source:
            routes_age_ms = round(self._clock() - self._routes_applied_ms)
        return {
            'store_age_ms': self._store_age_ms(),
            'routes_from': self._routes_source,
            'routes_age_ms': routes_age_ms,
        }

    def store_age_s(self) -> float:
        """Return the time since the store last answered; -1 if unknown."""
        age_ms = self._store_age_ms()
        return age_ms / 1_000 if age_ms >= 0 else age_ms

    def on_revision(self, revision: services.ServiceRevision) -> None:
        """Record a revision of a service."""
        self._table.invalidate(revision.name)
        self._counters.config_revision.set(self._services.highest_revision)
        self._log.write(
            events.Event.CONFIG_APPLIED,
            service=revision.name,
            revision=revision.revision,
            change_id=revision.change_id,
        )
        if revision.teams is not msgspec.UNSET:
            self._on_teams(revision.teams, revision.revision)
            self._log.write(
                events.Event.TEAMS_APPLIED,
                revision=revision.revision,
                teams=len(revision.teams),
                keys=sum(len(team.key_digests) for team in revision.teams),
            )

    def on_routes(self, route_set: routes.RouteSet, source: str) -> None:
        """Record a route set and the peer or store that it came from."""
        self._routes_source = source
        self._routes_applied_ms = self._clock()
        for service in route_set.services:
            self._table.invalidate(service.name)
        self._counters.config_revision.set(route_set.revision)
        self._log.write(
            events.Event.ROUTES_APPLIED,
            revision=route_set.revision,
            routes=len(route_set.routes),
            source=source,
        )
        self._on_teams(route_set.teams, route_set.revision)
        self._log_allowed_regions(route_set)

    def _log_allowed_regions(self, route_set: routes.RouteSet) -> None:
        """Record revisions with allowed regions, and the first without."""
        teams = route_set.teams or ()
        counts = {
            'routes': sum(bool(r.allowed_regions) for r in route_set.routes),
            'teams': sum(bool(team.allowed_regions) for team in teams),
        }
        found = any(counts.values())
        if found or self._has_allowed_regions:
            self._log.write(
                events.Event.ALLOWED_REGIONS_APPLIED,
                revision=route_set.revision,
                **counts,
            )
        self._has_allowed_regions = found
