"""Tests of the decision to take an upstream out of service."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies
import pytest

from jasminebeam import http_client
from jasminebeam.upstreams import suspension

INTERIM = http_client.EndReason.INTERIM
BODY = http_client.EndReason.BODY
SEVERE = (INTERIM, http_client.EndReason.HEAD, http_client.EndReason.FRAMING)


@pytest.fixture
def tested():
    """Provide the state of an upstream in service."""
    return suspension.Suspension()


@pytest.mark.parametrize('reason', SEVERE)
def test_one_severe_response_suspends(tested, reason):
    """Bytes that no request explains take the upstream out at once."""
    assert tested.on_unusable(reason, False, 0.0)
    assert tested.active
    assert tested.wait_ms(0.0) == suspension.FIRST_SUSPENSION_MS


@pytest.mark.parametrize('reason', [BODY, http_client.EndReason.MALFORMED])
def test_one_odd_answer_does_not_suspend(tested, reason):
    """Only three in a row suspend; a sound answer starts anew."""
    assert not tested.on_unusable(reason, False, 0.0)
    assert not tested.on_unusable(reason, False, 0.0)
    tested.on_sound(False, 1.0)
    assert not tested.on_unusable(reason, False, 2.0)
    assert not tested.on_unusable(reason, False, 2.0)
    assert tested.on_unusable(reason, False, 2.0)


def test_unsolicited_bytes_do_not_suspend(tested):
    """Closing the connection is enough for bytes after an answer."""
    for _ in range(100):
        assert not tested.on_unusable(
            http_client.EndReason.UNSOLICITED, False, 0.0
        )


def test_answers_on_their_way_neither_extend_nor_end_it(tested):
    """Only a health check after the suspension decides."""
    tested.on_unusable(INTERIM, False, 0.0)
    assert not tested.on_unusable(INTERIM, False, 10.0)
    assert not tested.on_unusable(INTERIM, True, 10.0)
    assert not tested.on_sound(False, 2_000.0)
    assert not tested.on_sound(True, 10.0)
    assert tested.wait_ms(10.0) == 990.0
    assert tested.on_sound(True, 1_000.0)
    assert not tested.active


@given(strategies.lists(strategies.sampled_from(SEVERE), max_size=200))
def test_unsound_upstream_was_probed_at_a_constant_rate(reasons):
    """Probes of an upstream that stays unsound become rare, up to a cap."""
    tested = suspension.Suspension()
    now_ms = 0.0
    waits_ms = []
    for reason in reasons:
        assert tested.on_unusable(reason, tested.active, now_ms)
        waits_ms.append(tested.wait_ms(now_ms))
        now_ms += waits_ms[-1]
    expected_ms = [1_000.0, 2_000.0, 4_000.0] + [8_000.0] * 200
    assert waits_ms == expected_ms[: len(waits_ms)]


def test_sound_checks_and_endless_answers_in_turn(tested):
    """A health check that succeeds must not reset the back-off."""
    now_ms = 0.0
    waits_ms = []
    for _ in range(5):
        assert tested.on_unusable(INTERIM, False, now_ms)
        waits_ms.append(tested.wait_ms(now_ms))
        now_ms += waits_ms[-1]
        assert tested.on_sound(True, now_ms)
        now_ms += 100.0
    assert waits_ms == [1_000.0, 2_000.0, 4_000.0, 8_000.0, 8_000.0]
    now_ms += suspension.FORGET_MS + 1.0
    assert tested.on_unusable(INTERIM, False, now_ms)
    assert tested.wait_ms(now_ms) == suspension.FIRST_SUSPENSION_MS
