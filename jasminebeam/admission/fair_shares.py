"""Fair shares of the teams whose requests wait for the same upstream.

Load pattern: one team of callers sends many times its usual load. In the order
of objectives alone, the requests of the others wait behind all of its own.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

# Work of a request of a route without a typical service time, so that it is
# not free of charge.
MIN_WORK_MS = 1.0

# Classes, and teams of a class, whose charges are kept. New configurations add
# both, and a queue that never runs empty would keep them all.
MAX_CLASSES = 256
MAX_TEAMS = 1_024


class Request(typing.Protocol):
    """What the shares depend on."""

    @property
    def priority(self) -> int:
        """Priority class; each one has shares of its own."""

    @property
    def team(self) -> str:
        """Name of the team; requests without one share the empty name."""

    @property
    def typical_ms(self) -> float:
        """Typical service time: the work that the request is charged."""


@dataclasses.dataclass(slots=True)
class _Class:
    """Virtual time of a priority class, and the next starts of its teams."""

    now_ms: float = 0.0
    # Virtual instants from which on the teams may start their next request.
    # Those that are not later than the virtual time are left out.
    next_ms: dict[str, float] = dataclasses.field(default_factory=dict)


class FairShares:
    """Start-time fair queueing among teams, by work.

    Each start charges its team the work of the request in virtual time. The
    team with the earliest virtual start goes next, so that teams with waiting
    requests get equal shares. A team without waiting requests saves up
    nothing: its next request starts at the current virtual time.
    """

    def __init__(self) -> None:
        self._classes: dict[int, _Class] = {}

    def virtual_start_ms(self, priority: int, team: str) -> float:
        """Return the virtual start of a team's next request."""
        found = self._classes.get(priority)
        if found is None:
            return 0.0
        return found.next_ms.get(team, found.now_ms)

    def virtual_starts_ms(
        self, waiting: typing.Iterable[Request]
    ) -> list[float]:
        """Return the virtual start of each request.

        Parameters
        ----------
        waiting : iterable of Request
            Waiting requests; those of one team in the order in which they
            are to start.
        """
        ahead_ms: collections.defaultdict[tuple[int, str], float] = (
            collections.defaultdict(float)
        )
        starts = []
        for request in waiting:
            flow = (request.priority, request.team)
            starts.append(self.virtual_start_ms(*flow) + ahead_ms[flow])
            ahead_ms[flow] += work_ms(request)
        return starts

    def charge(self, started: Request) -> None:
        """Charge a team for a request that starts from the queue."""
        if len(self._classes) >= MAX_CLASSES:
            self._classes.clear()
        found = self._classes.setdefault(started.priority, _Class())
        if len(found.next_ms) >= MAX_TEAMS:
            found.next_ms.clear()
        start_ms = found.next_ms.get(started.team, found.now_ms)
        found.now_ms = max(found.now_ms, start_ms)
        found.next_ms[started.team] = start_ms + work_ms(started)
        found.next_ms = {
            team: next_ms
            for team, next_ms in found.next_ms.items()
            if next_ms > found.now_ms
        }

    def forget(self) -> None:
        """Forget all charges: no request waits any more."""
        self._classes.clear()


def work_ms(request: Request) -> float:
    """Return the work of a request."""
    return max(MIN_WORK_MS, request.typical_ms)
