"""Tests of the admission queries before a request is sent."""

from __future__ import annotations

import asyncio
import dataclasses

from jasminebeam.peering import messages
from jasminebeam import verdict


def _occupy_slots(world, server, count):
    """Occupy slots of one upstream with requests that never end."""
    server.upstream.blocked = asyncio.Event()
    peer = world.pool.peer(server.member.node_id, server.member.address)

    async def submit():
        for _ in range(count):
            peer.submit(world.call(timeout_ms=60_000.0), 1_000.0)

    world.loop.run_until_complete(submit())
    world.run(0.05)


def _record_queries(servers):
    """Return a list to which each admission query is appended."""
    queries = []

    def record(server):
        handle = server.sidecar.handle

        def recording_handle(message, send):
            if isinstance(message, messages.AdmissionQuery):
                queries.append(message)
            handle(message, send)

        server.sidecar.handle = recording_handle

    for server in servers:
        record(server)
    return queries


def _with_objective(world, call, objective_ms):
    return dataclasses.replace(
        call, objective_ms=world.loop.now_ms() + objective_ms, route='r'
    )


def test_request_goes_to_a_free_upstream_despite_stale_samples(world):
    """A request must go to the upstream that has a free slot.

    Load samples from before a burst still show the slots of the other
    upstream as free.
    """
    full, free = world.add('full'), world.add('free')
    world.result(world.send(world.call()))
    _occupy_slots(world, full, 2)
    world.run(1.0)
    world.routes.use('full').sample = None
    world.routes.use('free').round_trip_ms = 50.0
    call = world.call()
    world.result(world.send(call))
    assert free.upstream.runs[call.request_id] == 1


def test_request_that_all_sidecars_refuse_is_never_sent(world):
    """Under overload the caller must be refused within two round trips.

    Only the small admission queries are sent, not the request.
    """
    servers = [world.add(f'u{number}', slots=1) for number in range(3)]
    for server in servers:
        _occupy_slots(world, server, 1)
    started_ms = world.loop.now_ms()
    call = _with_objective(world, world.call(timeout_ms=40.0), 1.0)
    result = world.result(world.send(call))
    assert result.outcome is verdict.Outcome.NOT_RUN
    assert world.loop.now_ms() - started_ms < 10.0
    assert world.runs(call.request_id) == 0


def test_queries_do_not_multiply_under_overload(world):
    """A refusal by all sidecars must suppress queries for a short time.

    Without the cached refusal, each refused request would add one query
    to each sidecar that is already overloaded.
    """
    servers = [world.add(f'u{number}', slots=1) for number in range(3)]
    for server in servers:
        _occupy_slots(world, server, 1)
    queries = _record_queries(servers)
    for _ in range(20):
        call = _with_objective(world, world.call(timeout_ms=40.0), 1.0)
        result = world.result(world.send(call))
        assert result.outcome is verdict.Outcome.NOT_RUN
    assert len(queries) == len(servers)
    world.run(0.05)
    world.result(world.send(world.call(timeout_ms=40.0)))
    assert len(queries) == 2 * len(servers)


def test_missing_replies_do_not_refuse_a_request(world):
    """If no sidecar replies, the known samples must select the upstream."""
    server = world.add('u1')
    world.result(world.send(world.call()))
    world.run(1.0)
    original = server.sidecar.handle

    def handle(message, send):
        if not isinstance(message, messages.AdmissionQuery):
            original(message, send)

    server.sidecar.handle = handle
    result = world.result(world.send(world.call()))
    assert result.outcome is verdict.Outcome.ANSWERED
