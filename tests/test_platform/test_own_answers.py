"""Tests of the answers that a node writes itself."""

from __future__ import annotations

import pytest

from jasminebeam import response_syntax
from tests import platform_cluster
from tests import raw_answers
from tests import raw_cluster

HOST = f'Host: {platform_cluster.HOST}'
IDENTITY = 'Request-Id: a'
LARGE = f'Content-Length: {10**7}'
# Status, method, target and fields.
REQUESTS = {
    'no route': (404, 'POST', '/none', (HOST, IDENTITY)),
    'control bytes in the path': (404, 'POST', '/%00%0d%0a', (HOST, IDENTITY)),
    'line end in the identifier': (
        *(200, 'POST', '/fee/%0d%0aX-A:%20b'),
        (HOST, IDENTITY),
    ),
    'no identifier': (400, 'POST', '/fee/1', (HOST,)),
    'malformed time': (
        *(400, 'POST', '/fee/1'),
        (HOST, IDENTITY, 'Deadline-Ms: soon'),
    ),
    'infinite time': (
        *(400, 'POST', '/fee/1'),
        (HOST, IDENTITY, 'Deadline-Ms: inf'),
    ),
    'large body': (413, 'POST', '/fee/1', (HOST, IDENTITY, LARGE)),
}
# The node does not know the method of these requests.
MALFORMED_REQUESTS = {
    'unknown method': (400, 'ANY', '/fee/1', (HOST, IDENTITY)),
    'control byte in a value': (
        *(400, 'POST', '/fee/1'),
        (HOST, IDENTITY, 'X-A: \x01'),
    ),
    'blank in a name': (400, 'POST', '/fee/1', (HOST, IDENTITY, 'X A: b')),
    'large head': (
        *(400, 'POST', '/fee/1'),
        (HOST, IDENTITY, f'X-A: {20_000 * "b"}'),
    ),
}


@pytest.fixture
async def cluster():
    """Provide a raw upstream and the ingress of another service."""
    created = raw_cluster.Cluster()
    await created.start_raw('unsafe')
    yield created
    await created.close()


def _request(method, target, fields):
    lines = (f'{method} {target} HTTP/1.1', *fields, 'Connection: close')
    return '\r\n'.join((*lines, '', '')).encode()


def _check(received, method, status):
    """Check that one well-formed answer was received, with this status."""
    (answer,) = raw_cluster.split(received, has_content=method != 'HEAD')
    head, end, content = answer.partition(b'\r\n\r\n')
    assert response_syntax.parse_head(head + end).status == status
    if method == 'HEAD':
        assert not content
    names = [
        line.partition(b':')[0].lower() for line in head.split(b'\r\n')[1:]
    ]
    assert len(set(names)) == len(names)


@pytest.mark.parametrize('method', ['', 'HEAD'])
@pytest.mark.parametrize('index', [0, 1])
async def test_answer_to_an_invalid_request_was_malformed(
    cluster, index, method
):
    """Nothing that a caller sends becomes a part of a head."""
    requests = REQUESTS if method else {**REQUESTS, **MALFORMED_REQUESTS}
    for status, default, target, fields in requests.values():
        sent = method or default
        received = await cluster.exchange(
            index, _request(sent, target, fields)
        )
        _check(received, sent, status)


@pytest.mark.parametrize('method', ['POST', 'HEAD'])
@pytest.mark.parametrize('index', [0, 1])
async def test_answer_in_place_of_an_unusable_one_was_malformed(
    cluster, index, method
):
    """Nothing of what an upstream sends becomes a part of it."""
    sent = _request(method, '/fee/1', (HOST, IDENTITY, 'Deadline-Ms: 300'))
    refusal = raw_answers.SOUND.replace(
        b'Server-Stamp', b'Not-Executed: 1\r\nServer-Stamp'
    )
    silent = raw_answers.SOUND[:-1].replace(b'200 OK', b'200 OK\r\nX-A: b')
    for answer, status in (
        (raw_answers.MALFORMED_HEADS['status 000'], 502),
        (refusal.replace(b'200', b'503'), 503),
        (silent, 504),
    ):
        cluster.raw.answer = answer
        if method == 'HEAD':
            head, _, _ = answer.partition(b'\r\n\r\n')
            cluster.raw.answer = head + b'\r\n' * (1 + (status != 504))
        _check(await cluster.exchange(index, sent), method, status)
        cluster.raw.answer = raw_answers.SOUND
        await cluster.receive(index, 'sound')


@pytest.mark.parametrize('method', ['GET', 'HEAD'])
async def test_answer_to_operators_was_malformed(cluster, method):
    """It concerns the metrics and whether the node is ready."""
    adapter = cluster.settings[0].adapter
    for target, address in (
        ('/v1/ready', adapter.readiness),
        ('/metrics', f'127.0.0.1:{adapter.metrics_port}'),
    ):
        received = await raw_cluster.exchange(
            address, _request(method, target, (f'Host: {address}',))
        )
        _check(received, method, 200)
