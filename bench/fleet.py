"""Starts the nodes and stand-ins of a site as processes on loopback."""

from __future__ import annotations

import asyncio
import collections
import configparser
import dataclasses
import pathlib
import signal
import sys
import typing

import aiohttp
import msgspec

from bench import http_sessions
from bench import processes
from bench import sites
from bench.standins import network
from bench.standins import upstream
from jasminebeam.model import services as model_services
from jasminebeam.operators import channel as channel_module
from jasminebeam.operators import convert
from jasminebeam.operators.generated import operators_grpc
from jasminebeam.operators.generated import operators_pb2

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One host: a node, its upstream, and their ports."""

    index: int
    node_id: str
    service: str
    address: str
    failure_domain: str
    caller_port: int
    peer_port: int
    announce_port: int
    operator_port: int
    upstream_port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of a fleet.

    Parameters
    ----------
    first_port : int
        First port of the range that the fleet uses.
    directory : pathlib.Path
        Directory for settings files and logs.
    with_store : bool
        True to start the stand-in store.
    with_network : bool
        True to connect the nodes through the stand-in network, which
        delays data between failure domains.
    service_ms : float
        Mean service time of all upstreams; 0 for the site's values.
    seed : int
        Seed of the service times and of the network's jitter and loss.
    overrides : dict
        Node settings, by section and key, that override the generated ones.
    """

    first_port: int
    directory: pathlib.Path
    with_store: bool = True
    with_network: bool = False
    service_ms: float = 0.0
    seed: int = 1
    overrides: typing.Mapping[str, typing.Mapping[str, str]] = (
        dataclasses.field(default_factory=dict)
    )


class RunCounter(asyncio.DatagramProtocol):
    """Counts the runs that the stand-in upstreams report."""

    def __init__(self) -> None:
        # Receives the service, the port and the id of each run.
        self.on_run: typing.Callable[[str, int, str], None] | None = None
        self.runs: collections.Counter[str] = collections.Counter()
        self._runs_by_service: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def datagram_received(self, data: bytes, address: object) -> None:
        """Count one run."""
        service, port, request_id = data.decode().split(' ', 2)
        if self.on_run is not None:
            self.on_run(service, int(port), request_id)
        self.runs[request_id] += 1
        self._runs_by_service[service, request_id] += 1

    def runs_at(self, service: str, request_id: str) -> int:
        """Return how often a request ran on the upstreams of a service."""
        return self._runs_by_service[service, request_id]


