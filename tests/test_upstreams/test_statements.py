"""Tests of what the client reads from the answers' headers."""

from __future__ import annotations

import asyncio

import pytest

from jasminebeam.model import requests
from jasminebeam.model import upstreams
from jasminebeam.platform import upstreams as dialect
from jasminebeam.upstreams import client
from jasminebeam import verdict
from tests import scripted

ANSWER = upstreams.NoticeSource.ANSWER
HEALTH = upstreams.NoticeSource.HEALTH
REFUSAL = upstreams.NoticeSource.REFUSAL
STATEMENTS = b'Server-Load: 1,0,9,100\r\nServer-Limit: %s\r\n'
OWN_ID = b'Instance-Id: i\r\n'
ECHO = b'Request-Id: r\r\nServer-Stamp: s\r\n'


class StatingUpstream(scripted.Server):
    """Answers requests and health checks with limits."""

    def __init__(self):
        super().__init__()
        self.status = b'200 OK'
        self.headers = ECHO
        self.health_headers = OWN_ID
        self.body_allowed = asyncio.Event()
        self.body_allowed.set()
        self.head_sent = asyncio.Event()

    async def serve(self, reader, writer):
        """Answer requests and health checks in turn."""
        while True:
            request = await reader.readuntil(b'\r\n\r\n')
            if request.startswith(b'GET /health'):
                self._write_head(writer, b'200 OK', self.health_headers, 4)
            else:
                self._write_head(writer, self.status, self.headers, 8)
                self.head_sent.set()
                await self.body_allowed.wait()
            writer.write(b'x')

    def _write_head(self, writer, status, headers, limit_per_s):
        statements = STATEMENTS % str(limit_per_s).encode()
        lines = b'HTTP/1.1 ' + status + b'\r\nContent-Length: 1\r\n'
        writer.write(lines + headers + statements + b'\r\n')


@pytest.fixture
async def upstream():
    """Provide an upstream that names limits."""
    created = StatingUpstream()
    await created.start()
    yield created
    created.server.close()


class Statements:
    """Records load reports and notices, in their order."""

    def __init__(self):
        self.reports = []
        self.notices = []

    def on_notice(self, announcement, source, notice):
        """Record the source and the limit."""
        self.notices.append((source, notice.limit_per_s))


@pytest.fixture
def statements():
    """Provide a record of statements."""
    return Statements()


@pytest.fixture
async def tested(upstream, statements):
    """Provide a client with the platform's dialect."""
    created = client.HttpUpstreamClient(
        upstreams.Announcement(
            's', upstream.port, load_path='/health', upstream_id='i'
        ),
        1_000,
        dialect.PlatformUpstreamDialect(),
        statements.reports.append,
        statements.on_notice,
    )
    yield created
    await created.close()


def _run(tested):
    call = requests.Call('r', 's', 'GET', '/', (), b'', False, 0.0)
    return tested.run(call, 5_000.0)


@pytest.mark.parametrize(
    ('status', 'headers', 'source'),
    [
        (b'200 OK', ECHO, ANSWER),
        (b'500 Failed', ECHO, ANSWER),
        (b'503 Full', ECHO + b'Not-Executed: 1\r\n', REFUSAL),
        (b'429 Full', ECHO + b'Not-Executed: 1\r\n', REFUSAL),
    ],
)
async def test_statements_of_each_kind_of_answer(
    upstream, statements, tested, status, headers, source
):
    """Answers, failures and refusals may name a limit."""
    upstream.status, upstream.headers = status, headers
    await _run(tested)
    assert statements.notices == [(source, 8.0)]
    assert len(statements.reports) == 1


async def test_statements_of_another_upstream_at_the_address(
    upstream, statements, tested
):
    """A refusal as misdirected, or another identity, states nothing."""
    upstream.status = b'421 Other'
    result = await _run(tested)
    assert result == verdict.not_run(verdict.Reason.WRONG_UPSTREAM)
    upstream.health_headers = b'Instance-Id: other\r\n'
    assert (await tested.check_health()).upstream_id == 'other'
    assert not statements.notices
    assert not statements.reports


async def test_limit_of_an_older_answer_replaced_a_newer_one(
    upstream, statements, tested
):
    """The headers count when they arrive, not at the end of the body."""
    upstream.body_allowed.clear()
    running = asyncio.create_task(_run(tested))
    await upstream.head_sent.wait()
    await asyncio.sleep(0.05)
    await tested.check_health()
    upstream.body_allowed.set()
    assert (await running).outcome is verdict.Outcome.ANSWERED
    assert statements.notices == [(ANSWER, 8.0), (HEALTH, 4.0)]
