"""Tests of the directory of service revisions."""

from __future__ import annotations

import random

from jasminebeam.configuration import directory
from jasminebeam.model import services


def _revision(number, service=True, name='fees', **fields):
    definition = services.Service(name, (f'{name}.example',), **fields)
    return services.ServiceRevision(
        name, number, f'c{number}', definition if service else None
    )


def test_highest_revision_wins_in_any_order():
    """A late revision or tombstone never replaces a newer one."""
    revisions = [_revision(1), _revision(2, service=False), _revision(3)]
    generator = random.Random(3)
    for _ in range(20):
        tested = directory.ServiceDirectory()
        for revision in generator.choices(revisions, k=10) + revisions:
            tested.apply(revision)
        assert tested.revision_of('fees') == 3
        assert len(tested._by_host['fees.example']) == 1


def test_deleted_service_is_neither_matched_nor_restored():
    """An older revision that arrives late does not replace a tombstone."""
    tested = directory.ServiceDirectory()
    tested.apply(_revision(1))
    tested.apply(_revision(2, service=False))
    assert not tested.apply(_revision(1))
    assert tested.match('fees.example', '/') is None


def test_longest_prefix_wins_and_port_is_ignored():
    """Of two services of one host, the longest path prefix is matched."""
    tested = directory.ServiceDirectory()
    for name, prefix in (('all', '/'), ('api', '/api')):
        service = services.Service(name, ('x.example',), path_prefix=prefix)
        tested.apply(services.ServiceRevision(name, 1, 'c', service))
    assert tested.match('X.example:8080', '/api/1').name == 'api'
    assert tested.match('x.example', '/other').name == 'all'


def test_digests_find_differing_revisions():
    """Only revisions in buckets with differing digests are returned."""
    first, second = directory.ServiceDirectory(), directory.ServiceDirectory()
    for number in range(1, 100):
        first.apply(_revision(number, name=f's{number}'))
        second.apply(_revision(number, name=f's{number}'))
    assert first.digest == second.digest
    first.apply(_revision(200, name='s7'))
    names = {r.name for r in first.differing(second.buckets)}
    assert 's7' in names
    assert len(names) < 20
