"""Connects a node to the platform's store, callers and upstream."""

from __future__ import annotations

import typing

from jasminebeam import adapters
from jasminebeam import clock
from jasminebeam.configuration import delegates
from jasminebeam.configuration import evacuation_reader
from jasminebeam.configuration import route_watch
from jasminebeam.configuration import route_watcher
from jasminebeam.configuration import seeds
from jasminebeam import inputs
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
    from jasminebeam.store import store as store_module
    from jasminebeam import supervision
    from jasminebeam.telemetry import metrics

SEED_LEASE_S = 10

# Retries and hedges as shares of a service's requests. The platform allows
# 0.2 for both together over a time window. The nested calls of a repeated
# request count towards this limit as well, so the shares stay below it.
BUDGETS = {
    'retry_ratio': 0.08,
    'hedge_ratio': 0.05,
    'hedge_quantile': 0.95,
}


class PlatformAdapter:
    """Implements the node's external interfaces for the platform.

    Parameters
    ----------
    loaded : PlatformSettings
        Validated settings.
    """

    upstream_dialect = upstreams.PlatformUpstreamDialect()

    def __init__(self, loaded: settings.PlatformSettings) -> None:
        self._settings = loaded
        self.caller_dialect = callers.PlatformCallerDialect(self._service)

    def matcher(self, node: adapters.Node) -> routes.Matcher:
        """Return the directory of route sets, which matches requests."""
        return node.route_sets

    def configured_upstream(
        self, node: adapters.Node
    ) -> upstreams_model.Announcement | None:
        """Return the upstream in the settings; None without a health path."""
        adapter = self._settings.adapter
        health_path = node.route_sets.health_path(adapter.service)
        if not health_path:
            return None
        address = inputs.parse_address(adapter.upstream)
        return upstreams_model.Announcement(
            adapter.service,
            address.port,
            slots=0,
            load_path=health_path,
            host=address.host,
        )

    def create_store(self, counters: metrics.Metrics) -> store_module.Store:
        """Return a client of the platform's store."""
        adapter = self._settings.adapter
        return store.PlatformStore(
            adapter.store, adapter.store_timeout_ms, counters
        )

    def create_servers(self, node: adapters.Node) -> list[adapters.Server]:
        """Return all servers except the one for callers."""
        adapter = self._settings.adapter
        announcements = inputs.parse_address(adapter.announcements)
        ready = inputs.parse_address(adapter.readiness)
        return [
            http_server.HttpServer(
                announcements.host,
                announcements.port,
                servers.HeartbeatHandler(node).routes,
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
        self, node: adapters.Node, backend: store_module.Store
    ) -> list[supervision.Start]:
        """Return the tasks that watch the routes and register as a seed."""
        local = seeds.local_node(node.membership.local_member)
        watcher = route_watcher.RouteWatcher(
            backend,
            route_watcher.Options(
                wire.CONFIGURATION_KEY,
                local,
                SEED_LEASE_S,
                self._settings.node.platform.relays_per_domain
                * delegates.CANDIDATES_PER_RELAY,
            ),
            configuration.Decoder(BUDGETS).decode,
            node.membership.adopt_routes,
            lambda: node.route_sets.revision > 0,
            node.membership,
            clock.monotonic_ms,
            node.generator,
            node.log,
            route_watch.Evacuations(
                wire.OPERATORS_PREFIX,
                evacuation_reader.EvacuationReader(
                    wire.EVACUATIONS_PREFIX,
                    node.membership.adopt_evacuations,
                    node.log,
                ),
            ),
        )
        return [watcher.run, watcher.keep_watch, watcher.read_missing_routes]

    def replace(self, loaded: settings.PlatformSettings) -> None:
        """Apply those changed settings that need no restart."""
        self._settings = loaded

    def _service(self) -> str:
        return self._settings.adapter.service
