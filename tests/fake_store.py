"""In-memory store with injected faults."""

from __future__ import annotations

import asyncio
import typing

from returns import result

from jasminebeam.store import store

UNAVAILABLE = result.Failure(store.StoreError.UNAVAILABLE)


class FakeStore:
    """Implements the `Store` interface with a dictionary.

    Attributes
    ----------
    down : bool
        True while every call fails as unavailable.
    lose_write_answers : int
        Number of following writes that take effect but fail as unavailable.
    before_write : callable or None
        Called once, before the next write, to simulate a concurrent one.
    """

    def __init__(self) -> None:
        self.items: dict[str, store.KeyValue] = {}
        self.leases: dict[int, set[str]] = {}
        self.down = False
        self.lose_write_answers = 0
        self.before_write: typing.Callable[[], None] | None = None
        self.revision = 0
        self.watchers: list[tuple[str, asyncio.Queue]] = []
        # Queues of watches whose connections have gone silent.
        self.silent_queues: list[asyncio.Queue] = []

    async def get(self, key):
        """Return a key and its value, or None if it does not exist."""
        if self.down:
            return UNAVAILABLE
        return result.Success(self.items.get(key))

    async def list(self, prefix, allow_stale=False):
        """Return the keys that start with a prefix."""
        if self.down:
            return UNAVAILABLE
        found = tuple(
            item for key, item in self.items.items() if key.startswith(prefix)
        )
        return result.Success(store.Listing(self.revision, found))

    async def compare_and_set(self, key, expected_revision, value, lease_id=0):
        """Write a key if its revision is the expected one."""
        if self.before_write is not None:
            concurrent_write, self.before_write = self.before_write, None
            concurrent_write()
        if self.down:
            return UNAVAILABLE
        stored = self.items.get(key)
        if (stored.revision if stored else 0) != expected_revision:
            return result.Failure(store.StoreError.CONFLICT)
        self.write(key, value)
        if lease_id:
            self.leases[lease_id].add(key)
        if self.lose_write_answers:
            self.lose_write_answers -= 1
            return UNAVAILABLE
        return result.Success(self.revision)

    def write(self, key, value):
        """Write a key unconditionally, as another client does."""
        self.revision += 1
        item = store.KeyValue(key, value, self.revision)
        self.items[key] = item
        for prefix, queue in self.watchers:
            if key.startswith(prefix) and queue not in self.silent_queues:
                queue.put_nowait(item)

    def silence_watches(self):
        """Let the connections of all current watches go silent for good."""
        self.silent_queues += [queue for _, queue in self.watchers]

    async def grant_lease(self, ttl_s):
        """Create a lease and return its identifier."""
        if self.down:
            return UNAVAILABLE
        lease_id = len(self.leases) + 1
        self.leases[lease_id] = set()
        return result.Success(lease_id)

    async def keep_alive(self, lease_id):
        """Renew a lease."""
        if self.down:
            return UNAVAILABLE
        if lease_id not in self.leases:
            return result.Failure(store.StoreError.LEASE_EXPIRED)
        return result.Success(10)

    async def revoke_lease(self, lease_id):
        """End a lease and delete its keys."""
        if self.down:
            return UNAVAILABLE
        self.expire(lease_id)
        return result.Success(None)

    def expire(self, lease_id):
        """End a lease without notifying its holder."""
        for key in self.leases.pop(lease_id, ()):
            self.items.pop(key, None)

    async def watch(self, prefix, from_revision):
        """Yield each write to keys with a prefix, starting at a revision."""
        queue: asyncio.Queue = asyncio.Queue()
        for item in self.items.values():
            if item.key.startswith(prefix) and item.revision >= from_revision:
                queue.put_nowait(item)
        entry = (prefix, queue)
        self.watchers.append(entry)
        try:
            while True:
                yield await queue.get()
        finally:
            self.watchers.remove(entry)
