"""Measures when a change is known after the watchers of the store are lost.

The nodes, their upstreams and the store are processes on loopback.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import random
import signal
import time
import typing

import tabulate

from bench import duties
from bench import fleet
from bench import loss_plans
from bench import sites
from bench.soak import platform_fleet
from bench.standins import network

FIRST_PORT = 24_000
PROBE_INTERVAL_S = 0.1
# Greatest time until a change is in force at all nodes in touch.
CONFIG_APPLY_S = 2.0
# Time after which a run no longer waits for a node to know a change.
GIVE_UP_S = 20.0
# Time for which a fleet runs before a loss.
SETTLE_S = 6.0
SETTLE_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What one run has shown.

    Parameters
    ----------
    set_name, means : str
        Nodes that were lost, and how.
    change_after_s : float
        Time between a loss and the next change.
    node_count, lost, asked : int
        Number of nodes, of those that were lost, and of the others.
    known_after_s : tuple of float
        For each change, the time from its acknowledgement until the last
        untouched node served it; infinite if one did not in `GIVE_UP_S`.
    calls : mapping
        Calls that the store had from the first loss until the last change
        was known, by kind.
    window_s : float
        Length of that time.
    """

    set_name: str
    means: str
    change_after_s: float
    node_count: int
    lost: int
    asked: int
    known_after_s: tuple[float, ...]
    calls: typing.Mapping[str, int]
    window_s: float

    @property
    def in_time(self) -> bool:
        """True if all changes were known in time."""
        return max(self.known_after_s) <= CONFIG_APPLY_S


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """A node served the route that a version has added."""

    node_id: str
    version: int
    at_s: float


def known_after_s(
    acknowledged: typing.Sequence[tuple[int, float]],
    sightings: typing.Iterable[Sighting],
    node_ids: typing.Iterable[str],
) -> tuple[float, ...]:
    """Return when the last node knew each version, or a later one.

    Parameters
    ----------
    acknowledged : sequence of tuple of int and float
        Versions, and when the store acknowledged them.
    sightings : iterable of Sighting
        Versions that nodes served.
    node_ids : iterable of str
        Nodes that must know each version.

    Examples
    --------
    >>> known_after_s([(1, 5.0)], [Sighting('n1', 1, 5.5)], ['n1'])
    (0.5,)
    """
    by_node: dict[str, list[Sighting]] = collections.defaultdict(list)
    for sighting in sightings:
        by_node[sighting.node_id].append(sighting)

    def first_s(node_id: str, version: int) -> float:
        return min(
            (
                sighting.at_s
                for sighting in by_node[node_id]
                if sighting.version >= version
            ),
            default=float('inf'),
        )

    return tuple(
        max(first_s(node_id, version) for node_id in node_ids) - at_s
        for version, at_s in acknowledged
    )


class Experiment:
    """One fleet that loses nodes and is repaired again.

    Parameters
    ----------
    node_count : int
        Number of nodes.
    directory : pathlib.Path
        Directory for settings and logs.
    with_network : bool
        True to connect the nodes through the stand-in network.
    first_port : int
        First of the ports that the processes use: ten for each node and ten
        more.
    """

    def __init__(
        self,
        node_count: int,
        directory: pathlib.Path,
        with_network: bool = False,
        first_port: int = FIRST_PORT,
    ) -> None:
        options = fleet.Options(
            first_port=first_port,
            directory=directory,
            with_network=with_network,
        )
        self._fleet = platform_fleet.PlatformFleet(_site(node_count), options)
        self._hosts = {host.node_id: host for host in self._fleet.hosts}
        self._generator = random.Random(node_count)

    async def run(
        self,
        set_names: typing.Iterable[str],
        means: typing.Iterable[loss_plans.Means],
        changes_after_s: typing.Iterable[float],
        runs: int,
    ) -> typing.AsyncIterator[Result]:
        """Yield the result of each run."""
        try:
            await self._fleet.prepare()
            for set_name in set_names:
                for chosen_means in means:
                    for change_after_s in changes_after_s:
                        for _ in range(runs):
                            yield await self._run_once(
                                set_name, chosen_means, change_after_s
                            )
        finally:
            await self._fleet.stop()

    async def _run_once(
        self, set_name: str, means: loss_plans.Means, change_after_s: float
    ) -> Result:
        await self._settle()
        layout = self._layout()
        losses = loss_plans.SETS[set_name](layout, means, self._generator)
        untouched = loss_plans.untouched(layout, losses)
        changes_s = loss_plans.change_times_s(losses, change_after_s)
        calls_before = await self._fleet.store_calls()
        play = _Play(self._fleet, self._hosts, untouched)
        start_s = time.monotonic()
        await play.run(losses, changes_s)
        window_s = time.monotonic() - start_s
        calls = await self._fleet.store_calls()
        await self._repair(losses)
        return Result(
            set_name,
            means.value,
            change_after_s,
            len(layout.node_ids),
            len(layout.node_ids) - len(untouched),
            len(untouched),
            known_after_s(play.acknowledged, play.sightings, untouched),
            calls - calls_before,
            window_s,
        )

    async def _settle(self) -> None:
        """Wait until all nodes know each other and each domain is watched."""
        await self._fleet.wait_for_members()
        await asyncio.sleep(SETTLE_S)
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            while not self._is_watched(self._layout()):
                await asyncio.sleep(1.0)

    def _is_watched(self, layout: loss_plans.Layout) -> bool:
        return all(layout.delegates_of(domain) for domain in layout.ranked)

    def _layout(self) -> loss_plans.Layout:
        return duties.layout(self._fleet.hosts, self._fleet.log_path)

    async def _repair(self, losses: typing.Iterable[loss_plans.Loss]) -> None:
        for loss in losses:
            for node_id in loss.node_ids:
                host = self._hosts[node_id]
                if loss.means is loss_plans.Means.PAUSED:
                    self._fleet.signal_node(host, signal.SIGCONT)
                elif loss.means in loss_plans.SIGNALS:
                    await self._fleet.restart_node(host)
        if self._fleet.options.with_network:
            await self._fleet.set_network_faults(network.NO_FAULTS)


