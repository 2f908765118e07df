"""Order in which requests wait for a slot, and when they stop waiting."""

from __future__ import annotations

import bisect
import dataclasses
import math

from jasminebeam.admission import host_speed

# Service times vary by about a third: with less than this share of the
# usual time left, a run ends without an answer that anybody waits for.
MIN_RUN_SHARE = 0.7

# One in five takes longer than this multiple of the usual time: with less
# time to the objective, a request counts as late.
TIMELY_SHARE = 1.25

# A request that is late anyway waits no longer than this share of the time
# that its caller has left; the rest is for trying again later.
LATE_WAIT_SHARE = 0.25


# A slow host is back at its usual speed within this time, so that a start
# is put off no longer; it is also the longest hold of one request.
MAX_HOLD_MS = 400.0


def hold_ms(slowness: float, usual_ms: float) -> float:
    """Return how long a start is worth putting off.

    Parameters
    ----------
    slowness : float
        Slowness of the host.
    usual_ms : float
        Usual service time; a slow start costs a multiple of it.
    """
    if not host_speed.is_slow(slowness):
        return 0.0
    return min(MAX_HOLD_MS, (slowness - 1) * usual_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request that waits for a slot.

    Parameters
    ----------
    ticket : object
        Identity that the caller of the queue chose.
    deadline_ms : float
        Monotonic instant after which no answer is wanted.
    accepted_ms : float
        Monotonic instant from which it waits.
    priority : int
        Rank; 0 is started first.
    objective_ms : float
        Monotonic instant until which an answer has its full value; the
        earlier one goes first among those of one rank.
    route : str
        Requests of one route take about the same time.
    usual_ms : float
        Usual service time of its route.
    give_up_ms : float
        Monotonic instant at which it is given back.
    """

    ticket: object
    deadline_ms: float
    accepted_ms: float = 0.0
    priority: int = 0
    objective_ms: float = math.inf
    route: str = ''
    usual_ms: float = 0.0
    give_up_ms: float = math.inf

    def hold_ms(self, slowness: float) -> float:
        """Return how long a start on a slow host is put off at most."""
        return hold_ms(slowness, self.usual_ms)

    def is_timely(self, now_ms: float) -> bool:
        """Return True if a start now can still meet the objective."""
        return now_ms + TIMELY_SHARE * self.usual_ms <= self.objective_ms

    def is_hopeless(self, now_ms: float) -> bool:
        """Return True if a start now would be too late for any answer."""
        return now_ms + MIN_RUN_SHARE * self.usual_ms >= self.deadline_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """Requests that have stopped waiting.

    Parameters
    ----------
    hopeless : tuple of object
        Tickets of those that no upstream can serve in time.
    given_up : tuple of object
        Tickets of those that another upstream may still serve.
    """

    hopeless: tuple[object, ...] = ()
    given_up: tuple[object, ...] = ()


class WaitingQueue:
    """Requests that wait for a slot of one upstream.

    Load pattern: for longer than a moment there is more work than the
    upstream can do in time. In the order of arrival every request would
    become late; so those that can still meet their objective go first,
    by rank, and late ones take what is left.
    """

    def __init__(self) -> None:
        self._entries: list[Waiting] = []
        self._slowness = 1.0
        self._slow_since_ms = math.inf

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, waiting: Waiting) -> None:
        """Let a request wait."""
        bisect.insort(self._entries, waiting, key=_rank)

    def remove(self, ticket: object) -> bool:
        """Remove a request; False if it does not wait."""
        for waiting in self._entries:
            if waiting.ticket == ticket:
                self._entries.remove(waiting)
                return True
        return False

    def clear(self) -> tuple[object, ...]:
        """Remove and return all requests."""
        tickets = tuple(waiting.ticket for waiting in self._entries)
        self._entries.clear()
        return tickets

    def drop(self, now_ms: float) -> Dropped:
        """Remove the requests that have waited too long."""
        hopeless = []
        given_up = []
        kept = []
        for waiting in self._entries:
            if waiting.is_hopeless(now_ms):
                hopeless.append(waiting.ticket)
            elif now_ms >= waiting.give_up_ms:
                given_up.append(waiting.ticket)
            else:
                kept.append(waiting)
        if len(kept) < len(self._entries):
            self._entries = kept
        return Dropped(tuple(hopeless), tuple(given_up))

    def note_speed(self, slowness: float, now_ms: float) -> None:
        """Follow since when the host has been slow."""
        self._slowness = slowness
        if not host_speed.is_slow(slowness):
            self._slow_since_ms = math.inf
        elif now_ms < self._slow_since_ms:
            self._slow_since_ms = now_ms

    def pop(self, now_ms: float) -> Waiting | None:
        """Remove and return the request that starts next, if there is one.

        Load pattern: a host is slow for a fraction of a second, so that a
        request ends sooner if its start is put off.
        """
        late = None
        for waiting in self._entries:
            if self._is_held(waiting, now_ms):
                continue
            if waiting.is_timely(now_ms):
                self._entries.remove(waiting)
                return waiting
            late = late or waiting
        if late is not None:
            self._entries.remove(late)
        return late

    def timely_ahead(
        self, priority: int, objective_ms: float, now_ms: float
    ) -> int:
        """Return how many timely requests go before one of a rank."""
        rank = (priority, objective_ms)
        return sum(
            _rank(waiting) <= rank and waiting.is_timely(now_ms)
            for waiting in self._entries
        )

    def _is_held(self, waiting: Waiting, now_ms: float) -> bool:
        if math.isinf(self._slow_since_ms):
            return False
        held_from_ms = max(waiting.accepted_ms, self._slow_since_ms)
        return now_ms < held_from_ms + waiting.hold_ms(self._slowness)

    def has_timely(self, now_ms: float) -> bool:
        """Return True if a request waits that can meet its objective."""
        return any(waiting.is_timely(now_ms) for waiting in self._entries)


def _rank(waiting: Waiting) -> tuple[int, float]:
    return waiting.priority, waiting.objective_ms
