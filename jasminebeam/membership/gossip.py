"""Gossip state machine that spreads membership and configuration."""

from __future__ import annotations

import dataclasses
import random
import typing

import msgspec

from jasminebeam.membership import detector
from jasminebeam.membership import domains
from jasminebeam.membership import rumors
from jasminebeam.membership import table
from jasminebeam.model import routes
from jasminebeam.model import services
from jasminebeam.model import upstreams
from jasminebeam.peering import messages

if typing.TYPE_CHECKING:
    from jasminebeam.configuration import directory
    from jasminebeam.configuration import routes as routes_module

# Assumed sizes of one member record and of one service revision in the byte
# budget of a heartbeat.
MEMBER_BYTES = 120
REVISION_BYTES = 700
# Maximum number of records in one `Sync` message.
SYNC_CHUNK_RECORDS = 200
SMALL_FLEET_MEMBERS = 500

# Revisions not yet in force whose first announcers are remembered.
MAX_ANNOUNCED_REVISIONS = 64

# Sources of a route set that are no node.
STORE_SOURCE = 'store'
PEER_SOURCE = 'peer'


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Timing and limits of the gossip protocol.

    Parameters
    ----------
    interval_ms : float
        Time between two rounds.
    suspicion_ms : float
        Time that a suspected member has to refute the suspicion before it
        is declared dead.
    held_suspicion_ms : float
        Value of `suspicion_ms` for a member whose failure domain is
        unreachable as a whole.
    forget_ms : float
        Time after which the record of a dead or departed member is removed.
    piggyback_bytes : int
        Maximum size of the changes in one heartbeat.
    partner_rounds : int
        Rounds after which a node picks new random gossip partners.
    sync_rounds : int
        Rounds with differing digests before the tables are synchronized.
        In a fleet of fewer than `SMALL_FLEET_MEMBERS` members, one such
        round is enough.
    max_rumors : int
        Maximum number of member changes, and of service changes, that wait
        to be spread.
    """

    interval_ms: float = 1_000.0
    suspicion_ms: float = 5_000.0
    held_suspicion_ms: float = 7_200_000.0
    forget_ms: float = 7_200_000.0
    piggyback_bytes: int = 1_000
    partner_rounds: int = 30
    sync_rounds: int = 5
    max_rumors: int = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and the peer address of its receiver."""

    address: str
    message: messages.Message


