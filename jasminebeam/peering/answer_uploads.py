"""Sends large answers in parts, as far as their ingress nodes have room."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from jasminebeam.admission import byte_budget
from jasminebeam.peering import answer_messages
from jasminebeam.peering import messages
from jasminebeam.telemetry import events
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.model import upstreams
    from jasminebeam.retries import registry
    from jasminebeam.telemetry import metrics

PART_BYTES = 64 * 1024

# The answers for a connection over which none has been asked for during this
# time are given up. It is longer than an ingress node with many slow readers
# needs to make room, and bounds how long a paused one uses up the room of its
# sidecars.
TAKE_TIMEOUT_MS = 10_000.0

Send = typing.Callable[[messages.Message], int]


@dataclasses.dataclass(slots=True)
class _Upload:
    identity: bytes
    body: memoryview
    sample: upstreams.LoadSample
    send: Send
    progress_ms: float
    sent_bytes: int = 0


class AnswerUploads:
    """Large answers on their way to ingress nodes.

    Load pattern: answers that ingress nodes do not take, because their
    callers do not read, or because a node is paused or lost.

    Parameters
    ----------
    log, counters
        Record answers that are given up.
    clock : callable
        Returns the monotonic time in ms.
    """

    def __init__(
        self,
        log: events.EventLog,
        counters: metrics.Metrics,
        clock: typing.Callable[[], float],
    ) -> None:
        self._log = log
        self._counters = counters
        self._clock = clock
        self._uploads: dict[registry.RequestId, _Upload] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        return len(self._uploads)

    def offer(self, identity: bytes, reply: messages.Reply, send: Send) -> int:
        """Announce an answer; return the bytes sent, 0 on failure.

        An answer that is being sent over the same connection goes on.

        Parameters
        ----------
        identity : bytes
            Identity of the connection.
        reply : Reply
            The answer.
        send : callable
            Sends a message over the connection.
        """
        request_id = (reply.session, reply.sequence)
        existing = self._uploads.get(request_id)
        if existing is not None and existing.identity == identity:
            return 1
        sent_bytes = send(
            answer_messages.LargeAnswer(
                *request_id,
                reply.status,
                reply.headers,
                len(reply.body),
                reply.sample,
            )
        )
        self.drop(request_id)
        if sent_bytes:
            self._uploads[request_id] = _Upload(
                identity,
                memoryview(reply.body),
                reply.sample,
                send,
                self._clock(),
            )
            self._idle.clear()
        return sent_bytes

    def on_credit(
        self,
        credit: answer_messages.AnswerCredit,
        send: Send,
        size_bytes: int,
    ) -> None:
        """Send as much of an answer as its ingress node allows."""
        request_id = (credit.session, credit.sequence)
        upload = self._uploads.get(request_id)
        if upload is None:
            return
        self._on_sign_of_life(upload.identity)
        end = min(credit.end, len(upload.body))
        while upload.sent_bytes < end:
            start = upload.sent_bytes
            part = upload.body[start : min(start + PART_BYTES, end)]
            message = answer_messages.AnswerPart(*request_id, start, part)
            if not upload.send(message):
                # The connection is lost.
                self.drop(request_id)
                return
            upload.sent_bytes += len(part)
        if upload.sent_bytes == len(upload.body):
            self.drop(request_id)

    def drop(self, request_id: registry.RequestId) -> None:
        """Send no more of an answer."""
        self._uploads.pop(request_id, None)
        if not self._uploads:
            self._idle.set()

    def expire(self, now_ms: float) -> None:
        """Give up the answers that no ingress node takes."""
        for request_id, upload in list(self._uploads.items()):
            if now_ms - upload.progress_ms > TAKE_TIMEOUT_MS:
                self._give_up(request_id, upload)

    async def wait_idle(self) -> None:
        """Wait until no answer is left."""
        await self._idle.wait()

    def _on_sign_of_life(self, identity: bytes) -> None:
        """Record that an ingress node takes answers, one after the other."""
        now_ms = self._clock()
        for upload in self._uploads.values():
            if upload.identity == identity:
                upload.progress_ms = now_ms

    def _give_up(
        self, request_id: registry.RequestId, upload: _Upload
    ) -> None:
        self._counters.answers_given_up.labels('untaken').inc()
        self._log.write(
            events.Event.ANSWER_UNTAKEN,
            size_bytes=len(upload.body),
            sent_bytes=upload.sent_bytes,
        )
        # The request has run.
        reason = verdict.Reason.ANSWER_WITHOUT_ROOM.value
        upload.send(messages.Failure(*request_id, True, reason, upload.sample))
        self.drop(request_id)


def is_large(message: messages.Message) -> bool:
    """Return True if a message is sent in parts."""
    return (
        isinstance(message, messages.Reply)
        and len(message.body) > byte_budget.SMALL_ANSWER_BYTES
    )
