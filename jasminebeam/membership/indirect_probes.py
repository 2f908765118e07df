"""Probes of a silent member through other members."""

from __future__ import annotations

import typing

from jasminebeam.membership import effects as effects_module
from jasminebeam.peering import messages

if typing.TYPE_CHECKING:
    from jasminebeam.membership import partners as partners_module
    from jasminebeam.membership import table

# Members through which a silent one is probed.
PROXIES = 2


class IndirectProbes:
    """Asks other members to probe, and answers such queries.

    Parameters
    ----------
    members : MemberTable
        Members, with their addresses.
    partners : PartnerChooser
        Chooses the members that probe.
    """

    def __init__(
        self,
        members: table.MemberTable,
        partners: partners_module.PartnerChooser,
    ) -> None:
        self._members = members
        self._partners = partners
        self._requesters: dict[str, set[str]] = {}

    def request(
        self,
        node_id: str,
        reply_address: str,
        effects: effects_module.Effects,
    ) -> None:
        """Ask other members to probe a member for this node."""
        for proxy in self._partners.proxies(PROXIES):
            if proxy != node_id:
                address = self._members.get(proxy).address
                probe = messages.IndirectProbe(node_id, reply_address)
                effects.outgoing.append(
                    effects_module.Outgoing(address, probe)
                )

    def accept(self, message: messages.IndirectProbe) -> bool:
        """Record who asks; return False if the member is unknown."""
        if self._members.get(message.node_id) is None:
            return False
        requesters = self._requesters.setdefault(message.node_id, set())
        requesters.add(message.reply_address)
        return True

    def on_response(
        self, node_id: str, effects: effects_module.Effects
    ) -> None:
        """Tell those who asked that a member has answered."""
        for address in self._requesters.pop(node_id, ()):
            result = messages.IndirectResult(node_id)
            effects.outgoing.append(effects_module.Outgoing(address, result))
