"""Tests of what callers get when an upstream's answers are malformed."""

from __future__ import annotations

import asyncio
import json
import re

import pytest

from jasminebeam import inputs
from jasminebeam import response_syntax
from tests import platform_cluster
from tests import raw_answers

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
STATUS_LINE = re.compile(rb'HTTP/1\.1 ([2-5][0-9]{2}) [ -~]*')
FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+: [\t -~\x80-\xff]*")


class Cluster(platform_cluster.Cluster):
    """An ingress of another service beside the host of a raw upstream."""

    async def start_raw(self, kind):
        """Start both hosts; the first one has the raw upstream."""
        await self.start()
        document = json.loads(
            platform_cluster.configuration(version=2, kind=kind)
        )
        document['clusters'].append(
            {**document['clusters'][0], 'name': 'idle'}
        )
        await self.store.put('op/config', json.dumps(document).encode())
        await self.add_host()
        await self.add_host(service='idle')
        async with asyncio.timeout(10):
            while (await self.send_request(1))[0] != 200:
                await asyncio.sleep(0.05)
        await self.upstreams[0].stop()
        self.raw = raw_answers.RawUpstream()
        self.raw.port = self.upstreams[0].port
        await self.raw.start()
        self.upstreams[0] = self.raw

    async def receive(self, index, request_id):
        """Send a request to a node; return the bytes of its answer."""
        address = inputs.parse_address(self.settings[index].adapter.callers)
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        lines = (
            'POST /fee/1 HTTP/1.1',
            f'Host: {platform_cluster.HOST}',
            f'Request-Id: {request_id}',
            'Deadline-Ms: 1000',
            'Content-Length: 1',
            'Connection: close',
        )
        writer.write('\r\n'.join((*lines, '', 'x')).encode())
        received = await reader.read()
        writer.close()
        return received


@pytest.fixture(params=['unsafe', 'safe'])
async def cluster(request):
    """Provide two hosts, with a route that is idempotent or not."""
    created = Cluster()
    await created.start_raw(request.param)
    yield created
    await created.close()


def _status(received):
    """Return the status of an answer; 0 if its head is malformed."""
    head, _, _ = received.partition(b'\r\n\r\n')
    status_line, *fields = head.split(b'\r\n')
    match = STATUS_LINE.fullmatch(status_line)
    if match is None or not all(map(FIELD_LINE.fullmatch, fields)):
        return 0
    return int(match[1])


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
            _status(received) not in MAY_HAVE_RUN
        ):
            passed_on[name] = received
        assert cluster.raw.runs[request_id.encode()] == 1, name
        # A sound answer ends the series, so that no suspension begins.
        cluster.raw.answer, cluster.raw.closes = raw_answers.SOUND, False
        assert _status(await cluster.receive(index, 'sound')) == 200, name
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
        assert _status(received) in MAY_HAVE_RUN, name
        assert raw_answers.BODY not in received, name
    logged = cluster.nodes[1].metrics.events.labels('305')._value.get()
    assert logged == len(answers)


@pytest.mark.parametrize('index', [0, 1])
async def test_tolerable_answer_did_not_reach_the_caller(cluster, index):
    """What a recipient may accept is passed on in a well-formed answer."""
    for name, answer in raw_answers.ACCEPTED.items():
        cluster.raw.answer = answer
        received = await cluster.receive(index, name.replace(' ', '-'))
        assert _status(received) == 200, name
        assert received.endswith(b'\r\n\r\n' + raw_answers.BODY), name
