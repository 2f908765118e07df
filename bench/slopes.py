"""Measures costs per unit of size (slopes), to size a target fleet."""

from __future__ import annotations

import asyncio
import gc
import json
import pathlib
import random
import time
import tracemalloc
import typing

import msgspec

import psutil
import tabulate
import uvloop
import zmq

from bench import fleet
from bench import scrape
from bench import sites
from jasminebeam import clock
from jasminebeam.configuration import directory
from jasminebeam.configuration import routes
from jasminebeam.membership import anti_entropy
from jasminebeam.membership import gossip
from jasminebeam.membership import options
from jasminebeam.membership import table as member_table
from jasminebeam.model import requests
from jasminebeam.model import services
from jasminebeam.model import upstreams
from jasminebeam.peering import codec
from jasminebeam.peering import messages
from jasminebeam.peering import pool
from jasminebeam.peering import server as peer_server
from jasminebeam.peering import sockets
from jasminebeam.retries import registry
from jasminebeam.routing import policies
from jasminebeam.routing import selection
from jasminebeam.routing import table as routing_table
from jasminebeam.sidecar import sidecar
from jasminebeam.telemetry import events
from jasminebeam.telemetry import metrics
from jasminebeam import verdict

OUTPUT = pathlib.Path('build/slopes')
TARGET_NODES = 23_000
TARGET_SERVICES = 780
TARGET_DOMAINS = 14
TARGET_REGIONS = 5
FIRST_PORT = 25_000
IDLE_S = 10.0


def create_member(index: int, incarnation: int = 1) -> upstreams.Member:
    """Return the member record of one node of a fleet of the target size."""
    domain = index % TARGET_DOMAINS
    return upstreams.Member(
        node_id=f'host-{index:05d}',
        address=f'10.{index >> 16}.{index >> 8 & 255}.{index & 255}:7001',
        failure_domain=f'domain-{domain}',
        region=f'region-{domain % TARGET_REGIONS}',
        incarnation=1_790_000_000_000 + incarnation,
        version=2,
        phase=upstreams.Phase.READY,
        service=f'service-{index % TARGET_SERVICES}',
        slots=9,
        ready_ms=1_790_000_000_000,
    )


def create_revision(index: int, number: int) -> services.ServiceRevision:
    """Return a service revision of a fleet of the target size."""
    name = f'service-{index}'
    rules = tuple(
        services.RequestRule('GET', f'/part{part}/*') for part in range(4)
    )
    definition = services.Service(name, (f'{name}.example',), '/', rules)
    return services.ServiceRevision(
        name, number, f'change-{number}', definition
    )


def create_gossip(node_count: int) -> gossip.Gossip:
    """Return the gossip state of a node in a fleet of a given size."""
    state = gossip.Gossip(
        create_member(0),
        directory.ServiceDirectory(),
        routes.RouteDirectory(random.Random(1)),
        (),
        random.Random(1),
        options.Options(),
    )
    for index in range(1, node_count):
        state.members.merge(create_member(index), 0.0)
    return state


def _measure_allocation(
    create: typing.Callable[[], typing.Any],
) -> tuple[int, object]:
    gc.collect()
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    created = create()
    gc.collect()
    after_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after_bytes - before_bytes, created


