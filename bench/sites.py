"""Sites that the benchmarks simulate, with their current sizes."""

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
    upstream_count : int
        Number of upstreams of the service.
    idempotent : tuple of RequestRule
        Rules for the requests that may run more than once.
    service_ms : float
        Mean service time of the stand-in upstreams.
    next_service : str
        Service that each request calls after it has run; empty for none.
    """

    name: str
    upstream_count: int
    idempotent: tuple[services.RequestRule, ...]
    service_ms: float
    next_service: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """One site: its failure domains, services and upstreams.

    Parameters
    ----------
    name, region : str
        Names of the site and its region.
    failure_domains : tuple of str
        Failure domains of the site. The fleet assigns hosts to them in
        turn.
    one_way_ms, caller_one_way_ms : float
        One-way network delay between failure domains, and between a node
        and its callers.
    services : tuple of SiteService
        Services of the site.
    slots, max_connections : int
        Number of slots and connection limit of each upstream.
    """

    name: str
    region: str
    failure_domains: tuple[str, ...]
    one_way_ms: float
    caller_one_way_ms: float
    services: tuple[SiteService, ...]
    slots: int = 9
    max_connections: int = 260


JUAZEIRO = Site(
    name='juazeiro',
    region='nordeste-ce',
    failure_domains=('ce-a', 'ce-b', 'ce-c'),
    one_way_ms=3.5,
    caller_one_way_ms=8.0,
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
    caller_one_way_ms=3.0,
    services=(
        SiteService('takvim', 6, READ_ONLY, 5.0),
        SiteService('sozlesme', 4, (), 8.0),
        SiteService('avans', 4, (), 8.0),
    ),
)

# Each of the five services calls the next one. The chain shows whether
# retries multiply from service to service.
CHAIN = Site(
    name='chain',
    region='marmara',
    failure_domains=('besiktas', 'kadikoy'),
    one_way_ms=3.0,
    caller_one_way_ms=3.0,
    services=tuple(
        SiteService(
            f'depth{depth}',
            2,
            READ_ONLY,
            5.0,
            next_service=f'depth{depth + 1}' if depth < 5 else '',
        )
        for depth in range(1, 6)
    ),
)

SITES = {site.name: site for site in (JUAZEIRO, KAPLANOGLU, CHAIN)}
