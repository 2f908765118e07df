"""ZeroMQ sockets read and written from the event loop."""

from __future__ import annotations

import asyncio
import typing

import logbook
import zmq
from zmq.utils import monitor

from jasminebeam import inputs

if typing.TYPE_CHECKING:
    from jasminebeam.peering import security

_logger = logbook.Logger(__name__)

HIGH_WATER_MARK = 1_000
MAX_FRAME_BYTES = 2 * 1024 * 1024
CONNECT_TIMEOUT_MS = 1_000
# An `&` with the flag itself costs a call of Python code.
_READABLE = int(zmq.POLLIN)
# Messages and bytes that are read before others have their turn. What large
# messages cause, such as the writing of an answer, starts only then.
MAX_READS_PER_WAKEUP = 64
MAX_BYTES_PER_WAKEUP = 1024 * 1024


class PolledSocket:
    """Reads a socket by callbacks of the event loop, without a task.

    Parameters
    ----------
    socket : zmq.Socket
        Socket to read; this object closes it.
    on_frames : callable
        Called with the list of frames of each message.
    """

    def __init__(
        self,
        socket: zmq.Socket,
        on_frames: typing.Callable[[list[bytes]], None],
    ) -> None:
        self.socket = socket
        self._on_frames = on_frames
        self._loop = asyncio.get_running_loop()
        self._file_descriptor = socket.get(zmq.FD)
        self._closed = False
        self._scheduled = False
        self._loop.add_reader(self._file_descriptor, self._read_messages)
        self._schedule()

    def send(self, frames: list[bytes]) -> bool:
        """Queue a message; return False if the socket does not accept it."""
        if self._closed:
            return False
        try:
            self.socket.send_multipart(frames, zmq.NOBLOCK, copy=True)
        except zmq.ZMQError:
            return False
        # Sending can consume the wakeup that signals a readable message.
        self._schedule()
        return True

    def close(self) -> None:
        """Drop unsent messages and close the socket."""
        if self._closed:
            return
        self._closed = True
        self._loop.remove_reader(self._file_descriptor)
        self.socket.close(linger=0)

    def _schedule(self) -> None:
        if self._scheduled or self._closed:
            return
        if self._is_readable():
            self._scheduled = True
            self._loop.call_soon(self._read_messages)

    def _is_readable(self) -> bool:
        return bool(self.socket.get(zmq.EVENTS) & _READABLE)

    def _read_messages(self) -> None:
        self._scheduled = False
        read_bytes = 0
        for _ in range(MAX_READS_PER_WAKEUP):
            if self._closed:
                return
            if read_bytes > MAX_BYTES_PER_WAKEUP:
                break
            # Asking is cheaper than the exception of a read without a message.
            if not self._is_readable():
                return
            try:
                frames = self.socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            read_bytes += len(frames[-1])
            try:
                self._on_frames(frames)
            except Exception:
                # A failed handler must not block the messages that follow.
                _logger.exception('handler failed for a message from a peer')
        self._schedule()


class ZmqConnection:
    """DEALER connection that carries complete frames.

    Parameters
    ----------
    socket : zmq.Socket
        DEALER socket that is not yet connected.
    endpoint : str
        ZeroMQ endpoint to connect to.
    on_frame : callable
        Receives each frame.
    on_closed : callable
        Called if the connection is refused or lost.
    """

    def __init__(
        self,
        socket: zmq.Socket,
        endpoint: str,
        on_frame: typing.Callable[[bytes], None],
        on_closed: typing.Callable[[], None],
    ) -> None:
        self._on_frame = on_frame
        self._monitor = ConnectionMonitor(socket, on_closed)
        self._polled = PolledSocket(socket, self._on_frames)
        try:
            socket.connect(endpoint)
        except zmq.ZMQError:
            self.close()
            raise

    def send(self, frame: bytes) -> bool:
        """Send a frame; return False if it cannot be sent."""
        return self._polled.send([frame])

    def close(self) -> None:
        """Close the connection and drop unsent frames."""
        self._monitor.close()
        self._polled.close()

    def _on_frames(self, frames: list[bytes]) -> None:
        self._on_frame(frames[-1])


class RefusedConnection:
    """Connection that was never opened."""

    def send(self, frame: bytes) -> bool:
        """Return False: no frame can be sent."""
        return False

    def close(self) -> None:
        """Do nothing: there is no socket."""


class ZmqTransport:
    """Opens connections to peers over TCP.

    Parameters
    ----------
    context : zmq.Context
        Creates the sockets.
    host : str
        Local IP address of the connections.
    keys : ClientKeys or None
        CURVE keys; None for unencrypted connections.
    """

    def __init__(
        self,
        context: zmq.Context,
        host: str,
        keys: security.ClientKeys | None,
    ) -> None:
        self._context = context
        self._host = host
        self._keys = keys

    def open(
        self,
        address: str,
        on_frame: typing.Callable[[bytes], None],
        on_closed: typing.Callable[[], None],
    ) -> ZmqConnection | RefusedConnection:
        """Return a new connection to ``host:port``.

        A malformed address counts as one that refuses connections.
        """
        if not inputs.is_address(address):
            asyncio.get_running_loop().call_soon(on_closed)
            return RefusedConnection()
        socket = create_dealer(self._context)
        if self._keys is not None:
            self._keys.apply(socket)
        endpoint = f'tcp://{self._host}:0;{address}'
        return ZmqConnection(socket, endpoint, on_frame, on_closed)


class ConnectionMonitor:
    """Reports that the connection of a socket is lost or refused."""

    _EVENTS = (
        zmq.EVENT_DISCONNECTED
        | zmq.EVENT_CLOSED
        | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
        | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
        | zmq.EVENT_HANDSHAKE_FAILED_AUTH
    )

    def __init__(
        self, socket: zmq.Socket, on_lost: typing.Callable[[], None]
    ) -> None:
        self._socket = socket
        self._on_lost = on_lost
        self._polled = PolledSocket(
            socket.get_monitor_socket(self._EVENTS), self._on_event
        )

    def close(self) -> None:
        """Stop monitoring the socket."""
        self._socket.disable_monitor()
        self._polled.close()

    def _on_event(self, frames: list[bytes]) -> None:
        event = monitor.parse_monitor_message(frames)['event']
        if event & self._EVENTS:
            self._on_lost()


def create_router(context: zmq.Context) -> zmq.Socket:
    """Return a ROUTER socket that raises an error on unroutable messages."""
    socket = context.socket(zmq.ROUTER)
    _set_limits(socket)
    socket.set(zmq.ROUTER_MANDATORY, 1)
    return socket


def create_dealer(context: zmq.Context) -> zmq.Socket:
    """Return a DEALER socket for exactly one connection.

    The socket never reconnects by itself, so that no message queued for
    a lost connection is sent over a later one.
    """
    socket = context.socket(zmq.DEALER)
    _set_limits(socket)
    socket.set(zmq.RECONNECT_IVL, -1)
    socket.set(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    return socket


def _set_limits(socket: zmq.Socket) -> None:
    socket.set(zmq.LINGER, 0)
    socket.set(zmq.SNDHWM, HIGH_WATER_MARK)
    socket.set(zmq.RCVHWM, HIGH_WATER_MARK)
    socket.set(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
