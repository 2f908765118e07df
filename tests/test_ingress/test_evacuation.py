"""Tests of requests while failure domains are evacuated."""

from __future__ import annotations

import asyncio
import collections
import dataclasses

import pytest

from jasminebeam.configuration import evacuations
from jasminebeam.ingress import load_query
from jasminebeam.model import evacuations as model
from jasminebeam.model import upstreams
from jasminebeam.routing import evacuation
from jasminebeam.routing import table
from jasminebeam import verdict
from tests import cluster as clusters

DOMAINS = ('a', 'b', 'c')


@pytest.fixture
def cluster():
    """Provide an ingress node and one upstream in each of three domains."""
    created = clusters.SimulatedCluster()
    for domain in DOMAINS:
        created.add(domain, slots=1, domain=domain)
    created.run(0.1)
    yield created
    created.close()


def _runs(cluster, domain):
    return sum(cluster.servers[domain].upstream.runs.values())


def _send_all(cluster, count=12, **options):
    """Send requests one after the other and return their verdicts."""
    return [
        cluster.result(cluster.send(cluster.call(**options)))
        for _ in range(count)
    ]


def _evacuate_sidecar(cluster, domain):
    """Tell the sidecar, but not the ingress node."""
    cluster.servers[domain].sidecar.set_evacuated(True)


def test_evacuated_domain_got_a_request(cluster):
    """Neither first attempts nor hedges go there, also from its own node."""
    cluster.evacuate('a', 'b')
    cluster.servers['c'].upstream.service_s = 0.2
    results = _send_all(cluster, 6, method='GET')
    assert {result.outcome for result in results} == {verdict.Outcome.ANSWERED}
    assert not _runs(cluster, 'a') + _runs(cluster, 'b')


def test_waiting_request_ran_in_an_evacuated_domain(cluster):
    """It moves to another domain, and the running one completes."""
    cluster.evacuate('a', 'c')
    blocked = cluster.servers['b'].upstream.blocked = asyncio.Event()
    sidecar = cluster.servers['b'].sidecar
    running = cluster.send(cluster.call(request_id='running'))
    cluster.run(0.02)
    waiting = cluster.send(cluster.call(request_id='waiting'))
    cluster.run(0.02)
    assert (sidecar.in_flight, sidecar.queued) == (1, 1)
    cluster.evacuate('b')
    result = cluster.result(waiting)
    assert result.outcome is verdict.Outcome.ANSWERED
    assert not cluster.servers['b'].upstream.runs['waiting']
    blocked.set()
    assert cluster.result(running).outcome is verdict.Outcome.ANSWERED
    assert cluster.servers['b'].upstream.runs['running'] == 1


def test_refusal_of_an_evacuated_sidecar_failed_a_request(cluster):
    """The ingress does not know yet: requests move at no retry's cost."""
    _evacuate_sidecar(cluster, 'a')
    results = _send_all(cluster, 20)
    assert {result.outcome for result in results} == {verdict.Outcome.ANSWERED}
    assert not _runs(cluster, 'a')
    assert not cluster.count(
        'retries_denied', service='fees', reason='evacuated'
    )
    assert not cluster.routes.state('a').is_ejected(cluster.loop.now_ms())


def test_request_without_an_upstream_waited(cluster):
    """It is refused at once as not run, whichever role knows."""
    for domain in DOMAINS:
        _evacuate_sidecar(cluster, domain)
    (result,) = _send_all(cluster, 1)
    assert result == verdict.not_run(verdict.Reason.EVACUATED)
    cluster.evacuate(*DOMAINS)
    started_ms = cluster.loop.now_ms()
    (result,) = _send_all(cluster, 1)
    assert result == verdict.not_run(verdict.Reason.EVACUATED)
    assert cluster.loop.now_ms() - started_ms < 1.0
    assert not sum(_runs(cluster, domain) for domain in DOMAINS)


def test_request_with_a_key_left_its_owner(cluster):
    """Another upstream does not know whether it has run."""
    keys = [f'k{number}' for number in range(12)]
    cluster.evacuate('b')
    results = [_send_all(cluster, 1, key=key)[0] for key in keys]
    reasons = collections.Counter(result.reason for result in results)
    assert set(reasons) == {verdict.Reason.NONE, verdict.Reason.EVACUATED}
    assert not _runs(cluster, 'b')
    cluster.evacuate()
    cluster.run(10)
    results = [_send_all(cluster, 1, key=key)[0] for key in keys]
    assert {result.reason for result in results} == {verdict.Reason.NONE}


