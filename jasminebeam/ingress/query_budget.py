"""Bounds the admission queries to sidecars of other failure domains.

Load pattern: overload, in which nearly all sidecars refuse or let requests
wait. If each request queried all of them, the queries would cost more bytes
than the requests, and many requests would choose the same few sidecars.
"""

from __future__ import annotations

# Queries that each request adds to the budget.
QUERIES_PER_REQUEST = 2.0

# Maximum number of unused queries, so that a request may query all sidecars
# of a subset while only some hosts are slow.
MAX_SAVED_QUERIES = 30.0


class QueryBudget:
    """Budget of the queries that one node sends to other failure domains.

    Examples
    --------
    >>> budget = QueryBudget()
    >>> budget.allowance(minimum=3)
    30
    >>> budget.spend(28)
    >>> budget.allowance(minimum=3)
    3
    >>> budget.deposit()
    >>> budget.allowance(minimum=3)
    4
    """

    def __init__(self) -> None:
        self._available = MAX_SAVED_QUERIES

    def deposit(self) -> None:
        """Add the queries of one request."""
        self._available = min(
            MAX_SAVED_QUERIES, self._available + QUERIES_PER_REQUEST
        )

    def allowance(self, minimum: int) -> int:
        """Return how many sidecars a request may query.

        Parameters
        ----------
        minimum : int
            Number of sidecars that each request may query in any case.
        """
        return max(minimum, int(self._available))

    def spend(self, queries: int) -> None:
        """Remove queries that were sent, even beyond the budget."""
        self._available = max(0.0, self._available - queries)
