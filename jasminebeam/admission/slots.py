"""Slots and the bounded queue in front of one upstream."""

from __future__ import annotations

import dataclasses
import enum
import math

from jasminebeam.admission import queue
from jasminebeam.model import upstreams
from jasminebeam import verdict

SERVICE_TIME_WEIGHT = 0.1

# Until a request of its route has ended, a request is taken to need this
# share of the time to its objective.
OBJECTIVE_SHARE = 0.3

# Routes whose service times are kept; configurations bring new ones.
MAX_ROUTES = 1_024

INITIAL_SERVICE_MS = 5.0

# Without a completion for this many expected ones, the chance that the
# upstream still works at its usual speed is exp(-3), about 5 %.
MISSED_COMPLETIONS = 3.0

# Service times vary by about a third: one that is still running takes at
# most half as long again, as far as its age tells.
OLDEST_SHARE = 1.5


NOTHING_DROPPED = queue.Dropped()


class Step(enum.Enum):
    """What to do with an offered request."""

    START = 'start'
    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Result of an offer; the reason is set for a refusal."""

    step: Step
    reason: verdict.Reason = verdict.Reason.NONE


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A request that asks for a slot.

    Parameters
    ----------
    ticket : object
        Identity of the request.
    deadline_ms : float
        Monotonic instant after which the request is not started.
    max_wait_ms : float
        Longest predicted wait that the ingress node accepts.
    priority : int
        Rank; 0 is started first.
    objective_ms : float
        Monotonic instant until which an answer has its full value; the
        earlier one goes first among those of one rank.
    route : str
        Requests of one route take about the same time.
    """

    ticket: object
    deadline_ms: float
    max_wait_ms: float
    priority: int = 0
    objective_ms: float = math.inf
    route: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """Queued requests to start, and those that stop waiting.

    Parameters
    ----------
    start : tuple of object
        Tickets of the requests that take the free slots.
    dropped : Dropped
        Requests that have waited too long.
    """

    start: tuple[object, ...] = ()
    dropped: queue.Dropped = NOTHING_DROPPED


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionEstimate:
    """What an offer would get: a refusal's reason, or a wait.

    Parameters
    ----------
    reason : Reason
        ``NONE`` if the offer would be accepted.
    wait_ms : float
        Expected time until it would start.
    """

    reason: verdict.Reason
    wait_ms: float


START = Decision(Step.START)
WAIT = Decision(Step.WAIT)
BUSY = Decision(Step.REFUSE, verdict.Reason.BUSY)
QUEUE_FULL = Decision(Step.REFUSE, verdict.Reason.QUEUE_FULL)
MISSES_DEADLINE = Decision(Step.REFUSE, verdict.Reason.WOULD_MISS_DEADLINE)


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    decision: Decision
    wait_ms: float = 0.0
    waiting: queue.Waiting | None = None


