"""Tests of malformed HTTP requests that callers send on raw sockets."""

from __future__ import annotations

import asyncio

import pytest

from jasminebeam import inputs
from tests import platform_cluster

HOST = platform_cluster.HOST.encode()
HEAD = b'Host: ' + HOST + b'\r\nRequest-Id: one\r\nDeadline-Ms: 1000\r\n'
SMUGGLED = (
    b'POST /fee/smuggled HTTP/1.1\r\nHost: ' + HOST + b'\r\n'
    b'Request-Id: smuggled\r\nDeadline-Ms: 1000\r\n'
    b'Content-Length: 1\r\n\r\nx'
)
LENGTH = str(len(SMUGGLED)).encode()

# Each request must end in an error response or a closed connection. Neither
# the request nor the one smuggled in its body may run.
MALFORMED_REQUESTS = {
    'length and chunked coding': (
        b'POST /fee/1 HTTP/1.1\r\n' + HEAD + b'Content-Length: 4\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n' + SMUGGLED
    ),
    'two lengths': (
        b'POST /fee/1 HTTP/1.1\r\n' + HEAD + b'Content-Length: 0\r\n'
        b'Content-Length: ' + LENGTH + b'\r\n\r\n' + SMUGGLED
    ),
    'negative length': (
        b'POST /fee/1 HTTP/1.1\r\n' + HEAD + b'Content-Length: -1\r\n\r\nx'
    ),
    'length with a sign': (
        b'POST /fee/1 HTTP/1.1\r\n' + HEAD + b'Content-Length: +1\r\n\r\nx'
    ),
    'chunk size that is not a number': (
        b'POST /fee/1 HTTP/1.1\r\n'
        + HEAD
        + b'Transfer-Encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n'
    ),
    'unknown transfer coding': (
        b'POST /fee/1 HTTP/1.1\r\n'
        + HEAD
        + b'Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n'
    ),
    'space before the colon': (
        b'POST /fee/1 HTTP/1.1\r\n' + HEAD + b'Content-Length : 1\r\n\r\nx'
    ),
    'no host': b'POST /fee/1 HTTP/1.1\r\nRequest-Id: one\r\n\r\n',
    'no protocol': b'nonsense\r\n\r\n',
    'NUL in a header': b'POST /fee/1 HTTP/1.1\r\n' + HEAD + b'A: \0\r\n\r\n',
    'oversized header': (
        b'POST /fee/1 HTTP/1.1\r\n'
        + HEAD
        + b'A: '
        + b'x' * 40_000
        + b'\r\n\r\n'
    ),
}


@pytest.fixture
async def cluster():
    """Provide a cluster of one node with an upstream."""
    created = platform_cluster.Cluster()
    await created.start()
    await created.add_host()
    yield created
    await created.close()


async def _send_and_receive(cluster, sent):
    """Send bytes and return all that the node sends within 0.5 s."""
    address = inputs.parse_address(cluster.settings[0].adapter.callers)
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(sent)
    received = b''
    try:
        async with asyncio.timeout(0.5):
            while chunk := await reader.read(65_536):
                received += chunk
    except (TimeoutError, ConnectionError):
        pass
    writer.close()
    return received


@pytest.mark.parametrize('name', MALFORMED_REQUESTS)
async def test_malformed_request_is_rejected_and_does_not_run(cluster, name):
    """Neither the malformed nor the smuggled request runs; later ones do."""
    received = await _send_and_receive(cluster, MALFORMED_REQUESTS[name])
    assert not received or received.split(b' ', 2)[1].startswith(b'4')
    assert not cluster.upstreams[0].runs
    status, _, _ = await cluster.send_request(request_id='proper')
    assert status == 200


async def test_pipelined_requests_are_answered_in_order(cluster):
    """Each pipelined request gets exactly one answer, its own."""
    requests = b''.join(
        b'POST /fee/1 HTTP/1.1\r\n'
        + HEAD.replace(b'one', name)
        + b'Content-Length: 1\r\n\r\nx'
        for name in (b'first', b'second')
    )
    received = await _send_and_receive(cluster, requests)
    assert received.count(b'HTTP/1.1 200') == 2
    assert 0 < received.index(b'first') < received.index(b'second')
    assert cluster.upstreams[0].runs == {'first': 1, 'second': 1}


async def test_truncated_request_does_not_run(cluster):
    """A caller that closes before its body is complete runs nothing."""
    address = inputs.parse_address(cluster.settings[0].adapter.callers)
    _, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(
        b'POST /fee/1 HTTP/1.1\r\n' + HEAD + b'Content-Length: 9\r\n\r\nx'
    )
    await writer.drain()
    writer.close()
    await writer.wait_closed()
    status, _, _ = await cluster.send_request(request_id='proper')
    assert status == 200
    assert cluster.upstreams[0].runs == {'proper': 1}


@pytest.mark.parametrize('target', ['/fee/1', '/fee/1?', '/fee/1?a=%2F+b&a'])
async def test_query_was_changed_on_its_way(cluster, target):
    """Path and query reach the upstream as the caller has sent them."""
    received = await _send_and_receive(
        cluster,
        f'POST {target} HTTP/1.1\r\n'.encode()
        + HEAD
        + b'Connection: close\r\nContent-Length: 1\r\n\r\nx',
    )
    assert received.startswith(b'HTTP/1.1 200')
    assert cluster.upstreams[0].targets == [target]


async def test_caller_that_closes_its_writing_side_counts_as_gone(cluster):
    """The end of its data cannot be told from the close of the connection.

    The run of an idempotent request must stop.
    """
    await cluster.store.put(
        'op/config', platform_cluster.configuration(2, kind='safe')
    )
    await cluster.wait_until(lambda: cluster.nodes[0].route_sets.revision == 2)
    upstream = cluster.upstreams[0]
    upstream.held['one'] = asyncio.Event()
    address = inputs.parse_address(cluster.settings[0].adapter.callers)
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(
        b'POST /fee/1 HTTP/1.1\r\n' + HEAD + b'Content-Length: 1\r\n\r\nx'
    )
    await cluster.wait_until(lambda: upstream.started)
    writer.write_eof()
    assert not await reader.read()
    await cluster.wait_until(lambda: upstream.cancelled == ['one'])
    writer.close()
