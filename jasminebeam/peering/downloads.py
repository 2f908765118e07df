"""Receives large requests in parts, within the budget of a node."""

from __future__ import annotations

import asyncio
import functools
import typing

import msgspec

from jasminebeam.admission import byte_budget
from jasminebeam import body_buffer
from jasminebeam.peering import body_messages
from jasminebeam.peering import codec
from jasminebeam.peering import messages
from jasminebeam.retries import registry
from jasminebeam.telemetry import events
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam import budget_sweeper
    from jasminebeam.peering import answer_uploads
    from jasminebeam.peering import server as server_module
    from jasminebeam.sidecar import sidecar as sidecar_module
    from jasminebeam.telemetry import metrics

# Bytes that may be on their way ahead of the receiver. They queue in front of
# other messages.
WINDOW_BYTES = 256 * 1024

Send = typing.Callable[[messages.Message], int]


class _Download:
    """Body of one announced request.

    Parameters
    ----------
    head : Request
        The request without its body.
    body_bytes : int
        Size of the body.
    started_ms : float
        Monotonic instant of the announcement.
    send : callable
        Sends a message to the ingress.
    """

    def __init__(
        self,
        head: messages.Request,
        body_bytes: int,
        started_ms: float,
        send: Send,
    ) -> None:
        self.head = head
        self.body_bytes = body_bytes
        self.started_ms = started_ms
        self.send = send
        self.credit_end = 0
        self.buffer: body_buffer.BodyBuffer | None = None
        self.claim: byte_budget.Claim

    def request(self, body: memoryview, now_ms: float) -> messages.Request:
        """Return the complete request; time has passed since it was sent."""
        took_us = int((now_ms - self.started_ms) * 1_000)
        objective_left_us = self.head.objective_left_us
        if objective_left_us:
            objective_left_us = objective_left_us - took_us or -1
        return msgspec.structs.replace(
            self.head,
            body=body,
            time_left_us=self.head.time_left_us - took_us,
            objective_left_us=objective_left_us,
        )


