"""Sidecar's registry that hands each request over at most once."""

from __future__ import annotations

import collections
import dataclasses
import enum

from jasminebeam import verdict

RequestId = tuple[int, int]


class State(enum.Enum):
    """What a sidecar knows of a request."""

    NEW = 'new'
    ACCEPTED = 'accepted'
    STARTED = 'started'
    DONE = 'done'
    REVOKED = 'revoked'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Registered state of one request.

    Parameters
    ----------
    state : State
        Progress of the request.
    verdict : Verdict or None
        Kept result of a finished request.
    changed_ms : float
        Monotonic instant of the last change.
    """

    state: State
    verdict: verdict.Verdict | None
    changed_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of the registry's memory.

    Parameters
    ----------
    sessions : int
        Sessions kept; the least recently used one is dropped first.
    entries : int
        Finished requests kept over all sessions.
    retention_ms : float
        Time for which a finished request is kept.
    answer_bytes : int
        Bytes of kept answers over all sessions.
    """

    sessions: int = 4_096
    entries: int = 16_384
    retention_ms: float = 30_000.0
    answer_bytes: int = 8 * 1024 * 1024


class RequestRegistry:
    """Records sessions and requests of one sidecar process.

    A session number is never reused. Dropping a session refuses all its
    requests for ever, and evicting an entry raises the session's floor,
    so that a delayed duplicate of it is never taken for a new request.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._next_session = 1
        # Maps each session to its floor: the highest evicted sequence.
        self._sessions: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._open: dict[RequestId, Entry] = {}
        self._finished: collections.OrderedDict[RequestId, Entry] = (
            collections.OrderedDict()
        )
        self._answer_bytes = 0

    def open_session(self) -> int:
        """Return the number of a new session."""
        session = self._next_session
        self._next_session += 1
        self._sessions[session] = 0
        while len(self._sessions) > self._limits.sessions:
            self._sessions.popitem(last=False)
        return session

    def state(self, request_id: RequestId) -> State:
        """Return what is known of a request, without changing it."""
        entry = self._open.get(request_id) or self._finished.get(request_id)
        if entry is not None:
            return entry.state
        floor = self._sessions.get(request_id[0])
        if floor is None or request_id[1] <= floor:
            return State.UNKNOWN
        return State.NEW

    def accept(self, request_id: RequestId, now_ms: float) -> State:
        """Register a request and return its state before the call.

        Only `State.NEW` allows the caller to go on with the request.
        """
        before = self.state(request_id)
        if before is State.NEW:
            self._sessions.move_to_end(request_id[0])
            self._open[request_id] = Entry(State.ACCEPTED, None, now_ms)
        return before

    def start(self, request_id: RequestId, now_ms: float) -> bool:
        """Mark a request as handed over; False forbids the hand-over."""
        entry = self._open.get(request_id)
        if entry is None or entry.state is not State.ACCEPTED:
            return False
        self._open[request_id] = Entry(State.STARTED, None, now_ms)
        return True

    def finish(
        self,
        request_id: RequestId,
        result: verdict.Verdict,
        now_ms: float,
    ) -> None:
        """Keep the result of a request that is open."""
        if self._open.pop(request_id, None) is None:
            return
        self._keep(request_id, Entry(State.DONE, result, now_ms))

    def revoke(self, request_id: RequestId, now_ms: float) -> State:
        """Forbid a request to start and return its state afterwards.

        `State.REVOKED` proves that the request has not run and never
        will.
        """
        before = self.state(request_id)
        if before is State.ACCEPTED:
            del self._open[request_id]
        if before in (State.NEW, State.ACCEPTED):
            self._keep(request_id, Entry(State.REVOKED, None, now_ms))
            return State.REVOKED
        return before

    def result(self, request_id: RequestId) -> verdict.Verdict | None:
        """Return the kept result of a finished request."""
        entry = self._finished.get(request_id)
        return entry.verdict if entry is not None else None

    def expire(self, now_ms: float) -> None:
        """Evict finished requests that are older than the retention."""
        limit_ms = now_ms - self._limits.retention_ms
        while self._finished:
            entry = next(iter(self._finished.values()))
            if entry.changed_ms > limit_ms:
                return
            self._evict_oldest()

    def _keep(self, request_id: RequestId, entry: Entry) -> None:
        self._finished[request_id] = entry
        self._answer_bytes += _answer_bytes(entry)
        while (
            len(self._finished) > self._limits.entries
            or self._answer_bytes > self._limits.answer_bytes
        ):
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        request_id, entry = self._finished.popitem(last=False)
        self._answer_bytes -= _answer_bytes(entry)
        floor = self._sessions.get(request_id[0])
        if floor is not None:
            self._sessions[request_id[0]] = max(floor, request_id[1])


def _answer_bytes(entry: Entry) -> int:
    if entry.verdict is None or entry.verdict.answer is None:
        return 0
    return len(entry.verdict.answer.body)
