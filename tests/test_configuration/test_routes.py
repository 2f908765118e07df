"""Tests of the directory of routes."""

from __future__ import annotations

import collections
import dataclasses
import math
import random

import pytest

from jasminebeam.configuration import routes
from jasminebeam.model import routes as model
from jasminebeam.model import services
from jasminebeam.model import teams


def _route(
    prefix='/a/', weighted_services=(('s', 1),), host='h.example', **changes
):
    values = {
        'name': prefix,
        'host': host,
        'path_prefix': prefix,
        'services': tuple(
            model.WeightedService(*weighted_service)
            for weighted_service in weighted_services
        ),
        'idempotent': True,
        'timeout_ms': 1_000,
    }
    return model.Route(**{**values, **changes})


def _set(revision, *found):
    defined = tuple(services.Service(name) for name in 'st')
    return model.RouteSet(revision, found, defined)


def _directory(*found):
    created = routes.RouteDirectory(random.Random(1))
    created.apply(_set(1, *found))
    return created


def test_longest_prefix_of_the_host_matches():
    """The longest path prefix wins; the port of the host is ignored."""
    tested = _directory(_route('/a/'), _route('/a/b/'), _route('/', host='x'))
    assert tested.route('H.example:80', 'GET', '/a/b/c').route == '/a/b/'
    assert tested.route('h.example', 'GET', '/a/c').route == '/a/'
    assert tested.route('h.example', 'GET', '/c') is None


def test_newer_route_set_replaces_the_whole_set():
    """Routes that the newer set does not contain are removed.

    A set whose revision is not higher is ignored.
    """
    tested = _directory(_route('/a/'))
    assert tested.apply(_set(5, _route('/b/')))
    assert not tested.apply(_set(5, _route('/a/')))
    assert not tested.apply(_set(4, _route('/a/')))
    assert tested.route('h.example', 'GET', '/a/') is None
    assert tested.route('h.example', 'GET', '/b/').revision == 5


def test_requests_are_distributed_by_weight():
    """After 300 requests, each count is within one of its exact share."""
    tested = _directory(_route('/a/', (('s', 90), ('t', 10))))
    counts = collections.Counter(
        tested.route('h.example', 'GET', '/a/').service.name
        for _ in range(300)
    )
    assert abs(counts['t'] - 30) <= 1


def test_nodes_start_with_different_services():
    """One request at each of many nodes is distributed by weight as well."""
    counts = collections.Counter()
    for seed in range(200):
        created = routes.RouteDirectory(random.Random(seed))
        created.apply(_set(1, _route('/a/', (('s', 1), ('t', 1)))))
        match = created.route('h.example', 'GET', '/a/')
        counts[match.service.name] += 1
    assert 70 <= counts['s'] <= 130


def test_invalid_route_sets_are_described():
    """The description states the error of a route."""
    assert routes.check(_set(1, _route())) == ''
    assert 'slash' in routes.check(_set(1, _route('a/')))
    assert 'not defined' in routes.check(
        _set(1, _route(weighted_services=(('x', 1),)))
    )
    assert 'positive weight' in routes.check(
        _set(1, _route(weighted_services=(('s', 0),)))
    )
    assert 'positive' in routes.check(_set(1, _route(timeout_ms=0)))
    assert 'same host and path prefix' in routes.check(
        _set(1, _route(), _route('/b/'), _route(host='H.example'))
    )
    assert 'priority' in routes.check(_set(1, _route(priority=-1)))


def _with_teams(*found):
    return dataclasses.replace(_set(2, _route()), teams=found)


def _team(name='red', keys=('k1',), **changes):
    return teams.Team(name, tuple(map(teams.digest, keys)), **changes)


@pytest.mark.parametrize(
    ('found', 'problem'),
    [
        ((_team(), _team('blue')), "shares a key with team 'red'"),
        ((_team(), _team(keys=('k2',))), 'two teams have this name'),
        ((_team(''),), 'invalid name'),
        ((_team('r\r\nX: y'),), 'invalid name'),
        ((_team(keys=('k1', '')),), 'a key is empty'),
        ((_team(rate_per_s=-1.0),), 'must not be negative'),
        ((_team(burst=math.nan),), 'must not be negative'),
        ((_team(priority=-1),), 'priority is out of range'),
        ((_team(keys=('k1', 'k1')), _team('blue', ())), ''),
    ],
)
def test_teams_that_cannot_be_told_apart_were_accepted(found, problem):
    """An ambiguous team is refused, and the reason tells no digest."""
    described = routes.check(_with_teams(*found))
    assert problem in described
    assert bool(problem) == bool(described)
    assert repr(teams.digest('k1')) not in described


def test_match_had_the_keys_of_another_revision():
    """Keys and routes of a match are always those of one revision.

    A key that has moved to another team counts only for that one.
    """
    tested = _directory()
    tested.apply(_with_teams(_team(), _team('blue', ('k2',))))
    before = tested.route('h.example', 'GET', '/a/')
    moved = _with_teams(_team(keys=()), _team('blue', ('k1',)))
    tested.apply(dataclasses.replace(moved, revision=3))
    after = tested.route('h.example', 'GET', '/a/')
    assert (before.revision, before.keys.team('k1').name) == (2, 'red')
    assert (after.revision, after.keys.team('k1').name) == (3, 'blue')
    assert after.keys.team('k2') is None
    tested.apply(_set(4, _route()))
    assert tested.route('h.example', 'GET', '/a/').keys is None
