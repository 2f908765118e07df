"""When a caller whose request did not run should come back."""

from __future__ import annotations

# Callers come back at the earliest after a round trip to their node.
MIN_RETRY_AFTER_MS = 20.0

# Callers follow a time of up to a third of what they have left; the rest
# is kept for the request itself.
LARGEST_SHARE = 0.3

# A node that has just started learns its configuration within a second.
NO_CONFIGURATION_RETRY_AFTER_MS = 300.0


def retry_after_ms(left_ms: float, jitter: float) -> float:
    """Return when to come back, spread so that callers don't do so in step.

    Load pattern: a burst that the upstreams can't hold at once, while the
    same callers could be served a little later.

    Parameters
    ----------
    left_ms : float
        Time until the caller's deadline.
    jitter : float
        Random number in [0, 1).

    Examples
    --------
    >>> retry_after_ms(1_000.0, 0.5)
    160.0
    """
    longest_ms = max(MIN_RETRY_AFTER_MS, LARGEST_SHARE * left_ms)
    return MIN_RETRY_AFTER_MS + jitter * (longest_ms - MIN_RETRY_AFTER_MS)
