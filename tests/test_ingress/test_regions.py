"""Tests of requests in a fleet of several regions."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from jasminebeam.peering import messages
from jasminebeam import verdict


@pytest.fixture
def fleet(cluster):
    """Provide one upstream in the own region and one in another."""
    local = cluster.add('local', slots=1)
    remote = cluster.add('remote', slots=1, domain='z', region='q')
    return cluster, local, remote


def _occupy(cluster, server):
    """Occupy the only slot of an upstream for ever."""
    server.upstream.blocked = asyncio.Event()

    async def submit():
        peer = cluster.pool.peer(server.member.node_id, server.member.address)
        peer.submit(cluster.call(timeout_ms=60_000.0), 1_000.0)

    cluster.loop.run_until_complete(submit())
    cluster.run(0.05)


def _count_queries(server):
    queries = []
    handle = server.sidecar.handle

    def recording_handle(message, send):
        if isinstance(message, messages.AdmissionQuery):
            queries.append(message)
        handle(message, send)

    server.sidecar.handle = recording_handle
    return queries


def test_requests_left_a_region_that_had_capacity(fleet):
    """Requests that the own region can serve cost no bytes between regions."""
    cluster, local, remote = fleet
    queries = _count_queries(remote)
    calls = [cluster.call() for _ in range(20)]
    for call in calls:
        cluster.result(cluster.send(call))
    assert sum(local.upstream.runs.values()) == len(calls)
    assert not remote.upstream.runs
    assert not queries


def test_request_waited_for_a_query_to_another_region(fleet):
    """A request that finds its region full goes abroad without a query.

    The reply of another region takes longer than a request may wait for it.
    """
    cluster, local, remote = fleet
    queries = _count_queries(remote)
    _occupy(cluster, local)
    call = cluster.call()
    result = cluster.result(cluster.send(call))
    assert result.outcome is verdict.Outcome.ANSWERED
    assert remote.upstream.runs[call.request_id] == 1
    assert not queries


def test_overloaded_region_sent_requests_to_a_region_known_as_full(fleet):
    """A request that no region can serve is refused at once, and not sent."""
    cluster, local, remote = fleet
    _occupy(cluster, local)
    _occupy(cluster, remote)
    sent = len(remote.upstream.runs)
    started_ms = cluster.loop.now_ms()
    call = dataclasses.replace(
        cluster.call(timeout_ms=40.0), objective_ms=started_ms + 1, route='r'
    )
    result = cluster.result(cluster.send(call))
    assert result.outcome is verdict.Outcome.NOT_RUN
    assert cluster.loop.now_ms() - started_ms < 40.0
    assert len(remote.upstream.runs) == sent


def test_hedge_left_the_region(fleet):
    """A hedge uses another region only if its own has no other upstream."""
    cluster, local, _ = fleet
    cluster.add('second', slots=1, domain='b')
    local.upstream.service_s = 0.5
    choice = cluster.dispatcher._selector.choose_for_hedge(
        cluster.service, {'local'}, cluster.loop.now_ms(), 0.0
    )
    assert choice.state.member.node_id == 'second'
    choice = cluster.dispatcher._selector.choose_for_hedge(
        cluster.service, {'local', 'second'}, cluster.loop.now_ms(), 0.0
    )
    assert choice.state.member.node_id == 'remote'
