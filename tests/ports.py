"""Free ports and settings for tests with real sockets."""

from __future__ import annotations

import socket

from jasminebeam import settings


def free_port() -> int:
    """Return a loopback port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


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
