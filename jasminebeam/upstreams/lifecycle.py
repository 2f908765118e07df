"""Lifecycle of a node's local upstream, derived from its heartbeats."""

from __future__ import annotations

import dataclasses
import enum
import math

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


# Minimum time after the end of an upstream before another one may get its
# address.
ADDRESS_REUSE_MS = 2_000.0


class StartupDiscovery:
    """Decides whether a health check may find the configured upstream.

    The settings name the service of the upstream that runs beside a node
    when the node starts. Any later upstream at the address may belong to
    another service, and announces itself.

    Parameters
    ----------
    started_ms : float
        Monotonic time at which the node started.
    """

    def __init__(self, started_ms: float) -> None:
        self._end_ms = started_ms + ADDRESS_REUSE_MS

    def is_open(self, now_ms: float) -> bool:
        """Return True while the upstream of the settings may be found."""
        return now_ms < self._end_ms

    def close(self) -> None:
        """End the discovery: the upstream was seen, or nothing listens."""
        self._end_ms = -math.inf


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

    def on_identity(self, upstream_id: str) -> Action:
        """Return the action that the identity of a healthy upstream requires.

        A health check does not name a service. An upstream whose heartbeat
        has not arrived may belong to any, so it stays out of service.

        Parameters
        ----------
        upstream_id : str
            Identity that the health check returned.
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
            return Action.NOTHING
        return self._attach(heartbeat)

    def on_found(self, announcement: upstreams.Announcement) -> Action:
        """Return the action if an upstream was running before the node.

        Parameters
        ----------
        announcement : Announcement
            Service and address from the settings, and the identity that the
            health check returned.
        """
        if self.current is not None:
            return Action.NOTHING
        return self._attach(Heartbeat(announcement, 0, draining=False))

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
