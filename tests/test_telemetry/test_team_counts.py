"""Tests of the counts of requests by team."""

from __future__ import annotations

from jasminebeam.telemetry import metrics
from jasminebeam.telemetry import team_counts


def _shown(counters):
    lines = counters.render().decode().splitlines()
    return [line for line in lines if line.startswith('jasminebeam_team_requ')]


def test_metrics_grew_with_the_number_of_teams():
    """Only the largest teams are shown, each with all its outcomes."""
    counters = metrics.Metrics()
    for number in range(2 * team_counts.MAX_SHOWN):
        counters.team_requests.add(f't{number}', 'answered')
    counters.team_requests.add('t150', 'not-run')
    counters.team_requests.add('', 'answered')
    shown = _shown(counters)
    assert len(shown) == team_counts.MAX_SHOWN + 1
    name = 'jasminebeam_team_requests_total'
    assert f'{name}{{outcome="not-run",team="t150"}} 1.0' in shown


def test_counts_of_old_teams_were_kept_for_ever():
    """The number of counts is bounded; those of the largest teams stay."""
    counts = team_counts.TeamCounts()
    for _ in range(2):
        counts.add('largest', 'answered')
    for number in range(2 * team_counts.MAX_KEPT):
        counts.add(f't{number}', 'answered')
    assert len(counts._counts) <= team_counts.MAX_KEPT
    assert counts._counts['largest'].total() == 2
