"""Callers that send what is no proper request, on raw sockets."""

from __future__ import annotations

import asyncio

import pytest

from jasminebeam.platform import settings
from tests import platform_site

HOST = platform_site.HOST.encode()
HEAD = b'Host: ' + HOST + b'\r\nRequest-Id: one\r\nDeadline-Ms: 1000\r\n'
SMUGGLED = (
    b'POST /fee/smuggled HTTP/1.1\r\nHost: ' + HOST + b'\r\n'
    b'Request-Id: smuggled\r\nDeadline-Ms: 1000\r\n'
    b'Content-Length: 1\r\n\r\nx'
)
LENGTH = str(len(SMUGGLED)).encode()

# Each must end in an error or a closed connection, and run nothing.
REFUSED = {
    'length and chunks': (
        b'POST /fee/1 HTTP/1.1\r\n' + HEAD + b'Content-Length: 4\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n' + SMUGGLED
    ),
    'two lengths': (
        b'POST /fee/1 HTTP/1.1\r\n' + HEAD + b'Content-Length: 0\r\n'
        b'Content-Length: ' + LENGTH + b'\r\n\r\n' + SMUGGLED
    ),
    'negative length': (
        b'POST /fee/1 HTTP/1.1\r\n' + HEAD + b'Content-Length: -1\r\n\r\nx'
    ),
    'length with a sign': (
        b'POST /fee/1 HTTP/1.1\r\n' + HEAD + b'Content-Length: +1\r\n\r\nx'
    ),
    'chunk size that is no number': (
        b'POST /fee/1 HTTP/1.1\r\n'
        + HEAD
        + b'Transfer-Encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n'
    ),
    'other coding': (
        b'POST /fee/1 HTTP/1.1\r\n'
        + HEAD
        + b'Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n'
    ),
    'space before the colon': (
        b'POST /fee/1 HTTP/1.1\r\n' + HEAD + b'Content-Length : 1\r\n\r\nx'
    ),
    'no host': b'POST /fee/1 HTTP/1.1\r\nRequest-Id: one\r\n\r\n',
    'no protocol': b'nonsense\r\n\r\n',
    'NUL in a header': b'POST /fee/1 HTTP/1.1\r\n' + HEAD + b'A: \0\r\n\r\n',
    'endless header': (
        b'POST /fee/1 HTTP/1.1\r\n'
        + HEAD
        + b'A: '
        + b'x' * 40_000
        + b'\r\n\r\n'
    ),
}


@pytest.fixture
async def site():
    """Provide a node with an upstream."""
    created = platform_site.Site()
    await created.start()
    await created.add()
    yield created
    await created.close()


async def _exchange(site, sent):
    """Send bytes and return all that comes back within a moment."""
    address = settings.parse_address(site.settings[0].adapter.callers)
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(sent)
    received = b''
    try:
        async with asyncio.timeout(0.5):
            while chunk := await reader.read(65_536):
                received += chunk
    except (TimeoutError, ConnectionError):
        pass
    writer.close()
    return received


@pytest.mark.parametrize('name', REFUSED)
async def test_improper_request_is_refused_and_runs_nothing(site, name):
    """Nothing hidden in it reaches the upstream; others are served."""
    received = await _exchange(site, REFUSED[name])
    assert not received or received.split(b' ', 2)[1].startswith(b'4')
    assert not site.upstreams[0].runs
    status, _, _ = await site.ask(request_id='proper')
    assert status == 200


async def test_pipelined_requests_are_answered_in_their_order(site):
    """Each gets its own answer, once."""
    requests = b''.join(
        b'POST /fee/1 HTTP/1.1\r\n'
        + HEAD.replace(b'one', name)
        + b'Content-Length: 1\r\n\r\nx'
        for name in (b'first', b'second')
    )
    received = await _exchange(site, requests)
    assert received.count(b'HTTP/1.1 200') == 2
    assert 0 < received.index(b'first') < received.index(b'second')
    assert site.upstreams[0].runs == {'first': 1, 'second': 1}


async def test_request_that_ends_early_runs_nothing(site):
    """The caller has closed before its body was whole."""
    address = settings.parse_address(site.settings[0].adapter.callers)
    _, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(
        b'POST /fee/1 HTTP/1.1\r\n' + HEAD + b'Content-Length: 9\r\n\r\nx'
    )
    await writer.drain()
    writer.close()
    await writer.wait_closed()
    status, _, _ = await site.ask(request_id='proper')
    assert status == 200
    assert site.upstreams[0].runs == {'proper': 1}
