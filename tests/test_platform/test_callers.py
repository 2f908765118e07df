"""Tests of callers' requests in the platform's protocol."""

from __future__ import annotations

import pytest

from jasminebeam.model import routes
from jasminebeam.peering import messages
from tests import platform_cluster


@pytest.fixture
async def cluster():
    """Provide a cluster without nodes."""
    created = platform_cluster.Cluster()
    await created.start()
    yield created
    await created.close()


async def _forwarded_priorities(cluster, request_id):
    """Send a request and return the priorities that the sidecar receives."""
    priorities = []
    handle = cluster.nodes[0].sidecar.handle

    def recording_handle(message, send):
        if getattr(message, 'request_id', '') == request_id:
            priorities.append(message.priority)
        handle(message, send)

    cluster.nodes[0].sidecar.handle = recording_handle
    status, _, _ = await cluster.send_request(**{'Request-Id': request_id})
    assert status == 200
    return priorities


async def test_nested_call_of_a_running_request_has_priority(cluster):
    """A nested call of a running request precedes new requests.

    A refusal of the nested call would waste the work that the parent
    request has already done.
    """
    node = await cluster.add_host()
    node.sidecar._execution.running.add('parent')
    assert await _forwarded_priorities(cluster, 'parent.1') == [
        routes.NESTED_PRIORITY
    ]


async def test_unknown_parent_id_gives_no_priority(cluster):
    """Only a parent that runs at this node's upstream gives priority."""
    await cluster.add_host()
    (priority,) = await _forwarded_priorities(cluster, 'elsewhere.1')
    assert priority != routes.NESTED_PRIORITY


async def test_objective_counts_from_the_first_attempt(cluster):
    """A caller that retries has less time left, so its objective is nearer.

    The objective may even have passed.
    """
    node = await cluster.add_host()
    objectives_left_us = []
    handle = node.sidecar.handle

    def recording_handle(message, send):
        if isinstance(message, messages.Request):
            objectives_left_us.append(message.objective_left_us)
        handle(message, send)

    node.sidecar.handle = recording_handle
    for number, time_left_ms in enumerate((1_000, 1_000, 1_000, 600)):
        await cluster.send_request(
            time_left_ms=time_left_ms, request_id=f'r{number}'
        )
    *first_attempts, retry = objectives_left_us
    assert retry < min(first_attempts) - 300_000
