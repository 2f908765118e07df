"""Tests with odd values from other writers, at each input of a node."""

from __future__ import annotations

import asyncio
import configparser
import io
import json

import aiohttp
import hypothesis
from hypothesis import strategies
import msgspec
import pytest_asyncio
from returns import result

from jasminebeam.admission import rate_limit
from jasminebeam.admission import slots
from jasminebeam.configuration import routes as route_sets
from jasminebeam import inputs
from jasminebeam.model import upstreams as upstreams_model
from jasminebeam.peering import codec
from jasminebeam.peering import messages
from jasminebeam.platform import configuration
from jasminebeam.platform import settings
from jasminebeam.platform import upstreams
from jasminebeam.sidecar import condition
from jasminebeam.telemetry import events
from jasminebeam.telemetry import metrics
from jasminebeam.upstreams import notices
from tests import platform_cluster
from tests.test_platform import test_fuzz

DEEP = 5_000 * '['
ODD_VALUES = [
    10**30,
    2**63,
    2**64,
    -(2**70),
    -1,
    1e300,
    0,
    '',
    'a b',
    'a\r\nX: y',
    5_000 * '9',
    None,
    [],
    {},
    [[[[]]]],
]
ODD_ADDRESSES = [
    '127.0.0.1:99999',
    '127.0.0.1:-5',
    '127.0.0.1:0',
    f'127.0.0.1:{5_000 * "9"}',
    'a b:80',
    'tcp://x:80',
    ':80',
    'x',
    '',
    '\u0663:\u0663',
]


@pytest_asyncio.fixture
async def cluster():
    """Provide a cluster whose store holds a configuration."""
    created = platform_cluster.Cluster()
    await created.start()
    yield created
    await created.close()


def _record_failures(node):
    """Return a list that receives the failures of background tasks."""
    failures = []
    write = node.log.write

    def record(event, **fields):
        if event is events.Event.TASK_FAILED:
            failures.append(fields)
        write(event, **fields)

    node.log.write = record
    return failures


async def test_odd_heartbeat_failed_in_tasks_of_the_node(cluster):
    """Each heartbeat is taken or refused, and the upstream serves on."""
    node = await cluster.add_host()
    failures = _record_failures(node)
    address = cluster.settings[0].adapter.announcements
    documents = [
        test_fuzz._with_replaced_value(test_fuzz.HEARTBEAT, path, value)
        for path in test_fuzz._paths(test_fuzz.HEARTBEAT)
        for value in (ODD_ADDRESSES if path == ('address',) else ODD_VALUES)
    ]
    bodies = [json.dumps(document) for document in documents]
    bodies += [DEEP, f'{{"info": {DEEP}', '{"born": 1e400}']
    statuses = set()
    async with aiohttp.ClientSession() as session:
        for name in ('i-n0', 'other', 'a%0d%0aX:%20y', 300 * 'n'):
            url = f'http://{address}/v1/instances/{name}'
            for body in bodies:
                async with session.put(url, data=body) as response:
                    statuses.add(response.status)
            async with session.delete(url, data=DEEP) as response:
                assert response.status == 400
            async with session.delete(url, data='{"born":-1}') as response:
                assert response.status == 400
    assert statuses <= {200, 400}
    upstream = cluster.upstreams[0]
    assert await upstream.send_heartbeat(address, born=10**14) == 200
    await node.check_upstream()
    assert (await cluster.send_request())[0] == 200
    assert not failures


async def test_odd_seeds_ended_the_watch_and_the_registration(cluster):
    """Other writers' entries are ignored, and logged once."""
    for index, value in enumerate(ODD_ADDRESSES):
        key = f'jasminebeam/seeds/odd{index}'
        await cluster.store.put(key, value.encode())
    await cluster.store.put('jasminebeam/seeds/a/n/1', b'\xff\xfe')
    node = await cluster.add_host()
    failures = _record_failures(node)
    second = await cluster.add_host()
    failures_of_second = _record_failures(second)
    await cluster.wait_until(
        lambda: node.membership.size == second.membership.size == 2
    )
    await cluster.store.put(
        'op/config', platform_cluster.configuration(version=2)
    )
    await cluster.wait_until(
        lambda: {node.route_sets.revision, second.route_sets.revision} == {2}
    )
    refused = node.metrics.events.labels('508')._value.get()
    assert refused == len(ODD_ADDRESSES) + 1
    assert not failures + failures_of_second


async def test_peer_with_an_odd_address_failed_in_tasks(cluster):
    """A member record may hold any text in place of an address."""
    node = await cluster.add_host()
    failures = _record_failures(node)
    for index, address in enumerate(ODD_ADDRESSES):
        member = upstreams_model.Member(
            f'odd{index}',
            address,
            'a',
            'r',
            1,
            1,
            phase=upstreams_model.Phase.READY,
            service='fees',
            slots=9,
        )
        heartbeat = messages.Heartbeat(1, f'odd{index}', 0, 0, (member,))
        node.membership.receive(heartbeat, lambda message: 0)
    await asyncio.sleep(1.5)
    assert {
        (await cluster.send_request(request_id=f'r{index}'))[0]
        for index in range(10)
    } == {200}
    assert not failures