def _measure_time_us(
    operation: typing.Callable[[int], object], count: int
) -> float:
    for index in range(count // 10):
        operation(index)
    started_s = time.process_time()
    for index in range(count):
        operation(index)
    return (time.process_time() - started_s) / count * 1e6


def measure_state() -> dict[str, float]:
    """Return the memory per member, service, request and session in bytes."""
    results: dict[str, float] = {}
    for count in (1_000, TARGET_NODES):
        size_bytes, _ = _measure_allocation(
            lambda count=count: create_gossip(count)
        )
        results[f'member_bytes_at_{count}'] = size_bytes / count

    def create_routing_table() -> routing_table.RoutingTable:
        created = routing_table.RoutingTable(
            routing_table.Locality('host-00000', 'domain-0', 'region-0')
        )
        for index in range(TARGET_NODES):
            created.update(create_member(index))
        return created

    size_bytes, _ = _measure_allocation(create_routing_table)
    results['route_bytes_per_member'] = size_bytes / TARGET_NODES

    def create_directory() -> directory.ServiceDirectory:
        created = directory.ServiceDirectory()
        for index in range(TARGET_SERVICES):
            created.apply(create_revision(index, index + 1))
        return created

    size_bytes, _ = _measure_allocation(create_directory)
    results['service_bytes'] = size_bytes / TARGET_SERVICES
    results.update(_measure_registry())
    return results


def _measure_registry() -> dict[str, float]:
    count = 10_000
    answer = requests.Answer(200, (('Content-Type', 'text/plain'),), b'')

    def create_registry() -> registry.RequestRegistry:
        created = registry.RequestRegistry(registry.Limits(sessions=count))
        for _ in range(count):
            created.open_session()
        return created

    size_bytes, request_registry = _measure_allocation(create_registry)
    session_bytes = size_bytes / count

    def add_requests() -> None:
        for sequence in range(1, count + 1):
            request_registry.accept((count, sequence), 0.0)
            request_registry.start((count, sequence), 0.0)
            request_registry.finish(
                (count, sequence), verdict.answered(answer), 0.0
            )

    size_bytes, _ = _measure_allocation(add_requests)
    return {
        'session_bytes': session_bytes,
        'kept_request_bytes': size_bytes / count,
    }


def measure_messages() -> dict[str, float]:
    """Return the frame size and the CPU time of control messages."""
    state = create_gossip(TARGET_NODES)
    now_ms = 1_000.0

    def create_heartbeat(changes: int, start: int) -> bytes:
        records = tuple(
            create_member(start + offset, incarnation=start + 2)
            for offset in range(changes)
        )
        return codec.encode(
            messages.Heartbeat(1, 'host-00007', 1 << 63, 1 << 63, records)
        )

    def receive(frame: bytes) -> None:
        effects = state.receive(codec.decode(frame).unwrap(), now_ms)
        for reply in effects.replies:
            codec.encode(reply)

    empty = create_heartbeat(0, 1)
    frames = [create_heartbeat(1, 10 + index) for index in range(2_200)]
    results = {
        'heartbeat_bytes': float(len(empty)),
        'member_wire_bytes': float(len(frames[0]) - len(empty)),
        'heartbeat_us': _measure_time_us(lambda index: receive(empty), 2_000),
    }
    results['heartbeat_with_change_us'] = _measure_time_us(
        lambda index: receive(frames[200 + index]), 2_000
    )
    results['round_us'] = _measure_time_us(
        lambda index: state.tick(now_ms + 1_000.0 * index), 200
    )
    change = codec.encode(messages.Sync(revisions=(create_revision(1, 1),)))
    empty_sync = codec.encode(messages.Sync())
    results['revision_wire_bytes'] = float(len(change) - len(empty_sync))
    service_directory = directory.ServiceDirectory()
    results['revision_apply_us'] = _measure_time_us(
        lambda index: service_directory.apply(
            create_revision(index % 780, index + 1)
        ),
        2_000,
    )
    results.update(_measure_table_transfer(state))
    return results


def _measure_table_transfer(state: gossip.Gossip) -> dict[str, float]:
    records = tuple(state.members)
    started_s = time.process_time()
    frames = [
        codec.encode(
            messages.Sync(
                members=records[
                    start : start + anti_entropy.SYNC_CHUNK_RECORDS
                ]
            )
        )
        for start in range(0, len(records), anti_entropy.SYNC_CHUNK_RECORDS)
    ]
    encode_ms = (time.process_time() - started_s) * 1_000
    joiner = create_gossip(1)
    started_s = time.process_time()
    for frame in frames:
        joiner.receive(codec.decode(frame).unwrap(), 0.0)
    apply_ms = (time.process_time() - started_s) * 1_000
    return {
        'full_table_bytes': float(sum(map(len, frames))),
        'full_table_encode_ms': encode_ms,
        'full_table_apply_ms': apply_ms,
    }


def measure_decisions() -> dict[str, float]:
    """Return the CPU time of a routing choice by subset size."""
    results = {}
    for size in (3, 10, 16, 30):
        routes = routing_table.RoutingTable(
            routing_table.Locality('me', 'domain-0', 'region-0')
        )
        for index in range(size):
            record = msgspec.structs.replace(create_member(index), service='s')
            routes.update(record)
            sample = upstreams.LoadSample(
                1, 3, 0, 9, 5_000, 1_000, -1, upstreams.Phase.READY
            )
            routes.get_or_create_state(record.node_id).on_sample(sample, 0.0)
        selector = selection.Selector(
            routes, policies.create_all(random.Random(1), 4)
        )
        service = services.Service('s', subset_size=30)
        results[f'choice_us_at_{size}'] = _measure_time_us(
            lambda index, selector=selector, service=service: selector.choose(
                service, (), 10.0, 0.0
            ),
            5_000,
        )
    return results


def measure_member_merge() -> dict[str, float]:
    """Return the CPU time of a merge into the member table."""
    members = member_table.MemberTable()
    for index in range(TARGET_NODES):
        members.merge(create_member(index), 0.0)
    merge_us = _measure_time_us(
        lambda index: members.merge(
            create_member(index, incarnation=index + 2), 0.0
        ),
        2_000,
    )
    return {'member_merge_us': merge_us}


class _InstantUpstream:
    """Answers immediately, so that only the hop between nodes is measured."""

    async def run(
        self, call: requests.Call, timeout_ms: float
    ) -> verdict.Verdict:
        return verdict.answered(requests.Answer(200, (), b''))

    async def close(self) -> None:
        pass


class _PeerPair:
    """Sidecar and ingress roles in this process, connected over TCP."""

    def __init__(self) -> None:
        counters = metrics.Metrics()
        log = events.EventLog('slopes', counters)
        self.context = zmq.Context()
        address = f'127.0.0.1:{FIRST_PORT + 5}'
        self.server = peer_server.PeerServer(
            self.context, address, '', log, counters
        )
        local_sidecar = sidecar.Sidecar(
            1, sidecar.Limits(), log, counters, clock.monotonic_ms
        )
        local_sidecar.attach(
            upstreams.Announcement('s', 1), _InstantUpstream()
        )
        message_types = (messages.Hello, messages.Request, messages.Ping)
        self.server.register_handler(
            message_types,
            lambda message, send, size: local_sidecar.handle(message, send),
        )
        routes = routing_table.RoutingTable(
            routing_table.Locality('me', 'domain-0', 'region-0')
        )
        transport = sockets.ZmqTransport(self.context, '127.0.0.1', None)
        factory = pool.LinkFactory(transport, messages.Hello('me', 1))
        self.peers = pool.PeerPool(
            'me',
            factory,
            local_sidecar,
            routes,
            clock.monotonic_ms,
            log,
            counters,
        )
        self.address = address

    def close(self) -> None:
        """Close all connections and sockets."""
        self.peers.close()
        self.server.close()
        self.context.destroy(linger=0)


async def measure_connections() -> dict[str, float]:
    """Return the memory of a connection and the CPU time of a hop."""
    count, calls = 200, 3_000
    pair = _PeerPair()
    process = psutil.Process()
    before_bytes = process.memory_info().rss
    peers = [
        pair.peers.peer(f'node-{index}', pair.address)
        for index in range(count)
    ]
    for peer in peers:
        peer.connect()
    await asyncio.sleep(2.0)
    connection_bytes = (process.memory_info().rss - before_bytes) / count
    call = requests.Call('id', 's', 'GET', '/x', (), b'x' * 500, True, 1e15)
    started_s = time.process_time()
    for _ in range(calls):
        await peers[0].submit(call, 1_000.0).future
    elapsed_us = (time.process_time() - started_s) / calls * 1e6
    pair.close()
    return {
        'connection_bytes_both_ends': connection_bytes,
        'inner_hop_us_both_ends': elapsed_us,
    }


async def measure_process() -> dict[str, float]:
    """Return memory, CPU time and control traffic of idle nodes."""
    running_fleet = fleet.Fleet(
        sites.JUAZEIRO,
        fleet.Options(first_port=FIRST_PORT, directory=OUTPUT / 'fleet'),
    )
    try:
        await running_fleet.start()
        await running_fleet.create_services()
        await running_fleet.wait_for_members()
        await asyncio.sleep(3.0)
        hosts = running_fleet.hosts
        processes = [
            psutil.Process(running_fleet.process_id(h)) for h in hosts
        ]
        before_s = [sum(process.cpu_times()[:2]) for process in processes]
        sent_before_bytes = await _control_bytes(running_fleet)
        await asyncio.sleep(IDLE_S)
        after_s = [sum(process.cpu_times()[:2]) for process in processes]
        sent_after_bytes = await _control_bytes(running_fleet)
        resident_bytes = [process.memory_info().rss for process in processes]
    finally:
        await running_fleet.stop()
    core_shares = [
        (end_s - start_s) / IDLE_S
        for start_s, end_s in zip(before_s, after_s, strict=True)
    ]
    return {
        'idle_node_resident_mb': max(resident_bytes) / 1e6,
        'idle_node_core_share_mean': sum(core_shares) / len(core_shares),
        'idle_node_core_share_max': max(core_shares),
        'control_bytes_per_s_at_14': (sent_after_bytes - sent_before_bytes)
        / len(hosts)
        / IDLE_S,
    }


async def _control_bytes(running_fleet: fleet.Fleet) -> float:
    texts = [await running_fleet.metrics(host) for host in running_fleet.hosts]
    by_direction = scrape.sum_by_label(
        texts, 'jasminebeam_control_bytes_total', 'direction'
    )
    return by_direction.get('sent', 0.0)


def main() -> None:
    """Measure all costs, print them and write them to a JSON file."""
    results: dict[str, float] = {}
    for measure in (
        measure_state,
        measure_messages,
        measure_decisions,
        measure_member_merge,
    ):
        results.update(measure())
    results.update(uvloop.run(measure_connections()))
    results.update(uvloop.run(measure_process()))
    OUTPUT.mkdir(parents=True, exist_ok=True)
    text = json.dumps(results, indent=2)
    (OUTPUT / 'slopes.json').write_text(text + '\n')
    print(tabulate.tabulate(results.items(), floatfmt='.4g'))


if __name__ == '__main__':
    main()
