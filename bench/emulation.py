"""Compares routing policies in emulated fleets, in virtual time."""

from __future__ import annotations

import asyncio
import dataclasses
import random

import tabulate

from bench import emulator
from jasminebeam.ingress import backoff
from jasminebeam.model import requests
from jasminebeam.model import services
from jasminebeam import verdict

# Name of the policy, and whether the upstreams report the slowness of their
# hosts to their sidecars.
VARIANTS = (
    ('random', False),
    ('round_robin', False),
    ('two_choices', False),
    ('round_robin', True),
    ('two_choices', True),
    ('least_cost', True),
)


DEFAULT_FLEET = emulator.FleetSpec()


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Offered load and the fleet that receives it.

    Parameters
    ----------
    fleet : FleetSpec
        Size and behaviour of the fleet.
    load : float
        Offered load as a share of the capacity. The capacity is the rate
        that the usable slots serve at the median service time on hosts
        that are not slow.
    burst_load : float
        Offered load during the burst, as a share of the same capacity.
    burst_s : tuple of float
        Start and end of the burst.
    length_s : float
        Time during which requests arrive.
    objective_ms, deadline_ms : float
        Latency objective, up to which an answer counts as timely, and
        time after which the caller gives up.
    retries : int
        Maximum number of times that a caller retries a request that did
        not run.
    """

    fleet: emulator.FleetSpec = DEFAULT_FLEET
    load: float = 0.4
    burst_load: float = 0.4
    burst_s: tuple[float, float] = (0.0, 0.0)
    length_s: float = 20.0
    objective_ms: float = 300.0
    deadline_ms: float = 1_200.0
    retries: int = 1


PLANS = {
    'emulated_noise': Plan(),
    'emulated_burst': Plan(load=0.4, burst_load=1.3, burst_s=(5.0, 12.0)),
    'emulated_quiet_hosts': Plan(
        fleet=emulator.FleetSpec(noise=emulator.Noise(0.0))
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Results of one policy, as its callers see them.

    Parameters
    ----------
    policy : str
        Name of the policy.
    told : bool
        True if the upstreams report the slowness of their hosts.
    requests : int
        Number of requests; retries by the caller are not counted.
    timely, late, refused, failed : float
        Shares of the requests that were answered within the objective,
        answered after it, refused without running, and left without an
        answer although they may have run.
    p50_ms, p99_ms : float
        Latency of the answered requests, measured from the first attempt.
    slow_starts, avoidable_starts : float
        Shares of the starts at upstreams: starts on a slow host, and
        starts on a slow host while another host was not slow and had a
        usable slot free.
    kb_between_domains : float
        Kilobytes sent between failure domains per request.
    questions : float
        Admission queries to sidecars of other nodes per request.
    """

    policy: str
    told: bool
    requests: int
    timely: float
    late: float
    refused: float
    failed: float
    p50_ms: float
    p99_ms: float
    slow_starts: float
    avoidable_starts: float
    kb_between_domains: float
    questions: float


