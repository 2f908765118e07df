"""Teams of callers, as operators declare them."""

from __future__ import annotations

import dataclasses
import hashlib
import typing

DIGEST_BYTES = 16

# Name under which the revisions of all teams spread together with those of
# services. No service can have it.
REVISION_NAME = '/teams'

# Priority of the requests of a team that sets none.
DEFAULT_PRIORITY = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A group of callers that shares keys, a priority and a rate limit.

    Parameters
    ----------
    name : str
        Unique name, which upstreams receive with each request.
    key_digests : tuple of bytes
        Digests of the keys by which requests show that they are the team's.
        The keys themselves are not kept.
    priority : int
        Priority under overload; it precedes the priority of a route, and 0
        is served first.
    rate_per_s : float
        Requests a second over all nodes together; 0 if there is no limit.
    burst : float
        Requests beyond the rate that may arrive at once.
    allowed_regions : tuple of str
        Regions in which the requests may be served; empty for all.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int = DEFAULT_PRIORITY
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: tuple[str, ...] = ()


class KeyTable:
    """Teams of one configuration revision by the digests of their keys.

    Parameters
    ----------
    teams : iterable of Team
        Teams of the revision; no two of them share a key.
    """

    def __init__(self, teams: typing.Iterable[Team]) -> None:
        self._by_digest = {
            key_digest: team
            for team in teams
            for key_digest in team.key_digests
        }

    def team(self, key: str) -> Team | None:
        """Return the team of a key; None if the key is unknown."""
        return self._by_digest.get(digest(key))


def digest(key: str) -> bytes:
    """Return the digest by which a key is looked up.

    Examples
    --------
    >>> digest('secret') == digest('secret'), len(digest('secret'))
    (True, 16)
    """
    return hashlib.blake2b(
        key.encode(errors='surrogateescape'), digest_size=DIGEST_BYTES
    ).digest()
