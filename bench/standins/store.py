"""Simulates an etcd store: a subset of the etcd v3 JSON API."""

from __future__ import annotations

import asyncio
import base64
import collections
import dataclasses
import json
import typing

from aiohttp import web
import msgspec

from jasminebeam import clock


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults that the store simulates.

    Parameters
    ----------
    down : bool
        Abort all requests and open watches.
    delay_ms : float
        Delay of each response, except those to watches.
    lose_write_answers : int
        Number of further writes that take effect but get no response.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_write_answers: int = 0


@dataclasses.dataclass(slots=True)
class _Item:
    value: str
    mod_revision: int
    lease_id: int


class StandInStore:
    """Key-value store with compare-and-swap, leases and watches.

    Parameters
    ----------
    port : int
        Loopback port.
    now_ms : callable
        Returns the monotonic time in ms; tests may replace it.
    """

    def __init__(
        self,
        port: int,
        now_ms: typing.Callable[[], float] = clock.monotonic_ms,
    ) -> None:
        self._port = port
        self._now_ms = now_ms
        self._faults = Faults()
        self._revision = 1
        self._items: dict[bytes, _Item] = {}
        self._history: list[tuple[bytes, dict[str, typing.Any]]] = []
        self._leases: dict[int, tuple[float, int]] = {}
        self._next_lease_id = 1
        self._changed = asyncio.Condition()
        self.calls: collections.Counter[str] = collections.Counter()
        self.open_watches = 0
        self._handlers = {
            '/v3/kv/range': self._range,
            '/v3/kv/txn': self._txn,
            '/v3/lease/grant': self._grant,
            '/v3/lease/keepalive': self._keep_alive,
            '/v3/lease/revoke': self._revoke,
        }
        server = web.Server(
            self._handle, handler_cancellation=True, access_log=None
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)

    async def start(self) -> None:
        """Listen."""
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', self._port).start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def set_faults(self, faults: Faults) -> None:
        """Replace the simulated faults."""
        async with self._changed:
            self._faults = faults
            self._changed.notify_all()

    async def expire_lease(self, lease_id: int) -> None:
        """End a lease without notifying its holder."""
        await self._end_lease(lease_id)

    def leases(self) -> list[int]:
        """Return the ids of the leases that have not ended."""
        return list(self._leases)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == '/-/faults':
            faults = msgspec.json.decode(await request.read(), type=Faults)
            await self.set_faults(faults)
            return web.json_response({})
        if request.path == '/-/calls':
            return web.json_response(
                {'calls': dict(self.calls), 'watching': self.open_watches}
            )
        if self._faults.down:
            request.transport.abort()
            raise asyncio.CancelledError
        await self._expire_leases()
        body = json.loads(await request.read())
        self.calls[request.path] += 1
        if request.path == '/v3/watch':
            return await self._watch(request, body['create_request'])
        handler = self._handlers.get(request.path)
        if handler is None:
            return web.Response(status=404)
        return await self._respond(request, await handler(body))

    async def _respond(
        self, request: web.BaseRequest, document: dict[str, typing.Any]
    ) -> web.Response:
        faults = self._faults
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1_000)
        is_write = request.path == '/v3/kv/txn' and document.get('succeeded')
        if is_write and faults.lose_write_answers:
            remaining = faults.lose_write_answers - 1
            self._faults = dataclasses.replace(
                faults, lose_write_answers=remaining
            )
            request.transport.abort()
        return web.json_response(document)

    def _header(self) -> dict[str, str]:
        return {'revision': str(self._revision)}

    async def _range(
        self, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        start = base64.b64decode(body['key'])
        end = base64.b64decode(body.get('range_end', ''))
        matches = [
            self._encode_item(key, item)
            for key, item in sorted(self._items.items())
            if key == start or (end and start <= key < end)
        ]
        return {'header': self._header(), 'kvs': matches}

    async def _txn(self, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        for compare in body['compare']:
            key = base64.b64decode(compare['key'])
            item = self._items.get(key)
            revision = item.mod_revision if item else 0
            if revision != int(compare['mod_revision']):
                return {'header': self._header()}
        for operation in body['success']:
            await self._put(operation['request_put'])
        return {'header': self._header(), 'succeeded': True}

    async def _put(self, put: dict[str, typing.Any]) -> None:
        key = base64.b64decode(put['key'])
        self._revision += 1
        lease_id = int(put.get('lease', 0))
        item = _Item(put['value'], self._revision, lease_id)
        self._items[key] = item
        await self._notify(key, {'kv': self._encode_item(key, item)})

    async def _notify(self, key: bytes, event: dict[str, typing.Any]) -> None:
        async with self._changed:
            self._history.append((key, event))
            self._changed.notify_all()

    async def _grant(
        self, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        ttl_s = int(body['TTL'])
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self._leases[lease_id] = (self._now_ms() + ttl_s * 1_000, ttl_s)
        return {'ID': str(lease_id), 'TTL': str(ttl_s)}

    async def _keep_alive(
        self, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        lease_id = int(body['ID'])
        if lease_id not in self._leases:
            return {'result': {'ID': str(lease_id)}}
        ttl_s = self._leases[lease_id][1]
        self._leases[lease_id] = (self._now_ms() + ttl_s * 1_000, ttl_s)
        return {'result': {'ID': str(lease_id), 'TTL': str(ttl_s)}}

    async def _revoke(
        self, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        await self._end_lease(int(body['ID']))
        return {'header': self._header()}

    async def _expire_leases(self) -> None:
        now_ms = self._now_ms()
        for lease_id, (expires_ms, _) in list(self._leases.items()):
            if expires_ms <= now_ms:
                await self._end_lease(lease_id)

    async def _end_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id, None)
        for key, item in list(self._items.items()):
            if item.lease_id == lease_id:
                del self._items[key]
                self._revision += 1
                deleted = _Item('', self._revision, 0)
                event = {
                    'type': 'DELETE',
                    'kv': self._encode_item(key, deleted),
                }
                await self._notify(key, event)

    async def _watch(
        self, request: web.BaseRequest, create: dict[str, typing.Any]
    ) -> web.StreamResponse:
        start = base64.b64decode(create['key'])
        end = base64.b64decode(create['range_end'])
        from_revision = int(create['start_revision'])
        response = web.StreamResponse()
        await response.prepare(request)
        self.open_watches += 1
        position = 0
        try:
            while not self._faults.down:
                events = [
                    event
                    for key, event in self._history[position:]
                    if start <= key < end
                    and int(event['kv']['mod_revision']) >= from_revision
                ]
                position = len(self._history)
                document = {'result': {'events': events}}
                await response.write(json.dumps(document).encode() + b'\n')
                await self._wait_for_change(position)
        finally:
            self.open_watches -= 1
        request.transport.abort()
        return response

    async def _wait_for_change(self, position: int) -> None:
        """Wait for a change, a fault or the next progress notification."""
        try:
            async with (
                asyncio.timeout(WATCH_PROGRESS_INTERVAL_S),
                self._changed,
            ):
                await self._changed.wait_for(
                    lambda: len(self._history) > position or self._faults.down
                )
        except TimeoutError:
            return

    def _encode_item(self, key: bytes, item: _Item) -> dict[str, str]:
        return {
            'key': base64.b64encode(key).decode(),
            'value': item.value,
            'mod_revision': str(item.mod_revision),
        }


WATCH_PROGRESS_INTERVAL_S = 10.0
