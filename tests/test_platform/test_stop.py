"""Tests of requests that arrive late in a graceful stop."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

import msgspec
import pytest

from jasminebeam import inputs
from tests import platform_cluster

STOP_TIMEOUT_MS = 700


def _request(request_id, time_left_ms):
    return (
        f'POST /fee/1 HTTP/1.1\r\nHost: {platform_cluster.HOST}\r\n'
        f'Request-Id: {request_id}\r\nDeadline-Ms: {time_left_ms}\r\n'
        'Content-Length: 1\r\n\r\nx'
    ).encode()


@pytest.fixture
async def cluster():
    """Provide a cluster whose first node stops within a short time."""
    created = platform_cluster.Cluster()
    await created.start()
    made = created.node_settings

    def node_settings(name, *args):
        loaded = made(name, *args)
        section = msgspec.structs.replace(
            loaded.node.node, stop_timeout_ms=STOP_TIMEOUT_MS
        )
        shortened = dataclasses.replace(loaded.node, node=section)
        return dataclasses.replace(loaded, node=shortened)

    created.node_settings = node_settings
    yield created
    await created.close()


class Caller:
    """Sends requests over one kept connection."""

    async def connect(self, loaded):
        """Connect to a node."""
        address = inputs.parse_address(loaded.adapter.callers)
        self.reader, self.writer = await asyncio.open_connection(
            address.host, address.port
        )

    async def send(self, request_id, time_left_ms):
        """Send a request and return the head of the answer."""
        self.writer.write(_request(request_id, time_left_ms))
        return await self.reader.readuntil(b'\r\n\r\n')


@contextlib.asynccontextmanager
async def _stopping_node(cluster):
    """Stop a node that a long request keeps running; yield a caller."""
    first = await cluster.add_host()
    await cluster.add_host()
    await cluster.wait_until(lambda: len(first.routes.members_of('fees')) == 2)
    idle = Caller()
    await idle.connect(cluster.settings[0])
    for stand_in in cluster.upstreams:
        stand_in.held['long'] = asyncio.Event()
    long_request = asyncio.create_task(
        cluster.send_request(request_id='long', time_left_ms=5_000)
    )
    await cluster.wait_until(lambda: any(s.started for s in cluster.upstreams))
    stopping = asyncio.create_task(cluster.nodes.pop(0).stop())
    await asyncio.sleep(0.3)
    try:
        yield idle
    finally:
        idle.writer.close()
        for stand_in in cluster.upstreams:
            stand_in.held['long'].set()
        status, _, _ = await long_request
        await stopping
    assert status == 200


def _runs(cluster, request_id):
    return sum(s.runs[request_id] for s in cluster.upstreams)


async def test_late_request_was_cut_at_the_end_of_the_grace(cluster):
    """A request that may outlast the stop must be refused as not run."""
    async with _stopping_node(cluster) as idle:
        head = await idle.send('late', time_left_ms=5_000)
        assert head.startswith(b'HTTP/1.1 503')
        assert b'Retry-After' in head
        assert b'Connection: close' in head
    assert not _runs(cluster, 'late')


async def test_late_request_that_ends_in_time_is_served(cluster):
    """A request whose deadline lies before the end of the stop may run."""
    async with _stopping_node(cluster) as idle:
        head = await idle.send('short', time_left_ms=200)
        assert head.startswith(b'HTTP/1.1 200')
    assert _runs(cluster, 'short') == 1
