"""Sidecar role: the only way in to the upstream beside the node."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import math
import typing

from jasminebeam.admission import host_speed
from jasminebeam.admission import queue
from jasminebeam.admission import slots
from jasminebeam.model import requests
from jasminebeam.model import upstreams
from jasminebeam.peering import messages
from jasminebeam.retries import keys
from jasminebeam.retries import registry
from jasminebeam.telemetry import events
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.telemetry import metrics
    from jasminebeam.upstreams import client

# While requests wait, the host's speed is read this often; it changes
# every few hundred milliseconds.
PACE_INTERVAL_S = 0.015

# A check that takes longer says nothing about this moment any more.
PACE_CHECK_TIMEOUT_S = 0.05

# A quote is no hand-over: an older figure will do, and saves checks.
ESTIMATE_MAX_AGE_MS = 60.0

Send = typing.Callable[[messages.Message], object]


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of the sidecar.

    Parameters
    ----------
    queue_ratio : float
        Longest queue as a multiple of the upstream's slots.
    usable_ratio : float
        Share of the upstream's slots that is filled.
    key_window_ms : float
        Time for which the answers of idempotency keys are kept.
    max_keys : int
        Idempotency keys kept.
    registry : jasminebeam.retries.registry.Limits
        Bounds of the request registry.
    """

    queue_ratio: float = 4.0
    usable_ratio: float = 1.0
    key_window_ms: float = 120_000.0
    max_keys: int = 20_000
    registry: registry.Limits = dataclasses.field(
        default_factory=registry.Limits
    )


@dataclasses.dataclass(slots=True)
class _Work:
    call: requests.Call
    send: Send
    accepted_ms: float
    max_wait_ms: float
    holds_key: bool = False
    # The upstream's figure of its host's slowness at the start.
    figure: float | None = None
    started_ms: float = 0.0
    task: asyncio.Task[verdict.Verdict] | None = None


