"""Detection of failure domains that become unreachable as a whole."""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    from jasminebeam.membership import table

MIN_SUSPECTS = 3
SUSPECT_RATIO = 0.15


class UnreachableDomainDetector:
    """Distinguishes a failed host from a failed domain or link.

    A domain counts as unreachable while many of its members are suspected
    at the same time. Meanwhile, the node holds the suspicions: it declares
    members of the domain dead only after a much longer timeout, and it does
    not spread further suspicions of them. Routing avoids the domain.
    """

    def __init__(self) -> None:
        self.unreachable: frozenset[str] = frozenset()

    def update(
        self, members: table.MemberTable
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Return the newly unreachable domains and the recovered domains."""
        counts = collections.Counter(
            members.get(node_id).failure_domain
            for node_id in members.suspects()
        )
        unreachable = frozenset(
            domain
            for domain, count in counts.items()
            if count >= _threshold(members.active_in(domain))
        )
        began = unreachable - self.unreachable
        ended = self.unreachable - unreachable
        self.unreachable = unreachable
        return began, ended


def _threshold(active: int) -> int:
    """Return the minimum number of suspects in an unreachable domain.

    Examples
    --------
    >>> _threshold(5), _threshold(1_640)
    (3, 246)
    """
    return max(MIN_SUSPECTS, int(active * SUSPECT_RATIO))
