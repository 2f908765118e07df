"""Tests that routes of a later version are served as well as the first."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import json
import time

import aiohttp
import msgspec
import pytest
import pytest_asyncio

from jasminebeam.membership import effects
from jasminebeam import node
from jasminebeam.peering import messages
from jasminebeam.platform import adapter
from jasminebeam.telemetry import events
from tests import platform_cluster

# Platform's bound on the time from the acknowledgement of a version until it
# is in force.
CONFIG_APPLY_S = 2.0
# Platform's bound on how often routes that were added are served, as a share
# of how often the first ones are.
MIN_SERVED_RATIO = 0.25

FIRST_HOST = platform_cluster.HOST
ADDED_HOST = 'added.example'
ADDED_PATH = '/wu511/'


def document(version, routes, services=('fees', 'seats')):
    """Return a configuration with routes of (host, path, service, kind)."""
    found = json.loads(platform_cluster.configuration(version))
    rule = found['listeners'][0]['rules'][0]
    found['listeners'] = [
        {
            'host': host,
            'rules': [
                rule
                | {
                    'name': f'r{number}',
                    'kind': kind,
                    'match': {'prefix': path},
                    'action': rule['action'] | {'service': service},
                }
            ],
        }
        for number, (host, path, service, kind) in enumerate(routes)
    ]
    found['clusters'] = [
        {'name': name, 'healthPath': '/health', 'maxConnections': 99}
        for name in services
    ]
    return json.dumps(found).encode()


FIRST = (FIRST_HOST, '/fee/', 'fees', 'unsafe')
ADDED = (FIRST_HOST, ADDED_PATH, 'seats', 'unsafe')


class Site:
    """Six hosts in two failure domains; each service runs in one of them."""

    def __init__(self):
        self.cluster = platform_cluster.Cluster()
        self._ids = itertools.count()

    async def start(self):
        """Start the hosts with a first version that has one route."""
        await self.cluster.start()
        await self.put(1, [FIRST])
        hosts = [('a', 'fees')] * 3 + [('b', 'seats')] * 3
        for zone, service in hosts:
            await self.cluster.add_host(zone=zone, service=service)
        for stand_in in self.cluster.upstreams:
            stand_in.received = {}
        await self.cluster.wait_until(
            lambda: all(
                len(created.routes.members_of(service)) == 3
                for created in self.cluster.nodes
                for service in ('fees', 'seats')
            )
        )

    async def put(self, version, routes):
        """Write a version; the bounds count from the end of this call."""
        await self.cluster.store.put('op/config', document(version, routes))

    async def put_in_force(self, version, routes):
        """Write a version and return after how long all nodes have it."""
        await self.put(version, routes)
        started_s = time.monotonic()
        await self.cluster.wait_until(
            lambda: all(
                created.route_sets.revision == version
                for created in self.cluster.nodes
            )
        )
        return time.monotonic() - started_s

    def upstreams(self, service):
        """Return the upstreams of a service."""
        return [
            stand_in
            for stand_in in self.cluster.upstreams
            if stand_in.service == service
        ]

    def services_that_ran(self, request_id):
        """Return the service of each run of a request."""
        return [
            stand_in.service
            for stand_in in self.cluster.upstreams
            for _ in range(stand_in.runs[request_id])
        ]

    async def send(self, index, target, host=FIRST_HOST, **options):
        """Send a request over a connection of its own.

        Returns
        -------
        tuple of str and int
            Identifier of the request, and status of its answer.
        """
        request_id = f'q{next(self._ids)}'
        address = self.cluster.settings[index].adapter.callers
        headers = {
            'Host': host,
            'Request-Id': request_id,
            'Deadline-Ms': str(options.pop('time_left_ms', 1_000)),
        }
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            async with session.request(
                options.pop('method', 'POST'),
                f'http://{address}{target}',
                headers=headers,
                **options,
            ) as response:
                await response.read()
                return request_id, response.status

    async def send_to_all(self, target, **options):
        """Send a request to each node at once; return the answers."""
        return await asyncio.gather(
            *(
                self.send(index, target, **options)
                for index in range(len(self.cluster.nodes))
            )
        )

    async def close(self):
        """Stop all hosts."""
        await self.cluster.close()


@pytest_asyncio.fixture
async def site():
    """Provide a site whose first version has one route."""
    created = Site()
    await created.start()
    yield created
    await created.close()


def _parts(body):
    return body if isinstance(body, tuple) else (body,)


def _data(body):
    return _chunks(body) if isinstance(body, tuple) else body


async def _chunks(parts):
    for part in parts:
        yield part


# Target below the prefix, and body in one part or in chunks.
REQUESTS = (
    ('d1', b'x'),
    ('d1?a=1&b=x-y', b'x'),
    ('c9f?p=/a/b&n=2', b'x'),
    ('2f', b''),
    ('c9f?p=/a/b&n=2', (b'ab', b'c')),
    ('d1', 5 * (9_000 * b'a',)),
)


@pytest.mark.parametrize('kind', ['unsafe', 'safe'])
async def test_added_routes_were_not_served_at_every_node(site, kind):
    """The first requests at each node run at upstreams on other hosts.

    No node has called this service before, so all caches and connections
    are cold. The upstream gets target and body unchanged.
    """
    prefixes = [f'/wu51{number}/' for number in range(len(REQUESTS))]
    added = [(FIRST_HOST, prefix, 'seats', kind) for prefix in prefixes]
    assert await site.put_in_force(2, [FIRST, *added]) < CONFIG_APPLY_S
    expected = [
        (prefix + target, body)
        for prefix, (target, body) in zip(prefixes, REQUESTS, strict=True)
    ]
    answers = await asyncio.gather(
        *(
            asyncio.gather(
                *(
                    site.send(index, target, data=_data(body))
                    for index in range(6)
                )
            )
            for target, body in expected
        )
    )
    received = {
        request_id: content
        for stand_in in site.upstreams('seats')
        for request_id, content in stand_in.received.items()
    }
    for (target, body), sent in zip(expected, answers, strict=True):
        assert [status for _, status in sent] == [200] * 6
        for request_id, _ in sent:
            assert set(site.services_that_ran(request_id)) == {'seats'}
            assert received[request_id] == (target, b''.join(_parts(body)))


async def test_added_host_name_was_not_served(site):
    """A host name that no earlier version had is matched at once."""
    assert {s for _, s in await site.send_to_all('/', host=ADDED_HOST)} == {
        404
    }
    added = (ADDED_HOST, '/', 'seats', 'unsafe')
    await site.put_in_force(2, [FIRST, added])
    answers = await site.send_to_all('/a?b=c', host=ADDED_HOST)
    assert {status for _, status in answers} == {200}
    answers = await site.send_to_all('/a', host=ADDED_HOST.upper() + ':80')
    assert {status for _, status in answers} == {200}


async def test_added_routes_were_served_less_often_than_the_first(site):
    """Requests for both, sent at the same time, are served alike.

    Three upstreams of nine slots each run them; the first route has been in
    use before.
    """
    for _ in range(5):
        await site.send_to_all('/fee/1')
    await site.put_in_force(2, [FIRST, ADDED])
    served = {'/fee/': 0, ADDED_PATH: 0}
    for _ in range(10):
        first, added = await asyncio.gather(
            site.send_to_all('/fee/1'), site.send_to_all(ADDED_PATH + 'd1')
        )
        served['/fee/'] += sum(status == 200 for _, status in first)
        served[ADDED_PATH] += sum(status == 200 for _, status in added)
    assert served == {'/fee/': 60, ADDED_PATH: 60}


async def _send_steadily(site, targets, per_s, duration_s):
    """Send requests to all targets in turn; return the share served by each.

    The requests go to all nodes in turn, each over a connection of its own.
    """
    sending = []
    number = 0
    started_s = time.monotonic()
    while time.monotonic() - started_s < duration_s:
        target = targets[number % len(targets)]
        index = number // len(targets) % len(site.cluster.nodes)
        task = asyncio.create_task(site.send(index, target))
        sending.append((target, task))
        number += 1
        await asyncio.sleep(started_s + number / per_s - time.monotonic())
    statuses = {target: [] for target in targets}
    for target, task in sending:
        statuses[target].append((await task)[1])
    return {
        target: found.count(200) / len(found)
        for target, found in statuses.items()
    }


@pytest.mark.parametrize('kind', ['unsafe', 'safe'])
async def test_added_route_starved_behind_the_first_in_overload(site, kind):
    """Routes of one service and priority share it, whichever came first.

    The first route has filled all slots and queues when the other is added.
    """
    first = (FIRST_HOST, '/fee/', 'fees', kind)
    added = (FIRST_HOST, ADDED_PATH, 'fees', kind)
    await site.put_in_force(2, [first])
    for stand_in in site.upstreams('fees'):
        stand_in.service_time_s = 0.2
    await _send_steadily(site, ['/fee/1'], 150, 1.5)
    filling = asyncio.create_task(
        _send_steadily(site, ['/fee/1'], 100, 1.0),
    )
    await site.put_in_force(3, [first, added])
    await filling
    served = await _send_steadily(site, ['/fee/1', ADDED_PATH], 200, 2.0)
    assert served['/fee/1'] < 0.9
    assert served[ADDED_PATH] > MIN_SERVED_RATIO * served['/fee/1']


async def test_500_routes_were_late_or_not_served(site):
    """A set of 500 routes is learned by all nodes, and its last is served."""
    routes = [
        (f'h{number % 20}.example', f'/p{number}/', 'seats', 'unsafe')
        for number in range(500)
    ]
    assert await site.put_in_force(2, [FIRST, *routes]) < CONFIG_APPLY_S
    for number in (0, 250, 499):
        host, path, _, _ = routes[number]
        answers = await site.send_to_all(f'{path}d1?a=1', host=host)
        assert {status for _, status in answers} == {200}
    routes[499] = (*routes[499][:2], 'fees', 'unsafe')
    assert await site.put_in_force(3, [FIRST, *routes]) < CONFIG_APPLY_S
    host, path, _, _ = routes[499]
    for request_id, status in await site.send_to_all(path, host=host):
        assert status == 200
        assert site.services_that_ran(request_id) == ['fees']


async def test_revision_of_the_store_was_taken_for_the_version(site):
    """The version that the document names decides, in uneven steps."""
    for number in range(50):
        await site.cluster.store.put('op/other', b'x')
        if number % 25 == 0:
            await site.put_in_force(7 + 30 * number, [FIRST, ADDED])
    await site.put_in_force(0xFFFFFFFF, [FIRST])
    answers = await site.send_to_all(ADDED_PATH)
    assert {status for _, status in answers} == {404}


async def _fill(site, service):
    """Keep all slots of a service busy until the returned event is set."""
    release = asyncio.Event()
    tasks = []
    upstreams = site.upstreams(service)
    for number in range(sum(stand_in.slots for stand_in in upstreams)):
        tasks.append(
            asyncio.create_task(
                site.send(number % 6, '/fee/1', time_left_ms=1_400)
            )
        )
    for stand_in in upstreams:
        stand_in.service_time_s = 1.0
        stand_in.held = _Held(release)
    await site.cluster.wait_until(
        lambda: (
            sum(len(stand_in.started) for stand_in in upstreams)
            >= 0.7 * len(tasks)
        )
    )
    return release, tasks


class _Held(dict):
    """Holds every request until one event is set."""

    def __init__(self, release):
        super().__init__()
        self._release = release

    def __contains__(self, key):
        return True

    def __getitem__(self, key):
        return self._release


async def test_requests_after_a_move_waited_for_the_old_service(site):
    """Requests that wait for the full old service do not hold up others.

    A request that is sent once the move is in force runs at the new service
    only, though the nodes still retry and hold requests for the old one.
    """
    release, filling = await _fill(site, 'fees')
    waiting = [
        asyncio.create_task(site.send(index, '/fee/1')) for index in range(6)
    ]
    await asyncio.sleep(0.05)
    moved = (FIRST_HOST, '/fee/', 'seats', 'unsafe')
    assert await site.put_in_force(2, [moved]) < CONFIG_APPLY_S
    started_s = time.monotonic()
    answers = await site.send_to_all('/fee/1')
    assert time.monotonic() - started_s < 0.5
    assert {status for _, status in answers} == {200}
    for request_id, _ in answers:
        assert site.services_that_ran(request_id) == ['seats']
    release.set()
    await asyncio.gather(*filling, *waiting)


async def test_repeats_after_a_move_ran_at_the_old_service(site):
    """Safe requests that fail, and are repeated, run at the new service."""
    safe = (FIRST_HOST, '/fee/', 'fees', 'safe')
    await site.put_in_force(2, [safe])
    for stand_in in site.upstreams('fees'):
        stand_in.behaviour = 'fail'
    await site.send_to_all('/fee/1')
    moved = (FIRST_HOST, '/fee/', 'seats', 'safe')
    await site.put_in_force(3, [moved])
    site.upstreams('seats')[0].behaviour = 'fail'
    answers = [
        answer for _ in range(5) for answer in await site.send_to_all('/fee/1')
    ]
    for request_id, _ in answers:
        assert set(site.services_that_ran(request_id)) == {'seats'}


async def test_request_completed_after_a_move_ran_at_the_old_service(site):
    """The version in force when a request is complete decides.

    The head arrives before the change, and the end of the body so late that
    the change must be in force.
    """
    release = asyncio.Event()

    async def body():
        yield b'a'
        await release.wait()
        yield b'b'

    sending = [
        asyncio.create_task(
            site.send(index, '/fee/1', data=body(), time_left_ms=5_000)
        )
        for index in range(6)
    ]
    await asyncio.sleep(0.1)
    moved = (FIRST_HOST, '/fee/', 'seats', 'unsafe')
    await site.put_in_force(2, [moved])
    release.set()
    for request_id, status in await asyncio.gather(*sending):
        assert status == 200
        assert site.services_that_ran(request_id) == ['seats']


async def test_pipelined_request_ran_by_the_routes_of_its_arrival(site):
    """A request that waits behind another is matched when its turn comes."""
    release = asyncio.Event()
    for stand_in in site.upstreams('fees'):
        stand_in.held['ahead'] = release
    address = site.cluster.settings[0].adapter.callers
    host, _, port = address.rpartition(':')
    _, writer = await asyncio.open_connection(host, int(port))
    for request_id in ('ahead', 'behind'):
        writer.write(
            f'POST /fee/1 HTTP/1.1\r\nHost: {FIRST_HOST}\r\n'
            f'Request-Id: {request_id}\r\nDeadline-Ms: 1400\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )
    await site.cluster.wait_until(lambda: site.services_that_ran('ahead'))
    await site.put_in_force(2, [(FIRST_HOST, '/fee/', 'seats', 'unsafe')])
    release.set()
    await site.cluster.wait_until(lambda: site.services_that_ran('behind'))
    assert site.services_that_ran('ahead') == ['fees']
    assert site.services_that_ran('behind') == ['seats']
    writer.close()


async def test_request_completed_after_a_removal_ran(site):
    """A route that was removed while the body arrived is not used."""
    release = asyncio.Event()

    async def body():
        yield b'a'
        await release.wait()

    sending = asyncio.create_task(site.send(0, '/fee/1', data=body()))
    await asyncio.sleep(0.1)
    await site.put_in_force(2, [ADDED])
    release.set()
    request_id, status = await sending
    assert status == 404
    assert not site.services_that_ran(request_id)


async def test_kept_connection_used_the_routes_of_its_first_request(site):
    """Requests on one connection follow each change."""
    address = site.cluster.settings[0].adapter.callers
    connector = aiohttp.TCPConnector(limit=1)
    ran = []
    async with aiohttp.ClientSession(connector=connector) as session:
        for version, service in enumerate(('seats', 'fees', 'seats'), 2):
            route = (FIRST_HOST, '/fee/', service, 'unsafe')
            await site.put_in_force(version, [route])
            headers = {
                'Host': FIRST_HOST,
                'Request-Id': f'kept{version}',
                'Deadline-Ms': '1000',
            }
            url = f'http://{address}/fee/1'
            async with session.post(url, headers=headers) as response:
                assert response.status == 200
            ran += site.services_that_ran(f'kept{version}')
    assert ran == ['seats', 'fees', 'seats']


async def test_upstream_announced_before_the_first_set_stayed_unchecked():
    """A node without routes accepts heartbeats, and learns the health path.

    The load of the upstream is read once the routes name the path.
    """
    cluster = platform_cluster.Cluster()
    await cluster.start(configured=False)
    try:
        created = await cluster.add_host(ready=False)
        # Without a health path no check can confirm the heartbeat.
        unconfirmed = created.upstream_lifecycle.unconfirmed
        assert unconfirmed.announcement.load_path == ''
        assert created.sidecar.announcement is None
        await cluster.store.put('op/config', document(1, [FIRST]))
        await cluster.wait_until(lambda: created.ready)
        await cluster.upstreams[0].send_heartbeat(
            cluster.settings[0].adapter.announcements
        )
        assert created.sidecar.announcement.load_path == '/health'
        assert (await cluster.send_request())[0] == 200
    finally:
        await cluster.close()


def _ignore_new_routes(created):
    """Let a node answer its peers, and learn no further route set."""
    state = created.membership._state
    receive = state.receive

    def receive_other(message, now_ms):
        if isinstance(message, messages.RoutesReply):
            return effects.Effects()
        return receive(message, now_ms)

    state.receive = receive_other
    state.adopt_routes = lambda new: effects.Effects()


def _record_revisions(created):
    """Return the list to which revisions are added as they are applied."""
    revisions = []
    write = created.log.write

    def record(event, **fields):
        if event is events.Event.ROUTES_APPLIED:
            revisions.append((time.monotonic(), fields['revision']))
        write(event, **fields)

    created.log.write = record
    return revisions


async def test_restarted_node_kept_the_set_of_a_peer_that_was_behind(site):
    """It learns the newer set in time, and never goes back.

    The only seed that the node knows has not learned the change, and the
    store gives no answer.
    """
    cluster = site.cluster
    behind = cluster.nodes[5]
    _ignore_new_routes(behind)
    await cluster.store.put('op/config', document(2, [FIRST, ADDED]))
    sound = cluster.nodes[:5]
    await cluster.wait_until(
        lambda: all(other.route_sets.revision == 2 for other in sound)
    )
    await cluster.nodes[0].stop()
    cluster.store.faults.silent = True
    loaded = cluster.settings[0]
    peering = msgspec.structs.replace(
        loaded.node.peering, seeds=behind.membership.local_member.address
    )
    restarted = node.Node(
        dataclasses.replace(loaded.node, peering=peering),
        adapter.PlatformAdapter(loaded),
    )
    revisions = _record_revisions(restarted)
    await restarted.start()
    cluster.nodes[0] = restarted
    await cluster.wait_until(lambda: restarted.route_sets.revision == 2)
    assert [revision for _, revision in revisions] in ([1, 2], [2])
    assert revisions[-1][0] - revisions[0][0] < CONFIG_APPLY_S
    assert behind.route_sets.revision == 1
    await asyncio.sleep(CONFIG_APPLY_S)
    assert restarted.route_sets.revision == 2
    request_id, status = await site.send(0, ADDED_PATH)
    assert status == 200
    assert site.services_that_ran(request_id) == ['seats']
