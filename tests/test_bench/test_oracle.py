"""Tests of the bound that experiments are compared with."""

from __future__ import annotations

import pytest

from bench import oracle

SERVER = oracle.Server(count=2, slots=1, service_ms=100.0, sigma=1e-9)


def test_unloaded_requests_take_the_service_time():
    """Both upstreams are used at once."""
    assert oracle.replay([0.0, 0.0], SERVER, [], 1) == pytest.approx(
        [100.0, 100.0]
    )


def test_third_request_waits_for_the_first_slot():
    """There are two slots."""
    done = oracle.replay([0.0, 0.0, 0.0], SERVER, [], 1)
    assert done[2] == pytest.approx(200.0)


def test_episode_slows_work_in_progress_and_is_avoided():
    """Work is done at a fifth of the speed while the episode lasts."""
    episodes = [oracle.Episode(0, 0.05, 0.15, 5.0)]
    one = oracle.Server(1, 1, 100.0, 1e-9)
    assert oracle.replay([0.0], one, episodes, 1) == pytest.approx([180.0])
    both = oracle.replay([0.0], SERVER, episodes, 1)
    assert both == pytest.approx([100.0])
