"""Limits of the sidecar's queue and state."""

from __future__ import annotations

import dataclasses
import typing

from jasminebeam.admission import rate_limit
from jasminebeam.retries import registry
from jasminebeam.upstreams import suspension

if typing.TYPE_CHECKING:
    from jasminebeam.admission import byte_budget
    from jasminebeam import settings

# Share of the node's budget that answers kept for repeated questions may use.
KEPT_RATIO = 1 / 8


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the sidecar.

    Parameters
    ----------
    queue_ratio : float
        Maximum queue length as a multiple of the upstream's slots.
    usable_ratio : float
        Share of the upstream's slots that the sidecar fills.
    key_window_ms : float
        Time for which the answers to requests with an idempotency key
        are kept.
    max_keys : int
        Maximum number of idempotency keys kept.
    registry : jasminebeam.retries.registry.Limits
        Limits of the request registry.
    rate_limit : jasminebeam.admission.rate_limit.Options
        Options of the rate limit that the upstream names.
    suspension : jasminebeam.upstreams.suspension.Options
        Options of suspensions for unusable responses.
    """

    queue_ratio: float = 4.0
    usable_ratio: float = 1.0
    key_window_ms: float = 120_000.0
    max_keys: int = 20_000
    registry: registry.Limits = dataclasses.field(
        default_factory=registry.Limits
    )
    rate_limit: rate_limit.Options = rate_limit.DEFAULT_OPTIONS
    suspension: suspension.Options = suspension.DEFAULT_OPTIONS


def create(
    section: settings.UpstreamSection, budget: byte_budget.ByteBudget
) -> Limits:
    """Return the limits of a node's sidecar.

    Parameters
    ----------
    section : UpstreamSection
        Settings of the upstream.
    budget : ByteBudget
        Budget of the node, in which large kept answers count.
    """
    kept_bytes = min(
        registry.Limits().answer_bytes,
        int(KEPT_RATIO * budget.limits.total_bytes),
    )
    return Limits(
        queue_ratio=section.queue_ratio,
        usable_ratio=section.usable_ratio,
        registry=registry.Limits(answer_bytes=kept_bytes),
        rate_limit=rate_limit.Options(
            section.limit_burst_ms, section.limit_hold_ms
        ),
    )
