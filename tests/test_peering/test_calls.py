"""Tests of the translation of calls to messages between nodes."""

from __future__ import annotations

import dataclasses

import msgspec
import pytest

from jasminebeam.model import requests
from jasminebeam.model import routes
from jasminebeam.peering import calls
from jasminebeam.peering import codec
from jasminebeam.peering import messages

CALL = requests.Call(
    'id', 's', 'POST', '/a', (('A', 'b'),), b'x', True, 500.0, route='r'
)
IDENTITY = calls.RequestIdentity(1, 2, 3)


def _encoded(call):
    return (
        codec.encode(calls.request(call, IDENTITY, 7.0, 100.0)),
        codec.encode(calls.admission_query(call, 9, 100.0)),
    )


def test_requests_without_a_team_grew():
    """Requests and queries without a team keep their encoding."""
    request, query = (
        msgspec.msgpack.decode(frame[1:]) for frame in _encoded(CALL)
    )
    assert (request[0], len(request)) == (3, 17)
    assert (query[0], len(query)) == (25, 7)


@pytest.mark.parametrize('team', ['', 'red'])
def test_team_was_lost_between_nodes(team):
    """The sidecar receives the team and the priority class of a call."""
    call = dataclasses.replace(
        CALL, team=team, priority=routes.priority_class(10**9, 255)
    )
    request, query = (codec.decode(frame).unwrap() for frame in _encoded(call))
    received = calls.call_from(request, 200.0)
    assert received == dataclasses.replace(
        call, deadline_ms=600.0, max_attempts=received.max_attempts
    )
    assert calls.team(query) == team
    assert query.priority == call.priority
    assert isinstance(request, messages.TeamRequest) == bool(team)
