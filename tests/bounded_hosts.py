"""Hosts whose nodes are processes with lowered limits, and their callers."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import itertools
import json
import pathlib
import resource
import socket
import sys

import aiohttp

from bench import processes
from bench.standins import platform_store
from bench.standins import platform_upstream
from jasminebeam.platform import program
from tests import platform_cluster
from tests import ports

HEADER_BYTES = 16_384
# Share of the host's memory that a node may use, and bytes of its unit.
MEMORY_RATIO = 0.75
MEGABYTE = 1_000_000
# Share of the descriptors that callers leave for the node's own connections.
FREE_RATIO = 1 / 16
READY_TIMEOUT_S = 60.0
# An ordinary request is repeated until it is answered, for this long.
ANSWER_TIMEOUT_S = 90.0
# Callers count as done once none of them has sent anything for this long.
QUIET_S = 1.0
SETTLE_TIMEOUT_S = 60.0

_numbers = itertools.count(1)


class HashingUpstream(platform_upstream.PlatformUpstreamStandIn):
    """Upstream that keeps the digests of request bodies, not the bodies."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.digests = {}

    async def _run_request(self, request, request_id, headers):
        digest = hashlib.sha256()
        async for part in request.content.iter_any():
            digest.update(part)
        self.digests[request_id] = digest.hexdigest()
        return await super()._run_request(request, request_id, headers)


