"""Tests of operators' changes of evacuations in the own store."""

from __future__ import annotations

import pytest

from jasminebeam.configuration import evacuation_editor
from jasminebeam.configuration import evacuation_key
from tests import fake_store


@pytest.fixture
def backend():
    """Provide a store."""
    return fake_store.FakeStore()


def _domains(backend):
    value = backend.items[evacuation_key.KEY].value
    return evacuation_key.decode(value).unwrap().domains


async def test_concurrent_evacuation_was_overwritten(backend):
    """Two operators evacuate different domains at the same time."""
    editor = evacuation_editor.EvacuationEditor(backend)
    backend.before_write = lambda: backend.write(
        evacuation_key.KEY, b'{"domains": ["b"]}'
    )
    changed = (await editor.evacuate('a')).unwrap()
    assert changed.domains == _domains(backend) == ('a', 'b')
    assert changed.revision == backend.revision


async def test_lost_answer_of_a_write_was_reported_as_a_failure(backend):
    """The next read shows that the change is in the store."""
    editor = evacuation_editor.EvacuationEditor(backend)
    backend.lose_write_answers = 1
    changed = (await editor.evacuate('a')).unwrap()
    assert changed.domains == ('a',)
    assert backend.revision == changed.revision == 1


async def test_unconfirmed_change_was_reported_as_done(backend):
    """Without the store no change is made, and the kind says so."""
    backend.down = True
    editor = evacuation_editor.EvacuationEditor(backend)
    for change in (editor.evacuate('a'), editor.restore('a')):
        assert (await change).failure().kind == 'unavailable'


@pytest.mark.parametrize('name', ['', 'a/b', 'x y', 65 * 'z'])
async def test_malformed_domain_was_evacuated(backend, name):
    """Names that no node can have are refused."""
    editor = evacuation_editor.EvacuationEditor(backend)
    assert (await editor.evacuate(name)).failure().kind == 'invalid'
    assert not backend.items
