"""Tests of the checks of one connection."""

from __future__ import annotations

from jasminebeam.peering import codec
from jasminebeam.peering import links
from jasminebeam.peering import messages


class _Transport:
    def __init__(self):
        self.sent = []
        self.on_frame = None

    def open(self, address, on_frame, on_closed):
        """Return this object as the connection."""
        self.on_frame = on_frame
        return self

    def send(self, frame):
        """Keep the message."""
        self.sent.append(codec.decode(frame).unwrap())
        return True

    def close(self):
        """Do nothing."""


def _link():
    transport = _Transport()
    lost = []
    link = links.Link(
        transport,
        'a',
        None,
        lambda *_: None,
        lambda _, reason: lost.append(reason),
    )
    link.state = links.LinkState.READY
    return link, transport, lost


def test_connection_with_traffic_costs_no_pings():
    """What arrives shows that it delivers."""
    link, transport, lost = _link()
    for nonce in range(20):
        transport.on_frame(codec.encode(messages.Pong(0)))
        link.tick(nonce)
    assert not transport.sent
    assert not lost


def test_silent_connection_is_lost_after_its_pings():
    """Nothing arrives any more."""
    link, transport, lost = _link()
    for nonce in range(links.SILENT_TICKS + 1):
        link.tick(nonce)
    assert len(transport.sent) == links.SILENT_TICKS
    assert [reason.reason for reason in lost] == ['silent']
