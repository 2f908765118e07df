"""Tests of the number of nodes that share the limits of teams."""

from __future__ import annotations

import random

import pytest

from jasminebeam.configuration import directory
from jasminebeam.configuration import routes
from jasminebeam.membership import gossip
from jasminebeam.membership import options
from jasminebeam.model import upstreams
from jasminebeam.quotas import fleet_size
from tests.test_quotas import simulation

DEAD = upstreams.Status.DEAD
LEFT = upstreams.Status.LEFT
STEP_S = 0.1


def settled(count):
    """Return the count of a node that knows some members."""
    size = fleet_size.FleetSize('n0', 0.0)
    for number in range(1, count):
        size.observe(simulation.member(f'n{number}'), 0.0)
    assert size.nodes(True, 3_000.0) == count
    return size


def test_node_that_knew_no_other_took_the_whole_limit():
    """Before the answer to its join, a node generates nothing."""
    size = fleet_size.FleetSize('n0', 0.0)
    assert size.nodes(True, 30_000.0) == 0
    size.observe(simulation.member('n1'), 30_000.0)
    assert size.nodes(True, 30_000.0) == 0
    assert size.nodes(True, 32_000.0) == 2


def test_only_node_was_never_settled():
    """A node without peers, or whose peers never answer, is alone."""
    assert fleet_size.FleetSize('n0', 0.0).nodes(False, 2_000.0) == 1
    size = fleet_size.FleetSize('n0', 0.0)
    assert size.nodes(True, fleet_size.ALONE_MS - 1) == 0
    assert size.nodes(True, fleet_size.ALONE_MS) == 1


@pytest.mark.parametrize('status', (DEAD, LEFT))
def test_member_that_is_gone_stopped_counting_at_once(status):
    """It counts for 60 s, because it may live on without being seen."""
    size = settled(100)
    size.observe(simulation.member('n5', status=status), 5_000.0)
    assert 'n5' not in size.live
    assert size.nodes(True, 64_999.0) == 100
    assert size.nodes(True, 65_000.0) == 99


def test_member_that_returned_was_forgotten():
    """A restart within the 60 s, or after them, changes nothing."""
    size = settled(30)
    size.observe(simulation.member('n5', status=DEAD), 5_000.0)
    size.observe(simulation.member('n5', incarnation=2), 30_000.0)
    assert size.nodes(True, 90_000.0) == 30
    assert 'n5' in size.live


def test_long_partition_doubled_the_limit():
    """Many dead members may be the other side of a partition."""
    size = settled(30)
    for number in range(15, 30):
        dead = simulation.member(f'n{number}', status=DEAD)
        size.observe(dead, 5_000.0)
    assert size.nodes(True, 3_600_000.0) == 30
    assert size.nodes(True, 5_000.0 + fleet_size.DEAD_MS) == 15


class _Restart:
    """All nodes of a fleet that start at once, with real gossip states."""

    def __init__(self, size, seed, spread_ms):
        self._generator = random.Random(seed)
        self.names = [f'n{number}' for number in range(size)]
        self.nodes = {}
        self.sizes = {}
        self.now_ms = 0.0
        self.starts_ms = {
            name: self._generator.uniform(0, spread_ms) for name in self.names
        }

    def run(self, seconds):
        """Yield after each 100 ms."""
        phases = {name: self._generator.randrange(10) for name in self.names}
        for step in range(seconds * 10):
            self.now_ms = step * 100.0
            for name in self.names:
                if name in self.nodes:
                    if step % 10 == phases[name]:
                        self._apply(name, self.nodes[name].tick(self.now_ms))
                elif self.now_ms >= self.starts_ms[name]:
                    self._start(name)
            yield

    def _start(self, name):
        self.nodes[name] = gossip.Gossip(
            simulation.member(name),
            directory.ServiceDirectory(),
            routes.RouteDirectory(random.Random(name)),
            self.names[: simulation.DOMAINS],
            random.Random(name),
            options.Options(),
        )
        self.sizes[name] = fleet_size.FleetSize(name, self.now_ms)
        self._apply(name, self.nodes[name].join())

    def _apply(self, name, effects):
        queue = [(name, effects, '')]
        while queue:
            sender, effects, receiver = queue.pop(0)
            for record in effects.members:
                self.sizes[sender].observe(record, self.now_ms)
            sent = [(o.address, o.message) for o in effects.outgoing]
            sent += [(receiver, reply) for reply in effects.replies]
            for address, message in sent:
                if address in self.nodes:
                    result = self.nodes[address].receive(message, self.now_ms)
                    queue.append((address, result, sender))


@pytest.mark.parametrize('size', (14, 82))
@pytest.mark.parametrize('spread_ms', (300, 2_000))
@pytest.mark.parametrize('seed', (1, 2, 3))
def test_restart_of_all_nodes_multiplied_the_limit(size, spread_ms, seed):
    """While the nodes find each other, they generate no more than the limit.

    Since the first start, that is the rate in the time that has passed. In any
    5 s it is at most a tenth more, which the rule leaves.
    """
    fleet = _Restart(size, seed, spread_ms)
    generated_s = [0.0]
    for _ in fleet.run(15):
        counts = [
            count.nodes(True, fleet.now_ms) for count in fleet.sizes.values()
        ]
        parts = sum(1 / count for count in counts if count)
        generated_s.append(generated_s[-1] + STEP_S * parts)
        assert generated_s[-1] <= fleet.now_ms / 1_000 + STEP_S
        in_window_s = generated_s[-1] - generated_s[-51:][0]
        assert in_window_s <= 5.5
    assert counts == [size] * size


@pytest.mark.parametrize('size', (14, 82))
@pytest.mark.parametrize('seed', (1, 2, 3))
def test_restart_of_all_nodes_left_teams_without_tokens(size, seed):
    """Half of the rate is generated again 1.5 s after the first start."""
    fleet = _Restart(size, seed, spread_ms=300)
    for _ in fleet.run(3):
        counts = [
            count.nodes(True, fleet.now_ms) for count in fleet.sizes.values()
        ]
        if fleet.now_ms >= 1_500:
            parts = sum(1 / count for count in counts if count)
            assert parts == pytest.approx(0.5) or parts > 0.5
