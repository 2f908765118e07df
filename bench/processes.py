"""Starts, signals and ends child processes, each with a log file."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import typing


class Processes:
    """Child processes by name; ends only those that it has started.

    Parameters
    ----------
    directory : pathlib.Path
        Directory for logs.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._logs: list[typing.IO[bytes]] = []

    async def spawn(
        self,
        name: str,
        *command: str,
        environment: typing.Mapping[str, str] | None = None,
    ) -> None:
        """Start a process; a further start appends to its log."""
        mode = 'ab' if name in self._processes else 'wb'
        log = (self._directory / f'{name}.log').open(mode)
        self._logs.append(log)
        self._processes[name] = await asyncio.create_subprocess_exec(
            *command,
            stdout=log,
            stderr=log,
            env={**os.environ, **(environment or {})},
        )

    def process_id(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process that has not ended."""
        process = self._processes.get(name)
        if process is not None and process.returncode is None:
            process.send_signal(signal_number)

    async def wait(self, name: str) -> int:
        """Wait until a process ends; return its exit status."""
        return await self._processes[name].wait()

    async def kill_all(self) -> None:
        """Kill all processes and close the logs."""
        for signal_number in (signal.SIGCONT, signal.SIGKILL):
            for name in self._processes:
                self.send_signal(name, signal_number)
        for name in self._processes:
            await self.wait(name)
        for log in self._logs:
            log.close()
