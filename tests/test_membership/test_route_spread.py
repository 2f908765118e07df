"""Tests of when nodes learn a route set from peers after a disturbance."""

from __future__ import annotations

import random

import pytest

from jasminebeam.model import routes
from tests.test_membership import test_gossip

# Rounds of one second within the platform's bound of two seconds.
BOUND_ROUNDS = 2
SIZES = (14, 28, 74)


def _network(size, seed):
    created = test_gossip.SimulatedNetwork(
        [f'n{number}' for number in range(size)], domains=3, seed=seed
    )
    created.run(5)
    return created


def _adopt(network, name, revision):
    new = routes.RouteSet(revision, (), ())
    network.deliver(name, network.nodes[name].adopt_routes(new))


def _behind(network, names, revision):
    """Return those of the nodes that have no set of this revision."""
    return {
        name
        for name in names
        if network.nodes[name]._routes.revision < revision
    }


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('pause_s', [2, 12, 30])
@pytest.mark.parametrize('size', SIZES)
def test_change_during_a_pause_was_unknown_after_it(size, pause_s, seed):
    """Half of the nodes pause; the change arrives at one of the others.

    The others know it in time, and so do the paused ones once they run.
    """
    network = _network(size, seed)
    names = list(network.nodes)
    paused = set(random.Random(seed).sample(names, size // 2))
    running = [name for name in names if name not in paused]
    network.paused |= paused
    network.run(1)
    _adopt(network, running[0], 2)
    network.run(BOUND_ROUNDS)
    assert not _behind(network, running, 2)
    network.run(pause_s)
    network.paused.clear()
    network.run(BOUND_ROUNDS)
    assert not _behind(network, names, 2)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('cut_s', [5, 40])
@pytest.mark.parametrize('size', SIZES)
def test_change_during_a_cut_was_unknown_after_it(size, cut_s, seed):
    """One failure domain is cut from the others while a change arrives."""
    network = _network(size, seed)
    names = list(network.nodes)
    cut_off = [name for name in names if int(name[1:]) % 3 == 2]
    others = [name for name in names if name not in cut_off]
    network.partition(cut_off, others)
    network.run(cut_s)
    _adopt(network, others[0], 2)
    network.run(BOUND_ROUNDS)
    assert not _behind(network, others, 2)
    network.heal()
    network.run(BOUND_ROUNDS)
    assert not _behind(network, names, 2)


@pytest.mark.parametrize('size', SIZES)
def test_nodes_that_joined_through_a_node_behind_kept_its_set(size):
    """All nodes of a domain restart; their seed has missed the change."""
    network = _network(size, seed=0)
    _adopt(network, 'n0', 1)
    network.run(BOUND_ROUNDS)
    behind = 'n1'
    others = [name for name in network.nodes if name != behind]
    network.partition([behind], others)
    _adopt(network, 'n0', 2)
    network.run(BOUND_ROUNDS)
    assert _behind(network, network.nodes, 2) == {behind}
    network.heal()
    restarted = [name for name in others if int(name[1:]) % 3 == 2]
    for name in restarted:
        network.add(name, 'd2', incarnation=2, seeds=[behind])
        network.deliver(name, network.nodes[name].join())
    network.run(BOUND_ROUNDS)
    assert not _behind(network, network.nodes, 2)
