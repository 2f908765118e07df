"""Health checks that tell whether the upstream is cold."""

from __future__ import annotations

import asyncio
import contextlib
import math
import typing

from jasminebeam.admission import cold_start
from jasminebeam import supervision
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.admission import slots
    from jasminebeam.model import routes
    from jasminebeam.model import upstreams
    from jasminebeam.telemetry import metrics

RESTART_DELAY_S = 0.1

# Timeout of a check, as a multiple of the usual time until a response: a lost
# response must not hold back the requests of a warm upstream for long. The
# timeout doubles with each check without a response.
TIMEOUT_RATIO = 4.0
MIN_TIMEOUT_MS = 100.0
MAX_TIMEOUT_MS = 1_000.0

_EVENTS = {
    cold_start.State.COLD: events.Event.UPSTREAM_COLD,
    cold_start.State.SILENT: events.Event.UPSTREAM_SILENT,
    cold_start.State.WARM: events.Event.UPSTREAM_WARM,
}


class ColdChecks:
    """Keeps the limit for a cold upstream, and checks when it needs to.

    Parameters
    ----------
    slot_queue : SlotQueue
        Keeps to the limit.
    check_health : callable
        Runs a health check, which calls `on_sent` and `on_result`.
    on_change : callable
        Starts requests that wait. Called when more requests may start.
    log : EventLog
        Receives each change between warm, cold and silent.
    counters : Metrics
        Shows the state and counts the checks.
    clock : callable
        Returns the monotonic time in ms.
    """

    def __init__(
        self,
        slot_queue: slots.SlotQueue,
        check_health: typing.Callable[
            [], typing.Awaitable[upstreams.Health | None]
        ],
        on_change: typing.Callable[[], None],
        log: events.EventLog,
        counters: metrics.Metrics,
        clock: typing.Callable[[], float],
    ) -> None:
        self._slots = slot_queue
        self._check_health = check_health
        self._on_change = on_change
        self._log = log
        self._counters = counters
        self._clock = clock
        self._cold_starts: dict[str, routes.ColdStart] = {}
        self._announcement: upstreams.Announcement | None = None
        self._logged = cold_start.State.OFF
        self._is_malformed = False
        self._wanted = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def set_cold_starts(
        self, cold_starts: typing.Iterable[routes.ColdStart]
    ) -> None:
        """Put the cold-start rates of a configuration in force."""
        self._cold_starts = {entry.service: entry for entry in cold_starts}
        if self._announcement is None:
            return
        per_s = self._rate(self._announcement)
        if per_s != self._slots.cold.per_s:
            now_ms = self._clock()
            self._slots.cold = self._slots.cold.with_rate(per_s, now_ms)
            self._update()
            self._on_change()

    def on_attach(
        self, announcement: upstreams.Announcement, same_upstream: bool
    ) -> None:
        """Start anew for an upstream, unless it is in service already."""
        changed = self._announcement is not None and (
            self._announcement.service != announcement.service
            or self._announcement.load_path != announcement.load_path
        )
        self._announcement = announcement
        if same_upstream and not changed:
            self.on_announced(announcement.cold_start_ms)
            return
        has_check = bool(announcement.load_path)
        cold_ms = announcement.cold_start_ms
        entry = self._cold_starts.get(announcement.service)
        if not (has_check or cold_ms) and entry is not None:
            # Nothing will tell when the upstream is warm.
            cold_ms = entry.duration_ms
        now_ms = self._clock()
        self._slots.cold = cold_start.attached(
            self._rate(announcement), cold_ms, has_check, now_ms
        )
        self._is_malformed = False
        self._update()

    def on_detach(self) -> None:
        """Forget the upstream."""
        self._announcement = None
        self._slots.cold = cold_start.ColdLimit()
        self._update()

    def on_announced(self, cold_ms: float) -> None:
        """Record for how long the upstream announces to stay cold.

        An announcement may have been sent long ago, so it does not show that
        the upstream is warm.
        """
        if cold_ms > 0 and self._slots.cold.enabled:
            now_ms = self._clock()
            self._slots.cold = self._slots.cold.on_cold(cold_ms, now_ms)
            self._update()

    def on_sent(self) -> None:
        """Record that a health check is sent."""
        if self._slots.cold.enabled:
            self._slots.cold = self._slots.cold.on_check_sent(self._clock())
            self._counters.cold_checks.inc()

    def on_result(
        self, sent_ms: float, health: upstreams.Health | None
    ) -> None:
        """Record the result of a health check; None without a response."""
        limit = self._slots.cold
        if not limit.enabled:
            return
        if health is None or not health.listening:
            self._slots.cold = limit.on_no_response(sent_ms)
        elif health.cold_ms is None:
            self._log_malformed()
        else:
            self._is_malformed = False
            self._slots.cold = limit.on_health(
                sent_ms, health.cold_ms, self._clock()
            )
        self._update()

    def wake(self) -> None:
        """Check now if the limit needs it."""
        if not self._slots.cold.enabled:
            return
        self._wanted.set()
        if self._task is None or self._task.done():
            if math.isinf(self._slots.cold.check_delay_ms(self._clock())):
                return
            self._task = asyncio.get_running_loop().create_task(
                supervision.supervise(self._run, self._log, RESTART_DELAY_S)
            )

    def close(self) -> None:
        """Stop the checks."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        """Check until the limit needs no further check."""
        timeout_ms = 0.0
        while True:
            self._wanted.clear()
            delay_ms = self._slots.cold.check_delay_ms(self._clock())
            if math.isinf(delay_ms):
                return
            if delay_ms:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(delay_ms / 1_000):
                        await self._wanted.wait()
                continue
            sent_ms = self._slots.cold.last_check_ms
            health = None
            timeout_ms = self._timeout_ms(timeout_ms)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_ms / 1_000):
                    health = await self._check_health()
            if health is not None:
                timeout_ms = 0.0
            if self._slots.cold.last_check_ms == sent_ms:
                # A suspended upstream gets no health checks.
                await asyncio.sleep(cold_start.CHECK_INTERVAL_MS / 1_000)

    def _timeout_ms(self, previous_ms: float) -> float:
        """Return the timeout of a check; the previous is 0 if answered.

        An upstream that has just started may take long to respond.
        """
        state = self._slots.cold.state(self._clock())
        if state not in (cold_start.State.WARM, cold_start.State.COLD):
            return MAX_TIMEOUT_MS
        usual_ms = TIMEOUT_RATIO * self._slots.cold.check_ms
        return min(
            max(MIN_TIMEOUT_MS, usual_ms, 2 * previous_ms), MAX_TIMEOUT_MS
        )

    def _rate(self, announcement: upstreams.Announcement) -> float:
        entry = self._cold_starts.get(announcement.service)
        return math.inf if entry is None else entry.per_s

    def _update(self) -> None:
        """Show a change of the state, and start what may start now."""
        now_ms = self._clock()
        limit = self._slots.cold
        state = limit.state(now_ms)
        if state is self._logged is cold_start.State.OFF:
            return
        self._counters.upstream_cold.set(limit.is_paced(now_ms))
        if state is not self._logged:
            self._logged = state
            if state in _EVENTS:
                self._log_state(_EVENTS[state], limit, now_ms)
        self._on_change()
        self.wake()

    def _log_state(
        self,
        event: events.Event,
        limit: cold_start.ColdLimit,
        now_ms: float,
    ) -> None:
        self._log.write(
            event,
            per_s=limit.per_s,
            cold_ms=round(max(0.0, limit.cold_until_ms - now_ms)),
            recent_starts=len(limit.starts_ms),
        )

    def _log_malformed(self) -> None:
        """Log the first of successive malformed statements."""
        if not self._is_malformed:
            self._log.write(events.Event.COLD_MALFORMED)
        self._is_malformed = True
