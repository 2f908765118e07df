"""Tests of the directory of routes."""

from __future__ import annotations

import collections
import random

from jasminebeam.configuration import routes
from jasminebeam.model import routes as model
from jasminebeam.model import services


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
