"""Another service's target takes an address; its heartbeat is late."""

from __future__ import annotations

import asyncio
import os
import pathlib
import time

from review import harness

SEATS, FEES = 'inscricoes', 'cobranca'
REUSE_AFTER_S = 2.0
# Time between the first answer of the new target and the arrival of its
# first heartbeat.
LATE_S = 1.5
RULES = (
    harness.Rule(
        '/seats/', SEATS, kind='unsafe', aim_ms=800, timeout_ms=2_000
    ),
    harness.Rule('/fees/', FEES, aim_ms=800, timeout_ms=2_000),
)


async def play(case: harness.Case) -> list[str]:
    """Return the requests that a service ran which may not run them."""
    await case.store.configure(1, rules=RULES, services=(SEATS, FEES))
    first = await case.add_machine('side-a-1', 'ce-a', SEATS)
    second = await case.add_machine('side-b-1', 'ce-b', FEES)
    # One target of four ends: a share of 0.25.
    await case.add_machine('side-b-2', 'ce-b', FEES)
    await case.add_machine('side-c-1', 'ce-c', FEES)
    await case.wait_ready()
    target = case.targets[0]

    async def serves() -> bool:
        number = len(case.answers)
        status = await case.request(second, '/seats/1', f'warm-{number}')
        return status.startswith('200')

    await case.wait(serves, 'no answer')

    async def send(seconds: float) -> None:
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            case.send_later(
                second,
                '/seats/1',
                f'seats-{len(case.sent_s)}',
                method='POST',
                deadline_ms=2_000,
            )
            await asyncio.sleep(0.025)

    await send(4)
    if not case.trouble:
        await send(6)
        await asyncio.sleep(2)
        return []
    target.stop_beating()
    await target.stop()
    case.record.write('trouble', target=target.upstream_id, ended='crash')
    await send(REUSE_AFTER_S + 0.1)
    other = harness.Target(first.app, 'i-other', FEES, case.record)
    case.targets.append(other)
    first.service = FEES
    first.write_settings()
    await other.start()
    case.record.write('trouble', target=other.upstream_id, started=FEES)
    await send(LATE_S)
    other.beat(f'127.0.0.1:{first.control}')
    await send(2.5)
    await asyncio.sleep(2)
    return [
        f'{request} was sent to {SEATS} and run by {other.service}'
        for _, request in other.served
        if request.startswith('seats')
    ]


harness.run(
    play,
    pathlib.Path(__file__).parent,
    trouble=os.environ.get('TROUBLE', '1') != '0',
)
