"""Decodes the platform's configuration document into a route set."""

from __future__ import annotations

import typing

import msgspec
from returns import result

from jasminebeam import inputs
from jasminebeam.model import routes
from jasminebeam.model import services
from jasminebeam.model import teams

# Values of a rule's `kind` if its requests may run more than once.
_IDEMPOTENT_KINDS = ('safe', 'download')


class _Match(msgspec.Struct, frozen=True):
    prefix: str


class _WeightedCluster(msgspec.Struct, frozen=True):
    service: str
    weight: inputs.Count


class _Action(msgspec.Struct, frozen=True, rename='camel'):
    timeout_ms: inputs.DurationMs
    max_attempts: inputs.Count = routes.DEFAULT_MAX_ATTEMPTS
    # Empty if `weighted_clusters` lists the services.
    service: str = ''
    weighted_clusters: tuple[_WeightedCluster, ...] = ()


class _Rule(msgspec.Struct, frozen=True, rename='camel'):
    match: _Match
    action: _Action
    name: str = ''
    kind: str = ''
    # Latency objective; 0 if unset.
    aim_ms: inputs.DurationMs = 0
    priority: inputs.Count = routes.LOWEST_PRIORITY
    public: bool = False
    allowed_regions: tuple[inputs.Name, ...] = ()


class _Listener(msgspec.Struct, frozen=True):
    # Value of the Host header, not an address to listen on.
    host: str
    rules: tuple[_Rule, ...]


# The platform calls a service a cluster.
class _Cluster(msgspec.Struct, frozen=True, rename='camel'):
    name: str
    health_path: typing.Annotated[
        str, msgspec.Meta(pattern=r'^(/[!-~]*)?\Z')
    ] = ''
    max_connections: inputs.Count = 0
    cold_start_s: inputs.Rate = 0.0
    cold_per_s: inputs.Rate = 0.0


# The platform calls a team a tenant.
class _Tenant(msgspec.Struct, frozen=True, rename='camel'):
    name: inputs.Name
    api_keys: tuple[
        typing.Annotated[str, msgspec.Meta(min_length=1)], ...
    ] = ()
    priority: inputs.Count = teams.DEFAULT_PRIORITY
    rate_per_s: inputs.Rate = 0.0
    burst: inputs.Rate = 0.0
    allowed_regions: tuple[inputs.Name, ...] = ()


class _Limits(msgspec.Struct, frozen=True, rename='camel'):
    max_header_bytes: inputs.Count
    max_body_bytes: inputs.Count
    header_timeout_ms: inputs.DurationMs
    idle_timeout_ms: inputs.DurationMs


class _Document(msgspec.Struct, frozen=True):
    # Revision of the document in eight hexadecimal digits.
    version: typing.Annotated[
        str, msgspec.Meta(pattern=r'^[0-9A-Fa-f]{1,15}\Z')
    ]
    listeners: tuple[_Listener, ...]
    clusters: tuple[_Cluster, ...]
    limits: _Limits | None = None
    tenants: tuple[_Tenant, ...] = ()


class Decoder:
    """Decodes the configuration that operators write to the store.

    Parameters
    ----------
    budgets : mapping
        Retry and hedge settings of every service, as fields of `Service`.
    """

    def __init__(self, budgets: typing.Mapping[str, typing.Any]) -> None:
        self._budgets = budgets
        self._decoder = msgspec.json.Decoder(_Document)

    def decode(self, value: bytes) -> result.Result[routes.RouteSet, str]:
        """Return the route set, or the reason why the value is invalid."""
        return inputs.decode(self._decoder, value).map(self._route_set)

    def _route_set(self, document: _Document) -> routes.RouteSet:
        return routes.RouteSet(
            revision=int(document.version, 16),
            routes=tuple(
                _route(listener.host, rule)
                for listener in document.listeners
                for rule in listener.rules
            ),
            services=tuple(
                services.Service(cluster.name, **self._budgets)
                for cluster in document.clusters
            ),
            health_paths=tuple(
                (cluster.name, cluster.health_path)
                for cluster in document.clusters
            ),
            limits=_limits(document.limits),
            teams=tuple(_team(tenant) for tenant in document.tenants)
            or msgspec.UNSET,
            cold_starts=tuple(
                routes.ColdStart(
                    cluster.name,
                    round(cluster.cold_start_s * 1_000),
                    cluster.cold_per_s,
                )
                for cluster in document.clusters
                if cluster.cold_per_s
            )
            or msgspec.UNSET,
        )


def _route(host: str, rule: _Rule) -> routes.Route:
    action = rule.action
    parts = action.weighted_clusters or (_WeightedCluster(action.service, 1),)
    return routes.Route(
        name=rule.name,
        host=host,
        path_prefix=rule.match.prefix,
        services=tuple(
            routes.WeightedService(part.service, part.weight) for part in parts
        ),
        idempotent=rule.kind in _IDEMPOTENT_KINDS,
        timeout_ms=int(action.timeout_ms),
        objective_ms=int(rule.aim_ms),
        max_attempts=action.max_attempts,
        priority=rule.priority,
        public=rule.public or msgspec.UNSET,
        allowed_regions=rule.allowed_regions or msgspec.UNSET,
    )


def _team(tenant: _Tenant) -> teams.Team:
    return teams.Team(
        name=tenant.name,
        key_digests=tuple(teams.digest(key) for key in tenant.api_keys),
        priority=tenant.priority,
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
        allowed_regions=tenant.allowed_regions,
    )


def _limits(limits: _Limits | None) -> routes.CallerLimits:
    if limits is None:
        return routes.CallerLimits()
    return routes.CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout_ms=int(limits.header_timeout_ms),
        idle_timeout_ms=int(limits.idle_timeout_ms),
    )
