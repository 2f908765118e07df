"""Probes that refresh load samples within the operators' budget."""

from __future__ import annotations

import asyncio
import typing

from jasminebeam.retries import budget

if typing.TYPE_CHECKING:
    from jasminebeam.model import services
    from jasminebeam.routing import table

PROBE_AFTER_MS = 250.0
RECENT_USE_MS = 2_000.0

# A probe and its reply on the wire, with their TCP and ZeroMQ framing.
PROBE_WIRE_BYTES = 150.0


# Share of the traffic's bytes that can be saved up for later probes.
SAVED_PROBES = 4


class _Budgets:
    def __init__(self, service: services.Service, now_ms: float) -> None:
        self.limits = _limits(service)
        self.count = budget.RateBudget(service.probes_per_s, now_ms)
        self.size = budget.RateBudget(service.probe_bytes_per_s, now_ms)
        self.share = budget.ShareBudget(
            service.probe_share, SAVED_PROBES * PROBE_WIRE_BYTES
        )

    def take(self, now_ms: float) -> bool:
        """Take one probe from all budgets, or from none."""
        size_bytes = PROBE_WIRE_BYTES
        if self.share.available < size_bytes:
            return False
        if self.size.available(now_ms) < size_bytes:
            return False
        if not self.count.take(1.0, now_ms):
            return False
        self.size.take(size_bytes, now_ms)
        self.share.take(size_bytes)
        return True


def _limits(service: services.Service) -> tuple[float, float, float]:
    return (
        service.probes_per_s,
        service.probe_bytes_per_s,
        service.probe_share,
    )


class ProbePlanner:
    """Chooses the upstreams whose samples are too old.

    Services that this node has not called lately cost nothing.
    """

    def __init__(self) -> None:
        self._budgets: dict[str, _Budgets] = {}
        self._used_ms: dict[str, float] = {}
        self._used = asyncio.Event()

    def on_request(
        self, service: services.Service, size_bytes: int, now_ms: float
    ) -> None:
        """Record a request of a service.

        Parameters
        ----------
        service : Service
            Service that is called.
        size_bytes : int
            Bytes of the request and its answer.
        now_ms : float
            Monotonic time.
        """
        self._used_ms[service.name] = now_ms
        self._budgets_of(service, now_ms).share.earn(size_bytes)
        self._used.set()

    async def wait_for_request(self) -> None:
        """Return when a service has been used since the last call."""
        await self._used.wait()
        self._used.clear()

    def services_in_use(self, now_ms: float) -> list[str]:
        """Return the services that were called lately."""
        return [
            name
            for name, used_ms in self._used_ms.items()
            if now_ms - used_ms < RECENT_USE_MS
        ]

    def plan(
        self,
        service: services.Service,
        states: typing.Sequence[table.UpstreamState],
        now_ms: float,
    ) -> list[table.UpstreamState]:
        """Return the upstreams to probe now, oldest sample first.

        The budget of the service is taken for each of them.
        """
        budgets = self._budgets_of(service, now_ms)
        old = [
            state
            for state in states
            if now_ms - state.sample_ms > PROBE_AFTER_MS
        ]
        old.sort(key=lambda state: state.sample_ms)
        planned = []
        for state in old:
            if not budgets.take(now_ms):
                break
            planned.append(state)
        return planned

    def _budgets_of(
        self, service: services.Service, now_ms: float
    ) -> _Budgets:
        known = self._budgets.get(service.name)
        if known is None or known.limits != _limits(service):
            known = _Budgets(service, now_ms)
            self._budgets[service.name] = known
        return known
