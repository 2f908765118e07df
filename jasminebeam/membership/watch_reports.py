"""Reports of the nodes that watch the configuration in the store."""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    from jasminebeam.peering import messages

# A report that is newer by less is not passed on.
MIN_ADVANCE_MS = 50.0

MAX_GAP_MS = 1_200.0

# Watchers whose latest report is older are forgotten.
FORGET_MS = 60_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Watcher:
    """A node that watches the configuration.

    Parameters
    ----------
    since_ms : float
        First answer of the store since the last interruption.
    answered_ms : float
        Latest answer of the store.
    """

    since_ms: float
    answered_ms: float


class WatchReports:
    """Newest report of each watcher of the own failure domain.

    A watcher sends a report after each answer of the store, and a node that
    tries to call the store in vain sends one without an answer. A report
    proves that its sender runs: a watcher that is paused or gone sends none.
    """

    def __init__(self) -> None:
        self._watchers: dict[str, Watcher] = {}
        self._attempts: dict[str, float] = {}

    def record(self, report: messages.WatchReport, now_ms: float) -> bool:
        """Store a report; return True if it should be passed on."""
        if report.age_ms < 0:
            return self._record_attempt(report.watcher_id, now_ms)
        answered_ms = now_ms - report.age_ms
        known = self._watchers.get(report.watcher_id)
        if known is None or answered_ms - known.answered_ms > MAX_GAP_MS:
            known = Watcher(answered_ms, -math.inf)
        if answered_ms - known.answered_ms < MIN_ADVANCE_MS:
            return False
        self._watchers[report.watcher_id] = Watcher(
            known.since_ms, answered_ms
        )
        self._forget(now_ms)
        return True

    def age_ms(
        self,
        now_ms: float,
        counts: typing.Callable[[str], bool] = lambda node_id: True,
    ) -> float:
        """Return the time since the store answered a watcher.

        Parameters
        ----------
        now_ms : float
            Present monotonic time.
        counts : callable
            Returns whether the reports of a node count.

        Returns
        -------
        float
            Infinite if no watcher that counts is known.
        """
        return now_ms - max(
            (
                known.answered_ms
                for node_id, known in self._watchers.items()
                if counts(node_id)
            ),
            default=-math.inf,
        )

    def attempt_age_ms(self, now_ms: float) -> float:
        """Return the time since a node reported that it calls in vain."""
        return now_ms - max(self._attempts.values(), default=-math.inf)

    def watchers(self, now_ms: float, max_age_ms: float) -> dict[str, Watcher]:
        """Return the watchers whose latest answer is at most this old."""
        return {
            node_id: known
            for node_id, known in self._watchers.items()
            if now_ms - known.answered_ms <= max_age_ms
        }

    def _record_attempt(self, node_id: str, now_ms: float) -> bool:
        advance_ms = now_ms - self._attempts.get(node_id, -math.inf)
        self._attempts[node_id] = now_ms
        self._forget(now_ms)
        return advance_ms >= MIN_ADVANCE_MS

    def _forget(self, now_ms: float) -> None:
        self._watchers = {
            node_id: known
            for node_id, known in self._watchers.items()
            if now_ms - known.answered_ms < FORGET_MS
        }
        self._attempts = {
            node_id: attempt_ms
            for node_id, attempt_ms in self._attempts.items()
            if now_ms - attempt_ms < FORGET_MS
        }