class Sidecar:
    """Admits requests, hands each over at most once, and answers.

    Parameters
    ----------
    boot_id : int
        Random number of this process; part of each request's identity.
    limits : Limits
        Bounds of state and queue.
    log : EventLog
        Receives refusals, starts and ends.
    counters : Metrics
        Counters of refusals and runs.
    clock : callable
        Returns the monotonic time in ms.
    """

    def __init__(
        self,
        boot_id: int,
        limits: Limits,
        log: events.EventLog,
        counters: metrics.Metrics,
        clock: typing.Callable[[], float],
    ) -> None:
        self.boot_id = boot_id
        self.phase = upstreams.Phase.ABSENT
        self.announcement: upstreams.Announcement | None = None
        self.reported_load = -1
        self._stopping = False
        self._limits = limits
        self._log = log
        self._counters = counters
        self._clock = clock
        self._client: client.UpstreamClient | None = None
        self._slots = slots.SlotQueue(
            0, limits.queue_ratio, limits.usable_ratio
        )
        self._pace = host_speed.HostSpeed()
        # Requests that wait for a fresh figure of the host's speed.
        self._unchecked: list[registry.RequestId] = []
        self._queries: list[tuple[messages.AdmissionQuery, Send, float]] = []
        self._wanted = asyncio.Event()
        self._pacing: asyncio.Task[None] | None = None
        self._registry = registry.RequestRegistry(limits.registry)
        self._keys = keys.KeyedAnswers(limits.key_window_ms, limits.max_keys)
        self._work: dict[registry.RequestId, _Work] = {}
        # Callers' identifiers of the requests at the upstream.
        self._running: set[str] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self._working = asyncio.Event()
        self._handlers = {
            messages.Hello: self._on_hello,
            messages.Request: self._on_request,
            messages.Cancel: self._on_cancel,
            messages.Revoke: self._on_revoke,
            messages.Probe: self._on_probe,
            messages.AdmissionQuery: self._on_query,
            messages.Ping: self._on_ping,
        }

    def attach(
        self,
        announcement: upstreams.Announcement,
        upstream_client: client.UpstreamClient,
    ) -> client.UpstreamClient | None:
        """Take an upstream into service and return the former client."""
        former = self._client
        self._client = upstream_client
        self.announcement = announcement
        self.phase = upstreams.Phase.READY
        self._slots.slots = announcement.slots
        return former

    def drain(self) -> None:
        """Refuse new work and what waits; what has begun is finished."""
        if self.phase is upstreams.Phase.READY:
            self.phase = upstreams.Phase.DRAINING
        self._refuse_waiting(verdict.Reason.DRAINING)

    def detach(self) -> None:
        """Forget the upstream, because another one has its address."""
        self.phase = upstreams.Phase.ABSENT
        self.announcement = None
        self._refuse_waiting(verdict.Reason.NOT_READY)

    def stop(self) -> None:
        """Refuse new work because the node itself stops."""
        self._stopping = True
        self.drain()

    async def wait_idle(self) -> None:
        """Return when no accepted request is left."""
        await self._idle.wait()

    async def wait_for_work(self, timeout_s: float) -> None:
        """Return when there are requests in progress, or after a time."""
        if self._work:
            return
        self._working.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._working.wait()

    def is_running(self, request_id: str) -> bool:
        """Return True while the upstream works on a caller's request."""
        return request_id in self._running

    @property
    def in_flight(self) -> int:
        """Number of requests at the upstream."""
        return self._slots.in_flight

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self._slots.queued

    def handle(self, message: messages.Message, send: Send) -> None:
        """Act on one message of an ingress node.

        Parameters
        ----------
        message : Message
            Request, cancellation, revocation, probe, ping or hello.
        send : callable
            Sends a message back to the node.
        """
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, send)

    async def check_health(self) -> upstreams.Health | None:
        """Return the upstream's own (late) account of health and load."""
        if self._client is None:
            return None
        return await self._client.check_health()

    def on_report(self, report: upstreams.LoadReport) -> None:
        """Record the load that the upstream tells of itself."""
        self.reported_load = report.running + report.waiting
        if report.slowness is not None:
            self._pace.on_report(report.slowness, self._clock())
            self._slots.level = self._pace.level
        if report.slots and report.slots != self._slots.slots:
            self._slots.slots = report.slots

    async def close(self) -> None:
        """Close the connections to the upstream."""
        if self._client is not None:
            await self._client.close()

    def expire(self, now_ms: float) -> None:
        """Drop late queued requests and old results."""
        self._drop(self._slots.drop(now_ms), now_ms)
        self._registry.expire(now_ms)

    def _refuse_waiting(self, reason: verdict.Reason) -> None:
        now_ms = self._clock()
        unchecked, self._unchecked = self._unchecked, []
        waiting = (*unchecked, *self._slots.withdraw_all())
        for request_id in waiting:
            if request_id not in self._work:
                continue
            self._finish(request_id, verdict.not_run(reason), now_ms)

    def sample(self, now_ms: float) -> upstreams.LoadSample:
        """Return the load at this moment."""
        return self._slots.sample(
            self.phase,
            self.reported_load,
            self._pace.slowness(now_ms),
            now_ms,
        )

    def _on_hello(self, message: messages.Hello, send: Send) -> None:
        session = self._registry.open_session()
        sample = self.sample(self._clock())
        send(messages.Welcome(self.boot_id, session, sample))

    def _on_ping(self, message: messages.Ping, send: Send) -> None:
        send(messages.Pong(message.nonce))

    def _on_probe(self, message: messages.Probe, send: Send) -> None:
        sample = self.sample(self._clock())
        send(messages.ProbeReply(message.nonce, sample))

    def _on_query(self, message: messages.AdmissionQuery, send: Send) -> None:
        now_ms = self._clock()
        if self._pace.needs_check(now_ms, ESTIMATE_MAX_AGE_MS):
            self._queries.append((message, send, now_ms))
            self._start_pacing()
        else:
            self._quote(message, send, now_ms, now_ms)

    def _quote(
        self,
        message: messages.AdmissionQuery,
        send: Send,
        received_ms: float,
        now_ms: float,
    ) -> None:
        refused = self._check_ready(message.service)
        if refused is None:
            offer = slots.Offer(
                None,
                received_ms + message.time_left_us / 1_000,
                math.inf,
                message.priority,
                _objective_ms(message.objective_left_us, received_ms),
                message.route,
            )
            slowness = self._pace.excess(now_ms)
            estimate = self._slots.estimate(offer, slowness, now_ms)
        else:
            estimate = slots.AdmissionEstimate(refused.reason, 0.0)
        send(
            messages.AdmissionReply(
                message.nonce,
                estimate.reason.value,
                int(estimate.wait_ms * 1_000),
                self.sample(now_ms),
            )
        )

    def _on_request(self, message: messages.Request, send: Send) -> None:
        now_ms = self._clock()
        request_id = (message.session, message.sequence)
        if message.boot_id != self.boot_id:
            # A duplicate may have run in the former process: no proof.
            reason = verdict.Reason.WRONG_INCARNATION
            self._refuse(request_id, reason, True, send)
            return
        before = self._registry.accept(request_id, now_ms)
        if before is not registry.State.NEW:
            self._answer_known(request_id, before, send)
            return
        max_wait_ms = message.max_wait_us / 1_000
        call = _call_from(message, now_ms)
        work = _Work(call, send, now_ms, max_wait_ms)
        self._work[request_id] = work
        self._idle.clear()
        self._working.set()
        self._admit(request_id, work, now_ms)

    def _admit(
        self,
        request_id: registry.RequestId,
        work: _Work,
        now_ms: float,
    ) -> None:
        refused = self._check_ready(work.call.service)
        if refused is None and work.call.key:
            refused = self._claim_key(work, now_ms)
        if refused is not None:
            self._finish(request_id, refused, now_ms)
            return
        if self._pace.needs_check(now_ms):
            self._unchecked.append(request_id)
            self._start_pacing()
        else:
            self._offer(request_id, work, now_ms)

    def _offer(
        self, request_id: registry.RequestId, work: _Work, now_ms: float
    ) -> None:
        call = work.call
        offer = slots.Offer(
            request_id,
            call.deadline_ms,
            work.max_wait_ms,
            call.priority,
            call.objective_ms,
            call.route,
        )
        decision = self._slots.offer(offer, self._pace.excess(now_ms), now_ms)
        if decision.step is slots.Step.START:
            self._start(request_id, now_ms)
        elif decision.step is slots.Step.REFUSE:
            refused = verdict.not_run(decision.reason)
            self._finish(request_id, refused, now_ms)
        else:
            self._start_pacing()

    def _start_pacing(self) -> None:
        self._wanted.set()
        if self._pacing is None or self._pacing.done():
            self._pacing = asyncio.create_task(self._keep_pace())

    async def _keep_pace(self) -> None:
        """Follow the host's speed while requests wait for it."""
        while self._unchecked or self._queries or self._slots.queued:
            self._wanted.clear()
            if self._pace.needs_check(self._clock()):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(PACE_CHECK_TIMEOUT_S):
                        await self.check_health()
            self._use_check()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PACE_INTERVAL_S):
                    await self._wanted.wait()

    def _use_check(self) -> None:
        """Decide on all that has waited for a fresh figure."""
        now_ms = self._clock()
        queries, self._queries = self._queries, []
        for message, send, received_ms in queries:
            self._quote(message, send, received_ms, now_ms)
        unchecked, self._unchecked = self._unchecked, []
        for request_id in unchecked:
            self._offer_checked(request_id, now_ms)
        released = self._slots.fill(self._pace.excess(now_ms), now_ms)
        self._advance(released, now_ms)

    def _offer_checked(
        self, request_id: registry.RequestId, now_ms: float
    ) -> None:
        work = self._work.get(request_id)
        if work is None:
            return
        refused = self._check_ready(work.call.service)
        if refused is not None:
            self._finish(request_id, refused, now_ms)
        else:
            self._offer(request_id, work, now_ms)

    def _advance(self, released: slots.Released, now_ms: float) -> None:
        self._drop(released.dropped, now_ms)
        for waiting in released.start:
            self._start(waiting, now_ms)

    def _drop(self, dropped: queue.Dropped, now_ms: float) -> None:
        for late in dropped.hopeless:
            reason = verdict.Reason.DEADLINE
            self._finish(late, verdict.not_run(reason), now_ms)
        for late in dropped.given_up:
            reason = verdict.Reason.BUSY
            self._finish(late, verdict.not_run(reason), now_ms)

    def _check_ready(self, service: str) -> verdict.Verdict | None:
        if self._stopping:
            return verdict.not_run(verdict.Reason.STOPPING)
        if self.phase is upstreams.Phase.DRAINING:
            return verdict.not_run(verdict.Reason.DRAINING)
        if self.announcement is None:
            return verdict.not_run(verdict.Reason.NOT_READY)
        if self.announcement.service != service:
            return verdict.not_run(verdict.Reason.NO_SERVICE)
        return None

    def _claim_key(self, work: _Work, now_ms: float) -> verdict.Verdict | None:
        call = work.call
        digest = keys.fingerprint(
            call.service, call.method, call.target, call.body
        )
        kept = self._keys.claim(call.key, digest, now_ms)
        work.holds_key = kept is None
        return kept

    def _start(self, request_id: registry.RequestId, now_ms: float) -> None:
        work = self._work[request_id]
        if not self._registry.start(request_id, now_ms):
            raise AssertionError(f'request {request_id} started twice')
        self._counters.queue_wait.observe((now_ms - work.accepted_ms) / 1_000)
        self._log.write(
            events.Event.REQUEST_STARTED,
            request=work.call.request_id,
            waited_ms=round(now_ms - work.accepted_ms, 1),
            **self._inputs(now_ms),
        )
        work.started_ms = now_ms
        self._running.add(work.call.request_id)
        work.figure = self._pace.figure(now_ms)
        timeout_ms = work.call.deadline_ms - now_ms
        work.task = asyncio.create_task(
            self._client.run(work.call, timeout_ms)
        )
        work.task.add_done_callback(
            functools.partial(self._complete, request_id)
        )

    def _complete(
        self,
        request_id: registry.RequestId,
        task: asyncio.Task[verdict.Verdict],
    ) -> None:
        now_ms = self._clock()
        result = _result_of(task)
        self._counters.runs.labels(result.outcome.value).inc()
        work = self._work[request_id]
        self._running.discard(work.call.request_id)
        measured = result.outcome is verdict.Outcome.ANSWERED
        took_ms = now_ms - work.started_ms
        if measured and work.figure is not None:
            self._pace.on_completion(work.call.route, work.figure, took_ms)
        released = self._slots.release(
            request_id, self._pace.excess(now_ms), now_ms, measured
        )
        self._log.write(
            events.Event.RUN_ENDED,
            request=work.call.request_id,
            outcome=result.outcome.value,
            reason=result.reason.value,
            status=result.answer.status if result.answer else 0,
            took_ms=round(took_ms, 1),
        )
        self._finish(request_id, result, now_ms)
        self._advance(released, now_ms)

    def _finish(
        self,
        request_id: registry.RequestId,
        result: verdict.Verdict,
        now_ms: float,
    ) -> None:
        self._registry.finish(request_id, result, now_ms)
        work = self._work.pop(request_id)
        if work.holds_key:
            self._keys.settle(work.call.key, result, now_ms)
        if result.outcome is verdict.Outcome.NOT_RUN:
            self._counters.refusals.labels(result.reason.value).inc()
            self._log.write(
                events.Event.REQUEST_REFUSED,
                request=work.call.request_id,
                reason=result.reason.value,
                waited_ms=round(now_ms - work.accepted_ms, 1),
                **self._inputs(now_ms),
            )
        self._report(request_id, result, work.send)
        if not self._work:
            self._idle.set()

    def _inputs(self, now_ms: float) -> dict[str, object]:
        """Return what decides about a request, for logs."""
        return {
            'in_flight': self._slots.in_flight,
            'queued': self._slots.queued,
            'slots': self._slots.usable,
            'slowness': self._pace.slowness(now_ms),
            'report_age_ms': self._pace.age_ms(now_ms),
            'phase': self.phase.name.lower(),
        }

    def _on_cancel(self, message: messages.Cancel, send: Send) -> None:
        request_id = (message.session, message.sequence)
        if message.boot_id != self.boot_id:
            return
        now_ms = self._clock()
        if self._revoke(request_id, now_ms) is registry.State.REVOKED:
            reason = verdict.Reason.CANCELLED
            self._refuse(request_id, reason, False, send)
            return
        work = self._work.get(request_id)
        if work is not None and work.task is not None:
            work.task.cancel()

    def _on_revoke(self, message: messages.Revoke, send: Send) -> None:
        request_id = (message.session, message.sequence)
        if message.boot_id != self.boot_id:
            reason = verdict.Reason.WRONG_INCARNATION
            self._refuse(request_id, reason, True, send)
            return
        state = self._revoke(request_id, self._clock())
        self._answer_known(request_id, state, send)

    def _revoke(
        self, request_id: registry.RequestId, now_ms: float
    ) -> registry.State:
        state = self._registry.revoke(request_id, now_ms)
        if state is registry.State.REVOKED:
            self._slots.withdraw(request_id)
            work = self._work.pop(request_id, None)
            if work is not None and work.holds_key:
                revoked = verdict.not_run(verdict.Reason.REVOKED)
                self._keys.settle(work.call.key, revoked, now_ms)
            if not self._work:
                self._idle.set()
        return state

    def _answer_known(
        self,
        request_id: registry.RequestId,
        state: registry.State,
        send: Send,
    ) -> None:
        if state is registry.State.REVOKED:
            reason = verdict.Reason.REVOKED
            self._refuse(request_id, reason, False, send)
        elif state is registry.State.DONE:
            self._report(request_id, self._registry.result(request_id), send)
        elif state in (registry.State.STARTED, registry.State.ACCEPTED):
            self._work[request_id].send = send
            send(messages.Running(*request_id))
        else:
            self._refuse(request_id, verdict.Reason.STALE, True, send)

    def _refuse(
        self,
        request_id: registry.RequestId,
        reason: verdict.Reason,
        ran: bool,
        send: Send,
    ) -> None:
        self._counters.refusals.labels(reason.value).inc()
        sample = self.sample(self._clock())
        send(messages.Failure(*request_id, ran, reason.value, sample))

    def _report(
        self,
        request_id: registry.RequestId,
        result: verdict.Verdict,
        send: Send,
    ) -> None:
        sample = self.sample(self._clock())
        if result.answer is None:
            ran = result.outcome is not verdict.Outcome.NOT_RUN
            reason = result.reason.value
            send(messages.Failure(*request_id, ran, reason, sample))
            return
        answer = result.answer
        send(
            messages.Reply(
                *request_id,
                answer.status,
                answer.headers,
                answer.body,
                sample,
            )
        )


def _result_of(task: asyncio.Task[verdict.Verdict]) -> verdict.Verdict:
    if task.cancelled():
        return verdict.may_have_run(verdict.Reason.CANCELLED)
    if task.exception() is not None:
        return verdict.may_have_run(verdict.Reason.UPSTREAM_DISCONNECTED)
    return task.result()


def _call_from(message: messages.Request, now_ms: float) -> requests.Call:
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
        objective_ms=_objective_ms(message.objective_left_us, now_ms),
        priority=message.priority,
        route=message.route,
    )


def _objective_ms(left_us: int, now_ms: float) -> float:
    return now_ms + left_us / 1_000 if left_us else math.inf
