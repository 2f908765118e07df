"""Tests of the sidecar's admission decisions on in-memory connections."""

from __future__ import annotations

import asyncio
import dataclasses

from jasminebeam.model import upstreams
from jasminebeam import verdict

SLOW = upstreams.LoadReport(0, 0, 9, slowness=4.0)
FAST = upstreams.LoadReport(0, 0, 9, slowness=1.0)


def _add_slow_and_fast_hosts(cluster):
    for name in ('slow', 'fast'):
        server = cluster.add(name, slots=9)
        server.upstream.service_s = 0.05
        server.sidecar.on_report(FAST)
    configured = cluster.service
    cluster.service = dataclasses.replace(configured, policy='random')
    for _ in range(20):
        cluster.result(cluster.send(cluster.call()))
    cluster.service = configured


def _runs(cluster, name):
    return sum(cluster.servers[name].upstream.runs.values())


def test_request_to_a_slow_host_is_rerouted_to_a_fast_one(cluster):
    """The slow host must refuse requests, and the fast one must run them.

    The refusal proves that the request did not run.
    """
    _add_slow_and_fast_hosts(cluster)
    before = _runs(cluster, 'slow')
    for _ in range(20):
        cluster.servers['slow'].sidecar.on_report(SLOW)
        cluster.servers['fast'].sidecar.on_report(FAST)
        result = cluster.result(cluster.send(cluster.call()))
        assert result.outcome is verdict.Outcome.ANSWERED
    assert _runs(cluster, 'slow') == before


def test_request_waits_where_all_hosts_are_slow(cluster):
    """The request must start as soon as a host is fast again."""
    _add_slow_and_fast_hosts(cluster)
    for server in cluster.servers.values():
        server.sidecar.on_report(SLOW)
    task = cluster.send(cluster.call())
    cluster.run(0.06)
    for server in cluster.servers.values():
        assert server.sidecar.in_flight == 0
        server.sidecar.on_report(FAST)
    assert cluster.result(task).outcome is verdict.Outcome.ANSWERED


def test_drain_refuses_waiting_requests(cluster):
    """A drain must refuse the waiting request and let the running one end."""
    cluster.add('draining', slots=1)
    for number in range(2):
        cluster.send(cluster.call(request_id=f'r{number}'))
    cluster.run(0.006)
    draining = cluster.servers['draining']
    assert draining.sidecar.queued == 1
    draining.sidecar.drain()
    assert draining.sidecar.queued == 0
    cluster.run(0.5)
    assert draining.upstream.runs.total() == 1


def test_waiting_requests_ran_at_an_upstream_of_another_service(cluster):
    """An attachment under another service must refuse what waits."""
    cluster.add('replaced', slots=1)
    tasks = [
        cluster.send(cluster.call(request_id=f'r{number}'))
        for number in range(2)
    ]
    cluster.run(0.006)
    replaced = cluster.servers['replaced']
    assert replaced.sidecar.queued == 1
    foreign = dataclasses.replace(
        replaced.sidecar.announcement, service='foreign', upstream_id='f'
    )
    replaced.sidecar.attach(foreign, replaced.upstream)
    assert replaced.sidecar.queued == 0
    cluster.run(0.5)
    assert replaced.upstream.runs.total() == 1
    outcomes = {cluster.result(task).outcome for task in tasks}
    assert outcomes == {verdict.Outcome.ANSWERED, verdict.Outcome.NOT_RUN}


def test_checks_that_time_out_were_repeated_without_a_growing_delay(cluster):
    """An upstream that ends no answer must not get a check at each poll."""
    cluster.add('silent', slots=9)
    silent = cluster.servers['silent']
    checks_ms = []

    async def never_answer():
        checks_ms.append(cluster.loop.now_ms())
        await asyncio.Event().wait()

    silent.upstream.check_health = never_answer
    silent.sidecar.on_report(FAST)
    for number in range(200):
        cluster.send(cluster.call(request_id=f'r{number}'))
        cluster.run(0.025)
    # 5 s: delays of 50 ms doubled up to 1 s, and timeouts of 50 ms.
    assert 5 <= len(checks_ms) <= 9
    assert silent.upstream.runs.total() > 150
