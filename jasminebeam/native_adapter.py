"""Native adapter: HTTP for callers, an etcd store, gRPC for operators."""

from __future__ import annotations

import asyncio
import functools
import ssl
import typing

from jasminebeam.callers import dialect as caller_dialect
from jasminebeam.configuration import evacuation_key
from jasminebeam.configuration import relay
from jasminebeam.store import null
from jasminebeam.upstreams import announcements
from jasminebeam.upstreams import dialect as upstream_dialect

if typing.TYPE_CHECKING:
    from jasminebeam import adapters
    from jasminebeam.model import routes
    from jasminebeam import settings as settings_module
    from jasminebeam.store import store
    from jasminebeam import supervision
    from jasminebeam.telemetry import metrics


class NativeAdapter:
    """Native adapter: HTTP for callers, an etcd store, gRPC for operators.

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

    def matcher(self, node: adapters.Node) -> routes.Matcher:
        """Return the directory of the services in force."""
        return node.services

    def configured_upstream(self, node: adapters.Node) -> None:
        """Return None: an upstream always announces itself."""

    def create_store(self, counters: metrics.Metrics) -> store.Store:
        """Return the etcd store, or one that is never available."""
        platform = self._settings.platform
        if not platform.endpoint:
            self._backend = null.NullStore()
            return self._backend
        # Local import: nodes without this store need none of its modules.
        from jasminebeam.store import etcd

        self._backend = etcd.EtcdStore(
            platform.endpoint, platform.timeout_ms, counters
        )
        return self._backend

    def create_servers(self, node: adapters.Node) -> list[adapters.Server]:
        """Return the servers for announcements and for operators."""
        announcement_server = announcements.AnnouncementServer(
            node, node.metrics, self._settings.upstream.announce_port
        )
        return [
            announcement_server,
            _OperatorServer(node, self._settings, self._backend),
        ]

    def create_tasks(
        self, node: adapters.Node, backend: store.Store
    ) -> list[supervision.Start]:
        """Return the tasks of the initial load and of the relay.

        Without a store, the list is empty.
        """
        platform = self._settings.platform
        if not platform.endpoint:
            return []
        node_section = self._settings.node
        store_relay = relay.Relay(
            backend,
            relay.Options(
                node_section.failure_domain,
                node.membership.local_member.address,
                platform.relays_per_domain,
                platform.lease_s,
            ),
            functools.partial(
                _is_relay_candidate, node, platform.relays_per_domain
            ),
            node.membership.adopt_revision,
            node.generator,
            node.log,
            evacuation_key.KeyReader(
                node.membership.adopt_evacuations, node.log
            ),
        )
        bootstrap = functools.partial(_bootstrap, node, backend, store_relay)
        return [bootstrap, store_relay.run]


def _is_relay_candidate(node: adapters.Node, relays_per_domain: int) -> bool:
    """Return True if the node should be a relay of its failure domain."""
    local_member = node.membership.local_member
    candidate_ids = relay.candidates(
        local_member, node.membership.members(), relays_per_domain
    )
    return local_member.node_id in candidate_ids


async def _bootstrap(
    node: adapters.Node, backend: store.Store, store_relay: relay.Relay
) -> None:
    """Load seeds and services from the store once, retrying on failure."""
    while True:
        seeds = await relay.read_seeds(backend)
        node.membership.add_seeds(seeds)
        if await store_relay.load_services():
            return
        await asyncio.sleep(relay.RETRY_MAX_S * node.generator.random())


class _OperatorServer:
    """gRPC server for operators."""

    def __init__(
        self,
        node: adapters.Node,
        settings: settings_module.Settings,
        backend: store.Store,
    ) -> None:
        self._node = node
        self._settings = settings
        self._backend = backend

    async def start(self) -> None:
        """Start listening for operators."""
        # Local imports: nodes without this server need none of its modules.
        from grpclib import server as grpc_server

        from jasminebeam import clock
        from jasminebeam.configuration import changes
        from jasminebeam.configuration import evacuation_editor
        from jasminebeam.configuration import team_editor
        from jasminebeam.ingress import load_query
        from jasminebeam.operators import evacuations
        from jasminebeam.operators import service
        from jasminebeam.operators import teams

        node = self._node
        handler = service.OperatorsService(
            changes.ServiceEditor(self._backend),
            node.services,
            node.membership,
            node.routes,
            node,
            node.log,
            clock.monotonic_ms,
            evacuations.EvacuationCalls(
                evacuation_editor.EvacuationEditor(self._backend),
                node.evacuations,
                node.membership,
                load_query.LoadQuery(
                    node.routes, node.pool, clock.monotonic_ms
                ),
            ),
            teams.TeamCalls(
                team_editor.TeamEditor(self._backend),
                self._backend,
                node.services,
                node.membership,
                node.metrics.team_requests,
                node.log,
            ),
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
