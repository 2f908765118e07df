"""Failure domains that operators have evacuated."""

from __future__ import annotations

import dataclasses
import re


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

# Maximum number of evacuated domains. Other writers share the store, and the
# set travels in one message.
MAX_DOMAINS = 256

# Names that the settings of a node allow for its failure domain.
_DOMAIN = re.compile(r'[\w.:-]{1,64}')


def is_domain(text: str) -> bool:
    """Return True if a text may be the name of a failure domain.

    Examples
    --------
    >>> is_domain('eu-1a'), is_domain('a/b'), is_domain('')
    (True, False, False)
    """
    return _DOMAIN.fullmatch(text) is not None
