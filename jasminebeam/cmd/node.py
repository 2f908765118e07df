"""Runs one node until it receives SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import gc
import pathlib
import signal
import sys
import typing

from absl import app
from absl import flags
import aiomisc
from returns import result

from jasminebeam import node
from jasminebeam import settings
from jasminebeam.telemetry import events

_SETTINGS = flags.DEFINE_string(
    'settings', None, 'Path of the INI settings file.', required=True
)
_CHECK_SETTINGS = flags.DEFINE_bool(
    'check_settings', False, 'Check the settings and exit.'
)

EXIT_INVALID_SETTINGS = 2
GC_THRESHOLD_ALLOCATIONS = 20_000


class NodeService(aiomisc.Service):
    """Runs a node as a service of aiomisc."""

    node: node.Node

    async def start(self) -> None:
        """Start the node."""
        await self.node.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the node gracefully."""
        await self.node.stop()


async def _run_until_signal(service: NodeService) -> None:
    # Objects allocated during start-up live as long as the process. Freezing
    # them saves the garbage collector from scanning them.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS, 20, 50)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
    # The entry point of aiomisc cancels running requests before it stops its
    # services, so the node stops here first.
    await service.stop()


def main(arguments: typing.Sequence[str]) -> int:
    """Validate the settings and run the node.

    Returns
    -------
    int
        Exit status: 0, or 2 for invalid settings.
    """
    loaded = settings.load(pathlib.Path(_SETTINGS.value))
    if not isinstance(loaded, result.Success):
        print(f'invalid settings: {loaded.failure()}', file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    checked = loaded.unwrap()
    if _CHECK_SETTINGS.value:
        print('settings are valid')
        return 0
    telemetry = checked.telemetry
    handler = events.open_handler(telemetry.log_format, telemetry.log_level)
    with handler.applicationbound():
        service = NodeService(node=node.Node(checked))
        aiomisc.run(
            _run_until_signal(service),
            service,
            log_config=False,
            catch_signals=(),
        )
        handler.flush()
    return 0


def run() -> None:
    """Entry point of ``jasminebeam-node``."""
    app.run(main)
