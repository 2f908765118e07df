"""Loopback HTTP server: announcements, drain, health and metrics."""

from __future__ import annotations

import typing

from aiohttp import web
import msgspec

from jasminebeam.model import upstreams
from jasminebeam.upstreams import http_server

if typing.TYPE_CHECKING:
    from jasminebeam.telemetry import metrics


class AnnouncementTarget(typing.Protocol):
    """Receiver of the upstream's announcements and drain requests."""

    def attach_upstream(self, announcement: upstreams.Announcement) -> None:
        """Put an upstream into service."""

    def drain_upstream(self) -> int:
        """Start draining; return the number of requests in flight."""


class AnnouncementServer:
    """HTTP server for the node's local upstream and metrics scrapers.

    Parameters
    ----------
    target : AnnouncementTarget
        Receives announcements and drain requests.
    counters : Metrics
        Metrics to serve.
    port : int
        Port on the loopback address.
    """

    def __init__(
        self,
        target: AnnouncementTarget,
        counters: metrics.Metrics,
        port: int,
    ) -> None:
        self._target = target
        self._counters = counters
        self._server = http_server.HttpServer(
            '127.0.0.1',
            port,
            [
                web.post('/announce', self._announce),
                web.post('/drain', self._drain),
                web.get('/metrics', self._metrics),
                web.get('/health', self._health),
            ],
        )

    async def start(self) -> None:
        """Start listening on the loopback address."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop()

    async def _announce(self, request: web.Request) -> web.Response:
        try:
            announcement = msgspec.json.decode(
                await request.read(), type=upstreams.Announcement
            )
        except msgspec.DecodeError as error:
            return web.json_response({'error': str(error)}, status=400)
        problem = _check(announcement)
        if problem:
            return web.json_response({'error': problem}, status=400)
        self._target.attach_upstream(announcement)
        return web.json_response({'accepted': True})

    async def _drain(self, request: web.Request) -> web.Response:
        in_flight = self._target.drain_upstream()
        return web.json_response({'in_flight': in_flight})

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._counters.render(),
            headers={'Content-Type': 'text/plain; version=0.0.4'},
        )

    async def _health(self, request: web.Request) -> web.Response:
        return web.json_response({'alive': True})


def _check(announcement: upstreams.Announcement) -> str:
    """Return the error in an announcement; empty if it is valid."""
    if not announcement.service:
        return 'service: must not be empty'
    if not 1 <= announcement.port <= 65_535:
        return 'port: must be between 1 and 65535'
    if announcement.slots < 1:
        return 'slots: must be at least 1'
    if announcement.connections < 1:
        return 'connections: must be at least 1'
    if announcement.cold_start_ms < 0:
        return 'cold_start_ms: must not be negative'
    return ''
