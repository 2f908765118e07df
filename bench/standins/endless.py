"""Bytes without end in place of a response."""

from __future__ import annotations

import asyncio
import typing

if typing.TYPE_CHECKING:
    from aiohttp import web

INTERIM_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
BLOCK = INTERIM_RESPONSE * 400

# Bytes that wait for the peer before more are written.
MAX_UNREAD_BYTES = 64 * 1024
PAUSE_S = 0.001


async def send_interim_responses(request: web.BaseRequest) -> None:
    """Answer a request with interim responses until the peer closes."""
    transport = request.transport
    while transport is not None and not transport.is_closing():
        if transport.get_write_buffer_size() < MAX_UNREAD_BYTES:
            transport.write(BLOCK)
            await asyncio.sleep(0)
        else:
            await asyncio.sleep(PAUSE_S)
