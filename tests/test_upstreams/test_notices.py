"""Tests of the parser of rate limits and leaving marks."""

from __future__ import annotations

import pytest

from jasminebeam.upstreams import notices


@pytest.mark.parametrize(
    ('texts', 'limit_per_s'),
    [
        (['8.125'], 8.125),
        (['0'], 0.0),
        (['.5'], 0.5),
        (['3.'], 3.0),
        ([' 7 '], 7.0),
        (['9' * 64], float('9' * 64)),
        (['8', '5'], 5.0),
        (['8, 5'], 5.0),
    ],
)
def test_valid_limits(texts, limit_per_s):
    """A decimal number is a limit; the lowest of several counts."""
    parsed = notices.parse(texts, '')
    assert parsed.limit_per_s == limit_per_s
    assert not parsed.malformed_limit


@pytest.mark.parametrize(
    'text',
    ['', '-1', '+1', 'nan', 'inf', '1e3', '1_0', '٣', '0x1', '.', '9' * 65],
)
def test_malformed_limits_are_reported_and_ignored(text):
    """Other texts name no limit and are shortened for the log."""
    parsed = notices.parse([text], '')
    assert parsed.limit_per_s is None
    assert 0 < len(parsed.malformed_limit) <= notices.MAX_TEXT_CHARS


def test_malformed_limit_beside_a_valid_one():
    """The valid limit counts, and the other text is reported."""
    parsed = notices.parse(['nan', '5'], '')
    assert parsed.limit_per_s == 5.0
    assert parsed.malformed_limit == 'nan'


@pytest.mark.parametrize(
    ('text', 'leaving'), [('1', True), ('0', False), ('', False), ('x', False)]
)
def test_leaving_mark(text, leaving):
    """Only the value 1 marks an upstream that leaves."""
    assert notices.parse((), text).leaving is leaving
