"""Execution of requests: admission, the run at the upstream, the result."""

from __future__ import annotations

import asyncio
import functools
import math
import typing

from jasminebeam.admission import slots
from jasminebeam.peering import calls
from jasminebeam.peering import messages
from jasminebeam.retries import registry
from jasminebeam.sidecar import active_requests
from jasminebeam.sidecar import slowness_polling
from jasminebeam.telemetry import events
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.admission import host_speed
    from jasminebeam.admission import queue
    from jasminebeam.sidecar import ingress_replies
    from jasminebeam.sidecar import limits as limits_module
    from jasminebeam.sidecar import local_upstream
    from jasminebeam.telemetry import metrics

# An admission estimate does not start a request, so it may rely on an older
# slowness report than a start may. This saves checks.
ESTIMATE_MAX_AGE_MS = 60.0


class Execution:
    """Decides when accepted requests start, and ends each exactly once.

    Parameters
    ----------
    slot_queue : SlotQueue
        Slots of the upstream and the queue for them.
    speed : HostSpeed
        Slowness of the upstream's host.
    upstream : LocalUpstream
        The upstream in service.
    polling : SlownessPolling
        Requests and queries that wait for a report.
    replies : IngressReplies
        Sends the results.
    limits : Limits
        Limits of the state that is kept.
    log, counters
        Record refusals, starts and ends of requests.
    clock : callable
        Returns the monotonic time in ms.
    """

    def __init__(
        self,
        slot_queue: slots.SlotQueue,
        speed: host_speed.HostSpeed,
        upstream: local_upstream.LocalUpstream,
        polling: slowness_polling.SlownessPolling,
        replies: ingress_replies.IngressReplies,
        limits: limits_module.Limits,
        log: events.EventLog,
        counters: metrics.Metrics,
        clock: typing.Callable[[], float],
    ) -> None:
        self._slots = slot_queue
        self._host_speed = speed
        self._upstream = upstream
        self._polling = polling
        self._replies = replies
        self._log = log
        self._counters = counters
        self._clock = clock
        self.registry = registry.RequestRegistry(limits.registry)
        self.active = active_requests.ActiveRequests(
            limits.key_window_ms, limits.max_keys
        )
        # `Call.request_id` of each request at the upstream.
        self.running: set[str] = set()
        # Called when a request has started.
        self.on_started: typing.Callable[[], None] = lambda: None

    def accept(
        self,
        request_id: registry.RequestId,
        active: active_requests.ActiveRequest,
        now_ms: float,
    ) -> None:
        """Admit a request that the registry has accepted, or refuse it."""
        self.active.add(request_id, active)
        self._admit(request_id, active, now_ms)

    def expire(self, now_ms: float) -> None:
        """Drop queued requests that waited too long, and old results."""
        self._refuse_dropped(self._slots.drop(now_ms), now_ms)
        self.registry.expire(now_ms)

    def refuse_waiting(self, reason: verdict.Reason) -> None:
        """Refuse all requests that have not started."""
        now_ms = self._clock()
        waiting = (
            *self._polling.take_requests(),
            *self._slots.withdraw_all(),
        )
        for request_id in waiting:
            if request_id not in self.active:
                continue
            self._finish(request_id, verdict.not_run(reason), now_ms)

    def on_query(
        self, message: messages.AdmissionQuery, send: ingress_replies.Send
    ) -> None:
        """Answer a query, if necessary after the next report."""
        now_ms = self._clock()
        if (
            not self._upstream.suspended
            and not self._slots.pace_wait_ms(0, now_ms)
            and self._host_speed.needs_check(now_ms, ESTIMATE_MAX_AGE_MS)
        ):
            self._polling.add_query(
                slowness_polling.PendingQuery(message, send, now_ms)
            )
        else:
            self.answer_query(message, send, now_ms, now_ms)

    def answer_query(
        self,
        message: messages.AdmissionQuery,
        send: ingress_replies.Send,
        received_ms: float,
        now_ms: float,
    ) -> None:
        """Answer a query with the decision that a request would get now."""
        refused = self._upstream.refusal(message.service)
        if refused is None:
            offer = slots.Offer(
                None,
                received_ms + message.time_left_us / 1_000,
                math.inf,
                message.priority,
                calls.objective_ms(message.objective_left_us, received_ms),
                message.route,
                calls.team(message),
            )
            slowness = self._host_speed.relative_slowness(now_ms)
            estimate = self._slots.estimate(offer, slowness, now_ms)
        else:
            estimate = slots.AdmissionEstimate(refused.reason, 0.0)
        sample = self._replies.sample(send)
        send(
            messages.AdmissionReply(
                message.nonce,
                estimate.reason.value,
                int(estimate.wait_ms * 1_000),
                sample,
            )
        )

    def revoke(
        self, request_id: registry.RequestId, now_ms: float
    ) -> registry.State:
        """Prevent a request from starting; return its state."""
        state = self.registry.revoke(request_id, now_ms)
        if state is registry.State.REVOKED:
            self._slots.withdraw(request_id)
            revoked = verdict.not_run(verdict.Reason.REVOKED)
            self.active.remove(request_id, revoked, now_ms)
            self.active.signal_idle()
        return state

    def answer_from_state(
        self,
        request_id: registry.RequestId,
        state: registry.State,
        send: ingress_replies.Send,
    ) -> None:
        """Answer a message about a request that was received before."""
        if state is registry.State.REVOKED:
            reason = verdict.Reason.REVOKED
            self._replies.refuse(request_id, reason, False, send)
        elif state is registry.State.DONE:
            self._replies.report(
                request_id, self.registry.result(request_id), send
            )
        elif state in (registry.State.STARTED, registry.State.ACCEPTED):
            self.active[request_id].send = send
            send(messages.Running(*request_id))
        else:
            self._replies.refuse(request_id, verdict.Reason.STALE, True, send)

    def cancel(self, request_id: registry.RequestId) -> None:
        """Cancel the exchange with the upstream, if there is one."""
        active = self.active.get(request_id)
        if active is not None and active.task is not None:
            active.task.cancel()

    def _admit(
        self,
        request_id: registry.RequestId,
        active: active_requests.ActiveRequest,
        now_ms: float,
    ) -> None:
        refused = self._upstream.refusal(active.call.service)
        if refused is None and active.call.key:
            refused = self.active.claim_key(active, now_ms)
        if refused is not None:
            self._finish(request_id, refused, now_ms)
            return
        if not self._slots.pace_wait_ms(0, now_ms) and (
            self._host_speed.needs_check(now_ms)
        ):
            self._polling.add_request(request_id)
        else:
            self._offer(request_id, active, now_ms)

    def _offer(
        self,
        request_id: registry.RequestId,
        active: active_requests.ActiveRequest,
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
            call.team,
        )
        decision = self._slots.offer(
            offer, self._host_speed.relative_slowness(now_ms), now_ms
        )
        if decision.displaced is not None:
            self._shed(decision.displaced, call.team, now_ms)
        if decision.action is slots.Action.START:
            self._start(request_id, now_ms)
        elif decision.action is slots.Action.REFUSE:
            refused = verdict.not_run(decision.reason)
            self._finish(request_id, refused, now_ms)
        else:
            self._polling.start()

    def _shed(
        self, request_id: registry.RequestId, for_team: str, now_ms: float
    ) -> None:
        """Refuse a queued request in favour of one of another team."""
        call = self.active[request_id].call
        self._log.write(
            events.Event.TEAM_SHED,
            request=call.request_id,
            team=call.team,
            for_team=for_team,
        )
        self._counters.team_sheds.inc()
        refused = verdict.not_run(verdict.Reason.QUEUE_FULL)
        self._finish(request_id, refused, now_ms)

    def process_pending(self) -> None:
        """Decide on the requests and queries that wait for a report."""
        now_ms = self._clock()
        for query in self._polling.take_queries():
            self.answer_query(*query, now_ms)
        for request_id in self._polling.take_requests():
            self._offer_if_ready(request_id, now_ms)
        self.fill()

    def fill(self) -> None:
        """Start the queued requests for which there is capacity."""
        now_ms = self._clock()
        released = self._slots.fill(
            self._host_speed.relative_slowness(now_ms), now_ms
        )
        self._apply_released(released, now_ms)

    def _offer_if_ready(
        self, request_id: registry.RequestId, now_ms: float
    ) -> None:
        active = self.active.get(request_id)
        if active is None:
            return
        refused = self._upstream.refusal(active.call.service)
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
        for request_id in dropped.pushed_back:
            self._record_pushed_back(request_id, now_ms)
        for request_id in (*dropped.wait_expired, *dropped.pushed_back):
            reason = self._slots.expiry_reason(now_ms)
            self._finish(request_id, verdict.not_run(reason), now_ms)

    def _record_pushed_back(
        self, request_id: registry.RequestId, now_ms: float
    ) -> None:
        active = self.active[request_id]
        self._log.write(
            events.Event.REQUEST_PUSHED_BACK,
            request=active.call.request_id,
            waited_ms=round(now_ms - active.accepted_ms, 1),
        )
        self._counters.pushed_back.inc()

    def _start(self, request_id: registry.RequestId, now_ms: float) -> None:
        active = self.active[request_id]
        if not self.registry.start(request_id, now_ms):
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
        self.running.add(active.call.request_id)
        active.start_slowness = self._host_speed.fresh_slowness(now_ms)
        timeout_ms = active.call.deadline_ms - now_ms
        active.task = asyncio.create_task(
            self._upstream.client.run(active.call, timeout_ms)
        )
        active.task.add_done_callback(
            functools.partial(self._complete, request_id)
        )
        self.on_started()

    def _complete(
        self,
        request_id: registry.RequestId,
        task: asyncio.Task[verdict.Verdict],
    ) -> None:
        now_ms = self._clock()
        result = self.result_of(task)
        self._counters.runs.labels(result.outcome.value).inc()
        active = self.active[request_id]
        self.running.discard(active.call.request_id)
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

    def result_of(
        self, task: asyncio.Task[verdict.Verdict]
    ) -> verdict.Verdict:
        """Return the verdict on an exchange that has ended."""
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
        self.registry.finish(request_id, result, now_ms)
        active = self.active.remove(request_id, result, now_ms)
        if result.outcome is verdict.Outcome.NOT_RUN:
            self._counters.refusals.labels(result.reason.value).inc()
            self._log.write(
                events.Event.REQUEST_REFUSED,
                request=active.call.request_id,
                **active.call.team_field(),
                reason=result.reason.value,
                waited_ms=round(now_ms - active.accepted_ms, 1),
                **self._decision_inputs(now_ms),
            )
        self._replies.report(request_id, result, active.send)
        self.active.signal_idle()

    def _decision_inputs(self, now_ms: float) -> dict[str, object]:
        """Return the inputs of admission decisions, for the log."""
        return {
            'in_flight': self._slots.in_flight,
            'queued': self._slots.queued,
            'slots': self._slots.usable_slots,
            'slowness': self._host_speed.slowness(now_ms),
            'report_age_ms': self._host_speed.age_ms(now_ms),
            'phase': self._upstream.phase.name.lower(),
            **self._limit_inputs(now_ms),
        }

    def _limit_inputs(self, now_ms: float) -> dict[str, object]:
        inputs: dict[str, object] = {}
        limit = self._slots.limit
        if limit.paced:
            inputs['limit_per_s'] = limit.per_s
            inputs['limit_wait_ms'] = round(limit.wait_ms(0, now_ms), 1)
        cold = self._slots.cold
        if cold.enabled:
            inputs['cold'] = cold.state(now_ms).value
            inputs['cold_wait_ms'] = round(cold.wait_ms(0, now_ms), 1)
        return inputs
