"""Tests of the gossip state machine on a simulated network."""

from __future__ import annotations

import collections
import random

import pytest

from jasminebeam.configuration import directory
from jasminebeam.configuration import routes
from jasminebeam.membership import effects
from jasminebeam.membership import gossip
from jasminebeam.membership import options
from jasminebeam.membership import table
from jasminebeam.model import services
from jasminebeam.model import upstreams
from jasminebeam.peering import codec

ALIVE = upstreams.Status.ALIVE
SUSPECT = upstreams.Status.SUSPECT
DEAD = upstreams.Status.DEAD


def member(name, domain='d0', incarnation=1, **changes):
    """Return the initial record of a node."""
    return upstreams.Member(
        name, name, domain, f'r-{domain}', incarnation, 1, **changes
    )


class SimulatedNetwork:
    """Gossip nodes that exchange messages in rounds of one second."""

    def __init__(self, names, domains=1, seed=1):
        self.nodes = {}
        self.now_ms = 0.0
        self.dropped_paths = set()
        self.paused = set()
        self.sent_bytes = collections.Counter()
        self.generator = random.Random(seed)
        for number, name in enumerate(names):
            self.add(name, f'd{number % domains}', seeds=names[:1])

    def add(self, name, domain='d0', incarnation=1, seeds=()):
        """Add a node that joins through the seeds."""
        self.nodes[name] = gossip.Gossip(
            member(name, domain, incarnation),
            directory.ServiceDirectory(),
            routes.RouteDirectory(random.Random(name)),
            seeds,
            random.Random(name),
            options.Options(),
        )

    def partition(self, one, other):
        """Drop all messages between two groups of nodes."""
        for a in one:
            for b in other:
                self.dropped_paths |= {(a, b), (b, a)}

    def heal(self):
        """Stop dropping messages."""
        self.dropped_paths.clear()

    def run(self, seconds):
        """Run one round a second and deliver all its messages."""
        for _ in range(int(seconds)):
            self.now_ms += 1_000.0
            for name, node in list(self.nodes.items()):
                if name not in self.paused:
                    self._deliver(name, node.tick(self.now_ms))

    def deliver(self, name, effects):
        """Deliver the messages of one node between rounds."""
        self._deliver(name, effects)

    def statuses(self, name):
        """Return the status that one node records for each member."""
        found = self.nodes[name].members
        return {record.node_id: record.status for record in found}

    def _deliver(self, name, effects):
        queue = collections.deque(
            (name, outgoing.address, outgoing.message)
            for outgoing in effects.outgoing
        )
        while queue:
            sender, receiver, message = queue.popleft()
            frame = codec.encode(message)
            self.sent_bytes[sender] += len(frame)
            if (sender, receiver) in self.dropped_paths:
                continue
            if receiver in self.paused or receiver not in self.nodes:
                continue
            decoded = codec.decode(frame).unwrap()
            result = self.nodes[receiver].receive(decoded, self.now_ms)
            queue.extend((receiver, sender, r) for r in result.replies)
            queue.extend(
                (receiver, o.address, o.message) for o in result.outgoing
            )


@pytest.fixture
def network():
    """Provide twelve joined nodes in three failure domains."""
    created = SimulatedNetwork(
        [f'n{number}' for number in range(12)], domains=3
    )
    created.run(5)
    return created


def test_all_nodes_discover_each_other(network):
    """One seed is enough for all nodes to discover each other."""
    for name in network.nodes:
        assert set(network.statuses(name).values()) == {ALIVE}
        assert len(network.statuses(name)) == 12


def test_killed_node_is_suspected_then_dead(network):
    """All other nodes declare a killed node dead within 15 s."""
    network.paused.add('n5')
    network.run(15)
    for name in network.nodes:
        if name != 'n5':
            assert network.statuses(name)['n5'] is DEAD


def test_paused_node_refutes_its_death_when_it_resumes(network):
    """A node paused for 30 s publishes a later version and is alive again."""
    network.paused.add('n5')
    network.run(30)
    network.paused.clear()
    network.run(20)
    assert all(network.statuses(name)['n5'] is ALIVE for name in network.nodes)
    assert network.nodes['n5'].local_member.version > 1


def test_resumed_node_does_not_suspect_the_others(network):
    """A node does not count its own pause as missed heartbeats."""
    network.paused.add('n5')
    network.run(20)
    network.paused.clear()
    network.run(1)
    assert SUSPECT not in network.statuses('n5').values()


def test_member_that_one_monitor_cannot_reach_is_not_declared_dead(network):
    """Indirect probes through other members show that n5 is alive."""
    monitor = next(
        name
        for name, node in network.nodes.items()
        if 'n5' in node._detector._missed
    )
    network.partition([monitor], ['n5'])
    network.run(40)
    assert all(
        network.statuses(name)['n5'] is not DEAD for name in network.nodes
    )


