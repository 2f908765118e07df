"""Tests of the page that shows the report of a benchmark day."""

from __future__ import annotations

import msgspec

from bench import day_report

WINDOW = {'n': 9, 'in_aim': 6, 'late': 1, 'refused': 1, 'failed': 1}
REPORT = {
    'windows': [
        {'name': '0', 'p50_ms': 100.0, 'p99_ms': 400.0, **WINDOW},
        {'name': '2', 'p50_ms': None, 'p99_ms': None, **WINDOW},
    ],
    'services': [
        {
            'name': 'fees',
            'arrivals': 7,
            'not_run': 1,
            'ran_badly': 0,
            'again': 1,
        }
    ],
    'prices': [['machine-seconds', 10.0, 0.1], ['nothing', 0.0, 0.0]],
    'ends': {'200': 7, '503': 2},
    'events': [{'at_s': 0.5, 'to_s': 1.5, 'kind': 'burst'}],
    'breaks': {'TWICE': 1},
    'unknown': {},
}


def test_page_shows_plots_and_broken_rules(tmp_path):
    """The page shows all four plots, the broken rules and an escaped title.

    A window without an answer has no quantiles and leaves a gap in the
    plot. Unknown parts of the report are ignored.
    """
    source = tmp_path / 'day<1>.json'
    source.write_bytes(msgspec.json.encode(REPORT))
    page = tmp_path / 'day.html'
    assert day_report.main(['', str(source), str(page)]) == 0
    text = page.read_text()
    assert text.count('<img') == 4
    assert 'TWICE' in text
    assert 'day&lt;1&gt;' in text


def test_file_that_is_no_report_gets_a_clear_error(tmp_path, capsys):
    """The error names the wrong field, and no page is written."""
    source = tmp_path / 'bad.json'
    source.write_text('{"windows": 3}')
    page = tmp_path / 'day.html'
    assert day_report.main(['', str(source), str(page)]) == 2
    assert 'windows' in capsys.readouterr().err
    assert not page.exists()
