"""Tests of selection, ejection and subsets."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies
import pytest

from jasminebeam.model import requests
from jasminebeam.model import services
from jasminebeam.model import upstreams
from jasminebeam.routing import policies
from jasminebeam.routing import selection
from jasminebeam.routing import subset
from jasminebeam.routing import table
from jasminebeam import verdict

SERVICE = services.Service('s', ('s.example',))
FAILED = verdict.answered(requests.Answer(500, (), b''))
SUCCEEDED = verdict.answered(requests.Answer(200, (), b''))


def _member(node_id, **changes):
    fields = {
        'node_id': node_id,
        'address': node_id,
        'failure_domain': 'a',
        'region': 'r',
        'incarnation': 1,
        'version': 1,
        'phase': upstreams.Phase.READY,
        'service': 's',
        'slots': 4,
    }
    return upstreams.Member(**{**fields, **changes})


def _sample(sequence=1, in_flight=0, queued=0, service_us=5_000, oldest_us=0):
    return upstreams.LoadSample(
        sequence,
        in_flight,
        queued,
        4,
        service_us,
        oldest_us,
        -1,
        upstreams.Phase.READY,
    )


@pytest.fixture
def routes():
    """Provide a table with four upstreams."""
    created = table.RoutingTable(table.Locality('me', 'a', 'r'))
    for name in 'abcd':
        created.update(_member(name))
        created.get_or_create_state(name)
    return created


def _selector(routes, choices=4):
    policies_by_name = policies.create_all(random.Random(1), choices)
    return selection.Selector(routes, policies_by_name)


def test_least_loaded_upstream_is_chosen(routes):
    """An upstream whose fresh sample shows free slots must be chosen."""
    for name in 'abd':
        routes.state(name).on_sample(_sample(in_flight=4, queued=4), 0.0)
    routes.state('c').on_sample(_sample(), 0.0)
    choice = _selector(routes).choose(SERVICE, (), 1.0, 0.0)
    assert choice.state.member.node_id == 'c'


def test_stalled_upstream_is_avoided(routes):
    """Outstanding requests must reveal a stall before any sample does."""
    for name in 'abcd':
        routes.state(name).on_sample(_sample(), 0.0)
    for name in 'abc':
        routes.state(name).on_sent(1, 0.0)
    choice = _selector(routes).choose(SERVICE, (), 100.0, 0.0)
    assert choice.state.member.node_id == 'd'


def test_fast_failing_upstream_does_not_look_fast(routes):
    """The cost of failures must exceed the service time that they save."""
    state = routes.state('a')
    state.on_sample(_sample(service_us=10), 0.0)
    for name in 'bcd':
        routes.state(name).on_sample(_sample(service_us=50_000), 0.0)
    for token in range(2):
        state.on_sent(token, 0.0)
        state.on_result(token, FAILED, 1.0)
    choice = _selector(routes).choose(SERVICE, (), 2.0, 0.0)
    assert choice.state.member.node_id != 'a'


def test_older_sample_does_not_replace_a_newer_one(routes):
    """A sample that arrives out of order must be ignored."""
    state = routes.state('a')
    state.on_sample(_sample(sequence=2, in_flight=1), 0.0)
    state.on_sample(_sample(sequence=1, in_flight=4), 1.0)
    assert state.sample.in_flight == 1


def test_upstream_in_a_cold_start_is_avoided(routes):
    """A cold start must raise the cost until it is over."""
    routes.update(_member('a', version=2, cold_start_ms=1_000, ready_ms=0))
    for name in 'abcd':
        routes.state(name).on_sample(_sample(), 0.0)
    chosen = {
        _selector(routes).choose(SERVICE, (), 0.0, 100.0).state.member.node_id
        for _ in range(20)
    }
    assert 'a' not in chosen


def test_draining_and_dead_members_are_not_chosen(routes):
    """Only members that are alive and ready may be chosen."""
    routes.update(_member('a', version=2, phase=upstreams.Phase.DRAINING))
    routes.update(_member('b', version=2, status=upstreams.Status.DEAD))
    routes.update(_member('c', version=2, status=upstreams.Status.SUSPECT))
    choice = _selector(routes).choose(SERVICE, (), 0.0, 0.0)
    assert choice.state.member.node_id == 'd'
    none = _selector(routes).choose(SERVICE, ('d',), 0.0, 0.0)
    assert none.reason is verdict.Reason.NO_UPSTREAM


def test_unreachable_failure_domain_is_avoided(routes):
    """An unreachable domain may be chosen only if there is no other."""
    routes.update(_member('d', version=2, failure_domain='b'))
    routes.unreachable_domains = frozenset({'a'})
    choice = _selector(routes).choose(SERVICE, (), 0.0, 0.0)
    assert choice.state.member.node_id == 'd'
    routes.unreachable_domains = frozenset({'a', 'b'})
    assert _selector(routes).choose(SERVICE, (), 0.0, 0.0).state is not None


def test_ejection_ends_and_its_duration_doubles(routes):
    """An ejection must end, and the next one must last twice as long."""
    state = routes.state('a')
    for token in range(3):
        ejected = state.on_result(token, FAILED, 0.0)
    assert ejected
    assert state.is_ejected(999.0)
    assert not state.is_ejected(1_000.0)
    assert state.on_result(9, FAILED, 1_000.0)
    assert state.is_ejected(2_999.0)


@hypothesis.given(
    strategies.lists(strategies.floats(0.0, 100.0), max_size=40),
    strategies.floats(0.0, 0.9),
)
def test_ejected_ratio_stays_within_its_bound(ends, ratio):
    """Ejections must exclude at most the configured ratio of upstreams."""
    states = []
    for number, end_ms in enumerate(ends):
        state = table.UpstreamState(_member(str(number)), 1.0)
        state.ejected_until_ms = end_ms
        states.append(state)
    eligible = selection.eligible(states, ratio, now_ms=50.0)
    assert len(states) - len(eligible) <= len(states) * ratio


def test_one_change_replaces_one_member_of_a_subset():
    """A member that leaves must be replaced by exactly one other."""
    members = [str(number) for number in range(100)]
    before = set(subset.choose('me', members, 16))
    members.remove(next(iter(before)))
    after = set(subset.choose('me', members, 16))
    assert len(before - after) == 1


def test_subsets_spread_evenly():
    """Each member must be in about the same number of subsets."""
    members = [str(number) for number in range(30)]
    counts = dict.fromkeys(members, 0)
    for index in range(1_000):
        for member in subset.choose(f'node-{index}', members, 10):
            counts[member] += 1
    assert 250 < min(counts.values()) <= max(counts.values()) < 420


def test_large_fleet_sent_most_requests_to_other_regions():
    """A subset holds mostly upstreams of its region, however large the fleet.

    Chosen without regard to regions, two thirds of it would be abroad.
    """
    routes = table.RoutingTable(table.Locality('me', 'a0', 'a'))
    for region in 'abc':
        for number in range(40):
            node_id = f'{region}{number}'
            routes.update(_member(node_id, region=region))
    states = routes.subset_of('s', 16)
    assert len(states) == 16
    assert sum(state.same_region for state in states) == 12


def test_region_without_upstreams_had_a_small_subset():
    """Upstreams of other regions fill what the own region lacks."""
    routes = table.RoutingTable(table.Locality('me', 'a0', 'a'))
    for number in range(40):
        routes.update(_member(f'b{number}', region='b'))
    routes.update(_member('a1', region='a'))
    states = routes.subset_of('s', 16)
    assert len(states) == 16
    assert sum(state.same_region for state in states) == 1
