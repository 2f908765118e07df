"""Timing and limits of the gossip protocol."""

from __future__ import annotations

import dataclasses

SMALL_FLEET_MEMBERS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Timing and limits of the gossip protocol.

    Parameters
    ----------
    interval_ms : float
        Time between two rounds.
    suspicion_ms : float
        Time that a suspected member has to refute the suspicion before it
        is declared dead.
    held_suspicion_ms : float
        Value of `suspicion_ms` for a member whose failure domain is
        unreachable as a whole.
    forget_ms : float
        Time after which the record of a dead or departed member is removed.
    piggyback_bytes : int
        Maximum size of the changes in one heartbeat.
    partner_rounds : int
        Rounds after which a node picks new random gossip partners.
    sync_rounds : int
        Rounds with differing digests before the tables are synchronized.
        In a fleet of fewer than `SMALL_FLEET_MEMBERS` members, one such
        round is enough.
    max_rumors : int
        Maximum number of member changes, and of service changes, that wait
        to be spread.
    """

    interval_ms: float = 1_000.0
    suspicion_ms: float = 5_000.0
    held_suspicion_ms: float = 7_200_000.0
    forget_ms: float = 7_200_000.0
    piggyback_bytes: int = 1_000
    partner_rounds: int = 30
    sync_rounds: int = 5
    max_rumors: int = 4_096
