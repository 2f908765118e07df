"""Service revisions that are in force at one node."""

from __future__ import annotations

import typing

from jasminebeam import hashing
from jasminebeam.model import routes
from jasminebeam.model import services
from jasminebeam.model import teams as team_model
import msgspec

BUCKETS = 64

_encoder = msgspec.msgpack.Encoder()


class ServiceDirectory:
    """Keeps the highest revisions of services and teams; matches requests.

    The revision of a service never decreases. A deleted service remains as
    a tombstone, so that an older revision that arrives late does not restore
    it.
    """

    def __init__(self) -> None:
        self._revisions: dict[str, services.ServiceRevision] = {}
        self._by_host: dict[str, list[services.Service]] = {}
        self._buckets = [0] * BUCKETS
        self.highest_revision = 0
        self._keys: team_model.KeyTable | None = None

    def apply(self, revision: services.ServiceRevision) -> bool:
        """Put a revision in force; False if it is not newer.

        A revision is not newer if a higher or equal one is in force.
        """
        in_force = self._revisions.get(revision.name)
        if in_force is not None and in_force.revision >= revision.revision:
            return False
        if in_force is not None:
            self._toggle_digest(in_force)
            self._unindex(in_force.service)
        self._revisions[revision.name] = revision
        self._toggle_digest(revision)
        self._index(revision.service)
        if revision.teams is not msgspec.UNSET:
            self._keys = _key_table(revision.teams)
        self.highest_revision = max(self.highest_revision, revision.revision)
        return True

    def revision_of(self, name: str) -> int:
        """Return the revision number in force; 0 if there is none."""
        in_force = self._revisions.get(name)
        return in_force.revision if in_force is not None else 0

    def get(self, name: str) -> services.ServiceRevision | None:
        """Return the revision in force; None if the service is unknown."""
        return self._revisions.get(name)

    def service(self, name: str) -> services.Service | None:
        """Return the definition in force; None if unknown or deleted."""
        in_force = self._revisions.get(name)
        return in_force.service if in_force is not None else None

    def all(self) -> list[services.ServiceRevision]:
        """Return the revisions in force, including tombstones."""
        return list(self._revisions.values())

    def match(self, host: str, path: str) -> services.Service | None:
        """Return the service for a Host header and path.

        The longest matching path prefix wins.
        """
        best = None
        for service in self._by_host.get(_hostname(host), ()):
            if not path.startswith(service.path_prefix):
                continue
            if best is None or len(service.path_prefix) > len(
                best.path_prefix
            ):
                best = service
        return best

    @property
    def revision(self) -> int:
        """Highest revision in force; 0 if there is none."""
        return self.highest_revision

    @property
    def limits(self) -> None:
        """None, because the settings contain the limits for callers."""

    def route(
        self, host: str, method: str, path: str
    ) -> routes.RouteMatch | None:
        """Return the match of a request; None if no service matches."""
        service = self.match(host, path)
        if service is None:
            return None
        in_force = self._revisions[service.name]
        return routes.RouteMatch(
            route=service.name,
            revision=in_force.revision,
            service=service,
            idempotent=service.is_idempotent(method, path),
            timeout_ms=service.timeout_ms,
            public=in_force.public is True,
            keys=self._keys,
        )

    def is_idempotent(self, host: str, method: str, path: str) -> bool:
        """Return True if a service matches and the request is idempotent."""
        service = self.match(host, path)
        return service is not None and service.is_idempotent(method, path)

    @property
    def digest(self) -> int:
        """64-bit digest of all revisions in force."""
        combined = 0
        for bucket in self._buckets:
            combined ^= bucket
        return combined

    @property
    def buckets(self) -> tuple[int, ...]:
        """Digest of each bucket of revisions."""
        return tuple(self._buckets)

    def differing(
        self, buckets: typing.Sequence[int]
    ) -> list[services.ServiceRevision]:
        """Return the revisions in buckets whose digests differ.

        A peer that does not compare the configuration sends no digests. The
        result is then empty. Teams come first: a node must not serve requests
        without checking their keys.
        """
        if len(buckets) != BUCKETS:
            return []
        found = [
            revision
            for revision in self._revisions.values()
            if buckets[_bucket(revision.name)]
            != self._buckets[_bucket(revision.name)]
        ]
        return sorted(
            found, key=lambda revision: revision.teams is msgspec.UNSET
        )

    def _toggle_digest(self, revision: services.ServiceRevision) -> None:
        digest = hashing.hash64(revision.name, str(revision.revision))
        self._buckets[_bucket(revision.name)] ^= digest

    def _index(self, service: services.Service | None) -> None:
        if service is None:
            return
        for host in service.hosts:
            self._by_host.setdefault(host.lower(), []).append(service)

    def _unindex(self, service: services.Service | None) -> None:
        if service is None:
            return
        for host in service.hosts:
            self._by_host[host.lower()].remove(service)


def _key_table(
    teams: tuple[team_model.Team, ...],
) -> team_model.KeyTable | None:
    return team_model.KeyTable(teams) if teams else None


def _bucket(name: str) -> int:
    return hashing.hash64(name) % BUCKETS


def _hostname(host: str) -> str:
    return host.partition(':')[0].lower()


def encode(service: services.Service) -> bytes:
    """Return the definition encoded as JSON."""
    return msgspec.json.encode(service)
