"""Puts the local upstream into service, and takes it out of service."""

from __future__ import annotations

import dataclasses
import typing

from jasminebeam.model import upstreams
from jasminebeam.telemetry import events
from jasminebeam.upstreams import lifecycle

if typing.TYPE_CHECKING:
    from jasminebeam.configuration import routes as route_sets
    from jasminebeam.ingress import dispatcher
    from jasminebeam.membership import task as membership_task
    from jasminebeam.routing import table
    from jasminebeam.sidecar import sidecar
    from jasminebeam.upstreams import client

CreateClient = typing.Callable[
    [
        upstreams.Announcement,
        typing.Callable[[upstreams.LoadReport], None],
        'client.OnNotice',
    ],
    'client.UpstreamClient',
]
Spawn = typing.Callable[[typing.Coroutine[None, None, None]], None]


class UpstreamControl:
    """Follows heartbeats, leave notices and health checks of the upstream.

    Parameters
    ----------
    upstream_sidecar : Sidecar
        Sidecar of the upstream.
    membership : MembershipTask
        Publishes the phase of the upstream.
    routes : RoutingTable
        Learns the phase at once.
    directory : RouteDirectory
        Names the health paths.
    configured : callable
        Returns the announcement of an upstream that the settings name, or
        None.
    create_client : callable
        Returns a client of an announced upstream.
    spawn : callable
        Runs a coroutine in the background.
    clocks : Clocks
        Sources of time.
    log : EventLog
        Receives changes of the upstream's state.
    """

    def __init__(
        self,
        upstream_sidecar: sidecar.Sidecar,
        membership: membership_task.MembershipTask,
        routes: table.RoutingTable,
        directory: route_sets.RouteDirectory,
        configured: typing.Callable[[], upstreams.Announcement | None],
        create_client: CreateClient,
        spawn: Spawn,
        clocks: dispatcher.Clocks,
        log: events.EventLog,
    ) -> None:
        self.lifecycle = lifecycle.UpstreamLifecycle()
        self._discovery = lifecycle.StartupDiscovery(clocks.monotonic_ms())
        self._sidecar = upstream_sidecar
        self._membership = membership
        self._routes = routes
        self._route_sets = directory
        self._configured = configured
        self._create_client = create_client
        self._spawn = spawn
        self._clocks = clocks
        self._log = log
        self._upstream_reachable = True
        upstream_sidecar.on_leaving = self._on_leaving
        upstream_sidecar.on_availability = self._publish_availability

    def attach(self, announcement: upstreams.Announcement) -> None:
        """Put the local upstream into service."""
        self._discovery.close()
        upstream_client = self._create_client(
            announcement, self._sidecar.on_report, self._sidecar.on_notice
        )
        replaced = self._sidecar.attach(announcement, upstream_client)
        if replaced is not None:
            self._spawn(self._close_replaced(replaced))
        self._membership.publish(
            phase=self._sidecar.available_phase,
            service=announcement.service,
            slots=announcement.slots,
            cold_start_ms=announcement.cold_start_ms,
            ready_ms=self._clocks.wall_ms(),
        )
        self._routes.update(self._membership.local_member)
        self._log.write(
            events.Event.UPSTREAM_ANNOUNCED,
            service=announcement.service,
            slots=announcement.slots,
            upstream=announcement.upstream_id,
            started_ms=announcement.started_ms,
        )
        self._sidecar.adopt_pending_notice()

    def on_heartbeat(self, heartbeat: lifecycle.Heartbeat) -> None:
        """Process a heartbeat of the local upstream."""
        upstream_lifecycle = self.lifecycle
        may_be_outdated = self._discovery.may_be_outdated(
            self._clocks.monotonic_ms()
        )
        self._apply_action(
            upstream_lifecycle.on_heartbeat(heartbeat, may_be_outdated)
        )
        if upstream_lifecycle.current is not None:
            self._sidecar.update_start(upstream_lifecycle.current.announcement)
        if upstream_lifecycle.current is heartbeat:
            # An older heartbeat that arrives late is not the current one.
            self._sidecar.on_announced_cold(
                heartbeat.announcement.cold_start_ms
            )

    def on_leave(self, upstream_id: str, started_ms: int) -> None:
        """Process a leave notice of the local upstream."""
        self._apply_action(self.lifecycle.on_leave(upstream_id, started_ms))

    def _on_leaving(self) -> None:
        """Drain the upstream because its answers say that it leaves."""
        announcement = self._sidecar.announcement
        if self.lifecycle.current is None:
            self.drain()
        else:
            self.on_leave(announcement.upstream_id, announcement.started_ms)

    async def check(self) -> None:
        """Check the health and the identity of the local upstream."""
        if self._sidecar.announcement is None:
            if self._discovery.is_open(self._clocks.monotonic_ms()):
                await self.find()
            return
        health = await self._sidecar.check_health()
        announcement = self._sidecar.announcement
        if announcement is not None and announcement.load_path:
            self._record_reachability(health is not None and health.listening)
        upstream_lifecycle = self.lifecycle
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

    async def find(self) -> None:
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
        if self._sidecar.announcement is not None or health is None:
            return
        if not health.listening:
            self._discovery.close()
        if not (health.healthy and health.upstream_id):
            return
        self._apply_action(self._admit_healthy(candidate, health, reports))
        if self._sidecar.announcement is None:
            return
        for report in reports:
            self._sidecar.on_report(report)
        for notice in notices:
            self._sidecar.on_notice(
                self._sidecar.announcement,
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
        action = self.lifecycle.on_identity(health.upstream_id)
        if (
            action is not lifecycle.Action.NOTHING
            or candidate.upstream_id
            or not reports
            or not self._discovery.is_open(self._clocks.monotonic_ms())
        ):
            return action
        found = dataclasses.replace(
            candidate,
            slots=reports[0].slots,
            upstream_id=health.upstream_id,
        )
        return self.lifecycle.on_found(found)

    def _candidate(self) -> upstreams.Announcement | None:
        """Return the upstream that a health check may put into service."""
        unconfirmed = self.lifecycle.unconfirmed
        if unconfirmed is not None:
            announcement = unconfirmed.announcement
            # The heartbeat may have arrived before the routes.
            return dataclasses.replace(
                announcement,
                load_path=self._route_sets.health_path(announcement.service),
            )
        if self._discovery.is_open(self._clocks.monotonic_ms()):
            return self._configured()
        return None

    def _record_reachability(self, reachable: bool) -> None:
        if reachable == self._upstream_reachable:
            return
        self._upstream_reachable = reachable
        event = (
            events.Event.UPSTREAM_FOUND
            if reachable
            else events.Event.UPSTREAM_LOST
        )
        self._log.write(event, service=self._sidecar.announcement.service)

    def _apply_action(self, action: lifecycle.Action) -> None:
        current = self.lifecycle.current
        if action is lifecycle.Action.ATTACH:
            self.attach(current.announcement)
        elif action is lifecycle.Action.DRAIN:
            if self._sidecar.announcement is None:
                self.attach(current.announcement)
            self.drain()
        elif action is lifecycle.Action.CHECK:
            self._spawn(self.find())
        elif action is lifecycle.Action.DETACH:
            self._sidecar.detach()
            self._membership.publish(phase=upstreams.Phase.ABSENT)
            self._routes.update(self._membership.local_member)
            self._log.write(events.Event.UPSTREAM_DETACHED)

    def _publish_availability(self) -> None:
        self._membership.publish(phase=self._sidecar.available_phase)
        self._routes.update(self._membership.local_member)

    def drain(self) -> int:
        """Stop new requests to the upstream; return the number in progress."""
        self._sidecar.drain()
        self._membership.publish(phase=upstreams.Phase.DRAINING)
        self._routes.update(self._membership.local_member)
        in_flight = self._sidecar.in_flight
        self._log.write(events.Event.UPSTREAM_DRAINING, in_flight=in_flight)
        return in_flight

    async def _close_replaced(self, replaced: client.UpstreamClient) -> None:
        await self._sidecar.wait_idle()
        await replaced.close()
