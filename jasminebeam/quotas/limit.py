"""Rate limit of one team, and what follows from it for its tokens."""

from __future__ import annotations

import dataclasses

WINDOW_MS = 5_000.0

# Time from a token's leaving of a bucket until it expires. Between regions, a
# grant takes up to 200 ms; with 300 ms, half of such tokens expired unused.
LIFETIME_MS = 400.0

# The rule allows `(5 * rate + burst) * 1.1 + 20` requests in any 5 s. At the
# start of such a time, the buckets hold at most the capacity, and at most the
# generation of `LIFETIME_MS` is collected or granted. With this addition to
# the burst, that makes `5.4 * rate + burst + 10` requests. A tenth of the rate
# and of the burst and 10 requests are left for those that start later than
# they took their tokens.
EXTRA_CAPACITY = 10.0

# Minimum time between two collections from the same member. It is shorter for
# teams with so little burst that the buckets would be full by then.
INTERVAL_MS = 250.0
MIN_INTERVAL_MS = 40.0
INTERVAL_FILL_RATIO = 0.4

# Longest time between two collections from a member without surplus.
MAX_INTERVAL_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Rate limit of one team over all nodes together.

    Parameters
    ----------
    rate_per_s : float
        Requests a second; positive.
    burst : float
        Requests beyond the rate that may arrive at once.
    """

    rate_per_s: float
    burst: float = 0.0

    @property
    def capacity(self) -> float:
        """Maximum number of tokens in the buckets of all nodes.

        Examples
        --------
        >>> Limit(40.0, 40.0).capacity
        50.0
        """
        return self.burst + EXTRA_CAPACITY

    @property
    def fill_ms(self) -> float:
        """Time in which empty buckets are full."""
        return 1_000 * self.capacity / self.rate_per_s

    @property
    def interval_ms(self) -> float:
        """Minimum time between two collections from the same member."""
        part_ms = INTERVAL_FILL_RATIO * self.fill_ms
        return min(INTERVAL_MS, max(MIN_INTERVAL_MS, part_ms))

    @property
    def overload_interval_ms(self) -> float:
        """Value of `interval_ms` while demand exceeds the limit by far.

        The buckets are half full by then, so that nothing is lost.
        """
        half_ms = 0.5 * self.fill_ms
        return min(MAX_INTERVAL_MS, max(self.interval_ms, half_ms))

    def lowers(self, other: Limit) -> bool:
        """Return True if this limit allows less than another one."""
        return (
            self.rate_per_s < other.rate_per_s
            or self.capacity < other.capacity
        )


def most_in_window(limit: Limit) -> float:
    """Return how many requests of a team the rule allows in any 5 s.

    Examples
    --------
    >>> round(most_in_window(Limit(40.0, 20.0)), 6)
    262.0
    """
    in_window = limit.rate_per_s * WINDOW_MS / 1_000 + limit.burst
    return in_window * 1.1 + 20
