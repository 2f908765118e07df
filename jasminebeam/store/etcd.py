"""Adapter for stores with the etcd v3 JSON API."""

from __future__ import annotations

import base64
import dataclasses
import json
import math
import typing

import aiohttp
from returns import result

from jasminebeam import http_client
from jasminebeam.store import store

if typing.TYPE_CHECKING:
    from jasminebeam.telemetry import metrics

WATCH_IDLE_TIMEOUT_S = 30.0
T = typing.TypeVar('T')

# Errors that decoding a malformed answer raises. `ValueError` includes
# invalid JSON, Base64 and UTF-8, and lines over the limit.
_MALFORMED = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    RecursionError,
)

MAX_BODY_BYTES = 16 * 1024 * 1024


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
        self._session = http_client.create_session(
            http_client.Connector(MAX_BODY_BYTES),
            aiohttp.ClientTimeout(total=timeout_ms / 1_000),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def get(
        self, key: str
    ) -> result.Result[store.KeyValue | None, store.StoreError]:
        """Return a key and its value, or None if it does not exist."""
        return await self._call('kv/range', {'key': _encode(key)}, _first_item)

    async def list(
        self, prefix: str, allow_stale: bool = False
    ) -> result.Result[store.Listing, store.StoreError]:
        """Return the keys that start with a prefix."""
        body = {
            'key': _encode(prefix),
            'range_end': _range_end(prefix),
            'serializable': allow_stale,
        }
        return await self._call('kv/range', body, _listing)

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
        return await self._call('kv/txn', body, _written_revision)

    async def grant_lease(
        self, ttl_s: int
    ) -> result.Result[int, store.StoreError]:
        """Create a lease and return its identifier."""
        body = {'TTL': str(ttl_s)}
        return await self._call('lease/grant', body, _lease_id)

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[int, store.StoreError]:
        """Renew a lease and return its time to live in seconds."""
        body = {'ID': str(lease_id)}
        return await self._call('lease/keepalive', body, _ttl)

    async def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, store.StoreError]:
        """End a lease and delete its keys."""
        body = {'ID': str(lease_id)}
        return await self._call('lease/revoke', body, _nothing)

    async def watch(
        self, prefix: str, from_revision: int
    ) -> typing.AsyncIterator[store.KeyValue]:
        """Yield each change of keys with a prefix, starting at a revision."""
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
                # The stream has no end; aiohttp limits each line.
                if response.connection is not None:
                    response.connection.protocol.limit_bytes = math.inf
                async for line in response.content:
                    for item in _watch_items(line):
                        yield item
        except (aiohttp.ClientError, TimeoutError, OSError):
            self._count('watch', 'lost')
        except _MALFORMED:
            self._count('watch', 'malformed')

    async def _call(
        self,
        path: str,
        body: dict[str, typing.Any],
        decode: typing.Callable[
            [dict[str, typing.Any]], result.Result[T, store.StoreError]
        ],
    ) -> result.Result[T, store.StoreError]:
        url = f'{self._endpoint}/v3/{path}'
        try:
            async with self._session.post(url, json=body) as response:
                content = await http_client.read_body(response, MAX_BODY_BYTES)
                if response.status != 200:
                    return self._unavailable(path)
            decoded = decode(json.loads(content))
        except (aiohttp.ClientError, TimeoutError, OSError):
            return self._unavailable(path)
        except _MALFORMED:
            self._count(path, 'malformed')
            return result.Failure(store.StoreError.UNAVAILABLE)
        self._count(path, 'ok')
        return decoded

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


def _first_item(
    document: dict[str, typing.Any],
) -> result.Result[store.KeyValue | None, store.StoreError]:
    items = document.get('kvs', [])
    return result.Success(_item(items[0]) if items else None)


def _listing(
    document: dict[str, typing.Any],
) -> result.Result[store.Listing, store.StoreError]:
    return result.Success(
        store.Listing(
            revision=int(document['header']['revision']),
            items=tuple(map(_item, document.get('kvs', []))),
        )
    )


def _lease_id(
    document: dict[str, typing.Any],
) -> result.Result[int, store.StoreError]:
    return result.Success(int(document['ID']))


def _nothing(
    document: dict[str, typing.Any],
) -> result.Result[None, store.StoreError]:
    return result.Success(None)


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
    return store.mark_last([_change(event) for event in events])


def _change(event: dict[str, typing.Any]) -> store.KeyValue:
    item = _item(event['kv'])
    if event.get('type') != 'DELETE':
        return item
    return dataclasses.replace(item, value=b'', deleted=True)
