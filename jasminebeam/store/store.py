"""Interface of the platform's key-value store."""

from __future__ import annotations

import dataclasses
import enum
import typing

from returns import result


class StoreError(enum.Enum):
    """Why a call has no result."""

    UNAVAILABLE = 'unavailable'
    CONFLICT = 'conflict'
    LEASE_EXPIRED = 'lease_expired'


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """One key with its value and the revision of its last write."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Keys under a prefix at one revision of the store."""

    revision: int
    items: tuple[KeyValue, ...]


StoreResult = result.Result


class Store(typing.Protocol):
    """Reads, compare-and-swap writes, leases and watches.

    Every call fails with `StoreError.UNAVAILABLE` if the store does not
    answer in time; a write may have taken effect nevertheless.
    """

    async def get(
        self, key: str
    ) -> result.Result[KeyValue | None, StoreError]:
        """Return a key, or None if it does not exist."""

    async def list(self, prefix: str) -> result.Result[Listing, StoreError]:
        """Return the keys under a prefix."""

    async def compare_and_set(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
    ) -> result.Result[int, StoreError]:
        """Write a key if its revision is the expected one.

        Parameters
        ----------
        key : str
            Key to write.
        expected_revision : int
            Revision of the last write; 0 if the key must not exist.
        value : bytes
            New value, at most a megabyte.
        lease_id : int
            Lease that the key ends with; 0 if none.

        Returns
        -------
        Result
            The new revision.
        """

    async def grant_lease(self, ttl_s: int) -> result.Result[int, StoreError]:
        """Return a new lease."""

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[int, StoreError]:
        """Prolong a lease and return its time to live in seconds."""

    async def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, StoreError]:
        """End a lease; its keys are deleted."""

    def watch(
        self, prefix: str, from_revision: int
    ) -> typing.AsyncIterator[KeyValue]:
        """Yield each write under a prefix, from a revision on.

        The iterator ends when the connection is lost.
        """
