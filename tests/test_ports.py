"""Tests of the ports that tests listen on."""

from __future__ import annotations

import pathlib

from tests import ports

RANGE = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')


def test_outgoing_connections_take_no_port_of_a_test():
    """One did, between the choice of the port and its use."""
    first = int(RANGE.read_text().split()[0])
    chosen = [ports.free_port() for _ in range(50)]
    assert max(chosen) < first
    assert len(set(chosen)) == len(chosen)
