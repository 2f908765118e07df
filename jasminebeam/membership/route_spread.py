"""Spread of the route set in force from node to node."""

from __future__ import annotations

import math
import typing

from jasminebeam.peering import messages

if typing.TYPE_CHECKING:
    from jasminebeam.configuration import routes as routes_module
    from jasminebeam.membership import effects as effects_module
    from jasminebeam.model import routes

# Revisions not yet in force whose first announcers are remembered.
MAX_ANNOUNCED_REVISIONS = 64

# Time for which further announcements of a revision cause no query after the
# first one. The reply takes a round trip, within which several nodes announce
# the same revision.
QUERY_TIMEOUT_MS = 100.0

# Sources of a route set that are no node.
STORE_SOURCE = 'store'
PEER_SOURCE = 'peer'


class RouteSpread:
    """Asks peers for newer route sets and answers such queries.

    Parameters
    ----------
    in_force : RouteDirectory
        Route set in force; received sets are applied to it.
    """

    def __init__(self, in_force: routes_module.RouteDirectory) -> None:
        self._in_force = in_force
        # First node that announced each revision newer than that in force.
        self._announcers: dict[int, str] = {}
        # Newest revision that a peer in another region has announced, and
        # the round in which it did so first.
        self._distant = (0, 0)
        # Newest revision that the node has asked for, and until when it waits
        # for the reply.
        self._queried = (0, -math.inf)

    @property
    def revision(self) -> int:
        """Revision of the route set in force; 0 if there is none."""
        return self._in_force.revision

    def query_newer(
        self, peer_revision: int, node_id: str, now_ms: float
    ) -> messages.RoutesQuery | None:
        """Return a query for the routes that a node has announced, if newer.

        Load pattern: revisions follow each other closely, and each route set
        is large. Several nodes announce a revision before the first reply
        arrives; each of them would send the whole set.

        Parameters
        ----------
        peer_revision : int
            Revision of the peer's route set.
        node_id : str
            Node that has announced it; empty if unknown.
        now_ms : float
            Monotonic time.
        """
        if peer_revision <= self.revision:
            return None
        if node_id and len(self._announcers) < MAX_ANNOUNCED_REVISIONS:
            self._announcers.setdefault(peer_revision, node_id)
        queried_revision, until_ms = self._queried
        if peer_revision <= queried_revision and now_ms < until_ms:
            return None
        self._queried = (peer_revision, now_ms + QUERY_TIMEOUT_MS)
        return messages.RoutesQuery(self.revision)

    def is_overdue(self, peer_revision: int, number: int) -> bool:
        """Return True if a newer set was announced in an earlier round.

        Parameters
        ----------
        peer_revision : int
            Revision that a peer in another region announces.
        number : int
            Number of the present round.
        """
        revision, first_number = self._distant
        if peer_revision > max(revision, self.revision):
            self._distant = (peer_revision, number)
            return False
        return revision > self.revision and number > first_number

    def reply_if_newer(
        self, peer_revision: int, effects: effects_module.Effects
    ) -> None:
        """Reply with the route set in force if the peer's is older."""
        if self.revision > peer_revision:
            effects.replies.append(
                messages.RoutesReply(self._in_force.current)
            )

    def on_reply(
        self, new: routes.RouteSet, effects: effects_module.Effects
    ) -> None:
        """Put a route set of a peer in force if it is newer."""
        source = self._announcers.get(new.revision, PEER_SOURCE)
        self.apply(new, source, effects)

    def apply(
        self,
        new: routes.RouteSet,
        source: str,
        effects: effects_module.Effects,
    ) -> None:
        """Put a route set in force if it is newer."""
        if self._in_force.apply(new):
            self._announcers = {
                revision: node_id
                for revision, node_id in self._announcers.items()
                if revision > new.revision
            }
            effects.route_set = new
            effects.routes_source = source
