"""Hypothesis profile and fixtures shared by all tests."""

import os

import pytest
from hypothesis import settings


settings.register_profile("repeatable", derandomize=True, deadline=None)
settings.load_profile("repeatable")


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def seed() -> int:
    """Return the seed of this run; CI runs the tests with three seeds."""
    return int(os.environ.get("MARIGOLDKEEL_SEED", "1"))
