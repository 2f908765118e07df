"""Experiments: named INI files that compare policies in one run."""

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

from grpclib import client as grpc_client
import msgspec

from bench import fleet
from bench import oracle
from bench import promises
from bench import scrape
from bench import sites
from bench.standins import relay
from bench.standins import upstream
from bench import traffic
from jasminebeam.model import services
from jasminebeam.operators import convert
from jasminebeam.operators.generated import operators_grpc
from jasminebeam.operators.generated import operators_pb2

DIRECTORY = pathlib.Path(__file__).parent / 'experiments'
FIRST_PORT = 23_000
SETTLE_S = 1.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section ``[experiment]`` of an experiment's file.

    Parameters
    ----------
    site, service : str
        Site and the service that is loaded.
    policies : str
        Policies compared, separated by spaces.
    variants : str
        ``name:field=value,...`` separated by spaces: the policy
        ``least_cost`` with changed fields of the service.
    load : float
        Offered load as a share of the service's capacity.
    jump_load : float
        Load during the middle third of each slice; 0 for none.
    service_ms : float
        Mean service time of the upstreams.
    slice_s : float
        Length of a slice, in which one policy runs.
    rounds : int
        Slices of each policy.
    fault : str
        What happens in each slice.
    seed : int
        Seed of arrivals, service times and faults.
    timeout_ms : int
        Timeout of the service.
    idempotent : bool
        True for lookups, false for requests that run at most once.
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
class Contender:
    """A policy, or a variant of it, that takes part."""

    name: str
    fields: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Slice:
    """Figures of one contender in one slice."""

    contender: str
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


def contenders(plan: Plan) -> list[Contender]:
    """Return the policies and variants of a plan.

    Hedging is part of ``least_cost``; the others run without it.
    """
    found = [
        Contender(name, {'policy': name, 'hedge_ratio': 0.0})
        for name in plan.policies.split()
    ]
    for contender in found:
        if contender.name == 'least_cost':
            del contender.fields['hedge_ratio']
    for variant in plan.variants.split():
        name, _, changes = variant.partition(':')
        fields = dict(change.split('=') for change in changes.split(','))
        found.append(Contender(name, {'policy': 'least_cost', **fields}))
    return found


