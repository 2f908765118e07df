"""Tests of admission on hosts whose speed changes."""

from __future__ import annotations

import random

from jasminebeam.admission import host_speed
from jasminebeam.admission import slots
from jasminebeam import verdict

UNLIMITED_MS = 1e9


def _offer(queue, ticket, max_wait_ms, slowness, now_ms, priority=0):
    offer = slots.Offer(ticket, UNLIMITED_MS, max_wait_ms, priority)
    return queue.offer(offer, slowness, now_ms)


def _queue_with_service_time(service_ms, usable_ratio=1.0):
    queue = slots.SlotQueue(9, 4.0, usable_ratio)
    _offer(queue, 'warm', UNLIMITED_MS, 1.0, 0.0)
    queue.release('warm', 1.0, service_ms, measured=True)
    return queue


def test_slow_host_refuses_a_request_with_a_short_maximum_wait():
    """A slow host must refuse the request instead of starting it.

    A start at slowness 4 would take three service times longer than a
    start at normal speed.
    """
    queue = _queue_with_service_time(100.0)
    refused = _offer(queue, 'a', 50.0, 4.0, 200.0)
    assert refused.reason is verdict.Reason.BUSY
    assert queue.in_flight == 0


def test_request_with_a_long_maximum_wait_is_delayed_on_a_slow_host():
    """The start must be delayed until the host is fast.

    The delay must not exceed the time that a slow start would cost.
    """
    queue = _queue_with_service_time(100.0)
    delayed = _offer(queue, 'a', UNLIMITED_MS, 4.0, 200.0)
    assert delayed.action is slots.Action.WAIT
    assert queue.fill(4.0, 300.0).start == ()
    assert queue.fill(1.0, 310.0).start == ('a',)
    _offer(queue, 'b', UNLIMITED_MS, 4.0, 400.0)
    assert queue.fill(4.0, 701.0).start == ('b',)


def test_some_slots_stay_free():
    """At a usable ratio of 0.8, two of nine slots must stay free.

    An upstream slows down when it is nearly full.
    """
    queue = _queue_with_service_time(100.0, usable_ratio=0.8)
    actions = [
        _offer(queue, n, UNLIMITED_MS, 1.0, 200.0).action for n in range(8)
    ]
    assert actions.count(slots.Action.START) == 7


def test_waiting_requests_start_by_priority():
    """Requests of the same priority must start in their order of arrival."""
    queue = slots.SlotQueue(1, 9.0)
    _offer(queue, 'running', UNLIMITED_MS, 1.0, 0.0)
    for ticket, priority in (
        ('low', 2),
        ('high', 0),
        ('mid', 1),
        ('high2', 0),
    ):
        _offer(queue, ticket, UNLIMITED_MS, 1.0, 1.0, priority)
    order = []
    running = 'running'
    for _ in range(4):
        (running,) = queue.release(running, 1.0, 5.0, True).start
        order.append(running)
    assert order == ['high', 'high2', 'mid', 'low']


def test_earlier_objective_starts_first_within_a_priority():
    """The request with the earliest objective must start first.

    While a nested call waits, its parent request occupies a slot.
    """
    queue = slots.SlotQueue(1, 9.0)
    _offer(queue, 'running', UNLIMITED_MS, 1.0, 0.0)
    for ticket, objective_ms in (('long', 400.0), ('call', 130.0)):
        offer = slots.Offer(
            ticket, UNLIMITED_MS, UNLIMITED_MS, 1, objective_ms
        )
        queue.offer(offer, 1.0, 1.0)
    assert queue.release('running', 1.0, 5.0, True).start == ('call',)


def test_short_request_is_delayed_no_longer_than_a_slow_start_costs():
    """The service time of the route must limit the delay of a start."""
    queue = slots.SlotQueue(9, 4.0)
    for route, ends_ms in (('short', 20.0), ('long', 300.0)):
        offer = slots.Offer(route, UNLIMITED_MS, UNLIMITED_MS, route=route)
        queue.offer(offer, 1.0, 0.0)
        queue.release(route, 1.0, ends_ms, measured=True)
    delayed = slots.Offer('a', UNLIMITED_MS, UNLIMITED_MS, route='short')
    queue.offer(delayed, 4.0, 400.0)
    assert queue.fill(4.0, 455.0).start == ()
    assert queue.fill(4.0, 461.0).start == ('a',)


def test_first_request_of_a_route_is_delayed_on_a_slow_host():
    """The objective must give the first estimate of the service time."""
    queue = slots.SlotQueue(9, 4.0)
    offer = slots.Offer(
        'a', UNLIMITED_MS, UNLIMITED_MS, objective_ms=600.0, route='r'
    )
    assert queue.offer(offer, 4.0, 0.0).action is slots.Action.WAIT
    assert queue.fill(4.0, 300.0).start == ()


def test_slowness_that_does_not_predict_durations_is_ignored():
    """Reports must be ignored if slow starts take as long as others.

    A decision must then not wait for a check.
    """
    speed = host_speed.HostSpeed()
    speed.on_report(4.0, 0.0)
    assert speed.slowness(10.0) == 4.0
    for _ in range(host_speed.MIN_SLOW_STARTS):
        speed.on_completion('r', 1.0, 100.0)
        speed.on_completion('r', 4.0, 100.0)
    assert speed.slowness(10.0) == 1.0
    assert not speed.needs_check(1_000.0)


