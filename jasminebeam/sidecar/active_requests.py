"""Requests in progress at a sidecar, and the results that it keeps."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import typing

from jasminebeam.model import requests
from jasminebeam.retries import idempotency
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.retries import registry
    from jasminebeam.sidecar import ingress_replies


@dataclasses.dataclass(slots=True)
class ActiveRequest:
    """Request that has been accepted and has no result yet.

    Parameters
    ----------
    call : Call
        The request.
    send : callable
        Sends a message to the ingress node that waits for the result.
    accepted_ms : float
        Monotonic instant of its arrival.
    max_wait_ms : float
        Longest predicted wait that the ingress node accepts.
    holds_key : bool
        True if the request has claimed its idempotency key.
    start_slowness : float or None
        Host slowness at the start; None without a fresh report.
    started_ms : float
        Monotonic instant of the start.
    task : Task or None
        Exchange with the upstream; None before the start.
    """

    call: requests.Call
    send: ingress_replies.Send
    accepted_ms: float
    max_wait_ms: float
    holds_key: bool = False
    start_slowness: float | None = None
    started_ms: float = 0.0
    task: asyncio.Task[verdict.Verdict] | None = None


class ActiveRequests:
    """Requests in progress, by their identity.

    Parameters
    ----------
    key_window_ms : float
        Time for which the answers to requests with an idempotency key
        are kept.
    max_keys : int
        Maximum number of idempotency keys kept.
    """

    def __init__(self, key_window_ms: float, max_keys: int) -> None:
        self._idempotency_cache = idempotency.IdempotencyCache(
            key_window_ms, max_keys
        )
        self._active: dict[registry.RequestId, ActiveRequest] = {}
        self._idle = asyncio.Event()
        self._idle.set()
        self._has_active = asyncio.Event()

    def __contains__(self, request_id: registry.RequestId) -> bool:
        return request_id in self._active

    def __getitem__(self, request_id: registry.RequestId) -> ActiveRequest:
        return self._active[request_id]

    def get(self, request_id: registry.RequestId) -> ActiveRequest | None:
        """Return a request; None if it is not in progress."""
        return self._active.get(request_id)

    def add(
        self, request_id: registry.RequestId, active: ActiveRequest
    ) -> None:
        """Add an accepted request."""
        self._active[request_id] = active
        self._idle.clear()
        self._has_active.set()

    def claim_key(
        self, active: ActiveRequest, now_ms: float
    ) -> verdict.Verdict | None:
        """Claim the idempotency key; return the result that exists for it."""
        call = active.call
        digest = idempotency.fingerprint(
            call.service, call.method, call.target, call.body
        )
        existing_result = self._idempotency_cache.claim(
            call.key, digest, now_ms
        )
        active.holds_key = existing_result is None
        return existing_result

    def remove(
        self,
        request_id: registry.RequestId,
        result: verdict.Verdict,
        now_ms: float,
    ) -> ActiveRequest | None:
        """Remove a request and keep the result for its idempotency key.

        Call `signal_idle` once the result has been sent.
        """
        active = self._active.pop(request_id, None)
        if active is not None and active.holds_key:
            self._idempotency_cache.record_result(
                active.call.key, _without_room(result), now_ms
            )
        return active

    def signal_idle(self) -> None:
        """Wake those that wait until no request is left, if none is."""
        if not self._active:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no accepted request is left."""
        await self._idle.wait()

    async def wait_for_work(self, timeout_s: float) -> None:
        """Wait until a request is in progress, or until the timeout."""
        if self._active:
            return
        self._has_active.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._has_active.wait()


def _without_room(result: verdict.Verdict) -> verdict.Verdict:
    """Return a result that holds no room of the node's byte budget.

    Results of keys are kept for minutes, which would keep answers out.
    """
    if result.answer is None or isinstance(result.answer.body, bytes):
        return result
    body = bytes(result.answer.body)
    return verdict.answered(dataclasses.replace(result.answer, body=body))
