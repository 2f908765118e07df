"""Tests of the rate limit that an upstream names."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from jasminebeam.admission import rate_limit
from jasminebeam.admission import slots
from jasminebeam.model import upstreams
from jasminebeam import verdict

ANSWER = upstreams.NoticeSource.ANSWER
HEALTH = upstreams.NoticeSource.HEALTH
REFUSAL = upstreams.NoticeSource.REFUSAL

WINDOW_MS = 4_000.0
LIMITS_PER_S = [0.0, 0.01, 0.2, 1.0, 4.0, 8.125, 50.0, 1e9]


def allowed(limit_per_s):
    """Return how many requests may start within the window."""
    return 1.5 * limit_per_s * WINDOW_MS / 1_000 + 5


def _named(per_s, now_ms=0.0, source=ANSWER):
    return rate_limit.RateLimit().named(per_s, source, now_ms)


class LimitMachine(stateful.RuleBasedStateMachine):
    """Requests, changes of the limit, restarts and pauses in any order.

    Each start must leave the requests of the four seconds before it within
    what the limit of that moment allows. Requests that started before the
    limit was first named do not count.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.limit = _named(4.0)
        self.starts_ms = []

    @stateful.rule(
        count=strategies.integers(1, 60), gap_ms=strategies.floats(0.0, 400.0)
    )
    def offer(self, count, gap_ms):
        """Requests arrive; each starts if the limit has room."""
        for _ in range(count):
            self.now_ms += gap_ms
            if self.limit.wait_ms(0, self.now_ms):
                continue
            self.limit = self.limit.started(self.now_ms)
            self.starts_ms.append(self.now_ms)
            recent = [
                start_ms
                for start_ms in self.starts_ms
                if start_ms > self.now_ms - WINDOW_MS
            ]
            assert len(recent) <= allowed(self.limit.per_s)

    @stateful.rule(per_s=strategies.sampled_from(LIMITS_PER_S))
    def name(self, per_s):
        """The upstream names a limit, perhaps another one."""
        self.limit = self.limit.named(per_s, ANSWER, self.now_ms)

    @stateful.rule(gap_ms=strategies.floats(0.0, 2_900.0))
    def answer_without_limit(self, gap_ms):
        """One answer does not name the limit, and the next one does."""
        per_s = self.limit.per_s
        self.now_ms = max(self.now_ms, self.limit.named_ms + gap_ms)
        if self.now_ms - self.limit.named_ms < 3_000.0:
            self.limit = self.limit.unnamed(ANSWER, self.now_ms)
            assert self.limit.in_force
        self.limit = self.limit.named(per_s, ANSWER, self.now_ms)

    @stateful.rule(down_ms=strategies.floats(0.0, 3_000.0))
    def restart(self, down_ms):
        """The sidecar restarts; an ingress node tells it the limit."""
        recent_starts = self.limit.recent_starts(self.now_ms)
        self.now_ms += down_ms
        self.limit = rate_limit.RateLimit().adopted(
            self.limit.per_s, recent_starts, self.now_ms
        )

    @stateful.rule(pause_ms=strategies.floats(0.0, 9_000.0))
    def pause(self, pause_ms):
        """No request arrives for some time."""
        self.now_ms += pause_ms


LimitMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=20
)
TestLimit = LimitMachine.TestCase


def test_restart_after_a_fall_exceeded_the_limit():
    """Requests from before the fall count in the new process as well."""
    machine = LimitMachine()
    machine.name(1e9)
    machine.offer(29, 1.0)
    machine.name(4.0)
    machine.restart(0.0)
    machine.pause(250.0)
    machine.offer(30, 100.0)


@pytest.mark.parametrize('per_s', LIMITS_PER_S[2:-1])
def test_limit_is_used_in_full(per_s):
    """The starts must reach the limit where there is enough load."""
    limit = _named(per_s)
    starts = 0
    for now_ms in range(0, 60_000, 5):
        if not limit.wait_ms(0, now_ms):
            limit = limit.started(now_ms)
            starts += 1
    assert starts >= int(60 * per_s) - 1


