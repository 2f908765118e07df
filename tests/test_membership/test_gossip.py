"""Tests of the gossip on in-memory messages."""

from __future__ import annotations

import collections
import random

import pytest

from jasminebeam.configuration import directory
from jasminebeam.configuration import routes
from jasminebeam.membership import gossip
from jasminebeam.membership import table
from jasminebeam.model import services
from jasminebeam.model import upstreams
from jasminebeam.peering import codec

ALIVE = upstreams.Status.ALIVE
SUSPECT = upstreams.Status.SUSPECT
DEAD = upstreams.Status.DEAD


def member(name, domain='d0', incarnation=1, **changes):
    """Return a first record."""
    return upstreams.Member(
        name, name, domain, f'r-{domain}', incarnation, 1, **changes
    )


class Net:
    """State machines that exchange messages in rounds of one second."""

    def __init__(self, names, domains=1, seed=1):
        self.nodes = {}
        self.now_ms = 0.0
        self.blocked = set()
        self.paused = set()
        self.sent_bytes = collections.Counter()
        self.generator = random.Random(seed)
        for number, name in enumerate(names):
            self.add(name, f'd{number % domains}', seeds=names[:1])

    def add(self, name, domain='d0', incarnation=1, seeds=()):
        """Add a node that knows the seeds."""
        self.nodes[name] = gossip.Gossip(
            member(name, domain, incarnation),
            directory.ServiceDirectory(),
            routes.RouteDirectory(random.Random(name)),
            seeds,
            random.Random(name),
            gossip.Options(),
        )

    def cut(self, one, other):
        """Lose all messages between two groups."""
        for a in one:
            for b in other:
                self.blocked |= {(a, b), (b, a)}

    def heal(self):
        """Deliver all messages again."""
        self.blocked.clear()

    def run(self, seconds):
        """Run rounds and deliver all messages of each."""
        for _ in range(int(seconds)):
            self.now_ms += 1_000.0
            for name, node in list(self.nodes.items()):
                if name not in self.paused:
                    self._carry(name, node.tick(self.now_ms))

    def push(self, name, effects):
        """Deliver messages between rounds."""
        self._carry(name, effects)

    def view(self, name):
        """Return the status of all members as one node sees them."""
        found = self.nodes[name].members
        return {record.node_id: record.status for record in found}

    def _carry(self, name, effects):
        queue = collections.deque(
            (name, outgoing.address, outgoing.message)
            for outgoing in effects.outgoing
        )
        while queue:
            sender, receiver, message = queue.popleft()
            frame = codec.encode(message)
            self.sent_bytes[sender] += len(frame)
            if (sender, receiver) in self.blocked:
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
def net():
    """Provide twelve nodes in three failure domains that have joined."""
    created = Net([f'n{number}' for number in range(12)], domains=3)
    created.run(5)
    return created


def test_all_nodes_learn_of_each_other(net):
    """One seed is enough."""
    for name in net.nodes:
        assert set(net.view(name).values()) == {ALIVE}
        assert len(net.view(name)) == 12


def test_killed_node_is_suspected_then_dead(net):
    """All others agree within seconds."""
    net.paused.add('n5')
    net.run(15)
    for name in net.nodes:
        if name != 'n5':
            assert net.view(name)['n5'] is DEAD


def test_paused_node_refutes_when_it_wakes(net):
    """A node paused for 30 s comes back by a later version."""
    net.paused.add('n5')
    net.run(30)
    net.paused.clear()
    net.run(20)
    assert all(net.view(name)['n5'] is ALIVE for name in net.nodes)
    assert net.nodes['n5'].local_member.version > 1


def test_woken_node_does_not_accuse_the_others(net):
    """Its own pause does not count as the silence of others."""
    net.paused.add('n5')
    net.run(20)
    net.paused.clear()
    net.run(1)
    assert SUSPECT not in net.view('n5').values()


def test_one_lossy_path_does_not_kill_a_member(net):
    """Others reach the member and say so."""
    watcher = next(
        name
        for name, node in net.nodes.items()
        if 'n5' in node._detector._missed
    )
    net.cut([watcher], ['n5'])
    net.run(40)
    assert all(net.view(name)['n5'] is not DEAD for name in net.nodes)


