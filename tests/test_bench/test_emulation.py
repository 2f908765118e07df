"""Tests of the fleet emulation and of the policies it compares."""

from __future__ import annotations

import dataclasses

from bench import emulation
from bench import emulator

SHORT = dataclasses.replace(emulation.PLANS['emulated_noise'], length_s=3.0)


def test_same_seed_gives_the_same_results():
    """The seed determines all times, the noise and the routing choices."""
    rows = [
        emulation.measure(SHORT, 'least_cost', True, seed=3) for _ in range(2)
    ]
    assert rows[0] == rows[1]


def test_few_requests_start_slow_while_another_host_is_fast():
    """Fewer than 1 in 50 starts of ``least_cost`` are avoidable.

    A start is avoidable if its host is slow while another host is not slow
    and has a free slot. ``least_cost`` uses admission queries and slowness
    reports. The start of the fleet, when no load samples exist yet, is
    included. Without slowness reports, more than 1 in 5 starts of
    ``two_choices`` are avoidable.
    """
    plan = dataclasses.replace(SHORT, length_s=10.0)
    two_choices = emulation.measure(SHORT, 'two_choices', False, seed=1)
    least_cost = emulation.measure(plan, 'least_cost', True, seed=1)
    assert two_choices.avoidable_starts > 1 / 5
    assert least_cost.avoidable_starts < 1 / 50


def test_burst_is_answered_in_time_or_refused_at_once():
    """Under overload, ``least_cost`` answers in time or refuses.

    More of its requests are answered in time, and fewer late, than with
    ``round_robin`` without slowness reports. None of its requests fails.
    """
    burst = dataclasses.replace(
        emulation.PLANS['emulated_burst'], burst_s=(0.5, 3.0), length_s=3.0
    )
    least_cost = emulation.measure(burst, 'least_cost', True, seed=1)
    round_robin = emulation.measure(burst, 'round_robin', False, seed=1)
    assert least_cost.timely > round_robin.timely
    assert least_cost.late < round_robin.late
    assert least_cost.failed == 0.0


def test_quiet_hosts_slow_nothing_down():
    """Without noise, no request starts on a slow host."""
    fleet = emulator.FleetSpec(noise=emulator.Noise(slow_ratio=0.0))
    plan = dataclasses.replace(SHORT, fleet=fleet)
    row = emulation.measure(plan, 'least_cost', True, seed=1)
    assert row.slow_starts == 0.0
    assert row.timely > 0.95
