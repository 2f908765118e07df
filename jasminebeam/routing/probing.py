"""Plans probes that refresh load samples within the configured budget."""

from __future__ import annotations

import asyncio
import typing

from jasminebeam.retries import budget

if typing.TYPE_CHECKING:
    from jasminebeam.model import services
    from jasminebeam.routing import table

# A probe refreshes a load sample that is older than this.
MAX_SAMPLE_AGE_MS = 250.0
# A service is probed for this time after its latest request.
RECENT_REQUEST_MS = 2_000.0

# Size of a probe and its reply on the wire, with TCP and ZeroMQ framing.
PROBE_WIRE_BYTES = 150.0


# Number of probes for which an unused share of the request bytes may
# accumulate.
MAX_ACCUMULATED_PROBES = 4


class _ProbeBudgets:
    def __init__(self, service: services.Service, now_ms: float) -> None:
        self.limits = _limits(service)
        self.count = budget.RateBudget(service.probes_per_s, now_ms)
        self.size = budget.RateBudget(service.probe_bytes_per_s, now_ms)
        self.share = budget.ShareBudget(
            service.probe_share, MAX_ACCUMULATED_PROBES * PROBE_WIRE_BYTES
        )

    def withdraw(self, now_ms: float) -> bool:
        """Withdraw one probe from all budgets.

        Return False and withdraw nothing if one of them is exhausted.
        """
        size_bytes = PROBE_WIRE_BYTES
        if self.share.available < size_bytes:
            return False
        if self.size.available(now_ms) < size_bytes:
            return False
        if not self.count.withdraw(1.0, now_ms):
            return False
        self.size.withdraw(size_bytes, now_ms)
        self.share.withdraw(size_bytes)
        return True


def _limits(service: services.Service) -> tuple[float, float, float]:
    return (
        service.probes_per_s,
        service.probe_bytes_per_s,
        service.probe_share,
    )


class ProbePlanner:
    """Chooses the upstreams whose load samples are too old.

    Services that this node has not called recently are not probed, so they
    cause no probe traffic.
    """

    def __init__(self) -> None:
        self._budgets: dict[str, _ProbeBudgets] = {}
        self._requested_ms: dict[str, float] = {}
        self._requested = asyncio.Event()

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
        self._requested_ms[service.name] = now_ms
        self._budgets_of(service, now_ms).share.deposit(size_bytes)
        self._requested.set()

    async def wait_for_request(self) -> None:
        """Return once a request has been recorded since the last call."""
        await self._requested.wait()
        self._requested.clear()

    def services_in_use(self, now_ms: float) -> list[str]:
        """Return the services that this node has called recently."""
        return [
            name
            for name, requested_ms in self._requested_ms.items()
            if now_ms - requested_ms < RECENT_REQUEST_MS
        ]

    def plan(
        self,
        service: services.Service,
        states: typing.Sequence[table.UpstreamState],
        now_ms: float,
    ) -> list[table.UpstreamState]:
        """Return the upstreams to probe now, the oldest sample first.

        The planner withdraws one probe for each of them from the budgets of
        the service.
        """
        budgets = self._budgets_of(service, now_ms)
        stale = [
            state
            for state in states
            if now_ms - state.sample_ms > MAX_SAMPLE_AGE_MS
        ]
        stale.sort(key=lambda state: state.sample_ms)
        planned = []
        for state in stale:
            if not budgets.withdraw(now_ms):
                break
            planned.append(state)
        return planned

    def _budgets_of(
        self, service: services.Service, now_ms: float
    ) -> _ProbeBudgets:
        budgets = self._budgets.get(service.name)
        if budgets is None or budgets.limits != _limits(service):
            budgets = _ProbeBudgets(service, now_ms)
            self._budgets[service.name] = budgets
        return budgets
