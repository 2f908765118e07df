"""Spread of the evacuated failure domains from node to node."""

from __future__ import annotations

import typing

from jasminebeam.membership import effects as effects_module
from jasminebeam.model import evacuations
from jasminebeam.peering import evacuation_messages

if typing.TYPE_CHECKING:
    from jasminebeam.configuration import evacuations as directory
    from jasminebeam.membership import partners as partners_module
    from jasminebeam.membership import table
    from jasminebeam.peering import base


class EvacuationSpread:
    """Announces the set of this node and repairs what was lost.

    Until an evacuation becomes known, it sends nothing.

    Parameters
    ----------
    in_force : EvacuationDirectory
        Set in force; received sets are applied to it.
    members : MemberTable
        Members, with their addresses.
    partners : PartnerChooser
        Chooses the members to which a new set is sent at once.
    """

    def __init__(
        self,
        in_force: directory.EvacuationDirectory,
        members: table.MemberTable,
        partners: partners_module.PartnerChooser,
    ) -> None:
        self._in_force = in_force
        self._members = members
        self._partners = partners

    @property
    def current(self) -> evacuations.Evacuations:
        """Set in force."""
        return self._in_force.current

    def adopt(
        self, found: evacuations.Evacuations, listed: bool, now_ms: float
    ) -> effects_module.Effects:
        """Put what the store holds in force if newer; push it immediately.

        Parameters
        ----------
        found : Evacuations
            Complete set in the store.
        listed : bool
            True if all keys were read, False after a change.
        now_ms : float
            Monotonic time.
        """
        effects = effects_module.Effects()
        if listed:
            changed = self._in_force.apply_listing(found, now_ms)
        else:
            changed = self._in_force.apply(found, now_ms)
        if changed:
            self._push(effects)
        return effects

    def receive(
        self,
        message: base.Message,
        now_ms: float,
        effects: effects_module.Effects,
    ) -> None:
        """Process a message of a peer; ignore those of other kinds."""
        if isinstance(message, evacuation_messages.EvacuationsDigest):
            effects.replies += self._reply(message.revision)
        elif isinstance(message, evacuation_messages.EvacuationsUpdate):
            received = evacuations.Evacuations(
                message.revision, message.domains
            )
            if self._in_force.apply(received, now_ms):
                self._push(effects)

    def update(self) -> list[base.Message]:
        """Return the set; nothing if there is none."""
        current = self.current
        if not current.revision:
            return []
        return [
            evacuation_messages.EvacuationsUpdate(
                current.revision, current.domains
            )
        ]

    def digest(self) -> list[base.Message]:
        """Return the revision of the set; nothing if there is none."""
        revision = self._in_force.revision
        return (
            [evacuation_messages.EvacuationsDigest(revision)]
            if revision
            else []
        )

    def _reply(self, peer_revision: int) -> list[base.Message]:
        """Return what a peer lacks, or ask it for its newer set."""
        revision = self._in_force.revision
        if peer_revision < revision:
            return self.update()
        if peer_revision > revision:
            return [evacuation_messages.EvacuationsDigest(revision)]
        return []

    def _push(self, effects: effects_module.Effects) -> None:
        effects.evacuations = self.current
        for node_id in self._partners.for_push():
            address = self._members.get(node_id).address
            effects.outgoing += [
                effects_module.Outgoing(address, message)
                for message in self.update()
            ]
