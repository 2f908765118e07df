"""Tests of the identification of teams by keys."""

from __future__ import annotations

import pytest

from jasminebeam.callers import authentication
from jasminebeam.model import routes
from jasminebeam.model import services
from jasminebeam.model import teams

RED = teams.Team('red', (teams.digest('k1'), teams.digest('clé')), priority=1)
KEYS = teams.KeyTable((RED, teams.Team('blue', (teams.digest('k2'),))))


def _match(public=False, keys=KEYS):
    service = services.Service('s')
    return routes.RouteMatch(
        'r', 1, service, True, 1_000, public=public, keys=keys
    )


@pytest.mark.parametrize(
    ('values', 'name', 'refusal'),
    [
        (('Bearer k1',), 'red', ''),
        (('bEARER \t clé ',), 'red', ''),
        (('Bearer k2',), 'blue', ''),
        (('Basic k1', 'bearer k1'), 'red', ''),
        ((), '', 'no_key'),
        (('Bearer',), '', 'no_key'),
        (('Basic k1',), '', 'no_key'),
        (('k1',), '', 'no_key'),
        (('',), '', 'no_key'),
        (('Bearer K1',), '', 'unknown_key'),
        (('Bearer k1 k2',), '', 'unknown_key'),
        (('Bearer \udcff',), '', 'unknown_key'),
        (('Bearer k1', 'Bearer k2'), '', 'unknown_key'),
    ],
)
def test_key_counted_for_another_team(values, name, refusal):
    """Only one whole, known key identifies a team.

    On a public route, no other one causes a refusal.
    """
    found = authentication.identify(_match(), values)
    assert (found.name, found.refusal) == (name, refusal)
    found = authentication.identify(_match(public=True), values)
    assert (found.name, found.refusal) == (name, '')


def test_key_was_required_without_teams():
    """Without teams, requests are accepted and their headers kept."""
    match = _match(keys=None)
    assert authentication.identify(match, ()) == authentication.Identity()
    pairs = (('Authorization', 'Bearer k1'), ('Team', 'red'))
    identity = authentication.identify(match, ('Bearer k1',))
    assert identity == authentication.Identity()
    assert pairs == authentication.identified_headers(
        pairs, match, identity, 'Team'
    )


def test_upstream_received_a_key_or_a_forged_team():
    """Keys of any spelling are dropped, and the team is the real one."""
    pairs = (
        ('AUTHORIZATION', 'bearer\tk1'),
        ('authorization', 'Basic abc'),
        ('tEAM', 'blue'),
        ('X', 'Bearer'),
    )
    kept = (('authorization', 'Basic abc'), ('X', 'Bearer'))
    match = _match()
    for identity, added in (
        (authentication.Identity(RED), (('Team', 'red'),)),
        (authentication.Identity(), ()),
    ):
        assert authentication.identified_headers(
            pairs, match, identity, 'Team'
        ) == (*kept, *added)


def test_priority_of_a_route_preceded_that_of_its_team():
    """The team's priority decides first; calls of running requests lead."""
    red = authentication.Identity(RED)
    none = authentication.Identity()
    classes = [
        routes.NESTED_PRIORITY,
        none.priority_class(0),
        none.priority_class(routes.LOWEST_PRIORITY),
        none.priority_class(1_000_000_000),
        red.priority_class(0),
        red.priority_class(1),
    ]
    assert classes == sorted(set(classes))
    assert routes.priority_class(1_000_000_000, 1_000_000_000) < 1 << 63
