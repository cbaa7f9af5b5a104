"""Sends random messages to running daemons, for seconds; by hand for longer."""

import pytest

from fuzz.daemons import find_errors, installations
from fuzz.messages import MessageGenerator
from marigoldkeel.executors import Executor
from marigoldkeel.messages import message_types


MESSAGES = 600

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("name", installations)
async def test_random_messages_raise_no_unexpected_error(name):
    assert [str(finding) for finding in await find_errors(name, 1, MESSAGES)] == []


async def test_an_unexpected_error_is_found(monkeypatch):
    async def fail(executor, message):
        raise KeyError("planted")

    monkeypatch.setattr(Executor, "probe", fail)
    (finding,) = await find_errors("claims", 1, MESSAGES)
    assert "step probe" in finding.text
    assert finding.place.startswith("KeyError in ")


def test_same_seed_draws_the_same_messages_of_every_type():
    first, second = MessageGenerator(7, ["a"]), MessageGenerator(7, ["a"])
    drawn = [first.draw() for _ in range(1000)]
    assert list(map(repr, drawn)) == [repr(second.draw()) for _ in drawn]
    assert {type(message) for message in drawn} == set(message_types.values())
