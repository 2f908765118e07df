"""Messages by which nodes spread evacuated failure domains."""

from __future__ import annotations

from jasminebeam.peering import base


class EvacuationsUpdate(base.Message, tag=30):
    """Carries all evacuated failure domains that the sender knows.

    Parameters
    ----------
    revision : int
        Revision of the store at which the set is complete.
    domains : tuple of str
        Names of the failure domains.
    """

    revision: int
    domains: tuple[str, ...]


class EvacuationsDigest(base.Message, tag=31):
    """States the revision of the sender's evacuated failure domains.

    A receiver with a newer set replies with it; one with an older set replies
    with its own revision. It is not sent while no evacuation was ever known.
    """

    revision: int