class Downloads:
    """Large requests on their way to the sidecar of this node.

    The sidecar gets a request once its body is complete. Until then, nothing
    of it has run.

    Parameters
    ----------
    sidecar : Sidecar
        Runs the requests.
    sweeper : BudgetSweeper
        Room of the bodies; ends those without progress.
    log, counters
        Record bodies that are given up or refused.
    """

    def __init__(
        self,
        sidecar: sidecar_module.Sidecar,
        sweeper: budget_sweeper.BudgetSweeper,
        log: events.EventLog,
        counters: metrics.Metrics,
    ) -> None:
        self._sidecar = sidecar
        self._sweeper = sweeper
        self._log = log
        self._counters = counters
        self._downloads: dict[registry.RequestId, _Download] = {}
        self._answers: answer_uploads.AnswerUploads | None = None

    def register(self, server: server_module.PeerServer) -> None:
        """Receive the messages that concern bodies."""
        for message_type, handler in (
            (body_messages.LargeRequest, self.on_large_request),
            (body_messages.BodyPart, self.on_part),
            (messages.Cancel, self.on_withdrawal),
            (messages.Revoke, self.on_withdrawal),
        ):
            server.register_handler((message_type,), handler)
        self._answers = server.answers

    def on_large_request(
        self, message: body_messages.LargeRequest, send: Send, size_bytes: int
    ) -> None:
        """Reserve room for a request and let its ingress send the body."""
        head = codec.decode(message.head).value_or(None)
        if not isinstance(head, messages.Request):
            return
        if head.boot_id != self._sidecar.boot_id:
            # The sidecar refuses it.
            self._sidecar.handle(head, send)
            return
        request_id = (message.session, message.sequence)
        now_ms = self._sweeper.clock()
        state = self._sidecar.announced.announce(request_id, now_ms)
        if state is not registry.State.NEW:
            if request_id not in self._downloads:
                self._sidecar.handle(head, send)
            return
        download = _Download(head, message.body_bytes, now_ms, send)
        self._downloads[request_id] = download
        download.claim = byte_budget.Claim(
            now_ms,
            now_ms + head.time_left_us / 1_000,
            lambda: None,
            functools.partial(self._give_up, request_id),
        )
        budget = self._sweeper.budget
        if not 0 < message.body_bytes <= budget.limits.body_bytes or (
            not budget.try_request(download.claim, message.body_bytes, now_ms)
        ):
            self._give_up(request_id, byte_budget.Cause.NO_ROOM)
            return
        download.buffer = body_buffer.BodyBuffer(message.body_bytes)
        self._sweeper.start()
        self._send_credit(request_id, download)

    def on_part(
        self, message: body_messages.BodyPart, send: Send, size_bytes: int
    ) -> None:
        """Add a part of a body; hand over the request if it is complete."""
        request_id = (message.session, message.sequence)
        download = self._downloads.get(request_id)
        if download is None:
            return
        buffer = download.buffer
        end = message.start + len(message.data)
        if message.start != buffer.length_bytes or end > download.credit_end:
            # A duplicate, or a part that was not asked for.
            return
        buffer.append(message.data)
        now_ms = self._sweeper.clock()
        download.claim.on_received(end, now_ms)
        if end < download.body_bytes:
            if download.credit_end - end <= WINDOW_BYTES // 2:
                self._send_credit(request_id, download)
            return
        del self._downloads[request_id]
        self._sweeper.budget.complete(download.claim)
        body = buffer.finish(
            functools.partial(
                self._sweeper.release_later,
                asyncio.get_running_loop(),
                download.claim,
            )
        )
        self._sidecar.handle(download.request(body, now_ms), download.send)

    def on_withdrawal(
        self,
        message: messages.Cancel | messages.Revoke,
        send: Send,
        size_bytes: int,
    ) -> None:
        """Drop the body of a request that is cancelled or revoked."""
        self._sidecar.handle(message, send)
        request_id = (message.session, message.sequence)
        if message.boot_id == self._sidecar.boot_id and (
            self._answers is not None and isinstance(message, messages.Cancel)
        ):
            self._answers.drop(request_id)
        if (
            message.boot_id == self._sidecar.boot_id
            and request_id in self._downloads
        ):
            result = verdict.not_run(verdict.Reason.REVOKED)
            now_ms = self._sweeper.clock()
            self._sidecar.announced.give_up(request_id, result, now_ms)
            self._drop(request_id)

    def _send_credit(
        self, request_id: registry.RequestId, download: _Download
    ) -> None:
        download.credit_end = min(
            download.buffer.length_bytes + WINDOW_BYTES, download.body_bytes
        )
        download.send(
            body_messages.BodyCredit(*request_id, download.credit_end)
        )

    def _give_up(
        self, request_id: registry.RequestId, cause: byte_budget.Cause
    ) -> None:
        """Refuse a request whose body is incomplete; it has not run."""
        download = self._downloads[request_id]
        buffer = download.buffer
        self._counters.refusals.labels(f'body_{cause}').inc()
        self._log.write(
            events.Event.PEER_BODY_GIVEN_UP,
            cause=cause.value,
            received_bytes=buffer.length_bytes if buffer else 0,
        )
        reason = verdict.Reason.NO_MEMORY
        if cause is byte_budget.Cause.DEADLINE:
            reason = verdict.Reason.DEADLINE
        now_ms = self._sweeper.clock()
        result = verdict.not_run(reason)
        self._sidecar.announced.give_up(request_id, result, now_ms)
        sample = self._sidecar.sample(now_ms)
        download.send(
            messages.Failure(*request_id, False, reason.value, sample)
        )
        self._drop(request_id)

    def _drop(self, request_id: registry.RequestId) -> None:
        download = self._downloads.pop(request_id, None)
        if download is None:
            return
        now_ms = self._sweeper.clock()
        self._sweeper.budget.release(download.claim, now_ms)
        if download.buffer is not None:
            download.buffer.discard()
