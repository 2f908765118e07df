"""Tests of the sidecar's admission decisions on in-memory connections."""

from __future__ import annotations

import dataclasses

from jasminebeam.model import upstreams
from jasminebeam import verdict

SLOW = upstreams.LoadReport(0, 0, 9, slowness=4.0)
FAST = upstreams.LoadReport(0, 0, 9, slowness=1.0)


def _add_slow_and_fast_hosts(world):
    for name in ('slow', 'fast'):
        server = world.add(name, slots=9)
        server.upstream.service_s = 0.05
        server.sidecar.on_report(FAST)
    configured = world.service
    world.service = dataclasses.replace(configured, policy='random')
    for _ in range(20):
        world.result(world.send(world.call()))
    world.service = configured


def _runs(world, name):
    return sum(world.servers[name].upstream.runs.values())


def test_request_to_a_slow_host_is_rerouted_to_a_fast_one(world):
    """The refusal proves the request did not run; the fast host runs it."""
    _add_slow_and_fast_hosts(world)
    before = _runs(world, 'slow')
    for _ in range(20):
        world.servers['slow'].sidecar.on_report(SLOW)
        world.servers['fast'].sidecar.on_report(FAST)
        result = world.result(world.send(world.call()))
        assert result.outcome is verdict.Outcome.ANSWERED
    assert _runs(world, 'slow') == before


def test_request_waits_where_all_hosts_are_slow(world):
    """The request starts as soon as a host is fast again."""
    _add_slow_and_fast_hosts(world)
    for server in world.servers.values():
        server.sidecar.on_report(SLOW)
    task = world.send(world.call())
    world.run(0.06)
    for server in world.servers.values():
        assert server.sidecar.in_flight == 0
        server.sidecar.on_report(FAST)
    assert world.result(task).outcome is verdict.Outcome.ANSWERED


def test_drain_refuses_waiting_requests(world):
    """The running request ends here; the waiting one is refused."""
    world.add('draining', slots=1)
    for number in range(2):
        world.send(world.call(request_id=f'r{number}'))
    world.run(0.006)
    draining = world.servers['draining']
    assert draining.sidecar.queued == 1
    draining.sidecar.drain()
    assert draining.sidecar.queued == 0
    world.run(0.5)
    assert draining.upstream.runs.total() == 1
