"""Silences the decision logs, of which a played fleet writes thousands."""

import pytest
from loguru import logger


@pytest.fixture(autouse=True)
def no_logs():
    logger.disable("marigoldkeel")
    yield
    logger.enable("marigoldkeel")
