"""Translates calls to messages between nodes, and back.

Messages carry times that are left, never instants, because the clocks of
nodes differ.
"""

from __future__ import annotations

import dataclasses
import math

from jasminebeam.model import requests
from jasminebeam.peering import messages


@dataclasses.dataclass(frozen=True, slots=True)
class RequestIdentity:
    """Identity of a request at a sidecar, which runs it at most once."""

    boot_id: int
    session: int
    sequence: int


def request(
    call: requests.Call,
    identity: RequestIdentity,
    max_wait_ms: float,
    now_ms: float,
) -> messages.Request:
    """Return the message that asks a sidecar to run a call.

    Parameters
    ----------
    call : Call
        The call.
    identity : RequestIdentity
        Identity of the request.
    max_wait_ms : float
        Maximum predicted wait for a slot.
    now_ms : float
        Monotonic time.
    """
    fields = dict(
        boot_id=identity.boot_id,
        session=identity.session,
        sequence=identity.sequence,
        time_left_us=int((call.deadline_ms - now_ms) * 1_000),
        max_wait_us=int(max_wait_ms * 1_000),
        request_id=call.request_id,
        service=call.service,
        method=call.method,
        target=call.target,
        headers=call.headers,
        body=call.body,
        idempotent=call.idempotent,
        key=call.key,
        priority=call.priority,
        route=call.route,
        objective_left_us=_time_left_us(call.objective_ms, now_ms),
    )
    if call.team:
        return messages.TeamRequest(**fields, team=call.team)
    return messages.Request(**fields)


def admission_query(
    call: requests.Call, nonce: int, now_ms: float
) -> messages.AdmissionQuery:
    """Return the message that asks whether a sidecar would accept a call."""
    fields = (
        nonce,
        call.service,
        call.route,
        call.priority,
        int((call.deadline_ms - now_ms) * 1_000),
        _time_left_us(call.objective_ms, now_ms),
    )
    if call.team:
        return messages.TeamAdmissionQuery(*fields, call.team)
    return messages.AdmissionQuery(*fields)


def call_from(message: messages.Request, now_ms: float) -> requests.Call:
    """Return the call of a request that has arrived now."""
    return requests.Call(
        request_id=message.request_id,
        service=message.service,
        method=message.method,
        target=message.target,
        headers=message.headers,
        body=message.body,
        idempotent=message.idempotent,
        deadline_ms=now_ms + message.time_left_us / 1_000,
        key=message.key,
        objective_ms=objective_ms(message.objective_left_us, now_ms),
        priority=message.priority,
        route=message.route,
        team=team(message),
    )


def team(message: messages.Request | messages.AdmissionQuery) -> str:
    """Return the team of a request or query; empty if there is none."""
    if isinstance(message, messages.TeamRequest | messages.TeamAdmissionQuery):
        return message.team
    return ''


def objective_ms(left_us: int, now_ms: float) -> float:
    """Return the instant of an objective; infinite if there is none."""
    return now_ms + left_us / 1_000 if left_us else math.inf


def _time_left_us(instant_ms: float, now_ms: float) -> int:
    """Return the time until an instant; 0 only if the instant is infinite."""
    if math.isinf(instant_ms):
        return 0
    return int((instant_ms - now_ms) * 1_000) or -1
