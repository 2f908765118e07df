"""HTTP handlers for heartbeats, readiness checks and metrics."""

from __future__ import annotations

import typing

from aiohttp import web
import msgspec
from returns import result

from jasminebeam import inputs
from jasminebeam.model import upstreams
from jasminebeam.platform import wire
from jasminebeam.telemetry import events
from jasminebeam.upstreams import lifecycle

if typing.TYPE_CHECKING:
    from jasminebeam import adapters

_HEARTBEAT_STATES = ('ready', 'draining')


class _Info(msgspec.Struct, frozen=True):
    service: inputs.Name
    version: str
    zone: str
    slots: inputs.PositiveCount


class _Status(msgspec.Struct, frozen=True, rename='camel'):
    state: str
    sequence: inputs.SequenceNumber
    # Time until the upstream reaches full speed.
    cold_remaining_ms: inputs.DurationMs


class _Heartbeat(msgspec.Struct, frozen=True):
    address: str
    info: _Info
    status: _Status
    # Start time of the upstream in ms since the epoch.
    born: inputs.StartMs


class _LeaveNotice(msgspec.Struct, frozen=True):
    born: inputs.WallMs = 0


_heartbeat_decoder = msgspec.json.Decoder(_Heartbeat)
_leave_decoder = msgspec.json.Decoder(_LeaveNotice)


class HeartbeatHandler:
    """Receives the upstream's heartbeats and leave notices.

    Parameters
    ----------
    node : Node
        Node that acts on the decoded messages.
    """

    def __init__(self, node: adapters.Node) -> None:
        self._node = node
        path = wire.HEARTBEATS_PATH + '{upstream_id}'
        self.routes = [
            web.put(path, self._on_heartbeat),
            web.delete(path, self._on_leave),
        ]

    async def _on_heartbeat(self, request: web.Request) -> web.Response:
        upstream_id = request.match_info['upstream_id']
        body = inputs.decode(_heartbeat_decoder, await request.read())
        decoded = body.bind(
            lambda heartbeat: self._convert(upstream_id, heartbeat)
        )
        if not isinstance(decoded, result.Success):
            return self._refuse(decoded.failure())
        self._node.on_heartbeat(decoded.unwrap())
        return web.json_response({})

    async def _on_leave(self, request: web.Request) -> web.Response:
        body = await request.read()
        notice = inputs.decode(_leave_decoder, body or b'{}')
        if not isinstance(notice, result.Success):
            return self._refuse(notice.failure())
        self._node.on_upstream_leave(
            request.match_info['upstream_id'], notice.unwrap().born
        )
        return web.json_response({})

    def _convert(
        self, upstream_id: str, body: _Heartbeat
    ) -> result.Result[lifecycle.Heartbeat, str]:
        try:
            inputs.parse_name(upstream_id)
            address = inputs.parse_address(body.address)
        except ValueError as error:
            return result.Failure(str(error))
        if body.status.state not in _HEARTBEAT_STATES:
            return result.Failure(f'state {body.status.state!r} is unknown')
        directory = self._node.route_sets
        if directory.revision and directory.service(body.info.service) is None:
            return result.Failure(f'service {body.info.service!r} is unknown')
        announcement = upstreams.Announcement(
            service=body.info.service,
            port=address.port,
            slots=body.info.slots,
            cold_start_ms=int(body.status.cold_remaining_ms),
            load_path=directory.health_path(body.info.service),
            host=address.host,
            upstream_id=upstream_id,
            started_ms=body.born,
        )
        return result.Success(
            lifecycle.Heartbeat(
                announcement,
                body.status.sequence,
                draining=body.status.state != 'ready',
            )
        )

    def _refuse(self, cause: str) -> web.Response:
        self._node.log.write(events.Event.HEARTBEAT_REFUSED, cause=cause)
        self._node.metrics.heartbeats_refused.inc()
        return web.json_response({'error': cause}, status=400)


def readiness(node: adapters.Node) -> web.RouteDef:
    """Return the route for readiness checks."""

    async def answer(request: web.Request) -> web.Response:
        return web.Response(status=200 if node.ready else 503)

    return web.get(wire.READINESS_PATH, answer)


def metrics(node: adapters.Node) -> web.RouteDef:
    """Return the route from which Prometheus scrapes the metrics."""

    async def answer(request: web.Request) -> web.Response:
        return web.Response(
            body=node.metrics.render(),
            headers={'Content-Type': 'text/plain; version=0.0.4'},
        )

    return web.get('/metrics', answer)
