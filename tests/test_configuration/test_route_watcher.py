"""Tests of delegates, seeds and store calls of whole fleets."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random

import msgspec
import pytest
from returns import result

from bench import virtual_time
from jasminebeam.configuration import delegates
from jasminebeam.configuration import evacuation_reader
from jasminebeam.configuration import route_watch
from jasminebeam.configuration import route_watcher
from jasminebeam.configuration import seeds
from jasminebeam.configuration import watch_timing
from jasminebeam.membership import watch_reports
from jasminebeam.model import routes
from jasminebeam.model import upstreams
from jasminebeam.peering import messages
from jasminebeam.routing import subset
from jasminebeam.store import store
from jasminebeam.telemetry import events
from jasminebeam.telemetry import metrics

DOMAINS = 5
LEASE_S = 10
STORE_DELAY_S = 0.02
PUSH_DELAY_S = 0.05
# Timeout of a call, and of a poll whose answer is lost.
TIMEOUT_S = 1.0
WATCH_TIMEOUT_S = 27.0
# Bound on the time until a confirmed change is in force.
APPLY_S = 2.0
JOIN_DELAY_S = 0.05
# Time after which the failure detector suspects a member that is silent.
DETECTION_S = 5.0
# Cost of a stale read and of a renewal, relative to other calls.
CHEAP_RATIO = 0.1
OPERATORS_PREFIX = 'op/'
ROUTES_KEY = OPERATORS_PREFIX + 'config'
DELEGATES_PER_DOMAIN = 2

UNAVAILABLE = result.Failure(store.StoreError.UNAVAILABLE)


class CountingStore:
    """Store with leases in virtual time that counts calls by kind."""

    def __init__(self, loop):
        self.loop = loop
        self.calls = collections.Counter()
        self.calls_by_second = collections.Counter()
        # Calls of nodes, those without an answer included.
        self.attempts = 0
        self.items = {}
        self.leases = {}
        self.revision = 1
        # Time and revision of each write.
        self.writes = [(0.0, 1)]
        self.down = False
        # No call gets an answer, and that of each waiting one is lost.
        self.silent = False
        self.losses = 0
        self.poll_losses = 0
        # Names of nodes that the store turns away, and of those that it
        # cannot be reached from.
        self.refused = set()
        self.cut = set()
        self.stale_s = 0.0
        # Additional time of each call, by name of node.
        self.slow_s = {}
        self.changed = asyncio.Condition()

    @property
    def cost(self):
        """Price of all calls, relative to a full call."""
        cheap = self.calls['list stale'] + self.calls['keep']
        return self.calls.total() - cheap * (1 - CHEAP_RATIO)

    async def _call(self, kind):
        self.calls[kind] += 1
        # Stale reads do not count toward the store's rates.
        if kind != 'list stale':
            self.calls_by_second[int(self.loop.time())] += 1
        await asyncio.sleep(STORE_DELAY_S)
        self._expire()
        return not self.down

    def _expire(self):
        now_s = self.loop.time()
        for lease, expires_s in list(self.leases.items()):
            if expires_s < now_s:
                del self.leases[lease]
        self.items = {
            key: entry
            for key, entry in self.items.items()
            if not entry[1] or entry[1] in self.leases
        }

    async def list(self, prefix, allow_stale=False):
        """Return the keys under a prefix."""
        if not await self._call('list stale' if allow_stale else 'list'):
            return UNAVAILABLE
        latest_s = self.loop.time() - (self.stale_s if allow_stale else 0.0)
        found = tuple(
            store.KeyValue(key, value, revision)
            for key, (value, _, revision, written_s) in self.items.items()
            if key.startswith(prefix) and written_s <= latest_s
        )
        revision = max(
            revision
            for written_s, revision in self.writes
            if written_s <= max(0.0, latest_s)
        )
        return result.Success(store.Listing(revision, found))

    async def write(self, key, value, lease=0):
        """Write a key."""
        self.revision += 1
        self.items[key] = (value, lease, self.revision, self.loop.time())
        self.writes.append((self.loop.time(), self.revision))
        async with self.changed:
            self.changed.notify_all()

    async def compare_and_set(self, key, revision, value, lease_id=0):
        """Write a key that does not exist."""
        if not await self._call('txn'):
            return UNAVAILABLE
        await self.write(key, value, lease_id)
        return result.Success(self.revision)

    async def grant_lease(self, ttl_s):
        """Grant a lease."""
        if not await self._call('grant'):
            return UNAVAILABLE
        lease = len(self.calls) * 100_000 + self.calls['grant']
        self.leases[lease] = self.loop.time() + ttl_s
        return result.Success(lease)

    async def keep_alive(self, lease_id):
        """Renew a lease."""
        if not await self._call('keep'):
            return UNAVAILABLE
        if lease_id not in self.leases:
            return result.Failure(store.StoreError.LEASE_EXPIRED)
        self.leases[lease_id] = self.loop.time() + LEASE_S
        return result.Success(LEASE_S)

    async def watch(self, prefix, from_revision):
        """Yield changes; one call for each poll of 25 s or change."""
        seen = from_revision - 1
        while await self._call('watch'):
            async with self.changed:
                try:
                    async with asyncio.timeout(25.0):
                        while self._newest(prefix) <= seen:
                            await self.changed.wait()
                except TimeoutError:
                    continue
            found = [
                store.KeyValue(key, value, revision)
                for key, (value, _, revision, _) in self.items.items()
                if key.startswith(prefix) and revision > seen
            ]
            seen = self._newest(prefix)
            for item in found:
                yield item

    def _newest(self, prefix):
        return max(
            (
                entry[2]
                for key, entry in self.items.items()
                if key.startswith(prefix)
            ),
            default=0,
        )


class NodeStore:
    """The store as one node reaches it.

    Parameters
    ----------
    shared : CountingStore
        The store.
    node : FleetNode
        Node that calls it.
    """

    def __init__(self, shared, node):
        self._shared = shared
        self._node = node

    def _is_refused(self):
        return self._node.node_id in self._shared.refused

    def _is_silent(self):
        return self._shared.silent or self._node.node_id in self._shared.cut

    async def _call(self, call):
        lost = self._shared.losses
        self._shared.attempts += 1
        if self._is_silent() or self._is_refused():
            call.close()
            delay_s = TIMEOUT_S if self._is_silent() else STORE_DELAY_S
            await asyncio.sleep(delay_s)
            return UNAVAILABLE
        answer = await call
        await asyncio.sleep(self._shared.slow_s.get(self._node.node_id, 0.0))
        if lost != self._shared.losses:
            await asyncio.sleep(TIMEOUT_S)
            return UNAVAILABLE
        return answer

    def _losses_of_polls(self):
        return self._shared.losses + self._shared.poll_losses

    async def list(self, prefix, allow_stale=False):
        """Return the keys under a prefix."""
        return await self._call(self._shared.list(prefix, allow_stale))

    async def compare_and_set(self, *args):
        """Write a key."""
        return await self._call(self._shared.compare_and_set(*args))

    async def grant_lease(self, ttl_s):
        """Grant a lease."""
        return await self._call(self._shared.grant_lease(ttl_s))

    async def keep_alive(self, lease_id):
        """Renew a lease."""
        return await self._call(self._shared.keep_alive(lease_id))

    async def watch(self, prefix, from_revision):
        """Yield changes; a lost answer shows only at the poll's timeout."""
        lost = self._losses_of_polls()
        self._shared.attempts += 1
        if self._is_silent():
            await asyncio.sleep(WATCH_TIMEOUT_S)
        if self._is_refused():
            return
        async for item in self._shared.watch(prefix, from_revision):
            if self._is_silent() or lost != self._losses_of_polls():
                await asyncio.sleep(WATCH_TIMEOUT_S)
                return
            if self._is_refused():
                return
            yield item


