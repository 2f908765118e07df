"""Servers for heartbeats, readiness checks and scrapers of metrics."""

from __future__ import annotations

import typing

from aiohttp import web
import msgspec

from jasminebeam.model import upstreams
from jasminebeam.platform import settings
from jasminebeam.platform import wire
from jasminebeam.telemetry import events
from jasminebeam.upstreams import lifecycle

if typing.TYPE_CHECKING:
    from jasminebeam import node as node_module

_STATES = ('ready', 'draining')


class _Info(msgspec.Struct, frozen=True):
    service: str
    slots: int


class _Status(msgspec.Struct, frozen=True, rename='camel'):
    state: str
    sequence: int
    cold_remaining_ms: float = 0


class _Heartbeat(msgspec.Struct, frozen=True):
    address: str
    info: _Info
    status: _Status
    # Wall-clock ms of the upstream's start.
    born: int = 0


class _Leave(msgspec.Struct, frozen=True):
    born: int = 0


class Heartbeats:
    """Decodes what the upstream says of itself.

    Parameters
    ----------
    node : Node
        Acts on it.
    """

    def __init__(self, node: node_module.Node) -> None:
        self._node = node
        path = wire.HEARTBEATS_PATH + '{upstream_id}'
        self.routes = [
            web.put(path, self._beat),
            web.delete(path, self._leave),
        ]

    async def _beat(self, request: web.Request) -> web.Response:
        try:
            beat = msgspec.json.decode(await request.read(), type=_Heartbeat)
            decoded = self._decode(request.match_info['upstream_id'], beat)
        except (msgspec.DecodeError, ValueError) as error:
            return self._refuse(error)
        self._node.on_heartbeat(decoded)
        return web.json_response({})

    async def _leave(self, request: web.Request) -> web.Response:
        body = await request.read()
        try:
            leave = msgspec.json.decode(body or b'{}', type=_Leave)
        except msgspec.DecodeError as error:
            return self._refuse(error)
        self._node.on_upstream_leave(
            request.match_info['upstream_id'], leave.born
        )
        return web.json_response({})

    def _decode(
        self, upstream_id: str, beat: _Heartbeat
    ) -> lifecycle.Heartbeat:
        address = settings.parse_address(beat.address)
        if beat.status.state not in _STATES:
            raise ValueError(f'state {beat.status.state!r} is unknown')
        if beat.info.slots < 1 or not beat.info.service:
            raise ValueError('service and slots are required')
        known = self._node.route_sets
        if known.revision and known.service(beat.info.service) is None:
            raise ValueError(f'service {beat.info.service!r} is unknown')
        announcement = upstreams.Announcement(
            service=beat.info.service,
            port=address.port,
            slots=beat.info.slots,
            cold_start_ms=int(beat.status.cold_remaining_ms),
            load_path=known.health_path(beat.info.service),
            host=address.host,
            upstream_id=upstream_id,
        )
        return lifecycle.Heartbeat(
            announcement,
            beat.born,
            beat.status.sequence,
            draining=beat.status.state != 'ready',
        )

    def _refuse(self, error: Exception) -> web.Response:
        self._node.log.write(events.Event.HEARTBEAT_REFUSED, cause=error)
        self._node.metrics.heartbeats_refused.inc()
        return web.json_response({'error': str(error)}, status=400)


def readiness(node: node_module.Node) -> web.RouteDef:
    """Return the handler of readiness checks."""

    async def answer(request: web.Request) -> web.Response:
        return web.Response(status=200 if node.ready else 503)

    return web.get(wire.READINESS_PATH, answer)


def metrics(node: node_module.Node) -> web.RouteDef:
    """Return the handler for scrapers of metrics."""

    async def answer(request: web.Request) -> web.Response:
        return web.Response(
            body=node.metrics.render(),
            headers={'Content-Type': 'text/plain; version=0.0.4'},
        )

    return web.get('/metrics', answer)
