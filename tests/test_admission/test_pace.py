"""Tests of starts on hosts whose speed changes."""

from __future__ import annotations

import random

from jasminebeam.admission import host_speed
from jasminebeam.admission import slots
from jasminebeam import verdict

LATE_MS = 1e9


def _offer(queue, ticket, max_wait_ms, slowness, now_ms, priority=0):
    offer = slots.Offer(ticket, LATE_MS, max_wait_ms, priority)
    return queue.offer(offer, slowness, now_ms)


def _queue_with_service_time(service_ms, usable_ratio=1.0):
    queue = slots.SlotQueue(9, 4.0, usable_ratio)
    _offer(queue, 'warm', LATE_MS, 1.0, 0.0)
    queue.release('warm', 1.0, service_ms, measured=True)
    return queue


def test_slow_host_sends_an_impatient_request_elsewhere():
    """Starting now would take three service times longer."""
    queue = _queue_with_service_time(100.0)
    refused = _offer(queue, 'a', 50.0, 4.0, 200.0)
    assert refused.reason is verdict.Reason.BUSY
    assert queue.in_flight == 0


def test_patient_request_starts_when_the_host_is_fast_again():
    """It is held, and no longer than a slow start would cost."""
    queue = _queue_with_service_time(100.0)
    held = _offer(queue, 'a', LATE_MS, 4.0, 200.0)
    assert held.step is slots.Step.WAIT
    assert queue.fill(4.0, 300.0).start == ()
    assert queue.fill(1.0, 310.0).start == ('a',)
    _offer(queue, 'b', LATE_MS, 4.0, 400.0)
    assert queue.fill(4.0, 701.0).start == ('b',)


def test_some_slots_stay_free():
    """The upstream slows down when nearly full."""
    queue = _queue_with_service_time(100.0, usable_ratio=0.8)
    steps = [_offer(queue, n, LATE_MS, 1.0, 200.0).step for n in range(8)]
    assert steps.count(slots.Step.START) == 7


def test_waiting_requests_start_by_rank():
    """The more urgent one goes first, others in their order."""
    queue = slots.SlotQueue(1, 9.0)
    _offer(queue, 'running', LATE_MS, 1.0, 0.0)
    for ticket, rank in (('low', 2), ('high', 0), ('mid', 1), ('high2', 0)):
        _offer(queue, ticket, LATE_MS, 1.0, 1.0, rank)
    order = []
    running = 'running'
    for _ in range(4):
        (running,) = queue.release(running, 1.0, 5.0, True).start
        order.append(running)
    assert order == ['high', 'high2', 'mid', 'low']


def test_short_calls_go_before_long_requests_of_their_rank():
    """A call keeps the slot of the request that made it."""
    queue = slots.SlotQueue(1, 9.0)
    _offer(queue, 'running', LATE_MS, 1.0, 0.0)
    for ticket, objective_ms in (('long', 400.0), ('call', 130.0)):
        offer = slots.Offer(ticket, LATE_MS, LATE_MS, 1, objective_ms)
        queue.offer(offer, 1.0, 1.0)
    assert queue.release('running', 1.0, 5.0, True).start == ('call',)


def test_short_request_is_held_no_longer_than_a_slow_start_costs():
    """Each route has its own service time."""
    queue = slots.SlotQueue(9, 4.0)
    for route, ends_ms in (('short', 20.0), ('long', 300.0)):
        offer = slots.Offer(route, LATE_MS, LATE_MS, route=route)
        queue.offer(offer, 1.0, 0.0)
        queue.release(route, 1.0, ends_ms, measured=True)
    held = slots.Offer('a', LATE_MS, LATE_MS, route='short')
    queue.offer(held, 4.0, 400.0)
    assert queue.fill(4.0, 455.0).start == ()
    assert queue.fill(4.0, 461.0).start == ('a',)


def test_first_requests_of_a_node_are_held_as_well():
    """Their objective tells about how long they take."""
    queue = slots.SlotQueue(9, 4.0)
    offer = slots.Offer('a', LATE_MS, LATE_MS, objective_ms=600.0, route='r')
    assert queue.offer(offer, 4.0, 0.0).step is slots.Step.WAIT
    assert queue.fill(4.0, 300.0).start == ()


def test_figure_that_predicts_nothing_is_ignored():
    """Durations show that it is idle."""
    known = host_speed.HostSpeed()
    known.on_report(4.0, 0.0)
    assert known.slowness(10.0) == 4.0
    for _ in range(host_speed.MIN_JUDGED):
        known.on_completion('r', 1.0, 100.0)
        known.on_completion('r', 4.0, 100.0)
    assert known.slowness(10.0) == 1.0
    assert not known.needs_check(1_000.0)


