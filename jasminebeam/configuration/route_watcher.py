"""Watch of the route set in the store by a few delegates of the fleet."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

from returns import result

from jasminebeam.configuration import routes as routes_module
from jasminebeam.configuration import seeds
from jasminebeam.store import availability
from jasminebeam.store import store
from jasminebeam import supervision
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.model import routes

# A change must be in force within seconds after the store is available
# again, so the maximum back-off stays well below one second.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8

POLL_INTERVAL_S = 1.0

# When a whole fleet starts, no seed is registered. The nodes wait for a
# random part of this time, so that the first ones register and the others
# join through them.
START_SPREAD_S = 2.0

# Pause between a change and the next poll. In a series of changes, one poll
# then returns several of them.
WATCH_PAUSE_S = 0.8

# Joins without an answer after which a node assumes that the registered
# seeds are gone, and registers itself.
MAX_UNANSWERED_JOINS = 3

# While members join, a node that knows only a part of its domain may take
# itself for a delegate. It becomes one only after this many polls in a row.
POLLS_BEFORE_DELEGATE = 3

# A delegate lists the seeds once in this many renewals, so that two parts of
# a fleet that started apart find each other.
RENEWALS_PER_LISTING = 3

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


Decode = typing.Callable[[bytes], 'result.Result[routes.RouteSet, str]']


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
    is_candidate : callable
        Returns whether this node is one of the delegates of its failure
        domain, as far as its members are known.
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
        decode: Decode,
        is_candidate: typing.Callable[[], bool],
        on_routes: typing.Callable[[routes.RouteSet], None],
        has_routes: typing.Callable[[], bool],
        members: Membership,
        generator: random.Random,
        log: events.EventLog,
    ) -> None:
        self._store = backend
        self._options = options
        self._decode = decode
        self._is_candidate = is_candidate
        self._on_routes = on_routes
        self._has_routes = has_routes
        self._members = members
        self._generator = generator
        self._log = log
        self._availability = availability.AvailabilityLog(log)
        self._seeds = seeds.SeedRegistry(
            backend, options.local, options.lease_s, self._availability
        )
        self._polls_as_candidate = 0
        self._joins = 0
        self._found_seeds = False

    async def run(self) -> None:
        """Join the fleet; act as a delegate whenever this node is one."""
        if not await self._contact_seeds(allow_stale=True):
            spread_s = START_SPREAD_S * self._generator.random()
            await asyncio.sleep(spread_s)
        while True:
            if self._members.has_no_peers:
                is_delegate = await self._join()
            else:
                is_delegate = self._is_settled_candidate()
            if is_delegate:
                await self._serve_as_delegate()
            await asyncio.sleep(POLL_INTERVAL_S * self._jitter())

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
                await self._read_routes()
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

    def _is_settled_candidate(self) -> bool:
        self._joins = 0
        if not self._is_candidate():
            self._polls_as_candidate = 0
            return False
        self._polls_as_candidate += 1
        return self._polls_as_candidate >= POLLS_BEFORE_DELEGATE

    async def _serve_as_delegate(self) -> None:
        watching = asyncio.create_task(
            supervision.supervise(self._watch, self._log)
        )
        self._log.write(events.Event.RELAY_ACQUIRED)
        try:
            await self._hold_registration()
        finally:
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)
            self._log.write(events.Event.RELAY_LOST)

    async def _hold_registration(self) -> None:
        """Stay registered until other nodes are the delegates.

        The registration is not revoked: it ends with its lease, and until
        then the node answers as a seed.
        """
        lease_id = 0
        renewals = 0
        while self._members.has_no_peers or self._is_candidate():
            if not lease_id:
                lease_id = await self._seeds.register()
            elif not await self._seeds.renew(lease_id):
                lease_id = 0
                continue
            renewals += 1
            if self._members.has_no_peers:
                await self._join()
            elif renewals % RENEWALS_PER_LISTING == 1:
                await self._contact_seeds(allow_stale=True)
            await asyncio.sleep(self._renewal_interval_s(lease_id))
        self._polls_as_candidate = 0

    def _renewal_interval_s(self, lease_id: int) -> float:
        if not lease_id or self._members.has_no_peers:
            return POLL_INTERVAL_S * self._jitter()
        return self._options.lease_s / 3

    async def _watch(self) -> None:
        """Read the key and watch its changes."""
        delay_s = RETRY_MIN_S
        while True:
            revision = await self._read_routes()
            if revision:
                delay_s = RETRY_MIN_S
                async for item in self._store.watch(
                    self._options.key, revision + 1
                ):
                    self._apply(item)
                    await asyncio.sleep(WATCH_PAUSE_S * self._jitter())
            await asyncio.sleep(delay_s * self._jitter())
            delay_s = min(RETRY_MAX_S, delay_s * 2)

    async def _read_routes(self) -> int:
        """Apply the routes in the store; return the store's revision.

        The result is 0 if the store is unavailable.
        """
        listing = await self._store.list(self._options.key)
        self._availability.record(listing)
        if not isinstance(listing, result.Success):
            return 0
        found = listing.unwrap()
        for item in found.items:
            self._apply(item)
        return found.revision

    def _apply(self, item: store.KeyValue) -> None:
        if item.key != self._options.key:
            return
        decoded = self._decode(item.value)
        problem = ''
        if isinstance(decoded, result.Success):
            found = decoded.unwrap()
            problem = routes_module.check(found)
        else:
            problem = decoded.failure()
        if problem:
            self._log.write(
                events.Event.CONFIG_REFUSED, key=item.key, cause=problem
            )
            return
        self._on_routes(found)

    def _jitter(self) -> float:
        return 0.5 + self._generator.random()
