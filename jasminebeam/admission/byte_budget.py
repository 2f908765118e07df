"""Decides which bodies and connections of callers a node holds in memory.

Load pattern: callers outside the operator's control that send many large
bodies at once, stop just short of their end, or leave their answers unread.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import typing

MEGABYTE = 1_000_000

# Share of the host's memory that a node uses with any number of callers.
MEMORY_RATIO = 0.75

# Resident set of a node without callers: 61 MB at 14 nodes. The rest is for
# tables of larger fleets and for buffers that live for one iteration of the
# event loop.
PROCESS_BYTES = 70 * MEGABYTE

# Least budget, for hosts whose memory is below the needs of a process.
MIN_TOTAL_BYTES = 8 * MEGABYTE

# Memory of a host that the settings do not name.
DEFAULT_MEMORY_MB = 1_000

# Descriptors of a process if neither settings nor the system name a limit.
DEFAULT_DESCRIPTORS = 4_096

# Share of the budget that only small bodies and connections may use, so that
# ordinary callers are admitted beside large bodies.
RESERVED_RATIO = 1 / 8

# Largest body that may use the reserved share.
SMALL_BODY_BYTES = 64 * 1024

# Largest answer that counts only once a caller's connection holds it. It
# travels between nodes in one message.
SMALL_ANSWER_BYTES = 256 * 1024

# A caller that has taken nothing of its answer for this long loses its
# connection if others wait for room. A reader at 5 Mbit/s frees a send buffer
# of 1 MB within 1.7 s.
STALL_TIMEOUT_MS = 2_000.0

# Memory of a connection without data: its protocol, parser and task.
CONNECTION_BYTES = 16 * 1024

# Share of the descriptors that connections of callers may use. The rest is for
# peers, the upstream and the store.
DESCRIPTOR_RATIO = 3 / 4

# Maximum number of connections that wait to be accepted, large enough for a
# burst in which all callers connect at the same time, and the share of the
# descriptors that they may use in addition.
MAX_BACKLOG = 1_024
BACKLOG_RATIO = 1 / 8

# A body that has received less than this number of bytes within this time has
# made no progress.
PROGRESS_BYTES = 16 * 1024
PROGRESS_TIMEOUT_MS = 1_000.0

# A body that waits for room for longer is refused, so that its caller can
# turn to another node before its deadline.
MAX_WAIT_MS = 3_000.0


class Cause(enum.StrEnum):
    """Why a body was given up; the label of a counter."""

    DEADLINE = 'deadline'
    NO_PROGRESS = 'no_progress'
    NO_ROOM = 'no_room'


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a node.

    Parameters
    ----------
    total_bytes : int
        Bytes of bodies and connections together.
    body_bytes : int
        Bytes of the bodies above `SMALL_BODY_BYTES`, and so the size of the
        largest body that the node can hold.
    connections : int
        Number of connections of callers.
    backlog : int
        Connections that wait to be accepted. All of them may be accepted
        before one can be closed.
    """

    total_bytes: int
    body_bytes: int
    connections: int
    backlog: int


def limits_of(memory_mb: int, max_descriptors: int) -> Limits:
    """Return the limits of a node on a host.

    Parameters
    ----------
    memory_mb : int
        Memory of the host in units of 10^6 bytes; 0 if unknown.
    max_descriptors : int
        Descriptors that the process may open; 0 if unknown.

    Examples
    --------
    >>> limits_of(200, 4_100)
    Limits(total_bytes=80000000, body_bytes=70000000, connections=3075, \
backlog=512)
    """
    descriptors = max_descriptors or DEFAULT_DESCRIPTORS
    memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * MEGABYTE
    total_bytes = max(
        MIN_TOTAL_BYTES, int(MEMORY_RATIO * memory_bytes) - PROCESS_BYTES
    )
    return Limits(
        total_bytes,
        int((1 - RESERVED_RATIO) * total_bytes),
        max(1, int(DESCRIPTOR_RATIO * descriptors)),
        max(1, min(MAX_BACKLOG, int(BACKLOG_RATIO * descriptors))),
    )


