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
    CHECK = 'check'


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

# Maximum time by which a heartbeat may arrive late.
MAX_HEARTBEAT_DELAY_MS = 10_000.0

# Upstreams whose leaving is remembered.
MAX_DEPARTURES = 64


class StartupDiscovery:
    """Decides what may be assumed about an upstream older than the node.

    The settings name the service of the upstream that runs beside a node
    when the node starts. Any later upstream at the address may belong to
    another service, and announces itself.

    A former process of the node may have acknowledged that this upstream
    leaves, and a heartbeat from before may still arrive.

    Parameters
    ----------
    started_ms : float
        Monotonic time at which the node started.
    """

    def __init__(self, started_ms: float) -> None:
        self._end_ms = started_ms + ADDRESS_REUSE_MS
        self._outdated_until_ms = started_ms + MAX_HEARTBEAT_DELAY_MS

    def is_open(self, now_ms: float) -> bool:
        """Return True while the upstream of the settings may be found."""
        return now_ms < self._end_ms

    def may_be_outdated(self, now_ms: float) -> bool:
        """Return True if a heartbeat may have been sent before the start."""
        return now_ms < self._outdated_until_ms

    def close(self) -> None:
        """End the discovery: the upstream was seen, or nothing listens."""
        self._end_ms = -math.inf
        self._outdated_until_ms = -math.inf


class _Relation(enum.Enum):
    """Relation of a heartbeat to the upstreams that have left."""

    NONE = 'none'
    SAME_START = 'same_start'
    UNKNOWN = 'unknown'


class _Departures:
    """Start of each upstream that has stated that it leaves.

    They are remembered independently of the upstream in service, because a
    statement may arrive before the first heartbeat or after the last one.
    """

    def __init__(self) -> None:
        self._started_ms: dict[str, int] = {}

    def __contains__(self, upstream_id: str) -> bool:
        return upstream_id in self._started_ms

    def record(self, upstream_id: str, started_ms: int) -> None:
        """Record that a start leaves; 0 if the start is unknown."""
        recorded_ms = self._started_ms.pop(upstream_id, started_ms)
        if len(self._started_ms) >= MAX_DEPARTURES:
            del self._started_ms[next(iter(self._started_ms))]
        is_known = recorded_ms and started_ms
        latest_ms = max(recorded_ms, started_ms) if is_known else 0
        self._started_ms[upstream_id] = latest_ms

    def relation(self, heartbeat: Heartbeat) -> _Relation:
        """Return whether the sender of a heartbeat has left.

        A start before the recorded one is either over, or a later one after
        the wall clock was set back.
        """
        recorded_ms = self._started_ms.get(heartbeat.announcement.upstream_id)
        if recorded_ms is None:
            return _Relation.NONE
        if recorded_ms and heartbeat.started_ms:
            if heartbeat.started_ms == recorded_ms:
                return _Relation.SAME_START
            if heartbeat.started_ms > recorded_ms:
                return _Relation.NONE
        return _Relation.UNKNOWN


class UpstreamLifecycle:
    """Identifies the current upstream, even if older messages arrive late.

    An upstream may restart under the same identity, and another upstream
    may get its address. The upstream with the latest start time is the
    current one. If the wall clock was set back between two starts, the
    identity that the health check returns decides.

    An upstream that has stated that it leaves stays out of service until its
    next start. Where the lifecycle may have missed the statement, the health
    check decides: an upstream that leaves is not healthy.
    """

    def __init__(self) -> None:
        self.current: Heartbeat | None = None
        self._draining = False
        self._unconfirmed: Heartbeat | None = None
        self._departures = _Departures()

    @property
    def unconfirmed(self) -> Heartbeat | None:
        """Heartbeat that counts once a health check confirms its sender."""
        return self._unconfirmed

    def on_heartbeat(
        self, heartbeat: Heartbeat, may_be_outdated: bool = False
    ) -> Action:
        """Return the action that a heartbeat requires.

        Parameters
        ----------
        heartbeat : Heartbeat
            What the upstream has sent.
        may_be_outdated : bool
            True if the heartbeat may have been sent before the node started.
        """
        current = self.current
        if heartbeat.draining:
            self._record_departure(
                heartbeat.announcement.upstream_id, heartbeat.started_ms
            )
        if current is None or self._is_later_start(heartbeat, current):
            return self._admit(heartbeat, may_be_outdated)
        if not _is_same_start(heartbeat, current):
            self._unconfirmed = heartbeat
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
        self._record_departure(upstream_id, started_ms)
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
        heartbeat = self._unconfirmed
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
        if (
            self.current is not None
            or announcement.upstream_id in self._departures
        ):
            return Action.NOTHING
        return self._attach(Heartbeat(announcement, 0, draining=False))

    def on_identity_mismatch(self) -> Action:
        """Return the action if another upstream answers the health check."""
        if self.current is None:
            return Action.NOTHING
        self.current = None
        return Action.DETACH

    def _admit(self, heartbeat: Heartbeat, may_be_outdated: bool) -> Action:
        if heartbeat.draining:
            return self._attach(heartbeat)
        relation = self._departures.relation(heartbeat)
        if relation is _Relation.SAME_START:
            return Action.NOTHING
        if relation is _Relation.UNKNOWN or may_be_outdated:
            self._unconfirmed = heartbeat
            return Action.CHECK
        return self._attach(heartbeat)

    def _record_departure(self, upstream_id: str, started_ms: int) -> None:
        current = self.current
        if (
            not started_ms
            and current is not None
            and current.announcement.upstream_id == upstream_id
        ):
            started_ms = current.started_ms
        self._departures.record(upstream_id, started_ms)
        unconfirmed = self._unconfirmed
        if (
            unconfirmed is not None
            and unconfirmed.announcement.upstream_id == upstream_id
        ):
            # The health check that may be under way is outdated.
            self._unconfirmed = None

    def _attach(self, heartbeat: Heartbeat) -> Action:
        self.current = heartbeat
        self._unconfirmed = None
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