class SlotQueue:
    """Counts requests in flight exactly and bounds those that wait.

    Parameters
    ----------
    slots : int
        Requests that the upstream works on at once.
    queue_ratio : float
        Longest queue as a multiple of the slots.
    usable_ratio : float
        Share of the slots that is filled; upstreams that slow down when
        nearly full do more work with some slots free.
    """

    def __init__(
        self, slots: int, queue_ratio: float, usable_ratio: float = 1.0
    ) -> None:
        self.slots = slots
        # How slow the host is apart from what passes in a moment.
        self.level = 1.0
        self._queue_ratio = queue_ratio
        self._usable_ratio = usable_ratio
        self._started: dict[object, float] = {}
        self._met: dict[object, tuple[float, str]] = {}
        self._usual_by_route: dict[str, float] = {}
        self._queue = queue.WaitingQueue()
        self._service_ms = INITIAL_SERVICE_MS
        self._completed_ms = 0.0
        self.completed = 0
        self._sequence = 0

    @property
    def in_flight(self) -> int:
        """Number of requests at the upstream."""
        return len(self._started)

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def usable(self) -> int:
        """Number of slots that are filled."""
        if not self.slots:
            return 0
        return max(1, int(self.slots * self._usable_ratio))

    def offer(self, offer: Offer, slowness: float, now_ms: float) -> Decision:
        """Decide whether a request starts, waits or is refused.

        Load pattern: slots that fill up in a burst, and hosts that are
        slow for a fraction of a second, where it is better to go
        elsewhere, or to wait for the host, than to start.

        Parameters
        ----------
        offer : Offer
            The request.
        slowness : float
            Slowness of the host at this moment.
        now_ms : float
            Monotonic time.
        """
        self._queue.note_speed(slowness, now_ms)
        plan = self._plan(offer, slowness, now_ms)
        if plan.decision is START:
            self._start(offer.ticket, offer.route, slowness, now_ms)
        elif plan.waiting is not None:
            self._queue.add(plan.waiting)
        return plan.decision

    def estimate(
        self, offer: Offer, slowness: float, now_ms: float
    ) -> AdmissionEstimate:
        """Return what an offer would get at this moment."""
        plan = self._plan(offer, slowness, now_ms)
        return AdmissionEstimate(plan.decision.reason, plan.wait_ms)

    def _plan(self, offer: Offer, slowness: float, now_ms: float) -> _Plan:
        usual_ms = self._usual_ms(offer, now_ms)
        hold_ms = queue.hold_ms(slowness, usual_ms)
        free = len(self._started) < self.usable
        if not hold_ms and free and not self._queue:
            return _Plan(START)
        ahead = self._queue.timely_ahead(
            offer.priority, offer.objective_ms, now_ms
        )
        wait_ms = max(hold_ms, self._wait_ms(ahead, now_ms))
        give_up_ms = offer.objective_ms - queue.TIMELY_SHARE * usual_ms
        late_wait_ms = queue.LATE_WAIT_SHARE * (offer.deadline_ms - now_ms)
        if now_ms + wait_ms > give_up_ms:
            # Late in any case: it only takes what others leave.
            wait_ms = max(hold_ms, self.predicted_wait_ms(now_ms))
            if self._queue.has_timely(now_ms) or wait_ms > late_wait_ms:
                return _Plan(BUSY)
            give_up_ms = now_ms
        waiting = queue.Waiting(
            offer.ticket,
            offer.deadline_ms,
            now_ms,
            offer.priority,
            offer.objective_ms,
            offer.route,
            usual_ms,
            give_up_ms + late_wait_ms,
        )
        if waiting.is_hopeless(now_ms + wait_ms):
            return _Plan(MISSES_DEADLINE)
        if wait_ms > offer.max_wait_ms:
            return _Plan(BUSY)
        if len(self._queue) >= self.slots * self._queue_ratio:
            return _Plan(QUEUE_FULL)
        return _Plan(WAIT, wait_ms, waiting)

    def release(
        self, ticket: object, slowness: float, now_ms: float, measured: bool
    ) -> Released:
        """Free a slot and return the queued requests that take over.

        Parameters
        ----------
        ticket : object
            Request that has left the upstream.
        slowness : float
            Slowness of the host at this moment.
        now_ms : float
            Monotonic time.
        measured : bool
            True if the request ran to its end, so that its duration
            tells the service time.
        """
        started_ms = self._started.pop(ticket, None)
        slowness_before, route = self._met.pop(ticket, (1.0, ''))
        if started_ms is not None and measured:
            self.completed += 1
            weight = max(SERVICE_TIME_WEIGHT, 1 / self.completed)
            usual_ms = (now_ms - started_ms) / slowness_before
            self._service_ms += weight * (usual_ms - self._service_ms)
            self._learn(route, usual_ms)
            self._completed_ms = now_ms
        return self.fill(slowness, now_ms)

    def withdraw(self, ticket: object) -> bool:
        """Remove a request from the queue; False if it is not there."""
        return self._queue.remove(ticket)

    def withdraw_all(self) -> tuple[object, ...]:
        """Remove and return all queued requests."""
        return self._queue.clear()

    def drop(self, now_ms: float) -> queue.Dropped:
        """Remove the queued requests that have waited too long."""
        return self._queue.drop(now_ms)

    def service_ms(self, now_ms: float) -> float:
        """Return the service time, raised while completions are missing.

        With n requests in flight and none completed for a time T, the
        service time is at least n T / 3 with a confidence of 95 %, if they
        began at times of their own. Those of a burst began together, so
        that the age of the oldest bounds what can be concluded.
        """
        if not self._started:
            return self._service_ms
        quiet_ms = now_ms - self._completed_ms
        expected_ms = quiet_ms * len(self._started) / MISSED_COMPLETIONS
        oldest_ms = now_ms - next(iter(self._started.values()))
        return max(
            self._service_ms, min(expected_ms, OLDEST_SHARE * oldest_ms)
        )

    def predicted_wait_ms(self, now_ms: float) -> float:
        """Return the time that a new request would wait for a slot."""
        return self._wait_ms(len(self._queue), now_ms)

    def _wait_ms(self, queued: int, now_ms: float) -> float:
        ahead = len(self._started) + queued + 1 - self.usable
        if ahead <= 0 or not self.usable:
            return 0.0
        level_ms = self._service_ms * self.level
        service_ms = max(level_ms, self.service_ms(now_ms))
        return ahead * service_ms / self.usable

    def sample(
        self,
        phase: upstreams.Phase,
        reported: int,
        slowness: float,
        now_ms: float,
    ) -> upstreams.LoadSample:
        """Return the load at this moment."""
        self._sequence += 1
        oldest_ms = 0.0
        if self._started:
            oldest_ms = now_ms - next(iter(self._started.values()))
        return upstreams.LoadSample(
            sequence=self._sequence,
            in_flight=len(self._started),
            queued=len(self._queue),
            slots=self.usable,
            service_us=int(self.service_ms(now_ms) * 1_000),
            oldest_us=int(oldest_ms * 1_000),
            reported=reported,
            phase=phase,
            slowness_percent=round(slowness * 100),
        )

    def fill(self, slowness: float, now_ms: float) -> Released:
        """Return the queued requests that start now, by rank."""
        self._queue.note_speed(slowness, now_ms)
        dropped = self._queue.drop(now_ms)
        start = []
        while len(self._started) < self.usable:
            waiting = self._queue.pop(now_ms)
            if waiting is None:
                break
            self._start(waiting.ticket, waiting.route, slowness, now_ms)
            start.append(waiting.ticket)
        return Released(tuple(start), dropped)

    def _start(
        self, ticket: object, route: str, slowness: float, now_ms: float
    ) -> None:
        if not self._started:
            # An idle upstream completes nothing; the count begins anew.
            self._completed_ms = now_ms
        self._started[ticket] = now_ms
        self._met[ticket] = (slowness * self.level, route)

    def _usual_ms(self, offer: Offer, now_ms: float) -> float:
        known_ms = self._usual_by_route.get(offer.route)
        if known_ms is None:
            known_ms = self._service_ms
            if offer.objective_ms < math.inf:
                left_ms = offer.objective_ms - now_ms
                known_ms = max(0.0, OBJECTIVE_SHARE * left_ms)
        return known_ms * self.level

    def _learn(self, route: str, usual_ms: float) -> None:
        known_ms = self._usual_by_route.get(route)
        if known_ms is None:
            if len(self._usual_by_route) >= MAX_ROUTES:
                self._usual_by_route.clear()
            known_ms = usual_ms
        known_ms += SERVICE_TIME_WEIGHT * (usual_ms - known_ms)
        self._usual_by_route[route] = known_ms