class Claim:
    """Room of one body in the budget.

    Parameters
    ----------
    started_ms, deadline_ms : float
        Monotonic instants of the request's arrival and deadline.
    on_granted : callable
        Called when room that the claim has waited for is granted.
    on_ended : callable
        Called with the cause if an incomplete body is given up.
    is_answer : bool
        True for the answer to a request that has run. It may use all of the
        budget, waits for room until its deadline, and goes first. Alone, it
        has room in any case, so that requests whose own bodies use up the
        budget can be answered.
    """

    __slots__ = (
        '_marked_bytes',
        'deadline_ms',
        'granted_bytes',
        'is_answer',
        'on_ended',
        'on_granted',
        'progress_ms',
        'waiting_since_ms',
        'wanted_bytes',
    )

    def __init__(
        self,
        started_ms: float,
        deadline_ms: float,
        on_granted: typing.Callable[[], None],
        on_ended: typing.Callable[[Cause], None],
        is_answer: bool = False,
    ) -> None:
        self.is_answer = is_answer
        self.deadline_ms = deadline_ms
        self.on_granted = on_granted
        self.on_ended = on_ended
        self.granted_bytes = 0
        self.wanted_bytes = 0
        self.progress_ms = started_ms
        self.waiting_since_ms = 0.0
        self._marked_bytes = 0

    def on_received(self, received_bytes: int, now_ms: float) -> None:
        """Record how much of the body has arrived."""
        if received_bytes - self._marked_bytes >= PROGRESS_BYTES:
            self._marked_bytes = received_bytes
            self.progress_ms = now_ms


class _Rank(enum.IntEnum):
    """Order in which waiting claims are granted room."""

    ANSWER = 0
    # A body that holds room already must be able to end.
    HOLDER = 1
    NEW = 2


def _rank(claim: Claim) -> _Rank:
    if claim.is_answer:
        return _Rank.ANSWER
    return _Rank.HOLDER if claim.granted_bytes else _Rank.NEW


