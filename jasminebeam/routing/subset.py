"""Subsets that bound the connections of one ingress node."""

from __future__ import annotations

import heapq
import typing

from jasminebeam import hashing


def rendezvous_weight(chooser: str, member: str) -> int:
    """Return the 64-bit rendezvous weight of a member for a chooser."""
    return hashing.hash64(chooser, member)


def choose(
    chooser: str, members: typing.Iterable[str], size: int
) -> list[str]:
    """Return the members with the highest rendezvous weights.

    A change of one member changes at most one place of the subset, and
    different choosers spread evenly over the members.

    Examples
    --------
    >>> sorted(choose('n1', ['a', 'b'], 3))
    ['a', 'b']
    >>> len(choose('n1', map(str, range(100)), 16))
    16
    """
    return heapq.nlargest(
        size, members, key=lambda member: rendezvous_weight(chooser, member)
    )


def owner(key: str, members: typing.Iterable[str]) -> str | None:
    """Return the member that owns an idempotency key; None if none."""
    return max(
        members,
        key=lambda member: rendezvous_weight(key, member),
        default=None,
    )
