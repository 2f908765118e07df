"""Simulates the network between failure domains by proxying TCP."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

from aiohttp import web
import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Listening address of the network, and the peer socket behind it.

    The target listens on the same port number.
    """

    listen_host: str
    port: int
    target_host: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of the stand-in network.

    Parameters
    ----------
    control_port : int
        Loopback port of the HTTP server that sets the faults.
    routes : tuple of Route
        Peer sockets that nodes reach through the network.
    domains : dict
        Failure domain by the source address of a connection.
    one_way_ms, jitter_ms : float
        One-way delay between failure domains, and the maximum of
        the random delay added to it.
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
    """Faults on all paths between one failure domain and the others.

    Parameters
    ----------
    failure_domain : str
        Failure domain that has the faults; empty for none.
    hosts : tuple of str
        Addresses of hosts that have them on all paths.
    delay_factor : float
        Factor on the delay.
    loss_ratio : float
        Share of segments that are lost once and retransmitted after
        `RETRANSMIT_MS`.
    silent : bool
        Connections that are open when the fault begins drop all data
        from then on, without closing.
    cut : bool
        Abort new connections.
    stalled : bool
        Connections that are open when the fault begins hold all data, and
        deliver it when the fault ends.
    """

    failure_domain: str = ''
    hosts: tuple[str, ...] = ()
    delay_factor: float = 1.0
    loss_ratio: float = 0.0
    silent: bool = False
    cut: bool = False
    stalled: bool = False


RETRANSMIT_MS = 200.0
NO_FAULTS = Faults()


