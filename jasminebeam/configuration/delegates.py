"""Delegates: the nodes of a failure domain that use the store for it."""

from __future__ import annotations

import enum
import typing

from jasminebeam.routing import subset

if typing.TYPE_CHECKING:
    from jasminebeam.model import upstreams

# Nodes of a failure domain that may become its delegates. It bounds the calls
# of a domain that tries one node after the other during an outage.
MAX_RANKED = 8


class Duty(enum.Enum):
    """What a node does for its failure domain."""

    NONE = 'none'
    # Registers as a seed and watches the configuration.
    REGULAR = 'regular'
    # Watches the configuration in place of a delegate without contact.
    SUBSTITUTE = 'substitute'


def rank(
    failure_domain: str, members: typing.Iterable[upstreams.Member]
) -> list[upstreams.Member]:
    """Return the alive members of a domain that may become delegates.

    All nodes that know the same members return the same order.
    """
    alive = {
        member.node_id: member
        for member in members
        if member.failure_domain == failure_domain and not member.status
    }
    return [
        alive[node_id]
        for node_id in subset.choose(failure_domain, alive, MAX_RANKED)
    ]


def duty_of(
    node_id: str, ranked: typing.Sequence[upstreams.Member], count: int
) -> Duty:
    """Return the duty of a node.

    The first `count` members are the regular delegates, also while the store
    does not answer them: no event tells the others when it answers again.
    As many members with contact as are missing substitute for them.

    Parameters
    ----------
    node_id : str
        Node whose duty is returned.
    ranked : sequence of Member
        Result of `rank` for the domain of the node.
    count : int
        Number of delegates of a domain.
    """
    if node_id in [member.node_id for member in ranked[:count]]:
        return Duty.REGULAR
    in_contact = [
        member.node_id for member in ranked if member.has_store_contact
    ]
    return Duty.SUBSTITUTE if node_id in in_contact[:count] else Duty.NONE