def _weight(node):
    return subset.rendezvous_weight(node.domain, node.node_id)


class Group:
    """Nodes that know each other, and their newest routes."""

    def __init__(self, node):
        self.members = {node}
        self.addresses = {node.address}
        self.revision = 0
        # Time at which the store last answered a member.
        self.contact_s = None
        self._ranked = {}
        self._ranks = {}

    def ranked(self, domain):
        """Return the nodes of a domain in the order of their ranks."""
        if domain not in self._ranked:
            self._ranked[domain] = sorted(
                (node for node in self.members if node.domain == domain),
                key=_weight,
                reverse=True,
            )
        return self._ranked[domain]

    def rank_of(self, node):
        """Return the rank of a node in its domain."""
        if node.domain not in self._ranks:
            self._ranks[node.domain] = {
                ranked: rank
                for rank, ranked in enumerate(self.ranked(node.domain))
            }
        return self._ranks[node.domain][node]

    def on_change(self):
        """Forget the ranking, and tell the members of a loss."""
        self._ranked.clear()
        self._ranks.clear()
        for member in self.members:
            member.delegate_lost.set()

    def discard(self, node):
        """Remove a node."""
        self.members.discard(node)
        self.addresses.discard(node.address)
        self._ranked.clear()
        self._ranks.clear()

    def merge(self, other):
        """Take over the members and the routes of another group."""
        for member in other.members:
            member.group = self
        self.members |= other.members
        self._ranked.clear()
        self._ranks.clear()
        self.addresses |= other.addresses
        self.revision = max(self.revision, other.revision)


