"""Decides what follows an attempt."""

from __future__ import annotations

import dataclasses
import enum

from jasminebeam.model import requests
from jasminebeam import verdict

# Sendings of one request, refused ones included: beyond it, refusals only
# add load.
MAX_ATTEMPTS_SENT = 8
BASE_DELAY_MS = 1.0

# Another upstream would refuse the request for the same cause.
_POINTLESS = frozenset(
    {
        verdict.Reason.KEY_CONFLICT,
        verdict.Reason.KEY_BUSY,
        verdict.Reason.KEY_TABLE_FULL,
        verdict.Reason.DEADLINE,
        verdict.Reason.CANCELLED,
        verdict.Reason.ANSWER_TOO_LARGE,
    }
)


_REROUTED = frozenset(
    {
        verdict.Reason.BUSY,
        verdict.Reason.QUEUE_FULL,
        verdict.Reason.WOULD_MISS_DEADLINE,
        verdict.Reason.DRAINING,
        verdict.Reason.STOPPING,
        verdict.Reason.REVOKED,
        verdict.Reason.NOT_CONNECTED,
        verdict.Reason.NOT_READY,
        verdict.Reason.CONNECT_FAILED,
    }
)

# Longest wait of each attempt, as a share of the usual latency.
_WAIT_SHARES = (0.1, 0.1, 0.2, 0.3)
LAST_WAIT_SHARE = 0.5


# A wait may grow by this much between the quote and the hand-over: the
# completion of one request out of several, and a way between domains.
ESTIMATE_SLACK_MS = 20.0
ESTIMATE_STRETCH_RATIO = 1.5


class Action(enum.Enum):
    """What follows an attempt."""

    RETURN = 'return'
    RETRY = 'retry'


# Refusals that come from the upstream itself: the request has reached it.
_REACHED = frozenset({verdict.Reason.SHED, verdict.Reason.WRONG_UPSTREAM})


def may_have_reached_upstream(result: verdict.Verdict) -> bool:
    """Return True if an attempt may have got to an upstream."""
    if result.outcome is verdict.Outcome.NOT_RUN:
        return result.reason in _REACHED
    return True


def decide(
    call: requests.Call,
    result: verdict.Verdict,
    sendings: int,
    reached: int,
    now_ms: float,
) -> Action:
    """Return whether a request may be sent again after a result.

    Parameters
    ----------
    call : Call
        The request.
    result : Verdict
        Verdict on the attempt that has ended.
    sendings : int
        Attempts sent until now.
    reached : int
        Attempts that may have got to an upstream, or still may.
    now_ms : float
        Monotonic time.
    """
    if not may_repeat(call, result) or reached >= call.max_attempts:
        return Action.RETURN
    if sendings >= MAX_ATTEMPTS_SENT or now_ms >= call.deadline_ms:
        return Action.RETURN
    return Action.RETRY


def max_wait_ms(
    attempts: int,
    usual_ms: float,
    left_ms: float,
    accepts_queueing: bool,
) -> float:
    """Return how long an attempt may wait for a slot.

    Early attempts rather go elsewhere than wait: their refusal proves
    that they did not run and brings a fresh load sample.

    Parameters
    ----------
    attempts : int
        Attempts sent before.
    usual_ms : float
        Usual latency of the service.
    left_ms : float
        Time until the deadline.
    accepts_queueing : bool
        True if the attempt waits rather than goes elsewhere.

    Examples
    --------
    >>> max_wait_ms(0, 200.0, 1_000.0, accepts_queueing=False)
    20.0
    >>> max_wait_ms(0, 200.0, 1_000.0, accepts_queueing=True)
    500.0
    """
    if accepts_queueing or reroutes_exhausted(attempts):
        return LAST_WAIT_SHARE * left_ms
    return _WAIT_SHARES[attempts] * usual_ms


def max_wait_after_estimate_ms(wait_ms: float) -> float:
    """Return how long an attempt may wait where a wait was quoted.

    If the host has become slow or full since, another one is better.

    Examples
    --------
    >>> max_wait_after_estimate_ms(0.0), max_wait_after_estimate_ms(100.0)
    (20.0, 170.0)
    """
    return ESTIMATE_SLACK_MS + ESTIMATE_STRETCH_RATIO * wait_ms


def reroutes_exhausted(attempts: int) -> bool:
    """Return True if the next attempt must wait where it is sent."""
    return attempts >= len(_WAIT_SHARES)


def is_worth_waiting(
    call: requests.Call, result: verdict.Verdict, now_ms: float
) -> bool:
    """Return True if another attempt in progress can still do better.

    A refusal of one attempt proves nothing about the others.
    """
    if now_ms >= call.deadline_ms:
        return False
    if result.answer is None:
        return True
    return may_repeat(call, result)


def is_reroute(result: verdict.Verdict) -> bool:
    """Return True for a refusal that sends the request elsewhere.

    The upstream has no work from it, so that it does not count as a
    retry.
    """
    return result.reason in _REROUTED


def may_repeat(call: requests.Call, result: verdict.Verdict) -> bool:
    """Return True if sending again is safe and can help."""
    if result.reason in _POINTLESS:
        return False
    if result.outcome is verdict.Outcome.NOT_RUN:
        # Only the owner of a key may run it.
        return not call.key
    if not call.idempotent:
        return False
    if result.answer is not None:
        return verdict.is_failure(result) and not is_final(result.answer)
    return True


def is_final(answer: requests.Answer) -> bool:
    """Return True if a node further down has used up its retries."""
    mark = requests.FINAL_HEADER.lower()
    return any(name.lower() == mark for name, _ in answer.headers)


def mark_final(answer: requests.Answer) -> requests.Answer:
    """Return the answer with the mark that forbids retries further up."""
    if is_final(answer):
        return answer
    marked = (*answer.headers, (requests.FINAL_HEADER, '1'))
    return dataclasses.replace(answer, headers=marked)


def delay_ms(attempts: int, jitter: float) -> float:
    """Return the time to wait before an attempt.

    Parameters
    ----------
    attempts : int
        Attempts sent until now, at least 1.
    jitter : float
        Random number in [0, 1).

    Examples
    --------
    >>> delay_ms(1, 0.5)
    0.0
    >>> delay_ms(3, 0.5)
    2.0
    """
    if attempts == 1:
        return 0.0
    return BASE_DELAY_MS * 2 ** (attempts - 1) * jitter
