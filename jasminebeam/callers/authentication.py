"""Identifies the team of a request by the key that it carries.

Load pattern: teams of callers compete for scarce capacity, so each request
must count for the team that has sent it, and for no other.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from jasminebeam.model import requests
from jasminebeam.model import routes
from jasminebeam.routing import allowed_regions

if typing.TYPE_CHECKING:
    from jasminebeam.model import teams

AUTHORIZATION = 'Authorization'
# Sent with a refusal, as RFC 9110 requires.
CHALLENGE = 'Bearer'

_SCHEME = 'bearer'


class Refusal(enum.StrEnum):
    """Why a request is not accepted."""

    NONE = ''
    NO_KEY = 'no_key'
    UNKNOWN_KEY = 'unknown_key'


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Team of a request, or why the request is refused.

    Parameters
    ----------
    team : Team or None
        Team whose key the request carries; None if there is none.
    refusal : Refusal
        Why the request is refused; ``NONE`` if it is accepted.
    """

    team: teams.Team | None = None
    refusal: Refusal = Refusal.NONE

    @property
    def name(self) -> str:
        """Name of the team; empty if there is none."""
        return '' if self.team is None else self.team.name

    def priority_class(self, route_priority: int) -> int:
        """Return the priority class of a request of this team.

        Parameters
        ----------
        route_priority : int
            Priority of the route of the request.
        """
        if self.team is None:
            return route_priority
        return routes.priority_class(self.team.priority, route_priority)

    def allowed_regions(
        self, route_regions: tuple[str, ...]
    ) -> requests.AllowedRegions:
        """Return the regions that may serve a request of this team.

        Parameters
        ----------
        route_regions : tuple of str
            Regions that the route of the request allows; empty for all.
        """
        team_regions = () if self.team is None else self.team.allowed_regions
        return allowed_regions.combine(route_regions, team_regions)


def identify(
    match: routes.RouteMatch, authorization: typing.Sequence[str]
) -> Identity:
    """Return the team of a request, or why the request is refused.

    Parameters
    ----------
    match : RouteMatch
        Match of the request, with the keys of the same revision.
    authorization : sequence of str
        Values of the header ``Authorization``. More than one key identifies
        no team, because it is unclear which of them is meant.
    """
    if match.keys is None:
        return Identity()
    found = [key for key in map(_key, authorization) if key]
    team = match.keys.team(found[0]) if len(found) == 1 else None
    if team is not None or match.public:
        return Identity(team)
    return Identity(None, Refusal.UNKNOWN_KEY if found else Refusal.NO_KEY)


def identified_headers(
    pairs: requests.Headers,
    match: routes.RouteMatch,
    identity: Identity,
    team_header: str,
) -> requests.Headers:
    """Return the headers that the upstream receives.

    If there are teams, keys are removed, and the header that names the team
    is replaced.

    Parameters
    ----------
    pairs : Headers
        Headers of the request.
    match, identity
        Match and team of the request.
    team_header : str
        Name of the header that tells the upstream the team.
    """
    if match.keys is None:
        return pairs
    kept = tuple(
        (name, value)
        for name, value in pairs
        if name.lower() != team_header.lower()
        and not (
            name.lower() == AUTHORIZATION.lower() and _key(value) is not None
        )
    )
    if identity.team is None:
        return kept
    return (*kept, (team_header, identity.team.name))


def _key(value: str) -> str | None:
    """Return the key in a header value; None if it has another scheme.

    Any white space ends the scheme: a key behind an unusual separator must
    not pass as an unknown scheme.

    Examples
    --------
    >>> _key('bearer  secret'), _key('Bearer'), _key('Basic secret')
    ('secret', '', None)
    """
    scheme, *rest = value.split(None, 1) or ('',)
    if scheme.lower() != _SCHEME:
        return None
    return rest[0].strip() if rest else ''
