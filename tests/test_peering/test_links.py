"""Tests of the liveness check of a connection."""

from __future__ import annotations

from jasminebeam.peering import codec
from jasminebeam.peering import links
from jasminebeam.peering import messages


class _Transport:
    def __init__(self):
        self.sent = []
        self.on_frame = None

    def open(self, address, on_frame, on_closed):
        """Return this object as the opened connection."""
        self.on_frame = on_frame
        return self

    def send(self, frame):
        """Record the decoded message."""
        self.sent.append(codec.decode(frame).unwrap())
        return True

    def close(self):
        """Do nothing."""


def _ready_link():
    transport = _Transport()
    losses = []
    link = links.Link(
        transport,
        'a',
        None,
        lambda *_: None,
        lambda _, loss: losses.append(loss),
    )
    link.state = links.LinkState.READY
    return link, transport, losses


def test_connection_with_traffic_sends_no_pings():
    """Received messages show that the connection still works."""
    link, transport, losses = _ready_link()
    for nonce in range(20):
        transport.on_frame(codec.encode(messages.Pong(0)))
        link.tick(nonce)
    assert not transport.sent
    assert not losses


def test_silent_connection_is_lost_after_its_pings():
    """A connection without received messages is lost after its pings."""
    link, transport, losses = _ready_link()
    for nonce in range(links.MAX_SILENT_TICKS + 1):
        link.tick(nonce)
    assert len(transport.sent) == links.MAX_SILENT_TICKS
    assert [loss.reason for loss in losses] == ['silent']