def test_running_requests_of_an_evacuated_domain_were_not_shown(cluster):
    """Operators see what still runs, and which sidecars do not answer."""
    cluster.evacuate('a', 'c')
    cluster.servers['b'].upstream.blocked = asyncio.Event()
    cluster.send(cluster.call())
    cluster.run(0.02)
    cluster.evacuate('b')
    cluster.servers['c'].faults.refuse = True
    cluster.servers['c'].cut()
    query = load_query.LoadQuery(
        cluster.routes, cluster.pool, cluster.loop.now_ms
    )
    members = [server.member for server in cluster.servers.values()]
    running = cluster.result(cluster.loop.create_task(query.read(members)))
    assert running == {'a': 0, 'b': 1, 'c': None}


def _state(node_id, domain):
    member = upstreams.Member(node_id, node_id, domain, 'r', 1, 1)
    return table.UpstreamState(member, 1.0)


def _offered(states, filtered, now_ms, count=1_200):
    """Return the share of requests that each domain is offered to."""
    offered = collections.Counter()
    for _ in range(count):
        admitted = filtered.admitted(states, now_ms)
        offered.update({state.member.failure_domain for state in admitted})
    return {domain: offered[domain] / count for domain in DOMAINS}


def test_withdrawn_domains_attracted_the_load_of_all(cluster):
    """Each is offered to at most its share of the requests; the rest to all.

    All nodes take idle upstreams for the cheapest.
    """
    directory = evacuations.EvacuationDirectory()
    filtered = evacuation.EvacuationFilter(directory)
    states = [_state(f'{d}{n}', d) for d in DOMAINS for n in range(4)]
    directory.apply(model.Evacuations(1, ('a', 'b')), 0.0)
    assert _offered(states, filtered, 0.0) == {'a': 0, 'b': 0, 'c': 1}
    directory.apply(model.Evacuations(2), 0.0)
    for step, share in enumerate(evacuations.RETURN_SHARES):
        now_ms = step * evacuations.STEP_MS
        offered = _offered(states, filtered, now_ms)
        normal = share / len(DOMAINS)
        assert offered['a'] == pytest.approx(normal, abs=0.01)
        assert offered['b'] == pytest.approx(normal, abs=0.01)
        assert offered['c'] == 1.0
    offered = _offered(states, filtered, 9_000.0)
    assert set(offered.values()) == {1.0}


def test_withdrawn_domain_refused_requests_that_only_it_could_serve(cluster):
    """A service with upstreams only in returning domains is served at once."""
    cluster.evacuate(*DOMAINS)
    cluster.evacuate()
    results = _send_all(cluster)
    assert {result.outcome for result in results} == {verdict.Outcome.ANSWERED}


def test_withdrawn_domain_was_idle_while_others_refused(cluster):
    """A request that the other domains refuse uses a returning one."""
    cluster.evacuate('a')
    cluster.evacuate()
    for domain in ('b', 'c'):
        server = cluster.servers[domain]
        server.upstream.blocked = asyncio.Event()
        peer = cluster.pool.peer(server.member.node_id, server.member.address)

        async def submit(peer=peer):
            peer.submit(cluster.call(timeout_ms=60_000.0), 1_000.0)

        cluster.loop.run_until_complete(submit())
    cluster.run(0.05)
    for _ in range(6):
        call = dataclasses.replace(
            cluster.call(timeout_ms=60.0),
            objective_ms=cluster.loop.now_ms() + 20.0,
            route='r',
        )
        result = cluster.result(cluster.send(call))
        assert result.outcome is verdict.Outcome.ANSWERED
    assert _runs(cluster, 'a') == 6


def test_subset_consisted_of_evacuated_upstreams():
    """The subset of a large service is chosen among the others."""
    routes = table.RoutingTable(table.Locality('ingress', 'a', 'r'))
    for number in range(30):
        routes.update(
            upstreams.Member(
                f'n{number}',
                f'n{number}',
                DOMAINS[number % 3],
                'r',
                1,
                1,
                service='fees',
            )
        )
    before = routes.subset_of('fees', 8)
    routes.set_evacuated_domains(frozenset({'a', 'b'}))
    during = routes.subset_of('fees', 8)
    domains = {state.member.failure_domain for state in during}
    assert (len(during), domains) == (8, {'c'})
    routes.set_evacuated_domains(frozenset())
    assert routes.subset_of('fees', 8) == before
