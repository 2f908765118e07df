"""Parses what upstreams state about themselves in the headers of answers."""

from __future__ import annotations

import dataclasses
import re
import typing

import multidict

from jasminebeam import inputs
from jasminebeam.model import upstreams

MAX_TEXT_CHARS = 64

_DECIMAL = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+')
_LEAVING = '1'


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers in which an upstream states its condition.

    Parameters
    ----------
    limit : str
        Requests per second that the upstream accepts from all nodes
        together.
    leaving : str
        "1" in each answer of an upstream that is about to stop.
    """

    limit: str
    leaving: str

    def read(self, headers: multidict.MultiMapping[str]) -> upstreams.Notice:
        """Return the notice in the headers of an answer."""
        return parse(
            headers.getall(self.limit, ()), headers.get(self.leaving, '')
        )


def parse(
    limit_texts: typing.Sequence[str], leaving_text: str
) -> upstreams.Notice:
    """Return the notice in the values of the headers.

    Parameters
    ----------
    limit_texts : sequence of str
        Values of all headers that name a rate limit. If they differ, the
        lowest valid one counts.
    leaving_text : str
        Value of the header that marks a leaving upstream; empty if there
        is none.

    Examples
    --------
    >>> parse(['8.5', '7, nan'], '1')  # doctest: +NORMALIZE_WHITESPACE
    Notice(limit_per_s=7.0, leaving=True, malformed_limit='nan',
           malformed_load='')
    """
    if not limit_texts and not leaving_text:
        return upstreams.NO_NOTICE
    limits = []
    malformed = ''
    for text in _split(limit_texts):
        limit_per_s = _parse_decimal(text.strip())
        if limit_per_s is None:
            malformed = text.strip()[:MAX_TEXT_CHARS] or 'empty'
        else:
            limits.append(limit_per_s)
    return upstreams.Notice(
        min(limits, default=None),
        leaving_text.strip() == _LEAVING,
        malformed,
    )


def parse_cold_ms(texts: typing.Sequence[str]) -> float | None:
    """Return for how many ms an upstream stays cold; 0 if it is warm.

    If several headers differ, the longest time counts.

    Returns
    -------
    float or None
        None if a value is no number, or above the longest valid duration.

    Examples
    --------
    >>> parse_cold_ms(['1500']), parse_cold_ms([])
    (1500.0, 0.0)
    >>> parse_cold_ms(['soon']) is None
    True
    """
    longest_ms = 0.0
    for text in _split(texts):
        cold_ms = _parse_decimal(text.strip())
        if cold_ms is None or cold_ms > inputs.MAX_DURATION_MS:
            return None
        longest_ms = max(longest_ms, cold_ms)
    return longest_ms


def _split(texts: typing.Sequence[str]) -> typing.Iterator[str]:
    for text in texts:
        yield from text.split(',')


def _parse_decimal(text: str) -> float | None:
    """Return the decimal number in a text; None if it has none."""
    if len(text) > MAX_TEXT_CHARS or not _DECIMAL.fullmatch(text):
        return None
    return float(text)