class Hosts:
    """A store and upstreams in this process, and a process for each node.

    Parameters
    ----------
    directory : pathlib.Path
        Directory for settings and logs.
    body_bytes : int
        Limit of a request body.
    memory_mb, descriptors : int
        Memory and descriptors of each host. The operating system enforces
        the latter.
    """

    def __init__(self, directory, body_bytes, memory_mb, descriptors=1_024):
        self.body_bytes = body_bytes
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.store = platform_store.PlatformStoreStandIn(ports.free_port())
        self.upstreams = []
        self._directory = directory
        self._processes = processes.Processes(directory)
        self._callers = []
        self._names = []
        self._metrics_ports = []

    @property
    def memory_limit_bytes(self):
        """Bytes below which the peak resident set must stay."""
        return MEMORY_RATIO * self.memory_mb * MEGABYTE

    async def start(self, *services):
        """Start one host for each service; the first is the ingress."""
        await self.store.start()
        document = json.loads(
            platform_cluster.configuration(
                timeoutMs=90_000, maxAttempts=1, kind='safe'
            )
        )
        document['limits'] = {
            'maxHeaderBytes': HEADER_BYTES,
            'maxBodyBytes': self.body_bytes,
            'headerTimeoutMs': 3_000,
            'idleTimeoutMs': 15_000,
        }
        document['listeners'][0]['rules'][0]['aimMs'] = 80_000
        document['clusters'].append(
            {'name': 'idle', 'healthPath': '/health', 'maxConnections': 9}
        )
        await self.store.put('op/config', json.dumps(document).encode())
        for service in services:
            await self._start_host(service)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while (await self.request())[0] != 200:
                await asyncio.sleep(0.1)

    async def _start_host(self, service):
        name = f'n{len(self._names)}'
        values = {
            'nodeId': name,
            'ip': '127.0.0.1',
            'zone': 'a',
            'region': 'r',
            'internalPorts.0': ports.free_port(),
            'internalPorts.1': ports.free_port(),
            'listen.outbound': f'127.0.0.1:{ports.free_port()}',
            'listen.ready': f'127.0.0.1:{ports.free_port()}',
            'listen.control': f'127.0.0.1:{ports.free_port()}',
            'appAddr': f'127.0.0.1:{ports.free_port()}',
            'service': service,
            'platform.address': f'127.0.0.1:{self.store.port}',
        }
        text = platform_cluster.TEMPLATE.read_text()
        for placeholder, value in values.items():
            text = text.replace('{{' + placeholder + '}}', str(value))
        path = self._directory / f'{name}.ini'
        path.write_text(text)
        port = int(values['appAddr'].rpartition(':')[2])
        stand_in = HashingUpstream(port, f'i-{name}', service)
        await stand_in.start()
        self.upstreams.append(stand_in)
        await self._processes.spawn(
            name,
            sys.executable,
            '-m',
            'jasminebeam.platform',
            environment={
                program.SETTINGS_VARIABLE: str(path),
                'JASMINEBEAM_MEMORY_MB': str(self.memory_mb),
                'JASMINEBEAM_MAX_DESCRIPTORS': str(self.descriptors),
            },
        )
        limits = (self.descriptors, self.descriptors)
        process_id = self._processes.process_id(name)
        resource.prlimit(process_id, resource.RLIMIT_NOFILE, limits)
        self._names.append(name)
        if len(self._names) == 1:
            host, _, caller_port = values['listen.outbound'].rpartition(':')
            self.address = (host, int(caller_port))
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await _heartbeat(stand_in, values['listen.control']):
                await asyncio.sleep(0.1)

    def head(self, *lines):
        """Return the header of a request, with further lines."""
        common = (
            'POST /fee/1 HTTP/1.1',
            f'Host: {platform_cluster.HOST}',
            f'Request-Id: r{next(_numbers)}',
            'Deadline-Ms: 80000',
        )
        return '\r\n'.join((*common, *lines, '', '')).encode()

    def open_callers(self, *contents):
        """Open a connection for each content and send it; keep it open."""
        for content in contents:
            caller = Caller(self.address, content)
            self._callers.append(caller)
            caller.start()

    async def settle(self):
        """Wait until no caller gets any further."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                before = -1
                while (after := self._count_sent()) != before:
                    before = after
                    await asyncio.sleep(QUIET_S)

    def _count_sent(self):
        return sum(caller.steps for caller in self._callers)

    async def close_callers(self):
        """Close the connections of all callers."""
        for caller in self._callers:
            await caller.close()
        self._callers.clear()

    async def request(self, body=b'x', timeout_s=10.0, chunked=False):
        """Send an ordinary request; return its status and its id.

        The status is 0 if there is no response. Unless it is chunked, the
        header states the length of the body.
        """
        request_id = f'ordinary-{next(_numbers)}'
        headers = {
            'Host': platform_cluster.HOST,
            'Request-Id': request_id,
            'Deadline-Ms': str(int(timeout_s * 1_000)),
        }
        if not chunked:
            headers['Content-Length'] = str(len(body))
        url = f'http://{self.address[0]}:{self.address[1]}/fee/1'
        try:
            async with asyncio.timeout(timeout_s):
                async with aiohttp.ClientSession() as session:
                    async with session.post(
                        url, headers=headers, data=_payload(body)
                    ) as response:
                        await response.read()
                        return response.status, request_id
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0, request_id

    async def is_answered(self):
        """Return True once an ordinary request is answered."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while (await self.request())[0] != 200:
                    await asyncio.sleep(0.2)
        except TimeoutError:
            return False
        return True

    def measure(self):
        """Return whether each process lives, its peak and its descriptors."""
        return [self._measure(name) for name in self._names]

    def _measure(self, name):
        directory = pathlib.Path(
            '/proc', str(self._processes.process_id(name))
        )
        try:
            status = (directory / 'status').read_text()
            descriptors = len(list((directory / 'fd').iterdir()))
        except OSError:
            return (False, 0, 0)
        peak = [line for line in status.splitlines() if 'VmHWM' in line]
        if not peak:
            return (False, 0, 0)
        return (True, int(peak[0].split()[1]) * 1_024, descriptors)

    async def check(self):
        """Check the bounds during the abuse, and after it."""
        await self.settle()
        opened = max(descriptors for _, _, descriptors in self.measure())
        during = await self.is_answered()
        await self.close_callers()
        after = await self.is_answered()
        measured = self.measure()
        print(f'{measured} open: {opened} answered: {during} {after}')
        assert all(lives for lives, _, _ in measured)
        assert max(peak for _, peak, _ in measured) < self.memory_limit_bytes
        assert opened <= (1 - FREE_RATIO) * self.descriptors
        assert during
        assert after

    async def close(self):
        """Stop everything."""
        await self.close_callers()
        await self._processes.kill_all()
        for stand_in in self.upstreams:
            await stand_in.stop()
        await self.store.stop()


class Caller:
    """Connection that sends parts of bytes, and reads nothing.

    Parameters
    ----------
    address : tuple
        Host and port.
    content : iterable of bytes
        What is sent.
    """

    def __init__(self, address, content):
        # Parts sent so far.
        self.steps = 0
        self._address = address
        self._content = content
        self._socket = None
        self._task = None

    def start(self):
        """Begin to send."""
        self._task = asyncio.create_task(self._send())

    async def close(self):
        """Stop sending and close the connection."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._socket.close()

    async def _send(self):
        loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        # The answers stay at the node.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self._socket.setblocking(False)
        # A refused caller may be disconnected.
        with contextlib.suppress(OSError):
            await loop.sock_connect(self._socket, self._address)
            for part in self._content:
                await loop.sock_sendall(self._socket, part)
                self.steps += 1


async def _heartbeat(stand_in, address):
    try:
        return await stand_in.send_heartbeat(address) == 200
    except aiohttp.ClientError:
        return False


async def _payload(body):
    """Yield a body in parts, which costs no copy of it."""
    view = memoryview(body)
    for start in range(0, len(body), 65_536):
        yield bytes(view[start : start + 65_536])
