"""Tests of operators' changes against a store with faults."""

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
    """Provide an editor on the store."""
    return changes.ServiceEditor(backend)


async def test_answer_lost_after_the_write_is_resolved(editor, backend):
    """The change is found in the store although its answer was lost."""
    backend.lose_answers = 1
    created = (await editor.create(FEES, 'c1')).unwrap()
    assert created.revision == backend.items[KEY].revision
    assert created.change_id == 'c1'


async def test_repeated_change_changes_nothing(editor, backend):
    """The same change id returns the same revision."""
    first = await editor.create(FEES, 'c1')
    again = await editor.create(FEES, 'c1')
    assert first == again
    assert backend.revision == 1


async def test_change_whose_answer_was_lost_and_then_overwritten(
    editor, backend
):
    """A repetition after another operator's change is still no conflict."""
    first = (await editor.create(FEES, 'c1')).unwrap()
    longer = dataclasses.replace(FEES, timeout_ms=9)
    await editor.update(longer, first.revision, 'c2')
    repeated = (await editor.create(FEES, 'c1')).unwrap()
    assert repeated.service.timeout_ms == 9


async def test_racing_operators_one_wins(editor, backend):
    """The other gets a conflict that names the current revision."""
    first = (await editor.create(FEES, 'c1')).unwrap()

    def race():
        value = changes.StoredService(('other',), FEES)
        backend.write(KEY, msgspec.json.encode(value))

    backend.before_write = race
    lost = await editor.update(FEES, first.revision, 'c2')
    rejection = lost.failure()
    assert rejection.kind == 'conflict'
    assert rejection.current_revision == 2


async def test_stale_expected_revision_is_a_conflict(editor):
    """An update must be based on the current revision."""
    first = (await editor.create(FEES, 'c1')).unwrap()
    await editor.update(FEES, first.revision, 'c2')
    lost = await editor.update(FEES, first.revision, 'c3')
    assert lost.failure().kind == 'conflict'


async def test_deleted_service_is_created_again_with_a_higher_revision(
    editor,
):
    """A tombstone keeps revisions rising."""
    first = (await editor.create(FEES, 'c1')).unwrap()
    gone = (await editor.delete('fees', first.revision, 'c2')).unwrap()
    assert gone.service is None
    back = (await editor.create(FEES, 'c3')).unwrap()
    assert first.revision < gone.revision < back.revision


async def test_store_down_is_unavailable(editor, backend):
    """Nothing is written while the store is down."""
    backend.down = True
    refused = await editor.create(FEES, 'c1')
    assert refused.failure().kind == 'unavailable'
    assert not backend.items


async def test_invalid_definition_is_not_written(editor, backend):
    """The rejection names the field."""
    wrong = dataclasses.replace(FEES, timeout_ms=0)
    refused = (await editor.create(wrong, 'c1')).failure()
    assert refused.kind == 'invalid'
    assert refused.detail.startswith('timeout_ms')
    assert not backend.items


async def test_missing_service_and_empty_change_id(editor):
    """Both are named."""
    missing = await editor.update(FEES, 1, 'c1')
    assert missing.failure().kind == 'missing'
    unnamed = await editor.create(FEES, '')
    assert isinstance(unnamed, result.Failure)
    assert 'change_id' in unnamed.failure().detail
