"""Delay after which a caller may retry a request that did not run."""

from __future__ import annotations

# Shortest delay: a retry needs at least one round trip between the caller
# and its node.
MIN_RETRY_AFTER_MS = 20.0

# Largest share of a caller's remaining time that the delay may take. Callers
# accept a delay of up to a third of their remaining time. The rest is left
# for the request itself.
MAX_TIME_LEFT_RATIO = 0.3

# Delay for the callers of a node that has no configuration yet. A node
# receives its configuration within one second of its start.
NO_CONFIGURATION_RETRY_AFTER_MS = 300.0


def retry_after_ms(
    left_ms: float, jitter: float, earliest_ms: float = 0.0
) -> float:
    """Return the delay before a retry, with jitter.

    The jitter keeps callers from retrying at the same moment.

    Load pattern: a burst exceeds the capacity and the queues of the
    upstreams, which could serve the same callers a little later.

    Parameters
    ----------
    left_ms : float
        Time until the caller's deadline.
    jitter : float
        Random number in [0, 1).
    earliest_ms : float
        Time until an upstream has room again. A retry before that is refused
        again; the delay nevertheless stays within what callers accept.

    Examples
    --------
    >>> retry_after_ms(1_000.0, 0.5)
    160.0
    >>> retry_after_ms(1_000.0, 0.5, 200.0)
    250.0
    """
    longest_ms = max(MIN_RETRY_AFTER_MS, MAX_TIME_LEFT_RATIO * left_ms)
    shortest_ms = min(max(MIN_RETRY_AFTER_MS, earliest_ms), longest_ms)
    return shortest_ms + jitter * (longest_ms - shortest_ms)