class Fleet:
    """The processes of one site.

    Parameters
    ----------
    site : Site
        Site whose hosts are started.
    options : Options
        Ports, stand-ins and settings.
    """

    def __init__(self, site: sites.Site, options: Options) -> None:
        self.site = site
        self.options = options
        self.hosts = create_hosts(site, options.first_port)
        self.store_port = options.first_port
        self.run_counter = RunCounter()
        self._run_counter_port = options.first_port + 1
        self._network_control_port = options.first_port + 2
        self._processes = processes.Processes(options.directory)
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Start all processes; wait until each node knows a ready upstream."""
        self.options.directory.mkdir(parents=True, exist_ok=True)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self.run_counter,
            local_addr=('127.0.0.1', self._run_counter_port),
        )
        if self.options.with_store:
            await self._spawn_stand_in('store', 'store', str(self.store_port))
        if self.options.with_network:
            await self._start_network()
        for host in self.hosts:
            await self.start_host(host)
        await asyncio.gather(
            *(self._wait_until_ready(host) for host in self.hosts)
        )

    async def start_host(self, host: Host) -> None:
        """Start the node and the upstream of a host."""
        await self._start_node(host)
        await self._start_upstream(host)

    async def restart_node(self, host: Host) -> None:
        """Start the node of a host again once its process has ended."""
        await self._processes.wait(f'node-{host.node_id}')
        await self._start_node(host)

    def signal_node(self, host: Host, signal_number: signal.Signals) -> None:
        """Send a signal to a host's node, but not to its upstream."""
        self._processes.send_signal(f'node-{host.node_id}', signal_number)

    async def create_services(
        self, service_fields: typing.Mapping[str, typing.Any] | None = None
    ) -> None:
        """Create the site's services and wait until all nodes apply them.

        Parameters
        ----------
        service_fields : mapping, optional
            Fields set on every service.
        """
        host = self.hosts[0]
        channel = channel_module.Channel(host.address, host.operator_port)
        stub = operators_grpc.OperatorsStub(channel)
        try:
            for service in self.site.services:
                definition = model_services.Service(
                    name=service.name,
                    hosts=(f'{service.name}.example',),
                    idempotent=service.idempotent,
                    **(service_fields or {}),
                )
                await stub.CreateService(
                    operators_pb2.CreateServiceRequest(
                        service=convert.service_to_message(definition),
                        change_id=f'create-{service.name}',
                    )
                )
            for service in self.site.services:
                await self.wait_until_in_force(stub, service.name)
        finally:
            channel.close()

    async def wait_until_in_force(
        self, stub: operators_grpc.OperatorsStub, name: str
    ) -> None:
        """Wait until a service's revision is in force on all nodes."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                response = await stub.WhereInForce(
                    operators_pb2.WhereInForceRequest(name=name)
                )
                if response.in_force == len(self.hosts):
                    return
                await asyncio.sleep(0.2)

    async def wait_for_members(self) -> None:
        """Wait until each node lists all upstreams of the fleet as ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for host in self.hosts:
                while await self._count_ready_upstreams(host) < len(
                    self.hosts
                ):
                    await asyncio.sleep(0.2)

    async def set_upstream_faults(
        self, host: Host, faults: upstream.Faults
    ) -> None:
        """Replace the faults that a stand-in upstream simulates."""
        url = f'http://127.0.0.1:{host.upstream_port}/-/faults'
        await post(url, msgspec.json.encode(faults))

    async def set_store_faults(self, faults: typing.Any) -> None:
        """Replace the faults that the stand-in store simulates."""
        url = f'http://127.0.0.1:{self.store_port}/-/faults'
        await post(url, msgspec.json.encode(faults))

    async def set_network_faults(self, faults: network.Faults) -> None:
        """Replace the faults that the stand-in network simulates."""
        url = f'http://127.0.0.1:{self._network_control_port}/'
        await post(url, msgspec.json.encode(faults))

    async def drain(self, host: Host) -> None:
        """Make the node drain its upstream."""
        await post(f'http://127.0.0.1:{host.announce_port}/drain', b'')

    async def announce(self, host: Host) -> None:
        """Make the stand-in upstream announce itself to its node again."""
        await post(f'http://127.0.0.1:{host.upstream_port}/-/announce', b'')

    async def metrics(self, host: Host) -> str:
        """Return a node's metrics in the Prometheus text format."""
        url = f'http://127.0.0.1:{host.announce_port}/metrics'
        async with http_sessions.create() as session:
            async with session.get(url) as response:
                return await response.text()

    async def stop_node(self, host: Host) -> int:
        """Stop a node gracefully with SIGTERM; return its exit status."""
        self.signal_node(host, signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self._processes.wait(f'node-{host.node_id}')

    def signal_host(self, host: Host, signal_number: signal.Signals) -> None:
        """Send a signal to a host's node and upstream."""
        for role in ('node', 'upstream'):
            name = f'{role}-{host.node_id}'
            self._processes.send_signal(name, signal_number)

    def log_path(self, host: Host) -> pathlib.Path:
        """Return the path of a node's log."""
        return self.options.directory / f'node-{host.node_id}.log'

    def process_id(self, host: Host) -> int:
        """Return the process id of a node."""
        return self._processes.process_id(f'node-{host.node_id}')

    async def stop(self) -> None:
        """Kill all processes and close the logs."""
        await self._processes.kill_all()
        self._transport.close()

    async def _start_node(self, host: Host) -> None:
        path = self.options.directory / f'{host.node_id}.ini'
        with path.open('w') as file:
            self._node_settings(host).write(file)
        program = pathlib.Path(sys.executable).parent / 'jasminebeam-node'
        await self._processes.spawn(
            f'node-{host.node_id}', str(program), f'--settings={path}'
        )

    async def _start_upstream(self, host: Host) -> None:
        service = next(
            service
            for service in self.site.services
            if service.name == host.service
        )
        url = f'http://127.0.0.1:{host.announce_port}/announce'
        options = upstream.Options(
            service=host.service,
            port=host.upstream_port,
            slots=self.site.slots,
            announce_url=url,
            service_ms=self.options.service_ms or service.service_ms,
            next_url=f'http://{host.address}:{host.caller_port}/'
            if service.next_service
            else '',
            next_host=f'{service.next_service}.example',
            seed=self.options.seed * 1_000 + host.index,
            witness_port=self._run_counter_port,
        )
        await self._spawn_stand_in(
            f'upstream-{host.node_id}',
            'upstream',
            msgspec.json.encode(options).decode(),
        )

    async def _spawn_stand_in(self, name: str, *arguments: str) -> None:
        await self._processes.spawn(
            name, sys.executable, '-m', 'bench.standins.run', *arguments
        )

    def _node_settings(self, host: Host) -> configparser.ConfigParser:
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(
            {
                'node': {
                    'node_id': host.node_id,
                    'host': host.address,
                    'failure_domain': host.failure_domain,
                    'region': self.site.region,
                },
                'callers': {'port': str(host.caller_port)},
                'peering': {
                    'port': str(host.peer_port),
                    'advertise_address': self._advertised_address(host),
                    'seeds': self._seed_addresses(),
                },
                'upstream': {'announce_port': str(host.announce_port)},
                'operators': {'port': str(host.operator_port)},
                'platform': {},
                'telemetry': {'log_format': 'json'},
            }
        )
        if self.options.with_store:
            endpoint = f'http://127.0.0.1:{self.store_port}'
            parser['platform']['endpoint'] = endpoint
        for section, values in self.options.overrides.items():
            parser[section].update(values)
        return parser

    def _seed_addresses(self) -> str:
        return ' '.join(
            self._advertised_address(host)
            or f'{host.address}:{host.peer_port}'
            for host in self.hosts[:3]
        )

    def _advertised_address(self, host: Host) -> str:
        if not self.options.with_network:
            return ''
        return f'{network_address(host)}:{host.peer_port}'

    async def _start_network(self) -> None:
        options = network_options(
            self.site,
            self.hosts,
            self._network_control_port,
            self.options.seed,
        )
        encoded = msgspec.json.encode(options).decode()
        await self._spawn_stand_in('network', 'relay', encoded)

    async def _wait_until_ready(self, host: Host) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    if await self._count_ready_upstreams(host) >= 1:
                        return
                except (OSError, aiohttp.ClientError):
                    pass
                await asyncio.sleep(0.1)

    async def _count_ready_upstreams(self, host: Host) -> int:
        channel = channel_module.Channel(host.address, host.operator_port)
        stub = operators_grpc.OperatorsStub(channel)
        try:
            response = await stub.ListUpstreams(
                operators_pb2.ListUpstreamsRequest()
            )
        finally:
            channel.close()
        return sum(listed.phase == 'ready' for listed in response.upstreams)


def network_options(
    site: sites.Site,
    hosts: typing.Sequence[Host],
    control_port: int,
    seed: int,
) -> network.Options:
    """Return the options of a network through which hosts reach each other."""
    return network.Options(
        control_port=control_port,
        routes=tuple(
            network.Route(
                network_address(host),
                host.peer_port,
                host.address,
                host.failure_domain,
            )
            for host in hosts
        ),
        domains={host.address: host.failure_domain for host in hosts},
        one_way_ms=site.one_way_ms,
        jitter_ms=0.2 * site.one_way_ms,
        seed=seed,
    )


def network_address(host: Host) -> str:
    """Return the address of a host in the stand-in network."""
    return f'127.0.2.{host.index + 1}'


def create_hosts(site: sites.Site, first_port: int) -> list[Host]:
    """Return the hosts of a site with their ports."""
    names = [
        service.name
        for service in site.services
        for _ in range(service.upstream_count)
    ]
    hosts = []
    for index, name in enumerate(names):
        port = first_port + 10 + index * 10
        domain = site.failure_domains[index % len(site.failure_domains)]
        host = Host(
            index=index,
            node_id=f'{site.name}-{index}',
            service=name,
            address=f'127.0.1.{index + 1}',
            failure_domain=domain,
            caller_port=port,
            peer_port=port + 1,
            announce_port=port + 2,
            operator_port=port + 3,
            upstream_port=port + 4,
        )
        hosts.append(host)
    return hosts


async def post(url: str, body: bytes) -> None:
    """Post to a control address of a stand-in or a node."""
    async with http_sessions.create() as session:
        async with session.post(url, data=body) as response:
            response.raise_for_status()
