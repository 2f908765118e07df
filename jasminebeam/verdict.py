"""Verdict on a request: whether it may have run, and the reason."""

from __future__ import annotations

import dataclasses
import enum
import typing

if typing.TYPE_CHECKING:
    from jasminebeam.model import requests


class Outcome(enum.Enum):
    """What a caller may conclude about its request."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'


class Reason(enum.StrEnum):
    """Why a request was refused, retried or left without an answer."""

    NONE = 'none'
    NO_SERVICE = 'no_service'
    NO_UPSTREAM = 'no_upstream'
    NOT_CONNECTED = 'not_connected'
    WRONG_INCARNATION = 'wrong_incarnation'
    STALE = 'stale'
    DRAINING = 'draining'
    STOPPING = 'stopping'
    QUEUE_FULL = 'queue_full'
    BUSY = 'busy'
    RATE_LIMITED = 'rate_limited'
    COLD = 'cold'
    WOULD_MISS_DEADLINE = 'would_miss_deadline'
    DEADLINE = 'deadline'
    CANCELLED = 'cancelled'
    REVOKED = 'revoked'
    CONNECT_FAILED = 'connect_failed'
    SHED = 'shed'
    UPSTREAM_DISCONNECTED = 'upstream_disconnected'
    UPSTREAM_TIMEOUT = 'upstream_timeout'
    ANSWER_TOO_LARGE = 'answer_too_large'
    SERVER_ERROR = 'server_error'
    SILENT_CONNECTION = 'silent_connection'
    SIDECAR_LOST = 'sidecar_lost'
    HEDGE = 'hedge'
    NOT_READY = 'not_ready'
    KEY_CONFLICT = 'key_conflict'
    KEY_BUSY = 'key_busy'
    KEY_TABLE_FULL = 'key_table_full'
    KEY_OWNER_UNAVAILABLE = 'key_owner_unavailable'
    NO_CONFIGURATION = 'no_configuration'
    WRONG_UPSTREAM = 'wrong_upstream'
    WRONG_ANSWER = 'wrong_answer'
    ANSWER_TRUNCATED = 'answer_truncated'
    EVACUATED = 'evacuated'
    TEAM_LIMITED = 'team_limited'
    NO_ALLOWED_REGION = 'no_allowed_region'
    NO_MEMORY = 'no_memory'
    ANSWER_WITHOUT_ROOM = 'answer_without_room'


SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Result of one request or of one attempt.

    Parameters
    ----------
    outcome : Outcome
        Whether the request was answered, did not run, or may have run.
    reason : Reason
        Reason why there is no answer; ``NONE`` for an answer.
    answer : Answer or None
        Answer of the upstream; None unless the outcome is ``ANSWERED``.
    retry_ms : float
        Time until a further attempt may succeed, as far as it is known.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    answer: requests.Answer | None = None
    retry_ms: float = 0.0


def answered(answer: requests.Answer) -> Verdict:
    """Return the verdict on an answered request."""
    return Verdict(Outcome.ANSWERED, Reason.NONE, answer)


def not_run(reason: Reason, retry_ms: float = 0.0) -> Verdict:
    """Return the verdict on a request that provably did not run."""
    return Verdict(Outcome.NOT_RUN, reason, retry_ms=retry_ms)


def may_have_run(reason: Reason) -> Verdict:
    """Return the verdict on a request that may or may not have run."""
    return Verdict(Outcome.MAY_HAVE_RUN, reason)


def is_failure(result: Verdict) -> bool:
    """Return True for a verdict that counts against the upstream."""
    if result.answer is None:
        return True
    return result.answer.status >= SERVER_ERROR_STATUS
