"""Tests of the trees along which reports of watchers spread."""

from __future__ import annotations

import pytest

from jasminebeam.membership import fan_out
from jasminebeam.membership import table


def _ring(size):
    ring = table.Ring()
    for index in range(size):
        ring.add(f'n{index}')
    return ring


@pytest.mark.parametrize('size', [1, 2, 5, 9, 10, 24, 39, 200, 1_640])
def test_each_member_receives_exactly_one_copy(size):
    """The tree of any root spans the ring with a bounded fan-out."""
    ring = _ring(size)
    for root in {'n0', f'n{size // 2}'}:
        reached = [root]
        for node_id in reached:
            receivers = fan_out.receivers(ring, root, node_id)
            assert len(receivers) <= fan_out.FAN_OUT
            reached.extend(receivers)
        assert len(reached) == size
        assert len(set(reached)) == size


def test_unknown_root_or_member_has_no_receivers():
    """A ring without the root has no tree."""
    ring = _ring(5)
    assert not fan_out.receivers(ring, 'unknown', 'n0')
    assert not fan_out.receivers(ring, 'n0', 'unknown')
