"""Request registry of a sidecar: each request runs at most once."""

from __future__ import annotations

import collections
import dataclasses
import enum

from jasminebeam import verdict

RequestId = tuple[int, int]


class State(enum.Enum):
    """State of a request as a sidecar knows it."""

    NEW = 'new'
    ACCEPTED = 'accepted'
    STARTED = 'started'
    DONE = 'done'
    REVOKED = 'revoked'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Registry entry of one request.

    Parameters
    ----------
    state : State
        State of the request.
    verdict : Verdict or None
        Result of a finished request.
    changed_ms : float
        Monotonic instant of the last change.
    """

    state: State
    verdict: verdict.Verdict | None
    changed_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the registry's memory.

    Parameters
    ----------
    sessions : int
        Maximum number of sessions; the least recently used one is evicted
        first.
    entries : int
        Maximum number of finished requests kept over all sessions.
    retention_ms : float
        Time for which a finished request is kept.
    answer_bytes : int
        Maximum size of the answer bodies kept over all sessions.
    """

    sessions: int = 4_096
    entries: int = 16_384
    retention_ms: float = 30_000.0
    answer_bytes: int = 8 * 1024 * 1024


class RequestRegistry:
    """Records the sessions and requests of one sidecar process.

    A session number is never reused, so the registry refuses every later
    request of an evicted session. When the registry evicts an entry, it
    raises the session's floor to the entry's sequence number. A delayed
    duplicate of the request is therefore never taken for a new request.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._next_session = 1
        # Maps each session to its floor, the highest evicted sequence
        # number.
        self._sessions: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._open: dict[RequestId, Entry] = {}
        self._finished: collections.OrderedDict[RequestId, Entry] = (
            collections.OrderedDict()
        )
        self._answer_bytes = 0

    def open_session(self) -> int:
        """Open a session and return its number."""
        session = self._next_session
        self._next_session += 1
        self._sessions[session] = 0
        while len(self._sessions) > self._limits.sessions:
            self._sessions.popitem(last=False)
        return session

    def state(self, request_id: RequestId) -> State:
        """Return the state of a request without changing it."""
        entry = self._open.get(request_id) or self._finished.get(request_id)
        if entry is not None:
            return entry.state
        floor = self._sessions.get(request_id[0])
        if floor is None or request_id[1] <= floor:
            return State.UNKNOWN
        return State.NEW

    def accept(self, request_id: RequestId, now_ms: float) -> State:
        """Register a request and return its previous state.

        The sidecar may only run the request if the result is `State.NEW`.
        """
        previous_state = self.state(request_id)
        if previous_state is State.NEW:
            self._sessions.move_to_end(request_id[0])
            self._open[request_id] = Entry(State.ACCEPTED, None, now_ms)
        return previous_state

    def start(self, request_id: RequestId, now_ms: float) -> bool:
        """Mark a request as started; return False if it must not start."""
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
        """Record the result of an accepted or started request."""
        if self._open.pop(request_id, None) is None:
            return
        self._keep(request_id, Entry(State.DONE, result, now_ms))

    def revoke(self, request_id: RequestId, now_ms: float) -> State:
        """Prevent a request from starting and return its new state.

        `State.REVOKED` proves that the request has not run and never will.
        """
        previous_state = self.state(request_id)
        if previous_state is State.ACCEPTED:
            del self._open[request_id]
        if previous_state in (State.NEW, State.ACCEPTED):
            self._keep(request_id, Entry(State.REVOKED, None, now_ms))
            return State.REVOKED
        return previous_state

    def result(self, request_id: RequestId) -> verdict.Verdict | None:
        """Return the result of a finished request, if it is still kept."""
        entry = self._finished.get(request_id)
        return entry.verdict if entry is not None else None

    def expire(self, now_ms: float) -> None:
        """Evict finished requests after their retention time."""
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
