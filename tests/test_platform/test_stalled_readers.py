"""Tests of callers that do not read their answers."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest

from jasminebeam.callers import connections
from jasminebeam import inputs
from tests import platform_cluster

IDLE_TIMEOUT_MS = 300
BODY_BYTES = 1_000_000
RECEIVE_BUFFER_BYTES = 4_096
# The operating system buffers the first few answers.
REQUESTS = 8


@pytest.fixture
async def cluster():
    """Provide a node with a short idle timeout and a large answer."""
    created = platform_cluster.Cluster()
    await created.start()
    document = json.loads(
        platform_cluster.configuration(version=2, timeoutMs=9_000)
    )
    document['limits']['idleTimeoutMs'] = IDLE_TIMEOUT_MS
    await created.store.put('op/config', json.dumps(document).encode())
    await created.add_host()
    created.upstreams[0].body = bytes(BODY_BYTES)
    yield created
    await created.close()


async def _connect(address):
    """Connect with a small receive buffer, so that the node must wait."""
    connected = socket.socket()
    connected.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    connected.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connected, (address.host, address.port))
    return await asyncio.open_connection(
        sock=connected, limit=RECEIVE_BUFFER_BYTES
    )


async def _read_after(cluster, pause_s):
    """Send requests, pause, and return how many bytes arrive."""
    address = inputs.parse_address(cluster.settings[0].adapter.callers)
    reader, writer = await _connect(address)
    for number in range(REQUESTS):
        ending = 'close' if number == REQUESTS - 1 else 'keep-alive'
        writer.write(
            f'POST /fee/1 HTTP/1.1\r\nHost: {platform_cluster.HOST}\r\n'
            f'Request-Id: r{number}\r\nDeadline-Ms: 9000\r\n'
            f'Connection: {ending}\r\nContent-Length: 0\r\n\r\n'.encode()
        )
    await asyncio.sleep(pause_s)
    received = bytearray()
    try:
        while part := await reader.read(65_536):
            received += part
    except ConnectionError:
        pass
    writer.close()
    return len(received)


async def test_answer_that_nobody_reads_is_given_up(cluster):
    """A caller that reads nothing must not keep its answer in memory."""
    pause_s = IDLE_TIMEOUT_MS / 1_000 + connections.IDLE_MARGIN_S + 1.0
    assert await _read_after(cluster, pause_s) < REQUESTS * BODY_BYTES


async def test_answer_that_is_read_late_is_complete(cluster):
    """A pause within the idle timeout must not cut the answer."""
    assert await _read_after(cluster, 0.2) > REQUESTS * BODY_BYTES
