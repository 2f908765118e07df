"""Tests of several requests on one connection, on raw sockets."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from jasminebeam.callers import pipelining
from jasminebeam import inputs
from tests import platform_cluster

HOST = platform_cluster.HOST


def _configuration():
    """Return a configuration with an idempotent and another route."""
    document = platform_cluster.json.loads(platform_cluster.configuration())
    unsafe = document['listeners'][0]['rules'][0]
    safe = {**unsafe, 'name': 's', 'kind': 'safe', 'match': {'prefix': '/s/'}}
    download = {**safe, 'kind': 'download', 'match': {'prefix': '/d/'}}
    document['listeners'][0]['rules'] = [
        {**unsafe, 'match': {'prefix': '/u/'}},
        safe,
        {**download, 'name': 'd'},
    ]
    document['version'] = '00000002'
    return platform_cluster.json.dumps(document).encode()


@pytest.fixture
async def cluster():
    """Provide a cluster of one node with an upstream."""
    created = platform_cluster.Cluster()
    await created.start()
    await created.store.put('op/config', _configuration())
    added = await created.add_host()
    await platform_cluster.wait_until(lambda: added.route_sets.revision == 2)
    yield created
    for held in created.upstreams[0].held.values():
        held.set()
    await created.close()


def _request(name, path='/s/', method='GET', body=b'', **headers):
    lines = [
        f'{method} {path}1 HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {name}',
        f'Deadline-Ms: {headers.pop("time_left_ms", 20_000)}',
    ]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def _unsafe(name, **headers):
    return _request(name, '/u/', 'POST', b'x', **headers)


class Connection:
    """A raw connection to the node's port for callers."""

    async def open(self, cluster):
        """Connect."""
        address = inputs.parse_address(cluster.settings[0].adapter.callers)
        self.reader, self.writer = await asyncio.open_connection(
            address.host, address.port
        )
        return self

    def send(self, *parts):
        """Send all parts at once."""
        self.writer.write(b''.join(parts))

    async def read_response(self):
        """Return status line and headers in lower case, and the body."""
        async with asyncio.timeout(10.0):
            head = (await self.reader.readuntil(b'\r\n\r\n')).decode().lower()
            length = int(head.split('content-length: ')[1].split('\r')[0])
            return head, await self.reader.readexactly(length)

    async def read_to_end(self):
        """Return all bytes until the connection ends."""
        received = b''
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(10.0):
                while chunk := await self.reader.read(65_536):
                    received += chunk
        return received

    def close(self):
        """Close the connection."""
        self.writer.close()


@pytest.fixture
async def connection(cluster):
    """Provide a raw connection."""
    created = await Connection().open(cluster)
    yield created
    created.close()


def _hold(cluster, *names):
    for name in names:
        cluster.upstreams[0].held[name] = asyncio.Event()


def _release(cluster, name):
    cluster.upstreams[0].held[name].set()


async def _wait_started(cluster, *names):
    upstream = cluster.upstreams[0]
    await platform_cluster.wait_until(
        lambda: set(names) <= set(upstream.started)
    )


@pytest.mark.parametrize('path', ['/s/', '/d/'])
async def test_idempotent_requests_run_at_the_same_time(
    cluster, connection, path
):
    """The second request must run beside the first; answers stay in order."""
    _hold(cluster, 'first')
    connection.send(_request('first', path), _request('second', path))
    await _wait_started(cluster, 'first', 'second')
    await asyncio.sleep(0.1)
    _release(cluster, 'first')
    head, body = await connection.read_response()
    assert 'request-id: first' in head
    assert body == b'whole'
    head, body = await connection.read_response()
    assert 'request-id: second' in head
    assert body == b'whole'
    assert cluster.upstreams[0].runs == {'first': 1, 'second': 1}


async def test_other_requests_wait_for_their_turn(cluster, connection):
    """A request that is not idempotent runs only after the answers before.

    The requests behind it wait for it, too.
    """
    _hold(cluster, 'first', 'second')
    connection.send(_request('first'), _unsafe('second'), _request('third'))
    await _wait_started(cluster, 'first')
    await asyncio.sleep(0.1)
    assert cluster.upstreams[0].started == ['first']
    _release(cluster, 'first')
    await connection.read_response()
    await _wait_started(cluster, 'second')
    await asyncio.sleep(0.1)
    assert cluster.upstreams[0].started == ['first', 'second']
    _release(cluster, 'second')
    assert 'request-id: second' in (await connection.read_response())[0]
    assert 'request-id: third' in (await connection.read_response())[0]


async def test_requests_behind_one_that_ended_run_at_the_same_time(
    cluster, connection
):
    """Idempotent requests behind another kind start together after it."""
    _hold(cluster, 'first', 'second')
    connection.send(_unsafe('first'), _request('second'), _request('third'))
    await _wait_started(cluster, 'first')
    _release(cluster, 'first')
    await _wait_started(cluster, 'second', 'third')
    _release(cluster, 'second')
    for name in ('first', 'second', 'third'):
        assert f'request-id: {name}' in (await connection.read_response())[0]


async def test_number_of_concurrent_requests_is_limited(cluster, connection):
    """One connection must not occupy the node without limit."""
    names = [f'r{number}' for number in range(3 * pipelining.MAX_CONCURRENT)]
    _hold(cluster, *names)
    connection.send(*map(_request, names))
    limit = pipelining.MAX_CONCURRENT
    await _wait_started(cluster, *names[:limit])
    await asyncio.sleep(0.1)
    assert sorted(cluster.upstreams[0].started) == sorted(names[:limit])
    for name in names:
        _release(cluster, name)
    for name in names:
        assert f'request-id: {name}\r' in (await connection.read_response())[0]