class FleetNode:
    """A node's view of the fleet; a join merges two groups."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.node_id = f'n{index}'
        self.domain = f'd{index % DOMAINS}'
        self.address = f'10.0.0.1:{10_000 + index}'
        self.group = Group(self)
        self.task = None
        self.up = True
        self.watch_reports = watch_reports.WatchReports()
        self.watcher = None
        # No message of the node reaches its peers.
        self.is_isolated = False
        self.delegate_lost = asyncio.Event()
        self.record = upstreams.Member(
            self.node_id, self.address, self.domain, 'r', 1, 1
        )

    @property
    def revision(self):
        """Revision of the routes in force."""
        return self.group.revision

    @property
    def has_no_peers(self):
        """True while no other member is known."""
        return self.size == 1

    @property
    def size(self):
        """Number of known members."""
        return len(self.group.members)

    def knows(self, address):
        """Return True if a known member has the address."""
        return address in self.group.addresses

    def join(self, addresses):
        """Merge with the groups of the seeds after a delay."""
        for address in addresses:
            self.fleet.loop.call_later(JOIN_DELAY_S, self._merge, address)

    def _merge(self, address):
        seed = self.fleet.by_address.get(address)
        if seed is None or not seed.up or not self.up:
            return
        small, large = sorted(
            (self.group, seed.group), key=lambda group: len(group.members)
        )
        if small is not large:
            large.merge(small)

    def watch_rank(self):
        """Return the rank of the node among the known members."""
        return self.group.rank_of(self)

    def precedes(self, node_id):
        """Return True if another node of the domain has a lower rank."""
        return delegates.precedes(node_id, self.node_id, self.domain)

    def follows(self, node_id):
        """Return True if another node of the domain has a higher rank."""
        return delegates.precedes(self.node_id, node_id, self.domain)

    def watch_domain_size(self):
        """Return the number of known members of the domain."""
        return len(self.group.ranked(self.domain))

    @property
    def domain_position(self):
        """Position of the domain among those that have members."""
        domains = sorted({node.domain for node in self.group.members})
        return domains.index(self.domain)

    def report_watch(self, answered):
        """Send a report to all known members of the domain."""
        age_ms = 0 if answered else -1
        report = messages.WatchReport(self.node_id, age_ms, 0)
        self._record(report)
        if not self.is_isolated:
            self.fleet.loop.call_later(PUSH_DELAY_S, self._spread, report)

    def _spread(self, report):
        for node in self.group.ranked(self.domain):
            if node is not self:
                node._record(report)

    def _record(self, report):
        if self.up:
            self.watch_reports.record(report, self.fleet.loop.now_ms())

    def is_delegate(self):
        """Return True if the node is a delegate among the known members."""
        return self.watch_rank() < DELEGATES_PER_DOMAIN

    def record_store_contact(self):
        """Record an answer of the store; all known members hear of it."""
        self.group.contact_s = self.fleet.loop.time()

    def store_age_ms(self):
        """Return the time since the store last answered a known member."""
        if self.group.contact_s is None:
            return -1
        return 1_000 * (self.fleet.loop.time() - self.group.contact_s)

    @property
    def has_store_contact(self):
        """Whether the store answers the node, as it has published."""
        return self.record.has_store_contact

    def publish_contact(self, has_contact):
        """Change the record; all known members receive it after a delay."""
        self.record = msgspec.structs.replace(
            self.record, has_store_contact=has_contact
        )
        self.fleet.loop.call_later(PUSH_DELAY_S, self.group.on_change)

    async def wait_for_delegates(self, timeout_s):
        """Wait for a loss, or for a timeout."""
        self.delegate_lost.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.delegate_lost.wait()

    def on_routes(self, route_set):
        """Adopt routes; all known members receive them."""
        if not self.is_isolated:
            self.group.revision = max(self.group.revision, route_set.revision)


class Fleet:
    """Nodes that start at once, on one store in virtual time."""

    def __init__(self, size, seed=1, stale_s=0.0, reads_evacuations=False):
        # Sets that nodes have read from the store.
        self.evacuations = []
        self.reads_evacuations = reads_evacuations
        self.loop = virtual_time.VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.store = CountingStore(self.loop)
        self.store.stale_s = stale_s
        self.generator = random.Random(seed)
        self.nodes = []
        self.by_address = {}
        self.log = events.EventLog('fleet', metrics.Metrics())
        for _ in range(size):
            self.add_node()

    def add_node(self):
        """Start one more node."""
        node = FleetNode(self, len(self.nodes))
        self.nodes.append(node)
        self.by_address[node.address] = node
        self.start(node)
        return node

    def start(self, node):
        """Start the tasks of a node."""
        node.up = True
        node.group = Group(node)
        node.watch_reports = watch_reports.WatchReports()
        watcher = node.watcher = route_watcher.RouteWatcher(
            NodeStore(self.store, node),
            route_watcher.Options(
                ROUTES_KEY,
                seeds.LocalNode(node.node_id, node.domain, node.address),
                LEASE_S,
                DELEGATES_PER_DOMAIN,
            ),
            lambda value: result.Success(routes.RouteSet(int(value), (), ())),
            node.on_routes,
            lambda: node.revision > 0,
            node,
            self.loop.now_ms,
            random.Random(self.generator.random()),
            self.log,
            self._evacuations_watch(),
        )
        node.task = self.loop.create_task(self._run(watcher))

    def _evacuations_watch(self):
        if not self.reads_evacuations:
            return None
        reader = evacuation_reader.EvacuationReader(
            OPERATORS_PREFIX + 'evacuate/',
            lambda found, listed: self.evacuations.append((found, listed)),
            self.log,
        )
        return route_watch.Evacuations(OPERATORS_PREFIX, reader)

    async def _run(self, watcher):
        # All hosts start within 0.3 s.
        await asyncio.sleep(0.3 * self.generator.random())
        await asyncio.gather(
            watcher.run(), watcher.keep_watch(), watcher.read_missing_routes()
        )

    def kill(self, nodes):
        """End the processes of nodes."""
        for node in nodes:
            node.task.cancel()
            node.up = False
            node.group.discard(node)
            node.group = Group(node)

    def silence(self, nodes):
        """End nodes; the others take them for alive for a while."""
        for node in nodes:
            node.task.cancel()
            node.up = False
        self.loop.call_later(DETECTION_S, self._discard, list(nodes))

    def _discard(self, nodes):
        for node in nodes:
            node.group.discard(node)
            node.group.on_change()

    def lose_poll_answers(self):
        """Lose the answer of each poll in progress, and of no other call."""
        self.store.poll_losses += 1

    def lose_answers(self):
        """Lose the answer of each call and of each poll in progress."""
        self.store.losses += 1

    def watchers(self):
        """Return the running nodes that watch the store."""
        return [
            node for node in self.nodes if node.up and node.watcher.is_watching
        ]

    def delegates(self):
        """Return the names of the regular delegates."""
        return {node.node_id for node in self.nodes if node.is_delegate()}

    def assert_in_force(self, revision):
        """Check that all running nodes have a revision in force."""
        self.advance(APPLY_S)
        behind = [
            node.node_id
            for node in self.nodes
            if node.up and node.revision != revision
        ]
        assert not behind

    def write_routes(self, revision):
        """Write a route set as operators do."""
        value = str(revision).encode()
        self.run(self.store.write(ROUTES_KEY, value))

    def run(self, coroutine):
        """Run a coroutine in virtual time."""
        return self.loop.run_until_complete(coroutine)

    def advance(self, seconds):
        """Advance virtual time."""
        self.run(asyncio.sleep(seconds))

    def close(self):
        """Stop all nodes."""
        for node in self.nodes:
            node.task.cancel()
        self.run(
            asyncio.gather(
                *(node.task for node in self.nodes), return_exceptions=True
            )
        )
        self.loop.close()
        asyncio.set_event_loop(None)


@pytest.fixture
def create_fleet():
    """Provide a function that creates fleets."""
    created = []

    def create(*args, **kwargs):
        created.append(Fleet(*args, **kwargs))
        return created[-1]

    yield create
    for fleet in created:
        fleet.close()


def test_evacuations_cost_calls_while_there_are_none(create_fleet):
    """The same calls at the same times read both kinds of keys."""
    calls = []
    for reads_evacuations in (False, True):
        fleet = create_fleet(28, reads_evacuations=reads_evacuations)
        fleet.advance(4.0)
        for revision in (1, 2, 3):
            fleet.write_routes(revision)
            fleet.advance(10.0)
        fleet.lose_answers()
        fleet.advance(10.0)
        calls.append((fleet.store.calls, fleet.store.calls_by_second))
    assert calls[0] == calls[1]
    assert all(
        listed and not read.domains for read, listed in fleet.evacuations
    )


def test_evacuation_was_read_late_or_cost_many_calls(create_fleet):
    """Each domain's watcher reads a change with one further poll."""
    fleet = create_fleet(28, reads_evacuations=True)
    fleet.write_routes(1)
    fleet.advance(20.0)
    fleet.evacuations.clear()
    polls = fleet.store.calls['watch']
    fleet.run(fleet.store.write('op/evacuate/d1', b'{}'))
    fleet.advance(APPLY_S)
    assert len(fleet.evacuations) == len(fleet.watchers()) == DOMAINS
    for read, _ in fleet.evacuations:
        assert read.domains == ('d1',)
    fleet.advance(1.0)
    # Polls of the regular replacement come on top.
    assert fleet.store.calls['watch'] - polls <= 2 * DOMAINS


