"""Sidecar role: the only access to the node's local upstream."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import math
import typing

from jasminebeam.admission import host_speed
from jasminebeam.admission import queue
from jasminebeam.admission import rate_limit
from jasminebeam.admission import slots
from jasminebeam.model import requests
from jasminebeam.model import upstreams
from jasminebeam.peering import calls
from jasminebeam.peering import messages
from jasminebeam.retries import idempotency
from jasminebeam.retries import registry
from jasminebeam.sidecar import condition
from jasminebeam import supervision
from jasminebeam.telemetry import events
from jasminebeam.upstreams import suspension
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.telemetry import metrics
    from jasminebeam.upstreams import client

# While requests wait, the sidecar polls the host's slowness at this
# interval. The host's speed changes every few hundred milliseconds.
SLOWNESS_POLL_INTERVAL_S = 0.015

# Timeout of a health check that reads the host's slowness. The result of a
# check that takes longer is out of date when it arrives.
SLOWNESS_CHECK_TIMEOUT_S = 0.05

# Delay of the next such check after one without a result; doubled each time.
FIRST_CHECK_DELAY_MS = 50.0
MAX_CHECK_DELAY_MS = 1_000.0

# An admission estimate does not start a request, so it may rely on an older
# slowness report than a start may. This saves checks.
ESTIMATE_MAX_AGE_MS = 60.0

Send = typing.Callable[[messages.Message], object]


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the sidecar.

    Parameters
    ----------
    queue_ratio : float
        Maximum queue length as a multiple of the upstream's slots.
    usable_ratio : float
        Share of the upstream's slots that the sidecar fills.
    key_window_ms : float
        Time for which the answers to requests with an idempotency key
        are kept.
    max_keys : int
        Maximum number of idempotency keys kept.
    registry : jasminebeam.retries.registry.Limits
        Limits of the request registry.
    rate_limit : jasminebeam.admission.rate_limit.Options
        Options of the rate limit that the upstream names.
    suspension : jasminebeam.upstreams.suspension.Options
        Options of suspensions for unusable responses.
    """

    queue_ratio: float = 4.0
    usable_ratio: float = 1.0
    key_window_ms: float = 120_000.0
    max_keys: int = 20_000
    registry: registry.Limits = dataclasses.field(
        default_factory=registry.Limits
    )
    rate_limit: rate_limit.Options = rate_limit.DEFAULT_OPTIONS
    suspension: suspension.Options = suspension.DEFAULT_OPTIONS


@dataclasses.dataclass(slots=True)
class _ActiveRequest:
    call: requests.Call
    send: Send
    accepted_ms: float
    max_wait_ms: float
    holds_key: bool = False
    # Host slowness at the start; None without a fresh report.
    start_slowness: float | None = None
    started_ms: float = 0.0
    task: asyncio.Task[verdict.Verdict] | None = None


