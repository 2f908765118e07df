"""Sends open-loop traffic to the nodes' caller ports; records outcomes."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import math
import random
import time
import typing

import aiohttp
from hdrh import histogram

from bench import http_sessions
from jasminebeam import http_client

VERDICT = 'Jasminebeam-Verdict'
REASON = 'Jasminebeam-Reason'
CUT = 'cut'
MALFORMED = 'malformed'
NOT_CONNECTED = 'not_connected'

# The second one is for what the parser of aiohttp refuses by itself.
_MALFORMED_ERRORS = (
    http_client.MalformedResponseError,
    aiohttp.ClientResponseError,
)

MAX_LATENCY_US = 60_000_000
MAX_LAG_P99_MS = 20.0
CALLER_TIMEOUT_S = 30.0
PROGRESS_STEP_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """One kind of request, sent at a constant mean rate.

    Parameters
    ----------
    name : str
        Name of the stream; part of the request ids.
    service : str
        Service that the requests are addressed to.
    method, path : str
        HTTP method and path.
    per_s : float
        Mean requests per second (Poisson arrivals).
    idempotent : bool
        True if the request may run more than once.
    start_s, end_s : float
        Period of the schedule in which the stream sends requests.
    """

    name: str
    service: str
    method: str
    path: str
    per_s: float
    idempotent: bool
    start_s: float = 0.0
    end_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Outcome of one request.

    Parameters
    ----------
    request_id : str
        Identifier under which the upstreams count runs.
    stream : Stream
        Stream that the request belongs to.
    outcome : str
        Value of the verdict header, ``no_verdict`` for a response without
        it, ``malformed`` for bytes that are no response, ``cut`` for a
        connection that broke or timed out before the end of the response,
        or ``not_connected``.
    reason : str
        Value of the reason header, or the name of the client's error.
    status : int
        HTTP status; 0 if no response arrived.
    answer_matches : bool
        False if a response with status 200 belongs to another request, or
        if a response is malformed.
    latency_us : int
        Time since the scheduled arrival in microseconds.
    caller_port : int
        Port of the node that was called.
    due_s : float
        Scheduled arrival, in seconds since the start of the traffic.
    """

    request_id: str
    stream: Stream
    outcome: str
    reason: str
    status: int
    answer_matches: bool
    latency_us: int
    caller_port: int
    due_s: float


# Stands for the request that unsolicited bytes do not have.
_UNSOLICITED = Stream('unsolicited', '', '', '', 0.0, True)


@dataclasses.dataclass(slots=True)
class Recorder:
    """Collects observations and the lag of the load generator in us."""

    observations: list[Observation] = dataclasses.field(default_factory=list)
    lag_us: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    )
    cpu_time_s: float = 0.0
    wall_s: float = 0.0

    def on_unsolicited(self, received_bytes: int) -> None:
        """Record bytes of a node that answer no request."""
        self.observations.append(
            Observation(
                request_id='',
                stream=_UNSOLICITED,
                outcome=MALFORMED,
                reason=f'{received_bytes} unsolicited bytes',
                status=0,
                answer_matches=False,
                latency_us=0,
                caller_port=0,
                due_s=0.0,
            )
        )

    def outcomes(self) -> collections.Counter[str]:
        """Return the number of requests by outcome."""
        return collections.Counter(
            observation.outcome for observation in self.observations
        )

    def lag_p99_ms(self) -> float:
        """Return the 99th percentile of the lag behind the schedule."""
        return self.lag_us.get_value_at_percentile(99) / 1_000

    def valid(self) -> bool:
        """Return False if the load generator lagged too far behind."""
        return self.lag_p99_ms() <= MAX_LAG_P99_MS


class CallerDialect(typing.Protocol):
    """How callers send requests and read verdicts."""

    def headers(self, stream: Stream, request_id: str) -> dict[str, str]:
        """Return the headers of a request."""

    def outcome(self, response: aiohttp.ClientResponse) -> tuple[str, str]:
        """Return the outcome that a response states, and its reason."""


