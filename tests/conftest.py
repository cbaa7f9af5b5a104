"""Settings shared by all tests."""

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
    """The seed of this run; CI repeats the tests under three of them."""
    return int(os.environ.get("MARIGOLDKEEL_SEED", "1"))
