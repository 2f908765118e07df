"""HTTP payload that writes a large body in parts."""

from __future__ import annotations

import typing

from aiohttp import abc
from aiohttp import payload

if typing.TYPE_CHECKING:
    from jasminebeam import body_buffer

# Bytes that are written before the reader is awaited. The event loop keeps
# what it cannot send at once, so a whole body would be held twice.
PART_BYTES = 64 * 1024


class LargeBody(payload.Payload):
    """Body that is written in parts, without a copy of the whole."""

    def __init__(self, value: body_buffer.Body) -> None:
        super().__init__(value)
        self._size = len(value)

    @property
    def is_counted(self) -> bool:
        """True if the body has its own room in the byte budget."""
        return isinstance(self._value, memoryview)

    def decode(self, encoding: str = 'utf-8', errors: str = 'strict') -> str:
        """Return the body as text."""
        return bytes(self._value).decode(encoding, errors)

    async def write(self, writer: abc.AbstractStreamWriter) -> None:
        """Write the body; wait until the reader takes each part."""
        view = memoryview(self._value)
        for start in range(0, len(view), PART_BYTES):
            await writer.write(view[start : start + PART_BYTES])

    async def close(self) -> None:
        """Free the body.

        aiohttp refers to a response until the next request of its
        connection.
        """
        self._value = b''
        self._size = 0
        await super().close()


def payload_of(
    body: body_buffer.Body,
) -> body_buffer.Body | LargeBody | None:
    """Return what aiohttp writes for a body; None if it is empty."""
    if len(body) > PART_BYTES:
        return LargeBody(body)
    return body or None