class ByteBudget:
    """Divides the memory for callers among bodies and connections.

    Parameters
    ----------
    limits : Limits
        Limits of the node.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        # Bytes of all connections of callers besides bodies, and of bodies
        # that have been granted room.
        self.connection_bytes = 0
        self.body_bytes = 0
        # Number of answers that have been granted room.
        self._answers = 0
        # Claims on bodies that are incomplete, in the order of arrival.
        self._incomplete: dict[Claim, None] = {}
        self._waiting: collections.OrderedDict[Claim, None] = (
            collections.OrderedDict()
        )
        # Whether a claim was refused since the last sweep.
        self._has_refused = False

    @property
    def excess_bytes(self) -> int:
        """Bytes by which bodies and connections exceed the total."""
        held_bytes = self.connection_bytes + self.body_bytes
        return held_bytes - self.limits.total_bytes

    @property
    def has_waiting(self) -> bool:
        """True while claims wait for room."""
        return bool(self._waiting)

    @property
    def waiting_bytes(self) -> int:
        """Room that claims wait for."""
        return sum(
            claim.wanted_bytes - claim.granted_bytes for claim in self._waiting
        )

    @property
    def has_incomplete(self) -> bool:
        """True while `sweep` has claims to check."""
        return bool(self._incomplete)

    def request(self, claim: Claim, size_bytes: int, now_ms: float) -> bool:
        """Enlarge a claim; return False if it must wait for room.

        A claim that waits is granted later, by `Claim.on_granted`, or ends.

        Parameters
        ----------
        claim : Claim
            New claim, or one whose body is incomplete.
        size_bytes : int
            Total room that its body needs next.
        now_ms : float
            Monotonic time.
        """
        self._incomplete.setdefault(claim)
        if size_bytes <= claim.granted_bytes:
            return True
        claim.wanted_bytes = size_bytes
        if self._may_pass(claim) and self._fits(claim):
            self._grant(claim, now_ms)
            return True
        claim.waiting_since_ms = now_ms
        self._waiting[claim] = None
        return False

    def try_request(
        self, claim: Claim, size_bytes: int, now_ms: float
    ) -> bool:
        """Enlarge a claim; end it without a call if there is no room."""
        if self.request(claim, size_bytes, now_ms):
            return True
        self._has_refused = True
        self.release(claim, now_ms)
        return False

    def complete(self, claim: Claim) -> None:
        """Keep the room of a complete body until its release."""
        self._incomplete.pop(claim, None)

    def release(self, claim: Claim, now_ms: float) -> None:
        """Return the room of a body; grant it to those that wait."""
        self._incomplete.pop(claim, None)
        self._waiting.pop(claim, None)
        self.body_bytes -= claim.granted_bytes
        if claim.is_answer and claim.granted_bytes:
            self._answers -= 1
        claim.granted_bytes = 0
        self.grant_waiting(now_ms)

    def grant_waiting(self, now_ms: float) -> None:
        """Grant room to waiting claims in their order, while there is any."""
        for rank in _Rank:
            if rank is _Rank.NEW and any(
                claim.is_answer for claim in self._waiting
            ):
                return
            for claim in list(self._waiting):
                if claim not in self._waiting or _rank(claim) is not rank:
                    continue
                if not self._fits(claim):
                    break
                del self._waiting[claim]
                self._grant(claim, now_ms)
                claim.on_granted()

    def sweep(self, now_ms: float) -> None:
        """End bodies that are late, or without progress while others wait."""
        for claim in list(self._incomplete):
            cause = self._end_cause(claim, now_ms)
            if cause is not None:
                self._end(claim, cause)
        if self._is_blocked():
            holders = [claim for claim in self._waiting if claim.granted_bytes]
            self._end(holders[-1], Cause.NO_ROOM)
        self._has_refused = False

    def _end(self, claim: Claim, cause: Cause) -> None:
        self._incomplete.pop(claim, None)
        self._waiting.pop(claim, None)
        claim.on_ended(cause)

    def _end_cause(self, claim: Claim, now_ms: float) -> Cause | None:
        if now_ms >= claim.deadline_ms:
            return Cause.DEADLINE
        if claim in self._waiting:
            waited_ms = now_ms - claim.waiting_since_ms
            is_over = waited_ms > MAX_WAIT_MS and not claim.is_answer
            return Cause.NO_ROOM if is_over else None
        silent_ms = now_ms - claim.progress_ms
        others_wait = self._waiting or self._has_refused
        if others_wait and silent_ms > PROGRESS_TIMEOUT_MS:
            return Cause.NO_PROGRESS
        return None

    def _is_blocked(self) -> bool:
        """Return True if each incomplete body waits, and some hold room."""
        if not self._waiting or len(self._waiting) < len(self._incomplete):
            return False
        return any(claim.granted_bytes for claim in self._waiting)

    def _may_pass(self, claim: Claim) -> bool:
        """Return True if a claim need not wait behind others."""
        if claim.granted_bytes or claim.wanted_bytes <= SMALL_BODY_BYTES:
            return True
        if claim.is_answer:
            return not any(other.is_answer for other in self._waiting)
        return not self._waiting

    def _fits(self, claim: Claim) -> bool:
        if claim.is_answer and not self._answers:
            return True
        more_bytes = claim.wanted_bytes - claim.granted_bytes
        if self.excess_bytes + more_bytes > 0:
            return False
        if claim.wanted_bytes <= SMALL_BODY_BYTES or claim.is_answer:
            return True
        return self.body_bytes + more_bytes <= self.limits.body_bytes

    def _grant(self, claim: Claim, now_ms: float) -> None:
        self.body_bytes += claim.wanted_bytes - claim.granted_bytes
        claim.granted_bytes = claim.wanted_bytes
        claim.progress_ms = now_ms
        if claim.is_answer:
            self._answers += 1
            self._incomplete.pop(claim, None)


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionState:
    """What the choice of connections to close depends on.

    Parameters
    ----------
    key : object
        The connection.
    held_bytes : int
        Bytes that it holds besides its body.
    progress_ms : float
        Monotonic instant at which it last sent or took data.
    """

    key: typing.Any
    held_bytes: int
    progress_ms: float


def choose_stalled(
    states: typing.Iterable[ConnectionState], wanted_bytes: int, now_ms: float
) -> list[ConnectionState]:
    """Return the connections to close while others wait for room.

    Parameters
    ----------
    states : iterable of ConnectionState
        Connections whose callers have answers to read.
    wanted_bytes : int
        Room that is waited for.
    now_ms : float
        Monotonic time.

    Examples
    --------
    >>> states = [ConnectionState('a', 90, 9_000), ConnectionState('b', 9, 0)]
    >>> [state.key for state in choose_stalled(states, 50, 9_500)]
    ['b']
    """
    stalled = [
        state
        for state in states
        if now_ms - state.progress_ms >= STALL_TIMEOUT_MS
    ]
    return choose_connections(stalled, wanted_bytes, 0, now_ms)


def choose_connections(
    states: typing.Iterable[ConnectionState],
    excess_bytes: int,
    excess_connections: int,
    now_ms: float,
) -> list[ConnectionState]:
    """Return the connections to close, so that others have room.

    Connections that hold much for long without progress are the first; for
    descriptors alone, those without progress for the longest time.

    Parameters
    ----------
    states : iterable of ConnectionState
        Connections on which no complete request is running.
    excess_bytes, excess_connections : int
        What is to be freed.
    now_ms : float
        Monotonic time.

    Examples
    --------
    >>> old, large = ConnectionState('a', 9, 0), ConnectionState('b', 90, 5)
    >>> [state.key for state in choose_connections([old, large], 50, 0, 10)]
    ['b']
    >>> [state.key for state in choose_connections([old, large], 0, 1, 10)]
    ['a']
    """

    def burden(state: ConnectionState) -> float:
        return state.held_bytes * (now_ms - state.progress_ms)

    chosen = []
    freed_bytes = 0
    candidates = list(states)
    if excess_bytes > 0:
        for state in sorted(candidates, key=burden, reverse=True):
            if freed_bytes >= excess_bytes:
                break
            freed_bytes += state.held_bytes
            chosen.append(state)
    more = excess_connections - len(chosen)
    if more > 0:
        taken = {id(state) for state in chosen}
        rest = [state for state in candidates if id(state) not in taken]
        rest.sort(key=lambda state: state.progress_ms)
        chosen += rest[:more]
    return chosen
