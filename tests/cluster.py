"""In-memory nodes, connections and upstreams for deterministic tests."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import typing

from bench import virtual_time
from jasminebeam.configuration import evacuations
from jasminebeam.ingress import admission_client
from jasminebeam.ingress import dispatcher
from jasminebeam.model import evacuations as evacuations_model
from jasminebeam.model import requests
from jasminebeam.model import routes as routes_model
from jasminebeam.model import services
from jasminebeam.model import upstreams
from jasminebeam.peering import codec
from jasminebeam.peering import messages
from jasminebeam.peering import pool
from jasminebeam.routing import evacuation
from jasminebeam.routing import policies
from jasminebeam.routing import selection
from jasminebeam.routing import table
from jasminebeam.sidecar import sidecar
from jasminebeam.telemetry import events
from jasminebeam.telemetry import metrics
from jasminebeam import verdict

ONE_WAY_DELAY_S = 0.001
TICK_INTERVAL_S = 0.1


class FakeUpstream:
    """Upstream that counts its runs and whose answers the test controls."""

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.service_s = 0.005
        self.behaviour = 'answer'
        self.blocked: asyncio.Event | None = None
        self.cancelled = 0
        # What the upstream states about itself in its answers.
        self.notice = upstreams.NO_NOTICE
        self.on_notice: typing.Callable[
            [upstreams.NoticeSource, upstreams.Notice], None
        ]
        self.arrivals_ms: list[float] = []
        # Virtual time until which the upstream is cold, and what arrives
        # until then.
        self.cold_until_ms = 0.0
        self.cold_arrivals_ms: list[float] = []
        # Time that a health check takes; None without health responses.
        self.check_s: float | None = None
        self.checks_ms: list[float] = []

    async def run(
        self, call: requests.Call, timeout_ms: float
    ) -> verdict.Verdict:
        """Run a request according to the configured behaviour."""
        if self.behaviour == 'refuse':
            return verdict.not_run(verdict.Reason.CONNECT_FAILED)
        now_ms = 1e3 * asyncio.get_running_loop().time()
        self.arrivals_ms.append(now_ms)
        if now_ms < self.cold_until_ms:
            self.cold_arrivals_ms.append(now_ms)
        if self.behaviour == 'shed':
            self.on_notice(upstreams.NoticeSource.REFUSAL, self.notice)
            return verdict.not_run(verdict.Reason.SHED)
        self.runs[call.request_id] += 1
        try:
            if self.blocked is not None:
                await self.blocked.wait()
            await asyncio.sleep(self.service_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if self.behaviour == 'close':
            return verdict.may_have_run(verdict.Reason.UPSTREAM_DISCONNECTED)
        self.on_notice(upstreams.NoticeSource.ANSWER, self.notice)
        status = 500 if self.behaviour == 'fail' else 200
        answer = requests.Answer(status, (), call.request_id.encode())
        return verdict.answered(answer)

    async def check_health(self) -> upstreams.Health | None:
        """Return whether the upstream is cold, or no health information."""
        if self.check_s is None:
            return None
        now_ms = 1e3 * asyncio.get_running_loop().time()
        self.checks_ms.append(now_ms)
        await asyncio.sleep(self.check_s / 2)
        now_ms = 1e3 * asyncio.get_running_loop().time()
        cold_ms = max(0.0, self.cold_until_ms - now_ms)
        await asyncio.sleep(self.check_s / 2)
        return upstreams.Health(True, cold_ms=cold_ms)

    async def close(self) -> None:
        """Do nothing."""


@dataclasses.dataclass
class Faults:
    """Faults of the connections to one sidecar.

    Parameters
    ----------
    refuse : bool
        New connections are refused.
    hold_requests, hold_answers : bool
        Requests or answers are held until the test releases them.
    duplicate : bool
        Each frame to the sidecar is delivered twice.
    """

    refuse: bool = False
    hold_requests: bool = False
    hold_answers: bool = False
    duplicate: bool = False


class FakeConnection:
    """Connection with a one-way delay of one millisecond."""

    def __init__(
        self,
        server: Server,
        on_frame: typing.Callable[[bytes], None],
        on_closed: typing.Callable[[], None],
    ) -> None:
        self._server = server
        self._on_frame = on_frame
        self._on_closed = on_closed
        self.silent = False
        self.closed = False

    def send(self, frame: bytes) -> bool:
        """Send a frame to the sidecar."""
        if self.closed:
            return False
        if not self.silent:
            self._server.forward_to_sidecar(self, frame)
        return True

    def close(self) -> None:
        """Close the connection from the ingress side."""
        self.closed = True

    def cut(self) -> None:
        """Close the connection from the sidecar's side."""
        if not self.closed:
            self.closed = True
            self._on_closed()

    def deliver(self, frame: bytes) -> None:
        """Deliver a frame from the sidecar."""
        if not self.closed and not self.silent:
            self._on_frame(frame)


