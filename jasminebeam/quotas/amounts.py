"""Amounts of tokens in messages."""

from __future__ import annotations

import math

# Messages carry whole thousandths of a token.
UNIT = 1_000
MAX_TOKENS = 1_000_000.0
MAX_AMOUNT = round(MAX_TOKENS * UNIT)

_ROUNDING = 1e-6


def from_tokens(tokens: float) -> int:
    """Return the amount for a number of tokens, rounded up.

    Examples
    --------
    >>> from_tokens(0.3), from_tokens(0.0001)
    (300, 1)
    """
    return math.ceil(min(tokens, MAX_TOKENS) * UNIT - _ROUNDING)


def round_down(tokens: float) -> float:
    """Return the largest number of tokens that a message can carry.

    Examples
    --------
    >>> round_down(0.3), round_down(1 / 3)
    (0.3, 0.333)
    """
    return whole(tokens) / UNIT


def whole(tokens: float) -> int:
    """Return the amount for a number of tokens, rounded down."""
    return math.floor(tokens * UNIT + _ROUNDING)
