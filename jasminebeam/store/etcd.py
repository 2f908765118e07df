"""Adapter for stores with the etcd v3 JSON API."""

from __future__ import annotations

import base64
import json
import typing

import aiohttp
from returns import result

from jasminebeam.store import store

if typing.TYPE_CHECKING:
    from jasminebeam.telemetry import metrics

WATCH_IDLE_TIMEOUT_S = 30.0


class EtcdStore:
    """Calls the range, txn, lease and watch endpoints over HTTP.

    Parameters
    ----------
    endpoint : str
        Base URL, for example ``http://127.0.0.1:2379``.
    timeout_ms : int
        Timeout of one call; watches have no total timeout.
    counters : Metrics
        Counts calls by kind and result.
    """

    def __init__(
        self, endpoint: str, timeout_ms: int, counters: metrics.Metrics
    ) -> None:
        self._endpoint = endpoint.rstrip('/')
        self._counters = counters
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=timeout_ms / 1_000)
        )
        # aiohttp must not repeat a write: the repetition fails with a
        # conflict, which hides that the first write took effect.
        self._session._retry_connection = False

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def get(
        self, key: str
    ) -> result.Result[store.KeyValue | None, store.StoreError]:
        """Return a key and its value, or None if it does not exist."""
        response = await self._call('kv/range', {'key': _encode(key)})
        return response.map(_first_item)

    async def list(
        self, prefix: str
    ) -> result.Result[store.Listing, store.StoreError]:
        """Return the keys that start with a prefix."""
        body = {'key': _encode(prefix), 'range_end': _range_end(prefix)}
        response = await self._call('kv/range', body)
        return response.map(_listing)

    async def compare_and_set(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
    ) -> result.Result[int, store.StoreError]:
        """Write a key if its revision is the expected one."""
        put = {
            'key': _encode(key),
            'value': base64.b64encode(value).decode(),
            'lease': str(lease_id),
        }
        compare = {
            'key': _encode(key),
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(expected_revision),
        }
        body = {'compare': [compare], 'success': [{'request_put': put}]}
        response = await self._call('kv/txn', body)
        return response.bind(_written_revision)

    async def grant_lease(
        self, ttl_s: int
    ) -> result.Result[int, store.StoreError]:
        """Create a lease and return its identifier."""
        response = await self._call('lease/grant', {'TTL': str(ttl_s)})
        return response.map(lambda document: int(document['ID']))

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[int, store.StoreError]:
        """Renew a lease and return its time to live in seconds."""
        response = await self._call('lease/keepalive', {'ID': str(lease_id)})
        return response.bind(_ttl)

    async def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, store.StoreError]:
        """End a lease and delete its keys."""
        response = await self._call('lease/revoke', {'ID': str(lease_id)})
        return response.map(lambda document: None)

    async def watch(
        self, prefix: str, from_revision: int
    ) -> typing.AsyncIterator[store.KeyValue]:
        """Yield each write to keys with a prefix, starting at a revision."""
        request = {
            'key': _encode(prefix),
            'range_end': _range_end(prefix),
            'start_revision': str(from_revision),
            'progress_notify': True,
        }
        timeout = aiohttp.ClientTimeout(
            total=None, sock_read=WATCH_IDLE_TIMEOUT_S
        )
        self._count('watch', 'sent')
        try:
            async with self._session.post(
                f'{self._endpoint}/v3/watch',
                json={'create_request': request},
                timeout=timeout,
            ) as response:
                async for line in response.content:
                    for item in _watch_items(line):
                        yield item
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            self._count('watch', 'lost')

    async def _call(
        self, path: str, body: dict[str, typing.Any]
    ) -> result.Result[dict[str, typing.Any], store.StoreError]:
        url = f'{self._endpoint}/v3/{path}'
        try:
            async with self._session.post(url, json=body) as response:
                document = await response.json(content_type=None)
                if response.status != 200:
                    return self._unavailable(path)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return self._unavailable(path)
        self._count(path, 'ok')
        return result.Success(document)

    def _unavailable(
        self, path: str
    ) -> result.Result[typing.Any, store.StoreError]:
        self._count(path, 'unavailable')
        return result.Failure(store.StoreError.UNAVAILABLE)

    def _count(self, kind: str, outcome: str) -> None:
        self._counters.store_calls.labels(kind, outcome).inc()


def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _range_end(prefix: str) -> str:
    encoded = prefix.encode()
    following = encoded[:-1] + bytes([encoded[-1] + 1])
    return base64.b64encode(following).decode()


def _item(document: dict[str, typing.Any]) -> store.KeyValue:
    return store.KeyValue(
        key=base64.b64decode(document['key']).decode(),
        value=base64.b64decode(document.get('value', '')),
        revision=int(document['mod_revision']),
    )


def _first_item(document: dict[str, typing.Any]) -> store.KeyValue | None:
    items = document.get('kvs', [])
    return _item(items[0]) if items else None


def _listing(document: dict[str, typing.Any]) -> store.Listing:
    return store.Listing(
        revision=int(document['header']['revision']),
        items=tuple(map(_item, document.get('kvs', []))),
    )


def _written_revision(
    document: dict[str, typing.Any],
) -> result.Result[int, store.StoreError]:
    if not document.get('succeeded', False):
        return result.Failure(store.StoreError.CONFLICT)
    return result.Success(int(document['header']['revision']))


def _ttl(
    document: dict[str, typing.Any],
) -> result.Result[int, store.StoreError]:
    ttl_s = int(document.get('result', {}).get('TTL', 0))
    if ttl_s <= 0:
        return result.Failure(store.StoreError.LEASE_EXPIRED)
    return result.Success(ttl_s)


def _watch_items(line: bytes) -> list[store.KeyValue]:
    if not line.strip():
        return []
    events = json.loads(line).get('result', {}).get('events', [])
    return [
        _item(event['kv']) for event in events if event.get('type') != 'DELETE'
    ]
