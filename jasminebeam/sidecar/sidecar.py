"""Sidecar role: the only access to the node's local upstream."""

from __future__ import annotations

import dataclasses
import typing

from jasminebeam.admission import host_speed
from jasminebeam.admission import slots
from jasminebeam.model import upstreams
from jasminebeam.peering import calls
from jasminebeam.peering import cold_messages
from jasminebeam.peering import messages
from jasminebeam.retries import registry
from jasminebeam.sidecar import active_requests
from jasminebeam.sidecar import announced
from jasminebeam.sidecar import cold_checks
from jasminebeam.sidecar import condition
from jasminebeam.sidecar import execution
from jasminebeam.sidecar import ingress_replies
from jasminebeam.sidecar import limits as limits_module
from jasminebeam.sidecar import local_upstream
from jasminebeam.sidecar import slowness_polling
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.model import routes
    from jasminebeam.telemetry import events
    from jasminebeam.telemetry import metrics
    from jasminebeam.upstreams import client

Limits = limits_module.Limits


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
        self.reported_load = -1
        # Called once the upstream has stated that it is about to stop.
        self.on_leaving: typing.Callable[[], None] = self.drain
        # Called when a suspension has begun or ended.
        self.on_availability: typing.Callable[[], None] = lambda: None
        self._clock = clock
        self._upstream = local_upstream.LocalUpstream(
            limits.suspension, log, counters, clock
        )
        self._slots = slots.SlotQueue(
            0, limits.queue_ratio, limits.usable_ratio
        )
        self._host_speed = host_speed.HostSpeed()
        self._condition = condition.UpstreamCondition(
            self._slots, limits.rate_limit, log, counters
        )
        self._polling = slowness_polling.SlownessPolling(
            self._slots,
            self._host_speed,
            self.check_health,
            lambda: self._execution.process_pending(),
            log,
            clock,
        )
        self._replies = ingress_replies.IngressReplies(
            self.sample, self._notices, counters, clock
        )
        self._execution = execution.Execution(
            self._slots,
            self._host_speed,
            self._upstream,
            self._polling,
            self._replies,
            limits,
            log,
            counters,
            clock,
        )
        self.announced = announced.AnnouncedRequests(self._execution.registry)
        self._cold_checks = cold_checks.ColdChecks(
            self._slots,
            self.check_health,
            self._execution.fill,
            log,
            counters,
            clock,
        )
        self._execution.on_started = self._cold_checks.wake
        self._handlers = {
            messages.Hello: self._on_hello,
            messages.Request: self._on_request,
            messages.TeamRequest: self._on_request,
            messages.Cancel: self._on_cancel,
            messages.Revoke: self._on_revoke,
            messages.Probe: self._on_probe,
            messages.AdmissionQuery: self._execution.on_query,
            messages.TeamAdmissionQuery: self._execution.on_query,
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
        previous = self._upstream.client
        if (
            self.announcement is not None
            and self.announcement.service != announcement.service
        ):
            self._execution.refuse_waiting(verdict.Reason.NOT_READY)
        same_upstream = self._upstream.attach(announcement, upstream_client)
        self._condition.on_attach(same_upstream)
        if not same_upstream:
            self._polling.on_other_upstream()
        self._slots.slots = announcement.slots
        self._cold_checks.on_attach(announcement, same_upstream)
        return previous

    def update_start(self, announcement: upstreams.Announcement) -> None:
        """Record the start of an upstream whose start was unknown."""
        self._upstream.update_start(announcement)

    def set_cold_starts(
        self, cold_starts: typing.Iterable[routes.ColdStart]
    ) -> None:
        """Put the cold-start rates of a configuration in force."""
        self._cold_checks.set_cold_starts(cold_starts)

    def on_announced_cold(self, cold_ms: float) -> None:
        """Record for how long the upstream announces to stay cold."""
        self._cold_checks.on_announced(cold_ms)

    def drain(self) -> None:
        """Refuse new and waiting requests; let running ones finish."""
        if self.phase is upstreams.Phase.READY:
            self._upstream.phase = upstreams.Phase.DRAINING
        self._execution.refuse_waiting(verdict.Reason.DRAINING)

    def detach(self) -> None:
        """Remove the upstream, because another one has its address."""
        self._upstream.detach()
        self._cold_checks.on_detach()
        self._execution.refuse_waiting(verdict.Reason.NOT_READY)

    def set_evacuated(self, evacuated: bool) -> None:
        """Refuse new and waiting requests during an evacuation."""
        self._upstream.evacuated = evacuated
        if evacuated:
            self._execution.refuse_waiting(verdict.Reason.EVACUATED)

    def stop(self) -> None:
        """Refuse new requests because the node itself stops."""
        self._upstream.stopping = True
        self.drain()

    async def wait_idle(self) -> None:
        """Wait until no accepted request is left."""
        await self._execution.active.wait_idle()

    async def wait_for_work(self, timeout_s: float) -> None:
        """Wait until a request is in progress, or until the timeout."""
        await self._execution.active.wait_for_work(timeout_s)

    def is_running(self, request_id: str) -> bool:
        """Return True while a caller's request runs at the upstream."""
        return request_id in self._execution.running

    @property
    def announcement(self) -> upstreams.Announcement | None:
        """Announcement of the upstream in service; None if there is none."""
        return self._upstream.announcement

    @property
    def phase(self) -> upstreams.Phase:
        """Phase of the upstream, whether suspended or not."""
        return self._upstream.phase

    @property
    def available_phase(self) -> upstreams.Phase:
        """Phase of the upstream for other nodes."""
        return self._upstream.available_phase

    @property
    def in_flight(self) -> int:
        """Number of requests at the upstream."""
        return self._slots.in_flight

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self._slots.queued

    def handle(
        self, message: messages.Message, send: ingress_replies.Send
    ) -> None:
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
        if not self._upstream.may_check():
            return None
        if self._upstream.resume_unchecked():
            self.on_availability()
        announcement = self.announcement
        sent_ms = self._clock()
        self._cold_checks.on_sent()
        health = await self._upstream.client.check_health()
        if announcement is not None:
            own = _answer_of(announcement, health)
            self._cold_checks.on_result(sent_ms, own)
        return health

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
        if self._upstream.is_current(announcement):
            self._condition.on_notice(source, notice, self._clock())
            self._drain_if_leaving()
            if self._slots.limit.paced:
                # Requests that wait for the limit may start earlier now.
                self._polling.wake()

    def on_sound(
        self, announcement: upstreams.Announcement, to_check: bool
    ) -> None:
        """Record a complete response of the upstream."""
        if self._upstream.on_sound(announcement, to_check):
            self.on_availability()

    def on_unusable(
        self,
        announcement: upstreams.Announcement,
        response: client.UnusableResponse,
    ) -> None:
        """Record that a connection was closed for what it received."""
        if self._upstream.on_unusable(announcement, response):
            self.on_availability()
            self._execution.refuse_waiting(verdict.Reason.NOT_READY)

    def adopt_pending_notice(self) -> None:
        """Apply what ingress nodes have told about the attached upstream.

        Called when the node has published that the upstream is ready.
        """
        notice = self._condition.take_pending(self.announcement.upstream_id)
        if notice is not None:
            self._adopt(notice)

    def _on_upstream_notice(
        self, message: messages.UpstreamNotice, send: ingress_replies.Send
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
        if not self._upstream.is_current(reported):
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
        self._cold_checks.close()
        if self._upstream.client is not None:
            await self._upstream.client.close()

    def expire(self, now_ms: float) -> None:
        """Drop queued requests that waited too long, and old results."""
        self._execution.expire(now_ms)

    def sample(self, now_ms: float) -> upstreams.LoadSample:
        """Return the current load."""
        return self._slots.sample(
            self.available_phase,
            self.reported_load,
            self._host_speed.slowness(now_ms),
            now_ms,
        )

    def _on_hello(
        self, message: messages.Hello, send: ingress_replies.Send
    ) -> None:
        session = self._execution.registry.open_session()
        sample = self.sample(self._clock())
        send(messages.Welcome(self.boot_id, session, sample))

    def _on_ping(
        self, message: messages.Ping, send: ingress_replies.Send
    ) -> None:
        send(messages.Pong(message.nonce))

    def _on_probe(
        self, message: messages.Probe, send: ingress_replies.Send
    ) -> None:
        sample = self._replies.sample(send)
        send(messages.ProbeReply(message.nonce, sample))

    def _on_request(
        self, message: messages.Request, send: ingress_replies.Send
    ) -> None:
        now_ms = self._clock()
        request_id = (message.session, message.sequence)
        if message.boot_id != self.boot_id:
            # The previous process may have run a duplicate of the request,
            # so the sidecar can't report that the request has not run.
            reason = verdict.Reason.WRONG_INCARNATION
            self._replies.refuse(request_id, reason, True, send)
            return
        state = self.announced.accept(request_id, now_ms)
        if state is not registry.State.NEW:
            self._execution.answer_from_state(request_id, state, send)
            return
        max_wait_ms = message.max_wait_us / 1_000
        call = calls.call_from(message, now_ms)
        active = active_requests.ActiveRequest(call, send, now_ms, max_wait_ms)
        self._execution.accept(request_id, active, now_ms)

    def _on_cancel(
        self, message: messages.Cancel, send: ingress_replies.Send
    ) -> None:
        request_id = (message.session, message.sequence)
        if message.boot_id != self.boot_id:
            return
        now_ms = self._clock()
        if (
            self._execution.revoke(request_id, now_ms)
            is registry.State.REVOKED
        ):
            reason = verdict.Reason.CANCELLED
            self._replies.refuse(request_id, reason, False, send)
            return
        self._execution.cancel(request_id)

    def _on_revoke(
        self, message: messages.Revoke, send: ingress_replies.Send
    ) -> None:
        request_id = (message.session, message.sequence)
        if message.boot_id != self.boot_id:
            reason = verdict.Reason.WRONG_INCARNATION
            self._replies.refuse(request_id, reason, True, send)
            return
        state = self._execution.revoke(request_id, self._clock())
        self._execution.answer_from_state(request_id, state, send)

    def _notices(self, now_ms: float) -> list[messages.Message]:
        """Return what ingress nodes must know beside the load."""
        notices: list[messages.Message] = []
        statement = self._condition.statement(self.announcement, now_ms)
        if statement is not None:
            notices.append(statement)
        cold = self._slots.cold
        if cold.is_paced(now_ms):
            wait_us = int(cold.wait_ms(self.queued, now_ms) * 1_000)
            notices.append(cold_messages.ColdNotice(cold.per_s, wait_us))
        return notices


def _answer_of(
    announcement: upstreams.Announcement, health: upstreams.Health | None
) -> upstreams.Health | None:
    """Return a health response unless another upstream has sent it."""
    own_id = announcement.upstream_id
    if health is None or not own_id or health.upstream_id in ('', own_id):
        return health
    return None
