"""The program that the platform starts on each host."""

from __future__ import annotations

import asyncio
import faulthandler
import gc
import os
import pathlib
import signal
import sys

from returns import result
import uvloop

from jasminebeam import node
from jasminebeam.platform import adapter
from jasminebeam.platform import settings
from jasminebeam.telemetry import events

SETTINGS_VARIABLE = 'JASMINEBEAM_SETTINGS'
EXIT_INVALID_SETTINGS = 2
GC_ALLOCATIONS = 20_000

# The file may change without a signal.
SETTINGS_POLL_S = 1.0


class _Reloader:
    """Reads the settings again when the file has changed."""

    def __init__(
        self,
        path: pathlib.Path,
        running: node.Node,
        outside: adapter.PlatformAdapter,
        loaded: settings.PlatformSettings,
    ) -> None:
        self._path = path
        self._node = running
        self._adapter = outside
        self._loaded = loaded

    async def run(self) -> None:
        """Look at the file now and then."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            self.reload()

    def reload(self) -> None:
        """Put a changed file in force; a faulty one changes nothing."""
        loaded = settings.load(self._path)
        if not isinstance(loaded, result.Success):
            self._node.log.write(
                events.Event.SETTINGS_REFUSED, cause=loaded.failure()
            )
            return
        new = loaded.unwrap()
        if new == self._loaded:
            return
        self._loaded = new
        self._adapter.replace(new)
        self._node.log.write(
            events.Event.SETTINGS_RELOADED, service=new.adapter.service
        )


async def _serve(
    path: pathlib.Path, loaded: settings.PlatformSettings
) -> None:
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    outside = adapter.PlatformAdapter(loaded)
    running = node.Node(loaded.node, outside)
    await running.start()
    reloader = _Reloader(path, running, outside, loaded)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    polling = loop.create_task(reloader.run())
    # What the start has allocated stays; collections need not visit it.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS, 20, 50)
    gc.enable()
    await stopped.wait()
    polling.cancel()
    await running.stop()


def main() -> int:
    """Check the settings and run the node until it is told to stop.

    Returns
    -------
    int
        Exit status: 0, or 2 for invalid settings.
    """
    # A library that aborts leaves the stacks of all threads behind.
    faulthandler.enable()
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ''))
    loaded = settings.load(path)
    if not isinstance(loaded, result.Success):
        print(f'invalid settings: {loaded.failure()}', file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    checked = loaded.unwrap()
    telemetry = checked.node.telemetry
    handler = events.open_handler(telemetry.log_format, telemetry.log_level)
    with handler.applicationbound():
        uvloop.run(_serve(path, checked))
        handler.flush()
    return 0
