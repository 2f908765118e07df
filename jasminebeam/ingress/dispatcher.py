"""Sends one request to upstreams, with retries and hedges."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import typing

from jasminebeam.ingress import attempts
from jasminebeam.ingress import latencies
from jasminebeam.ingress import request_log
from jasminebeam.retries import policy
from jasminebeam.retries import service_budgets
from jasminebeam.routing import allowed_regions
from jasminebeam.telemetry import events
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    import random

    import prometheus_client

    from jasminebeam.ingress import admission_client
    from jasminebeam.ingress import peer_provider
    from jasminebeam.model import requests
    from jasminebeam.model import services
    from jasminebeam.routing import selection
    from jasminebeam.routing import table
    from jasminebeam.telemetry import metrics

MIN_HEDGE_DELAY_MS = 2.0
CANCEL_GRACE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Clocks:
    """Sources of monotonic and wall-clock time in ms."""

    monotonic_ms: typing.Callable[[], float]
    wall_ms: typing.Callable[[], float]


class Dispatcher:
    """Sends requests to chosen upstreams, retries and hedges them.

    Parameters
    ----------
    selector : Selector
        Chooses the upstreams.
    provider : PeerProvider
        Gives access to the sidecars.
    generator : random.Random
        Source of jitter.
    clocks : Clocks
        Sources of time.
    log, counters
        Record requests, attempts, ejections, retries and hedges.
    admission : AdmissionClient
        Asks sidecars whether they would accept a request.
    configuration_state : callable
        Returns whence and how recently the node knows its configuration, as
        fields for the log.
    """

    def __init__(
        self,
        selector: selection.Selector,
        provider: peer_provider.PeerProvider,
        generator: random.Random,
        clocks: Clocks,
        log: events.EventLog,
        counters: metrics.Metrics,
        admission: admission_client.AdmissionClient,
        configuration_state: typing.Callable[[], dict[str, object]] = dict,
    ) -> None:
        self._request_log = request_log.RequestLog(log, configuration_state)
        self._admission = admission
        self._selector = selector
        self._peer_provider = provider
        self._generator = generator
        self._clocks = clocks
        self._log = log
        self._counters = counters
        self._tokens = itertools.count(1)
        self._budgets = service_budgets.BudgetTable()
        self._latencies = latencies.LatencyEstimates()
        self._request_counters: dict[
            tuple[str, verdict.Outcome], prometheus_client.Counter
        ] = {}

    async def dispatch(
        self, call: requests.Call, service: services.Service
    ) -> verdict.Verdict:
        """Return the verdict on a request.

        Cancelling the task cancels the pending attempts.
        """
        budgets = self._budgets.of(service)
        budgets.deposit()
        started_ms = self._clocks.monotonic_ms()
        latency = self._latencies.of(call, service, started_ms)
        progress = attempts.RequestProgress(
            call, service, budgets, latency, started_ms
        )
        try:
            result = await self._run_attempts(progress)
        finally:
            self._cancel_pending(progress)
        if result.reason is verdict.Reason.COLD:
            now_ms = self._clocks.monotonic_ms()
            result = dataclasses.replace(
                result,
                retry_ms=self._selector.room_wait_ms(
                    service, now_ms, call.allowed_regions
                ),
            )
        self._count_outcome(service.name, result.outcome)
        self._request_log.request_ended(
            call,
            result,
            progress.attempts,
            started_ms,
            self._clocks.monotonic_ms(),
        )
        return result

    def _count_outcome(self, service: str, outcome: verdict.Outcome) -> None:
        key = (service, outcome)
        counter = self._request_counters.get(key)
        if counter is None:
            counter = self._counters.requests.labels(service, outcome.value)
            self._request_counters[key] = counter
        counter.inc()

    async def _run_attempts(
        self, progress: attempts.RequestProgress
    ) -> verdict.Verdict:
        if self._is_outside_regions(progress):
            return verdict.not_run(verdict.Reason.NO_ALLOWED_REGION)
        refused = await self._send_best(progress)
        if refused is not None:
            return refused
        while True:
            result = await self._next_result(progress)
            now_ms = self._clocks.monotonic_ms()
            if result.outcome is not verdict.Outcome.NOT_RUN:
                progress.possibly_run = result
            if result.outcome is verdict.Outcome.ANSWERED:
                taken_ms = now_ms - progress.started_ms
                progress.latency.add(taken_ms)
            if progress.pending_attempts and policy.is_worth_waiting(
                progress.call, result, now_ms
            ):
                continue
            action = policy.decide(
                progress.call,
                result,
                progress.attempts,
                progress.reached_upstreams + len(progress.pending_attempts),
                now_ms,
            )
            if action is policy.Action.RETURN:
                return await self._final_result(progress, result)
            if not await self._retry(progress, result):
                return await self._final_result(progress, result)

    def can_be_served(
        self, call: requests.Call, service: services.Service
    ) -> bool:
        """Return False if no allowed region has an upstream."""
        if call.allowed_regions is None:
            return True
        scope = self._selector.scope(service, call.allowed_regions)
        return scope is not allowed_regions.Scope.REFUSED

    def _is_outside_regions(self, progress: attempts.RequestProgress) -> bool:
        """Return True if no region may serve a request, and count it."""
        call = progress.call
        if call.allowed_regions is None:
            return False
        scope = self._selector.scope(progress.service, call.allowed_regions)
        self._counters.restricted_requests.labels(
            progress.service.name, scope.value
        ).inc()
        if scope is not allowed_regions.Scope.REFUSED:
            return False
        self._request_log.region_refused(call)
        return True

    async def _final_result(
        self, progress: attempts.RequestProgress, result: verdict.Verdict
    ) -> verdict.Verdict:
        if result.outcome is verdict.Outcome.NOT_RUN:
            # Another attempt may have run even if the last one did not.
            if progress.possibly_run:
                result = progress.possibly_run
            elif progress.pending_attempts:
                result = await self._time_out(progress)
        if result.answer is not None and verdict.is_failure(result):
            return verdict.answered(policy.mark_final(result.answer))
        return result

    async def _retry(
        self, progress: attempts.RequestProgress, result: verdict.Verdict
    ) -> bool:
        """Send a request again; return False if it was not sent."""
        service = progress.service.name
        reason = result.reason.value
        if result.answer is not None:
            reason = verdict.Reason.SERVER_ERROR.value
        if progress.accepts_queueing and policy.is_paced(result):
            # The limit is no failure, so it does not use the retry budget.
            now_ms = self._clocks.monotonic_ms()
            allowed = result.reason is verdict.Reason.COLD
            if not allowed or not self._selector.has_room(
                progress.service,
                progress.tried_nodes,
                now_ms,
                progress.call.allowed_regions,
            ):
                return False
        elif progress.accepts_queueing or not policy.is_reroute(result):
            allowed = progress.budgets.retries.withdraw()
        else:
            # If the reroute budget is exhausted, the next attempt accepts
            # queueing at its upstream.
            progress.accepts_queueing = (
                not progress.budgets.reroutes.withdraw()
            )
            allowed = True
        if not allowed:
            self._counters.retries_denied.labels(service, reason).inc()
            return False
        jitter = self._generator.random()
        delay_ms = policy.delay_ms(progress.attempts, jitter)
        if delay_ms:
            await asyncio.sleep(delay_ms / 1_000)
        rerouted = policy.is_reroute(result)
        if await self._send_best(progress, rerouted=rerouted) is not None:
            return False
        self._counters.retries.labels(service, reason).inc()
        return True

    async def _send_best(
        self, progress: attempts.RequestProgress, rerouted: bool = False
    ) -> verdict.Verdict | None:
        """Send to the upstream that the admission client recommends.

        Without a recommendation, send to the upstream that the selector
        chooses.

        Returns
        -------
        Verdict or None
            Why the request was not sent; None if it was sent.
        """
        call = progress.call
        if not call.key:
            ranked, returning = self._selector.rank_with_returning(
                progress.service,
                progress.tried_nodes,
                self._clocks.monotonic_ms(),
                self._clocks.wall_ms(),
                call.allowed_regions,
            )
            recommendation = await self._admission.recommend(
                call, ranked, returning, progress.survey
            )
            progress.survey = recommendation.survey
            if recommendation.refusal is not verdict.Reason.NONE:
                self._request_log.all_refuse(call, recommendation)
                return verdict.not_run(recommendation.refusal)
            if recommendation.state is not None:
                now_ms = self._clocks.monotonic_ms()
                wait_ms = policy.max_wait_after_estimate_ms(
                    recommendation.wait_ms
                )
                self._send_to(progress, recommendation.state, now_ms, wait_ms)
                return None
        return self._send(progress, hedge=False, rerouted=rerouted)

    def _send(
        self,
        progress: attempts.RequestProgress,
        hedge: bool,
        rerouted: bool = False,
    ) -> verdict.Verdict | None:
        call = progress.call
        now_ms = self._clocks.monotonic_ms()
        if call.key:
            choice = self._selector.choose_owner(
                progress.service, call.key, call.allowed_regions
            )
        else:
            choose = self._selector.choose
            if hedge:
                choose = self._selector.choose_for_hedge
            choice = choose(
                progress.service,
                progress.tried_nodes,
                now_ms,
                self._clocks.wall_ms(),
                call.allowed_regions,
            )
        if choice.state is None and rerouted:
            # All upstreams have refused the request. One of them is tried
            # again, and the request accepts queueing there.
            progress.tried_nodes.clear()
            progress.accepts_queueing = True
            choice = self._selector.choose(
                progress.service,
                (),
                now_ms,
                self._clocks.wall_ms(),
                call.allowed_regions,
            )
        if choice.state is None:
            return verdict.not_run(choice.reason)
        if call.key or policy.reroutes_exhausted(progress.attempts):
            progress.accepts_queueing = True
        wait_ms = policy.max_wait_ms(
            progress.attempts,
            progress.latency.value_ms,
            call.deadline_ms - now_ms,
            progress.accepts_queueing,
        )
        self._send_to(progress, choice.state, now_ms, wait_ms, hedge)
        return None

    def _send_to(
        self,
        progress: attempts.RequestProgress,
        state: table.UpstreamState,
        now_ms: float,
        wait_ms: float,
        hedge: bool = False,
    ) -> None:
        call = progress.call
        member = state.member
        peer = self._peer_provider.peer(member.node_id, member.address)
        token = next(self._tokens)
        state.on_sent(token, now_ms)
        attempt = peer.submit(call, wait_ms)
        self._request_log.attempt_sent(
            call, state, progress.attempts + 1, wait_ms, now_ms
        )
        pending = attempts.PendingAttempt(
            token, state, peer, attempt, hedge, now_ms
        )
        progress.pending_attempts[attempt.future] = pending
        progress.tried_nodes.add(member.node_id)
        progress.attempts += 1

    async def _next_result(
        self, progress: attempts.RequestProgress
    ) -> verdict.Verdict:
        while True:
            timeout_ms = self._time_to_next_step_ms(progress)
            done, _ = await asyncio.wait(
                progress.pending_attempts,
                timeout=timeout_ms / 1_000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                return self._complete_attempt(progress, done.pop())
            now_ms = self._clocks.monotonic_ms()
            if now_ms >= progress.call.deadline_ms:
                return await self._time_out(progress)
            self._on_hedge_delay(progress)

    def _time_to_next_step_ms(
        self, progress: attempts.RequestProgress
    ) -> float:
        now_ms = self._clocks.monotonic_ms()
        left_ms = max(0.0, progress.call.deadline_ms - now_ms)
        if progress.hedge_handled:
            return left_ms
        hedge_at_ms = progress.started_ms + max(
            MIN_HEDGE_DELAY_MS, progress.latency.value_ms
        )
        return min(left_ms, max(0.0, hedge_at_ms - now_ms))

    def _on_hedge_delay(self, progress: attempts.RequestProgress) -> None:
        """Hedge a slow request, or revoke it if it is not idempotent."""
        progress.hedge_handled = True
        service = progress.service.name
        if not progress.call.idempotent:
            # A request that is not idempotent must not be hedged. An attempt
            # that has not started is revoked and can be rerouted. A request
            # with an idempotency key may run only at the owner of the key,
            # so its attempt is not revoked.
            for pending in progress.pending_attempts.values():
                if not progress.call.key:
                    pending.peer.revoke(pending.attempt)
            return
        if any(
            pending.state.is_limited or pending.attempt.is_arriving
            for pending in progress.pending_attempts.values()
        ):
            # Waiting for a limit, or for a large answer, is no failure.
            return
        reached_upstreams = progress.reached_upstreams + len(
            progress.pending_attempts
        )
        if reached_upstreams >= progress.call.max_attempts:
            return
        if not progress.budgets.hedges.withdraw():
            reason = verdict.Reason.HEDGE.value
            self._counters.retries_denied.labels(service, reason).inc()
            return
        if self._send(progress, hedge=True) is None:
            self._counters.hedges.labels(service, 'sent').inc()

    def _complete_attempt(
        self,
        progress: attempts.RequestProgress,
        future: asyncio.Future[verdict.Verdict],
    ) -> verdict.Verdict:
        pending = progress.pending_attempts.pop(future)
        result = future.result()
        if policy.may_have_reached_upstream(result):
            progress.reached_upstreams += 1
        now_ms = self._clocks.monotonic_ms()
        self._record_result(progress.service.name, pending, result, now_ms)
        if pending.hedge and result.outcome is verdict.Outcome.ANSWERED:
            self._counters.hedges.labels(progress.service.name, 'won').inc()
        return result

    def _record_result(
        self,
        service: str,
        pending: attempts.PendingAttempt,
        result: verdict.Verdict,
        now_ms: float,
    ) -> None:
        state = pending.state
        self._log.write(
            events.Event.ATTEMPT_ENDED,
            request=pending.attempt.call.request_id,
            member=state.member.node_id,
            outcome=result.outcome.value,
            reason=result.reason.value,
            status=result.answer.status if result.answer else 0,
            took_ms=round(now_ms - pending.sent_ms, 1),
        )
        if state.on_result(pending.token, result, now_ms):
            self._counters.ejections.labels(service).inc()
            self._log.write(
                events.Event.UPSTREAM_EJECTED,
                service=service,
                member=state.member.node_id,
                reason=result.reason.value,
            )

    async def _time_out(
        self, progress: attempts.RequestProgress
    ) -> verdict.Verdict:
        for pending in progress.pending_attempts.values():
            pending.peer.cancel(pending.attempt)
        done, unfinished = await asyncio.wait(
            progress.pending_attempts, timeout=CANCEL_GRACE_S
        )
        results = [self._complete_attempt(progress, future) for future in done]
        if not unfinished:
            for result in results:
                if result.outcome is verdict.Outcome.ANSWERED:
                    return result
            if all(
                result.outcome is verdict.Outcome.NOT_RUN for result in results
            ):
                return verdict.not_run(verdict.Reason.DEADLINE)
        return verdict.may_have_run(verdict.Reason.DEADLINE)

    def _cancel_pending(self, progress: attempts.RequestProgress) -> None:
        now_ms = self._clocks.monotonic_ms()
        cancelled = verdict.may_have_run(verdict.Reason.CANCELLED)
        for pending in progress.pending_attempts.values():
            pending.peer.cancel(pending.attempt)
            pending.state.on_result(pending.token, cancelled, now_ms)
        progress.pending_attempts.clear()
