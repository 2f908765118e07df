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


async def _run(node):
    """Return the observations of a schedule."""
    recorder = await traffic.run(
        [STREAM],
        lambda: traffic.IngressAddress('127.0.0.1', node.port),
        SECONDS,
        1,
        'r',
    )
    return recorder.observations


async def test_sound_answer_was_refused(node):
    """The answer of a node is the identifier of the request."""
    request_id = b'r-browse-0'
    node.answer = SOUND % (len(request_id), request_id)
    observation, *_ = await _run(node)
    assert observation.outcome == 'answered'
    assert observation.answer_matches


async def test_bytes_behind_an_answer_were_no_finding(node):
    """They answer no request, though the answer before them is sound."""
    request_id = b'r-browse-0'
    answer = SOUND % (len(request_id), request_id)
    node.answer = 2 * answer
    violated = guarantees.violations(
        await _run(node), collections.Counter(), lambda cut: True
    )
    assert ('wrong_answers', f'{len(answer)} unsolicited bytes') in {
        (guarantee, observation.reason) for guarantee, observation in violated
    }


@pytest.mark.parametrize(
    'table', ['MALFORMED_HEADS', 'MALFORMED_FRAMING', 'MALFORMED_CHUNKS']
)
async def test_malformed_answer_of_a_node_was_no_finding(node, table):
    """Each violates a guarantee, whatever its status and content."""
    missed = []
    for name, node.answer in getattr(raw_answers, table).items():
        observation, *_ = await _run(node)
        violated = guarantees.violations(
            [observation], collections.Counter(), lambda cut: True
        )
        if 'wrong_answers' not in dict(violated):
            missed.append((name, observation.outcome, observation.reason))
    assert missed == []
