"""Watch of the route set in the store by a few delegates of the fleet."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

from jasminebeam.configuration import delegates
from jasminebeam.configuration import route_watch
from jasminebeam.configuration import seeds
from jasminebeam.store import availability
from jasminebeam.store import store
from jasminebeam import supervision
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.model import routes

POLL_INTERVAL_S = 1.0

# When a whole fleet starts, no seed is registered. The nodes wait for a
# random part of this time, so that the first ones register and the others
# join through them.
START_SPREAD_S = 2.0

# Joins without an answer after which a node assumes that the registered
# seeds are gone, and registers itself.
MAX_UNANSWERED_JOINS = 3

# While members join, a node that knows only a part of its domain may take
# itself for a delegate. It becomes one only after this many polls in a row.
POLLS_BEFORE_DELEGATE = 3

# Interval at which a delegate calls the store besides its watch, and the
# share of it by which an interval is varied. The calls of all delegates
# together then spread over time.
CHECK_INTERVAL_S = 2.0
CHECK_JITTER = 0.25

# Each third of these calls renews the lease; the others list the seeds.
CALLS_PER_RENEWAL = 3

# Successive answers after which a delegate has contact with the store again.
ANSWERS_BEFORE_CONTACT = 2

# Interval at which a node that has lost contact, and is no regular delegate,
# tests whether the store answers again.
CONTACT_TEST_INTERVAL_S = 4.0

# Reads per second of the fleet as a whole while its nodes have no routes.
# Each node reads with a probability that falls with the number of members.
FLEET_READS_PER_S = 8.0
READ_INTERVAL_S = 0.25

# Time without an answer of the store to any delegate after which other nodes
# read the routes, and the reads per second of the fleet from then on.
# Heartbeats spread an answer within a few seconds.
MAX_STORE_AGE_MS = 8_000
FLEET_BACKUP_READS_PER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of the watch and the registration.

    Parameters
    ----------
    key : str
        Key that holds the route set.
    local : LocalNode
        Node to register as a seed.
    lease_s : int
        Time to live of the registration.
    """

    key: str
    local: seeds.LocalNode
    lease_s: int


class Membership(typing.Protocol):
    """Part of the membership task that the route watcher uses."""

    def join(self, seeds: typing.Sequence[str]) -> None:
        """Add these peers to the seeds and request their tables."""

    @property
    def has_no_peers(self) -> bool:
        """True while no other member is known."""

    @property
    def size(self) -> int:
        """Number of known members, including the local node."""

    def knows(self, address: str) -> bool:
        """Return True if a member has this peer address."""

    def record_store_contact(self) -> None:
        """Record that the store has answered this node."""

    def store_age_ms(self) -> int:
        """Return the time since the store last answered the fleet, or -1."""

    @property
    def has_store_contact(self) -> bool:
        """Whether the store answers this node, as it has published."""

    def publish_contact(self, has_contact: bool) -> None:
        """Publish whether the store answers this node."""

    async def wait_for_delegates(self, timeout_s: float) -> None:
        """Wait until the delegates may have changed, or for a timeout."""


