"""Tests of answers that are cut at each of their bytes."""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from jasminebeam.model import requests
from jasminebeam.model import upstreams
from jasminebeam.platform import upstreams as platform_dialect
from jasminebeam.upstreams import client
from jasminebeam.upstreams import dialect
from jasminebeam import verdict
from tests import resets
from tests import scripted

HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: id\r\nServer-Stamp: s\r\n'
BODY = b'0123456789'
ANSWERS = {
    'length': HEAD + b'Content-Length: 10\r\n\r\n' + BODY,
    'chunked': HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n'
    + b'4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n',
    'until close': HEAD + b'Connection: close\r\n\r\n' + BODY,
}
DIALECTS = {
    'native': dialect.NativeDialect,
    'platform': platform_dialect.PlatformUpstreamDialect,
}


@pytest.fixture(
    params=[asyncio.DefaultEventLoopPolicy, uvloop.EventLoopPolicy]
)
def event_loop_policy(request):
    """Run the tests on both event loops, which report resets differently."""
    return request.param()


class CuttingUpstream(scripted.Server):
    """Sends the first bytes of an answer and ends the connection."""

    def __init__(self):
        super().__init__()
        self.sent = b''
        self.resets = False

    async def serve(self, reader, writer):
        """Send the bytes."""
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.sent)
        await writer.drain()

    def finish(self, writer):
        """Reset or close the connection."""
        if self.resets:
            resets.reset(writer)
        else:
            super().finish(writer)


@pytest.fixture
async def upstream():
    """Provide an upstream that cuts its answers."""
    created = CuttingUpstream()
    await created.start()
    yield created
    created.server.close()


async def _run(upstream, kind):
    tested = client.HttpUpstreamClient(
        upstreams.Announcement('s', upstream.port),
        1_000,
        DIALECTS[kind](),
        lambda report: None,
    )
    call = requests.Call('id', 's', 'POST', '/', (), b'', False, 0.0)
    try:
        return await tested.run(call, 5_000.0)
    finally:
        await tested.close()


@pytest.mark.parametrize('resets_connection', [False, True])
@pytest.mark.parametrize('kind', DIALECTS)
@pytest.mark.parametrize('framing', ANSWERS)
async def test_cut_answer_does_not_look_complete(
    upstream, framing, kind, resets_connection
):
    """No part of an answer may pass for the whole of it.

    An answer without a length is complete when the upstream closes the
    connection after the head.
    """
    answer = ANSWERS[framing]
    head_bytes = answer.index(b'\r\n\r\n') + 4
    upstream.resets = resets_connection
    for size_bytes in range(len(answer)):
        upstream.sent = answer[:size_bytes]
        result = await _run(upstream, kind)
        ends_with_close = framing == 'until close' and not resets_connection
        if ends_with_close and size_bytes >= head_bytes:
            assert result.answer.body == answer[head_bytes:size_bytes]
        else:
            assert result.outcome is verdict.Outcome.MAY_HAVE_RUN, size_bytes


@pytest.mark.parametrize('kind', DIALECTS)
@pytest.mark.parametrize('framing', ANSWERS)
async def test_whole_answer_is_complete(upstream, framing, kind):
    """The uncut answer must be passed on."""
    upstream.sent = ANSWERS[framing]
    assert (await _run(upstream, kind)).answer.body == BODY
