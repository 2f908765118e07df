"""Free ports and settings for tests with real sockets."""

from __future__ import annotations

import itertools
import os
import socket

from jasminebeam import settings


# Outgoing connections take their ports from 32,768 on: below it, nobody
# takes a port between its choice and its use.
FIRST_PORT = 12_000
PORTS = 20_000

# Test runs beside each other begin at places of their own.
_numbers = itertools.count(os.getpid() * 613)


def free_port() -> int:
    """Return a loopback port that nothing listens on, each once."""
    while True:
        port = FIRST_PORT + next(_numbers) % PORTS
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port


def node_settings(
    node_id: str, endpoint: str = '', seeds: str = '', **peering: str
) -> settings.Settings:
    """Return settings with free ports."""
    extra = '\n'.join(f'{key} = {value}' for key, value in peering.items())
    text = f"""
[node]
node_id = {node_id}
[callers]
port = {free_port()}
[peering]
port = {free_port()}
seeds = {seeds}
{extra}
[upstream]
announce_port = {free_port()}
[operators]
port = {free_port()}
[platform]
endpoint = {endpoint}
"""
    return settings.parse(text).unwrap()
