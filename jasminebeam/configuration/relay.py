"""Relays: the few nodes of each failure domain that watch the store."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

from returns import result

from jasminebeam.configuration import changes
from jasminebeam.configuration import delegates
from jasminebeam.configuration import evacuation_key
from jasminebeam.configuration import team_key
from jasminebeam.routing import subset
from jasminebeam.store import availability
from jasminebeam.store import store
from jasminebeam import supervision
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.model import services
    from jasminebeam.model import upstreams

RELAYS_PREFIX = '/jasminebeam/relays/'
RETRY_MIN_S = 0.5
RETRY_MAX_S = 10.0


def candidates(
    local_member: upstreams.Member,
    members: typing.Iterable[upstreams.Member],
    relays_per_domain: int,
) -> list[str]:
    """Return the nodes of a domain that may acquire a relay lease.

    Only these nodes hold leases and watch the store, so that the number of
    these calls grows with the number of failure domains and not with the
    number of nodes.
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
        relays_per_domain * delegates.CANDIDATES_PER_RELAY,
    )


async def read_seeds(backend: store.Store) -> list[str]:
    """Return the peer addresses of all relays.

    The list is empty if the store is unavailable.
    """
    listing = await backend.list(RELAYS_PREFIX)
    if not isinstance(listing, result.Success):
        return []
    return [
        item.value.decode('ascii', 'replace')
        for item in listing.unwrap().items
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of the relay task.

    Parameters
    ----------
    failure_domain, address : str
        Failure domain and peer address of this node.
    relays_per_domain : int
        Number of relay leases of a failure domain.
    lease_s : int
        Time to live of a lease.
    """

    failure_domain: str
    address: str
    relays_per_domain: int
    lease_s: int


class Relay:
    """Holds a relay lease and forwards changes from the store.

    A relay that has not yet noticed the expiry of its lease is harmless: it
    forwards revisions, and nodes ignore a revision that is not newer than
    the one in force.

    Parameters
    ----------
    backend : Store
        Store of the platform.
    options : Options
        Failure domain, address and lease.
    is_candidate : callable
        Returns whether this node may acquire a lease.
    on_revision : callable
        Receives each revision.
    generator : random.Random
        Source of jitter.
    log : EventLog
        Receives acquired and lost leases, outages of the store and refused
        values.
    evacuations : KeyReader
        Receives what the store holds, for the evacuations.
    """

    def __init__(
        self,
        backend: store.Store,
        options: Options,
        is_candidate: typing.Callable[[], bool],
        on_revision: typing.Callable[[services.ServiceRevision], None],
        generator: random.Random,
        log: events.EventLog,
        evacuations: evacuation_key.KeyReader,
    ) -> None:
        self._evacuations = evacuations
        self._store = backend
        self._options = options
        self._is_candidate = is_candidate
        self._on_revision = on_revision
        self._generator = generator
        self._log = log
        self._availability = availability.AvailabilityLog(log)
        self._delay_s = RETRY_MIN_S
        # The store holds teams that this node has never been able to read.
        self._teams_unreadable = False
        self._has_teams = False

    async def run(self) -> None:
        """Acquire a lease, hold it until it is lost, and repeat."""
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
        """Read all services once; return False if the store is unavailable."""
        listing = await self._store.list(evacuation_key.OWN_PREFIX)
        self._availability.record(listing)
        if not isinstance(listing, result.Success):
            return False
        self._apply_listing(listing.unwrap())
        return True

    async def _acquire(self) -> int:
        """Acquire a free relay key; return its lease, or 0 on failure."""
        prefix = f'{RELAYS_PREFIX}{self._options.failure_domain}/'
        listing = await self._store.list(prefix)
        self._availability.record(listing)
        if not isinstance(listing, result.Success):
            return 0
        taken = {item.key for item in listing.unwrap().items}
        for index in range(self._options.relays_per_domain):
            key = f'{prefix}{index}'
            if key not in taken:
                return await self._acquire_key(key)
        return 0

    async def _acquire_key(self, key: str) -> int:
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
        watching = self._start_watch()
        try:
            while await self._keep_alive(lease_id):
                watching.cancel()
                watching = self._start_watch()
        finally:
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)
            await self._store.revoke_lease(lease_id)
            self._log.write(events.Event.RELAY_LOST, lease=lease_id)

    def _start_watch(self) -> asyncio.Task[None]:
        return asyncio.create_task(
            supervision.supervise(self._watch, self._log)
        )

    async def _keep_alive(self, lease_id: int) -> bool:
        """Renew the lease until it is lost, or until an outage has ended.

        Returns
        -------
        bool
            True after an outage: the watch may have become silent.
        """
        failures = 0
        while failures < 3:
            await asyncio.sleep(self._options.lease_s / 3)
            renewed = await self._store.keep_alive(lease_id)
            self._availability.record(renewed)
            if isinstance(renewed, result.Success):
                if failures:
                    return True
            elif renewed.failure() is store.StoreError.LEASE_EXPIRED:
                return False
            else:
                failures += 1
        return False

    async def _watch(self) -> None:
        while True:
            listing = await self._store.list(evacuation_key.OWN_PREFIX)
            self._availability.record(listing)
            if isinstance(listing, result.Success):
                found = listing.unwrap()
                self._apply_listing(found)
                async for item in self._store.watch(
                    evacuation_key.OWN_PREFIX, found.revision + 1
                ):
                    was_unreadable = self._teams_unreadable
                    self._evacuations.on_change(item)
                    self._apply(item)
                    if was_unreadable and not self._teams_unreadable:
                        # Services have been left out: list them again.
                        break
            await asyncio.sleep(RETRY_MIN_S * (0.5 + self._generator.random()))

    def _apply_listing(self, listing: store.Listing) -> None:
        # Evacuations and teams first: with services in force a node sends
        # requests.
        self._evacuations.on_listing(listing)
        for item in sorted(
            listing.items, key=lambda item: item.key != team_key.KEY
        ):
            self._apply(item)

    def _apply(self, item: store.KeyValue) -> None:
        if item.deleted:
            return
        if item.key == team_key.KEY:
            self._apply_teams(item)
        elif (
            item.key.startswith(changes.SERVICES_PREFIX)
            # Without the teams the node would serve requests without a key.
            and not self._teams_unreadable
        ):
            self._apply_value(item, changes.revision_of)

    def _apply_teams(self, item: store.KeyValue) -> None:
        applied = self._apply_value(item, team_key.revision_of)
        self._has_teams = self._has_teams or applied
        self._teams_unreadable = not self._has_teams

    def _apply_value(
        self,
        item: store.KeyValue,
        decode: typing.Callable[[store.KeyValue], services.ServiceRevision],
    ) -> bool:
        """Put a value in force; return False if it is malformed."""
        try:
            revision = decode(item)
        except (ValueError, IndexError, RecursionError) as error:
            self._log.write(
                events.Event.CONFIG_REFUSED, key=item.key, cause=error
            )
            return False
        self._on_revision(revision)
        return True
