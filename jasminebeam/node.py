"""Composition root: creates and connects the components of a node."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import secrets
import typing

import zmq

from jasminebeam import adapters as adapters_module
from jasminebeam.admission import rate_limit
from jasminebeam.callers import http
from jasminebeam import clock
from jasminebeam.configuration import directory
from jasminebeam.configuration import evacuation_enforcement
from jasminebeam.configuration import evacuations
from jasminebeam.configuration import relay
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
from jasminebeam import native_adapter
from jasminebeam.peering import control
from jasminebeam.peering import messages
from jasminebeam.peering import pool
from jasminebeam.peering import server as peer_server
from jasminebeam.peering import sockets
from jasminebeam.routing import evacuation
from jasminebeam.peering import token_messages
from jasminebeam.quotas import dispatcher as limited_dispatcher
from jasminebeam.quotas import fleet_size
from jasminebeam.quotas import limiter
from jasminebeam.quotas import task as team_limit_task
from jasminebeam.routing import policies
from jasminebeam.routing import probing
from jasminebeam.routing import scoring
from jasminebeam.routing import selection
from jasminebeam.routing import table
from jasminebeam.sidecar import sidecar
from jasminebeam import supervision
from jasminebeam.telemetry import events
from jasminebeam.telemetry import metrics
from jasminebeam.upstreams import client
from jasminebeam.upstreams import lifecycle

if typing.TYPE_CHECKING:
    from jasminebeam.model import services
    from jasminebeam.peering import security
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
    messages.Cancel,
    messages.Revoke,
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
        self._adapter = adapter or native_adapter.NativeAdapter(settings)
        node_section = settings.node
        self.metrics = metrics.Metrics()
        self.log = events.EventLog(node_section.node_id, self.metrics)
        self._tasks: set[asyncio.Task[None]] = set()
        self.generator = random.Random(secrets.randbits(64))
        self._context = zmq.Context()
        boot_id = secrets.randbits(62)
        self._hello = messages.Hello(node_section.node_id, boot_id)
        self.services = directory.ServiceDirectory()
        self.route_sets = route_sets.RouteDirectory(self.generator)
        self.evacuations = evacuations.EvacuationDirectory()
        self.upstream_lifecycle = lifecycle.UpstreamLifecycle()
        self._discovery = lifecycle.StartupDiscovery(clock.monotonic_ms())
        self.routes = table.RoutingTable(
            table.Locality(
                node_section.node_id,
                node_section.failure_domain,
                node_section.region,
            )
        )
        self.probes = probing.ProbePlanner()
        self.sidecar = self._create_sidecar(boot_id)
        self._routes_source = ''
        self._routes_applied_ms = 0.0
        self.sidecar.on_leaving = self._on_upstream_leaving
        self.sidecar.on_availability = self._publish_availability
        self._gossip_options = gossip_options.Options()
        self.membership = self._create_membership()
        self._team_limits = self._create_team_limits()
        self.metrics.in_flight.set_function(lambda: self.sidecar.in_flight)
        self.metrics.queued.set_function(lambda: self.sidecar.queued)
        self.metrics.store_age.set_function(self._store_age_s)
        self._servers: list[adapters_module.Server] = []
        self._stopping = False
        self._upstream_reachable = True
        self._response_budget = http_client.ByteBudget(client.MAX_HELD_BYTES)

    def _create_sidecar(self, boot_id: int) -> sidecar.Sidecar:
        upstream = self._settings.upstream
        return sidecar.Sidecar(
            boot_id,
            sidecar.Limits(
                queue_ratio=upstream.queue_ratio,
                usable_ratio=upstream.usable_ratio,
                rate_limit=rate_limit.Options(
                    upstream.limit_burst_ms, upstream.limit_hold_ms
                ),
            ),
            self.log,
            self.metrics,
            clock.monotonic_ms,
        )

    def _create_membership(self) -> membership_task.MembershipTask:
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
            self._on_revision,
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
            self._supervise(start)
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
            self._supervise(start)
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
        except TimeoutError:
            pass
        self.membership.leave()
        await asyncio.sleep(LEAVE_GRACE_S)
        await self._close()
        self.log.write(events.Event.NODE_STOPPED)

    def attach_upstream(self, announcement: upstreams.Announcement) -> None:
        """Put the local upstream into service."""
        self._discovery.close()
        upstream_client = self._create_client(
            announcement, self.sidecar.on_report, self.sidecar.on_notice
        )
        replaced = self.sidecar.attach(announcement, upstream_client)
        if replaced is not None:
            self._spawn(self._close_replaced_client(replaced))
        self.membership.publish(
            phase=self.sidecar.available_phase,
            service=announcement.service,
            slots=announcement.slots,
            cold_start_ms=announcement.cold_start_ms,
            ready_ms=clock.wall_ms(),
        )
        self.routes.update(self.membership.local_member)
        self.log.write(
            events.Event.UPSTREAM_ANNOUNCED,
            service=announcement.service,
            slots=announcement.slots,
            upstream=announcement.upstream_id,
            started_ms=announcement.started_ms,
        )
        self.sidecar.adopt_pending_notice()

    @property
    def ready(self) -> bool:
        """True while callers should send their requests to this node."""
        return not self._stopping and self.route_sets.revision > 0

    def on_heartbeat(self, heartbeat: lifecycle.Heartbeat) -> None:
        """Process a heartbeat of the local upstream."""
        upstream_lifecycle = self.upstream_lifecycle
        may_be_outdated = self._discovery.may_be_outdated(clock.monotonic_ms())
        self._apply_action(
            upstream_lifecycle.on_heartbeat(heartbeat, may_be_outdated)
        )
        if upstream_lifecycle.current is not None:
            self.sidecar.update_start(upstream_lifecycle.current.announcement)
        if upstream_lifecycle.current is heartbeat:
            # An older heartbeat that arrives late is not the current one.
            self.sidecar.on_announced_cold(
                heartbeat.announcement.cold_start_ms
            )

    def on_upstream_leave(self, upstream_id: str, started_ms: int) -> None:
        """Process a leave notice of the local upstream."""
        self._apply_action(
            self.upstream_lifecycle.on_leave(upstream_id, started_ms)
        )

    def _on_upstream_leaving(self) -> None:
        """Drain the upstream because its answers say that it leaves."""
        announcement = self.sidecar.announcement
        if self.upstream_lifecycle.current is None:
            self.drain_upstream()
        else:
            self.on_upstream_leave(
                announcement.upstream_id, announcement.started_ms
            )

    async def check_upstream(self) -> None:
        """Check the health and the identity of the local upstream."""
        if self.sidecar.announcement is None:
            if self._discovery.is_open(clock.monotonic_ms()):
                await self._find_upstream()
            return
        health = await self.sidecar.check_health()
        announcement = self.sidecar.announcement
        if announcement is not None and announcement.load_path:
            self._record_reachability(health is not None and health.listening)
        upstream_lifecycle = self.upstream_lifecycle
        if (
            health is None
            or not health.upstream_id
            or upstream_lifecycle.current is None
        ):
            return
        current_announcement = upstream_lifecycle.current.announcement
        if health.upstream_id == current_announcement.upstream_id:
            return
        self._apply_action(upstream_lifecycle.on_identity_mismatch())
        if health.healthy:
            self._apply_action(
                upstream_lifecycle.on_identity(health.upstream_id)
            )

    async def _find_upstream(self) -> None:
        """Put an upstream into service if its health check allows it.

        It has announced itself but may have left since, or it started before
        the node.
        """
        candidate = self._candidate()
        if candidate is None:
            return
        reports: list[upstreams.LoadReport] = []
        notices: list[upstreams.Notice] = []
        health_client = self._create_client(
            candidate,
            reports.append,
            lambda announcement, source, notice: notices.append(notice),
        )
        try:
            health = await health_client.check_health()
        finally:
            await health_client.close()
        if self.sidecar.announcement is not None or health is None:
            return
        if not health.listening:
            self._discovery.close()
        if not (health.healthy and health.upstream_id):
            return
        self._apply_action(self._admit_healthy(candidate, health, reports))
        if self.sidecar.announcement is None:
            return
        for report in reports:
            self.sidecar.on_report(report)
        for notice in notices:
            self.sidecar.on_notice(
                self.sidecar.announcement,
                upstreams.NoticeSource.HEALTH,
                notice,
            )

    def _admit_healthy(
        self,
        candidate: upstreams.Announcement,
        health: upstreams.Health,
        reports: list[upstreams.LoadReport],
    ) -> lifecycle.Action:
        """Return the action if a candidate's address has a healthy upstream.

        Only a load report names the slots of one that has not announced
        itself.
        """
        action = self.upstream_lifecycle.on_identity(health.upstream_id)
        if (
            action is not lifecycle.Action.NOTHING
            or candidate.upstream_id
            or not reports
            or not self._discovery.is_open(clock.monotonic_ms())
        ):
            return action
        found = dataclasses.replace(
            candidate,
            slots=reports[0].slots,
            upstream_id=health.upstream_id,
        )
        return self.upstream_lifecycle.on_found(found)

    def _candidate(self) -> upstreams.Announcement | None:
        """Return the upstream that a health check may put into service."""
        unconfirmed = self.upstream_lifecycle.unconfirmed
        if unconfirmed is not None:
            announcement = unconfirmed.announcement
            # The heartbeat may have arrived before the routes.
            return dataclasses.replace(
                announcement,
                load_path=self.route_sets.health_path(announcement.service),
            )
        if self._discovery.is_open(clock.monotonic_ms()):
            return self._adapter.configured_upstream(self)
        return None

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
        )

    def _record_reachability(self, reachable: bool) -> None:
        if reachable == self._upstream_reachable:
            return
        self._upstream_reachable = reachable
        event = (
            events.Event.UPSTREAM_FOUND
            if reachable
            else events.Event.UPSTREAM_LOST
        )
        self.log.write(event, service=self.sidecar.announcement.service)

    def _apply_action(self, action: lifecycle.Action) -> None:
        current = self.upstream_lifecycle.current
        if action is lifecycle.Action.ATTACH:
            self.attach_upstream(current.announcement)
        elif action is lifecycle.Action.DRAIN:
            if self.sidecar.announcement is None:
                self.attach_upstream(current.announcement)
            self.drain_upstream()
        elif action is lifecycle.Action.CHECK:
            self._spawn(self._find_upstream())
        elif action is lifecycle.Action.DETACH:
            self.sidecar.detach()
            self.membership.publish(phase=upstreams.Phase.ABSENT)
            self.routes.update(self.membership.local_member)
            self.log.write(events.Event.UPSTREAM_DETACHED)

    def _publish_availability(self) -> None:
        self.membership.publish(phase=self.sidecar.available_phase)
        self.routes.update(self.membership.local_member)

    def drain_upstream(self) -> int:
        """Stop new requests to the upstream; return the number in progress."""
        self.sidecar.drain()
        self.membership.publish(phase=upstreams.Phase.DRAINING)
        self.routes.update(self.membership.local_member)
        in_flight = self.sidecar.in_flight
        self.log.write(events.Event.UPSTREAM_DRAINING, in_flight=in_flight)
        return in_flight

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
        keys = self._start_authenticator() if peering.secret_key else None
        self._server = peer_server.PeerServer(
            self._context,
            f'{self._settings.node.host}:{peering.port}',
            peering.secret_key,
            self.log,
            self.metrics,
        )
        transport = sockets.ZmqTransport(
            self._context, self._settings.node.host, keys
        )
        self._factory = pool.LinkFactory(transport, self._hello)
        self._control = control.ControlLinks(
            self._factory.open_control,
            peering.control_bytes_per_s,
            self.membership.receive,
            self.metrics,
            clock.monotonic_ms(),
        )
        self.membership.attach(self._control)
        self._token_links = control.ControlLinks(
            self._factory.open_control,
            team_limit_task.BYTES_PER_S,
            self._team_limits.receive,
            self.metrics,
            clock.monotonic_ms(),
            team_limit_task.MAX_LINKS,
        )
        self._team_limits.attach(self._token_links)
        self._server.register_handler(
            token_messages.TYPES, self._team_limits.receive
        )
        self._server.register_handler(_DATA_TYPES, self._on_data)
        self._server.register_handler(
            messages.CONTROL_TYPES, self.membership.receive
        )

    def _start_authenticator(self) -> security.ClientKeys:
        # Local import: nodes without keys do not need this module.
        from jasminebeam.peering import security

        self._authenticator = security.Authenticator(
            self._context,
            frozenset(self._settings.peering.allowed_keys.split()),
            self._on_key_refused,
        )
        self._authenticator.start()
        peering = self._settings.peering
        return security.ClientKeys(
            peering.public_key, peering.secret_key, peering.server_key
        )

    def _start_ingress(self) -> None:
        self.pool = pool.PeerPool(
            self._settings.node.node_id,
            self._factory,
            self.sidecar,
            self.routes,
            clock.monotonic_ms,
            self.log,
            self.metrics,
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
            dispatcher.Clocks(clock.monotonic_ms, clock.wall_ms),
            self.log,
            self.metrics,
            admission_client.AdmissionClient(
                self.pool, cost_parameters, clock.monotonic_ms
            ),
            self._configuration_state,
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
            self._configuration_state,
        )

    def is_relay_candidate(self) -> bool:
        """Return True if this node should be a relay of its failure domain."""
        local_member = self.membership.local_member
        candidate_ids = relay.candidates(
            local_member,
            self.membership.members(),
            self._settings.platform.relays_per_domain,
        )
        return local_member.node_id in candidate_ids

    def _configuration_state(self) -> dict[str, object]:
        """Return whence and how recently this node knows its routes."""
        routes_age_ms = messages.UNKNOWN_AGE_MS
        if self._routes_source:
            age_ms = clock.monotonic_ms() - self._routes_applied_ms
            routes_age_ms = round(age_ms)
        return {
            'store_age_ms': self.membership.store_age_ms(),
            'routes_from': self._routes_source,
            'routes_age_ms': routes_age_ms,
        }

    def _store_age_s(self) -> float:
        age_ms = self.membership.store_age_ms()
        return age_ms / 1_000 if age_ms >= 0 else age_ms

    def _on_data(
        self,
        message: messages.Message,
        send: typing.Callable[[messages.Message], int],
        size_bytes: int,
    ) -> None:
        self.sidecar.handle(message, send)

    def _on_member(self, member: upstreams.Member) -> None:
        self.routes.update(member)
        self._team_limits.observe(member)

    def _on_revision(self, revision: services.ServiceRevision) -> None:
        self.routes.invalidate(revision.name)
        self.metrics.config_revision.set(self.services.highest_revision)
        self.log.write(
            events.Event.CONFIG_APPLIED,
            service=revision.name,
            revision=revision.revision,
            change_id=revision.change_id,
        )

    def _on_routes(
        self, route_set: routes_model.RouteSet, source: str
    ) -> None:
        self._routes_source = source
        self._routes_applied_ms = clock.monotonic_ms()
        for service in route_set.services:
            self.routes.invalidate(service.name)
        self.sidecar.set_cold_starts(route_set.cold_starts or ())
        self.metrics.config_revision.set(route_set.revision)
        self._team_limits.configure(route_set)
        if self.sidecar.announcement is None:
            # The new routes may contain the health path, which is needed to
            # find the upstream.
            self._spawn(self._find_upstream())
        self.log.write(
            events.Event.ROUTES_APPLIED,
            revision=route_set.revision,
            routes=len(route_set.routes),
            source=source,
        )

    def _on_unreachable_domains(self, domains: frozenset[str]) -> None:
        self.routes.unreachable_domains = domains

    def _on_key_refused(self, public_key: str) -> None:
        self.log.write(events.Event.PEER_UNAUTHORIZED, public_key=public_key)

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
            await asyncio.sleep(EXPIRE_TICK_S)

    async def _read_load(self) -> None:
        interval_s = self._settings.upstream.load_interval_ms / 1_000
        while True:
            attached = self.sidecar.announcement is not None
            await asyncio.sleep(interval_s if attached else FIND_INTERVAL_S)
            await self.check_upstream()

    async def _close_replaced_client(
        self, replaced: client.UpstreamClient
    ) -> None:
        await self.sidecar.wait_idle()
        await replaced.close()

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self._servers:
            await server.stop()
        await self._store.close()
        self.pool.close()
        self._control.close()
        self._team_limits.close()
        self._token_links.close()
        self._server.close()
        if self._settings.peering.secret_key:
            self._authenticator.stop()
        await self.sidecar.close()
        self._context.destroy(linger=0)

    def _supervise(self, start: supervision.Start) -> None:
        self._spawn(supervision.supervise(start, self.log))

    def _spawn(self, coroutine: typing.Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.log.write(
            events.Event.TASK_FAILED,
            task=task.get_coro().__qualname__,
            error=repr(task.exception()),
        )
