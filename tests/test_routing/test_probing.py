"""Tests of the budget of probes."""

from __future__ import annotations


import hypothesis
from hypothesis import strategies
import msgspec

from jasminebeam.model import services
from jasminebeam.model import upstreams
from jasminebeam.routing import probing
from jasminebeam.routing import table

SERVICE = services.Service(
    's', probes_per_s=4.0, probe_bytes_per_s=450.0, probe_share=0.01
)


def _states(count):
    first = upstreams.Member('0', '0', 'a', 'r', 1, 1)
    return [
        table.UpstreamState(
            msgspec.structs.replace(first, node_id=str(n)), 1.0
        )
        for n in range(count)
    ]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 400.0), strategies.integers(0, 50_000)
        ),
        max_size=60,
    )
)
def test_no_budget_is_ever_overdrawn(steps):
    """Count, bytes and share of the traffic hold at each moment."""
    planner = probing.ProbePlanner()
    states = _states(5)
    now_ms = 1_000.0
    start_ms = now_ms
    request_bytes = probes = 0
    planner.plan(SERVICE, states, now_ms)
    for passed_ms, size_bytes in steps:
        now_ms += passed_ms
        planner.on_request(SERVICE, size_bytes, now_ms)
        request_bytes += size_bytes
        probes += len(planner.plan(SERVICE, states, now_ms))
        passed_s = (now_ms - start_ms) / 1_000
        probe_bytes = probes * probing.PROBE_WIRE_BYTES
        assert probes <= 4.0 * (1 + passed_s) + 1e-6
        assert probe_bytes <= 450.0 * (1 + passed_s) + 1e-6
        assert probe_bytes <= 0.01 * request_bytes + 1e-6


def test_oldest_sample_is_probed_first_and_fresh_ones_never():
    """A fresh sample is not worth a probe."""
    planner = probing.ProbePlanner()
    states = _states(3)
    for state, sample_ms in zip(states, (990.0, 10.0, 20.0), strict=True):
        state.sample_ms = sample_ms
    planner.on_request(SERVICE, 10**6, 1_000.0)
    planned = planner.plan(SERVICE, states, 1_000.0)
    assert [state.member.node_id for state in planned] == ['1', '2']


def test_service_without_traffic_costs_nothing():
    """A service that is no longer called is not probed."""
    planner = probing.ProbePlanner()
    planner.on_request(SERVICE, 100, 0.0)
    assert planner.services_in_use(1_000.0) == ['s']
    assert planner.services_in_use(3_000.0) == []
