"""Interface through which the ingress role reaches sidecars."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from jasminebeam.peering import peers


class PeerProvider(typing.Protocol):
    """Gives access to the sidecars."""

    def peer(self, node_id: str, address: str) -> peers.Peer:
        """Return the peer for the sidecar of a node."""
