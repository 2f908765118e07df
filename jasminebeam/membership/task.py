"""Task that runs the gossip protocol over control connections."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import typing

import msgspec

from jasminebeam.configuration import delegates
from jasminebeam.membership import effects as effects_module
from jasminebeam.membership import fan_out
from jasminebeam.membership import gossip
from jasminebeam.membership import watch_reports
from jasminebeam.model import upstreams
from jasminebeam.peering import messages
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.configuration import directory
    from jasminebeam.model import evacuations
    from jasminebeam.model import routes
    from jasminebeam.model import services
    from jasminebeam.peering import control
    from jasminebeam.telemetry import metrics

REVISION_QUERY_TIMEOUT_S = 1.0
# Each query occupies one of the limited number of control connections.
MAX_CONCURRENT_QUERIES = 16

_STATUS_EVENTS = {
    upstreams.Status.SUSPECT: events.Event.MEMBER_SUSPECTED,
    upstreams.Status.DEAD: events.Event.MEMBER_DEAD,
    upstreams.Status.LEFT: events.Event.MEMBER_LEFT,
}


class MembershipTask:
    """Owns the gossip state and reports its changes through callbacks.

    Parameters
    ----------
    state : Gossip
        The state machine.
    service_directory : ServiceDirectory
        Revisions in force.
    on_member : callable
        Receives each changed member record.
    on_revision : callable
        Receives each revision that has come into force.
    on_routes : callable
        Receives each route set that has come into force, and its source.
    on_unreachable : callable
        Receives the set of unreachable failure domains when it changes.
    clock : callable
        Returns the monotonic time in ms.
    log : EventLog
        Receives changes of membership.
    counters : Metrics
        Receives the number of members by status.
    on_evacuations : callable
        Receives the evacuated failure domains when they change.
    """

    def __init__(
        self,
        state: gossip.Gossip,
        service_directory: directory.ServiceDirectory,
        on_member: typing.Callable[[upstreams.Member], None],
        on_revision: typing.Callable[[services.ServiceRevision], None],
        on_routes: typing.Callable[[routes.RouteSet, str], None],
        on_unreachable: typing.Callable[[frozenset[str]], None],
        clock: typing.Callable[[], float],
        log: events.EventLog,
        counters: metrics.Metrics,
        on_evacuations: typing.Callable[
            [evacuations.Evacuations], None
        ] = lambda current: None,
    ) -> None:
        self._state = state
        self._service_directory = service_directory
        self._on_member = on_member
        self._on_revision = on_revision
        self._on_routes = on_routes
        self._on_unreachable = on_unreachable
        self._clock = clock
        self._log = log
        self._counters = counters
        self._on_evacuations = on_evacuations
        self._links: control.ControlLinks | None = None
        self.watch_reports = watch_reports.WatchReports()
        self._nonces = itertools.count(1)
        self._delegate_lost = asyncio.Event()
        # Time at which the store last answered a node of the fleet.
        self._store_contact_ms: float | None = None
        self._pending_queries: dict[int, asyncio.Future[int]] = {}

    @property
    def local_member(self) -> upstreams.Member:
        """Record of the local node."""
        return self._state.local_member

    def members(self) -> list[upstreams.Member]:
        """Return the records of all known members."""
        return list(self._state.members)

    def member(self, node_id: str) -> upstreams.Member | None:
        """Return the record of a member; None if it is unknown."""
        return self._state.members.get(node_id)

    def attach(self, links: control.ControlLinks) -> None:
        """Set the control connections to send through."""
        self._links = links

    @property
    def has_no_peers(self) -> bool:
        """True while no other member is known."""
        return len(self._state.members) == 1

    @property
    def has_seeds(self) -> bool:
        """True if the node knows another address to join through."""
        own = self.local_member.address
        return any(seed != own for seed in self._state.seeds)

    @property
    def size(self) -> int:
        """Number of known members, including the local node."""
        return len(self._state.members)

    def knows(self, address: str) -> bool:
        """Return True if a member has this peer address."""
        return any(member.address == address for member in self._state.members)

    def record_store_contact(self) -> None:
        """Record that the store has answered this node."""
        self._store_contact_ms = self._clock()

    def store_age_ms(self) -> int:
        """Return the time since the store last answered the fleet.

        Heartbeats carry it from the nodes that call the store to the others.
        It is -1 if unknown.
        """
        if self._store_contact_ms is None:
            return messages.UNKNOWN_AGE_MS
        return max(0, round(self._clock() - self._store_contact_ms))

    def _on_store_age(self, age_ms: int) -> None:
        if age_ms < 0:
            return
        contact_ms = self._clock() - age_ms
        known_ms = self._store_contact_ms
        if known_ms is None or contact_ms > known_ms:
            self._store_contact_ms = contact_ms

    def _with_store_age(self, message: messages.Message) -> messages.Message:
        if isinstance(message, messages.Heartbeat | messages.HeartbeatAck):
            return msgspec.structs.replace(
                message, store_age_ms=self.store_age_ms()
            )
        return message

    def watch_rank(self) -> int:
        """Return the position of this node among those of its domain."""
        local = self.local_member
        return delegates.rank_of(
            local.node_id, local.failure_domain, self._state.members
        )

    def precedes(self, node_id: str) -> bool:
        """Return True if a node of the domain has a lower rank."""
        local = self.local_member
        return delegates.precedes(node_id, local.node_id, local.failure_domain)

    def follows(self, node_id: str) -> bool:
        """Return True if a node of the domain has a higher rank."""
        local = self.local_member
        return delegates.precedes(local.node_id, node_id, local.failure_domain)

    def watch_domain_size(self) -> int:
        """Return the number of nodes of the domain, suspected ones too."""
        return self._state.members.active_in(self.local_member.failure_domain)

    @property
    def domain_position(self) -> int:
        """Position of the own failure domain among those alive."""
        own = self.local_member.failure_domain
        unreachable = self._state.domain_detector.unreachable
        return sum(
            domain < own and len(ring) > 0 and domain not in unreachable
            for domain, ring in self._state.members.domain_rings.items()
        )

    def report_watch(self, answered: bool) -> None:
        """Report an answer of the store, or an attempt without one."""
        age_ms = 0 if answered else messages.UNKNOWN_AGE_MS
        node_id = self.local_member.node_id
        self._pass_on(messages.WatchReport(node_id, age_ms, 0), self._clock())

    def _on_watch_report(
        self,
        report: messages.WatchReport,
        send: typing.Callable[[messages.Message], int],
    ) -> None:
        now_ms = self._clock()
        self._links.send_within_budget(messages.WatchReportAck(), send, now_ms)
        if not self._is_neighbour(report.watcher_id):
            return
        self._on_store_age(report.age_ms)
        query = self._state.query_newer_routes(report.routes_revision, now_ms)
        if query is not None:
            self._links.send_within_budget(query, send, now_ms)
        self._pass_on(report, now_ms)

    def _is_neighbour(self, node_id: str) -> bool:
        """Return True for a node that is alive in the own failure domain."""
        member = self._state.members.get(node_id)
        return (
            member is not None
            and not member.status
            and member.failure_domain == self.local_member.failure_domain
        )

    def _pass_on(self, report: messages.WatchReport, now_ms: float) -> None:
        """Record a report and send it on if it is new."""
        if not self.watch_reports.record(report, now_ms):
            return
        members = self._state.members
        own = msgspec.structs.replace(
            report, routes_revision=self._state.routes_revision
        )
        for node_id in fan_out.receivers(
            members.domain_rings[self.local_member.failure_domain],
            report.watcher_id,
            self.local_member.node_id,
        ):
            address = members.get(node_id).address
            self._links.send(address, own, now_ms)

    @property
    def has_store_contact(self) -> bool:
        """Whether the store answers this node, as it has published."""
        return self.local_member.has_store_contact

    def publish_contact(self, has_contact: bool) -> None:
        """Publish whether the store answers this node."""
        self.publish(has_store_contact=has_contact)

    async def wait_for_delegates(self, timeout_s: float) -> None:
        """Wait until the delegates may have changed, or for a timeout.

        A member of the own failure domain that stops or fails changes them.
        """
        self._delegate_lost.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._delegate_lost.wait()

    def join(self, seeds: typing.Sequence[str]) -> None:
        """Add these peers to the seeds and request their tables."""
        self.add_seeds(seeds)
        self._apply(self._state.join_via(seeds))

    def add_seeds(self, addresses: typing.Iterable[str]) -> None:
        """Add peers to contact while no other member is known."""
        seeds = self._state.seeds
        seeds.extend(address for address in addresses if address not in seeds)

    def publish(self, **changes: object) -> None:
        """Change fields of the local node's record and spread it."""
        self._state.publish(self._clock(), **changes)
        self._apply(self._state.push())

    def adopt_revision(self, revision: services.ServiceRevision) -> None:
        """Put a revision in force if newer; push it to partners."""
        self._apply(self._state.adopt_revision(revision, self._clock()))

    def adopt_routes(self, new: routes.RouteSet) -> None:
        """Put a route set in force if newer; notify partners."""
        self._apply(self._state.adopt_routes(new))

    def adopt_evacuations(
        self, found: evacuations.Evacuations, listed: bool
    ) -> None:
        """Put the evacuated domains in the store in force if newer.

        Parameters
        ----------
        found : Evacuations
            Complete set in the store.
        listed : bool
            True if all keys were read, False after a change.
        """
        self._apply(
            self._state.evacuations.adopt(found, listed, self._clock())
        )

    def leave(self) -> None:
        """Notify partners that the local node leaves."""
        self._apply(self._state.leave(self._clock()))

    def receive(
        self,
        message: messages.Message,
        send: typing.Callable[[messages.Message], int],
        size_bytes: int = 0,
    ) -> None:
        """Process a received control message.

        A size of 0 bytes means that the message is already counted.
        """
        if size_bytes:
            self._links.count_received(message, size_bytes)
        if isinstance(message, messages.RevisionQuery):
            self._reply_to_query(message, send)
        elif isinstance(message, messages.RevisionReply):
            self._on_revision_reply(message)
        elif isinstance(message, messages.WatchReport):
            self._on_watch_report(message, send)
        elif not isinstance(message, messages.WatchReportAck):
            if isinstance(message, messages.Heartbeat | messages.HeartbeatAck):
                self._on_store_age(message.store_age_ms)
            effects = self._state.receive(message, self._clock())
            now_ms = self._clock()
            for reply in map(self._with_store_age, effects.replies):
                self._links.send_within_budget(reply, send, now_ms)
            self._apply(effects)

    async def run(self, interval_ms: float, generator: random.Random) -> None:
        """Join through the seeds, then start a round in each interval."""
        self._apply(self._state.join())
        while True:
            self._apply(self._state.tick(self._clock()))
            for status, count in self._state.members.count_by_status().items():
                label = status.name.lower()
                self._counters.members.labels(label).set(count)
            jitter = 0.95 + 0.1 * generator.random()
            await asyncio.sleep(interval_ms * jitter / 1_000)

    async def query_revisions(self, service: str) -> dict[str, int | None]:
        """Query all alive and suspected members for a service's revision.

        Returns
        -------
        dict
            Node id to revision; None for a member that did not respond.
        """
        revisions: dict[str, int | None] = {}
        members = [
            member
            for member in self._state.members
            if member.status
            in (upstreams.Status.ALIVE, upstreams.Status.SUSPECT)
        ]
        for start in range(0, len(members), MAX_CONCURRENT_QUERIES):
            batch = members[start : start + MAX_CONCURRENT_QUERIES]
            found = await asyncio.gather(
                *(self._query_revision(member, service) for member in batch)
            )
            for member, revision in zip(batch, found, strict=True):
                revisions[member.node_id] = revision
        return revisions

    async def _query_revision(
        self, member: upstreams.Member, service: str
    ) -> int | None:
        if member.node_id == self.local_member.node_id:
            return self._service_directory.revision_of(service)
        nonce = next(self._nonces)
        future = asyncio.get_running_loop().create_future()
        self._pending_queries[nonce] = future
        query = messages.RevisionQuery(nonce, service)
        self._links.send(member.address, query, self._clock())
        try:
            async with asyncio.timeout(REVISION_QUERY_TIMEOUT_S):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._pending_queries[nonce]

    def _reply_to_query(
        self,
        message: messages.RevisionQuery,
        send: typing.Callable[[messages.Message], int],
    ) -> None:
        revision = self._service_directory.revision_of(message.service)
        reply = messages.RevisionReply(
            message.nonce, self.local_member.node_id, revision
        )
        self._links.send_within_budget(reply, send, self._clock())

    def _on_revision_reply(self, message: messages.RevisionReply) -> None:
        future = self._pending_queries.get(message.nonce)
        if future is not None and not future.done():
            future.set_result(message.revision)

    def _apply(self, effects: effects_module.Effects) -> None:
        now_ms = self._clock()
        for outgoing in effects.outgoing:
            message = self._with_store_age(outgoing.message)
            self._links.send(outgoing.address, message, now_ms)
        for member in effects.members:
            self._log_member(member)
            self._on_member(member)
            if (
                member.status
                and member.failure_domain == self.local_member.failure_domain
            ):
                self._delegate_lost.set()
        self._apply_configuration(effects)
        if effects.refuted:
            version = self.local_member.version
            self._log.write(events.Event.SELF_REFUTED, version=version)
        for domain in effects.unreachable:
            self._log.write(events.Event.DOMAIN_UNREACHABLE, domain=domain)
        for domain in effects.recovered:
            self._log.write(events.Event.DOMAIN_RECOVERED, domain=domain)
        if effects.unreachable or effects.recovered:
            self._on_unreachable(self._state.domain_detector.unreachable)

    def _apply_configuration(self, effects: effects_module.Effects) -> None:
        # Evacuations first: a node is ready once it has routes.
        if effects.evacuations is not None:
            self._on_evacuations(effects.evacuations)
        for revision in effects.revisions:
            self._on_revision(revision)
        if effects.route_set is not None:
            self._on_routes(effects.route_set, effects.routes_source)

    def _log_member(self, member: upstreams.Member) -> None:
        event = _STATUS_EVENTS.get(member.status)
        if event is None and member.version == 1:
            event = events.Event.MEMBER_JOINED
        if event is not None:
            self._log.write(
                event,
                member=member.node_id,
                domain=member.failure_domain,
                incarnation=member.incarnation,
            )
