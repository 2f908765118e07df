"""Tests of store adapters that receive malformed answers."""

from __future__ import annotations

import asyncio
import json

import pytest

from jasminebeam.platform import store as platform_client
from jasminebeam.store import etcd
from jasminebeam.store import store
from jasminebeam.telemetry import metrics
from tests import ports


class FixedServer:
    """Answers each request with the same body."""

    def __init__(self):
        self.port = ports.free_port()
        self.body = b''

    async def start(self):
        """Start listening."""
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )

    async def _serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(
            b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: '
            + str(len(self.body)).encode()
            + b'\r\n\r\n'
            + self.body
        )
        await writer.drain()
        writer.close()


@pytest.fixture
async def server():
    """Provide a server with a fixed answer."""
    created = FixedServer()
    await created.start()
    yield created
    created.server.close()


MALFORMED = (
    b'',
    b'null',
    b'[]',
    b'3',
    b'{}',
    b'{"header": 3, "kvs": 4}',
    b'{"header": {"revision": "x"}, "succeeded": true}',
    b'{"header": {"revision": "1"}, "kvs": [{}]}',
    b'{"header": {"revision": "1"}, "kvs": [{"key": "\xff"}]}',
    b'{"header": {"revision": "1"}, "kvs": [{"key": "/w==",'
    b' "mod_revision": 1}]}',
    b'{"ID": []}',
    b'{"result": 5}',
    b'{"result": {"events": [{"kv": {}}]}}',
)


@pytest.mark.parametrize('body', MALFORMED)
async def test_etcd_answers_never_raise(server, body):
    """Each call must fail as a result, whatever the store answers."""
    server.body = body
    endpoint = f'http://127.0.0.1:{server.port}'
    tested = etcd.EtcdStore(endpoint, 2_000, metrics.Metrics())
    calls = (
        tested.get('k'),
        tested.list('k'),
        tested.compare_and_set('k', 0, b''),
        tested.grant_lease(1),
        tested.keep_alive(1),
    )
    for call in calls:
        answered = await call
        if answered.value_or(None) is None:
            continue
        assert json.loads(body)
    async for _ in tested.watch('k', 1):
        pass
    await tested.close()


async def test_malformed_value_hides_no_other(server):
    """One value that is not Base64 must not hide the other keys."""
    items = [
        {'key': 'a', 'revision': 1, 'value': '!'},
        {'key': 'b', 'revision': 2, 'value': 'b2s='},
    ]
    server.body = json.dumps({'items': items, 'currentRev': 2}).encode()
    counters = metrics.Metrics()
    tested = platform_client.PlatformStore(
        f'127.0.0.1:{server.port}', 2_000, counters
    )
    listing = (await tested.list('')).unwrap()
    assert listing.items == (store.KeyValue('b', b'ok', 2),)
    assert b'kind="value",result="malformed"' in counters.render()
    await tested.close()
