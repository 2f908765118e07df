"""Order in which the nodes of a failure domain use the store for it."""

from __future__ import annotations

import typing

from jasminebeam.routing import subset

if typing.TYPE_CHECKING:
    from jasminebeam.model import upstreams

CANDIDATES_PER_RELAY = 2


def rank_of(
    node_id: str,
    failure_domain: str,
    members: typing.Iterable[upstreams.Member],
) -> int:
    """Return the position of a node among the alive nodes of its domain.

    All nodes that know the same members agree on the positions.
    """
    return sum(
        member.failure_domain == failure_domain
        and not member.status
        and precedes(member.node_id, node_id, failure_domain)
        for member in members
    )


def precedes(node_id: str, other: str, failure_domain: str) -> bool:
    """Return True if a node of a domain has a lower rank than another."""
    return _weight(node_id, failure_domain) > _weight(other, failure_domain)


def _weight(node_id: str, failure_domain: str) -> tuple[int, str]:
    return subset.rendezvous_weight(failure_domain, node_id), node_id
