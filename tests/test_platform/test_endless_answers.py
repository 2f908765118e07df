"""Tests of nodes beside upstreams that send bytes without end."""

from __future__ import annotations

import pytest

from jasminebeam.model import upstreams
from tests import platform_cluster

SERVED = 200
NOT_RUN = 503


@pytest.fixture
async def cluster():
    """Provide two hosts whose upstreams are of one service."""
    created = platform_cluster.Cluster()
    await created.start()
    for _ in range(2):
        await created.add_host()
    await created.wait_until(
        lambda: all(_available(node) == 2 for node in created.nodes)
    )
    yield created
    await created.close()


def _available(node):
    return sum(
        member.phase is upstreams.Phase.READY
        for member in node.membership.members()
    )


async def _send(cluster, number, index=1):
    request_id = f'{number:016x}'
    status, _, _ = await cluster.send_request(index, request_id=request_id)
    return request_id, status


def _suspensions(node, event):
    return node.metrics.events.labels(str(event))._value.get()


async def test_endless_upstream_was_probed_and_used_all_the_time(cluster):
    """It leaves routing after one response and returns when it is sound.

    The sidecar must not open a connection for each further request, nor for
    each health check while requests wait.
    """
    unsound = cluster.upstreams[0]
    unsound.endless = True
    await cluster.wait_until(lambda: unsound.endless_responses)
    await cluster.wait_until(
        lambda: all(_available(node) == 1 for node in cluster.nodes)
    )
    before = unsound.endless_responses
    for number in range(50):
        index = number % 2
        assert (await _send(cluster, number, index))[1] == SERVED
    # Health checks 1, 3 and 7 s after the first suspension.
    assert unsound.endless_responses <= before + 3
    assert not unsound.runs
    unsound.endless = False
    await platform_cluster.wait_until(
        lambda: all(_available(node) == 2 for node in cluster.nodes), 10.0
    )
    for number in range(50, 100):
        assert (await _send(cluster, number))[1] == SERVED
    assert unsound.runs


async def test_request_that_was_sent_is_never_said_not_to_have_run(cluster):
    """All upstreams are unsound at once; the promise of a 503 must hold."""
    for stand_in in cluster.upstreams:
        stand_in.endless = True
    statuses = dict([await _send(cluster, number) for number in range(40)])
    runs = cluster.upstreams[0].runs + cluster.upstreams[1].runs
    assert set(runs.values()) <= {1}
    for request_id, status in statuses.items():
        assert status != SERVED
        assert (status == NOT_RUN) == (request_id not in runs)
    # The rest was refused without a connection to an upstream.
    assert len(runs) <= 2
    for node, stand_in in zip(cluster.nodes, cluster.upstreams, strict=True):
        assert stand_in.endless_responses <= 4
        assert _suspensions(node, 212) <= 3
