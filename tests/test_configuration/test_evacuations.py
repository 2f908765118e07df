"""Tests of the evacuated domains of one node and of their keys."""

from __future__ import annotations

import itertools

import pytest

from jasminebeam.configuration import evacuation_reader
from jasminebeam.configuration import evacuations
from jasminebeam.model import evacuations as model
from jasminebeam.store import store
from jasminebeam.telemetry import events
from jasminebeam.telemetry import metrics

PREFIX = 'operators/evacuate/'
# A history of the store: each set is complete at its revision.
HISTORY = tuple(
    model.Evacuations(revision, domains)
    for revision, domains in ((3, ('a',)), (5, ('a', 'b')), (8, ('b',)))
)


class Reading:
    """A reader and the sets that it passes on."""

    def __init__(self):
        self.counters = metrics.Metrics()
        self.adopted = []
        self.reader = evacuation_reader.EvacuationReader(
            PREFIX, self._adopt, events.EventLog('n', self.counters)
        )

    def _adopt(self, found, listed):
        self.adopted.append((found.revision, found.domains, listed))

    def refused(self):
        """Return the number of keys that were logged as malformed."""
        labels = {'number': '513'}
        registry = self.counters.registry
        return registry.get_sample_value('jasminebeam_events_total', labels)


def _item(domain, revision, deleted=False):
    return store.KeyValue(PREFIX + domain, b'{}', revision, deleted)


@pytest.mark.parametrize('order', [*itertools.permutations(range(3))])
def test_late_or_repeated_set_reverted_a_newer_one(order):
    """The newest set wins whatever the order, and however often each comes."""
    directory = evacuations.EvacuationDirectory()
    for index in (*order, *order):
        directory.apply(HISTORY[index], 0.0)
    assert directory.current == HISTORY[-1]


def test_listing_without_evacuations_raised_the_revision():
    """Nodes send nothing about evacuations while the revision is 0."""
    directory = evacuations.EvacuationDirectory()
    assert not directory.apply_listing(model.Evacuations(40), 0.0)
    assert directory.revision == 0


def test_listing_missed_a_change():
    """A listing replaces the set if it differs and is newer."""
    directory = evacuations.EvacuationDirectory()
    assert directory.apply_listing(HISTORY[1], 0.0)
    assert not directory.apply_listing(HISTORY[0], 0.0)
    assert directory.apply_listing(model.Evacuations(9), 0.0)
    assert directory.domains == frozenset()


def test_set_of_a_peer_from_before_a_listing_came_into_force():
    """A peer that missed a withdrawal does not revive the evacuation.

    The own set gets a revision above that of the peer, which then takes it.
    """
    reader, peer = (evacuations.EvacuationDirectory() for _ in range(2))
    peer.apply(HISTORY[0], 0.0)
    reader.apply_listing(model.Evacuations(9), 0.0)
    assert reader.apply(peer.current, 0.0)
    assert reader.domains == frozenset()
    assert peer.apply(reader.current, 0.0)
    assert peer.domains == frozenset()


def test_domain_got_its_whole_load_at_the_withdrawal():
    """Shares rise in steps, and a new evacuation ends them."""
    directory = evacuations.EvacuationDirectory()
    directory.apply(HISTORY[1], 0.0)
    directory.apply(HISTORY[2], 1_000.0)
    shares = [
        directory.share('a', 1_000.0 + at_ms) for at_ms in range(0, 5_000, 450)
    ]
    assert shares == sorted(shares)
    assert shares[0] == 0.25
    assert shares[-1] == 1.0
    assert not directory.is_returning
    assert directory.share('b', 9_000.0) == 0.0
    directory.apply(model.Evacuations(9), 9_000.0)
    directory.apply(model.Evacuations(10, ('b',)), 9_100.0)
    assert directory.share('b', 9_100.0) == 0.0


def test_changes_of_one_response_were_applied_one_by_one():
    """A set is complete only at the last change of a response.

    An incomplete one would be in force if it reached another node.
    """
    reading = Reading()
    other = store.KeyValue('operators/other', b'', 4)
    reading.reader.on_listing(store.Listing(4, (_item('a', 2), other)))
    changes = (_item('b', 6), _item('a', 7, deleted=True))
    reading.reader.on_changes(changes)
    reading.reader.on_changes([other])
    assert reading.adopted == [(4, ('a',), True), (7, ('b',), False)]


def test_malformed_keys_hid_or_ended_evacuations():
    """Keys of other writers are ignored, and logged once each."""
    reading = Reading()
    bad = [_item(name, 5) for name in ('', 'a/b', 'x y', 65 * 'z', '\r')]
    reading.reader.on_listing(store.Listing(5, (*bad, _item('a', 2))))
    reading.reader.on_changes([*bad, _item('a/b', 6, deleted=True)])
    assert reading.adopted == [(5, ('a',), True)]
    assert reading.refused() == len(bad)


def test_number_of_evacuated_domains_was_unbounded():
    """Keys beyond the limit are ignored, the others stay in force."""
    reading = Reading()
    count = model.MAX_DOMAINS
    items = tuple(_item(f'd{n}', n + 1) for n in range(count + 9))
    reading.reader.on_listing(store.Listing(count + 9, items))
    assert len(reading.adopted[0][1]) == count
