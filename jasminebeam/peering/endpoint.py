"""Sockets of a node towards its peers."""

from __future__ import annotations

import typing

import zmq

from jasminebeam.peering import pool
from jasminebeam.peering import region_traffic
from jasminebeam.peering import server
from jasminebeam.peering import sockets
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.peering import messages
    from jasminebeam.peering import security
    from jasminebeam import settings
    from jasminebeam.telemetry import metrics


class PeerEndpoint:
    """Listens for peers and opens connections to them.

    Parameters
    ----------
    node_section : NodeSection
        Region of the node, and the address on which it listens and from
        which it connects.
    peering : PeeringSection
        Port and keys.
    hello : Hello
        First message of each connection.
    log, counters
        Record refused frames and keys, and answers that are given up.
    clock : callable
        Returns the monotonic time in ms.
    """

    def __init__(
        self,
        node_section: settings.NodeSection,
        peering: settings.PeeringSection,
        hello: messages.Hello,
        log: events.EventLog,
        counters: metrics.Metrics,
        clock: typing.Callable[[], float],
    ) -> None:
        host = node_section.host
        self._log = log
        self._context = zmq.Context()
        self._authenticator: security.Authenticator | None = None
        keys = self._authenticate(peering) if peering.secret_key else None
        self.server = server.PeerServer(
            self._context,
            f'{host}:{peering.port}',
            peering.secret_key,
            log,
            counters,
            clock,
        )
        transport = sockets.ZmqTransport(self._context, host, keys)
        self.traffic = region_traffic.RegionTraffic(
            node_section.region, counters
        )
        self.links = pool.LinkFactory(transport, hello, self.traffic)

    def close(self) -> None:
        """Close the sockets; connections must be closed before."""
        self.server.close()
        if self._authenticator is not None:
            self._authenticator.stop()

    def destroy(self) -> None:
        """Release the threads of the library."""
        self._context.destroy(linger=0)

    def _authenticate(
        self, peering: settings.PeeringSection
    ) -> security.ClientKeys:
        # Local import: nodes without keys do not need this module.
        from jasminebeam.peering import security

        self._authenticator = security.Authenticator(
            self._context,
            frozenset(peering.allowed_keys.split()),
            self._on_key_refused,
        )
        self._authenticator.start()
        return security.ClientKeys(
            peering.public_key, peering.secret_key, peering.server_key
        )

    def _on_key_refused(self, public_key: str) -> None:
        self._log.write(events.Event.PEER_UNAUTHORIZED, public_key=public_key)
