"""Requests of each team over all nodes, as operators see them."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import ssl
import typing

import aiohttp
import grpclib
from prometheus_client import parser

from jasminebeam import http_client
from jasminebeam.operators import channel as channel_module
from jasminebeam.operators.generated import operators_grpc
from jasminebeam.operators.generated import operators_pb2
from jasminebeam.telemetry import team_counts

READ_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 1_000_000

_REQUESTS = 'jasminebeam_team_requests_total'
_LIMIT = 'jasminebeam_team_limit_per_s'


@dataclasses.dataclass(frozen=True, slots=True)
class NodeTeam:
    """One team at one node.

    Parameters
    ----------
    limit_per_s : float
        Rate limit over all nodes; 0 if there is none.
    counts : Summary
        Requests since the start of the node.
    """

    limit_per_s: float
    counts: team_counts.Summary


# Teams of one node by name; None if the node has not answered.
Reading = dict[str, NodeTeam] | None
Read = typing.Callable[[str], typing.Awaitable[Reading]]


@dataclasses.dataclass(frozen=True, slots=True)
class TeamState:
    """One team over all nodes that have answered.

    Parameters
    ----------
    team : str
        Name of the team.
    rate_per_s : float
        Requests a second that it has sent during the measurement.
    limit_per_s : float
        Rate limit; 0 if there is none.
    admitted, limited, refused : int
        As in `team_counts.Summary`, since the start of each node.
    """

    team: str
    rate_per_s: float
    limit_per_s: float
    admitted: int
    limited: int
    refused: int


async def read_twice(
    addresses: typing.Sequence[str], read: Read, interval_s: float
) -> tuple[list[TeamState], list[str]]:
    """Return the teams over all nodes, and the nodes without an answer."""
    before = await asyncio.gather(*map(read, addresses))
    await asyncio.sleep(interval_s)
    after = await asyncio.gather(*map(read, addresses))
    silent = [
        address
        for address, reading in zip(addresses, after, strict=True)
        if reading is None
    ]
    return combine(before, after, interval_s), silent


def combine(
    before: typing.Sequence[Reading],
    after: typing.Sequence[Reading],
    interval_s: float,
) -> list[TeamState]:
    """Return the sums over all nodes, from two readings of the same nodes.

    A node that has answered only once, or has restarted between, counts
    nothing for the rate.
    """
    limits: dict[str, float] = {}
    sent: collections.Counter[str] = collections.Counter()
    sums: dict[str, collections.Counter[str]] = {}
    for first, second in zip(before, after, strict=True):
        for name, state in (second or {}).items():
            counts = dataclasses.asdict(state.counts)
            limits[name] = max(limits.get(name, 0.0), state.limit_per_s)
            sums.setdefault(name, collections.Counter()).update(counts)
            if first is not None and name in first:
                earlier = dataclasses.asdict(first[name].counts)
                sent[name] += max(
                    0, sum(counts.values()) - sum(earlier.values())
                )
    return [
        TeamState(
            name,
            round(sent[name] / interval_s, 1),
            limits[name],
            sums[name]['admitted'],
            sums[name]['limited'],
            sums[name]['refused'],
        )
        for name in sorted(sums)
    ]


async def read_operators(
    address: str, tls: ssl.SSLContext | None = None
) -> Reading:
    """Return the teams at the node with this operators' address."""
    host, _, port = address.rpartition(':')
    channel = channel_module.Channel(host, int(port), tls)
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            answer = await operators_grpc.OperatorsStub(channel).ListTeams(
                operators_pb2.ListTeamsRequest()
            )
    except (
        grpclib.GRPCError,
        grpclib.exceptions.StreamTerminatedError,
        OSError,
        TimeoutError,
    ):
        return None
    finally:
        channel.close()
    return {
        state.team.name: NodeTeam(
            state.team.rate_per_s,
            team_counts.Summary(state.admitted, state.limited, state.refused),
        )
        for state in answer.teams
    }


async def read_metrics(address: str) -> Reading:
    """Return the teams at the node with this metrics address."""
    session = http_client.create_session(
        http_client.Connector(MAX_ANSWER_BYTES),
        aiohttp.ClientTimeout(total=READ_TIMEOUT_S),
    )
    try:
        async with session:
            async with session.get(f'http://{address}/metrics') as response:
                content = await http_client.read_body(
                    response, MAX_ANSWER_BYTES
                )
        return parse(content.decode())
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return None


def parse(text: str) -> dict[str, NodeTeam]:
    """Return the teams that metrics in the text format describe.

    Raises
    ------
    ValueError
        If the text is malformed.

    Examples
    --------
    >>> line = 'jasminebeam_team_requests_total{team="a",outcome="limited"} 3'
    >>> parse(line)['a'].counts
    Summary(admitted=0, limited=3, refused=0)
    """
    counts: dict[str, dict[str, float]] = {}
    limits: dict[str, float] = {}
    for family in parser.text_string_to_metric_families(text):
        for sample in family.samples:
            team = sample.labels.get('team', '')
            if sample.name == _REQUESTS:
                outcome = sample.labels.get('outcome', '')
                counts.setdefault(team, {})[outcome] = sample.value
            elif sample.name == _LIMIT:
                limits[team] = sample.value
    return {
        team: NodeTeam(
            limits.get(team, 0.0), team_counts.summarize(by_outcome)
        )
        for team, by_outcome in counts.items()
    }
