"""Lifecycle of a node's local upstream, derived from its heartbeats."""

from __future__ import annotations

import dataclasses
import enum

from jasminebeam.model import upstreams


class Step(enum.Enum):
    """Action of the node on its upstream."""

    NOTHING = 'nothing'
    ATTACH = 'attach'
    DRAIN = 'drain'
    DETACH = 'detach'


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """One heartbeat of an upstream.

    Parameters
    ----------
    announcement : Announcement
        Address, identity and service of the upstream.
    started_ms : int
        Wall-clock ms of the upstream's start; 0 if unknown.
    sequence : int
        Increases with each heartbeat of the same start.
    draining : bool
        True if the upstream wants no new requests.
    """

    announcement: upstreams.Announcement
    started_ms: int
    sequence: int
    draining: bool


class UpstreamLife:
    """Separates the current upstream from delayed messages of former ones.

    An upstream may restart under the same identity, and another upstream
    may get its address. The start time orders the starts. If the wall
    clock was set back between two starts, the identity that the health
    check returns decides.
    """

    def __init__(self) -> None:
        self.current: Heartbeat | None = None
        self._draining = False
        self._rejected: Heartbeat | None = None

    def on_heartbeat(self, beat: Heartbeat) -> Step:
        """Return the action that a heartbeat requires."""
        current = self.current
        if current is None or self._is_later_start(beat, current):
            return self._attach(beat)
        if not _is_same_start(beat, current):
            self._rejected = beat
            return Step.NOTHING
        if beat.sequence <= current.sequence:
            return Step.NOTHING
        changed = _without_cold_start(beat) != _without_cold_start(current)
        self.current = beat
        if self._draining:
            return Step.NOTHING
        if beat.draining:
            self._draining = True
            return Step.DRAIN
        return Step.ATTACH if changed else Step.NOTHING

    def on_leave(self, upstream_id: str, started_ms: int) -> Step:
        """Return the action that a leave notice requires."""
        current = self.current
        if current is None or current.announcement.upstream_id != upstream_id:
            return Step.NOTHING
        if (
            started_ms
            and current.started_ms
            and started_ms < current.started_ms
        ):
            return Step.NOTHING
        if self._draining:
            return Step.NOTHING
        self._draining = True
        return Step.DRAIN

    def on_identity(
        self, upstream_id: str, fallback: upstreams.Announcement
    ) -> Step:
        """Return the action that the identity of a healthy upstream requires.

        Parameters
        ----------
        upstream_id : str
            Identity that the health check returned.
        fallback : Announcement
            Address of an upstream that has not sent a heartbeat yet.
        """
        current = self.current
        if (
            current is not None
            and current.announcement.upstream_id == upstream_id
        ):
            return Step.NOTHING
        beat = self._rejected
        if beat is None or beat.announcement.upstream_id != upstream_id:
            announcement = dataclasses.replace(
                fallback, upstream_id=upstream_id
            )
            beat = Heartbeat(announcement, 0, 0, draining=False)
        return self._attach(beat)

    def on_other_identity(self) -> Step:
        """Return the action after the answer of another upstream."""
        if self.current is None:
            return Step.NOTHING
        self.current = None
        return Step.DETACH

    def _attach(self, beat: Heartbeat) -> Step:
        self.current = beat
        self._rejected = None
        self._draining = beat.draining
        return Step.DRAIN if beat.draining else Step.ATTACH

    def _is_later_start(self, beat: Heartbeat, current: Heartbeat) -> bool:
        if _is_same_start(beat, current):
            return False
        if not beat.started_ms or not current.started_ms:
            return beat.announcement.upstream_id != (
                current.announcement.upstream_id
            )
        return beat.started_ms > current.started_ms


def _without_cold_start(beat: Heartbeat) -> upstreams.Announcement:
    """Return the announcement without the remaining cold-start time."""
    return dataclasses.replace(beat.announcement, cold_start_ms=0)


def _is_same_start(beat: Heartbeat, current: Heartbeat) -> bool:
    if beat.announcement.upstream_id != current.announcement.upstream_id:
        return False
    if not beat.started_ms or not current.started_ms:
        return True
    return beat.started_ms == current.started_ms
