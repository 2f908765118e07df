"""Free ports, and settings that use them, for tests with real sockets."""

from __future__ import annotations

import itertools
import os
import socket

from jasminebeam import settings


# Outgoing connections take their ports from 32,768 on. Below this number, no
# outgoing connection can take a port before the test listens on it.
FIRST_PORT = 12_000
PORT_COUNT = 20_000

# Parallel test runs begin at different numbers.
_offsets = itertools.count(os.getpid() * 613)


def free_port() -> int:
    """Return a free loopback port; return each port at most once."""
    return free_block(1)


def free_block(count: int) -> int:
    """Return the first of successive free ports; see `free_port`."""
    while True:
        first = FIRST_PORT + next(_offsets) % PORT_COUNT
        block = range(first, first + count)
        if block[-1] >= FIRST_PORT + PORT_COUNT:
            continue
        if all(_is_free(port) for port in block):
            for _ in block[1:]:
                next(_offsets)
            return first


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


def node_settings(
    node_id: str, endpoint: str = '', seeds: str = '', **peering: str
) -> settings.Settings:
    """Return the settings of a node with free ports."""
    peering_lines = '\n'.join(
        f'{key} = {value}' for key, value in peering.items()
    )
    text = f"""
[node]
node_id = {node_id}
[callers]
port = {free_port()}
[peering]
port = {free_port()}
seeds = {seeds}
{peering_lines}
[upstream]
announce_port = {free_port()}
[operators]
port = {free_port()}
[platform]
endpoint = {endpoint}
"""
    return settings.parse(text).unwrap()
