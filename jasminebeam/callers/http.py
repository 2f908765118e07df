"""HTTP server for callers."""

from __future__ import annotations

import asyncio
import http
import math
import re
import typing

from aiohttp import hdrs
from aiohttp import web

from jasminebeam.admission import byte_budget
from jasminebeam import body_buffer
from jasminebeam import budget_sweeper
from jasminebeam.callers import authentication
from jasminebeam.callers import bodies
from jasminebeam.callers import connections
from jasminebeam.callers import dialect as dialect_module
from jasminebeam.callers import room
from jasminebeam.ingress import backoff
from jasminebeam.ingress import elapsed
from jasminebeam.model import requests
from jasminebeam.model import routes
from jasminebeam.telemetry import events
from jasminebeam.telemetry import team_counts
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    import random

    from jasminebeam.callers import pipelining
    from jasminebeam.quotas import dispatcher
    from jasminebeam.routing import probing
    from jasminebeam.telemetry import metrics

STOP_POLL_S = 0.01
MAX_ERROR_CHARS = 200
# The parser's errors quote what the caller has sent, as bytes. The quotation
# may be cut out of a header that carries a key.
_QUOTATION = re.compile(r"""b\\?['"].*""", re.DOTALL)


class CallerServer:
    """Reads complete requests, dispatches them and writes the verdicts.

    Parameters
    ----------
    matcher : Matcher
        Matches requests to services.
    dispatch : LimitedDispatcher
        Sends the requests to upstreams.
    probes : ProbePlanner
        Notified of the services in use.
    dialect : CallerDialect
        Translates requests and verdicts.
    limits : CallerLimits
        Limits that apply while the matcher has none.
    clock : callable
        Returns the monotonic time in ms.
    generator : random.Random
        Spreads the retries of callers over time.
    log : EventLog
        Records requests that no route matches.
    counters : Metrics
        Records latencies and counts refused requests.
    is_running : callable
        Returns True if the upstream on this host is running the request
        with the given identifier.
    configuration_state : callable
        Returns whence and how recently the node knows its configuration, as
        fields for the log.
    sweeper : BudgetSweeper
        Room of bodies and connections together.
    """

    def __init__(
        self,
        matcher: routes.Matcher,
        dispatch: dispatcher.LimitedDispatcher,
        probes: probing.ProbePlanner,
        dialect: dialect_module.CallerDialect,
        limits: routes.CallerLimits,
        clock: typing.Callable[[], float],
        generator: random.Random,
        log: events.EventLog,
        counters: metrics.Metrics,
        is_running: typing.Callable[[str], bool],
        configuration_state: typing.Callable[[], dict[str, object]],
        sweeper: budget_sweeper.BudgetSweeper,
    ) -> None:
        self._bodies = bodies.BodyReader(sweeper, self._on_body_ended)
        self._room = room.ConnectionRoom(
            sweeper.budget, clock, self._on_connections_closed
        )
        sweeper.on_short = self._room.close_stalled
        self._backlog = sweeper.budget.limits.backlog
        self._configuration_state = configuration_state
        self._is_running = is_running
        self._matcher = matcher
        self._dispatcher = dispatch
        self._probes = probes
        self._dialect = dialect
        self._default_limits = limits
        self._clock = clock
        self._generator = generator
        self._log = log
        self._counters = counters
        self._elapsed = elapsed.ElapsedEstimator()
        self._runner: web.ServerRunner | None = None
        self._in_progress = 0
        self._latest_deadline_ms = math.inf
        self.stopping = False

    async def start(self, host: str, port: int) -> None:
        """Listen for callers."""
        server = connections.LimitedServer(self, self._room)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, backlog=self._backlog)
        await site.start()

    async def stop(self, grace_s: float, end_ms: float) -> None:
        """Stop listening after a grace period; answer requests in progress.

        From the start of the grace period on, each keep-alive connection is
        closed with its next answer. After the grace period, requests that
        arrive over such a connection are refused as not run unless their
        deadline lies before the end of the stop.

        Parameters
        ----------
        grace_s : float
            Time for which the server still accepts new requests, so that
            callers can switch to other nodes.
        end_ms : float
            Monotonic instant at which requests in progress are cut.
        """
        self.stopping = True
        await asyncio.sleep(grace_s)
        self._latest_deadline_ms = end_ms
        for site in list(self._runner.sites):
            await site.stop()
        while self._in_progress:
            await asyncio.sleep(STOP_POLL_S)
        await self._runner.cleanup()

    @property
    def limits(self) -> routes.CallerLimits:
        """Limits in force."""
        return self._matcher.limits or self._default_limits

    def now_ms(self) -> float:
        """Return the monotonic time."""
        return self._clock()

    def is_idempotent(self, message: pipelining.Message) -> bool:
        """Return True if the request of a message may run more than once."""
        return self._matcher.is_idempotent(
            message.headers.get(hdrs.HOST, ''),
            message.method,
            message.url.path,
        )

    def on_oversized(self, received_bytes: int) -> None:
        """Record a request whose bytes exceed all limits."""
        self._counters.caller_errors.labels('oversized').inc()
        self._log.write(
            events.Event.REQUEST_OVERSIZED, received_bytes=received_bytes
        )

    def on_error(self, status: int, error: BaseException | None) -> None:
        """Record a malformed request or a failed handler."""
        self._counters.caller_errors.labels(str(status)).inc()
        event = events.Event.REQUEST_MALFORMED
        if status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            event = events.Event.REQUEST_FAILED
        text = _without_quotes(repr(error))[:MAX_ERROR_CHARS]
        self._log.write(event, status=int(status), error=text)

    def on_unread(self, unread_bytes: int) -> None:
        """Record an answer that the caller does not read."""
        self._counters.caller_errors.labels('unread').inc()
        self._log.write(events.Event.ANSWER_UNREAD, unread_bytes=unread_bytes)

    def _on_body_ended(
        self, cause: byte_budget.Cause, received_bytes: int
    ) -> None:
        self._counters.caller_errors.labels(f'body_{cause}').inc()
        self._log.write(
            events.Event.BODY_GIVEN_UP,
            cause=cause.value,
            received_bytes=received_bytes,
        )

    def _on_connections_closed(self, count: int, freed_bytes: int) -> None:
        self._counters.caller_errors.labels('closed').inc(count)
        self._log.write(
            events.Event.CONNECTIONS_CLOSED,
            count=count,
            freed_bytes=freed_bytes,
        )

    async def respond(
        self, request: web.BaseRequest, arrived_ms: float
    ) -> web.StreamResponse:
        """Return the response to a request.

        Parameters
        ----------
        request : BaseRequest
            Request with a complete header.
        arrived_ms : float
            Monotonic time at which the header was complete. A request may
            then have waited behind others on its connection.
        """
        self._in_progress += 1
        try:
            return await self._respond(request, arrived_ms)
        except dialect_module.ProblemError as error:
            status = str(error.problem.status)
            self._counters.caller_errors.labels(status).inc()
            response = self._dialect.write_problem(error.problem)
            if error.problem.status == http.HTTPStatus.UNAUTHORIZED:
                challenge = authentication.CHALLENGE
                response.headers[hdrs.WWW_AUTHENTICATE] = challenge
            return response
        except bodies.BodyEndedError as error:
            request.protocol.refuse_rest()
            return self._refuse_ended(error.cause)
        except bodies.BodyTooLargeError as error:
            request.protocol.refuse_rest()
            self._counters.caller_errors.labels('413').inc()
            return self._dialect.write_problem(
                dialect_module.Problem(413, 'body too large', str(error))
            )
        finally:
            self._in_progress -= 1

    async def _respond(
        self, request: web.BaseRequest, started_ms: float
    ) -> web.Response:
        match = self._match(request)
        if match is None:
            return self._refuse_unmatched(request)
        identity = self._identify(request, match)
        revision = self._matcher.revision
        body = await self._read_body(request, match, started_ms)
        if self._matcher.revision != revision:
            # The body may have taken longer than a change.
            match = self._match(request)
            if match is None:
                return self._refuse_unmatched(request)
            identity = self._identify(request, match)
        call = self._create_call(request, match, identity, body, started_ms)
        result = await self._dispatch(call, match)
        self._counters.team_requests.add(call.team, _team_outcome(result))
        if match.service.probe_share:
            size_bytes = _wire_bytes(call, result)
            self._probes.on_request(match.service, size_bytes, started_ms)
        now_ms = self._clock()
        duration_s = (now_ms - started_ms) / 1_000
        self._counters.latency.labels(match.service.name).observe(duration_s)
        retry_after_ms = backoff.retry_after_ms(
            call.deadline_ms - now_ms,
            self._generator.random(),
            result.retry_ms,
        )
        return self._dialect.write_verdict(result, retry_after_ms)

    def _match(self, request: web.BaseRequest) -> routes.RouteMatch | None:
        return self._matcher.route(request.host, request.method, request.path)

    def _identify(
        self, request: web.BaseRequest, match: routes.RouteMatch
    ) -> authentication.Identity:
        """Return the team of a request.

        Raises
        ------
        ProblemError
            If the request needs the key of a team and carries none.
        """
        identity = authentication.identify(
            match, request.headers.getall(hdrs.AUTHORIZATION, ())
        )
        if identity.refusal:
            reason = identity.refusal.value
            self._counters.keys_refused.labels(reason).inc()
            self._log.write(
                events.Event.KEY_REFUSED,
                reason=reason,
                route=match.route,
                revision=match.revision,
            )
            raise dialect_module.ProblemError(
                http.HTTPStatus.UNAUTHORIZED,
                'unauthorized',
                f'{hdrs.AUTHORIZATION} must carry the key of a team',
            )
        return identity

    async def _dispatch(
        self, call: requests.Call, match: routes.RouteMatch
    ) -> verdict.Verdict:
        reason = self._refusal_reason(call)
        if reason is verdict.Reason.NONE:
            return await self._dispatcher.dispatch(call, match.service)
        self._log.write(
            events.Event.REQUEST_REFUSED,
            request=call.request_id,
            reason=reason.value,
        )
        return verdict.not_run(reason)

    def _refusal_reason(self, call: requests.Call) -> verdict.Reason:
        if self._clock() >= call.deadline_ms:
            # The caller's time has passed while the request waited behind
            # others on its connection.
            return verdict.Reason.DEADLINE
        if (
            call.deadline_ms > self._latest_deadline_ms
            and call.priority != routes.NESTED_PRIORITY
        ):
            # A nested call is served: its parent ends together with it.
            return verdict.Reason.STOPPING
        return verdict.Reason.NONE

    def _refuse_unmatched(self, request: web.BaseRequest) -> web.Response:
        self._log.write(
            events.Event.REQUEST_UNMATCHED,
            host=request.host,
            path=request.path,
            revision=self._matcher.revision,
            **self._configuration_state(),
        )
        if not self._matcher.revision:
            result = verdict.not_run(verdict.Reason.NO_CONFIGURATION)
            retry_after_ms = backoff.NO_CONFIGURATION_RETRY_AFTER_MS
            return self._dialect.write_verdict(result, retry_after_ms)
        raise dialect_module.ProblemError(
            404, 'no such service', 'no route matches'
        )

    async def _read_body(
        self,
        request: web.BaseRequest,
        match: routes.RouteMatch,
        started_ms: float,
    ) -> body_buffer.Body:
        limit_bytes = self._bodies.limit_bytes(self.limits.body_bytes)
        body = self._bodies.read_arrived(request, limit_bytes)
        if body is not None:
            return body
        timeout_ms: float = match.timeout_ms
        time_left_ms = self._dialect.read(request).time_left_ms
        if time_left_ms is not None:
            timeout_ms = min(timeout_ms, time_left_ms)
        return await self._bodies.read(
            request, limit_bytes, started_ms + timeout_ms
        )

    def _refuse_ended(self, cause: byte_budget.Cause) -> web.Response:
        """Return the response to a request whose body was given up."""
        if cause is byte_budget.Cause.NO_ROOM:
            retry_after_ms = backoff.retry_after_ms(
                byte_budget.MAX_WAIT_MS, self._generator.random()
            )
            result = verdict.not_run(verdict.Reason.NO_MEMORY)
            return self._dialect.write_verdict(result, retry_after_ms)
        return self._dialect.write_problem(
            dialect_module.Problem(408, 'body incomplete', cause.value)
        )

    def _create_call(
        self,
        request: web.BaseRequest,
        match: routes.RouteMatch,
        identity: authentication.Identity,
        body: body_buffer.Body,
        started_ms: float,
    ) -> requests.Call:
        metadata = self._dialect.read(request)
        timeout_ms: float = match.timeout_ms
        elapsed_ms = 0.0
        if metadata.time_left_ms is not None:
            timeout_ms = min(timeout_ms, metadata.time_left_ms)
            elapsed_ms = self._elapsed.observe(
                match.route, metadata.time_left_ms
            )
        objective_ms = (match.objective_ms or timeout_ms) - elapsed_ms
        priority = identity.priority_class(match.priority)
        if metadata.parent_id and self._is_running(metadata.parent_id):
            priority = routes.NESTED_PRIORITY
            objective_ms = timeout_ms
        return requests.Call(
            request_id=metadata.request_id,
            service=match.service.name,
            method=request.method,
            target=request.raw_path,
            headers=authentication.identified_headers(
                metadata.headers, match, identity, self._dialect.team_header
            ),
            body=body,
            idempotent=match.idempotent,
            deadline_ms=started_ms + timeout_ms,
            key='' if match.idempotent else metadata.key,
            max_attempts=match.max_attempts,
            objective_ms=started_ms + objective_ms,
            priority=priority,
            route=match.route,
            revision=match.revision,
            team=identity.name,
            allowed_regions=identity.allowed_regions(match.allowed_regions),
        )


def _team_outcome(result: verdict.Verdict) -> str:
    """Return the outcome under which a team's request is counted."""
    if result.reason is verdict.Reason.TEAM_LIMITED:
        return team_counts.LIMITED
    return result.outcome.value


def _without_quotes(text: str) -> str:
    """Return an error without what it quotes of the request.

    Examples
    --------
    >>> _without_quotes("<E: bad char:\\n\\n b'Bearer secret'>")
    '<E: bad char:\\n\\n b...'
    """
    return _QUOTATION.sub('b...', text)


def _wire_bytes(call: requests.Call, result: verdict.Verdict) -> int:
    """Return the approximate size of a request and its answer."""
    size_bytes = len(call.target) + len(call.body)
    size_bytes += _header_bytes(call.headers)
    if result.answer is not None:
        size_bytes += len(result.answer.body)
        size_bytes += _header_bytes(result.answer.headers)
    return size_bytes


def _header_bytes(pairs: requests.Headers) -> int:
    return sum(len(name) + len(value) for name, value in pairs)
