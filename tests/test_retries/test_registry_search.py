"""Bounded exhaustive search over the registry's messages."""

from __future__ import annotations

import itertools

import pytest

from jasminebeam.retries import registry
from jasminebeam import verdict

# Small enough that each fill evicts what has ended before.
LIMITS = registry.Limits(
    sessions=2, entries=2, retention_ms=50.0, answer_bytes=1_000
)
DONE = verdict.may_have_run(verdict.Reason.CANCELLED)
DEPTH = 6


class _World:
    """One request, its duplicates and revocations, and other requests."""

    def __init__(self, kind: type[registry.RequestRegistry]) -> None:
        self.registry = kind(LIMITS)
        self.session = self.registry.open_session()
        self.request_id = (self.session, 1)
        self.sequence = 1
        self.now_ms = 0.0
        self.may_start = False
        self.runs = 0
        self.refused = False

    def arrive(self) -> None:
        """Let the original or a duplicate arrive."""
        state = self.registry.accept(self.request_id, self.now_ms)
        self.may_start = self.may_start or state is registry.State.NEW

    def start(self) -> None:
        """Hand the request over if the registry allows it."""
        if self.may_start:
            self.may_start = False
            self.runs += self.registry.start(self.request_id, self.now_ms)

    def finish(self) -> None:
        """End the run."""
        if self.runs:
            self.registry.finish(self.request_id, DONE, self.now_ms)

    def revoke(self) -> None:
        """Ask for a proof that it has not run and never will."""
        state = self.registry.revoke(self.request_id, self.now_ms)
        self.refused = self.refused or state is registry.State.REVOKED

    def fill(self) -> None:
        """Let other requests of the session begin and end."""
        for _ in range(LIMITS.entries):
            self.sequence += 1
            other = (self.session, self.sequence)
            self.registry.accept(other, self.now_ms)
            self.registry.start(other, self.now_ms)
            self.registry.finish(other, DONE, self.now_ms)

    def expire(self) -> None:
        """Let the retention pass."""
        self.now_ms += LIMITS.retention_ms + 1.0
        self.registry.expire(self.now_ms)


STEPS = ('arrive', 'start', 'finish', 'revoke', 'fill', 'expire')


def _first_violation(
    kind: type[registry.RequestRegistry],
) -> tuple[str, ...] | None:
    """Return the first order of steps that breaks a promise."""
    for order in itertools.product(STEPS, repeat=DEPTH):
        world = _World(kind)
        for step in order:
            getattr(world, step)()
        if world.runs > 1 or (world.runs and world.refused):
            return order
    return None


class _WithoutFloor(registry.RequestRegistry):
    """Evicts entries without raising the floor of their session."""

    def _evict_oldest(self) -> None:
        self._finished.popitem(last=False)


class _WithoutRevocations(registry.RequestRegistry):
    """Does not remember what it has revoked."""

    def revoke(
        self, request_id: registry.RequestId, now_ms: float
    ) -> registry.State:
        """Forget the revocation at once."""
        state = super().revoke(request_id, now_ms)
        self._finished.pop(request_id, None)
        return state


def test_no_order_of_messages_runs_a_request_twice_or_after_a_refusal():
    """All orders of six steps keep both promises."""
    assert _first_violation(registry.RequestRegistry) is None


@pytest.mark.parametrize('kind', [_WithoutFloor, _WithoutRevocations])
def test_search_notices_a_missing_mechanism(kind):
    """Without the mechanism some order breaks a promise."""
    assert _first_violation(kind) is not None
