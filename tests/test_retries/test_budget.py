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
    """Extra attempts must not exceed the burst plus the ratio of requests."""
    tested = budget.RatioBudget(ratio, burst=3.0)
    deposits = withdrawals = 0
    for is_request in steps:
        if is_request:
            tested.deposit()
            deposits += 1
        elif tested.withdraw():
            withdrawals += 1
        assert withdrawals <= 3.0 + ratio * deposits + 1e-6


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 500.0), strategies.floats(0.0, 80.0)
        ),
        max_size=200,
    )
)
def test_rate_budget_is_never_overdrawn(steps):
    """Withdrawals must not exceed one burst plus the rate over time."""
    tested = budget.RateBudget(per_s=100.0, now_ms=0.0)
    now_ms = withdrawn = 0.0
    for passed_ms, amount in steps:
        now_ms += passed_ms
        if tested.withdraw(amount, now_ms):
            withdrawn += amount
        assert withdrawn <= 100.0 + 100.0 * now_ms / 1_000 + 1e-6
