"""Asks sidecars for their present load, for operators."""

from __future__ import annotations

import asyncio
import typing

if typing.TYPE_CHECKING:
    from jasminebeam.ingress import peer_provider
    from jasminebeam.model import upstreams
    from jasminebeam.routing import table

TIMEOUT_MS = 1_000.0
POLL_S = 0.02
# Each query uses a connection.
MAX_CONCURRENT = 16


class LoadQuery:
    """Reads the load of given members.

    Parameters
    ----------
    routes : RoutingTable
        Holds the load samples.
    provider : PeerProvider
        Gives access to the sidecars.
    clock : callable
        Returns the monotonic time in ms.
    """

    def __init__(
        self,
        routes: table.RoutingTable,
        provider: peer_provider.PeerProvider,
        clock: typing.Callable[[], float],
    ) -> None:
        self._routes = routes
        self._peer_provider = provider
        self._clock = clock

    async def read(
        self, members: typing.Sequence[upstreams.Member]
    ) -> dict[str, int | None]:
        """Return the number of running requests by node.

        It is None for a sidecar that has not answered within a second. The
        members must have a service.
        """
        running: dict[str, int | None] = {}
        for start in range(0, len(members), MAX_CONCURRENT):
            batch = members[start : start + MAX_CONCURRENT]
            found = await asyncio.gather(*map(self._read, batch))
            running.update(zip((m.node_id for m in batch), found, strict=True))
        return running

    async def _read(self, member: upstreams.Member) -> int | None:
        state = self._routes.get_or_create_state(member.node_id)
        peer = self._peer_provider.peer(member.node_id, member.address)
        peer.connect()
        started_ms = self._clock()
        sent = False
        while self._clock() - started_ms < TIMEOUT_MS:
            sent = sent or bool(peer.probe())
            if state.sample is not None and state.sample_ms > started_ms:
                return state.sample.in_flight
            await asyncio.sleep(POLL_S)
        return None
