"""Task that sends the planned load probes."""

from __future__ import annotations

import asyncio
import typing

from jasminebeam.routing import probing

if typing.TYPE_CHECKING:
    from jasminebeam.configuration import directory
    from jasminebeam.model import services
    from jasminebeam.peering import pool as pool_module
    from jasminebeam.routing import table
    from jasminebeam.telemetry import metrics

PROBE_TICK_S = 0.1


class LoadProber:
    """Probes the sidecars of the services in use.

    Parameters
    ----------
    probes : ProbePlanner
        Chooses the upstreams to probe.
    service_directory : ServiceDirectory
        Services in force.
    routes : RoutingTable
        Upstreams of each service.
    pool : PeerPool
        Connections to the sidecars.
    clock : callable
        Returns the monotonic time in ms.
    counters : Metrics
        Counts probes and their bytes.
    """

    def __init__(
        self,
        probes: probing.ProbePlanner,
        service_directory: directory.ServiceDirectory,
        routes: table.RoutingTable,
        pool: pool_module.PeerPool,
        clock: typing.Callable[[], float],
        counters: metrics.Metrics,
    ) -> None:
        self._probes = probes
        self._services = service_directory
        self._routes = routes
        self._pool = pool
        self._clock = clock
        self._counters = counters

    async def run(self) -> None:
        """Send probes while services are in use."""
        while True:
            await self._probes.wait_for_request()
            now_ms = self._clock()
            for name in self._probes.services_in_use(now_ms):
                service = self._services.service(name)
                if service is not None:
                    self._probe(service, now_ms)
            await asyncio.sleep(PROBE_TICK_S)

    def _probe(self, service: services.Service, now_ms: float) -> None:
        states = self._routes.subset_of(service.name, service.subset_size)
        for state in self._probes.plan(service, states, now_ms):
            member = state.member
            peer = self._pool.peer(member.node_id, member.address)
            peer.connect()
            sent = peer.probe()
            result = 'sent' if sent else 'not_connected'
            self._counters.probes.labels(service.name, result).inc()
            if sent:
                self._counters.probe_bytes.labels(service.name).inc(
                    probing.PROBE_WIRE_BYTES
                )
