"""Stand-in network: delays and loses what passes between domains."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

from aiohttp import web
import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A listening address and the peer socket behind it."""

    listen_host: str
    port: int
    target_host: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Behaviour of the network.

    Parameters
    ----------
    control_port : int
        Loopback port of the control interface.
    routes : tuple of Route
        Peer sockets that are reached through the network.
    domains : dict
        Failure domain by the source address of a connection.
    one_way_ms, jitter_ms : float
        Delay between domains and its variation.
    seed : int
        Seed of jitter and loss.
    """

    control_port: int
    routes: tuple[Route, ...]
    domains: dict[str, str]
    one_way_ms: float
    jitter_ms: float
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults of all paths to and from one domain.

    Parameters
    ----------
    failure_domain : str
        The domain; empty for none.
    delay_factor : float
        Multiple of the delay.
    loss_ratio : float
        Share of segments that are sent again after `RETRANSMIT_MS`.
    silent : bool
        Open connections deliver nothing any more.
    cut : bool
        New connections are not accepted either.
    """

    failure_domain: str = ''
    delay_factor: float = 1.0
    loss_ratio: float = 0.0
    silent: bool = False
    cut: bool = False


RETRANSMIT_MS = 200.0
NO_FAULTS = Faults()


class StandInNetwork:
    """Passes TCP connections on with the delay between two domains."""

    def __init__(self, options: Options) -> None:
        self._options = options
        self._generator = random.Random(options.seed)
        self._faults = NO_FAULTS
        self._servers: list[asyncio.Server] = []
        self._pipes: set[_Pipe] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        control = web.Server(self._control, access_log=None)
        self._runner = web.ServerRunner(control, shutdown_timeout=0.1)

    async def start(self) -> None:
        """Listen on all routes."""
        loop = asyncio.get_running_loop()
        for route in self._options.routes:
            server = await loop.create_server(
                lambda route=route: _Inbound(self, route),
                route.listen_host,
                route.port,
            )
            self._servers.append(server)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, '127.0.0.1', self._options.control_port
        )
        await site.start()

    async def stop(self) -> None:
        """Close all connections."""
        for server in self._servers:
            server.close()
        await self._runner.cleanup()

    def connect(self, inbound: _Inbound, source: str) -> None:
        """Open the other half of a connection."""
        route = inbound.route
        domain = self._options.domains.get(source, '')
        pipe = _Pipe(self, {domain, route.failure_domain})
        if self._is_cut(pipe):
            inbound.transport.abort()
            return
        self._pipes.add(pipe)
        task = asyncio.create_task(self._open(inbound, pipe, source))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def delay_s(self, pipe: _Pipe) -> float:
        """Return the delay of one segment in seconds."""
        if len(pipe.domains) < 2:
            return 0.0
        options = self._options
        delay_ms = options.one_way_ms
        delay_ms += self._generator.random() * options.jitter_ms
        if self._affects(pipe):
            delay_ms *= self._faults.delay_factor
            if self._generator.random() < self._faults.loss_ratio:
                delay_ms += RETRANSMIT_MS
        return delay_ms / 1_000

    def forget(self, pipe: _Pipe) -> None:
        """Forget a closed connection."""
        self._pipes.discard(pipe)

    def _affects(self, pipe: _Pipe) -> bool:
        domain = self._faults.failure_domain
        return domain in pipe.domains and len(pipe.domains) > 1

    def _is_cut(self, pipe: _Pipe) -> bool:
        return self._faults.cut and self._affects(pipe)

    async def _open(self, inbound: _Inbound, pipe: _Pipe, source: str) -> None:
        loop = asyncio.get_running_loop()
        route = inbound.route
        try:
            await loop.create_connection(
                lambda: _Outbound(pipe),
                route.target_host,
                route.port,
                local_addr=(source, 0),
            )
        except OSError:
            inbound.transport.abort()
            return
        pipe.join(inbound)

    async def _control(self, request: web.BaseRequest) -> web.Response:
        self._faults = msgspec.json.decode(await request.read(), type=Faults)
        if self._faults.silent:
            for pipe in self._pipes:
                pipe.silent = pipe.silent or self._affects(pipe)
        return web.json_response({})


class _Pipe:
    """One connection: two directions with ordered, delayed delivery."""

    def __init__(self, network: StandInNetwork, domains: set[str]) -> None:
        self.network = network
        self.domains = domains - {''}
        self.silent = False
        self.outbound: asyncio.Transport | None = None
        self.inbound: _Inbound | None = None
        self._due_s = {'in': 0.0, 'out': 0.0}

    def join(self, inbound: _Inbound) -> None:
        """Connect both halves and pass on what has arrived."""
        self.inbound = inbound
        inbound.pipe = self
        for data in inbound.early:
            self.forward('out', data)
        inbound.early.clear()

    def forward(self, direction: str, data: bytes) -> None:
        """Deliver data after the delay, in order."""
        if self.silent:
            return
        loop = asyncio.get_running_loop()
        due_s = loop.time() + self.network.delay_s(self)
        due_s = max(due_s, self._due_s[direction])
        self._due_s[direction] = due_s
        loop.call_at(due_s, self._deliver, direction, data)

    def _deliver(self, direction: str, data: bytes) -> None:
        transport = self.outbound
        if direction == 'in':
            transport = self.inbound.transport if self.inbound else None
        if transport is None or self.silent or transport.is_closing():
            return
        transport.write(data)

    def close(self) -> None:
        """Close both halves."""
        self.network.forget(self)
        if self.silent:
            return
        if self.outbound is not None:
            self.outbound.close()
        if self.inbound is not None:
            self.inbound.transport.close()


class _Inbound(asyncio.Protocol):
    def __init__(self, network: StandInNetwork, route: Route) -> None:
        self.network = network
        self.route = route
        self.pipe: _Pipe | None = None
        self.early: list[bytes] = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: typing.Any) -> None:
        self.transport = transport
        source = transport.get_extra_info('peername')[0]
        self.network.connect(self, source)

    def data_received(self, data: bytes) -> None:
        if self.pipe is None:
            self.early.append(data)
        else:
            self.pipe.forward('out', data)

    def connection_lost(self, error: Exception | None) -> None:
        if self.pipe is not None:
            self.pipe.close()


class _Outbound(asyncio.Protocol):
    def __init__(self, pipe: _Pipe) -> None:
        self._pipe = pipe

    def connection_made(self, transport: typing.Any) -> None:
        self._pipe.outbound = transport

    def data_received(self, data: bytes) -> None:
        self._pipe.forward('in', data)

    def connection_lost(self, error: Exception | None) -> None:
        self._pipe.close()
