"""The platform as the outside of a node."""

from __future__ import annotations

import typing

from jasminebeam import adapters
from jasminebeam.configuration import route_watcher
from jasminebeam.model import upstreams as upstreams_model
from jasminebeam.platform import callers
from jasminebeam.platform import configuration
from jasminebeam.platform import servers
from jasminebeam.platform import settings
from jasminebeam.platform import store
from jasminebeam.platform import upstreams
from jasminebeam.platform import wire
from jasminebeam.upstreams import http_server

if typing.TYPE_CHECKING:
    from jasminebeam.model import routes
    from jasminebeam import node as node_module
    from jasminebeam.store import store as store_module
    from jasminebeam.telemetry import metrics

SEED_LEASE_S = 10

# Shares of a service's requests that may be sent a second time. The users
# allow 0.2 in all over a window; a repeat's own calls count as well.
BUDGETS = {
    'retry_ratio': 0.08,
    'hedge_ratio': 0.05,
    'hedge_quantile': 0.95,
}


class PlatformAdapter:
    """Translates between the platform and a node.

    Parameters
    ----------
    loaded : PlatformSettings
        Checked settings.
    """

    upstream_dialect = upstreams.PlatformUpstreams()

    def __init__(self, loaded: settings.PlatformSettings) -> None:
        self._settings = loaded
        self.caller_dialect = callers.PlatformCallers(self._service)

    def matcher(self, node: node_module.Node) -> routes.Matcher:
        """Return the route set in force."""
        return node.route_sets

    def configured_upstream(
        self, node: node_module.Node
    ) -> upstreams_model.Announcement | None:
        """Return the upstream that the settings name."""
        adapter = self._settings.adapter
        health_path = node.route_sets.health_path(adapter.service)
        if not health_path:
            return None
        address = settings.parse_address(adapter.upstream)
        return upstreams_model.Announcement(
            adapter.service,
            address.port,
            slots=0,
            load_path=health_path,
            host=address.host,
        )

    def create_store(self, counters: metrics.Metrics) -> store_module.Store:
        """Return the platform's store."""
        adapter = self._settings.adapter
        return store.PlatformStore(
            adapter.store, adapter.store_timeout_ms, counters
        )

    def create_servers(self, node: node_module.Node) -> list[adapters.Server]:
        """Return the servers beside the one for callers."""
        adapter = self._settings.adapter
        announcements = settings.parse_address(adapter.announcements)
        ready = settings.parse_address(adapter.readiness)
        return [
            http_server.HttpServer(
                announcements.host,
                announcements.port,
                servers.Heartbeats(node).routes,
            ),
            http_server.HttpServer(
                ready.host, ready.port, [servers.readiness(node)]
            ),
            http_server.HttpServer(
                self._settings.node.node.host,
                adapter.metrics_port,
                [servers.metrics(node)],
            ),
        ]

    def create_tasks(
        self, node: node_module.Node, backend: store_module.Store
    ) -> list[adapters.Task]:
        """Return the watch and the registration as a seed."""
        local_member = node.membership.local_member
        source = route_watcher.RouteWatcher(
            backend,
            route_watcher.Options(
                wire.CONFIGURATION_KEY,
                local_member.node_id,
                local_member.address,
                SEED_LEASE_S,
            ),
            configuration.Decoder(BUDGETS).decode,
            node.is_relay_candidate,
            node.membership.adopt_routes,
            node.membership,
            node.generator,
            node.log,
        )
        return [source.watch(), source.maintain_seed_registration()]

    def replace(self, loaded: settings.PlatformSettings) -> None:
        """Put changed settings in force where that needs no restart."""
        self._settings = loaded

    def _service(self) -> str:
        return self._settings.adapter.service
