"""Client of the platform's key-value store; implements `Store`."""

from __future__ import annotations

import asyncio
import base64
import typing

import aiohttp
import msgspec
from returns import result

from jasminebeam import http_client
from jasminebeam import inputs
from jasminebeam.store import store

if typing.TYPE_CHECKING:
    from jasminebeam.telemetry import metrics

# A watch is a long poll. The platform limits the wait of one poll to 30 s.
WATCH_WAIT_MS = 25_000
# Time beyond the wait within which the store must answer a poll.
WATCH_SLACK_S = 2.0

# A page of a listing holds about 1 MB, or one value of 1 MiB in Base64.
MAX_BODY_BYTES = 4 * 1024 * 1024

_OK = 200
_NOT_FOUND = 404
_PRECONDITION_FAILED = 412

_UNAVAILABLE = result.Failure(store.StoreError.UNAVAILABLE)


class _Item(msgspec.Struct, frozen=True):
    key: str
    # Revision of the last write of the key.
    revision: int
    # Encoded in Base64.
    value: str = ''
    deleted: bool = False


class _Page(msgspec.Struct, frozen=True, rename='camel'):
    items: tuple[_Item, ...]
    # Revision of the store.
    current_rev: int
    truncated: bool = False


class _Events(msgspec.Struct, frozen=True, rename='camel'):
    events: tuple[_Item, ...]
    current_rev: int


class _WriteResult(msgspec.Struct, frozen=True):
    revision: int


class _Lease(msgspec.Struct, frozen=True, rename='camel'):
    ttl_ms: int
    # Identifier of the lease.
    lease: int = 0


