"""Tests of the work and the memory that one caller can cause."""

from __future__ import annotations

import asyncio

import pytest

from jasminebeam.callers import connections
from jasminebeam.model import routes

SENT_BYTES = 4 * 1024 * 1024
HEAD = b'POST /fee/ HTTP/1.1\r\nHost: h\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
SMALL = b'POST /fee/ HTTP/1.1\r\nHost: h\r\n\r\n'


class _Transport(asyncio.Transport):
    closed = False
    paused = False

    def close(self):
        self.closed = True

    abort = close

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def write(self, data):
        """Drop data."""


class _Processor:
    """Answers no request; records what is reported."""

    limits = routes.CallerLimits(header_bytes=16_384, body_bytes=65_536)
    stopping = False

    def __init__(self):
        self.responding = 0
        self.reports = []
        self.allowed = asyncio.Event()

    def now_ms(self):
        return 0.0

    def is_idempotent(self, message):
        return False

    async def respond(self, request, arrived_ms):
        self.responding += 1
        await self.allowed.wait()

    def on_oversized(self, received_bytes):
        self.reports.append(received_bytes)

    def on_error(self, status, error):
        self.reports.append(status)

    def on_unread(self, unread_bytes):
        """Ignore it."""


@pytest.fixture
def processor():
    """Provide a processor of requests."""
    return _Processor()


@pytest.fixture
async def connection(processor):
    """Provide a connection whose bytes the test feeds."""
    created = connections.LimitedServer(processor)()
    created.connection_made(_Transport())
    yield created
    created.connection_lost(None)


async def _feed(connection, beginning, repeated, block_bytes):
    """Feed a request without end; return the bytes taken of it."""
    transport = connection.transport
    data = beginning + repeated * (SENT_BYTES // len(repeated))
    for start in range(0, len(data), block_bytes):
        if transport.closed or transport.paused:
            return start
        connection.data_received(data[start : start + block_bytes])
        await asyncio.sleep(0)
        await _take_turns(connection)
    return len(data)


async def _take_turns(connection):
    """Let a connection parse all that it holds back for other connections."""
    for _ in range(SENT_BYTES // connections.TURN_BYTES):
        if not connection._waits_for_turn:
            return
        await asyncio.sleep(0)


@pytest.mark.parametrize('block_bytes', [100, 4_096, 256 * 1024])
@pytest.mark.parametrize(
    ('beginning', 'repeated'),
    [
        (HEAD, b'X-More: more\r\n'),
        (HEAD + b'X-More: ', b'm'),
        (b'GET /', b'm'),
        (b'', b'\x00\xff'),
        (CHUNKED + b'0\r\n', b'X-More: more\r\n'),
    ],
)
async def test_each_block_after_a_malformed_request_was_kept(
    connection, processor, beginning, repeated, block_bytes
):
    """One error is enough; what follows it must not be parsed.

    Errors refer to the data in which they were found.
    """
    taken = await _feed(connection, SMALL + beginning, repeated, block_bytes)
    # Lines of a header, then what is dropped.
    assert taken <= 256 * 1024 + 2 * block_bytes
    assert len(connection._messages) <= 2
    assert connection.transport is None or connection.transport.paused


@pytest.mark.parametrize('block_bytes', [100, 4_096, 256 * 1024])
async def test_block_of_requests_exceeded_the_number_that_may_wait(
    connection, processor, block_bytes
):
    """The number of waiting requests is limited within a block, too."""
    await _feed(connection, b'', SMALL, block_bytes)
    for _ in range(10):
        await asyncio.sleep(0)
    assert processor.responding == 1
    assert len(connection._messages) <= 33


async def test_requests_of_one_block_are_answered_in_parts(
    connection, processor
):
    """What was held back is parsed when there is room again."""
    connection.data_received(SMALL * 200)
    assert len(connection._messages) <= 33
    processor.allowed.set()
    for _ in range(5_000):
        await asyncio.sleep(0)
        if processor.responding == 200:
            break
    assert processor.responding == 200


@pytest.mark.parametrize('block_bytes', [1_024, 256 * 1024])
@pytest.mark.parametrize(
    ('beginning', 'repeated'),
    [
        (CHUNKED, b'1\r\nm\r\n'),
        (CHUNKED + b'4;', b'm'),
        (b'', b'\r\n\r\n'),
    ],
)
async def test_framing_without_end_was_read_up_to_the_limit_of_the_body(
    connection, processor, beginning, repeated, block_bytes
):
    """A caller gets no further with framing than with a header."""
    await _feed(connection, beginning, repeated, block_bytes)
    assert connection.transport is None
    (received_bytes,) = processor.reports
    assert received_bytes <= 96 * 1024


async def test_lost_connection_kept_the_body_that_nobody_read(processor):
    """Unread data must not wait for the collector of reference cycles."""
    tested = connections.LimitedServer(processor)()
    tested.connection_made(_Transport())
    tested.data_received(CHUNKED + b'4\r\nmore\r\n' * 5_000)
    body = tested._last_payload
    assert body._buffer or tested._unparsed
    tested.connection_lost(None)
    assert not body._buffer
    assert not body._http_chunk_splits
    assert not tested._unparsed
