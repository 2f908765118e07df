"""Attempts of one request at an ingress node."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import asyncio

    from jasminebeam.ingress import admission_client
    from jasminebeam.model import requests
    from jasminebeam.model import services
    from jasminebeam.peering import attempts
    from jasminebeam.peering import peers
    from jasminebeam.retries import quantile
    from jasminebeam.retries import service_budgets
    from jasminebeam.routing import table
    from jasminebeam import verdict


@dataclasses.dataclass(slots=True, eq=False)
class PendingAttempt:
    """An attempt that has no result yet."""

    token: int
    state: table.UpstreamState
    peer: peers.Peer
    attempt: attempts.Attempt
    hedge: bool
    sent_ms: float


@dataclasses.dataclass(slots=True, eq=False)
class RequestProgress:
    """What the dispatcher knows of a request that has no verdict yet."""

    call: requests.Call
    service: services.Service
    budgets: service_budgets.ServiceBudgets
    latency: quantile.QuantileEstimate
    started_ms: float
    attempts: int = 0
    reached_upstreams: int = 0
    accepts_queueing: bool = False
    tried_nodes: set[str] = dataclasses.field(default_factory=set)
    pending_attempts: dict[asyncio.Future[verdict.Verdict], PendingAttempt] = (
        dataclasses.field(default_factory=dict)
    )
    hedge_handled: bool = False
    possibly_run: verdict.Verdict | None = None
    # Replies to the admission queries of the latest attempt.
    survey: admission_client.Survey | None = None
