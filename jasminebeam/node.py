"""Composition root: creates and connects the components of a node."""

from __future__ import annotations

import asyncio
import random
import secrets
import typing

from jasminebeam import adapters as adapters_module
from jasminebeam.callers import http
from jasminebeam import clock
from jasminebeam.configuration import applied
from jasminebeam.configuration import directory
from jasminebeam.configuration import evacuation_enforcement
from jasminebeam.configuration import evacuations
from jasminebeam.configuration import routes as route_sets
from jasminebeam import http_client
from jasminebeam.ingress import admission_client
from jasminebeam.ingress import dispatcher
from jasminebeam.ingress import load_probing
from jasminebeam.membership import gossip
from jasminebeam.membership import options as gossip_options
from jasminebeam.membership import task as membership_task
from jasminebeam.model import routes as routes_model
from jasminebeam.model import upstreams
from jasminebeam.peering import control
from jasminebeam.peering import downloads
from jasminebeam.peering import endpoint
from jasminebeam.peering import messages
from jasminebeam.peering import pool
from jasminebeam.peering import token_messages
from jasminebeam import process_limits
from jasminebeam.quotas import dispatcher as limited_dispatcher
from jasminebeam.quotas import fleet_size
from jasminebeam.quotas import limiter
from jasminebeam.quotas import task as team_limit_task
from jasminebeam.routing import evacuation
from jasminebeam.routing import policies
from jasminebeam.routing import probing
from jasminebeam.routing import scoring
from jasminebeam.routing import selection
from jasminebeam.routing import table
from jasminebeam.sidecar import limits as sidecar_limits
from jasminebeam.sidecar import sidecar
from jasminebeam.sidecar import upstream_control
from jasminebeam import supervision
from jasminebeam.telemetry import events
from jasminebeam.telemetry import metrics
from jasminebeam.upstreams import client
from jasminebeam.upstreams import lifecycle

if typing.TYPE_CHECKING:
    from jasminebeam import settings as settings_module

# Interval of the health checks until a restarted node has found an upstream
# that is already running.
FIND_INTERVAL_S = 0.1
EXPIRE_TICK_S = 0.05

# Maximum wait for the next tick while no request is in progress (sidecar) or
# no peer is in use (peer connections).
EXPIRE_IDLE_TICK_S = 2.0
IDLE_TICK_S = 2.0

# Time between the leave message to the peers and the closing of the sockets.
LEAVE_GRACE_S = 0.2

_DATA_TYPES = (
    messages.Hello,
    messages.Request,
    messages.Probe,
    messages.AdmissionQuery,
    messages.Ping,
    messages.UpstreamNotice,
    messages.TeamRequest,
    messages.TeamAdmissionQuery,
)


