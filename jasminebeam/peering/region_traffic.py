"""Counts the bytes that a node exchanges with other regions."""

from __future__ import annotations

import typing

from jasminebeam.model import upstreams

if typing.TYPE_CHECKING:
    import prometheus_client

    from jasminebeam.peering import base
    from jasminebeam.telemetry import metrics

SENT = 'sent'
RECEIVED = 'received'


class RegionTraffic:
    """Counts bytes between regions by type of message.

    A node counts both directions of the connections that it has opened, so
    the sum over all nodes contains each byte once. Bytes to addresses of
    which the region is not known yet are not counted.

    Parameters
    ----------
    own_region : str
        Region of this node.
    counters : Metrics
        Receives the bytes.
    """

    def __init__(self, own_region: str, counters: metrics.Metrics) -> None:
        self._own_region = own_region
        self._counters = counters
        # Region of each peer address outside the own region.
        self._regions: dict[str, str] = {}
        self._children: dict[
            tuple[str, str, type], prometheus_client.Counter
        ] = {}

    def observe(self, member: upstreams.Member) -> None:
        """Record the region of a member; forget one that is gone."""
        is_gone = member.status in (
            upstreams.Status.DEAD,
            upstreams.Status.LEFT,
        )
        if is_gone or member.region == self._own_region:
            self._regions.pop(member.address, None)
        else:
            self._regions[member.address] = member.region

    def count(
        self,
        address: str,
        direction: str,
        message: base.Message,
        size_bytes: int,
    ) -> None:
        """Count a message if the peer is in another region.

        Parameters
        ----------
        address : str
            Address that the connection was opened to.
        direction : str
            `SENT` or `RECEIVED`.
        message : Message
            The message.
        size_bytes : int
            Size of its frame.
        """
        region = self._regions.get(address)
        if region is None:
            return
        key = (region, direction, type(message))
        child = self._children.get(key)
        if child is None:
            child = self._counters.region_bytes.labels(
                region, direction, type(message).__name__
            )
            self._children[key] = child
        child.inc(size_bytes)
