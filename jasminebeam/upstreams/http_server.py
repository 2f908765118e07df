"""HTTP server for announcements, health checks and metrics."""

from __future__ import annotations

import typing

from aiohttp import web

# Announcements and heartbeats are a few hundred bytes long.
MAX_BODY_BYTES = 16_384


class HttpServer:
    """Serves a set of routes on one address.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on.
    routes : sequence of web.RouteDef
        Paths and their handlers.
    """

    def __init__(
        self, host: str, port: int, routes: typing.Sequence[web.RouteDef]
    ) -> None:
        self._host = host
        self._port = port
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.add_routes(routes)
        self._runner = web.AppRunner(application, access_log=None)

    async def start(self) -> None:
        """Start listening."""
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()
