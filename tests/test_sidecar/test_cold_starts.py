"""Tests that no cold upstream gets more requests than it tolerates."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from bench.soak import checks
from jasminebeam import http_client
from jasminebeam.model import routes
from jasminebeam.model import upstreams
from jasminebeam.telemetry import events
from jasminebeam.upstreams import client
from jasminebeam import verdict

PER_S = 4.9
INTERVAL_S = 0.01


def allowed(per_s=PER_S):
    """Return how many requests a cold upstream may get in a second."""
    return 1.5 * per_s + 8


def _most(server):
    arrivals_ms = server.upstream.cold_arrivals_ms
    return checks.most_in_window(arrivals_ms, 1_000.0) if arrivals_ms else 0


def _add(cluster, count):
    servers = [
        cluster.add(f'u{number}', slots=5, cold_per_s=PER_S)
        for number in range(count)
    ]
    for server in servers:
        server.upstream.service_s = 0.05
    return servers


def _send_for(cluster, seconds, method='POST', timeout_ms=500.0):
    tasks = []
    for _ in range(round(seconds / INTERVAL_S)):
        tasks.append(cluster.send(cluster.call(method, timeout_ms)))
        cluster.run(INTERVAL_S)
    cluster.run(timeout_ms / 1_000)
    return [task.result() for task in tasks]


def _make_cold(cluster, server, seconds):
    server.upstream.cold_until_ms = cluster.loop.now_ms() + 1_000 * seconds


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('after_s', [0.5, 0.503, 0.511])
def test_upstream_that_became_cold_got_too_much(cluster, method, after_s):
    """The bound holds from the moment at which nobody knows of it yet."""
    servers = _add(cluster, 2)
    _send_for(cluster, 0.5, method)
    cluster.run(after_s)
    for server in servers:
        _make_cold(cluster, server, 2.0)
    _send_for(cluster, 4.0, method)
    assert all(0 < _most(server) <= allowed() for server in servers)


def test_half_of_the_upstreams_became_cold(cluster):
    """The others serve what they can, and nobody waits for a deadline."""
    servers = _add(cluster, 6)
    _send_for(cluster, 1.0)
    cold = servers[::2]
    for server in cold:
        _make_cold(cluster, server, 3.0)
    results = _send_for(cluster, 3.0)
    assert all(0 < _most(server) <= allowed() for server in cold)
    answered = [r.outcome is verdict.Outcome.ANSWERED for r in results]
    assert sum(answered) >= 0.98 * len(answered)


def test_urgent_requests_lost_to_others_at_cold_upstreams(cluster):
    """The priority decides who gets what all upstreams together take."""
    servers = _add(cluster, 3)
    _send_for(cluster, 0.5)
    for server in servers:
        _make_cold(cluster, server, 4.0)
    answered = {0: 0, 5: 0}
    tasks = []
    for priority in 200 * [0, 5]:
        call = dataclasses.replace(
            cluster.call('POST', 500.0), priority=priority
        )
        tasks.append((priority, cluster.send(call)))
        cluster.run(INTERVAL_S)
    cluster.run(0.5)
    for priority, task in tasks:
        result = task.result()
        answered[priority] += result.outcome is verdict.Outcome.ANSWERED
    assert answered[0] > 2 * answered[5]
    assert sum(answered.values()) >= 0.9 * 3 * PER_S * 4.0


@pytest.mark.parametrize('after_s', [0.0, 0.05, 0.4])
def test_restarted_sidecar_overran_a_cold_upstream(cluster, after_s):
    """Both processes together keep to the bound."""
    servers = _add(cluster, 2)
    _send_for(cluster, 1.0)
    for server in servers:
        _make_cold(cluster, server, 4.0)
    _send_for(cluster, after_s, timeout_ms=10.0)
    for server in servers:
        server.restart()
    _send_for(cluster, 3.0)
    assert all(_most(server) <= allowed() for server in servers)


def test_cold_upstream_without_health_responses_got_too_much(cluster):
    """Without responses the upstream gets the cold-start rate."""
    server, other = _add(cluster, 2)
    _send_for(cluster, 1.0)
    for tested in (server, other):
        tested.upstream.check_s = None
        _make_cold(cluster, tested, 9.0)
    _send_for(cluster, 6.0)
    for tested in (server, other):
        assert 0 < _most(tested) <= allowed()
        assert len(tested.upstream.cold_arrivals_ms) <= PER_S * 6.5 + 8


def test_warm_upstreams_were_slowed_down(cluster):
    """Checks must not cost throughput or refusals at a warm upstream."""
    servers = _add(cluster, 2)
    plain = cluster.add('plain', slots=5)
    plain.upstream.service_s = 0.05
    results = _send_for(cluster, 5.0)
    assert all(r.outcome is verdict.Outcome.ANSWERED for r in results)
    assert min(len(s.upstream.arrivals_ms) for s in servers) > 0
    for server in servers:
        assert len(server.upstream.checks_ms) <= 50 * 5.5


def test_lost_health_response_held_requests_back(cluster):
    """Another check replaces one whose response does not come."""
    (server,) = _add(cluster, 1)
    _send_for(cluster, 0.5)
    original = server.upstream.check_health
    lost = []

    async def lose_one_response():
        if not lost:
            lost.append(True)
            await asyncio.Event().wait()
        return await original()

    server.upstream.check_health = lose_one_response
    results = _send_for(cluster, 2.0)
    assert lost
    assert all(r.outcome is verdict.Outcome.ANSWERED for r in results)


def test_suspended_upstream_is_not_checked_in_a_loop(cluster):
    """While no check is allowed, the checks must not keep the node busy."""
    (server,) = _add(cluster, 1)
    response = client.UnusableResponse(http_client.EndReason.HEAD, 9)
    _send_for(cluster, 0.2)
    sidecar = server.sidecar
    sidecar.on_unusable(sidecar.announcement, response)
    _make_cold(cluster, server, 3.0)
    cluster.loop.call_soon(sidecar.on_announced_cold, 3_000.0)
    server.upstream.checks_ms.clear()
    cluster.run(0.9)
    assert not server.upstream.checks_ms


def test_first_request_came_before_a_check(cluster):
    """A sidecar that has just started knows nothing of its upstream."""
    server = cluster.add('u', slots=5, cold_per_s=PER_S)
    _make_cold(cluster, server, 5.0)
    _send_for(cluster, 1.0)
    assert server.upstream.checks_ms[0] < server.upstream.arrivals_ms[0]
    assert 0 < _most(server) <= allowed()


def test_restarted_upstream_counted_as_warm(cluster):
    """Nothing that a previous start has stated applies to the next one."""
    (server,) = _add(cluster, 1)
    cluster.run(0.1)
    tested = server.sidecar
    first = dataclasses.replace(
        tested.announcement, upstream_id='u', started_ms=1
    )
    cluster.loop.call_soon(tested.attach, first, server.upstream)
    cluster.run(0.1)
    server.upstream.check_s = 0.05
    check = cluster.loop.create_task(tested.check_health())
    cluster.run(0.01)
    second = type(server.upstream)()
    second.on_notice = server.upstream.on_notice
    second.check_s = 0.5
    restarted = dataclasses.replace(first, started_ms=2)
    cluster.loop.call_soon(tested.attach, restarted, second)
    cluster.run(0.06)
    assert check.done()
    _send_for(cluster, 0.2, timeout_ms=100.0)
    assert not second.arrivals_ms
    cluster.run(0.3)
    _send_for(cluster, 0.1)
    assert second.arrivals_ms


def test_announced_cold_start_is_paced(cluster):
    """A heartbeat tells of a cold start, and a check ends it."""
    server = cluster.add('u', slots=5, cold_per_s=PER_S)
    cluster.run(0.1)
    cluster.loop.call_soon(server.sidecar.on_announced_cold, 2_000.0)
    cluster.run(0.001)
    assert cluster.metrics.registry.get_sample_value(
        'jasminebeam_upstream_cold'
    )
    cluster.run(0.1)
    assert not cluster.metrics.registry.get_sample_value(
        'jasminebeam_upstream_cold'
    )


def test_refusals_of_cold_upstreams_use_no_retry_budget(cluster):
    """A cold start is no failure of the upstream."""
    servers = _add(cluster, 2)
    _send_for(cluster, 0.5, 'GET')
    for server in servers:
        _make_cold(cluster, server, 5.0)
    results = _send_for(cluster, 3.0, 'GET', timeout_ms=300.0)
    expected = len(results) - 2 * PER_S * 3.0
    refused = [r for r in results if r.outcome is not verdict.Outcome.ANSWERED]
    assert refused
    assert {r.outcome for r in refused} == {verdict.Outcome.NOT_RUN}
    assert verdict.Reason.COLD in {r.reason for r in refused}
    assert len(refused) <= 1.05 * expected
    assert max(result.retry_ms for result in refused) > 0
    assert cluster.count('retries_denied', service='fees', reason='cold') == 0
    assert cluster.count('ejections', service='fees') == 0


def test_cold_upstream_was_preferred_to_a_warm_one(cluster):
    """Ingress nodes know the capacity that a cold upstream has left."""
    server, warm = _add(cluster, 2)
    _send_for(cluster, 0.5)
    _make_cold(cluster, server, 5.0)
    results = _send_for(cluster, 3.0)
    assert all(r.outcome is verdict.Outcome.ANSWERED for r in results)
    state = cluster.routes.state('u0')
    assert state.is_cold
    assert state.is_limited
    _send_for(cluster, 3.0)
    assert not cluster.routes.state('u0').is_cold
    assert warm.upstream.runs.total() > server.upstream.runs.total()


def test_service_without_a_rate_sends_no_further_messages(cluster):
    """Without rates nothing is checked, sent or counted."""
    server = cluster.add('plain', slots=5)
    sent = []
    original = server.sidecar.handle

    def handle(message, send):
        def record(reply):
            sent.append(type(reply).__name__)
            send(reply)

        original(message, record)

    server.sidecar.handle = handle
    _send_for(cluster, 0.5)
    assert 'Reply' in sent
    assert 'ColdNotice' not in sent
    assert not cluster.count('cold_checks')


def test_removed_rate_still_held_requests_back(cluster):
    """A configuration that drops the rate ends the limit at once."""
    (server,) = _add(cluster, 1)
    _make_cold(cluster, server, 30.0)
    _send_for(cluster, 0.5)
    server.sidecar.set_cold_starts(())
    before = len(server.upstream.arrivals_ms)
    _send_for(cluster, 1.0)
    assert len(server.upstream.arrivals_ms) - before >= 60


def test_malformed_statement_counted_as_warm(cluster):
    """What is no number confirms nothing, and is logged once."""
    (server,) = _add(cluster, 1)

    async def check_health():
        return upstreams.Health(True, cold_ms=None)

    server.upstream.check_health = check_health
    _send_for(cluster, 2.0)
    number = str(events.Event.COLD_MALFORMED.value.number)
    assert cluster.count('events', number=number) == 1
    assert len(server.upstream.arrivals_ms) <= PER_S * 2.5 + 8


def test_other_service_has_its_own_rate(cluster):
    """The rate is that of the announced service."""
    server = cluster.add('plain', slots=5)
    server.sidecar.set_cold_starts((routes.ColdStart('other', 3_000, 0.1),))
    _send_for(cluster, 0.5)
    assert server.upstream.runs.total() == 50
