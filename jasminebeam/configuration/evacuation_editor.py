"""Writes operators' evacuations to the product's own store."""

from __future__ import annotations

import typing

import msgspec
from returns import result

from jasminebeam.configuration import changes
from jasminebeam.configuration import evacuation_key
from jasminebeam.model import evacuations
from jasminebeam.store import store

# Attempts of a change while other operators change the same key.
MAX_ATTEMPTS = 5

Change = result.Result[evacuations.Evacuations, changes.Rejection]


class EvacuationEditor:
    """Evacuates failure domains and withdraws evacuations.

    Both may be repeated: a change that is in the store already succeeds. A
    write whose response was lost is resolved by the next read.

    Parameters
    ----------
    backend : Store
        The product's own store.
    """

    def __init__(self, backend: store.Store) -> None:
        self._store = backend

    async def evacuate(self, domain: str) -> Change:
        """Add a failure domain to the evacuated ones."""
        if not evacuations.is_domain(domain):
            return _rejected('invalid', f'{domain[:100]!r} is no domain')
        return await self._change(lambda domains: domains | {domain})

    async def restore(self, domain: str) -> Change:
        """Remove a failure domain from the evacuated ones."""
        return await self._change(lambda domains: domains - {domain})

    async def _change(
        self,
        change: typing.Callable[[frozenset[str]], frozenset[str]],
    ) -> Change:
        for _ in range(MAX_ATTEMPTS):
            read = await self._store.get(evacuation_key.KEY)
            if not isinstance(read, result.Success):
                break
            item = read.unwrap()
            stored = _domains(item)
            wanted = change(stored)
            revision = item.revision if item is not None else 0
            if len(wanted) > evacuations.MAX_DOMAINS:
                return _rejected('invalid', 'too many evacuated domains')
            if wanted == stored:
                return _accepted(revision, wanted)
            value = msgspec.json.encode(
                evacuation_key.StoredEvacuations(tuple(sorted(wanted)))
            )
            written = await self._store.compare_and_set(
                evacuation_key.KEY, revision, value
            )
            if isinstance(written, result.Success):
                return _accepted(written.unwrap(), wanted)
        return _rejected(
            'unavailable', 'the store does not answer; repeat the change'
        )


def _domains(item: store.KeyValue | None) -> frozenset[str]:
    """Return the stored domains; a malformed value holds none."""
    if item is None:
        return frozenset()
    stored = evacuation_key.decode(item.value)
    if not isinstance(stored, result.Success):
        return frozenset()
    return frozenset(stored.unwrap().domains)


def _accepted(revision: int, domains: frozenset[str]) -> Change:
    return result.Success(
        evacuations.Evacuations(revision, tuple(sorted(domains)))
    )


def _rejected(kind: str, detail: str) -> Change:
    return result.Failure(changes.Rejection(kind, detail))
