"""Requests that are announced to a sidecar before their bodies arrive."""

from __future__ import annotations

import typing

from jasminebeam.retries import registry

if typing.TYPE_CHECKING:
    from jasminebeam import verdict


class AnnouncedRequests:
    """Registers a request while its body is on its way.

    Other requests of the session may end in that time. The registry then
    takes smaller sequence numbers for duplicates, unless it knows them.

    Parameters
    ----------
    requests : RequestRegistry
        Registry of the sidecar.
    """

    def __init__(self, requests: registry.RequestRegistry) -> None:
        self._requests = requests
        self._announced: set[registry.RequestId] = set()

    def announce(
        self, request_id: registry.RequestId, now_ms: float
    ) -> registry.State:
        """Register a request; return its previous state."""
        state = self._requests.accept(request_id, now_ms)
        if state is registry.State.NEW:
            self._announced.add(request_id)
        return state

    def accept(
        self, request_id: registry.RequestId, now_ms: float
    ) -> registry.State:
        """Register a complete request; return its previous state."""
        state = self._requests.accept(request_id, now_ms)
        if request_id in self._announced:
            self._announced.remove(request_id)
            if state is registry.State.ACCEPTED:
                return registry.State.NEW
        return state

    def give_up(
        self,
        request_id: registry.RequestId,
        result: verdict.Verdict,
        now_ms: float,
    ) -> None:
        """Record that a request ended before its body was complete."""
        self._announced.discard(request_id)
        self._requests.finish(request_id, result, now_ms)
