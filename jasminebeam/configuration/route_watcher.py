"""Joins the fleet through the store, and registers a few delegates there."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

from jasminebeam.configuration import route_watch
from jasminebeam.configuration import seeds
from jasminebeam.configuration import watch_keeper
from jasminebeam.store import availability
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.model import routes
    from jasminebeam.store import store

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

# Renewals of a registration within its time to live.
RENEWALS_PER_LEASE = 1.6

# Reads per second of the fleet as a whole while its nodes have no routes.
# Each node reads with a probability that falls with the number of members.
FLEET_READS_PER_S = 8.0
READ_INTERVAL_S = 0.25


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
    delegates : int
        Number of delegates of a failure domain.
    """

    key: str
    local: seeds.LocalNode
    lease_s: int
    delegates: int = 2


class Membership(watch_keeper.Reporter, typing.Protocol):
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

    def watch_rank(self) -> int:
        """Return the position of this node among those of its domain."""

    async def wait_for_delegates(self, timeout_s: float) -> None:
        """Wait until the delegates may have changed, or for a timeout."""


class RouteWatcher:
    """Reads route sets from the store and registers this node as a seed.

    Only a few delegates of each failure domain register, and one node of it
    watches. The other nodes learn members and routes from their peers, so
    the number of calls does not grow with the fleet.

    Parameters
    ----------
    backend : Store
        Store of the platform.
    options : Options
        Watched key and registration.
    decode : callable
        Returns the route set that a value holds, or the reason why the
        value is invalid.
    on_routes : callable
        Receives each valid route set.
    has_routes : callable
        Returns whether a route set is in force.
    members : Membership
        Joins through the seeds, and reports the watch.
    clock : callable
        Returns the monotonic time in ms.
    generator : random.Random
        Source of jitter and of the choice of seeds.
    log : EventLog
        Receives refused values and outages of the store.
    evacuated : Evacuations or None
        Evacuations that are read by the same calls.
    """

    def __init__(
        self,
        backend: store.Store,
        options: Options,
        decode: route_watch.Decode,
        on_routes: typing.Callable[[routes.RouteSet], None],
        has_routes: typing.Callable[[], bool],
        members: Membership,
        clock: typing.Callable[[], float],
        generator: random.Random,
        log: events.EventLog,
        evacuated: route_watch.Evacuations | None = None,
    ) -> None:
        self._options = options
        self._on_routes = on_routes
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
            self._adopt_routes,
            self._availability,
            generator,
            log,
            evacuated,
        )
        self._keeper = watch_keeper.WatchKeeper(
            self._watch,
            self._call_store,
            self._watch_rank,
            members,
            clock,
            generator,
            log,
        )
        # Polls since this node knows peers, and those in a row in which it
        # was a delegate.
        self._settled_polls = 0
        self._polls_as_candidate = 0
        self._joins = 0
        self._found_seeds = False
        self._is_registered = False
        self._store_returned = asyncio.Event()

    @property
    def is_watching(self) -> bool:
        """True while this node watches the store."""
        return self._keeper.is_watching

    async def run(self) -> None:
        """Join the fleet; register whenever this node is a delegate."""
        if not await self._contact_seeds(allow_stale=True):
            spread_s = START_SPREAD_S * self._generator.random()
            await asyncio.sleep(spread_s)
        while True:
            if self._members.has_no_peers:
                is_delegate = await self._join()
            else:
                is_delegate = self._is_settled_delegate()
            if is_delegate:
                await self._serve_as_delegate()
            await self._members.wait_for_delegates(
                POLL_INTERVAL_S * self._jitter()
            )

    async def keep_watch(self) -> None:
        """Watch the routes whenever no other node of the domain does."""
        await self._keeper.run()

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
        self._settled_polls += 1
        self._polls_as_candidate += 1
        if not self._is_delegate():
            self._polls_as_candidate = 0
        return self._polls_as_candidate >= POLLS_BEFORE_DELEGATE

    @property
    def _is_settled(self) -> bool:
        return self._settled_polls >= POLLS_BEFORE_DELEGATE

    def _is_delegate(self) -> bool:
        return self._members.watch_rank() < self._options.delegates

    def _watch_rank(self) -> int | None:
        """Return the rank of this node; None while it may not watch."""
        if self._members.has_no_peers:
            return 0 if self._is_registered else None
        if self._is_registered or self._is_settled:
            return self._members.watch_rank()
        return None

    async def _serve_as_delegate(self) -> None:
        self._log.write(events.Event.RELAY_ACQUIRED)
        self._is_registered = True
        self._keeper.wake()
        try:
            await self._register_until_replaced()
        finally:
            self._is_registered = False
            self._log.write(events.Event.RELAY_LOST)

    async def _register_until_replaced(self) -> None:
        """Keep this node registered until other nodes are the delegates.

        A registration is not revoked: it ends with its lease, and until
        then the node answers as a seed.
        """
        lease_id = 0
        while self._members.has_no_peers or self._is_delegate():
            if not lease_id or not await self._seeds.renew(lease_id):
                lease_id = await self._seeds.register()
            await self._wait_for_renewal(lease_id)
        self._polls_as_candidate = 0

    async def _wait_for_renewal(self, lease_id: int) -> None:
        """Wait until a renewal is due, the store returns or a node is lost."""
        loop = asyncio.get_running_loop()
        interval_s = POLL_INTERVAL_S * self._jitter()
        if lease_id:
            interval_s = self._options.lease_s / RENEWALS_PER_LEASE
        ends_s = loop.time() + interval_s
        self._store_returned.clear()
        while not self._store_returned.is_set() and loop.time() < ends_s:
            if self._members.has_no_peers:
                await self._join()
            elif not self._is_delegate():
                return
            left_s = ends_s - loop.time()
            await self._members.wait_for_delegates(
                min(left_s, POLL_INTERVAL_S * self._jitter())
            )

    async def _call_store(self) -> bool:
        """Read the seeds; return whether the store has answered."""
        if await self._contact_seeds(allow_stale=True) is None:
            return False
        self._watch.compare(self._seeds.store_revision, self._seeds.revisions)
        return True

    def _adopt_routes(self, found: routes.RouteSet) -> None:
        self._on_routes(found)
        self._keeper.on_routes()

    def _on_availability(self, available: bool) -> None:
        """Start the watch again after an outage."""
        if available:
            self._store_returned.set()
            self._watch.give_up('store_available')
        else:
            self._watch.give_up('store_unavailable')

    def _jitter(self) -> float:
        return 0.5 + self._generator.random()