async def test_request_behind_a_closing_answer_does_not_run(
    cluster, connection
):
    """A stop answers the first request; the unsafe one behind never runs."""
    _hold(cluster, 'first')
    connection.send(_request('first'), _unsafe('second'))
    await _wait_started(cluster, 'first')
    stopping = asyncio.ensure_future(cluster.nodes.pop().stop())
    await asyncio.sleep(0.05)
    _release(cluster, 'first')
    received = await connection.read_to_end()
    assert received.lower().count(b'http/1.1 200') == 1
    assert b'connection: close' in received.lower()
    await stopping
    assert cluster.upstreams[0].runs == {'first': 1}


async def test_stop_answers_all_requests_that_have_started(
    cluster, connection
):
    """A stop must not cut an idempotent request that runs before its turn."""
    _hold(cluster, 'first', 'second')
    connection.send(_request('first'), _request('second'), _unsafe('third'))
    await _wait_started(cluster, 'first', 'second')
    stopping = asyncio.ensure_future(cluster.nodes.pop().stop())
    await asyncio.sleep(0.05)
    _release(cluster, 'first')
    assert 'request-id: first' in (await connection.read_response())[0]
    await asyncio.sleep(0.1)
    _release(cluster, 'second')
    received = (await connection.read_to_end()).lower()
    assert received.count(b'http/1.1 200') == 1
    assert b'request-id: second' in received
    await stopping
    assert cluster.upstreams[0].runs == {'first': 1, 'second': 1}


async def test_caller_that_leaves_cancels_all_its_requests(
    cluster, connection
):
    """All requests of the connection must end when the caller closes it."""
    _hold(cluster, 'first', 'second')
    connection.send(_request('first'), _request('second'), _unsafe('third'))
    await _wait_started(cluster, 'first', 'second')
    connection.writer.transport.abort()
    upstream = cluster.upstreams[0]
    await platform_cluster.wait_until(
        lambda: sorted(upstream.cancelled) == ['first', 'second']
    )
    assert 'third' not in upstream.runs


async def test_malformed_request_ends_the_sequence(cluster, connection):
    """Requests before it are answered; those behind it do not run."""
    connection.send(_request('first'), b'non sense\r\n\r\n', _request('third'))
    received = (await connection.read_to_end()).lower()
    assert received.index(b'request-id: first') > 0
    assert received.count(b' 400 bad request') == 1
    assert b'third' not in received
    assert 'third' not in cluster.upstreams[0].runs


async def test_time_in_the_queue_counts(cluster, connection):
    """The upstream must get the time left after the wait for the turn."""
    _hold(cluster, 'first')
    connection.send(_request('first'), _unsafe('second', time_left_ms=1_400))
    await _wait_started(cluster, 'first')
    await asyncio.sleep(0.5)
    _release(cluster, 'first')
    await connection.read_response()
    await connection.read_response()
    assert cluster.upstreams[0].time_left_ms[-1] <= 900


async def test_expired_request_does_not_run(cluster, connection):
    """A request whose time ends behind another is rejected as not run."""
    _hold(cluster, 'first')
    connection.send(_request('first'), _unsafe('second', time_left_ms=100))
    await _wait_started(cluster, 'first')
    await asyncio.sleep(0.2)
    _release(cluster, 'first')
    await connection.read_response()
    head, _ = await connection.read_response()
    assert head.startswith('http/1.1 503')
    assert 'second' not in cluster.upstreams[0].runs


async def test_half_closed_connection_gets_all_answers(cluster, connection):
    """A caller may end its side after the last request."""
    connection.send(_request('first'), _request('second'))
    connection.writer.write_eof()
    received = (await connection.read_to_end()).lower()
    ran = cluster.upstreams[0].runs
    assert all(count == 1 for count in ran.values())
    assert received.count(b'http/1.1 200') <= 2


async def test_split_points_do_not_matter(cluster):
    """Answers must be the same wherever the bytes are split."""
    generator = random.Random(20)
    for round_number in range(30):
        names = [f'r{round_number}n{number}' for number in range(5)]
        parts = [generator.choice([_request, _unsafe])(name) for name in names]
        sent = b''.join(parts)
        cuts = sorted(
            generator.sample(range(1, len(sent)), generator.randrange(1, 8))
        )
        connection = await Connection().open(cluster)
        for start, end in zip([0, *cuts], [*cuts, len(sent)], strict=True):
            connection.send(sent[start:end])
            await asyncio.sleep(0.002)
        for name in names:
            head, body = await connection.read_response()
            assert f'request-id: {name}\r' in head
            assert body == b'whole'
        connection.close()
    assert set(cluster.upstreams[0].runs.values()) == {1}


@pytest.mark.parametrize(
    ('beginning', 'repeated'),
    [
        ('Transfer-Encoding: chunked\r\n\r\n4;', b'm'),
        ('Transfer-Encoding: chunked\r\n\r\n', b'1\r\nm\r\n'),
        ('Transfer-Encoding: chunked\r\n\r\n0\r\n', b'X-More: more\r\n'),
        ('Content-Length: 4000000000\r\n\r\n', b'm'),
        ('', b'X-More: more\r\n'),
        ('X-More: ', b'm'),
    ],
)
async def test_endless_request_is_ended(
    cluster, connection, beginning, repeated
):
    """The node must close a connection whose request never ends."""
    head = f'POST /u/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r\r\n'
    connection.send((head + beginning).encode())
    block = repeated * (4_096 // len(repeated))
    sent_bytes = 0
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(20.0):
            while sent_bytes < 64 * 1024 * 1024:
                connection.writer.write(block)
                await connection.writer.drain()
                sent_bytes += len(block)
    assert sent_bytes < 16 * 1024 * 1024
    assert not cluster.upstreams[0].runs
