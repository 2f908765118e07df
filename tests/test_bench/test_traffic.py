"""Tests of the traffic of the bench."""

from __future__ import annotations

import collections

import pytest

from bench import guarantees
from bench import traffic
from tests import raw_answers

STREAM = traffic.Stream('browse', 'catalogo', 'GET', '/', 100.0, True)
SECONDS = 0.02
SOUND = (
    b'HTTP/1.1 200 OK\r\nJasminebeam-Verdict: answered\r\n'
    b'Content-Length: %d\r\n\r\n%b'
)


@pytest.fixture
async def node():
    """Provide what seems to be a node, with an answer of the test."""
    created = raw_answers.RawUpstream()
    created.closes = True
    await created.start()
    yield created
    await created.stop()


async def _observe(node):
    """Return the observation of the first request of a schedule."""
    recorder = await traffic.run(
        [STREAM],
        lambda: traffic.IngressAddress('127.0.0.1', node.port),
        SECONDS,
        1,
        'r',
    )
    return recorder.observations[0]


async def test_sound_answer_was_refused(node):
    """The answer of a node is the identifier of the request."""
    request_id = b'r-browse-0'
    node.answer = SOUND % (len(request_id), request_id)
    observation = await _observe(node)
    assert (observation.outcome, observation.answer_matches) == (
        'answered',
        True,
    )


@pytest.mark.parametrize(
    'table', ['MALFORMED_HEADS', 'MALFORMED_FRAMING', 'MALFORMED_CHUNKS']
)
async def test_malformed_answer_of_a_node_was_no_finding(node, table):
    """Each violates a guarantee, whatever its status and content."""
    missed = []
    for name, node.answer in getattr(raw_answers, table).items():
        observation = await _observe(node)
        violated = guarantees.violations(
            [observation], collections.Counter(), lambda cut: True
        )
        if 'wrong_answers' not in dict(violated):
            missed.append((name, observation.outcome, observation.reason))
    assert missed == []
