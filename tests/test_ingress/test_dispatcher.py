"""Tests of the dispatcher's budgets on in-memory connections."""

from __future__ import annotations

import dataclasses

from jasminebeam.ingress import dispatcher
from jasminebeam import verdict


def _add_failing(cluster, count):
    for number in range(count):
        server = cluster.add(f'u{number}', slots=9)
        server.upstream.behaviour = 'fail'


def test_retries_stay_within_their_share(cluster):
    """All upstreams fail: runs grow by the share and the burst only."""
    _add_failing(cluster, 4)
    for _ in range(300):
        cluster.result(cluster.send(cluster.call('GET')))
    runs = sum(
        sum(server.upstream.runs.values())
        for server in cluster.servers.values()
    )
    assert runs <= 300 * (1 + cluster.service.retry_ratio) + 3


def test_budgets_of_all_nodes_hold_together():
    """The bursts of 14 nodes, twice after a restart, stay below the slack."""
    nodes, restarts, allowed = 14, 2, 64
    burst = dispatcher.RETRY_BURST + dispatcher.HEDGE_BURST
    assert nodes * restarts * burst <= allowed


def test_ratio_of_zero_allows_no_retry_and_no_hedge(cluster):
    """Not even the burst of a new budget."""
    _add_failing(cluster, 2)
    cluster.service = dataclasses.replace(
        cluster.service, retry_ratio=0.0, hedge_ratio=0.0
    )
    for server in cluster.servers.values():
        server.upstream.service_s = 0.5
    for _ in range(5):
        cluster.result(cluster.send(cluster.call('GET')))
    runs = sum(
        sum(server.upstream.runs.values())
        for server in cluster.servers.values()
    )
    assert runs == 5


def test_final_answer_is_not_retried_and_stays_marked(cluster):
    """A node further down has used up its retries."""
    _add_failing(cluster, 3)
    result = cluster.result(cluster.send(cluster.call('GET')))
    assert ('Jasminebeam-Final', '1') in result.answer.headers


def test_refused_retry_does_not_hide_a_failure_that_ran(cluster):
    """The first attempt ran and failed: the verdict is its answer."""
    _add_failing(cluster, 1)
    cluster.add('other').upstream.behaviour = 'shed'
    cluster.routes.get_or_create_state('u0').round_trip_ms = 1.0
    cluster.routes.get_or_create_state('other').round_trip_ms = 200.0
    call = cluster.call('GET')
    result = cluster.result(cluster.send(call))
    assert cluster.runs(call.request_id) == 1
    assert result.outcome is verdict.Outcome.ANSWERED
    assert result.answer.status == 500


def test_lost_hosts_do_not_use_up_the_retries(cluster):
    """An attempt that was never sent goes elsewhere without a retry."""
    cluster.add('well', slots=9)
    lost = cluster.add('lost')
    lost.faults.refuse = True
    # This policy sends without asking first.
    cluster.service = dataclasses.replace(
        cluster.service, retry_ratio=0.0, policy='random'
    )
    for _ in range(40):
        cluster.routes.get_or_create_state('lost').ejected_until_ms = 0.0
        cluster.routes.get_or_create_state('lost').failure_rate = 0.0
        result = cluster.result(cluster.send(cluster.call()))
        assert result.outcome is verdict.Outcome.ANSWERED
    assert cluster.count('retries', service='fees', reason='not_connected')


def test_no_upstream_is_not_run(cluster):
    """Nothing was sent."""
    result = cluster.result(cluster.send(cluster.call()))
    assert result == verdict.not_run(verdict.Reason.NO_UPSTREAM)


def test_key_of_an_owner_that_drains_goes_nowhere_else(cluster):
    """The repetition of a key must not find another upstream."""
    for number in range(3):
        cluster.add(f'u{number}')
    first = cluster.call(key='k', request_id='a')
    cluster.result(cluster.send(first))
    owner = next(s for s in cluster.servers.values() if s.upstream.runs['a'])
    owner.sidecar.drain()
    again = dataclasses.replace(first, deadline_ms=cluster.loop.now_ms() + 1e3)
    result = cluster.result(cluster.send(again))
    assert result.outcome is verdict.Outcome.NOT_RUN
    assert cluster.runs('a') == 1


def test_no_more_upstreams_than_the_route_allows(cluster):
    """Neither a retry nor a hedge goes beyond the number."""
    _add_failing(cluster, 3)
    for server in cluster.servers.values():
        server.upstream.service_s = 0.2
    for number, allowed in ((10, 1), (20, 2)):
        call = dataclasses.replace(
            cluster.call('GET', request_id=f'c{number}'), max_attempts=allowed
        )
        cluster.result(cluster.send(call))
        assert 1 <= cluster.runs(call.request_id) <= allowed


def test_first_hedge_waits_for_half_of_the_objective(cluster):
    """A node that has just started takes no usual request for slow."""
    for number in range(2):
        cluster.add(f'u{number}').upstream.service_s = 0.2
    now_ms = cluster.loop.now_ms()
    call = dataclasses.replace(
        cluster.call('GET'), objective_ms=now_ms + 600.0, route='r'
    )
    cluster.result(cluster.send(call))
    assert cluster.runs(call.request_id) == 1
