"""Tests of malformed answers beside sound ones and in unusual states."""

from __future__ import annotations

import asyncio

import pytest

from tests import raw_answers
from tests import raw_cluster

# Some of them are accepted by a parser that is lenient.
MALFORMED = {
    name: table[name]
    for table, names in (
        (
            raw_answers.MALFORMED_CHUNKS,
            ('blank behind the size', 'control byte in value of a trailer'),
        ),
        (
            raw_answers.MALFORMED_HEADS,
            (
                'status 000',
                'status 999',
                'blank in name',
                'control byte in name',
                'control byte in value',
                'refusal with a blank before a colon',
            ),
        ),
        (
            raw_answers.MALFORMED_FRAMING,
            ('two lengths, the first shorter', 'gzip'),
        ),
    )
    for name in names
}
# Statuses that promise nothing about whether the request ran.
MAY_HAVE_RUN = {502, 504}
# Requests that are in flight at once.
IN_FLIGHT = (
    'status 000',
    'refusal with a blank before a colon',
    'blank behind the size',
    'control byte in value of a trailer',
)
# One chunk of a large answer, and how many it has.
LARGE_BODY = raw_answers.BODY * 2_500
CHUNKS = 12


@pytest.fixture
async def cluster(kind):
    """Provide a raw upstream and the ingress of another service."""
    created = raw_cluster.Cluster()
    await created.start_raw(kind, timeoutMs=8_000)
    yield created
    for event in created.raw.held.values():
        event.set()
    for stand_in in created.upstreams[1:]:
        for event in stand_in.held.values():
            event.set()
    await created.close()


@pytest.fixture(params=['unsafe', 'safe'])
def kind(request):
    """Return whether the route is idempotent."""
    return request.param


def _large(*ending):
    """Return a large answer in chunks, which ends with other lines."""
    head, _, _ = raw_answers.SOUND.partition(b'Content-Length')
    chunk = b'%x\r\n%b\r\n' % (len(LARGE_BODY), LARGE_BODY)
    return b''.join(
        (
            head,
            b'Transfer-Encoding: chunked\r\n\r\n',
            CHUNKS * chunk,
            b'\r\n'.join((*ending, b'')),
        )
    )


def _is_own(answer, request_id):
    """Return True for a sound answer to the request."""
    identity = f'\r\nRequest-Id: {request_id}\r\n'.encode()
    return (
        raw_cluster.status_of(answer) == 200
        and identity in answer
        and answer.endswith(raw_answers.BODY)
    )


def _is_refused(answer):
    """Return True for an answer that promises nothing and holds nothing."""
    return (
        raw_cluster.status_of(answer) in MAY_HAVE_RUN
        and raw_answers.BODY not in answer
    )


@pytest.mark.parametrize('index', [0, 1])
async def test_pipelined_requests_got_a_part_of_a_malformed_answer(
    cluster, index
):
    """Each gets its own answer, in order; only one of them fails."""
    for name, answer in MALFORMED.items():
        number = f'{name.replace(" ", "-")}-{index}'
        ids = [f'{number}-{turn}' for turn in range(4)]
        cluster.raw.answers = {ids[1].encode(): answer}
        received = await cluster.exchange(
            index,
            b''.join(
                raw_cluster.request(
                    each, 5_000, *(['Connection: close'] * (each == ids[-1]))
                )
                for each in ids
            ),
        )
        first, second, *others = raw_cluster.split(received)
        assert _is_own(first, ids[0]), name
        assert _is_refused(second), name
        assert len(others) == 2
        assert all(map(_is_own, others, ids[2:])), name
        assert {cluster.raw.runs[each.encode()] for each in ids} == {1}


@pytest.mark.parametrize('index', [0, 1])
@pytest.mark.parametrize(
    'ending',
    [
        (b'5 ', b'12345', b'0', b''),
        (b'5', b'123456', b'0', b''),
        (b'0', b'X-A : b', b''),
        (b'0', b'X\x01A: b', b''),
        (b'0', b'HTTP/1.1 200 OK', b''),
    ],
)
async def test_malformed_end_of_a_large_answer_reached_the_caller(
    cluster, index, ending
):
    """Nothing of it does, and its room is free; sound ones are complete."""
    cluster.raw.answers = {
        b'alone': _large(*ending),
        b'malformed': _large(*ending),
        b'sound': _large(b'0', b''),
    }
    assert _is_refused(await cluster.receive(index, 'alone', 8_000))
    for node in cluster.nodes:
        budget = node._sweeper.budget
        await cluster.wait_until(lambda budget=budget: not budget.body_bytes)
    malformed, sound = await asyncio.gather(
        cluster.receive(index, 'malformed', 8_000),
        cluster.receive(index, 'sound', 8_000),
    )
    assert _is_refused(malformed)
    (answer,) = raw_cluster.split(sound)
    assert answer.endswith(b'\r\n\r\n' + CHUNKS * LARGE_BODY)
    assert set(cluster.raw.runs.values()) == {1}


