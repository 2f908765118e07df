"""Client connection to the operators' interface that checks responses."""

from __future__ import annotations

import typing

from google.protobuf import message as protobuf_message
import grpclib
from grpclib import client
from grpclib import const
from grpclib import stream

if typing.TYPE_CHECKING:
    import ssl

# What grpclib and protobuf raise for a message that is compressed, incomplete
# or not of its type.
_MALFORMED = (
    AssertionError,
    NotImplementedError,
    protobuf_message.DecodeError,
)


def _malformed_error() -> grpclib.GRPCError:
    return grpclib.GRPCError(const.Status.INTERNAL, 'malformed response')


class _CheckedStream(stream.StreamIterator):
    """One call, which a malformed response ends with an error status.

    Parameters
    ----------
    checked : Stream
        The call.
    is_stream : bool
        True if the response may have any number of messages.
    """

    def __init__(self, checked: client.Stream, is_stream: bool) -> None:
        self._checked = checked
        self._is_stream = is_stream

    async def __aenter__(self) -> _CheckedStream:
        await self._checked.__aenter__()
        return self

    async def __aexit__(self, *error: typing.Any) -> None:
        await self._checked.__aexit__(*error)

    async def send_message(
        self, message: protobuf_message.Message, *, end: bool = False
    ) -> None:
        """Send the request; `end` closes the stream to the server."""
        await self._checked.send_message(message, end=end)

    async def recv_message(self) -> protobuf_message.Message | None:
        """Return the next message; None behind the last one of a stream.

        Raises
        ------
        GRPCError
            If the message is malformed, or if a single one was expected and
            the response has none or several.
        """
        message = await self._receive()
        if self._is_stream:
            return message
        if message is None:
            # A status other than OK explains the missing message.
            await self._checked.recv_trailing_metadata()
            raise _malformed_error()
        if await self._receive() is not None:
            raise _malformed_error()
        return message

    async def _receive(self) -> protobuf_message.Message | None:
        try:
            message = await self._checked.recv_message()
        except _MALFORMED as error:
            raise _malformed_error() from error
        if message is None and not self._has_trailers():
            # The base class would wait for them for ever.
            raise _malformed_error()
        return message

    def _has_trailers(self) -> bool:
        """Return True if a response that has ended states its result."""
        checked = self._checked
        return checked._trailers_only or checked._stream.trailers is not None


class Channel(client.Channel):
    """Connection to the operators' interface of one node.

    By default, grpclib takes fields whose names or values HTTP/2 (RFC 9113)
    does not allow, and raises various errors for malformed messages.

    Parameters
    ----------
    host : str
        Address of the node.
    port : int
        Port of its operators' interface.
    tls : SSLContext or None
        How to encrypt the connection; None for plain text.
    """

    def __init__(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        super().__init__(host, port, ssl=tls)
        # A malformed field ends the connection.
        self._h2_config.validate_inbound_headers = True

    def request(
        self,
        name: str,
        cardinality: const.Cardinality,
        *types: type,
        **options: typing.Any,
    ) -> _CheckedStream:
        """Return the stream of a call.

        Parameters
        ----------
        name : str
            Name of the method.
        cardinality : Cardinality
            Which of request and response are streams of messages.
        types, options
            As for the base class.
        """
        return _CheckedStream(
            super().request(name, cardinality, *types, **options),
            cardinality.server_streaming,
        )
