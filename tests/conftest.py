"""Fixtures and settings that the tests share."""

from __future__ import annotations

import pathlib
import re
import typing

import hypothesis
import pytest

from tests import cluster as cluster_module

hypothesis.settings.register_profile(
    'fixed', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('fixed')


KNOWN_RED = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect exactly the listed tests to fail; a pass is an error."""
    listed = re.findall(r'^ +test: +(\S+)$', KNOWN_RED.read_text(), re.M)
    for item in items:
        if item.nodeid in listed:
            reason = 'listed in KNOWN-RED.txt'
            item.add_marker(pytest.mark.xfail(strict=True, reason=reason))


@pytest.fixture
def cluster() -> typing.Iterator[cluster_module.SimulatedCluster]:
    """Provide an in-memory ingress node and virtual time."""
    created = cluster_module.SimulatedCluster()
    yield created
    created.close()
