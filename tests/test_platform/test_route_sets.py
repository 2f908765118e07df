"""Tests that a route set that the store accepts reaches all nodes whole."""

from __future__ import annotations

import json

import pytest

from jasminebeam.configuration import routes as route_sets
from jasminebeam.model import routes
from jasminebeam.model import teams
from jasminebeam.peering import codec
from jasminebeam.peering import messages
from jasminebeam.peering import sockets
from jasminebeam.platform import adapter
from jasminebeam.platform import configuration
from tests import platform_cluster

# Largest value of a key in the platform's store.
VALUE_BYTES = 1_048_576


def _document(count):
    """Return a document with that many routes, each to its own service."""
    document = json.loads(platform_cluster.configuration(version=0xFFFFFFFF))
    listener, cluster = document['listeners'][0], document['clusters'][0]
    rule = listener['rules'][0]
    document['listeners'] = [
        {
            'host': f'h{number}.example',
            'rules': [
                rule
                | {
                    'name': f'r-{number}',
                    'match': {'prefix': f'/p{number}/'},
                    'action': rule['action'] | {'service': f's{number}'},
                }
            ],
        }
        for number in range(count)
    ]
    document['clusters'] = [
        cluster | {'name': f's{number}', 'protocol': 'h1', 'tls': False}
        for number in range(count)
    ]
    return document


def _decode(document):
    decoder = configuration.Decoder(adapter.BUDGETS)
    found = decoder.decode(json.dumps(document).encode()).unwrap()
    assert route_sets.check(found) == ''
    return found


def test_largest_route_set_exceeded_the_frame_between_nodes():
    """A document that fills a value of the store fits into one frame."""
    document = _document(3_800)
    size_bytes = len(json.dumps(document, separators=(',', ':')))
    assert 0.9 * VALUE_BYTES < size_bytes <= VALUE_BYTES
    found = _decode(document)
    frame = codec.encode(messages.RoutesReply(found))
    assert len(frame) < sockets.MAX_FRAME_BYTES
    assert codec.decode(frame).unwrap().route_set == found
    assert found.revision == 0xFFFFFFFF


@pytest.mark.parametrize(
    'changes',
    [
        {'kind': 'keyed'},
        {'kind': 'stream', 'aimMs': 0},
        {'priority': 0, 'aimMs': 0.5},
        {'action': {'service': 's0', 'timeoutMs': 1, 'maxAttempts': 1}},
        {'action': {'service': 's0', 'timeoutMs': 600_000}},
        {
            'action': {
                'weightedClusters': [
                    {'service': 's0', 'weight': 100},
                    {'service': 's1', 'weight': 0},
                ],
                'timeoutMs': 1_500.5,
                'maxAttempts': 9,
            }
        },
        {'unknown': [1, {}]},
    ],
)
def test_valid_rule_made_the_decoder_refuse_the_set(changes):
    """A rule at the ends of its ranges, or with other fields, is taken."""
    document = _document(2)
    document['listeners'][0]['rules'][0] |= changes
    assert len(_decode(document).routes) == 2


def test_sets_without_teams_grew():
    """A configuration without teams and cold rates costs no further byte."""
    frame = codec.encode(messages.RoutesReply(_decode(_document(1))))
    for name in (b'teams', b'cold_starts', b'public', b'allowed_regions'):
        assert name not in frame


def test_keys_left_the_node():
    """Other nodes receive digests of the keys of teams, never the keys."""
    document = _document(1)
    document['listeners'][0]['rules'][0] |= {
        'public': True,
        'allowedRegions': ['r'],
    }
    document['clusters'][0] |= {'coldStartS': 3.0, 'coldPerS': 4.9}
    document['tenants'] = [
        {
            'name': 'red',
            'apiKeys': ['secret-1', 'secret-2'],
            'priority': 2,
            'ratePerS': 108,
            'burst': 54,
        }
    ]
    found = _decode(document)
    assert found.teams == (
        teams.Team(
            'red',
            (teams.digest('secret-1'), teams.digest('secret-2')),
            priority=2,
            rate_per_s=108,
            burst=54,
        ),
    )
    assert found.cold_starts == (routes.ColdStart('s0', 3_000, 4.9),)
    assert found.routes[0].public
    assert found.routes[0].allowed_regions == ('r',)
    frame = codec.encode(messages.RoutesReply(found))
    assert b'secret' not in frame
    assert codec.decode(frame).unwrap() == messages.RoutesReply(found)
