"""Demonstration: runs the Juazeiro site under faults and reports results."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import pathlib
import random
import signal
import sys
import time
import typing

from hdrh import histogram
import tabulate
import tqdm
import uvloop

from bench import fleet
from bench import guarantees
from bench import http_sessions
from bench import scrape
from bench import sites
from bench.standins import store
from bench.standins import upstream
from bench import traffic
from jasminebeam.model import services
from jasminebeam.operators import channel as channel_module
from jasminebeam.operators import convert
from jasminebeam.operators.generated import operators_grpc
from jasminebeam.operators.generated import operators_pb2

DURATION_S = 15.0
FIRST_PORT = 21_000
OUTPUT = pathlib.Path('build/demo')
SEED = 7
LATENCY_REQUESTS = 400

STREAMS = (
    traffic.Stream('browse', 'catalogo', 'GET', '/sessions', 160.0, True),
    traffic.Stream('reserve', 'inscricoes', 'POST', '/seats', 40.0, False),
    traffic.Stream('fee', 'cobranca', 'POST', '/fees', 20.0, False),
)


class Demo:
    """One run of the demonstration."""

    def __init__(self) -> None:
        self.fleet = fleet.Fleet(
            sites.JUAZEIRO,
            fleet.Options(first_port=FIRST_PORT, directory=OUTPUT, seed=SEED),
        )
        self._generator = random.Random(SEED)
        hosts = self.fleet.hosts
        self.stopped = hosts[1]
        self.killed = hosts[7]
        self.failing = hosts[3]
        self._ingress_hosts = list(hosts)
        self._metrics_texts: dict[str, str] = {}

    async def run(self) -> dict[str, typing.Any]:
        """Run the fleet under traffic and faults; return the report."""
        await self.fleet.start()
        await self.fleet.create_services()
        await self.fleet.wait_for_members()
        in_force_ms = await self._measure_config_propagation()
        added_latency = await self._measure_added_latency()
        faults = asyncio.create_task(self._inject_faults())
        with tqdm.tqdm(
            total=DURATION_S,
            unit='s',
            mininterval=0.5,
            bar_format='{l_bar}{bar}| {n:.0f}/{total:.0f} s',
        ) as bar:
            recorder = await traffic.run(
                STREAMS,
                self._choose_ingress,
                DURATION_S,
                SEED,
                'demo',
                bar.update,
            )
        await faults
        return await self._report(recorder, in_force_ms, added_latency)

    def _choose_ingress(self) -> traffic.IngressAddress:
        host = self._generator.choice(self._ingress_hosts)
        return traffic.IngressAddress(host.address, host.caller_port)

    async def _inject_faults(self) -> None:
        await asyncio.sleep(3)
        await self._scrape(self.stopped)
        stopping = asyncio.create_task(self.fleet.stop_node(self.stopped))
        # Callers detect the stop by "Connection: close" in responses, so they
        # still choose the node for a short time.
        await asyncio.sleep(0.3)
        self._ingress_hosts.remove(self.stopped)
        await stopping
        await asyncio.sleep(2)
        await self._scrape(self.killed)
        self.fleet.signal_host(self.killed, signal.SIGKILL)
        self._ingress_hosts.remove(self.killed)
        await asyncio.sleep(2)
        await self.fleet.set_store_faults(store.Faults(down=True))
        await self.fleet.set_upstream_faults(
            self.failing, upstream.Faults(fail_fast=True)
        )

    async def _scrape(self, host: fleet.Host) -> None:
        self._metrics_texts[host.node_id] = await self.fleet.metrics(host)

    async def _measure_config_propagation(self) -> float:
        """Return the time in ms until a change is in force on all nodes."""
        host = self.fleet.hosts[0]
        channel = channel_module.Channel(host.address, host.operator_port)
        stub = operators_grpc.OperatorsStub(channel)
        try:
            current = await stub.GetService(
                operators_pb2.GetServiceRequest(name='catalogo')
            )
            definition = dataclasses.replace(
                convert.service_from_message(current.service), timeout_ms=1_900
            )
            started_s = time.perf_counter()
            await stub.UpdateService(
                _update_request(definition, current.revision)
            )
            while True:
                response = await stub.WhereInForce(
                    operators_pb2.WhereInForceRequest(name='catalogo')
                )
                if response.in_force == len(self.fleet.hosts):
                    return (time.perf_counter() - started_s) * 1_000
        finally:
            channel.close()

    async def _measure_added_latency(self) -> dict[str, float]:
        """Return the latency that a node adds to a call.

        Direct calls alternate with calls through the node.
        """
        host = self.fleet.hosts[0]
        direct = histogram.HdrHistogram(1, traffic.MAX_LATENCY_US, 3)
        through_node = histogram.HdrHistogram(1, traffic.MAX_LATENCY_US, 3)
        urls = (
            (f'http://127.0.0.1:{host.upstream_port}/-/load', direct),
            (f'http://{host.address}:{host.caller_port}/-/load', through_node),
        )
        headers = {'Host': 'catalogo.example'}
        async with http_sessions.create() as session:
            for _ in range(LATENCY_REQUESTS):
                for url, latencies in urls:
                    started_s = time.perf_counter()
                    async with session.get(url, headers=headers) as response:
                        await response.read()
                    latency_us = (time.perf_counter() - started_s) * 1e6
                    latencies.record_value(int(latency_us))
        return {
            f'added_latency_p{percentile}_ms': (
                through_node.get_value_at_percentile(percentile)
                - direct.get_value_at_percentile(percentile)
            )
            / 1_000
            for percentile in (50, 99)
        }

    async def _report(
        self,
        recorder: traffic.Recorder,
        in_force_ms: float,
        added_latency: dict[str, float],
    ) -> dict[str, typing.Any]:
        ended_hosts = (self.stopped, self.killed)
        for host in self.fleet.hosts:
            if host not in ended_hosts:
                await self._scrape(host)
        texts = list(self._metrics_texts.values())
        violations = guarantees.check(
            recorder.observations,
            self.fleet.run_counter.runs,
            {self.killed.caller_port},
        )
        outcomes = recorder.outcomes()
        requests = len(recorder.observations)
        probe_bytes = scrape.total(texts, 'jasminebeam_probe_bytes_total')
        return {
            'requests': requests,
            'answered': outcomes['answered'],
            'not_run': outcomes['not-run'],
            'may_have_run': outcomes['may-have-run'],
            'cut_by_kill': outcomes[traffic.CUT],
            'not_connected': outcomes[traffic.NOT_CONNECTED],
            **dataclasses.asdict(violations),
            **added_latency,
            'measuring_bytes_per_request': probe_bytes / requests,
            'retries': scrape.sum_by_label(
                texts, 'jasminebeam_retries_total', 'reason'
            ),
            'refusals': scrape.sum_by_label(
                texts, 'jasminebeam_refusals_total', 'reason'
            ),
            'config_in_force_ms': in_force_ms,
            'generator_lag_p99_ms': recorder.lag_p99_ms(),
        }


def _update_request(
    definition: services.Service, revision: int
) -> operators_pb2.UpdateServiceRequest:
    return operators_pb2.UpdateServiceRequest(
        service=convert.service_to_message(definition),
        expected_revision=revision,
        change_id='demo-update',
    )


async def _main() -> int:
    demo = Demo()
    print('starting 14 hosts with their upstreams and the store ...')
    try:
        report = await demo.run()
    finally:
        await demo.fleet.stop()
    path = OUTPUT / 'report.json'
    path.write_text(json.dumps(report, indent=2) + '\n')
    rows = [
        [name, json.dumps(value) if isinstance(value, dict) else value]
        for name, value in report.items()
    ]
    print(tabulate.tabulate(rows, floatfmt='.3f'))
    print(f'report written to {path}')
    all_kept = all(
        report[field.name] == 0
        for field in dataclasses.fields(guarantees.Violations)
    )
    print('all guarantees kept' if all_kept else 'GUARANTEES VIOLATED')
    return 0 if all_kept else 1


if __name__ == '__main__':
    sys.exit(uvloop.run(_main()))
