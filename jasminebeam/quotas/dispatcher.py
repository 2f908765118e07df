"""Dispatcher that applies the rate limits of teams."""

from __future__ import annotations

import typing

from jasminebeam.model import routes
from jasminebeam.quotas import team_state
from jasminebeam.telemetry import events
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.ingress import dispatcher
    from jasminebeam.model import requests
    from jasminebeam.model import services
    from jasminebeam.quotas import task


class LimitedDispatcher:
    """Takes a token for each request of a limited team, then dispatches it.

    Retries and hedges of a request take no further token, nor do the calls
    of running requests.

    Parameters
    ----------
    dispatch : Dispatcher
        Sends the requests to upstreams.
    limits : TeamLimitTask
        Gives out the tokens.
    clock : callable
        Returns the monotonic time in ms, as in the deadlines of calls.
    log : EventLog
        Records refused requests.
    """

    def __init__(
        self,
        dispatch: dispatcher.Dispatcher,
        limits: task.TeamLimitTask,
        clock: typing.Callable[[], float],
        log: events.EventLog,
    ) -> None:
        self._dispatcher = dispatch
        self._limits = limits
        self._clock = clock
        self._log = log

    async def dispatch(
        self, call: requests.Call, service: services.Service
    ) -> verdict.Verdict:
        """Return the verdict on a request."""
        if (
            not call.team
            or call.priority == routes.NESTED_PRIORITY
            # Refused at once, without a wait for a token.
            or not self._dispatcher.can_be_served(call, service)
        ):
            return await self._dispatcher.dispatch(call, service)
        left_ms = call.deadline_ms - self._clock()
        decision = await self._limits.acquire(call.team, left_ms)
        if isinstance(decision, team_state.Refused):
            self._log.write(
                events.Event.REQUEST_REFUSED,
                request=call.request_id,
                **call.team_field(),
                reason=verdict.Reason.TEAM_LIMITED.value,
            )
            return verdict.not_run(
                verdict.Reason.TEAM_LIMITED, decision.wait_ms
            )
        result = await self._dispatcher.dispatch(call, service)
        if result.outcome is verdict.Outcome.NOT_RUN:
            self._limits.put_back(call.team, decision)
        return result