class Run:
    """One run of an experiment on its own fleet.

    Parameters
    ----------
    plan : Plan
        The experiment.
    directory : pathlib.Path
        Receives settings and logs.
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
        self._entries = [
            traffic.Entry(host.address, host.caller_port)
            for host in self.fleet.hosts
        ]
        self._killed_ports: set[int] = set()
        self.slices: list[Slice] = []

    def capacity_per_s(self) -> float:
        """Return the requests per second that the upstreams can do."""
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
            await self.fleet.wait_members()
            for number in range(self.plan.rounds):
                for contender in contenders(self.plan):
                    await self._run_slice(contender, number, on_progress)
        finally:
            await self.fleet.stop()
        return self._results()

    async def _run_slice(
        self,
        contender: Contender,
        number: int,
        on_progress: typing.Callable[[float], None],
    ) -> None:
        await self._configure(contender)
        before = await self._scrape()
        faults = asyncio.create_task(self._inject(number))
        recorder = await traffic.run(
            self._streams(),
            lambda: self._generator.choice(self._entries),
            self.plan.slice_s,
            self.plan.seed + number,
            f'{contender.name}-{number}',
            on_progress,
        )
        await faults
        # Stopped processes cannot be scraped.
        for host in self.fleet.hosts:
            self.fleet.signal_host(host, signal.SIGCONT)
        after = await self._scrape()
        changes = [
            end - start for start, end in zip(before, after, strict=True)
        ]
        self.slices.append(Slice(contender.name, recorder, *changes))
        await self._heal()
        await asyncio.sleep(SETTLE_S)

    def _streams(self) -> list[traffic.Stream]:
        plan = self.plan
        method = 'GET' if plan.idempotent else 'POST'
        rate = plan.load * self.capacity_per_s()
        streams = [
            traffic.Stream(
                'call', plan.service, method, '/x', rate, plan.idempotent
            )
        ]
        if plan.jump_load:
            extra = plan.jump_load * self.capacity_per_s() - rate
            streams.append(
                traffic.Stream(
                    'jump',
                    plan.service,
                    method,
                    '/x',
                    extra,
                    plan.idempotent,
                    start_s=plan.slice_s / 3,
                    end_s=plan.slice_s * 2 / 3,
                )
            )
        return streams

    async def _configure(self, contender: Contender) -> None:
        """Put the contender's policy in force for all services."""
        host = self.fleet.hosts[0]
        channel = grpc_client.Channel(host.address, host.operator_port)
        stub = operators_grpc.OperatorsStub(channel)
        try:
            for service in self.site.services:
                known = await stub.GetService(
                    operators_pb2.GetServiceRequest(name=service.name)
                )
                definition = _changed(
                    convert.service_from_message(known.service),
                    contender.fields,
                )
                await stub.UpdateService(
                    operators_pb2.UpdateServiceRequest(
                        service=convert.service_to_message(definition),
                        expected_revision=known.revision,
                        change_id=f'{contender.name}-{time.monotonic_ns()}',
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

    async def _inject(self, number: int) -> None:
        """Cause the faults of one slice."""
        plan = self.plan
        first = self.targets[0]
        middle_s = plan.slice_s / 3
        match plan.fault:
            case 'noisy':
                await self._make_noise(number)
            case 'fail_fast':
                await asyncio.sleep(middle_s)
                await self.fleet.set_upstream_faults(
                    first, upstream.Faults(fail_fast=True)
                )
            case 'drain':
                await asyncio.sleep(middle_s)
                await self.fleet.drain(first)
            case 'restart':
                await asyncio.sleep(middle_s)
                await self._restart_third()
            case 'domain_lost':
                await asyncio.sleep(middle_s)
                await self._lose_domain()
            case 'bad_link' | 'silent_link':
                await asyncio.sleep(middle_s)
                await self.fleet.set_network_faults(self._link_faults())
            case 'deepest_fails':
                deepest = self.site.services[-1].name
                for host in self.fleet.hosts:
                    if host.service == deepest:
                        await self.fleet.set_upstream_faults(
                            host, upstream.Faults(fail_fast=True)
                        )

    def _link_faults(self) -> relay.Faults:
        domain = self.site.failure_domains[-1]
        if self.plan.fault == 'silent_link':
            return relay.Faults(domain, silent=True)
        return relay.Faults(domain, delay_factor=5.0, loss_ratio=0.01)

    def episodes(self, number: int) -> list[oracle.Episode]:
        """Return the noise of one slice."""
        if self.plan.fault != 'noisy':
            return []
        return oracle.noisy_neighbours(
            len(self.targets),
            self.plan.slice_s,
            5.0,
            self.plan.seed * 100 + number,
        )

    async def _make_noise(self, number: int) -> None:
        started_s = time.perf_counter()
        changes = []
        for episode in self.episodes(number):
            host = self.targets[episode.upstream]
            slow = upstream.Faults(slow_factor=episode.factor)
            changes.append((episode.start_s, host, slow))
            changes.append((episode.end_s, host, upstream.Faults()))
        changes.sort(key=lambda change: change[0])
        for at_s, host, faults in changes:
            wait_s = started_s + at_s - time.perf_counter()
            await asyncio.sleep(max(0.0, wait_s))
            await self.fleet.set_upstream_faults(host, faults)

    async def _restart_third(self) -> None:
        chosen = self.targets[: len(self.targets) // 3]
        for host in chosen:
            self._killed_ports.add(host.caller_port)
            self.fleet.signal_host(host, signal.SIGKILL)
            self._forget_entry(host)
        await asyncio.sleep(0.2)
        for host in chosen:
            await self.fleet.start_host(host)

    async def _lose_domain(self) -> None:
        domain = self.site.failure_domains[-1]
        for host in self.fleet.hosts:
            if host.failure_domain == domain:
                self._killed_ports.add(host.caller_port)
                self.fleet.signal_host(host, signal.SIGSTOP)
                self._forget_entry(host)

    def _forget_entry(self, host: fleet.Host) -> None:
        self._entries = [
            entry for entry in self._entries if entry.port != host.caller_port
        ]

    async def _heal(self) -> None:
        if self.plan.fault in ('bad_link', 'silent_link'):
            await self.fleet.set_network_faults(relay.NO_FAULTS)
        if self.plan.fault in ('none', 'bad_link', 'silent_link'):
            return
        if self.plan.fault in ('restart', 'domain_lost'):
            await asyncio.sleep(8.0)
        for host in self.fleet.hosts:
            await self.fleet.set_upstream_faults(host, upstream.Faults())
        if self.plan.fault == 'drain':
            await self.fleet.announce(self.targets[0])
        self._entries = [
            traffic.Entry(host.address, host.caller_port)
            for host in self.fleet.hosts
        ]

    def _results(self) -> dict[str, typing.Any]:
        rows = [
            self._row(contender.name) for contender in contenders(self.plan)
        ]
        return {
            'plan': msgspec.to_builtins(self.plan),
            'capacity_per_s': self.capacity_per_s(),
            'oracle': self._oracle(),
            'rows': rows,
        }

    def _row(self, name: str) -> dict[str, typing.Any]:
        slices = [part for part in self.slices if part.contender == name]
        observations = [
            observation
            for part in slices
            for observation in part.recorder.observations
        ]
        runs = self.fleet.witness.runs
        broken = promises.check(observations, runs, self._killed_ports)
        served = [seen for seen in observations if seen.status == 200]
        latencies = sorted(seen.latency_us / 1_000 for seen in served)
        requests = len(observations)
        total_runs = sum(runs[seen.request_id] for seen in observations)
        deepest = self._deepest_service()
        deepest_runs = sum(
            self.fleet.witness.runs_at(deepest, seen.request_id)
            for seen in observations
        )
        seconds = sum(part.recorder.wall_s for part in slices)
        return {
            'policy': name,
            'requests': requests,
            'p50_ms': quantile(latencies, 0.5),
            'p99_ms': quantile(latencies, 0.99),
            'p999_ms': quantile(latencies, 0.999),
            'goodput_ratio': len(served) / (seconds * self.capacity_per_s()),
            'error_ratio': 1 - len(served) / requests,
            'runs_per_request': total_runs / requests,
            'deepest_runs_per_request': deepest_runs / requests,
            'retries_per_request': sum(part.retries for part in slices)
            / requests,
            'probe_bytes_per_request': sum(part.probe_bytes for part in slices)
            / requests,
            'promises_broken': broken.total(),
            'broken': dataclasses.asdict(broken),
            'reasons': collections.Counter(
                f'{seen.outcome}/{seen.reason}/{seen.status}'
                for seen in observations
            ),
            'generator_lag_p99_ms': max(
                part.recorder.lag_p99_ms() for part in slices
            ),
            'generator_core_share': max(
                part.recorder.processor_s / part.recorder.wall_s
                for part in slices
            ),
            'valid': all(part.recorder.valid() for part in slices),
        }

    def _deepest_service(self) -> str:
        calls = {service.name: service.calls for service in self.site.services}
        name = self.plan.service
        while calls[name]:
            name = calls[name]
        return name

    def _oracle(self) -> dict[str, float]:
        plan = self.plan
        latencies: list[float] = []
        for number in range(plan.rounds):
            schedule = traffic.schedule(
                self._streams(), plan.slice_s, plan.seed + number
            )
            latencies += oracle.replay(
                [at_s for at_s, _ in schedule],
                oracle.Server(
                    len(self.targets),
                    self.site.slots,
                    plan.service_ms,
                    upstream.Options('', 0).sigma,
                ),
                self.episodes(number),
                plan.seed,
            )
        latencies.sort()
        return {
            'p50_ms': quantile(latencies, 0.5),
            'p99_ms': quantile(latencies, 0.99),
        }


def quantile(ordered: list[float], share: float) -> float:
    """Return a quantile of sorted values; 0 if there are none.

    Examples
    --------
    >>> quantile([1.0, 2.0, 3.0], 0.5)
    2.0
    """
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def _changed(
    service: services.Service, fields: dict[str, typing.Any]
) -> services.Service:
    """Return a definition with fields changed from text or values."""
    defaults = services.Service(service.name)
    typed = {
        name: type(getattr(defaults, name))(value)
        for name, value in fields.items()
    }
    # A former contender's fields must not stay in force.
    return dataclasses.replace(
        defaults,
        hosts=service.hosts,
        path_prefix=service.path_prefix,
        idempotent=service.idempotent,
        timeout_ms=service.timeout_ms,
        **typed,
    )
