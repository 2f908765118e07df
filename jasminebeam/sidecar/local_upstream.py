"""Local upstream of a sidecar: its readiness, health and suspension."""

from __future__ import annotations

import dataclasses
import typing

from jasminebeam.model import upstreams
from jasminebeam.telemetry import events
from jasminebeam.upstreams import suspension
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.telemetry import metrics
    from jasminebeam.upstreams import client


class LocalUpstream:
    """The upstream in service, if any.

    Parameters
    ----------
    options : Options
        Durations of suspensions for unusable responses.
    log : EventLog
        Receives unusable responses and suspensions.
    counters : Metrics
        Counts the unusable responses.
    clock : callable
        Returns the monotonic time in ms.
    """

    def __init__(
        self,
        options: suspension.Options,
        log: events.EventLog,
        counters: metrics.Metrics,
        clock: typing.Callable[[], float],
    ) -> None:
        self.phase = upstreams.Phase.ABSENT
        self.announcement: upstreams.Announcement | None = None
        self.client: client.UpstreamClient | None = None
        # True once the node itself stops.
        self.stopping = False
        # True while the failure domain of the node is evacuated.
        self.evacuated = False
        self._options = options
        self._suspension = suspension.Suspension(options)
        self._log = log
        self._counters = counters
        self._clock = clock

    @property
    def suspended(self) -> bool:
        """True during a suspension."""
        return self._suspension.active

    @property
    def available_phase(self) -> upstreams.Phase:
        """Phase of the upstream for other nodes."""
        if self.suspended and self.phase is upstreams.Phase.READY:
            return upstreams.Phase.ABSENT
        return self.phase

    def attach(
        self,
        announcement: upstreams.Announcement,
        upstream_client: client.UpstreamClient,
    ) -> bool:
        """Put an upstream into service; return False if it is another one."""
        same_upstream = self.is_current(announcement)
        if not same_upstream:
            self._suspension = suspension.Suspension(self._options)
        self.client = upstream_client
        self.announcement = announcement
        self.phase = upstreams.Phase.READY
        return same_upstream

    def detach(self) -> None:
        """Remove the upstream."""
        self.phase = upstreams.Phase.ABSENT
        self.announcement = None

    def update_start(self, announcement: upstreams.Announcement) -> None:
        """Record the start of an upstream whose start was unknown."""
        current = self.announcement
        if (
            current is not None
            and not current.started_ms
            and announcement.upstream_id == current.upstream_id
        ):
            self.announcement = dataclasses.replace(
                current, started_ms=announcement.started_ms
            )

    def is_current(self, other: upstreams.Announcement) -> bool:
        """Return True unless the upstreams differ; a start may be unknown."""
        current = self.announcement
        if current is None or current.upstream_id != other.upstream_id:
            return False
        starts_ms = {current.started_ms, other.started_ms} - {0}
        return len(starts_ms) < 2

    def refusal(self, service: str) -> verdict.Verdict | None:
        """Return why a request cannot be accepted; None if it can."""
        if self.stopping:
            return verdict.not_run(verdict.Reason.STOPPING)
        if self.phase is upstreams.Phase.DRAINING:
            return verdict.not_run(verdict.Reason.DRAINING)
        if self.evacuated:
            return verdict.not_run(verdict.Reason.EVACUATED)
        if self.announcement is None or self.suspended:
            return verdict.not_run(verdict.Reason.NOT_READY)
        if self.announcement.service != service:
            return verdict.not_run(verdict.Reason.NO_SERVICE)
        return None

    def may_check(self) -> bool:
        """Return True if a health check is allowed now."""
        if self.client is None:
            return False
        return not self._suspension.wait_ms(self._clock())

    def resume_unchecked(self) -> bool:
        """End a suspension that no health check can end.

        Returns
        -------
        bool
            True if a suspension has ended.
        """
        if not self.suspended or self._has_health_check():
            return False
        self._suspension.resume(self._clock())
        self._log_resumed()
        return True

    def on_sound(
        self, announcement: upstreams.Announcement, to_check: bool
    ) -> bool:
        """Record a complete response; return True if a suspension ends."""
        if not self.is_current(announcement):
            return False
        if not self._suspension.on_sound(to_check, self._clock()):
            return False
        self._log_resumed()
        return True

    def on_unusable(
        self,
        announcement: upstreams.Announcement,
        response: client.UnusableResponse,
    ) -> bool:
        """Record that a connection was closed for what it received.

        Returns
        -------
        bool
            True if this suspends the upstream.
        """
        reason = response.reason.value
        self._counters.unusable_responses.labels(reason).inc()
        self._log.write(
            events.Event.RESPONSE_UNUSABLE,
            upstream=announcement.upstream_id,
            reason=reason,
            received_bytes=response.received_bytes,
            health_check=response.to_check,
            violation=response.violation,
        )
        if not self.is_current(announcement):
            return False
        if not self._suspension.on_unusable(
            response.reason, response.to_check, self._clock()
        ):
            return False
        self._log.write(
            events.Event.UPSTREAM_SUSPENDED,
            upstream=self.announcement.upstream_id,
            reason=reason,
            duration_ms=self._suspension.duration_ms,
        )
        return True

    def _has_health_check(self) -> bool:
        return self.announcement is None or bool(self.announcement.load_path)

    def _log_resumed(self) -> None:
        self._log.write(
            events.Event.UPSTREAM_RESUMED,
            upstream=self.announcement.upstream_id,
            duration_ms=self._suspension.duration_ms,
        )
