"""Tests of the slots and the bounded queue."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from jasminebeam.admission import slots
from jasminebeam.model import upstreams
from jasminebeam import verdict

UNLIMITED_MS = 1e9


def _offer(queue, now_ms, ticket, deadline_ms, max_wait_ms, slowness=1.0):
    offer = slots.Offer(ticket, deadline_ms, max_wait_ms)
    return queue.offer(offer, slowness, now_ms)


def test_full_slots_make_requests_wait():
    """Once all slots are taken, requests must wait until the queue is full."""
    queue = slots.SlotQueue(slots=1, queue_ratio=1.0)
    assert (
        _offer(queue, 0.0, 'a', UNLIMITED_MS, UNLIMITED_MS).action
        is slots.Action.START
    )
    assert (
        _offer(queue, 0.0, 'b', UNLIMITED_MS, UNLIMITED_MS).action
        is slots.Action.WAIT
    )
    refused = _offer(queue, 0.0, 'c', UNLIMITED_MS, UNLIMITED_MS)
    assert refused.reason is verdict.Reason.QUEUE_FULL


def test_release_starts_the_next_and_drops_late_ones():
    """A free slot must go to the first request that is not too late."""
    queue = slots.SlotQueue(slots=1, queue_ratio=2.0)
    _offer(queue, 0.0, 'a', UNLIMITED_MS, UNLIMITED_MS)
    _offer(queue, 0.0, 'b', 50.0, UNLIMITED_MS)
    _offer(queue, 0.0, 'c', UNLIMITED_MS, UNLIMITED_MS)
    released = queue.release('a', 1.0, 60.0, measured=True)
    assert released.start == ('c',)
    assert released.dropped.too_late == ('b',)


def test_request_that_would_miss_its_deadline_is_refused():
    """A request must be refused if its wait would exceed the time left."""
    queue = slots.SlotQueue(slots=1, queue_ratio=5.0)
    _offer(queue, 0.0, 'a', UNLIMITED_MS, UNLIMITED_MS)
    refused = queue.offer(
        slots.Offer('b', queue.predicted_wait_ms(0.0), UNLIMITED_MS), 1.0, 0.0
    )
    assert refused.reason is verdict.Reason.WOULD_MISS_DEADLINE


def test_wait_beyond_what_the_ingress_accepts_is_refused():
    """A request must not be queued if it would wait for too long."""
    queue = slots.SlotQueue(slots=1, queue_ratio=5.0)
    _offer(queue, 0.0, 'a', UNLIMITED_MS, 0.0)
    refused = _offer(queue, 0.0, 'b', UNLIMITED_MS, 1.0)
    assert refused.reason is verdict.Reason.BUSY
    assert queue.queued == 0


def test_missing_completions_raise_the_service_time():
    """The estimate must reflect a stall before a slow request completes."""
    queue = slots.SlotQueue(slots=4, queue_ratio=5.0)
    for ticket in range(4):
        _offer(queue, 0.0, ticket, UNLIMITED_MS, UNLIMITED_MS)
    assert queue.service_ms(3.0) == slots.INITIAL_SERVICE_MS
    assert queue.service_ms(60.0) == 80.0
    queue.release(0, 1.0, 60.0, measured=True)
    assert queue.service_ms(60.0) == 60.0


def test_simultaneous_burst_does_not_look_stalled():
    """The oldest request's age must limit the estimate after a burst.

    No request of the burst can complete within one service time.
    """
    queue = slots.SlotQueue(slots=9, queue_ratio=5.0)
    for ticket in range(9):
        _offer(queue, 0.0, ticket, UNLIMITED_MS, UNLIMITED_MS)
    assert queue.service_ms(200.0) == 300.0


def test_sample_counts_exactly():
    """The sample must have the exact counts and the oldest age."""
    queue = slots.SlotQueue(slots=1, queue_ratio=1.0)
    _offer(queue, 0.0, 'a', UNLIMITED_MS, UNLIMITED_MS)
    _offer(queue, 1.0, 'b', UNLIMITED_MS, UNLIMITED_MS)
    sample = queue.sample(upstreams.Phase.READY, -1, 1.0, 4.0)
    assert (sample.in_flight, sample.queued) == (1, 1)
    assert sample.oldest_us == 4_000


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['offer', 'release', 'withdraw']),
            strategies.integers(0, 20),
            strategies.floats(1.0, 100.0),
        ),
        max_size=100,
    )
)
def test_slots_and_queue_stay_within_their_bounds(actions):
    """No order of actions may exceed the slots or the queue."""
    queue = slots.SlotQueue(slots=2, queue_ratio=1.5)
    in_flight = set()
    now_ms = 0.0
    for number, (action, ticket, passed_ms) in enumerate(actions):
        now_ms += passed_ms
        if action == 'offer':
            decision = queue.offer(
                slots.Offer(number, now_ms + 50.0, 50.0), 1.0, now_ms
            )
            if decision.action is slots.Action.START:
                in_flight.add(number)
        elif action == 'release' and in_flight:
            done = in_flight.pop()
            in_flight.update(queue.release(done, 1.0, now_ms, True).start)
        else:
            queue.withdraw(ticket)
        assert queue.in_flight == len(in_flight) <= 2
        assert queue.queued <= 3
