"""Encoding of the messages between nodes."""

from __future__ import annotations

import msgspec
from returns import result

from jasminebeam import inputs
from jasminebeam.peering import messages

_PREFIX = bytes([messages.PROTOCOL_VERSION])
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(messages.AnyMessage)


def encode(message: messages.Message) -> bytes:
    """Return the frame of a message: a version byte and a msgpack body.

    Examples
    --------
    >>> decode(encode(messages.Ping(7))).unwrap()
    Ping(nonce=7)
    """
    return _PREFIX + _encoder.encode(message)


def decode(frame: bytes) -> result.Result[messages.Message, str]:
    """Return the message of a frame, or the reason for refusing it.

    Examples
    --------
    >>> decode(b'').failure()
    'unsupported protocol version'
    """
    if frame[:1] != _PREFIX:
        return result.Failure('unsupported protocol version')
    return inputs.decode(_decoder, memoryview(frame)[1:])
