"""Configuration in force at each host, read from its metrics."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import typing

import aiohttp
from prometheus_client import parser

from jasminebeam import http_client

READ_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 1_000_000

_REVISION = 'jasminebeam_config_revision'
_STORE_AGE = 'jasminebeam_store_age_seconds'


@dataclasses.dataclass(frozen=True, slots=True)
class HostState:
    """Configuration in force at one host.

    Parameters
    ----------
    address : str
        Metrics address of the host.
    revision : int or None
        Revision in force, 0 before the first; None without an answer.
    store_age_s : float or None
        Time since the store last answered a node from which this one has
        heard, -1 if unknown; None without an answer.
    """

    address: str
    revision: int | None = None
    store_age_s: float | None = None


async def read_all(addresses: typing.Iterable[str]) -> list[HostState]:
    """Return the states of the hosts at these metrics addresses."""
    session = http_client.create_session(
        http_client.Connector(MAX_ANSWER_BYTES),
        aiohttp.ClientTimeout(total=READ_TIMEOUT_S),
    )
    async with session:
        return await asyncio.gather(
            *(_read(session, address) for address in addresses)
        )


async def _read(session: aiohttp.ClientSession, address: str) -> HostState:
    try:
        async with session.get(f'http://{address}/metrics') as response:
            content = await http_client.read_body(response, MAX_ANSWER_BYTES)
        return parse(address, content.decode())
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return HostState(address)


def parse(address: str, text: str) -> HostState:
    """Return the state that metrics in the text format describe.

    Raises
    ------
    ValueError
        If the text is malformed.

    Examples
    --------
    >>> parse('a:1', 'jasminebeam_config_revision 12\\n')
    HostState(address='a:1', revision=12, store_age_s=None)
    """
    values = {
        sample.name: sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
        if math.isfinite(sample.value)
    }
    revision = values.get(_REVISION)
    return HostState(
        address,
        None if revision is None else int(revision),
        values.get(_STORE_AGE),
    )
