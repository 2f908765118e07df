"""Runs one stand-in as a process."""

from __future__ import annotations

import asyncio
import signal
import sys
import typing

import msgspec
import uvloop

from bench.standins import relay
from bench.standins import store
from bench.standins import upstream


class _StandIn(typing.Protocol):
    async def start(self) -> None: ...

    async def stop(self) -> None: ...


async def _run(create: typing.Callable[[], _StandIn]) -> None:
    stand_in = create()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    await stand_in.start()
    await stopped.wait()
    await stand_in.stop()


def main(arguments: list[str]) -> None:
    """Run ``store PORT``, or ``upstream`` or ``relay`` with options.

    The options are JSON; the process runs until SIGTERM.
    """
    kind, argument = arguments
    if kind == 'relay':
        network = msgspec.json.decode(argument, type=relay.Options)
        uvloop.run(_run(lambda: relay.StandInNetwork(network)))
        return
    if kind == 'store':
        uvloop.run(_run(lambda: store.StandInStore(int(argument))))
        return
    options = msgspec.json.decode(argument, type=upstream.Options)
    uvloop.run(_run(lambda: upstream.StandInUpstream(options)))


if __name__ == '__main__':
    main(sys.argv[1:])
