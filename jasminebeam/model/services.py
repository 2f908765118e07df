"""Service definitions as operators declare them."""

from __future__ import annotations

import dataclasses
import fnmatch
import functools
import re

import msgspec

from jasminebeam.model import teams as team_model


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRule:
    """Declares the requests of one method and path pattern idempotent.

    Parameters
    ----------
    method : str
        HTTP method, or ``*`` for any method.
    path_pattern : str
        Shell-style pattern matched against the path without its query.

    Examples
    --------
    >>> RequestRule('GET', '/sessions/*').matches('GET', '/sessions/7')
    True
    >>> RequestRule('GET', '/sessions/*').matches('POST', '/sessions/7')
    False
    """

    method: str
    path_pattern: str

    def matches(self, method: str, path: str) -> bool:
        """Return True if the rule applies to the method and path."""
        if self.method not in ('*', method):
            return False
        return _compile_pattern(self.path_pattern).match(path) is not None


@functools.lru_cache(maxsize=4096)
def _compile_pattern(path_pattern: str) -> re.Pattern[str]:
    return re.compile(fnmatch.translate(path_pattern))


POLICIES = (
    'least_cost',
    'random',
    'round_robin',
    'least_reported',
    'two_choices',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Definition of a service with its budgets and time limits.

    Parameters
    ----------
    name : str
        Unique name, which upstreams give when they announce themselves.
    hosts : tuple of str
        Values of the Host header that select the service.
    path_prefix : str
        Prefix of the path that selects the service.
    idempotent : tuple of RequestRule
        Rules that declare requests idempotent.
    timeout_ms : int
        Maximum time that a request may take.
    retry_ratio, hedge_ratio : float
        Maximum number of retries and of hedged requests, as a ratio to
        the number of requests.
    hedge_quantile : float
        Quantile of the latency after which a hedged request is sent.
    probes_per_s, probe_bytes_per_s : float
        Budget of one ingress node for load probes of this service.
    probe_share : float
        Maximum bytes of probes as a ratio to the bytes of requests.
    max_ejected_ratio : float
        Maximum share of the upstreams that may be ejected at the same time.
    subset_size : int
        Number of upstreams that one ingress node uses.
    key_window_ms : int
        Time for which the answer to an idempotency key is kept.
    policy : str
        Name of the routing policy.

    Notes
    -----
    A further field, even if unset, would lengthen the messages between nodes:
    the encoder writes the size of a map with more than 15 fields in 3 bytes.
    """

    name: str
    hosts: tuple[str, ...] = ()
    path_prefix: str = '/'
    idempotent: tuple[RequestRule, ...] = ()
    timeout_ms: int = 2_000
    retry_ratio: float = 0.1
    hedge_ratio: float = 0.1
    hedge_quantile: float = 0.95
    probes_per_s: float = 4.0
    probe_bytes_per_s: float = 600.0
    probe_share: float = 0.0
    max_ejected_ratio: float = 0.34
    subset_size: int = 16
    key_window_ms: int = 120_000
    policy: str = 'least_cost'

    def is_idempotent(self, method: str, target: str) -> bool:
        """Return True if a rule declares the request idempotent."""
        path = target.partition('?')[0]
        return any(rule.matches(method, path) for rule in self.idempotent)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRevision:
    """Service definition, or all teams, at one revision of the store.

    Parameters
    ----------
    name : str
        Name of the service, or `teams.REVISION_NAME`.
    revision : int
        Store revision of the write; later writes have higher revisions.
    change_id : str
        Identifier of the change that wrote this revision.
    service : Service or None
        Definition of the service; None if the service is deleted.
    teams : tuple of Team
        All teams at this revision; unset in the revision of a service.
    public : bool
        True if callers of the service need no key although there are teams.

    Notes
    -----
    Messages between nodes leave out the fields that are unset.
    """

    name: str
    revision: int
    change_id: str
    service: Service | None
    teams: tuple[team_model.Team, ...] | msgspec.UnsetType = msgspec.UNSET
    public: bool | msgspec.UnsetType = msgspec.UNSET
