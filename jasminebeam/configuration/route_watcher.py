"""Watches the operators' route set in the store and registers as a seed."""

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

# A change is to be in force within seconds of the store's return, so the
# longest pause between two tries stays well below one.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8

# Peers that a new node asks; each knows all others after some seconds.
JOIN_SEEDS = 5
NOT_CHOSEN_POLL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """What is watched and registered.

    Parameters
    ----------
    key : str
        Key that holds the route set.
    node_id : str
        Name of this node and of this start of it.
    address : str
        Peer address that is registered.
    lease_s : int
        Time to live of the registration.
    """

    key: str
    node_id: str
    address: str
    lease_s: int


class Membership(typing.Protocol):
    """What the watcher tells and asks of the membership."""

    def join(self, seeds: typing.Sequence[str]) -> None:
        """Ask these peers for their tables."""

    @property
    def alone(self) -> bool:
        """True while no other member is known."""


Decode = typing.Callable[[bytes], 'result.Result[routes.RouteSet, str]']


class RouteWatcher:
    """Reads route sets from the store and keeps a seed in it.

    Parameters
    ----------
    backend : Store
        The platform's store.
    options : Options
        What is watched and registered.
    decode : callable
        Returns the route set of a value, or why it is refused.
    is_chosen : callable
        Tells whether this node is one of its domain's watchers.
    on_routes : callable
        Receives each checked route set.
    members : Membership
        Receives the seeds.
    generator : random.Random
        Source of jitter.
    log : EventLog
        Receives refusals and outages.
    """

    def __init__(
        self,
        backend: store.Store,
        options: Options,
        decode: Decode,
        is_chosen: typing.Callable[[], bool],
        on_routes: typing.Callable[[routes.RouteSet], None],
        members: Membership,
        generator: random.Random,
        log: events.EventLog,
    ) -> None:
        self._store = backend
        self._options = options
        self._decode = decode
        self._is_chosen = is_chosen
        self._on_routes = on_routes
        self._members = members
        self._generator = generator
        self._log = log
        self._availability = availability.Availability(log)
        self._delay_s = RETRY_MIN_S

    async def watch(self) -> None:
        """Read the key and follow its changes, while chosen."""
        while True:
            if not self._is_chosen():
                await asyncio.sleep(NOT_CHOSEN_POLL_S)
                continue
            listing = await self._store.list(self._options.key)
            self._availability.note(listing)
            if not isinstance(listing, result.Success):
                await self._pause()
                continue
            self._delay_s = RETRY_MIN_S
            found = listing.unwrap()
            for item in found.items:
                self._apply(item)
            async for item in self._store.watch(
                self._options.key, found.revision + 1
            ):
                self._apply(item)
            await self._pause()

    async def maintain_seed_registration(self) -> None:
        """Join by the seeds and stay registered as one, while chosen."""
        while True:
            lease_id = 0
            if self._is_chosen():
                lease_id = await self._register()
            await self._join()
            if lease_id:
                await self._keep_alive(lease_id)
            await asyncio.sleep(
                NOT_CHOSEN_POLL_S * (0.5 + self._generator.random())
            )

    async def _register(self) -> int:
        """Return the lease of the registration; 0 if there is none."""
        granted = await self._store.grant_lease(self._options.lease_s)
        lease_id = granted.value_or(0)
        if not lease_id:
            return 0
        # A name of its own for each lease: a former entry may still stand.
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
            sorted(addresses), min(JOIN_SEEDS, len(addresses))
        )
        self._members.join(chosen)

    async def _keep_alive(self, lease_id: int) -> None:
        while True:
            interval_s = self._options.lease_s / 3
            if self._members.alone:
                interval_s = NOT_CHOSEN_POLL_S
            await asyncio.sleep(interval_s)
            if self._members.alone:
                await self._join()
            kept = await self._store.keep_alive(lease_id)
            if isinstance(kept, result.Success):
                continue
            if kept.failure() is store.StoreError.LEASE_EXPIRED:
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

    async def _pause(self) -> None:
        await asyncio.sleep(self._delay_s * (0.5 + self._generator.random()))
        self._delay_s = min(RETRY_MAX_S, self._delay_s * 2)