class NativeCallerDialect:
    """Callers of jasminebeam's own HTTP interface."""

    def headers(self, stream: Stream, request_id: str) -> dict[str, str]:
        """Return the Host header and the request id."""
        return {
            'Host': f'{stream.service}.example',
            'X-Request-Id': request_id,
        }

    def outcome(self, response: aiohttp.ClientResponse) -> tuple[str, str]:
        """Return the headers of the verdict."""
        headers = response.headers
        return headers.get(VERDICT, 'no_verdict'), headers.get(REASON, '')


NATIVE = NativeCallerDialect()


@dataclasses.dataclass(frozen=True, slots=True)
class IngressAddress:
    """Address of a node's HTTP server for callers."""

    host: str
    port: int


IngressChooser = typing.Callable[[], IngressAddress]


async def run(
    streams: typing.Sequence[Stream],
    choose_ingress: IngressChooser,
    duration_s: float,
    seed: int,
    prefix: str,
    on_progress: typing.Callable[[float], None] = lambda seconds: None,
    dialect: CallerDialect = NATIVE,
) -> Recorder:
    """Send the streams' requests on schedule and return the recorder.

    Parameters
    ----------
    streams : sequence of Stream
        Streams to send.
    choose_ingress : callable
        Returns the address of the node for the next request.
    duration_s : float
        Length of the schedule.
    seed : int
        Seed of the arrival times.
    prefix : str
        Prefix of all request ids.
    on_progress : callable
        Receives the number of seconds by which the schedule advanced.
    dialect : CallerDialect
        Writes requests and reads verdicts.
    """
    recorder = Recorder()
    arrivals = schedule(streams, duration_s, seed)
    started_s = time.perf_counter()
    cpu_time_s = time.process_time()
    async with http_sessions.create(
        CALLER_TIMEOUT_S, 0, recorder.on_unsolicited
    ) as session:
        tasks = set()
        reported_s = 0.0
        for number, (at_s, stream) in enumerate(arrivals):
            due_s = started_s + at_s
            await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            if at_s - reported_s > PROGRESS_STEP_S:
                on_progress(at_s - reported_s)
                reported_s = at_s
            request_id = f'{prefix}-{stream.name}-{number}'
            coroutine = _send(
                session,
                recorder,
                stream,
                request_id,
                choose_ingress(),
                due_s,
                at_s,
                dialect,
            )
            task = asyncio.create_task(coroutine)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
    recorder.cpu_time_s = time.process_time() - cpu_time_s
    recorder.wall_s = time.perf_counter() - started_s
    return recorder


def schedule(
    streams: typing.Sequence[Stream], duration_s: float, seed: int
) -> list[tuple[float, Stream]]:
    """Return the arrival times in seconds with their streams, in order."""
    generator = random.Random(seed)
    arrivals = []
    for stream in streams:
        end_s = min(stream.end_s, duration_s)
        at_s = stream.start_s + generator.expovariate(stream.per_s)
        while at_s < end_s:
            arrivals.append((at_s, stream))
            at_s += generator.expovariate(stream.per_s)
    arrivals.sort(key=lambda item: item[0])
    return arrivals


async def _send(
    session: aiohttp.ClientSession,
    recorder: Recorder,
    stream: Stream,
    request_id: str,
    ingress: IngressAddress,
    due_s: float,
    at_s: float,
    dialect: CallerDialect,
) -> None:
    lag_us = int((time.perf_counter() - due_s) * 1e6)
    recorder.lag_us.record_value(max(1, lag_us))
    outcome, reason, status, answer_matches = CUT, '', 0, True
    try:
        async with session.request(
            stream.method,
            f'http://{ingress.host}:{ingress.port}{stream.path}',
            headers=dialect.headers(stream, request_id),
        ) as response:
            body = await response.read()
            status = response.status
            outcome, reason = dialect.outcome(response)
            if status == 200:
                answer_matches = body == request_id.encode()
    except aiohttp.ClientConnectorError:
        outcome = NOT_CONNECTED
    except _MALFORMED_ERRORS as error:
        outcome, reason = MALFORMED, type(error).__name__
        answer_matches = False
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = type(error).__name__
    latency_us = int((time.perf_counter() - due_s) * 1e6)
    recorder.observations.append(
        Observation(
            request_id,
            stream,
            outcome,
            reason,
            status,
            answer_matches,
            latency_us,
            ingress.port,
            at_s,
        )
    )
