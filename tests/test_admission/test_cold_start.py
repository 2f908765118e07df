"""Tests of the limit of starts at an upstream that may be cold."""

from __future__ import annotations

import math

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from bench.soak import checks
from jasminebeam.admission import cold_start
from jasminebeam.admission import slots
from jasminebeam.peering import codec
from jasminebeam.peering import cold_messages
from jasminebeam import verdict

SECOND_MS = 1_000.0
RATES_PER_S = [0.1, 1.0, 4.9, 20.0, 300.0]


def allowed(per_s):
    """Return how many requests a cold upstream may get in a second."""
    return 1.5 * per_s + 8


def _warm(per_s=4.9, now_ms=0.0):
    limit = cold_start.attached(per_s, 0.0, True, now_ms)
    return limit.on_check_sent(now_ms).on_health(now_ms, 0.0, now_ms)


def _start_all(limit, now_ms):
    """Start requests until the limit has no room; return their number."""
    count = 0
    while not limit.wait_ms(0, now_ms):
        limit = limit.started(now_ms)
        count += 1
        if count == 10_000:
            break
    return limit, count


class ColdMachine(stateful.RuleBasedStateMachine):
    """Requests, cold starts, checks, losses and restarts in any order.

    Each health check may be answered late, or not at all. A start counts if
    the upstream is cold at that moment.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.cold_until_ms = -1.0
        self.starts_ms = []
        self.responses = []
        self.per_s = 4.9
        self.limit = cold_start.attached(4.9, 0.0, True, 0.0)

    @stateful.initialize(per_s=strategies.sampled_from(RATES_PER_S))
    def choose_rate(self, per_s):
        """The configuration names a rate."""
        self.per_s = per_s
        self.limit = cold_start.attached(per_s, 0.0, True, 0.0)

    @stateful.rule(
        count=strategies.integers(1, 60), gap_ms=strategies.floats(0.0, 300.0)
    )
    def offer(self, count, gap_ms):
        """Requests arrive; each starts if the limit has room."""
        for _ in range(count):
            self.now_ms += gap_ms
            if self.limit.wait_ms(0, self.now_ms):
                continue
            self.limit = self.limit.started(self.now_ms)
            if self.now_ms < self.cold_until_ms:
                self.starts_ms.append(self.now_ms)
        most = checks.most_in_window(self.starts_ms[-2_000:], SECOND_MS)
        assert most <= allowed(self.per_s)

    @stateful.rule(duration_ms=strategies.floats(1.0, 5_000.0))
    def become_cold(self, duration_ms):
        """The upstream becomes cold at any moment."""
        self.cold_until_ms = self.now_ms + duration_ms

    @stateful.rule(
        delay_ms=strategies.floats(0.0, 40.0), is_lost=strategies.booleans()
    )
    def check(self, delay_ms, is_lost):
        """A check is sent; its response may still be under way later."""
        sent_ms = self.now_ms
        self.limit = self.limit.on_check_sent(sent_ms)
        self.now_ms += delay_ms
        if not is_lost:
            cold_ms = max(0.0, self.cold_until_ms - self.now_ms)
            self.responses.append((sent_ms, cold_ms))

    @stateful.rule()
    def respond(self):
        """A response arrives, perhaps after later ones."""
        if self.responses:
            sent_ms, cold_ms = self.responses.pop()
            self.limit = self.limit.on_health(sent_ms, cold_ms, self.now_ms)

    @stateful.rule()
    def fail(self):
        """A check ends without a response."""
        self.limit = self.limit.on_no_response(self.now_ms)

    @stateful.rule(down_ms=strategies.floats(500.0, 3_000.0))
    def restart(self, down_ms):
        """The sidecar restarts, and responses under way are lost."""
        self.now_ms += down_ms
        self.responses.clear()
        self.limit = cold_start.attached(self.per_s, 0.0, True, self.now_ms)


ColdMachine.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40
)
test_cold_upstream_got_too_much = ColdMachine.TestCase


@pytest.mark.parametrize('per_s', RATES_PER_S)
def test_bound_was_broken_when_the_sidecar_restarted(per_s):
    """Starts of the previous process count towards the same second."""
    _, before = _start_all(_warm(per_s), 0.0)
    restarted = cold_start.attached(per_s, 0.0, True, 100.0)
    assert restarted.wait_ms(0, 100.0) > 0
    restarted = restarted.on_check_sent(100.0).on_health(100.0, 9e3, 102.0)
    after = 0
    for now_ms in range(102, 1_000):
        restarted, count = _start_all(restarted, float(now_ms))
        after += count
    assert before + after <= allowed(per_s)


def test_starts_before_a_response_were_forgotten():
    """The upstream may have become cold after it had answered the check."""
    limit = _warm().on_check_sent(10.0)
    limit, count = _start_all(limit, 11.0)
    limit = limit.on_health(10.0, 0.0, 12.0)
    assert count == limit.unconfirmed_starts
    assert limit.wait_ms(0, 12.0) > 0
    limit = limit.on_check_sent(20.0).on_health(20.0, 0.0, 21.0)
    assert limit.wait_ms(0, 21.0) == 0


def test_nothing_starts_before_the_first_check():
    """Nothing is known about the upstream of a sidecar that starts."""
    limit = cold_start.attached(4.9, 0.0, True, 0.0)
    assert limit.state(0.0) is cold_start.State.UNCHECKED
    assert limit.wait_ms(0, 900.0) > 0
    assert limit.check_delay_ms(0.0) == 0.0


def test_silent_upstream_gets_the_cold_rate():
    """An upstream without health responses may be cold."""
    limit = _warm().on_check_sent(100.0)
    starts = 0
    for now_ms in range(100, 20_100):
        limit, count = _start_all(limit, float(now_ms))
        starts += count
    assert limit.state(20_100.0) is cold_start.State.SILENT
    assert 0.9 * 4.9 * 20 <= starts <= 4.9 * 20 + allowed(4.9)


def test_cold_upstream_gets_the_cold_rate():
    """The rate is both the target and used in full."""
    limit = _warm().on_cold(60_000.0, 0.0)
    starts = 0
    for now_ms in range(20_000):
        limit, count = _start_all(limit, float(now_ms))
        starts += count
    assert 0.95 * 4.9 * 20 <= starts <= 4.9 * 20 + cold_start.BURST


def test_warm_upstream_was_slowed_down():
    """A busy warm upstream waits for checks only, which take 2 ms."""
    limit = _warm()
    sent_ms = math.inf
    starts = checks_sent = 0
    for now_ms in range(10_000):
        if now_ms >= sent_ms + 2:
            limit = limit.on_health(sent_ms, 0.0, float(now_ms))
            sent_ms = math.inf
        if now_ms % 5 == 0 and not limit.wait_ms(0, float(now_ms)):
            limit = limit.started(float(now_ms))
            starts += 1
        if sent_ms == math.inf and not limit.check_delay_ms(float(now_ms)):
            limit = limit.on_check_sent(float(now_ms))
            sent_ms = float(now_ms)
            checks_sent += 1
    assert starts == 2_000
    assert checks_sent <= 50 * 10


def test_few_requests_cause_no_checks():
    """Requests below the bound need no knowledge."""
    limit = _warm()
    for now_ms in range(0, 20_000, 500):
        assert not limit.wait_ms(0, float(now_ms))
        limit = limit.started(float(now_ms))
        assert math.isinf(limit.check_delay_ms(float(now_ms)))


@pytest.mark.parametrize('sent_ms', [-5.0, 40.0])
def test_older_response_ended_a_cold_start(sent_ms):
    """A check from before the attachment or the statement proves nothing."""
    limit = cold_start.attached(4.9, 0.0, True, 0.0).on_cold(5_000.0, 50.0)
    limit = limit.on_health(sent_ms, 0.0, 60.0)
    assert limit.state(60.0) is cold_start.State.COLD
    limit = limit.on_health(55.0, 0.0, 61.0)
    assert limit.state(61.0) is cold_start.State.WARM


def test_end_of_a_cold_start_was_assumed():
    """After the time that it has named, the upstream must confirm."""
    limit = _warm().on_health(0.0, 500.0, 1.0).on_check_sent(400.0)
    assert limit.state(2_000.0) is not cold_start.State.WARM
    assert limit.check_delay_ms(501.0) == 0.0


def test_service_without_a_rate_has_no_limit():
    """Nothing may change where the configuration has no rate."""
    limit = cold_start.attached(math.inf, 5_000.0, True, 0.0)
    limit = limit.on_cold(5_000.0, 0.0).started(0.0)
    assert limit.state(0.0) is cold_start.State.OFF
    assert limit.wait_ms(100, 0.0) == 0.0
    assert math.isinf(limit.check_delay_ms(0.0))


def test_rate_of_a_new_configuration_is_used():
    """A change applies at once, and the removal ends the limit."""
    limit = _warm().on_cold(60_000.0, 0.0).with_rate(50.0, 0.0)
    limit, _ = _start_all(limit, 0.0)
    assert limit.wait_ms(0, 0.0) <= 20.0
    removed = limit.with_rate(math.inf, 0.0)
    assert removed.wait_ms(50, 0.0) == 0.0
    assert removed.with_rate(4.9, 10.0).state(10.0) is (
        cold_start.State.UNCHECKED
    )


@pytest.mark.parametrize('per_s', [1e-300, 1e9])
def test_odd_rate_of_a_configuration_failed_in_a_message(per_s):
    """Rates close to 0 give no wait that a message cannot carry."""
    limit = _warm(per_s).on_cold(9_000.0, 0.0)
    limit, _ = _start_all(limit, 0.0)
    wait_us = int(limit.wait_ms(100, 0.0) * 1_000)
    notice = cold_messages.ColdNotice(per_s, wait_us)
    assert codec.decode(codec.encode(notice)).unwrap() == notice


def test_cold_upstream_refuses_with_its_reason():
    """Ingress nodes reroute such a refusal without the retry budget."""
    queue = slots.SlotQueue(5, 4.0)
    queue.cold = _warm().on_cold(9_000.0, 0.0)
    decisions = [
        queue.offer(slots.Offer(number, 2_000.0, 20.0), 1.0, 0.0)
        for number in range(4)
    ]
    assert [decision.action for decision in decisions[:2]] == (
        2 * [slots.Action.START]
    )
    assert decisions[3].reason is verdict.Reason.COLD