class PlatformStore:
    """Calls the store over HTTP.

    Parameters
    ----------
    address : str
        ``host:port`` of the store.
    timeout_ms : int
        Timeout of one call, except for the long polls of a watch.
    counters : Metrics
        Counts calls by kind and result.
    """

    def __init__(
        self, address: str, timeout_ms: int, counters: metrics.Metrics
    ) -> None:
        self._base = f'http://{address}/v1/'
        self._timeout_s = timeout_ms / 1_000
        self._counters = counters
        self._session = http_client.create_session(
            http_client.Connector(
                MAX_BODY_BYTES, socket_options=http_client.KEEP_ALIVE
            ),
            aiohttp.ClientTimeout(total=None),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def get(
        self, key: str
    ) -> result.Result[store.KeyValue | None, store.StoreError]:
        """Return a key, or None if it does not exist."""
        answer = await self._call('GET', 'kv-key', {'key': key})
        if answer is None:
            return _UNAVAILABLE
        status, body = answer
        if status == _NOT_FOUND:
            return result.Success(None)
        item = self._decode(body, _Item).value_or(None)
        if item is None:
            return _UNAVAILABLE
        return result.Success(next(self._key_values([item]), None))

    async def list(
        self, prefix: str, allow_stale: bool = False
    ) -> result.Result[store.Listing, store.StoreError]:
        """Return the keys under a prefix, read page by page."""
        found: list[store.KeyValue] = []
        revision = 0
        after = ''
        while True:
            query = {'prefix': prefix}
            if allow_stale:
                query['allowStale'] = '1'
            if after:
                query['after'] = after
            answer = await self._call('GET', 'kv-range', query)
            if answer is None or answer[0] != _OK:
                return _UNAVAILABLE
            page = self._decode(answer[1], _Page).value_or(None)
            if page is None:
                return _UNAVAILABLE
            # The pages are not one snapshot: keys may change between them.
            # A watch must start at the revision of the first page.
            revision = revision or page.current_rev
            found.extend(self._key_values(page.items))
            if not page.truncated or not page.items:
                return result.Success(store.Listing(revision, tuple(found)))
            after = page.items[-1].key

    async def compare_and_set(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
    ) -> result.Result[int, store.StoreError]:
        """Write a key if its revision is the expected one."""
        put: dict[str, typing.Any] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
        }
        if lease_id:
            put['lease'] = lease_id
        body = {
            'expectedRev': [{'key': key, 'revision': expected_revision}],
            'puts': [put],
            'deletes': [],
        }
        answer = await self._call('POST', 'kv-txn', body=body)
        if answer is None:
            return _UNAVAILABLE
        status, content = answer
        if status == _PRECONDITION_FAILED:
            return result.Failure(store.StoreError.CONFLICT)
        if status == _NOT_FOUND:
            return result.Failure(store.StoreError.LEASE_EXPIRED)
        return self._decode(content, _WriteResult).map(
            lambda written: written.revision
        )

    async def grant_lease(
        self, ttl_s: int
    ) -> result.Result[int, store.StoreError]:
        """Return a new lease."""
        answer = await self._call(
            'POST', 'kv-lease', body={'ttlMs': ttl_s * 1_000}
        )
        if answer is None:
            return _UNAVAILABLE
        return self._decode(answer[1], _Lease).map(lambda lease: lease.lease)

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[int, store.StoreError]:
        """Renew a lease and return its time to live in seconds."""
        answer = await self._call('POST', f'kv-keep/{lease_id}', body={})
        if answer is None:
            return _UNAVAILABLE
        status, content = answer
        if status == _NOT_FOUND:
            return result.Failure(store.StoreError.LEASE_EXPIRED)
        return self._decode(content, _Lease).map(
            lambda lease: lease.ttl_ms // 1_000
        )

    async def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, store.StoreError]:
        """Revoke a lease, which deletes its keys."""
        answer = await self._call('DELETE', f'kv-lease-end/{lease_id}')
        if answer is None:
            return _UNAVAILABLE
        return result.Success(None)

    async def watch(
        self, prefix: str, from_revision: int
    ) -> typing.AsyncIterator[store.KeyValue]:
        """Yield the newest changes under a prefix, from a revision on.

        Ends when the connection is lost or the history is compacted.
        """
        after = from_revision - 1
        while True:
            query = {
                'prefix': prefix,
                'after': str(after),
                'waitMs': str(WATCH_WAIT_MS),
            }
            answer = await self._call(
                'GET',
                'kv-watch',
                query,
                timeout_s=WATCH_WAIT_MS / 1_000 + WATCH_SLACK_S,
            )
            if answer is None or answer[0] != _OK:
                return
            found = self._decode(answer[1], _Events).value_or(None)
            if found is None:
                return
            newest = {event.key: event for event in found.events}
            changes = sorted(newest.values(), key=lambda event: event.revision)
            for item in store.mark_last([*self._changes(changes)]):
                yield item
            after = found.current_rev

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: typing.Any = None,
        timeout_s: float | None = None,
    ) -> tuple[int, bytes] | None:
        """Return status and body; None if the call failed."""
        kind = path.partition('/')[0]
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with asyncio.timeout(timeout_s or self._timeout_s):
                async with self._session.request(
                    method,
                    self._base + path,
                    params=query,
                    data=data,
                    headers={'Content-Type': 'application/json'}
                    if data is not None
                    else None,
                ) as response:
                    content = await http_client.read_body(
                        response, MAX_BODY_BYTES
                    )
        except (aiohttp.ClientError, TimeoutError, OSError):
            self._count(kind, 'unavailable')
            return None
        status = response.status
        if status not in (_OK, _NOT_FOUND, _PRECONDITION_FAILED):
            self._count(kind, f'refused_{status}')
            return None
        self._count(kind, 'ok')
        return status, content

    def _decode(
        self, content: bytes, body_type: type
    ) -> result.Result[typing.Any, store.StoreError]:
        decoded = inputs.decode(msgspec.json.Decoder(body_type), content)
        if isinstance(decoded, result.Success):
            return decoded
        self._count('answer', 'malformed')
        return _UNAVAILABLE

    def _changes(
        self, items: typing.Iterable[_Item]
    ) -> typing.Iterator[store.KeyValue]:
        """Yield deletions besides the items that exist."""
        for item in items:
            if item.deleted:
                yield store.KeyValue(
                    item.key, b'', item.revision, deleted=True
                )
            else:
                yield from self._key_values([item])

    def _key_values(
        self, items: typing.Iterable[_Item]
    ) -> typing.Iterator[store.KeyValue]:
        """Yield the items that exist; skip values that are not Base64.

        Other writers share the store, so one malformed value must not hide
        the others.
        """
        for item in items:
            if item.deleted:
                continue
            try:
                value = base64.b64decode(item.value, validate=True)
            except ValueError:
                self._count('value', 'malformed')
                continue
            yield store.KeyValue(item.key, value, item.revision)

    def _count(self, kind: str, outcome: str) -> None:
        self._counters.store_calls.labels(kind, outcome).inc()
