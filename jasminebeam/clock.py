"""Clocks that return the current time."""

from __future__ import annotations

import time


def monotonic_ms() -> float:
    """Return the time of the monotonic clock in milliseconds."""
    return time.monotonic_ns() / 1_000_000


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000