class Server:
    """One sidecar and the connections to it."""

    def __init__(
        self,
        cluster: SimulatedCluster,
        member: upstreams.Member,
        cold_per_s: float,
    ) -> None:
        self.cluster = cluster
        self._cold_per_s = cold_per_s
        self.member = member
        self.upstream = FakeUpstream()
        self.upstream.on_notice = self._forward_notice
        if cold_per_s:
            self.upstream.check_s = 0.002
        self.faults = Faults()
        self.connections: list[FakeConnection] = []
        self.held_requests: list[tuple[FakeConnection, bytes]] = []
        self.held_answers: list[tuple[FakeConnection, bytes]] = []
        self.sidecar = self._create_sidecar(boot_id=1)

    def _forward_notice(
        self, source: upstreams.NoticeSource, notice: upstreams.Notice
    ) -> None:
        announcement = self.sidecar.announcement
        self.sidecar.on_notice(announcement, source, notice)

    def restart(self) -> None:
        """Restart the process: new boot id, all connections closed."""
        self.sidecar = self._create_sidecar(self.sidecar.boot_id + 1)
        self.cut()

    def cut(self) -> None:
        """Close all connections from the sidecar's side."""
        for connection in self.connections:
            connection.cut()
        self.connections.clear()

    def silence(self) -> None:
        """Drop all further frames on the open connections."""
        for connection in self.connections:
            connection.silent = True

    def forward_to_sidecar(
        self, connection: FakeConnection, frame: bytes
    ) -> None:
        """Forward a frame to the sidecar, subject to the faults."""
        is_request = isinstance(codec.decode(frame).unwrap(), messages.Request)
        if is_request and self.faults.hold_requests:
            self.held_requests.append((connection, frame))
            return
        for _ in range(2 if self.faults.duplicate else 1):
            self._call_after_delay(self._receive, connection, frame)

    def release_requests(self) -> None:
        """Deliver the held requests."""
        held, self.held_requests = self.held_requests, []
        for connection, frame in held:
            self._receive(connection, frame)

    def release_answers(self) -> None:
        """Deliver the held answers in reverse order."""
        held, self.held_answers = self.held_answers, []
        for connection, frame in reversed(held):
            connection.deliver(frame)

    def _create_sidecar(self, boot_id: int) -> sidecar.Sidecar:
        created = sidecar.Sidecar(
            boot_id,
            sidecar.Limits(),
            self.cluster.log,
            self.cluster.metrics,
            self.cluster.loop.now_ms,
        )
        announcement = upstreams.Announcement(
            self.member.service, 1, slots=self.member.slots
        )
        if self._cold_per_s:
            announcement = dataclasses.replace(announcement, load_path='/load')
            entry = routes_model.ColdStart('fees', 3_000, self._cold_per_s)
            created.set_cold_starts((entry,))
            # Health checks need a loop that runs.
            self.cluster.loop.call_soon(
                created.attach, announcement, self.upstream
            )
            return created
        created.attach(announcement, self.upstream)
        created.adopt_pending_notice()
        return created

    def _receive(self, connection: FakeConnection, frame: bytes) -> None:
        message = codec.decode(frame).unwrap()

        def send(reply: messages.Message) -> None:
            encoded = codec.encode(reply)
            is_answer = isinstance(reply, messages.Reply | messages.Failure)
            if is_answer and self.faults.hold_answers:
                self.held_answers.append((connection, encoded))
                return
            self._call_after_delay(connection.deliver, encoded)

        self.sidecar.handle(message, send)

    def _call_after_delay(
        self, function: typing.Any, *arguments: typing.Any
    ) -> None:
        self.cluster.loop.call_later(ONE_WAY_DELAY_S, function, *arguments)


