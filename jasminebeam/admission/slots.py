"""Slots and the bounded queue in front of one upstream."""

from __future__ import annotations

import collections
import dataclasses
import enum

from jasminebeam.model import upstreams
from jasminebeam import verdict

SERVICE_TIME_WEIGHT = 0.1
INITIAL_SERVICE_MS = 5.0

# Without a completion for this many expected ones, the chance that the
# upstream still works at its usual speed is exp(-3), about 5 %.
MISSED_COMPLETIONS = 3.0


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
    """

    ticket: object
    deadline_ms: float


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
    """

    def __init__(self, slots: int, queue_ratio: float) -> None:
        self.slots = slots
        self._queue_ratio = queue_ratio
        self._started: dict[object, float] = {}
        self._queue: collections.deque[Waiting] = collections.deque()
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

    def offer(
        self,
        ticket: object,
        deadline_ms: float,
        max_wait_ms: float,
        now_ms: float,
    ) -> Decision:
        """Decide whether a request starts, waits or is refused.

        Parameters
        ----------
        ticket : object
            Identity of the request.
        deadline_ms : float
            Monotonic instant after which the request is not started.
        max_wait_ms : float
            Longest predicted wait that the ingress node accepts.
        now_ms : float
            Monotonic time.
        """
        if len(self._started) < self.slots and not self._queue:
            self._start(ticket, now_ms)
            return START
        wait_ms = self.predicted_wait_ms(now_ms)
        if now_ms + wait_ms >= deadline_ms:
            return Decision(Step.REFUSE, verdict.Reason.WOULD_MISS_DEADLINE)
        if wait_ms > max_wait_ms:
            return Decision(Step.REFUSE, verdict.Reason.BUSY)
        if len(self._queue) >= self.slots * self._queue_ratio:
            return Decision(Step.REFUSE, verdict.Reason.QUEUE_FULL)
        self._queue.append(Waiting(ticket, deadline_ms))
        return WAIT

    def release(
        self, ticket: object, now_ms: float, measured: bool
    ) -> Released:
        """Free a slot and return the queued requests that take over.

        Parameters
        ----------
        ticket : object
            Request that has left the upstream.
        now_ms : float
            Monotonic time.
        measured : bool
            True if the request ran to its end, so that its duration
            tells the service time.
        """
        started_ms = self._started.pop(ticket, None)
        if started_ms is not None and measured:
            self.completed += 1
            weight = max(SERVICE_TIME_WEIGHT, 1 / self.completed)
            change_ms = now_ms - started_ms - self._service_ms
            self._service_ms += weight * change_ms
            self._completed_ms = now_ms
        return self._fill(now_ms)

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
        service time is at least n T / 3 with a confidence of 95 %.
        """
        if not self._started:
            return self._service_ms
        quiet_ms = now_ms - self._completed_ms
        expected_ms = quiet_ms * len(self._started) / MISSED_COMPLETIONS
        return max(self._service_ms, expected_ms)

    def predicted_wait_ms(self, now_ms: float) -> float:
        """Return the time that a new request would wait for a slot."""
        ahead = len(self._started) + len(self._queue) + 1 - self.slots
        if ahead <= 0:
            return 0.0
        return ahead * self.service_ms(now_ms) / self.slots

    def sample(
        self, phase: upstreams.Phase, reported: int, now_ms: float
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
            slots=self.slots,
            service_us=int(self.service_ms(now_ms) * 1_000),
            oldest_us=int(oldest_ms * 1_000),
            reported=reported,
            phase=phase,
        )

    def _start(self, ticket: object, now_ms: float) -> None:
        if not self._started:
            # An idle upstream completes nothing; the count begins anew.
            self._completed_ms = now_ms
        self._started[ticket] = now_ms

    def _fill(self, now_ms: float) -> Released:
        start = []
        expired = []
        while self._queue and len(self._started) < self.slots:
            waiting = self._queue.popleft()
            if waiting.deadline_ms <= now_ms:
                expired.append(waiting.ticket)
                continue
            self._start(waiting.ticket, now_ms)
            start.append(waiting.ticket)
        return Released(tuple(start), tuple(expired))