class StandInNetwork:
    """Proxies TCP connections and delays data between failure domains."""

    def __init__(self, options: Options) -> None:
        self._options = options
        self._generator = random.Random(options.seed)
        self._faults = NO_FAULTS
        self._servers: list[asyncio.Server] = []
        self._connections: set[_ProxiedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        control_server = web.Server(self._handle_control, access_log=None)
        self._runner = web.ServerRunner(control_server, shutdown_timeout=0.1)

    async def start(self) -> None:
        """Listen on all routes and on the control port."""
        loop = asyncio.get_running_loop()
        for route in self._options.routes:
            server = await loop.create_server(
                lambda route=route: _InboundProtocol(self, route),
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
        """Stop listening."""
        for server in self._servers:
            server.close()
        await self._runner.cleanup()

    def open_outbound(
        self, inbound: _InboundProtocol, source_host: str
    ) -> None:
        """Open the connection to the target of an inbound connection."""
        route = inbound.route
        domain = self._options.domains.get(source_host, '')
        connection = _ProxiedConnection(
            self,
            {domain, route.failure_domain},
            {source_host, route.target_host},
        )
        if self._is_cut(connection):
            inbound.transport.abort()
            return
        self._connections.add(connection)
        task = asyncio.create_task(
            self._connect_to_target(inbound, connection, source_host)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def delay_s(self, connection: _ProxiedConnection) -> float:
        """Return the delay of one segment in seconds."""
        if len(connection.domains) < 2:
            return 0.0
        options = self._options
        delay_ms = options.one_way_ms
        delay_ms += self._generator.random() * options.jitter_ms
        if self._is_affected(connection):
            delay_ms *= self._faults.delay_factor
            if self._generator.random() < self._faults.loss_ratio:
                delay_ms += RETRANSMIT_MS
        return delay_ms / 1_000

    def remove(self, connection: _ProxiedConnection) -> None:
        """Stop tracking a closed connection."""
        self._connections.discard(connection)

    def _is_affected(self, connection: _ProxiedConnection) -> bool:
        if not connection.hosts.isdisjoint(self._faults.hosts):
            return True
        domain = self._faults.failure_domain
        return domain in connection.domains and len(connection.domains) > 1

    def _is_cut(self, connection: _ProxiedConnection) -> bool:
        return self._faults.cut and self._is_affected(connection)

    async def _connect_to_target(
        self,
        inbound: _InboundProtocol,
        connection: _ProxiedConnection,
        source_host: str,
    ) -> None:
        loop = asyncio.get_running_loop()
        route = inbound.route
        try:
            await loop.create_connection(
                lambda: _OutboundProtocol(connection),
                route.target_host,
                route.port,
                local_addr=(source_host, 0),
            )
        except OSError:
            inbound.transport.abort()
            return
        connection.attach_inbound(inbound)

    async def _handle_control(self, request: web.BaseRequest) -> web.Response:
        self._faults = msgspec.json.decode(await request.read(), type=Faults)
        for connection in list(self._connections):
            affected = self._is_affected(connection)
            if affected and self._faults.silent:
                connection.blackholed = True
            if affected and self._faults.stalled:
                connection.hold()
            else:
                connection.release()
        return web.json_response({})


class _ProxiedConnection:
    """A proxied connection that delays data and keeps its order."""

    def __init__(
        self, network: StandInNetwork, domains: set[str], hosts: set[str]
    ) -> None:
        self.network = network
        self.hosts = hosts
        self.domains = domains - {''}
        self.blackholed = False
        self.outbound: asyncio.Transport | None = None
        self.inbound: _InboundProtocol | None = None
        self._held: list[tuple[str, bytes]] | None = None
        self._closing = False
        self._last_due_s = {'in': 0.0, 'out': 0.0}

    def attach_inbound(self, inbound: _InboundProtocol) -> None:
        """Attach the inbound half and forward the data that it buffered."""
        self.inbound = inbound
        inbound.connection = self
        for data in inbound.buffered:
            self.forward('out', data)
        inbound.buffered.clear()

    def forward(self, direction: str, data: bytes) -> None:
        """Schedule data for delivery after the delay, in order."""
        if self.blackholed:
            return
        if self._held is not None:
            self._held.append((direction, data))
            return
        loop = asyncio.get_running_loop()
        due_s = loop.time() + self.network.delay_s(self)
        due_s = max(due_s, self._last_due_s[direction])
        self._last_due_s[direction] = due_s
        loop.call_at(due_s, self._deliver, direction, data)

    def _deliver(self, direction: str, data: bytes) -> None:
        transport = self.outbound
        if direction == 'in':
            transport = self.inbound.transport if self.inbound else None
        if transport is None or self.blackholed or transport.is_closing():
            return
        transport.write(data)

    def hold(self) -> None:
        """Hold all data, and the end of the connection, until `release`."""
        if self._held is None:
            self._held = []

    def release(self) -> None:
        """Deliver what has been held."""
        held, self._held = self._held, None
        for direction, data in held or ():
            self.forward(direction, data)
        if self._closing:
            last_due_s = max(self._last_due_s.values())
            asyncio.get_running_loop().call_at(last_due_s, self.close)

    def close(self) -> None:
        """Close both halves, unless the connection drops all data.

        A network that drops all data delivers no FIN either.
        """
        if self._held is not None:
            self._closing = True
            return
        self.network.remove(self)
        if self.blackholed:
            return
        if self.outbound is not None:
            self.outbound.close()
        if self.inbound is not None:
            self.inbound.transport.close()


class _InboundProtocol(asyncio.Protocol):
    def __init__(self, network: StandInNetwork, route: Route) -> None:
        self.network = network
        self.route = route
        self.connection: _ProxiedConnection | None = None
        self.buffered: list[bytes] = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: typing.Any) -> None:
        self.transport = transport
        source_host = transport.get_extra_info('peername')[0]
        self.network.open_outbound(self, source_host)

    def data_received(self, data: bytes) -> None:
        if self.connection is None:
            self.buffered.append(data)
        else:
            self.connection.forward('out', data)

    def connection_lost(self, error: Exception | None) -> None:
        if self.connection is not None:
            self.connection.close()


class _OutboundProtocol(asyncio.Protocol):
    def __init__(self, connection: _ProxiedConnection) -> None:
        self._connection = connection

    def connection_made(self, transport: typing.Any) -> None:
        self._connection.outbound = transport

    def data_received(self, data: bytes) -> None:
        self._connection.forward('in', data)

    def connection_lost(self, error: Exception | None) -> None:
        self._connection.close()
