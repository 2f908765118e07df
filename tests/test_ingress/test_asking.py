"""Tests of asking sidecars before a request is sent."""

from __future__ import annotations

import asyncio
import dataclasses

from jasminebeam.peering import messages
from jasminebeam import verdict


def _fill(cluster, server, count):
    """Occupy slots of one upstream; nothing there ends."""
    server.upstream.blocked = asyncio.Event()
    peer = cluster.pool.peer(server.member.node_id, server.member.address)

    async def submit():
        for _ in range(count):
            peer.submit(cluster.call(timeout_ms=60_000.0), 1_000.0)

    cluster.loop.run_until_complete(submit())
    cluster.run(0.05)


def _count_queries(servers):
    """Return a list that grows with each question to a sidecar."""
    asked = []

    def watch(server):
        handle = server.sidecar.handle

        def watched(message, send):
            if isinstance(message, messages.AdmissionQuery):
                asked.append(message)
            handle(message, send)

        server.sidecar.handle = watched

    for server in servers:
        watch(server)
    return asked


def _objective(cluster, call, objective_ms):
    return dataclasses.replace(
        call, objective_ms=cluster.loop.now_ms() + objective_ms, route='r'
    )


def test_request_goes_where_there_is_room_whatever_the_samples_say(cluster):
    """A sample from before a burst still shows the slots as free."""
    full, free = cluster.add('full'), cluster.add('free')
    cluster.result(cluster.send(cluster.call()))
    _fill(cluster, full, 2)
    cluster.run(1.0)
    cluster.routes.get_or_create_state('full').sample = None
    cluster.routes.get_or_create_state('free').round_trip_ms = 50.0
    call = cluster.call()
    cluster.result(cluster.send(call))
    assert free.upstream.runs[call.request_id] == 1


def test_request_that_all_refuse_is_refused_at_once_and_never_sent(cluster):
    """Overload: the caller learns within two round trips, for few bytes."""
    servers = [cluster.add(f'u{number}', slots=1) for number in range(3)]
    for server in servers:
        _fill(cluster, server, 1)
    started_ms = cluster.loop.now_ms()
    call = _objective(cluster, cluster.call(timeout_ms=40.0), 1.0)
    result = cluster.result(cluster.send(call))
    assert result.outcome is verdict.Outcome.NOT_RUN
    assert cluster.loop.now_ms() - started_ms < 10.0
    assert cluster.runs(call.request_id) == 0


def test_questions_do_not_multiply_under_overload(cluster):
    """What all have refused a moment ago is not asked again."""
    servers = [cluster.add(f'u{number}', slots=1) for number in range(3)]
    for server in servers:
        _fill(cluster, server, 1)
    asked = _count_queries(servers)
    for _ in range(20):
        call = _objective(cluster, cluster.call(timeout_ms=40.0), 1.0)
        result = cluster.result(cluster.send(call))
        assert result.outcome is verdict.Outcome.NOT_RUN
    assert len(asked) == len(servers)
    cluster.run(0.05)
    cluster.result(cluster.send(cluster.call(timeout_ms=40.0)))
    assert len(asked) == 2 * len(servers)


def test_silence_of_all_sidecars_does_not_refuse(cluster):
    """Without any reply the request is sent by what is known."""
    server = cluster.add('u1')
    cluster.result(cluster.send(cluster.call()))
    cluster.run(1.0)
    held = server.sidecar.handle

    def handle(message, send):
        if not isinstance(message, messages.AdmissionQuery):
            held(message, send)

    server.sidecar.handle = handle
    result = cluster.result(cluster.send(cluster.call()))
    assert result.outcome is verdict.Outcome.ANSWERED
