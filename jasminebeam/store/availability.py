"""Log of outages of the store."""

from __future__ import annotations

import typing

from returns import result

from jasminebeam.store import store
from jasminebeam.telemetry import events


class AvailabilityLog:
    """Logs when the store becomes unavailable or available again.

    Parameters
    ----------
    log : EventLog
        Receives an event for each change of availability.
    on_change : callable
        Receives the new availability.
    on_answer : callable
        Called for each answer of the store.
    """

    def __init__(
        self,
        log: events.EventLog,
        on_change: typing.Callable[[bool], None] = lambda available: None,
        on_answer: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self._log = log
        self._on_change = on_change
        self._on_answer = on_answer
        self.available = True

    def record(
        self, outcome: result.Result[typing.Any, store.StoreError]
    ) -> None:
        """Record the result of one call to the store."""
        available = (
            isinstance(outcome, result.Success)
            or outcome.failure() is not store.StoreError.UNAVAILABLE
        )
        if available:
            self._on_answer()
        if available == self.available:
            return
        self.available = available
        event = (
            events.Event.STORE_AVAILABLE
            if available
            else events.Event.STORE_UNAVAILABLE
        )
        self._log.write(event)
        self._on_change(available)
