"""Connections to peers, with a handshake and a liveness check."""

from __future__ import annotations

import dataclasses
import enum
import typing

from jasminebeam.peering import codec
from jasminebeam.peering import messages
from jasminebeam.peering import region_traffic

if typing.TYPE_CHECKING:
    from jasminebeam.sidecar import sidecar as sidecar_module

MAX_SILENT_TICKS = 4


class LinkState(enum.Enum):
    """State of one connection."""

    CONNECTING = 'connecting'
    READY = 'ready'
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLoss:
    """Loss of a connection; the reason is the label of a counter."""

    reason: str


class Connection(typing.Protocol):
    """Transport-level connection that carries complete frames."""

    def send(self, frame: bytes) -> bool:
        """Send a frame; return False if it cannot be sent."""

    def close(self) -> None:
        """Close the connection and drop unsent frames."""


class Transport(typing.Protocol):
    """Opens connections to peers."""

    def open(
        self,
        address: str,
        on_frame: typing.Callable[[bytes], None],
        on_closed: typing.Callable[[], None],
    ) -> Connection:
        """Return a new connection to ``host:port``."""


class Link:
    """One connection to one peer, never reused after a loss.

    Parameters
    ----------
    transport : Transport
        Opens the connection.
    address : str
        ``host:port`` of the peer socket.
    hello : Hello or None
        First message; the sidecar answers it with a session. None for
        control messages, which need no session.
    on_message : callable
        Receives the link, each message, and the size of its frame.
    on_lost : callable
        Called once with the link and a `LinkLoss`.
    traffic : RegionTraffic or None
        Counts the bytes of both directions; None to count nothing.
    """

    # Whether messages travel in frames, which limits their size.
    carries_frames = True

    def __init__(
        self,
        transport: Transport,
        address: str,
        hello: messages.Hello | None,
        on_message: typing.Callable[[Link, messages.Message, int], None],
        on_lost: typing.Callable[[Link, LinkLoss], None],
        traffic: region_traffic.RegionTraffic | None = None,
    ) -> None:
        self._traffic = traffic
        self.address = address
        self.state = LinkState.CONNECTING
        self.boot_id = 0
        self.session = 0
        self._next_sequence = 0
        self._silent_ticks = 0
        self._received_since_tick = False
        self._on_message = on_message
        self._on_lost = on_lost
        self._connection = transport.open(
            address, self._on_frame, self._on_closed
        )
        if hello is not None:
            self.send(hello)

    def next_sequence(self) -> int:
        """Return a sequence number that is unique in the session."""
        self._next_sequence += 1
        return self._next_sequence

    def send(self, message: messages.Message) -> int:
        """Send a message; return the frame's size in bytes, 0 on failure."""
        frame = codec.encode(message)
        if not self._connection.send(frame):
            return 0
        self._count(region_traffic.SENT, message, len(frame))
        return len(frame)

    def _count(
        self, direction: str, message: messages.Message, size_bytes: int
    ) -> None:
        if self._traffic is not None:
            self._traffic.count(self.address, direction, message, size_bytes)

    def tick(self, nonce: int) -> None:
        """Send a ping if no message has arrived since the last tick.

        Any received message shows that the connection still works, so
        that pings are sent only on an idle connection. The connection
        counts as lost after more than `MAX_SILENT_TICKS` ticks without a
        message.
        """
        if self.state is LinkState.LOST:
            return
        if self._received_since_tick:
            self._received_since_tick = False
            return
        self._silent_ticks += 1
        if self._silent_ticks > MAX_SILENT_TICKS:
            self.mark_lost('silent')
            return
        if self.state is LinkState.READY:
            self.send(messages.Ping(nonce))

    def mark_lost(self, reason: str) -> None:
        """Close the connection and report the loss once."""
        if self.state is LinkState.LOST:
            return
        self.close()
        self._on_lost(self, LinkLoss(reason))

    def close(self) -> None:
        """Close the connection without calling ``on_lost``."""
        self.state = LinkState.LOST
        self._connection.close()

    def _on_closed(self) -> None:
        self.mark_lost(
            'closed' if self.state is LinkState.READY else 'refused'
        )

    def _on_frame(self, frame: bytes) -> None:
        self._silent_ticks = 0
        self._received_since_tick = True
        message = codec.decode(frame).value_or(None)
        if message is None:
            self.mark_lost('malformed')
            return
        self._count(region_traffic.RECEIVED, message, len(frame))
        if isinstance(message, messages.Welcome):
            self.boot_id = message.boot_id
            self.session = message.session
            self.state = LinkState.READY
        self._on_message(self, message, len(frame))


class LocalLink:
    """Passes messages to the sidecar of this process without a connection.

    Parameters
    ----------
    sidecar : Sidecar
        Sidecar that receives the messages.
    hello : Hello
        Opens the session.
    on_message : callable
        Receives this link, each message, and a size of 0 bytes.
    """

    address = 'local'
    carries_frames = False
    state = LinkState.READY

    def __init__(
        self,
        sidecar: sidecar_module.Sidecar,
        hello: messages.Hello,
        on_message: typing.Callable[[LocalLink, messages.Message, int], None],
    ) -> None:
        self.boot_id = sidecar.boot_id
        self.session = 0
        self._next_sequence = 0
        self._sidecar = sidecar
        self._on_message = on_message
        sidecar.handle(hello, self._on_welcome)

    def next_sequence(self) -> int:
        """Return a sequence number that is unique in the session."""
        self._next_sequence += 1
        return self._next_sequence

    def send(self, message: messages.Message) -> int:
        """Pass a message to the sidecar; return 1, as it cannot fail."""
        self._sidecar.handle(message, self._forward)
        return 1

    def tick(self, nonce: int) -> None:
        """Do nothing: a local link cannot be lost."""

    def close(self) -> None:
        """Do nothing: there is no connection."""

    def _on_welcome(self, message: messages.Welcome) -> None:
        self.session = message.session

    def _forward(self, message: messages.Message) -> None:
        self._on_message(self, message, 0)
