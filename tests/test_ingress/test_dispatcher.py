"""Tests of the dispatcher on in-memory connections."""

from __future__ import annotations

import asyncio
import dataclasses

from jasminebeam.retries import service_budgets
from jasminebeam import verdict


def _add_failing(cluster, count):
    for number in range(count):
        server = cluster.add(f'u{number}', slots=9)
        server.upstream.behaviour = 'fail'


def test_retries_stay_within_their_ratio(cluster):
    """Extra runs must stay within the ratio and burst if all runs fail."""
    _add_failing(cluster, 4)
    for _ in range(300):
        cluster.result(cluster.send(cluster.call('GET')))
    runs = sum(
        sum(server.upstream.runs.values())
        for server in cluster.servers.values()
    )
    assert runs <= 300 * (1 + cluster.service.retry_ratio) + 3


def test_bursts_of_all_nodes_stay_within_the_allowance():
    """The bursts of all nodes must stay within the allowed extra attempts.

    14 nodes may use their bursts twice because of a restart; 64 extra
    attempts are allowed beyond the ratio.
    """
    nodes, restarts, allowed = 14, 2, 64
    burst = service_budgets.RETRY_BURST + service_budgets.HEDGE_BURST
    assert nodes * restarts * burst <= allowed


def test_ratio_of_zero_allows_no_retry_and_no_hedge(cluster):
    """A ratio of zero must also remove the burst of a new budget."""
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


def test_failed_answer_is_marked_as_final(cluster):
    """A failed answer must carry the mark that forbids further retries.

    The mark shows the nodes nearer to the caller that this node has used
    up its retries.
    """
    _add_failing(cluster, 3)
    result = cluster.result(cluster.send(cluster.call('GET')))
    assert ('Jasminebeam-Final', '1') in result.answer.headers


def test_refused_retry_does_not_hide_a_failure_that_ran(cluster):
    """The verdict must be the answer of the attempt that ran and failed.

    The retry is refused, which proves nothing about the first attempt.
    """
    _add_failing(cluster, 1)
    cluster.add('other').upstream.behaviour = 'shed'
    cluster.routes.get_or_create_state('u0').round_trip_ms = 1.0
    cluster.routes.get_or_create_state('other').round_trip_ms = 200.0
    call = cluster.call('GET')
    result = cluster.result(cluster.send(call))
    assert cluster.runs(call.request_id) == 1
    assert result.outcome is verdict.Outcome.ANSWERED
    assert result.answer.status == 500


def test_late_refusal_of_a_hedge_hid_an_attempt_that_ran(cluster):
    """A node that was paused must not take the other attempt for not run."""
    slow = cluster.add('u0')
    slow.upstream.blocked = asyncio.Event()
    other = cluster.add('other')
    other.upstream.behaviour = 'shed'
    other.faults.hold_answers = True
    cluster.routes.get_or_create_state('u0').round_trip_ms = 1.0
    cluster.routes.get_or_create_state('other').round_trip_ms = 200.0
    call = cluster.call('GET')
    task = cluster.send(call)
    cluster.run(1.0)
    assert other.held_answers
    # The process does not run until after the deadline.
    cluster.loop.skip(5.0)
    other.release_answers()
    result = cluster.result(task)
    assert cluster.runs(call.request_id) == 1
    assert result.outcome is verdict.Outcome.MAY_HAVE_RUN


def test_lost_hosts_do_not_use_up_the_retry_budget(cluster):
    """An attempt that was never sent must be rerouted.

    The reroute must not use the retry budget, which is empty here.
    """
    cluster.add('healthy', slots=9)
    lost = cluster.add('lost')
    lost.faults.refuse = True
    # This policy sends without admission queries.
    cluster.service = dataclasses.replace(
        cluster.service, retry_ratio=0.0, policy='random'
    )
    for _ in range(40):
        cluster.routes.get_or_create_state('lost').ejected_until_ms = 0.0
        cluster.routes.get_or_create_state('lost').failure_rate = 0.0
        result = cluster.result(cluster.send(cluster.call()))
        assert result.outcome is verdict.Outcome.ANSWERED
    assert cluster.count('retries', service='fees', reason='not_connected')


def test_request_without_an_upstream_did_not_run(cluster):
    """Without an upstream nothing is sent, so the request did not run."""
    result = cluster.result(cluster.send(cluster.call()))
    assert result == verdict.not_run(verdict.Reason.NO_UPSTREAM)


def test_key_of_a_draining_owner_runs_at_no_other_upstream(cluster):
    """A retry with the same key must not run at another upstream."""
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


def test_attempts_stay_within_the_limit_of_the_route(cluster):
    """Retries and hedges must not exceed the attempts of the route."""
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
    """A node that has just started must not hedge normal requests.

    The node has no latency estimate yet, so the initial estimate is half of
    the time until the objective.
    """
    for number in range(2):
        cluster.add(f'u{number}').upstream.service_s = 0.2
    now_ms = cluster.loop.now_ms()
    call = dataclasses.replace(
        cluster.call('GET'), objective_ms=now_ms + 600.0, route='r'
    )
    cluster.result(cluster.send(call))
    assert cluster.runs(call.request_id) == 1
