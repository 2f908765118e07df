"""Loopback HTTP server: announcements, drain, health and metrics."""

from __future__ import annotations

import typing

from aiohttp import web
import msgspec
from returns import result

from jasminebeam import inputs
from jasminebeam.model import upstreams
from jasminebeam.upstreams import http_server

if typing.TYPE_CHECKING:
    from jasminebeam.telemetry import metrics


_decoder = msgspec.json.Decoder(upstreams.Announcement)
_RANGES = (
    ('port', 1, inputs.MAX_PORT),
    ('slots', 1, inputs.MAX_COUNT),
    ('connections', 1, inputs.MAX_COUNT),
    ('cold_start_ms', 0, inputs.MAX_DURATION_MS),
    ('shed_status', 0, 999),
    ('started_ms', 0, inputs.MAX_WALL_MS),
)


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
        decoded = inputs.decode(_decoder, await request.read())
        if not isinstance(decoded, result.Success):
            return web.json_response({'error': decoded.failure()}, status=400)
        announcement = decoded.unwrap()
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
    for name, low, high in _RANGES:
        if not low <= getattr(announcement, name) <= high:
            return f'{name}: must be between {low} and {high}'
    if not inputs.is_address(f'{announcement.host}:{announcement.port}'):
        return 'host: must be a name or an IP address'
    return ''
