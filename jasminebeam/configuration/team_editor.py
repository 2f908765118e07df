"""Changes of teams by operators, written with compare-and-swap."""

from __future__ import annotations

import dataclasses
import re
import typing

import msgspec
from returns import result

from jasminebeam.configuration import changes
from jasminebeam.configuration import team_key
from jasminebeam.configuration import teams as validation
from jasminebeam.model import teams
from jasminebeam.store import store

# Attempts of a change while other operators change other teams.
MAX_ATTEMPTS = 5
# Further changes that may follow before a repeated one is no longer
# recognized.
MAX_CHANGE_IDS = 64
# Bound of the message by which nodes receive all teams.
MAX_TEAMS_BYTES = 262_144

# Characters that a header can carry, without white space.
_KEY = re.compile(r'[!-~]{1,512}')


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """Teams that the store holds after a change.

    Parameters
    ----------
    revision : int
        Revision of the store.
    stored : StoredTeams
        Its teams.
    """

    revision: int
    stored: team_key.StoredTeams


Change = result.Result[Written, changes.Rejection]
_Teams = dict[str, team_key.StoredTeam]
_Edit = typing.Callable[
    [_Teams, int], result.Result[_Teams, changes.Rejection]
]


class TeamEditor:
    """Changes the teams; a write whose response was lost is read back.

    Two operators may change different teams at once. Of two changes of one
    team that are based on the same definition, the second is rejected.

    Parameters
    ----------
    backend : Store
        The product's own store.
    """

    def __init__(self, backend: store.Store) -> None:
        self._store = backend

    async def create(self, team: teams.Team, change_id: str) -> Change:
        """Create a team without keys."""

        def edit(
            found: _Teams, number: int
        ) -> result.Result[_Teams, changes.Rejection]:
            if team.name in found:
                current = found[team.name].number
                return _rejected('conflict', 'the team exists', current)
            return result.Success(
                {**found, team.name: team_key.StoredTeam(team, number)}
            )

        return await self._change(edit, change_id)

    async def update(
        self, team: teams.Team, expected_number: int, change_id: str
    ) -> Change:
        """Replace a definition if its number is the expected one.

        The team keeps its keys.
        """
        return await self._edit_team(
            team.name,
            expected_number,
            lambda current: result.Success(
                dataclasses.replace(team, key_digests=current.key_digests)
            ),
            change_id,
        )

    async def delete(
        self, name: str, expected_number: int, change_id: str
    ) -> Change:
        """Delete a team and withdraw its keys."""
        return await self._edit_team(
            name,
            expected_number,
            lambda current: result.Success(None),
            change_id,
        )

    async def add_key(self, name: str, key: str, change_id: str) -> Change:
        """Add a key to a team."""
        if not _KEY.fullmatch(key):
            detail = 'key: 1 to 512 visible ASCII characters without spaces'
            return _rejected('invalid', detail)
        key_digest = teams.digest(key)

        def edit(
            current: teams.Team,
        ) -> result.Result[teams.Team, changes.Rejection]:
            if key_digest in current.key_digests:
                return _rejected('conflict', 'the team has this key')
            digests = (*current.key_digests, key_digest)
            return result.Success(
                dataclasses.replace(current, key_digests=digests)
            )

        return await self._edit_team(name, None, edit, change_id)

    async def withdraw_key(
        self, name: str, key: str, change_id: str
    ) -> Change:
        """Withdraw a key of a team."""
        key_digest = teams.digest(key)

        def edit(
            current: teams.Team,
        ) -> result.Result[teams.Team, changes.Rejection]:
            digests = tuple(
                other for other in current.key_digests if other != key_digest
            )
            if digests == current.key_digests:
                return _rejected('missing', 'the team has no such key')
            return result.Success(
                dataclasses.replace(current, key_digests=digests)
            )

        return await self._edit_team(name, None, edit, change_id)

    async def _edit_team(
        self,
        name: str,
        expected_number: int | None,
        edit: typing.Callable[
            [teams.Team],
            result.Result[teams.Team | None, changes.Rejection],
        ],
        change_id: str,
    ) -> Change:
        """Replace a team by what a function returns; None deletes it."""

        def edit_all(
            found: _Teams, number: int
        ) -> result.Result[_Teams, changes.Rejection]:
            entry = found.get(name)
            if entry is None:
                return _rejected('missing', 'no such team')
            if expected_number not in (None, entry.number):
                detail = f'expected {expected_number}, found {entry.number}'
                return _rejected('conflict', detail, entry.number)
            return edit(entry.team).map(
                lambda team: _with_team(found, name, team, number)
            )

        return await self._change(edit_all, change_id)

    async def _change(self, edit: _Edit, change_id: str) -> Change:
        if not change_id:
            return _rejected('invalid', 'change_id: must not be empty')
        for _ in range(MAX_ATTEMPTS):
            read = await self._store.get(team_key.KEY)
            if not isinstance(read, result.Success):
                break
            item = read.unwrap()
            revision = item.revision if item is not None else 0
            try:
                stored = _decode(item)
            except ValueError as error:
                return _rejected('invalid', f'the stored teams: {error}')
            if change_id in stored.change_ids:
                return result.Success(Written(revision, stored))
            edited = _edited(stored, edit, revision + 1, change_id)
            if not isinstance(edited, result.Success):
                return edited
            written = await self._store.compare_and_set(
                team_key.KEY, revision, msgspec.json.encode(edited.unwrap())
            )
            if isinstance(written, result.Success):
                return result.Success(
                    Written(written.unwrap(), edited.unwrap())
                )
        return _rejected(
            'unavailable',
            'the store does not answer; '
            'repeat the change with the same change_id',
        )


def _decode(item: store.KeyValue | None) -> team_key.StoredTeams:
    if item is None:
        return team_key.StoredTeams()
    return team_key.decode(item)


def _edited(
    stored: team_key.StoredTeams, edit: _Edit, number: int, change_id: str
) -> result.Result[team_key.StoredTeams, changes.Rejection]:
    """Return the changed teams, or why the change is rejected."""
    found = {entry.team.name: entry for entry in stored.teams}
    edited = edit(found, number)
    if not isinstance(edited, result.Success):
        return edited
    changed = edited.unwrap()
    problem = validation.check(entry.team for entry in changed.values())
    if problem:
        return _rejected('invalid', problem)
    new = team_key.StoredTeams(
        (change_id, *stored.change_ids)[:MAX_CHANGE_IDS],
        tuple(changed[name] for name in sorted(changed)),
    )
    if len(msgspec.json.encode(new)) > MAX_TEAMS_BYTES:
        detail = f'all teams: at most {MAX_TEAMS_BYTES} bytes'
        return _rejected('invalid', detail)
    return result.Success(new)


def _with_team(
    found: _Teams, name: str, team: teams.Team | None, number: int
) -> _Teams:
    changed = {other: entry for other, entry in found.items() if other != name}
    if team is not None:
        changed[name] = team_key.StoredTeam(team, number)
    return changed


def _rejected(
    kind: str, detail: str, current_number: int = 0
) -> result.Failure[changes.Rejection]:
    return result.Failure(changes.Rejection(kind, detail, current_number))
