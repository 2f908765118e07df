"""Decides whether a request is retried after an attempt."""

from __future__ import annotations

import dataclasses
import enum

from jasminebeam.model import requests
from jasminebeam import verdict

# Maximum number of attempts sent for one request, including those that
# sidecars refuse. Beyond this number, further refusals only add load.
MAX_ATTEMPTS_SENT = 8
BASE_DELAY_MS = 1.0

# Reasons that another upstream would give as well.
_NOT_RETRYABLE = frozenset(
    {
        verdict.Reason.KEY_CONFLICT,
        verdict.Reason.KEY_BUSY,
        verdict.Reason.KEY_TABLE_FULL,
        verdict.Reason.DEADLINE,
        verdict.Reason.CANCELLED,
        verdict.Reason.ANSWER_TOO_LARGE,
        verdict.Reason.ANSWER_WITHOUT_ROOM,
    }
)


# Refusals after which the request is sent to another upstream.
_REROUTE_REASONS = frozenset(
    {
        verdict.Reason.BUSY,
        verdict.Reason.RATE_LIMITED,
        verdict.Reason.COLD,
        verdict.Reason.QUEUE_FULL,
        verdict.Reason.WOULD_MISS_DEADLINE,
        verdict.Reason.DRAINING,
        verdict.Reason.STOPPING,
        verdict.Reason.REVOKED,
        verdict.Reason.NOT_CONNECTED,
        verdict.Reason.NOT_READY,
        verdict.Reason.CONNECT_FAILED,
        verdict.Reason.EVACUATED,
        verdict.Reason.NO_MEMORY,
    }
)

_LIMIT_REASONS = frozenset({verdict.Reason.RATE_LIMITED, verdict.Reason.COLD})

# Longest wait for a slot of the first attempts, as a share of the route's
# latency estimate.
_WAIT_RATIOS = (0.1, 0.1, 0.2, 0.3)
# Longest wait of an attempt that is not rerouted, as a share of the time left.
LAST_WAIT_RATIO = 0.5


# A wait may grow by this much between the sidecar's estimate and the request's
# arrival. The slack covers the completion of one of several requests and the
# one-way delay between failure domains.
ESTIMATE_SLACK_MS = 20.0
ESTIMATE_STRETCH_RATIO = 1.5


class Action(enum.Enum):
    """What the ingress node does after an attempt."""

    RETURN = 'return'
    RETRY = 'retry'


# Refusals by the upstream itself, which the request has therefore reached.
_UPSTREAM_REFUSALS = frozenset(
    {verdict.Reason.SHED, verdict.Reason.WRONG_UPSTREAM}
)


def may_have_reached_upstream(result: verdict.Verdict) -> bool:
    """Return True if an attempt may have reached an upstream."""
    if result.outcome is verdict.Outcome.NOT_RUN:
        return result.reason in _UPSTREAM_REFUSALS
    return True


def decide(
    call: requests.Call,
    result: verdict.Verdict,
    attempts: int,
    reached: int,
    now_ms: float,
) -> Action:
    """Decide whether a request is sent again after a result.

    Parameters
    ----------
    call : Call
        The request.
    result : Verdict
        Verdict on the attempt that has ended.
    attempts : int
        Attempts sent so far.
    reached : int
        Attempts that may have reached an upstream, or still may.
    now_ms : float
        Monotonic time.
    """
    if not is_retryable(call, result) or reached >= call.max_attempts:
        return Action.RETURN
    if attempts >= MAX_ATTEMPTS_SENT or now_ms >= call.deadline_ms:
        return Action.RETURN
    return Action.RETRY


def max_wait_ms(
    attempts: int,
    latency_ms: float,
    left_ms: float,
    accepts_queueing: bool,
) -> float:
    """Return how long an attempt may wait for a slot.

    Early attempts have a short limit, so that a busy sidecar refuses them
    and the request is rerouted. A refusal proves that the attempt did not
    run, and it carries a fresh load sample.

    Parameters
    ----------
    attempts : int
        Attempts sent before.
    latency_ms : float
        Latency estimate of the route.
    left_ms : float
        Time until the deadline.
    accepts_queueing : bool
        True if the attempt may wait in the sidecar's queue instead of
        being rerouted.

    Examples
    --------
    >>> max_wait_ms(0, 200.0, 1_000.0, accepts_queueing=False)
    20.0
    >>> max_wait_ms(0, 200.0, 1_000.0, accepts_queueing=True)
    500.0
    """
    if accepts_queueing or reroutes_exhausted(attempts):
        return LAST_WAIT_RATIO * left_ms
    return _WAIT_RATIOS[attempts] * latency_ms


def max_wait_after_estimate_ms(wait_ms: float) -> float:
    """Return how long an attempt may wait if a sidecar estimated the wait.

    The limit is close to the estimate: if the host has become slow or full
    since the estimate, another host is a better choice.

    Examples
    --------
    >>> max_wait_after_estimate_ms(0.0), max_wait_after_estimate_ms(100.0)
    (20.0, 170.0)
    """
    return ESTIMATE_SLACK_MS + ESTIMATE_STRETCH_RATIO * wait_ms


def reroutes_exhausted(attempts: int) -> bool:
    """Return True if no reroute is left, so the next attempt must wait."""
    return attempts >= len(_WAIT_RATIOS)


def is_worth_waiting(
    call: requests.Call, result: verdict.Verdict, now_ms: float
) -> bool:
    """Return True if another attempt in progress may give a better result.

    A refusal of one attempt does not prove that the others did not run.
    """
    if now_ms >= call.deadline_ms:
        return False
    if result.answer is None:
        return True
    return is_retryable(call, result)


def is_reroute(result: verdict.Verdict) -> bool:
    """Return True for a refusal after which a request is rerouted.

    The refused attempt causes no work at the upstream, so the next attempt
    does not use the retry budget.
    """
    return result.reason in _REROUTE_REASONS


def is_paced(result: verdict.Verdict) -> bool:
    """Return True for a refusal by a limit that an upstream needs.

    Such a limit is no failure, so no attempt after it uses the retry budget.
    """
    return result.reason in _LIMIT_REASONS


def is_retryable(call: requests.Call, result: verdict.Verdict) -> bool:
    """Return True if sending again is safe and may succeed."""
    if result.reason in _NOT_RETRYABLE:
        return False
    if result.outcome is verdict.Outcome.NOT_RUN:
        # Only the sidecar that owns the key may run the request.
        return not call.key
    if not call.idempotent:
        return False
    if result.answer is not None:
        return verdict.is_failure(result) and not is_final(result.answer)
    return True


def is_final(answer: requests.Answer) -> bool:
    """Return True if a node farther from the caller has used its retries."""
    marker = requests.FINAL_HEADER.lower()
    return any(name.lower() == marker for name, _ in answer.headers)


def mark_final(answer: requests.Answer) -> requests.Answer:
    """Return the answer with the header that forbids further retries."""
    if is_final(answer):
        return answer
    marked = (*answer.headers, (requests.FINAL_HEADER, '1'))
    return dataclasses.replace(answer, headers=marked)


def delay_ms(attempts: int, jitter: float) -> float:
    """Return the delay before a retry: exponential backoff with jitter.

    Parameters
    ----------
    attempts : int
        Attempts sent so far, at least 1.
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
