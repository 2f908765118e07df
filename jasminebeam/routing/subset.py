"""Rendezvous hashing: subsets of upstreams and owners of keys."""

from __future__ import annotations

import heapq
import typing

from jasminebeam import hashing


def rendezvous_weight(key: str, member: str) -> int:
    """Return the 64-bit rendezvous weight of a member for a key."""
    return hashing.hash64(key, member)


def choose(
    node_id: str, members: typing.Iterable[str], size: int
) -> list[str]:
    """Return the members with the highest rendezvous weights.

    The subset bounds the number of connections of one ingress node.
    A change of one member changes at most one element of the subset. The
    subsets of different nodes spread evenly over the members.

    Examples
    --------
    >>> sorted(choose('n1', ['a', 'b'], 3))
    ['a', 'b']
    >>> len(choose('n1', map(str, range(100)), 16))
    16
    """
    return heapq.nlargest(
        size, members, key=lambda member: rendezvous_weight(node_id, member)
    )


def owner(key: str, members: typing.Iterable[str]) -> str | None:
    """Return the member that owns an idempotency key.

    Returns
    -------
    str or None
        None if there are no members.
    """
    return max(
        members,
        key=lambda member: rendezvous_weight(key, member),
        default=None,
    )
