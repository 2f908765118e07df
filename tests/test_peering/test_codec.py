"""Tests of decoding invalid frames and frames of another version."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
from returns import result

from jasminebeam.peering import codec
from jasminebeam.peering import messages


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(frame):
    """Decoding arbitrary bytes raises no exception."""
    for data in (frame, b'\x01' + frame):
        decoded = codec.decode(data)
        if isinstance(decoded, result.Success):
            assert isinstance(decoded.unwrap(), messages.Message)


def test_other_version_is_refused():
    """The first byte of a frame is the protocol version."""
    frame = codec.encode(messages.Ping(1))
    assert isinstance(codec.decode(b'\x02' + frame[1:]), result.Failure)
