"""Latency estimates of routes, which decide when a request is hedged."""

from __future__ import annotations

import math
import typing

from jasminebeam.retries import quantile

if typing.TYPE_CHECKING:
    from jasminebeam.model import requests
    from jasminebeam.model import services

# Initial latency estimate of a route. An idempotent request that takes longer
# than the estimate is hedged.
INITIAL_HEDGE_DELAY_MS = 50.0
# The initial estimate of a route with an objective is at least this share of
# the time until the objective. A node that has just started must not treat
# requests of normal latency as slow.
INITIAL_HEDGE_OBJECTIVE_RATIO = 0.5
# Routes with a latency estimate. New configurations add routes, so the
# number must be bounded.
MAX_LATENCY_ESTIMATES = 4_096


class LatencyEstimates:
    """Latency quantiles by service and route."""

    def __init__(self) -> None:
        self._estimates: dict[tuple[str, str], quantile.QuantileEstimate] = {}

    def of(
        self,
        call: requests.Call,
        service: services.Service,
        now_ms: float,
    ) -> quantile.QuantileEstimate:
        """Return the estimate for the route of a call.

        Parameters
        ----------
        call : Call
            The request.
        service : Service
            Service that it is for.
        now_ms : float
            Monotonic time.
        """
        service_route = (service.name, call.route)
        estimate = self._estimates.get(service_route)
        if estimate is None:
            initial_ms = INITIAL_HEDGE_DELAY_MS
            if call.objective_ms < math.inf:
                left_ms = call.objective_ms - now_ms
                initial_ms = max(
                    initial_ms, INITIAL_HEDGE_OBJECTIVE_RATIO * left_ms
                )
            estimate = quantile.QuantileEstimate(
                service.hedge_quantile, initial_ms
            )
            if len(self._estimates) >= MAX_LATENCY_ESTIMATES:
                self._estimates.clear()
            self._estimates[service_route] = estimate
        return estimate
