"""Counts of requests by team, for the largest teams."""

from __future__ import annotations

import collections
import heapq
import typing

from prometheus_client import core
from prometheus_client import registry

# Teams that the metrics show. Each one adds a line for each result to every
# answer of the metrics server.
MAX_SHOWN = 100

# Teams whose counts are kept. New configurations add teams, so the number
# must be bounded.
MAX_KEPT = 4_096


class TeamCounts(registry.Collector):
    """Counts the requests of each team by result.

    Only the teams with the most requests are shown, so the counts of a small
    team may appear or disappear.
    """

    def __init__(self) -> None:
        self._counts: dict[str, collections.Counter[str]] = {}

    def add(self, team: str, result: str) -> None:
        """Count a request of a team; an empty name counts nothing."""
        if not team:
            return
        counts = self._counts.get(team)
        if counts is None:
            if len(self._counts) >= MAX_KEPT:
                self._counts = dict(self._largest(MAX_KEPT // 2))
            counts = self._counts[team] = collections.Counter()
        counts[result] += 1

    def describe(self) -> typing.Iterable[core.Metric]:
        """Return the metric without samples."""
        return [self._family()]

    def collect(self) -> typing.Iterable[core.Metric]:
        """Return the metric of the largest teams."""
        family = self._family()
        for team, counts in self._largest(MAX_SHOWN):
            for result, count in counts.items():
                family.add_metric([team, result], count)
        return [family]

    def _family(self) -> core.CounterMetricFamily:
        return core.CounterMetricFamily(
            'jasminebeam_team_requests',
            'Requests by team and outcome, for the largest teams.',
            labels=['team', 'outcome'],
        )

    def _largest(
        self, count: int
    ) -> list[tuple[str, collections.Counter[str]]]:
        return heapq.nlargest(
            count, self._counts.items(), key=lambda item: item[1].total()
        )
