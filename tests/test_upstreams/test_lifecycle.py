"""Tests of the lifecycle decisions about a node's local upstream."""

from __future__ import annotations

import dataclasses

from hypothesis import stateful
from hypothesis import strategies

from jasminebeam.model import upstreams
from jasminebeam.upstreams import lifecycle

READY = upstreams.Announcement('s', 1, upstream_id='a')


def _heartbeat(
    upstream_id='a', started_ms=1, sequence=1, draining=False, slots=9
):
    announcement = dataclasses.replace(
        READY, upstream_id=upstream_id, slots=slots, started_ms=started_ms
    )
    return lifecycle.Heartbeat(announcement, sequence, draining)


def test_first_heartbeat_attaches_and_the_next_changes_nothing():
    """A repeated heartbeat must only confirm the current upstream."""
    tested = lifecycle.UpstreamLifecycle()
    assert tested.on_heartbeat(_heartbeat()) is lifecycle.Action.ATTACH
    assert (
        tested.on_heartbeat(_heartbeat(sequence=2)) is lifecycle.Action.NOTHING
    )


def test_remaining_cold_start_time_does_not_attach_again():
    """The connections must be kept during a cold start."""
    tested = lifecycle.UpstreamLifecycle()
    tested.on_heartbeat(_heartbeat())
    in_cold_start = dataclasses.replace(READY, cold_start_ms=900, started_ms=1)
    heartbeat = lifecycle.Heartbeat(in_cold_start, 2, draining=False)
    assert tested.on_heartbeat(heartbeat) is lifecycle.Action.NOTHING


def test_late_heartbeat_of_a_former_start_changes_nothing():
    """A delayed heartbeat must be ignored, whatever identity it has."""
    tested = lifecycle.UpstreamLifecycle()
    tested.on_heartbeat(_heartbeat(started_ms=5))
    late_heartbeat = _heartbeat(started_ms=4, sequence=99)
    assert tested.on_heartbeat(late_heartbeat) is lifecycle.Action.NOTHING
    other = _heartbeat('b', started_ms=4)
    assert tested.on_heartbeat(other) is lifecycle.Action.NOTHING


def test_restart_under_the_same_identity_attaches_again():
    """After a restart, the former sequence and drain must have no effect."""
    tested = lifecycle.UpstreamLifecycle()
    tested.on_heartbeat(_heartbeat(sequence=40))
    tested.on_leave('a', 0)
    again = _heartbeat(started_ms=2, sequence=1)
    assert tested.on_heartbeat(again) is lifecycle.Action.ATTACH


def test_identity_decides_where_the_clock_was_set_back():
    """A rejected heartbeat must be used once a health check confirms it."""
    tested = lifecycle.UpstreamLifecycle()
    tested.on_heartbeat(_heartbeat(started_ms=9_000))
    tested.on_heartbeat(_heartbeat('b', started_ms=2_000, slots=4))
    assert tested.on_identity_mismatch() is lifecycle.Action.DETACH
    assert tested.on_identity('b') is lifecycle.Action.ATTACH
    assert tested.current.announcement.slots == 4


def test_identity_without_a_heartbeat_was_attached_to_the_former_service():
    """A health check names no service, so it attaches nothing by itself."""
    tested = lifecycle.UpstreamLifecycle()
    tested.on_heartbeat(_heartbeat())
    assert tested.on_identity_mismatch() is lifecycle.Action.DETACH
    assert tested.on_identity('b') is lifecycle.Action.NOTHING
    assert tested.current is None
    assert tested.on_heartbeat(_heartbeat('b', started_ms=2)) is (
        lifecycle.Action.ATTACH
    )


def test_discovery_ends_before_an_address_can_be_used_again():
    """Later, another service's upstream may have the address."""
    tested = lifecycle.StartupDiscovery(1_000.0)
    assert tested.is_open(1_000.0 + lifecycle.ADDRESS_REUSE_MS - 1)
    assert not tested.is_open(1_000.0 + lifecycle.ADDRESS_REUSE_MS)
    tested = lifecycle.StartupDiscovery(1_000.0)
    tested.close()
    assert not tested.is_open(1_000.0)


def test_leave_before_the_first_heartbeat_was_forgotten():
    """A heartbeat from before the leave notice may arrive after it."""
    tested = lifecycle.UpstreamLifecycle()
    assert tested.on_leave('a', 1) is lifecycle.Action.NOTHING
    assert tested.on_heartbeat(_heartbeat()) is lifecycle.Action.NOTHING
    assert tested.current is None
    later = _heartbeat(started_ms=2)
    assert tested.on_heartbeat(later) is lifecycle.Action.ATTACH