def test_routes_of_other_lengths_do_not_hide_what_the_figure_predicts():
    """Short calls on a slow host take less than long requests on others."""
    known = host_speed.HostSpeed()
    known.on_report(4.0, 0.0)
    for _ in range(host_speed.MIN_JUDGED):
        known.on_completion('call', 1.0, 22.0)
        known.on_completion('sign', 1.0, 120.0)
        known.on_completion('call', 4.0, 88.0)
    assert known.is_predictive()
    assert known.slowness(10.0) == 4.0


def test_figure_is_trusted_again_once_durations_follow_it():
    """A figure that was idle for a while is still compared."""
    known = host_speed.HostSpeed()
    for duration_ms in (100.0, 400.0):
        for _ in range(4 * host_speed.MIN_JUDGED):
            known.on_completion('r', 1.0, 100.0)
            known.on_completion('r', 4.0, duration_ms)
        assert known.is_predictive() == (duration_ms > 100.0)


def test_queued_requests_are_held_when_the_host_turns_slow():
    """They were accepted while it was fast."""
    queue = _queue_with_service_time(100.0)
    for ticket in range(10):
        _offer(queue, ticket, LATE_MS, 1.0, 200.0)
    assert queue.queued == 1
    assert queue.release(0, 4.0, 300.0, measured=True).start == ()
    assert queue.fill(4.0, 590.0).start == ()
    assert queue.fill(1.0, 595.0).start == (9,)


def test_host_that_stays_slow_is_not_waited_for():
    """After a cold start all hosts are slow for seconds."""
    known = host_speed.HostSpeed()
    for now_ms in range(0, 3_000, 100):
        known.on_report(2.0, float(now_ms))
        assert known.excess(now_ms) == 1.0
        assert known.level == 2.0
    known.on_report(8.0, 3_000.0)
    assert known.excess(3_000.0) == 4.0


def test_moment_of_slowness_is_waited_for():
    """The host was fast within the last seconds."""
    known = host_speed.HostSpeed()
    known.on_report(1.0, 0.0)
    for now_ms in range(300, 1_200, 300):
        known.on_report(4.0, float(now_ms))
        assert known.excess(now_ms) == 4.0
    for now_ms in range(1_200, 4_000, 300):
        known.on_report(4.0, float(now_ms))
    assert known.excess(3_900.0) == 1.0


def test_cold_host_is_expected_to_take_longer():
    """A wait that leaves time enough at the usual speed is too long."""
    queue = _queue_with_service_time(100.0)
    for number in range(18):
        _offer(queue, number, LATE_MS, 1.0, 200.0)
    offer = slots.Offer('a', 1_000.0, LATE_MS, objective_ms=410.0)
    assert queue.estimate(offer, 1.0, 200.0).reason is verdict.Reason.NONE
    queue.level = 2.0
    assert queue.estimate(offer, 1.0, 200.0).reason is verdict.Reason.BUSY


def test_old_figure_says_nothing():
    """The host's speed has changed since."""
    known = host_speed.HostSpeed()
    known.on_report(4.0, 0.0)
    assert known.needs_check(host_speed.FRESH_MS + 1)
    assert known.slowness(host_speed.STALE_MS + 1) == 1.0


def test_upstream_that_tells_no_slowness_costs_no_checks():
    """There is nothing to read."""
    assert not host_speed.HostSpeed().needs_check(1_000.0)


def test_holding_shortens_the_tail_under_noise():
    """Replays one host that is slow a quarter of the time, four times.

    A held request starts slow only if the next draw is slow as well: a
    quarter of the slow starts is left, half with the queue's effects.
    """
    assert _slow_share(checked=True) < _slow_share(checked=False) / 2


def _slow_share(checked):
    generator = random.Random(7)
    queue = _queue_with_service_time(100.0)
    ends = {}
    slow_starts = 0
    slowness = 1.0
    started = 0
    for now_ms in range(1_000, 61_000, 10):
        if now_ms % 300 == 0:
            slowness = 4.0 if generator.random() < 0.25 else 1.0
        known = slowness if checked else 1.0
        done = [ticket for ticket, end in ends.items() if end <= now_ms]
        begun = []
        for ticket in done:
            del ends[ticket]
            begun += queue.release(ticket, known, now_ms, True).start
        begun += queue.fill(known, now_ms).start
        if now_ms % 50 == 0:
            step = _offer(queue, now_ms, LATE_MS, known, now_ms).step
            begun += [now_ms] if step is slots.Step.START else []
        for ticket in begun:
            started += 1
            slow_starts += slowness > 1.0
            ends[ticket] = now_ms + 100.0 * slowness
    return slow_starts / started
