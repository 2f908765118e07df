"""Weighted round robin over the services of a route."""

from __future__ import annotations

import typing


class SmoothWeightedRoundRobin:
    """Smooth weighted round robin.

    After as many requests as the sum of the weights, each name has exactly
    its share. Between two names, a count never differs from its share by
    more than one request. With more names the difference can be slightly
    larger.

    Parameters
    ----------
    weighted : sequence of (str, int)
        Names and their weights; at least one weight is positive.
    start : float
        Position in [0, 1) where the cycle starts. Different positions
        keep many nodes from starting with the same name.

    Examples
    --------
    >>> rotation = SmoothWeightedRoundRobin([('a', 3), ('b', 1)], 0.0)
    >>> ''.join(rotation.next() for _ in range(8))
    'aabaaaba'
    """

    def __init__(
        self, weighted: typing.Sequence[tuple[str, int]], start: float
    ) -> None:
        self._weighted = [
            (name, weight) for name, weight in weighted if weight > 0
        ]
        self._total = sum(weight for _, weight in self._weighted)
        self._current_weights = {name: 0.0 for name, _ in self._weighted}
        if len(self._weighted) > 1:
            self._advance(start)

    def next(self) -> str:
        """Return the service of the next request."""
        for name, weight in self._weighted:
            self._current_weights[name] += weight
        chosen = max(
            self._current_weights, key=self._current_weights.__getitem__
        )
        self._current_weights[chosen] -= self._total
        return chosen

    def _advance(self, start: float) -> None:
        # Advance by whole steps to the start position within the cycle.
        for _ in range(int(start * self._total)):
            self.next()
