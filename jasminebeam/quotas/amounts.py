"""Amounts of tokens in messages."""

from __future__ import annotations

import math
import typing

from jasminebeam.peering import token_messages

if typing.TYPE_CHECKING:
    from jasminebeam.quotas import pool

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
    return math.floor(tokens * UNIT + _ROUNDING) / UNIT


def grant_parts(
    team: str, grant: pool.Grant, now_ms: float
) -> list[token_messages.TokenGrantPart]:
    """Return the parts of a grant; one without tokens if there are none."""
    wait_ms = math.ceil(grant.wait_ms)
    parts = [
        token_messages.TokenGrantPart(
            team,
            math.floor(lot.amount * UNIT + _ROUNDING),
            math.floor(lot.expires_ms - now_ms),
            wait_ms,
        )
        for lot in grant.lots
    ]
    return parts or [token_messages.TokenGrantPart(team, 0, 0, wait_ms)]
