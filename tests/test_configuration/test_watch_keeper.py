"""Tests of the choice of watchers in rare orders of events."""

from __future__ import annotations

import asyncio

import pytest

from jasminebeam.configuration import watch_timing
from tests.test_configuration import test_route_watcher as fleets

create_fleet = fleets.create_fleet


def _refuse_full_reads(fleet):
    """Answer cheap reads and refuse the others, as beyond a rate."""
    shared = fleet.store
    original = shared.list

    async def read(prefix, allow_stale=False):
        if allow_stale:
            return await original(prefix, allow_stale)
        await shared._call('list')
        return fleets.UNAVAILABLE

    shared.list = read
    return original


@pytest.mark.parametrize('size', [28, 200])
def test_all_nodes_watched_while_only_full_reads_were_refused(
    create_fleet, size
):
    """Cheap reads do not count toward the rate limit; the others do."""
    fleet = fleets._start_fleet(create_fleet, size, 1)
    _refuse_full_reads(fleet)
    fleet.silence(fleet.watchers())
    before = fleet.store.calls['list']
    fleet.advance(20.0)
    assert len(fleet.watchers()) <= (
        fleets.DOMAINS * watch_timing.FIRST_TIER_END
    )
    # Eight reads a second for each failure domain, whatever its size.
    reads = fleet.store.calls['list'] - before
    assert reads <= 8 * 20 * fleets.DOMAINS


@pytest.mark.parametrize('seed', range(10))
@pytest.mark.parametrize('size', [15, 28])
def test_change_was_late_when_the_first_watchers_of_a_start_vanished(
    create_fleet, size, seed
):
    """All nodes have run for 3 s; those that watch vanish."""
    fleet = create_fleet(size, seed=seed)
    fleet.write_routes(1)
    fleet.advance(3.4)
    fleet.silence(fleet.watchers())
    fleet.advance(0.1)
    fleet.write_routes(2)
    fleet.assert_in_force(2)


@pytest.mark.parametrize('seed', range(10))
@pytest.mark.parametrize('gone', [0.0, 0.5])
@pytest.mark.parametrize('size', [72, 200])
def test_change_was_late_while_first_ranks_called_in_vain(
    create_fleet, monkeypatch, size, seed, gone
):
    """The first ranks cannot reach the store, some of the rest are gone."""
    monkeypatch.setattr(fleets, 'DOMAINS', 3)
    fleet = fleets._start_fleet(create_fleet, size, seed)
    lost = []
    for domain in range(3):
        ranked = fleet.nodes[0].group.ranked(f'd{domain}')
        first = ranked[1 : watch_timing.FIRST_TIER_END]
        fleet.store.cut |= {node.node_id for node in first}
        rest = ranked[watch_timing.FIRST_TIER_END :]
        lost += [ranked[0], *rest[: int(len(rest) * gone)]]
    fleet.silence(lost)
    fleet.write_routes(2)
    fleet.assert_in_force(2)


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('size', [15, 28])
def test_lost_polls_were_hidden_when_the_first_domain_was_gone(
    create_fleet, size, seed
):
    """Only the first domain replaced its poll."""
    fleet = fleets._start_fleet(create_fleet, size, seed, stale_s=5.0)
    fleet.silence([node for node in fleet.nodes if node.domain == 'd0'])
    # The other nodes watch by now; in the fleet, members of a domain that is
    # lost as a whole stay suspected for two hours.
    fleet.loop.run_until_complete(asyncio.sleep(2.0))
    fleet.lose_poll_answers()
    fleet.write_routes(2)
    fleet.advance(3.0)
    fleet.write_routes(3)
    fleet.assert_in_force(3)


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('size', [3, 15])
def test_second_poll_in_a_row_that_was_lost_went_unnoticed(
    create_fleet, size, seed
):
    """A watch is given up once for each revision of the store."""
    fleet = fleets._start_fleet(create_fleet, size, seed)
    fleet.write_routes(2)
    fleet.advance(2.0)
    fleet.lose_poll_answers()
    fleet.write_routes(3)
    for _ in range(300):
        fleet.lose_poll_answers()
        fleet.advance(0.005)
    # The store has lost no answer for the time until nodes are in touch.
    fleet.advance(3.0)
    fleet.assert_in_force(3)
