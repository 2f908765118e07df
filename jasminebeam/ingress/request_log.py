"""Log lines that tell why a request of a caller ended as it did."""

from __future__ import annotations

import typing

from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.ingress import admission_client
    from jasminebeam.model import requests
    from jasminebeam.routing import table
    from jasminebeam import verdict


class RequestLog:
    """Writes what the dispatcher decides on a request.

    Parameters
    ----------
    log : EventLog
        Receives the events.
    configuration_state : callable
        Returns whence and how recently the node knows its configuration, as
        fields for the log.
    """

    def __init__(
        self,
        log: events.EventLog,
        configuration_state: typing.Callable[[], dict[str, object]],
    ) -> None:
        self._log = log
        self._configuration_state = configuration_state

    def attempt_sent(
        self,
        call: requests.Call,
        state: table.UpstreamState,
        attempt: int,
        wait_ms: float,
        now_ms: float,
    ) -> None:
        """Record an attempt, with the load sample that decided.

        Parameters
        ----------
        call : Call
            The request.
        state : UpstreamState
            Upstream that the attempt was sent to.
        attempt : int
            Number of the attempt, from 1.
        wait_ms : float
            Longest wait for a slot that the attempt accepts.
        now_ms : float
            Monotonic time.
        """
        sample = state.sample
        self._log.write(
            events.Event.ATTEMPT_SENT,
            request=call.request_id,
            service=call.service,
            attempt=attempt,
            member=state.member.node_id,
            sample_age_ms=round(now_ms - state.sample_ms) if sample else -1,
            in_flight=sample.in_flight if sample else -1,
            queued=sample.queued if sample else -1,
            slowness_percent=sample.slowness_percent if sample else -1,
            max_wait_ms=round(wait_ms),
        )

    def all_refuse(
        self,
        call: requests.Call,
        recommendation: admission_client.Recommendation,
    ) -> None:
        """Record that all sidecars that replied would refuse a request."""
        self._log.write(
            events.Event.ALL_REFUSE,
            request=call.request_id,
            service=call.service,
            asked=recommendation.queried,
            reason=recommendation.refusal.value,
        )

    def region_refused(self, call: requests.Call) -> None:
        """Record that no allowed region has an upstream."""
        self._log.write(
            events.Event.REGION_REFUSED,
            request=call.request_id,
            **call.team_field(),
            service=call.service,
            route=call.route,
            revision=call.revision,
            allowed=' '.join(sorted(call.allowed_regions or ())),
        )

    def request_ended(
        self,
        call: requests.Call,
        result: verdict.Verdict,
        attempts: int,
        started_ms: float,
        now_ms: float,
    ) -> None:
        """Record the verdict on a request.

        Parameters
        ----------
        call : Call
            The request.
        result : Verdict
            The verdict that the caller gets.
        attempts : int
            Number of attempts that were sent.
        started_ms, now_ms : float
            Monotonic time of the dispatch, and of its end.
        """
        self._log.write(
            events.Event.REQUEST_ENDED,
            request=call.request_id,
            **call.team_field(),
            route=call.route,
            priority=call.priority,
            revision=call.revision,
            **self._configuration_state(),
            outcome=result.outcome.value,
            reason=result.reason.value,
            status=result.answer.status if result.answer else 0,
            attempts=attempts,
            took_ms=round(now_ms - started_ms, 1),
            left_ms=round(call.deadline_ms - now_ms, 1),
        )
