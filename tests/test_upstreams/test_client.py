"""Tests of the HTTP client of the upstream, on real sockets."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading

import aiohttp
import pytest
import uvloop

from jasminebeam.model import requests
from jasminebeam.model import upstreams
from jasminebeam.upstreams import client
from jasminebeam.upstreams import dialect
from jasminebeam import verdict
from tests import ports
from tests import resets


@pytest.fixture(
    params=[asyncio.DefaultEventLoopPolicy, uvloop.EventLoopPolicy]
)
def event_loop_policy(request):
    """Run the tests on both event loops, which report resets differently."""
    return request.param()


class ScriptedUpstream:
    """Sends fixed bytes for each request; optionally closes or resets."""

    def __init__(self):
        self.port = ports.free_port()
        self.answer = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
        self.close_after = False
        self.reset_after = False
        self.late_data = b''
        self.request_heads = []
        self.server = None

    async def start(self):
        """Start listening."""
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )

    async def _serve(self, reader, writer):
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            self.request_heads.append(head)
            if self.close_after:
                break
            writer.write(self.answer)
            if self.late_data:
                await asyncio.sleep(0.02)
                writer.write(self.late_data)
            if self.reset_after:
                await asyncio.sleep(0.02)
                resets.reset(writer)
                return
        writer.close()


@pytest.fixture
async def upstream():
    """Provide a scripted upstream."""
    created = ScriptedUpstream()
    await created.start()
    yield created
    created.server.close()


@pytest.fixture
async def tested(upstream):
    """Provide a client of the upstream."""
    announcement = upstreams.Announcement(
        's', upstream.port, shed_status=503, shed_header='X-Shed'
    )
    created = client.HttpUpstreamClient(
        announcement, 100, dialect.NativeDialect(), lambda report: None
    )
    yield created
    await created.close()


def _call(method='GET', target='/x?y=1'):
    return requests.Call('id', 's', method, target, (), b'', False, 0.0)


@pytest.mark.parametrize('method', ['GET', 'HEAD', 'PUT', 'DELETE', 'POST'])
async def test_request_is_not_sent_again_on_a_lost_connection(
    upstream, tested, method
):
    """The client must send a request only once.

    The upstream closes a reused connection after it has received the
    request. By default, aiohttp then resends idempotent methods.
    """
    first = await tested.run(_call(), 5_000.0)
    assert first.outcome is verdict.Outcome.ANSWERED
    upstream.close_after = True
    result = await tested.run(_call(method), 5_000.0)
    assert result.outcome is verdict.Outcome.MAY_HAVE_RUN
    assert len(upstream.request_heads) == 2


async def test_refused_connection_did_not_run(upstream, tested):
    """A refused connection must prove that the request did not run."""
    upstream.server.close()
    await upstream.server.wait_closed()
    result = await tested.run(_call(), 5_000.0)
    assert result == verdict.not_run(verdict.Reason.CONNECT_FAILED)


async def test_shed_needs_status_and_header(upstream, tested):
    """Only the announced status and header may mark a request as not run."""
    head = b'HTTP/1.1 503 No\r\nContent-Length: 0\r\n'
    upstream.answer = head + b'\r\n'
    assert (await tested.run(_call(), 5_000.0)).answer.status == 503
    upstream.answer = head + b'X-Shed: 1\r\n\r\n'
    result = await tested.run(_call(), 5_000.0)
    assert result == verdict.not_run(verdict.Reason.SHED)


async def test_redirects_are_not_followed(upstream, tested):
    """The client must return the redirect as the answer."""
    upstream.answer = (
        b'HTTP/1.1 302 F\r\nLocation: /z\r\nContent-Length: 0\r\n\r\n'
    )
    result = await tested.run(_call(), 5_000.0)
    assert result.answer.status == 302
    assert len(upstream.request_heads) == 1


async def test_too_large_answer_may_have_run(upstream, tested):
    """The client must refuse the answer without reading all of it."""
    upstream.answer = b'HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n'
    result = await tested.run(_call(), 5_000.0)
    assert result == verdict.may_have_run(verdict.Reason.ANSWER_TOO_LARGE)


async def test_target_and_time_left_are_passed_on(upstream, tested):
    """The client must send the time left, and the target as it is."""
    await tested.run(_call(), 5_000.0)
    head = upstream.request_heads[0].decode()
    assert head.startswith('GET /x?y=1 HTTP/1.1\r\n')
    assert 'Jasminebeam-Timeout-Ms: 5000' in head
    assert 'X-Request-Id: id' in head


@pytest.mark.parametrize('target', ['/x?', '/x?#', '/x#y', '//x?', '/x??'])
async def test_empty_query_or_fragment_was_lost(upstream, tested, target):
    """The upstream must receive the target as the caller has sent it."""
    await tested.run(_call(target=target), 5_000.0)
    assert upstream.request_heads[0].split(b' ')[1].decode() == target


async def test_unframed_answer_that_is_reset_is_not_complete(upstream, tested):
    """Without a length, only a clean close may prove completeness."""
    upstream.answer = b'HTTP/1.1 200 OK\r\n\r\nhalf'
    upstream.reset_after = True
    result = await tested.run(_call(), 5_000.0)
    assert result == verdict.may_have_run(verdict.Reason.ANSWER_TRUNCATED)


async def test_reset_in_one_read_with_the_answer_is_noticed(
    upstream, tested, monkeypatch
):
    """A reset must be detected if it arrives before the header is parsed."""
    upstream.answer = b'HTTP/1.1 200 OK\r\n\r\nhalf'
    upstream.reset_after = True
    waits = []
    read = aiohttp.ClientResponse.start

    async def start_late(response, connection):
        waits.append(await asyncio.sleep(0.1))
        return await read(response, connection)

    monkeypatch.setattr(aiohttp.ClientResponse, 'start', start_late)
    result = await tested.run(_call(), 5_000.0)
    assert waits
    assert result == verdict.may_have_run(verdict.Reason.ANSWER_TRUNCATED)


async def test_reset_that_arrives_with_the_data_is_noticed(tested, upstream):
    """A reset must be detected if the loop reports it as a clean close."""
    upstream.server.close()
    await upstream.server.wait_closed()
    listening = socket.create_server(('127.0.0.1', upstream.port))
    served = threading.Event()

    def serve():
        accepted, _ = listening.accept()
        accepted.recv(65_536)
        accepted.sendall(b'HTTP/1.1 200 OK\r\n\r\nhalf')
        accepted.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        accepted.close()
        served.set()

    thread = threading.Thread(target=serve)
    thread.start()
    running = asyncio.ensure_future(tested.run(_call(), 5_000.0))
    while not served.is_set():
        # Block the event loop until data and reset have arrived.
        await asyncio.sleep(0)
        served.wait(0.05)
    result = await running
    thread.join()
    listening.close()
    assert result == verdict.may_have_run(verdict.Reason.ANSWER_TRUNCATED)


async def test_answer_that_ends_early_is_not_complete(upstream, tested):
    """A body shorter than its Content-Length must not be an answer.

    The upstream resets the connection after a part of the body.
    """
    upstream.answer = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf'
    upstream.reset_after = True
    result = await tested.run(_call(), 5_000.0)
    assert result.outcome is verdict.Outcome.MAY_HAVE_RUN


async def test_bytes_after_an_answer_are_not_the_next_answer(upstream, tested):
    """A connection with unsolicited bytes must not be reused."""
    extra = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad'
    upstream.late_data = extra
    assert (await tested.run(_call(), 5_000.0)).answer.body == b'ok'
    await asyncio.sleep(0.05)
    upstream.late_data = b''
    assert (await tested.run(_call(), 5_000.0)).answer.body == b'ok'
