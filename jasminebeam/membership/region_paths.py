"""Decides which members carry gossip between regions.

Load pattern: in a fleet of several regions, random partners make each node
send each change to other regions several times, so the bytes between regions
grow with the number of nodes and with the number of changes.
"""

from __future__ import annotations

import itertools
import typing

from jasminebeam.model import upstreams

if typing.TYPE_CHECKING:
    import random

    from jasminebeam.membership import table

# Members of a region that exchange changes with each other region. With
# three, the others go on while one is paused and not yet suspected.
REPRESENTATIVES = 3
# Members of a region that are considered first, to find some of different
# failure domains.
CONSIDERED = 12
# Choices of a partner until one that is alive is found.
MAX_DRAWS = 4


def spans_regions(members: table.MemberTable) -> bool:
    """Return True if there are alive or suspected members of two regions."""
    return sum(len(ring) > 0 for ring in members.region_rings.values()) > 1


def representatives(members: table.MemberTable, region: str) -> list[str]:
    """Return the members that carry changes to other regions.

    They are the first ones alive in the order of the ring, if possible of
    different failure domains. A suspected member is replaced by the next one.
    Nodes whose tables differ may disagree for a time. There are then more or
    fewer paths.
    """
    ring = members.region_rings.get(region)
    if ring is None:
        return []
    records = (members.get(ring.at(index)) for index in range(len(ring)))
    alive = (m for m in records if m.status is upstreams.Status.ALIVE)
    considered = list(itertools.islice(alive, CONSIDERED))
    # The first of each failure domain precede all others.
    first = {m.failure_domain: m.node_id for m in reversed(considered)}
    ordered = [m.node_id for m in considered]
    ordered.sort(key=lambda node_id: node_id not in first.values())
    return ordered[:REPRESENTATIVES]


class RegionPaths:
    """Paths of one node to other regions.

    Parameters
    ----------
    local_member : Member
        Record of the local node, which names its region.
    members : MemberTable
        Members to choose from.
    generator : random.Random
        Source of the choice.
    """

    def __init__(
        self,
        local_member: upstreams.Member,
        members: table.MemberTable,
        generator: random.Random,
    ) -> None:
        self._node_id = local_member.node_id
        self._region = local_member.region
        self._members = members
        self._generator = generator
        # Partner in each other region, and those whose answer is missing.
        self._partners: dict[str, str] = {}
        self._unanswered: set[str] = set()

    @property
    def spans_regions(self) -> bool:
        """True if the fleet has several regions."""
        return spans_regions(self._members)

    @property
    def is_representative(self) -> bool:
        """True if this node carries changes to other regions."""
        return self._is_representative(self._node_id, self._region)

    def partners(self) -> list[str]:
        """Return the members of other regions to contact in a round.

        A partner that has not answered since the last round is replaced.
        """
        if not self.spans_regions or not self.is_representative:
            self._partners = {}
            self._unanswered = set()
            return []
        self._partners = {
            region: self._partner(region, ring)
            for region, ring in sorted(self._members.region_rings.items())
            if region != self._region and len(ring)
        }
        self._unanswered = set(self._partners.values())
        return list(self._partners.values())

    def for_push(self) -> list[str]:
        """Return the members of other regions for an immediate change."""
        return [
            node_id
            for node_id in self._partners.values()
            if self._members.get(node_id) is not None
        ]

    def on_response(self, node_id: str) -> None:
        """Record that a member has answered."""
        self._unanswered.discard(node_id)

    def carries(self, node_id: str) -> bool:
        """Return True if messages to and from a member may carry changes.

        Between regions only those of a representative carry them. The others
        check that members are alive.
        """
        member = self._members.get(node_id)
        return (
            member is None
            or member.region == self._region
            or self.is_representative
            or self._is_representative(node_id, member.region)
        )

    def _is_representative(self, node_id: str, region: str) -> bool:
        return node_id in representatives(self._members, region)

    def _partner(self, region: str, ring: table.Ring) -> str:
        current = self._partners.get(region, '')
        if self._is_usable(current):
            return current
        for _ in range(MAX_DRAWS):
            current = ring.at(self._generator.randrange(len(ring)))
            if self._is_usable(current):
                break
        return current

    def _is_usable(self, node_id: str) -> bool:
        member = self._members.get(node_id)
        return (
            member is not None
            and member.status is upstreams.Status.ALIVE
            and node_id not in self._unanswered
        )
