"""Tests that a node restart does not undo an acknowledged leave."""

from __future__ import annotations

import asyncio

import pytest

from jasminebeam.model import upstreams
from jasminebeam.upstreams import lifecycle
from tests import platform_cluster

# Longer than a health check of an upstream that answers.
SETTLE_S = 0.3


@pytest.fixture
async def cluster():
    """Provide a cluster with one host whose upstream has served a request."""
    created = platform_cluster.Cluster()
    await created.start()
    await created.add_host()
    assert (await created.send_request())[0] == 200
    yield created
    await created.close()


async def _restart_node(cluster):
    """Stop the node and start another process of it."""
    await cluster.nodes.pop().stop()
    restarted = await cluster.start_node(cluster.settings[0])
    cluster.nodes.append(restarted)
    return restarted


def _address(cluster):
    return cluster.settings[0].adapter.announcements


async def _expect_no_run(cluster):
    upstream = cluster.upstreams[0]
    runs = upstream.runs.total()
    statuses = set()
    async with asyncio.timeout(10.0):
        for number in range(10):
            status, _, _ = await cluster.send_request(request_id=f'r{number}')
            statuses.add(status)
            await asyncio.sleep(SETTLE_S / 10)
    assert statuses == {503}
    assert upstream.runs.total() == runs


@pytest.mark.parametrize('statement', ['draining', 'leave'])
async def test_restarted_node_forgot_what_the_former_one_acknowledged(
    cluster, statement
):
    """A late heartbeat must not put the upstream into service again."""
    upstream = cluster.upstreams[0]
    if statement == 'leave':
        assert await upstream.send_leave_notice(_address(cluster)) == 200
    else:
        status = await upstream.send_heartbeat(
            _address(cluster), state='draining'
        )
        assert status == 200
    upstream.healthy = False
    await _restart_node(cluster)
    assert await upstream.send_heartbeat(_address(cluster), sequence=2) == 200
    await _expect_no_run(cluster)


async def test_restarted_node_forgot_a_leave_before_the_first_heartbeat(
    cluster,
):
    """The leave notice binds though the node has not found the upstream."""
    upstream = cluster.upstreams[0]
    upstream.healthy = False
    await _restart_node(cluster)
    assert await upstream.send_leave_notice(_address(cluster)) == 200
    assert await upstream.send_heartbeat(_address(cluster)) == 200
    await _expect_no_run(cluster)


async def test_restarted_node_uses_an_upstream_that_tells_no_load(cluster):
    """Its heartbeat and a health check suffice."""
    upstream = cluster.upstreams[0]
    upstream.healthy = False
    restarted = await _restart_node(cluster)
    upstream.tells_load = False
    upstream.healthy = True
    assert await upstream.send_heartbeat(_address(cluster)) == 200
    await cluster.wait_until(
        lambda: restarted.sidecar.phase is upstreams.Phase.READY
    )
    assert restarted.sidecar.announcement.started_ms == 1
    assert (await cluster.send_request(request_id='after'))[0] == 200


async def test_upstream_that_seems_ill_serves_once_it_cannot_have_left(
    cluster, monkeypatch
):
    """A heartbeat from after the node's start needs no health check."""
    monkeypatch.setattr(lifecycle, 'MAX_HEARTBEAT_DELAY_MS', 0.0)
    upstream = cluster.upstreams[0]
    upstream.healthy = False
    restarted = await _restart_node(cluster)
    assert await upstream.send_heartbeat(_address(cluster)) == 200
    assert restarted.sidecar.phase is upstreams.Phase.READY
