"""Room of a large answer in the budget of a node, and its buffer."""

from __future__ import annotations

import asyncio
import functools
import typing

from jasminebeam.admission import byte_budget
from jasminebeam import body_buffer

if typing.TYPE_CHECKING:
    from jasminebeam import budget_sweeper


class NoRoomError(Exception):
    """There was no room for an answer until its deadline."""


class AnswerRoom:
    """Room that one answer waits for, fills, and holds until it is freed.

    Parameters
    ----------
    sweeper : BudgetSweeper
        Grants the room.
    size_bytes : int
        Room that the answer needs.
    deadline_ms : float
        Monotonic instant until which it may wait for room.
    on_granted : callable
        Called once there is room, perhaps before the constructor returns.
    on_ended : callable
        Called if there was no room until the deadline.
    """

    def __init__(
        self,
        sweeper: budget_sweeper.BudgetSweeper,
        size_bytes: int,
        deadline_ms: float,
        on_granted: typing.Callable[[], None],
        on_ended: typing.Callable[[], None],
    ) -> None:
        self.buffer: body_buffer.BodyBuffer | None = None
        self.size_bytes = size_bytes
        self._sweeper = sweeper
        self._on_granted = on_granted
        self._on_ended = on_ended
        self._is_released = False
        now_ms = sweeper.clock()
        self._claim = byte_budget.Claim(
            now_ms, deadline_ms, self._grant, self._end, is_answer=True
        )
        if sweeper.budget.request(self._claim, size_bytes, now_ms):
            self._grant()
        else:
            sweeper.start()

    @property
    def is_granted(self) -> bool:
        """True once there is room."""
        return self.buffer is not None

    def discard(self) -> None:
        """Return the room of an answer that is not needed any more."""
        if self._is_released:
            return
        self._is_released = True
        if self.buffer is not None:
            self.buffer.discard()
        self._sweeper.budget.release(self._claim, self._sweeper.clock())

    def finish(self) -> memoryview:
        """Return the answer, which holds the room until it is freed."""
        self._is_released = True
        return self.buffer.finish(
            functools.partial(
                self._sweeper.release_later,
                asyncio.get_running_loop(),
                self._claim,
            )
        )

    def _grant(self) -> None:
        self.buffer = body_buffer.BodyBuffer(self.size_bytes)
        self._on_granted()

    def _end(self, cause: byte_budget.Cause) -> None:
        self._is_released = True
        self._on_ended()


async def wait_for_room(
    sweeper: budget_sweeper.BudgetSweeper,
    size_bytes: int,
    deadline_ms: float,
) -> AnswerRoom:
    """Return the room of an answer once it is granted.

    Raises
    ------
    NoRoomError
        If there was no room until the deadline.
    """
    granted = asyncio.get_running_loop().create_future()

    def grant() -> None:
        if not granted.done():
            granted.set_result(None)

    def end() -> None:
        if not granted.done():
            granted.set_exception(NoRoomError)

    room = AnswerRoom(sweeper, size_bytes, deadline_ms, grant, end)
    left_s = (deadline_ms - sweeper.clock()) / 1_000
    try:
        async with asyncio.timeout(left_s):
            await granted
    except TimeoutError as error:
        room.discard()
        raise NoRoomError from error
    except BaseException:
        room.discard()
        raise
    return room
