"""Tests of callers' requests as the platform writes them."""

from __future__ import annotations

import pytest

from jasminebeam.model import routes
from jasminebeam.peering import messages
from tests import platform_site


@pytest.fixture
async def site():
    """Provide a node with an upstream."""
    created = platform_site.Site()
    await created.start()
    yield created
    await created.close()


async def _priorities(site, request_id):
    """Send a request and return the ranks with which it was handed over."""
    ranks = []
    handle = site.nodes[0].sidecar.handle

    def watched(message, send):
        if getattr(message, 'request_id', '') == request_id:
            ranks.append(message.priority)
        handle(message, send)

    site.nodes[0].sidecar.handle = watched
    status, _, _ = await site.ask(**{'Request-Id': request_id})
    assert status == 200
    return ranks


async def test_call_of_a_running_request_goes_before_new_work(site):
    """Refusing it would waste the work of its parent."""
    node = await site.add()
    node.sidecar._running.add('parent')
    assert await _priorities(site, 'parent.1') == [routes.NESTED_PRIORITY]


async def test_identifier_alone_gives_no_rank(site):
    """The parent must be at work beside this node."""
    await site.add()
    (rank,) = await _priorities(site, 'elsewhere.1')
    assert rank != routes.NESTED_PRIORITY


async def test_objective_counts_from_the_first_attempt(site):
    """A caller that comes back with less time is more urgent, or late."""
    node = await site.add()
    left_us = []
    handle = node.sidecar.handle

    def watched(message, send):
        if isinstance(message, messages.Request):
            left_us.append(message.objective_left_us)
        handle(message, send)

    node.sidecar.handle = watched
    for number, left_ms in enumerate((1_000, 1_000, 1_000, 600)):
        await site.ask(left_ms=left_ms, request_id=f'r{number}')
    *first, returned = left_us
    assert returned < min(first) - 300_000
