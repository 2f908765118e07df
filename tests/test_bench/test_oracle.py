"""Tests of the latency bound that experiments are compared with."""

from __future__ import annotations

import pytest

from bench import oracle

PARAMETERS = oracle.UpstreamParameters(
    count=2, slots=1, service_ms=100.0, sigma=1e-9
)


def test_unloaded_requests_take_the_service_time():
    """Two simultaneous requests use one upstream each and do not wait."""
    assert oracle.replay([0.0, 0.0], PARAMETERS, [], 1) == pytest.approx(
        [100.0, 100.0]
    )


def test_third_request_waits_for_the_first_slot():
    """With two slots, the third request waits for one service time."""
    done = oracle.replay([0.0, 0.0, 0.0], PARAMETERS, [], 1)
    assert done[2] == pytest.approx(200.0)


def test_slowdown_delays_request_in_progress_and_is_avoided():
    """A slowdown by a factor of 5 also delays requests in progress.

    The upstream works at a fifth of its speed while the slowdown lasts.
    With a second upstream, the request avoids the slow one.
    """
    slowdowns = [oracle.Slowdown(0, 0.05, 0.15, 5.0)]
    single_upstream = oracle.UpstreamParameters(1, 1, 100.0, 1e-9)
    assert oracle.replay(
        [0.0], single_upstream, slowdowns, 1
    ) == pytest.approx([180.0])
    with_two_upstreams = oracle.replay([0.0], PARAMETERS, slowdowns, 1)
    assert with_two_upstreams == pytest.approx([100.0])
