"""Pool of the sidecars to which an ingress node sends requests."""

from __future__ import annotations

import asyncio
import contextlib
import typing

from jasminebeam import budget_sweeper
from jasminebeam.peering import cold_messages
from jasminebeam.peering import links
from jasminebeam.peering import messages
from jasminebeam.peering import peers

if typing.TYPE_CHECKING:
    from jasminebeam.peering import region_traffic
    from jasminebeam.routing import table
    from jasminebeam.sidecar import sidecar
    from jasminebeam.telemetry import events
    from jasminebeam.telemetry import metrics

IDLE_PING_MS = 5_000.0
IDLE_CLOSE_MS = 120_000.0


class LinkFactory:
    """Opens connections to peers.

    Parameters
    ----------
    transport : Transport
        Opens the connections.
    hello : Hello
        First message of a session; identifies this node.
    traffic : RegionTraffic or None
        Counts the bytes between regions; None to count nothing.
    """

    def __init__(
        self,
        transport: links.Transport,
        hello: messages.Hello,
        traffic: region_traffic.RegionTraffic | None = None,
    ) -> None:
        self._transport = transport
        self._traffic = traffic
        self.hello = hello

    def open_data(
        self,
        address: str,
        on_message: typing.Callable[..., None],
        on_lost: typing.Callable[..., None],
    ) -> links.Link:
        """Return a connection for requests, with a session."""
        return links.Link(
            self._transport,
            address,
            self.hello,
            on_message,
            on_lost,
            self._traffic,
        )

    def open_control(
        self,
        address: str,
        on_message: typing.Callable[..., None],
        on_lost: typing.Callable[..., None],
    ) -> links.Link:
        """Return a connection for control messages."""
        return links.Link(
            self._transport, address, None, on_message, on_lost, self._traffic
        )


class PeerPool:
    """Opens, checks and closes the sidecar clients of an ingress node.

    Parameters
    ----------
    node_id : str
        Name of this node, whose sidecar needs no connection.
    factory : LinkFactory
        Opens connections.
    local_sidecar : Sidecar
        The sidecar of this process.
    routes : RoutingTable
        Receives load samples and round-trip times.
    clock : callable
        Returns the monotonic time in ms.
    log, counters
        Record connection losses and revocations.
    sweeper : BudgetSweeper or None
        Room of large answers; None for a budget of its own.
    """

    def __init__(
        self,
        node_id: str,
        factory: LinkFactory,
        local_sidecar: sidecar.Sidecar,
        routes: table.RoutingTable,
        clock: typing.Callable[[], float],
        log: events.EventLog,
        counters: metrics.Metrics,
        sweeper: budget_sweeper.BudgetSweeper | None = None,
    ) -> None:
        self._sweeper = sweeper or budget_sweeper.create_default(clock)
        self._node_id = node_id
        self._factory = factory
        self._local_sidecar = local_sidecar
        self._routes = routes
        self._clock = clock
        self._log = log
        self._counters = counters
        self._peers: dict[tuple[str, str], peers.Peer] = {}
        self._last_ping_ms = 0.0
        self._requested = asyncio.Event()

    def peer(self, node_id: str, address: str) -> peers.Peer:
        """Return the client of a node's sidecar; create it on first use."""
        self._requested.set()
        identity = (node_id, address)
        peer = self._peers.get(identity)
        if peer is None:
            peer = self._open(node_id, address)
            self._peers[identity] = peer
        return peer

    async def wait_until_busy(self, timeout_s: float) -> None:
        """Wait until a peer is requested or busy, or until a timeout."""
        if any(peer.busy for peer in self._peers.values()):
            return
        self._requested.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._requested.wait()

    def tick(self, now_ms: float) -> None:
        """Check the connections and close those that were idle too long."""
        ping = now_ms - self._last_ping_ms >= IDLE_PING_MS
        if ping:
            self._last_ping_ms = now_ms
        for identity, peer in list(self._peers.items()):
            if not peer.busy and now_ms - peer.last_used_ms > IDLE_CLOSE_MS:
                peer.close()
                del self._peers[identity]
            else:
                peer.tick(now_ms, ping)

    def close(self) -> None:
        """Close all connections."""
        for peer in self._peers.values():
            peer.close()
        self._peers.clear()

    def _open(self, node_id: str, address: str) -> peers.Peer:
        def open_remote(
            on_message: typing.Callable[..., None],
            on_lost: typing.Callable[..., None],
        ) -> links.Link:
            return self._factory.open_data(address, on_message, on_lost)

        def open_local(
            on_message: typing.Callable[..., None],
            on_lost: typing.Callable[..., None],
        ) -> links.LocalLink:
            return links.LocalLink(
                self._local_sidecar, self._factory.hello, on_message
            )

        is_local = node_id == self._node_id
        return peers.Peer(
            open_local if is_local else open_remote,
            _StateObserver(node_id, self._routes),
            self._clock,
            self._log,
            self._counters,
            self._sweeper,
        )


class _StateObserver:
    """Passes load samples and round-trip times to the routing table."""

    def __init__(self, node_id: str, routes: table.RoutingTable) -> None:
        self._node_id = node_id
        self._routes = routes

    def on_sample(self, sample: typing.Any, now_ms: float) -> None:
        """Record a load sample."""
        state = self._routes.state(self._node_id)
        if state is not None:
            state.on_sample(sample, now_ms)

    def on_notice(
        self, notice: messages.UpstreamNotice, boot_id: int, now_ms: float
    ) -> None:
        """Record what the upstream states about itself."""
        self._routes.notices.record(self._node_id, notice, boot_id, now_ms)
        state = self._routes.state(self._node_id)
        if state is not None:
            state.on_notice(notice, now_ms)

    def on_no_notice(self, boot_id: int) -> None:
        """Record that a process of the sidecar has no notice."""
        self._routes.notices.forget(self._node_id, boot_id)
        state = self._routes.state(self._node_id)
        if state is not None:
            state.clear_notice()

    def on_cold(self, notice: cold_messages.ColdNotice, now_ms: float) -> None:
        """Record that the upstream is cold, or may be."""
        state = self._routes.state(self._node_id)
        if state is not None:
            state.on_cold(notice, now_ms)

    def on_warm(self) -> None:
        """Record that the upstream is no longer cold."""
        state = self._routes.state(self._node_id)
        if state is not None:
            state.clear_cold()

    def notice_for(
        self, boot_id: int, now_ms: float
    ) -> messages.UpstreamNotice | None:
        """Return what a restarted sidecar must know; None if nothing."""
        return self._routes.notices.for_restarted(
            self._node_id, boot_id, now_ms
        )

    def on_round_trip(self, round_trip_ms: float) -> None:
        """Record the time between a ping and its answer."""
        state = self._routes.state(self._node_id)
        if state is not None:
            state.on_round_trip(round_trip_ms)
