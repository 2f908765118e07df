"""Runs the scenarios of the guarantees to callers in memory."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest
import pytest_bdd
from pytest_bdd import parsers

from jasminebeam.model import upstreams
from jasminebeam import verdict

pytest_bdd.scenarios('promises.feature')


@dataclasses.dataclass
class Sent:
    """Calls that a scenario has sent, and the tasks that dispatch them."""

    calls: list = dataclasses.field(default_factory=list)
    tasks: list = dataclasses.field(default_factory=list)

    def send(self, world, call):
        """Dispatch a call and record it."""
        self.calls.append(call)
        self.tasks.append(world.send(call))
        world.run(0.01)


@pytest.fixture
def sent():
    """Provide the calls of a scenario."""
    return Sent()


def _prefer(world, name):
    """Make one upstream the cheapest choice."""
    for node_id in world.servers:
        state = world.routes.use(node_id)
        state.round_trip_ms = 1.0 if node_id == name else 200.0


@pytest_bdd.given('a service with the upstreams u1 and u2')
def _service(world):
    world.add('u1')
    world.add('u2')


@pytest_bdd.given('the additional upstreams u3 and u4')
def _additional_upstreams(world):
    world.add('u3')
    world.add('u4')


@pytest_bdd.given(parsers.parse('the connection to {name} is open'))
def _open(world, name):
    server = world.servers[name]
    world.pool.peer(name, server.member.address).connect()
    world.run(0.01)


@pytest_bdd.given(parsers.parse('the connection to {name} goes silent'))
@pytest_bdd.when(parsers.parse('the connection to {name} goes silent'))
def _silence(world, name):
    assert world.servers[name].connections
    world.servers[name].silence()


@pytest_bdd.when(parsers.parse('the connection to {name} is cut'))
def _cut(world, name):
    world.servers[name].cut()


@pytest_bdd.given(parsers.parse('{name} is blocked'))
def _block(world, name):
    world.servers[name].upstream.blocked = asyncio.Event()


@pytest_bdd.when(parsers.parse('{name} is unblocked after {seconds:g} s'))
def _unblock(world, name, seconds):
    world.run(seconds)
    world.servers[name].upstream.blocked.set()


@pytest_bdd.when(parsers.parse('{seconds:g} s pass'))
def _advance_time(world, seconds):
    world.run(seconds)


@pytest_bdd.given(parsers.parse('answers of {name} are held'))
def _hold_answers(world, name):
    world.servers[name].faults.hold_answers = True


@pytest_bdd.given(parsers.parse('requests to {name} are held'))
def _hold_requests(world, name):
    world.servers[name].faults.hold_requests = True


@pytest_bdd.when(parsers.parse('the held requests to {name} arrive'))
def _release_requests(world, name):
    assert world.servers[name].held_requests
    world.servers[name].release_requests()
    world.run(0.1)


@pytest_bdd.when(
    parsers.parse('the held answers of {name} arrive in reverse order')
)
def _release_answers(world, name):
    assert world.servers[name].held_answers
    world.servers[name].faults.hold_answers = False
    world.servers[name].release_answers()
    world.run(0.01)


@pytest_bdd.given(parsers.parse('requests to {name} arrive twice'))
def _duplicate(world, name):
    world.servers[name].faults.duplicate = True


@pytest_bdd.given(
    parsers.re(
        r'(?P<name>u\d) (?P<description>closes connections after receipt'
        r'|refuses connections|sheds requests|fails fast)'
    )
)
def _set_behaviour(world, name, description):
    behaviours = {'closes': 'close', 'refuses': 'refuse', 'sheds': 'shed'}
    behaviour = behaviours.get(description.split()[0], 'fail')
    world.servers[name].upstream.behaviour = behaviour


@pytest_bdd.given(parsers.parse('the slots of {name} are occupied'))
def _occupy_slots(world, sent, name):
    _prefer(world, name)
    server = world.servers[name]
    for _ in range(server.member.slots):
        world.send(world.call('POST', timeout_ms=60_000.0))
    world.run(0.01)
    assert server.sidecar.in_flight == server.member.slots


@pytest_bdd.given(
    parsers.re(
        r'a caller sends an? (?P<kind>non-idempotent|idempotent) '
        r'request to (?P<name>u\d)'
    )
)
@pytest_bdd.when(
    parsers.re(
        r'a caller sends an? (?P<kind>non-idempotent|idempotent) '
        r'request to (?P<name>u\d)'
    )
)
def _send(world, sent, kind, name):
    _prefer(world, name)
    method = 'GET' if kind == 'idempotent' else 'POST'
    sent.send(world, world.call(method))


@pytest_bdd.given(
    parsers.parse('a caller sends {count:d} non-idempotent requests to {name}')
)
def _send_many(world, sent, count, name):
    _prefer(world, name)
    for _ in range(count):
        sent.send(world, world.call())


@pytest_bdd.when(parsers.parse('a caller sends a request with the key {key}'))
def _send_keyed(world, sent, key):
    sent.send(world, world.call(key=key, request_id='keyed', body=b'1'))


@pytest_bdd.when('the caller retries the request')
def _retry(world, sent):
    last = sent.calls[-1]
    deadline_ms = world.loop.now_ms() + 2_000.0
    sent.send(world, dataclasses.replace(last, deadline_ms=deadline_ms))


@pytest_bdd.when(
    parsers.parse('the caller sends a different request with the key {key}')
)
def _send_different(world, sent, key):
    sent.send(world, world.call(key=key, request_id='other', body=b'2'))


@pytest_bdd.when(parsers.parse('the node of {name} restarts'))
def _restart(world, name):
    world.servers[name].restart()


@pytest_bdd.when(parsers.parse('the node of {name} is killed'))
def _kill(world, name):
    world.servers[name].faults.refuse = True
    world.servers[name].cut()


@pytest_bdd.when(parsers.parse('the node of {name} begins a planned stop'))
def _stop(world, name):
    world.servers[name].sidecar.stop()


@pytest_bdd.given(parsers.parse('the upstream {name} drains'))
def _drain(world, name):
    world.servers[name].sidecar.drain()


@pytest_bdd.when('the caller disconnects')
def _disconnect(world, sent):
    sent.tasks[-1].cancel()
    world.run(0.1)


@pytest_bdd.when('the deadline passes')
def _pass_deadline(world):
    world.run(2.5)


@pytest_bdd.then(parsers.re(r'the request is answered'))
def _answered(world, sent):
    result = world.result(sent.tasks[-1])
    assert result.outcome is verdict.Outcome.ANSWERED
    assert result.answer.body == sent.calls[-1].request_id.encode()


@pytest_bdd.then(
    parsers.re(r'the request is answered with status (?P<status>\d+)')
)
def _answered_with(world, sent, status):
    result = world.result(sent.tasks[-1])
    assert result.answer.status == int(status)


@pytest_bdd.then('the request may have run')
def _may_have_run(world, sent):
    result = world.result(sent.tasks[-1])
    assert result.outcome is verdict.Outcome.MAY_HAVE_RUN


@pytest_bdd.then('the request did not run')
def _not_run(world, sent):
    result = world.result(sent.tasks[-1])
    assert result.outcome is verdict.Outcome.NOT_RUN
    world.run(5.0)
    assert world.runs(sent.calls[-1].request_id) == 0


@pytest_bdd.then('the request ran once')
def _ran_once(world, sent):
    world.run(5.0)
    assert world.runs(sent.calls[-1].request_id) == 1


@pytest_bdd.then(parsers.parse('the request ran at {name}'))
def _ran_at(world, sent, name):
    request_id = sent.calls[-1].request_id
    assert world.servers[name].upstream.runs[request_id] == 1
    assert world.runs(request_id) == 1


@pytest_bdd.then('each request has its own answer')
def _each_answered(world, sent):
    for call, task in zip(sent.calls, sent.tasks, strict=True):
        assert world.result(task).answer.body == call.request_id.encode()


@pytest_bdd.then(parsers.parse('{count:d} late answer is dropped'))
def _late_answers_dropped(world, count):
    assert world.count('late_answers') == count


@pytest_bdd.then(parsers.parse('the request at {name} is cancelled'))
def _cancelled(world, name):
    assert world.servers[name].upstream.cancelled == 1
    assert world.servers[name].sidecar.in_flight == 0


@pytest_bdd.then(parsers.parse('the node of {name} is idle'))
def _is_idle(world, name):
    world.loop.run_until_complete(
        asyncio.wait_for(world.servers[name].sidecar.wait_idle(), 1)
    )
    phase = world.servers[name].sidecar.phase
    assert phase is upstreams.Phase.DRAINING