class _LoadGenerator:
    """Sends requests with Poisson arrivals to random nodes."""

    def __init__(
        self,
        plan: Plan,
        policy: str,
        cluster: emulator.EmulatedCluster,
        seed: int,
    ) -> None:
        self._plan = plan
        self._cluster = cluster
        self._generator = random.Random(seed)
        self._service = services.Service(
            cluster.SERVICE,
            policy=policy,
            retry_ratio=0.08,
            hedge_ratio=0.05,
            subset_size=plan.fleet.nodes,
        )
        self._call_count = 0
        self.latencies_ms: list[float] = []
        self.refused = 0
        self.failed = 0

    @property
    def completed_count(self) -> int:
        """Number of requests that have completed."""
        return len(self.latencies_ms) + self.refused + self.failed

    async def run(self) -> None:
        """Send all requests and wait until the last one completes."""
        loop = self._cluster.loop
        start_ms = loop.now_ms()
        callers = []
        async with asyncio.TaskGroup() as group:
            while (elapsed_s := (loop.now_ms() - start_ms) / 1_000) < (
                self._plan.length_s
            ):
                await asyncio.sleep(
                    self._generator.expovariate(self._rate_per_s(elapsed_s))
                )
                callers.append(group.create_task(self._call()))

    def _rate_per_s(self, elapsed_s: float) -> float:
        plan = self._plan
        load = plan.load
        if plan.burst_s[0] <= elapsed_s < plan.burst_s[1]:
            load = plan.burst_load
        fleet = plan.fleet
        usable_slots = int(fleet.slots * fleet.usable_ratio) * fleet.nodes
        return load * usable_slots / fleet.service_ms * 1_000

    async def _call(self) -> None:
        loop = self._cluster.loop
        start_ms = loop.now_ms()
        for attempt in range(self._plan.retries + 1):
            result = await self._attempt(start_ms)
            now_ms = loop.now_ms()
            time_left_ms = start_ms + self._plan.deadline_ms - now_ms
            if result.outcome is verdict.Outcome.ANSWERED:
                self.latencies_ms.append(now_ms - start_ms)
                return
            if result.outcome is not verdict.Outcome.NOT_RUN:
                break
            if attempt < self._plan.retries:
                delay_ms = backoff.retry_after_ms(
                    time_left_ms, self._generator.random()
                )
                await asyncio.sleep(delay_ms / 1_000)
        if result.outcome is verdict.Outcome.NOT_RUN:
            self.refused += 1
        else:
            self.failed += 1

    async def _attempt(self, start_ms: float) -> verdict.Verdict:
        plan = self._plan
        self._call_count += 1
        node = self._generator.choice(self._cluster.nodes)
        call = requests.Call(
            request_id=str(self._call_count),
            service=self._cluster.SERVICE,
            method='POST',
            target='/',
            headers=(),
            body=bytes(plan.fleet.body_bytes),
            idempotent=False,
            deadline_ms=start_ms + plan.deadline_ms,
            max_attempts=2,
            objective_ms=start_ms + plan.objective_ms,
            route='r',
        )
        return await node.dispatcher.dispatch(call, self._service)


def measure(plan: Plan, policy: str, reports_slowness: bool, seed: int) -> Row:
    """Return the results of a policy under a plan.

    Parameters
    ----------
    plan : Plan
        Fleet and load.
    policy : str
        Name of the routing policy.
    reports_slowness : bool
        True if the upstreams report the slowness of their hosts.
    seed : int
        Seed of the arrivals, the noise and the service times.
    """
    noise = dataclasses.replace(
        plan.fleet.noise, reports_slowness=reports_slowness
    )
    fleet = dataclasses.replace(plan.fleet, noise=noise)
    cluster = emulator.EmulatedCluster(fleet, seed)
    load_generator = _LoadGenerator(plan, policy, cluster, seed)
    periodic_tasks = cluster.loop.create_task(cluster.run_periodic_tasks())
    try:
        cluster.loop.run_until_complete(load_generator.run())
    finally:
        periodic_tasks.cancel()
        cluster.close()
    latencies_ms = sorted(load_generator.latencies_ms)
    timely = sum(
        latency_ms <= plan.objective_ms for latency_ms in latencies_ms
    )
    emulated_upstreams = [node.upstream for node in cluster.nodes]
    starts = sum(upstream.starts for upstream in emulated_upstreams)
    return Row(
        policy=policy,
        told=reports_slowness,
        requests=load_generator.completed_count,
        timely=timely / load_generator.completed_count,
        late=(len(latencies_ms) - timely) / load_generator.completed_count,
        refused=load_generator.refused / load_generator.completed_count,
        failed=load_generator.failed / load_generator.completed_count,
        p50_ms=latencies_ms[len(latencies_ms) // 2],
        p99_ms=latencies_ms[int(len(latencies_ms) * 0.99)],
        slow_starts=sum(
            upstream.slow_starts for upstream in emulated_upstreams
        )
        / starts,
        avoidable_starts=sum(
            upstream.avoidable_starts for upstream in emulated_upstreams
        )
        / starts,
        kb_between_domains=cluster.inter_domain_bytes
        / load_generator.completed_count
        / 1_000,
        questions=cluster.admission_queries / load_generator.completed_count,
    )


def compare(name: str, seed: int = 1) -> str:
    """Return a table with the results of all policies under a named plan."""
    plan = PLANS[name]
    rows = [
        measure(plan, policy, reports_slowness, seed)
        for policy, reports_slowness in VARIANTS
    ]
    return tabulate.tabulate(
        [dataclasses.astuple(row) for row in rows],
        headers=[field.name for field in dataclasses.fields(Row)],
        tablefmt='github',
        floatfmt='.3f',
    )