class _Play:
    """Losses and changes in progress, and what untouched nodes serve."""

    def __init__(
        self,
        nodes: platform_fleet.PlatformFleet,
        hosts: typing.Mapping[str, fleet.Host],
        untouched: typing.Sequence[str],
    ) -> None:
        self.acknowledged: list[tuple[int, float]] = []
        self.sightings: list[Sighting] = []
        self._fleet = nodes
        self._hosts = hosts
        self._untouched = untouched
        self._ended = False

    async def run(
        self,
        losses: typing.Sequence[loss_plans.Loss],
        changes_s: typing.Sequence[float],
    ) -> None:
        """Play all losses and changes; wait until the last one is known."""
        start_s = time.monotonic()
        steps = [(loss.at_s, self._lose(loss)) for loss in losses]
        steps += [(at_s, self._change()) for at_s in changes_s]
        async with asyncio.TaskGroup() as group:
            for node_id in self._untouched:
                group.create_task(self._probe(node_id))
            for at_s, step in sorted(steps, key=lambda item: item[0]):
                await asyncio.sleep(start_s + at_s - time.monotonic())
                await step
            self._ended = True

    async def _lose(self, loss: loss_plans.Loss) -> None:
        if loss.means is loss_plans.Means.CUT:
            addresses = [self._hosts[each].address for each in loss.node_ids]
            faults = network.Faults(
                loss.failure_domain, tuple(addresses), silent=True, cut=True
            )
            await self._fleet.set_network_faults(faults)
            return
        for node_id in loss.node_ids:
            self._fleet.signal_node(
                self._hosts[node_id], loss_plans.SIGNALS[loss.means]
            )

    async def _change(self) -> None:
        await self._fleet.change_configuration(next(iter(self._hosts)), '')
        self.acknowledged.append((self._fleet.version, time.monotonic()))

    async def _probe(self, node_id: str) -> None:
        """Ask a node for the newest version until it serves the last one."""
        known = 0
        while True:
            with contextlib.suppress(IndexError):
                version, at_s = self.acknowledged[-1]
                if known < version and await self._is_served(node_id):
                    known = version
                if self._ended and known == version:
                    return
                if self._ended and time.monotonic() > at_s + GIVE_UP_S:
                    return
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _is_served(self, node_id: str) -> bool:
        version = self._fleet.version
        served = await self._fleet.has_newest_configuration(
            self._hosts[node_id]
        )
        if served:
            self.sightings.append(Sighting(node_id, version, time.monotonic()))
        return bool(served)


def table(results: typing.Iterable[Result]) -> str:
    """Return a Markdown table with a row for each run."""
    rows = [
        (
            result.set_name,
            result.means,
            result.change_after_s,
            result.node_count,
            result.lost,
            result.asked,
            ', '.join(f'{known_s:.2f}' for known_s in result.known_after_s),
            'yes' if result.in_time else 'no',
            f'{result.window_s:.1f}',
            ', '.join(
                f'{kind} {count}'
                for kind, count in sorted(result.calls.items())
            ),
        )
        for result in results
    ]
    headers = (
        'lost',
        'how',
        'change after s',
        'nodes',
        'lost',
        'asked',
        'known after s',
        'in time',
        'window s',
        'store calls',
    )
    return tabulate.tabulate(rows, headers, tablefmt='github')


def _site(node_count: int) -> sites.Site:
    return sites.Site(
        name='watchers',
        region='nordeste-ce',
        failure_domains=('ce-a', 'ce-b', 'ce-c'),
        one_way_ms=3.5,
        caller_one_way_ms=8.0,
        services=(
            sites.SiteService(
                platform_fleet.CHANGED_SERVICE,
                node_count,
                sites.READ_ONLY,
                15.0,
            ),
        ),
    )