class SimulatedCluster:
    """Simulated cluster: one ingress node and sidecars in virtual time."""

    def __init__(self, seed: int = 1) -> None:
        self.loop = virtual_time.VirtualTimeLoop()
        self.metrics = metrics.Metrics()
        self.log = events.EventLog('test', self.metrics)
        self.routes = table.RoutingTable(table.Locality('ingress', 'a', 'r'))
        self.evacuations = evacuations.EvacuationDirectory()
        self.servers: dict[str, Server] = {}
        generator = random.Random(seed)
        self._factory = pool.LinkFactory(self, messages.Hello('ingress', 9))
        own_sidecar = sidecar.Sidecar(
            0, sidecar.Limits(), self.log, self.metrics, self.loop.now_ms
        )
        self.pool = pool.PeerPool(
            'ingress',
            self._factory,
            own_sidecar,
            self.routes,
            self.loop.now_ms,
            self.log,
            self.metrics,
        )
        self.dispatcher = dispatcher.Dispatcher(
            selection.Selector(
                self.routes,
                policies.create_all(generator, 4),
                evacuation.EvacuationFilter(self.evacuations),
            ),
            self.pool,
            generator,
            dispatcher.Clocks(self.loop.now_ms, self.loop.now_ms),
            self.log,
            self.metrics,
            admission_client.AdmissionClient(
                self.pool, policies.DEFAULT_COST_PARAMETERS, self.loop.now_ms
            ),
        )
        self.service = services.Service(
            'fees',
            hosts=('fees.example',),
            idempotent=(services.RequestRule('GET', '/*'),),
        )
        self._call_count = 0
        self._tick_task = self.loop.create_task(self._tick())

    def add(
        self,
        node_id: str,
        slots: int = 2,
        domain: str = 'a',
        region: str = 'r',
        cold_per_s: float = 0.0,
    ) -> Server:
        """Add a node with an upstream of the service ``fees``.

        Parameters
        ----------
        node_id : str
            Name of the node.
        slots : int
            Slots of the upstream.
        domain, region : str
            Location of the node.
        cold_per_s : float
            Cold-start rate of the service; 0 if it has none.
        """
        member = upstreams.Member(
            node_id=node_id,
            address=node_id,
            failure_domain=domain,
            region=region,
            incarnation=1,
            version=1,
            phase=upstreams.Phase.READY,
            service='fees',
            slots=slots,
        )
        server = Server(self, member, cold_per_s)
        self.servers[node_id] = server
        self.routes.update(member)
        return server

    def evacuate(self, *domains: str) -> None:
        """Evacuate these failure domains, and no other ones."""
        revision = self.evacuations.revision + 1
        self.evacuations.apply(
            evacuations_model.Evacuations(revision, domains),
            self.loop.now_ms(),
        )
        self.routes.set_evacuated_domains(frozenset(domains))
        for server in self.servers.values():
            domain = server.member.failure_domain
            server.sidecar.set_evacuated(domain in domains)

    def open(
        self,
        address: str,
        on_frame: typing.Callable[[bytes], None],
        on_closed: typing.Callable[[], None],
    ) -> FakeConnection:
        """Open a connection, as the network transport does."""
        server = self.servers[address]
        connection = FakeConnection(server, on_frame, on_closed)
        if server.faults.refuse:
            self.loop.call_later(ONE_WAY_DELAY_S, connection.cut)
        else:
            server.connections.append(connection)
        return connection

    def call(
        self,
        method: str = 'POST',
        timeout_ms: float = 2_000.0,
        key: str = '',
        request_id: str = '',
        body: bytes = b'',
    ) -> requests.Call:
        """Create a call of the service ``fees``."""
        self._call_count += 1
        return requests.Call(
            request_id=request_id or f'call-{self._call_count}',
            service='fees',
            method=method,
            target='/fee',
            headers=(),
            body=body,
            idempotent=self.service.is_idempotent(method, '/fee'),
            deadline_ms=self.loop.now_ms() + timeout_ms,
            key=key,
        )

    def send(self, call: requests.Call) -> asyncio.Task[verdict.Verdict]:
        """Start a task that dispatches a call."""
        return self.loop.create_task(
            self.dispatcher.dispatch(call, self.service)
        )

    def result(self, task: asyncio.Task[verdict.Verdict]) -> verdict.Verdict:
        """Advance virtual time until a call has its verdict."""
        return self.loop.run_until_complete(task)

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def runs(self, request_id: str) -> int:
        """Return how often a request ran, summed over all upstreams."""
        return sum(
            server.upstream.runs[request_id]
            for server in self.servers.values()
        )

    def count(self, name: str, **labels: str) -> float:
        """Return the value of a counter."""
        value = self.metrics.registry.get_sample_value(
            f'jasminebeam_{name}_total', labels
        )
        return value or 0.0

    def close(self) -> None:
        """Cancel all tasks and close the event loop."""
        self._tick_task.cancel()
        self.pool.close()
        remaining = asyncio.all_tasks(self.loop)
        for task in remaining:
            task.cancel()
        cancelled = asyncio.gather(*remaining, return_exceptions=True)
        self.loop.run_until_complete(cancelled)
        self.loop.close()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now_ms = self.loop.now_ms()
            self.pool.tick(now_ms)
            for server in self.servers.values():
                server.sidecar.expire(now_ms)
