"""Tests of when nodes learn of an evacuation or a withdrawal from peers."""

from __future__ import annotations

import random

import pytest

from jasminebeam.model import evacuations
from jasminebeam.model import routes
from jasminebeam.peering import codec
from jasminebeam.peering import evacuation_messages
from jasminebeam.peering import messages
from tests.test_membership import test_gossip

# Rounds of one second within which a node that is behind must learn of it.
BOUND_ROUNDS = 2
SIZES = (14, 28, 74)
ONE = evacuations.Evacuations(7, ('d0',))
TWO = evacuations.Evacuations(9, ('d0', 'd1'))
NONE = evacuations.Evacuations(12)

OWN_TYPES = (
    evacuation_messages.EvacuationsUpdate,
    evacuation_messages.EvacuationsDigest,
)


class Network(test_gossip.SimulatedNetwork):
    """Network that loses a share of the messages about evacuations."""

    def __init__(self, size, seed=0):
        self.lost_ratio = 0.0
        self.sent_types = set()
        names = [f'n{number}' for number in range(size)]
        super().__init__(names, domains=3, seed=seed)
        self.run(5)

    def _deliver(self, name, effects):
        effects.outgoing = self._kept(effects.outgoing)
        super()._deliver(name, effects)

    def _kept(self, outgoing):
        self.sent_types.update(type(sent.message) for sent in outgoing)
        return [
            sent
            for sent in outgoing
            if not isinstance(sent.message, OWN_TYPES)
            or self.generator.random() >= self.lost_ratio
        ]

    def adopt(self, name, found, listed=False):
        """Let a node read a set from the store."""
        spread = self.nodes[name].evacuations
        self.deliver(name, spread.adopt(found, listed, self.now_ms))

    def behind(self, expected, names=None):
        """Return the nodes that have another set in force."""
        return {
            name
            for name in names or self.nodes
            if self.nodes[name].evacuations.current != expected
        }


@pytest.mark.parametrize('size', SIZES)
def test_evacuation_or_withdrawal_spread_late(size):
    """All nodes have each set within the bound, also two domains at once."""
    network = Network(size)
    for found in (ONE, TWO, NONE):
        network.adopt('n3', found)
        network.run(BOUND_ROUNDS)
        assert not network.behind(found)


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('size', SIZES)
def test_lost_messages_were_not_repaired(size, seed):
    """All pushes are lost; digests with the heartbeats repair it."""
    network = Network(size, seed)
    for found in (ONE, NONE):
        network.lost_ratio = 1.0
        network.adopt('n3', found)
        assert network.behind(found) == set(network.nodes) - {'n3'}
        network.lost_ratio = 0.3
        network.run(2 * BOUND_ROUNDS)
        assert not network.behind(found)


@pytest.mark.parametrize('cut_s', [5, 40])
def test_node_that_was_cut_off_kept_sending_to_an_evacuated_domain(cut_s):
    """The nodes of a domain learn of it once they are connected again."""
    network = Network(28)
    names = list(network.nodes)
    cut_off = [name for name in names if int(name[1:]) % 3 == 2]
    others = [name for name in names if name not in cut_off]
    network.partition(cut_off, others)
    network.adopt('n0', ONE)
    network.run(cut_s)
    assert not network.behind(ONE, others)
    network.heal()
    network.run(BOUND_ROUNDS)
    assert not network.behind(ONE)


def test_withdrawal_was_undone_by_nodes_that_had_missed_it():
    """Half of the nodes pause while it is withdrawn."""
    network = Network(28)
    network.adopt('n0', ONE)
    network.run(BOUND_ROUNDS)
    network.paused |= {f'n{number}' for number in range(1, 28, 2)}
    network.adopt('n0', NONE)
    network.run(10)
    network.paused.clear()
    network.run(BOUND_ROUNDS)
    assert not network.behind(NONE)


def test_evacuation_returned_after_all_that_knew_its_withdrawal_ended():
    """One node has missed it and has the only copy; the store knows better.

    The node that has read the store raises its revision.
    """
    network = Network(14)
    network.adopt('n5', ONE)
    network.paused |= set(network.nodes)
    for number in range(14):
        name = f'n{number}'
        if name != 'n5':
            network.add(name, f'd{number % 3}', incarnation=2, seeds=['n0'])
    network.paused = {'n5'}
    network.run(5)
    network.adopt('n0', evacuations.Evacuations(20), listed=True)
    network.paused.clear()
    network.run(3 * BOUND_ROUNDS)
    assert not network.behind(evacuations.Evacuations(20))


def test_new_node_got_routes_ahead_of_the_evacuations():
    """A node that joins, or asks for routes, gets evacuations first."""
    network = Network(14)
    network.adopt('n0', ONE)
    node = network.nodes['n0']
    network.deliver('n0', node.adopt_routes(routes.RouteSet(3, (), ())))
    network.add('new', 'd1', seeds=['n0'])
    join = network.nodes['new'].join().outgoing[0].message
    for query in (join, messages.RoutesQuery(0)):
        replies = node.receive(query, network.now_ms).replies
        first = [type(reply) for reply in replies][:2]
        assert first == [
            evacuation_messages.EvacuationsUpdate,
            messages.RoutesReply,
        ]


def test_nodes_without_evacuations_sent_messages_about_them():
    """Nodes that know no evacuation send nothing about it.

    They join, change routes, lose members and read the store meanwhile.
    """
    network = Network(28)
    network.adopt('n1', evacuations.Evacuations(40), listed=True)
    node = network.nodes['n1']
    network.deliver('n1', node.adopt_routes(routes.RouteSet(3, (), ())))
    network.paused |= {'n4', 'n5'}
    network.add('new', 'd1', seeds=['n0'])
    network.run(20)
    network.paused.clear()
    network.run(20)
    assert network.sent_types.isdisjoint(OWN_TYPES)
    for query in (node.join_via(['n2']).outgoing[0].message,):
        replies = network.nodes['n2'].receive(query, network.now_ms).replies
        assert not any(isinstance(reply, OWN_TYPES) for reply in replies)


def test_messages_were_large():
    """A digest, sent with each heartbeat, costs a few bytes."""
    digest = codec.encode(evacuation_messages.EvacuationsDigest(123_456_789))
    assert len(digest) <= 8
    generator = random.Random(1)
    domains = tuple(f'zone-{generator.random()}' for _ in range(6))
    update = codec.encode(
        evacuation_messages.EvacuationsUpdate(123_456_789, domains)
    )
    assert len(update) <= 9 + 30 * len(domains)
