"""Tests of requests to upstreams that name rate limits."""

from __future__ import annotations

import pytest

from jasminebeam.model import upstreams
from jasminebeam import verdict
from tests import cluster as cluster_module

LIMIT_PER_S = 2.0
INTERVAL_S = 0.05


def _add_upstreams(cluster):
    """Add two equal upstreams of which the first is preferred."""
    for name in ('limited', 'free'):
        cluster.add(name, slots=9).upstream.service_s = 0.05


@pytest.fixture
def fleet(cluster):
    """Provide one upstream with a limit and one without."""
    _add_upstreams(cluster)
    limited = cluster.servers['limited']
    limited.upstream.notice = upstreams.Notice(LIMIT_PER_S)
    return cluster


@pytest.fixture
def unlimited_fleet():
    """Provide the same upstreams without a limit."""
    created = cluster_module.SimulatedCluster()
    _add_upstreams(created)
    yield created
    created.close()


def _send_all(cluster, count, method='POST', timeout_ms=2_000.0):
    """Send requests at a fixed interval and return verdicts and times."""
    ended = []

    def record(task, sent_ms):
        ended.append((task.result(), cluster.loop.now_ms() - sent_ms))

    for _ in range(count):
        task = cluster.send(cluster.call(method, timeout_ms))
        sent_ms = cluster.loop.now_ms()
        task.add_done_callback(lambda t, s=sent_ms: record(t, s))
        cluster.run(INTERVAL_S)
    cluster.run(timeout_ms / 1_000)
    assert len(ended) == count
    return ended


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_nobody_is_refused_while_another_upstream_has_room(fleet, method):
    """Requests must go where there is room, without ejections."""
    ended = _send_all(fleet, 200, method)
    assert all(
        result.outcome is verdict.Outcome.ANSWERED for result, _ in ended
    )
    assert fleet.count('ejections', service='fees') == 0


def test_limit_causes_no_hedges(fleet, unlimited_fleet):
    """A limit must not add hedges to those of slow answers."""
    labels = {'service': 'fees', 'result': 'sent'}
    for created in (fleet, unlimited_fleet):
        _send_all(created, 200, 'GET')
    most = unlimited_fleet.count('hedges', **labels)
    assert fleet.count('hedges', **labels) <= most


def test_hedge_was_sent_to_a_limited_upstream(fleet):
    """A hedge must not use up a limit that other requests need."""
    _send_all(fleet, 20, 'GET')
    labels = {'service': 'fees', 'result': 'sent'}
    before = fleet.count('hedges', **labels)
    fleet.servers['free'].upstream.service_s = 0.8
    _send_all(fleet, 40, 'GET')
    assert fleet.count('hedges', **labels) == before


def test_room_of_a_limited_upstream_is_used(fleet):
    """A limit must not keep all requests away from its upstream."""
    fleet.servers['free'].upstream.service_s = 1.0
    before = fleet.servers['limited'].upstream.runs.total()
    seconds = 200 * INTERVAL_S
    _send_all(fleet, 200)
    runs = fleet.servers['limited'].upstream.runs.total() - before
    assert runs >= 0.8 * LIMIT_PER_S * seconds


def test_load_beyond_all_limits_is_refused_at_once(fleet):
    """A request that no limit has room for must be refused as not run."""
    free = fleet.servers['free'].upstream
    free.notice = upstreams.Notice(LIMIT_PER_S)
    _send_all(fleet, 20)
    runs = sum(s.upstream.runs.total() for s in fleet.servers.values())
    ended = _send_all(fleet, 200, timeout_ms=300.0)
    refused = [
        (result, took_ms)
        for result, took_ms in ended
        if result.outcome is not verdict.Outcome.ANSWERED
    ]
    assert refused
    for result, _ in refused:
        assert result.outcome is verdict.Outcome.NOT_RUN
    took_ms = sorted(took_ms for _, took_ms in refused)
    assert took_ms[len(took_ms) // 2] < 50.0
    assert fleet.count('ejections', service='fees') == 0
    reasons = {result.reason for result, _ in refused}
    assert verdict.Reason.RATE_LIMITED in reasons
    added = sum(s.upstream.runs.total() for s in fleet.servers.values()) - runs
    assert added >= 0.8 * 2 * LIMIT_PER_S * 200 * INTERVAL_S


def test_refusals_by_the_limit_use_no_retry_budget(fleet):
    """The limit is no failure, so it must not count as a retry."""
    fleet.servers['free'].upstream.notice = upstreams.Notice(LIMIT_PER_S)
    _send_all(fleet, 100, 'GET', timeout_ms=300.0)
    labels = {'service': 'fees', 'reason': 'rate_limited'}
    assert fleet.count('retries_denied', **labels) == 0


def test_no_notice_is_sent_without_a_limit(cluster):
    """A fleet without limits must exchange the same messages as before."""
    server = cluster.add('free', slots=9)
    sent = []
    original = server.sidecar.handle

    def handle(message, send):
        def record(reply):
            sent.append(type(reply).__name__)
            send(reply)

        original(message, record)

    server.sidecar.handle = handle
    _send_all(cluster, 20)
    assert 'Reply' in sent
    assert 'UpstreamNotice' not in sent


def test_ended_limit_stayed_known_at_an_idle_node(fleet):
    """A load sample without a notice ahead shows that the limit has ended."""
    _send_all(fleet, 20)
    server = fleet.servers['limited']
    state = fleet.routes.state('limited')
    assert state.limit_per_s == LIMIT_PER_S
    server.upstream.notice = upstreams.NO_NOTICE
    fleet.run(4.0)
    server.upstream.on_notice(
        upstreams.NoticeSource.ANSWER, upstreams.NO_NOTICE
    )
    fleet.run(9.0)
    _send_all(fleet, 20)
    assert state.limit_per_s is None
    now_ms = fleet.loop.now_ms()
    next_boot_id = server.sidecar.boot_id + 1
    assert not fleet.routes.notices.for_restarted(
        'limited', next_boot_id, now_ms
    )