def _delegates_expected():
    return DOMAINS * DELEGATES_PER_DOMAIN


@pytest.mark.parametrize('stale_s', [0.0, 0.5])
@pytest.mark.parametrize('size', [14, 200, 2_000])
def test_store_calls_of_a_day_are_bounded(create_fleet, size, stale_s):
    """A fleet costs at most 2 calls a node, and none that recur by node."""
    fleet = create_fleet(size, stale_s=stale_s)
    fleet.advance(4.0)
    fleet.write_routes(1)
    fleet.advance(6.0)
    for revision in (2, 3):
        fleet.write_routes(revision)
        fleet.advance(15.0)
    assert all(node.revision == 3 for node in fleet.nodes)
    assert fleet.nodes[0].size == size
    # Delegates poll, renew, list and watch; their number is fixed.
    allowance = 10 * _delegates_expected()
    assert fleet.store.cost <= 2 * size + allowance
    before = fleet.store.cost
    fleet.advance(60.0)
    # In a minute each delegate renews 18 times, lists 6 times and polls.
    assert fleet.store.cost - before <= 8 * _delegates_expected()


def test_calls_at_the_start_stay_below_the_rates(create_fleet):
    """The store allows 3,200 writes and 16,000 reads a second."""
    fleet = create_fleet(2_000)
    fleet.advance(10.0)
    assert max(fleet.store.calls_by_second.values()) <= 3_200


