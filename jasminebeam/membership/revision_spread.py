"""Spread of the revisions of services and teams from node to node."""

from __future__ import annotations

import typing

import msgspec

from jasminebeam.membership import effects as effects_module
from jasminebeam.membership import rumors
from jasminebeam.model import services
from jasminebeam.peering import messages

if typing.TYPE_CHECKING:
    from jasminebeam.configuration import directory
    from jasminebeam.membership import partners as partners_module
    from jasminebeam.membership import table

# Assumed size of one service revision in the byte budget of a heartbeat.
REVISION_BYTES = 700


class RevisionSpread:
    """Puts received revisions in force and spreads them further.

    Revisions of services travel in heartbeats. That of the teams may be much
    larger than a heartbeat, so it is sent to partners in a message of its
    own.

    Parameters
    ----------
    in_force : ServiceDirectory
        Revisions in force; received revisions are applied to it.
    members : MemberTable
        Members, with their addresses.
    partners : PartnerChooser
        Chooses the members to which new teams are sent at once.
    max_rumors : int
        Maximum number of changes that wait to be spread.
    """

    def __init__(
        self,
        in_force: directory.ServiceDirectory,
        members: table.MemberTable,
        partners: partners_module.PartnerChooser,
        max_rumors: int,
    ) -> None:
        self._in_force = in_force
        self._members = members
        self._partners = partners
        self.rumors: rumors.RumorQueue[services.ServiceRevision] = (
            rumors.RumorQueue(max_rumors)
        )
        # Whether the node knows the teams, if there are any.
        self._is_complete = False
        # Whether it has ignored changes that it would have spread further.
        self._has_ignored = False

    def apply(
        self,
        revisions: typing.Iterable[services.ServiceRevision],
        effects: effects_module.Effects,
    ) -> None:
        """Put revisions of the store or of a comparison in force if newer."""
        for revision in revisions:
            self._is_complete = True
            if not self._in_force.apply(revision):
                continue
            effects.revisions.append(revision)
            if revision.teams is msgspec.UNSET:
                self.rumors.add(revision.name, revision, REVISION_BYTES)
            else:
                self._push_teams(revision, effects)

    def apply_rumors(
        self,
        message: messages.Heartbeat | messages.HeartbeatAck,
        effects: effects_module.Effects,
    ) -> bool:
        """Put the revisions of a heartbeat in force if newer.

        A node that has just started ignores them until it has compared its
        configuration with another node or read the store: with a service but
        without the teams it would serve requests without a key. Two nodes that
        know nothing prove nothing.

        Returns
        -------
        bool
            False if the node must compare its configuration first.
        """
        own_digest = self._in_force.digest
        if own_digest and message.config_digest == own_digest:
            self._is_complete = True
        if not self._is_complete:
            self._has_ignored = self._has_ignored or bool(message.revisions)
            return not message.revisions
        self.apply(message.revisions, effects)
        return True

    def apply_compared(
        self,
        revisions: typing.Iterable[services.ServiceRevision],
        effects: effects_module.Effects,
    ) -> bool:
        """Put revisions that a comparison has found in force if newer.

        Returns
        -------
        bool
            True if they contain changes that had been ignored, and that the
            node must push as if it had received them in a heartbeat.
        """
        self.apply(revisions, effects)
        had_ignored, self._has_ignored = self._has_ignored, False
        return had_ignored and bool(effects.revisions)

    def _push_teams(
        self,
        revision: services.ServiceRevision,
        effects: effects_module.Effects,
    ) -> None:
        for node_id in self._partners.for_push():
            address = self._members.get(node_id).address
            message = messages.Sync(revisions=(revision,))
            effects.outgoing.append(effects_module.Outgoing(address, message))
