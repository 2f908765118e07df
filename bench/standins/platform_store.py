"""Simulates the hosting platform's key-value store and its faults."""

from __future__ import annotations

import asyncio
import base64
import collections
import dataclasses
import typing

from aiohttp import web
import msgspec

from jasminebeam import clock

MAX_PAGE_ITEMS = 500
MAX_WAIT_MS = 30_000


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that the store simulates; tests change the fields.

    Parameters
    ----------
    refuse_status : int
        Status of all responses; 0 to handle requests normally.
    silent : bool
        Leave all requests without a response.
    lose_write_answers : int
        Number of further writes that take effect but get no response.
    page_items : int
        Maximum number of items per page.
    delay_ms : float
        Delay of each response.
    """

    refuse_status: int = 0
    silent: bool = False
    lose_write_answers: int = 0
    page_items: int = MAX_PAGE_ITEMS
    delay_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Item:
    value: str
    revision: int
    created_revision: int
    lease: int


class PlatformStoreStandIn:
    """Store with conditional writes, leases, paged reads and long polls.

    Parameters
    ----------
    port : int
        Loopback port.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._revision = 1
        self._items: dict[str, _Item] = {}
        self._history: list[dict[str, typing.Any]] = []
        self._compacted_revision = 0
        self._leases: dict[int, tuple[float, int]] = {}
        self._next_lease_id = 1
        self._changed = asyncio.Condition()
        self._losses = 0
        application = web.Application()
        application.add_routes(
            [
                web.get('/v1/kv-key', self._key),
                web.get('/v1/kv-range', self._range),
                web.get('/v1/kv-watch', self._watch),
                web.post('/v1/kv-txn', self._txn),
                web.post('/v1/kv-lease', self._lease),
                web.post('/v1/kv-keep/{id}', self._keep),
                web.delete('/v1/kv-lease-end/{id}', self._lease_end),
                *self.extra_routes(),
            ]
        )
        application.middlewares.append(self._inject_faults)
        self._runner = web.AppRunner(
            application, access_log=None, handler_cancellation=True
        )

    def extra_routes(self) -> list[web.RouteDef]:
        """Return further routes; there are none here."""
        return []

    async def start(self) -> None:
        """Listen."""
        await self._runner.setup()
        await web.TCPSite(
            self._runner, '127.0.0.1', self.port, reuse_address=True
        ).start()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._runner.cleanup()

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return its revision."""
        encoded = base64.b64encode(value).decode()
        async with self._changed:
            self._write(key, encoded, lease)
            self._changed.notify_all()
        return self._revision

    async def delete(self, key: str) -> int:
        """Delete a key and return the revision of the store."""
        async with self._changed:
            self._delete(key)
            self._changed.notify_all()
        return self._revision

    def value(self, key: str) -> bytes | None:
        """Return the value of a key; None if it does not exist."""
        self._expire_leases()
        item = self._items.get(key)
        return None if item is None else base64.b64decode(item.value)

    def keys(self, prefix: str) -> list[str]:
        """Return the keys under a prefix."""
        self._expire_leases()
        return [key for key in sorted(self._items) if key.startswith(prefix)]

    async def compact(self) -> None:
        """Discard the history.

        Watches that need a discarded event get status 410.
        """
        async with self._changed:
            self._history.clear()
            self._compacted_revision = self._revision
            self._changed.notify_all()

    def lose_waiting_answers(self) -> None:
        """Leave the requests that are waiting now without a response."""
        self._losses += 1

    @web.middleware
    async def _inject_faults(
        self,
        request: web.Request,
        handler: typing.Callable[..., typing.Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        if request.path.startswith('/-/'):
            return await handler(request)
        operation = request.path.split('/')[2]
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1_000)
        self.calls[operation] += 1
        if self.faults.silent:
            await asyncio.Event().wait()
        if self.faults.refuse_status:
            return web.Response(status=self.faults.refuse_status)
        losses = self._losses
        response = await handler(request)
        if self._losses != losses:
            await asyncio.Event().wait()
        if operation == 'kv-txn' and self.faults.lose_write_answers:
            self.faults.lose_write_answers -= 1
            request.transport.abort()
        return response

    def _write(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        previous = self._items.get(key)
        created_revision = (
            previous.created_revision if previous else self._revision
        )
        self._items[key] = _Item(
            value, self._revision, created_revision, lease
        )
        self._history.append(self._encode_item(key))

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._history.append(
            {'key': key, 'revision': self._revision, 'deleted': True}
        )

    def _encode_item(self, key: str) -> dict[str, typing.Any]:
        item = self._items[key]
        return {
            'key': key,
            'value': item.value,
            'revision': item.revision,
            'createdRev': item.created_revision,
            'lease': item.lease,
        }

    def _expire_leases(self) -> None:
        now_ms = clock.monotonic_ms()
        ended = {
            lease
            for lease, (expires_ms, _) in self._leases.items()
            if expires_ms <= now_ms
        }
        self._end_leases(ended)

    def _end_leases(self, ended: set[int]) -> None:
        for lease in ended:
            self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item.lease in ended:
                self._delete(key)

    async def _key(self, request: web.Request) -> web.Response:
        self._expire_leases()
        key = request.query['key']
        if key not in self._items:
            return web.json_response({}, status=404)
        document = self._encode_item(key)
        return web.json_response({**document, 'currentRev': self._revision})

    async def _range(self, request: web.Request) -> web.Response:
        after = request.query.get('after', '')
        keys = [
            key for key in self.keys(request.query['prefix']) if key > after
        ]
        page = keys[: self.faults.page_items]
        return web.json_response(
            {
                'items': [self._encode_item(key) for key in page],
                'truncated': len(page) < len(keys),
                'currentRev': self._revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query['prefix']
        after = int(request.query['after'])
        wait_ms = int(request.query['waitMs'])
        if wait_ms > MAX_WAIT_MS:
            return web.json_response({}, status=400)

        def can_respond() -> bool:
            return after < self._compacted_revision or bool(
                self._events_since(prefix, after)
            )

        async with self._changed:
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await self._changed.wait_for(can_respond)
            except TimeoutError:
                pass
            if after < self._compacted_revision:
                return web.json_response({}, status=410)
            return web.json_response(
                {
                    'events': self._events_since(prefix, after),
                    'currentRev': self._revision,
                }
            )

    def _events_since(
        self, prefix: str, after: int
    ) -> list[dict[str, typing.Any]]:
        return [
            event
            for event in self._history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]

    async def _txn(self, request: web.Request) -> web.Response:
        self._expire_leases()
        body = msgspec.json.decode(await request.read())
        for row in body['expectedRev']:
            item = self._items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                return web.json_response({'items': []}, status=412)
        for put in body['puts']:
            if put.get('lease', 0) and put['lease'] not in self._leases:
                return web.json_response({}, status=404)
        async with self._changed:
            for put in body['puts']:
                self._write(put['key'], put['value'], put.get('lease', 0))
            for key in body['deletes']:
                self._delete(key)
            self._changed.notify_all()
        return web.json_response({'revision': self._revision})

    async def _lease(self, request: web.Request) -> web.Response:
        ttl_ms = msgspec.json.decode(await request.read())['ttlMs']
        lease = self._next_lease_id
        self._next_lease_id += 1
        self._leases[lease] = (clock.monotonic_ms() + ttl_ms, ttl_ms)
        return web.json_response({'lease': lease, 'ttlMs': ttl_ms})

    async def _keep(self, request: web.Request) -> web.Response:
        self._expire_leases()
        lease = int(request.match_info['id'])
        if lease not in self._leases:
            return web.json_response({}, status=404)
        ttl_ms = self._leases[lease][1]
        self._leases[lease] = (clock.monotonic_ms() + ttl_ms, ttl_ms)
        return web.json_response({'ttlMs': ttl_ms})

    async def _lease_end(self, request: web.Request) -> web.Response:
        self._end_leases({int(request.match_info['id'])})
        return web.json_response({})
