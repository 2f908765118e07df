"""Writes the results of experiments as JSON, table and plot."""

from __future__ import annotations

import json
import pathlib
import typing

from matplotlib import pyplot
import tabulate

_COLUMNS = (
    'policy',
    'requests',
    'p50_ms',
    'p99_ms',
    'p999_ms',
    'goodput_ratio',
    'error_ratio',
    'runs_per_request',
    'deepest_runs_per_request',
    'probe_bytes_per_request',
    'promises_broken',
    'generator_lag_p99_ms',
    'generator_core_share',
    'valid',
)


def table(result: dict[str, typing.Any]) -> str:
    """Return the rows of a result as a text table."""
    rows = [[row[name] for name in _COLUMNS] for row in result['rows']]
    oracle = result['oracle']
    rows.append(['oracle', '', oracle['p50_ms'], oracle['p99_ms']])
    return tabulate.tabulate(rows, headers=_COLUMNS, floatfmt='.3g')


def write(
    name: str, result: dict[str, typing.Any], directory: pathlib.Path
) -> None:
    """Write ``NAME.json`` and ``NAME.png`` into a directory."""
    directory.mkdir(parents=True, exist_ok=True)
    text = json.dumps(result, indent=2)
    (directory / f'{name}.json').write_text(text + '\n')
    _plot(name, result, directory / f'{name}.png')


pyplot.switch_backend('Agg')


def _plot(
    name: str, result: dict[str, typing.Any], path: pathlib.Path
) -> None:
    rows = result['rows']
    labels = [row['policy'] for row in rows]
    positions = range(len(rows))
    figure, axes = pyplot.subplots(figsize=(9, 4.5), layout='constrained')
    for offset, column in ((-0.2, 'p50_ms'), (0.2, 'p99_ms')):
        axes.bar(
            [position + offset for position in positions],
            [row[column] for row in rows],
            width=0.38,
            label=column.removesuffix('_ms'),
        )
    axes.axhline(
        result['oracle']['p99_ms'],
        color='black',
        linestyle='--',
        label='oracle p99',
    )
    axes.set_xticks(list(positions), labels)
    axes.set_ylabel('latency, ms')
    axes.set_title(f'{name}: latency by policy')
    axes.legend()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
