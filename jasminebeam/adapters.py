"""Interfaces between a node and its adapters."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import random

    from jasminebeam.callers import dialect as callers
    from jasminebeam.configuration import directory
    from jasminebeam.configuration import evacuations as evacuations_in_force
    from jasminebeam.configuration import routes as routes_in_force
    from jasminebeam.membership import task as membership_task
    from jasminebeam.model import routes
    from jasminebeam.model import upstreams
    from jasminebeam.peering import pool as peer_pool
    from jasminebeam.routing import table
    from jasminebeam.store import store
    from jasminebeam import supervision
    from jasminebeam.telemetry import events
    from jasminebeam.telemetry import metrics
    from jasminebeam.upstreams import dialect
    from jasminebeam.upstreams import lifecycle


class Node(typing.Protocol):
    """Part of a node that its adapter uses.

    Parameters
    ----------
    services, route_sets
        Services and routes in force.
    membership : MembershipTask
        Members of the fleet.
    routes : RoutingTable
        Upstreams and their load.
    generator : random.Random
        Source of jitter.
    metrics, log
        Counters and event log of the node.
    evacuations : EvacuationDirectory
        Evacuated failure domains.
    pool : PeerPool
        Connections to the sidecars; set once the node starts.
    """

    services: directory.ServiceDirectory
    route_sets: routes_in_force.RouteDirectory
    membership: membership_task.MembershipTask
    routes: table.RoutingTable
    generator: random.Random
    metrics: metrics.Metrics
    log: events.EventLog
    evacuations: evacuations_in_force.EvacuationDirectory
    pool: peer_pool.PeerPool

    @property
    def ready(self) -> bool:
        """True while callers should send their requests to this node."""

    def attach_upstream(self, announcement: upstreams.Announcement) -> None:
        """Put the local upstream into service."""

    def drain_upstream(self) -> int:
        """Start draining; return the number of requests in flight."""

    def on_heartbeat(self, heartbeat: lifecycle.Heartbeat) -> None:
        """Process a heartbeat of the local upstream."""

    def on_upstream_leave(self, upstream_id: str, started_ms: int) -> None:
        """Process a leave notice of the local upstream."""


class Server(typing.Protocol):
    """Server that a node starts and stops."""

    async def start(self) -> None:
        """Start listening."""

    async def stop(self) -> None:
        """Stop listening and close the connections."""


class NodeAdapter(typing.Protocol):
    """Adapter between a node and its callers, upstream, store and operators.

    The node makes the decisions, holds the state and runs the protocol
    between nodes. An adapter only translates.
    """

    @property
    def caller_dialect(self) -> callers.CallerDialect:
        """Translator of the requests and verdicts of callers."""

    @property
    def upstream_dialect(self) -> dialect.UpstreamDialect:
        """Translator of the requests and answers of the upstream."""

    def matcher(self, node: Node) -> routes.Matcher:
        """Return the matcher of requests to services."""

    def configured_upstream(self, node: Node) -> upstreams.Announcement | None:
        """Return the announcement of an upstream that the settings name.

        The result is None if the node must wait until the upstream
        announces itself.
        """

    def create_store(self, counters: metrics.Metrics) -> store.Store:
        """Return the store that holds the configuration."""

    def create_servers(self, node: Node) -> list[Server]:
        """Return all servers except the one for callers."""

    def create_tasks(
        self, node: Node, backend: store.Store
    ) -> list[supervision.Start]:
        """Return the functions that load the configuration into the node.

        The node runs each as a background task and restarts it on failure.
        """
