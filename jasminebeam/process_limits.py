"""Limits of a node from its settings and from the operating system."""

from __future__ import annotations

import resource
import typing

from jasminebeam.admission import byte_budget
from jasminebeam import budget_sweeper

if typing.TYPE_CHECKING:
    from jasminebeam import settings


def create_sweeper(
    section: settings.NodeSection, clock: typing.Callable[[], float]
) -> budget_sweeper.BudgetSweeper:
    """Return the budget of a node; the system may allow fewer descriptors."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = min(section.max_descriptors or allowed, allowed)
    limits = byte_budget.limits_of(section.memory_mb, descriptors)
    return budget_sweeper.BudgetSweeper(byte_budget.ByteBudget(limits), clock)
