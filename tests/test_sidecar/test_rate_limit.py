"""Tests that no upstream receives more requests than it asks for."""

from __future__ import annotations

import pytest

from bench.soak import checks
from jasminebeam.model import upstreams
from jasminebeam.peering import messages
from jasminebeam.sidecar import sidecar

WINDOW_MS = 4_000.0
# The limit binds this time after it was first named.
BINDING_AFTER_MS = 3_000.0
LIMIT_PER_S = 4.0
INTERVAL_S = 0.03


def allowed(limit_per_s, window_ms=WINDOW_MS):
    """Return how many requests an upstream may receive in a window."""
    return 1.5 * limit_per_s * window_ms / 1_000 + 5


def _send_for(cluster, seconds, method='POST'):
    for _ in range(int(seconds / INTERVAL_S)):
        cluster.send(cluster.call(method))
        cluster.run(INTERVAL_S)


@pytest.fixture
def limited(cluster):
    """Provide a busy upstream that has named a limit for three seconds."""
    server = cluster.add('limited', slots=9)
    server.upstream.service_s = 0.05
    _send_for(cluster, 1.0)
    server.upstream.notice = upstreams.Notice(LIMIT_PER_S)
    _send_for(cluster, BINDING_AFTER_MS / 1_000)
    return server


def _most_since(server, since_ms):
    """Return the largest number of arrivals in any sliding window."""
    arrivals_ms = [
        instant_ms
        for instant_ms in server.upstream.arrivals_ms
        if instant_ms >= since_ms
    ]
    return checks.most_in_window(arrivals_ms, WINDOW_MS)


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_named_limit_was_exceeded(cluster, limited, method):
    """The requests of any four seconds must stay within the limit."""
    since_ms = cluster.loop.now_ms()
    _send_for(cluster, 10.0, method)
    assert 0 < _most_since(limited, since_ms) <= allowed(LIMIT_PER_S)


def test_named_limit_was_forgotten_in_a_restart(cluster, limited):
    """A restarted sidecar must know the limit before its first request."""
    since_ms = cluster.loop.now_ms()
    limited.upstream.notice = upstreams.NO_NOTICE
    for _ in range(3):
        _send_for(cluster, 1.0)
        limited.restart()
    _send_for(cluster, 1.0)
    assert 0 < _most_since(limited, since_ms) <= allowed(LIMIT_PER_S)


def test_leaving_upstream_received_requests(cluster, limited):
    """Once an answer says that the upstream leaves, it gets no request."""
    limited.upstream.notice = upstreams.Notice(leaving=True)
    _send_for(cluster, 2.0)
    since_ms = cluster.loop.now_ms()
    _send_for(cluster, 3.0)
    assert not _most_since(limited, since_ms)


def test_leaving_upstream_received_requests_after_a_restart(cluster, limited):
    """A restarted sidecar must know that its upstream leaves."""
    limited.upstream.notice = upstreams.Notice(leaving=True)
    _send_for(cluster, 2.0)
    limited.upstream.notice = upstreams.NO_NOTICE
    since_ms = cluster.loop.now_ms()
    limited.restart()
    _send_for(cluster, 3.0)
    assert not _most_since(limited, since_ms)


@pytest.fixture
def restarted(cluster):
    """Provide a sidecar that has not found its upstream yet."""
    return sidecar.Sidecar(
        2,
        sidecar.Limits(),
        cluster.log,
        cluster.metrics,
        cluster.loop.now_ms,
    )


def _attach(restarted, upstream, started_ms=0):
    announcement = upstreams.Announcement(
        'fees', 1, upstream_id='u', started_ms=started_ms
    )
    restarted.attach(announcement, upstream)
    restarted.adopt_pending_notice()


def _notice(limit_per_s, leaving=False, started_ms=7):
    return messages.UpstreamNotice('u', started_ms, limit_per_s, 0, leaving)


@pytest.mark.parametrize('attached_first', [False, True])
@pytest.mark.parametrize(
    'notices',
    [
        (_notice(None, leaving=True), _notice(4.0)),
        (_notice(8.0), _notice(4.0, leaving=True)),
        (_notice(4.0), _notice(8.0, leaving=True)),
    ],
)
def test_older_notice_replaced_a_newer_one(
    cluster, limited, restarted, notices, attached_first
):
    """Ingress nodes may have heard of the upstream at different times.

    A mark of one of them holds, and so does the lowest limit.
    """
    if attached_first:
        _attach(restarted, limited.upstream)
    for notice in notices:
        restarted.handle(notice, lambda reply: None)
    if not attached_first:
        _attach(restarted, limited.upstream)
    assert restarted.phase is upstreams.Phase.DRAINING
    limits = cluster.metrics.registry.get_sample_value(
        'jasminebeam_upstream_limit_per_s'
    )
    assert limits == LIMIT_PER_S


def test_raised_limit_was_used_late(cluster):
    """Requests that wait for the limit start when it is raised."""
    server = cluster.add('limited', slots=9)
    server.upstream.service_s = 0.05
    server.upstream.notice = upstreams.Notice(1.0)
    cluster.send(cluster.call())
    cluster.run(0.2)
    waiting = cluster.send(cluster.call())
    cluster.run(0.1)
    assert not waiting.done()
    raised = upstreams.Notice(50.0)
    server.upstream.on_notice(upstreams.NoticeSource.HEALTH, raised)
    cluster.run(0.2)
    assert waiting.done()


def test_requests_before_a_fall_were_forgotten_in_a_restart(cluster):
    """They use up the lower limit in the new process as well."""
    server = cluster.add('limited', slots=9)
    server.upstream.service_s = 0.05
    server.upstream.notice = upstreams.Notice(100.0)
    _send_for(cluster, 1.0)
    server.upstream.notice = upstreams.Notice(LIMIT_PER_S)
    _send_for(cluster, 0.5)
    since_ms = cluster.loop.now_ms()
    server.restart()
    _send_for(cluster, 2.0)
    assert not _most_since(server, since_ms)
