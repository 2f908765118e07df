"""How long a node waits for a report before it calls the store itself."""

from __future__ import annotations

# Time within which a confirmed change must be in force.
APPLY_MS = 2_000

# Interval at which the first node of a domain calls the store, and the
# silence after which the second one does, relative to `APPLY_MS`.
FIRST_SHARE = 0.45
SECOND_SHARE = 0.525

# Nodes beyond the first two call in tiers, each with four times as many
# nodes as the one before. The nodes of a tier call one after the other
# within this time, relative to `APPLY_MS`.
TIER_SHARE = 0.075
FIRST_TIER_END = 8
TIER_GROWTH = 4


def allowed_silence_ms(rank: int) -> float:
    """Return the age of the newest report at which a node calls the store.

    The ranks bound the number of nodes that call at once, and also the time
    until the last one does: all nodes of a domain but one may vanish.

    Parameters
    ----------
    rank : int
        Position of the node among the alive nodes of its failure domain.

    Examples
    --------
    >>> [round(allowed_silence_ms(rank)) for rank in (0, 1, 2, 8, 32, 128)]
    [900, 1050, 1200, 1350, 1500, 1650]
    """
    if rank == 0:
        return FIRST_SHARE * APPLY_MS
    if rank == 1:
        return SECOND_SHARE * APPLY_MS
    tier = 1
    start, end = 2, FIRST_TIER_END
    while rank >= end:
        tier += 1
        start, end = end, TIER_GROWTH * end
    position = (rank - start) / (end - start)
    return (SECOND_SHARE + (tier + position) * TIER_SHARE) * APPLY_MS