def test_restarted_node_replaces_its_former_record(net):
    """A later incarnation wins over any version of the earlier one."""
    net.nodes['n5'].publish(net.now_ms, phase=upstreams.Phase.READY)
    net.run(3)
    net.add('n5', 'd2', incarnation=2, seeds=['n0'])
    net.run(10)
    for node in net.nodes.values():
        assert node.members.get('n5').incarnation == 2
        assert node.members.get('n5').status is ALIVE


def test_node_whose_clock_went_back_still_gets_in(net):
    """A restart with an earlier incarnation takes over the later one."""
    net.add('n5', 'd2', incarnation=0, seeds=['n0'])
    net.run(15)
    for node in net.nodes.values():
        assert node.members.get('n5') == net.nodes['n5'].local_member


def test_leaving_node_is_known_to_have_left(net):
    """A planned stop is not taken for a failure."""
    net.push('n5', net.nodes['n5'].leave(net.now_ms))
    net.paused.add('n5')
    net.run(5)
    for name in set(net.nodes) - {'n5'}:
        assert net.view(name)['n5'] is upstreams.Status.LEFT


def test_silent_failure_domain_is_held_and_heals(net):
    """Nobody of a domain that goes silent together is declared dead."""
    inside = [f'n{number}' for number in range(12) if number % 3 == 2]
    outside = [name for name in net.nodes if name not in inside]
    net.cut(inside, outside)
    net.run(120)
    for name in outside:
        states = {net.view(name)[lost] for lost in inside}
        assert states == {SUSPECT}
        assert 'd2' in net.nodes[name].domains.silent
    net.heal()
    net.run(60)
    for name in net.nodes:
        assert set(net.view(name).values()) == {ALIVE}
        assert not net.nodes[name].domains.silent


def test_partition_of_an_hour_heals(net):
    """Both sides find each other again, whoever was declared dead."""
    names = list(net.nodes)
    net.cut(names[:6], names[6:])
    net.run(3_600)
    net.heal()
    net.run(120)
    for name in net.nodes:
        assert set(net.view(name).values()) == {ALIVE}


def test_revision_reaches_all_nodes_at_once(net):
    """Pushes on first receipt carry a change without waiting for rounds."""
    revision = services.ServiceRevision('s', 7, 'c', None)
    net.push('n3', net.nodes['n3'].adopt_revision(revision, net.now_ms))
    reached = [
        name
        for name, node in net.nodes.items()
        if node._directory.revision_of('s') == 7
    ]
    assert len(reached) >= 10
    net.run(3)
    for node in net.nodes.values():
        assert node._directory.revision_of('s') == 7


def test_new_node_learns_the_configuration_from_peers(net):
    """No store is needed to join during an outage."""
    revision = services.ServiceRevision('s', 7, 'c', None)
    net.push('n3', net.nodes['n3'].adopt_revision(revision, net.now_ms))
    net.add('new', 'd1', seeds=['n4'])
    net.run(4)
    assert net.nodes['new']._directory.revision_of('s') == 7
    assert len(net.view('new')) == 13


def test_lost_rumor_is_repaired_by_digests(net):
    """A record that was never spread is found by comparison."""
    late = member('late', 'd1')
    net.nodes['n3'].members.merge(late, net.now_ms)
    net.run(12)
    assert all('late' in net.view(name) for name in net.nodes)


def test_quiet_fleet_stays_below_the_control_budget(net):
    """Frames of the control protocol take less than 12 KB a second."""
    net.sent_bytes.clear()
    net.run(60)
    assert max(net.sent_bytes.values()) / 60 < 12_000


def test_records_are_ordered_by_incarnation_version_and_status():
    """A worse status wins only within the same version."""
    first = member('a')
    suspect = member('a', status=SUSPECT)
    later = upstreams.Member('a', 'a', 'd0', 'r', 1, 2)
    assert table.supersedes(suspect, first)
    assert table.supersedes(later, suspect)
    assert not table.supersedes(first, suspect)
