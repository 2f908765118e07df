"""Parses what upstreams state about themselves in the headers of answers."""

from __future__ import annotations

import dataclasses
import re
import typing

import multidict

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
        limit_per_s = _parse_limit(text.strip())
        if limit_per_s is None:
            malformed = text.strip()[:MAX_TEXT_CHARS] or 'empty'
        else:
            limits.append(limit_per_s)
    return upstreams.Notice(
        min(limits, default=None),
        leaving_text.strip() == _LEAVING,
        malformed,
    )


def _split(texts: typing.Sequence[str]) -> typing.Iterator[str]:
    for text in texts:
        yield from text.split(',')


def _parse_limit(text: str) -> float | None:
    """Return the requests per second in a text; None if it has no number."""
    if len(text) > MAX_TEXT_CHARS or not _DECIMAL.fullmatch(text):
        return None
    return float(text)
