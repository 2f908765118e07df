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

# Policy, and whether sidecars learn how slow their hosts are.
VARIANTS = (
    ('random', False),
    ('round_robin', False),
    ('two_choices', False),
    ('round_robin', True),
    ('two_choices', True),
    ('least_cost', True),
)


DEFAULT_FLEET = emulator.Fleet()


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One load on one fleet.

    Parameters
    ----------
    fleet : Fleet
        What is emulated.
    load : float
        Requests as a share of what the usable slots can serve without
        noise.
    burst_load : float
        The same during the burst.
    burst_s : tuple of float
        Begin and end of the burst.
    length_s : float
        Time during which requests arrive.
    objective_ms, deadline_ms : float
        Time for the full value, and until the caller gives up.
    retries : int
        How often a refused caller comes back.
    """

    fleet: emulator.Fleet = DEFAULT_FLEET
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
        fleet=emulator.Fleet(noise=emulator.Noise(0.0))
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """What callers got from one policy.

    Parameters
    ----------
    policy : str
        Name of the policy.
    told : bool
        True if sidecars learn how slow their hosts are.
    requests : int
        Callers' requests, repetitions not counted.
    timely, late, refused, failed : float
        Shares of the requests.
    p50_ms, p99_ms : float
        Latency of the answered ones, from the first attempt.
    slow_starts, avoidable_starts : float
        Share of the starts on a slow host, and of those while another
        host was fast and had room.
    kb_between_domains : float
        Kilobytes between failure domains per request.
    questions : float
        Questions to sidecars of other nodes per request.
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


class _Load:
    """Callers that come to random nodes."""

    def __init__(
        self, plan: Plan, policy: str, world: emulator.Emulator, seed: int
    ) -> None:
        self._plan = plan
        self._world = world
        self._generator = random.Random(seed)
        self._service = services.Service(
            world.SERVICE,
            policy=policy,
            retry_ratio=0.08,
            hedge_ratio=0.05,
            subset_size=plan.fleet.nodes,
        )
        self._ids = 0
        self.took_ms: list[float] = []
        self.refused = 0
        self.failed = 0

    @property
    def count(self) -> int:
        """Requests that have ended."""
        return len(self.took_ms) + self.refused + self.failed

    async def run(self) -> None:
        """Let callers come, and wait for the last."""
        loop = self._world.loop
        begin_ms = loop.now_ms()
        callers = []
        async with asyncio.TaskGroup() as group:
            while (passed_s := (loop.now_ms() - begin_ms) / 1_000) < (
                self._plan.length_s
            ):
                await asyncio.sleep(
                    self._generator.expovariate(self._rate_per_s(passed_s))
                )
                callers.append(group.create_task(self._call()))

    def _rate_per_s(self, passed_s: float) -> float:
        plan = self._plan
        load = plan.load
        if plan.burst_s[0] <= passed_s < plan.burst_s[1]:
            load = plan.burst_load
        fleet = plan.fleet
        usable = int(fleet.slots * fleet.usable_ratio) * fleet.nodes
        return load * usable / fleet.service_ms * 1_000

    async def _call(self) -> None:
        loop = self._world.loop
        begin_ms = loop.now_ms()
        for attempt in range(self._plan.retries + 1):
            result = await self._attempt(begin_ms)
            now_ms = loop.now_ms()
            left_ms = begin_ms + self._plan.deadline_ms - now_ms
            if result.outcome is verdict.Outcome.ANSWERED:
                self.took_ms.append(now_ms - begin_ms)
                return
            if result.outcome is not verdict.Outcome.NOT_RUN:
                break
            if attempt < self._plan.retries:
                pause_ms = backoff.retry_after_ms(
                    left_ms, self._generator.random()
                )
                await asyncio.sleep(pause_ms / 1_000)
        if result.outcome is verdict.Outcome.NOT_RUN:
            self.refused += 1
        else:
            self.failed += 1

    async def _attempt(self, begin_ms: float) -> verdict.Verdict:
        plan = self._plan
        self._ids += 1
        node = self._generator.choice(self._world.nodes)
        call = requests.Call(
            request_id=str(self._ids),
            service=self._world.SERVICE,
            method='POST',
            target='/',
            headers=(),
            body=bytes(plan.fleet.body_bytes),
            idempotent=False,
            deadline_ms=begin_ms + plan.deadline_ms,
            max_attempts=2,
            objective_ms=begin_ms + plan.objective_ms,
            route='r',
        )
        return await node.dispatcher.dispatch(call, self._service)


def measure(plan: Plan, policy: str, told: bool, seed: int) -> Row:
    """Return what callers get from a policy under a plan.

    Parameters
    ----------
    plan : Plan
        Fleet and load.
    policy : str
        Name of the routing policy.
    told : bool
        True if sidecars learn how slow their hosts are.
    seed : int
        Seed of arrivals, noise and work.
    """
    noise = dataclasses.replace(plan.fleet.noise, told=told)
    fleet = dataclasses.replace(plan.fleet, noise=noise)
    world = emulator.Emulator(fleet, seed)
    load = _Load(plan, policy, world, seed)
    ticking = world.loop.create_task(world.tick())
    try:
        world.loop.run_until_complete(load.run())
    finally:
        ticking.cancel()
        world.close()
    took_ms = sorted(load.took_ms)
    timely = sum(took <= plan.objective_ms for took in took_ms)
    hosts = [node.upstream for node in world.nodes]
    starts = sum(host.starts for host in hosts)
    return Row(
        policy=policy,
        told=told,
        requests=load.count,
        timely=timely / load.count,
        late=(len(took_ms) - timely) / load.count,
        refused=load.refused / load.count,
        failed=load.failed / load.count,
        p50_ms=took_ms[len(took_ms) // 2],
        p99_ms=took_ms[int(len(took_ms) * 0.99)],
        slow_starts=sum(host.slow_starts for host in hosts) / starts,
        avoidable_starts=sum(host.avoidable_starts for host in hosts) / starts,
        kb_between_domains=world.bytes_between_domains / load.count / 1_000,
        questions=world.questions / load.count,
    )


def compare(name: str, seed: int = 1) -> str:
    """Return the table of all policies under a named plan."""
    plan = PLANS[name]
    rows = [measure(plan, policy, told, seed) for policy, told in VARIANTS]
    return tabulate.tabulate(
        [dataclasses.astuple(row) for row in rows],
        headers=[field.name for field in dataclasses.fields(Row)],
        tablefmt='github',
        floatfmt='.3f',
    )
