"""What a node meets outside, as one value that can be exchanged."""

from __future__ import annotations

import asyncio
import ssl
import typing

from jasminebeam.callers import dialect as caller_dialect
from jasminebeam.configuration import relay
from jasminebeam.store import null
from jasminebeam.upstreams import announcements
from jasminebeam.upstreams import dialect as upstream_dialect

if typing.TYPE_CHECKING:
    from jasminebeam.model import routes
    from jasminebeam.model import upstreams
    from jasminebeam import node as node_module
    from jasminebeam import settings as settings_module
    from jasminebeam.store import store
    from jasminebeam.telemetry import metrics


class Server(typing.Protocol):
    """A listening socket of a node."""

    async def start(self) -> None:
        """Listen."""

    async def stop(self) -> None:
        """Stop listening and close the connections."""


Task = typing.Coroutine[None, None, None]


class NodeAdapter(typing.Protocol):
    """Everything through which a node meets the outside.

    The decisions, the state and the inner protocol are the node's; edges
    only translate.
    """

    @property
    def caller_dialect(self) -> caller_dialect.CallerDialect:
        """How callers' requests and verdicts look."""

    @property
    def upstream_dialect(self) -> upstream_dialect.UpstreamDialect:
        """How the upstream's requests and answers look."""

    def matcher(self, node: node_module.Node) -> routes.Matcher:
        """Return what matches requests to services."""

    def configured_upstream(
        self, node: node_module.Node
    ) -> upstreams.Announcement | None:
        """Return how to reach an upstream that has not announced itself.

        None if only its announcement tells.
        """

    def create_store(self, counters: metrics.Metrics) -> store.Store:
        """Return the platform's store."""

    def create_servers(self, node: node_module.Node) -> list[Server]:
        """Return the servers beside the one for callers."""

    def create_tasks(
        self, node: node_module.Node, backend: store.Store
    ) -> list[Task]:
        """Return the tasks that bring in the configuration."""


class NativeAdapter:
    """The product's own interfaces.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    caller_dialect = caller_dialect.NativeDialect()
    upstream_dialect = upstream_dialect.NativeDialect()

    def __init__(self, settings: settings_module.Settings) -> None:
        self._settings = settings
        self._backend: store.Store | None = None

    def matcher(self, node: node_module.Node) -> routes.Matcher:
        """Return the services in force."""
        return node.services

    def configured_upstream(self, node: node_module.Node) -> None:
        """Return None: an upstream announces itself."""

    def create_store(self, counters: metrics.Metrics) -> store.Store:
        """Return the etcd adapter, or a store that is never available."""
        platform = self._settings.platform
        if not platform.endpoint:
            self._backend = null.NullStore()
            return self._backend
        # Nodes without this store do without its modules.
        from jasminebeam.store import etcd

        self._backend = etcd.EtcdStore(
            platform.endpoint, platform.timeout_ms, counters
        )
        return self._backend

    def create_servers(self, node: node_module.Node) -> list[Server]:
        """Return the servers for the upstream and for operators."""
        local = announcements.AnnouncementServer(
            node, node.metrics, self._settings.upstream.announce_port
        )
        return [local, _OperatorServer(node, self._settings, self._backend)]

    def create_tasks(
        self, node: node_module.Node, backend: store.Store
    ) -> list[Task]:
        """Return the relay and the first reading, if there is a store."""
        platform = self._settings.platform
        if not platform.endpoint:
            return []
        place = self._settings.node
        source = relay.Relay(
            backend,
            relay.Options(
                place.failure_domain,
                node.membership.local_member.address,
                platform.relays_per_domain,
                platform.lease_s,
            ),
            node.is_relay_candidate,
            node.membership.adopt_revision,
            node.generator,
            node.log,
        )
        return [_bootstrap(node, backend, source), source.run()]


async def _bootstrap(
    node: node_module.Node, backend: store.Store, source: relay.Relay
) -> None:
    """Learn seeds and services from the store, once."""
    while True:
        seeds = await relay.read_seeds(backend)
        node.membership.add_seeds(seeds)
        if await source.load_services():
            return
        await asyncio.sleep(relay.RETRY_MAX_S * node.generator.random())


class _OperatorServer:
    """Serves operators' remote procedure calls."""

    def __init__(
        self,
        node: node_module.Node,
        settings: settings_module.Settings,
        backend: store.Store,
    ) -> None:
        self._node = node
        self._settings = settings
        self._backend = backend

    async def start(self) -> None:
        """Listen for operators."""
        # Nodes without this interface do without its modules.
        from grpclib import server as grpc_server

        from jasminebeam import clock
        from jasminebeam.configuration import changes
        from jasminebeam.operators import service

        node = self._node
        handler = service.OperatorsService(
            changes.ServiceEditor(self._backend),
            node.services,
            node.membership,
            node.routes,
            node,
            node.log,
            clock.monotonic_ms,
        )
        self._server = grpc_server.Server([handler])
        await self._server.start(
            self._settings.node.host,
            self._settings.operators.port,
            ssl=self._tls(),
        )

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()
        await self._server.wait_closed()

    def _tls(self) -> ssl.SSLContext | None:
        operators = self._settings.operators
        if not operators.tls_certificate:
            return None
        context = ssl.create_default_context(
            ssl.Purpose.CLIENT_AUTH, cafile=operators.tls_client_ca
        )
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(operators.tls_certificate, operators.tls_key)
        context.set_alpn_protocols(['h2'])
        return context
