"""Decides which regions may serve a request.

Load pattern: callers whose data may not leave some regions send requests to
ingress nodes of any region. The upstreams of other regions are often closer
and less loaded, and must not get them in any case.
"""

from __future__ import annotations

import enum
import functools
import typing

if typing.TYPE_CHECKING:
    from jasminebeam.model import requests

# Combinations of a route's and a team's regions that are remembered.
MAX_COMBINATIONS = 1_024


class Scope(enum.StrEnum):
    """Where a request with allowed regions is served."""

    OWN_REGION = 'own_region'
    OTHER_REGION = 'other_region'
    REFUSED = 'refused'


@functools.lru_cache(maxsize=MAX_COMBINATIONS)
def combine(
    route: tuple[str, ...], team: tuple[str, ...]
) -> requests.AllowedRegions:
    """Return the regions that both the route and the team allow.

    Parameters
    ----------
    route, team : tuple of str
        Regions that each allows; empty for all.

    Returns
    -------
    frozenset of str or None
        None if all regions are allowed. An empty set allows none.

    Examples
    --------
    >>> combine((), ()) is None
    True
    >>> sorted(combine(('p', 'q'), ())), combine(('p',), ('q',))
    (['p', 'q'], frozenset())
    """
    if not route or not team:
        return frozenset(route or team) or None
    return frozenset(route) & frozenset(team)


def permits(allowed: requests.AllowedRegions, region: str) -> bool:
    """Return True if a region may serve a request.

    Examples
    --------
    >>> permits(None, 'p'), permits(frozenset(), 'p')
    (True, False)
    """
    return allowed is None or region in allowed


def scope(
    allowed: requests.AllowedRegions,
    own_region: str,
    regions: typing.Iterable[str],
) -> Scope:
    """Return where a request is served, or that no region may serve it.

    Parameters
    ----------
    allowed : frozenset of str or None
        Regions that the request allows; None for all.
    own_region : str
        Region of the ingress node.
    regions : iterable of str
        Regions of the upstreams of the service.

    Examples
    --------
    >>> scope(frozenset('pq'), 'p', 'pr')
    <Scope.OWN_REGION: 'own_region'>
    >>> scope(frozenset('pq'), 'p', 'qr')
    <Scope.OTHER_REGION: 'other_region'>
    >>> scope(frozenset('p'), 'p', 'qr')
    <Scope.REFUSED: 'refused'>
    """
    usable = {region for region in regions if permits(allowed, region)}
    if not usable:
        return Scope.REFUSED
    return Scope.OWN_REGION if own_region in usable else Scope.OTHER_REGION
