"""Budgets for the additional attempts of each service at one node."""

from __future__ import annotations

import dataclasses
import typing

from jasminebeam.retries import budget

if typing.TYPE_CHECKING:
    from jasminebeam.model import services

# Each node may accumulate one retry and one hedge for each service. The sum
# over a fleet of 14 nodes, counted twice because all nodes may restart, stays
# below the 64 extra attempts that are allowed beyond the ratio.
RETRY_BURST = 1.0
HEDGE_BURST = 1.0
REROUTE_RATIO = 1.0
REROUTE_BURST = 40.0


@dataclasses.dataclass(slots=True)
class ServiceBudgets:
    """Budgets of one service.

    Parameters
    ----------
    retries, hedges, reroutes : RatioBudget
        Attempts after a failure, beside an attempt in progress, and after a
        refusal.
    options : tuple of float
        Values of the service from which the budgets were created.
    """

    retries: budget.RatioBudget
    hedges: budget.RatioBudget
    reroutes: budget.RatioBudget
    options: tuple[float, float, float]

    def deposit(self) -> None:
        """Add what one request allows."""
        self.retries.deposit()
        self.hedges.deposit()
        self.reroutes.deposit()


class BudgetTable:
    """Budgets of all services that this node calls."""

    def __init__(self) -> None:
        self._budgets: dict[str, ServiceBudgets] = {}

    def of(self, service: services.Service) -> ServiceBudgets:
        """Return the budgets of a service; new ones if it has changed."""
        options = (
            service.retry_ratio,
            service.hedge_ratio,
            service.hedge_quantile,
        )
        budgets = self._budgets.get(service.name)
        if budgets is None or budgets.options != options:
            budgets = ServiceBudgets(
                _budget(service.retry_ratio, RETRY_BURST),
                _budget(service.hedge_ratio, HEDGE_BURST),
                budget.RatioBudget(REROUTE_RATIO, REROUTE_BURST),
                options,
            )
            self._budgets[service.name] = budgets
        return budgets


def _budget(ratio: float, burst: float) -> budget.RatioBudget:
    """Return a budget; a ratio of 0 allows no attempt and no burst."""
    return budget.RatioBudget(ratio, burst if ratio else 0.0)
