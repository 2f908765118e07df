"""Simulates an upstream with slots, service times and faults."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import random
import socket

import aiohttp
from aiohttp import web
import msgspec

from bench import http_sessions
from bench.standins import endless
from bench.standins import malformed
from jasminebeam import clock


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of a stand-in upstream.

    Parameters
    ----------
    service, port, slots, cold_start_ms
        Values of the announcement to the node.
    announce_url : str
        URL of the node's announcement endpoint; empty for none.
    service_ms : float
        Mean of the log-normal service time.
    sigma : float
        Standard deviation of the logarithm of the service time.
    report_lag_ms : float
        Age of the load that ``/-/load`` reports.
    seed : int
        Seed of the service times.
    witness_port : int
        Loopback UDP port of the run counter, which receives the service,
        the port and the id of each request that runs; 0 for none.
    next_url, next_host : str
        URL and ``Host`` header of the service that each request calls
        after it has run; an empty URL for none.
    """

    service: str
    port: int
    slots: int = 9
    cold_start_ms: int = 0
    announce_url: str = ''
    service_ms: float = 5.0
    sigma: float = 0.5
    report_lag_ms: float = 1_000.0
    seed: int = 1
    witness_port: int = 0
    next_url: str = ''
    next_host: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults that the upstream simulates.

    Parameters
    ----------
    slow_factor : float
        Factor on the service time, also on that of requests in progress.
    fail_fast : bool
        Answer 500 immediately, which counts as a run.
    shed : bool
        Answer with the announced shed status instead of running.
    close_after_receipt : bool
        Run the request, then close the connection without an answer.
    limit_per_s : float or None
        Rate limit that each answer names; None for none.
    leaving : bool
        State in each answer that the upstream is about to stop.
    endless : bool
        Answer requests and load reports with interim responses without end;
        a request counts as a run.
    malformed : bool
        Answer requests and some load reports with malformed responses; a
        request counts as a run.
    cold_s : float
        Time for which the upstream is cold from now on. Only the stand-in of
        the platform's protocol states it.
    """

    slow_factor: float = 1.0
    fail_fast: bool = False
    shed: bool = False
    close_after_receipt: bool = False
    limit_per_s: float | None = None
    leaving: bool = False
    endless: bool = False
    malformed: bool = False
    cold_s: float = 0.0

    def headers(self) -> dict[str, str]:
        """Return what the answers state about the upstream."""
        headers = {}
        if self.limit_per_s is not None:
            headers['Jasminebeam-Limit'] = str(self.limit_per_s)
        if self.leaving:
            headers['Jasminebeam-Leaving'] = '1'
        return headers


SHED_STATUS = 503
SHED_HEADER = 'X-Shed'


class StandInUpstream:
    """HTTP server with a fixed number of slots.

    Requests beyond the number of slots queue inside the upstream, as in a
    real server. A request counts as run once it takes a slot.
    """

    def __init__(self, options: Options) -> None:
        self._options = options
        self._generator = random.Random(options.seed)
        self._faults = Faults()
        self._free_slots = asyncio.Semaphore(options.slots)
        self._active = 0
        self._speed_changed = asyncio.Event()
        self._active_history: collections.deque[tuple[float, int]] = (
            collections.deque([(0.0, 0)])
        )
        self._started_ms = clock.monotonic_ms()
        self.runs: collections.Counter[str] = collections.Counter()
        self.cancelled = 0
        self._malformed = malformed.MalformedResponses()
        self._session: aiohttp.ClientSession | None = None
        self._run_report_socket = socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        )
        server = web.Server(
            self._handle, handler_cancellation=True, access_log=None
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=1.0)

    async def start(self) -> None:
        """Listen, and announce the upstream to its node."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', self._options.port)
        await site.start()
        if self._options.announce_url:
            await self.announce()

    async def announce(self) -> None:
        """Announce the upstream; retry until the node accepts it."""
        options = self._options
        document = {
            'service': options.service,
            'port': options.port,
            'slots': options.slots,
            'cold_start_ms': options.cold_start_ms,
            'shed_status': SHED_STATUS,
            'shed_header': SHED_HEADER,
            'load_path': '/-/load',
        }
        async with http_sessions.create() as session:
            while True:
                try:
                    async with session.post(
                        options.announce_url, json=document
                    ) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()
        if self._session is not None:
            await self._session.close()
        self._run_report_socket.close()

    def set_faults(self, faults: Faults) -> None:
        """Replace the simulated faults."""
        self._faults = faults
        self._malformed.enabled = faults.malformed
        self._speed_changed.set()
        self._speed_changed = asyncio.Event()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path.startswith('/-/'):
            return await self._handle_control(request)
        body = await request.read()
        if self._faults.endless:
            self._count_run(request.headers.get('X-Request-Id', ''))
            return await self._answer_without_end(request)
        if self._malformed.is_next(is_check=False):
            self._count_run(request.headers.get('X-Request-Id', ''))
            return await self._answer_malformed(request)
        if self._faults.shed:
            headers = {SHED_HEADER: '1', **self._faults.headers()}
            return web.Response(status=SHED_STATUS, headers=headers)
        request_id = request.headers.get('X-Request-Id', '')
        if self._faults.fail_fast:
            self._count_run(request_id)
            return web.Response(status=500, text='failing fast')
        return await self._serve(request, request_id, body)

    async def _answer_without_end(
        self, request: web.BaseRequest
    ) -> web.Response:
        await endless.send_interim_responses(request)
        return web.Response()

    async def _answer_malformed(
        self, request: web.BaseRequest
    ) -> web.Response:
        request_id = request.headers.get('X-Request-Id', '')
        await self._malformed.send(request, request_id)
        return web.Response()

    async def _serve(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.Response:
        self._change_active(1)
        try:
            async with self._free_slots:
                self._count_run(request_id)
                await self._work(self._draw_service_s())
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self._change_active(-1)
        if self._faults.close_after_receipt:
            request.transport.abort()
        if self._options.next_url:
            return await self._call_next(request, request_id)
        headers = {'X-Served-Id': request_id, **self._faults.headers()}
        return web.Response(body=body or request_id.encode(), headers=headers)

    def _count_run(self, request_id: str) -> None:
        self.runs[request_id] += 1
        if self._options.witness_port:
            address = ('127.0.0.1', self._options.witness_port)
            options = self._options
            datagram = f'{options.service} {options.port} {request_id}'
            self._run_report_socket.sendto(datagram.encode(), address)

    async def _call_next(
        self, request: web.BaseRequest, request_id: str
    ) -> web.Response:
        """Call the next service and forward its response."""
        headers = {
            'Host': self._options.next_host,
            'X-Request-Id': request_id,
        }
        timeout_ms = request.headers.get('Jasminebeam-Timeout-Ms')
        if timeout_ms:
            headers['Jasminebeam-Timeout-Ms'] = timeout_ms
        if self._session is None:
            self._session = http_sessions.create()
        async with self._session.get(
            self._options.next_url, headers=headers
        ) as response:
            body = await response.read()
            forwarded_headers = {
                name: value
                for name, value in response.headers.items()
                if name.lower() == 'jasminebeam-final'
            }
            return web.Response(
                status=response.status, body=body, headers=forwarded_headers
            )

    async def _handle_control(self, request: web.BaseRequest) -> web.Response:
        if request.path == '/-/load' and self._faults.endless:
            return await self._answer_without_end(request)
        if request.path == '/-/load' and self._malformed.is_next(True):
            return await self._answer_malformed(request)
        if request.path == '/-/load':
            return web.Response(text=str(self._reported_active()))
        if request.path == '/-/runs':
            return web.json_response(
                {'runs': dict(self.runs), 'cancelled': self.cancelled}
            )
        if request.path == '/-/announce':
            await self.announce()
            return web.json_response({})
        if request.path == '/-/faults' and request.method == 'POST':
            faults = msgspec.json.decode(await request.read(), type=Faults)
            self.set_faults(faults)
            return web.json_response({})
        return web.Response(status=404)

    def _draw_service_s(self) -> float:
        options = self._options
        mean_log = -(options.sigma**2) / 2
        factor = self._generator.lognormvariate(mean_log, options.sigma)
        factor *= self._cold_factor()
        return options.service_ms * factor / 1_000

    async def _work(self, remaining_s: float) -> None:
        """Wait for the service time, scaled by the current slow factor.

        `remaining_s` counts seconds at normal speed. The factor may change
        meanwhile.
        """
        loop = asyncio.get_running_loop()
        while remaining_s > 0:
            factor = self._faults.slow_factor
            started_s = loop.time()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s * factor):
                    await self._speed_changed.wait()
            remaining_s -= (loop.time() - started_s) / factor

    def _cold_factor(self) -> float:
        if not self._options.cold_start_ms:
            return 1.0
        age_ms = clock.monotonic_ms() - self._started_ms
        remaining_ratio = max(0.0, 1 - age_ms / self._options.cold_start_ms)
        return 1.0 + 4.0 * remaining_ratio

    def _change_active(self, change: int) -> None:
        self._active += change
        now_ms = clock.monotonic_ms()
        self._active_history.append((now_ms, self._active))
        horizon_ms = now_ms - self._options.report_lag_ms
        while (
            len(self._active_history) > 1
            and self._active_history[1][0] <= horizon_ms
        ):
            self._active_history.popleft()

    def _reported_active(self) -> int:
        horizon_ms = clock.monotonic_ms() - self._options.report_lag_ms
        while (
            len(self._active_history) > 1
            and self._active_history[1][0] <= horizon_ms
        ):
            self._active_history.popleft()
        return self._active_history[0][1]
