"""Restart of background tasks that fail unexpectedly."""

from __future__ import annotations

import asyncio
import typing

from jasminebeam.telemetry import events

# Pause before a failed task starts again. It bounds the log volume of a task
# that fails at once on each start.
RESTART_DELAY_S = 0.5

Start = typing.Callable[[], typing.Coroutine[typing.Any, typing.Any, None]]


async def supervise(
    start: Start,
    log: events.EventLog,
    restart_delay_s: float = RESTART_DELAY_S,
) -> None:
    """Run a coroutine function until it returns; restart it if it raises.

    Parameters
    ----------
    start : callable
        Returns the coroutine to run.
    log : EventLog
        Receives each failure.
    restart_delay_s : float
        Pause before the next start.
    """
    while True:
        try:
            return await start()
        except Exception as error:
            log.write(
                events.Event.TASK_FAILED,
                task=name_of(start),
                error=repr(error),
                restart_delay_s=restart_delay_s,
            )
        await asyncio.sleep(restart_delay_s)


def name_of(start: Start) -> str:
    """Return the qualified name of the coroutine function."""
    function = getattr(start, 'func', start)
    return getattr(function, '__qualname__', repr(function))


class BackgroundTasks:
    """Tasks that run until they end or the owner cancels them.

    Parameters
    ----------
    log : EventLog
        Receives each failure.
    """

    def __init__(self, log: events.EventLog) -> None:
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def supervise(self, start: Start) -> None:
        """Run a coroutine function; restart it if it raises."""
        self.spawn(supervise(start, self._log))

    def spawn(self, coroutine: typing.Coroutine[None, None, None]) -> None:
        """Run a coroutine once."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def cancel(self) -> None:
        """Cancel all tasks and wait for their ends."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._log.write(
            events.Event.TASK_FAILED,
            task=task.get_coro().__qualname__,
            error=repr(task.exception()),
        )
