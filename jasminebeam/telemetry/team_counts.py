"""Counts of requests by team, for the largest teams."""

from __future__ import annotations

import collections
import dataclasses
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

LIMITED = 'limited'
NOT_RUN = 'not-run'


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Requests of one team.

    Parameters
    ----------
    admitted : int
        Requests that were answered or may have run.
    limited : int
        Requests beyond the rate limit.
    refused : int
        Requests that were refused for another reason.
    """

    admitted: int = 0
    limited: int = 0
    refused: int = 0


def summarize(counts: typing.Mapping[str, float]) -> Summary:
    """Return the summary of counts by result.

    Examples
    --------
    >>> summarize({'answered': 5, 'may-have-run': 1, 'limited': 2})
    Summary(admitted=6, limited=2, refused=0)
    """
    limited = int(counts.get(LIMITED, 0))
    refused = int(counts.get(NOT_RUN, 0))
    admitted = int(sum(counts.values())) - limited - refused
    return Summary(admitted, limited, refused)


class TeamCounts(registry.Collector):
    """Counts the requests of each team by result.

    Only the teams with the most requests are shown, so the counts of a small
    team may appear or disappear.
    """

    def __init__(self) -> None:
        self._counts: dict[str, collections.Counter[str]] = {}
        # Rate limits in force, by team.
        self.limits_per_s: dict[str, float] = {}

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

    def summary(self, team: str) -> Summary:
        """Return the requests of a team."""
        return summarize(self._counts.get(team, {}))

    def describe(self) -> typing.Iterable[core.Metric]:
        """Return the metric without samples."""
        return [self._family(), self._limit_family()]

    def collect(self) -> typing.Iterable[core.Metric]:
        """Return the metric of the largest teams."""
        family = self._family()
        limits = self._limit_family()
        for team, counts in self._largest(MAX_SHOWN):
            for result, count in counts.items():
                family.add_metric([team, result], count)
            if team in self.limits_per_s:
                limits.add_metric([team], self.limits_per_s[team])
        return [family, limits]

    def _family(self) -> core.CounterMetricFamily:
        return core.CounterMetricFamily(
            'jasminebeam_team_requests',
            'Requests by team and outcome, for the largest teams.',
            labels=['team', 'outcome'],
        )

    def _limit_family(self) -> core.GaugeMetricFamily:
        return core.GaugeMetricFamily(
            'jasminebeam_team_limit_per_s',
            'Requests a second that a team may send to all nodes together.',
            labels=['team'],
        )

    def _largest(
        self, count: int
    ) -> list[tuple[str, collections.Counter[str]]]:
        return heapq.nlargest(
            count, self._counts.items(), key=lambda item: item[1].total()
        )
