"""Gossip state machine that spreads membership and configuration."""

from __future__ import annotations

import random
import typing

import msgspec

from jasminebeam.configuration import evacuations
from jasminebeam.membership import anti_entropy
from jasminebeam.membership import detector
from jasminebeam.membership import domains
from jasminebeam.membership import effects as effects_module
from jasminebeam.membership import evacuation_spread
from jasminebeam.membership import indirect_probes
from jasminebeam.membership import options as options_module
from jasminebeam.membership import partners
from jasminebeam.membership import revision_spread
from jasminebeam.membership import route_spread
from jasminebeam.membership import rumors
from jasminebeam.membership import table
from jasminebeam.model import routes
from jasminebeam.model import services
from jasminebeam.model import upstreams
from jasminebeam.peering import messages

if typing.TYPE_CHECKING:
    from jasminebeam.configuration import directory
    from jasminebeam.configuration import routes as routes_module

# Assumed size of one member record in the byte budget of a heartbeat.
MEMBER_BYTES = 120


class Gossip:
    """Gossip state of one node; it performs no input or output.

    Parameters
    ----------
    local_member : Member
        Initial record of the local node.
    services_in_force : ServiceDirectory
        Revisions in force; received revisions are applied to it.
    routes_in_force : RouteDirectory
        Route set in force; received sets are applied to it.
    seeds : sequence of str
        Peer addresses to contact while no other member is known.
    generator : random.Random
        Chooses gossip partners.
    options : Options
        Timing and limits.
    evacuations_in_force : EvacuationDirectory or None
        Evacuated failure domains; received sets are applied to it. None for
        one of its own.
    """

    def __init__(
        self,
        local_member: upstreams.Member,
        services_in_force: directory.ServiceDirectory,
        routes_in_force: routes_module.RouteDirectory,
        seeds: typing.Sequence[str],
        generator: random.Random,
        options: options_module.Options,
        evacuations_in_force: evacuations.EvacuationDirectory | None = None,
    ) -> None:
        self.local_member = local_member
        self.members = table.MemberTable()
        self.members.merge(local_member, 0.0)
        self.domain_detector = domains.UnreachableDomainDetector()
        self.seeds = list(seeds)
        self.member_rumors: rumors.RumorQueue[upstreams.Member] = (
            rumors.RumorQueue(options.max_rumors)
        )
        self._directory = services_in_force
        self._routes = route_spread.RouteSpread(routes_in_force)
        self._options = options
        self._detector = detector.FailureDetector(
            local_member, options.interval_ms
        )
        self._partners = partners.PartnerChooser(
            local_member, self.members, generator, options.partner_rounds
        )
        self.evacuations = evacuation_spread.EvacuationSpread(
            evacuations_in_force or evacuations.EvacuationDirectory(),
            self.members,
            self._partners,
        )
        self.revisions = revision_spread.RevisionSpread(
            services_in_force,
            self.members,
            self._partners,
            options.max_rumors,
        )
        self._round = 0
        self._nonce = 0
        # Last round with equal digests, by the region of the peer.
        self._last_equal_rounds: dict[str, int] = {}
        self._probes = indirect_probes.IndirectProbes(
            self.members, self._partners
        )

    def publish(self, now_ms: float, **changes: object) -> None:
        """Change fields of the local node's record and spread it."""
        self._replace_local_member(
            msgspec.structs.replace(
                self.local_member,
                version=self.local_member.version + 1,
                **changes,
            ),
            now_ms,
        )

    def push(self) -> effects_module.Effects:
        """Return heartbeats that spread recent changes between two rounds."""
        effects = effects_module.Effects()
        self._push(self._partners.for_push(), effects)
        return effects

    def leave(self, now_ms: float) -> effects_module.Effects:
        """Mark the local node as left; return messages that announce it."""
        self.publish(now_ms, status=upstreams.Status.LEFT)
        return self.push()

    def join(self) -> effects_module.Effects:
        """Return the messages that request the tables of all seeds."""
        return self.join_via(self.seeds)

    def join_via(
        self, addresses: typing.Iterable[str]
    ) -> effects_module.Effects:
        """Return the messages that request the tables of the given peers."""
        effects = effects_module.Effects()
        local_address = self.local_member.address
        for address in addresses:
            if address != local_address:
                request = self._sync_request(with_config=True)
                effects.outgoing.append(
                    effects_module.Outgoing(address, request)
                )
        return effects

    def adopt_revision(
        self, revision: services.ServiceRevision, now_ms: float
    ) -> effects_module.Effects:
        """Put a revision in force if newer; push it immediately."""
        effects = effects_module.Effects()
        self.revisions.apply((revision,), effects)
        if effects.revisions:
            self._push(self._partners.for_push(), effects)
        return effects

    @property
    def routes_revision(self) -> int:
        """Revision of the route set in force; 0 if there is none."""
        return self._routes.revision

    def query_newer_routes(
        self, peer_revision: int, now_ms: float, node_id: str = ''
    ) -> messages.RoutesQuery | None:
        """Return what `RouteSpread.query_newer` returns."""
        return self._routes.query_newer(peer_revision, node_id, now_ms)

    def adopt_routes(self, new: routes.RouteSet) -> effects_module.Effects:
        """Put a route set in force if newer; notify partners immediately."""
        effects = effects_module.Effects()
        self._routes.apply(new, route_spread.STORE_SOURCE, effects)
        self._push_new_routes(effects)
        return effects

    def tick(self, now_ms: float) -> effects_module.Effects:
        """Start a round: check timeouts and send heartbeats.

        While no other member is known, the node contacts the seeds instead.
        """
        effects = effects_module.Effects()
        self._round += 1
        if len(self.members) == 1:
            return self.join()
        actions = self._detector.start_round(self.members, now_ms)
        for node_id in actions.suspect:
            self._mark_suspected(node_id, now_ms, effects)
        self._expire_members(now_ms, effects)
        effects.unreachable, effects.recovered = self.domain_detector.update(
            self.members
        )
        for node_id in actions.indirect_probe:
            self._probes.request(node_id, self.local_member.address, effects)
        targets = [
            *self._partners.distant(),
            *actions.heartbeat,
            *self._partners.for_round(self._round),
        ]
        for node_id in dict.fromkeys(targets):
            self._queue_heartbeat(node_id, effects)
        return effects

    def receive(
        self, message: messages.Message, now_ms: float
    ) -> effects_module.Effects:
        """Process one received message."""
        effects = effects_module.Effects()
        match message:
            case messages.Heartbeat():
                self._on_heartbeat(message, now_ms, effects)
            case messages.HeartbeatAck():
                self._on_ack(message, now_ms, effects)
            case messages.IndirectProbe():
                if self._probes.accept(message):
                    self._queue_heartbeat(message.node_id, effects)
            case messages.IndirectResult():
                self._detector.on_response(message.node_id)
            case messages.SyncRequest():
                self._on_sync_request(message, now_ms, effects)
            case messages.SyncDetail():
                effects.replies += anti_entropy.reply_to_detail(
                    self.members, message
                )
            case messages.SyncPull():
                effects.replies += anti_entropy.reply_to_pull(
                    self.members, message
                )
            case messages.Sync():
                self._on_sync(message, now_ms, effects)
            case _:
                self._on_configuration(message, now_ms, effects)
        return effects

    def _on_sync(
        self,
        message: messages.Sync,
        now_ms: float,
        effects: effects_module.Effects,
    ) -> None:
        # The node does not spread the records of a table further: each node
        # obtains them when it compares digests.
        records = message.members
        spread = self._partners.spreads_repair(len(records))
        self._merge_members(records, now_ms, effects, spread)
        if self.revisions.apply_compared(message.revisions, effects):
            self._push(self._partners.for_push(), effects)

    def _on_heartbeat(
        self,
        message: messages.Heartbeat,
        now_ms: float,
        effects: effects_module.Effects,
    ) -> None:
        self._merge_updates(message, now_ms, effects)
        effects.replies += self.evacuations.digest()
        effects.replies.append(
            messages.HeartbeatAck(
                *self._heartbeat_fields(message.nonce, message.node_id)
            )
        )

    def _on_ack(
        self,
        message: messages.HeartbeatAck,
        now_ms: float,
        effects: effects_module.Effects,
    ) -> None:
        self._merge_updates(message, now_ms, effects)
        self._detector.on_response(message.node_id)
        self._partners.on_response(message.node_id)
        self._probes.on_response(message.node_id, effects)

    def _merge_updates(
        self,
        message: messages.Heartbeat | messages.HeartbeatAck,
        now_ms: float,
        effects: effects_module.Effects,
    ) -> None:
        self._merge_members(message.members, now_ms, effects)
        if not self.revisions.apply_rumors(message, effects):
            effects.replies.append(self._sync_request(with_config=True))
        if effects.revisions:
            self._push(self._partners.for_push(), effects)
        query = self._query_announced(message, now_ms)
        if query is not None:
            effects.replies.append(query)
        self._request_sync_if_due(message, effects)

    def _query_announced(
        self,
        message: messages.Heartbeat | messages.HeartbeatAck,
        now_ms: float,
    ) -> messages.RoutesQuery | None:
        """Return a query for the routes of a peer, if they are newer.

        Over a connection to another region that carries no changes, nodes
        ask only if no other member has sent the routes by the next round.
        """
        revision = message.routes_revision
        if not self._partners.carries(
            message.node_id
        ) and not self._routes.is_overdue(revision, self._round):
            return None
        return self.query_newer_routes(revision, now_ms, message.node_id)

    def _request_sync_if_due(
        self,
        message: messages.Heartbeat | messages.HeartbeatAck,
        effects: effects_module.Effects,
    ) -> None:
        sender = self.members.get(message.node_id)
        region = (sender or self.local_member).region
        same_members = message.member_digest == self.members.digest
        same_config = message.config_digest == self._directory.digest
        if same_members and same_config:
            self._last_equal_rounds[region] = self._round
            return
        rounds = self._round - self._last_equal_rounds.get(region, 0)
        if sender is None or rounds < self._rounds_before_sync(sender):
            return
        self._last_equal_rounds[region] = self._round
        request = self._sync_request(with_config=not same_config)
        effects.outgoing.append(
            effects_module.Outgoing(sender.address, request)
        )

    def _rounds_before_sync(self, sender: upstreams.Member) -> int:
        # In a small fleet, a comparison of the complete tables costs little,
        # except between regions.
        is_small = len(self.members) < options_module.SMALL_FLEET_MEMBERS
        if is_small and self._partners.carries(sender.node_id):
            return 1
        return self._options.sync_rounds

    def _on_sync_request(
        self,
        message: messages.SyncRequest,
        now_ms: float,
        effects: effects_module.Effects,
    ) -> None:
        self._merge_members((message.sender,), now_ms, effects)
        # Ahead of the configuration: with it the peer may send requests.
        effects.replies += self.evacuations.update()
        self._routes.reply_if_newer(message.routes_revision, effects)
        effects.replies += anti_entropy.reply_to_request(
            self.members, self._directory, message
        )

    def _merge_members(
        self,
        records: typing.Iterable[upstreams.Member],
        now_ms: float,
        effects: effects_module.Effects,
        spread: bool = True,
    ) -> None:
        for member in records:
            if member.node_id == self.local_member.node_id:
                self._refute(member, now_ms, effects)
            elif self.members.merge(member, now_ms):
                effects.members.append(member)
                if spread:
                    self._enqueue_rumor(member)

    def _refute(
        self,
        member: upstreams.Member,
        now_ms: float,
        effects: effects_module.Effects,
    ) -> None:
        if not table.supersedes(member, self.local_member):
            return
        if self.local_member.status is upstreams.Status.LEFT:
            return
        self._replace_local_member(
            msgspec.structs.replace(
                self.local_member,
                incarnation=max(
                    member.incarnation, self.local_member.incarnation
                ),
                version=member.version + 1,
            ),
            now_ms,
        )
        effects.refuted = True

    def _replace_local_member(
        self, member: upstreams.Member, now_ms: float
    ) -> None:
        self.local_member = member
        self.members.merge(member, now_ms)
        self._enqueue_rumor(member)

    def _enqueue_rumor(self, member: upstreams.Member) -> None:
        in_unreachable_domain = (
            member.failure_domain in self.domain_detector.unreachable
        )
        if in_unreachable_domain and member.status is upstreams.Status.SUSPECT:
            return
        self.member_rumors.add(member.node_id, member, MEMBER_BYTES)

    def _mark_suspected(
        self, node_id: str, now_ms: float, effects: effects_module.Effects
    ) -> None:
        member = self.members.get(node_id)
        suspect = msgspec.structs.replace(
            member, status=upstreams.Status.SUSPECT
        )
        self._merge_members((suspect,), now_ms, effects)

    def _expire_members(
        self, now_ms: float, effects: effects_module.Effects
    ) -> None:
        for node_id, since_ms in list(self.members.suspects().items()):
            member = self.members.get(node_id)
            timeout_ms = self._options.suspicion_ms
            if member.failure_domain in self.domain_detector.unreachable:
                timeout_ms = self._options.held_suspicion_ms
            if now_ms - since_ms >= timeout_ms:
                dead = msgspec.structs.replace(
                    member, status=upstreams.Status.DEAD
                )
                self._merge_members((dead,), now_ms, effects)
        for node_id, since_ms in list(self.members.inactive().items()):
            if now_ms - since_ms >= self._options.forget_ms:
                self.members.purge(node_id)

    def _push(
        self, targets: list[str], effects: effects_module.Effects
    ) -> None:
        for node_id in targets:
            self._queue_heartbeat(node_id, effects)

    def _on_configuration(
        self,
        message: messages.Message,
        now_ms: float,
        effects: effects_module.Effects,
    ) -> None:
        if isinstance(message, messages.RoutesQuery):
            # Ahead of the routes: with them the peer may send requests.
            effects.replies += self.evacuations.update()
            self._routes.reply_if_newer(message.revision, effects)
        elif isinstance(message, messages.RoutesReply):
            self._routes.on_reply(message.route_set, effects)
            self._push_new_routes(effects)
        else:
            self.evacuations.receive(message, now_ms, effects)

    def _push_new_routes(self, effects: effects_module.Effects) -> None:
        if effects.route_set is not None:
            self._push(self._partners.for_push(), effects)

    def _queue_heartbeat(
        self, node_id: str, effects: effects_module.Effects
    ) -> None:
        self._nonce += 1
        fields = self._heartbeat_fields(self._nonce, node_id)
        address = self.members.get(node_id).address
        effects.outgoing += [
            effects_module.Outgoing(address, message)
            for message in (
                *self.evacuations.digest(),
                messages.Heartbeat(*fields),
            )
        ]

    def _heartbeat_fields(
        self, nonce: int, receiver: str
    ) -> tuple[typing.Any, ...]:
        max_sends = rumors.transmit_limit(len(self.members))
        budget_bytes = self._options.piggyback_bytes
        revisions: list[services.ServiceRevision] = []
        members: list[upstreams.Member] = []
        if self._partners.carries(receiver):
            revisions = self.revisions.rumors.take(budget_bytes, max_sends)
            budget_bytes -= revision_spread.REVISION_BYTES * len(revisions)
            members = self.member_rumors.take(max(0, budget_bytes), max_sends)
        record = self.members.get(receiver)
        if record is not None and record.status is not upstreams.Status.ALIVE:
            # The heartbeat includes the record of the receiver, so that the
            # receiver can refute a status other than alive.
            members.append(record)
        return (
            nonce,
            self.local_member.node_id,
            self.members.digest,
            self._directory.digest,
            tuple(members),
            tuple(revisions),
            self._routes.revision,
        )

    def _sync_request(self, with_config: bool) -> messages.SyncRequest:
        config_buckets = self._directory.buckets if with_config else ()
        return messages.SyncRequest(
            self.local_member,
            self.members.group_digests,
            config_buckets,
            self._routes.revision,
        )
