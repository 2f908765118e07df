"""Number of nodes that share the limits of teams, never underestimated."""

from __future__ import annotations

import math

from jasminebeam.model import upstreams

# Time for which a member that is gone still counts.
GONE_MS = 60_000.0

# Time after it has found another member during which a node that has just
# started generates nothing. It reads the tables of others in this time.
JOIN_MS = 500.0

# Time after it has found another member during which it assumes a multiple of
# the members that it knows: if the whole fleet restarts, gossip tells the
# nodes of each other in rounds of 1 s.
YOUNG_MS = 2_000.0
YOUNG_FACTOR = 2

# Time after which a node whose peers never answered assumes to be alone.
ALONE_MS = 60_000.0

# Members declared dead may live beyond a partition. If they are more than
# this part of all, they count for `DEAD_MS`, as long as gossip keeps them.
# Fewer exceed the limits by this part at most.
MAX_FORGOTTEN_RATIO = 0.05
DEAD_MS = 7_200_000.0

_GONE = (upstreams.Status.DEAD, upstreams.Status.LEFT)


class FleetSize:
    """Counts the nodes that may generate tokens.

    Load pattern: members fail, leave and are cut off under load, and nodes
    that have just started know few others. Each must generate at most its
    part of a limit.

    Parameters
    ----------
    node_id : str
        Name of the local node.
    now_ms : float
        Monotonic time of its start.
    """

    def __init__(self, node_id: str, now_ms: float) -> None:
        self._node_id = node_id
        self._started_ms = now_ms
        # Monotonic time at which another member was known first.
        self._joined_ms = math.inf
        self._known: set[str] = {node_id}
        self._gone_ms: dict[str, float] = {}
        self._dead: set[str] = set()
        self._live: set[str] = {node_id}
        # Monotonic time since which the number of nodes is known.
        self.settled_ms = math.inf

    @property
    def live(self) -> frozenset[str]:
        """Members that are alive and not suspected."""
        return frozenset(self._live)

    def observe(self, member: upstreams.Member, now_ms: float) -> None:
        """Record a changed member record."""
        node_id = member.node_id
        self._live.discard(node_id)
        self._dead.discard(node_id)
        if member.status in _GONE:
            if node_id in self._known:
                self._gone_ms.setdefault(node_id, now_ms)
                if member.status is upstreams.Status.DEAD:
                    self._dead.add(node_id)
            return
        self._gone_ms.pop(node_id, None)
        if member.status is upstreams.Status.ALIVE:
            self._live.add(node_id)
        if node_id not in self._known:
            self._known.add(node_id)
            self._joined_ms = min(self._joined_ms, now_ms)

    def nodes(self, has_peers: bool, now_ms: float) -> int:
        """Return the number of nodes; 0 while it is not known.

        Parameters
        ----------
        has_peers : bool
            True if the node knows an address to join through.
        """
        self._forget(now_ms)
        if math.isinf(self.settled_ms):
            due_ms = self._settle_ms(has_peers)
            if now_ms < due_ms:
                return 0
            self.settled_ms = due_ms
        is_young = now_ms < self._joined_ms + YOUNG_MS
        if is_young and len(self._known) > 1:
            return YOUNG_FACTOR * len(self._known)
        return len(self._known)

    def _settle_ms(self, has_peers: bool) -> float:
        """Return the time at which the node begins to generate tokens."""
        if len(self._known) > 1:
            return self._joined_ms + JOIN_MS
        return self._started_ms + (ALONE_MS if has_peers else YOUNG_MS)

    def _forget(self, now_ms: float) -> None:
        if not self._gone_ms:
            return
        keep_dead = len(self._dead) > MAX_FORGOTTEN_RATIO * len(self._known)
        for node_id, gone_ms in list(self._gone_ms.items()):
            is_kept = keep_dead and node_id in self._dead
            if now_ms - gone_ms >= (DEAD_MS if is_kept else GONE_MS):
                self._known.discard(node_id)
                self._dead.discard(node_id)
                del self._gone_ms[node_id]
