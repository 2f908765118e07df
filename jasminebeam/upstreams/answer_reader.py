"""Reads the answers of an upstream into room of the node's budget."""

from __future__ import annotations

import socket
import typing

from jasminebeam.admission import byte_budget
from jasminebeam import answer_room
from jasminebeam import http_client

if typing.TYPE_CHECKING:
    import aiohttp

    from jasminebeam import body_buffer
    from jasminebeam import budget_sweeper

# Bytes of a connection that the kernel and the reader hold while an answer
# waits for room. The upstream runs on the same host, so that larger ones do
# not make it faster.
RECEIVE_BUFFER_BYTES = 64 * 1024
READ_AHEAD_BYTES = 16 * 1024
SOCKET_OPTIONS = ((socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),)


class AnswerReader:
    """Reads a large answer only once the node has room for it.

    Load pattern: many answers at once that callers or ingress nodes do not
    take. An answer that waits for room occupies its slot at the upstream, so
    no further requests start that could not be answered either.

    Parameters
    ----------
    sweeper : BudgetSweeper
        Room of the answers.
    max_bytes : int
        Maximum size of an answer.
    """

    def __init__(
        self, sweeper: budget_sweeper.BudgetSweeper, max_bytes: int
    ) -> None:
        self._sweeper = sweeper
        self._max_bytes = max_bytes

    async def read(
        self, response: aiohttp.ClientResponse, deadline_ms: float
    ) -> body_buffer.Body:
        """Return the body of a response.

        Parameters
        ----------
        response : ClientResponse
            Response whose head is complete.
        deadline_ms : float
            Monotonic instant until which a large body may wait for room.

        Raises
        ------
        ResponseTooLargeError
            If the body is larger than the maximum.
        NoRoomError
            If there was no room until the deadline.
        """
        length = response.content_length
        if length is not None and length > self._max_bytes:
            raise http_client.ResponseTooLargeError(
                http_client.EndReason.BODY, 0
            )
        small = bytearray()
        if length is None or length <= byte_budget.SMALL_ANSWER_BYTES:
            async for part in response.content.iter_any():
                small += part
                if len(small) > byte_budget.SMALL_ANSWER_BYTES:
                    break
            else:
                self._check(len(small))
                return bytes(small)
        self._check(len(small))
        return await self._read_large(
            response, small, length or self._max_bytes, deadline_ms
        )

    async def _read_large(
        self,
        response: aiohttp.ClientResponse,
        start: bytearray,
        room_bytes: int,
        deadline_ms: float,
    ) -> body_buffer.Body:
        room = await answer_room.wait_for_room(
            self._sweeper, room_bytes, deadline_ms
        )
        try:
            room.buffer.append(start)
            async for part in response.content.iter_any():
                self._check(room.buffer.length_bytes + len(part))
                room.buffer.append(part)
        except BaseException:
            room.discard()
            raise
        return room.finish()

    def _check(self, size_bytes: int) -> None:
        if size_bytes > self._max_bytes:
            raise http_client.ResponseTooLargeError(
                http_client.EndReason.BODY, size_bytes
            )
