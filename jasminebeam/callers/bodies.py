"""Reads the bodies of callers' requests within the budget of a node."""

from __future__ import annotations

import asyncio
import functools
import typing

from aiohttp import web

from jasminebeam.admission import byte_budget
from jasminebeam import body_buffer
from jasminebeam import budget_sweeper


class BodyTooLargeError(Exception):
    """The body exceeds the limit; the rest of it must not be read.

    Parameters
    ----------
    limit_bytes : int
        Largest body that the node takes.
    """

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(f'at most {limit_bytes} bytes')
        self.limit_bytes = limit_bytes


class BodyEndedError(Exception):
    """The body was given up before its end.

    Parameters
    ----------
    cause : Cause
        Why it was given up.
    """

    def __init__(self, cause: byte_budget.Cause) -> None:
        super().__init__(cause.value)
        self.cause = cause


class Connection(typing.Protocol):
    """Connection on which a body arrives."""

    def hold_reading(self) -> None:
        """Read no more until `release_reading`."""

    def release_reading(self) -> None:
        """Read on."""


class BodyReader:
    """Reads bodies; each is held once.

    Parameters
    ----------
    sweeper : BudgetSweeper
        Ends bodies that make no progress.
    on_ended : callable
        Called with the cause and the number of bytes received if a body is
        given up.
    """

    def __init__(
        self,
        sweeper: budget_sweeper.BudgetSweeper,
        on_ended: typing.Callable[[byte_budget.Cause, int], None],
    ) -> None:
        self._sweeper = sweeper
        self._on_ended = on_ended

    def limit_bytes(self, configured_bytes: int) -> int:
        """Return the size of the largest body that the node takes."""
        limits = self._sweeper.budget.limits
        return min(configured_bytes, limits.body_bytes)

    def read_arrived(
        self, request: web.BaseRequest, limit_bytes: int
    ) -> bytes | None:
        """Return a body that has arrived with its header, or None.

        Raises
        ------
        BodyTooLargeError
            If its length, as far as it is known, exceeds the limit.
        """
        if not request.body_exists:
            return b''
        length = request.content_length
        if length is not None and length > limit_bytes:
            raise BodyTooLargeError(limit_bytes)
        if not request.content.is_eof():
            return None
        body = request.content.read_nowait()
        if len(body) > limit_bytes:
            raise BodyTooLargeError(limit_bytes)
        return body

    async def read(
        self, request: web.BaseRequest, limit_bytes: int, deadline_ms: float
    ) -> body_buffer.Body:
        """Return a body of which a part has yet to arrive.

        Raises
        ------
        BodyTooLargeError
            If the body exceeds the limit.
        BodyEndedError
            If it was given up: there was no room, it made no progress while
            others waited for room, or its deadline has passed.
        """
        transfer = _Transfer(request, self._sweeper, limit_bytes, deadline_ms)
        self._sweeper.start()
        try:
            return await transfer.read()
        except BodyEndedError as error:
            self._on_ended(error.cause, transfer.received_bytes)
            raise


class _Transfer:
    """A body that arrives."""

    def __init__(
        self,
        request: web.BaseRequest,
        sweeper: budget_sweeper.BudgetSweeper,
        limit_bytes: int,
        deadline_ms: float,
    ) -> None:
        self.received_bytes = 0
        self._sweeper = sweeper
        self._budget = sweeper.budget
        self._content = request.content
        self._connection: Connection = request.protocol
        self._length = request.content_length
        self._limit_bytes = limit_bytes
        self._loop = asyncio.get_running_loop()
        self._granted: asyncio.Future[None] | None = None
        self._claim = byte_budget.Claim(
            sweeper.clock(), deadline_ms, self._on_granted, self._on_ended
        )
        self._small = bytearray()
        self._large: body_buffer.BodyBuffer | None = None

    async def read(self) -> body_buffer.Body:
        is_complete = False
        try:
            await self._reserve(self._first_room())
            while part := await self._content.readany():
                await self._add(part)
            is_complete = self._large is not None
            return self._finish()
        finally:
            if not is_complete:
                self._budget.release(self._claim, self._sweeper.clock())
                if self._large is not None:
                    self._large.discard()

    def _first_room(self) -> int:
        if self._length is None:
            return min(byte_budget.SMALL_BODY_BYTES, self._limit_bytes)
        return self._length

    async def _add(self, part: bytes) -> None:
        self.received_bytes += len(part)
        if self.received_bytes > self._limit_bytes:
            raise BodyTooLargeError(self._limit_bytes)
        if self.received_bytes > self._claim.granted_bytes:
            steps = -(-self.received_bytes // body_buffer.STEP_BYTES)
            room_bytes = steps * body_buffer.STEP_BYTES
            await self._reserve(min(room_bytes, self._limit_bytes))
        if self._large is None:
            self._small += part
        else:
            self._large.append(part)
        self._claim.on_received(self.received_bytes, self._sweeper.clock())

    async def _reserve(self, room_bytes: int) -> None:
        """Wait for room; the connection is not read until then."""
        now_ms = self._sweeper.clock()
        if not self._budget.request(self._claim, room_bytes, now_ms):
            self._granted = self._loop.create_future()
            self._connection.hold_reading()
            try:
                await self._granted
            finally:
                self._granted = None
                self._connection.release_reading()
        if room_bytes <= byte_budget.SMALL_BODY_BYTES:
            return
        if self._large is not None:
            self._large.grow(room_bytes)
            return
        self._large = body_buffer.BodyBuffer(room_bytes)
        self._large.append(bytes(self._small))
        self._small.clear()

    def _finish(self) -> body_buffer.Body:
        if self._large is None:
            return bytes(self._small)
        self._budget.complete(self._claim)
        return self._large.finish(
            functools.partial(
                self._sweeper.release_later, self._loop, self._claim
            )
        )

    def _on_granted(self) -> None:
        if self._granted is not None and not self._granted.done():
            self._granted.set_result(None)

    def _on_ended(self, cause: byte_budget.Cause) -> None:
        error = BodyEndedError(cause)
        if self._granted is not None:
            if not self._granted.done():
                self._granted.set_exception(error)
        else:
            self._content.set_exception(error)
