"""Store that is never available, for nodes configured without one."""

from __future__ import annotations

import typing

from returns import result

from jasminebeam.store import store

_UNAVAILABLE = result.Failure(store.StoreError.UNAVAILABLE)


class NullStore:
    """Fails each call with `StoreError.UNAVAILABLE`."""

    async def close(self) -> None:
        """Do nothing, because there are no connections."""

    async def get(self, key: str) -> result.Result:
        """Fail, because there is no store."""
        return _UNAVAILABLE

    async def list(
        self, prefix: str, allow_stale: bool = False
    ) -> result.Result:
        """Fail, because there is no store."""
        return _UNAVAILABLE

    async def compare_and_set(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
    ) -> result.Result:
        """Fail, because there is no store."""
        return _UNAVAILABLE

    async def grant_lease(self, ttl_s: int) -> result.Result:
        """Fail, because there is no store."""
        return _UNAVAILABLE

    async def keep_alive(self, lease_id: int) -> result.Result:
        """Fail, because there is no store."""
        return _UNAVAILABLE

    async def revoke_lease(self, lease_id: int) -> result.Result:
        """Fail, because there is no store."""
        return _UNAVAILABLE

    async def watch(
        self, prefix: str, from_revision: int
    ) -> typing.AsyncIterator[store.KeyValue]:
        """Yield nothing, because there is no store."""
        for item in ():
            yield item