class Node:
    """One node: ingress for callers and sidecar of the local upstream.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    adapter : NodeAdapter or None
        Adapter between the node and its environment; the native one if
        None.

    Notes
    -----
    Call `start`, and `stop` later. An application that embeds a node
    runs both on its own event loop.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        adapter: adapters_module.NodeAdapter | None = None,
    ) -> None:
        self._settings = settings
        if adapter is None:
            # Local import: a node with another adapter needs none of the
            # native one's modules.
            from jasminebeam import native_adapter

            adapter = native_adapter.NativeAdapter(settings)
        self._adapter = adapter
        node_section = settings.node
        self.metrics = metrics.Metrics()
        self.log = events.EventLog(node_section.node_id, self.metrics)
        self._tasks = supervision.BackgroundTasks(self.log)
        self.generator = random.Random(secrets.randbits(64))
        boot_id = secrets.randbits(62)
        self._hello = messages.Hello(node_section.node_id, boot_id)
        self.services = directory.ServiceDirectory()
        self.route_sets = route_sets.RouteDirectory(self.generator)
        self.evacuations = evacuations.EvacuationDirectory()
        self.routes = table.RoutingTable(
            table.Locality(
                node_section.node_id,
                node_section.failure_domain,
                node_section.region,
            )
        )
        self.probes = probing.ProbePlanner()
        self._sweeper = process_limits.create_sweeper(
            node_section, clock.monotonic_ms
        )
        self.sidecar = sidecar.Sidecar(
            boot_id,
            sidecar_limits.create(settings.upstream, self._sweeper.budget),
            self.log,
            self.metrics,
            clock.monotonic_ms,
        )
        self._gossip_options = gossip_options.Options()
        self.membership = self._create_membership()
        self._clocks = dispatcher.Clocks(clock.monotonic_ms, clock.wall_ms)
        self._upstream = upstream_control.UpstreamControl(
            self.sidecar,
            self.membership,
            self.routes,
            self.route_sets,
            lambda: self._adapter.configured_upstream(self),
            self._create_client,
            self._tasks.spawn,
            self._clocks,
            self.log,
        )
        self._team_limits = self._create_team_limits()
        self.metrics.in_flight.set_function(lambda: self.sidecar.in_flight)
        self.metrics.queued.set_function(lambda: self.sidecar.queued)
        self._servers: list[adapters_module.Server] = []
        self._stopping = False
        self._response_budget = http_client.ByteBudget(client.MAX_HELD_BYTES)

    def _create_membership(self) -> membership_task.MembershipTask:
        self._applied = applied.AppliedConfiguration(
            self.services,
            self.routes,
            lambda: self.membership.store_age_ms(),
            clock.monotonic_ms,
            self.log,
            self.metrics,
            lambda *teams: self._team_limits.configure(*teams),
        )
        state = gossip.Gossip(
            self._initial_record(),
            self.services,
            self.route_sets,
            self._settings.peering.seeds.split(),
            self.generator,
            self._gossip_options,
            self.evacuations,
        )
        return membership_task.MembershipTask(
            state,
            self.services,
            self._on_member,
            self._applied.on_revision,
            self._on_routes,
            self._on_unreachable_domains,
            clock.monotonic_ms,
            self.log,
            self.metrics,
            evacuation_enforcement.EvacuationEnforcer(
                self._settings.node.failure_domain,
                self.routes,
                self.sidecar,
                self.log,
                self.metrics,
            ).apply,
        )

    def _create_team_limits(self) -> team_limit_task.TeamLimitTask:
        node_id = self._settings.node.node_id
        size = fleet_size.FleetSize(node_id, clock.boottime_ms())
        return team_limit_task.TeamLimitTask(
            limiter.TeamLimiter(node_id, size, self.generator.getrandbits(31)),
            self.membership,
            clock.boottime_ms,
            self.generator,
            self.log,
            self.metrics,
        )

    async def start(self) -> None:
        """Open all sockets and start the background tasks."""
        settings = self._settings
        self._start_peering()
        self._start_ingress()
        self._store = self._adapter.create_store(self.metrics)
        self._servers = self._adapter.create_servers(self)
        for server in self._servers:
            await server.start()
        for start in self._adapter.create_tasks(self, self._store):
            self._tasks.supervise(start)
        await self._callers.start(
            settings.callers.host or settings.node.host, settings.callers.port
        )
        for start in (
            self._run_membership,
            self._tick_peers,
            self._tick_sidecar,
            self._prober.run,
            self._read_load,
        ):
            self._tasks.supervise(start)
        self.log.write(
            events.Event.NODE_STARTED,
            host=settings.node.host,
            callers=settings.callers.port,
            peers=settings.peering.port,
        )

    async def stop(self) -> None:
        """Stop gracefully, after the requests in progress have finished."""
        if self._stopping:
            return
        self._stopping = True
        in_flight = self.sidecar.in_flight
        self.log.write(events.Event.NODE_STOPPING, in_flight=in_flight)
        self.sidecar.stop()
        self.membership.publish(phase=upstreams.Phase.DRAINING)
        timeout_s = self._settings.node.stop_timeout_ms / 1_000
        end_ms = clock.monotonic_ms() + timeout_s * 1_000
        try:
            async with asyncio.timeout(timeout_s):
                await self._callers.stop(
                    self._settings.callers.stop_grace_ms / 1_000, end_ms
                )
                await self.sidecar.wait_idle()
                await self._endpoint.server.answers.wait_idle()
        except TimeoutError:
            pass
        self.membership.leave()
        await asyncio.sleep(LEAVE_GRACE_S)
        await self._close()
        self.log.write(events.Event.NODE_STOPPED)

    def attach_upstream(self, announcement: upstreams.Announcement) -> None:
        """Put the local upstream into service."""
        self._upstream.attach(announcement)

    def drain_upstream(self) -> int:
        """Stop new requests to the upstream; return the number in progress."""
        return self._upstream.drain()

    @property
    def ready(self) -> bool:
        """True while callers should send their requests to this node."""
        return not self._stopping and self.route_sets.revision > 0

    def on_heartbeat(self, heartbeat: lifecycle.Heartbeat) -> None:
        """Process a heartbeat of the local upstream."""
        self._upstream.on_heartbeat(heartbeat)

    def on_upstream_leave(self, upstream_id: str, started_ms: int) -> None:
        """Process a leave notice of the local upstream."""
        self._upstream.on_leave(upstream_id, started_ms)

    async def check_upstream(self) -> None:
        """Check the health and the identity of the local upstream."""
        await self._upstream.check()

    @property
    def upstream_lifecycle(self) -> lifecycle.UpstreamLifecycle:
        """State of the local upstream by its heartbeats and leave notices."""
        return self._upstream.lifecycle

    def _create_client(
        self,
        announcement: upstreams.Announcement,
        on_report: typing.Callable[[upstreams.LoadReport], None],
        on_notice: client.OnNotice,
    ) -> client.HttpUpstreamClient:
        return client.HttpUpstreamClient(
            announcement,
            self._settings.upstream.max_answer_bytes,
            self._adapter.upstream_dialect,
            on_report,
            on_notice,
            self.sidecar,
            self._response_budget,
            self._sweeper,
        )

    def _initial_record(self) -> upstreams.Member:
        node_section = self._settings.node
        peering = self._settings.peering
        address = f'{node_section.host}:{peering.port}'
        return upstreams.Member(
            node_id=node_section.node_id,
            address=peering.advertise_address or address,
            failure_domain=node_section.failure_domain,
            region=node_section.region,
            incarnation=clock.wall_ms(),
            version=1,
        )

    def _start_peering(self) -> None:
        peering = self._settings.peering
        self._endpoint = endpoint.PeerEndpoint(
            self._settings.node,
            peering,
            self._hello,
            self.log,
            self.metrics,
            clock.monotonic_ms,
        )
        server = self._endpoint.server
        self._control = control.ControlLinks(
            self._endpoint.links.open_control,
            peering.control_bytes_per_s,
            self.membership.receive,
            self.metrics,
            clock.monotonic_ms(),
        )
        self.membership.attach(self._control)
        self._token_links = control.ControlLinks(
            self._endpoint.links.open_control,
            team_limit_task.BYTES_PER_S,
            self._team_limits.receive,
            self.metrics,
            clock.monotonic_ms(),
            team_limit_task.MAX_LINKS,
        )
        self._team_limits.attach(self._token_links)
        server.register_handler(
            token_messages.TYPES, self._team_limits.receive
        )
        server.register_handler(_DATA_TYPES, self._on_data)
        downloads.Downloads(
            self.sidecar, self._sweeper, self.log, self.metrics
        ).register(server)
        server.register_handler(
            messages.CONTROL_TYPES, self.membership.receive
        )

    def _start_ingress(self) -> None:
        self.pool = pool.PeerPool(
            self._settings.node.node_id,
            self._endpoint.links,
            self.sidecar,
            self.routes,
            clock.monotonic_ms,
            self.log,
            self.metrics,
            self._sweeper,
        )
        cost_parameters = scoring.CostParameters(
            other_domain_ms=self._settings.routing.other_domain_ms
        )
        policies_by_name = policies.create_all(
            self.generator, self._settings.routing.choices, cost_parameters
        )
        self.dispatcher = dispatcher.Dispatcher(
            selection.Selector(
                self.routes,
                policies_by_name,
                evacuation.EvacuationFilter(self.evacuations),
            ),
            self.pool,
            self.generator,
            self._clocks,
            self.log,
            self.metrics,
            admission_client.AdmissionClient(
                self.pool, cost_parameters, clock.monotonic_ms
            ),
            self._applied.fields,
        )
        self._prober = load_probing.LoadProber(
            self.probes,
            self.services,
            self.routes,
            self.pool,
            clock.monotonic_ms,
            self.metrics,
        )
        self._callers = http.CallerServer(
            self._adapter.matcher(self),
            limited_dispatcher.LimitedDispatcher(
                self.dispatcher,
                self._team_limits,
                clock.monotonic_ms,
                self.log,
            ),
            self.probes,
            self._adapter.caller_dialect,
            routes_model.CallerLimits(
                body_bytes=self._settings.callers.max_body_bytes
            ),
            clock.monotonic_ms,
            self.generator,
            self.log,
            self.metrics,
            self.sidecar.is_running,
            self._applied.fields,
            self._sweeper,
        )

    def _on_data(
        self,
        message: messages.Message,
        send: typing.Callable[[messages.Message], int],
        size_bytes: int,
    ) -> None:
        self.sidecar.handle(message, send)

    def _on_member(self, member: upstreams.Member) -> None:
        self.routes.update(member)
        self._endpoint.traffic.observe(member)
        self._team_limits.observe(member)

    def _on_routes(
        self, route_set: routes_model.RouteSet, source: str
    ) -> None:
        self._applied.on_routes(route_set, source)
        self.sidecar.set_cold_starts(route_set.cold_starts or ())
        if self.sidecar.announcement is None:
            # The new routes may contain the health path, which is needed to
            # find the upstream.
            self._tasks.spawn(self._upstream.find())

    def _on_unreachable_domains(self, domains: frozenset[str]) -> None:
        self.routes.unreachable_domains = domains

    async def _run_membership(self) -> None:
        await self.membership.run(
            self._gossip_options.interval_ms, self.generator
        )

    async def _tick_peers(self) -> None:
        interval_s = self._settings.peering.tick_ms / 1_000
        while True:
            await self.pool.wait_until_busy(IDLE_TICK_S)
            self.pool.tick(clock.monotonic_ms())
            await asyncio.sleep(interval_s)

    async def _tick_sidecar(self) -> None:
        while True:
            await self.sidecar.wait_for_work(EXPIRE_IDLE_TICK_S)
            self.sidecar.expire(clock.monotonic_ms())
            self._endpoint.server.answers.expire(clock.monotonic_ms())
            await asyncio.sleep(EXPIRE_TICK_S)

    async def _read_load(self) -> None:
        interval_s = self._settings.upstream.load_interval_ms / 1_000
        while True:
            attached = self.sidecar.announcement is not None
            await asyncio.sleep(interval_s if attached else FIND_INTERVAL_S)
            await self.check_upstream()

    async def _close(self) -> None:
        await self._tasks.cancel()
        for server in self._servers:
            await server.stop()
        await self._store.close()
        self.pool.close()
        self._control.close()
        self._team_limits.close()
        self._token_links.close()
        self._endpoint.close()
        await self.sidecar.close()
        self._endpoint.destroy()
