"""Tests of the etcd adapter on the stand-in store."""

from __future__ import annotations

import asyncio

import pytest
from returns import result

from bench.standins import store as stand_in
from jasminebeam.configuration import changes
from jasminebeam.model import services
from jasminebeam.store import etcd
from jasminebeam.store import store
from jasminebeam.telemetry import metrics
from tests import ports

UNAVAILABLE = result.Failure(store.StoreError.UNAVAILABLE)


@pytest.fixture
async def server():
    """Provide a stand-in store."""
    created = stand_in.StandInStore(ports.free_port())
    await created.start()
    yield created
    await created.stop()


@pytest.fixture
async def tested(server):
    """Provide an adapter that calls the stand-in store."""
    endpoint = f'http://127.0.0.1:{server._port}'
    created = etcd.EtcdStore(endpoint, 2_000, metrics.Metrics())
    yield created
    await created.close()


async def test_compare_and_set_needs_the_expected_revision(tested):
    """A write that conflicts leaves value and revision unchanged."""
    first = (await tested.compare_and_set('/k', 0, b'1')).unwrap()
    again = await tested.compare_and_set('/k', 0, b'2')
    assert again == result.Failure(store.StoreError.CONFLICT)
    found = (await tested.get('/k')).unwrap()
    assert (found.value, found.revision) == (b'1', first)


async def test_list_returns_only_keys_with_the_prefix(tested):
    """Keys that sort after the prefix are not returned."""
    for key in ('/a/1', '/a/2', '/b/1'):
        await tested.compare_and_set(key, 0, b'')
    listing = (await tested.list('/a/')).unwrap()
    assert [item.key for item in listing.items] == ['/a/1', '/a/2']


async def test_expired_lease_is_reported_and_its_keys_are_deleted(
    tested, server
):
    """The holder receives the error at its next renewal."""
    lease = (await tested.grant_lease(10)).unwrap()
    await tested.compare_and_set('/k', 0, b'', lease)
    assert (await tested.keep_alive(lease)).unwrap() == 10
    await server.expire_lease(lease)
    expired = await tested.keep_alive(lease)
    assert expired == result.Failure(store.StoreError.LEASE_EXPIRED)
    assert (await tested.get('/k')).unwrap() is None


async def test_watch_yields_writes_from_a_revision_on(tested):
    """Past writes since the revision come first, then new writes."""
    first = (await tested.compare_and_set('/a/1', 0, b'x')).unwrap()
    watching = tested.watch('/a/', first)
    assert (await anext(watching)).key == '/a/1'
    await tested.compare_and_set('/a/2', 0, b'y')
    assert (await anext(watching)).value == b'y'
    await watching.aclose()


async def test_deletion_did_not_reach_the_watcher(tested, server):
    """A deletion is yielded with its own revision, after the writes.

    Only the last change of one response is not followed by more.
    """
    lease = (await tested.grant_lease(10)).unwrap()
    await tested.compare_and_set('/a/1', 0, b'x', lease)
    await tested.compare_and_set('/a/2', 0, b'y')
    await server.expire_lease(lease)
    watching = tested.watch('/a/', 1)
    found = [await anext(watching) for _ in range(3)]
    await watching.aclose()
    assert [item.key for item in found] == ['/a/1', '/a/2', '/a/1']
    assert [item.deleted for item in found] == [False, False, True]
    assert [item.more for item in found] == [True, True, False]
    revisions = [item.revision for item in found]
    assert revisions == sorted(set(revisions))


async def test_watch_ends_when_the_store_goes_down(tested, server):
    """The iterator ends, so that a relay can list the keys again."""
    await tested.compare_and_set('/a/1', 0, b'x')
    watching = tested.watch('/a/', 1)
    await anext(watching)
    await server.set_faults(stand_in.Faults(down=True))
    with pytest.raises(StopAsyncIteration):
        await anext(watching)
    assert await tested.get('/k') == UNAVAILABLE


async def test_lost_response_to_a_write_is_resolved(tested, server):
    """The editor finds the write in the store and does not repeat it."""
    await server.set_faults(stand_in.Faults(lose_write_answers=1))
    editor = changes.ServiceEditor(tested)
    fees = services.Service('fees', ('fees.example',))
    created = (await editor.create(fees, 'c1')).unwrap()
    assert created.change_id == 'c1'
    assert server.calls['/v3/kv/txn'] == 1


async def test_one_of_concurrent_updates_succeeds(tested):
    """Exactly one of five concurrent updates of a service succeeds."""
    editor = changes.ServiceEditor(tested)
    fees = services.Service('fees', ('fees.example',))
    first = (await editor.create(fees, 'c1')).unwrap()
    done = await asyncio.gather(
        *(editor.update(fees, first.revision, f'u{n}') for n in range(5))
    )
    won = [change for change in done if isinstance(change, result.Success)]
    assert len(won) == 1