def test_restarted_node_replaces_its_former_record(network):
    """A later incarnation supersedes all versions of an earlier one."""
    network.nodes['n5'].publish(network.now_ms, phase=upstreams.Phase.READY)
    network.run(3)
    network.add('n5', 'd2', incarnation=2, seeds=['n0'])
    network.run(10)
    for node in network.nodes.values():
        assert node.members.get('n5').incarnation == 2
        assert node.members.get('n5').status is ALIVE


def test_node_restarted_with_an_earlier_clock_can_join(network):
    """A node that restarts with an earlier incarnation replaces its record.

    The incarnation is the start time, which is earlier if the clock of the
    host was set back. The node then adopts the later incarnation of the
    record that the other members have.
    """
    network.add('n5', 'd2', incarnation=0, seeds=['n0'])
    network.run(15)
    for node in network.nodes.values():
        assert node.members.get('n5') == network.nodes['n5'].local_member


def test_leaving_node_has_the_status_left(network):
    """The other nodes do not treat a graceful stop as a failure."""
    network.deliver('n5', network.nodes['n5'].leave(network.now_ms))
    network.paused.add('n5')
    network.run(5)
    for name in set(network.nodes) - {'n5'}:
        assert network.statuses(name)['n5'] is upstreams.Status.LEFT


def test_suspicions_in_an_unreachable_domain_are_not_spread(network):
    """Suspicions of a lost domain must not fill the heartbeats."""
    node = network.nodes['n0']
    node.domain_detector.unreachable = frozenset({'d2'})
    for domain, expected in (('d2', False), ('d1', True)):
        name = next(
            record.node_id
            for record in node.members
            if record.failure_domain == domain
        )
        node.member_rumors.discard(name)
        node._mark_suspected(name, network.now_ms, effects.Effects())
        assert node.members.get(name).status is SUSPECT
        assert (name in node.member_rumors._items) is expected


def test_members_of_an_unreachable_domain_are_not_declared_dead(network):
    """Members of a domain that is unreachable as a whole stay suspected.

    All its members are alive again once the network delivers messages.
    """
    inside = [f'n{number}' for number in range(12) if number % 3 == 2]
    outside = [name for name in network.nodes if name not in inside]
    network.partition(inside, outside)
    network.run(120)
    for name in outside:
        states = {network.statuses(name)[lost] for lost in inside}
        assert states == {SUSPECT}
        assert 'd2' in network.nodes[name].domain_detector.unreachable
    network.heal()
    network.run(60)
    for name in network.nodes:
        assert set(network.statuses(name).values()) == {ALIVE}
        assert not network.nodes[name].domain_detector.unreachable


def test_partition_of_an_hour_heals(network):
    """The two sides discover each other again, even members declared dead."""
    names = list(network.nodes)
    network.partition(names[:6], names[6:])
    network.run(3_600)
    network.heal()
    network.run(120)
    for name in network.nodes:
        assert set(network.statuses(name).values()) == {ALIVE}


def test_revision_is_pushed_without_waiting_for_a_round(network):
    """A change reaches most nodes between two rounds.

    Each node that receives the change for the first time pushes it to
    further nodes.
    """
    revision = services.ServiceRevision('s', 7, 'c', None)
    network.deliver(
        'n3', network.nodes['n3'].adopt_revision(revision, network.now_ms)
    )
    reached = [
        name
        for name, node in network.nodes.items()
        if node._directory.revision_of('s') == 7
    ]
    assert len(reached) >= 10
    network.run(3)
    for node in network.nodes.values():
        assert node._directory.revision_of('s') == 7


def test_new_node_receives_the_configuration_from_peers(network):
    """A node can join during an outage of the store."""
    revision = services.ServiceRevision('s', 7, 'c', None)
    network.deliver(
        'n3', network.nodes['n3'].adopt_revision(revision, network.now_ms)
    )
    network.add('new', 'd1', seeds=['n4'])
    network.run(4)
    assert network.nodes['new']._directory.revision_of('s') == 7
    assert len(network.statuses('new')) == 13


def test_lost_rumor_is_repaired_by_digests(network):
    """The comparison of digests finds a record that was never spread."""
    late = member('late', 'd1')
    network.nodes['n3'].members.merge(late, network.now_ms)
    network.run(12)
    assert all('late' in network.statuses(name) for name in network.nodes)


def test_idle_fleet_stays_below_the_control_budget(network):
    """Control frames of each node take less than 12 KB a second."""
    network.sent_bytes.clear()
    network.run(60)
    assert max(network.sent_bytes.values()) / 60 < 12_000


def test_records_are_ordered_by_incarnation_version_and_status():
    """A worse status supersedes a better one only in the same version."""
    first = member('a')
    suspect = member('a', status=SUSPECT)
    later = upstreams.Member('a', 'a', 'd0', 'r', 1, 2)
    assert table.supersedes(suspect, first)
    assert table.supersedes(later, suspect)
    assert not table.supersedes(first, suspect)
