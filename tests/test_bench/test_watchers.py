"""Tests of the plans of losses, and of what they are judged by."""

from __future__ import annotations

import random

import pytest

from bench import duties
from bench import loss_plans
from bench import watchers

LAYOUT = loss_plans.Layout(
    {
        'a': ('a1', 'a2', 'a3'),
        'b': ('b1', 'b2', 'b3'),
        'c': ('c1', 'c2', 'c3'),
    },
    frozenset({'a1', 'a2', 'b1', 'b2', 'c1', 'c3'}),
)
KILLED = loss_plans.Means.KILLED


def _losses(set_name):
    choose = loss_plans.SETS[set_name]
    return list(choose(LAYOUT, KILLED, random.Random(1)))


@pytest.mark.parametrize(
    ('set_name', 'untouched'),
    [
        ('delegates', {'a3', 'b3', 'c2'}),
        ('two-domains', {'a3', 'b3', 'c1', 'c2', 'c3'}),
        ('in-turn', {'a3', 'b3', 'c2'}),
        ('first-ranks', {'a3', 'b3', 'c3'}),
        ('third-delegates-cut', {'a3', 'b3', 'c2'}),
        ('third-domain-cut', {'a3', 'b3', 'c1', 'c2', 'c3'}),
    ],
)
def test_untouched_nodes_of_each_set(set_name, untouched):
    """A delegate is lost by its duty, not by its rank."""
    losses = _losses(set_name)
    assert set(loss_plans.untouched(LAYOUT, losses)) == untouched


def test_half_of_all_nodes_is_lost_once():
    """The sample must have no node twice."""
    (loss,) = _losses('half')
    assert len(set(loss.node_ids)) == 4


def test_each_set_leaves_nodes_to_ask():
    """A run without untouched nodes would show nothing."""
    for set_name in loss_plans.SETS:
        assert loss_plans.untouched(LAYOUT, _losses(set_name))


def test_change_follows_each_loss():
    """Losses of one moment share a change."""
    in_turn = loss_plans.change_times_s(_losses('in-turn'), 0.5)
    assert in_turn == (0.5, 1.5, 2.5, 3.5, 4.5, 5.5)
    at_once = loss_plans.change_times_s(_losses('third-domain-cut'), 0.5)
    assert at_once == (0.5,)


def test_last_node_counts():
    """A later version shows that a node is not behind."""
    sightings = [
        watchers.Sighting('n1', 1, 10.25),
        watchers.Sighting('n1', 2, 11.5),
        watchers.Sighting('n2', 2, 12.0),
    ]
    acknowledged = [(1, 10.0), (2, 11.0)]
    known_s = watchers.known_after_s(acknowledged, sightings, ['n1', 'n2'])
    assert known_s == (2.0, 1.0)


def test_node_that_never_knows_a_change_is_late():
    """Without a sighting no time is known."""
    known_s = watchers.known_after_s([(1, 10.0)], [], ['n1'])
    assert known_s == (float('inf'),)
    result = watchers.Result(
        'delegates', 'killed', 0.2, 2, 1, 1, known_s, {}, 20.0
    )
    assert not result.in_time


@pytest.mark.parametrize(
    ('events', 'expected'),
    [
        ([502], True),
        ([502, 503], False),
        ([502, 503, 502], True),
        ([509], True),
        ([509, 510], False),
        ([502, 509, 510], True),
        ([506], False),
    ],
)
def test_duty_of_a_log(events, expected):
    """Registration and watch are duties of their own."""
    lines = [f'{{"event": {event}}}' for event in events]
    lines += ['Traceback (most recent call last):', '[]', '7']
    assert duties.is_delegate(lines) is expected
