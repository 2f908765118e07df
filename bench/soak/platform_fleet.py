"""Fleet of the soak with the protocol of the users' platform."""

from __future__ import annotations

import asyncio
import collections
import itertools
import json
import pathlib
import signal
import sys
import typing

import aiohttp
import msgspec

from bench import fleet
from bench import http_sessions
from bench import processes
from bench import scrape
from bench import sites
from bench.standins import controlled
from bench.standins import network
from bench.standins import platform_store
from bench.standins import store
from bench.standins import upstream
from bench import traffic
from jasminebeam.platform import program
from jasminebeam.platform import wire

TEMPLATE = pathlib.Path(__file__).parents[2] / 'deploy' / 'node.ini'
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 20.0
METRICS_TIMEOUT_S = 1.0
ROUTE_TIMEOUT_MS = 2_000
CALLER_TIME_MS = 3_000
# Host and service of the only route that changes with each version.
CHANGED_HOST = 'changed.example'
CHANGED_SERVICE = 'catalogo'

_NO_ROUTE = 404

_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_MAY_HAVE_RUN_STATUSES = frozenset({502, 504})


class PlatformCallerDialect:
    """Callers on the users' platform."""

    def headers(
        self, stream: traffic.Stream, request_id: str
    ) -> dict[str, str]:
        """Return the host, the request id and the time left."""
        return {
            'Host': f'{stream.service}.example',
            wire.REQUEST_ID: request_id,
            wire.TIME_LEFT: str(CALLER_TIME_MS),
        }

    def outcome(self, response: aiohttp.ClientResponse) -> tuple[str, str]:
        """Return what the status states about the run."""
        if response.headers.get(wire.SIGNATURE):
            return 'answered', ''
        if response.status in _NOT_RUN_STATUSES:
            return 'not-run', ''
        if response.status in _MAY_HAVE_RUN_STATUSES:
            return 'may-have-run', ''
        return 'no_verdict', str(response.status)


