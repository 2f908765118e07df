"""Lifecycle of a node's local upstream, derived from its heartbeats."""

from __future__ import annotations

import dataclasses
import enum

from jasminebeam.model import upstreams


class Action(enum.Enum):
    """What the node does with its local upstream."""

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
        Address, identity, start and service of the upstream.
    sequence : int
        Increases with each heartbeat until the upstream restarts.
    draining : bool
        True if the upstream wants no new requests.
    """

    announcement: upstreams.Announcement
    sequence: int
    draining: bool

    @property
    def started_ms(self) -> int:
        """Wall-clock ms of the upstream's start; 0 if unknown."""
        return self.announcement.started_ms


class UpstreamLifecycle:
    """Identifies the current upstream, even if older messages arrive late.

    An upstream may restart under the same identity, and another upstream
    may get its address. The upstream with the latest start time is the
    current one. If the wall clock was set back between two starts, the
    identity that the health check returns decides.
    """

    def __init__(self) -> None:
        self.current: Heartbeat | None = None
        self._draining = False
        self._rejected: Heartbeat | None = None

    def on_heartbeat(self, heartbeat: Heartbeat) -> Action:
        """Return the action that a heartbeat requires."""
        current = self.current
        if current is None or self._is_later_start(heartbeat, current):
            return self._attach(heartbeat)
        if not _is_same_start(heartbeat, current):
            self._rejected = heartbeat
            return Action.NOTHING
        if heartbeat.sequence <= current.sequence:
            return Action.NOTHING
        changed = _without_cold_start(heartbeat) != _without_cold_start(
            current
        )
        self.current = heartbeat
        if self._draining:
            return Action.NOTHING
        if heartbeat.draining:
            self._draining = True
            return Action.DRAIN
        return Action.ATTACH if changed else Action.NOTHING

    def on_leave(self, upstream_id: str, started_ms: int) -> Action:
        """Return the action that a leave notice requires."""
        current = self.current
        if current is None or current.announcement.upstream_id != upstream_id:
            return Action.NOTHING
        if (
            started_ms
            and current.started_ms
            and started_ms < current.started_ms
        ):
            return Action.NOTHING
        if self._draining:
            return Action.NOTHING
        if started_ms and not current.started_ms:
            # A later start under the same identity must not count as this one.
            self.current = dataclasses.replace(
                current,
                announcement=dataclasses.replace(
                    current.announcement, started_ms=started_ms
                ),
            )
        self._draining = True
        return Action.DRAIN

    def on_identity(
        self, upstream_id: str, fallback: upstreams.Announcement
    ) -> Action:
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
            return Action.NOTHING
        heartbeat = self._rejected
        if (
            heartbeat is None
            or heartbeat.announcement.upstream_id != upstream_id
        ):
            announcement = dataclasses.replace(
                fallback, upstream_id=upstream_id
            )
            heartbeat = Heartbeat(announcement, 0, draining=False)
        return self._attach(heartbeat)

    def on_identity_mismatch(self) -> Action:
        """Return the action if another upstream answers the health check."""
        if self.current is None:
            return Action.NOTHING
        self.current = None
        return Action.DETACH

    def _attach(self, heartbeat: Heartbeat) -> Action:
        self.current = heartbeat
        self._rejected = None
        self._draining = heartbeat.draining
        return Action.DRAIN if heartbeat.draining else Action.ATTACH

    def _is_later_start(
        self, heartbeat: Heartbeat, current: Heartbeat
    ) -> bool:
        if _is_same_start(heartbeat, current):
            return False
        if not heartbeat.started_ms or not current.started_ms:
            return heartbeat.announcement.upstream_id != (
                current.announcement.upstream_id
            )
        return heartbeat.started_ms > current.started_ms


def _without_cold_start(heartbeat: Heartbeat) -> upstreams.Announcement:
    """Return the announcement without what changes while it is in force."""
    return dataclasses.replace(
        heartbeat.announcement, cold_start_ms=0, started_ms=0
    )


def _is_same_start(heartbeat: Heartbeat, current: Heartbeat) -> bool:
    if heartbeat.announcement.upstream_id != current.announcement.upstream_id:
        return False
    if not heartbeat.started_ms or not current.started_ms:
        return True
    return heartbeat.started_ms == current.started_ms
