"""Fixtures that the tests share."""

from __future__ import annotations

import typing

import hypothesis
import pytest

from tests import cluster as cluster_module

hypothesis.settings.register_profile(
    'fixed', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('fixed')


@pytest.fixture
def cluster() -> typing.Iterator[cluster_module.SimulatedCluster]:
    """Provide an in-memory ingress node and virtual time."""
    created = cluster_module.SimulatedCluster()
    yield created
    created.close()
