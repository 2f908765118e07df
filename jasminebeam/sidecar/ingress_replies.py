"""Replies of the sidecar to ingress nodes."""

from __future__ import annotations

import typing

from jasminebeam.model import upstreams
from jasminebeam.peering import messages
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.retries import registry
    from jasminebeam.telemetry import metrics

Send = typing.Callable[[messages.Message], object]


class IngressReplies:
    """Sends answers and refusals, each with a load sample.

    Notices of what the upstream states about itself precede each sample.

    Parameters
    ----------
    sample : callable
        Returns the load at a monotonic time in ms.
    notices : callable
        Returns the notices at a monotonic time in ms.
    counters : Metrics
        Counts the refusals.
    clock : callable
        Returns the monotonic time in ms.
    """

    def __init__(
        self,
        sample: typing.Callable[[float], upstreams.LoadSample],
        notices: typing.Callable[[float], typing.Iterable[messages.Message]],
        counters: metrics.Metrics,
        clock: typing.Callable[[], float],
    ) -> None:
        self._sample = sample
        self._notices = notices
        self._counters = counters
        self._clock = clock

    def refuse(
        self,
        request_id: registry.RequestId,
        reason: verdict.Reason,
        may_have_run: bool,
        send: Send,
    ) -> None:
        """Refuse a request that is not in progress."""
        self._counters.refusals.labels(reason.value).inc()
        self._send_failure(request_id, reason, may_have_run, send)

    def report(
        self,
        request_id: registry.RequestId,
        result: verdict.Verdict,
        send: Send,
    ) -> None:
        """Send the result of a request."""
        if result.answer is None:
            may_have_run = result.outcome is not verdict.Outcome.NOT_RUN
            self._send_failure(request_id, result.reason, may_have_run, send)
            return
        answer = result.answer
        sample = self.sample(send)
        send(
            messages.Reply(
                *request_id,
                answer.status,
                answer.headers,
                answer.body,
                sample,
            )
        )

    def sample(self, send: Send) -> upstreams.LoadSample:
        """Send the notices; return the load sample."""
        now_ms = self._clock()
        for notice in self._notices(now_ms):
            send(notice)
        return self._sample(now_ms)

    def _send_failure(
        self,
        request_id: registry.RequestId,
        reason: verdict.Reason,
        may_have_run: bool,
        send: Send,
    ) -> None:
        sample = self.sample(send)
        send(messages.Failure(*request_id, may_have_run, reason.value, sample))
