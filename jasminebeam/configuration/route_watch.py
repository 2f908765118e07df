"""Watch of the keys that hold the route set and the evacuations."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import typing

from returns import result

from jasminebeam.configuration import routes as routes_module
from jasminebeam.store import store
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.configuration import evacuation_reader
    from jasminebeam.model import routes
    from jasminebeam.store import availability

# A change must be in force within seconds after the store is available
# again, so the maximum back-off stays well below one second.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8

# Pause between a change and the next poll. In a series of changes, one poll
# then returns several of them.
WATCH_PAUSE_S = 0.5

# Polls that are given up because of one revision: the answer of the second
# may be lost as well.
MAX_GIVE_UPS = 2

Decode = typing.Callable[[bytes], 'result.Result[routes.RouteSet, str]']


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuations:
    """Keys of evacuations that are read and watched with the route set.

    Parameters
    ----------
    prefix : str
        Common beginning of the keys of the route set and the evacuations.
    reader : EvacuationReader
        Receives what the store holds under that prefix.
    """

    prefix: str
    reader: evacuation_reader.EvacuationReader


class RouteWatch:
    """Reads the route set and watches its changes.

    Parameters
    ----------
    backend : Store
        Store of the platform.
    key : str
        Key that holds the route set.
    decode : callable
        Returns the route set that a value holds, or the reason why the
        value is invalid.
    on_routes : callable
        Receives each valid route set.
    availability_log : AvailabilityLog
        Receives the outcome of each read.
    generator : random.Random
        Source of jitter.
    log : EventLog
        Receives refused values and watches that are given up.
    evacuated : Evacuations or None
        Evacuations that are read by the same calls; None for the key alone.
    """

    def __init__(
        self,
        backend: store.Store,
        key: str,
        decode: Decode,
        on_routes: typing.Callable[[routes.RouteSet], None],
        availability_log: availability.AvailabilityLog,
        generator: random.Random,
        log: events.EventLog,
        evacuated: Evacuations | None = None,
    ) -> None:
        self._store = backend
        self._key = key
        self._evacuated = evacuated
        self._prefix = key if evacuated is None else evacuated.prefix
        self._decode = decode
        self._on_routes = on_routes
        self._availability = availability_log
        self._generator = generator
        self._log = log
        # Revision of the store up to which all changes have been received.
        self._seen_revision = 0
        self._compared_revision = 0
        # Revision because of which polls were given up, and their number.
        self._given_up_revision = 0
        self._give_ups = 0
        self._read_ended = asyncio.Event()
        self._following: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Read the key and watch its changes."""
        try:
            await self._read_and_follow()
        finally:
            self._reset()

    async def _read_and_follow(self) -> None:
        delay_s = RETRY_MIN_S
        while True:
            if not self._seen_revision:
                self._seen_revision = await self.read()
                self._read_ended.set()
            if self._seen_revision:
                delay_s = RETRY_MIN_S
                if await self._follow():
                    # The next poll returns what this one has missed.
                    continue
                self._reset()
            await asyncio.sleep(delay_s * self._jitter())
            delay_s = min(RETRY_MAX_S, delay_s * 2)

    def _reset(self) -> None:
        self._seen_revision = 0
        self._read_ended.clear()

    async def wait_until_read(self, timeout_s: float) -> bool:
        """Wait for the end of a read; return True if it has succeeded."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._read_ended.wait()
        return self._seen_revision > 0

    async def read(self) -> int:
        """Apply the routes in the store; return the store's revision.

        The result is 0 if the store is unavailable.
        """
        listing = await self._store.list(self._prefix)
        self._availability.record(listing)
        if not isinstance(listing, result.Success):
            return 0
        found = listing.unwrap()
        # A node is ready once it has routes, and must not send a request to
        # an evacuated domain then.
        if self._evacuated is not None:
            self._evacuated.reader.on_listing(found)
        for item in found.items:
            self._apply(item)
        return found.revision

    def give_up(self, cause: str) -> None:
        """Replace the poll in progress: its answer may never arrive.

        A connection on which the store has lost an answer stays silent, and
        nothing shows this before the poll times out.
        """
        if self._following is None or self._following.done():
            return
        self._log.write(
            events.Event.WATCH_GIVEN_UP,
            cause=cause,
            seen_revision=self._seen_revision,
        )
        self._following.cancel()

    def replace_poll(self) -> None:
        """Start the poll in progress again; it returns what it has missed."""
        if self._following is not None:
            self._following.cancel()

    def compare(
        self, store_revision: int, other_revisions: typing.Iterable[int]
    ) -> None:
        """Give the poll up if it may have missed a change.

        The next poll starts later, so it returns at once if one of the
        changes up to this revision is missing here.

        Parameters
        ----------
        store_revision : int
            Revision of the store, read after the poll had started.
        other_revisions : iterable of int
            Revisions of changes to other keys.
        """
        first = max(self._seen_revision, self._compared_revision)
        if not self._seen_revision or store_revision <= first:
            return
        known = {
            revision
            for revision in other_revisions
            if first < revision <= store_revision
        }
        if len(known) >= store_revision - first:
            self._compared_revision = store_revision
            return
        if store_revision != self._given_up_revision:
            self._given_up_revision = store_revision
            self._give_ups = 0
        self._give_ups += 1
        if self._give_ups >= MAX_GIVE_UPS:
            self._compared_revision = store_revision
        self.give_up('store_changed')

    async def _follow(self) -> bool:
        """Apply changes; return True if the watch was given up."""
        self._following = asyncio.create_task(
            self._apply_changes(self._seen_revision + 1)
        )
        try:
            await asyncio.wait({self._following})
        finally:
            self._following.cancel()
        if self._following.cancelled():
            return True
        self._following.result()
        return False

    async def _apply_changes(self, from_revision: int) -> None:
        changes: list[store.KeyValue] = []
        async for item in self._store.watch(self._prefix, from_revision):
            changes.append(item)
            if item.more:
                continue
            self._apply_response(changes)
            changes = []
            await asyncio.sleep(WATCH_PAUSE_S * self._jitter())

    def _apply_response(self, changes: list[store.KeyValue]) -> None:
        """Apply all changes that one response of the store contains."""
        for item in changes:
            self._seen_revision = max(self._seen_revision, item.revision)
        if self._evacuated is not None:
            self._evacuated.reader.on_changes(changes)
        for item in changes:
            self._apply(item)

    def _apply(self, item: store.KeyValue) -> None:
        if item.key != self._key or item.deleted:
            return
        decoded = self._decode(item.value)
        problem = ''
        if isinstance(decoded, result.Success):
            found = decoded.unwrap()
            problem = routes_module.check(found)
        else:
            problem = decoded.failure()
        if problem:
            self._log.write(
                events.Event.CONFIG_REFUSED, key=item.key, cause=problem
            )
            return
        self._on_routes(found)

    def _jitter(self) -> float:
        return 0.5 + self._generator.random()
