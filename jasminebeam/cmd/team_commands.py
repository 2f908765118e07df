"""Commands of jasminebeam-ctl that concern teams."""

from __future__ import annotations

import pathlib
import sys
import typing

from google.protobuf import json_format

from jasminebeam.operators.generated import operators_pb2

if typing.TYPE_CHECKING:
    from jasminebeam.operators.generated import operators_grpc

STANDARD_INPUT = '-'

FIELDS = (
    'name',
    'number',
    'keys',
    'priority',
    'rate_per_s',
    'burst',
    'allowed_regions',
)


class InputError(Exception):
    """A file that cannot be read or holds no valid team or key."""


def read_team(path: str) -> operators_pb2.Team:
    """Return the team in a JSON file.

    Raises
    ------
    InputError
        If the file cannot be read or holds no team.
    """
    try:
        return json_format.Parse(_read(path), operators_pb2.Team())
    except json_format.ParseError as error:
        raise InputError(f'{path}: {error}') from error


def read_key(path: str) -> str:
    """Return the key in a file, without the end of its line.

    Keys are no arguments, because the arguments of a process are visible to
    other users of the host and stay in the history of the shell.

    Raises
    ------
    InputError
        If the file cannot be read.
    """
    return _read(path).rstrip('\r\n')


async def create(
    stub: operators_grpc.OperatorsStub, path: str, change_id: str
) -> operators_pb2.ListTeamsResponse:
    """Create the team in a file."""
    return await stub.CreateTeam(
        operators_pb2.CreateTeamRequest(
            team=read_team(path), change_id=change_id
        )
    )


async def update(
    stub: operators_grpc.OperatorsStub,
    path: str,
    expected_number: int,
    change_id: str,
) -> operators_pb2.ListTeamsResponse:
    """Replace a team by the one in a file."""
    return await stub.UpdateTeam(
        operators_pb2.UpdateTeamRequest(
            team=read_team(path),
            expected_number=expected_number,
            change_id=change_id,
        )
    )


async def delete(
    stub: operators_grpc.OperatorsStub,
    name: str,
    expected_number: int,
    change_id: str,
) -> operators_pb2.ListTeamsResponse:
    """Delete a team."""
    return await stub.DeleteTeam(
        operators_pb2.DeleteTeamRequest(
            name=name, expected_number=expected_number, change_id=change_id
        )
    )


async def add_key(
    stub: operators_grpc.OperatorsStub, name: str, path: str, change_id: str
) -> operators_pb2.ListTeamsResponse:
    """Add the key in a file to a team."""
    return await stub.AddTeamKey(_key_request(name, path, change_id))


async def withdraw_key(
    stub: operators_grpc.OperatorsStub, name: str, path: str, change_id: str
) -> operators_pb2.ListTeamsResponse:
    """Withdraw the key in a file from a team."""
    return await stub.WithdrawTeamKey(_key_request(name, path, change_id))


def rows(
    answer: operators_pb2.ListTeamsResponse,
) -> list[list[str | int | float]]:
    """Return the values of `FIELDS` of each team."""
    return [
        [
            state.team.name,
            state.number,
            state.keys,
            state.team.priority,
            state.team.rate_per_s,
            state.team.burst,
            ' '.join(state.team.allowed_regions),
        ]
        for state in answer.teams
    ]


def _key_request(
    name: str, path: str, change_id: str
) -> operators_pb2.TeamKeyRequest:
    return operators_pb2.TeamKeyRequest(
        name=name, key=read_key(path), change_id=change_id
    )


def _read(path: str) -> str:
    try:
        if path == STANDARD_INPUT:
            return sys.stdin.read()
        return pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        # The text of a decoding error would quote the content.
        reason = getattr(error, 'strerror', None) or 'no UTF-8 text'
        raise InputError(f'{path}: {reason}') from error
