"""Runs the scenarios of the guarantees to callers in memory."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest
import pytest_bdd
from pytest_bdd import parsers

from jasminebeam.model import upstreams
from jasminebeam import verdict

pytest_bdd.scenarios('guarantees.feature')


@dataclasses.dataclass
class Sent:
    """Calls that a scenario has sent, and the tasks that dispatch them."""

    calls: list = dataclasses.field(default_factory=list)
    tasks: list = dataclasses.field(default_factory=list)

    def send(self, cluster, call):
        """Dispatch a call and record it."""
        self.calls.append(call)
        self.tasks.append(cluster.send(call))
        cluster.run(0.01)


@pytest.fixture
def sent():
    """Provide the calls of a scenario."""
    return Sent()


def _prefer(cluster, name):
    """Make one upstream the cheapest choice."""
    for node_id in cluster.servers:
        state = cluster.routes.get_or_create_state(node_id)
        state.round_trip_ms = 1.0 if node_id == name else 200.0


@pytest_bdd.given('a service with the upstreams u1 and u2')
def _service(cluster):
    cluster.add('u1')
    cluster.add('u2')


@pytest_bdd.given('the additional upstreams u3 and u4')
def _additional_upstreams(cluster):
    cluster.add('u3')
    cluster.add('u4')


@pytest_bdd.given(parsers.parse('the connection to {name} is open'))
def _open(cluster, name):
    server = cluster.servers[name]
    cluster.pool.peer(name, server.member.address).connect()
    cluster.run(0.01)


@pytest_bdd.given(parsers.parse('the connection to {name} goes silent'))
@pytest_bdd.when(parsers.parse('the connection to {name} goes silent'))
def _silence(cluster, name):
    assert cluster.servers[name].connections
    cluster.servers[name].silence()


@pytest_bdd.when(parsers.parse('the connection to {name} is cut'))
def _cut(cluster, name):
    cluster.servers[name].cut()


@pytest_bdd.given(parsers.parse('{name} is blocked'))
def _block(cluster, name):
    cluster.servers[name].upstream.blocked = asyncio.Event()


@pytest_bdd.when(parsers.parse('{name} is unblocked after {seconds:g} s'))
def _unblock(cluster, name, seconds):
    cluster.run(seconds)
    cluster.servers[name].upstream.blocked.set()


@pytest_bdd.when(parsers.parse('{seconds:g} s pass'))
def _advance_time(cluster, seconds):
    cluster.run(seconds)


@pytest_bdd.given(parsers.parse('answers of {name} are held'))
def _hold_answers(cluster, name):
    cluster.servers[name].faults.hold_answers = True


@pytest_bdd.given(parsers.parse('requests to {name} are held'))
def _hold_requests(cluster, name):
    cluster.servers[name].faults.hold_requests = True


@pytest_bdd.when(parsers.parse('the held requests to {name} arrive'))
def _release_requests(cluster, name):
    assert cluster.servers[name].held_requests
    cluster.servers[name].release_requests()
    cluster.run(0.1)


@pytest_bdd.when(
    parsers.parse('the held answers of {name} arrive in reverse order')
)
def _release_answers(cluster, name):
    assert cluster.servers[name].held_answers
    cluster.servers[name].faults.hold_answers = False
    cluster.servers[name].release_answers()
    cluster.run(0.01)


@pytest_bdd.given(parsers.parse('requests to {name} arrive twice'))
def _duplicate(cluster, name):
    cluster.servers[name].faults.duplicate = True


@pytest_bdd.given(
    parsers.re(
        r'(?P<name>u\d) (?P<description>closes connections after receipt'
        r'|refuses connections|sheds requests|fails fast)'
    )
)
def _set_behaviour(cluster, name, description):
    behaviours = {'closes': 'close', 'refuses': 'refuse', 'sheds': 'shed'}
    behaviour = behaviours.get(description.split()[0], 'fail')
    cluster.servers[name].upstream.behaviour = behaviour


@pytest_bdd.given(parsers.parse('the slots of {name} are occupied'))
def _occupy_slots(cluster, sent, name):
    _prefer(cluster, name)
    server = cluster.servers[name]
    for _ in range(server.member.slots):
        cluster.send(cluster.call('POST', timeout_ms=60_000.0))
    cluster.run(0.01)
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
def _send(cluster, sent, kind, name):
    _prefer(cluster, name)
    method = 'GET' if kind == 'idempotent' else 'POST'
    sent.send(cluster, cluster.call(method))


@pytest_bdd.given(
    parsers.parse('a caller sends {count:d} non-idempotent requests to {name}')
)
def _send_many(cluster, sent, count, name):
    _prefer(cluster, name)
    for _ in range(count):
        sent.send(cluster, cluster.call())


@pytest_bdd.when(parsers.parse('a caller sends a request with the key {key}'))
def _send_keyed(cluster, sent, key):
    sent.send(cluster, cluster.call(key=key, request_id='keyed', body=b'1'))


@pytest_bdd.when('the caller retries the request')
def _retry(cluster, sent):
    last = sent.calls[-1]
    deadline_ms = cluster.loop.now_ms() + 2_000.0
    sent.send(cluster, dataclasses.replace(last, deadline_ms=deadline_ms))


@pytest_bdd.when(
    parsers.parse('the caller sends a different request with the key {key}')
)
def _send_different(cluster, sent, key):
    sent.send(cluster, cluster.call(key=key, request_id='other', body=b'2'))


@pytest_bdd.when(parsers.parse('the node of {name} restarts'))
def _restart(cluster, name):
    cluster.servers[name].restart()


@pytest_bdd.when(parsers.parse('the node of {name} is killed'))
def _kill(cluster, name):
    cluster.servers[name].faults.refuse = True
    cluster.servers[name].cut()


@pytest_bdd.when(parsers.parse('the node of {name} begins a graceful stop'))
def _stop(cluster, name):
    cluster.servers[name].sidecar.stop()


@pytest_bdd.given(parsers.parse('the upstream {name} drains'))
def _drain(cluster, name):
    cluster.servers[name].sidecar.drain()


@pytest_bdd.when('the caller disconnects')
def _disconnect(cluster, sent):
    sent.tasks[-1].cancel()
    cluster.run(0.1)


@pytest_bdd.when('the deadline passes')
def _pass_deadline(cluster):
    cluster.run(2.5)


@pytest_bdd.then(parsers.re(r'the request is answered'))
def _answered(cluster, sent):
    result = cluster.result(sent.tasks[-1])
    assert result.outcome is verdict.Outcome.ANSWERED
    assert result.answer.body == sent.calls[-1].request_id.encode()


@pytest_bdd.then(
    parsers.re(r'the request is answered with status (?P<status>\d+)')
)
def _answered_with(cluster, sent, status):
    result = cluster.result(sent.tasks[-1])
    assert result.answer.status == int(status)


@pytest_bdd.then('the request may have run')
def _may_have_run(cluster, sent):
    result = cluster.result(sent.tasks[-1])
    assert result.outcome is verdict.Outcome.MAY_HAVE_RUN


@pytest_bdd.then('the request did not run')
def _not_run(cluster, sent):
    result = cluster.result(sent.tasks[-1])
    assert result.outcome is verdict.Outcome.NOT_RUN
    cluster.run(5.0)
    assert cluster.runs(sent.calls[-1].request_id) == 0


@pytest_bdd.then('the request ran once')
def _ran_once(cluster, sent):
    cluster.run(5.0)
    assert cluster.runs(sent.calls[-1].request_id) == 1


@pytest_bdd.then(parsers.parse('the request ran at {name}'))
def _ran_at(cluster, sent, name):
    request_id = sent.calls[-1].request_id
    assert cluster.servers[name].upstream.runs[request_id] == 1
    assert cluster.runs(request_id) == 1


@pytest_bdd.then('each request has its own answer')
def _each_answered(cluster, sent):
    for call, task in zip(sent.calls, sent.tasks, strict=True):
        assert cluster.result(task).answer.body == call.request_id.encode()


@pytest_bdd.then(parsers.parse('{count:d} late answer is dropped'))
def _late_answers_dropped(cluster, count):
    assert cluster.count('late_answers') == count


@pytest_bdd.then(parsers.parse('the request at {name} is cancelled'))
def _cancelled(cluster, name):
    assert cluster.servers[name].upstream.cancelled == 1
    assert cluster.servers[name].sidecar.in_flight == 0


@pytest_bdd.then(parsers.parse('the node of {name} is idle'))
def _is_idle(cluster, name):
    cluster.loop.run_until_complete(
        asyncio.wait_for(cluster.servers[name].sidecar.wait_idle(), 1)
    )
    phase = cluster.servers[name].sidecar.phase
    assert phase is upstreams.Phase.DRAINING
