"""Rendezvous hashing: subsets of upstreams and owners of keys."""

from __future__ import annotations

import heapq
import typing

from jasminebeam import hashing

# Share of a subset that is kept for upstreams of other regions, for the time
# when those of the own region have no capacity or cannot be reached.
OTHER_REGIONS_RATIO = 0.25


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


def choose_by_region(
    node_id: str,
    local: typing.Collection[str],
    remote: typing.Collection[str],
    size: int,
) -> list[str]:
    """Return a subset that consists mainly of upstreams of the own region.

    Load pattern: the upstreams of a service spread over regions between
    which round trips and bytes are expensive. A subset that ignored regions
    would send most requests abroad in a large fleet, although the own region
    has capacity.

    Parameters
    ----------
    node_id : str
        Ingress node that the subset is for.
    local, remote : collection of str
        Members in the region of the ingress node, and in other regions.
    size : int
        Maximum size of the subset.

    Examples
    --------
    >>> chosen = choose_by_region('n1', 'abcdefgh', 'stuvwxyz', 4)
    >>> sum(member in 'abcdefgh' for member in chosen)
    3
    >>> len(choose_by_region('n1', 'a', 'stuvwxyz', 4))
    4
    """
    reserved = min(len(remote), int(size * OTHER_REGIONS_RATIO))
    chosen = choose(node_id, local, size - reserved)
    return chosen + choose(node_id, remote, size - len(chosen))


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
