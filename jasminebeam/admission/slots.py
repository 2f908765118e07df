"""Concurrency slots and bounded queue of one upstream."""

from __future__ import annotations

import dataclasses
import enum
import math

from jasminebeam.admission import cold_start
from jasminebeam.admission import queue
from jasminebeam.admission import rate_limit
from jasminebeam.model import upstreams
from jasminebeam import verdict

SERVICE_TIME_SMOOTHING_FACTOR = 0.1

# Until a request of its route has completed, a request's service time is
# estimated as this share of the time to its objective.
OBJECTIVE_RATIO = 0.3

# Maximum number of routes whose service times are kept. New configurations
# add routes, so the table would otherwise grow without bound.
MAX_ROUTES = 1_024

INITIAL_SERVICE_MS = 5.0

# If this many completions are expected and none occurs, the probability that
# the upstream still works at its normal speed is exp(-3), about 5 %.
MISSED_COMPLETIONS = 3.0

# Service times vary by about a third. A running request is therefore expected
# to take at most this multiple of its present age.
OLDEST_AGE_RATIO = 1.5

# An upstream that seems slower than this multiple of its usual service time is
# not slow: its completions are held back. Noisy hosts are slower by about 4.
MAX_SLOWDOWN = 10.0


NOTHING_DROPPED = queue.Dropped()


