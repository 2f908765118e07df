"""The users' sites with their sizes of today."""

from __future__ import annotations

import dataclasses

from jasminebeam.model import services

READ_ONLY = (services.RequestRule('GET', '/*'),)


@dataclasses.dataclass(frozen=True, slots=True)
class SiteService:
    """One service of a site.

    Parameters
    ----------
    name : str
        Name of the service; its host is ``NAME.example``.
    targets : int
        Number of upstreams.
    idempotent : tuple of RequestRule
        Requests that may run more than once.
    service_ms : float
        Mean service time of the stand-in upstreams.
    calls : str
        Service that each request calls in turn; empty for none.
    """

    name: str
    targets: int
    idempotent: tuple[services.RequestRule, ...]
    service_ms: float
    calls: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """One site.

    Parameters
    ----------
    name, region : str
        Names of the site and its region.
    failure_domains : tuple of str
        Its failure domains; upstreams are spread over them in turn.
    one_way_ms, caller_ms : float
        One-way delay between failure domains, and to the callers.
    services : tuple of SiteService
        Its services.
    slots, connections : int
        Slots and connections of each upstream.
    """

    name: str
    region: str
    failure_domains: tuple[str, ...]
    one_way_ms: float
    caller_ms: float
    services: tuple[SiteService, ...]
    slots: int = 9
    connections: int = 260


JUAZEIRO = Site(
    name='juazeiro',
    region='nordeste-ce',
    failure_domains=('ce-a', 'ce-b', 'ce-c'),
    one_way_ms=3.5,
    caller_ms=8.0,
    services=(
        SiteService('catalogo', 6, READ_ONLY, 5.0),
        SiteService('inscricoes', 5, (), 8.0),
        SiteService('cobranca', 3, (), 8.0),
    ),
)

KAPLANOGLU = Site(
    name='kaplanoglu',
    region='marmara',
    failure_domains=('besiktas', 'kadikoy', 'sisli', 'uskudar'),
    one_way_ms=3.0,
    caller_ms=3.0,
    services=(
        SiteService('takvim', 6, READ_ONLY, 5.0),
        SiteService('sozlesme', 4, (), 8.0),
        SiteService('avans', 4, (), 8.0),
    ),
)

# Five services that call each other, to see retries multiply or not.
CHAIN = Site(
    name='chain',
    region='marmara',
    failure_domains=('besiktas', 'kadikoy'),
    one_way_ms=3.0,
    caller_ms=3.0,
    services=tuple(
        SiteService(
            f'depth{depth}',
            2,
            READ_ONLY,
            5.0,
            calls=f'depth{depth + 1}' if depth < 5 else '',
        )
        for depth in range(1, 6)
    ),
)

SITES = {site.name: site for site in (JUAZEIRO, KAPLANOGLU, CHAIN)}
