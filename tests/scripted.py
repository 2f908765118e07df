"""Base of servers whose bytes a test controls."""

from __future__ import annotations

import asyncio
import contextlib

from tests import ports


class Server:
    """Listens on a loopback port; a subclass serves each connection."""

    def __init__(self):
        self.port = ports.free_port()
        self.server = None

    async def start(self):
        """Start listening."""
        self.server = await asyncio.start_server(
            self._serve_until_lost, '127.0.0.1', self.port
        )

    async def _serve_until_lost(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self.serve(reader, writer)
        self.finish(writer)

    async def serve(self, reader, writer):
        """Serve one connection until it is to be closed."""
        raise NotImplementedError

    def finish(self, writer):
        """End a connection."""
        writer.close()
