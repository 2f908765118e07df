"""Slots and the bounded queue in front of one upstream."""

from __future__ import annotations

import bisect
import dataclasses
import enum
import math

from jasminebeam.admission import pace
from jasminebeam.model import upstreams
from jasminebeam import verdict

SERVICE_TIME_WEIGHT = 0.1

# Until a request of its route has ended, a request is taken to need this
# share of the time to its objective.
OBJECTIVE_SHARE = 0.3

# Routes whose service times are kept; configurations bring new ones.
MAX_ROUTES = 1_024

# A slow host is back at its usual speed within this time, so that a start
# is put off no longer; it is also the longest hold of one request.
MAX_HOLD_MS = 400.0
INITIAL_SERVICE_MS = 5.0

# Without a completion for this many expected ones, the chance that the
# upstream still works at its usual speed is exp(-3), about 5 %.
MISSED_COMPLETIONS = 3.0

# Service times vary by about a third: one that is still running takes at
# most half as long again, as far as its age tells.
OLDEST_SHARE = 1.5


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
class Waiting:
    """A queued request.

    Parameters
    ----------
    ticket : object
        Identity that the caller of the queue chose.
    deadline_ms : float
        Monotonic instant after which the request is not started.
    start_by_ms : float
        Monotonic instant from which it starts on a slow host as well.
    priority : int
        Rank; 0 is started first.
    objective_ms, route
        As in `Offer`.
    """

    ticket: object
    deadline_ms: float
    start_by_ms: float = 0.0
    priority: int = 0
    objective_ms: float = math.inf
    route: str = ''


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
    """Queued requests to start, and those that are too late."""

    start: tuple[object, ...] = ()
    expired: tuple[object, ...] = ()


START = Decision(Step.START)
WAIT = Decision(Step.WAIT)


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
        self._queue_ratio = queue_ratio
        self._usable_ratio = usable_ratio
        self._started: dict[object, float] = {}
        self._met: dict[object, tuple[float, str]] = {}
        self._usual_by_route: dict[str, float] = {}
        self._queue: list[Waiting] = []
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
        hold_ms = 0.0
        if pace.is_slow(slowness):
            usual_ms = self._usual_ms(offer, now_ms)
            hold_ms = min(MAX_HOLD_MS, (slowness - 1) * usual_ms)
        elif len(self._started) < self.usable and not self._queue:
            self._start(offer.ticket, offer.route, slowness, now_ms)
            return START
        wait_ms = max(hold_ms, self.predicted_wait_ms(now_ms))
        if now_ms + wait_ms >= offer.deadline_ms:
            return Decision(Step.REFUSE, verdict.Reason.WOULD_MISS_DEADLINE)
        if wait_ms > offer.max_wait_ms:
            return Decision(Step.REFUSE, verdict.Reason.BUSY)
        if len(self._queue) >= self.slots * self._queue_ratio:
            return Decision(Step.REFUSE, verdict.Reason.QUEUE_FULL)
        self._enqueue(
            Waiting(
                offer.ticket,
                offer.deadline_ms,
                now_ms + hold_ms,
                offer.priority,
                offer.objective_ms,
                offer.route,
            )
        )
        return WAIT

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

    def started_at(self, ticket: object) -> tuple[float, float] | None:
        """Return when a request began and the slowness that it met."""
        started_ms = self._started.get(ticket)
        if started_ms is None:
            return None
        return started_ms, self._met[ticket][0]

    def withdraw(self, ticket: object) -> bool:
        """Remove a request from the queue; False if it is not there."""
        for waiting in self._queue:
            if waiting.ticket == ticket:
                self._queue.remove(waiting)
                return True
        return False

    def withdraw_all(self) -> tuple[object, ...]:
        """Remove and return all queued requests."""
        waiting = tuple(entry.ticket for entry in self._queue)
        self._queue.clear()
        return waiting

    def expired(self, now_ms: float) -> tuple[object, ...]:
        """Remove and return the queued requests past their deadline."""
        late = tuple(
            waiting for waiting in self._queue if waiting.deadline_ms <= now_ms
        )
        for waiting in late:
            self._queue.remove(waiting)
        return tuple(waiting.ticket for waiting in late)

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
        ahead = len(self._started) + len(self._queue) + 1 - self.usable
        if ahead <= 0 or not self.usable:
            return 0.0
        return ahead * self.service_ms(now_ms) / self.usable

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
        slow = pace.is_slow(slowness)
        start = []
        expired = []
        for waiting in list(self._queue):
            if waiting.deadline_ms <= now_ms:
                self._queue.remove(waiting)
                expired.append(waiting.ticket)
            elif len(self._started) >= self.usable:
                break
            elif not slow or now_ms >= waiting.start_by_ms:
                self._queue.remove(waiting)
                self._start(waiting.ticket, waiting.route, slowness, now_ms)
                start.append(waiting.ticket)
        return Released(tuple(start), tuple(expired))

    def _start(
        self, ticket: object, route: str, slowness: float, now_ms: float
    ) -> None:
        if not self._started:
            # An idle upstream completes nothing; the count begins anew.
            self._completed_ms = now_ms
        self._started[ticket] = now_ms
        self._met[ticket] = (slowness, route)

    def _usual_ms(self, offer: Offer, now_ms: float) -> float:
        known_ms = self._usual_by_route.get(offer.route)
        if known_ms is not None:
            return known_ms
        if offer.objective_ms < math.inf:
            return max(0.0, OBJECTIVE_SHARE * (offer.objective_ms - now_ms))
        return self._service_ms

    def _learn(self, route: str, usual_ms: float) -> None:
        known_ms = self._usual_by_route.get(route)
        if known_ms is None:
            if len(self._usual_by_route) >= MAX_ROUTES:
                self._usual_by_route.clear()
            known_ms = usual_ms
        known_ms += SERVICE_TIME_WEIGHT * (usual_ms - known_ms)
        self._usual_by_route[route] = known_ms

    def _enqueue(self, waiting: Waiting) -> None:
        bisect.insort(self._queue, waiting, key=_rank)


def _rank(waiting: Waiting) -> tuple[int, float]:
    return waiting.priority, waiting.objective_ms
