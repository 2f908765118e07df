"""Tests of second copies of answers that arrive late."""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from jasminebeam.model import requests
from jasminebeam.model import upstreams
from jasminebeam.platform import upstreams as dialect
from jasminebeam.upstreams import client
from jasminebeam import verdict
from tests import scripted


@pytest.fixture(
    params=[asyncio.DefaultEventLoopPolicy, uvloop.EventLoopPolicy]
)
def event_loop_policy(request):
    """Run the tests on both event loops."""
    return request.param()


class DuplicatingUpstream(scripted.Server):
    """Sends the answer to a connection's first request once more, late.

    The second copy arrives together with the next request, so the
    connection is in use again and shows no unsolicited bytes before.
    """

    def __init__(self):
        super().__init__()
        self.copy = b''
        # Status and additional header of the first answer of a connection.
        self.first = (b'200 OK', b'')
        self.connections = 0

    async def serve(self, reader, writer):
        """Answer one request, and send the copy in place of the next."""
        self.connections += 1
        head = await reader.readuntil(b'\r\n\r\n')
        status, extra = self.first
        writer.write(_answer(head, status, extra=extra))
        head = await reader.readuntil(b'\r\n\r\n')
        writer.write(self.copy)
        await writer.drain()
        # The answer to the second request would follow.
        await reader.read(1)


def _request_id(head):
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'request-id:'):
            return line.split(b':')[1].strip()
    return b''


def _answer(head, status, echoes=True, extra=b''):
    lines = [b'HTTP/1.1 ' + status, b'Server-Stamp: s', b'Content-Length: 1']
    if echoes and _request_id(head):
        lines.append(b'Request-Id: ' + _request_id(head))
    if extra:
        lines.append(extra)
    return b'\r\n'.join(lines) + b'\r\n\r\nx'


FIRST_HEAD = b'GET / HTTP/1.1\r\nRequest-Id: first\r\n\r\n'
COPIES = {
    'success': (b'200 OK', b''),
    'failure': (b'500 Failed', b''),
    'not found': (b'404 Not Found', b''),
    'shed': (b'503 Full', b'Not-Executed: 1'),
    'misdirected': (b'421 Other', b''),
}


@pytest.fixture
async def upstream():
    """Provide an upstream that duplicates answers."""
    created = DuplicatingUpstream()
    await created.start()
    yield created
    created.server.close()


@pytest.fixture
async def tested(upstream):
    """Provide a client with the platform's dialect."""
    created = client.HttpUpstreamClient(
        upstreams.Announcement('s', upstream.port, load_path='/health'),
        1_000,
        dialect.PlatformUpstreamDialect(),
        lambda report: None,
    )
    yield created
    await created.close()


def _call(request_id):
    return requests.Call(
        request_id,
        's',
        'GET',
        '/',
        (('Request-Id', request_id),),
        b'',
        False,
        0.0,
    )


@pytest.mark.parametrize('echoes', [True, False])
@pytest.mark.parametrize('kind', COPIES)
async def test_late_copy_is_not_the_next_answer(
    upstream, tested, kind, echoes
):
    """The next request must not get the copy, nor count as not run."""
    status, extra = COPIES[kind]
    upstream.copy = _answer(FIRST_HEAD, status, echoes, extra)
    first = await tested.run(_call('first'), 5_000.0)
    assert first.outcome is verdict.Outcome.ANSWERED
    second = await tested.run(_call('second'), 5_000.0)
    assert second == verdict.may_have_run(verdict.Reason.WRONG_ANSWER)
    third = await tested.run(_call('third'), 5_000.0)
    assert third.outcome is verdict.Outcome.ANSWERED


async def test_late_copy_is_not_the_health(upstream, tested):
    """A copy must not pass for the answer to a health check."""
    upstream.copy = _answer(FIRST_HEAD, b'200 OK', extra=b'Instance-Id: i')
    await tested.run(_call('first'), 5_000.0)
    assert await tested.check_health() is None
    third = await tested.run(_call('third'), 5_000.0)
    assert third.outcome is verdict.Outcome.ANSWERED


@pytest.mark.parametrize(
    ('status', 'extra'), [COPIES['shed'], COPIES['misdirected']]
)
async def test_refusal_written_once_more_answers_no_second_attempt(
    upstream, tested, status, extra
):
    """A request that comes back must not get the copy of its refusal.

    The copy carries the id of the request, which runs at that time.
    """
    upstream.first = (status, extra)
    upstream.copy = _answer(FIRST_HEAD, status, extra=extra)
    first = await tested.run(_call('first'), 5_000.0)
    assert first.outcome is verdict.Outcome.NOT_RUN
    upstream.first = (b'200 OK', b'')
    second = await tested.run(_call('first'), 5_000.0)
    assert second.outcome is verdict.Outcome.ANSWERED


async def test_connection_is_kept_after_a_refusal(upstream, tested):
    """Other requests may use the connection on which one was refused."""
    upstream.first = COPIES['shed']
    upstream.copy = _answer(b'\r\nRequest-Id: other\r\n', b'200 OK')
    await tested.run(_call('first'), 5_000.0)
    second = await tested.run(_call('other'), 5_000.0)
    assert second.outcome is verdict.Outcome.ANSWERED
    assert upstream.connections == 1
