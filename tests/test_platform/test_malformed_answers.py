"""Tests of what callers get when an upstream's answers are malformed."""

from __future__ import annotations

import pytest

from jasminebeam import response_syntax
from tests import raw_answers
from tests import raw_cluster

# Statuses that promise nothing about whether the request ran.
MAY_HAVE_RUN = {502, 504}
# Malformed heads that the parser accepts, and whose status or fields show it.
PASSED_ON_BY_EARLIER_SIDECARS = (
    'status 000',
    'status 099',
    'status 999',
    'protocol switch',
    'control byte in value',
    'DEL in value',
    'blank before colon of length',
)


@pytest.fixture(params=['unsafe', 'safe'])
async def cluster(request):
    """Provide two hosts, with a route that is idempotent or not."""
    created = raw_cluster.Cluster()
    await created.start_raw(request.param)
    yield created
    await created.close()


@pytest.mark.parametrize('index', [0, 1])
@pytest.mark.parametrize(
    ('table', 'closes'),
    [
        ('MALFORMED_HEADS', False),
        ('MALFORMED_FRAMING', False),
        ('MALFORMED_FRAMING', True),
        ('MALFORMED_CHUNKS', False),
    ],
)
async def test_malformed_answer_reached_the_caller(
    cluster, index, table, closes
):
    """Neither it nor a part of it may, nor a "not run" in its place."""
    passed_on = {}
    for name, answer in getattr(raw_answers, table).items():
        request_id = name.replace(' ', '-')
        cluster.raw.answer, cluster.raw.closes = answer, closes
        received = await cluster.receive(index, request_id)
        if raw_answers.BODY in received or (
            raw_cluster.status_of(received) not in MAY_HAVE_RUN
        ):
            passed_on[name] = received
        assert cluster.raw.runs[request_id.encode()] == 1, name
        # A sound answer ends the series, so that no suspension begins.
        cluster.raw.answer, cluster.raw.closes = raw_answers.SOUND, False
        assert (
            raw_cluster.status_of(await cluster.receive(index, 'sound')) == 200
        ), name
    assert sorted(passed_on) == []
    assert not cluster.raw.reuses


async def test_answer_of_an_earlier_sidecar_reached_the_caller(
    cluster, monkeypatch
):
    """An ingress refuses it even if the sidecar has not checked it."""
    monkeypatch.setattr(
        response_syntax.ResponseChecker, 'check', lambda _, data: len(data)
    )
    heads = raw_answers.MALFORMED_HEADS
    large = heads['status 600'].replace(b': 20\r\n', b': 300000\r\n')
    answers = {name: heads[name] for name in PASSED_ON_BY_EARLIER_SIDECARS}
    answers['large'] = large + raw_answers.BODY * 15_000
    framing = raw_answers.MALFORMED_FRAMING
    answers['content'] = framing['reset content with a length']
    for name, answer in answers.items():
        cluster.raw.answer, cluster.raw.closes = answer, True
        received = await cluster.receive(1, name.replace(' ', '-'))
        assert raw_cluster.status_of(received) in MAY_HAVE_RUN, name
        assert raw_answers.BODY not in received, name
    logged = cluster.nodes[1].metrics.events.labels('305')._value.get()
    assert logged == len(answers)


@pytest.mark.parametrize('index', [0, 1])
async def test_tolerable_answer_did_not_reach_the_caller(cluster, index):
    """What a recipient may accept is passed on in a well-formed answer."""
    for name, answer in raw_answers.ACCEPTED.items():
        cluster.raw.answer = answer
        received = await cluster.receive(index, name.replace(' ', '-'))
        assert raw_cluster.status_of(received) == 200, name
        assert received.endswith(b'\r\n\r\n' + raw_answers.BODY), name
