"""Validation of the teams of a configuration."""

from __future__ import annotations

import typing

from jasminebeam import inputs
from jasminebeam.model import teams as team_model

_EMPTY_KEY = team_model.digest('')


def check(teams: typing.Iterable[team_model.Team]) -> str:
    """Return a description of the first error; empty if valid.

    The description contains no key and no digest of one.
    """
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    for team in teams:
        problem = _check_team(team)
        if not problem and team.name in names:
            problem = 'two teams have this name'
        if not problem:
            names.add(team.name)
            problem = _claim_keys(team, owners)
        if problem:
            return f'team {team.name!r}: {problem}'
    return ''


def _check_team(team: team_model.Team) -> str:
    try:
        inputs.parse_name(team.name)
    except ValueError as error:
        return f'invalid name: {error}'
    if not 0 <= team.priority <= inputs.MAX_COUNT:
        return 'priority is out of range'
    # Written so that values that are not numbers are refused as well.
    if not (team.rate_per_s >= 0 and team.burst >= 0):
        return 'rate and burst must not be negative'
    if max(team.rate_per_s, team.burst) > inputs.MAX_COUNT:
        return 'rate or burst is out of range'
    if _EMPTY_KEY in team.key_digests:
        return 'a key is empty'
    return _check_regions(team.allowed_regions)


def _check_regions(regions: typing.Iterable[str]) -> str:
    for region in regions:
        try:
            inputs.parse_name(region)
        except ValueError as error:
            return f'invalid region: {error}'
    return ''


def _claim_keys(team: team_model.Team, owners: dict[bytes, str]) -> str:
    for key_digest in team.key_digests:
        owner = owners.setdefault(key_digest, team.name)
        if owner != team.name:
            return f'shares a key with team {owner!r}'
    return ''