class RouteWatcher:
    """Reads route sets from the store and registers this node as a seed.

    Only a few delegates of each failure domain do both for as long as they
    run. The other nodes learn members and routes from their peers, so the
    number of calls does not grow with the fleet.

    Parameters
    ----------
    backend : Store
        Store of the platform.
    options : Options
        Watched key and registration.
    decode : callable
        Returns the route set that a value holds, or the reason why the
        value is invalid.
    duty : callable
        Returns the duty of this node for its failure domain, as far as the
        members of the domain are known.
    on_routes : callable
        Receives each valid route set.
    has_routes : callable
        Returns whether a route set is in force.
    members : Membership
        Joins through the seeds.
    generator : random.Random
        Source of jitter and of the choice of seeds.
    log : EventLog
        Receives refused values and outages of the store.
    """

    def __init__(
        self,
        backend: store.Store,
        options: Options,
        decode: route_watch.Decode,
        duty: typing.Callable[[], delegates.Duty],
        on_routes: typing.Callable[[routes.RouteSet], None],
        has_routes: typing.Callable[[], bool],
        members: Membership,
        generator: random.Random,
        log: events.EventLog,
    ) -> None:
        self._options = options
        self._duty = duty
        self._has_routes = has_routes
        self._members = members
        self._generator = generator
        self._log = log
        self._availability = availability.AvailabilityLog(
            log, self._on_availability, members.record_store_contact
        )
        self._seeds = seeds.SeedRegistry(
            backend, options.local, options.lease_s, self._availability, log
        )
        self._watch = route_watch.RouteWatch(
            backend,
            options.key,
            decode,
            on_routes,
            self._availability,
            generator,
            log,
        )
        self._polls_as_candidate = 0
        self._joins = 0
        self._found_seeds = False
        self._serving = False
        # Successive answers of the store to this node as a delegate.
        self._answers = 0
        self._next_test_s = 0.0

    async def run(self) -> None:
        """Join the fleet; act as a delegate whenever this node is one."""
        if not await self._contact_seeds(allow_stale=True):
            spread_s = START_SPREAD_S * self._generator.random()
            await asyncio.sleep(spread_s)
        while True:
            if self._members.has_no_peers:
                is_delegate = await self._join()
            else:
                is_delegate = self._is_settled_delegate()
            if is_delegate:
                await self._serve_as_delegate(self._duty())
            await self._members.wait_for_delegates(
                POLL_INTERVAL_S * self._jitter()
            )
            await self._test_contact()
            await self._read_without_delegates()

    async def read_missing_routes(self) -> None:
        """Read the routes once if no peer of a started fleet has them.

        Load pattern: all nodes restart at the same time. The first reader
        spreads the routes to the others. A node whose seeds do not answer
        yet reads once; while there are no seeds either, the fleet starts
        for the first time, and its delegates read.
        """
        may_read_alone = True
        while not self._has_routes():
            if self._members.has_no_peers:
                reads = may_read_alone and self._found_seeds
                may_read_alone = may_read_alone and not reads
            else:
                reads = self._generator.random() < self._read_probability()
            if reads:
                await self._watch.read()
            await asyncio.sleep(READ_INTERVAL_S * self._jitter())

    def _read_probability(self) -> float:
        return FLEET_READS_PER_S * READ_INTERVAL_S / self._members.size

    async def _join(self) -> bool:
        """Contact the seeds; return True if there are none that answer."""
        found = await self._contact_seeds(allow_stale=True)
        if not found:
            found = await self._contact_seeds(allow_stale=False)
        if found is None:
            return False
        self._joins += 1
        return not found or self._joins >= MAX_UNANSWERED_JOINS

    async def _contact_seeds(self, allow_stale: bool) -> int | None:
        """Join through seeds and return their number.

        The result is None if the store is unavailable.
        """
        found = await self._seeds.list(allow_stale)
        if found is None:
            return None
        unknown = [
            seed for seed in found if not self._members.knows(seed.address)
        ]
        # A seed that has not answered, or an unknown one after this node has
        # joined, may be in a domain that is cut off.
        prefers_local = not self._joins and self._members.has_no_peers
        chosen = seeds.choose(
            unknown, self._options.local, self._generator, prefers_local
        )
        self._found_seeds = self._found_seeds or bool(chosen)
        self._members.join(chosen)
        return len(chosen)

    def _is_settled_delegate(self) -> bool:
        self._joins = 0
        duty = self._duty()
        if duty is delegates.Duty.SUBSTITUTE:
            return True
        if duty is delegates.Duty.NONE:
            self._polls_as_candidate = 0
            return False
        self._polls_as_candidate += 1
        return self._polls_as_candidate >= POLLS_BEFORE_DELEGATE

    async def _serve_as_delegate(self, duty: delegates.Duty) -> None:
        watching = asyncio.create_task(
            supervision.supervise(self._watch.run, self._log)
        )
        self._log.write(events.Event.RELAY_ACQUIRED, duty=duty.value)
        self._serving = True
        try:
            await self._call_until_replaced()
        finally:
            self._serving = False
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)
            self._log.write(events.Event.RELAY_LOST)

    async def _call_until_replaced(self) -> None:
        """Call the store until other nodes are the delegates.

        A registration is not revoked: it ends with its lease, and until
        then the node answers as a seed.
        """
        lease_id = 0
        calls = 0
        while self._members.has_no_peers or (
            self._duty() is not delegates.Duty.NONE
        ):
            renews = calls % CALLS_PER_RENEWAL == 0
            if self._members.has_no_peers or self._is_regular():
                lease_id = await self._keep_registered(lease_id, renews)
            calls += 1
            if self._members.has_no_peers:
                await self._join()
            elif not (lease_id and renews):
                await self._contact_seeds(allow_stale=True)
            self._watch.compare(
                self._seeds.store_revision, self._seeds.revisions
            )
            self._publish_contact()
            await self._members.wait_for_delegates(
                self._call_interval_s(lease_id)
            )
        self._polls_as_candidate = 0

    async def _keep_registered(self, lease_id: int, renews: bool) -> int:
        """Register, or renew the lease if a renewal is due."""
        if lease_id and not renews:
            return lease_id
        if lease_id and await self._seeds.renew(lease_id):
            return lease_id
        return await self._seeds.register()

    def _call_interval_s(self, lease_id: int) -> float:
        if self._members.has_no_peers or (not lease_id and self._is_regular()):
            return POLL_INTERVAL_S * self._jitter()
        spread = CHECK_JITTER * (2 * self._generator.random() - 1)
        return CHECK_INTERVAL_S * (1 + spread)

    def _is_regular(self) -> bool:
        return self._duty() is delegates.Duty.REGULAR

    def _on_availability(self, available: bool) -> None:
        """Start the watch again after an outage, and report the outage."""
        if not self._serving:
            return
        if available:
            self._watch.give_up('store_available')
        else:
            self._watch.give_up('store_unavailable')
            self._publish_contact()

    def _publish_contact(self) -> None:
        """Publish a lost contact at once, and its return when it lasts."""
        if not self._availability.available:
            self._answers = 0
        else:
            self._answers += 1
        has_contact = self._answers > 0
        if has_contact == self._members.has_store_contact:
            return
        if not has_contact or self._answers >= ANSWERS_BEFORE_CONTACT:
            self._members.publish_contact(has_contact)

    async def _read_without_delegates(self) -> None:
        """Read the routes if no delegate seems to have contact.

        The fleet as a whole reads at a fixed rate. The first answer spreads
        to the other nodes.
        """
        if self._members.store_age_ms() < MAX_STORE_AGE_MS:
            return
        reads_per_s = FLEET_BACKUP_READS_PER_S / self._members.size
        if self._generator.random() < reads_per_s * POLL_INTERVAL_S:
            await self._watch.read()

    async def _test_contact(self) -> None:
        """Publish that the store answers a node that had lost contact."""
        now_s = asyncio.get_running_loop().time()
        if self._members.has_store_contact or now_s < self._next_test_s:
            return
        interval_s = CONTACT_TEST_INTERVAL_S * self._jitter()
        self._next_test_s = now_s + interval_s
        if await self._contact_seeds(allow_stale=True) is not None:
            self._members.publish_contact(True)

    def _jitter(self) -> float:
        return 0.5 + self._generator.random()
