"""Seeds in the store, through which nodes find the fleet."""

from __future__ import annotations

import dataclasses
import random
import typing

from returns import result

from jasminebeam import inputs
from jasminebeam.store import store
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.model import upstreams
    from jasminebeam.store import availability

SEEDS_PREFIX = 'jasminebeam/seeds/'


@dataclasses.dataclass(frozen=True, slots=True)
class Seed:
    """A node that new nodes contact to join.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the node; empty if the key does not name it.
    address : str
        Peer address of the node.
    """

    failure_domain: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class LocalNode:
    """What the registration tells about the local node."""

    node_id: str
    failure_domain: str
    address: str


def local_node(member: upstreams.Member) -> LocalNode:
    """Return what the registration tells about a member."""
    return LocalNode(member.node_id, member.failure_domain, member.address)


def choose(
    seeds: typing.Iterable[Seed],
    local: LocalNode,
    generator: random.Random,
    prefers_local: bool,
) -> list[str]:
    """Return the address of the seed through which a node joins, if any.

    A seed sends its whole table, and traffic between domains is expensive.

    Parameters
    ----------
    seeds : iterable of Seed
        Seeds in the store.
    local : LocalNode
        Node that joins.
    generator : random.Random
        Source of the choice.
    prefers_local : bool
        True for a seed of the node's own failure domain if there is one.
    """
    others = [seed for seed in seeds if seed.address != local.address]
    same_domain = [
        seed for seed in others if seed.failure_domain == local.failure_domain
    ]
    candidates = same_domain if prefers_local and same_domain else others
    return [generator.choice(candidates).address] if candidates else []


class SeedRegistry:
    """Lists the seeds in the store and registers the local node as one.

    Parameters
    ----------
    backend : Store
        Store of the platform.
    local : LocalNode
        Node to register.
    lease_s : int
        Time to live of the registration.
    availability_log : AvailabilityLog
        Receives the outcome of each call.
    log : EventLog
        Receives the malformed entries.
    """

    def __init__(
        self,
        backend: store.Store,
        local: LocalNode,
        lease_s: int,
        availability_log: availability.AvailabilityLog,
        log: events.EventLog,
    ) -> None:
        self._store = backend
        self._local = local
        self._lease_s = lease_s
        self._availability = availability_log
        self._log = log
        # Revisions of the store and of the seeds, as of the latest list.
        self.store_revision = 0
        self.revisions: tuple[int, ...] = ()
        # Keys and revisions of the malformed entries in that list.
        self._refused: set[tuple[str, int]] = set()

    async def list(self, allow_stale: bool) -> list[Seed] | None:
        """Return the seeds; None if the store is unavailable.

        Parameters
        ----------
        allow_stale : bool
            True for a cheap read. A stale list without seeds does not prove
            that there are none.
        """
        listing = await self._store.list(SEEDS_PREFIX, allow_stale)
        self._availability.record(listing)
        if not isinstance(listing, result.Success):
            return None
        items = listing.unwrap().items
        self.store_revision = listing.unwrap().revision
        self.revisions = tuple(item.revision for item in items)
        found = [_seed(item) for item in items]
        self._log_refused(
            item
            for item, seed in zip(items, found, strict=True)
            if seed is None
        )
        return [seed for seed in found if seed is not None]

    def _log_refused(self, items: typing.Iterable[store.KeyValue]) -> None:
        """Log each malformed entry once for each of its revisions."""
        refused = {(item.key, item.revision) for item in items}
        for key, revision in sorted(refused - self._refused):
            self._log.write(
                events.Event.SEED_REFUSED, key=key, revision=revision
            )
        self._refused = refused

    async def register(self) -> int:
        """Register as a seed; return the lease, or 0 on failure."""
        granted = await self._store.grant_lease(self._lease_s)
        self._availability.record(granted)
        lease_id = granted.value_or(0)
        if not lease_id:
            return 0
        # Each lease gets a separate key, because the key of an earlier lease
        # may still exist.
        local = self._local
        key = (
            f'{SEEDS_PREFIX}{local.failure_domain}/{local.node_id}/{lease_id}'
        )
        written = await self._store.compare_and_set(
            key, 0, local.address.encode(), lease_id
        )
        return lease_id if isinstance(written, result.Success) else 0

    async def renew(self, lease_id: int) -> bool:
        """Renew the registration; return False if it has expired."""
        renewed = await self._store.keep_alive(lease_id)
        self._availability.record(renewed)
        if isinstance(renewed, result.Success):
            return True
        return renewed.failure() is not store.StoreError.LEASE_EXPIRED


def _seed(item: store.KeyValue) -> Seed | None:
    """Return the seed of a key; None if the value is no address."""
    address = item.value.decode('ascii', 'replace')
    if not inputs.is_address(address):
        return None
    names = item.key.removeprefix(SEEDS_PREFIX).split('/')
    return Seed(names[0] if len(names) == 3 else '', address)
