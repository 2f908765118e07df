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
