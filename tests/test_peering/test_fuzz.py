"""Fuzz tests with damaged frames and with arbitrary bytes."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import msgspec
from returns import result

from jasminebeam.model import upstreams
from jasminebeam.peering import codec
from jasminebeam.peering import messages
from jasminebeam.peering import peers
from jasminebeam.telemetry import events
from jasminebeam.telemetry import metrics

SAMPLE = upstreams.LoadSample(1, 2, 3, 9, 5, 6, -1, upstreams.Phase.READY)
FRAMES = [
    codec.encode(message)
    for message in (
        messages.Hello('n', 1),
        messages.Welcome(1, 2, SAMPLE),
        messages.AdmissionQuery(7, 's', 'r', 0, 1_000, -5),
        messages.TeamAdmissionQuery(7, 's', 'r', 0, 1_000, -5, 'red'),
        messages.AdmissionReply(7, 'busy', 10, SAMPLE),
        messages.Reply(1, 2, 200, (('A', 'b'),), b'body', SAMPLE),
        messages.Failure(1, 2, False, 'busy', SAMPLE),
        messages.UpstreamNotice('u', 7, 8.5, 10, True),
    )
]


@hypothesis.settings(max_examples=300)
@hypothesis.given(
    strategies.sampled_from(FRAMES),
    strategies.integers(0, 200),
    strategies.binary(max_size=4),
)
def test_damaged_frame_is_decoded_or_refused(frame, offset, inserted):
    """Decoding a damaged frame raises no exception."""
    offset %= len(frame)
    damaged = frame[:offset] + inserted + frame[offset + len(inserted) :]
    assert isinstance(codec.decode(damaged), result.Result)


@hypothesis.settings(max_examples=200)
@hypothesis.given(strategies.binary(max_size=64))
def test_arbitrary_frame_is_decoded_or_refused(body):
    """Decoding raises no exception, with or without a valid version."""
    version = bytes([messages.PROTOCOL_VERSION])
    for frame in (body, version + body):
        assert isinstance(codec.decode(frame), result.Result)


@hypothesis.settings(max_examples=200)
@hypothesis.given(
    strategies.sampled_from(FRAMES), strategies.integers(0, 1 << 40)
)
def test_unsolicited_message_changes_nothing(frame, nonce):
    """Late and unsolicited replies are dropped and counted."""
    message = codec.decode(frame).unwrap()
    if hasattr(message, 'nonce'):
        message = msgspec.structs.replace(message, nonce=nonce)
    counters = metrics.Metrics()
    log = events.EventLog('test', counters)
    peer = peers.Peer(None, _Observer(), lambda: 0.0, log, counters)
    handler = peer._handlers.get(type(message))
    if handler is not None and not isinstance(message, messages.Welcome):
        handler(message)
    assert not peer.busy


class _Observer:
    def on_sample(self, sample, now_ms):
        """Ignore a load sample."""

    def on_round_trip(self, round_trip_ms):
        """Ignore a round-trip time."""

    def on_notice(self, notice, boot_id, now_ms):
        """Ignore a notice."""

    def on_no_notice(self, boot_id):
        """Ignore that there is no notice."""
