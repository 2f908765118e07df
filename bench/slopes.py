"""Measures the slopes that the capacity at the target's size follows."""

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
from jasminebeam.membership import gossip
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


def member(index: int, incarnation: int = 1) -> upstreams.Member:
    """Return a record of the target's fleet."""
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


def revision(index: int, number: int) -> services.ServiceRevision:
    """Return a service revision of the target's fleet."""
    name = f'service-{index}'
    rules = tuple(
        services.RequestRule('GET', f'/part{part}/*') for part in range(4)
    )
    definition = services.Service(name, (f'{name}.example',), '/', rules)
    return services.ServiceRevision(
        name, number, f'change-{number}', definition
    )


def create_gossip(node_count: int) -> gossip.Gossip:
    """Return one node's state that knows a fleet of a size."""
    state = gossip.Gossip(
        member(0),
        directory.ServiceDirectory(),
        routes.RouteDirectory(random.Random(1)),
        (),
        random.Random(1),
        gossip.Options(),
    )
    for index in range(1, node_count):
        state.members.merge(member(index), 0.0)
    return state


def _allocated(create: typing.Callable[[], typing.Any]) -> tuple[int, object]:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    created = create()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before, created


def _time_us(step: typing.Callable[[int], object], count: int) -> float:
    for index in range(count // 10):
        step(index)
    started_s = time.process_time()
    for index in range(count):
        step(index)
    return (time.process_time() - started_s) / count * 1e6


def measure_state() -> dict[str, float]:
    """Return bytes of state per member, service, request and session."""
    found: dict[str, float] = {}
    for count in (1_000, TARGET_NODES):
        size, _ = _allocated(lambda count=count: create_gossip(count))
        found[f'member_bytes_at_{count}'] = size / count

    def routes() -> routing_table.RoutingTable:
        created = routing_table.RoutingTable(
            routing_table.Locality('host-00000', 'domain-0', 'region-0')
        )
        for index in range(TARGET_NODES):
            created.update(member(index))
        return created

    size, _ = _allocated(routes)
    found['route_bytes_per_member'] = size / TARGET_NODES

    def configuration() -> directory.ServiceDirectory:
        created = directory.ServiceDirectory()
        for index in range(TARGET_SERVICES):
            created.apply(revision(index, index + 1))
        return created

    size, _ = _allocated(configuration)
    found['service_bytes'] = size / TARGET_SERVICES
    found.update(_measure_registry())
    return found


def _measure_registry() -> dict[str, float]:
    count = 10_000
    answer = requests.Answer(200, (('Content-Type', 'text/plain'),), b'')

    def sessions() -> registry.RequestRegistry:
        created = registry.RequestRegistry(registry.Limits(sessions=count))
        for _ in range(count):
            created.open_session()
        return created

    size, kept = _allocated(sessions)
    session_bytes = size / count

    def entries() -> None:
        for sequence in range(1, count + 1):
            kept.accept((count, sequence), 0.0)
            kept.start((count, sequence), 0.0)
            kept.finish((count, sequence), verdict.answered(answer), 0.0)

    size, _ = _allocated(entries)
    return {
        'session_bytes': session_bytes,
        'kept_request_bytes': size / count,
    }


def measure_messages() -> dict[str, float]:
    """Return frame bytes and processor time of control messages."""
    state = create_gossip(TARGET_NODES)
    now_ms = 1_000.0

    def heartbeat(changes: int, start: int) -> bytes:
        records = tuple(
            member(start + offset, incarnation=start + 2)
            for offset in range(changes)
        )
        return codec.encode(
            messages.Heartbeat(1, 'host-00007', 1 << 63, 1 << 63, records)
        )

    def receive(frame: bytes) -> None:
        effects = state.receive(codec.decode(frame).unwrap(), now_ms)
        for reply in effects.replies:
            codec.encode(reply)

    empty = heartbeat(0, 1)
    frames = [heartbeat(1, 10 + index) for index in range(2_200)]
    found = {
        'heartbeat_bytes': float(len(empty)),
        'member_wire_bytes': float(len(frames[0]) - len(empty)),
        'heartbeat_us': _time_us(lambda index: receive(empty), 2_000),
    }
    found['heartbeat_with_change_us'] = _time_us(
        lambda index: receive(frames[200 + index]), 2_000
    )
    found['round_us'] = _time_us(
        lambda index: state.tick(now_ms + 1_000.0 * index), 200
    )
    change = codec.encode(messages.Sync(revisions=(revision(1, 1),)))
    empty_sync = codec.encode(messages.Sync())
    found['revision_wire_bytes'] = float(len(change) - len(empty_sync))
    applied = directory.ServiceDirectory()
    found['revision_apply_us'] = _time_us(
        lambda index: applied.apply(revision(index % 780, index + 1)), 2_000
    )
    found.update(_measure_table_transfer(state))
    return found


def _measure_table_transfer(state: gossip.Gossip) -> dict[str, float]:
    records = tuple(state.members)
    started_s = time.process_time()
    frames = [
        codec.encode(
            messages.Sync(members=records[start : start + gossip.SYNC_CHUNK])
        )
        for start in range(0, len(records), gossip.SYNC_CHUNK)
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
    """Return processor time of a choice by the size of the subset."""
    found = {}
    for size in (3, 10, 16, 30):
        routes = routing_table.RoutingTable(
            routing_table.Locality('me', 'domain-0', 'region-0')
        )
        for index in range(size):
            record = msgspec.structs.replace(member(index), service='s')
            routes.update(record)
            sample = upstreams.LoadSample(
                1, 3, 0, 9, 5_000, 1_000, -1, upstreams.Phase.READY
            )
            routes.get_or_create_state(record.node_id).on_sample(sample, 0.0)
        chooser = selection.Selector(
            routes, policies.create_all(random.Random(1), 4)
        )
        service = services.Service('s', subset_size=30)
        found[f'choice_us_at_{size}'] = _time_us(
            lambda index, chooser=chooser, service=service: chooser.choose(
                service, (), 10.0, 0.0
            ),
            5_000,
        )
    return found


def measure_ring() -> dict[str, float]:
    """Return processor time of a change of the member table."""
    members = member_table.MemberTable()
    for index in range(TARGET_NODES):
        members.merge(member(index), 0.0)
    found = _time_us(
        lambda index: members.merge(member(index, incarnation=index + 2), 0.0),
        2_000,
    )
    return {'member_merge_us': found}


class _InstantUpstream:
    """Answers at once, so that only the inner hop is measured."""

    async def run(
        self, call: requests.Call, timeout_ms: float
    ) -> verdict.Verdict:
        return verdict.answered(requests.Answer(200, (), b''))

    async def close(self) -> None:
        pass


class _Pair:
    """A sidecar and an ingress side in this process, over TCP."""

    def __init__(self) -> None:
        counters = metrics.Metrics()
        log = events.EventLog('slopes', counters)
        self.context = zmq.Context()
        address = f'127.0.0.1:{FIRST_PORT + 5}'
        self.server = peer_server.PeerServer(
            self.context, address, '', log, counters
        )
        own = sidecar.Sidecar(
            1, sidecar.Limits(), log, counters, clock.monotonic_ms
        )
        own.attach(upstreams.Announcement('s', 1), _InstantUpstream())
        kinds = (messages.Hello, messages.Request, messages.Ping)
        self.server.register_handler(
            kinds, lambda message, send, size: own.handle(message, send)
        )
        routes = routing_table.RoutingTable(
            routing_table.Locality('me', 'domain-0', 'region-0')
        )
        transport = sockets.ZmqTransport(self.context, '127.0.0.1', None)
        factory = pool.LinkFactory(transport, messages.Hello('me', 1))
        self.peers = pool.PeerPool(
            'me', factory, own, routes, clock.monotonic_ms, log, counters
        )
        self.address = address

    def close(self) -> None:
        """Close all sockets."""
        self.peers.close()
        self.server.close()
        self.context.destroy(linger=0)


async def measure_connections() -> dict[str, float]:
    """Return memory of a connection and processor time of an inner hop."""
    count, calls = 200, 3_000
    pair = _Pair()
    process = psutil.Process()
    before = process.memory_info().rss
    opened = [
        pair.peers.peer(f'node-{index}', pair.address)
        for index in range(count)
    ]
    for each in opened:
        each.connect()
    await asyncio.sleep(2.0)
    connection_bytes = (process.memory_info().rss - before) / count
    call = requests.Call('id', 's', 'GET', '/x', (), b'x' * 500, True, 1e15)
    started_s = time.process_time()
    for _ in range(calls):
        await opened[0].submit(call, 1_000.0).future
    taken_us = (time.process_time() - started_s) / calls * 1e6
    pair.close()
    return {
        'connection_bytes_both_ends': connection_bytes,
        'inner_hop_us_both_ends': taken_us,
    }


async def measure_process() -> dict[str, float]:
    """Return memory, processor time and control bytes of idle nodes."""
    started = fleet.Fleet(
        sites.JUAZEIRO,
        fleet.Options(first_port=FIRST_PORT, directory=OUTPUT / 'fleet'),
    )
    try:
        await started.start()
        await started.create_services()
        await started.wait_members()
        await asyncio.sleep(3.0)
        hosts = started.hosts
        processes = [psutil.Process(started.process_id(h)) for h in hosts]
        before = [sum(process.cpu_times()[:2]) for process in processes]
        sent = await _control_bytes(started)
        await asyncio.sleep(IDLE_S)
        after = [sum(process.cpu_times()[:2]) for process in processes]
        sent_after = await _control_bytes(started)
        resident = [process.memory_info().rss for process in processes]
    finally:
        await started.stop()
    shares = [
        (end - start) / IDLE_S
        for start, end in zip(before, after, strict=True)
    ]
    return {
        'idle_node_resident_mb': max(resident) / 1e6,
        'idle_node_core_share_mean': sum(shares) / len(shares),
        'idle_node_core_share_max': max(shares),
        'control_bytes_per_s_at_14': (sent_after - sent) / len(hosts) / IDLE_S,
    }


async def _control_bytes(started: fleet.Fleet) -> float:
    texts = [await started.metrics(host) for host in started.hosts]
    by_direction = scrape.sum_by_label(
        texts, 'jasminebeam_control_bytes_total', 'direction'
    )
    return by_direction.get('sent', 0.0)


def main() -> None:
    """Measure all slopes, print them and write them as JSON."""
    found: dict[str, float] = {}
    for measure in (
        measure_state,
        measure_messages,
        measure_decisions,
        measure_ring,
    ):
        found.update(measure())
    found.update(uvloop.run(measure_connections()))
    found.update(uvloop.run(measure_process()))
    OUTPUT.mkdir(parents=True, exist_ok=True)
    text = json.dumps(found, indent=2)
    (OUTPUT / 'slopes.json').write_text(text + '\n')
    print(tabulate.tabulate(found.items(), floatfmt='.4g'))


if __name__ == '__main__':
    main()