def test_durations_are_compared_within_each_route():
    """Durations of different routes must not hide the effect of slowness.

    A short call on a slow host takes less time than a long one on a fast
    host.
    """
    speed = host_speed.HostSpeed()
    speed.on_report(4.0, 0.0)
    # With fewer completions, a comparison over all routes would pass as well.
    for _ in range(4 * host_speed.MIN_SLOW_STARTS):
        speed.on_completion('call', 1.0, 22.0)
        speed.on_completion('sign', 1.0, 120.0)
        speed.on_completion('call', 4.0, 88.0)
    assert speed.is_predictive()
    assert speed.slowness(10.0) == 4.0


def test_slowness_is_trusted_again_once_it_predicts_durations():
    """Ignored reports must still be compared with durations."""
    speed = host_speed.HostSpeed()
    for duration_ms in (100.0, 400.0):
        for _ in range(4 * host_speed.MIN_SLOW_STARTS):
            speed.on_completion('r', 1.0, 100.0)
            speed.on_completion('r', 4.0, duration_ms)
        assert speed.is_predictive() == (duration_ms > 100.0)


def test_queued_requests_are_delayed_when_the_host_turns_slow():
    """The queue must delay requests that it accepted on a fast host."""
    queue = _queue_with_service_time(100.0)
    for ticket in range(10):
        _offer(queue, ticket, UNLIMITED_MS, 1.0, 200.0)
    assert queue.queued == 1
    assert queue.release(0, 4.0, 300.0, measured=True).start == ()
    assert queue.fill(4.0, 590.0).start == ()
    assert queue.fill(1.0, 595.0).start == (9,)


def test_lasting_slowness_becomes_the_baseline():
    """A host that stays slow must not delay starts.

    After a cold start, all hosts are slow for seconds, so that waiting for
    a lower slowness gains nothing.
    """
    speed = host_speed.HostSpeed()
    for now_ms in range(0, 3_000, 100):
        speed.on_report(2.0, float(now_ms))
        assert speed.relative_slowness(now_ms) == 1.0
        assert speed.baseline_slowness == 2.0
    speed.on_report(8.0, 3_000.0)
    assert speed.relative_slowness(3_000.0) == 4.0


def test_short_slowness_is_relative_to_the_fast_baseline():
    """A host must count as slow while the window has a fast report."""
    speed = host_speed.HostSpeed()
    speed.on_report(1.0, 0.0)
    for now_ms in range(300, 1_200, 300):
        speed.on_report(4.0, float(now_ms))
        assert speed.relative_slowness(now_ms) == 4.0
    for now_ms in range(1_200, 4_000, 300):
        speed.on_report(4.0, float(now_ms))
    assert speed.relative_slowness(3_900.0) == 1.0


def test_baseline_slowness_lengthens_the_expected_service_time():
    """A wait that fits at normal speed must be refused at half that speed."""
    queue = _queue_with_service_time(100.0)
    for number in range(18):
        _offer(queue, number, UNLIMITED_MS, 1.0, 200.0)
    offer = slots.Offer('a', 1_000.0, UNLIMITED_MS, objective_ms=410.0)
    assert queue.estimate(offer, 1.0, 200.0).reason is verdict.Reason.NONE
    queue.baseline_slowness = 2.0
    assert queue.estimate(offer, 1.0, 200.0).reason is verdict.Reason.BUSY


def test_old_slowness_report_is_ignored():
    """An old report must be ignored, as the host's speed has changed since."""
    speed = host_speed.HostSpeed()
    speed.on_report(4.0, 0.0)
    assert speed.needs_check(host_speed.FRESH_MS + 1)
    assert speed.slowness(host_speed.STALE_MS + 1) == 1.0


def test_upstream_without_slowness_reports_needs_no_checks():
    """A decision must not wait for a check that cannot return slowness."""
    assert not host_speed.HostSpeed().needs_check(1_000.0)


def test_delays_reduce_slow_starts_on_a_noisy_host():
    """Delayed starts must more than halve the share of slow starts.

    The host is slow, by a factor of four, for a quarter of the time. A
    delayed request starts slow only if the next period is slow as well, so
    a quarter of the slow starts would remain. The effects of the queue
    raise this share to a half.
    """
    assert _slow_share(checked=True) < _slow_share(checked=False) / 2


def _slow_share(checked):
    generator = random.Random(7)
    queue = _queue_with_service_time(100.0)
    ends_ms = {}
    slow_starts = 0
    slowness = 1.0
    started = 0
    for now_ms in range(1_000, 61_000, 10):
        if now_ms % 300 == 0:
            slowness = 4.0 if generator.random() < 0.25 else 1.0
        reported = slowness if checked else 1.0
        done = [
            ticket for ticket, end_ms in ends_ms.items() if end_ms <= now_ms
        ]
        starting = []
        for ticket in done:
            del ends_ms[ticket]
            starting += queue.release(ticket, reported, now_ms, True).start
        starting += queue.fill(reported, now_ms).start
        if now_ms % 50 == 0:
            action = _offer(
                queue, now_ms, UNLIMITED_MS, reported, now_ms
            ).action
            starting += [now_ms] if action is slots.Action.START else []
        for ticket in starting:
            started += 1
            slow_starts += slowness > 1.0
            ends_ms[ticket] = now_ms + 100.0 * slowness
    return slow_starts / started