class Sidecar:
    """Admits requests, runs each at most once, and answers.

    Parameters
    ----------
    boot_id : int
        Random number that identifies this process; part of each
        request's identity.
    limits : Limits
        Limits of state and queue.
    log : EventLog
        Receives the refusals, starts and ends of requests.
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
        # Called once the upstream has stated that it is about to stop.
        self.on_leaving: typing.Callable[[], None] = self.drain
        # Called when a suspension has begun or ended.
        self.on_availability: typing.Callable[[], None] = lambda: None
        self._suspension = suspension.Suspension(limits.suspension)
        self._stopping = False
        self._limits = limits
        self._log = log
        self._counters = counters
        self._clock = clock
        self._client: client.UpstreamClient | None = None
        self._slots = slots.SlotQueue(
            0, limits.queue_ratio, limits.usable_ratio
        )
        self._host_speed = host_speed.HostSpeed()
        self._condition = condition.UpstreamCondition(
            self._slots, limits.rate_limit, log, counters
        )
        # Requests that wait for a fresh report of the host's slowness.
        self._awaiting_report: list[registry.RequestId] = []
        # Queries that wait for such a report, with the time of their receipt.
        self._pending_queries: list[
            tuple[messages.AdmissionQuery, Send, float]
        ] = []
        # Delay after slowness checks without a result, and its end.
        self._check_delay_ms = 0.0
        self._next_check_ms = 0.0
        self._poll_wanted = asyncio.Event()
        self._poll_task: asyncio.Task[None] | None = None
        self._registry = registry.RequestRegistry(limits.registry)
        self._idempotency_cache = idempotency.IdempotencyCache(
            limits.key_window_ms, limits.max_keys
        )
        self._active: dict[registry.RequestId, _ActiveRequest] = {}
        # `Call.request_id` of each request at the upstream.
        self._running: set[str] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self._has_active = asyncio.Event()
        self._handlers = {
            messages.Hello: self._on_hello,
            messages.Request: self._on_request,
            messages.TeamRequest: self._on_request,
            messages.Cancel: self._on_cancel,
            messages.Revoke: self._on_revoke,
            messages.Probe: self._on_probe,
            messages.AdmissionQuery: self._on_query,
            messages.TeamAdmissionQuery: self._on_query,
            messages.Ping: self._on_ping,
            messages.UpstreamNotice: self._on_upstream_notice,
        }

    def attach(
        self,
        announcement: upstreams.Announcement,
        upstream_client: client.UpstreamClient,
    ) -> client.UpstreamClient | None:
        """Put an upstream into service and return the previous client.

        Requests that wait for an upstream of another service are refused.
        """
        previous = self._client
        if (
            self.announcement is not None
            and self.announcement.service != announcement.service
        ):
            self._refuse_waiting(verdict.Reason.NOT_READY)
        same_upstream = _is_same_upstream(self.announcement, announcement)
        self._condition.on_attach(same_upstream)
        if not same_upstream:
            self._check_delay_ms = self._next_check_ms = 0.0
            self._suspension = suspension.Suspension(self._limits.suspension)
        self._client = upstream_client
        self.announcement = announcement
        self.phase = upstreams.Phase.READY
        self._slots.slots = announcement.slots
        return previous

    def update_start(self, announcement: upstreams.Announcement) -> None:
        """Record the start of an upstream whose start was unknown."""
        current = self.announcement
        if (
            current is not None
            and not current.started_ms
            and announcement.upstream_id == current.upstream_id
        ):
            self.announcement = dataclasses.replace(
                current, started_ms=announcement.started_ms
            )

    def drain(self) -> None:
        """Refuse new and waiting requests; let running ones finish."""
        if self.phase is upstreams.Phase.READY:
            self.phase = upstreams.Phase.DRAINING
        self._refuse_waiting(verdict.Reason.DRAINING)

    def detach(self) -> None:
        """Remove the upstream, because another one has its address."""
        self.phase = upstreams.Phase.ABSENT
        self.announcement = None
        self._refuse_waiting(verdict.Reason.NOT_READY)

    def stop(self) -> None:
        """Refuse new requests because the node itself stops."""
        self._stopping = True
        self.drain()

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

    def is_running(self, request_id: str) -> bool:
        """Return True while a caller's request runs at the upstream."""
        return request_id in self._running

    @property
    def available_phase(self) -> upstreams.Phase:
        """Phase of the upstream for other nodes."""
        if self._suspension.active and self.phase is upstreams.Phase.READY:
            return upstreams.Phase.ABSENT
        return self.phase

    @property
    def in_flight(self) -> int:
        """Number of requests at the upstream."""
        return self._slots.in_flight

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self._slots.queued

    def handle(self, message: messages.Message, send: Send) -> None:
        """Process one message from an ingress node.

        Parameters
        ----------
        message : Message
            Request, cancellation, revocation, probe, admission query, ping
            or hello.
        send : callable
            Sends a message to the ingress node.
        """
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, send)

    async def check_health(self) -> upstreams.Health | None:
        """Return the upstream's health and its possibly stale load report.

        There is no check during a suspension.
        """
        if self._client is None or self._suspension.wait_ms(self._clock()):
            return None
        if self._suspension.active and not self._has_health_check():
            self._suspension.resume(self._clock())
            self._on_resumed()
        return await self._client.check_health()

    def on_report(self, report: upstreams.LoadReport) -> None:
        """Record the load that the upstream reports."""
        self.reported_load = report.running + report.waiting
        if report.slowness is not None:
            self._host_speed.on_report(report.slowness, self._clock())
            self._slots.baseline_slowness = self._host_speed.baseline_slowness
        if report.slots and report.slots != self._slots.slots:
            self._slots.slots = report.slots

    def on_notice(
        self,
        announcement: upstreams.Announcement,
        source: upstreams.NoticeSource,
        notice: upstreams.Notice,
    ) -> None:
        """Record what the upstream states about itself in an answer.

        Answers of a previous upstream are ignored.
        """
        if _is_same_upstream(self.announcement, announcement):
            self._condition.on_notice(source, notice, self._clock())
            self._drain_if_leaving()
            if self._slots.limit.paced:
                # Requests that wait for the limit may start earlier now.
                self._poll_wanted.set()

    def on_sound(
        self, announcement: upstreams.Announcement, to_check: bool
    ) -> None:
        """Record a complete response of the upstream."""
        if not _is_same_upstream(self.announcement, announcement):
            return
        if self._suspension.on_sound(to_check, self._clock()):
            self._on_resumed()

    def on_unusable(
        self,
        announcement: upstreams.Announcement,
        response: client.UnusableResponse,
    ) -> None:
        """Record that a connection was closed for what it received."""
        reason = response.reason.value
        self._counters.unusable_responses.labels(reason).inc()
        self._log.write(
            events.Event.RESPONSE_UNUSABLE,
            upstream=announcement.upstream_id,
            reason=reason,
            received_bytes=response.received_bytes,
            health_check=response.to_check,
        )
        if not _is_same_upstream(self.announcement, announcement):
            return
        if self._suspension.on_unusable(
            response.reason, response.to_check, self._clock()
        ):
            self._on_suspended(reason)

    def _has_health_check(self) -> bool:
        return self.announcement is None or bool(self.announcement.load_path)

    def _on_suspended(self, reason: str) -> None:
        self._log.write(
            events.Event.UPSTREAM_SUSPENDED,
            upstream=self.announcement.upstream_id,
            reason=reason,
            duration_ms=self._suspension.duration_ms,
        )
        self.on_availability()
        self._refuse_waiting(verdict.Reason.NOT_READY)

    def _on_resumed(self) -> None:
        self._log.write(
            events.Event.UPSTREAM_RESUMED,
            upstream=self.announcement.upstream_id,
            duration_ms=self._suspension.duration_ms,
        )
        self.on_availability()

    def adopt_pending_notice(self) -> None:
        """Apply what ingress nodes have told about the attached upstream.

        Called when the node has published that the upstream is ready.
        """
        notice = self._condition.take_pending(self.announcement.upstream_id)
        if notice is not None:
            self._adopt(notice)

    def _on_upstream_notice(
        self, message: messages.UpstreamNotice, send: Send
    ) -> None:
        if self.announcement is None:
            self._condition.keep_pending(message)
        else:
            self._adopt(message)

    def _adopt(self, message: messages.UpstreamNotice) -> None:
        reported = dataclasses.replace(
            self.announcement,
            upstream_id=message.upstream_id,
            started_ms=message.started_ms,
        )
        if not _is_same_upstream(self.announcement, reported):
            return
        if message.leaving:
            # A later start under the same identity is not the one that left.
            self.update_start(reported)
        self._condition.adopt(message, self._clock())
        self._drain_if_leaving()

    def _drain_if_leaving(self) -> None:
        if self._condition.leaving and self.phase is upstreams.Phase.READY:
            self.on_leaving()

    async def close(self) -> None:
        """Close the connections to the upstream."""
        if self._client is not None:
            await self._client.close()

    def expire(self, now_ms: float) -> None:
        """Drop queued requests that waited too long, and old results."""
        self._refuse_dropped(self._slots.drop(now_ms), now_ms)
        self._registry.expire(now_ms)

    def _refuse_waiting(self, reason: verdict.Reason) -> None:
        now_ms = self._clock()
        awaiting_report, self._awaiting_report = self._awaiting_report, []
        waiting = (*awaiting_report, *self._slots.withdraw_all())
        for request_id in waiting:
            if request_id not in self._active:
                continue
            self._finish(request_id, verdict.not_run(reason), now_ms)

    def sample(self, now_ms: float) -> upstreams.LoadSample:
        """Return the current load."""
        return self._slots.sample(
            self.available_phase,
            self.reported_load,
            self._host_speed.slowness(now_ms),
            now_ms,
        )

    def _on_hello(self, message: messages.Hello, send: Send) -> None:
        session = self._registry.open_session()
        sample = self.sample(self._clock())
        send(messages.Welcome(self.boot_id, session, sample))

    def _on_ping(self, message: messages.Ping, send: Send) -> None:
        send(messages.Pong(message.nonce))

    def _on_probe(self, message: messages.Probe, send: Send) -> None:
        self._send_notice(send)
        sample = self.sample(self._clock())
        send(messages.ProbeReply(message.nonce, sample))

    def _on_query(self, message: messages.AdmissionQuery, send: Send) -> None:
        now_ms = self._clock()
        if (
            not self._suspension.active
            and not self._slots.limit.wait_ms(0, now_ms)
            and self._host_speed.needs_check(now_ms, ESTIMATE_MAX_AGE_MS)
        ):
            self._pending_queries.append((message, send, now_ms))
            self._start_polling()
        else:
            self._answer_query(message, send, now_ms, now_ms)

    def _answer_query(
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
                calls.objective_ms(message.objective_left_us, received_ms),
                message.route,
            )
            slowness = self._host_speed.relative_slowness(now_ms)
            estimate = self._slots.estimate(offer, slowness, now_ms)
        else:
            estimate = slots.AdmissionEstimate(refused.reason, 0.0)
        self._send_notice(send)
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
            # The previous process may have run a duplicate of the request,
            # so the sidecar can't report that the request has not run.
            reason = verdict.Reason.WRONG_INCARNATION
            self._refuse(request_id, reason, True, send)
            return
        state = self._registry.accept(request_id, now_ms)
        if state is not registry.State.NEW:
            self._answer_from_state(request_id, state, send)
            return
        max_wait_ms = message.max_wait_us / 1_000
        call = calls.call_from(message, now_ms)
        active = _ActiveRequest(call, send, now_ms, max_wait_ms)
        self._active[request_id] = active
        self._idle.clear()
        self._has_active.set()
        self._admit(request_id, active, now_ms)

    def _admit(
        self,
        request_id: registry.RequestId,
        active: _ActiveRequest,
        now_ms: float,
    ) -> None:
        refused = self._check_ready(active.call.service)
        if refused is None and active.call.key:
            refused = self._claim_key(active, now_ms)
        if refused is not None:
            self._finish(request_id, refused, now_ms)
            return
        if not self._slots.limit.wait_ms(0, now_ms) and (
            self._host_speed.needs_check(now_ms)
        ):
            self._awaiting_report.append(request_id)
            self._start_polling()
        else:
            self._offer(request_id, active, now_ms)

    def _offer(
        self,
        request_id: registry.RequestId,
        active: _ActiveRequest,
        now_ms: float,
    ) -> None:
        call = active.call
        offer = slots.Offer(
            request_id,
            call.deadline_ms,
            active.max_wait_ms,
            call.priority,
            call.objective_ms,
            call.route,
        )
        decision = self._slots.offer(
            offer, self._host_speed.relative_slowness(now_ms), now_ms
        )
        if decision.action is slots.Action.START:
            self._start(request_id, now_ms)
        elif decision.action is slots.Action.REFUSE:
            refused = verdict.not_run(decision.reason)
            self._finish(request_id, refused, now_ms)
        else:
            self._start_polling()

    def _start_polling(self) -> None:
        self._poll_wanted.set()
        if self._poll_task is None or self._poll_task.done():
            self._poll_task = asyncio.create_task(
                supervision.supervise(
                    self._poll_slowness, self._log, SLOWNESS_POLL_INTERVAL_S
                )
            )

    async def _poll_slowness(self) -> None:
        """Poll the host's slowness while requests wait for a decision."""
        while (
            self._awaiting_report
            or self._pending_queries
            or self._slots.queued
        ):
            self._poll_wanted.clear()
            now_ms = self._clock()
            limit_wait_s = self._slots.limit.wait_ms(0, now_ms) / 1_000
            if not limit_wait_s and self._host_speed.needs_check(now_ms):
                await self._check_slowness(now_ms)
            self._process_pending()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    max(SLOWNESS_POLL_INTERVAL_S, limit_wait_s)
                ):
                    await self._poll_wanted.wait()

    async def _check_slowness(self, now_ms: float) -> None:
        """Run a health check unless the latest ones had no result."""
        if now_ms < self._next_check_ms:
            return
        health = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SLOWNESS_CHECK_TIMEOUT_S):
                health = await self.check_health()
        if health is not None:
            self._check_delay_ms = 0.0
            return
        self._check_delay_ms = min(
            max(FIRST_CHECK_DELAY_MS, 2 * self._check_delay_ms),
            MAX_CHECK_DELAY_MS,
        )
        self._next_check_ms = self._clock() + self._check_delay_ms

    def _process_pending(self) -> None:
        """Decide on the requests and queries that wait for a report."""
        now_ms = self._clock()
        pending_queries, self._pending_queries = self._pending_queries, []
        for message, send, received_ms in pending_queries:
            self._answer_query(message, send, received_ms, now_ms)
        awaiting_report, self._awaiting_report = self._awaiting_report, []
        for request_id in awaiting_report:
            self._offer_if_ready(request_id, now_ms)
        released = self._slots.fill(
            self._host_speed.relative_slowness(now_ms), now_ms
        )
        self._apply_released(released, now_ms)

    def _offer_if_ready(
        self, request_id: registry.RequestId, now_ms: float
    ) -> None:
        active = self._active.get(request_id)
        if active is None:
            return
        refused = self._check_ready(active.call.service)
        if refused is not None:
            self._finish(request_id, refused, now_ms)
        else:
            self._offer(request_id, active, now_ms)

    def _apply_released(self, released: slots.Released, now_ms: float) -> None:
        self._refuse_dropped(released.dropped, now_ms)
        for waiting in released.start:
            self._start(waiting, now_ms)

    def _refuse_dropped(self, dropped: queue.Dropped, now_ms: float) -> None:
        for request_id in dropped.too_late:
            reason = verdict.Reason.DEADLINE
            self._finish(request_id, verdict.not_run(reason), now_ms)
        for request_id in dropped.wait_expired:
            reason = verdict.Reason.BUSY
            if self._slots.limit.wait_ms(0, now_ms):
                reason = verdict.Reason.RATE_LIMITED
            self._finish(request_id, verdict.not_run(reason), now_ms)

    def _check_ready(self, service: str) -> verdict.Verdict | None:
        if self._stopping:
            return verdict.not_run(verdict.Reason.STOPPING)
        if self.phase is upstreams.Phase.DRAINING:
            return verdict.not_run(verdict.Reason.DRAINING)
        if self.announcement is None or self._suspension.active:
            return verdict.not_run(verdict.Reason.NOT_READY)
        if self.announcement.service != service:
            return verdict.not_run(verdict.Reason.NO_SERVICE)
        return None

    def _claim_key(
        self, active: _ActiveRequest, now_ms: float
    ) -> verdict.Verdict | None:
        call = active.call
        digest = idempotency.fingerprint(
            call.service, call.method, call.target, call.body
        )
        existing_result = self._idempotency_cache.claim(
            call.key, digest, now_ms
        )
        active.holds_key = existing_result is None
        return existing_result

    def _start(self, request_id: registry.RequestId, now_ms: float) -> None:
        active = self._active[request_id]
        if not self._registry.start(request_id, now_ms):
            raise AssertionError(f'request {request_id} started twice')
        self._counters.queue_wait.observe(
            (now_ms - active.accepted_ms) / 1_000
        )
        self._log.write(
            events.Event.REQUEST_STARTED,
            request=active.call.request_id,
            waited_ms=round(now_ms - active.accepted_ms, 1),
            **self._decision_inputs(now_ms),
        )
        active.started_ms = now_ms
        self._running.add(active.call.request_id)
        active.start_slowness = self._host_speed.fresh_slowness(now_ms)
        timeout_ms = active.call.deadline_ms - now_ms
        active.task = asyncio.create_task(
            self._client.run(active.call, timeout_ms)
        )
        active.task.add_done_callback(
            functools.partial(self._complete, request_id)
        )

    def _complete(
        self,
        request_id: registry.RequestId,
        task: asyncio.Task[verdict.Verdict],
    ) -> None:
        now_ms = self._clock()
        result = self._result_of(task)
        self._counters.runs.labels(result.outcome.value).inc()
        active = self._active[request_id]
        self._running.discard(active.call.request_id)
        measured = result.outcome is verdict.Outcome.ANSWERED
        took_ms = now_ms - active.started_ms
        if measured and active.start_slowness is not None:
            self._host_speed.on_completion(
                active.call.route, active.start_slowness, took_ms
            )
        released = self._slots.release(
            request_id,
            self._host_speed.relative_slowness(now_ms),
            now_ms,
            measured,
        )
        self._log.write(
            events.Event.RUN_ENDED,
            request=active.call.request_id,
            outcome=result.outcome.value,
            reason=result.reason.value,
            status=result.answer.status if result.answer else 0,
            took_ms=round(took_ms, 1),
        )
        self._finish(request_id, result, now_ms)
        self._apply_released(released, now_ms)

    def _result_of(
        self, task: asyncio.Task[verdict.Verdict]
    ) -> verdict.Verdict:
        if task.cancelled():
            return verdict.may_have_run(verdict.Reason.CANCELLED)
        if task.exception() is None:
            return task.result()
        self._log.write(
            events.Event.TASK_FAILED,
            task=task.get_coro().__qualname__,
            error=repr(task.exception()),
        )
        return verdict.may_have_run(verdict.Reason.UPSTREAM_DISCONNECTED)

    def _finish(
        self,
        request_id: registry.RequestId,
        result: verdict.Verdict,
        now_ms: float,
    ) -> None:
        self._registry.finish(request_id, result, now_ms)
        active = self._active.pop(request_id)
        if active.holds_key:
            self._idempotency_cache.record_result(
                active.call.key, result, now_ms
            )
        if result.outcome is verdict.Outcome.NOT_RUN:
            self._counters.refusals.labels(result.reason.value).inc()
            self._log.write(
                events.Event.REQUEST_REFUSED,
                request=active.call.request_id,
                reason=result.reason.value,
                waited_ms=round(now_ms - active.accepted_ms, 1),
                **self._decision_inputs(now_ms),
            )
        self._report(request_id, result, active.send)
        if not self._active:
            self._idle.set()

    def _decision_inputs(self, now_ms: float) -> dict[str, object]:
        """Return the inputs of admission decisions, for the log."""
        return {
            'in_flight': self._slots.in_flight,
            'queued': self._slots.queued,
            'slots': self._slots.usable_slots,
            'slowness': self._host_speed.slowness(now_ms),
            'report_age_ms': self._host_speed.age_ms(now_ms),
            'phase': self.phase.name.lower(),
            **self._limit_inputs(now_ms),
        }

    def _limit_inputs(self, now_ms: float) -> dict[str, object]:
        limit = self._slots.limit
        if not limit.paced:
            return {}
        return {
            'limit_per_s': limit.per_s,
            'limit_wait_ms': round(limit.wait_ms(0, now_ms), 1),
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
        active = self._active.get(request_id)
        if active is not None and active.task is not None:
            active.task.cancel()

    def _on_revoke(self, message: messages.Revoke, send: Send) -> None:
        request_id = (message.session, message.sequence)
        if message.boot_id != self.boot_id:
            reason = verdict.Reason.WRONG_INCARNATION
            self._refuse(request_id, reason, True, send)
            return
        state = self._revoke(request_id, self._clock())
        self._answer_from_state(request_id, state, send)

    def _revoke(
        self, request_id: registry.RequestId, now_ms: float
    ) -> registry.State:
        state = self._registry.revoke(request_id, now_ms)
        if state is registry.State.REVOKED:
            self._slots.withdraw(request_id)
            active = self._active.pop(request_id, None)
            if active is not None and active.holds_key:
                revoked = verdict.not_run(verdict.Reason.REVOKED)
                self._idempotency_cache.record_result(
                    active.call.key, revoked, now_ms
                )
            if not self._active:
                self._idle.set()
        return state

    def _answer_from_state(
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
            self._active[request_id].send = send
            send(messages.Running(*request_id))
        else:
            self._refuse(request_id, verdict.Reason.STALE, True, send)

    def _refuse(
        self,
        request_id: registry.RequestId,
        reason: verdict.Reason,
        may_have_run: bool,
        send: Send,
    ) -> None:
        self._counters.refusals.labels(reason.value).inc()
        self._send_notice(send)
        sample = self.sample(self._clock())
        send(messages.Failure(*request_id, may_have_run, reason.value, sample))

    def _report(
        self,
        request_id: registry.RequestId,
        result: verdict.Verdict,
        send: Send,
    ) -> None:
        self._send_notice(send)
        sample = self.sample(self._clock())
        if result.answer is None:
            may_have_run = result.outcome is not verdict.Outcome.NOT_RUN
            reason = result.reason.value
            send(messages.Failure(*request_id, may_have_run, reason, sample))
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

    def _send_notice(self, send: Send) -> None:
        notice = self._condition.statement(self.announcement, self._clock())
        if notice is not None:
            send(notice)


def _is_same_upstream(
    current: upstreams.Announcement | None, other: upstreams.Announcement
) -> bool:
    """Return True unless the upstreams differ; a start may be unknown."""
    if current is None or current.upstream_id != other.upstream_id:
        return False
    starts_ms = {current.started_ms, other.started_ms} - {0}
    return len(starts_ms) < 2
