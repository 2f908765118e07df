"""Tests of the sidecar's decisions on in-memory connections."""

from __future__ import annotations

import dataclasses

from jasminebeam.model import upstreams
from jasminebeam import verdict

SLOW = upstreams.LoadReport(0, 0, 9, slowness=4.0)
FAST = upstreams.LoadReport(0, 0, 9, slowness=1.0)


def _add_two(cluster):
    for name in ('slow', 'fast'):
        server = cluster.add(name, slots=9)
        server.upstream.service_s = 0.05
        server.sidecar.on_report(FAST)
    asked = cluster.service
    cluster.service = dataclasses.replace(asked, policy='random')
    for _ in range(20):
        cluster.result(cluster.send(cluster.call()))
    cluster.service = asked


def _runs(cluster, name):
    return sum(cluster.servers[name].upstream.runs.values())


def test_request_on_a_slow_host_goes_to_a_fast_one(cluster):
    """The refusal proves that nothing ran; the other host runs it."""
    _add_two(cluster)
    before = _runs(cluster, 'slow')
    for _ in range(20):
        cluster.servers['slow'].sidecar.on_report(SLOW)
        cluster.servers['fast'].sidecar.on_report(FAST)
        result = cluster.result(cluster.send(cluster.call()))
        assert result.outcome is verdict.Outcome.ANSWERED
    assert _runs(cluster, 'slow') == before


def test_request_waits_where_all_hosts_are_slow(cluster):
    """It starts as soon as one is fast again."""
    _add_two(cluster)
    for server in cluster.servers.values():
        server.sidecar.on_report(SLOW)
    task = cluster.send(cluster.call())
    cluster.run(0.06)
    for server in cluster.servers.values():
        assert server.sidecar.in_flight == 0
        server.sidecar.on_report(FAST)
    assert cluster.result(task).outcome is verdict.Outcome.ANSWERED


def test_drain_gives_back_what_waits(cluster):
    """What has begun ends here; the rest runs elsewhere."""
    cluster.add('leaving', slots=1)
    for number in range(2):
        cluster.send(cluster.call(request_id=f'r{number}'))
    cluster.run(0.006)
    leaving = cluster.servers['leaving']
    assert leaving.sidecar.queued == 1
    leaving.sidecar.drain()
    assert leaving.sidecar.queued == 0
    cluster.run(0.5)
    assert leaving.upstream.runs.total() == 1
