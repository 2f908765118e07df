"""Tests of what abusive callers can cost the processes of two hosts.

Each test starts nodes as processes with lowered limits. They check only that
the processes live, their peak of memory and their descriptors stay below the
bounds, and an ordinary request is answered. The bound of the memory is 0.75
of that of the host in the settings.
"""

from __future__ import annotations

import hashlib

import pytest

from tests import bounded_hosts

BODY_BYTES = 4_000_000
MEMORY_MB = 120
CALLERS = 40
PART_BYTES = 65_536
ANSWER_BYTES = 1_000_000
DESCRIPTORS = 256

# Limits of the operators, and the memory of their hosts.
LARGEST_BODY_BYTES = 67_108_864
LARGEST_MEMORY_MB = 200


@pytest.fixture
async def hosts(tmp_path):
    """Provide an ingress and the sidecar of another host."""
    created = bounded_hosts.Hosts(tmp_path, BODY_BYTES, MEMORY_MB)
    await created.start('idle', 'fees')
    yield created
    await created.close()


@pytest.fixture
async def cramped_host(tmp_path):
    """Provide a host with few descriptors."""
    created = bounded_hosts.Hosts(tmp_path, BODY_BYTES, MEMORY_MB, DESCRIPTORS)
    await created.start('fees')
    yield created
    await created.close()


def _parts(head, body_bytes, part_bytes=PART_BYTES):
    """Yield a request whose header states its length."""
    yield head
    for start in range(0, body_bytes, part_bytes):
        yield b'x' * min(part_bytes, body_bytes - start)


def _declared(hosts, sent_bytes, declared_bytes):
    return _parts(hosts.head(f'Content-Length: {declared_bytes}'), sent_bytes)


def _chunked(hosts, sent_bytes, chunk_bytes):
    """Yield a chunked request without its last chunk."""
    yield hosts.head('Transfer-Encoding: chunked')
    chunk = b'%x\r\n%s\r\n' % (chunk_bytes, b'x' * chunk_bytes)
    # Many small chunks travel in one part.
    chunks = max(1, PART_BYTES // chunk_bytes)
    for _ in range(0, sent_bytes, chunks * chunk_bytes):
        yield chunk * chunks


def _one_byte_short(hosts):
    return _declared(hosts, BODY_BYTES - 1, BODY_BYTES)


def _declared_beyond_limit(hosts):
    return _declared(hosts, 10 * BODY_BYTES, 100 * BODY_BYTES)


def _sent_beyond_limit(hosts):
    return _chunked(hosts, 10 * BODY_BYTES, PART_BYTES)


def _chunks_of(chunk_bytes):
    sent_bytes = BODY_BYTES - PART_BYTES
    return lambda hosts: _chunked(hosts, sent_bytes, chunk_bytes)


KINDS = {
    'one-byte-short': _one_byte_short,
    'chunks-of-64-KiB': _chunks_of(65_536),
    'chunks-of-16-bytes': _chunks_of(16),
    'chunks-of-1-byte': _chunks_of(1),
    'declared-beyond-limit': _declared_beyond_limit,
    'sent-beyond-limit': _sent_beyond_limit,
}


@pytest.mark.parametrize('name', KINDS)
async def test_unfinished_bodies_ended_the_process(hosts, name):
    """Bodies of many callers exceeded the memory together."""
    hosts.open_callers(*(KINDS[name](hosts) for _ in range(CALLERS)))
    await hosts.check()


async def test_mixed_bodies_ended_the_process(hosts):
    """Bodies of all kinds exceeded the memory together."""
    kinds = list(KINDS.values())
    hosts.open_callers(
        *(kinds[number % len(kinds)](hosts) for number in range(2 * CALLERS))
    )
    await hosts.check()


@pytest.mark.parametrize('body_bytes', [200_000, 1_500_000, BODY_BYTES])
async def test_whole_bodies_ended_the_sidecar(hosts, body_bytes):
    """Whole bodies that wait for a slow upstream exceeded the memory."""
    hosts.upstreams[1].service_time_s = 1.0
    hosts.open_callers(
        *(_declared(hosts, body_bytes, body_bytes) for _ in range(CALLERS))
    )
    await hosts.check()


async def test_slow_readers_ended_the_process(hosts):
    """Answers that nobody reads exceeded the memory together."""
    hosts.upstreams[1].body = bytes(ANSWER_BYTES)
    hosts.open_callers(
        *(
            [hosts.head('Content-Length: 0') for _ in range(8)]
            for _ in range(CALLERS)
        )
    )
    await hosts.check()


@pytest.mark.parametrize('kind', ['idle', 'half-a-header', 'half-a-body'])
async def test_open_connections_used_all_descriptors(cramped_host, kind):
    """Connections without a request kept ordinary callers out."""
    head = cramped_host.head('Content-Length: 9')
    content = {
        'idle': [],
        'half-a-header': [head[:-20]],
        'half-a-body': [head, b'half'],
    }[kind]
    cramped_host.open_callers(*(content for _ in range(2 * DESCRIPTORS)))
    await cramped_host.check()


@pytest.mark.parametrize('chunked', [False, True])
@pytest.mark.parametrize('services', [('fees',), ('idle', 'fees')])
@pytest.mark.parametrize(
    ('body_bytes', 'memory_mb'),
    [(BODY_BYTES, MEMORY_MB), (LARGEST_BODY_BYTES, LARGEST_MEMORY_MB)],
)
async def test_single_body_within_the_limit_was_not_served(
    tmp_path, services, body_bytes, memory_mb, chunked
):
    """The largest body is served, by a local and by a remote upstream."""
    hosts = bounded_hosts.Hosts(tmp_path, body_bytes, memory_mb)
    await hosts.start(*services)
    body = bytes(range(256)) * (body_bytes // 256)
    try:
        status, request_id = await hosts.request(body, 60.0, chunked)
        measured = hosts.measure()
        print(measured, status)
        assert status == 200
        digests = hosts.upstreams[-1].digests
        assert digests[request_id] == hashlib.sha256(body).hexdigest()
        peak = max(peak for _, peak, _ in measured)
        assert peak < hosts.memory_limit_bytes
    finally:
        await hosts.close()