@pytest.mark.parametrize('size', [1, 2, 14, 200])
def test_whole_fleet_restart_has_routes_at_once(create_fleet, size):
    """After the loss of all nodes, all have routes again within 3 s."""
    fleet = create_fleet(size)
    fleet.write_routes(7)
    fleet.advance(20.0)
    assert all(node.revision == 7 for node in fleet.nodes)
    before = fleet.store.calls['list']
    fleet.kill(fleet.nodes)
    fleet.advance(1.0)
    for node in fleet.nodes:
        fleet.start(node)
    fleet.advance(3.0)
    assert all(node.revision == 7 for node in fleet.nodes)
    assert fleet.store.calls['list'] - before <= 30 + size // 4


@pytest.mark.parametrize('seed', range(5))
def test_parts_that_started_apart_find_each_other(create_fleet, seed):
    """All nodes know all others although early reads were stale."""
    fleet = create_fleet(40, seed=seed, stale_s=3.0)
    fleet.advance(30.0)
    assert {node.size for node in fleet.nodes} == {40}


def test_delegates_are_replaced(create_fleet):
    """A change is in force although all delegates have gone."""
    fleet = create_fleet(60)
    fleet.write_routes(1)
    fleet.advance(20.0)
    killed = [node for node in fleet.nodes if node.is_delegate()]
    assert len(killed) == _delegates_expected()
    fleet.kill(killed)
    fleet.advance(10.0)
    fleet.write_routes(2)
    fleet.advance(2.0)
    alive = [node for node in fleet.nodes if node.up]
    assert all(node.revision == 2 for node in alive)
    new = fleet.add_node()
    fleet.advance(3.0)
    assert new.revision == 2


