"""Open-loop traffic towards callers' ports, and what came of it."""

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

VERDICT = 'Jasminebeam-Verdict'
REASON = 'Jasminebeam-Reason'
CUT = 'cut'
NOT_CONNECTED = 'not_connected'

MAX_LATENCY_US = 60_000_000
MAX_LAG_P99_MS = 20.0
CALLER_TIMEOUT_S = 30.0
PROGRESS_STEP_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """One kind of request at a constant mean rate.

    Parameters
    ----------
    name : str
        Name of the kind; part of the request ids.
    service : str
        Service that is called.
    method, path : str
        HTTP method and path.
    per_s : float
        Mean requests per second (Poisson arrivals).
    idempotent : bool
        True if the request may run more than once.
    start_s, end_s : float
        Part of the schedule in which the stream is active.
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
        Identifier that the upstream's runs are counted by.
    stream : Stream
        Kind of the request.
    outcome : str
        Value of the verdict header, ``cut`` for a connection that broke
        in the middle, or ``not_connected``.
    reason : str
        Value of the reason header.
    status : int
        HTTP status; 0 if there is none.
    right : bool
        False if the answer belongs to another request.
    latency_us : int
        Time since the scheduled start in microseconds.
    caller_port : int
        Port of the node that was called.
    """

    request_id: str
    stream: Stream
    outcome: str
    reason: str
    status: int
    right: bool
    latency_us: int
    caller_port: int


@dataclasses.dataclass(slots=True)
class Recorder:
    """Collects observations and the lag of the generator."""

    observations: list[Observation] = dataclasses.field(default_factory=list)
    lag: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    )
    processor_s: float = 0.0
    wall_s: float = 0.0

    def outcomes(self) -> collections.Counter[str]:
        """Return the number of requests by outcome."""
        return collections.Counter(
            observation.outcome for observation in self.observations
        )

    def lag_p99_ms(self) -> float:
        """Return the 99th percentile of the lag behind the schedule."""
        return self.lag.get_value_at_percentile(99) / 1_000

    def valid(self) -> bool:
        """Return False if the generator itself was too slow."""
        return self.lag_p99_ms() <= MAX_LAG_P99_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Address of a node's HTTP server towards callers."""

    host: str
    port: int


Choose = typing.Callable[[], Entry]


async def run(
    streams: typing.Sequence[Stream],
    choose_entry: Choose,
    duration_s: float,
    seed: int,
    prefix: str,
    on_progress: typing.Callable[[float], None] = lambda seconds: None,
) -> Recorder:
    """Send the streams' requests on schedule and return what happened.

    Parameters
    ----------
    streams : sequence of Stream
        Kinds of requests.
    choose_entry : callable
        Returns the node to call.
    duration_s : float
        Length of the schedule.
    seed : int
        Seed of the arrival times.
    prefix : str
        Start of all request ids.
    on_progress : callable
        Receives the seconds of each step of the schedule.
    """
    recorder = Recorder()
    planned = schedule(streams, duration_s, seed)
    started_s = time.perf_counter()
    processor_s = time.process_time()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S),
    ) as session:
        # A repetition by the client would count as a second run.
        session._retry_connection = False
        tasks = set()
        reported_s = 0.0
        for number, (at_s, stream) in enumerate(planned):
            due_s = started_s + at_s
            await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            if at_s - reported_s > PROGRESS_STEP_S:
                on_progress(at_s - reported_s)
                reported_s = at_s
            request_id = f'{prefix}-{stream.name}-{number}'
            sending = _send(
                session, recorder, stream, request_id, choose_entry(), due_s
            )
            task = asyncio.create_task(sending)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
    recorder.processor_s = time.process_time() - processor_s
    recorder.wall_s = time.perf_counter() - started_s
    return recorder


def schedule(
    streams: typing.Sequence[Stream], duration_s: float, seed: int
) -> list[tuple[float, Stream]]:
    """Return the arrival times in seconds, in order."""
    generator = random.Random(seed)
    planned = []
    for stream in streams:
        end_s = min(stream.end_s, duration_s)
        at_s = stream.start_s + generator.expovariate(stream.per_s)
        while at_s < end_s:
            planned.append((at_s, stream))
            at_s += generator.expovariate(stream.per_s)
    planned.sort(key=lambda item: item[0])
    return planned


async def _send(
    session: aiohttp.ClientSession,
    recorder: Recorder,
    stream: Stream,
    request_id: str,
    entry: Entry,
    due_s: float,
) -> None:
    lag_us = int((time.perf_counter() - due_s) * 1e6)
    recorder.lag.record_value(max(1, lag_us))
    outcome, reason, status, right = CUT, '', 0, True
    try:
        async with session.request(
            stream.method,
            f'http://{entry.host}:{entry.port}{stream.path}',
            headers={
                'Host': f'{stream.service}.example',
                'X-Request-Id': request_id,
            },
        ) as response:
            body = await response.read()
            status = response.status
            outcome = response.headers.get(VERDICT, 'no_verdict')
            reason = response.headers.get(REASON, '')
            if status == 200:
                right = body == request_id.encode()
    except aiohttp.ClientConnectorError:
        outcome = NOT_CONNECTED
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
            right,
            latency_us,
            entry.port,
        )
    )
