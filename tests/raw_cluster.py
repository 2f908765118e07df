"""Test cluster whose first upstream sends the bytes of the test."""

from __future__ import annotations

import asyncio
import json
import re

from jasminebeam import inputs
from jasminebeam import response_syntax
from tests import platform_cluster
from tests import raw_answers

STATUS_LINE = re.compile(rb'HTTP/1\.1 ([2-5][0-9]{2}) [ -~]*')
FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+: [\t -~\x80-\xff]*")


class Cluster(platform_cluster.Cluster):
    """An ingress of another service beside the host of a raw upstream."""

    async def start_raw(self, kind, **action):
        """Start both hosts; the first one has the raw upstream.

        Parameters
        ----------
        kind : str
            Whether requests are idempotent (`safe`) or not (`unsafe`).
        action
            Other settings of the route than those of the other tests.
        """
        await self.start()
        document = json.loads(
            platform_cluster.configuration(version=2, kind=kind, **action)
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
        # Still sends heartbeats.
        self.stand_in = self.upstreams[0]
        await self.stand_in.stop()
        self.raw = raw_answers.RawUpstream()
        self.raw.port = self.upstreams[0].port
        await self.raw.start()
        self.upstreams[0] = self.raw

    async def receive(self, index, request_id, time_left_ms=1_000):
        """Send a request to a node; return the bytes of its answer."""
        return await self.exchange(
            index, request(request_id, time_left_ms, 'Connection: close')
        )

    async def exchange(self, index, data):
        """Send bytes to a node; return all that it sends."""
        return await exchange(self.settings[index].adapter.callers, data)


async def exchange(address, data):
    """Send bytes to a server; return all that it sends."""
    parsed = inputs.parse_address(address)
    reader, writer = await asyncio.open_connection(parsed.host, parsed.port)
    writer.write(data)
    async with asyncio.timeout(10):
        received = await reader.read()
    writer.close()
    return received


def request(request_id, time_left_ms=1_000, *lines):
    """Return the bytes of a request with a body of one byte."""
    fields = (
        f'Host: {platform_cluster.HOST}',
        f'Request-Id: {request_id}',
        f'Deadline-Ms: {time_left_ms}',
        'Content-Length: 1',
        *lines,
    )
    return '\r\n'.join(('POST /fee/1 HTTP/1.1', *fields, '', 'x')).encode()


def status_of(received):
    """Return the status of an answer; 0 if its head is malformed."""
    head, _, _ = received.partition(b'\r\n\r\n')
    status_line, *fields = head.split(b'\r\n')
    match = STATUS_LINE.fullmatch(status_line)
    if match is None or not all(map(FIELD_LINE.fullmatch, fields)):
        return 0
    return int(match[1])


def split(received, has_content=True):
    """Return the answers that follow each other, all well-formed."""
    answers = []
    while received:
        checker = response_syntax.ResponseChecker(has_content)
        end = checker.check(received)
        assert checker.is_complete, received
        answers.append(received[:end])
        received = received[end:]
    return answers
