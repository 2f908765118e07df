"""Command line of the load and experiment tool."""

from __future__ import annotations

import pathlib
import sys
import typing

from absl import app
from absl import flags
import msgspec
import tqdm
import uvloop

from bench import emulation
from bench import experiment
from bench import report

_OUTPUT = flags.DEFINE_string(
    'output', 'build/bench', 'Directory for results.'
)
_LIST = flags.DEFINE_bool('list', False, 'List the experiments and exit.')
_ROUNDS = flags.DEFINE_integer(
    'rounds', 0, 'Slices of each policy; 0 for the number in the file.'
)

_SEED = flags.DEFINE_integer('seed', 1, 'Seed of an emulation.')

EXIT_INVALID_RESULT = 1
EXIT_USAGE = 2


async def _run(name: str, plan: experiment.Plan) -> bool:
    directory = pathlib.Path(_OUTPUT.value)
    run = experiment.Run(plan, directory / 'fleet')
    slices = len(experiment.contenders(plan)) * plan.rounds
    with tqdm.tqdm(
        total=slices * plan.slice_s,
        desc=name,
        mininterval=2.0,
        bar_format='{l_bar}{bar}| {n:.0f}/{total:.0f} s',
    ) as bar:
        result = await run.run(bar.update)
    report.write(name, result, directory)
    print(report.table(result))
    valid = all(row['valid'] for row in result['rows'])
    if not valid:
        print('refused: the load generator lagged', file=sys.stderr)
    return valid


def main(arguments: typing.Sequence[str]) -> int:
    """Run the named experiments.

    Returns
    -------
    int
        0, 1 if a result is refused because the generator lagged, or 2
        for an unknown experiment or a mistake in its file.
    """
    known = [*experiment.names(), *emulation.PLANS]
    if _LIST.value or len(arguments) < 2:
        print('\n'.join(known))
        return 0
    valid = True
    for name in arguments[1:]:
        if name in emulation.PLANS:
            print(emulation.compare(name, _SEED.value))
            continue
        try:
            plan = experiment.load_plan(name)
        except FileNotFoundError:
            print(f'no experiment {name!r}', file=sys.stderr)
            return EXIT_USAGE
        except msgspec.ValidationError as error:
            print(f'{name}.ini: {error}', file=sys.stderr)
            return EXIT_USAGE
        if _ROUNDS.value:
            plan = msgspec.structs.replace(plan, rounds=_ROUNDS.value)
        valid = uvloop.run(_run(name, plan)) and valid
    return 0 if valid else EXIT_INVALID_RESULT


def run() -> None:
    """Entry point of ``jasminebeam-bench``."""
    app.run(main)


if __name__ == '__main__':
    run()
