"""Stand-in upstream: slots, service times, faults, and a count of runs."""

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

from jasminebeam import clock


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Behaviour of a stand-in upstream.

    Parameters
    ----------
    service, port, slots, cold_start_ms
        As in the announcement.
    announce_url : str
        URL of the node's announcement endpoint; empty for none.
    service_ms : float
        Mean of the log-normal service time.
    sigma : float
        Standard deviation of the logarithm of the service time.
    report_lag_ms : float
        Age of the load report.
    seed : int
        Seed of the service times.
    witness_port : int
        Loopback UDP port that is told the service and id of each request
        as it runs; 0 for none.
    next_url, next_host : str
        Service that each request calls in turn; empty for none.
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
    """Faults in force.

    Parameters
    ----------
    slow_factor : float
        Multiple of the service time, also of requests in progress.
    fail_fast : bool
        Answer 500 at once.
    shed : bool
        Answer the declared shed status before running.
    close_after_receipt : bool
        Run the request, then close the connection without an answer.
    """

    slow_factor: float = 1.0
    fail_fast: bool = False
    shed: bool = False
    close_after_receipt: bool = False


SHED_STATUS = 503
SHED_HEADER = 'X-Shed'


class StandInUpstream:
    """HTTP server with a fixed number of slots.

    Requests beyond the slots wait inside the upstream, as in a real
    server; a request counts as run when it takes a slot.
    """

    def __init__(self, options: Options) -> None:
        self._options = options
        self._generator = random.Random(options.seed)
        self._faults = Faults()
        self._free_slots = asyncio.Semaphore(options.slots)
        self._active = 0
        self._speed_changed = asyncio.Event()
        self._reports: collections.deque[tuple[float, int]] = (
            collections.deque([(0.0, 0)])
        )
        self._started_ms = clock.monotonic_ms()
        self.runs: collections.Counter[str] = collections.Counter()
        self.cancelled = 0
        self._session: aiohttp.ClientSession | None = None
        self._witness = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
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
        """Announce the upstream, again and again until it succeeds."""
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
        async with aiohttp.ClientSession() as session:
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
        self._witness.close()

    def set_faults(self, faults: Faults) -> None:
        """Change the faults in force."""
        self._faults = faults
        self._speed_changed.set()
        self._speed_changed = asyncio.Event()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path.startswith('/-/'):
            return await self._control(request)
        body = await request.read()
        if self._faults.shed:
            return web.Response(status=SHED_STATUS, headers={SHED_HEADER: '1'})
        request_id = request.headers.get('X-Request-Id', '')
        if self._faults.fail_fast:
            self._count_run(request_id)
            return web.Response(status=500, text='failing fast')
        return await self._serve(request, request_id, body)

    async def _serve(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.Response:
        self._change_active(1)
        try:
            async with self._free_slots:
                self._count_run(request_id)
                await self._work(self._service_s())
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self._change_active(-1)
        if self._faults.close_after_receipt:
            request.transport.abort()
        if self._options.next_url:
            return await self._call_next(request, request_id)
        headers = {'X-Served-Id': request_id}
        return web.Response(body=body or request_id.encode(), headers=headers)

    def _count_run(self, request_id: str) -> None:
        self.runs[request_id] += 1
        if self._options.witness_port:
            address = ('127.0.0.1', self._options.witness_port)
            report = f'{self._options.service} {request_id}'
            self._witness.sendto(report.encode(), address)

    async def _call_next(
        self, request: web.BaseRequest, request_id: str
    ) -> web.Response:
        """Call the next service and pass its answer on."""
        headers = {
            'Host': self._options.next_host,
            'X-Request-Id': request_id,
        }
        timeout_ms = request.headers.get('Jasminebeam-Timeout-Ms')
        if timeout_ms:
            headers['Jasminebeam-Timeout-Ms'] = timeout_ms
        if self._session is None:
            self._session = aiohttp.ClientSession()
        async with self._session.get(
            self._options.next_url, headers=headers
        ) as answer:
            body = await answer.read()
            passed_on = {
                name: value
                for name, value in answer.headers.items()
                if name.lower() == 'jasminebeam-final'
            }
            return web.Response(
                status=answer.status, body=body, headers=passed_on
            )

    async def _control(self, request: web.BaseRequest) -> web.Response:
        if request.path == '/-/load':
            return web.Response(text=str(self._reported()))
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

    def _service_s(self) -> float:
        options = self._options
        mean_log = -(options.sigma**2) / 2
        factor = self._generator.lognormvariate(mean_log, options.sigma)
        factor *= self._cold_factor()
        return options.service_ms * factor / 1_000

    async def _work(self, left_s: float) -> None:
        """Do an amount of work at a speed that may change meanwhile."""
        loop = asyncio.get_running_loop()
        while left_s > 0:
            factor = self._faults.slow_factor
            started_s = loop.time()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s * factor):
                    await self._speed_changed.wait()
            left_s -= (loop.time() - started_s) / factor

    def _cold_factor(self) -> float:
        if not self._options.cold_start_ms:
            return 1.0
        age_ms = clock.monotonic_ms() - self._started_ms
        left = max(0.0, 1 - age_ms / self._options.cold_start_ms)
        return 1.0 + 4.0 * left

    def _change_active(self, change: int) -> None:
        self._active += change
        now_ms = clock.monotonic_ms()
        self._reports.append((now_ms, self._active))
        horizon_ms = now_ms - self._options.report_lag_ms
        while len(self._reports) > 1 and self._reports[1][0] <= horizon_ms:
            self._reports.popleft()

    def _reported(self) -> int:
        horizon_ms = clock.monotonic_ms() - self._options.report_lag_ms
        while len(self._reports) > 1 and self._reports[1][0] <= horizon_ms:
            self._reports.popleft()
        return self._reports[0][1]
