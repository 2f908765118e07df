"""Tests of stall detection and of who is told."""

from __future__ import annotations

from jasminebeam.admission import stalls


def test_begin_and_end_of_a_stall_are_told_once():
    """Values between the two ratios change nothing."""
    detector = stalls.StallDetector()
    values = [10.0, 11.0, 25.0, 40.0, 14.0, 11.0, 11.0]
    told = [detector.update(value) for value in values]
    assert told == [False, False, True, False, False, True, False]


def test_slow_change_is_no_stall():
    """The usual service time follows."""
    detector = stalls.StallDetector()
    value = 10.0
    for _ in range(500):
        value *= 1.005
        assert not detector.update(value)


def test_only_recent_users_are_told_and_they_are_bounded():
    """Old sessions are forgotten."""
    listeners = stalls.Listeners()
    for session in range(200):
        listeners.use(session, session, float(session))
    assert len(listeners.recent(200.0)) == stalls.MAX_LISTENERS
    late_ms = 190.0 + stalls.RECENT_USE_MS
    assert listeners.recent(late_ms) == list(range(190, 200))
