"""Exact shares of requests among the services of a route."""

from __future__ import annotations

import typing


class SmoothWeightedRoundRobin:
    """Smooth weighted round robin.

    After any number of requests each name has had its share, give or
    take one request.

    Parameters
    ----------
    weighted : sequence of (str, int)
        Names and their weights; at least one weight is positive.
    start : float
        Position in [0, 1) where the rotation starts, so that many nodes
        don't start with the same name.

    Examples
    --------
    >>> rotation = SmoothWeightedRoundRobin([('a', 3), ('b', 1)], 0.0)
    >>> ''.join(rotation.next() for _ in range(8))
    'aabaaaba'
    """

    def __init__(
        self, weighted: typing.Sequence[tuple[str, int]], start: float
    ) -> None:
        self._weighted = [(name, part) for name, part in weighted if part > 0]
        self._total = sum(part for _, part in self._weighted)
        self._credit = {name: 0.0 for name, _ in self._weighted}
        if len(self._weighted) > 1:
            self._shift(start)

    def next(self) -> str:
        """Return the service of the next request."""
        for name, part in self._weighted:
            self._credit[name] += part
        chosen = max(self._credit, key=self._credit.__getitem__)
        self._credit[chosen] -= self._total
        return chosen

    def _shift(self, start: float) -> None:
        # A random phase of the rotation: whole steps of its period.
        for _ in range(int(start * self._total)):
            self.next()
