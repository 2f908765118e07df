"""Counts of the tokens that a node has passed on or lost."""

from __future__ import annotations


class TokenTotals:
    """Amounts since the last `take`, by kind.

    Kinds: ``granted`` to nodes as a coordinator, ``given`` to coordinators,
    ``expired`` unused.
    """

    def __init__(self) -> None:
        self._amounts: dict[str, float] = {}

    def add(self, kind: str, amount: float) -> None:
        """Count an amount."""
        if amount > 0:
            self._amounts[kind] = self._amounts.get(kind, 0.0) + amount

    def take(self) -> dict[str, float]:
        """Return the amounts and start again."""
        amounts, self._amounts = self._amounts, {}
        return amounts