class PlatformFleet:
    """Nodes with the adapter, their upstreams, and the platform's store.

    Parameters
    ----------
    site : Site
        Site whose hosts are started.
    options : Options
        Ports, directory and seed.
    """

    caller_dialect: traffic.CallerDialect = PlatformCallerDialect()
    # Time for which upstreams are cold after a restart.
    cold_start_s = 0.0

    def __init__(self, site: sites.Site, options: fleet.Options) -> None:
        self.site = site
        self.options = options
        self.hosts = fleet.create_hosts(site, options.first_port)
        self.run_counter = fleet.RunCounter()
        self._store_port = options.first_port
        self._run_counter_port = options.first_port + 1
        self._network_control_port = options.first_port + 2
        self._version = 0
        # Two writes at once could arrive in the other order.
        self._write_lock = asyncio.Lock()
        self._request_numbers = itertools.count(1)
        self._processes = processes.Processes(options.directory)
        self._transport: asyncio.DatagramTransport | None = None

    async def prepare(self) -> None:
        """Start all processes and put the routes in force."""
        self.options.directory.mkdir(parents=True, exist_ok=True)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self.run_counter,
            local_addr=('127.0.0.1', self._run_counter_port),
        )
        await self._spawn_stand_in(
            'store', 'platform-store', str(self._store_port)
        )
        if self.options.with_network:
            await self._start_network()
        async with asyncio.timeout(READY_TIMEOUT_S):
            await self._write_first_configuration()
            for host in self.hosts:
                await self._start_host(host)
        await self.wait_for_members()

    async def wait_for_members(self) -> None:
        """Wait until each node knows all others and a configuration."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for host in self.hosts:
                while not await self._knows_all_members(host):
                    await asyncio.sleep(0.2)

    async def stop(self) -> None:
        """Kill all processes."""
        await self._processes.kill_all()
        if self._transport is not None:
            self._transport.close()

    async def stop_node(self, host: fleet.Host) -> int:
        """Stop a node gracefully with SIGTERM; return its exit status."""
        self.signal_node(host, signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self._processes.wait(_node_name(host))

    def signal_node(
        self, host: fleet.Host, signal_number: signal.Signals
    ) -> None:
        """Send a signal to a host's node, but not to its upstream."""
        self._processes.send_signal(_node_name(host), signal_number)

    async def restart_node(self, host: fleet.Host) -> None:
        """Start the node of a host again once its process has ended."""
        await self._processes.wait(_node_name(host))
        await self._start_node(host)

    def log_path(self, host: fleet.Host) -> pathlib.Path:
        """Return the path of a node's log."""
        return self.options.directory / f'{_node_name(host)}.log'

    def process_id(self, host: fleet.Host) -> int:
        """Return the process id of a node."""
        return self._processes.process_id(_node_name(host))

    async def drain(self, host: fleet.Host) -> None:
        """Let an upstream announce a drain; raise if nobody acknowledges."""
        await fleet.post(control_url(host, 'drain'), b'')

    async def return_upstream(self, host: fleet.Host) -> None:
        """Start a drained or leaving upstream again."""
        await fleet.post(control_url(host, 'restart'), b'')

    async def on_node_restarted(self, host: fleet.Host) -> None:
        """Do nothing: a restarted node finds its upstream by itself."""

    async def set_upstream_faults(
        self, host: fleet.Host, faults: upstream.Faults
    ) -> None:
        """Replace the faults of an upstream."""
        body = msgspec.json.encode(faults)
        await fleet.post(control_url(host, 'faults'), body)

    async def set_store_faults(self, faults: store.Faults) -> None:
        """Replace the faults of the store; one that is down is silent."""
        converted = platform_store.Faults(
            silent=faults.down,
            delay_ms=faults.delay_ms,
            lose_write_answers=faults.lose_write_answers,
        )
        url = f'{self.store_url}/-/faults'
        await fleet.post(url, msgspec.json.encode(converted))

    async def set_network_faults(self, faults: network.Faults) -> None:
        """Replace the faults of the network."""
        url = f'http://127.0.0.1:{self._network_control_port}/'
        await fleet.post(url, msgspec.json.encode(faults))

    async def change_configuration(self, host: fleet.Host, name: str) -> None:
        """Write the next version, as the operator does."""
        async with self._write_lock:
            self._version += 1
            await fleet.post(
                f'{self.store_url}/-/put?key=op/config',
                json.dumps(self.document()).encode(),
            )

    async def revision(self, host: fleet.Host) -> int | None:
        """Return the version in force at a node; None if it is silent."""
        text = await self._metrics(host)
        if text is None:
            return None
        return int(scrape.total([text], 'jasminebeam_config_revision'))

    async def has_newest_configuration(self, host: fleet.Host) -> bool | None:
        """Request the route that the newest version has added."""
        url = f'http://{host.address}:{host.caller_port}'
        headers = {
            'Host': CHANGED_HOST,
            wire.REQUEST_ID: f'configuration-{next(self._request_numbers)}',
            wire.TIME_LEFT: str(CALLER_TIME_MS),
        }
        try:
            async with asyncio.timeout(CALLER_TIME_MS / 1_000):
                async with http_sessions.create() as session:
                    async with session.get(
                        f'{url}{self._added_path()}', headers=headers
                    ) as response:
                        return response.status != _NO_ROUTE
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    @property
    def version(self) -> int:
        """Version of the newest configuration."""
        return self._version

    async def store_calls(self) -> collections.Counter[str]:
        """Return the number of calls that the store has had, by kind."""
        url = f'{self.store_url}/-/calls'
        async with http_sessions.create() as session:
            async with session.get(url) as response:
                return collections.Counter(await response.json())

    @property
    def store_url(self) -> str:
        """Address of the control requests of the store."""
        return f'http://127.0.0.1:{self._store_port}'

    def _added_path(self) -> str:
        return f'/{self._version}/'

    def document(self) -> dict[str, typing.Any]:
        """Return the newest version of the configuration."""
        services = {service.name: service for service in self.site.services}
        rules = [
            self._listener(f'{name}.example', service, '/')
            for name, service in services.items()
        ]
        rules.append(
            self._listener(
                CHANGED_HOST, services[CHANGED_SERVICE], self._added_path()
            )
        )
        return {
            'version': f'{self._version:08x}',
            'limits': {
                'maxHeaderBytes': 16_384,
                'maxBodyBytes': 1_048_576,
                'headerTimeoutMs': 5_000,
                'idleTimeoutMs': 15_000,
            },
            'listeners': rules,
            'clusters': [
                {
                    'name': service.name,
                    'healthPath': '/health',
                    'maxConnections': self.site.max_connections,
                }
                for service in self.site.services
            ],
        }

    def _listener(
        self, host: str, service: sites.SiteService, prefix: str
    ) -> dict[str, typing.Any]:
        return {
            'host': host,
            'rules': [
                {
                    'name': f'{service.name}{prefix}',
                    'kind': 'safe' if service.idempotent else 'unsafe',
                    'aimMs': ROUTE_TIMEOUT_MS // 2,
                    'priority': 1,
                    'match': {'prefix': prefix},
                    'action': {
                        'service': service.name,
                        'timeoutMs': ROUTE_TIMEOUT_MS + self._version,
                        'maxAttempts': 3,
                    },
                }
            ],
        }

    async def _write_first_configuration(self) -> None:
        while True:
            try:
                await self.change_configuration(self.hosts[0], 'first')
                return
            except aiohttp.ClientError:
                # The store is not listening yet.
                await asyncio.sleep(0.1)

    async def _start_network(self) -> None:
        options = fleet.network_options(
            self.site,
            self.hosts,
            self._network_control_port,
            self.options.seed,
        )
        await self._spawn_stand_in('network', 'relay', _encode(options))

    async def _start_host(self, host: fleet.Host) -> None:
        await self._start_node(host)
        service = next(
            service
            for service in self.site.services
            if service.name == host.service
        )
        options = controlled.UpstreamOptions(
            service=host.service,
            port=host.upstream_port,
            slots=self.site.slots,
            heartbeat_address=f'{host.address}:{host.announce_port}',
            service_ms=service.service_ms,
            witness_port=self._run_counter_port,
            cold_start_s=self.cold_start_s,
        )
        await self._spawn_stand_in(
            f'upstream-{host.node_id}', 'platform-upstream', _encode(options)
        )

    async def _start_node(self, host: fleet.Host) -> None:
        path = self.options.directory / f'{host.node_id}.ini'
        path.write_text(self._settings(host))
        await self._processes.spawn(
            _node_name(host),
            sys.executable,
            '-m',
            'jasminebeam.platform',
            environment={
                program.SETTINGS_VARIABLE: str(path),
                'JASMINEBEAM_MEMORY_MB': self._memory_mb(),
            },
        )

    def _memory_mb(self) -> str:
        """Return the memory of the hosts; empty if it is not named."""
        return self.options.overrides.get('node', {}).get('memory_mb', '')

    def _settings(self, host: fleet.Host) -> str:
        """Return the settings of a node, from the deployment's template."""
        values = {
            'nodeId': host.node_id,
            'ip': host.address,
            'zone': host.failure_domain,
            'region': self.site.region,
            'internalPorts.0': host.peer_port,
            'internalPorts.1': host.operator_port,
            'listen.outbound': f'{host.address}:{host.caller_port}',
            'listen.ready': f'{host.address}:{_ready_port(host)}',
            'listen.control': f'{host.address}:{host.announce_port}',
            'appAddr': f'127.0.0.1:{host.upstream_port}',
            'service': host.service,
            'platform.address': f'127.0.0.1:{self._store_port}',
        }
        text = TEMPLATE.read_text()
        for placeholder, value in values.items():
            text = text.replace('{{' + placeholder + '}}', str(value))
        if not self.options.with_network:
            return text
        advertised = f'{fleet.network_address(host)}:{host.peer_port}'
        return text.replace(
            '[peering]\n', f'[peering]\nadvertise_address = {advertised}\n'
        )

    async def _knows_all_members(self, host: fleet.Host) -> bool:
        text = await self._metrics(host)
        if text is None:
            return False
        by_status = scrape.sum_by_label(
            [text], 'jasminebeam_members', 'status'
        )
        in_force = scrape.total([text], 'jasminebeam_config_revision')
        alive = by_status.get('alive', 0)
        return bool(in_force) and alive >= len(self.hosts)

    async def _metrics(self, host: fleet.Host) -> str | None:
        url = f'http://{host.address}:{host.operator_port}/metrics'
        try:
            async with asyncio.timeout(METRICS_TIMEOUT_S):
                async with http_sessions.create() as session:
                    async with session.get(url) as response:
                        return await response.text()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def _spawn_stand_in(self, name: str, *arguments: str) -> None:
        await self._processes.spawn(
            name, sys.executable, '-m', 'bench.standins.run', *arguments
        )


def _encode(options: typing.Any) -> str:
    return msgspec.json.encode(options).decode()


def _node_name(host: fleet.Host) -> str:
    return f'node-{host.node_id}'


def _ready_port(host: fleet.Host) -> int:
    return host.upstream_port + 1


def control_url(host: fleet.Host, action: str) -> str:
    """Return the address of a control request of an upstream."""
    return f'http://127.0.0.1:{host.upstream_port}/-/{action}'
