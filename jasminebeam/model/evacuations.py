"""Failure domains that operators have evacuated."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuations:
    """All evacuated failure domains at one revision of the store.

    Parameters
    ----------
    revision : int
        Revision of the store at which this is the complete set; 0 if no
        evacuation has ever been known.
    domains : tuple of str
        Names of the evacuated failure domains, in order.
    """

    revision: int = 0
    domains: tuple[str, ...] = ()


NO_EVACUATIONS = Evacuations()
