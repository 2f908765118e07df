"""Tests with another service's upstream at an address that is used again."""

from __future__ import annotations

import asyncio
import json

import pytest_asyncio

from bench.standins import platform_upstream
from jasminebeam import inputs
from jasminebeam.model import upstreams
from tests import platform_cluster

OTHER_SERVICE = 'seats'
# Longer than the interval at which a node looks for an upstream.
SETTLE_S = 0.5


@pytest_asyncio.fixture
async def cluster():
    """Provide a cluster with a second service that has no route."""
    created = platform_cluster.Cluster()
    await created.start()
    document = json.loads(platform_cluster.configuration(version=2))
    document['clusters'].append(
        {'name': OTHER_SERVICE, 'healthPath': '/health', 'maxConnections': 99}
    )
    await created.store.put('op/config', json.dumps(document).encode())
    yield created
    await created.close()


async def _replace_upstream(cluster):
    """End the first host's upstream and start a foreign one in its place."""
    ended = cluster.upstreams.pop()
    await ended.stop()
    foreign = platform_upstream.PlatformUpstreamStandIn(
        ended.port, 'i-foreign', OTHER_SERVICE
    )
    await foreign.start()
    cluster.upstreams.append(foreign)
    return foreign


async def test_foreign_upstream_ran_requests_until_its_first_heartbeat(
    cluster,
):
    """A health check proves an identity, but not to which service it belongs.

    The settings still name the service of the upstream that has ended.
    """
    created = await cluster.add_host()
    assert (await cluster.send_request())[0] == 200
    foreign = await _replace_upstream(cluster)
    await created.check_upstream()
    assert created.sidecar.phase is upstreams.Phase.ABSENT
    await asyncio.sleep(SETTLE_S)
    statuses = [
        (await cluster.send_request(request_id=f'r{number}'))[0]
        for number in range(5)
    ]
    assert statuses == [503] * 5
    assert not foreign.runs


async def test_foreign_upstream_serves_its_own_service_once_announced(cluster):
    """The heartbeat puts the upstream into service under its service."""
    created = await cluster.add_host()
    foreign = await _replace_upstream(cluster)
    await created.check_upstream()
    address = cluster.settings[0].adapter.announcements
    assert await foreign.send_heartbeat(address, born=2) == 200
    assert created.sidecar.announcement.service == OTHER_SERVICE
    assert created.sidecar.announcement.upstream_id == 'i-foreign'
    assert (await cluster.send_request())[0] == 503
    assert not foreign.runs


async def test_replacement_of_the_same_service_serves_after_a_heartbeat(
    cluster,
):
    """A new upstream of the service must not wait for a health check."""
    created = await cluster.add_host()
    foreign = await _replace_upstream(cluster)
    foreign.service = 'fees'
    await created.check_upstream()
    await foreign.send_heartbeat(
        cluster.settings[0].adapter.announcements, born=2
    )
    assert (await cluster.send_request())[0] == 200
    assert foreign.runs


async def test_node_took_a_later_upstream_for_the_configured_service(cluster):
    """An upstream that starts after the node must announce itself.

    Nothing listened at the address when the node started.
    """
    created = await cluster.add_host()
    await cluster.nodes.pop().stop()
    ended = cluster.upstreams.pop()
    await ended.stop()
    created = await cluster.start_node(cluster.settings[0])
    cluster.nodes.append(created)
    await asyncio.sleep(SETTLE_S)
    address = inputs.parse_address(cluster.settings[0].adapter.upstream)
    foreign = platform_upstream.PlatformUpstreamStandIn(
        address.port, 'i-foreign', OTHER_SERVICE
    )
    await foreign.start()
    cluster.upstreams.append(foreign)
    await asyncio.sleep(SETTLE_S)
    assert created.sidecar.announcement is None
    assert (await cluster.send_request())[0] == 503
    assert not foreign.runs
