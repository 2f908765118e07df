"""What the local upstream states about itself in its answers."""

from __future__ import annotations

import math
import typing

from jasminebeam.admission import rate_limit
from jasminebeam.model import upstreams
from jasminebeam.peering import messages
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.admission import slots
    from jasminebeam.telemetry import metrics

# Notices of ingress nodes that are kept until their upstream is attached.
MAX_PENDING_NOTICES = 16

# Source of what an ingress node has reported, in the log.
_INGRESS = 'ingress'


class UpstreamCondition:
    """Tracks the rate limit of the local upstream, and whether it leaves.

    A sidecar that has restarted learns both from the ingress nodes that have
    forwarded such answers.

    Parameters
    ----------
    slot_queue : SlotQueue
        Keeps to the limit.
    options : Options
        Options of rate limits.
    log : EventLog
        Receives each change.
    counters : Metrics
        Shows the limit in force.
    """

    def __init__(
        self,
        slot_queue: slots.SlotQueue,
        options: rate_limit.Options,
        log: events.EventLog,
        counters: metrics.Metrics,
    ) -> None:
        self.leaving = False
        self._slots = slot_queue
        self._slots.limit = rate_limit.RateLimit(options=options)
        self._options = options
        self._log = log
        self._counters = counters
        self._last_malformed = ''
        self._is_load_malformed = False
        self._answered_ms: float | None = None
        self._has_named_limit = False
        self._pending: dict[str, messages.UpstreamNotice] = {}

    def on_attach(self, same_upstream: bool) -> None:
        """Start anew; a limit applies to one start of one upstream."""
        self.leaving = False
        if same_upstream:
            return
        self._slots.limit = rate_limit.RateLimit(options=self._options)
        self._answered_ms = None
        self._has_named_limit = False
        self._last_malformed = ''
        self._is_load_malformed = False
        self._counters.upstream_limit.set(math.nan)

    def on_notice(
        self,
        source: upstreams.NoticeSource,
        notice: upstreams.Notice,
        now_ms: float,
    ) -> None:
        """Record what the upstream states in an answer."""
        if self._answered_ms is None:
            self._answered_ms = now_ms
        if notice.malformed_limit:
            self._log_malformed(source, notice.malformed_limit)
        self._record_load(source, notice.malformed_load)
        if notice.limit_per_s is not None:
            self._has_named_limit = True
            named = self._slots.limit.named(notice.limit_per_s, source, now_ms)
            self._replace(named, source.value)
        elif not notice.malformed_limit and self._slots.limit.in_force:
            self._unname(source, now_ms)
        if notice.leaving:
            self._leave(source.value)

    def keep_pending(self, message: messages.UpstreamNotice) -> None:
        """Keep an ingress node's notice until its upstream is attached."""
        kept = self._pending.pop(message.upstream_id, None)
        if len(self._pending) >= MAX_PENDING_NOTICES:
            del self._pending[next(iter(self._pending))]
        if kept is not None:
            message = _merge(kept, message)
        self._pending[message.upstream_id] = message

    def take_pending(self, upstream_id: str) -> messages.UpstreamNotice | None:
        """Return the notice about an upstream, and drop all others."""
        notice = self._pending.get(upstream_id)
        self._pending.clear()
        return notice

    def adopt(self, message: messages.UpstreamNotice, now_ms: float) -> None:
        """Apply what an ingress node knows from before a restart.

        The upstream's own answers take precedence. Those without a limit
        do so only after the hold time, because an upstream may name its
        limit in some answers only. Ingress nodes may have heard of the
        upstream at different times, so the lowest of their limits counts.
        """
        if message.leaving:
            self._leave(_INGRESS)
        per_s = message.limit_per_s
        if per_s is None or self._is_limit_known(now_ms):
            return
        limit = self._slots.limit
        if not limit.paced:
            adopted = limit.adopted(per_s, message.recent_starts, now_ms)
            self._replace(adopted, _INGRESS)
        elif per_s < limit.per_s:
            source = upstreams.NoticeSource.ANSWER
            self._replace(limit.named(per_s, source, now_ms), _INGRESS)

    def _is_limit_known(self, now_ms: float) -> bool:
        """Return True if the upstream's answers show whether it has one."""
        if self._has_named_limit:
            return True
        if self._answered_ms is None:
            return False
        return now_ms - self._answered_ms >= self._options.hold_ms

    def statement(
        self, announcement: upstreams.Announcement | None, now_ms: float
    ) -> messages.UpstreamNotice | None:
        """Return the notice for ingress nodes; None if there is no need."""
        self._slots.limit = self._slots.limit.recovered(now_ms)
        if announcement is None or not (
            self._slots.limit.paced or self.leaving
        ):
            return None
        return messages.UpstreamNotice(
            announcement.upstream_id,
            announcement.started_ms,
            self._slots.limit.per_s if self._slots.limit.in_force else None,
            int(self._slots.limit.wait_ms(0, now_ms) * 1_000),
            self.leaving,
            self._slots.limit.recent_starts(now_ms),
        )

    def _leave(self, source: str) -> None:
        if self.leaving:
            return
        self.leaving = True
        self._log.write(events.Event.UPSTREAM_LEAVING, source=source)

    def _replace(self, named: rate_limit.RateLimit, source: str) -> None:
        previous = self._slots.limit
        self._slots.limit = named
        if previous.in_force and named.per_s == previous.per_s:
            return
        self._counters.upstream_limit.set(named.per_s)
        self._log.write(
            events.Event.LIMIT_NAMED,
            limit_per_s=named.per_s,
            previous_per_s=previous.per_s if previous.in_force else None,
            source=source,
        )

    def _unname(self, source: upstreams.NoticeSource, now_ms: float) -> None:
        previous = self._slots.limit
        self._slots.limit = previous.unnamed(source, now_ms)
        if self._slots.limit.in_force:
            return
        self._counters.upstream_limit.set(math.nan)
        self._log.write(
            events.Event.LIMIT_ENDED,
            limit_per_s=previous.per_s,
            named_ms_ago=round(now_ms - previous.named_ms),
        )

    def _log_malformed(
        self, source: upstreams.NoticeSource, text: str
    ) -> None:
        if text == self._last_malformed:
            return
        self._last_malformed = text
        self._log.write(
            events.Event.LIMIT_MALFORMED, value=text, source=source.value
        )

    def _record_load(
        self, source: upstreams.NoticeSource, malformed: str
    ) -> None:
        """Log the first of successive malformed load reports."""
        if malformed and not self._is_load_malformed:
            self._log.write(
                events.Event.LOAD_MALFORMED,
                value=malformed,
                source=source.value,
            )
        self._is_load_malformed = bool(malformed)


def _merge(
    kept: messages.UpstreamNotice, received: messages.UpstreamNotice
) -> messages.UpstreamNotice:
    """Return what holds according to two notices about one upstream.

    Those about an earlier start do not apply.
    """
    if 0 < kept.started_ms < received.started_ms:
        return received
    if 0 < received.started_ms < kept.started_ms:
        return kept
    limits_per_s = [
        notice.limit_per_s
        for notice in (kept, received)
        if notice.limit_per_s is not None
    ]
    return messages.UpstreamNotice(
        kept.upstream_id,
        max(kept.started_ms, received.started_ms),
        min(limits_per_s, default=None),
        max(kept.wait_us, received.wait_us),
        kept.leaving or received.leaving,
        max(kept.recent_starts, received.recent_starts),
    )
