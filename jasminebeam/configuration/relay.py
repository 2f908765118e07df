"""Relays: the few nodes of a failure domain that watch the store."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

import msgspec
from returns import result

from jasminebeam.configuration import changes
from jasminebeam.routing import subset
from jasminebeam.store import availability
from jasminebeam.store import store
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.model import services
    from jasminebeam.model import upstreams

RELAYS_PREFIX = '/jasminebeam/relays/'
CANDIDATES_PER_RELAY = 2
RETRY_MIN_S = 0.5
RETRY_MAX_S = 10.0


def candidates(
    local_member: upstreams.Member,
    members: typing.Iterable[upstreams.Member],
    relays_per_domain: int,
) -> list[str]:
    """Return the nodes of a domain that may ask for a relay lease.

    Only these call the store, so that its calls grow with the failure
    domains and not with the nodes.
    """
    active = [
        member.node_id
        for member in members
        if member.failure_domain == local_member.failure_domain
        and not member.status
    ]
    return subset.choose(
        local_member.failure_domain,
        active,
        relays_per_domain * CANDIDATES_PER_RELAY,
    )


async def read_seeds(backend: store.Store) -> list[str]:
    """Return the peer addresses of all relays; empty if unavailable."""
    listing = await backend.list(RELAYS_PREFIX)
    if not isinstance(listing, result.Success):
        return []
    return [item.value.decode() for item in listing.unwrap().items]


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of the relay task.

    Parameters
    ----------
    failure_domain, address : str
        Place and peer address of this node.
    relays_per_domain : int
        Leases of a failure domain.
    lease_s : int
        Time to live of a lease.
    """

    failure_domain: str
    address: str
    relays_per_domain: int
    lease_s: int


class Relay:
    """Holds a lease and passes the store's changes on.

    A relay whose lease has lapsed unnoticed does no harm: what it passes
    on are revisions, and these only rise.

    Parameters
    ----------
    backend : Store
        The platform's store.
    options : Options
        Place, address and lease.
    is_candidate : callable
        Tells whether this node may ask for a lease.
    on_revision : callable
        Receives each revision.
    generator : random.Random
        Source of jitter.
    log : EventLog
        Receives leases and outages.
    """

    def __init__(
        self,
        backend: store.Store,
        options: Options,
        is_candidate: typing.Callable[[], bool],
        on_revision: typing.Callable[[services.ServiceRevision], None],
        generator: random.Random,
        log: events.EventLog,
    ) -> None:
        self._store = backend
        self._options = options
        self._is_candidate = is_candidate
        self._on_revision = on_revision
        self._generator = generator
        self._log = log
        self._availability = availability.Availability(log)
        self._delay_s = RETRY_MIN_S

    async def run(self) -> None:
        """Ask for a lease, hold it while it lasts, and start again."""
        while True:
            held = False
            if self._is_candidate():
                lease_id = await self._acquire()
                if lease_id:
                    held = True
                    await self._hold(lease_id)
            self._delay_s = (
                RETRY_MIN_S if held else min(RETRY_MAX_S, self._delay_s * 2)
            )
            jitter = 0.5 + self._generator.random()
            await asyncio.sleep(self._delay_s * jitter)

    async def load_services(self) -> bool:
        """Read all services once; False if the store does not answer."""
        listing = await self._store.list(changes.SERVICES_PREFIX)
        self._availability.note(listing)
        if not isinstance(listing, result.Success):
            return False
        for item in listing.unwrap().items:
            self._apply(item)
        return True

    async def _acquire(self) -> int:
        """Return the lease of a free relay place; 0 if there is none."""
        prefix = f'{RELAYS_PREFIX}{self._options.failure_domain}/'
        listing = await self._store.list(prefix)
        self._availability.note(listing)
        if not isinstance(listing, result.Success):
            return 0
        taken = {item.key for item in listing.unwrap().items}
        for place in range(self._options.relays_per_domain):
            key = f'{prefix}{place}'
            if key not in taken:
                return await self._acquire_place(key)
        return 0

    async def _acquire_place(self, key: str) -> int:
        granted = await self._store.grant_lease(self._options.lease_s)
        lease_id = granted.value_or(0)
        if not lease_id:
            return 0
        written = await self._store.compare_and_set(
            key, 0, self._options.address.encode(), lease_id
        )
        if isinstance(written, result.Success):
            self._log.write(events.Event.RELAY_ACQUIRED, key=key)
            return lease_id
        await self._store.revoke_lease(lease_id)
        return 0

    async def _hold(self, lease_id: int) -> None:
        watching = asyncio.create_task(self._watch())
        try:
            await self._keep_alive(lease_id)
        finally:
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)
            await self._store.revoke_lease(lease_id)
            self._log.write(events.Event.RELAY_LOST, lease=lease_id)

    async def _keep_alive(self, lease_id: int) -> None:
        failures = 0
        while failures < 3:
            await asyncio.sleep(self._options.lease_s / 3)
            kept = await self._store.keep_alive(lease_id)
            self._availability.note(kept)
            if isinstance(kept, result.Success):
                failures = 0
            elif kept.failure() is store.StoreError.LEASE_EXPIRED:
                return
            else:
                failures += 1

    async def _watch(self) -> None:
        while True:
            listing = await self._store.list(changes.SERVICES_PREFIX)
            self._availability.note(listing)
            if isinstance(listing, result.Success):
                found = listing.unwrap()
                for item in found.items:
                    self._apply(item)
                async for item in self._store.watch(
                    changes.SERVICES_PREFIX, found.revision + 1
                ):
                    self._apply(item)
            await asyncio.sleep(RETRY_MIN_S * (0.5 + self._generator.random()))

    def _apply(self, item: store.KeyValue) -> None:
        try:
            revision = changes.revision_of(item)
        except (msgspec.DecodeError, IndexError) as error:
            self._log.write(
                events.Event.CONFIG_REFUSED, key=item.key, cause=error
            )
            return
        self._on_revision(revision)
