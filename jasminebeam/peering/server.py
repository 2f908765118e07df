"""Socket on which a node receives its peers' messages."""

from __future__ import annotations

import functools
import typing

from jasminebeam.peering import answer_messages
from jasminebeam.peering import answer_uploads
from jasminebeam.peering import codec
from jasminebeam.peering import messages
from jasminebeam.peering import sockets
from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    import zmq

    from jasminebeam.telemetry import metrics

Handler = typing.Callable[
    [messages.Message, typing.Callable[[messages.Message], int], int], None
]


class PeerServer:
    """Owns the ROUTER socket and passes each message to a handler.

    Parameters
    ----------
    context : zmq.Context
        Creates the socket.
    address : str
        ``host:port`` to bind.
    secret_key : str
        CURVE secret key; empty for unencrypted connections.
    log, counters
        Record refused frames, and answers that are given up.
    clock : callable
        Returns the monotonic time in ms.
    """

    def __init__(
        self,
        context: zmq.Context,
        address: str,
        secret_key: str,
        log: events.EventLog,
        counters: metrics.Metrics,
        clock: typing.Callable[[], float],
    ) -> None:
        self.answers = answer_uploads.AnswerUploads(log, counters, clock)
        self._log = log
        self._counters = counters
        self._handlers: dict[type[messages.Message], Handler] = {
            answer_messages.AnswerCredit: self.answers.on_credit
        }
        socket = sockets.create_router(context)
        if secret_key:
            # Local import: nodes without keys do not need this module.
            from jasminebeam.peering import security

            security.protect_server(socket, secret_key)
        socket.bind(f'tcp://{address}')
        self._polled = sockets.PolledSocket(socket, self._on_frames)

    def register_handler(
        self,
        message_types: typing.Iterable[type[messages.Message]],
        handler: Handler,
    ) -> None:
        """Pass messages of the given types to a handler.

        The handler receives the message, a function that sends a message
        to the same peer and returns its size in bytes, and the size of the
        received frame in bytes.
        """
        for message_type in message_types:
            self._handlers[message_type] = handler

    def close(self) -> None:
        """Close the socket."""
        self._polled.close()

    def _on_frames(self, frames: list[bytes]) -> None:
        if len(frames) != 2:
            self._refuse('frame count is not 2')
            return
        identity, frame = frames
        decoded = codec.decode(frame)
        message = decoded.value_or(None)
        if message is None:
            self._refuse(decoded.failure())
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self._refuse('unexpected message type')
            return
        send = functools.partial(self._send, identity)
        handler(message, send, len(frame))

    def _send(self, identity: bytes, message: messages.Message) -> int:
        if answer_uploads.is_large(message):
            send = functools.partial(self._send, identity)
            return self.answers.offer(identity, message, send)
        frame = codec.encode(message)
        if not self._polled.send([identity, frame]):
            return 0
        return len(frame)

    def _refuse(self, cause: str) -> None:
        self._counters.frames_refused.inc()
        self._log.write(events.Event.FRAME_REFUSED, cause=cause)
