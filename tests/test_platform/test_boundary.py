"""Tests that the platform's names stay in its folder."""

from __future__ import annotations

import pathlib
import re

PACKAGE = pathlib.Path(__file__).parents[2] / 'jasminebeam'
NAMES = re.compile(
    r'Deadline-Ms|Expect-Instance|Server-Stamp|Server-Load|Not-Executed|'
    r'Caller-Service|Instance-Id|kv-(key|range|watch|txn|lease|keep)|'
    r'heartbeatAddr|weightedClusters|weighted_clusters|op/config|'
    r'JASMINEBEAM_SETTINGS|/v1/(ready|instances)|coldRemainingMs|aimMs'
)
MAX_LINES = 1_200


def _outside():
    for path in PACKAGE.rglob('*.py'):
        if 'platform' not in path.relative_to(PACKAGE).parts:
            yield path


def test_nothing_outside_knows_the_platform():
    """Neither its names nor its package."""
    for path in _outside():
        text = path.read_text()
        assert not NAMES.search(text), path
        assert 'jasminebeam.platform' not in text, path


def test_adapter_stays_small():
    """It translates; decisions are the product's."""
    lines = sum(
        len(path.read_text().splitlines())
        for path in (PACKAGE / 'platform').rglob('*.py')
    )
    assert lines < MAX_LINES
