"""Tests of whole nodes on real sockets."""

from __future__ import annotations

import asyncio
import os
import pathlib

import aiohttp
from grpclib import client as grpc_client
import pytest
import uvloop
import zmq

from bench.standins import store as stand_in_store
from bench.standins import upstream as stand_in
from jasminebeam import node
from jasminebeam.operators.generated import operators_grpc
from jasminebeam.operators.generated import operators_pb2
from tests import ports


@pytest.fixture
def event_loop_policy():
    """Run these tests on the event loop of the product."""
    return uvloop.EventLoopPolicy()


class Site:
    """A store, nodes and upstreams in one process."""

    def __init__(self):
        self.store_port = ports.free_port()
        self.store = stand_in_store.StandInStore(self.store_port)
        self.nodes = []
        self.settings = []
        self.upstreams = []
        self.session = None

    async def start(self):
        """Start the store."""
        await self.store.start()
        self.session = aiohttp.ClientSession()

    async def add(self, service='fees', **peering):
        """Start a node with an upstream."""
        endpoint = f'http://127.0.0.1:{self.store_port}'
        seeds = ''
        if self.settings:
            seeds = f'127.0.0.1:{self.settings[0].peering.port}'
        checked = ports.node_settings(
            f'n{len(self.nodes)}', endpoint, seeds, **peering
        )
        created = node.Node(checked)
        await created.start()
        self.nodes.append(created)
        self.settings.append(checked)
        port = checked.upstream.announce_port
        beside = stand_in.StandInUpstream(
            stand_in.Options(
                service,
                ports.free_port(),
                announce_url=f'http://127.0.0.1:{port}/announce',
                service_ms=1.0,
            )
        )
        await beside.start()
        self.upstreams.append(beside)
        return created

    async def create_service(self):
        """Create the service ``fees`` and wait until all know it."""
        channel = grpc_client.Channel(
            '127.0.0.1', self.settings[0].operators.port
        )
        stub = operators_grpc.OperatorsStub(channel)
        rule = operators_pb2.RequestRule(method='GET', path_pattern='/*')
        service = operators_pb2.Service(
            name='fees', hosts=['fees.example'], idempotent=[rule]
        )
        await stub.CreateService(
            operators_pb2.CreateServiceRequest(service=service, change_id='c')
        )
        channel.close()
        for each in self.nodes:
            await until(lambda each=each: each.services.service('fees'))

    async def call(self, index, method='POST', body=b'', headers=None):
        """Send a request to a node and return status, headers and body."""
        port = self.settings[index].callers.port
        async with self.session.request(
            method,
            f'http://127.0.0.1:{port}/x',
            headers={'Host': 'fees.example', **(headers or {})},
            data=body,
        ) as response:
            return response.status, response.headers, await response.read()

    async def stop(self):
        """Stop everything."""
        await self.session.close()
        for each in self.nodes:
            await each.stop()
        for each in self.upstreams:
            await each.stop()
        await self.store.stop()


async def until(condition):
    """Return when a condition holds."""
    while not condition():
        await asyncio.sleep(0.01)


@pytest.fixture
async def site():
    """Provide a site without nodes."""
    created = Site()
    await created.start()
    yield created
    await created.stop()


def _knows(member, count):
    """Return True if a node knows some ready upstreams of ``fees``."""
    return len(member.routes.members_of('fees')) == count


async def test_request_passes_two_nodes_and_runs_once(site):
    """The first node has no upstream of the service itself."""
    await site.add(service='other')
    await site.add()
    await site.create_service()
    await until(lambda: _knows(site.nodes[0], 1))
    status, headers, body = await site.call(
        0, body=b'hello', headers={'X-Request-Id': 'r1'}
    )
    assert (status, body) == (200, b'hello')
    assert headers['Jasminebeam-Verdict'] == 'answered'
    assert site.upstreams[1].runs['r1'] == 1


async def test_bad_input_gets_a_clear_answer(site):
    """Each mistake has a status, and the next request still works."""
    await site.add()
    await site.create_service()
    await until(lambda: _knows(site.nodes[0], 1))
    large = b'x' * (262_144 + 1)
    wrong = {'Jasminebeam-Timeout-Ms': 'soon'}
    long_key = {'Idempotency-Key': 'k' * 201}
    assert (await site.call(0, body=large))[0] == 413
    assert (await site.call(0, headers=wrong))[0] == 400
    assert (await site.call(0, headers=long_key))[0] == 400
    assert (await site.call(0, headers={'Host': 'nobody'}))[0] == 404
    _, headers, body = await site.call(0, headers=wrong)
    assert headers['Content-Type'] == 'application/problem+json'
    assert b'positive whole number' in body
    assert (await site.call(0))[0] == 200


async def test_planned_stop_finishes_what_is_in_flight(site):
    """The answer arrives at the caller before the node is gone."""
    await site.add()
    await site.create_service()
    await until(lambda: _knows(site.nodes[0], 1))
    site.upstreams[0].set_faults(stand_in.Faults(slow_factor=300.0))
    call = asyncio.create_task(site.call(0))
    await until(lambda: site.nodes[0].sidecar.in_flight == 1)
    await site.nodes[0].stop()
    status, headers, _ = await call
    assert status == 200
    assert headers['Connection'] == 'close'


async def test_node_uses_no_io_uring_child_or_shared_memory(site):
    """The limits of the users' hosts, read from the running process."""
    await site.add()
    await site.create_service()
    await until(lambda: _knows(site.nodes[0], 1))
    await site.call(0)
    own = pathlib.Path('/proc/self')
    links = []
    for descriptor in (own / 'fd').iterdir():
        try:
            links.append(os.readlink(descriptor))
        except FileNotFoundError:
            continue
    assert not [link for link in links if 'io_uring' in link]
    assert not [link for link in links if '/dev/shm' in link]
    children = own / 'task' / str(os.getpid()) / 'children'
    assert children.read_text().strip() == ''


async def test_node_without_an_allowed_key_gets_nothing_in(site):
    """Its peer socket cannot even be asked for a session."""
    server_public, server_secret = zmq.curve_keypair()
    keys = {
        'public_key': server_public.decode(),
        'secret_key': server_secret.decode(),
        'server_key': server_public.decode(),
        'allowed_keys': server_public.decode(),
    }
    await site.add(**keys)
    await site.add(**keys)
    await site.create_service()
    await until(lambda: _knows(site.nodes[0], 2))
    other_public, other_secret = zmq.curve_keypair()
    stranger = await site.add(
        **{
            **keys,
            'public_key': other_public.decode(),
            'secret_key': other_secret.decode(),
        }
    )

    def refused():
        number = {'number': '303'}
        return stranger.metrics.registry and any(
            each.metrics.registry.get_sample_value(
                'jasminebeam_events_total', number
            )
            for each in site.nodes[:2]
        )

    await until(refused)
    assert all(len(each.membership.members()) == 2 for each in site.nodes[:2])
    assert (await site.call(1))[0] == 200
