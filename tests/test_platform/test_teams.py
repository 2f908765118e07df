"""Tests of the keys of teams, from the store to the upstream."""

from __future__ import annotations

import asyncio
import json

import pytest

from jasminebeam import inputs
from jasminebeam.peering import codec
from jasminebeam.peering import messages
from jasminebeam.peering import sockets
from jasminebeam.telemetry import events
from tests import platform_cluster

RED = {'Authorization': 'bearer red-secret'}
FORGED = {'Tenant-Id': 'forged', 'tenant-id': 'forged'}


def document(version, tenants=(('red', 'red-secret'), ('blue', 'blue-key'))):
    """Return a configuration with teams, a protected and a public route."""
    found = json.loads(platform_cluster.configuration(version))
    rules = found['listeners'][0]['rules']
    public = {'name': 'p', 'match': {'prefix': '/open/'}, 'public': True}
    rules.append(rules[0] | public)
    found['tenants'] = [
        {'name': name, 'apiKeys': keys, 'priority': 2}
        for name, *keys in tenants
    ]
    return found


async def put(cluster, found):
    """Write a configuration and wait until the first node has it."""
    version = int(found['version'], 16)
    await cluster.store.put('op/config', json.dumps(found).encode())
    await cluster.wait_until(
        lambda: cluster.nodes[0].route_sets.revision == version
    )


@pytest.fixture
async def cluster():
    """Provide a cluster of one node whose configuration has teams."""
    created = platform_cluster.Cluster()
    await created.start()
    await created.add_host()
    await put(created, document(2))
    yield created
    await created.close()


async def test_request_without_a_known_key_was_served(cluster):
    """No key and an unknown key get 401, before anything runs."""
    for headers in ({}, {'Authorization': 'Bearer x'}, FORGED):
        status, received, _ = await cluster.send_request(**headers)
        assert status == 401
        assert received['WWW-Authenticate'] == 'Bearer'
    assert not cluster.upstreams[0].runs
    status, _, _ = await cluster.send_request(path='/none/1')
    assert status == 404


async def test_upstream_did_not_learn_the_team(cluster):
    """The upstream gets the team's name in place of key and forged name."""
    recorded = []
    handle = cluster.nodes[0].sidecar.handle

    def recording_handle(message, send):
        recorded.append(message)
        handle(message, send)

    cluster.nodes[0].sidecar.handle = recording_handle
    status, _, _ = await cluster.send_request(**RED, **FORGED)
    assert status == 200
    received = cluster.upstreams[0].last_headers
    assert received.getall('Tenant-Id') == ['red']
    assert 'Authorization' not in received
    (request,) = (
        message
        for message in recorded
        if isinstance(message, messages.TeamRequest)
    )
    assert request.team == 'red'
    for message in recorded:
        assert b'secret' not in codec.encode(message)


async def test_public_route_required_or_forwarded_a_key(cluster):
    """On a public route any key is dropped, and a known one tells the team."""
    for headers, teams in (
        (RED, ['red']),
        ({'Authorization': 'Bearer x'} | FORGED, []),
        (FORGED, []),
    ):
        status, _, _ = await cluster.send_request(path='/open/1', **headers)
        assert status == 200
        received = cluster.upstreams[0].last_headers
        assert received.getall('Tenant-Id', []) == teams
        assert 'Authorization' not in received


async def test_headers_were_changed_without_teams(cluster):
    """Without teams both headers pass as the caller has sent them."""
    await put(cluster, json.loads(platform_cluster.configuration(3)))
    status, _, _ = await cluster.send_request(**RED, **{'Tenant-Id': 'own'})
    assert status == 200
    received = cluster.upstreams[0].last_headers
    assert received['Authorization'] == RED['Authorization']
    assert received['Tenant-Id'] == 'own'


async def test_withdrawn_key_stayed_valid_on_an_open_connection(cluster):
    """The revision that drops or moves a key counts for the next request."""
    status, _, _ = await cluster.send_request(**RED)
    assert status == 200
    await put(cluster, document(3, [('red', 'k'), ('blue', 'red-secret')]))
    status, _, _ = await cluster.send_request(**RED)
    assert status == 200
    assert cluster.upstreams[0].last_headers['Tenant-Id'] == 'blue'
    await put(cluster, document(4, [('red', 'k')]))
    status, _, _ = await cluster.send_request(**RED)
    assert status == 401