async def _add_sound(cluster):
    """Add a sound upstream; return it once the ingress knows it."""
    await cluster.add_host()
    routes = cluster.nodes[1].routes
    await cluster.wait_until(lambda: len(routes.members_of('fees')) == 2)
    return cluster.upstreams[2]


async def test_retry_passed_on_a_malformed_answer(cluster, kind):
    """An idempotent request gets the sound answer of the other upstream.

    It fails if no retry is left, as any other request does that reached the
    raw upstream.
    """
    sound = await _add_sound(cluster)
    retried = failed = 0
    for number, (name, answer) in enumerate(MALFORMED.items()):
        request_id = f'r-{number}'
        cluster.raw.answers = {request_id.encode(): answer}
        received = await cluster.receive(1, request_id, 5_000)
        runs = cluster.raw.runs[request_id.encode()]
        if received.endswith(b'\r\n\r\nwhole'):
            assert raw_cluster.status_of(received) == 200, name
            assert sound.runs[request_id] == 1, name
            retried += runs
        else:
            assert _is_refused(received), name
            assert runs == 1, name
            assert not sound.runs[request_id], name
            failed += 1
        # A sound answer ends the series, so that no suspension begins.
        await cluster.receive(0, 'sound')
    assert retried if kind == 'safe' else failed and not retried


@pytest.mark.parametrize('kind', ['safe'])
@pytest.mark.parametrize('is_sound_first', [True, False])
async def test_hedge_passed_on_a_malformed_answer(cluster, is_sound_first):
    """The sound answer counts, whether it comes first or last."""
    sound = await _add_sound(cluster)
    cluster.raw.answer = MALFORMED['blank behind the size']
    held = cluster.raw.held[b'hedged'] = asyncio.Event()
    other_held = sound.held['hedged'] = asyncio.Event()
    task = asyncio.create_task(cluster.receive(1, 'hedged', 8_000))
    await cluster.wait_until(
        lambda: cluster.raw.runs[b'hedged'] and 'hedged' in sound.started
    )
    if is_sound_first:
        other_held.set()
        received = await task
        held.set()
    else:
        held.set()
        await asyncio.sleep(0.1)
        assert not task.done()
        other_held.set()
        received = await task
    assert raw_cluster.status_of(received) == 200
    assert received.endswith(b'\r\n\r\nwhole')


@pytest.mark.parametrize('state', ['drained', 'leaving', 'gone'])
async def test_upstream_out_of_service_passed_on_a_malformed_answer(
    cluster, state
):
    """A request in flight fails, and is not told to have not run."""
    in_flight = dict(enumerate(IN_FLIGHT))
    for number, name in in_flight.items():
        key = b'%d' % number
        cluster.raw.held[key] = asyncio.Event()
        cluster.raw.answers[key] = MALFORMED[name]
    tasks = [
        asyncio.create_task(cluster.receive(1, number, 8_000))
        for number in in_flight
    ]
    await cluster.wait_until(
        lambda: all(cluster.raw.runs[each] for each in cluster.raw.held)
    )
    announcements = cluster.settings[0].adapter.announcements
    if state == 'drained':
        await cluster.stand_in.send_heartbeat(announcements, 'draining')
    elif state == 'gone':
        await cluster.stand_in.send_leave_notice(announcements)
    else:
        cluster.raw.answer = raw_answers.SOUND.replace(
            b'Server-Stamp', b'Server-Leaving: 1\r\nServer-Stamp'
        )
        assert _is_own(await cluster.receive(1, 'leaving'), 'leaving')
    async with asyncio.timeout(5):
        while raw_cluster.status_of(await cluster.receive(1, 'new')) != 503:
            await asyncio.sleep(0.05)
    for event in cluster.raw.held.values():
        event.set()
    for name, task in zip(IN_FLIGHT, tasks, strict=True):
        assert _is_refused(await task), name
    assert {cluster.raw.runs[each] for each in cluster.raw.held} == {1}


async def test_statement_of_a_malformed_answer_took_effect(cluster):
    """The upstream stays in service: nobody has passed on that it leaves."""
    cluster.raw.answers = {
        b'malformed': MALFORMED['control byte in value'].replace(
            b'Server-Stamp', b'Server-Leaving: 1\r\nServer-Stamp'
        )
    }
    assert _is_refused(await cluster.receive(1, 'malformed'))
    await asyncio.sleep(0.2)
    for index in (0, 1):
        assert _is_own(await cluster.receive(index, 'next'), 'next')
