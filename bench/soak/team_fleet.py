"""Fleet of the soak with teams, evacuations and cold upstreams."""

from __future__ import annotations

import typing


from bench import fleet
from bench import http_sessions
from bench import sites
from bench.soak import operator_checks
from bench.soak import platform_fleet
from bench.soak import team_callers

# So low that the usual load of an upstream exceeds what a cold one tolerates
# in a second.
COLD_PER_S = 1.0
COLD_START_S = 3.0


class TeamFleet(platform_fleet.PlatformFleet):
    """Fleet of the users' platform whose configuration has teams.

    Parameters
    ----------
    site : Site
        Site whose hosts are started.
    options : Options
        Ports, directory and seed.
    """

    cold_per_s = COLD_PER_S
    cold_start_s = COLD_START_S
    busiest_service = platform_fleet.CHANGED_SERVICE

    def __init__(self, site: sites.Site, options: fleet.Options) -> None:
        super().__init__(site, options)
        self.teams = team_callers.Teams(options.seed)
        self.caller_dialect = team_callers.TeamCallers(
            platform_fleet.PlatformCallerDialect(), self.teams, options.seed
        )

    def document(self) -> dict[str, typing.Any]:
        """Return the configuration, in which the changed route is public."""
        found = super().document()
        found['tenants'] = self.teams.tenants()
        for listener in found['listeners']:
            is_public = listener['host'] == platform_fleet.CHANGED_HOST
            for rule in listener['rules']:
                rule['public'] = is_public
        for cluster in found['clusters']:
            cluster['coldStartS'] = COLD_START_S
            cluster['coldPerS'] = COLD_PER_S
        return found

    async def evacuate(self, domain: str) -> None:
        """Evacuate a failure domain, as the operator does."""
        await fleet.post(self._evacuation_url('put', domain), b'{}')

    async def restore(self, domain: str) -> None:
        """Withdraw the evacuation of a failure domain."""
        await fleet.post(self._evacuation_url('delete', domain), b'')

    async def arrivals(self, host: fleet.Host) -> operator_checks.Arrivals:
        """Return what an upstream has counted."""
        url = platform_fleet.control_url(host, 'arrivals')
        async with http_sessions.create() as session:
            async with session.get(url) as response:
                counts = await response.json()
        return operator_checks.Arrivals(host.upstream_port, **counts)

    def _evacuation_url(self, action: str, domain: str) -> str:
        return f'{self.store_url}/-/{action}?key=op/evacuate/{domain}'
