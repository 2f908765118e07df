"""Watch of the route set in the store and registration as a seed."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

from returns import result

from jasminebeam.configuration import routes as routes_module
from jasminebeam.store import availability
from jasminebeam.store import store
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.model import routes

SEEDS_PREFIX = 'jasminebeam/seeds/'

# A change must be in force within seconds after the store is available
# again, so the maximum back-off stays well below one second.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8

# Number of seeds that a node contacts to join. Each seed knows all members
# after a few seconds.
MAX_JOIN_SEEDS = 5
POLL_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of the watch and the registration.

    Parameters
    ----------
    key : str
        Key that holds the route set.
    node_id : str
        Unique name of this node; part of the key of the registration.
    address : str
        Peer address to register.
    lease_s : int
        Time to live of the registration.
    """

    key: str
    node_id: str
    address: str
    lease_s: int


class Membership(typing.Protocol):
    """Part of the membership task that the route watcher uses."""

    def join(self, seeds: typing.Sequence[str]) -> None:
        """Add these peers to the seeds and request their tables."""

    @property
    def has_no_peers(self) -> bool:
        """True while no other member is known."""


Decode = typing.Callable[[bytes], 'result.Result[routes.RouteSet, str]']


class RouteWatcher:
    """Reads route sets from the store and registers this node as a seed.

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
        Returns whether this node is one of the nodes of its failure domain
        that watch the store and register as seeds.
    on_routes : callable
        Receives each valid route set.
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
        members: Membership,
        generator: random.Random,
        log: events.EventLog,
    ) -> None:
        self._store = backend
        self._options = options
        self._decode = decode
        self._is_candidate = is_candidate
        self._on_routes = on_routes
        self._members = members
        self._generator = generator
        self._log = log
        self._availability = availability.AvailabilityLog(log)
        self._delay_s = RETRY_MIN_S

    async def watch(self) -> None:
        """Read the key and watch its changes while the node is a candidate."""
        while True:
            if not self._is_candidate():
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            listing = await self._store.list(self._options.key)
            self._availability.record(listing)
            if not isinstance(listing, result.Success):
                await self._back_off()
                continue
            self._delay_s = RETRY_MIN_S
            found = listing.unwrap()
            for item in found.items:
                self._apply(item)
            async for item in self._store.watch(
                self._options.key, found.revision + 1
            ):
                self._apply(item)
            await self._back_off()

    async def maintain_seed_registration(self) -> None:
        """Join through the seeds; register as a seed while a candidate."""
        while True:
            lease_id = 0
            if self._is_candidate():
                lease_id = await self._register()
            await self._join()
            if lease_id:
                await self._keep_alive(lease_id)
            await asyncio.sleep(
                POLL_INTERVAL_S * (0.5 + self._generator.random())
            )

    async def _register(self) -> int:
        """Register as a seed; return the lease, or 0 on failure."""
        granted = await self._store.grant_lease(self._options.lease_s)
        lease_id = granted.value_or(0)
        if not lease_id:
            return 0
        # Each lease gets a separate key, because the key of an earlier lease
        # may still exist.
        key = f'{SEEDS_PREFIX}{self._options.node_id}/{lease_id}'
        written = await self._store.compare_and_set(
            key, 0, self._options.address.encode(), lease_id
        )
        if isinstance(written, result.Success):
            return lease_id
        return 0

    async def _join(self) -> None:
        listing = await self._store.list(SEEDS_PREFIX)
        if not isinstance(listing, result.Success):
            return
        addresses = {item.value.decode() for item in listing.unwrap().items}
        addresses.discard(self._options.address)
        chosen = self._generator.sample(
            sorted(addresses), min(MAX_JOIN_SEEDS, len(addresses))
        )
        self._members.join(chosen)

    async def _keep_alive(self, lease_id: int) -> None:
        while True:
            interval_s = self._options.lease_s / 3
            if self._members.has_no_peers:
                interval_s = POLL_INTERVAL_S
            await asyncio.sleep(interval_s)
            if self._members.has_no_peers:
                await self._join()
            renewed = await self._store.keep_alive(lease_id)
            if isinstance(renewed, result.Success):
                continue
            if renewed.failure() is store.StoreError.LEASE_EXPIRED:
                return

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

    async def _back_off(self) -> None:
        await asyncio.sleep(self._delay_s * (0.5 + self._generator.random()))
        self._delay_s = min(RETRY_MAX_S, self._delay_s * 2)
