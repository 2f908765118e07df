"""What the local upstream states about itself in its answers."""

from __future__ import annotations

import math
import typing

from jasminebeam.admission import rate_limit
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.model import upstreams
    from jasminebeam.telemetry import metrics


class UpstreamCondition:
    """Tracks the rate limit of the local upstream, and whether it leaves.

    Parameters
    ----------
    log : EventLog
        Receives each change.
    counters : Metrics
        Shows the limit in force.
    """

    def __init__(
        self, log: events.EventLog, counters: metrics.Metrics
    ) -> None:
        self.limit = rate_limit.UNLIMITED
        self.leaving = False
        self._log = log
        self._counters = counters
        self._last_malformed = ''

    def on_attach(self, same_upstream: bool) -> None:
        """Start anew; a limit applies to one start of one upstream."""
        self.leaving = False
        if same_upstream:
            return
        self.limit = rate_limit.UNLIMITED
        self._last_malformed = ''
        self._counters.upstream_limit.set(math.nan)

    def on_notice(
        self,
        source: upstreams.NoticeSource,
        notice: upstreams.Notice,
        now_ms: float,
    ) -> None:
        """Record what the upstream states in an answer."""
        if notice.malformed_limit:
            self._log_malformed(source, notice.malformed_limit)
        if notice.limit_per_s is not None:
            self._name(source, notice.limit_per_s, now_ms)
        elif not notice.malformed_limit and self.limit.in_force:
            self._unname(source, now_ms)
        if notice.leaving and not self.leaving:
            self.leaving = True
            self._log.write(events.Event.UPSTREAM_LEAVING, source=source.value)

    def _name(
        self, source: upstreams.NoticeSource, per_s: float, now_ms: float
    ) -> None:
        previous = self.limit
        self.limit = previous.named(per_s, source, now_ms)
        if per_s == previous.per_s:
            return
        self._counters.upstream_limit.set(per_s)
        self._log.write(
            events.Event.LIMIT_NAMED,
            limit_per_s=per_s,
            previous_per_s=previous.per_s if previous.in_force else None,
            source=source.value,
        )

    def _unname(self, source: upstreams.NoticeSource, now_ms: float) -> None:
        previous = self.limit
        self.limit = previous.unnamed(source, now_ms)
        if self.limit.in_force:
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
