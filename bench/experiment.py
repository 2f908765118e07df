"""Runs experiments that compare routing policies, defined by INI files."""

from __future__ import annotations

import asyncio
import collections
import configparser
import dataclasses
import pathlib
import random
import signal
import time
import typing

import msgspec

from bench import fleet
from bench import guarantees
from bench import oracle
from bench import scrape
from bench import sites
from bench.standins import network
from bench.standins import upstream
from bench import traffic
from jasminebeam.model import services
from jasminebeam.operators import channel as channel_module
from jasminebeam.operators import convert
from jasminebeam.operators.generated import operators_grpc
from jasminebeam.operators.generated import operators_pb2

DIRECTORY = pathlib.Path(__file__).parent / 'experiments'
FIRST_PORT = 23_000
SETTLE_S = 1.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section ``[experiment]`` of the INI file of an experiment.

    Parameters
    ----------
    site, service : str
        Name of the site, and of its service that receives the load.
    policies : str
        Names of the compared policies, separated by spaces.
    variants : str
        Variants of the policy ``least_cost``, each with changed fields of
        the service, as ``name:field=value,...``, separated by spaces.
    load : float
        Offered load as a share of the service's capacity.
    jump_load : float
        Offered load during the middle third of each slice; 0 to keep the
        load constant.
    service_ms : float
        Mean service time of the upstreams.
    slice_s : float
        Length of a slice, the part of a run that measures one policy.
    rounds : int
        Number of slices of each policy.
    fault : str
        Fault that is injected in each slice.
    seed : int
        Seed of the arrivals, the service times and the faults.
    timeout_ms : int
        Timeout of the service.
    idempotent : bool
        True to send ``GET`` requests, which may run more than once; false
        to send ``POST`` requests, which may run at most once.
    """

    site: str = 'kaplanoglu'
    service: str = 'takvim'
    policies: str = 'random round_robin least_reported two_choices least_cost'
    variants: str = ''
    load: float = 0.7
    jump_load: float = 0.0
    service_ms: float = 120.0
    slice_s: float = 4.0
    rounds: int = 2
    fault: typing.Literal[
        'none',
        'noisy',
        'fail_fast',
        'drain',
        'restart',
        'domain_lost',
        'bad_link',
        'silent_link',
        'deepest_fails',
    ] = 'none'
    seed: int = 1
    timeout_ms: int = 2_000
    idempotent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyVariant:
    """A compared policy: its name and the service fields that select it."""

    name: str
    fields: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class SliceResult:
    """Measurements of one policy variant in one slice."""

    variant_name: str
    recorder: traffic.Recorder
    probe_bytes: float
    retries: float


def load_plan(name: str) -> Plan:
    """Return the plan of a named experiment.

    Raises
    ------
    FileNotFoundError
        If there is no such experiment.
    msgspec.ValidationError
        If a key is unknown or has a wrong value.
    """
    parser = configparser.ConfigParser(interpolation=None)
    with (DIRECTORY / f'{name}.ini').open() as file:
        parser.read_file(file)
    return msgspec.convert(dict(parser['experiment']), Plan, strict=False)


def names() -> list[str]:
    """Return the names of all experiments."""
    return sorted(path.stem for path in DIRECTORY.glob('*.ini'))


def policy_variants(plan: Plan) -> list[PolicyVariant]:
    """Return the policies and variants of a plan.

    Hedging is part of ``least_cost``. All other policies run without it.
    """
    variants = [
        PolicyVariant(name, {'policy': name, 'hedge_ratio': 0.0})
        for name in plan.policies.split()
    ]
    for variant in variants:
        if variant.name == 'least_cost':
            del variant.fields['hedge_ratio']
    for definition in plan.variants.split():
        name, _, changes = definition.partition(':')
        fields = dict(change.split('=') for change in changes.split(','))
        variants.append(
            PolicyVariant(name, {'policy': 'least_cost', **fields})
        )
    return variants


class Run:
    """One run of an experiment on a separate fleet.

    Parameters
    ----------
    plan : Plan
        The experiment.
    directory : pathlib.Path
        Directory for settings and logs.
    """

    def __init__(self, plan: Plan, directory: pathlib.Path) -> None:
        self.plan = plan
        self.site = sites.SITES[plan.site]
        self.fleet = fleet.Fleet(
            self.site,
            fleet.Options(
                first_port=FIRST_PORT,
                directory=directory,
                with_network=True,
                service_ms=plan.service_ms,
                seed=plan.seed,
            ),
        )
        self.targets = [
            host for host in self.fleet.hosts if host.service == plan.service
        ]
        self._generator = random.Random(plan.seed)
        self._ingresses = [
            traffic.IngressAddress(host.address, host.caller_port)
            for host in self.fleet.hosts
        ]
        self._killed_ports: set[int] = set()
        self.slice_results: list[SliceResult] = []

    def capacity_per_s(self) -> float:
        """Return the capacity of the loaded service in requests per second."""
        slots = len(self.targets) * self.site.slots
        return slots * 1_000 / self.plan.service_ms

    async def run(
        self, on_progress: typing.Callable[[float], None]
    ) -> dict[str, typing.Any]:
        """Run all slices and return the results."""
        await self.fleet.start()
        try:
            await self.fleet.create_services(
                {'timeout_ms': self.plan.timeout_ms}
            )
            await self.fleet.wait_for_members()
            for round_number in range(self.plan.rounds):
                for variant in policy_variants(self.plan):
                    await self._run_slice(variant, round_number, on_progress)
        finally:
            await self.fleet.stop()
        return self._results()

    async def _run_slice(
        self,
        variant: PolicyVariant,
        round_number: int,
        on_progress: typing.Callable[[float], None],
    ) -> None:
        await self._configure(variant)
        before = await self._scrape()
        faults = asyncio.create_task(self._inject_faults(round_number))
        recorder = await traffic.run(
            self._streams(),
            lambda: self._generator.choice(self._ingresses),
            self.plan.slice_s,
            self.plan.seed + round_number,
            f'{variant.name}-{round_number}',
            on_progress,
        )
        await faults
        # Processes that are stopped by SIGSTOP do not answer a scrape.
        for host in self.fleet.hosts:
            self.fleet.signal_host(host, signal.SIGCONT)
        after = await self._scrape()
        changes = [
            end - start for start, end in zip(before, after, strict=True)
        ]
        self.slice_results.append(
            SliceResult(variant.name, recorder, *changes)
        )
        await self._clear_faults()
        await asyncio.sleep(SETTLE_S)

    def _streams(self) -> list[traffic.Stream]:
        plan = self.plan
        method = 'GET' if plan.idempotent else 'POST'
        rate_per_s = plan.load * self.capacity_per_s()
        streams = [
            traffic.Stream(
                'call', plan.service, method, '/x', rate_per_s, plan.idempotent
            )
        ]
        if plan.jump_load:
            extra_per_s = plan.jump_load * self.capacity_per_s() - rate_per_s
            streams.append(
                traffic.Stream(
                    'jump',
                    plan.service,
                    method,
                    '/x',
                    extra_per_s,
                    plan.idempotent,
                    start_s=plan.slice_s / 3,
                    end_s=plan.slice_s * 2 / 3,
                )
            )
        return streams

    async def _configure(self, variant: PolicyVariant) -> None:
        """Update all services to a policy variant."""
        host = self.fleet.hosts[0]
        channel = channel_module.Channel(host.address, host.operator_port)
        stub = operators_grpc.OperatorsStub(channel)
        try:
            for service in self.site.services:
                current = await stub.GetService(
                    operators_pb2.GetServiceRequest(name=service.name)
                )
                definition = _with_fields(
                    convert.service_from_message(current.service),
                    variant.fields,
                )
                await stub.UpdateService(
                    operators_pb2.UpdateServiceRequest(
                        service=convert.service_to_message(definition),
                        expected_revision=current.revision,
                        change_id=f'{variant.name}-{time.monotonic_ns()}',
                    )
                )
            await asyncio.sleep(0.3)
        finally:
            channel.close()

    async def _scrape(self) -> tuple[float, float]:
        texts = [await self.fleet.metrics(host) for host in self.fleet.hosts]
        probe_bytes = scrape.sum_by_label(
            texts, 'jasminebeam_probe_bytes_total', 'service'
        ).get(self.plan.service, 0.0)
        retries = scrape.sum_by_label(
            texts, 'jasminebeam_retries_total', 'service'
        ).get(self.plan.service, 0.0)
        return probe_bytes, retries

    async def _inject_faults(self, round_number: int) -> None:
        """Inject the faults of one slice."""
        plan = self.plan
        first = self.targets[0]
        fault_start_s = plan.slice_s / 3
        match plan.fault:
            case 'noisy':
                await self._inject_slowdowns(round_number)
            case 'fail_fast':
                await asyncio.sleep(fault_start_s)
                await self.fleet.set_upstream_faults(
                    first, upstream.Faults(fail_fast=True)
                )
            case 'drain':
                await asyncio.sleep(fault_start_s)
                await self.fleet.drain(first)
            case 'restart':
                await asyncio.sleep(fault_start_s)
                await self._restart_third()
            case 'domain_lost':
                await asyncio.sleep(fault_start_s)
                await self._suspend_domain()
            case 'bad_link' | 'silent_link':
                await asyncio.sleep(fault_start_s)
                await self.fleet.set_network_faults(self._link_faults())
            case 'deepest_fails':
                deepest = self.site.services[-1].name
                for host in self.fleet.hosts:
                    if host.service == deepest:
                        await self.fleet.set_upstream_faults(
                            host, upstream.Faults(fail_fast=True)
                        )

    def _link_faults(self) -> network.Faults:
        domain = self.site.failure_domains[-1]
        if self.plan.fault == 'silent_link':
            return network.Faults(domain, silent=True)
        return network.Faults(domain, delay_factor=5.0, loss_ratio=0.01)

    def slowdowns(self, round_number: int) -> list[oracle.Slowdown]:
        """Return the slowdowns by noisy neighbours in one slice."""
        if self.plan.fault != 'noisy':
            return []
        return oracle.noisy_neighbours(
            len(self.targets),
            self.plan.slice_s,
            5.0,
            self.plan.seed * 100 + round_number,
        )

    async def _inject_slowdowns(self, round_number: int) -> None:
        started_s = time.perf_counter()
        changes = []
        for slowdown in self.slowdowns(round_number):
            host = self.targets[slowdown.upstream]
            slow = upstream.Faults(slow_factor=slowdown.factor)
            changes.append((slowdown.start_s, host, slow))
            changes.append((slowdown.end_s, host, upstream.Faults()))
        changes.sort(key=lambda change: change[0])
        for at_s, host, faults in changes:
            wait_s = started_s + at_s - time.perf_counter()
            await asyncio.sleep(max(0.0, wait_s))
            await self.fleet.set_upstream_faults(host, faults)

    async def _restart_third(self) -> None:
        restarted = self.targets[: len(self.targets) // 3]
        for host in restarted:
            self._killed_ports.add(host.caller_port)
            self.fleet.signal_host(host, signal.SIGKILL)
            self._remove_ingress(host)
        await asyncio.sleep(0.2)
        for host in restarted:
            await self.fleet.start_host(host)

    async def _suspend_domain(self) -> None:
        domain = self.site.failure_domains[-1]
        for host in self.fleet.hosts:
            if host.failure_domain == domain:
                self._killed_ports.add(host.caller_port)
                self.fleet.signal_host(host, signal.SIGSTOP)
                self._remove_ingress(host)

    def _remove_ingress(self, host: fleet.Host) -> None:
        self._ingresses = [
            ingress
            for ingress in self._ingresses
            if ingress.port != host.caller_port
        ]

    async def _clear_faults(self) -> None:
        if self.plan.fault in ('bad_link', 'silent_link'):
            await self.fleet.set_network_faults(network.NO_FAULTS)
        if self.plan.fault in ('none', 'bad_link', 'silent_link'):
            return
        if self.plan.fault in ('restart', 'domain_lost'):
            await asyncio.sleep(8.0)
        for host in self.fleet.hosts:
            await self.fleet.set_upstream_faults(host, upstream.Faults())
        if self.plan.fault == 'drain':
            await self.fleet.announce(self.targets[0])
        self._ingresses = [
            traffic.IngressAddress(host.address, host.caller_port)
            for host in self.fleet.hosts
        ]

    def _results(self) -> dict[str, typing.Any]:
        rows = [
            self._row(variant.name) for variant in policy_variants(self.plan)
        ]
        return {
            'plan': msgspec.to_builtins(self.plan),
            'capacity_per_s': self.capacity_per_s(),
            'oracle': self._oracle(),
            'rows': rows,
        }

    def _row(self, name: str) -> dict[str, typing.Any]:
        slice_results = [
            result
            for result in self.slice_results
            if result.variant_name == name
        ]
        observations = [
            observation
            for result in slice_results
            for observation in result.recorder.observations
        ]
        runs = self.fleet.run_counter.runs
        violations = guarantees.check(observations, runs, self._killed_ports)
        served = [
            observed for observed in observations if observed.status == 200
        ]
        latencies_ms = sorted(
            observed.latency_us / 1_000 for observed in served
        )
        requests = len(observations)
        total_runs = sum(
            runs[observed.request_id] for observed in observations
        )
        deepest = self._deepest_service()
        deepest_runs = sum(
            self.fleet.run_counter.runs_at(deepest, observed.request_id)
            for observed in observations
        )
        wall_s = sum(result.recorder.wall_s for result in slice_results)
        return {
            'policy': name,
            'requests': requests,
            'p50_ms': quantile(latencies_ms, 0.5),
            'p99_ms': quantile(latencies_ms, 0.99),
            'p999_ms': quantile(latencies_ms, 0.999),
            'goodput_ratio': len(served) / (wall_s * self.capacity_per_s()),
            'error_ratio': 1 - len(served) / requests,
            'runs_per_request': total_runs / requests,
            'deepest_runs_per_request': deepest_runs / requests,
            'retries_per_request': sum(
                result.retries for result in slice_results
            )
            / requests,
            'probe_bytes_per_request': sum(
                result.probe_bytes for result in slice_results
            )
            / requests,
            'promises_broken': violations.total(),
            'broken': dataclasses.asdict(violations),
            'reasons': collections.Counter(
                f'{observed.outcome}/{observed.reason}/{observed.status}'
                for observed in observations
            ),
            'generator_lag_p99_ms': max(
                result.recorder.lag_p99_ms() for result in slice_results
            ),
            'generator_core_share': max(
                result.recorder.cpu_time_s / result.recorder.wall_s
                for result in slice_results
            ),
            'valid': all(result.recorder.valid() for result in slice_results),
        }

    def _deepest_service(self) -> str:
        next_service_by_name = {
            service.name: service.next_service
            for service in self.site.services
        }
        name = self.plan.service
        while next_service_by_name[name]:
            name = next_service_by_name[name]
        return name

    def _oracle(self) -> dict[str, float]:
        plan = self.plan
        latencies_ms: list[float] = []
        for round_number in range(plan.rounds):
            schedule = traffic.schedule(
                self._streams(), plan.slice_s, plan.seed + round_number
            )
            latencies_ms += oracle.replay(
                [at_s for at_s, _ in schedule],
                oracle.UpstreamParameters(
                    len(self.targets),
                    self.site.slots,
                    plan.service_ms,
                    upstream.Options('', 0).sigma,
                ),
                self.slowdowns(round_number),
                plan.seed,
            )
        latencies_ms.sort()
        return {
            'p50_ms': quantile(latencies_ms, 0.5),
            'p99_ms': quantile(latencies_ms, 0.99),
        }


def quantile(ordered: list[float], probability: float) -> float:
    """Return a quantile of sorted values; 0 if there are none.

    Examples
    --------
    >>> quantile([1.0, 2.0, 3.0], 0.5)
    2.0
    """
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * probability))]


def _with_fields(
    service: services.Service, fields: dict[str, typing.Any]
) -> services.Service:
    """Return a service definition with changed fields.

    Values that are given as text are converted to the type of the field.
    """
    defaults = services.Service(service.name)
    typed = {
        name: type(getattr(defaults, name))(value)
        for name, value in fields.items()
    }
    # The fields of the previous policy variant must not stay in force, so all
    # fields that a variant may change start from their defaults.
    return dataclasses.replace(
        defaults,
        hosts=service.hosts,
        path_prefix=service.path_prefix,
        idempotent=service.idempotent,
        timeout_ms=service.timeout_ms,
        **typed,
    )
