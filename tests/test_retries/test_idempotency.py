"""Tests of the cache of results for idempotency keys."""

from __future__ import annotations

from jasminebeam.model import requests
from jasminebeam.retries import idempotency
from jasminebeam import verdict

ANSWER = verdict.answered(requests.Answer(200, (), b''))


def test_second_claim_returns_the_kept_answer():
    """A duplicate within the window does not run."""
    cache = idempotency.IdempotencyCache(window_ms=100.0, max_keys=10)
    assert cache.claim('k', 1, 0.0) is None
    cache.record_result('k', ANSWER, 10.0)
    assert cache.claim('k', 1, 109.0) == ANSWER


def test_claim_during_the_run_is_busy():
    """A duplicate during the first run gets the verdict may have run."""
    cache = idempotency.IdempotencyCache(window_ms=100.0, max_keys=10)
    cache.claim('k', 1, 0.0)
    busy = cache.claim('k', 1, 500.0)
    assert busy.reason is verdict.Reason.KEY_BUSY
    assert busy.outcome is verdict.Outcome.MAY_HAVE_RUN


def test_other_request_with_the_same_key_is_refused():
    """A key identifies a single request."""
    cache = idempotency.IdempotencyCache(window_ms=100.0, max_keys=10)
    cache.claim('k', 1, 0.0)
    refused = cache.claim('k', 2, 0.0)
    assert refused.reason is verdict.Reason.KEY_CONFLICT


def test_key_is_free_again_after_a_refusal():
    """A request that did not run releases its key."""
    cache = idempotency.IdempotencyCache(window_ms=100.0, max_keys=10)
    cache.claim('k', 1, 0.0)
    cache.record_result('k', verdict.not_run(verdict.Reason.QUEUE_FULL), 0.0)
    assert cache.claim('k', 1, 0.0) is None


def test_full_cache_refuses_new_keys_and_keeps_old_ones():
    """Old keys are not evicted for new ones."""
    cache = idempotency.IdempotencyCache(window_ms=100.0, max_keys=1)
    cache.claim('k', 1, 0.0)
    cache.record_result('k', ANSWER, 0.0)
    refused = cache.claim('other', 1, 1.0)
    assert refused.reason is verdict.Reason.KEY_TABLE_FULL
    assert cache.claim('k', 1, 1.0) == ANSWER
