"""Trees along which a message reaches all members of a ring."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from jasminebeam.membership import table

# Members to which each member of a tree passes a message on. It bounds the
# messages of one node; the depth grows with the logarithm of the size.
FAN_OUT = 8


def receivers(ring: table.Ring, root: str, node_id: str) -> list[str]:
    """Return the members to which a member passes a message on.

    The members form a heap in the order of the ring, from the root on, so
    trees with different roots have different inner members.

    Parameters
    ----------
    ring : Ring
        All members that the message has to reach.
    root : str
        Member that has sent the message first.
    node_id : str
        Member that passes it on.

    Returns
    -------
    list of str
        Empty if the ring lacks the root or the member.
    """
    size = len(ring)
    start = ring.index(root)
    own = ring.index(node_id)
    if not _is_at(ring, start, root) or not _is_at(ring, own, node_id):
        return []
    first = FAN_OUT * ((own - start) % size) + 1
    return [
        ring.at((start + offset) % size)
        for offset in range(first, min(first + FAN_OUT, size))
    ]


def _is_at(ring: table.Ring, index: int, node_id: str) -> bool:
    return index < len(ring) and ring.at(index) == node_id
