"""Room of all connections of callers: bytes, descriptors and parsing."""

from __future__ import annotations

import asyncio
import collections
import typing

from jasminebeam.admission import byte_budget

# Share of the connections that are closed at once when there are too many.
# Each choice looks at all of them, so that closing one at a time would cost
# the square of their number.
BATCH_RATIO = 1 / 32


class Connection(typing.Protocol):
    """Connection of a caller."""

    held_bytes: int
    progress_ms: float

    @property
    def answer_bytes(self) -> int:
        """Bytes of unread answers, which count in the budget themselves."""

    @property
    def is_closable(self) -> bool:
        """True unless a complete request is running."""

    def give_up(self) -> None:
        """Close the connection at once."""


class Turns:
    """Lets connections parse one after the other, one an iteration.

    Load pattern: callers that send bodies in very small chunks, each of which
    costs the parser as much as a large one.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[typing.Callable[[], None]] = (
            collections.deque()
        )

    def wait(self, take_turn: typing.Callable[[], None]) -> None:
        """Call a function in a later iteration of the event loop."""
        if not self._waiting:
            asyncio.get_running_loop().call_soon(self._run)
        self._waiting.append(take_turn)

    def _run(self) -> None:
        take_turn = self._waiting.popleft()
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._run)
        take_turn()


class ConnectionRoom:
    """Closes connections without progress when there is no room for others.

    Parameters
    ----------
    budget : ByteBudget
        Bytes of bodies and connections together.
    clock : callable
        Returns the monotonic time in ms.
    on_closed : callable
        Called with the number of connections closed, and of bytes freed.
    """

    def __init__(
        self,
        budget: byte_budget.ByteBudget,
        clock: typing.Callable[[], float],
        on_closed: typing.Callable[[int, int], None],
    ) -> None:
        self.turns = Turns()
        self._budget = budget
        self._clock = clock
        self._on_closed = on_closed
        self._connections: dict[Connection, None] = {}

    @property
    def is_short(self) -> bool:
        """True while bodies or answers wait for room."""
        return self._budget.has_waiting

    def on_opened(self, connection: Connection) -> None:
        """Count a connection."""
        self._connections[connection] = None
        self.hold(connection, connection.held_bytes)

    def on_closed(self, connection: Connection) -> None:
        """Return the room of a connection."""
        if connection in self._connections:
            self._forget(connection)
            self._budget.grant_waiting(self._clock())

    def hold(self, connection: Connection, more_bytes: int) -> None:
        """Count bytes that a connection holds in addition."""
        if connection not in self._connections:
            return
        self._budget.connection_bytes += more_bytes
        if more_bytes <= 0:
            return
        limit = self._budget.limits.connections
        excess = len(self._connections) - limit
        if excess > 0:
            excess += int(BATCH_RATIO * limit)
        if excess > 0 or self._budget.excess_bytes > 0:
            self._make_room(excess)

    def close_stalled(self) -> None:
        """Close connections without progress if others wait for room.

        Load pattern: callers that leave large answers unread.
        """
        now_ms = self._clock()
        states = [
            state
            for state in self._closable_states()
            if state.held_bytes > byte_budget.SMALL_BODY_BYTES
        ]
        self._close(
            byte_budget.choose_stalled(
                states, self._budget.waiting_bytes, now_ms
            )
        )
        self._budget.grant_waiting(now_ms)

    def _make_room(self, excess: int) -> None:
        self._close(
            byte_budget.choose_connections(
                self._closable_states(),
                self._budget.excess_bytes,
                excess,
                self._clock(),
            )
        )

    def _closable_states(self) -> list[byte_budget.ConnectionState]:
        return [
            byte_budget.ConnectionState(
                connection,
                connection.held_bytes + connection.answer_bytes,
                connection.progress_ms,
            )
            for connection in self._connections
            if connection.is_closable
        ]

    def _close(self, chosen: list[byte_budget.ConnectionState]) -> None:
        for state in chosen:
            self._forget(state.key)
            state.key.give_up()
        if chosen:
            freed_bytes = sum(state.held_bytes for state in chosen)
            self._on_closed(len(chosen), freed_bytes)

    def _forget(self, connection: Connection) -> None:
        del self._connections[connection]
        self._budget.connection_bytes -= connection.held_bytes


def default_room(clock: typing.Callable[[], float]) -> ConnectionRoom:
    """Return the room of a node whose settings name no limits."""
    limits = byte_budget.limits_of(0, 0)
    return ConnectionRoom(
        byte_budget.ByteBudget(limits), clock, lambda count, freed_bytes: None
    )
