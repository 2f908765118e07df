"""Fuzz tests of external input: heartbeats, configurations and loads."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
from returns import result

from jasminebeam.platform import configuration
from jasminebeam.platform import upstreams
from tests import platform_cluster

HEARTBEAT = {
    'address': '127.0.0.1:1',
    'info': {'service': 'fees', 'slots': 9},
    'status': {'state': 'ready', 'sequence': 4, 'coldRemainingMs': 0},
    'born': 5,
}
CONFIGURATION = {
    'version': '0000000c',
    'listeners': [
        {
            'host': 'h',
            'rules': [
                {
                    'name': 'r',
                    'kind': 'safe',
                    'aimMs': 300,
                    'priority': 2,
                    'match': {'prefix': '/a/'},
                    'action': {
                        'service': 's',
                        'timeoutMs': 1_200,
                        'maxAttempts': 2,
                    },
                }
            ],
        }
    ],
    'clusters': [{'name': 's', 'healthPath': '/health'}],
}
REPLACEMENTS = strategies.sampled_from(
    [None, -1, 0, 1.5, 10**30, '', 'x', '\ud7ff', [], {}, [1], {'a': 1}, True]
)


def _paths(value, path=()):
    """Yield the path of each value in a document."""
    yield path
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield from _paths(inner, (*path, key))


def _with_replaced_value(document, path, replacement):
    """Return a copy of a document with one value replaced."""
    if not path:
        return replacement
    copied = msgspec.json.decode(msgspec.json.encode(document))
    inner = copied
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = replacement
    return copied


@hypothesis.settings(max_examples=300)
@hypothesis.given(
    strategies.sampled_from(list(_paths(CONFIGURATION))), REPLACEMENTS
)
def test_altered_configuration_is_decoded_or_rejected(path, replacement):
    """Decoding a changed document returns a result and never raises."""
    decoder = configuration.Decoder({})
    value = msgspec.json.encode(
        _with_replaced_value(CONFIGURATION, path, replacement)
    )
    assert isinstance(decoder.decode(value), result.Result)


@hypothesis.settings(max_examples=300)
@hypothesis.given(strategies.binary(max_size=80))
def test_arbitrary_bytes_are_rejected_as_configuration(value):
    """Decoding bytes that are not a configuration returns a failure."""
    decoded = configuration.Decoder({}).decode(value)
    assert isinstance(decoded, result.Failure)


@hypothesis.settings(max_examples=300)
@hypothesis.given(strategies.text(alphabet='0123456789,.-e x', max_size=20))
def test_load_header_gives_a_complete_report_or_none(text):
    """A malformed load header yields no report and never raises."""
    report = upstreams.parse_load(text)
    assert report is None or report.slots >= 0


@pytest.fixture
async def cluster():
    """Provide a cluster whose store holds a configuration."""
    created = platform_cluster.Cluster()
    await created.start()
    yield created
    await created.close()


async def test_altered_heartbeats_leave_the_upstream_in_service(cluster):
    """Each heartbeat is answered; the attached upstream stays in service."""
    node = await cluster.add_host()
    address = cluster.settings[0].adapter.announcements
    generator = random.Random(3)
    replacements = [None, -1, 1.5, 'x', [], {}, 10**30]
    # A larger `born` announces a later start, which the node rightly accepts
    # under another identity too.
    paths = [path for path in _paths(HEARTBEAT) if path != ('born',)]
    for path in paths:
        body = msgspec.json.encode(
            _with_replaced_value(
                HEARTBEAT, path, generator.choice(replacements)
            )
        )
        async with cluster.session.put(
            f'http://{address}/v1/instances/other', data=body
        ) as response:
            assert response.status in (200, 400)
    status, _, _ = await cluster.send_request()
    assert status == 200
    assert node.ready
