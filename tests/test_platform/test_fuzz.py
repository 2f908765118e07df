"""Values of other writers: heartbeats, configurations, loads."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
from returns import result

from jasminebeam.platform import configuration
from jasminebeam.platform import upstreams
from tests import platform_site

BEAT = {
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
JUNK = strategies.sampled_from(
    [None, -1, 0, 1.5, 10**30, '', 'x', '\ud7ff', [], {}, [1], {'a': 1}, True]
)


def _places(value, path=()):
    """Yield the path of each value within a document."""
    yield path
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield from _places(inner, (*path, key))


def _spoiled(document, path, junk):
    """Return a copy of a document with one value replaced."""
    if not path:
        return junk
    copied = msgspec.json.decode(msgspec.json.encode(document))
    inner = copied
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = junk
    return copied


@hypothesis.settings(max_examples=300)
@hypothesis.given(strategies.sampled_from(list(_places(CONFIGURATION))), JUNK)
def test_spoiled_configuration_is_decoded_or_refused(path, junk):
    """No value of another type raises anything else."""
    decoder = configuration.Decoder({})
    value = msgspec.json.encode(_spoiled(CONFIGURATION, path, junk))
    assert isinstance(decoder.decode(value), result.Result)


@hypothesis.settings(max_examples=300)
@hypothesis.given(strategies.binary(max_size=80))
def test_bytes_that_are_no_configuration_are_refused(value):
    """The former one stays in force."""
    decoded = configuration.Decoder({}).decode(value)
    assert isinstance(decoded, result.Failure)


@hypothesis.settings(max_examples=300)
@hypothesis.given(strategies.text(alphabet='0123456789,.-e x', max_size=20))
def test_load_that_cannot_be_read_is_none(text):
    """Figures are whole or none."""
    report = upstreams.parse_load(text)
    assert report is None or report.slots >= 0


@pytest.fixture
async def site():
    """Provide a store with a configuration."""
    created = platform_site.Site()
    await created.start()
    yield created
    await created.close()


async def test_spoiled_heartbeats_harm_nothing(site):
    """Each is answered; the upstream stays in service."""
    node = await site.add()
    address = site.settings[0].adapter.announcements
    generator = random.Random(3)
    junk = [None, -1, 1.5, 'x', [], {}, 10**30]
    # A later start under another identity would rightly be believed.
    paths = [path for path in _places(BEAT) if path != ('born',)]
    for path in paths:
        body = msgspec.json.encode(
            _spoiled(BEAT, path, generator.choice(junk))
        )
        async with site.session.put(
            f'http://{address}/v1/instances/other', data=body
        ) as response:
            assert response.status in (200, 400)
    status, _, _ = await site.ask()
    assert status == 200
    assert node.ready
