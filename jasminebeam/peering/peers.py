"""Attempts in progress at one sidecar, kept across connection losses."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from jasminebeam import budget_sweeper
from jasminebeam.model import requests
from jasminebeam.peering import answer_check
from jasminebeam.peering import answer_downloads
from jasminebeam.peering import answer_messages
from jasminebeam.peering import attempts
from jasminebeam.peering import body_messages
from jasminebeam.peering import calls
from jasminebeam.peering import cold_messages
from jasminebeam.peering import links
from jasminebeam.peering import messages
from jasminebeam.peering import uploads
from jasminebeam.telemetry import events
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.model import upstreams
    from jasminebeam.peering import observer as observer_module
    from jasminebeam.telemetry import metrics

MAX_WAITING_ATTEMPTS = 256
MAX_UNANSWERED_PINGS = 16
REVOKE_TIMEOUT_MS = 1_000.0
RECONNECT_DELAY_MS = 50.0
PURGE_AFTER_MS = 5_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Query:
    call: requests.Call
    reply: asyncio.Future[messages.AdmissionReply]


class Peer:
    """Client of one sidecar: its connection and the attempts sent to it.

    Parameters
    ----------
    open_link : callable
        Opens a connection, given message and loss callbacks.
    observer : Observer
        Receives load samples and round-trip times.
    clock : callable
        Returns the monotonic time in ms.
    log, counters
        Record connection losses and revocations.
    sweeper : BudgetSweeper or None
        Room of large answers; None for a budget of its own.
    """

    def __init__(
        self,
        open_link: typing.Callable[..., links.Link],
        observer: observer_module.Observer,
        clock: typing.Callable[[], float],
        log: events.EventLog,
        counters: metrics.Metrics,
        sweeper: budget_sweeper.BudgetSweeper | None = None,
    ) -> None:
        self._open_link = open_link
        self._observer = observer
        self._clock = clock
        self._log = log
        self._counters = counters
        self._link: links.Link | None = None
        self._reconnect_at_ms = 0.0
        self._waiting: list[attempts.Attempt] = []
        self._sent: dict[tuple[int, int], attempts.Attempt] = {}
        self._recovering: dict[tuple[int, int], attempts.Attempt] = {}
        self._pings: dict[int, float] = {}
        self._queries: dict[int, _Query] = {}
        self._uploads = uploads.Uploads()
        self._downloads = answer_downloads.AnswerDownloads(
            sweeper or budget_sweeper.create_default(clock),
            lambda message: self._link.send(message),
            self._on_answer,
            self._fail_answer,
            log,
            counters,
        )
        self._nonce = 0
        # True if a notice has arrived since the last load sample.
        self._has_new_notice = False
        # The same for a notice that the upstream is cold, and whether the
        # latest sample had one.
        self._has_new_cold = False
        self._is_cold = False
        self.last_used_ms = clock()
        self._handlers = {
            messages.Welcome: self._on_welcome,
            messages.Reply: self._on_reply,
            answer_messages.LargeAnswer: self._on_large_answer,
            answer_messages.AnswerPart: self._downloads.on_part,
            messages.Failure: self._on_failure,
            messages.Running: self._on_running,
            messages.Pong: self._on_pong,
            messages.ProbeReply: self._on_probe_reply,
            messages.AdmissionReply: self._on_admission_reply,
            messages.UpstreamNotice: self._on_upstream_notice,
            cold_messages.ColdNotice: self._on_cold_notice,
            body_messages.BodyCredit: lambda credit: self._uploads.on_credit(
                self._link, credit
            ),
        }

    @property
    def _boot_id(self) -> int:
        return self._link.boot_id if self._link is not None else 0

    @property
    def busy(self) -> bool:
        """True while attempts are in progress."""
        return bool(self._sent or self._waiting or self._recovering)

    def submit(
        self, call: requests.Call, max_wait_ms: float
    ) -> attempts.Attempt:
        """Send a request, or queue it until the connection is ready.

        Parameters
        ----------
        call : Call
            The request.
        max_wait_ms : float
            Maximum predicted wait for a slot; the sidecar refuses the
            request if it predicts a longer one.
        """
        now_ms = self._clock()
        self.last_used_ms = now_ms
        future = asyncio.get_running_loop().create_future()
        attempt = attempts.Attempt(call, max_wait_ms, future)
        if self._link is None and not self._connect(now_ms):
            attempt.resolve(verdict.not_run(verdict.Reason.NOT_CONNECTED))
        elif self._link.state is links.LinkState.READY:
            self._transmit(attempt, now_ms)
        elif len(self._waiting) < MAX_WAITING_ATTEMPTS:
            self._waiting.append(attempt)
        else:
            attempt.resolve(verdict.not_run(verdict.Reason.NOT_CONNECTED))
        return attempt

    def cancel(self, attempt: attempts.Attempt) -> None:
        """Withdraw an attempt; its future may still be resolved."""
        attempt.is_cancelled = True
        if attempt in self._waiting:
            self._waiting.remove(attempt)
            attempt.resolve(verdict.not_run(verdict.Reason.CANCELLED))
        elif self._is_reachable(attempt):
            request_id = (attempt.session, attempt.sequence)
            self._link.send(messages.Cancel(attempt.boot_id, *request_id))
            if request_id in self._downloads:
                self._fail_answer(request_id, verdict.Reason.CANCELLED)

    def revoke(self, attempt: attempts.Attempt) -> None:
        """Ask the sidecar to revoke an attempt that has not started."""
        if self._is_reachable(attempt) and not attempt.is_arriving:
            self._send_revoke(attempt)

    def probe(self) -> int:
        """Ask for a load sample; return the bytes sent, 0 on failure."""
        link = self._link
        if link is None or link.state is not links.LinkState.READY:
            return 0
        self._nonce += 1
        return link.send(messages.Probe(self._nonce))

    def query_admission(
        self, call: requests.Call
    ) -> asyncio.Future[messages.AdmissionReply]:
        """Ask whether the sidecar would accept a request.

        Returns
        -------
        Future
            Resolves to the reply, or is cancelled if the connection is
            lost. A function that stops waiting for the reply must cancel
            the future.
        """
        self.connect()
        self._nonce += 1
        nonce = self._nonce
        query = _Query(call, asyncio.get_running_loop().create_future())
        self._queries[nonce] = query
        query.reply.add_done_callback(lambda _: self._queries.pop(nonce, None))
        link = self._link
        if link is None:
            query.reply.cancel()
        elif link.state is links.LinkState.READY:
            self._send_query(nonce, query)
        return query.reply

    def _send_query(self, nonce: int, query: _Query) -> None:
        self._link.send(
            calls.admission_query(query.call, nonce, self._clock())
        )

    def connect(self) -> None:
        """Open the connection if there is none."""
        self.last_used_ms = self._clock()
        if self._link is None:
            self._connect(self.last_used_ms)

    def tick(self, now_ms: float, ping: bool) -> None:
        """Check the connection and end recoveries that have timed out.

        Parameters
        ----------
        now_ms : float
            Monotonic time.
        ping : bool
            True to check the connection even if it is idle.
        """
        for attempt in list(self._recovering.values()):
            if attempt.resolve_by_ms <= now_ms:
                self._resolve_unknown(attempt)
        if ping:
            self._purge(now_ms)
        if self._link is None:
            if self._recovering:
                self._connect(now_ms)
            return
        connecting = self._link.state is links.LinkState.CONNECTING
        if ping or connecting or self.busy:
            self._nonce += 1
            self._pings[self._nonce] = now_ms
            if len(self._pings) > MAX_UNANSWERED_PINGS:
                del self._pings[next(iter(self._pings))]
            self._link.tick(self._nonce)

    def close(self) -> None:
        """Close the connection and resolve all attempts in progress."""
        if self._link is not None:
            self._link.close()
            self._link = None
        self._downloads.clear()
        for attempt in self._waiting:
            attempt.resolve(verdict.not_run(verdict.Reason.NOT_CONNECTED))
        for attempt in (*self._sent.values(), *self._recovering.values()):
            attempt.resolve(verdict.may_have_run(verdict.Reason.SIDECAR_LOST))
        self._waiting.clear()
        self._sent.clear()
        self._recovering.clear()

    def _purge(self, now_ms: float) -> None:
        for request_id, attempt in list(self._sent.items()):
            late_ms = now_ms - attempt.call.deadline_ms
            if attempt.future.done() and late_ms > PURGE_AFTER_MS:
                del self._sent[request_id]

    def _is_reachable(self, attempt: attempts.Attempt) -> bool:
        link = self._link
        return (
            link is not None
            and link.state is links.LinkState.READY
            and link.boot_id == attempt.boot_id
        )

    def _connect(self, now_ms: float) -> bool:
        if now_ms < self._reconnect_at_ms:
            return False
        self._reconnect_at_ms = now_ms + RECONNECT_DELAY_MS
        self._link = self._open_link(self._on_message, self._on_lost)
        return True

    def _transmit(self, attempt: attempts.Attempt, now_ms: float) -> None:
        link = self._link
        attempt.boot_id = link.boot_id
        attempt.session = link.session
        attempt.sequence = link.next_sequence()
        attempt.sent_ms = now_ms
        request_id = (attempt.session, attempt.sequence)
        self._sent[request_id] = attempt
        identity = calls.RequestIdentity(
            attempt.boot_id, attempt.session, attempt.sequence
        )
        sent_bytes = self._uploads.send(
            link,
            calls.request(attempt.call, identity, attempt.max_wait_ms, now_ms),
        )
        if not sent_bytes:
            self._sent.pop(request_id, None)
            attempt.resolve(verdict.not_run(verdict.Reason.NOT_CONNECTED))

    def _on_message(
        self, link: links.Link, message: messages.Message, size_bytes: int
    ) -> None:
        if link is not self._link:
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)

    def _on_welcome(self, message: messages.Welcome) -> None:
        now_ms = self._clock()
        self._reconnect_at_ms = 0.0
        self._observer.on_sample(message.sample, self._clock())
        self._send_notice(message.boot_id, now_ms)
        for attempt in list(self._recovering.values()):
            if attempt.boot_id == message.boot_id:
                self._send_revoke(attempt)
            else:
                self._resolve_unknown(attempt)
        waiting = self._waiting
        self._waiting = []
        for attempt in waiting:
            self._transmit(attempt, now_ms)
        for nonce, query in list(self._queries.items()):
            self._send_query(nonce, query)

    def _on_reply(self, message: messages.Reply) -> None:
        self._on_sample(message.sample)
        self._on_answer(
            (message.session, message.sequence),
            requests.Answer(message.status, message.headers, message.body),
        )

    def _on_answer(
        self, request_id: tuple[int, int], answer: requests.Answer
    ) -> None:
        attempt = self._pop_attempt(*request_id)
        if attempt is not None:
            attempt.resolve(
                answer_check.verdict_on(answer, self._link.address, self._log)
            )

    def _on_large_answer(self, message: answer_messages.LargeAnswer) -> None:
        self._on_sample(message.sample)
        request_id = (message.session, message.sequence)
        attempt = self._sent.get(request_id) or self._recovering.get(
            request_id
        )
        reason = verdict.Reason.CANCELLED
        if message.body_bytes > answer_messages.MAX_BODY_BYTES:
            reason = verdict.Reason.ANSWER_TOO_LARGE
        elif attempt is not None and not attempt.is_cancelled:
            reason = verdict.Reason.NONE
        if reason is not verdict.Reason.NONE:
            # After a cancellation the sidecar would send no parts, so the
            # answer would hold its room for ever.
            self._link.send(messages.Cancel(self._boot_id, *request_id))
            self._fail_answer(request_id, reason)
            return
        self._recovering.pop(request_id, None)
        self._sent[request_id] = attempt
        attempt.is_arriving = True
        self._downloads.start(message, attempt.call.deadline_ms)

    def _fail_answer(
        self,
        request_id: tuple[int, int],
        reason: verdict.Reason = verdict.Reason.ANSWER_WITHOUT_ROOM,
    ) -> None:
        """End an attempt whose answer is not received; it has run."""
        attempt = self._pop_attempt(*request_id)
        if attempt is not None:
            attempt.resolve(verdict.may_have_run(reason))

    def _on_failure(self, message: messages.Failure) -> None:
        self._on_sample(message.sample)
        attempt = self._pop_attempt(message.session, message.sequence)
        if attempt is None:
            return
        reason = verdict.Reason(message.reason)
        if message.may_have_run:
            attempt.resolve(verdict.may_have_run(reason))
            return
        if reason is verdict.Reason.REVOKED:
            self._counters.revocations.labels('not_run').inc()
            self._log.write(
                events.Event.REQUEST_REVOKED,
                request_id=attempt.call.request_id,
            )
        attempt.resolve(verdict.not_run(reason))

    def _on_running(self, message: messages.Running) -> None:
        request_id = (message.session, message.sequence)
        attempt = self._recovering.pop(request_id, None)
        if attempt is not None:
            self._counters.revocations.labels('running').inc()
            self._sent[request_id] = attempt

    def _on_sample(self, sample: upstreams.LoadSample) -> None:
        """Record a sample, which follows a notice if there is one."""
        if not self._has_new_notice:
            self._observer.on_no_notice(self._boot_id)
        self._has_new_notice = False
        if self._is_cold and not self._has_new_cold:
            self._observer.on_warm()
        self._is_cold, self._has_new_cold = self._has_new_cold, False
        self._observer.on_sample(sample, self._clock())

    def _on_upstream_notice(self, message: messages.UpstreamNotice) -> None:
        self._has_new_notice = True
        self._observer.on_notice(message, self._boot_id, self._clock())

    def _on_cold_notice(self, message: cold_messages.ColdNotice) -> None:
        self._has_new_cold = True
        self._observer.on_cold(message, self._clock())

    def _send_notice(self, boot_id: int, now_ms: float) -> None:
        """Tell a restarted sidecar what it told before its restart."""
        notice = self._observer.notice_for(boot_id, now_ms)
        if notice is None:
            return
        self._link.send(notice)
        self._log.write(
            events.Event.NOTICE_RETURNED,
            address=self._link.address,
            limit_per_s=notice.limit_per_s,
            leaving=notice.leaving,
        )

    def _on_pong(self, message: messages.Pong) -> None:
        sent_ms = self._pings.pop(message.nonce, None)
        if sent_ms is not None:
            self._observer.on_round_trip(self._clock() - sent_ms)

    def _on_probe_reply(self, message: messages.ProbeReply) -> None:
        self._on_sample(message.sample)

    def _on_admission_reply(self, message: messages.AdmissionReply) -> None:
        self._on_sample(message.sample)
        query = self._queries.get(message.nonce)
        if query is not None and not query.reply.done():
            query.reply.set_result(message)

    def _pop_attempt(
        self, session: int, sequence: int
    ) -> attempts.Attempt | None:
        request_id = (session, sequence)
        self._uploads.drop(session, sequence)
        self._downloads.drop(request_id)
        attempt = self._sent.pop(request_id, None)
        if attempt is None:
            attempt = self._recovering.pop(request_id, None)
        if attempt is None:
            self._counters.late_answers.inc()
        return attempt

    def _send_revoke(self, attempt: attempts.Attempt) -> None:
        self._link.send(
            messages.Revoke(attempt.boot_id, attempt.session, attempt.sequence)
        )
        self._counters.revocations.labels('sent').inc()

    def _on_lost(self, link: links.Link, loss: links.LinkLoss) -> None:
        if link is not self._link:
            return
        now_ms = self._clock()
        self._link = None
        self._uploads.clear()
        self._downloads.clear()
        self._pings.clear()
        for query in list(self._queries.values()):
            query.reply.cancel()
        self._reconnect_at_ms = now_ms + RECONNECT_DELAY_MS
        self._counters.links_lost.labels(loss.reason).inc()
        self._log.write(
            events.Event.LINK_LOST, address=link.address, reason=loss.reason
        )
        for attempt in self._waiting:
            attempt.resolve(verdict.not_run(verdict.Reason.NOT_CONNECTED))
        self._waiting.clear()
        self._recover_sent(now_ms)

    def _recover_sent(self, now_ms: float) -> None:
        for request_id, attempt in self._sent.items():
            if attempt.call.idempotent:
                reason = verdict.Reason.SILENT_CONNECTION
                attempt.resolve(verdict.may_have_run(reason))
                continue
            attempt.resolve_by_ms = min(
                now_ms + REVOKE_TIMEOUT_MS, attempt.call.deadline_ms
            )
            self._recovering[request_id] = attempt
        if self._sent:
            self._reconnect_at_ms = 0.0
            self._connect(now_ms)
        self._sent.clear()

    def _resolve_unknown(self, attempt: attempts.Attempt) -> None:
        self._recovering.pop((attempt.session, attempt.sequence), None)
        self._counters.revocations.labels('unknown').inc()
        attempt.resolve(verdict.may_have_run(verdict.Reason.SIDECAR_LOST))
