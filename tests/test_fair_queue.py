"""Tests of the queue that shares work between client addresses. No I/O."""

import pytest

from marigoldkeel.fair_queue import FairQueue


@pytest.mark.parametrize(
    ("added", "order"),
    [
        ("", ""),
        ("a1 a2 a3", "a1 a2 a3"),
        ("a1 a2 a3 b1", "a1 b1 a2 a3"),
        ("a1 b1 a2 b2 c1", "a1 b1 c1 a2 b2"),
    ],
)
def test_addresses_take_turns(added, order):
    queue = FairQueue()
    for item in added.split():
        queue.add(item[0], item)
    popped = []
    while queue:
        popped.append(queue.pop())
    assert popped == order.split()


def test_new_address_comes_before_those_that_were_served():
    queue = FairQueue()
    for item in ("a1", "a2", "b1"):
        queue.add(item[0], item)
    assert queue.pop() == "a1"
    queue.put_back("a", "a1")
    queue.add("c", "c1")
    assert [queue.pop() for _ in range(4)] == ["b1", "c1", "a2", "a1"]


def test_item_that_is_put_back_alone_waits_for_the_others():
    # Guards against a client that takes each turn while those already served wait.
    queue = FairQueue()
    for item in ("a1", "a2", "b1"):
        queue.add(item[0], item)
    assert [queue.pop(), queue.pop()] == ["a1", "b1"]
    queue.put_back("b", "b1")
    assert [queue.pop(), queue.pop()] == ["a2", "b1"]
    assert "a" not in queue
    with pytest.raises(IndexError):
        queue.pop()
