"""Limits of a node from its settings and from the operating system."""

from __future__ import annotations

import resource
import typing

from jasminebeam.admission import byte_budget

if typing.TYPE_CHECKING:
    from jasminebeam import settings


def byte_budget_of(section: settings.NodeSection) -> byte_budget.ByteBudget:
    """Return the budget of a node; the system may allow fewer descriptors."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = min(section.max_descriptors or allowed, allowed)
    return byte_budget.ByteBudget(
        byte_budget.limits_of(section.memory_mb, descriptors)
    )
