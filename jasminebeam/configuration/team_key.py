"""The key of the product's own store that holds the teams."""

from __future__ import annotations

import typing

import msgspec

from jasminebeam.configuration import evacuation_key
from jasminebeam.configuration import teams as validation
from jasminebeam.model import services
from jasminebeam.model import teams

if typing.TYPE_CHECKING:
    from jasminebeam.store import store

# One key holds all teams, so that a key of a caller never counts for two of
# them: each change is one conditional write.
KEY = evacuation_key.OWN_PREFIX + 'teams'


class StoredTeam(msgspec.Struct, frozen=True):
    """A team and the number of its definition.

    Parameters
    ----------
    team : Team
        The definition, with digests of its keys.
    number : int
        Increases with each change of any team; no two definitions of a team
        have the same.
    """

    team: teams.Team
    number: int


class StoredTeams(msgspec.Struct, frozen=True):
    """Value of the key.

    Parameters
    ----------
    change_ids : tuple of str
        Identifiers of the latest changes, newest first; a repeated change is
        recognized by its identifier.
    teams : tuple of StoredTeam
        All teams.
    """

    change_ids: tuple[str, ...] = ()
    teams: tuple[StoredTeam, ...] = ()


_decoder = msgspec.json.Decoder(StoredTeams)


def decode(item: store.KeyValue) -> StoredTeams:
    """Return the value of the key.

    Raises
    ------
    ValueError
        If the value is malformed, or its teams are invalid.
    """
    stored = _decoder.decode(item.value)
    problem = validation.check(entry.team for entry in stored.teams)
    if problem:
        raise ValueError(problem)
    return stored


def revision_of(item: store.KeyValue) -> services.ServiceRevision:
    """Return the revision that is stored under the key.

    Raises
    ------
    ValueError
        If the value is malformed, or its teams are invalid.
    """
    return revision_from(decode(item), item.revision)


def revision_from(
    stored: StoredTeams, revision: int
) -> services.ServiceRevision:
    """Return the revision of stored teams."""
    return services.ServiceRevision(
        name=teams.REVISION_NAME,
        revision=revision,
        change_id=stored.change_ids[0] if stored.change_ids else '',
        service=None,
        teams=tuple(entry.team for entry in stored.teams),
    )
