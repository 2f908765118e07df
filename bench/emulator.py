"""Nodes, links and upstreams emulated in one process, in virtual time."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

from bench import virtual
from jasminebeam.ingress import admission_client
from jasminebeam.ingress import dispatcher
from jasminebeam.model import requests
from jasminebeam.model import upstreams
from jasminebeam.peering import codec
from jasminebeam.peering import messages
from jasminebeam.peering import pool
from jasminebeam.routing import policies
from jasminebeam.routing import scoring
from jasminebeam.routing import selection
from jasminebeam.routing import table
from jasminebeam.sidecar import sidecar
from jasminebeam.telemetry import events
from jasminebeam.telemetry import metrics
from jasminebeam import verdict

# A check of the upstream on the same host, as the users' bench plays it.
CHECK_S = 0.001

# Nodes that a policy compares: all of an emulated service.
MAX_NODES = 16
TICK_S = 0.15
STATUS_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Noise:
    """How neighbours slow a host down.

    Parameters
    ----------
    share : float
        Share of the time for which a host is slow.
    factor : float
        How much longer work takes that begins in this time.
    every_ms : float
        Time after which it is drawn anew.
    told : bool
        True if upstreams tell how slow their host is.
    """

    share: float = 0.35
    factor: float = 4.0
    every_ms: float = 300.0
    told: bool = True


DEFAULT_NOISE = Noise()


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """What is emulated.

    Parameters
    ----------
    domains : int
        Failure domains; nodes are spread over them in turn.
    nodes : int
        Nodes, each with an upstream of the one service.
    slots : int
        Requests that an upstream works on at once.
    usable_ratio : float
        Share of the slots that sidecars fill.
    service_ms, spread : float
        Median and log-normal spread of the work of a request.
    within_ms, between_ms : float
        One way within and between failure domains.
    other_domain_ms : float
        Wait that is accepted in place of a way between domains.
    body_bytes : int
        Body of a request.
    noise : Noise
        Neighbours of the hosts.
    """

    domains: int = 4
    nodes: int = 6
    slots: int = 9
    usable_ratio: float = 0.8
    service_ms: float = 90.0
    spread: float = 0.3
    within_ms: float = 0.2
    between_ms: float = 3.0
    other_domain_ms: float = 40.0
    body_bytes: int = 400
    noise: Noise = DEFAULT_NOISE


class EmulatedUpstream:
    """Works on requests; the host's speed at their start counts.

    Parameters
    ----------
    fleet : Fleet
        Slots, work and noise.
    generator : random.Random
        Source of noise and work.
    loop : VirtualLoop
        Source of time.
    """

    def __init__(
        self, fleet: Fleet, generator: random.Random, loop: virtual.VirtualLoop
    ) -> None:
        self._fleet = fleet
        self._generator = generator
        self._loop = loop
        self._period = -1
        self._slowness = 1.0
        self.running = 0
        self.starts = 0
        self.slow_starts = 0
        self.avoidable_starts = 0
        self.others: list[EmulatedUpstream] = []
        self.on_report: typing.Callable[[upstreams.LoadReport], None]

    @property
    def slowness(self) -> float:
        """How much longer work takes that begins at this moment."""
        noise = self._fleet.noise
        period = int(self._loop.now_ms() // noise.every_ms)
        if period != self._period:
            self._period = period
            slow = self._generator.random() < noise.share
            self._slowness = noise.factor if slow else 1.0
        return self._slowness

    @property
    def has_room(self) -> bool:
        """True if the host is fast and has a usable slot free."""
        usable = int(self._fleet.slots * self._fleet.usable_ratio)
        return self.slowness == 1.0 and self.running < usable

    async def run(
        self, call: requests.Call, timeout_ms: float
    ) -> verdict.Verdict:
        """Work on a request until it is done or its time is over."""
        slowness = self.slowness
        self.starts += 1
        if slowness > 1.0:
            self.slow_starts += 1
            self.avoidable_starts += any(
                other.has_room for other in self.others
            )
        work = self._generator.lognormvariate(0.0, self._fleet.spread)
        work_ms = self._fleet.service_ms * work * slowness
        self.running += 1
        try:
            await asyncio.sleep(min(work_ms, timeout_ms) / 1_000)
        finally:
            self.running -= 1
            self._report()
        if work_ms > timeout_ms:
            return verdict.may_have_run(verdict.Reason.UPSTREAM_TIMEOUT)
        return verdict.answered(requests.Answer(STATUS_OK, (), b''))

    async def check_health(self) -> upstreams.Health:
        """Return health and load, as a check on the same host does."""
        await asyncio.sleep(CHECK_S)
        return upstreams.Health(True, report=self._report())

    async def close(self) -> None:
        """Do nothing."""

    def _report(self) -> upstreams.LoadReport:
        told = self.slowness if self._fleet.noise.told else None
        report = upstreams.LoadReport(self.running, 0, self._fleet.slots, told)
        self.on_report(report)
        return report


class _Wire:
    """Connection whose frames take the way between two nodes."""

    def __init__(
        self,
        emulator: Emulator,
        way: tuple[Node, Node],
        on_frame: typing.Callable[[bytes], None],
    ) -> None:
        self._emulator = emulator
        self._client, self._server = way
        self._on_frame = on_frame
        self._closed = False

    def send(self, frame: bytes) -> bool:
        """Carry a frame to the sidecar."""
        self._emulator.carry(self._client, self._server, frame, self._serve)
        return not self._closed

    def close(self) -> None:
        """Deliver nothing more."""
        self._closed = True

    def _serve(self, frame: bytes) -> None:
        message = codec.decode(frame).unwrap()
        if isinstance(message, messages.AdmissionQuery):
            self._emulator.questions += 1
        self._server.sidecar.handle(message, self._reply)

    def _reply(self, message: messages.Message) -> None:
        frame = codec.encode(message)
        self._emulator.carry(self._server, self._client, frame, self._receive)

    def _receive(self, frame: bytes) -> None:
        if not self._closed:
            self._on_frame(frame)


class Node:
    """One node with its upstream: ingress and sidecar."""

    def __init__(
        self, emulator: Emulator, index: int, generator: random.Random
    ) -> None:
        self._emulator = emulator
        self.member = _member(emulator, index)
        self.metrics = metrics.Metrics()
        self._log = events.EventLog(self.member.node_id, self.metrics)
        self.upstream = EmulatedUpstream(
            emulator.fleet, generator, emulator.loop
        )
        self.sidecar = self._create_sidecar()
        self.routes = table.RoutingTable(
            table.Locality(
                self.member.node_id, self.member.failure_domain, 'r'
            )
        )
        self.pool = pool.PeerPool(
            self.member.node_id,
            pool.LinkFactory(
                self, messages.Hello(self.member.node_id, index + 1)
            ),
            self.sidecar,
            self.routes,
            emulator.loop.now_ms,
            self._log,
            self.metrics,
        )
        self.dispatcher = self._create_dispatcher(generator)

    def _create_sidecar(self) -> sidecar.Sidecar:
        fleet = self._emulator.fleet
        created = sidecar.Sidecar(
            1,
            sidecar.Limits(usable_ratio=fleet.usable_ratio),
            self._log,
            self.metrics,
            self._emulator.loop.now_ms,
        )
        created.attach(
            upstreams.Announcement(self.member.service, 1, slots=fleet.slots),
            self.upstream,
        )
        self.upstream.on_report = created.on_report
        return created

    def _create_dispatcher(
        self, generator: random.Random
    ) -> dispatcher.Dispatcher:
        clock = self._emulator.loop.now_ms
        cost_parameters = scoring.CostParameters(
            other_domain_ms=self._emulator.fleet.other_domain_ms
        )
        return dispatcher.Dispatcher(
            selection.Selector(
                self.routes,
                policies.create_all(generator, MAX_NODES, cost_parameters),
            ),
            self.pool,
            generator,
            dispatcher.Clocks(clock, clock),
            self._log,
            self.metrics,
            admission_client.AdmissionClient(
                self.pool, cost_parameters, clock
            ),
        )

    def open(
        self,
        address: str,
        on_frame: typing.Callable[[bytes], None],
        on_closed: typing.Callable[[], None],
    ) -> _Wire:
        """Open a connection, as a transport does."""
        server = self._emulator.nodes[int(address[1:])]
        return _Wire(self._emulator, (self, server), on_frame)


def _member(emulator: Emulator, index: int) -> upstreams.Member:
    return upstreams.Member(
        node_id=f'n{index}',
        address=f'n{index}',
        failure_domain=f'd{index % emulator.fleet.domains}',
        region='r',
        incarnation=1,
        version=1,
        phase=upstreams.Phase.READY,
        service=emulator.SERVICE,
        slots=emulator.fleet.slots,
    )


class Emulator:
    """All nodes and the links between them.

    Parameters
    ----------
    fleet : Fleet
        What is emulated.
    seed : int
        Seed of noise, work and choices.
    """

    SERVICE = 's'

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.loop = virtual.VirtualLoop()
        self.bytes_between_domains = 0
        # Questions that sidecars were asked over a connection.
        self.questions = 0
        generator = random.Random(seed)
        self.nodes = [
            Node(self, index, random.Random(generator.random()))
            for index in range(fleet.nodes)
        ]
        for node in self.nodes:
            for other in self.nodes:
                node.routes.update(other.member)
            node.upstream.others = [
                other.upstream for other in self.nodes if other is not node
            ]

    def carry(
        self,
        sender: Node,
        receiver: Node,
        frame: bytes,
        deliver: typing.Callable[[bytes], None],
    ) -> None:
        """Deliver a frame after the way between two nodes."""
        way_ms = self.fleet.within_ms
        ends = (sender.member.failure_domain, receiver.member.failure_domain)
        if ends[0] != ends[1]:
            way_ms = self.fleet.between_ms
            self.bytes_between_domains += len(frame)
        self.loop.call_later(way_ms / 1_000, deliver, frame)

    async def tick(self) -> None:
        """Let all nodes do what they do now and then."""
        while True:
            await asyncio.sleep(TICK_S)
            now_ms = self.loop.now_ms()
            for node in self.nodes:
                node.pool.tick(now_ms)
                node.sidecar.expire(now_ms)

    def close(self) -> None:
        """End all tasks."""
        for node in self.nodes:
            node.pool.close()
        leftover = asyncio.all_tasks(self.loop)
        for task in leftover:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*leftover, return_exceptions=True)
        )
        self.loop.close()
