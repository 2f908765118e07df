"""Tests of complete nodes with real sockets."""

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
from tests import raw_answers


@pytest.fixture
def event_loop_policy():
    """Run these tests on uvloop, as a node does in operation."""
    return uvloop.EventLoopPolicy()


class Cluster:
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
        node_settings = ports.node_settings(
            f'n{len(self.nodes)}', endpoint, seeds, **peering
        )
        created = node.Node(node_settings)
        await created.start()
        self.nodes.append(created)
        self.settings.append(node_settings)
        port = node_settings.upstream.announce_port
        upstream = stand_in.StandInUpstream(
            stand_in.Options(
                service,
                ports.free_port(),
                announce_url=f'http://127.0.0.1:{port}/announce',
                service_ms=1.0,
            )
        )
        await upstream.start()
        self.upstreams.append(upstream)
        return created

    async def replace_upstream(self, index):
        """Return an upstream that sends given bytes, in place of another."""
        replaced = self.upstreams[index]
        await replaced.stop()
        raw = raw_answers.RawUpstream()
        raw.port = replaced._options.port
        await raw.start()
        self.upstreams[index] = raw
        return raw

    async def create_service(self):
        """Create the service ``fees`` and wait until all nodes know it."""
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
            await wait_until(lambda each=each: each.services.service('fees'))

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
        """Stop all nodes, upstreams and the store."""
        await self.session.close()
        for each in self.nodes:
            await each.stop()
        for each in self.upstreams:
            await each.stop()
        await self.store.stop()


async def wait_until(condition):
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.01)


@pytest.fixture
async def cluster():
    """Provide a cluster without nodes."""
    created = Cluster()
    await created.start()
    yield created
    await created.stop()


def _knows_ready_upstreams(observer, count):
    """Return True if a node knows ``count`` ready upstreams of ``fees``."""
    return len(observer.routes.members_of('fees')) == count


async def test_request_crosses_two_nodes_and_runs_once(cluster):
    """A node without an upstream of the service forwards the request.

    The request runs once, at the upstream of the other node.
    """
    await cluster.add(service='other')
    await cluster.add()
    await cluster.create_service()
    await wait_until(lambda: _knows_ready_upstreams(cluster.nodes[0], 1))
    status, headers, body = await cluster.call(
        0, body=b'hello', headers={'X-Request-Id': 'r1'}
    )
    assert (status, body) == (200, b'hello')
    assert headers['Jasminebeam-Verdict'] == 'answered'
    assert cluster.upstreams[1].runs['r1'] == 1


@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_malformed_answer_reached_the_caller(cluster, method):
    """Neither a remote nor an own upstream's, and not as "not run"."""
    await cluster.add(service='other')
    await cluster.add()
    await cluster.create_service()
    await wait_until(lambda: _knows_ready_upstreams(cluster.nodes[0], 1))
    raw = await cluster.replace_upstream(1)
    malformed = {
        **raw_answers.MALFORMED_HEADS,
        **raw_answers.MALFORMED_FRAMING,
        **raw_answers.MALFORMED_CHUNKS,
    }
    for name, answer in malformed.items():
        for index in (0, 1):
            raw.answer = answer
            status, headers, body = await cluster.call(index, method)
            assert status in (502, 504), name
            assert headers['Jasminebeam-Verdict'] == 'may-have-run', name
            assert raw_answers.BODY not in body, name
            raw.answer = raw_answers.SOUND
            assert (await cluster.call(index, method))[0] == 200, name
    assert not raw.reuses


@pytest.mark.parametrize('index', [0, 1])
async def test_malformed_answer_was_kept_for_an_idempotency_key(
    cluster, index
):
    """Repetitions neither run nor get a part of it, nor a "not run"."""
    await cluster.add(service='other')
    await cluster.add()
    await cluster.create_service()
    await wait_until(lambda: _knows_ready_upstreams(cluster.nodes[0], 1))
    raw = await cluster.replace_upstream(1)
    names = ('status 999', 'control byte in value', 'status 000')
    answers = [raw_answers.MALFORMED_HEADS[name] for name in names]
    answers.append(raw_answers.MALFORMED_CHUNKS['blank behind the size'])
    for number, answer in enumerate(answers):
        request_id = f'r{number}'
        headers = {'X-Request-Id': request_id, 'Idempotency-Key': request_id}
        raw.answers = {request_id.encode(): answer}
        for each in (index, 1 - index):
            status, sent, body = await cluster.call(each, headers=headers)
            assert status in (502, 504)
            assert sent['Jasminebeam-Verdict'] == 'may-have-run'
            assert raw_answers.BODY not in body
            raw.answers.clear()
        assert raw.runs[request_id.encode()] == 1
        assert (await cluster.call(index))[0] == 200


