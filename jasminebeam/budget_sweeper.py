"""Checks the budget of bodies while some of them are incomplete."""

from __future__ import annotations

import asyncio
import typing

from jasminebeam.admission import byte_budget

# Interval of the checks for bodies that are late or make no progress.
SWEEP_INTERVAL_S = 0.25


class BudgetSweeper:
    """Checks the incomplete bodies of a budget while there are any.

    Parameters
    ----------
    budget : ByteBudget
        Room of all bodies.
    clock : callable
        Returns the monotonic time in ms.
    """

    def __init__(
        self,
        budget: byte_budget.ByteBudget,
        clock: typing.Callable[[], float],
    ) -> None:
        self.budget = budget
        self.clock = clock
        # Called while claims wait for room.
        self.on_short: typing.Callable[[], None] = lambda: None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Check from now on until no body is incomplete."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                SWEEP_INTERVAL_S, self._sweep
            )

    def release_later(
        self, loop: asyncio.AbstractEventLoop, claim: byte_budget.Claim
    ) -> None:
        """Return the room of a freed body in the next turn of the loop.

        The garbage collector may free a body in the midst of a decision.
        """
        if not loop.is_closed():
            loop.call_soon(self._release, claim)

    def _release(self, claim: byte_budget.Claim) -> None:
        self.budget.release(claim, self.clock())

    def _sweep(self) -> None:
        self._timer = None
        self.budget.sweep(self.clock())
        if self.budget.has_waiting:
            self.on_short()
        if self.budget.has_incomplete:
            self.start()


def create_default(
    clock: typing.Callable[[], float],
) -> BudgetSweeper:
    """Return the sweeper of a node whose settings name no limits."""
    budget = byte_budget.ByteBudget(byte_budget.limits_of(0, 0))
    return BudgetSweeper(budget, clock)
