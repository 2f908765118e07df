"""Sources of the present time."""

from __future__ import annotations

import time


def monotonic_ms() -> float:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic_ns() / 1_000_000


def wall_ms() -> int:
    """Return the wall clock in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000
