"""Tests of the choice of ports on which tests listen."""

from __future__ import annotations

import pathlib

from tests import ports

EPHEMERAL_PORT_RANGE = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')


def test_ports_are_outside_the_ephemeral_range():
    """The ports of tests are below the range of ephemeral ports.

    An outgoing connection took the port of a test after the test had
    received the port number and before the test listened on the port.
    """
    first_ephemeral = int(EPHEMERAL_PORT_RANGE.read_text().split()[0])
    chosen = [ports.free_port() for _ in range(50)]
    assert max(chosen) < first_ephemeral
    assert len(set(chosen)) == len(chosen)


def test_blocks_do_not_overlap():
    """Ports of a block are not returned again."""
    blocks = [ports.free_block(7) for _ in range(20)]
    taken = {first + index for first in blocks for index in range(7)}
    assert len(taken) == 140
    assert ports.free_port() not in taken
