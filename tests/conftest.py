"""Fixtures and settings that the tests share."""

from __future__ import annotations

import typing

import hypothesis
import pytest

from tests import world as world_module

hypothesis.settings.register_profile(
    'fixed', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('fixed')


@pytest.fixture
def world() -> typing.Iterator[world_module.World]:
    """Provide an in-memory ingress node and virtual time."""
    created = world_module.World()
    yield created
    created.close()
