"""Tests of the rate limit of the decision log."""

import msgspec
import pytest
from loguru import logger

from marigoldkeel.logs import BURST_S, RateLimitedSink


@pytest.fixture
def lines():
    """Yield the lines that a sink has written whose clock stands still."""
    written = bytearray()

    def write(data: bytes) -> int:
        written.extend(data)
        return len(data)

    sink = RateLimitedSink(write, lines_per_s=2.0, clock=lambda: 0.0)
    logger.enable("marigoldkeel")
    handler = logger.add(sink, level="INFO", format="{message}")
    yield lambda: [msgspec.json.decode(line) for line in written.splitlines()]
    logger.remove(handler)


def test_rare_lines_and_warnings_are_written_when_the_limit_is_reached(lines):
    # Guards against a change of the plan that is missing in the log under load.
    for number in range(100):
        logger.info("request {}", number)
    logger.bind(rare=True, version=7).info("plan in force")
    logger.warning("trouble")
    messages = [line["message"] for line in lines()]
    assert messages[-2:] == ["plan in force", "trouble"]
    assert len(messages) == 2.0 * BURST_S + 2
    assert lines()[-2]["version"] == 7
    assert "rare" not in lines()[-2]


def test_rare_lines_are_limited_too(lines):
    for _ in range(100):
        logger.bind(rare=True).info("plan in force")
    assert len(lines()) == 2 * 2.0 * BURST_S
