"""Runs one stand-in as a process until SIGTERM."""

from __future__ import annotations

import asyncio
import signal
import sys
import typing

import msgspec
import uvloop

from bench.standins import controlled
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


_CREATORS: dict[str, typing.Callable[[str], _StandIn]] = {
    'store': lambda argument: store.StandInStore(int(argument)),
    'relay': lambda argument: network.StandInNetwork(
        msgspec.json.decode(argument, type=network.Options)
    ),
    'upstream': lambda argument: upstream.StandInUpstream(
        msgspec.json.decode(argument, type=upstream.Options)
    ),
    'platform-store': controlled.store_from,
    'platform-upstream': controlled.upstream_from,
}


def main(arguments: list[str]) -> None:
    """Run the stand-in that the arguments name.

    The arguments are ``store PORT``, ``platform-store PORT``, or the name of
    another stand-in and its OPTIONS; ``relay`` stands for the stand-in
    network. OPTIONS is the JSON form of the options of the stand-in's
    module.
    """
    name, argument = arguments
    uvloop.run(_run(lambda: _CREATORS[name](argument)))


if __name__ == '__main__':
    main(sys.argv[1:])
