"""Tests of refused bodies, at a node whose budget is small."""

from __future__ import annotations

import asyncio
import json

import pytest

from jasminebeam import inputs
from tests import platform_cluster

BODY_BYTES = 4_000_000
PART = b'x' * 64_000


@pytest.fixture
async def cluster():
    """Provide a node whose budget has room for one large body."""
    created = platform_cluster.Cluster()
    await created.start()
    document = json.loads(
        platform_cluster.configuration(version=2, timeoutMs=30_000)
    )
    document['limits']['maxBodyBytes'] = BODY_BYTES
    await created.store.put('op/config', json.dumps(document).encode())
    await created.add_host()
    limits = created.nodes[0]._sweeper.budget.limits
    object.__setattr__(limits, 'body_bytes', BODY_BYTES)
    yield created
    await created.close()


async def _open(cluster, *lines, time_left_ms=20_000, request_id='one'):
    address = inputs.parse_address(cluster.settings[0].adapter.callers)
    reader, writer = await asyncio.open_connection(address.host, address.port)
    common = (
        'POST /fee/1 HTTP/1.1',
        f'Host: {platform_cluster.HOST}',
        f'Request-Id: {request_id}',
        f'Deadline-Ms: {time_left_ms}',
    )
    writer.write('\r\n'.join((*common, *lines, '', '')).encode())
    return reader, writer


async def _head(reader):
    async with asyncio.timeout(30):
        return (await reader.readuntil(b'\r\n\r\n')).decode()


async def test_incomplete_body_was_kept_beyond_its_deadline(cluster):
    """It ends with 408 at its deadline, and does not run."""
    reader, writer = await _open(
        cluster, 'Content-Length: 9', time_left_ms=300
    )
    writer.write(b'half')
    assert ' 408 ' in await _head(reader)
    assert not cluster.upstreams[0].runs
    writer.close()


async def test_declared_length_beyond_the_limit_was_read(cluster):
    """The header is enough for 413; the caller can still read it."""
    reader, writer = await _open(cluster, f'Content-Length: {BODY_BYTES + 1}')
    assert ' 413 ' in await _head(reader)
    async with asyncio.timeout(30):
        await reader.read()
    assert not cluster.upstreams[0].runs
    writer.close()


async def test_chunked_body_beyond_the_limit_was_read_on(cluster):
    """The byte that passes the limit gets 413; no more is read."""
    reader, writer = await _open(cluster, 'Transfer-Encoding: chunked')

    async def send():
        for _ in range(4 * BODY_BYTES // len(PART)):
            writer.write(b'%x\r\n%s\r\n' % (len(PART), PART))
            await writer.drain()

    sending = asyncio.ensure_future(send())
    assert ' 413 ' in await _head(reader)
    with pytest.raises(ConnectionError):
        await sending
    assert not cluster.upstreams[0].runs


async def test_body_without_room_is_refused_as_not_run(cluster):
    """It is answered 503 with a delay, and runs once there is room."""
    upstream = cluster.upstreams[0]
    upstream.held['first'] = asyncio.Event()
    length = f'Content-Length: {BODY_BYTES}'
    first, first_writer = await _open(cluster, length, request_id='first')
    first_writer.write(bytes(BODY_BYTES))
    await cluster.wait_until(lambda: 'first' in upstream.started)
    second, second_writer = await _open(cluster, length, request_id='second')
    head = await _head(second)
    assert ' 503 ' in head
    assert 'Retry-After: ' in head
    assert 'second' not in upstream.runs
    assert (await cluster.send_request(request_id='small'))[0] == 200
    upstream.held['first'].set()
    assert ' 200 ' in await _head(first)
    third, third_writer = await _open(cluster, length, request_id='third')
    third_writer.write(bytes(BODY_BYTES))
    assert ' 200 ' in await _head(third)
    for writer in (first_writer, second_writer, third_writer):
        writer.close()


async def test_whole_body_in_small_chunks_is_served(cluster):
    """A body within the limit is served, however it is framed."""
    upstream = cluster.upstreams[0]
    upstream.received = {}
    reader, writer = await _open(cluster, 'Transfer-Encoding: chunked')
    content = bytes(range(256)) * 1_200
    for start in range(0, len(content), 16):
        writer.write(b'10\r\n%s\r\n' % content[start : start + 16])
    writer.write(b'0\r\n\r\n')
    assert ' 200 ' in await _head(reader)
    assert upstream.received['one'][1] == content
    writer.close()
