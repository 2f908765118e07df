"""Choice of the members with which a node gossips."""

from __future__ import annotations

import typing

from jasminebeam.membership import region_paths
from jasminebeam.model import upstreams

if typing.TYPE_CHECKING:
    import random

    from jasminebeam.membership import table

MIN_PARTNERS = 1
# Number of members of the region, and of the whole fleet, that a push goes to.
PUSH_REGIONAL = 2
PUSH_GLOBAL = 2
# Records of one message that count as a repair, and not as a table transfer.
MAX_REPAIR_RECORDS = 32
# Rounds between two contacts of an unreachable member.
REJOIN_ROUNDS = 5


class PartnerChooser:
    """Chooses the receivers of heartbeats besides the monitored members.

    In a fleet of several regions they are members of the own region, and
    `RegionPaths` chooses those of other regions.

    Parameters
    ----------
    local_member : Member
        Record of the local node, which names its region.
    members : MemberTable
        Members to choose from.
    generator : random.Random
        Source of the choice.
    partner_rounds : int
        Rounds after which the partners are chosen anew.
    """

    def __init__(
        self,
        local_member: upstreams.Member,
        members: table.MemberTable,
        generator: random.Random,
        partner_rounds: int,
    ) -> None:
        self._node_id = local_member.node_id
        self._region = local_member.region
        self._members = members
        self._generator = generator
        self._partner_rounds = partner_rounds
        self._partners: list[str] = []
        self._paths = region_paths.RegionPaths(
            local_member, members, generator
        )
        # Contacted first in a round: a change that a node has sent often
        # enough within its region must not miss the others.
        self.distant = self._paths.partners
        self.carries = self._paths.carries
        self.on_response = self._paths.on_response

    def for_round(self, number: int) -> list[str]:
        """Return the partners of a round."""
        if number % self._partner_rounds == 1:
            self._partners = []
        partners = [
            node_id
            for node_id in self._partners
            if self._members.get(node_id) is not None
        ]
        if len(partners) < MIN_PARTNERS:
            partners = self._new_partners()
        self._partners = partners
        return [*partners, *self._unreachable_partner(number)]

    def for_push(self) -> list[str]:
        """Return the receivers of a change that is sent at once."""
        regional = self._sample_region(PUSH_REGIONAL)
        others = self._sample_near(PUSH_GLOBAL)
        distant = self._paths.for_push()
        return list(dict.fromkeys([*regional, *others, *distant]))

    def spreads_repair(self, count: int) -> bool:
        """Return True if records that a comparison has found are spread.

        Between regions few nodes compare their tables, and the others of the
        region, which are equal to each other, would not ask them.

        Parameters
        ----------
        count : int
            Number of records. Those of a table transfer are not spread.
        """
        return count <= MAX_REPAIR_RECORDS and self._paths.spans_regions

    def proxies(self, count: int) -> list[str]:
        """Return members through which a silent one is probed."""
        return self._sample_near(count)

    def _sample_near(self, count: int) -> list[str]:
        """Return random members of the fleet, or of one of its regions."""
        if self._paths.spans_regions:
            return self._sample_region(count)
        return self._sample_others(self._members.ring, count)

    def _new_partners(self) -> list[str]:
        regional = self._sample_region(1)
        return list(dict.fromkeys([*regional, *self._sample_near(1)]))

    def _sample_region(self, count: int) -> list[str]:
        ring = self._members.region_rings[self._region]
        return self._sample_others(ring, count)

    def _unreachable_partner(self, number: int) -> list[str]:
        """Return a suspected or dead member once in `REJOIN_ROUNDS` rounds.

        By these contacts the two sides of a network partition find each
        other again after it heals. The list is empty in the other rounds.
        """
        if number % REJOIN_ROUNDS:
            return []
        members = self._members
        unreachable = [
            node_id
            for node_id in (*members.suspects(), *members.inactive())
            if members.get(node_id).status is not upstreams.Status.LEFT
            and self._may_contact(node_id)
        ]
        return [self._generator.choice(unreachable)] if unreachable else []

    def _may_contact(self, node_id: str) -> bool:
        return (
            not self._paths.spans_regions
            or self._members.get(node_id).region == self._region
            or self._paths.is_representative
        )

    def _sample_others(self, ring: table.Ring, count: int) -> list[str]:
        if not len(ring):
            return []
        indexes = self._generator.sample(
            range(len(ring)), min(count + 1, len(ring))
        )
        sampled = [ring.at(index) for index in indexes]
        others = [name for name in sampled if name != self._node_id]
        return others[:count]