class Action(enum.Enum):
    """What the sidecar does with an offered request."""

    START = 'start'
    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Decision on an offer, with the reason for a refusal.

    Parameters
    ----------
    action : Action
        What the sidecar does with the request.
    reason : Reason
        Why it is refused; ``NONE`` if it is not.
    displaced : object or None
        Ticket of a queued request that is refused in its place.
    """

    action: Action
    reason: verdict.Reason = verdict.Reason.NONE
    displaced: object | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A request for a slot.

    Parameters
    ----------
    ticket : object
        Identity of the request.
    deadline_ms : float
        Monotonic instant after which the caller wants no answer.
    max_wait_ms : float
        Longest predicted wait that the ingress node accepts.
    priority : int
        Priority class; the lowest value starts first.
    objective_ms : float
        Monotonic instant until which an answer has its full value. Within
        a priority class, the earliest objective starts first.
    route : str
        Requests of the same route take about the same time.
    team : str
        Name of the team; empty if there is none.
    """

    ticket: object
    deadline_ms: float
    max_wait_ms: float
    priority: int = 0
    objective_ms: float = math.inf
    route: str = ''
    team: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """Queued requests to start, and queued requests to refuse.

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
    """Estimate of the decision on an offer, and of its wait.

    Parameters
    ----------
    reason : Reason
        Why the sidecar would refuse the offer; ``NONE`` if it would accept.
    wait_ms : float
        Expected time until the request would start.
    """

    reason: verdict.Reason
    wait_ms: float


START = Decision(Action.START)
WAIT = Decision(Action.WAIT)
BUSY = Decision(Action.REFUSE, verdict.Reason.BUSY)
RATE_LIMITED = Decision(Action.REFUSE, verdict.Reason.RATE_LIMITED)
COLD = Decision(Action.REFUSE, verdict.Reason.COLD)
QUEUE_FULL = Decision(Action.REFUSE, verdict.Reason.QUEUE_FULL)
MISSES_DEADLINE = Decision(Action.REFUSE, verdict.Reason.WOULD_MISS_DEADLINE)


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    decision: Decision
    wait_ms: float = 0.0
    waiting: queue.Waiting | None = None
    displaced: queue.Waiting | None = None


class SlotQueue:
    """Counts requests in flight exactly and bounds the queue.

    Parameters
    ----------
    slots : int
        Requests that the upstream processes concurrently.
    queue_ratio : float
        Maximum queue length as a multiple of the slots.
    usable_ratio : float
        Share of the slots that the sidecar fills. An upstream that slows
        down when nearly full has a higher throughput with some slots free.
    """

    def __init__(
        self, slots: int, queue_ratio: float, usable_ratio: float = 1.0
    ) -> None:
        self.slots = slots
        # Slowness of the host without short-term variations.
        self.baseline_slowness = 1.0
        # Rate limit that the upstream names.
        self.limit = rate_limit.RateLimit()
        # Limit while the upstream is cold, or may be.
        self.cold = cold_start.ColdLimit()
        self._queue_ratio = queue_ratio
        self._usable_ratio = usable_ratio
        self._started: dict[object, float] = {}
        self._start_conditions: dict[object, tuple[float, str]] = {}
        self._typical_by_route_ms: dict[str, float] = {}
        self._queue = queue.WaitingQueue()
        self._service_ms = INITIAL_SERVICE_MS
        self._last_completion_ms = 0.0
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
    def usable_slots(self) -> int:
        """Number of slots that may be filled."""
        if not self.slots:
            return 0
        return max(1, int(self.slots * self._usable_ratio))

    def offer(self, offer: Offer, slowness: float, now_ms: float) -> Decision:
        """Decide whether a request starts, waits or is refused.

        Load pattern: slots fill up in a burst, and hosts are slow for a
        fraction of a second. A request then ends sooner if it is rerouted,
        or waits until the host is fast, than if it starts immediately.

        Parameters
        ----------
        offer : Offer
            The request.
        slowness : float
            Current slowness of the host.
        now_ms : float
            Monotonic time.
        """
        self._queue.update_slowness(slowness, now_ms)
        plan = self._plan(offer, slowness, now_ms)
        if plan.decision is START:
            self._start(offer.ticket, offer.route, slowness, now_ms)
        elif plan.waiting is not None:
            self._queue.add(plan.waiting)
        if plan.displaced is not None:
            self._queue.remove(plan.displaced.ticket)
            return dataclasses.replace(
                plan.decision, displaced=plan.displaced.ticket
            )
        return plan.decision

    def estimate(
        self, offer: Offer, slowness: float, now_ms: float
    ) -> AdmissionEstimate:
        """Return the decision that an offer would get now."""
        plan = self._plan(offer, slowness, now_ms)
        return AdmissionEstimate(plan.decision.reason, plan.wait_ms)

    def _plan(self, offer: Offer, slowness: float, now_ms: float) -> _Plan:
        typical_ms = self._typical_ms(offer, now_ms)
        start_delay_ms = queue.max_start_delay_ms(slowness, typical_ms)
        if not start_delay_ms and self._may_start(now_ms) and not self._queue:
            return _Plan(START)
        ahead = self._queue.timely_ahead(
            offer.priority, offer.objective_ms, now_ms, offer.team
        )
        wait_ms = max(start_delay_ms, self._wait_ms(ahead, now_ms))
        late_from_ms = offer.objective_ms - queue.TIMELY_RATIO * typical_ms
        late_wait_ms = queue.LATE_WAIT_RATIO * (offer.deadline_ms - now_ms)
        if now_ms + wait_ms > late_from_ms:
            # The request is late in any case, so it only gets the capacity
            # that timely requests leave.
            wait_ms = max(start_delay_ms, self.predicted_wait_ms(now_ms))
            if self._queue.has_timely(now_ms) or wait_ms > late_wait_ms:
                return self._refuse(BUSY, now_ms)
            late_from_ms = now_ms
        waiting = queue.Waiting(
            offer.ticket,
            offer.deadline_ms,
            now_ms,
            offer.priority,
            offer.objective_ms,
            offer.route,
            typical_ms,
            late_from_ms + late_wait_ms,
            offer.team,
        )
        if waiting.is_too_late(now_ms + wait_ms) or (
            self._wastes_start(waiting, wait_ms, now_ms)
        ):
            return self._refuse(MISSES_DEADLINE, now_ms)
        if wait_ms > offer.max_wait_ms:
            return self._refuse(BUSY, now_ms)
        if len(self._queue) < self.slots * self._queue_ratio:
            return _Plan(WAIT, wait_ms, waiting)
        displaced = self._queue.displaced_by(waiting)
        if displaced is None:
            return _Plan(QUEUE_FULL)
        return _Plan(WAIT, wait_ms, waiting, displaced)

    def _wastes_start(
        self, waiting: queue.Waiting, wait_ms: float, now_ms: float
    ) -> bool:
        """Return True if a start at a cold upstream would be too late.

        Starts there are so few that a request must have its typical time
        left when it starts, with a margin.
        """
        if not self.cold.is_paced(now_ms):
            return False
        typical_ms = queue.TIMELY_RATIO * waiting.typical_ms
        return now_ms + wait_ms + typical_ms > waiting.deadline_ms

    def _refuse(self, decision: Decision, now_ms: float) -> _Plan:
        """Return a refusal, which names the limit if one is the cause."""
        if self.limit.wait_ms(0, now_ms):
            return _Plan(RATE_LIMITED)
        if self.cold.wait_ms(0, now_ms):
            return _Plan(COLD)
        return _Plan(decision)

    def pace_wait_ms(self, ahead: int, now_ms: float) -> float:
        """Return the time for which the limits hold a request back.

        Parameters
        ----------
        ahead : int
            Requests that start before it.
        now_ms : float
            Monotonic time.
        """
        return max(
            self.limit.wait_ms(ahead, now_ms), self.cold.wait_ms(ahead, now_ms)
        )

    def expiry_reason(self, now_ms: float) -> verdict.Reason:
        """Return why a queued request has waited too long."""
        return self._refuse(BUSY, now_ms).decision.reason

    def _may_start(self, now_ms: float) -> bool:
        if len(self._started) >= self.usable_slots:
            return False
        return not self.pace_wait_ms(0, now_ms)

    def release(
        self, ticket: object, slowness: float, now_ms: float, measured: bool
    ) -> Released:
        """Free a slot and return the queued requests that start instead.

        Parameters
        ----------
        ticket : object
            Request that has left the upstream.
        slowness : float
            Current slowness of the host.
        now_ms : float
            Monotonic time.
        measured : bool
            True if the request ran to completion, so that its duration is a
            sample of the service time.
        """
        started_ms = self._started.pop(ticket, None)
        start_slowness, route = self._start_conditions.pop(ticket, (1.0, ''))
        if started_ms is not None and measured:
            self.completed += 1
            weight = max(SERVICE_TIME_SMOOTHING_FACTOR, 1 / self.completed)
            normal_ms = (now_ms - started_ms) / start_slowness
            self._service_ms += weight * (normal_ms - self._service_ms)
            self._update_typical(route, normal_ms)
            self._last_completion_ms = now_ms
        return self.fill(slowness, now_ms)

    def withdraw(self, ticket: object) -> bool:
        """Remove a request from the queue; return False if not queued."""
        return self._queue.remove(ticket)

    def withdraw_all(self) -> tuple[object, ...]:
        """Remove and return all queued requests."""
        return self._queue.clear()

    def drop(self, now_ms: float) -> queue.Dropped:
        """Remove the queued requests that have waited too long.

        Those that others push back so far that they would become late, or
        that a limit will hold back for too long, are removed as well.
        """
        self.limit = self.limit.recovered(now_ms)
        return self._queue.drop(
            now_ms,
            lambda ahead: self.pace_wait_ms(ahead, now_ms),
            lambda ahead: self._progress_wait_ms(ahead, now_ms),
        )

    def service_ms(self, now_ms: float) -> float:
        """Return the service time, raised while completions are missing.

        With n requests in flight and none completed for a time T, the
        service time is at least n T / 3 with a confidence of 95 %, if the
        requests started independently. The requests of a burst start at
        the same time, so the age of the oldest request limits the estimate.
        """
        if not self._started:
            return self._service_ms
        since_completion_ms = now_ms - self._last_completion_ms
        expected_ms = (
            since_completion_ms * len(self._started) / MISSED_COMPLETIONS
        )
        oldest_ms = now_ms - next(iter(self._started.values()))
        return max(
            self._service_ms, min(expected_ms, OLDEST_AGE_RATIO * oldest_ms)
        )

    def predicted_wait_ms(self, now_ms: float) -> float:
        """Return the predicted wait of a new request for a slot."""
        return self._wait_ms(len(self._queue), now_ms)

    def _wait_ms(self, queued: int, now_ms: float) -> float:
        baseline_ms = self._service_ms * self.baseline_slowness
        service_ms = max(baseline_ms, self.service_ms(now_ms))
        return self._wait_at(service_ms, queued, now_ms)

    def _progress_wait_ms(self, queued: int, now_ms: float) -> float:
        """Return the wait if the upstream soon completes requests again.

        Completions that are missing for long may return at any moment: answers
        that callers do not read occupy slots until their connections are
        closed.
        """
        baseline_ms = self._service_ms * self.baseline_slowness
        service_ms = self.service_ms(now_ms)
        if service_ms > MAX_SLOWDOWN * baseline_ms:
            service_ms = baseline_ms
        return self._wait_at(max(baseline_ms, service_ms), queued, now_ms)

    def _wait_at(self, service_ms: float, queued: int, now_ms: float) -> float:
        limit_wait_ms = self.pace_wait_ms(queued, now_ms)
        ahead = len(self._started) + queued + 1 - self.usable_slots
        if ahead <= 0 or not self.usable_slots:
            return limit_wait_ms
        return max(limit_wait_ms, ahead * service_ms / self.usable_slots)

    def sample(
        self,
        phase: upstreams.Phase,
        reported: int,
        slowness: float,
        now_ms: float,
    ) -> upstreams.LoadSample:
        """Return a sample of the current load."""
        self._sequence += 1
        oldest_ms = 0.0
        if self._started:
            oldest_ms = now_ms - next(iter(self._started.values()))
        return upstreams.LoadSample(
            sequence=self._sequence,
            in_flight=len(self._started),
            queued=len(self._queue),
            slots=self.usable_slots,
            service_us=int(self.service_ms(now_ms) * 1_000),
            oldest_us=int(oldest_ms * 1_000),
            reported=reported,
            phase=phase,
            slowness_percent=round(slowness * 100),
        )

    def fill(self, slowness: float, now_ms: float) -> Released:
        """Fill the free slots from the queue, in its order."""
        self._queue.update_slowness(slowness, now_ms)
        dropped = self.drop(now_ms)
        start = []
        while self._may_start(now_ms):
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
            # An idle upstream completes nothing, so the time without a
            # completion is counted from the first start.
            self._last_completion_ms = now_ms
        self._started[ticket] = now_ms
        self.limit = self.limit.started(now_ms)
        self.cold = self.cold.started(now_ms)
        self._start_conditions[ticket] = (
            slowness * self.baseline_slowness,
            route,
        )

    def _typical_ms(self, offer: Offer, now_ms: float) -> float:
        mean_ms = self._typical_by_route_ms.get(offer.route)
        if mean_ms is None:
            mean_ms = self._service_ms
            if offer.objective_ms < math.inf:
                left_ms = offer.objective_ms - now_ms
                mean_ms = max(0.0, OBJECTIVE_RATIO * left_ms)
        return mean_ms * self.baseline_slowness

    def _update_typical(self, route: str, normal_ms: float) -> None:
        mean_ms = self._typical_by_route_ms.get(route)
        if mean_ms is None:
            if len(self._typical_by_route_ms) >= MAX_ROUTES:
                self._typical_by_route_ms.clear()
            mean_ms = normal_ms
        mean_ms += SERVICE_TIME_SMOOTHING_FACTOR * (normal_ms - mean_ms)
        self._typical_by_route_ms[route] = mean_ms
