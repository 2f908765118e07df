"""Tests of the probe planner and its budgets."""

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
    template = upstreams.Member('0', '0', 'a', 'r', 1, 1)
    return [
        table.UpstreamState(
            msgspec.structs.replace(template, node_id=str(n)), 1.0
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
    """The limits of count, bytes and share must hold at all times."""
    planner = probing.ProbePlanner()
    states = _states(5)
    now_ms = 1_000.0
    start_ms = now_ms
    request_bytes = probes = 0
    planner.plan(SERVICE, states, now_ms)
    for elapsed_ms, size_bytes in steps:
        now_ms += elapsed_ms
        planner.on_request(SERVICE, size_bytes, now_ms)
        request_bytes += size_bytes
        probes += len(planner.plan(SERVICE, states, now_ms))
        elapsed_s = (now_ms - start_ms) / 1_000
        probe_bytes = probes * probing.PROBE_WIRE_BYTES
        assert probes <= 4.0 * (1 + elapsed_s) + 1e-6
        assert probe_bytes <= 450.0 * (1 + elapsed_s) + 1e-6
        assert probe_bytes <= 0.01 * request_bytes + 1e-6


def test_oldest_sample_is_probed_first_and_fresh_ones_never():
    """The planner must order by age and skip fresh samples."""
    planner = probing.ProbePlanner()
    states = _states(3)
    for state, sample_ms in zip(states, (990.0, 10.0, 20.0), strict=True):
        state.sample_ms = sample_ms
    planner.on_request(SERVICE, 10**6, 1_000.0)
    planned = planner.plan(SERVICE, states, 1_000.0)
    assert [state.member.node_id for state in planned] == ['1', '2']


def test_service_without_requests_is_not_probed():
    """A service without recent requests must not be probed."""
    planner = probing.ProbePlanner()
    planner.on_request(SERVICE, 100, 0.0)
    assert planner.services_in_use(1_000.0) == ['s']
    assert planner.services_in_use(3_000.0) == []
