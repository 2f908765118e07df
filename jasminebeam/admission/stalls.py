"""Notices of stalls, sent to the ingress nodes that use an upstream."""

from __future__ import annotations

import collections
import typing

Listener = typing.TypeVar('Listener')

STALLED_RATIO = 1.6
RECOVERED_RATIO = 1.2
USUAL_WEIGHT = 0.02
STALLED_WEIGHT = 0.002
RECENT_USE_MS = 2_000.0
MAX_LISTENERS = 64


class StallDetector:
    """Tells when an upstream begins and ends to be slow.

    The usual service time follows the estimate, and far more slowly
    during a stall, so that a lasting change ends it.
    """

    def __init__(self) -> None:
        self.stalled = False
        self._usual_ms = 0.0

    def update(self, service_ms: float) -> bool:
        """Return True if the upstream has begun or ended to be slow.

        Parameters
        ----------
        service_ms : float
            Present estimate of the service time.
        """
        if not self._usual_ms:
            self._usual_ms = service_ms
        ratio = service_ms / self._usual_ms
        weight = STALLED_WEIGHT if self.stalled else USUAL_WEIGHT
        self._usual_ms += weight * (service_ms - self._usual_ms)
        before = self.stalled
        if ratio >= STALLED_RATIO:
            self.stalled = True
        elif ratio <= RECOVERED_RATIO:
            self.stalled = False
        return self.stalled != before


class Listeners(typing.Generic[Listener]):
    """The ingress nodes that have used an upstream lately."""

    def __init__(self) -> None:
        self._used: collections.OrderedDict[int, tuple[Listener, float]] = (
            collections.OrderedDict()
        )

    def use(self, session: int, listener: Listener, now_ms: float) -> None:
        """Record a request of a session."""
        self._used[session] = (listener, now_ms)
        self._used.move_to_end(session)
        if len(self._used) > MAX_LISTENERS:
            self._used.popitem(last=False)

    def recent(self, now_ms: float) -> list[Listener]:
        """Return the listeners to notify, and forget the others."""
        while self._used:
            session, (_, used_ms) = next(iter(self._used.items()))
            if now_ms - used_ms <= RECENT_USE_MS:
                break
            del self._used[session]
        return [listener for listener, _ in self._used.values()]