def test_outage_costs_no_storm_and_ends_within_two_seconds(create_fleet):
    """Seeds that lapsed during an outage are registered again in time."""
    fleet = create_fleet(200)
    fleet.write_routes(1)
    fleet.advance(20.0)
    fleet.store.down = True
    before = fleet.store.calls.total()
    fleet.advance(15.0)
    # Each delegate retries its watch and its registration.
    assert fleet.store.calls.total() - before <= 80 * _delegates_expected()
    fleet.store._expire()
    fleet.store.down = False
    fleet.write_routes(2)
    fleet.advance(2.0)
    assert all(node.revision == 2 for node in fleet.nodes)
    assert len(fleet.run(fleet.store.list(seeds.SEEDS_PREFIX)).unwrap().items)


def test_node_that_starts_during_an_outage_joins_after_it(create_fleet):
    """A new node without the store serves as soon as the store is back."""
    fleet = create_fleet(14)
    fleet.write_routes(1)
    fleet.advance(20.0)
    fleet.store.down = True
    new = fleet.add_node()
    fleet.advance(5.0)
    fleet.store.down = False
    fleet.advance(3.0)
    assert new.revision == 1


def _start_fleet(create_fleet, size, seed, stale_s=0.0):
    fleet = create_fleet(size, seed=seed, stale_s=stale_s)
    fleet.write_routes(1)
    fleet.advance(20.0 + seed)
    return fleet


@pytest.mark.parametrize('stale_s', [0.0, 5.0])
@pytest.mark.parametrize('outage_s', [0.5, 2.0, 5.0])
@pytest.mark.parametrize('size', [3, 14, 28, 200])
def test_watch_waited_for_an_answer_that_an_outage_had_lost(
    create_fleet, size, outage_s, stale_s
):
    """A change right after a silent store is in force in time.

    The reads that are cheap may return what the store held before.
    """
    fleet = _start_fleet(create_fleet, size, 1, stale_s)
    fleet.lose_answers()
    fleet.store.silent = True
    fleet.advance(outage_s)
    fleet.store.silent = False
    fleet.advance(1.0)
    fleet.write_routes(2)
    fleet.assert_in_force(2)


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('size', [1, 14, 28, 200])
def test_lost_answers_of_all_watches_went_unnoticed(create_fleet, size, seed):
    """A delegate compares the store's revision with its watch's."""
    fleet = _start_fleet(create_fleet, size, seed)
    fleet.lose_answers()
    fleet.write_routes(2)
    fleet.assert_in_force(2)


