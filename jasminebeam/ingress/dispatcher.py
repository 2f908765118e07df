"""Ingress role: carries one request through its attempts."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import math
import typing

from jasminebeam.retries import budget
from jasminebeam.retries import policy
from jasminebeam.retries import quantile
from jasminebeam.routing import table
from jasminebeam.telemetry import events
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    import random

    import prometheus_client

    from jasminebeam.ingress import admission_client
    from jasminebeam.ingress import sources
    from jasminebeam.model import requests
    from jasminebeam.model import services
    from jasminebeam.peering import peers
    from jasminebeam.routing import selection
    from jasminebeam.telemetry import metrics

FIRST_HEDGE_MS = 50.0
# Routes with an objective begin with this share of it: a node that has just
# started must not take usual requests for slow ones.
FIRST_HEDGE_SHARE = 0.5
# Estimates kept; configurations bring new routes all the time.
MAX_LATENCIES = 4_096
MIN_HEDGE_MS = 2.0
CANCEL_GRACE_S = 0.05
# Each node may save up one retry and one hedge a service: summed over 14
# nodes, and once more after all have restarted, that is below the 64 that
# the users allow beyond the ratio.
RETRY_BURST = 1.0
HEDGE_BURST = 1.0
REROUTE_RATIO = 1.0
REROUTE_BURST = 40.0


@dataclasses.dataclass(slots=True)
class _ServiceBudgets:
    retries: budget.RatioBudget
    hedges: budget.RatioBudget
    reroutes: budget.RatioBudget
    options: tuple[float, float, float]


@dataclasses.dataclass(slots=True, eq=False)
class _Sending:
    token: int
    state: table.UpstreamState
    peer: peers.Peer
    attempt: peers.Attempt
    hedge: bool
    sent_ms: float


@dataclasses.dataclass(slots=True, eq=False)
class _Progress:
    call: requests.Call
    service: services.Service
    budgets: _ServiceBudgets
    latency: quantile.QuantileEstimate
    started_ms: float
    attempts: int = 0
    reached: int = 0
    accepts_queueing: bool = False
    tried: set[str] = dataclasses.field(default_factory=set)
    sendings: dict[asyncio.Future[verdict.Verdict], _Sending] = (
        dataclasses.field(default_factory=dict)
    )
    hedged: bool = False
    ran: verdict.Verdict | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Clocks:
    """Sources of monotonic and wall-clock time in ms."""

    monotonic_ms: typing.Callable[[], float]
    wall_ms: typing.Callable[[], float]


class Dispatcher:
    """Chooses upstreams, sends, retries and hedges.

    Parameters
    ----------
    selector : Selector
        Chooses the upstreams.
    source : PeerSource
        Gives access to the sidecars.
    generator : random.Random
        Source of jitter.
    clocks : Clocks
        Sources of time.
    log, counters
        Receive ejections, retries and hedges.
    asker : Asker
        Asks sidecars what a request would get.
    """

    def __init__(
        self,
        selector: selection.Selector,
        source: sources.PeerSource,
        generator: random.Random,
        clocks: Clocks,
        log: events.EventLog,
        counters: metrics.Metrics,
        admission: admission_client.AdmissionClient,
    ) -> None:
        self._admission = admission
        self._selector = selector
        self._source = source
        self._generator = generator
        self._clocks = clocks
        self._log = log
        self._counters = counters
        self._tokens = itertools.count(1)
        self._budgets: dict[str, _ServiceBudgets] = {}
        self._latencies: dict[tuple[str, str], quantile.QuantileEstimate] = {}
        self._outcomes: dict[
            tuple[str, verdict.Outcome], prometheus_client.Counter
        ] = {}

    async def dispatch(
        self, call: requests.Call, service: services.Service
    ) -> verdict.Verdict:
        """Return the verdict on a request.

        Cancelling the task withdraws the attempts in progress.
        """
        budgets = self._budgets_of(service)
        budgets.retries.earn()
        budgets.hedges.earn()
        budgets.reroutes.earn()
        started_ms = self._clocks.monotonic_ms()
        latency = self._latency_of(call, service, started_ms)
        progress = _Progress(call, service, budgets, latency, started_ms)
        try:
            result = await self._attempt_all(progress)
        finally:
            self._withdraw(progress)
        self._count(service.name, result.outcome)
        self._note_end(progress, result)
        return result

    def _note_end(self, progress: _Progress, result: verdict.Verdict) -> None:
        call = progress.call
        now_ms = self._clocks.monotonic_ms()
        self._log.write(
            events.Event.REQUEST_ENDED,
            request=call.request_id,
            route=call.route,
            priority=call.priority,
            revision=call.revision,
            outcome=result.outcome.value,
            reason=result.reason.value,
            status=result.answer.status if result.answer else 0,
            attempts=progress.attempts,
            took_ms=round(now_ms - progress.started_ms, 1),
            left_ms=round(call.deadline_ms - now_ms, 1),
        )

    def _count(self, service: str, outcome: verdict.Outcome) -> None:
        name = (service, outcome)
        counter = self._outcomes.get(name)
        if counter is None:
            counter = self._counters.requests.labels(service, outcome.value)
            self._outcomes[name] = counter
        counter.inc()

    async def _attempt_all(self, progress: _Progress) -> verdict.Verdict:
        refused = await self._send_advised(progress)
        if refused is not None:
            return refused
        while True:
            result = await self._next_result(progress)
            now_ms = self._clocks.monotonic_ms()
            if result.outcome is not verdict.Outcome.NOT_RUN:
                progress.ran = result
            if result.outcome is verdict.Outcome.ANSWERED:
                taken_ms = now_ms - progress.started_ms
                progress.latency.add(taken_ms)
            if progress.sendings and policy.is_worth_waiting(
                progress.call, result, now_ms
            ):
                continue
            step = policy.decide(
                progress.call,
                result,
                progress.attempts,
                progress.reached + len(progress.sendings),
                now_ms,
            )
            if step is policy.Action.RETURN:
                return self._conclude(progress, result)
            if not await self._retry(progress, result):
                return self._conclude(progress, result)

    def _conclude(
        self, progress: _Progress, result: verdict.Verdict
    ) -> verdict.Verdict:
        # An earlier attempt may have run even if the last one did not.
        if result.outcome is verdict.Outcome.NOT_RUN and progress.ran:
            result = progress.ran
        if result.answer is not None and verdict.is_failure(result):
            return verdict.answered(policy.mark_final(result.answer))
        return result

    async def _retry(
        self, progress: _Progress, result: verdict.Verdict
    ) -> bool:
        service = progress.service.name
        reason = result.reason.value
        if result.answer is not None:
            reason = verdict.Reason.SERVER_ERROR.value
        if progress.accepts_queueing or not policy.is_reroute(result):
            allowed = progress.budgets.retries.take()
        else:
            # Without budget the next attempt waits where it is sent.
            progress.accepts_queueing = not progress.budgets.reroutes.take()
            allowed = True
        if not allowed:
            self._counters.retries_denied.labels(service, reason).inc()
            return False
        jitter = self._generator.random()
        delay_ms = policy.delay_ms(progress.attempts, jitter)
        if delay_ms:
            await asyncio.sleep(delay_ms / 1_000)
        again = policy.is_reroute(result)
        if await self._send_advised(progress, again=again) is not None:
            return False
        self._counters.retries.labels(service, reason).inc()
        return True

    async def _send_advised(
        self, progress: _Progress, again: bool = False
    ) -> verdict.Verdict | None:
        """Send to the upstream that sidecars' replies show to be best."""
        call = progress.call
        if not call.key:
            ranked = self._selector.rank(
                progress.service,
                progress.tried,
                self._clocks.monotonic_ms(),
                self._clocks.wall_ms(),
            )
            advice = await self._admission.advise(call, ranked)
            if advice.refusal is not verdict.Reason.NONE:
                self._note_refused(progress, advice)
                return verdict.not_run(advice.refusal)
            if advice.state is not None:
                now_ms = self._clocks.monotonic_ms()
                wait_ms = policy.max_wait_after_estimate_ms(advice.wait_ms)
                self._send_to(progress, advice.state, now_ms, wait_ms)
                return None
        return self._send(progress, hedge=False, again=again)

    def _note_refused(
        self, progress: _Progress, advice: admission_client.Advice
    ) -> None:
        self._log.write(
            events.Event.ALL_REFUSE,
            request=progress.call.request_id,
            service=progress.service.name,
            asked=advice.asked,
            reason=advice.refusal.value,
        )

    def _send(
        self, progress: _Progress, hedge: bool, again: bool = False
    ) -> verdict.Verdict | None:
        call = progress.call
        now_ms = self._clocks.monotonic_ms()
        if call.key:
            choice = self._selector.choose_owner(progress.service, call.key)
        else:
            choice = self._selector.choose(
                progress.service,
                progress.tried,
                now_ms,
                self._clocks.wall_ms(),
            )
        if choice.state is None and again:
            # All have refused: the request waits at the next one.
            progress.tried.clear()
            progress.accepts_queueing = True
            choice = self._selector.choose(
                progress.service, (), now_ms, self._clocks.wall_ms()
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
        progress: _Progress,
        state: table.UpstreamState,
        now_ms: float,
        wait_ms: float,
        hedge: bool = False,
    ) -> None:
        call = progress.call
        member = state.member
        peer = self._source.peer(member.node_id, member.address)
        token = next(self._tokens)
        state.on_sent(token, now_ms)
        attempt = peer.submit(call, wait_ms)
        self._note_sent(progress, state, wait_ms, now_ms)
        sending = _Sending(token, state, peer, attempt, hedge, now_ms)
        progress.sendings[attempt.future] = sending
        progress.tried.add(member.node_id)
        progress.attempts += 1

    def _note_sent(
        self,
        progress: _Progress,
        state: table.UpstreamState,
        wait_ms: float,
        now_ms: float,
    ) -> None:
        sample = state.sample
        self._log.write(
            events.Event.ATTEMPT_SENT,
            request=progress.call.request_id,
            service=progress.service.name,
            attempt=progress.attempts + 1,
            member=state.member.node_id,
            sample_age_ms=round(now_ms - state.sample_ms) if sample else -1,
            in_flight=sample.in_flight if sample else -1,
            queued=sample.queued if sample else -1,
            slowness_percent=sample.slowness_percent if sample else -1,
            max_wait_ms=round(wait_ms),
        )

    async def _next_result(self, progress: _Progress) -> verdict.Verdict:
        while True:
            timeout_ms = self._wait_ms(progress)
            done, _ = await asyncio.wait(
                progress.sendings,
                timeout=timeout_ms / 1_000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                return self._settle(progress, done.pop())
            now_ms = self._clocks.monotonic_ms()
            if now_ms >= progress.call.deadline_ms:
                return await self._time_out(progress)
            self._on_slow(progress)

    def _wait_ms(self, progress: _Progress) -> float:
        now_ms = self._clocks.monotonic_ms()
        left_ms = max(0.0, progress.call.deadline_ms - now_ms)
        if progress.hedged:
            return left_ms
        hedge_at_ms = progress.started_ms + max(
            MIN_HEDGE_MS, progress.latency.value_ms
        )
        return min(left_ms, max(0.0, hedge_at_ms - now_ms))

    def _on_slow(self, progress: _Progress) -> None:
        progress.hedged = True
        service = progress.service.name
        if not progress.call.idempotent:
            # What has not begun comes back and can go elsewhere.
            for sending in progress.sendings.values():
                if not progress.call.key:
                    sending.peer.revoke(sending.attempt)
            return
        reached = progress.reached + len(progress.sendings)
        if reached >= progress.call.max_attempts:
            return
        if not progress.budgets.hedges.take():
            reason = verdict.Reason.HEDGE.value
            self._counters.retries_denied.labels(service, reason).inc()
            return
        if self._send(progress, hedge=True) is None:
            self._counters.hedges.labels(service, 'sent').inc()

    def _settle(
        self,
        progress: _Progress,
        future: asyncio.Future[verdict.Verdict],
    ) -> verdict.Verdict:
        sending = progress.sendings.pop(future)
        result = future.result()
        if policy.may_have_reached_upstream(result):
            progress.reached += 1
        now_ms = self._clocks.monotonic_ms()
        self._record(progress.service.name, sending, result, now_ms)
        if sending.hedge and result.outcome is verdict.Outcome.ANSWERED:
            self._counters.hedges.labels(progress.service.name, 'won').inc()
        return result

    def _record(
        self,
        service: str,
        sending: _Sending,
        result: verdict.Verdict,
        now_ms: float,
    ) -> None:
        state = sending.state
        self._log.write(
            events.Event.ATTEMPT_ENDED,
            request=sending.attempt.call.request_id,
            member=state.member.node_id,
            outcome=result.outcome.value,
            reason=result.reason.value,
            status=result.answer.status if result.answer else 0,
            took_ms=round(now_ms - sending.sent_ms, 1),
        )
        if state.on_result(sending.token, result, now_ms):
            self._counters.ejections.labels(service).inc()
            self._log.write(
                events.Event.UPSTREAM_EJECTED,
                service=service,
                member=state.member.node_id,
                reason=result.reason.value,
            )

    async def _time_out(self, progress: _Progress) -> verdict.Verdict:
        for sending in progress.sendings.values():
            sending.peer.cancel(sending.attempt)
        done, pending = await asyncio.wait(
            progress.sendings, timeout=CANCEL_GRACE_S
        )
        results = [self._settle(progress, future) for future in done]
        if not pending:
            for result in results:
                if result.outcome is verdict.Outcome.ANSWERED:
                    return result
            if all(
                result.outcome is verdict.Outcome.NOT_RUN for result in results
            ):
                return verdict.not_run(verdict.Reason.DEADLINE)
        return verdict.may_have_run(verdict.Reason.DEADLINE)

    def _withdraw(self, progress: _Progress) -> None:
        now_ms = self._clocks.monotonic_ms()
        cancelled = verdict.may_have_run(verdict.Reason.CANCELLED)
        for sending in progress.sendings.values():
            sending.peer.cancel(sending.attempt)
            sending.state.on_result(sending.token, cancelled, now_ms)
        progress.sendings.clear()

    def _latency_of(
        self,
        call: requests.Call,
        service: services.Service,
        now_ms: float,
    ) -> quantile.QuantileEstimate:
        name = (service.name, call.route)
        known = self._latencies.get(name)
        if known is None:
            first_ms = FIRST_HEDGE_MS
            if call.objective_ms < math.inf:
                left_ms = call.objective_ms - now_ms
                first_ms = max(first_ms, FIRST_HEDGE_SHARE * left_ms)
            known = quantile.QuantileEstimate(service.hedge_quantile, first_ms)
            if len(self._latencies) >= MAX_LATENCIES:
                self._latencies.clear()
            self._latencies[name] = known
        return known

    def _budgets_of(self, service: services.Service) -> _ServiceBudgets:
        options = (
            service.retry_ratio,
            service.hedge_ratio,
            service.hedge_quantile,
        )
        known = self._budgets.get(service.name)
        if known is None or known.options != options:
            known = _ServiceBudgets(
                _budget(service.retry_ratio, RETRY_BURST),
                _budget(service.hedge_ratio, HEDGE_BURST),
                budget.RatioBudget(REROUTE_RATIO, REROUTE_BURST),
                options,
            )
            self._budgets[service.name] = known
        return known


def _budget(ratio: float, burst: float) -> budget.RatioBudget:
    """Return a budget; a ratio of 0 allows nothing, not even a burst."""
    return budget.RatioBudget(ratio, burst if ratio else 0.0)
