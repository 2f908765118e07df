"""Interface of the key-value store of the platform."""

from __future__ import annotations

import dataclasses
import enum
import typing

from returns import result


class StoreError(enum.Enum):
    """Reason why a call failed."""

    UNAVAILABLE = 'unavailable'
    CONFLICT = 'conflict'
    LEASE_EXPIRED = 'lease_expired'


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """A key, its value and the revision of its last write.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        The value; empty after a deletion.
    revision : int
        Revision of the last write, or of the deletion.
    deleted : bool
        True if the key was deleted; only watches yield such items.
    more : bool
        True if a watch yields further changes of the same response. Only
        the last one completes the state at its revision.
    """

    key: str
    value: bytes
    revision: int
    deleted: bool = False
    more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Keys with a common prefix at one revision of the store."""

    revision: int
    items: tuple[KeyValue, ...]


StoreResult = result.Result


class Store(typing.Protocol):
    """Key-value store with compare-and-swap, leases and watches.

    Every call fails with `StoreError.UNAVAILABLE` if the store does not
    respond in time. A write that fails this way may still have taken effect.
    """

    async def get(
        self, key: str
    ) -> result.Result[KeyValue | None, StoreError]:
        """Return a key and its value, or None if it does not exist."""

    async def list(
        self, prefix: str, allow_stale: bool = False
    ) -> result.Result[Listing, StoreError]:
        """Return the keys that start with a prefix.

        Parameters
        ----------
        prefix : str
            Beginning of the keys.
        allow_stale : bool
            True for a cheaper read whose result may be seconds old.
        """

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
            New value; its size is at most one megabyte.
        lease_id : int
            Lease on whose end the key is deleted; 0 if there is none.

        Returns
        -------
        Result
            Revision of this write.
        """

    async def grant_lease(self, ttl_s: int) -> result.Result[int, StoreError]:
        """Create a lease and return its identifier."""

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[int, StoreError]:
        """Renew a lease and return its time to live in seconds."""

    async def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, StoreError]:
        """End a lease and delete its keys."""

    def watch(
        self, prefix: str, from_revision: int
    ) -> typing.AsyncIterator[KeyValue]:
        """Yield changes of keys with a prefix, starting at a revision.

        Changes are in the order of their revisions, and include deletions.
        One may be left out if the key has been changed again. The iterator
        ends when the connection is lost.
        """


def mark_last(items: typing.Sequence[KeyValue]) -> list[KeyValue]:
    """Return the changes of one response, all but the last with ``more``.

    Examples
    --------
    >>> changes = mark_last([KeyValue('a', b'', 1), KeyValue('b', b'', 2)])
    >>> [item.more for item in changes]
    [True, False]
    """
    marked = [dataclasses.replace(item, more=True) for item in items[:-1]]
    return [*marked, *items[-1:]]
