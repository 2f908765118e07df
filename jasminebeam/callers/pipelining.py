"""Concurrent processing of idempotent requests on one connection."""

from __future__ import annotations

import asyncio
import collections
import typing

from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web

from jasminebeam import body_payload

Respond = typing.Callable[
    [web.BaseRequest, float], typing.Coroutine[None, None, web.StreamResponse]
]
Message = http_parser.RawRequestMessage

# Requests of one connection that are processed at the same time.
MAX_CONCURRENT = 4

# Bodies of waiting responses above this size are counted as soon as they are
# complete.
MIN_HELD_BYTES = 16 * 1024


class PipelinedRequests:
    """Requests of one connection that arrived before their turn.

    Responses are written in the order of the requests. A request is
    processed before its turn only while all requests before it on the
    connection are idempotent as well, as RFC 9112 requires. A request
    behind a response that closes the connection counts as not read, so a
    request that is not idempotent never starts before its turn.

    Parameters
    ----------
    respond : callable
        Processes a request, given its arrival time in ms.
    is_idempotent : callable
        Returns whether a request may run more than once.
    on_held : callable
        Called when a response waits for its turn.
    """

    def __init__(
        self,
        respond: Respond,
        is_idempotent: typing.Callable[[Message], bool],
        on_held: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self._on_held = on_held
        # Sizes of the last messages that wait, with their bodies.
        self._sizes: collections.deque[int] = collections.deque()
        self._respond = respond
        self._is_idempotent = is_idempotent
        self._arrivals_ms: dict[int, float] = {}
        self._tasks: dict[int, asyncio.Task[web.StreamResponse]] = {}
        # Response that is being written.
        self._current: web.StreamResponse | None = None

    @property
    def started(self) -> int:
        """Number of requests that have started before their turn."""
        return len(self._tasks)

    def on_bytes(self, size_bytes: int, arrived: int, waiting: int) -> None:
        """Record bytes of messages that wait for their turn.

        Parameters
        ----------
        size_bytes : int
            Number of bytes parsed.
        arrived : int
            Messages whose headers were complete with them.
        waiting : int
            Messages that wait, with these.
        """
        if waiting < 2:
            if self._sizes:
                self._sizes.clear()
        elif arrived:
            self._sizes.extend([size_bytes // arrived] * arrived)
        elif self._sizes:
            self._sizes[-1] += size_bytes

    def held_bytes(self, waiting: int) -> int:
        """Return the bytes of waiting messages, and of all responses.

        Responses with room of their own are not counted.
        """
        while len(self._sizes) > waiting:
            self._sizes.popleft()
        return sum(self._sizes) + sum(
            size_bytes
            for size_bytes, has_room in self._body_sizes()
            if not has_room
        )

    @property
    def answer_bytes(self) -> int:
        """Bytes of the responses that have room of their own."""
        return sum(
            size_bytes
            for size_bytes, has_room in self._body_sizes()
            if has_room
        )

    def _body_sizes(self) -> typing.Iterator[tuple[int, bool]]:
        yield _body_size(self._current)
        for task in self._tasks.values():
            yield _body_size(_response_of(task))

    def _on_done(self, task: asyncio.Task[web.StreamResponse]) -> None:
        size_bytes, _ = _body_size(_response_of(task))
        if size_bytes > MIN_HELD_BYTES:
            self._on_held()

    def on_arrival(
        self, messages: typing.Iterable[Message], now_ms: float
    ) -> None:
        """Record the arrival time of messages."""
        for message in messages:
            self._arrivals_ms[id(message)] = now_ms

    def start_waiting(
        self,
        current: Message | None,
        waiting: typing.Iterable[tuple[Message, streams.StreamReader]],
        create_request: typing.Callable[..., web.BaseRequest],
    ) -> None:
        """Start the requests that may run beside those before them.

        Parameters
        ----------
        current : RawRequestMessage or None
            Message whose turn it is; None between two requests.
        waiting : iterable
            Messages behind it, in order, with their bodies.
        create_request : callable
            Returns the request of a message and its body.
        """
        if current is not None and not self._is_idempotent(current):
            return
        # Between two requests, the first one that waits is about to start.
        is_next = current is None
        for message, payload in waiting:
            if len(self._tasks) >= MAX_CONCURRENT - 1:
                return
            if not self._may_start(message, payload):
                return
            if not is_next and id(message) not in self._tasks:
                request = create_request(message, payload)
                task = asyncio.ensure_future(
                    self._respond(request, self._arrivals_ms[id(message)])
                )
                task.add_done_callback(self._on_done)
                self._tasks[id(message)] = task
            is_next = False

    def _may_start(
        self, message: Message, payload: streams.StreamReader
    ) -> bool:
        if id(message) not in self._arrivals_ms:
            # The parser reports a malformed request in place of a message.
            return False
        return payload is streams.EMPTY_PAYLOAD and self._is_idempotent(
            message
        )

    async def respond(
        self, request: web.BaseRequest, message: Message, now_ms: float
    ) -> web.StreamResponse:
        """Return the response of the request whose turn it is."""
        arrived_ms = self._arrivals_ms.pop(id(message), now_ms)
        task = self._tasks.pop(id(message), None)
        if task is None:
            response = await self._respond(request, arrived_ms)
        else:
            response = await task
        self._current = response
        return response

    def on_written(self) -> None:
        """Forget the response whose turn it was."""
        self._current = None

    def cancel(self) -> None:
        """Cancel the requests that have started before their turn."""
        for task in self._tasks.values():
            task.cancel()
        self._current = None
        self._tasks.clear()
        self._arrivals_ms.clear()


def _response_of(
    task: asyncio.Task[web.StreamResponse],
) -> web.StreamResponse | None:
    """Return the response of a task that has one."""
    if not task.done() or task.cancelled() or task.exception() is not None:
        return None
    return task.result()


def _body_size(response: web.StreamResponse | None) -> tuple[int, bool]:
    """Return the size of a body, and whether it has room of its own."""
    body = getattr(response, 'body', None)
    if isinstance(body, body_payload.LargeBody):
        return body.size, body.is_counted
    if isinstance(body, (bytes, bytearray)):
        return len(body), False
    return 0, False
