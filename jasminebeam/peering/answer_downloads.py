"""Receives large answers in parts, within the budget of a node."""

from __future__ import annotations

import collections
import functools
import typing

from jasminebeam import answer_room
from jasminebeam.model import requests
from jasminebeam.peering import answer_messages
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam import budget_sweeper
    from jasminebeam.peering import messages
    from jasminebeam.retries import registry
    from jasminebeam.telemetry import metrics

# Bytes of one answer, and of all answers of a connection, that may be on
# their way. Other messages of the connection wait behind them.
WINDOW_BYTES = 256 * 1024
CONNECTION_WINDOW_BYTES = 512 * 1024

# Smaller credits would cost more messages than they save time.
MIN_CREDIT_BYTES = WINDOW_BYTES // 2


class _Download:
    """Answer that has been announced.

    Parameters
    ----------
    head : LargeAnswer
        The answer without its body.
    """

    def __init__(self, head: answer_messages.LargeAnswer) -> None:
        self.head = head
        self.credit_end = 0
        # None until it is created; then perhaps without room yet.
        self.room: answer_room.AnswerRoom | None = None

    @property
    def received_bytes(self) -> int:
        return self.room.buffer.length_bytes

    @property
    def outstanding_bytes(self) -> int:
        """Bytes that are on their way."""
        return self.credit_end - self.received_bytes


class AnswerDownloads:
    """Large answers on their way from one sidecar.

    Load pattern: callers that do not read large answers. The sidecar sends
    an answer only once this node has room for all of it, so a caller that
    does not read delays no other answer of the connection.

    Parameters
    ----------
    sweeper : BudgetSweeper
        Room of the answers.
    send : callable
        Sends a message to the sidecar.
    on_complete : callable
        Called with the identity of a request and its answer.
    on_failed : callable
        Called with the identity of a request for whose answer there was no
        room until its deadline.
    log, counters
        Record answers that are given up.
    """

    def __init__(
        self,
        sweeper: budget_sweeper.BudgetSweeper,
        send: typing.Callable[[messages.Message], object],
        on_complete: typing.Callable[
            [registry.RequestId, requests.Answer], None
        ],
        on_failed: typing.Callable[[registry.RequestId], None],
        log: events.EventLog,
        counters: metrics.Metrics,
    ) -> None:
        self._sweeper = sweeper
        self._send = send
        self._on_complete = on_complete
        self._on_failed = on_failed
        self._log = log
        self._counters = counters
        self._downloads: dict[registry.RequestId, _Download] = {}
        # Answers that have room, in the order in which they got it.
        self._granted: collections.OrderedDict[
            registry.RequestId, _Download
        ] = collections.OrderedDict()

    def __contains__(self, request_id: registry.RequestId) -> bool:
        return request_id in self._downloads

    def start(
        self, head: answer_messages.LargeAnswer, deadline_ms: float
    ) -> None:
        """Ask for the body of an answer once there is room for it.

        Parameters
        ----------
        head : LargeAnswer
            The announced answer.
        deadline_ms : float
            Monotonic instant until which it may wait for room.
        """
        request_id = (head.session, head.sequence)
        if request_id in self._downloads:
            return
        download = _Download(head)
        self._downloads[request_id] = download
        room = answer_room.AnswerRoom(
            self._sweeper,
            head.body_bytes,
            deadline_ms,
            functools.partial(self._on_room, request_id, download),
            functools.partial(self._give_up, request_id),
        )
        download.room = room
        if room.is_granted:
            self._send_credits()

    def on_part(self, part: answer_messages.AnswerPart) -> None:
        """Add a part; pass on the answer if it is complete."""
        request_id = (part.session, part.sequence)
        download = self._granted.get(request_id)
        if download is None:
            return
        end = part.start + len(part.data)
        if part.start != download.received_bytes or end > download.credit_end:
            # A duplicate, or a part that was not asked for.
            return
        download.room.buffer.append(part.data)
        if end == download.head.body_bytes:
            del self._downloads[request_id], self._granted[request_id]
            head = download.head
            body = download.room.finish()
            self._on_complete(
                request_id, requests.Answer(head.status, head.headers, body)
            )
        self._send_credits()

    def drop(self, request_id: registry.RequestId) -> None:
        """Free the room of an answer that is not needed any more."""
        download = self._downloads.pop(request_id, None)
        if download is None:
            return
        self._granted.pop(request_id, None)
        if download.room is not None:
            download.room.discard()
        self._send_credits()

    def clear(self) -> None:
        """Drop all answers: their connection is lost."""
        downloads = list(self._downloads.values())
        self._downloads.clear()
        self._granted.clear()
        for download in downloads:
            download.room.discard()

    def _on_room(
        self, request_id: registry.RequestId, download: _Download
    ) -> None:
        if self._downloads.get(request_id) is not download:
            # The connection is lost, and this answer is about to be dropped.
            return
        self._granted[request_id] = download
        if download.room is not None:
            self._send_credits()

    def _send_credits(self) -> None:
        """Let the sidecar send, one answer after the other."""
        outstanding_bytes = sum(
            download.outstanding_bytes
            for download in self._granted.values()
            if download.room is not None
        )
        for request_id, download in self._granted.items():
            if download.room is None:
                continue
            left_bytes = download.head.body_bytes - download.credit_end
            more_bytes = min(
                left_bytes,
                WINDOW_BYTES - download.outstanding_bytes,
                CONNECTION_WINDOW_BYTES - outstanding_bytes,
            )
            if left_bytes and more_bytes >= min(left_bytes, MIN_CREDIT_BYTES):
                download.credit_end += more_bytes
                outstanding_bytes += more_bytes
                end = download.credit_end
                self._send(answer_messages.AnswerCredit(*request_id, end))

    def _give_up(self, request_id: registry.RequestId) -> None:
        download = self._downloads.pop(request_id)
        self._counters.answers_given_up.labels('no_room').inc()
        self._log.write(
            events.Event.ANSWER_WITHOUT_ROOM,
            size_bytes=download.head.body_bytes,
        )
        self._on_failed(request_id)
