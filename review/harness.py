"""Starts the nodes of a small deployment between stand-ins, on loopback.

The nodes are the project's own program, started with the command and the
settings template of the deploy file. Targets, clients and the platform's
store run in the process of the case.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
import typing

import aiohttp
from aiohttp import web

from bench.standins import platform_store
from bench.standins import platform_upstream

ROOT = pathlib.Path(__file__).parents[1]
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 115.0
HEARTBEAT_S = 1.5
REFUSED_STATUS = 503
PORTS = (11_000, 31_000)


class CaseError(Exception):
    """The case could not run as planned."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the case began."""
        return time.monotonic() - self._started_s

    def write(self, kind: str, **fields: object) -> None:
        """Write one line."""
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{self.now_s():8.3f} {kind} {text}\n')
        self._file.flush()


class Store(platform_store.PlatformStoreStandIn):
    """The store; each machine reaches it at an address of its own."""

    def __init__(self, port: int, record: Record) -> None:
        super().__init__(port)
        self.refused_ports: set[int] = set()
        self.watching: dict[int, int] = {}
        self._record = record

    async def listen(self, port: int) -> None:
        """Serve one more machine."""
        await web.TCPSite(
            self._runner, '127.0.0.1', port, reuse_address=True
        ).start()

    @web.middleware
    async def _inject_faults(
        self, request: web.Request, handler: typing.Any
    ) -> web.StreamResponse:
        port = request.transport.get_extra_info('sockname')[1]
        if port in self.refused_ports:
            return web.Response(status=REFUSED_STATUS)
        if request.path != '/v1/kv-watch':
            return await handler(request)
        self.watching[port] = self.watching.get(port, 0) + 1
        try:
            response = await handler(request)
        finally:
            self.watching[port] -= 1
        if port in self.refused_ports:
            return web.Response(status=REFUSED_STATUS)
        return response

    async def configure(self, version: int, **options: typing.Any) -> float:
        """Write a configuration and return the time of the answer."""
        document = configuration(version, **options)
        await self.put('op/config', json.dumps(document).encode())
        self._record.write('configuration', version=version)
        return time.monotonic()


@dataclasses.dataclass(frozen=True)
class Rule:
    """One route of the configuration."""

    prefix: str
    service: str
    kind: str = 'safe'
    timeout_ms: int = 1_200
    aim_ms: int = 600


HOST = 'jepu9.example'


def configuration(
    version: int, rules: typing.Sequence[Rule], services: typing.Sequence[str]
) -> dict[str, typing.Any]:
    """Return the operator's document."""
    return {
        'version': f'{version:08x}',
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 65_536,
            'headerTimeoutMs': 5_000,
            'idleTimeoutMs': 15_000,
        },
        'listeners': [
            {
                'host': HOST,
                'rules': [
                    {
                        'name': rule.prefix.strip('/'),
                        'kind': rule.kind,
                        'aimMs': rule.aim_ms,
                        'priority': 1,
                        'match': {'prefix': rule.prefix},
                        'action': {
                            'service': rule.service,
                            'timeoutMs': rule.timeout_ms,
                            'maxAttempts': 3,
                        },
                    }
                    for rule in rules
                ],
            }
        ],
        'clusters': [
            {'name': name, 'healthPath': '/health', 'maxConnections': 260}
            for name in services
        ],
    }