def test_leave_was_forgotten_once_another_upstream_had_the_address():
    """What has left stays out of service, whoever has come since."""
    tested = lifecycle.UpstreamLifecycle()
    tested.on_heartbeat(_heartbeat())
    tested.on_leave('a', 1)
    assert tested.on_identity_mismatch() is lifecycle.Action.DETACH
    late_heartbeat = _heartbeat(sequence=2)
    assert tested.on_heartbeat(late_heartbeat) is lifecycle.Action.NOTHING


def test_leave_notice_without_a_start_was_forgotten():
    """Only a health check tells another start under the identity apart."""
    tested = lifecycle.UpstreamLifecycle()
    tested.on_leave('a', 0)
    assert tested.on_heartbeat(_heartbeat()) is lifecycle.Action.CHECK
    assert tested.current is None
    assert tested.on_identity('a') is lifecycle.Action.ATTACH


def test_health_check_from_before_a_leave_put_the_upstream_into_service():
    """The answer to a check may arrive after the leave notice."""
    tested = lifecycle.UpstreamLifecycle()
    late_heartbeat = _heartbeat()
    assert tested.on_heartbeat(late_heartbeat, may_be_outdated=True) is (
        lifecycle.Action.CHECK
    )
    tested.on_leave('a', 0)
    assert tested.on_identity('a') is lifecycle.Action.NOTHING
    found = dataclasses.replace(READY, started_ms=0)
    assert tested.on_found(found) is lifecycle.Action.NOTHING


def test_heartbeat_may_be_older_than_the_node_for_a_time():
    """It is not, once the node has seen the upstream or its absence."""
    tested = lifecycle.StartupDiscovery(1_000.0)
    end_ms = 1_000.0 + lifecycle.MAX_HEARTBEAT_DELAY_MS
    assert tested.may_be_outdated(end_ms - 1)
    assert not tested.may_be_outdated(end_ms)
    tested.close()
    assert not tested.may_be_outdated(1_000.0)


class LifecycleMachine(stateful.RuleBasedStateMachine):
    """Heartbeats, delayed ones, leave notices and restarts in any order.

    The upstream and its node restart.
    """

    def __init__(self):
        super().__init__()
        self.tested = lifecycle.UpstreamLifecycle()
        self.started_ms = 1
        self.sequence = 0
        self.sent = []
        self.has_left = False
        self.may_be_outdated = False
        self.attached = None

    def _apply(self, action):
        if action is lifecycle.Action.ATTACH:
            self.attached = self.tested.current.started_ms
            self.may_be_outdated = False
        elif action is lifecycle.Action.DRAIN:
            self.attached = None
            self.may_be_outdated = False
        elif action is lifecycle.Action.DETACH:
            self.attached = None

    @stateful.rule()
    def heartbeat(self):
        """The upstream sends a heartbeat."""
        self.sequence += 1
        heartbeat = _heartbeat(
            started_ms=self.started_ms,
            sequence=self.sequence,
            draining=self.has_left,
        )
        self.sent.append(heartbeat)
        self._on_heartbeat(heartbeat)

    def _on_heartbeat(self, heartbeat):
        self._apply(self.tested.on_heartbeat(heartbeat, self.may_be_outdated))

    @stateful.rule()
    def restart_node(self):
        """The node loses what it knew."""
        self.tested = lifecycle.UpstreamLifecycle()
        self.may_be_outdated = True
        self.attached = None

    @stateful.rule()
    def check_health(self):
        """A healthy upstream names its identity."""
        if not self.has_left:
            self._apply(self.tested.on_identity('a'))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=strategies.data())
    def late_heartbeat(self, data):
        """An earlier heartbeat arrives again."""
        heartbeat = data.draw(strategies.sampled_from(self.sent))
        self._on_heartbeat(heartbeat)

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule()
    def leave(self):
        """The upstream sends a leave notice."""
        self.has_left = True
        self._apply(self.tested.on_leave('a', self.started_ms))

    @stateful.rule()
    def restart(self):
        """The upstream restarts under the same identity."""
        self.started_ms += 1
        self.sequence = 0
        self.has_left = False

    @stateful.invariant()
    def former_starts_stay_out_of_service(self):
        """An attached upstream must have the latest known start time."""
        current = self.tested.current
        if self.attached is not None:
            assert self.attached == current.started_ms

    @stateful.invariant()
    def drained_start_stays_out_of_service(self):
        """An upstream that has left must not be in service."""
        if self.has_left:
            assert self.attached is None


TestLifecycle = LifecycleMachine.TestCase
