"""Starts nodes as processes, with stand-ins for targets, store and callers.

Used by the scripts of the second review only. The nodes run with the command
of `deploy/system.toml` and with settings from `deploy/node.ini`, on loopback.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / 'target' / 'deps')]

from bench.standins import platform_store  # noqa: E402

HEARTBEAT_S = 1.5
HELD, BROKEN, UNABLE = 0, 1, 2


class UnableError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._start = time.monotonic()
        self._file = (folder / 'record.txt').open('w')

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        passed = time.monotonic() - self._start
        self._file.write(f'{passed:8.3f} {text}\n')
        self._file.flush()


class Machine(typing.NamedTuple):
    """Addresses of one machine."""

    name: str
    ip: str
    zone: str
    service: str


class Target:
    """A sound target: runs requests, answers health checks, sends beats.

    `work` is called with the target's name, the request and its id; it
    returns the status and the body of the answer.
    """

    def __init__(self, site: Site, machine: Machine, slots: int = 9) -> None:
        self.site = site
        self.machine = machine
        self.slots = slots
        self.id = f'i-{random.getrandbits(32):08x}'
        self.born = int(time.time() * 1_000)
        self.state = 'ready'
        self.sequence = 0
        self.running = 0
        self.arrivals: list[tuple[float, str, dict[str, str], bytes]] = []
        self.work: typing.Callable[..., typing.Awaitable[tuple[int, bytes]]]
        self.work = self._default_work
        self.extra_headers: dict[str, str] = {}
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._handlers: set[asyncio.Task[None]] = set()

    async def _default_work(
        self, request_id: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        await asyncio.sleep(0.05)
        return 200, f'answer to {request_id}'.encode()

    async def start(self) -> None:
        """Listen and send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self.machine.ip, self.site.ports['app'], backlog=512
        )
        self._beats = asyncio.create_task(self._send_beats())

    async def stop(self) -> None:
        """Stop at once."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for handler in list(self._handlers):
            handler.cancel()

    async def beat(self) -> bool:
        """Send one heartbeat; return True if it is acknowledged."""
        self.sequence += 1
        body = {
            'address': f'{self.machine.ip}:{self.site.ports["app"]}',
            'info': {
                'service': self.machine.service,
                'version': 'v1',
                'zone': self.machine.zone,
                'slots': self.slots,
            },
            'status': {
                'state': self.state,
                'sequence': self.sequence,
                'coldRemainingMs': 0,
            },
            'born': self.born,
        }
        return await self._control('PUT', json.dumps(body).encode())

    async def leave(self) -> bool:
        """Send a leave notice; return True if it is acknowledged."""
        body = json.dumps({'born': self.born}).encode()
        return await self._control('DELETE', body)

    async def _control(self, method: str, body: bytes) -> bool:
        try:
            async with asyncio.timeout(1.0):
                answer = await exchange(
                    self.machine.ip,
                    self.site.ports['control'],
                    method,
                    f'/v1/instances/{self.id}',
                    {'Host': 'control', 'Content-Type': 'application/json'},
                    body,
                )
        except (OSError, TimeoutError, EOFError):
            return False
        return 200 <= answer.status < 300

    async def _send_beats(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._handlers.add(task)
        with contextlib.suppress(OSError, EOFError, asyncio.LimitOverrunError):
            # `work` may raise OSError: the answer is lost with the connection.
            while True:
                request = await read_message(reader)
                await self._answer(request, writer)
        self._handlers.discard(task)
        writer.close()

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        headers = request.headers
        request_id = headers.get('request-id', '')
        reply = {'Server-Load': f'{self.running},0,{self.slots},100'}
        reply |= self.extra_headers
        if request.target == '/health':
            reply['Instance-Id'] = self.id
            status = 200 if self.state == 'ready' else 503
            await write_answer(writer, status, reply, b'')
            return
        reply['Request-Id'] = request_id
        if headers.get('expect-instance', self.id) != self.id:
            await write_answer(writer, 421, reply, b'')
            return
        self.arrivals.append(
            (time.monotonic(), request_id, headers, request.body)
        )
        self.site.record.write(
            f'run {request_id} at {self.machine.name} {request.line}'
        )
        self.running += 1
        try:
            status, body = await self.work(request_id, headers, request.body)
        finally:
            self.running -= 1
        reply['Server-Stamp'] = f'stamp-{self.id}'
        self.site.record.write(
            f'target answers {request_id}: {status}, {len(body)} bytes'
        )
        await write_answer(writer, status, reply, body)


class Message(typing.NamedTuple):
    """A request or an answer."""

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.line.split(' ')[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.line.split(' ')[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a length; raise EOFError if it is cut."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rest = head.split('\r\n')
    headers = {}
    for text in rest:
        name, colon, value = text.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Message(line, headers, body)


async def write_answer(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes,
) -> None:
    """Write an answer with its length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    writer.write('\r\n'.join(lines).encode() + body)
    await writer.drain()


