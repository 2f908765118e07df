"""Tests of the decisions about the upstream beside a node."""

from __future__ import annotations

import dataclasses

from hypothesis import stateful
from hypothesis import strategies

from jasminebeam.model import upstreams
from jasminebeam.upstreams import lifecycle

READY = upstreams.Announcement('s', 1, upstream_id='a')


def _beat(upstream_id='a', started_ms=1, sequence=1, draining=False, slots=9):
    announcement = dataclasses.replace(
        READY, upstream_id=upstream_id, slots=slots
    )
    return lifecycle.Heartbeat(announcement, started_ms, sequence, draining)


def test_first_heartbeat_attaches_and_the_next_changes_nothing():
    """A heartbeat only confirms what is known."""
    life = lifecycle.UpstreamLifecycle()
    assert life.on_heartbeat(_beat()) is lifecycle.Action.ATTACH
    assert life.on_heartbeat(_beat(sequence=2)) is lifecycle.Action.NOTHING


def test_remaining_cold_time_does_not_attach_again():
    """The connections of a warming upstream are kept."""
    life = lifecycle.UpstreamLifecycle()
    life.on_heartbeat(_beat())
    warmer = dataclasses.replace(READY, cold_start_ms=900)
    beat = lifecycle.Heartbeat(warmer, 1, 2, draining=False)
    assert life.on_heartbeat(beat) is lifecycle.Action.NOTHING


def test_late_heartbeat_of_a_former_start_names_nobody():
    """Neither under its own identity nor under another."""
    life = lifecycle.UpstreamLifecycle()
    life.on_heartbeat(_beat(started_ms=5))
    late = _beat(started_ms=4, sequence=99)
    assert life.on_heartbeat(late) is lifecycle.Action.NOTHING
    other = _beat('b', started_ms=4)
    assert life.on_heartbeat(other) is lifecycle.Action.NOTHING


def test_start_under_the_same_identity_begins_anew():
    """Its sequence starts again; a former drain does not bind it."""
    life = lifecycle.UpstreamLifecycle()
    life.on_heartbeat(_beat(sequence=40))
    life.on_leave('a', 0)
    again = _beat(started_ms=2, sequence=1)
    assert life.on_heartbeat(again) is lifecycle.Action.ATTACH


def test_identity_decides_where_the_clock_was_set_back():
    """The rejected heartbeat is used once the health check names it."""
    life = lifecycle.UpstreamLifecycle()
    life.on_heartbeat(_beat(started_ms=9_000))
    life.on_heartbeat(_beat('b', started_ms=2_000, slots=4))
    assert life.on_identity_mismatch() is lifecycle.Action.DETACH
    assert life.on_identity('b', READY) is lifecycle.Action.ATTACH
    assert life.current.announcement.slots == 4


class Life(stateful.RuleBasedStateMachine):
    """Heartbeats, late ones, leave notices and new starts in any order."""

    def __init__(self):
        super().__init__()
        self.life = lifecycle.UpstreamLifecycle()
        self.started_ms = 1
        self.sequence = 0
        self.sent = []
        self.left = False
        self.attached = None

    def _follow(self, step):
        if step is lifecycle.Action.ATTACH:
            self.attached = self.life.current.started_ms
        elif step is not lifecycle.Action.NOTHING:
            self.attached = None

    @stateful.rule()
    def beat(self):
        """The present start sends a heartbeat."""
        self.sequence += 1
        beat = _beat(
            started_ms=self.started_ms,
            sequence=self.sequence,
            draining=self.left,
        )
        self.sent.append(beat)
        self._follow(self.life.on_heartbeat(beat))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=strategies.data())
    def late(self, data):
        """Some earlier heartbeat arrives once more."""
        beat = data.draw(strategies.sampled_from(self.sent))
        self._follow(self.life.on_heartbeat(beat))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule()
    def leave(self):
        """The present start says that it leaves."""
        self.left = True
        self._follow(self.life.on_leave('a', self.started_ms))

    @stateful.rule()
    def restart(self):
        """It starts again under its identity."""
        self.started_ms += 1
        self.sequence = 0
        self.left = False

    @stateful.invariant()
    def former_starts_stay_gone(self):
        """Once a start is known, no earlier one is in service."""
        known = self.life.current
        if self.attached is not None:
            assert self.attached == known.started_ms

    @stateful.invariant()
    def an_acknowledged_drain_binds(self):
        """What has left is not in service under the same start."""
        heard = self.life.current
        if self.left and heard and heard.started_ms == self.started_ms:
            assert self.attached is None


TestLife = Life.TestCase
