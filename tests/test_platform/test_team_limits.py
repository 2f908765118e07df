"""Tests of the rate limits of teams on real nodes."""

from __future__ import annotations

import asyncio
import json

import pytest

from jasminebeam import clock
from jasminebeam.peering import token_messages
from tests import platform_cluster
from tests.test_platform import test_teams

RED = {'Authorization': 'Bearer red-secret'}
BLUE = {'Authorization': 'Bearer blue-key'}
# So low that no token is generated during a test.
RATE_PER_S = 0.001
BURST = 10.0
# The capacity is larger than the burst (jasminebeam/quotas/limit.py).
CAPACITY = 20


def document(version, **limits):
    """Return a configuration whose team red has the given limits."""
    found = test_teams.document(version)
    for entry in found['tenants']:
        if entry['name'] == 'red':
            entry.update(limits)
    return json.loads(json.dumps(found))


@pytest.fixture
async def cluster(monkeypatch):
    """Provide two nodes whose fleet size has been known for some time."""
    monkeypatch.setattr('jasminebeam.quotas.fleet_size.JOIN_MS', 100.0)
    monkeypatch.setattr('jasminebeam.quotas.fleet_size.YOUNG_MS', 100.0)
    monkeypatch.setattr('jasminebeam.quotas.limit.WINDOW_MS', 100.0)
    created = platform_cluster.Cluster()
    await created.start()
    await created.add_host()
    await created.add_host()
    await created.wait_until(
        lambda: all(
            len(node.membership.members()) == 2 for node in created.nodes
        )
    )
    for node in created.nodes:
        await created.wait_until(lambda node=node: _is_settled(node))
    yield created
    await created.close()


def _is_settled(node):
    limits = node._team_limits._state
    now_ms = clock.boottime_ms()
    return limits.nodes(now_ms) == 2 and (
        now_ms - limits._size.settled_ms > 200.0
    )


async def put(cluster, found):
    """Write a configuration and wait until both nodes have it."""
    await test_teams.put(cluster, found)
    version = int(found['version'], 16)
    await cluster.wait_until(
        lambda: cluster.nodes[1].route_sets.revision == version
    )


async def send(cluster, count, index=0, **headers):
    """Send requests one after the other; return the numbers by status."""
    statuses = []
    for _ in range(count):
        status, _, _ = await cluster.send_request(index, **headers)
        statuses.append(status)
    return {status: statuses.count(status) for status in set(statuses)}


async def test_team_exceeded_its_limit_over_all_nodes(cluster):
    """One node's requests use the tokens of both, and then get 429."""
    await put(cluster, document(3, ratePerS=RATE_PER_S, burst=BURST))
    found = await send(cluster, CAPACITY + 5, **RED)
    assert found == {200: found[200], 429: CAPACITY + 5 - found[200]}
    other = await send(cluster, CAPACITY, 1, **RED)
    # Fractions of a token may expire unused.
    assert BURST <= found[200] + other.get(200, 0) <= CAPACITY
    status, received, body = await cluster.send_request(**RED)
    assert status == 429
    assert float(received['Retry-After']) > 0
    assert json.loads(body) == {'error': 'team_limited'}
    assert await send(cluster, 3, **BLUE) == {200: 3}
    shown = cluster.nodes[0].metrics.render().decode()
    assert 'team="red"' in shown and 'outcome="limited"' in shown


async def test_request_that_did_not_run_used_its_token(cluster):
    """While no upstream takes work, requests return their tokens."""
    await put(cluster, document(3, ratePerS=RATE_PER_S, burst=BURST))
    for node in cluster.nodes:
        node.drain_upstream()
    await cluster.wait_until(
        lambda: all(
            member.phase != 1
            for member in cluster.nodes[0].membership.members()
        )
    )
    found = await send(cluster, CAPACITY + 5, **RED)
    assert found == {503: CAPACITY + 5}


async def test_configuration_without_limits_sent_messages(cluster):
    """Teams without limits cause no messages of tokens and no timer."""
    sent = []
    for node in cluster.nodes:
        node._token_links.send = lambda *message: sent.append(message)
    assert await send(cluster, 30, **RED) == {200: 30}
    assert not sent
    for node in cluster.nodes:
        assert node._team_limits._timer is None
        for message_type in token_messages.TYPES:
            name = message_type.__name__
            assert name not in node.metrics.render().decode()


async def test_caller_that_left_kept_its_token(cluster):
    """A token that arrives after its caller has left is returned."""
    await put(cluster, document(3, ratePerS=RATE_PER_S, burst=BURST))
    limits = cluster.nodes[0]._team_limits
    decisions = [
        await limits.acquire('red', 1_000.0) for _ in range(CAPACITY // 2)
    ]
    assert all(decision.expires_ms is not None for decision in decisions)
    # The next one needs a token of the other node.
    waiting = asyncio.create_task(limits.acquire('red', 1_000.0))
    await asyncio.sleep(0)
    waiting.cancel()
    await cluster.wait_until(lambda: not limits._futures)
    share = limits._state._teams['red'].share
    assert share.held(clock.boottime_ms()) >= 1.0