async def _open(cluster, head):
    """Send the head of a request with a body of one byte."""
    address = inputs.parse_address(cluster.settings[0].adapter.callers)
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(head)
    return reader, writer


def _head(path='/fee/1', key='red-secret'):
    return (
        f'POST {path} HTTP/1.1\r\nHost: {platform_cluster.HOST}\r\n'
        f'Request-Id: {path}\r\nDeadline-Ms: 9000\r\n'
        f'Authorization: Bearer {key}\r\nContent-Length: 1\r\n\r\n'
    ).encode()


async def test_key_withdrawn_while_the_body_arrived_was_accepted(cluster):
    """A request is judged by the revision in force when it is complete."""
    reader, writer = await _open(cluster, _head())
    await cluster.wait_until(lambda: cluster.nodes[0]._callers._in_progress)
    await put(cluster, document(3, [('blue', 'blue-key')]))
    writer.write(b'x')
    assert (await reader.readline()).startswith(b'HTTP/1.1 401')
    writer.close()
    assert not cluster.upstreams[0].runs


async def test_pipelined_request_kept_its_withdrawn_key(cluster):
    """A request that waits behind another is judged when its turn comes."""
    upstream = cluster.upstreams[0]
    upstream.held['/fee/1'] = asyncio.Event()
    reader, writer = await _open(
        cluster, _head() + b'x' + _head('/fee/2') + b'x'
    )
    await cluster.wait_until(lambda: upstream.started)
    await put(cluster, document(3, [('blue', 'blue-key')]))
    upstream.held['/fee/1'].set()
    received = await reader.readuntil(b' 401 ')
    assert received.startswith(b'HTTP/1.1 200')
    writer.close()
    assert upstream.runs == {'/fee/1': 1}


async def test_key_appeared_in_logs_or_metrics(cluster):
    """Neither refused, malformed nor served requests show their key."""
    node = cluster.nodes[0]
    records = asyncio.Queue()
    with node.log.subscribe(records):
        await cluster.send_request(**RED)
        await cluster.send_request(Authorization='Bearer un-secret')
        malformed = _head(key='red-secret\0')
        for sent in (malformed, malformed[:-30] + b'red-secret' * 9_000):
            reader, writer = await _open(cluster, sent)
            await reader.read()
            writer.close()
    written = []
    while not records.empty():
        written.append(records.get_nowait())
    (ended,) = (
        record
        for record in written
        if record.kind is events.Event.REQUEST_ENDED.value
    )
    assert ended.fields['team'] == 'red'
    kinds = [record.kind for record in written]
    assert events.Event.KEY_REFUSED.value in kinds
    assert kinds.count(events.Event.REQUEST_MALFORMED.value) == 2
    assert 'secret' not in repr(written)
    rendered = node.metrics.render().decode()
    assert 'keys_refused_total{reason="unknown_key"} 1.0' in rendered
    assert 'secret' not in rendered


async def test_node_without_configuration_answered_401():
    """A node that knows no configuration refuses as not run, with 503."""
    created = platform_cluster.Cluster()
    await created.start(configured=False)
    await created.add_host(announced=False, ready=False)
    for headers in ({}, RED):
        status, received, _ = await created.send_request(**headers)
        assert status == 503
        assert float(received['Retry-After']) > 0
    await created.close()


@pytest.mark.parametrize(
    ('changes', 'cause'),
    [
        ({'tenants': [('red', 'k'), ('blue', 'k')]}, 'shares a key'),
        ({'rule': {'match': {'prefix': '/open/'}}}, 'same host and path'),
        ({'tenants': [('red', '')]}, 'apiKeys'),
        ({'tenants': [('', 'k')]}, 'tenants'),
    ],
)
async def test_ambiguous_configuration_was_applied_in_part(
    cluster, changes, cause
):
    """It is refused as a whole with the reason; the one in force stays."""
    found = document(3, changes.get('tenants', ()))
    found['listeners'][0]['rules'][0] |= changes.get('rule', {})
    node = cluster.nodes[0]
    records = asyncio.Queue()
    with node.log.subscribe(records):
        await cluster.store.put('op/config', json.dumps(found).encode())
        async with asyncio.timeout(5.0):
            record = await records.get()
            while record.kind is not events.Event.CONFIG_REFUSED.value:
                record = await records.get()
    assert cause in record.fields['cause']
    assert node.route_sets.revision == 2
    status, _, _ = await cluster.send_request(**RED)
    assert status == 200


