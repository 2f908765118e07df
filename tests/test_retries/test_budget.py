"""Property tests of the budgets."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from jasminebeam.retries import budget


@hypothesis.given(
    strategies.lists(strategies.booleans(), max_size=300),
    strategies.floats(0.0, 1.0),
)
def test_ratio_budget_is_never_overdrawn(steps, ratio):
    """Extra attempts never exceed the burst plus the ratio of requests."""
    tested = budget.RatioBudget(ratio, burst=3.0)
    earned = taken = 0
    for is_request in steps:
        if is_request:
            tested.deposit()
            earned += 1
        elif tested.withdraw():
            taken += 1
        assert taken <= 3.0 + ratio * earned + 1e-6


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 500.0), strategies.floats(0.0, 80.0)
        ),
        max_size=200,
    )
)
def test_rate_budget_is_never_overdrawn(steps):
    """The amount used never exceeds one burst plus the rate over time."""
    tested = budget.RateBudget(per_s=100.0, now_ms=0.0)
    now_ms = taken = 0.0
    for passed_ms, amount in steps:
        now_ms += passed_ms
        if tested.withdraw(amount, now_ms):
            taken += amount
        assert taken <= 100.0 + 100.0 * now_ms / 1_000 + 1e-6
