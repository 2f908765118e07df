"""Runs one stand-in as a process until SIGTERM."""

from __future__ import annotations

import asyncio
import signal
import sys
import typing

import msgspec
import uvloop

from bench.standins import network
from bench.standins import store
from bench.standins import upstream


class _StandIn(typing.Protocol):
    async def start(self) -> None: ...

    async def stop(self) -> None: ...


async def _run(create_stand_in: typing.Callable[[], _StandIn]) -> None:
    stand_in = create_stand_in()
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    await stand_in.start()
    await stop_requested.wait()
    await stand_in.stop()


def main(arguments: list[str]) -> None:
    """Run the stand-in that the arguments name.

    The arguments are ``store PORT``, ``upstream OPTIONS`` or ``relay
    OPTIONS``; ``relay`` stands for the stand-in network. OPTIONS is the
    JSON form of the `Options` of the stand-in's module.
    """
    name, argument = arguments
    if name == 'relay':
        network_options = msgspec.json.decode(argument, type=network.Options)
        uvloop.run(_run(lambda: network.StandInNetwork(network_options)))
        return
    if name == 'store':
        uvloop.run(_run(lambda: store.StandInStore(int(argument))))
        return
    upstream_options = msgspec.json.decode(argument, type=upstream.Options)
    uvloop.run(_run(lambda: upstream.StandInUpstream(upstream_options)))


if __name__ == '__main__':
    main(sys.argv[1:])
