"""Queue of requests that wait for a slot: their order and time limits."""

from __future__ import annotations

import bisect
import dataclasses
import math
import typing

from jasminebeam.admission import fair_shares
from jasminebeam.admission import host_speed

# Service times vary by about a third. If less than this share of the typical
# service time is left before the deadline, the run would end after the caller
# has stopped waiting.
MIN_RUN_RATIO = 0.7

# One request in five takes longer than this multiple of the typical service
# time. A request with less time left before its objective counts as late.
TIMELY_RATIO = 1.25

# A request that is late in any case waits for at most this share of the time
# left before its deadline. The caller needs the rest to try again later.
LATE_WAIT_RATIO = 0.25


# Part of the expected wait after which a queued request must still be timely.
# Requests ahead of it may leave the queue without a start. With the whole
# wait, a third of the upstreams lost, 9,999 requests were served instead of
# 10,108 (bench/overload.py, seeds 1 to 6).
EXPECTED_WAIT_RATIO = 0.7

# Longest time for which a start is delayed on a slow host. The host returns to
# its normal speed within this time, so a longer delay gains nothing.
MAX_START_DELAY_MS = 400.0


def max_start_delay_ms(slowness: float, typical_ms: float) -> float:
    """Return for how long a start on a slow host is worth delaying.

    Parameters
    ----------
    slowness : float
        Slowness of the host.
    typical_ms : float
        Typical service time; a slow start takes a multiple of it.
    """
    if not host_speed.is_slow(slowness):
        return 0.0
    return min(MAX_START_DELAY_MS, (slowness - 1) * typical_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request that waits for a slot.

    Parameters
    ----------
    ticket : object
        Identity of the request.
    deadline_ms : float
        Monotonic instant after which the caller wants no answer.
    accepted_ms : float
        Monotonic instant at which the request joined the queue.
    priority : int
        Priority class; the lowest value starts first.
    objective_ms : float
        Monotonic instant until which an answer has its full value. Within
        a priority class and a team, the earliest objective starts first.
    route : str
        Requests of the same route take about the same time.
    typical_ms : float
        Typical service time of the route.
    queue_deadline_ms : float
        Monotonic instant at which the request leaves the queue unstarted.
    team : str
        Name of the team; empty if there is none. The teams of a priority
        class get fair shares of the starts.
    """

    ticket: object
    deadline_ms: float
    accepted_ms: float = 0.0
    priority: int = 0
    objective_ms: float = math.inf
    route: str = ''
    typical_ms: float = 0.0
    queue_deadline_ms: float = math.inf
    team: str = ''

    def max_start_delay_ms(self, slowness: float) -> float:
        """Return for how long a start on a slow host is worth delaying."""
        return max_start_delay_ms(slowness, self.typical_ms)

    def is_timely(self, now_ms: float) -> bool:
        """Return True if a start now can meet the objective."""
        return now_ms + TIMELY_RATIO * self.typical_ms <= self.objective_ms

    def is_too_late(self, now_ms: float) -> bool:
        """Return True if a start now would miss the deadline, even if fast."""
        return now_ms + MIN_RUN_RATIO * self.typical_ms >= self.deadline_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """Requests that have left the queue without a start.

    Parameters
    ----------
    too_late : tuple of object
        Tickets of requests that no upstream can answer by the deadline.
    wait_expired : tuple of object
        Tickets of requests that another upstream may still serve.
    pushed_back : tuple of object
        Tickets of requests that others push back so far that they would
        become late. Another upstream may still serve them.
    """

    too_late: tuple[object, ...] = ()
    wait_expired: tuple[object, ...] = ()
    pushed_back: tuple[object, ...] = ()


# Returns the time until a request may start, given the number of requests
# ahead of it.
WaitEstimate = typing.Callable[[int], float]


def _no_wait(ahead: int) -> float:
    return 0.0


class WaitingQueue:
    """Requests that wait for a slot of one upstream.

    Load pattern: sustained overload, in which the offered load exceeds
    the upstream's capacity. In order of arrival, every request would
    become late. Timely requests, which can still meet their objective,
    therefore start first, by priority, by fair shares of the teams, and by
    objective. Late requests get the remaining capacity. Without teams, the
    shares change nothing.
    """

    def __init__(self) -> None:
        self._entries: list[Waiting] = []
        self._shares = fair_shares.FairShares()
        # True if a request with a team has waited since the queue was empty.
        # Without one, the order of the entries is that of their starts.
        self._has_teams = False
        self._slowness = 1.0
        self._slow_since_ms = math.inf

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, waiting: Waiting) -> None:
        """Add a request to the queue."""
        bisect.insort(self._entries, waiting, key=_queue_order)
        self._has_teams = self._has_teams or bool(waiting.team)

    def remove(self, ticket: object) -> bool:
        """Remove a request; return False if it is not in the queue."""
        for waiting in self._entries:
            if waiting.ticket == ticket:
                self._entries.remove(waiting)
                self._forget_if_empty()
                return True
        return False

    def clear(self) -> tuple[object, ...]:
        """Remove and return all requests."""
        tickets = tuple(waiting.ticket for waiting in self._entries)
        self._entries.clear()
        self._forget_if_empty()
        return tickets

    def drop(
        self,
        now_ms: float,
        earliest_wait_ms: WaitEstimate = _no_wait,
        expected_wait_ms: WaitEstimate = _no_wait,
    ) -> Dropped:
        """Remove the requests that have waited, or would wait, too long.

        Parameters
        ----------
        now_ms : float
            Monotonic time.
        earliest_wait_ms : callable
            Shortest time until a request may start.
        expected_wait_ms : callable
            Expected time until a request starts.
        """
        too_late = []
        wait_expired = []
        kept: list[Waiting] = []
        entries = self._entries
        if self._has_teams:
            entries = self._in_start_order(entries)
        for waiting in entries:
            start_ms = now_ms + earliest_wait_ms(len(kept))
            if waiting.is_too_late(now_ms):
                too_late.append(waiting.ticket)
            elif start_ms >= waiting.queue_deadline_ms or (
                waiting.is_too_late(start_ms)
            ):
                wait_expired.append(waiting.ticket)
            else:
                kept.append(waiting)
        kept, pushed_back = _pushed_back(kept, expected_wait_ms, now_ms)
        if len(kept) < len(self._entries):
            self._entries = sorted(kept, key=_queue_order)
            self._forget_if_empty()
        return Dropped(tuple(too_late), tuple(wait_expired), pushed_back)

    def update_slowness(self, slowness: float, now_ms: float) -> None:
        """Record the slowness, and since when the host has been slow."""
        self._slowness = slowness
        if not host_speed.is_slow(slowness):
            self._slow_since_ms = math.inf
        elif now_ms < self._slow_since_ms:
            self._slow_since_ms = now_ms

    def pop(self, now_ms: float) -> Waiting | None:
        """Remove and return the request that starts next, or None.

        Load pattern: a host is slow for a fraction of a second, so a
        request ends sooner if its start is delayed until the host is fast.
        """
        chosen = self._next(now_ms)
        if chosen is not None:
            self._entries.remove(chosen)
            if self._has_teams:
                self._shares.charge(chosen)
            self._forget_if_empty()
        return chosen

    def timely_ahead(
        self,
        priority: int,
        objective_ms: float,
        now_ms: float,
        team: str = '',
    ) -> int:
        """Return how many timely requests would start before a new one."""
        if not (self._has_teams or team):
            order = (priority, objective_ms)
            return sum(
                _queue_order(waiting) <= order and waiting.is_timely(now_ms)
                for waiting in self._entries
            )
        new = Waiting(
            None,
            math.inf,
            priority=priority,
            objective_ms=objective_ms,
            team=team,
        )
        timely = [
            waiting for waiting in self._entries if waiting.is_timely(now_ms)
        ]
        bisect.insort(timely, new, key=_queue_order)
        ordered = self._in_start_order(timely)
        return next(
            ahead for ahead, waiting in enumerate(ordered) if waiting is new
        )

    def displaced_by(self, new: Waiting) -> Waiting | None:
        """Return the request that a full queue refuses in place of a new one.

        It is the one that would start last: the last one of the team that
        uses most, in the least urgent class. The result is None if that is
        the new request, or another one of its team, or if neither has a
        team.
        """
        if not (self._has_teams or new.team):
            return None
        ordered = list(self._entries)
        bisect.insort(ordered, new, key=_queue_order)
        keys = self._start_keys(ordered)
        priority, start_ms, position = max(keys)
        last = ordered[position]
        new_key = next(key for key in keys if ordered[key[2]] is new)
        if (priority, start_ms) == new_key[:2]:
            return None
        is_own = (priority, last.team) == (new.priority, new.team)
        return last if not is_own and (last.team or new.team) else None

    def _next(self, now_ms: float) -> Waiting | None:
        """Return the request that starts next; late ones go last."""
        ready = (
            waiting
            for waiting in self._entries
            if not self._is_delayed(waiting, now_ms)
        )
        if self._has_teams:
            ready = sorted(ready, key=self._share_order)
        first_late = None
        for waiting in ready:
            if waiting.is_timely(now_ms):
                return waiting
            first_late = first_late or waiting
        return first_late

    def _share_order(self, waiting: Waiting) -> tuple[int, float]:
        """Return the order among requests ordered by objective."""
        return waiting.priority, self._shares.virtual_start_ms(
            waiting.priority, waiting.team
        )

    def _forget_if_empty(self) -> None:
        if not self._entries and self._has_teams:
            self._has_teams = False
            self._shares.forget()

    def _in_start_order(self, ordered: list[Waiting]) -> list[Waiting]:
        """Return requests, ordered by objective, in the order of starts."""
        return [
            ordered[position]
            for _, _, position in sorted(self._start_keys(ordered))
        ]

    def _start_keys(
        self, ordered: list[Waiting]
    ) -> list[tuple[int, float, int]]:
        """Return priority, virtual start and position of each request."""
        starts_ms = self._shares.virtual_starts_ms(ordered)
        return [
            (waiting.priority, start_ms, position)
            for position, (waiting, start_ms) in enumerate(
                zip(ordered, starts_ms, strict=True)
            )
        ]

    def _is_delayed(self, waiting: Waiting, now_ms: float) -> bool:
        if math.isinf(self._slow_since_ms):
            return False
        delayed_from_ms = max(waiting.accepted_ms, self._slow_since_ms)
        return now_ms < delayed_from_ms + waiting.max_start_delay_ms(
            self._slowness
        )

    def has_timely(self, now_ms: float) -> bool:
        """Return True if a waiting request can meet its objective."""
        return any(waiting.is_timely(now_ms) for waiting in self._entries)


def _pushed_back(
    ordered: list[Waiting], expected_wait_ms: WaitEstimate, now_ms: float
) -> tuple[list[Waiting], tuple[object, ...]]:
    """Return the requests to keep, and the tickets of those to refuse.

    Load pattern: under overload, requests that arrive later but are more
    urgent start first. A request that they push back beyond its latest timely
    start would wait in vain, or take capacity that a timely one needs. It is
    refused only if a timely request starts before it, so no slot is left
    empty.

    Parameters
    ----------
    ordered : list of Waiting
        Waiting requests in the order of starts, late ones not yet last.
    expected_wait_ms : callable
        Expected time until a request starts.
    now_ms : float
        Monotonic time.
    """
    kept = [waiting for waiting in ordered if waiting.is_timely(now_ms)]
    if not kept or len(ordered) == 1:
        return ordered, ()
    late = [waiting for waiting in ordered if not waiting.is_timely(now_ms)]
    pushed_back = [waiting.ticket for waiting in late]
    candidates, kept = kept, kept[:1]
    for waiting in candidates[1:]:
        wait_ms = EXPECTED_WAIT_RATIO * expected_wait_ms(len(kept))
        start_ms = now_ms + wait_ms
        if waiting.is_timely(start_ms) and not waiting.is_too_late(start_ms):
            kept.append(waiting)
        else:
            pushed_back.append(waiting.ticket)
    return kept, tuple(pushed_back)


def _queue_order(waiting: Waiting) -> tuple[int, float]:
    return waiting.priority, waiting.objective_ms
