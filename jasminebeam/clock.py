"""Clocks that return the current time."""

from __future__ import annotations

import time

# Linux only; elsewhere, the monotonic clock is the closest one.
_BOOTTIME = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


def monotonic_ms() -> float:
    """Return the time of the monotonic clock in milliseconds."""
    return time.monotonic_ns() / 1_000_000


def boottime_ms() -> float:
    """Return a monotonic time in ms that includes suspensions of the host."""
    return time.clock_gettime_ns(_BOOTTIME) / 1_000_000


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000
