"""Reads the evacuated failure domains from keys of the store."""

from __future__ import annotations

import typing

from jasminebeam.model import evacuations
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.configuration import evacuations as directory
    from jasminebeam.store import store


class EvacuationReader:
    """Follows the keys of which each evacuates one failure domain.

    The value of a key has no meaning. The set is kept apart from the one in
    force, which peers may have replaced by a newer one: a change in the store
    applies to the set that the store held before.

    Parameters
    ----------
    prefix : str
        Beginning of the keys; the name of the failure domain follows.
    adopt : callable
        Receives the complete set after each read and change.
    log : EventLog
        Receives keys that name no failure domain.
    """

    def __init__(
        self,
        prefix: str,
        adopt: directory.Adopt,
        log: events.EventLog,
    ) -> None:
        self._prefix = prefix
        self._adopt = adopt
        self._log = log
        self._domains: set[str] = set()
        # Malformed keys that have been logged.
        self._refused: set[str] = set()

    def on_listing(self, listing: store.Listing) -> None:
        """Adopt the set of a listing that contains all keys."""
        self._domains = set()
        for item in listing.items:
            self._change(item)
        self._report(listing.revision, listed=True)

    def on_changes(self, items: typing.Iterable[store.KeyValue]) -> None:
        """Adopt changes, in the order of their revisions."""
        revision = 0
        for item in items:
            if self._change(item):
                revision = item.revision
        if revision:
            self._report(revision, listed=False)

    def _change(self, item: store.KeyValue) -> bool:
        """Apply one change; return False if it is none of a domain."""
        if not item.key.startswith(self._prefix):
            return False
        domain = item.key.removeprefix(self._prefix)
        if item.deleted:
            self._domains.discard(domain)
            return evacuations.is_domain(domain)
        if not self._is_acceptable(domain):
            self._refuse(item)
            return False
        self._domains.add(domain)
        return True

    def _is_acceptable(self, domain: str) -> bool:
        if domain in self._domains:
            return True
        if len(self._domains) >= evacuations.MAX_DOMAINS:
            return False
        return evacuations.is_domain(domain)

    def _refuse(self, item: store.KeyValue) -> None:
        if (
            item.key in self._refused
            or len(self._refused) >= evacuations.MAX_DOMAINS
        ):
            return
        self._refused.add(item.key)
        self._log.write(events.Event.EVACUATION_REFUSED, key=item.key[:300])

    def _report(self, revision: int, listed: bool) -> None:
        domains = tuple(sorted(self._domains))
        self._adopt(evacuations.Evacuations(revision, domains), listed)
