"""Measures the latency and CPU time that a pair of nodes adds to a call."""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import random
import sys
import time

import aiohttp
from hdrh import histogram
import psutil
import tabulate
import uvloop

from bench import fleet
from bench import http_sessions
from bench import sites
from bench import traffic

FIRST_PORT = 22_000
OUTPUT = pathlib.Path('build/pair')
PAIR = sites.Site(
    name='pair',
    region='r',
    failure_domains=('a',),
    one_way_ms=0.0,
    caller_one_way_ms=0.0,
    services=(
        sites.SiteService('near', 1, sites.READ_ONLY, 1.0),
        sites.SiteService('far', 1, sites.READ_ONLY, 1.0),
    ),
)


class Pair:
    """Two hosts: an ingress node, and a sidecar node with the called upstream.

    Calls take three paths: ``direct`` to the upstream, ``local`` through
    the sidecar node alone, and ``through`` both nodes.
    """

    def __init__(self) -> None:
        self.fleet = fleet.Fleet(
            PAIR, fleet.Options(first_port=FIRST_PORT, directory=OUTPUT)
        )
        ingress, sidecar = self.fleet.hosts
        self._urls = {
            'direct': f'http://127.0.0.1:{sidecar.upstream_port}/-/load',
            'local': f'http://{sidecar.address}:{sidecar.caller_port}/-/load',
            'through': f'http://{ingress.address}:{ingress.caller_port}'
            '/-/load',
        }
        self.latencies_us = {
            name: histogram.HdrHistogram(1, traffic.MAX_LATENCY_US, 3)
            for name in self._urls
        }

    async def measure(self, per_s: float, seconds: float) -> None:
        """Send calls over the three paths in turn, after a warm-up.

        At rate 0, each call waits for the end of the previous one.
        """
        generator = random.Random(1)
        async with http_sessions.create() as session:
            for name in self._urls:
                for _ in range(100):
                    await self._call(session, name, record=False)
            tasks = set()
            end_s = time.perf_counter() + seconds
            while time.perf_counter() < end_s:
                for name in self._urls:
                    call = self._call(session, name, record=True)
                    if not per_s:
                        await call
                        continue
                    task = asyncio.create_task(call)
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                    await asyncio.sleep(generator.expovariate(per_s))
            await asyncio.gather(*tasks)

    def cpu_time_s(self) -> list[float]:
        """Return the CPU time of both nodes in seconds."""
        return [
            sum(psutil.Process(self.fleet.process_id(host)).cpu_times()[:2])
            for host in self.fleet.hosts
        ]

    async def _call(
        self, session: aiohttp.ClientSession, name: str, record: bool
    ) -> None:
        started_s = time.perf_counter()
        headers = {'Host': 'far.example'}
        async with session.get(self._urls[name], headers=headers) as response:
            await response.read()
        latency_us = int((time.perf_counter() - started_s) * 1e6)
        if record:
            self.latencies_us[name].record_value(latency_us)


async def measure_pair(per_s: float, seconds: float) -> dict[str, float]:
    """Return latency quantiles and CPU time per call of one run.

    Parameters
    ----------
    per_s : float
        Calls per second over all three paths; 0 for one call at a time.
    seconds : float
        Length of the run.
    """
    pair = Pair()
    try:
        await pair.fleet.start()
        await pair.fleet.create_services()
        await pair.fleet.wait_for_members()
        before_s = pair.cpu_time_s()
        await pair.measure(per_s, seconds)
        after_s = pair.cpu_time_s()
    finally:
        await pair.fleet.stop()
    result: dict[str, float] = {'per_s': per_s}
    direct_us = pair.latencies_us['direct']
    for name, latencies_us in pair.latencies_us.items():
        result[f'{name}_calls'] = latencies_us.get_total_count()
        for percentile in (50, 99):
            value_ms = latencies_us.get_value_at_percentile(percentile) / 1_000
            direct_ms = direct_us.get_value_at_percentile(percentile) / 1_000
            result[f'{name}_p{percentile}_ms'] = value_ms
            if name != 'direct':
                result[f'{name}_added_p{percentile}_ms'] = value_ms - direct_ms
    # The latencies leave out the 100 warm-up calls of each path; the CPU
    # time includes them.
    ingress_calls = result['through_calls'] + 100
    ingress_s = after_s[0] - before_s[0]
    result['ingress_us_per_call'] = ingress_s / ingress_calls * 1e6
    sidecar_calls = ingress_calls + result['local_calls'] + 100
    sidecar_s = after_s[1] - before_s[1]
    result['sidecar_us_per_call'] = sidecar_s / sidecar_calls * 1e6
    return result


async def _main(rates: list[float], seconds: float) -> None:
    results = [await measure_pair(rate, seconds) for rate in rates]
    OUTPUT.mkdir(parents=True, exist_ok=True)
    (OUTPUT / 'result.json').write_text(json.dumps(results, indent=2))
    rows = [[name, *(r[name] for r in results)] for name in results[0]]
    print(tabulate.tabulate(rows, floatfmt='.3f'))


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rates', type=float, nargs='+', default=[0, 300])
    parser.add_argument('--seconds', type=float, default=6.0)
    arguments = parser.parse_args(sys.argv[1:])
    uvloop.run(_main(arguments.rates, arguments.seconds))
