"""Tests of the registry that runs each request at most once."""

from __future__ import annotations

import copy
import dataclasses

import pytest

from jasminebeam.model import requests
from jasminebeam.retries import registry
from jasminebeam import verdict

ANSWER = verdict.answered(requests.Answer(200, (), b'x' * 10))
DEPTH = 7


@dataclasses.dataclass
class Sidecar:
    """One sidecar process and what it has reported about one request."""

    registry: registry.RequestRegistry
    request_id: registry.RequestId
    now_ms: float = 0.0
    started: int = 0
    reported_not_run: bool = False


def _create(registry_type=registry.RequestRegistry):
    limits = registry.Limits(sessions=2, entries=2, retention_ms=10.0)
    created = registry_type(limits)
    return Sidecar(created, (created.open_session(), 1))


def _deliver(sidecar):
    sidecar.registry.accept(sidecar.request_id, sidecar.now_ms)


def _start(sidecar):
    if sidecar.registry.start(sidecar.request_id, sidecar.now_ms):
        sidecar.started += 1


def _finish(sidecar):
    state = sidecar.registry.state(sidecar.request_id)
    if state is registry.State.STARTED:
        sidecar.registry.finish(sidecar.request_id, ANSWER, sidecar.now_ms)


def _revoke(sidecar):
    state = sidecar.registry.revoke(sidecar.request_id, sidecar.now_ms)
    if state is registry.State.REVOKED:
        sidecar.reported_not_run = True


def _expire(sidecar):
    sidecar.now_ms += 100.0
    sidecar.registry.expire(sidecar.now_ms)


def _fill_registry(sidecar):
    for sequence in (2, 3, 4):
        other = (sidecar.request_id[0], sequence)
        if sidecar.registry.accept(other, 0.0) is registry.State.NEW:
            sidecar.registry.finish(other, ANSWER, sidecar.now_ms)


def _evict_session(sidecar):
    sidecar.registry.open_session()
    sidecar.registry.open_session()


STEPS = (
    _deliver,
    _start,
    _finish,
    _revoke,
    _expire,
    _fill_registry,
    _evict_session,
)


def _explore_orders(sidecar, depth):
    assert sidecar.started <= 1
    assert not (sidecar.reported_not_run and sidecar.started)
    if not depth:
        return 1
    count = 1
    for step in STEPS:
        branch = copy.deepcopy(sidecar)
        step(branch)
        if state_of(branch) != state_of(sidecar):
            count += _explore_orders(branch, depth - 1)
    return count


def state_of(sidecar):
    """Return a sidecar's complete state, to skip steps without effect."""
    return (
        sidecar.started,
        sidecar.reported_not_run,
        sidecar.now_ms,
        vars(sidecar.registry),
    )


def test_any_order_of_messages_runs_a_request_at_most_once():
    """No order of messages may run a request twice or after a revocation.

    The test explores every order of deliveries, revocations and evictions.
    """
    assert _explore_orders(_create(), DEPTH) > 1_000


class _WithoutFloor(registry.RequestRegistry):
    """Evicts entries without raising the floor of their session."""

    def _evict_oldest(self):
        self._finished.popitem(last=False)


class _WithoutRevocationRecord(registry.RequestRegistry):
    """Does not record which requests it has revoked."""

    def revoke(self, request_id, now_ms):
        """Revoke a request and discard the record of the revocation."""
        state = super().revoke(request_id, now_ms)
        self._finished.pop(request_id, None)
        return state


@pytest.mark.parametrize(
    'registry_type', [_WithoutFloor, _WithoutRevocationRecord]
)
def test_exploration_detects_a_missing_mechanism(registry_type):
    """The exploration must fail for a registry without the mechanism.

    A request then runs twice, or runs after its revocation.
    """
    with pytest.raises(AssertionError):
        _explore_orders(_create(registry_type), DEPTH)


def test_evicted_request_is_unknown_and_not_new():
    """A duplicate of an evicted request must not start again."""
    sidecar = _create()
    _deliver(sidecar)
    _start(sidecar)
    _finish(sidecar)
    _expire(sidecar)
    state = sidecar.registry.state(sidecar.request_id)
    assert state is registry.State.UNKNOWN


def test_finished_request_keeps_its_answer():
    """A revocation must not discard the answer of a finished request."""
    sidecar = _create()
    _deliver(sidecar)
    _start(sidecar)
    _finish(sidecar)
    found = sidecar.registry.revoke(sidecar.request_id, 0.0)
    assert found is registry.State.DONE
    assert sidecar.registry.result(sidecar.request_id) == ANSWER


def test_kept_answers_are_bounded():
    """New answers must evict the oldest ones at the size limit."""
    limits = registry.Limits(answer_bytes=25)
    tested = registry.RequestRegistry(limits)
    session = tested.open_session()
    for sequence in range(1, 6):
        tested.accept((session, sequence), 0.0)
        tested.start((session, sequence), 0.0)
        tested.finish((session, sequence), ANSWER, 0.0)
    assert tested.result((session, 5)) == ANSWER
    assert tested.result((session, 1)) is None
    assert tested.state((session, 1)) is registry.State.UNKNOWN
