"""Tests of the answers kept for idempotency keys."""

from __future__ import annotations

from jasminebeam.model import requests
from jasminebeam.retries import keys
from jasminebeam import verdict

ANSWER = verdict.answered(requests.Answer(200, (), b''))


def test_second_claim_returns_the_kept_answer():
    """A repetition within the window does not run."""
    kept = keys.KeyedAnswers(window_ms=100.0, max_keys=10)
    assert kept.claim('k', 1, 0.0) is None
    kept.settle('k', ANSWER, 10.0)
    assert kept.claim('k', 1, 109.0) == ANSWER


def test_claim_during_the_run_is_busy():
    """A repetition during the first run may have run."""
    kept = keys.KeyedAnswers(window_ms=100.0, max_keys=10)
    kept.claim('k', 1, 0.0)
    busy = kept.claim('k', 1, 500.0)
    assert busy.reason is verdict.Reason.KEY_BUSY
    assert busy.outcome is verdict.Outcome.MAY_HAVE_RUN


def test_other_request_with_the_same_key_is_refused():
    """A key names one request."""
    kept = keys.KeyedAnswers(window_ms=100.0, max_keys=10)
    kept.claim('k', 1, 0.0)
    refused = kept.claim('k', 2, 0.0)
    assert refused.reason is verdict.Reason.KEY_CONFLICT


def test_key_is_free_again_after_a_refusal():
    """A request that did not run releases its key."""
    kept = keys.KeyedAnswers(window_ms=100.0, max_keys=10)
    kept.claim('k', 1, 0.0)
    kept.settle('k', verdict.not_run(verdict.Reason.QUEUE_FULL), 0.0)
    assert kept.claim('k', 1, 0.0) is None


def test_full_table_refuses_and_forgets_nothing():
    """Old keys are not evicted for new ones."""
    kept = keys.KeyedAnswers(window_ms=100.0, max_keys=1)
    kept.claim('k', 1, 0.0)
    kept.settle('k', ANSWER, 0.0)
    refused = kept.claim('other', 1, 1.0)
    assert refused.reason is verdict.Reason.KEY_TABLE_FULL
    assert kept.claim('k', 1, 1.0) == ANSWER
