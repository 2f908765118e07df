"""Tests of the reports of watchers."""

from __future__ import annotations

import math

from jasminebeam.membership import watch_reports
from jasminebeam.peering import messages


def _report(watcher='a', age_ms=0):
    return messages.WatchReport(watcher, age_ms, 0)


def test_newest_answer_of_all_watchers_counts():
    """The age is that of the youngest answer, whoever received it."""
    reports = watch_reports.WatchReports()
    assert reports.age_ms(0.0) == math.inf
    assert reports.record(_report('a'), 1_000.0)
    assert reports.record(_report('b', 300), 1_500.0)
    assert reports.age_ms(1_500.0) == 300.0


def test_copy_of_a_report_is_not_passed_on():
    """A report travels once, also where two trees overlap."""
    reports = watch_reports.WatchReports()
    assert reports.record(_report(), 1_000.0)
    assert not reports.record(_report(), 1_010.0)
    assert not reports.record(_report(age_ms=500), 1_200.0)
    assert reports.record(_report(), 1_200.0)


def test_attempt_without_an_answer_is_no_answer():
    """A node that calls in vain does not hide that nobody watches."""
    reports = watch_reports.WatchReports()
    assert reports.record(_report(age_ms=messages.UNKNOWN_AGE_MS), 1_000.0)
    assert not reports.record(_report(age_ms=-5), 1_010.0)
    assert reports.age_ms(2_000.0) == math.inf
    assert reports.attempt_age_ms(2_000.0) == 990.0


def test_interruption_starts_a_new_series():
    """A watcher that was silent has not watched all the time."""
    reports = watch_reports.WatchReports()
    for now_ms in (0.0, 900.0, 1_800.0):
        reports.record(_report(), now_ms)
    assert reports.watchers(1_800.0, 0.0)['a'].since_ms == 0.0
    reports.record(_report(), 8_000.0)
    assert reports.watchers(8_000.0, 0.0)['a'].since_ms == 8_000.0


def test_watchers_that_are_silent_are_forgotten():
    """Reports of nodes with ever new names do not fill memory."""
    reports = watch_reports.WatchReports()
    for index in range(1_000):
        now_ms = 1_000.0 * index
        reports.record(_report(f'w{index}'), now_ms)
        reports.record(_report(f'a{index}', -1), now_ms)
    assert len(reports.watchers(1_000_000.0, math.inf)) <= 61
