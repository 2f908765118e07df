"""Socket on which a node receives its peers' messages."""

from __future__ import annotations

import functools
import typing

from jasminebeam.peering import codec
from jasminebeam.peering import messages
from jasminebeam.peering import security
from jasminebeam.peering import sockets
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    import zmq

    from jasminebeam.telemetry import metrics

Handler = typing.Callable[
    [messages.Message, typing.Callable[[messages.Message], int], int], None
]


class PeerServer:
    """Owns the ROUTER socket and passes each message to its handler.

    Parameters
    ----------
    context : zmq.Context
        Creates the socket.
    address : str
        ``host:port`` to bind.
    secret_key : str
        CURVE secret key; empty for plain connections.
    log, counters
        Receive refused frames.
    """

    def __init__(
        self,
        context: zmq.Context,
        address: str,
        secret_key: str,
        log: events.EventLog,
        counters: metrics.Metrics,
    ) -> None:
        self._log = log
        self._counters = counters
        self._handlers: dict[type[messages.Message], Handler] = {}
        socket = sockets.create_router(context)
        if secret_key:
            security.protect_server(socket, secret_key)
        socket.bind(f'tcp://{address}')
        self._polled = sockets.PolledSocket(socket, self._on_frames)

    def route(
        self, kinds: typing.Iterable[type[messages.Message]], handler: Handler
    ) -> None:
        """Pass messages of some kinds to a handler.

        The handler receives the message, a function that sends a message
        back and returns its bytes, and the frame's bytes.
        """
        for kind in kinds:
            self._handlers[kind] = handler

    def close(self) -> None:
        """Close the socket."""
        self._polled.close()

    def _on_frames(self, frames: list[bytes]) -> None:
        if len(frames) != 2:
            self._refuse('frame count')
            return
        identity, frame = frames
        decoded = codec.decode(frame)
        message = decoded.value_or(None)
        if message is None:
            self._refuse(decoded.failure())
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self._refuse('unexpected kind')
            return
        send = functools.partial(self._send, identity)
        handler(message, send, len(frame))

    def _send(self, identity: bytes, message: messages.Message) -> int:
        frame = codec.encode(message)
        if not self._polled.send([identity, frame]):
            return 0
        return len(frame)

    def _refuse(self, cause: str) -> None:
        self._counters.frames_refused.inc()
        self._log.write(events.Event.FRAME_REFUSED, cause=cause)
