"""Simulates an upstream with the hosting platform's protocol."""

from __future__ import annotations

import asyncio
import collections
import math
import typing

from aiohttp import web

from bench import http_sessions
from bench.soak import checks
from bench.standins import endless
from bench.standins import malformed

SERVICE_TIME_S = 0.005
MAX_ARRIVALS = 65_536


class PlatformUpstreamStandIn:
    """Upstream that runs requests, reports load and sends heartbeats.

    Parameters
    ----------
    port : int
        Loopback port.
    upstream_id, service : str
        Id of the upstream and name of its service.
    slots : int
        Number of concurrent requests that it reports as its capacity.
    """

    def __init__(
        self, port: int, upstream_id: str, service: str, slots: int = 9
    ) -> None:
        self.port = port
        self.upstream_id = upstream_id
        self.service = service
        self.slots = slots
        self.slowness_percent = 100
        self.healthy = True
        self.behaviour = ''
        # Whether requests and health checks get interim responses for ever.
        self.endless = False
        self.endless_responses = 0
        self.malformed = malformed.MalformedResponses()
        self.body = b'whole'
        # Whether the body of an answer is the id of its request.
        self.echoes = False
        # Value of the header that names a rate limit; empty for none.
        self.limit = ''
        self.leaving = False
        # Monotonic time in s until which the upstream is cold, whether its
        # health responses say so, and the latest arrivals of requests (not of
        # health checks) while it was cold.
        self.cold_until_s = 0.0
        self.states_cold = True
        self.cold_arrivals_s: collections.deque[float] = collections.deque(
            maxlen=MAX_ARRIVALS
        )
        # Whether answers report the load.
        self.tells_load = True
        # Whether answers to health checks state the limit and the mark.
        self.states_in_health = True
        self.service_time_s = SERVICE_TIME_S
        self.runs: collections.Counter[str] = collections.Counter()
        self.callers: set[str] = set()
        self.time_left_ms: list[int] = []
        # Requests that end only after their event is set, by identifier.
        self.held: dict[str, asyncio.Event] = {}
        self.started: list[str] = []
        # Request targets, as received.
        self.targets: list[str] = []
        self.cancelled: list[str] = []
        # Target and body of each request, by identifier; None to keep none.
        self.received: dict[str, tuple[str, bytes]] | None = None
        # Headers of the last request, as received.
        self.last_headers: typing.Mapping[str, str] = {}
        self._running = 0
        self._sequence = 0
        server = web.Server(
            self._handle, access_log=None, handler_cancellation=True
        )
        self._runner = web.ServerRunner(server)

    async def start(self) -> None:
        """Listen."""
        await self._runner.setup()
        await web.TCPSite(
            self._runner, '127.0.0.1', self.port, reuse_address=True
        ).start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def send_heartbeat(
        self,
        address: str,
        state: str = 'ready',
        born: int = 1,
        **overrides: int,
    ) -> int:
        """Send one heartbeat and return the status of the response."""
        self._sequence += 1
        document = self.heartbeat(
            state, born, overrides.get('sequence', self._sequence)
        )
        url = f'http://{address}/v1/instances/{self.upstream_id}'
        async with http_sessions.create() as session:
            async with session.put(url, json=document) as response:
                return response.status

    def heartbeat(
        self, state: str, born: int, sequence: int
    ) -> dict[str, typing.Any]:
        """Return the body of a heartbeat."""
        return {
            'address': f'127.0.0.1:{self.port}',
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': 'a',
                'slots': self.slots,
            },
            'status': {
                'state': state,
                'sequence': sequence,
                'coldRemainingMs': self.cold_ms,
            },
            'born': born,
        }

    @property
    def cold_ms(self) -> int:
        """Time for which the upstream stays cold; 0 if it is warm."""
        left_s = self.cold_until_s - asyncio.get_running_loop().time()
        return max(0, math.ceil(left_s * 1_000))

    def most_cold_arrivals(self) -> int:
        """Return the largest number of arrivals in a second while cold."""
        return checks.most_in_window(list(self.cold_arrivals_s), 1.0)

    async def send_leave_notice(self, address: str) -> int:
        """Deregister the upstream and return the status of the response."""
        url = f'http://{address}/v1/instances/{self.upstream_id}'
        async with http_sessions.create() as session:
            async with session.delete(url) as response:
                return response.status

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        headers = {}
        if self.tells_load:
            headers['Server-Load'] = (
                f'{self._running},0,{self.slots},{self.slowness_percent}'
            )
        if request.path.startswith('/-/'):
            return await self.control(request)
        is_check = request.path == '/health'
        if self.endless or self.malformed.is_next(is_check):
            return await self._answer_unusably(request, is_check)
        if self.states_in_health or not is_check:
            headers |= self._statements()
        if is_check:
            headers['Instance-Id'] = self.upstream_id
            if self.states_cold and self.cold_ms:
                headers['Cold-Ms'] = str(self.cold_ms)
            status = 200 if self.healthy else 503
            return web.Response(status=status, headers=headers)
        self._record_arrival()
        self.on_arrival(request)
        request_id = request.headers.get('Request-Id', '')
        headers['Request-Id'] = request_id
        expected = request.headers.get('Expect-Instance')
        if expected not in (None, self.upstream_id):
            return web.Response(status=421, headers=headers)
        if self.behaviour == 'shed':
            headers['Not-Executed'] = '1'
            return web.Response(status=503, headers=headers)
        return await self._run_request(request, request_id, headers)

    async def _answer_unusably(
        self, request: web.BaseRequest, is_check: bool
    ) -> web.Response:
        """Run a request, and answer without end or malformed."""
        request_id = request.headers.get('Request-Id', '')
        if not is_check:
            self.runs[request_id] += 1
            self.on_run(request_id)
        if self.endless:
            self.endless_responses += 1
            await endless.send_interim_responses(request)
        else:
            await self.malformed.send(request, request_id)
        return web.Response()

    def _record_arrival(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s < self.cold_until_s:
            self.cold_arrivals_s.append(now_s)

    async def control(self, request: web.BaseRequest) -> web.Response:
        """Carry out a control request; there is none here."""
        return web.Response(status=404)

    def on_run(self, request_id: str) -> None:
        """Receive each request that runs."""

    def on_arrival(self, request: web.BaseRequest) -> None:
        """Receive each request that is not a health check."""

    def _statements(self) -> dict[str, str]:
        statements = {}
        if self.limit:
            statements['Server-Limit'] = self.limit
        if self.leaving:
            statements['Server-Leaving'] = '1'
        return statements

    async def _run_request(
        self,
        request: web.BaseRequest,
        request_id: str,
        headers: dict[str, typing.Any],
    ) -> web.StreamResponse:
        self.runs[request_id] += 1
        self.on_run(request_id)
        self.callers.add(request.headers.get('Caller-Service', ''))
        self.last_headers = request.headers
        if self.received is not None:
            content = await request.read()
            self.received[request_id] = (request.raw_path, content)
        self.time_left_ms.append(int(request.headers['Deadline-Ms']))
        self._running += 1
        self.started.append(request_id)
        self.targets.append(request.raw_path)
        try:
            await asyncio.sleep(self.service_time_s)
            if request_id in self.held:
                await self.held[request_id].wait()
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        finally:
            self._running -= 1
        if self.behaviour == 'close':
            request.transport.abort()
        if self.behaviour == 'fail':
            headers['Server-Stamp'] = f'stamp-{self.upstream_id}'
            return web.Response(status=500, headers=headers)
        if self.behaviour == 'other answer':
            headers['Request-Id'] = 'another'
        if self.behaviour == 'unmarked 503':
            return web.Response(status=503, headers=headers)
        if self.behaviour != 'unsigned':
            headers['Server-Stamp'] = f'stamp-{self.upstream_id}'
        body = request_id.encode() if self.echoes else self.body
        return web.Response(body=body, headers=headers)