class Target(platform_upstream.PlatformUpstreamStandIn):
    """A target; records what it runs and sends heartbeats."""

    def __init__(
        self, port: int, upstream_id: str, service: str, record: Record
    ) -> None:
        super().__init__(port, upstream_id, service)
        self.born = int(time.time() * 1_000)
        self.served: list[tuple[float, str]] = []
        self.tells_load = True
        self._record = record
        self._beating: asyncio.Task[None] | None = None

    def on_run(self, request_id: str) -> None:
        """Record a request that runs."""
        self.served.append((time.monotonic(), request_id))
        self._record.write(
            'run',
            request=request_id,
            target=self.upstream_id,
            service=self.service,
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await super()._handle(request)
        if not self.tells_load:
            response.headers.popall('Server-Load', None)
        return response

    def beat(self, address: str) -> None:
        """Send heartbeats from now on."""

        async def send() -> None:
            while True:
                try:
                    status = await self.send_heartbeat(address, born=self.born)
                    self._record.write(
                        'heartbeat', target=self.upstream_id, status=status
                    )
                except (aiohttp.ClientError, OSError):
                    self._record.write(
                        'heartbeat', target=self.upstream_id, status='none'
                    )
                await asyncio.sleep(HEARTBEAT_S)

        self._beating = asyncio.create_task(send())

    def stop_beating(self) -> None:
        """Send no more heartbeats."""
        if self._beating is not None:
            self._beating.cancel()


class Machine:
    """One machine: a node with its addresses and the target beside it."""

    def __init__(self, case: Case, name: str, zone: str, service: str) -> None:
        self.case = case
        self.name = name
        self.zone = zone
        self.service = service
        (
            self.peers,
            self.metrics,
            self.outbound,
            self.ready,
            self.control,
            self.app,
            self.store,
        ) = free_ports(7)
        self.path = case.folder / f'{name}.ini'
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self) -> None:
        """Fill in the template of the deploy file."""
        values = {
            'nodeId': self.name,
            'ip': '127.0.0.1',
            'zone': self.zone,
            'region': 'nordeste-ce',
            'internalPorts.0': self.peers,
            'internalPorts.1': self.metrics,
            'listen.outbound': f'127.0.0.1:{self.outbound}',
            'listen.ready': f'127.0.0.1:{self.ready}',
            'listen.control': f'127.0.0.1:{self.control}',
            'appAddr': f'127.0.0.1:{self.app}',
            'service': self.service,
            'platform.address': f'127.0.0.1:{self.store}',
        }
        role = self.case.role
        text = (ROOT / role['template']).read_text()
        for placeholder, value in values.items():
            text = text.replace('{{' + placeholder + '}}', str(value))
        written = self.path.with_suffix('.new')
        written.write_text(text)
        written.rename(self.path)

    async def start(self) -> None:
        """Start the node."""
        self.write_settings()
        log = (self.case.folder / f'{self.name}.log').open('ab')
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ('PATH', 'HOME', 'LANG')
        }
        environment['JASMINEBEAM_SETTINGS'] = str(self.path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        self.process = await asyncio.create_subprocess_exec(
            *self.case.role['run'].split(),
            env=environment,
            cwd=ROOT,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.case.record.write('start', node=self.name)

    async def kill(self, signal_number: int = signal.SIGKILL) -> int:
        """End the node with a signal and return its exit status."""
        if self.process is None:
            return 0
        if self.process.returncode is None:
            self.process.send_signal(signal_number)
        status = await self.process.wait()
        self.case.record.write('end', node=self.name, status=status)
        return status

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        url = f'http://127.0.0.1:{self.ready}/v1/ready'
        try:
            async with asyncio.timeout(1):
                async with self.case.session.get(url) as response:
                    return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False


class Case:
    """Store, machines and clients of one case."""

    def __init__(self, folder: pathlib.Path, trouble: bool) -> None:
        self.record = Record(folder)
        self.trouble = trouble
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.role = deploy['roles']['node']
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.machines: list[Machine] = []
        self.targets: list[Target] = []
        self.answers: dict[str, str] = {}
        self.sent_s: dict[str, float] = {}
        self.answered_s: dict[str, float] = {}
        self.session: aiohttp.ClientSession
        self.store: Store
        self._clients: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Start the store."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        self.store = Store(free_ports(1)[0], self.record)
        await self.store.start()

    async def close(self) -> None:
        """End all that was started."""
        for machine in self.machines:
            await machine.kill()
        for target in self.targets:
            target.stop_beating()
        for client in self._clients:
            client.cancel()
        await self.session.close()
        for target in self.targets:
            await target.stop()
        await self.store.stop()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder)

    async def add_machine(self, name: str, zone: str, service: str) -> Machine:
        """Start a machine with its target."""
        machine = Machine(self, name, zone, service)
        self.machines.append(machine)
        await self.store.listen(machine.store)
        target = Target(machine.app, f'i-{name}', service, self.record)
        self.targets.append(target)
        await target.start()
        await machine.start()
        target.beat(f'127.0.0.1:{machine.control}')
        return machine

    async def wait_ready(self) -> None:
        """Wait until all nodes are ready."""
        for machine in self.machines:
            await self.wait(machine.is_ready, f'{machine.name} is not ready')

    async def wait(
        self, condition: typing.Any, problem: str, timeout_s: float = 30.0
    ) -> None:
        """Wait until a condition holds."""
        end_s = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > end_s:
                raise CaseError(problem)
            await asyncio.sleep(0.05)

    async def request(
        self,
        machine: Machine,
        path: str,
        request_id: str,
        method: str = 'GET',
        deadline_ms: int = 1_500,
    ) -> str:
        """Send a request as a client and return the status."""
        self.sent_s[request_id] = time.monotonic()
        self.record.write(
            'send', request=request_id, node=machine.name, path=path
        )
        try:
            async with asyncio.timeout(deadline_ms / 1_000 + 0.5):
                async with self.session.request(
                    method,
                    f'http://127.0.0.1:{machine.outbound}{path}',
                    headers={
                        'Host': HOST,
                        'Request-Id': request_id,
                        'Deadline-Ms': str(deadline_ms),
                    },
                ) as response:
                    await response.read()
                    status = str(response.status)
                    if response.headers.get('Server-Stamp'):
                        status += f' {response.headers["Server-Stamp"]}'
        except TimeoutError:
            status = 'no answer in time'
        except (aiohttp.ClientError, OSError) as error:
            status = f'closed ({type(error).__name__})'
        self.answers[request_id] = status
        if status[0].isdigit():
            self.answered_s[request_id] = time.monotonic()
        self.record.write('answer', request=request_id, status=status)
        return status

    def send_later(
        self, machine: Machine, path: str, request_id: str, **options: object
    ) -> None:
        """Send a request without waiting for its answer."""
        task = asyncio.create_task(
            self.request(machine, path, request_id, **options)
        )
        self._clients.add(task)
        task.add_done_callback(self._clients.discard)


def free_ports(count: int) -> list[int]:
    """Return ports that nobody uses.

    They lie below the range from which outgoing connections take theirs.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(*PORTS)
        if port in _taken:
            continue
        with socket.socket() as opened:
            try:
                opened.bind(('127.0.0.1', port))
            except OSError:
                continue
        _taken.add(port)
        found.append(port)
    return found


_taken: set[int] = set()


def run(
    play: typing.Any, folder: pathlib.Path, trouble: bool
) -> typing.NoReturn:
    """Play a case and exit with its result."""

    async def main() -> int:
        case = Case(folder, trouble)
        try:
            await case.open()
            async with asyncio.timeout(LIMIT_S):
                broken = await play(case)
            case.record.write('result', broken=broken)
            print(f'{len(broken)} breaks', *broken[:5], sep='\n  ')
            return BROKEN if broken else HELD
        except Exception:
            text = traceback.format_exc()
            case.record.write('failed', error=text.replace('\n', ' | '))
            print(text, file=sys.stderr)
            return NOT_RUN
        finally:
            await case.close()

    sys.exit(asyncio.run(main()))
