"""Operators' calls that concern teams."""

from __future__ import annotations

import typing

import msgspec
from returns import result

from jasminebeam.configuration import team_key
from jasminebeam.model import teams as team_model
from jasminebeam.operators.generated import operators_pb2
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.configuration import changes
    from jasminebeam.configuration import directory
    from jasminebeam.configuration import team_editor
    from jasminebeam.membership import task as membership_task
    from jasminebeam.store import store as store_module
    from jasminebeam.telemetry import team_counts

Answer: typing.TypeAlias = (
    'result.Result[operators_pb2.ListTeamsResponse, changes.Rejection]'
)


class TeamCalls:
    """Changes teams, and lists them with their requests at this node.

    Parameters
    ----------
    editor : TeamEditor
        Writes the changes to the store.
    backend : Store
        Provides the numbers of the definitions.
    in_force : ServiceDirectory
        Teams in force at this node.
    membership : MembershipTask
        Spreads changes.
    counts : TeamCounts
        Requests of the teams at this node.
    log : EventLog
        Receives malformed teams of the store.
    """

    def __init__(
        self,
        editor: team_editor.TeamEditor,
        backend: store_module.Store,
        in_force: directory.ServiceDirectory,
        membership: membership_task.MembershipTask,
        counts: team_counts.TeamCounts,
        log: events.EventLog,
    ) -> None:
        self._log = log
        self._editor = editor
        self._store = backend
        self._in_force = in_force
        self._membership = membership
        self._counts = counts

    async def create(self, request: operators_pb2.CreateTeamRequest) -> Answer:
        """Create a team."""
        team = _from_message(request.team)
        return self._adopt(await self._editor.create(team, request.change_id))

    async def update(self, request: operators_pb2.UpdateTeamRequest) -> Answer:
        """Replace the definition of a team."""
        return self._adopt(
            await self._editor.update(
                _from_message(request.team),
                request.expected_number,
                request.change_id,
            )
        )

    async def delete(self, request: operators_pb2.DeleteTeamRequest) -> Answer:
        """Delete a team."""
        return self._adopt(
            await self._editor.delete(
                request.name, request.expected_number, request.change_id
            )
        )

    async def add_key(self, request: operators_pb2.TeamKeyRequest) -> Answer:
        """Add a key to a team."""
        return self._adopt(
            await self._editor.add_key(
                request.name, request.key, request.change_id
            )
        )

    async def withdraw_key(
        self, request: operators_pb2.TeamKeyRequest
    ) -> Answer:
        """Withdraw a key of a team."""
        return self._adopt(
            await self._editor.withdraw_key(
                request.name, request.key, request.change_id
            )
        )

    async def are_known(self) -> bool:
        """Return whether a service may come into force at this node.

        A node without any configuration reads the teams first: with a service
        but without the teams it would serve requests without a key.
        """
        if self._in_force.highest_revision:
            return True
        read = await self._store.get(team_key.KEY)
        if not isinstance(read, result.Success):
            return False
        item = read.unwrap()
        if item is None:
            return True
        try:
            revision = team_key.revision_of(item)
        except ValueError as error:
            self._log.write(
                events.Event.CONFIG_REFUSED, key=item.key, cause=error
            )
            return False
        self._membership.adopt_revision(revision)
        return True

    async def list_in_force(self) -> operators_pb2.ListTeamsResponse:
        """Return the teams in force, with their numbers in the store."""
        revision = self._in_force.get(team_model.REVISION_NAME)
        if revision is None or revision.teams is msgspec.UNSET:
            return operators_pb2.ListTeamsResponse()
        numbers = await self._numbers(revision.revision)
        return operators_pb2.ListTeamsResponse(
            revision=revision.revision,
            teams=[
                self._state(team, numbers.get(team.name, 0))
                for team in revision.teams
            ],
        )

    async def _numbers(self, revision: int) -> dict[str, int]:
        """Return the numbers of the definitions; empty if unknown."""
        item = (await self._store.get(team_key.KEY)).value_or(None)
        if item is None or item.revision != revision:
            return {}
        stored = team_key.decode(item)
        return {entry.team.name: entry.number for entry in stored.teams}

    def _adopt(self, change: team_editor.Change) -> Answer:
        if not isinstance(change, result.Success):
            return change
        written = change.unwrap()
        self._membership.adopt_revision(
            team_key.revision_from(written.stored, written.revision)
        )
        return result.Success(
            operators_pb2.ListTeamsResponse(
                revision=written.revision,
                teams=[
                    self._state(entry.team, entry.number)
                    for entry in written.stored.teams
                ],
            )
        )

    def _state(
        self, team: team_model.Team, number: int
    ) -> operators_pb2.TeamState:
        counts = self._counts.summary(team.name)
        return operators_pb2.TeamState(
            team=operators_pb2.Team(
                name=team.name,
                priority=team.priority,
                rate_per_s=team.rate_per_s,
                burst=team.burst,
                allowed_regions=team.allowed_regions,
            ),
            number=number,
            keys=len(team.key_digests),
            admitted=counts.admitted,
            limited=counts.limited,
            refused=counts.refused,
        )


def _from_message(message: operators_pb2.Team) -> team_model.Team:
    return team_model.Team(
        name=message.name,
        priority=message.priority,
        rate_per_s=message.rate_per_s,
        burst=message.burst,
        allowed_regions=tuple(message.allowed_regions),
    )
