"""Disables the decision logs, since a simulated fleet writes thousands of lines."""

import pytest
from loguru import logger


@pytest.fixture(autouse=True)
def no_logs():
    logger.disable("marigoldkeel")
    yield
    logger.enable("marigoldkeel")
