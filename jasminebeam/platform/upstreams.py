"""Upstream-side HTTP of the platform: requests, answers and load."""

from __future__ import annotations

import multidict

from jasminebeam import inputs
from jasminebeam.model import requests
from jasminebeam.model import upstreams
from jasminebeam.platform import wire
from jasminebeam.upstreams import dialect
from jasminebeam.upstreams import notices
from jasminebeam import verdict

_MISDIRECTED = 421
# Statuses by which an upstream states that the request did not run. Except
# for 421, such an answer must carry the header `Not-Executed`. Without the
# header the request may have run, so the node does not forward the answer.
_NOT_RUN_STATUSES = frozenset({408, _MISDIRECTED, 429, 503})


class PlatformUpstreamDialect:
    """Encodes calls as HTTP requests and decodes upstreams' answers."""

    notice_headers = notices.HeaderNames(wire.LIMIT, wire.LEAVING)
    load_header = wire.LOAD

    def request_headers(
        self,
        call: requests.Call,
        time_left_ms: float,
        announcement: upstreams.Announcement,
    ) -> requests.Headers:
        """Return the call's headers, the time left and the upstream's id."""
        node_headers = [(wire.TIME_LEFT, str(max(1, int(time_left_ms))))]
        if announcement.upstream_id:
            node_headers.append((wire.EXPECTED_ID, announcement.upstream_id))
        return (*call.headers, *node_headers)

    def classify(
        self,
        call: requests.Call,
        answer: requests.Answer,
        headers: dialect.HeaderMap,
        announcement: upstreams.Announcement,
    ) -> verdict.Verdict:
        """Return the verdict that follows from the head of an answer."""
        # A late second answer to an earlier request may have any status.
        if headers.get(wire.REQUEST_ID) != call.request_id:
            return verdict.may_have_run(verdict.Reason.WRONG_ANSWER)
        if answer.status == _MISDIRECTED:
            return verdict.not_run(verdict.Reason.WRONG_UPSTREAM)
        if wire.NOT_RUN in headers:
            return verdict.not_run(verdict.Reason.SHED)
        if answer.status in _NOT_RUN_STATUSES:
            return verdict.may_have_run(verdict.Reason.WRONG_ANSWER)
        signed = headers.get(wire.SIGNATURE)
        if answer.status < 300 and (
            not signed or 'Content-Encoding' in headers
        ):
            return verdict.may_have_run(verdict.Reason.WRONG_ANSWER)
        return verdict.answered(answer)

    def read_report(
        self, headers: dialect.HeaderMap
    ) -> upstreams.LoadReport | None:
        """Return the load report in the headers of an answer."""
        return parse_load(headers.get(wire.LOAD, ''))

    def health_target(self, announcement: upstreams.Announcement) -> str:
        """Return the path of the health check."""
        return announcement.load_path

    def read_health(
        self,
        status: int,
        headers: multidict.MultiMapping[str],
        body: bytes,
    ) -> upstreams.Health | None:
        """Return the result of a health check; None for another answer."""
        if wire.REQUEST_ID in headers:
            return None
        return upstreams.Health(
            healthy=status == 200,
            upstream_id=headers.get(wire.ANSWERING_ID, ''),
            report=self.read_report(headers),
            cold_ms=notices.parse_cold_ms(headers.getall(wire.COLD, ())),
        )


def parse_load(text: str) -> upstreams.LoadReport | None:
    """Return the report in a load header; None if it is malformed.

    Examples
    --------
    >>> parse_load('3,0,9,400')
    LoadReport(running=3, waiting=0, slots=9, slowness=4.0)
    >>> parse_load('busy') is None
    True
    """
    values = inputs.parse_counts(text)
    if values is None or len(values) < 3:
        return None
    slowness = None
    if len(values) > 3 and values[3] > 0:
        slowness = values[3] / wire.NORMAL_SLOWNESS_PERCENT
    return upstreams.LoadReport(*values[:3], slowness)