@dataclasses.dataclass(slots=True)
class Effects:
    """Outputs of one step of the state machine.

    Parameters
    ----------
    outgoing : list of Outgoing
        Messages to send.
    replies : list of Message
        Messages to send to the sender of the received message.
    members : list of Member
        Changed records.
    revisions : list of ServiceRevision
        Revisions that have come into force.
    route_set : RouteSet or None
        Route set that has come into force.
    routes_source : str
        Whence that set came: `STORE_SOURCE`, the first peer that announced
        its revision, or `PEER_SOURCE` if no heartbeat had announced it.
    refuted : bool
        True if this node has refuted a record about itself.
    unreachable, recovered : frozenset of str
        Failure domains that have become unreachable, and those that are
        reachable again.
    """

    outgoing: list[Outgoing] = dataclasses.field(default_factory=list)
    replies: list[messages.Message] = dataclasses.field(default_factory=list)
    members: list[upstreams.Member] = dataclasses.field(default_factory=list)
    revisions: list[services.ServiceRevision] = dataclasses.field(
        default_factory=list
    )
    route_set: routes.RouteSet | None = None
    routes_source: str = ''
    refuted: bool = False
    unreachable: frozenset[str] = frozenset()
    recovered: frozenset[str] = frozenset()


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
    """

    def __init__(
        self,
        local_member: upstreams.Member,
        services_in_force: directory.ServiceDirectory,
        routes_in_force: routes_module.RouteDirectory,
        seeds: typing.Sequence[str],
        generator: random.Random,
        options: Options,
    ) -> None:
        self.local_member = local_member
        self.members = table.MemberTable()
        self.members.merge(local_member, 0.0)
        self.domain_detector = domains.UnreachableDomainDetector()
        self.seeds = list(seeds)
        self.member_rumors: rumors.RumorQueue[upstreams.Member] = (
            rumors.RumorQueue(options.max_rumors)
        )
        self.revision_rumors: rumors.RumorQueue[services.ServiceRevision] = (
            rumors.RumorQueue(options.max_rumors)
        )
        self._directory = services_in_force
        self._routes = routes_in_force
        # First node that announced each revision newer than that in force.
        self._routes_announcers: dict[int, str] = {}
        self._generator = generator
        self._options = options
        self._detector = detector.FailureDetector(
            local_member, options.interval_ms
        )
        self._partners: list[str] = []
        self._round = 0
        self._nonce = 0
        self._last_equal_round = 0
        self._indirect_requesters: dict[str, set[str]] = {}

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

    def push(self) -> Effects:
        """Return heartbeats that spread recent changes between two rounds."""
        effects = Effects()
        self._push(self._push_targets(), effects)
        return effects

    def leave(self, now_ms: float) -> Effects:
        """Mark the local node as left; return messages that announce it."""
        self.publish(now_ms, status=upstreams.Status.LEFT)
        return self.push()

    def join(self) -> Effects:
        """Return the messages that request the tables of all seeds."""
        return self.join_via(self.seeds)

    def join_via(self, addresses: typing.Iterable[str]) -> Effects:
        """Return the messages that request the tables of the given peers."""
        effects = Effects()
        local_address = self.local_member.address
        for address in addresses:
            if address != local_address:
                request = self._sync_request(with_config=True)
                effects.outgoing.append(Outgoing(address, request))
        return effects

    def adopt_revision(
        self, revision: services.ServiceRevision, now_ms: float
    ) -> Effects:
        """Put a revision in force if newer; push it immediately."""
        effects = Effects()
        self._apply_revision(revision, effects)
        if effects.revisions:
            self._push(self._push_targets(), effects)
        return effects

    @property
    def routes_revision(self) -> int:
        """Revision of the route set in force; 0 if there is none."""
        return self._routes.revision

    def query_newer_routes(
        self, peer_revision: int, node_id: str = ''
    ) -> messages.RoutesQuery | None:
        """Return a query for the routes that a node has announced, if newer.

        Parameters
        ----------
        peer_revision : int
            Revision of the peer's route set.
        node_id : str
            Node that has announced it; empty if unknown.
        """
        if peer_revision <= self._routes.revision:
            return None
        if node_id and len(self._routes_announcers) < MAX_ANNOUNCED_REVISIONS:
            self._routes_announcers.setdefault(peer_revision, node_id)
        return messages.RoutesQuery(self._routes.revision)

    def adopt_routes(self, new: routes.RouteSet) -> Effects:
        """Put a route set in force if newer; notify partners immediately."""
        effects = Effects()
        self._apply_routes(new, STORE_SOURCE, effects)
        return effects

    def tick(self, now_ms: float) -> Effects:
        """Start a round: check timeouts and send heartbeats.

        While no other member is known, the node contacts the seeds instead.
        """
        effects = Effects()
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
            self._probe_indirectly(node_id, effects)
        targets = [*actions.heartbeat, *self._round_partners()]
        for node_id in dict.fromkeys(targets):
            self._queue_heartbeat(node_id, effects)
        return effects

    def receive(self, message: messages.Message, now_ms: float) -> Effects:
        """Process one received message."""
        effects = Effects()
        match message:
            case messages.Heartbeat():
                self._on_heartbeat(message, now_ms, effects)
            case messages.HeartbeatAck():
                self._on_ack(message, now_ms, effects)
            case messages.IndirectProbe():
                self._on_indirect_probe(message, effects)
            case messages.IndirectResult():
                self._detector.on_response(message.node_id)
            case messages.SyncRequest():
                self._on_sync_request(message, now_ms, effects)
            case messages.SyncDetail():
                self._on_sync_detail(message, effects)
            case messages.SyncPull():
                self._on_sync_pull(message, effects)
            case messages.Sync():
                # The node does not spread these member records further:
                # each node obtains them when it compares digests.
                self._merge_members(
                    message.members, now_ms, effects, spread=False
                )
                self._apply_revisions(message.revisions, effects)
            case _:
                self._on_routes_message(message, effects)
        return effects

    def _on_heartbeat(
        self,
        message: messages.Heartbeat,
        now_ms: float,
        effects: Effects,
    ) -> None:
        self._merge_updates(message, now_ms, effects)
        effects.replies.append(
            messages.HeartbeatAck(
                *self._heartbeat_fields(message.nonce, message.node_id)
            )
        )

    def _on_ack(
        self,
        message: messages.HeartbeatAck,
        now_ms: float,
        effects: Effects,
    ) -> None:
        self._merge_updates(message, now_ms, effects)
        self._detector.on_response(message.node_id)
        for address in self._indirect_requesters.pop(message.node_id, ()):
            result = messages.IndirectResult(message.node_id)
            effects.outgoing.append(Outgoing(address, result))

    def _merge_updates(
        self,
        message: messages.Heartbeat | messages.HeartbeatAck,
        now_ms: float,
        effects: Effects,
    ) -> None:
        self._merge_members(message.members, now_ms, effects)
        self._apply_revisions(message.revisions, effects)
        if effects.revisions:
            self._push(self._push_targets(), effects)
        query = self.query_newer_routes(
            message.routes_revision, message.node_id
        )
        if query is not None:
            effects.replies.append(query)
        self._request_sync_if_due(message, effects)

    def _request_sync_if_due(
        self,
        message: messages.Heartbeat | messages.HeartbeatAck,
        effects: Effects,
    ) -> None:
        sender = self.members.get(message.node_id)
        same_members = message.member_digest == self.members.digest
        same_config = message.config_digest == self._directory.digest
        if same_members and same_config:
            self._last_equal_round = self._round
            return
        rounds = self._round - self._last_equal_round
        if sender is None or rounds < self._rounds_before_sync():
            return
        self._last_equal_round = self._round
        request = self._sync_request(with_config=not same_config)
        effects.outgoing.append(Outgoing(sender.address, request))

    def _rounds_before_sync(self) -> int:
        # In a small fleet, a comparison of the complete tables costs little.
        if len(self.members) < SMALL_FLEET_MEMBERS:
            return 1
        return self._options.sync_rounds

    def _on_indirect_probe(
        self, message: messages.IndirectProbe, effects: Effects
    ) -> None:
        if self.members.get(message.node_id) is None:
            return
        requesters = self._indirect_requesters.setdefault(
            message.node_id, set()
        )
        requesters.add(message.reply_address)
        self._queue_heartbeat(message.node_id, effects)

    def _on_sync_request(
        self,
        message: messages.SyncRequest,
        now_ms: float,
        effects: Effects,
    ) -> None:
        self._merge_members((message.sender,), now_ms, effects)
        self._reply_with_newer_routes(message.routes_revision, effects)
        groups = self.members.differing_groups(message.member_groups)
        if groups:
            buckets = tuple(map(self.members.bucket_digests, groups))
            detail = messages.SyncDetail(tuple(groups), buckets)
            effects.replies.append(detail)
        revisions = self._directory.differing(message.config_buckets)
        for start in range(0, len(revisions), SYNC_CHUNK_RECORDS):
            chunk = tuple(revisions[start : start + SYNC_CHUNK_RECORDS])
            effects.replies.append(messages.Sync(revisions=chunk))

    def _on_sync_detail(
        self, message: messages.SyncDetail, effects: Effects
    ) -> None:
        differing = [
            bucket
            for group, digests in zip(
                message.groups, message.buckets, strict=False
            )
            for bucket in self.members.differing_buckets(group, digests)
        ]
        if differing:
            effects.replies.append(messages.SyncPull(tuple(differing)))

    def _on_sync_pull(
        self, message: messages.SyncPull, effects: Effects
    ) -> None:
        members = self.members.members_in_buckets(message.buckets)
        for start in range(0, len(members), SYNC_CHUNK_RECORDS):
            chunk = tuple(members[start : start + SYNC_CHUNK_RECORDS])
            effects.replies.append(messages.Sync(members=chunk))

    def _merge_members(
        self,
        records: typing.Iterable[upstreams.Member],
        now_ms: float,
        effects: Effects,
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
        self, member: upstreams.Member, now_ms: float, effects: Effects
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
        self, node_id: str, now_ms: float, effects: Effects
    ) -> None:
        member = self.members.get(node_id)
        suspect = msgspec.structs.replace(
            member, status=upstreams.Status.SUSPECT
        )
        self._merge_members((suspect,), now_ms, effects)

    def _expire_members(self, now_ms: float, effects: Effects) -> None:
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

    def _probe_indirectly(self, node_id: str, effects: Effects) -> None:
        for proxy in self._random_partners(2):
            if proxy == node_id:
                continue
            effects.outgoing.append(
                Outgoing(
                    self.members.get(proxy).address,
                    messages.IndirectProbe(node_id, self.local_member.address),
                )
            )

    def _round_partners(self) -> list[str]:
        if self._round % self._options.partner_rounds == 1:
            self._partners = []
        partners = [
            node_id
            for node_id in self._partners
            if self.members.get(node_id) is not None
        ]
        if len(partners) < _MIN_PARTNERS:
            partners = self._new_partners()
        self._partners = partners
        return [*partners, *self._unreachable_partner()]

    def _new_partners(self) -> list[str]:
        region = self.members.region_rings[self.local_member.region]
        regional = self._sample_others(region, 1)
        return list(dict.fromkeys([*regional, *self._random_partners(1)]))

    def _unreachable_partner(self) -> list[str]:
        """Return a suspected or dead member once in `_REJOIN_ROUNDS` rounds.

        By these contacts the two sides of a network partition find each
        other again after it heals. The list is empty in the other rounds.
        """
        if self._round % _REJOIN_ROUNDS:
            return []
        unreachable = [
            node_id
            for node_id in (*self.members.suspects(), *self.members.inactive())
            if self.members.get(node_id).status is not upstreams.Status.LEFT
        ]
        return [self._generator.choice(unreachable)] if unreachable else []

    def _random_partners(self, count: int) -> list[str]:
        return self._sample_others(self.members.ring, count)

    def _push_targets(self) -> list[str]:
        region = self.members.region_rings[self.local_member.region]
        regional = self._sample_others(region, _PUSH_REGIONAL)
        return list(
            dict.fromkeys([*regional, *self._random_partners(_PUSH_GLOBAL)])
        )

    def _sample_others(self, ring: table.Ring, count: int) -> list[str]:
        if not len(ring):
            return []
        indexes = self._generator.sample(
            range(len(ring)), min(count + 1, len(ring))
        )
        sampled = [ring.at(index) for index in indexes]
        others = [
            name for name in sampled if name != self.local_member.node_id
        ]
        return others[:count]

    def _push(self, targets: list[str], effects: Effects) -> None:
        for node_id in targets:
            self._queue_heartbeat(node_id, effects)

    def _queue_heartbeat(self, node_id: str, effects: Effects) -> None:
        self._nonce += 1
        fields = self._heartbeat_fields(self._nonce, node_id)
        effects.outgoing.append(
            Outgoing(
                self.members.get(node_id).address, messages.Heartbeat(*fields)
            )
        )

    def _heartbeat_fields(
        self, nonce: int, receiver: str
    ) -> tuple[typing.Any, ...]:
        max_sends = rumors.transmit_limit(len(self.members))
        budget_bytes = self._options.piggyback_bytes
        revisions = self.revision_rumors.take(budget_bytes, max_sends)
        budget_bytes -= REVISION_BYTES * len(revisions)
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

    def _on_routes_message(
        self, message: messages.Message, effects: Effects
    ) -> None:
        if isinstance(message, messages.RoutesQuery):
            self._reply_with_newer_routes(message.revision, effects)
        elif isinstance(message, messages.RoutesReply):
            new = message.route_set
            source = self._routes_announcers.get(new.revision, PEER_SOURCE)
            self._apply_routes(new, source, effects)

    def _reply_with_newer_routes(
        self, peer_revision: int, effects: Effects
    ) -> None:
        if self._routes.revision > peer_revision:
            effects.replies.append(messages.RoutesReply(self._routes.current))

    def _apply_routes(
        self, new: routes.RouteSet, source: str, effects: Effects
    ) -> None:
        if self._routes.apply(new):
            self._routes_announcers = {
                revision: node_id
                for revision, node_id in self._routes_announcers.items()
                if revision > new.revision
            }
            effects.route_set = new
            effects.routes_source = source
            self._push(self._push_targets(), effects)

    def _apply_revisions(
        self,
        revisions: typing.Iterable[services.ServiceRevision],
        effects: Effects,
    ) -> None:
        for revision in revisions:
            self._apply_revision(revision, effects)

    def _apply_revision(
        self, revision: services.ServiceRevision, effects: Effects
    ) -> None:
        if self._directory.apply(revision):
            effects.revisions.append(revision)
            self.revision_rumors.add(revision.name, revision, REVISION_BYTES)


_MIN_PARTNERS = 1
# Number of members of the region, and of the whole fleet, that a push goes to.
_PUSH_REGIONAL = 2
_PUSH_GLOBAL = 2
# Rounds between two contacts of an unreachable member.
_REJOIN_ROUNDS = 5
