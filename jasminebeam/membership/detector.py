"""Failure detection by heartbeats to a few monitored members."""

from __future__ import annotations

import dataclasses
import typing

from jasminebeam.membership import monitors
from jasminebeam.model import upstreams

if typing.TYPE_CHECKING:
    from jasminebeam.membership import table

# Unanswered heartbeats after which a member is probed through other
# members, and after which it is suspected.
INDIRECT_AFTER_MISSED = 2
SUSPECT_AFTER_MISSED = 4


@dataclasses.dataclass(frozen=True, slots=True)
class RoundActions:
    """Actions of one heartbeat interval.

    Parameters
    ----------
    heartbeat : tuple of str
        Members to send a heartbeat to.
    indirect_probe : tuple of str
        Members to probe through other members.
    suspect : tuple of str
        Members to mark as suspected.
    """

    heartbeat: tuple[str, ...]
    indirect_probe: tuple[str, ...]
    suspect: tuple[str, ...]


class FailureDetector:
    """Counts the unanswered heartbeats to each monitored member.

    Parameters
    ----------
    local_member : Member
        Record of the local node.
    interval_ms : float
        Time between two rounds.
    """

    def __init__(
        self, local_member: upstreams.Member, interval_ms: float
    ) -> None:
        self._local_member = local_member
        self._interval_ms = interval_ms
        self._missed: dict[str, int] = {}
        self._last_round_ms: float | None = None

    def start_round(
        self, members: table.MemberTable, now_ms: float
    ) -> RoundActions:
        """Return the actions of the interval that starts at `now_ms`."""
        targets = monitors.targets(members, self._local_member)
        if self._was_paused(now_ms):
            # The process was paused. It has not yet read the
            # acknowledgements that arrived meanwhile, so a missing
            # acknowledgement does not indicate a failure.
            self._missed.clear()
        self._last_round_ms = now_ms
        missed = {target: self._missed.get(target, 0) for target in targets}
        self._missed = {target: count + 1 for target, count in missed.items()}
        return RoundActions(
            heartbeat=tuple(targets),
            indirect_probe=tuple(
                target
                for target, count in missed.items()
                if count >= INDIRECT_AFTER_MISSED
            ),
            suspect=tuple(
                target
                for target, count in missed.items()
                if count >= SUSPECT_AFTER_MISSED
                and members.get(target).status is upstreams.Status.ALIVE
            ),
        )

    def on_response(self, node_id: str) -> None:
        """Reset the missed heartbeats of a member that has responded."""
        if node_id in self._missed:
            self._missed[node_id] = 0

    def _was_paused(self, now_ms: float) -> bool:
        if self._last_round_ms is None:
            return False
        return now_ms - self._last_round_ms > 2.5 * self._interval_ms