@pytest.mark.parametrize('trouble', ['refused', 'cut'])
@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('size', [14, 28, 200])
def test_delegates_without_the_store_stayed_in_office(
    create_fleet, size, seed, trouble
):
    """Other nodes watch while the store answers no delegate."""
    fleet = _start_fleet(create_fleet, size, seed)
    without = getattr(fleet.store, trouble)
    without |= fleet.delegates()
    without |= {f'n{index}' for index in range(0, size, 6)}
    fleet.write_routes(2)
    fleet.assert_in_force(2)
    fleet.advance(6.0)
    fleet.write_routes(3)
    fleet.assert_in_force(3)
    without.clear()
    fleet.advance(10.0)
    # The substitutes have stopped watching.
    assert all(node.watch_rank() == 0 for node in fleet.watchers())
    assert all(node.has_store_contact for node in fleet.nodes)


@pytest.mark.parametrize('trouble', ['refused', 'cut'])
@pytest.mark.parametrize('seed', range(3))
def test_node_that_is_no_delegate_reads_in_place_of_all(
    create_fleet, seed, trouble
):
    """A change is in force although the store answers no first rank.

    The other nodes know that these try in vain.
    """
    fleet = _start_fleet(create_fleet, 200, seed)
    for domain in range(DOMAINS):
        ranked = fleet.nodes[0].group.ranked(f'd{domain}')
        first = ranked[: watch_timing.FIRST_TIER_END]
        without = getattr(fleet.store, trouble)
        without |= {node.node_id for node in first}
    fleet.write_routes(2)
    before = fleet.store.calls['list']
    fleet.assert_in_force(2)
    fleet.advance(13.0)
    assert fleet.store.calls['list'] - before <= 28


@pytest.mark.parametrize('seed', range(3))
def test_outage_of_the_whole_store_tries_few_nodes(create_fleet, seed):
    """The calls of an outage depend on the failure domains alone."""
    fleet = _start_fleet(create_fleet, 200, seed)
    fleet.store.silent = True
    before = fleet.store.attempts
    fleet.advance(20.0)
    assert fleet.store.attempts - before <= 20 * 6 * DOMAINS
    # Each record of a lost contact spreads to the whole fleet.
    without = [node for node in fleet.nodes if not node.has_store_contact]
    assert len(without) <= DOMAINS * watch_timing.FIRST_TIER_END
    fleet.store.silent = False
    fleet.advance(1.0)
    fleet.write_routes(2)
    fleet.assert_in_force(2)


@pytest.mark.parametrize('gap_s', [0.1, 0.3, 0.6])
@pytest.mark.parametrize('size', [3, 14, 200])
def test_second_of_two_changes_waited_for_the_pause(create_fleet, size, gap_s):
    """A change within the pause after another one is in force in time."""
    fleet = _start_fleet(create_fleet, size, 1)
    fleet.write_routes(2)
    fleet.advance(gap_s)
    fleet.write_routes(3)
    fleet.assert_in_force(3)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('size', [15, 28, 72, 200])
def test_change_was_late_when_all_watchers_vanished(create_fleet, size, seed):
    """The other nodes know a change although no watcher is left."""
    fleet = _start_fleet(create_fleet, size, seed)
    fleet.silence(
        [node for node in fleet.nodes if node.node_id in fleet.delegates()]
    )
    fleet.advance(0.2)
    fleet.write_routes(2)
    fleet.assert_in_force(2)


