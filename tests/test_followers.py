"""Guards against two partition counts in use, with which an id could start twice."""

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.followers import TableFollower
from marigoldkeel.models import Member


def make_follower(name: str, partition_count: int) -> TableFollower:
    board = Blackboard(Member(name, f"{name}@1"))
    board.partitions.partition_count = partition_count
    return TableFollower(board, None, None, lambda record: None)


def test_an_unconfirmed_count_is_not_sent_to_peers():
    """Guards against taking the default partition count of an entry for the stored one.

    The entry has read the store before the count was written to it.
    """
    entry, agent = make_follower("entry", 16), make_follower("agent", 8)
    entry.load([], above=0, version=5)
    agent.accept(entry.answer(above=0))
    assert agent.version == 5
    assert not agent.board.partitions.count_confirmed
    assert agent.board.partitions.partition_count == 8


def test_a_confirmed_count_is_sent_to_peers():
    """Guards against a daemon that cannot learn the count while the store is down."""
    entry, agent = make_follower("entry", 8), make_follower("agent", 16)
    entry.board.partitions.set_partition_count(8)
    entry.load([], above=0, version=5)
    agent.accept(entry.answer(above=0))
    assert agent.board.partitions.count_confirmed
    assert agent.board.partitions.partition_count == 8
