"""Renders the report of a benchmark day as an HTML page with plots."""

from __future__ import annotations

import base64
import html
import io
import pathlib
import sys

from absl import app
from matplotlib import pyplot
import msgspec
import tabulate

pyplot.switch_backend('Agg')

EXIT_USAGE = 2

# Prices below this share of the total value are left out of the plot.
MIN_PLOTTED_SHARE = 0.0005


class Window(msgspec.Struct, frozen=True):
    """Outcomes of the requests in one time window.

    The field ``name`` holds the second of the day at which the window
    starts. The field ``in_aim`` counts the timely answers.
    """

    name: str
    n: int
    in_aim: int
    late: int
    refused: int
    failed: int
    p50_ms: float | None = None
    p99_ms: float | None = None

    @property
    def start_s(self) -> float:
        """Second of the day at which the window starts."""
        return float(self.name)


class Service(msgspec.Struct, frozen=True):
    """Number of requests at the upstreams of one service, by their result."""

    name: str
    arrivals: int
    not_run: int
    ran_badly: int
    again: int


class Disruption(msgspec.Struct, frozen=True):
    """A fault, or a planned maintenance operation."""

    at_s: float
    to_s: float
    kind: str
    planned: bool = False


class DayReport(msgspec.Struct, frozen=True):
    """The parts of the benchmark's report that the page shows.

    Parameters
    ----------
    prices : tuple
        Name, amount and share of the total value of each priced unit.
    ends : dict
        Number of attempts (tries) by result.
    breaks : dict
        Rules of the benchmark that were broken.
    """

    windows: tuple[Window, ...]
    services: tuple[Service, ...]
    prices: tuple[tuple[str, float, float], ...]
    ends: dict[str, int]
    events: tuple[Disruption, ...] = ()
    breaks: dict[str, int] = {}


def _latency(day: DayReport) -> pyplot.Figure:
    figure, (upper, lower) = pyplot.subplots(
        2, 1, sharex=True, figsize=(10, 6), layout='constrained'
    )
    starts_s = [window.start_s for window in day.windows]
    upper.plot(
        starts_s, [window.p99_ms for window in day.windows], label='p99'
    )
    upper.plot(
        starts_s, [window.p50_ms for window in day.windows], label='p50'
    )
    upper.set_ylabel('latency, ms')
    outcomes = {
        'timely': [window.in_aim for window in day.windows],
        'late': [window.late for window in day.windows],
        'refused': [window.refused for window in day.windows],
        'failed': [window.failed for window in day.windows],
    }
    lower.stackplot(starts_s, outcomes.values(), labels=outcomes.keys())
    lower.set_ylabel('requests')
    lower.set_xlabel('second of the day')
    for event in day.events:
        colour = 'tab:grey' if event.planned else 'tab:red'
        for axes in (upper, lower):
            axes.axvspan(event.at_s, event.to_s, color=colour, alpha=0.12)
        upper.annotate(
            event.kind,
            (event.at_s, upper.get_ylim()[1]),
            rotation=60,
            fontsize=7,
        )
    upper.legend()
    lower.legend(loc='lower left')
    return figure


def _bars(values: dict[str, float], label: str) -> pyplot.Figure:
    height = 1 + 0.3 * len(values)
    figure, axes = pyplot.subplots(figsize=(8, height), layout='constrained')
    axes.barh(list(values), list(values.values()))
    axes.invert_yaxis()
    axes.set_xlabel(label)
    return figure


def _image(figure: pyplot.Figure) -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format='png', dpi=100)
    pyplot.close(figure)
    encoded = base64.b64encode(buffer.getvalue()).decode()
    return f'<img src="data:image/png;base64,{encoded}">'


def render(day: DayReport, title: str) -> str:
    """Return the HTML page of a report."""
    prices = {
        name: share
        for name, _, share in day.prices
        if share > MIN_PLOTTED_SHARE
    }
    arrivals = {service.name: service.arrivals for service in day.services}
    load_table = tabulate.tabulate(
        [msgspec.structs.astuple(service) for service in day.services],
        headers=['service', 'arrivals', 'not run', 'ran badly', 'again'],
        tablefmt='html',
    )
    broken_rules = ', '.join(day.breaks) or 'none'
    return '\n'.join(
        (
            f'<!DOCTYPE html><title>{html.escape(title)}</title>',
            f'<h1>{html.escape(title)}</h1>',
            f'<p>Broken rules: {html.escape(broken_rules)}</p>',
            '<h2>Latency and outcomes</h2>',
            _image(_latency(day)),
            '<h2>Load of the upstreams</h2>',
            _image(_bars(arrivals, 'requests sent to upstreams')),
            load_table,
            '<h2>How tries ended</h2>',
            _image(_bars(dict(day.ends), 'tries')),
            '<h2>Cost by unit</h2>',
            _image(_bars(prices, 'share of the total value')),
        )
    )


def main(arguments: list[str]) -> int:
    """Render a report file as a page.

    Returns
    -------
    int
        0, or 2 if the arguments are wrong or the file is not a readable
        report.
    """
    if len(arguments) != 3:
        print('usage: python -m bench.day_report REPORT.json PAGE.html')
        return EXIT_USAGE
    source, target = map(pathlib.Path, arguments[1:])
    try:
        day = msgspec.json.decode(source.read_bytes(), type=DayReport)
    except (OSError, msgspec.DecodeError) as error:
        print(f'{source}: {error}', file=sys.stderr)
        return EXIT_USAGE
    target.write_text(render(day, source.stem))
    return 0


if __name__ == '__main__':
    app.run(main)
