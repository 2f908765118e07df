"""Tests of changes by operators on a store with faults."""

from __future__ import annotations

import dataclasses

import msgspec
import pytest
from returns import result

from jasminebeam.configuration import changes
from jasminebeam.model import services
from tests import fake_store

FEES = services.Service('fees', ('fees.example',))
KEY = changes.SERVICES_PREFIX + 'fees'


@pytest.fixture
def backend():
    """Provide an empty store."""
    return fake_store.FakeStore()


@pytest.fixture
def editor(backend):
    """Provide an editor that writes to the store."""
    return changes.ServiceEditor(backend)


async def test_lost_response_to_a_write_is_resolved(editor, backend):
    """The editor finds the change in the store after a lost response."""
    backend.lose_write_answers = 1
    created = (await editor.create(FEES, 'c1')).unwrap()
    assert created.revision == backend.items[KEY].revision
    assert created.change_id == 'c1'


async def test_repeated_change_is_not_written_again(editor, backend):
    """A change with the same identifier returns the same revision."""
    first = await editor.create(FEES, 'c1')
    again = await editor.create(FEES, 'c1')
    assert first == again
    assert backend.revision == 1


async def test_repeated_change_succeeds_after_a_later_change(editor, backend):
    """A repetition after the change of another operator is no conflict.

    An operator repeats a change if its response was lost. Another operator
    may have overwritten the service by then.
    """
    first = (await editor.create(FEES, 'c1')).unwrap()
    longer = dataclasses.replace(FEES, timeout_ms=9)
    await editor.update(longer, first.revision, 'c2')
    repeated = (await editor.create(FEES, 'c1')).unwrap()
    assert repeated.service.timeout_ms == 9


async def test_one_of_two_concurrent_changes_conflicts(editor, backend):
    """The rejection of the second change contains the current revision."""
    first = (await editor.create(FEES, 'c1')).unwrap()

    def concurrent_write():
        value = changes.StoredService(('other',), FEES)
        backend.write(KEY, msgspec.json.encode(value))

    backend.before_write = concurrent_write
    lost = await editor.update(FEES, first.revision, 'c2')
    rejection = lost.failure()
    assert rejection.kind == 'conflict'
    assert rejection.current_revision == 2


async def test_stale_expected_revision_is_a_conflict(editor):
    """An update that expects an earlier revision is rejected."""
    first = (await editor.create(FEES, 'c1')).unwrap()
    await editor.update(FEES, first.revision, 'c2')
    lost = await editor.update(FEES, first.revision, 'c3')
    assert lost.failure().kind == 'conflict'


async def test_deleted_service_is_created_again_with_a_higher_revision(
    editor,
):
    """Deletion and re-creation each raise the revision."""
    first = (await editor.create(FEES, 'c1')).unwrap()
    deleted = (await editor.delete('fees', first.revision, 'c2')).unwrap()
    assert deleted.service is None
    recreated = (await editor.create(FEES, 'c3')).unwrap()
    assert first.revision < deleted.revision < recreated.revision


async def test_change_fails_while_the_store_is_down(editor, backend):
    """The change is rejected as unavailable and not written."""
    backend.down = True
    refused = await editor.create(FEES, 'c1')
    assert refused.failure().kind == 'unavailable'
    assert not backend.items


async def test_invalid_definition_is_not_written(editor, backend):
    """The rejection names the invalid field."""
    wrong = dataclasses.replace(FEES, timeout_ms=0)
    refused = (await editor.create(wrong, 'c1')).failure()
    assert refused.kind == 'invalid'
    assert refused.detail.startswith('timeout_ms')
    assert not backend.items


async def test_missing_service_and_empty_change_id_are_rejected(editor):
    """The rejection names the cause in both cases."""
    missing = await editor.update(FEES, 1, 'c1')
    assert missing.failure().kind == 'missing'
    unnamed = await editor.create(FEES, '')
    assert isinstance(unnamed, result.Failure)
    assert 'change_id' in unnamed.failure().detail