async def test_invalid_request_gets_a_specific_status(cluster):
    """Each kind of invalid request must get its own status.

    A later valid request must still be answered.
    """
    await cluster.add()
    await cluster.create_service()
    await wait_until(lambda: _knows_ready_upstreams(cluster.nodes[0], 1))
    large_body = b'x' * (262_144 + 1)
    invalid_timeout = {'Jasminebeam-Timeout-Ms': 'soon'}
    long_key = {'Idempotency-Key': 'k' * 201}
    assert (await cluster.call(0, body=large_body))[0] == 413
    assert (await cluster.call(0, headers=invalid_timeout))[0] == 400
    assert (await cluster.call(0, headers=long_key))[0] == 400
    assert (await cluster.call(0, headers={'Host': 'nobody'}))[0] == 404
    _, headers, body = await cluster.call(0, headers=invalid_timeout)
    assert headers['Content-Type'] == 'application/problem+json'
    assert b'positive whole number' in body
    assert (await cluster.call(0))[0] == 200


async def test_graceful_stop_finishes_requests_in_flight(cluster):
    """The caller receives the answer before the node has stopped."""
    await cluster.add()
    await cluster.create_service()
    await wait_until(lambda: _knows_ready_upstreams(cluster.nodes[0], 1))
    cluster.upstreams[0].set_faults(stand_in.Faults(slow_factor=300.0))
    call = asyncio.create_task(cluster.call(0))
    await wait_until(lambda: cluster.nodes[0].sidecar.in_flight == 1)
    await cluster.nodes[0].stop()
    status, headers, _ = await call
    assert status == 200
    assert headers['Connection'] == 'close'


async def test_node_uses_no_io_uring_child_or_shared_memory(cluster):
    """A host may forbid all three, so a node must run without them.

    The test inspects the running process.
    """
    await cluster.add()
    await cluster.create_service()
    await wait_until(lambda: _knows_ready_upstreams(cluster.nodes[0], 1))
    await cluster.call(0)
    process_path = pathlib.Path('/proc/self')
    links = []
    for descriptor in (process_path / 'fd').iterdir():
        try:
            links.append(os.readlink(descriptor))
        except FileNotFoundError:
            continue
    assert not [link for link in links if 'io_uring' in link]
    assert not [link for link in links if '/dev/shm' in link]
    children = process_path / 'task' / str(os.getpid()) / 'children'
    assert children.read_text().strip() == ''


async def test_node_without_an_allowed_key_is_refused(cluster):
    """The other nodes refuse the connection before any session starts."""
    server_public, server_secret = zmq.curve_keypair()
    keys = {
        'public_key': server_public.decode(),
        'secret_key': server_secret.decode(),
        'server_key': server_public.decode(),
        'allowed_keys': server_public.decode(),
    }
    await cluster.add(**keys)
    await cluster.add(**keys)
    await cluster.create_service()
    await wait_until(lambda: _knows_ready_upstreams(cluster.nodes[0], 2))
    other_public, other_secret = zmq.curve_keypair()
    unauthorized = await cluster.add(
        **{
            **keys,
            'public_key': other_public.decode(),
            'secret_key': other_secret.decode(),
        }
    )

    def refused():
        labels = {'number': '303'}
        return unauthorized.metrics.registry and any(
            each.metrics.registry.get_sample_value(
                'jasminebeam_events_total', labels
            )
            for each in cluster.nodes[:2]
        )

    await wait_until(refused)
    assert all(
        len(each.membership.members()) == 2 for each in cluster.nodes[:2]
    )
    assert (await cluster.call(1))[0] == 200


async def test_named_limit_is_kept_and_shown(cluster):
    """The limit bounds the requests; operators see it."""
    await cluster.add(service='other')
    await cluster.add()
    await cluster.create_service()
    await wait_until(lambda: _knows_ready_upstreams(cluster.nodes[0], 1))
    cluster.upstreams[1].set_faults(stand_in.Faults(limit_per_s=0.5))
    assert (await cluster.call(0))[0] == 200
    timeout = {'Jasminebeam-Timeout-Ms': '200'}
    status, headers, _ = await cluster.call(0, headers=timeout)
    assert status == 503
    assert headers['Jasminebeam-Reason'] == 'rate_limited'
    assert cluster.upstreams[1].runs.total() == 1
    channel = grpc_client.Channel(
        '127.0.0.1', cluster.settings[0].operators.port
    )
    stub = operators_grpc.OperatorsStub(channel)
    request = operators_pb2.ListUpstreamsRequest(service='fees')
    listed = (await stub.ListUpstreams(request)).upstreams
    channel.close()
    assert [upstream.limit_per_s for upstream in listed] == [0.5]
    gauge = cluster.nodes[1].metrics.registry.get_sample_value(
        'jasminebeam_upstream_limit_per_s'
    )
    assert gauge == 0.5


async def test_leaving_upstream_is_drained(cluster):
    """After an answer with the mark, the upstream gets no request."""
    await cluster.add()
    await cluster.create_service()
    await wait_until(lambda: _knows_ready_upstreams(cluster.nodes[0], 1))
    cluster.upstreams[0].set_faults(stand_in.Faults(leaving=True))
    assert (await cluster.call(0))[0] == 200
    assert (await cluster.call(0))[0] == 503
    assert cluster.upstreams[0].runs.total() == 1
    cluster.upstreams[0].set_faults(stand_in.Faults())
    await cluster.upstreams[0].announce()
    assert (await cluster.call(0))[0] == 200