async def test_configuration_of_many_teams_exceeded_a_frame(cluster):
    """All keys of 83 teams work as soon as their revision is in force."""
    teams = [(f't{number}', f'key-{number}') for number in range(83)]
    await put(cluster, document(3, teams))
    node = cluster.nodes[0]
    frame = codec.encode(messages.RoutesReply(node.route_sets.current))
    assert len(frame) < sockets.MAX_FRAME_BYTES
    for name, key in teams:
        status, _, _ = await cluster.send_request(
            Authorization=f'Bearer {key}'
        )
        assert status == 200
        assert cluster.upstreams[0].last_headers['Tenant-Id'] == name


async def test_burst_of_configurations_mixed_up_the_keys(cluster):
    """In a burst of versions in which all keys move, none counts for two.

    Requests that run beside the burst are refused or served for the team
    that a version of the burst gives the key to.
    """
    count = 83

    def moved(version):
        return [
            (f't{number}', f'key-{(number + version) % count}')
            for number in range(count)
        ]

    owners = {
        name
        for version in range(3, 13)
        for name, key in moved(version)
        if key == 'key-40'
    }
    last = 12
    burst = asyncio.create_task(_put_all(cluster, range(3, last + 1), moved))
    seen = []
    while not burst.done():
        status, _, _ = await cluster.send_request(
            Authorization='Bearer key-40'
        )
        assert status in (200, 401)
        if status == 200:
            headers = cluster.upstreams[0].last_headers
            seen += headers.getall('Tenant-Id')
    await burst
    assert set(seen) <= owners
    for name, key in moved(last):
        status, _, _ = await cluster.send_request(
            Authorization=f'Bearer {key}'
        )
        assert status == 200
        assert cluster.upstreams[0].last_headers['Tenant-Id'] == name


async def _put_all(cluster, versions, teams):
    for version in versions:
        found = json.dumps(document(version, teams(version))).encode()
        await cluster.store.put('op/config', found)
        await asyncio.sleep(0.02)
    await cluster.wait_until(
        lambda: cluster.nodes[0].route_sets.revision == versions[-1]
    )


async def test_requests_of_a_team_were_not_counted(cluster):
    """The metrics count the requests of each team by outcome."""
    await cluster.send_request(**RED)
    rendered = cluster.nodes[0].metrics.render().decode()
    assert 'team_requests_total{outcome="answered",team="red"} 1.0' in rendered


async def test_team_was_lost_on_the_way_to_another_host(cluster):
    """A request that runs on another host takes its team there.

    The host receives neither the key nor a request without the team.
    """
    await cluster.add_host(announced=False, zone='b', service='seats')
    ingress = cluster.nodes[1]
    await cluster.wait_until(
        lambda: (
            ingress.route_sets.revision == 2
            and ingress.routes.members_of('fees')
        )
    )
    recorded = []
    sidecar = cluster.nodes[0].sidecar
    for message_type in (messages.TeamRequest, messages.Request):
        handler = sidecar._handlers[message_type]

        def record(message, send, handler=handler):
            recorded.append(message)
            handler(message, send)

        sidecar._handlers[message_type] = record
    status, _, _ = await cluster.send_request(index=1, **RED, **FORGED)
    assert status == 200
    received = cluster.upstreams[0].last_headers
    assert received.getall('Tenant-Id') == ['red']
    assert [message.team for message in recorded] == ['red']
    assert b'secret' not in codec.encode(recorded[0])
    status, _, _ = await cluster.send_request(index=1, path='/open/1')
    assert status == 200
    assert type(recorded[-1]) is messages.Request
