"""Connections of an ingress node to sidecars."""

from __future__ import annotations

import dataclasses
import enum
import typing

from jasminebeam.peering import codec
from jasminebeam.peering import messages

if typing.TYPE_CHECKING:
    from jasminebeam.sidecar import sidecar as sidecar_module

SILENT_TICKS = 4


class LinkState(enum.Enum):
    """Progress of one connection."""

    CONNECTING = 'connecting'
    READY = 'ready'
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Why a connection was lost; the value labels a counter."""

    reason: str


class Connection(typing.Protocol):
    """One connection that carries whole frames."""

    def send(self, frame: bytes) -> bool:
        """Send a frame; False if it cannot be sent."""

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
    """One connection to one sidecar, never reused after a loss.

    Parameters
    ----------
    transport : Transport
        Opens the connection.
    address : str
        ``host:port`` of the peer socket.
    hello : Hello or None
        Sent first; the sidecar answers with a session. Connections for
        control messages need none.
    on_message : callable
        Receives the link, each message, and the size of its frame.
    on_lost : callable
        Called once with the link and a `Lost`.
    """

    def __init__(
        self,
        transport: Transport,
        address: str,
        hello: messages.Hello | None,
        on_message: typing.Callable[[Link, messages.Message, int], None],
        on_lost: typing.Callable[[Link, Lost], None],
    ) -> None:
        self.address = address
        self.state = LinkState.CONNECTING
        self.boot_id = 0
        self.session = 0
        self._next_sequence = 0
        self._unanswered_ticks = 0
        self._heard = False
        self._on_message = on_message
        self._on_lost = on_lost
        self._wire = transport.open(address, self._on_frame, self._on_closed)
        if hello is not None:
            self.send(hello)

    def next_sequence(self) -> int:
        """Return a sequence number that is unique in the session."""
        self._next_sequence += 1
        return self._next_sequence

    def send(self, message: messages.Message) -> int:
        """Send a message and return the frame's bytes; 0 if it failed."""
        frame = codec.encode(message)
        if not self._wire.send(frame):
            return 0
        return len(frame)

    def tick(self, nonce: int) -> None:
        """Count an interval without any message and send a ping.

        Messages in the last interval show as well that the connection
        delivers, so that only a quiet one costs a ping.
        """
        if self.state is LinkState.LOST:
            return
        if self._heard:
            self._heard = False
            return
        self._unanswered_ticks += 1
        if self._unanswered_ticks > SILENT_TICKS:
            self.lose('silent')
            return
        if self.state is LinkState.READY:
            self.send(messages.Ping(nonce))

    def lose(self, reason: str) -> None:
        """Close the connection and report the loss once."""
        if self.state is LinkState.LOST:
            return
        self.close()
        self._on_lost(self, Lost(reason))

    def close(self) -> None:
        """Close the connection without a report."""
        self.state = LinkState.LOST
        self._wire.close()

    def _on_closed(self) -> None:
        self.lose('closed' if self.state is LinkState.READY else 'refused')

    def _on_frame(self, frame: bytes) -> None:
        self._unanswered_ticks = 0
        self._heard = True
        message = codec.decode(frame).value_or(None)
        if message is None:
            self.lose('malformed')
            return
        if isinstance(message, messages.Welcome):
            self.boot_id = message.boot_id
            self.session = message.session
            self.state = LinkState.READY
        self._on_message(self, message, len(frame))


class LocalLink:
    """Takes the place of a connection to the node's own sidecar.

    Parameters
    ----------
    sidecar : Sidecar
        Sidecar of this process.
    hello : Hello
        Opens the session.
    on_message : callable
        Receives this link, each message, and a size of 0 bytes.
    """

    address = 'local'
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
        sidecar.handle(hello, self._welcome)

    def next_sequence(self) -> int:
        """Return a sequence number that is unique in the session."""
        self._next_sequence += 1
        return self._next_sequence

    def send(self, message: messages.Message) -> int:
        """Pass a message to the sidecar; it always arrives."""
        self._sidecar.handle(message, self._deliver)
        return 1

    def tick(self, nonce: int) -> None:
        """Do nothing: a local link cannot be lost."""

    def close(self) -> None:
        """Do nothing: there is no connection."""

    def _welcome(self, message: messages.Welcome) -> None:
        self.session = message.session

    def _deliver(self, message: messages.Message) -> None:
        self._on_message(self, message, 0)