@pytest.mark.parametrize('first', [2, 8, 32])
@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('size', [15, 28, 72, 200])
def test_change_was_late_when_the_first_ranks_vanished(
    create_fleet, size, seed, first
):
    """Nodes of any rank watch once all those before them are gone."""
    fleet = _start_fleet(create_fleet, size, seed)
    fleet.silence(
        [
            node
            for node in fleet.nodes
            if node.watch_rank() < first and node is not fleet.nodes[0]
        ]
    )
    fleet.write_routes(2)
    fleet.assert_in_force(2)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('size', [15, 28, 72])
def test_change_was_late_when_one_domain_was_cut_as_well(
    create_fleet, size, seed
):
    """The watchers of most domains are gone, those of one have no peers."""
    fleet = _start_fleet(create_fleet, size, seed)
    watching = [node for node in fleet.nodes if node.watch_rank() < 2]
    fleet.silence([node for node in watching if node.domain != 'd0'])
    for node in watching:
        node.is_isolated = node.domain == 'd0'
    fleet.advance(0.2)
    fleet.write_routes(2)
    fleet.assert_in_force(2)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('size', [28, 72])
def test_change_was_late_while_watchers_vanished_in_turn(
    create_fleet, size, seed
):
    """Whoever watches vanishes each second, and a change follows."""
    fleet = _start_fleet(create_fleet, size, seed)
    for revision in (2, 3, 4):
        fleet.silence(fleet.watchers())
        fleet.advance(0.2)
        fleet.write_routes(revision)
        fleet.advance(0.8)
    fleet.advance(APPLY_S - 0.8)
    alive = [node for node in fleet.nodes if node.up]
    assert alive
    assert all(node.revision == 4 for node in alive)


def test_slow_watcher_did_not_let_the_next_one_take_over(create_fleet):
    """A watcher whose calls take long does not make others stop and start."""
    fleet = _start_fleet(create_fleet, 28, 1)
    first = next(
        node
        for node in fleet.nodes
        if node.domain == 'd0' and node.watch_rank() == 0
    )
    second = next(
        node
        for node in fleet.nodes
        if node.domain == 'd0' and node.watch_rank() == 1
    )
    fleet.store.slow_s[first.node_id] = 0.7
    fleet.advance(5.0)
    before = fleet.store.calls['list']
    fleet.advance(10.0)
    assert second in fleet.watchers()
    assert fleet.store.calls['list'] == before


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('size', [3, 14, 28, 200])
def test_lost_answers_of_polls_were_hidden_by_stale_reads(
    create_fleet, size, seed
):
    """All polls have lost their answers; cheap reads are five seconds old.

    Nodes are in touch again 3 s after the last answer was lost.
    """
    fleet = _start_fleet(create_fleet, size, seed, stale_s=5.0)
    fleet.lose_poll_answers()
    fleet.write_routes(2)
    fleet.advance(3.0)
    fleet.write_routes(3)
    fleet.assert_in_force(3)


def test_malformed_seeds_are_ignored(create_fleet):
    """Values that are no addresses must not stop a node from joining."""
    fleet = create_fleet(3)
    for index, value in enumerate((b'\xff\xfe', b'', b'host:', b'nowhere')):
        fleet.run(fleet.store.write(f'{seeds.SEEDS_PREFIX}x{index}', value))
    fleet.write_routes(1)
    fleet.advance(10.0)
    assert {node.size for node in fleet.nodes} == {3}
    assert {node.revision for node in fleet.nodes} == {1}


def test_seed_of_the_own_domain_comes_first():
    """A node joins through its own domain, and then through any other."""
    local = seeds.LocalNode('n', 'a', 'h:1')
    found = [
        seeds.Seed('a', 'h:1'),
        seeds.Seed('a', 'h:2'),
        seeds.Seed('b', 'h:3'),
    ]
    generator = random.Random(1)
    assert seeds.choose(found, local, generator, True) == ['h:2']
    chosen = {
        seeds.choose(found, local, generator, False)[0] for _ in range(50)
    }
    assert chosen == {'h:2', 'h:3'}
    assert seeds.choose(found[2:], local, generator, True) == ['h:3']
    assert seeds.choose(found[:1], local, generator, True) == []
