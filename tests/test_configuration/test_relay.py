"""Tests of relays: leases, watches, outages."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from bench import virtual
from jasminebeam.configuration import changes
from jasminebeam.configuration import directory
from jasminebeam.configuration import relay
from jasminebeam.model import services
from jasminebeam.model import upstreams
from jasminebeam.telemetry import events
from jasminebeam.telemetry import metrics
from tests import fake_store

FEES = services.Service('fees', ('fees.example',))


class Site:
    """A store, relays and the directories that they feed."""

    def __init__(self):
        self.loop = virtual.VirtualLoop()
        self.store = fake_store.FakeStore()
        self.directories = []
        self.tasks = []

    def add_relay(self, name='a'):
        """Start a relay and return its directory."""
        matcher = directory.ServiceDirectory()
        log = events.EventLog(name, metrics.Metrics())
        tested = relay.Relay(
            self.store,
            relay.Options('domain', name, relays_per_domain=1, lease_s=3),
            lambda: True,
            matcher.apply,
            random.Random(1),
            log,
        )
        self.tasks.append(self.loop.create_task(tested.run()))
        return matcher

    def write(self, change_id='c'):
        """Write a service as an operator would."""
        value = changes.StoredService((change_id,), FEES)
        key = changes.SERVICES_PREFIX + 'fees'
        self.store.write(key, msgspec.json.encode(value))

    def run(self, seconds):
        """Let virtual time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def close(self):
        """End all relays."""
        for task in self.tasks:
            task.cancel()
        gathered = asyncio.gather(*self.tasks, return_exceptions=True)
        self.loop.run_until_complete(gathered)
        self.loop.run_until_complete(self.loop.shutdown_asyncgens())
        self.loop.close()


@pytest.fixture
def site():
    """Provide a site without relays."""
    created = Site()
    yield created
    created.close()


def test_holder_passes_changes_on_and_others_do_not_watch(site):
    """One lease, one watch."""
    first = site.add_relay('a')
    site.run(2)
    site.add_relay('b')
    site.run(2)
    site.write()
    site.run(0.1)
    assert first.revision_of('fees') == site.store.revision
    assert len(site.store.watchers) == 1
    seeds = site.loop.run_until_complete(relay.read_seeds(site.store))
    assert seeds == ['a']


def test_relay_whose_lease_lapsed_gives_way(site):
    """It notices at the next renewal, and a relay watches again."""
    first = site.add_relay('a')
    site.run(2)
    site.store.expire(1)
    site.write()
    site.run(30)
    assert first.revision_of('fees') > 0
    assert len(site.store.leases) == 1
    assert len(site.store.watchers) == 1


def test_two_relays_at_once_do_no_harm(site):
    """A paused holder and its successor pass the same revisions on."""
    first = site.add_relay('a')
    site.run(2)
    site.store.expire(1)
    second = site.add_relay('b')
    site.run(0.9)
    site.write()
    site.run(10)
    assert first.revision_of('fees') == second.revision_of('fees') or (
        max(first.revision_of('fees'), second.revision_of('fees'))
        == site.store.items[changes.SERVICES_PREFIX + 'fees'].revision
    )


def test_outage_keeps_what_is_in_force_and_recovers(site):
    """Changes made after an outage arrive."""
    first = site.add_relay('a')
    site.run(2)
    site.write('c1')
    site.run(1)
    in_force = first.revision_of('fees')
    site.store.down = True
    site.run(3_600)
    site.store.expire(1)
    assert first.revision_of('fees') == in_force
    site.store.down = False
    site.write('c2')
    site.run(30)
    assert first.get('fees').change_id == 'c2'


def test_unreadable_value_is_refused_and_others_arrive(site):
    """A damaged key does not stop the relay."""
    first = site.add_relay('a')
    site.store.write(changes.SERVICES_PREFIX + 'bad', b'{"x"')
    site.write()
    site.run(3)
    assert first.revision_of('fees') > 0
    assert first.revision_of('bad') == 0


def test_candidates_are_few_and_of_the_own_domain():
    """Store calls grow with the failure domains, not with the nodes."""
    members = [
        upstreams.Member(f'n{number}', '', f'd{number % 2}', 'r', 1, 1)
        for number in range(1_000)
    ]
    chosen = relay.candidates(members[0], members, 2)
    assert len(chosen) == 4
    assert all(int(name[1:]) % 2 == 0 for name in chosen)
