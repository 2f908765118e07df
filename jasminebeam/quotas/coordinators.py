"""Choice of the node that coordinates the tokens of a team."""

from __future__ import annotations

import heapq
import typing

from jasminebeam import hashing

# Candidates of each team: the coordinator and its substitutes.
CANDIDATES = 8

# Time for which a coordinator that did not answer is not asked again.
AVOID_MS = 2_000.0


def candidates(team: str, members: typing.Iterable[str]) -> tuple[str, ...]:
    """Return the coordinator of a team and its substitutes, in order.

    Nodes that know the same members agree (rendezvous hashing).

    Examples
    --------
    >>> candidates('a', ['n1', 'n2']) == candidates('a', ['n2', 'n1'])
    True
    """
    return tuple(
        heapq.nlargest(
            CANDIDATES,
            members,
            key=lambda node_id: (hashing.hash64(team, node_id), node_id),
        )
    )


class Coordinators:
    """Chooses coordinators and avoids those that do not answer.

    Parameters
    ----------
    node_id : str
        Name of the local node, the last resort.
    """

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._members: frozenset[str] = frozenset({node_id})
        self._candidates: dict[str, tuple[str, ...]] = {}
        self._avoided_until_ms: dict[str, float] = {}

    @property
    def members(self) -> frozenset[str]:
        """Live members."""
        return self._members

    def update(self, members: frozenset[str]) -> None:
        """Replace the set of live members."""
        if members != self._members:
            self._members = members
            self._candidates = {}

    def retain(self, teams: typing.Container[str]) -> None:
        """Forget the candidates of all other teams."""
        self._candidates = {
            team: order
            for team, order in self._candidates.items()
            if team in teams
        }

    def choose(self, team: str, now_ms: float) -> str:
        """Return the coordinator to ask for tokens of a team."""
        order = self._candidates.get(team)
        if order is None:
            order = candidates(team, self._members)
            self._candidates[team] = order
        for node_id in order:
            if self._avoided_until_ms.get(node_id, now_ms) <= now_ms:
                return node_id
        return self._node_id

    def on_silent(self, node_id: str, now_ms: float) -> None:
        """Avoid a coordinator that has not answered."""
        if node_id != self._node_id:
            self._avoided_until_ms[node_id] = now_ms + AVOID_MS

    def on_response(self, node_id: str) -> None:
        """Use a coordinator again that has sent a message."""
        self._avoided_until_ms.pop(node_id, None)
