"""Choice of the nodes that watch the configuration, and their reports."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import typing

from jasminebeam.configuration import watch_timing
from jasminebeam import supervision
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.configuration import route_watch
    from jasminebeam.membership import watch_reports as watch_reports_module

# Interval at which a node checks its rank while it may not watch.
IDLE_INTERVAL_S = 1.0

# Shortest wait between two checks. A silence that is too short by a rounding
# error must not make a node check without end.
MIN_STEP_S = 0.005

# A call that takes longer is reported as an attempt, so that nodes of higher
# ranks do not call as well.
ATTEMPT_NOTICE_S = 0.1

# Time in which a node reads the reports that have arrived before it calls.
UNREAD_REPORTS_S = 0.02

# Nodes of a domain that watch again as soon as the store answers them.
REGULAR_WATCHERS = 2

# Intervals between calls that fail: of the first two nodes of a domain, and
# of each other node.
FIRST_RETRY_S = 0.9
RETRY_S = 4.0

# Shortest time between two reports of attempts in a failure domain.
ATTEMPT_INTERVAL_MS = 500.0

# A node beyond the first ranks that knows of an attempt of this age calls
# with a probability by which all of its domain together call at this rate.
ATTEMPT_HOLD_MS = 2_500.0
HELD_CALLS_PER_S = 4.0
HELD_INTERVAL_S = 0.25

# A watcher stops once a node of lower rank has watched for this time.
TAKEOVER_MS = 500.0

# Maximum time for the first read of the routes by a new watcher.
FIRST_READ_S = 1.0

# Successive answers after which a node has contact with the store again.
ANSWERS_BEFORE_CONTACT = 2

# Times after which the watchers of the first failure domains replace their
# polls. No call besides the poll shows that its answer is lost while cheap
# reads are stale. The second domain does so as well, because the loss of the
# first one is known to the others only after some time.
MAX_POLLS_MS = (3_500.0, 4_000.0)

# Silence that is logged if no watcher was ever known.
MAX_LOGGED_MS = 1_000_000.0


class Reporter(typing.Protocol):
    """Part of the membership task that the keeper uses.

    The node of a domain with the highest rendezvous weight has rank 0; a lower
    rank watches before a higher one.
    """

    @property
    def watch_reports(self) -> watch_reports_module.WatchReports:
        """Reports of the watchers of the own failure domain."""

    def report_watch(self, answered: bool) -> None:
        """Report an answer of the store, or an attempt without one."""

    def precedes(self, node_id: str) -> bool:
        """Return True if another node of the domain has a lower rank."""

    def follows(self, node_id: str) -> bool:
        """Return True if another node of the domain has a higher rank."""

    def watch_domain_size(self) -> int:
        """Return the number of nodes of the domain, suspected ones too."""

    @property
    def domain_position(self) -> int:
        """Position of the own failure domain among those alive."""

    @property
    def has_store_contact(self) -> bool:
        """Whether the store answers this node, as it has published."""

    def publish_contact(self, has_contact: bool) -> None:
        """Publish whether the store answers this node."""


class WatchKeeper:
    """Watches the configuration while no node of a lower rank does.

    Load pattern: any set of nodes vanishes at one moment, among them all that
    watch the store. The others notice within a part of the time in which a
    change must be in force, because reports stop. They then call in the order
    of their ranks, so a few calls are enough.

    Parameters
    ----------
    watch : RouteWatch
        Watch of the route set.
    call_store : callable
        Calls the store; returns whether it has answered.
    rank : callable
        Returns the position of this node among the alive nodes of its failure
        domain; None while it may not watch.
    reporter : Reporter
        Sends and receives the reports.
    clock : callable
        Returns the monotonic time in ms.
    generator : random.Random
        Source of jitter.
    log : EventLog
        Receives the start and the end of the watch.
    """

    def __init__(
        self,
        watch: route_watch.RouteWatch,
        call_store: typing.Callable[[], typing.Awaitable[bool]],
        rank: typing.Callable[[], int | None],
        reporter: Reporter,
        clock: typing.Callable[[], float],
        generator: random.Random,
        log: events.EventLog,
    ) -> None:
        self._watch = watch
        self._call_store = call_store
        self._rank = rank
        self._reporter = reporter
        self._clock = clock
        self._generator = generator
        self._log = log
        self._watching: asyncio.Task[None] | None = None
        self._woken = asyncio.Event()
        # Time from which this node may watch without an interruption.
        self._eligible_ms = math.inf
        self._next_call_ms = -math.inf
        self._poll_replaced_ms = -math.inf
        # Successive answers of the store to this node.
        self._answers = 0

    @property
    def is_watching(self) -> bool:
        """True while this node watches the store."""
        return self._watching is not None

    async def run(self) -> None:
        """Watch whenever no node of a lower rank does."""
        try:
            while True:
                await self._wait(self._step_delay_s(self._clock()))
                await self._step(self._clock())
        finally:
            await self._stop('stopped')

    def wake(self) -> None:
        """Check the rank of this node at once."""
        self._woken.set()

    def on_routes(self) -> None:
        """Report at once that the store has sent a change."""
        if self.is_watching:
            self._reporter.report_watch(True)

    def _silence_ms(self, rank: int, now_ms: float) -> float:
        """Return the time without a report since this node may watch.

        Before, reports may not have reached it. The first node of a domain
        need not wait for reports of others.
        """
        age_ms = self._report_age_ms(rank, now_ms)
        if rank == 0:
            return age_ms
        return min(age_ms, now_ms - self._eligible_ms)

    def _allowed_silence_ms(self, rank: int) -> float:
        """Return the silence at which this node calls the store."""
        return watch_timing.allowed_silence_ms(0 if self.is_watching else rank)

    def _is_silent(self, rank: int, now_ms: float) -> bool:
        silence_ms = self._silence_ms(rank, now_ms)
        return silence_ms >= self._allowed_silence_ms(rank)

    def _report_age_ms(self, rank: int, now_ms: float) -> float:
        """Return the age of the newest report.

        Reports of the nodes that substitute for the first two do not keep
        these from watching again.
        """
        reports = self._reporter.watch_reports
        if rank >= REGULAR_WATCHERS:
            return reports.age_ms(now_ms)
        return reports.age_ms(
            now_ms, lambda node_id: not self._reporter.follows(node_id)
        )

    async def _wait(self, delay_s: float) -> None:
        self._woken.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._woken.wait()

    async def _step(self, now_ms: float) -> None:
        rank = self._rank()
        if rank is None:
            self._eligible_ms = math.inf
            await self._stop('not_settled')
            return
        self._eligible_ms = min(self._eligible_ms, now_ms)
        if self.is_watching and self._is_superseded(now_ms):
            await self._stop('superseded')
        if not self._is_due(rank, now_ms):
            return
        # Reports may have arrived while the process did not run.
        await asyncio.sleep(UNREAD_REPORTS_S)
        now_ms = self._clock()
        if self._is_due(rank, now_ms) and self._may_call(rank, now_ms):
            await self._call(rank)

    def _step_delay_s(self, now_ms: float) -> float:
        """Return the time until this node may have to call the store."""
        rank = self._rank()
        if rank is None:
            return IDLE_INTERVAL_S * self._jitter()
        age_ms = self._report_age_ms(rank, now_ms)
        due_ms = self._allowed_silence_ms(rank) - age_ms
        due_ms = max(due_ms, self._next_call_ms - now_ms)
        if due_ms <= 0:
            return HELD_INTERVAL_S * self._jitter()
        return min(IDLE_INTERVAL_S, max(MIN_STEP_S, due_ms / 1_000))

    def _is_due(self, rank: int, now_ms: float) -> bool:
        if now_ms < self._next_call_ms:
            return False
        if not self._reporter.has_store_contact:
            return True
        return self._is_silent(rank, now_ms)

    def _may_call(self, rank: int, now_ms: float) -> bool:
        """Return False for most nodes while others call in vain."""
        if self.is_watching or rank < watch_timing.FIRST_TIER_END:
            return True
        reports = self._reporter.watch_reports
        if reports.attempt_age_ms(now_ms) > ATTEMPT_HOLD_MS:
            return True
        calls = HELD_CALLS_PER_S * HELD_INTERVAL_S
        size = self._reporter.watch_domain_size()
        return self._generator.random() < calls / size

    async def _call(self, rank: int) -> None:
        """Call the store; watch and report if it answers."""
        if rank and not self.is_watching:
            # The nodes of higher ranks then wait.
            self._report_attempt(self._clock())
        answered = await self._call_with_notice()
        if answered and self._has_to_watch(rank, self._clock()):
            # The store may answer cheap reads and refuse others.
            answered = await self._watch_store(rank)
            if answered:
                self._reporter.report_watch(True)
        if answered:
            self._answers += 1
            self._next_call_ms = -math.inf
        else:
            self._answers = 0
            is_regular = rank < REGULAR_WATCHERS
            retry_s = FIRST_RETRY_S if is_regular else RETRY_S
            delay_ms = 1_000 * retry_s * self._jitter()
            self._next_call_ms = self._clock() + delay_ms
            self._report_attempt(self._clock())
            await self._stop('store_unavailable')
        self._publish_contact(rank)

    def _report_attempt(self, now_ms: float) -> None:
        """Report a call without an answer unless another node just has."""
        reports = self._reporter.watch_reports
        if reports.attempt_age_ms(now_ms) >= ATTEMPT_INTERVAL_MS:
            self._reporter.report_watch(False)

    async def _call_with_notice(self) -> bool:
        """Call the store; report an attempt that takes long."""
        calling = asyncio.ensure_future(self._call_store())
        try:
            await asyncio.wait({calling}, timeout=ATTEMPT_NOTICE_S)
            if not calling.done():
                self._report_attempt(self._clock())
            return await calling
        finally:
            calling.cancel()

    def _has_to_watch(self, rank: int, now_ms: float) -> bool:
        return self.is_watching or self._is_silent(rank, now_ms)

    async def _watch_store(self, rank: int) -> bool:
        """Watch the store; return True if the routes are up to date."""
        if not self.is_watching:
            self._start(rank, self._clock())
        else:
            self._replace_old_poll(self._clock())
        return await self._watch.wait_until_read(FIRST_READ_S)

    def _replace_old_poll(self, now_ms: float) -> None:
        position = self._reporter.domain_position
        if position >= len(MAX_POLLS_MS):
            self._poll_replaced_ms = now_ms
        elif now_ms - self._poll_replaced_ms >= MAX_POLLS_MS[position]:
            self._poll_replaced_ms = now_ms
            self._watch.replace_poll()

    def _start(self, rank: int, now_ms: float) -> None:
        silence_ms = self._silence_ms(rank, now_ms)
        self._poll_replaced_ms = now_ms
        self._log.write(
            events.Event.WATCH_STARTED,
            rank=rank,
            silence_ms=round(min(silence_ms, MAX_LOGGED_MS)),
        )
        self._watching = asyncio.create_task(
            supervision.supervise(self._watch.run, self._log)
        )

    async def _stop(self, cause: str) -> None:
        if self._watching is None:
            return
        watching = self._watching
        self._watching = None
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)
        self._log.write(events.Event.WATCH_STOPPED, cause=cause)

    def _is_superseded(self, now_ms: float) -> bool:
        """Return True if a node of a lower rank has watched for a while."""
        reports = self._reporter.watch_reports
        recent = reports.watchers(now_ms, watch_timing.allowed_silence_ms(1))
        return any(
            known.answered_ms - known.since_ms >= TAKEOVER_MS
            and self._reporter.precedes(node_id)
            for node_id, known in recent.items()
        )

    def _publish_contact(self, rank: int) -> None:
        """Publish a lost contact at once, and its return when it lasts.

        Only the first nodes do, as each record spreads to the whole fleet.
        """
        has_contact = self._answers > 0
        if not has_contact and rank >= watch_timing.FIRST_TIER_END:
            return
        if has_contact == self._reporter.has_store_contact:
            return
        if not has_contact or self._answers >= ANSWERS_BEFORE_CONTACT:
            self._reporter.publish_contact(has_contact)

    def _jitter(self) -> float:
        return 0.5 + self._generator.random()
