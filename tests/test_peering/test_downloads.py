"""Tests of large requests that travel in parts."""

from __future__ import annotations

import asyncio
import gc

import pytest

from jasminebeam.admission import byte_budget
from jasminebeam import budget_sweeper
from jasminebeam.model import upstreams
from jasminebeam.peering import body_messages
from jasminebeam.peering import codec
from jasminebeam.peering import downloads
from jasminebeam.peering import messages
from jasminebeam.peering import uploads
from jasminebeam.retries import registry
from jasminebeam.sidecar import announced
from jasminebeam.telemetry import events
from jasminebeam.telemetry import metrics

BODY = bytes(range(256)) * 4_000
LIMITS = byte_budget.Limits(4_000_000, 3_000_000, 9, 9)
SAMPLE = upstreams.LoadSample(1, 0, 0, 9, 0, 0, -1, upstreams.Phase.READY)


class _Sidecar:
    """Sidecar that keeps complete requests."""

    boot_id = 7

    def __init__(self):
        self.requests = registry.RequestRegistry(
            registry.Limits(entries=2, answer_bytes=10)
        )
        self.session = self.requests.open_session()
        self.announced = announced.AnnouncedRequests(self.requests)
        self.handled = []

    def handle(self, message, send):
        self.handled.append(message)

    def sample(self, now_ms):
        return SAMPLE


class _Link:
    """Link that delivers to the receiver, through the codec."""

    carries_frames = True

    def __init__(self, receiver, sent):
        self._handlers = {
            body_messages.LargeRequest: receiver.on_large_request,
            body_messages.BodyPart: receiver.on_part,
            messages.Revoke: receiver.on_withdrawal,
        }
        self.messages = []
        self._replies = sent

    def send(self, message):
        self.messages.append(message)
        frame = codec.encode(message)
        decoded = codec.decode(frame).unwrap()
        self._handlers[type(decoded)](decoded, self._replies.append, 1)
        return len(frame)


class _World:
    def __init__(self):
        self.now_ms = 0.0
        self.sidecar = _Sidecar()
        self.budget = byte_budget.ByteBudget(LIMITS)
        self.counters = metrics.Metrics()
        self.receiver = downloads.Downloads(
            self.sidecar,
            budget_sweeper.BudgetSweeper(self.budget, lambda: self.now_ms),
            events.EventLog('node', self.counters),
            self.counters,
        )
        self.replies = []
        self.link = _Link(self.receiver, self.replies)
        self.uploads = uploads.Uploads()

    def request(self, sequence=1, body=BODY):
        return messages.Request(
            self.sidecar.boot_id,
            self.sidecar.session,
            sequence,
            1_000_000,
            0,
            'id',
            'fees',
            'POST',
            '/',
            (),
            body,
            False,
            '',
            objective_left_us=500_000,
        )

    def pump(self):
        """Answer the credits until there are none."""
        while self.replies and isinstance(
            self.replies[0], body_messages.BodyCredit
        ):
            self.uploads.on_credit(self.link, self.replies.pop(0))


@pytest.fixture
async def world():
    """Provide an ingress and a receiver."""
    return _World()


async def test_large_request_exceeded_the_limit_of_frames(world):
    """A large request arrives whole, in parts, with the time that is left."""
    world.uploads.send(world.link, world.request())
    world.now_ms = 100.0
    world.pump()
    (handled,) = world.sidecar.handled
    assert bytes(handled.body) == BODY
    assert handled.time_left_us == 900_000
    assert handled.objective_left_us == 400_000
    assert world.budget.body_bytes == len(BODY)
    largest = max(len(codec.encode(sent)) for sent in world.link.messages)
    assert largest < 2 * uploads.PART_BYTES


async def test_small_request_was_sent_in_parts(world):
    """A small request is sent as before."""
    request = world.request(body=b'x' * uploads.MAX_INLINE_BYTES)
    world.link._handlers[messages.Request] = lambda *_: None
    world.uploads.send(world.link, request)
    assert world.link.messages == [request]


async def test_ingress_sent_more_than_its_window(world):
    """No more is on its way than the receiver has allowed."""
    world.uploads.send(world.link, world.request())
    (credit,) = world.replies
    assert credit.end == downloads.WINDOW_BYTES
    world.uploads.on_credit(world.link, credit)
    sent_bytes = sum(
        len(sent.data)
        for sent in world.link.messages
        if isinstance(sent, body_messages.BodyPart)
    )
    assert sent_bytes == downloads.WINDOW_BYTES


async def test_request_without_room_is_refused_as_not_run(world):
    """A refused request has not run, and its body is not sent."""
    for sequence in range(1, 5):
        world.uploads.send(world.link, world.request(sequence))
    failures = [
        reply for reply in world.replies if isinstance(reply, messages.Failure)
    ]
    assert [failure.sequence for failure in failures] == [3, 4]
    assert not any(failure.may_have_run for failure in failures)
    refused = world.counters.refusals.labels('body_no_room')
    assert refused._value.get() == 2


async def test_duplicate_and_foreign_parts_changed_the_body(world):
    """Only the next part within the window is taken."""
    world.uploads.send(world.link, world.request())
    request_id = (world.sidecar.session, 1)
    for start, data in ((64, b'gap'), (0, b'first'), (0, b'again')):
        part = body_messages.BodyPart(*request_id, start, data)
        world.receiver.on_part(part, world.replies.append, 1)
    (download,) = world.receiver._downloads.values()
    assert download.buffer.length_bytes == len(b'first')


async def test_revoked_request_ran_when_its_body_was_complete(world):
    """A revocation returns the room; later parts are ignored."""
    world.uploads.send(world.link, world.request())
    world.link.send(
        messages.Revoke(world.sidecar.boot_id, world.sidecar.session, 1)
    )
    world.sidecar.handled.clear()
    world.pump()
    assert not world.sidecar.handled
    assert not world.budget.body_bytes


async def test_stopped_body_kept_its_room(world):
    """A body that stops ends at its deadline, as not run."""
    world.uploads.send(world.link, world.request())
    world.now_ms = 1_001.0
    world.budget.sweep(world.now_ms)
    failure = world.replies[-1]
    assert failure.reason == 'deadline'
    assert not failure.may_have_run
    assert not world.budget.body_bytes


async def test_request_was_stale_after_later_ones_had_ended(world):
    """The registry knows a request from its announcement on."""
    world.uploads.send(world.link, world.request())
    requests = world.sidecar.requests
    for sequence in range(2, 9):
        request_id = (world.sidecar.session, sequence)
        requests.accept(request_id, 0.0)
        requests.finish(request_id, None, 0.0)
    world.pump()
    accepted = world.sidecar.announced.accept((world.sidecar.session, 1), 0.0)
    assert accepted is registry.State.NEW


async def test_room_of_a_finished_request_was_not_returned(world):
    """The room is returned once nothing refers to the body."""
    world.uploads.send(world.link, world.request())
    world.pump()
    assert world.budget.body_bytes == len(BODY)
    world.sidecar.handled.clear()
    gc.collect()
    await asyncio.sleep(0)
    assert not world.budget.body_bytes
