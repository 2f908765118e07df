"""The key of the product's own store that holds the evacuations."""

from __future__ import annotations

import typing

import msgspec
from returns import result

from jasminebeam import inputs
from jasminebeam.model import evacuations
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.configuration import evacuations as directory
    from jasminebeam.store import store

# Common beginning of the product's own keys; one watch covers them.
OWN_PREFIX = '/jasminebeam/'
# One key holds the whole set, so a change is one conditional write and needs
# no deletion.
KEY = OWN_PREFIX + 'evacuations'


class StoredEvacuations(msgspec.Struct, frozen=True):
    """Value of the key.

    Parameters
    ----------
    domains : tuple of str
        Names of the evacuated failure domains.
    """

    domains: typing.Annotated[
        tuple[inputs.Name, ...],
        msgspec.Meta(max_length=evacuations.MAX_DOMAINS),
    ] = ()


_decoder = msgspec.json.Decoder(StoredEvacuations)


def decode(value: bytes) -> result.Result[StoredEvacuations, str]:
    """Return the value of the key, or the reason why it is malformed."""
    return inputs.decode(_decoder, value)


class KeyReader:
    """Follows the key.

    Parameters
    ----------
    adopt : callable
        Receives the complete set after each read and change.
    log : EventLog
        Receives malformed values, which change nothing.
    """

    def __init__(self, adopt: directory.Adopt, log: events.EventLog) -> None:
        self._adopt = adopt
        self._log = log

    def on_listing(self, listing: store.Listing) -> None:
        """Adopt the set of a listing that contains the key, if it exists."""
        for item in listing.items:
            if item.key == KEY:
                self._report(item, listing.revision, listed=True)
                return
        none = evacuations.Evacuations(listing.revision)
        self._adopt(none, listed=True)

    def on_change(self, item: store.KeyValue) -> None:
        """Adopt a change of the key."""
        if item.key == KEY:
            self._report(item, item.revision, listed=False)

    def _report(
        self, item: store.KeyValue, revision: int, listed: bool
    ) -> None:
        stored = StoredEvacuations()
        if not item.deleted:
            decoded = decode(item.value)
            if not isinstance(decoded, result.Success):
                self._log.write(
                    events.Event.EVACUATION_REFUSED,
                    key=item.key,
                    cause=decoded.failure(),
                )
                return
            stored = decoded.unwrap()
        domains = tuple(sorted(set(stored.domains)))
        self._adopt(evacuations.Evacuations(revision, domains), listed)