def request_bytes(
    method: str, target: str, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Return the bytes of a request."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    is_chunked = 'Transfer-Encoding' in headers
    if not is_chunked and (body or method in ('POST', 'PUT')):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


async def exchange(
    ip: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
) -> Message:
    """Send one request over a connection of its own; return the answer."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(request_bytes(method, target, headers, body))
        return await read_message(reader)
    finally:
        writer.close()


class Site:
    """A small deployment on loopback."""

    def __init__(
        self, folder: pathlib.Path, machines: list[tuple[str, str]]
    ) -> None:
        self.record = Record(folder)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        a, b = random.randint(1, 250), random.randint(0, 250)
        self.machines = [
            Machine(f'side-{zone}-{k}', f'127.{a}.{b}.{k}', zone, service)
            for k, (zone, service) in enumerate(machines, 1)
        ]
        self.ports = self._free_ports()
        self.store = platform_store.PlatformStoreStandIn(self.ports['store'])
        self.targets: dict[str, Target] = {}
        # Class of the target of a machine, if it is not `Target`.
        self.target_types: dict[str, type[Target]] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.memory_mb = 300
        self.descriptors = 4_100
        self.version = 0
        self.peer_addresses: dict[str, str] = {}

    def _free_ports(self) -> dict[str, int]:
        names = ('app', 'outbound', 'ready', 'control', 'peer', 'metrics')
        for _ in range(100):
            first = random.randint(20_000, 30_000)
            ports = {name: first + k for k, name in enumerate(names)}
            ports['store'] = first + len(names)
            try:
                for machine in self.machines:
                    for port in ports.values():
                        with socket.socket() as probe:
                            probe.bind((machine.ip, port))
                with socket.socket() as probe:
                    probe.bind(('127.0.0.1', ports['store']))
            except OSError:
                continue
            return ports
        raise UnableError('no free ports')

    async def start(self, rules: list[dict[str, typing.Any]], **more) -> None:
        """Start the store, the targets and the nodes; wait until ready."""
        await self.store.start()
        await self.configure(rules, **more)
        for machine in self.machines:
            self.start_node(machine)
        for machine in self.machines:
            target_type = self.target_types.get(machine.name, Target)
            target = target_type(self, machine)
            self.targets[machine.name] = target
            await target.start()
        await self.wait_ready()

    async def configure(
        self,
        rules: list[dict[str, typing.Any]],
        limits: dict[str, int] | None = None,
        **more: typing.Any,
    ) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        document = {
            'version': f'{self.version:08x}',
            'limits': {
                'maxHeaderBytes': 16_384,
                'maxBodyBytes': 1_048_576,
                'headerTimeoutMs': 5_000,
                'idleTimeoutMs': 15_000,
            }
            | (limits or {}),
            'listeners': rules,
            'clusters': [
                {
                    'name': service,
                    'healthPath': '/health',
                    'maxConnections': 260,
                }
                for service in sorted({m.service for m in self.machines})
            ],
            **more,
        }
        await self.store.put('op/config', json.dumps(document).encode())
        self.record.write(f'configuration {self.version} acknowledged')

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until all nodes are ready and know each other."""
        try:
            async with asyncio.timeout(timeout_s):
                for machine in self.machines:
                    while not await self._is_settled(machine):
                        await asyncio.sleep(0.2)
        except TimeoutError:
            raise UnableError('the nodes did not become ready') from None
        await asyncio.sleep(4.0)

    async def _is_settled(self, machine: Machine) -> bool:
        try:
            ready = await exchange(
                machine.ip,
                self.ports['ready'],
                'GET',
                '/v1/ready',
                {'Host': 'ready'},
            )
            metrics = await exchange(
                machine.ip,
                self.ports['metrics'],
                'GET',
                '/metrics',
                {'Host': 'metrics'},
            )
        except (OSError, EOFError):
            return False
        alive = re.search(
            r'jasminebeam_members\{status="alive"\} ([0-9.]+)',
            metrics.body.decode(),
        )
        return (
            ready.status == 200
            and alive is not None
            and float(alive[1]) >= len(self.machines)
        )

    def start_node(self, machine: Machine) -> None:
        """Start the node of a machine with the command of the deploy file."""
        path = self.directory / f'{machine.name}.ini'
        path.write_text(self._settings(machine))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= {
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'JASMINEBEAM_SETTINGS': str(path),
            'JASMINEBEAM_MEMORY_MB': str(self.memory_mb),
            'JASMINEBEAM_MAX_DESCRIPTORS': str(self.descriptors),
        }
        log = (self.directory / f'{machine.name}.log').open('ab')
        self.processes[machine.name] = subprocess.Popen(
            ['python3', '-m', 'jasminebeam.platform'],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write(f'node {machine.name} started')

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to a node."""
        self.record.write(f'{number.name} to {machine.name}')
        self.processes[machine.name].send_signal(number)

    def _settings(self, machine: Machine) -> str:
        values = {
            'nodeId': machine.name,
            'ip': machine.ip,
            'zone': machine.zone,
            'region': 'nordeste-ce',
            'internalPorts.0': self.ports['peer'],
            'internalPorts.1': self.ports['metrics'],
            'listen.outbound': f'{machine.ip}:{self.ports["outbound"]}',
            'listen.ready': f'{machine.ip}:{self.ports["ready"]}',
            'listen.control': f'{machine.ip}:{self.ports["control"]}',
            'appAddr': f'{machine.ip}:{self.ports["app"]}',
            'service': machine.service,
            'platform.address': f'127.0.0.1:{self.ports["store"]}',
        }
        text = (ROOT / 'deploy' / 'node.ini').read_text()
        for name, value in values.items():
            text = text.replace('{{' + name + '}}', str(value))
        address = self.peer_addresses.get(machine.name)
        if address:
            text = text.replace(
                '[peering]\n', f'[peering]\nadvertise_address = {address}\n'
            )
        return text

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.kill()
        for process in self.processes.values():
            process.wait()
        for target in self.targets.values():
            await target.stop()
        with contextlib.suppress(Exception):
            await self.store.stop()
        if os.environ.get('KEEP_LOGS'):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def rule(
    host: str,
    service: str,
    kind: str = 'safe',
    prefix: str = '/',
    timeout_ms: int = 5_000,
    aim_ms: int = 1_000,
    **more: typing.Any,
) -> dict[str, typing.Any]:
    """Return a listener with one route."""
    return {
        'host': host,
        'rules': [
            {
                'name': f'{host}{prefix}',
                'kind': kind,
                'aimMs': aim_ms,
                'priority': 1,
                'match': {'prefix': prefix},
                'action': {
                    'service': service,
                    'timeoutMs': timeout_ms,
                    'maxAttempts': 3,
                },
                **more,
            }
        ],
    }


def has_trouble() -> bool:
    """Return False for a run without the disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def main(run: typing.Callable[[], typing.Awaitable[int]]) -> typing.NoReturn:
    """Run a case; exit with its status, or with 2 if it could not run."""

    async def run_until_signal() -> int:
        task = asyncio.current_task()
        # The case ends its processes before it ends itself.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(run(), 115)

    try:
        status = asyncio.run(run_until_signal())
    except (Exception, asyncio.CancelledError) as error:
        print(f'could not run: {error!r}')
        status = UNABLE
    sys.exit(status)
