"""The operators' configuration, decoded into the product's route set."""

from __future__ import annotations

import typing

import msgspec
from returns import result

from jasminebeam.model import routes
from jasminebeam.model import services

_IDEMPOTENT_KIND = 'safe'


class _Match(msgspec.Struct, frozen=True):
    prefix: str


class _Part(msgspec.Struct, frozen=True):
    service: str
    weight: int


class _Action(msgspec.Struct, frozen=True, rename='camel'):
    timeout_ms: float
    max_attempts: int = routes.DEFAULT_MAX_ATTEMPTS
    service: str = ''
    weighted_clusters: tuple[_Part, ...] = ()


class _Rule(msgspec.Struct, frozen=True, rename='camel'):
    match: _Match
    action: _Action
    name: str = ''
    kind: str = ''
    aim_ms: float = 0
    priority: int = routes.LOWEST_PRIORITY


class _Listener(msgspec.Struct, frozen=True):
    host: str
    rules: tuple[_Rule, ...]


class _Cluster(msgspec.Struct, frozen=True, rename='camel'):
    name: str
    health_path: str = ''
    max_connections: int = 0


class _Limits(msgspec.Struct, frozen=True, rename='camel'):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Document(msgspec.Struct, frozen=True):
    # Eight hexadecimal digits.
    version: str
    listeners: tuple[_Listener, ...]
    clusters: tuple[_Cluster, ...]
    limits: _Limits | None = None


class Decoder:
    """Decodes the operators' value.

    Parameters
    ----------
    budgets : mapping
        Ratios of retries and hedges that each service gets.
    """

    def __init__(self, budgets: typing.Mapping[str, typing.Any]) -> None:
        self._budgets = budgets
        self._decoder = msgspec.json.Decoder(_Document)

    def decode(self, value: bytes) -> result.Result[routes.RouteSet, str]:
        """Return the route set, or why the value is refused."""
        try:
            document = self._decoder.decode(value)
            revision = int(document.version, 16)
        except (msgspec.DecodeError, ValueError) as error:
            return result.Failure(str(error))
        return result.Success(
            routes.RouteSet(
                revision=revision,
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
            )
        )


def _route(host: str, rule: _Rule) -> routes.Route:
    action = rule.action
    parts = action.weighted_clusters or (_Part(action.service, 1),)
    return routes.Route(
        name=rule.name,
        host=host,
        path_prefix=rule.match.prefix,
        services=tuple(
            routes.WeightedService(part.service, part.weight) for part in parts
        ),
        idempotent=rule.kind == _IDEMPOTENT_KIND,
        timeout_ms=int(action.timeout_ms),
        objective_ms=int(rule.aim_ms),
        max_attempts=action.max_attempts,
        priority=rule.priority,
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
