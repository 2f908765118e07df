"""Bound on latency, from a replay of the arrivals with perfect knowledge."""

from __future__ import annotations

import dataclasses
import heapq
import random


@dataclasses.dataclass(frozen=True, slots=True)
class Slowdown:
    """A period in which one upstream is slow.

    Parameters
    ----------
    upstream : int
        Index of the upstream.
    start_s, end_s : float
        Start and end in seconds since the start of the run.
    factor : float
        Multiple of the service time.
    """

    upstream: int
    start_s: float
    end_s: float
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamParameters:
    """Number, slots and service time of the upstreams.

    Parameters
    ----------
    count, slots : int
        Number of upstreams, and slots of each.
    service_ms, sigma : float
        Mean of the log-normal service time, and the standard deviation
        of its logarithm.
    """

    count: int
    slots: int
    service_ms: float
    sigma: float


def replay(
    arrivals_s: list[float],
    parameters: UpstreamParameters,
    slowdowns: list[Slowdown],
    seed: int,
) -> list[float]:
    """Return the latencies in ms that perfect knowledge achieves.

    Each request takes the slot, among those of all upstreams, in which it
    completes first. Current and future slowdowns are known. The service
    times follow the distribution of the stand-in upstreams.
    """
    generator = random.Random(seed)
    slot_free_s = [[0.0] * parameters.slots for _ in range(parameters.count)]
    mean_log = -(parameters.sigma**2) / 2
    latencies_ms = []
    for at_s in arrivals_s:
        work_ms = parameters.service_ms * generator.lognormvariate(
            mean_log, parameters.sigma
        )
        best = min(
            (
                _completion_time_s(
                    upstream, max(at_s, slots[0]), work_ms, slowdowns
                ),
                upstream,
            )
            for upstream, slots in enumerate(slot_free_s)
        )
        done_s, upstream = best
        heapq.heapreplace(slot_free_s[upstream], done_s)
        latencies_ms.append((done_s - at_s) * 1_000)
    return latencies_ms


def _completion_time_s(
    upstream: int,
    start_s: float,
    work_ms: float,
    slowdowns: list[Slowdown],
) -> float:
    """Return when a request completes that slowdowns may delay.

    Parameters
    ----------
    upstream : int
        Index of the upstream that runs the request.
    start_s : float
        Start of the request.
    work_ms : float
        Service time without slowdowns.
    slowdowns : list of Slowdown
        Slowdowns of all upstreams, ordered by their start.
    """
    at_s = start_s
    remaining_s = work_ms / 1_000
    for slowdown in slowdowns:
        if slowdown.upstream != upstream or slowdown.end_s <= at_s:
            continue
        normal_s = max(0.0, slowdown.start_s - at_s)
        if remaining_s <= normal_s:
            break
        remaining_s -= normal_s
        at_s += normal_s
        slow_work_s = (slowdown.end_s - at_s) / slowdown.factor
        if remaining_s <= slow_work_s:
            return at_s + remaining_s * slowdown.factor
        remaining_s -= slow_work_s
        at_s = slowdown.end_s
    return at_s + remaining_s


def noisy_neighbours(
    count: int, duration_s: float, factor: float, seed: int
) -> list[Slowdown]:
    """Return slowdowns of 50 to 500 ms of every third upstream.

    Every third upstream has noisy neighbours. It is slow for about a third
    of the time, in random periods.
    """
    generator = random.Random(seed)
    slowdowns = []
    for upstream in range(0, count, 3):
        at_s = generator.uniform(0.0, 0.8)
        while at_s < duration_s:
            length_s = generator.uniform(0.05, 0.5)
            slowdowns.append(Slowdown(upstream, at_s, at_s + length_s, factor))
            # On average, the time between two slowdowns is twice as long as
            # a slowdown.
            at_s += length_s + generator.uniform(0.1, 1.0)
    slowdowns.sort(key=lambda slowdown: slowdown.start_s)
    return slowdowns