@hypothesis.settings(max_examples=300)
@hypothesis.given(
    strategies.sampled_from(list(test_fuzz._paths(test_fuzz.CONFIGURATION))),
    strategies.sampled_from(ODD_VALUES),
)
def test_configuration_with_odd_numbers_reached_the_inner_protocol(
    path, value
):
    """A valid set can be sent to peers; any other is refused."""
    document = test_fuzz._with_replaced_value(
        test_fuzz.CONFIGURATION, path, None
    )
    text = json.dumps(document).replace('null', json.dumps(value), 1)
    decoded = configuration.Decoder({}).decode(text.encode())
    if isinstance(decoded, result.Success):
        route_set = decoded.unwrap()
        assert isinstance(route_sets.check(route_set), str)
        frame = codec.encode(messages.RoutesReply(route_set))
        assert codec.decode(frame).unwrap().route_set == route_set


def test_deeply_nested_input_raised_an_unexpected_error():
    """Too many brackets are malformed input like any other."""
    brackets = 100_000 * b'['
    decoder = configuration.Decoder({})
    assert isinstance(decoder.decode(brackets), result.Failure)
    nested = b'{"version":"1","x":' + brackets
    assert isinstance(decoder.decode(nested), result.Failure)
    frame = codec.encode(messages.Ping(1))[:1] + 100_000 * b'\x91'
    assert isinstance(codec.decode(frame), result.Failure)


ODD_NUMBERS = strategies.one_of(
    strategies.sampled_from([25 * '9', 5_000 * '9', '-1', '1e9', '\u0663']),
    strategies.integers(-(10**40), 10**40).map(str),
)


@hypothesis.given(strategies.lists(ODD_NUMBERS, min_size=3, max_size=4))
def test_odd_load_reached_the_inner_protocol(numbers):
    """A report holds only numbers that a sample can carry."""
    report = upstreams.parse_load(','.join(numbers))
    if report is not None:
        sample = upstreams_model.LoadSample(
            1,
            0,
            0,
            report.slots,
            0,
            0,
            report.running + report.waiting,
            upstreams_model.Phase.READY,
            int(100 * (report.slowness or 1)),
        )
        codec.encode(messages.ProbeReply(1, sample))


@hypothesis.given(
    strategies.one_of(
        ODD_NUMBERS,
        strategies.integers(0, 61).map(lambda zeros: f'.{zeros * "0"}1'),
        strategies.just(64 * '9'),
    )
)
def test_odd_rate_limit_reached_the_inner_protocol(text):
    """The wait that a limit causes fits into a message."""
    log = events.EventLog('n', metrics.Metrics())
    slot_queue = slots.SlotQueue(9, 4.0, 1.0)
    tested = condition.UpstreamCondition(
        slot_queue, rate_limit.DEFAULT_OPTIONS, log, metrics.Metrics()
    )
    tested.on_notice(
        upstreams_model.NoticeSource.ANSWER, notices.parse([text], ''), 0.0
    )
    notice = tested.statement(upstreams_model.Announcement('s', 1), 1.0)
    if notice is not None:
        codec.encode(notice)


def test_settings_with_odd_values_are_refused_or_read():
    """No value of a settings file raises an error."""
    cluster = platform_cluster.Cluster()
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(cluster.settings_text('n'))
    values = [*map(str, ODD_VALUES[:9]), *ODD_ADDRESSES, DEEP]
    for section in parser.sections():
        for key, before in parser[section].items():
            for value in values:
                parser[section][key] = value.replace('\r\n', '')
                text = io.StringIO()
                parser.write(text)
                parsed = settings.parse(text.getvalue())
                assert isinstance(parsed, result.Result)
            parser[section][key] = before


async def test_odd_time_left_of_a_caller_failed_in_the_node(cluster):
    """A caller's time left may be any text."""
    node = await cluster.add_host()
    failures = _record_failures(node)
    for index, text in enumerate(
        [25 * '9', 5_000 * '9', '-1', '1e9', '0', 'x', '1_0']
    ):
        status, _, _ = await cluster.send_request(
            request_id=f'r{index}', time_left_ms=text
        )
        assert status in (200, 400, 503, 504)
    assert (await cluster.send_request(request_id='last'))[0] == 200
    assert not failures


def test_bounds_fit_into_the_inner_protocol():
    """Sums, and conversions to microseconds, stay within 64 bits."""
    for bound in (
        4 * inputs.MAX_COUNT,
        1_000 * inputs.MAX_DURATION_MS,
        1_000 * inputs.MAX_WALL_MS,
        inputs.MAX_SEQUENCE,
    ):
        msgspec.msgpack.encode(bound)
        assert bound < 2**63


async def test_odd_load_of_an_upstream_is_logged_once(cluster):
    """Answers with a malformed report still reach their callers."""
    node = await cluster.add_host()
    cluster.upstreams[0].slowness_percent = 25 * '9'
    statuses = {
        (await cluster.send_request(request_id=f'r{index}'))[0]
        for index in range(5)
    }
    assert statuses == {200}
    assert node.metrics.events.labels('210')._value.get() == 1