def test_limit_of_zero_allows_a_request_from_time_to_time():
    """The answer to a request may be the only sign of the limit's end."""
    limit = _named(0.0)
    assert 0 < limit.wait_ms(0, 0.0) <= 60_001.0


@pytest.mark.parametrize(
    ('named', 'unnamed', 'hold_ms'),
    [
        (ANSWER, ANSWER, 3_000.0),
        (HEALTH, HEALTH, 3_000.0),
        (REFUSAL, ANSWER, 10_000.0),
        (ANSWER, HEALTH, 10_000.0),
    ],
)
def test_limit_outlives_answers_that_do_not_name_it(named, unnamed, hold_ms):
    """Answers of another kind show its end only after a longer time."""
    limit = _named(4.0, source=named)
    assert limit.unnamed(unnamed, hold_ms - 1).in_force
    assert not limit.unnamed(unnamed, hold_ms).in_force


def test_low_limit_outlives_the_time_between_its_requests():
    """The hold time must cover the interval of the requests."""
    assert _named(0.2).unnamed(ANSWER, 9_000.0).in_force


def test_rate_recovers_step_by_step():
    """After the end, the rate must grow instead of jumping."""
    limit = _named(4.0).unnamed(ANSWER, 3_000.0)
    starts = []
    for now_ms in range(3_000, 12_000, 5):
        limit = limit.recovered(now_ms)
        if not limit.wait_ms(0, now_ms):
            limit = limit.started(now_ms)
            starts.append(now_ms)
    assert sum(start_ms < 4_000 for start_ms in starts) <= 8
    assert not limit.paced


def _offer(queue, ticket, now_ms, priority=1, deadline_ms=1e9):
    offer = slots.Offer(ticket, deadline_ms, 1e9, priority)
    return queue.offer(offer, 1.0, now_ms)


@pytest.fixture
def limited_queue():
    """Provide free slots and a limit of one request a second, used up."""
    queue = slots.SlotQueue(slots=9, queue_ratio=4.0)
    queue.limit = _named(1.0)
    return queue


def test_requests_wait_for_the_limit_by_priority(limited_queue):
    """The most important request must start first, when there is room."""
    for ticket, priority in (('low', 5), ('high', 1), ('nested', -1)):
        decision = _offer(limited_queue, ticket, 0.0, priority)
        assert decision.action is slots.Action.WAIT
    started = [
        limited_queue.fill(1.0, now_ms).start
        for now_ms in (500.0, 1_000.0, 2_000.0, 3_000.0)
    ]
    assert started == [(), ('nested',), ('high',), ('low',)]


def test_request_that_the_limit_holds_back_too_long_is_refused(limited_queue):
    """It must be refused at once, with the limit as the reason."""
    decision = _offer(limited_queue, 'a', 0.0, deadline_ms=900.0)
    assert decision.action is slots.Action.REFUSE
    assert decision.reason is verdict.Reason.RATE_LIMITED


def test_overtaken_request_is_refused_as_soon_as_that_is_known(limited_queue):
    """A request must not wait on if others will take its turn."""
    _offer(limited_queue, 'low', 0.0, 5, deadline_ms=1_500.0)
    _offer(limited_queue, 'high', 0.0, 1)
    assert limited_queue.drop(1.0).wait_expired == ('low',)


def test_end_of_the_limit_starts_the_waiting_requests(limited_queue):
    """After the recovery, the slots alone count."""
    limited_queue.limit = limited_queue.limit.unnamed(ANSWER, 3_000.0)
    for ticket in range(9):
        _offer(limited_queue, ticket, 11_000.0)
    started = limited_queue.fill(1.0, 11_001.0).start
    assert limited_queue.in_flight == 9 or len(started) == 9
