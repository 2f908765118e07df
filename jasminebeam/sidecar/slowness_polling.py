"""Polls the host's slowness while requests wait for a decision."""

from __future__ import annotations

import asyncio
import contextlib
import typing

from jasminebeam import supervision

if typing.TYPE_CHECKING:
    from jasminebeam.admission import host_speed
    from jasminebeam.admission import slots
    from jasminebeam.model import upstreams
    from jasminebeam.peering import messages
    from jasminebeam.retries import registry
    from jasminebeam.sidecar import ingress_replies
    from jasminebeam.telemetry import events

# While requests wait, the sidecar polls the host's slowness at this
# interval. The host's speed changes every few hundred milliseconds.
SLOWNESS_POLL_INTERVAL_S = 0.015

# Timeout of a health check that reads the host's slowness. The result of a
# check that takes longer is out of date when it arrives.
SLOWNESS_CHECK_TIMEOUT_S = 0.05

# Delay of the next such check after one without a result; doubled each time.
FIRST_CHECK_DELAY_MS = 50.0
MAX_CHECK_DELAY_MS = 1_000.0


class PendingQuery(typing.NamedTuple):
    """Query that waits for a report, with the time of its receipt."""

    message: messages.AdmissionQuery
    send: ingress_replies.Send
    received_ms: float


class SlownessPolling:
    """Requests and queries that wait for a report, and the polling for it.

    Parameters
    ----------
    slot_queue : SlotQueue
        Requests that wait for a slot or for a limit.
    speed : HostSpeed
        Says whether a newer report is needed.
    check_health : callable
        Runs a health check.
    on_polled : callable
        Decides on what waits. Called after each check.
    log : EventLog
        Receives failures of the task.
    clock : callable
        Returns the monotonic time in ms.
    """

    def __init__(
        self,
        slot_queue: slots.SlotQueue,
        speed: host_speed.HostSpeed,
        check_health: typing.Callable[
            [], typing.Awaitable[upstreams.Health | None]
        ],
        on_polled: typing.Callable[[], None],
        log: events.EventLog,
        clock: typing.Callable[[], float],
    ) -> None:
        self._slots = slot_queue
        self._host_speed = speed
        self._check_health = check_health
        self._on_polled = on_polled
        self._log = log
        self._clock = clock
        self._requests: list[registry.RequestId] = []
        self._queries: list[PendingQuery] = []
        # Delay after checks without a result, and its end.
        self._check_delay_ms = 0.0
        self._next_check_ms = 0.0
        self._wanted = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def add_request(self, request_id: registry.RequestId) -> None:
        """Decide on a request after the next report."""
        self._requests.append(request_id)
        self.start()

    def add_query(self, query: PendingQuery) -> None:
        """Answer a query after the next report."""
        self._queries.append(query)
        self.start()

    def take_requests(self) -> list[registry.RequestId]:
        """Remove and return the requests that wait for a report."""
        taken, self._requests = self._requests, []
        return taken

    def take_queries(self) -> list[PendingQuery]:
        """Remove and return the queries that wait for a report."""
        taken, self._queries = self._queries, []
        return taken

    def start(self) -> None:
        """Poll until nothing waits any more."""
        self.wake()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(
                supervision.supervise(
                    self._poll_slowness, self._log, SLOWNESS_POLL_INTERVAL_S
                )
            )

    def wake(self) -> None:
        """Poll at once if something waits."""
        self._wanted.set()

    def on_other_upstream(self) -> None:
        """Forget the failed checks of a previous upstream."""
        self._check_delay_ms = self._next_check_ms = 0.0

    async def _poll_slowness(self) -> None:
        """Poll the host's slowness while requests wait for a decision."""
        while self._requests or self._queries or self._slots.queued:
            self._wanted.clear()
            now_ms = self._clock()
            limit_wait_s = self._slots.pace_wait_ms(0, now_ms) / 1_000
            if not limit_wait_s and self._host_speed.needs_check(now_ms):
                await self._check_slowness(now_ms)
            self._on_polled()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    max(SLOWNESS_POLL_INTERVAL_S, limit_wait_s)
                ):
                    await self._wanted.wait()

    async def _check_slowness(self, now_ms: float) -> None:
        """Run a health check unless the latest ones had no result."""
        if now_ms < self._next_check_ms:
            return
        health = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SLOWNESS_CHECK_TIMEOUT_S):
                health = await self._check_health()
        if health is not None:
            self._check_delay_ms = 0.0
            return
        self._check_delay_ms = min(
            max(FIRST_CHECK_DELAY_MS, 2 * self._check_delay_ms),
            MAX_CHECK_DELAY_MS,
        )
        self._next_check_ms = self._clock() + self._check_delay_ms
