"""Runs one node until it receives SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
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


class NodeService(aiomisc.Service):
    """Starts and stops a node with the entry point."""

    node: node.Node

    async def start(self) -> None:
        """Start the node and stop the loop on a signal."""
        loop = asyncio.get_running_loop()
        await self.node.start()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._request_stop)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the node gracefully."""
        await self.node.stop()

    def _request_stop(self) -> None:
        self._stopping = asyncio.ensure_future(self._stop_loop())

    async def _stop_loop(self) -> None:
        await self.node.stop()
        asyncio.get_running_loop().stop()


def main(arguments: typing.Sequence[str]) -> int:
    """Check the settings and run the node.

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
        aiomisc.run(NodeService(node=node.Node(checked)), log_config=False)
    return 0


def run() -> None:
    """Entry point of ``jasminebeam-node``."""
    app.run(main)
