"""Resets TCP connections."""

from __future__ import annotations

import asyncio
import socket
import struct


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection after the data that is already sent."""
    raw = writer.get_extra_info('socket')
    raw.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()
