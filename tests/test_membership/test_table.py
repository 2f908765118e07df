"""Tests of the member table."""

from __future__ import annotations

import collections
import random

import msgspec

from jasminebeam.membership import rumors
from jasminebeam.membership import table
from jasminebeam.model import upstreams


def _member(name, **changes):
    first = upstreams.Member(name, name, 'd', 'r', 1, 1)
    return msgspec.structs.replace(first, **changes)


def test_counts_and_digests_do_not_depend_on_the_order():
    """Tables that merge the same records in any order have equal digests.

    The counts by status match the records.
    """
    generator = random.Random(5)
    names = [f'n{number}' for number in range(40)]
    records = [
        _member(
            generator.choice(names),
            version=generator.randint(1, 5),
            status=generator.choice(list(upstreams.Status)),
        )
        for _ in range(400)
    ]
    first, second = table.MemberTable(), table.MemberTable()
    for name in names:
        first.merge(_member(name, version=0), 0.0)
        second.merge(_member(name, version=0), 0.0)
    for record in records:
        first.merge(record, 0.0)
    for record in reversed(records):
        second.merge(record, 0.0)
    assert first.digest == second.digest
    assert first.group_digests == second.group_digests
    counted = collections.Counter(record.status for record in first)
    for status, count in first.count_by_status().items():
        assert count == counted[status]


def test_late_death_record_does_not_restore_a_purged_member():
    """A table accepts only an active record of an unknown member."""
    tested = table.MemberTable()
    tested.merge(_member('a'), 0.0)
    dead = _member('a', status=upstreams.Status.DEAD)
    tested.merge(dead, 0.0)
    tested.purge('a')
    assert not tested.merge(dead, 1.0)
    assert tested.merge(_member('a', version=2), 1.0)


def test_ring_successors_wrap_and_exclude_the_member():
    """The successors of a member are all other members, each once."""
    ring = table.Ring()
    names = [f'n{number}' for number in range(5)]
    for name in names:
        ring.add(name)
    found = ring.successors('n0', 10)
    assert sorted(found) == names[1:]


def test_full_rumor_queue_drops_the_most_sent_change():
    """The queue keeps the changes that have been sent least often."""
    queue = rumors.RumorQueue(max_rumors=2)
    queue.add('a', 'a', 1)
    queue.take(10, max_sends=5)
    queue.add('b', 'b', 1)
    queue.add('c', 'c', 1)
    assert queue.dropped == 1
    assert queue.take(10, max_sends=5) == ['b', 'c']
