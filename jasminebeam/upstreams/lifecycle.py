"""Life of the upstream beside a node, from what it says of itself."""

from __future__ import annotations

import dataclasses
import enum

from jasminebeam.model import upstreams


class Action(enum.Enum):
    """What the node does with the upstream."""

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
        How to reach it; names its identity and service.
    started_ms : int
        Wall-clock ms of its start; 0 if it does not say.
    sequence : int
        Rises with each heartbeat of one start.
    draining : bool
        True if it wants no new work.
    """

    announcement: upstreams.Announcement
    started_ms: int
    sequence: int
    draining: bool


class UpstreamLifecycle:
    """Tells the present upstream from late news of former ones.

    An upstream may start again under its identity, and another one may
    get its address. Starts are ordered by their time; where the time of
    day was set back between two starts, the identity that the health
    check returns decides.
    """

    def __init__(self) -> None:
        self.current: Heartbeat | None = None
        self._draining = False
        self._rejected: Heartbeat | None = None

    def on_heartbeat(self, beat: Heartbeat) -> Action:
        """Return what a heartbeat changes."""
        known = self.current
        if known is None or self._is_later_start(beat, known):
            return self._attach(beat)
        if not _is_same_start(beat, known):
            self._rejected = beat
            return Action.NOTHING
        if beat.sequence <= known.sequence:
            return Action.NOTHING
        changed = _reach(beat) != _reach(known)
        self.current = beat
        if self._draining:
            return Action.NOTHING
        if beat.draining:
            self._draining = True
            return Action.DRAIN
        return Action.ATTACH if changed else Action.NOTHING

    def on_leave(self, upstream_id: str, started_ms: int) -> Action:
        """Return what a notice of leaving changes."""
        known = self.current
        if known is None or known.announcement.upstream_id != upstream_id:
            return Action.NOTHING
        if started_ms and known.started_ms and started_ms < known.started_ms:
            return Action.NOTHING
        if self._draining:
            return Action.NOTHING
        self._draining = True
        return Action.DRAIN

    def on_identity(
        self, upstream_id: str, fallback: upstreams.Announcement
    ) -> Action:
        """Return what the identity of a healthy upstream changes.

        Parameters
        ----------
        upstream_id : str
            Identity that answered the health check.
        fallback : Announcement
            How to reach an upstream that has sent no heartbeat yet.
        """
        known = self.current
        if known is not None and known.announcement.upstream_id == upstream_id:
            return Action.NOTHING
        beat = self._rejected
        if beat is None or beat.announcement.upstream_id != upstream_id:
            announcement = dataclasses.replace(
                fallback, upstream_id=upstream_id
            )
            beat = Heartbeat(announcement, 0, 0, draining=False)
        return self._attach(beat)

    def on_identity_mismatch(self) -> Action:
        """Return what it changes that another upstream has answered."""
        if self.current is None:
            return Action.NOTHING
        self.current = None
        return Action.DETACH

    def _attach(self, beat: Heartbeat) -> Action:
        self.current = beat
        self._rejected = None
        self._draining = beat.draining
        return Action.DRAIN if beat.draining else Action.ATTACH

    def _is_later_start(self, beat: Heartbeat, known: Heartbeat) -> bool:
        if _is_same_start(beat, known):
            return False
        if not beat.started_ms or not known.started_ms:
            return beat.announcement.upstream_id != (
                known.announcement.upstream_id
            )
        return beat.started_ms > known.started_ms


def _reach(beat: Heartbeat) -> upstreams.Announcement:
    """Return what matters for reaching an upstream that is in service."""
    return dataclasses.replace(beat.announcement, cold_start_ms=0)


def _is_same_start(beat: Heartbeat, known: Heartbeat) -> bool:
    if beat.announcement.upstream_id != known.announcement.upstream_id:
        return False
    if not beat.started_ms or not known.started_ms:
        return True
    return beat.started_ms == known.started_ms
