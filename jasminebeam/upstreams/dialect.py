"""HTTP dialects: how an upstream encodes requests, answers and load."""

from __future__ import annotations

import typing

import multidict

from jasminebeam import inputs
from jasminebeam.model import requests
from jasminebeam.model import upstreams
from jasminebeam.upstreams import notices
from jasminebeam import verdict

HeaderMap = typing.Mapping[str, str]

# Requests per second that the upstream accepts from all nodes together.
LIMIT_HEADER = 'Jasminebeam-Limit'
# "1" in each answer of an upstream that is about to stop.
LEAVING_HEADER = 'Jasminebeam-Leaving'
# Time in ms for which an upstream stays cold, in health responses.
COLD_HEADER = 'Jasminebeam-Cold'


class UpstreamDialect(typing.Protocol):
    """Converts between calls and an upstream's HTTP messages."""

    notice_headers: notices.HeaderNames
    # Header that holds the load report; empty if none does.
    load_header: str

    def request_headers(
        self,
        call: requests.Call,
        time_left_ms: float,
        announcement: upstreams.Announcement,
    ) -> requests.Headers:
        """Return the headers of a request to the upstream."""

    def classify(
        self,
        call: requests.Call,
        answer: requests.Answer,
        headers: HeaderMap,
        announcement: upstreams.Announcement,
    ) -> verdict.Verdict:
        """Return the verdict that an answer implies once it is complete.

        Called when the head has arrived, so the body of `answer` is empty.
        """

    def read_report(self, headers: HeaderMap) -> upstreams.LoadReport | None:
        """Return the load report in an answer's headers, or None."""

    def health_target(self, announcement: upstreams.Announcement) -> str:
        """Return the path of the health check; empty if there is none."""

    def read_health(
        self,
        status: int,
        headers: multidict.MultiMapping[str],
        body: bytes,
    ) -> upstreams.Health | None:
        """Return the result of a health check.

        The result is None if the answer belongs to another request.
        """


class NativeDialect:
    """Dialect of jasminebeam's own HTTP interface to upstreams."""

    notice_headers = notices.HeaderNames(LIMIT_HEADER, LEAVING_HEADER)
    load_header = ''

    def request_headers(
        self,
        call: requests.Call,
        time_left_ms: float,
        announcement: upstreams.Announcement,
    ) -> requests.Headers:
        """Return the call's headers, its identifier and the time left."""
        return (
            *call.headers,
            (requests.REQUEST_ID_HEADER, call.request_id),
            (requests.TIMEOUT_HEADER, str(int(time_left_ms))),
        )

    def classify(
        self,
        call: requests.Call,
        answer: requests.Answer,
        headers: HeaderMap,
        announcement: upstreams.Announcement,
    ) -> verdict.Verdict:
        """Return *not run* for the announced shed status and header."""
        if answer.status == announcement.shed_status:
            header = announcement.shed_header
            if not header or header in headers:
                return verdict.not_run(verdict.Reason.SHED)
        return verdict.answered(answer)

    def read_report(self, headers: HeaderMap) -> upstreams.LoadReport | None:
        """Return None: load reports come from a separate path."""
        return None

    def health_target(self, announcement: upstreams.Announcement) -> str:
        """Return the path of the load report."""
        return announcement.load_path

    def read_health(
        self,
        status: int,
        headers: multidict.MultiMapping[str],
        body: bytes,
    ) -> upstreams.Health:
        """Return the health, and the number of running requests."""
        report = None
        counts = inputs.parse_counts(body.decode('latin-1'))
        if counts is not None and len(counts) == 1:
            report = upstreams.LoadReport(counts[0], 0, 0)
        cold_ms = notices.parse_cold_ms(headers.getall(COLD_HEADER, ()))
        return upstreams.Health(status == 200, report=report, cold_ms=cold_ms)
