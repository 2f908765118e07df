"""Notes when the store is lost and when it answers again."""

from __future__ import annotations

import typing

from returns import result

from jasminebeam.store import store
from jasminebeam.telemetry import events


class Availability:
    """Logs each change of whether the store answers.

    Parameters
    ----------
    log : EventLog
        Receives the changes.
    """

    def __init__(self, log: events.EventLog) -> None:
        self._log = log
        self._available = True

    def note(
        self, answer: result.Result[typing.Any, store.StoreError]
    ) -> None:
        """Take the result of one call into account."""
        available = (
            isinstance(answer, result.Success)
            or answer.failure() is not store.StoreError.UNAVAILABLE
        )
        if available == self._available:
            return
        self._available = available
        event = (
            events.Event.STORE_AVAILABLE
            if available
            else events.Event.STORE_UNAVAILABLE
        )
        self._log.write(event)
