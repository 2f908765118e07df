"""Upstreams' requests, answers and load as the platform writes them."""

from __future__ import annotations

import typing

from jasminebeam.model import requests
from jasminebeam.model import upstreams
from jasminebeam.platform import wire
from jasminebeam import verdict

HeaderMap = typing.Mapping[str, str]

_MISDIRECTED = 421
# Statuses that promise that nothing ran; an upstream that gives one
# without its mark has broken the promise, so it is not passed on.
_PROMISES = frozenset({408, _MISDIRECTED, 429, 503})


class PlatformUpstreams:
    """Translates between calls and an upstream's HTTP."""

    def request_headers(
        self,
        call: requests.Call,
        time_left_ms: float,
        announcement: upstreams.Announcement,
    ) -> requests.Headers:
        """Return the call's headers, the time left and the identity."""
        own = [(wire.TIME_LEFT, str(max(1, int(time_left_ms))))]
        if announcement.upstream_id:
            own.append((wire.UPSTREAM_ID, announcement.upstream_id))
        return (*call.headers, *own)

    def classify(
        self,
        call: requests.Call,
        answer: requests.Answer,
        headers: HeaderMap,
        announcement: upstreams.Announcement,
    ) -> verdict.Verdict:
        """Return the verdict that a whole answer stands for."""
        echoed = headers.get(wire.REQUEST_ID)
        if echoed is not None and echoed != call.request_id:
            return verdict.may_have_run(verdict.Reason.WRONG_ANSWER)
        if answer.status == _MISDIRECTED:
            return verdict.not_run(verdict.Reason.WRONG_UPSTREAM)
        if wire.NOT_RUN in headers:
            return verdict.not_run(verdict.Reason.SHED)
        if answer.status in _PROMISES:
            return verdict.may_have_run(verdict.Reason.WRONG_ANSWER)
        if answer.status < 300 and not _is_signed(headers, echoed):
            return verdict.may_have_run(verdict.Reason.WRONG_ANSWER)
        return verdict.answered(answer)

    def read_report(self, headers: HeaderMap) -> upstreams.LoadReport | None:
        """Return the load that came with an answer."""
        return parse_load(headers.get(wire.LOAD, ''))

    def health_target(self, announcement: upstreams.Announcement) -> str:
        """Return the path of the health check."""
        return announcement.load_path

    def read_health(
        self, status: int, headers: HeaderMap, body: bytes
    ) -> upstreams.Health:
        """Return the result of a health check."""
        return upstreams.Health(
            healthy=status == 200,
            upstream_id=headers.get(wire.ANSWERING_ID, ''),
            report=self.read_report(headers),
        )


def _is_signed(headers: HeaderMap, echoed: str | None) -> bool:
    if echoed is None or 'Content-Encoding' in headers:
        return False
    return bool(headers.get(wire.SIGNATURE))


def parse_load(text: str) -> upstreams.LoadReport | None:
    """Return the report in a load header; None if it can't be read.

    Examples
    --------
    >>> parse_load('3,0,9,400')
    LoadReport(running=3, waiting=0, slots=9, slowness=4.0)
    >>> parse_load('busy') is None
    True
    """
    try:
        figures = [int(part) for part in text.split(',')]
    except ValueError:
        return None
    if len(figures) < 3 or min(figures) < 0:
        return None
    slowness = None
    if len(figures) > 3 and figures[3] > 0:
        slowness = figures[3] / wire.USUAL_SPEED_PERCENT
    return upstreams.LoadReport(*figures[:3], slowness)
