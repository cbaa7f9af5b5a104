"""Guards against two partition counts in use, with which an id could start twice."""

import pytest

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.followers import TableFollower
from marigoldkeel.models import Member, PartitionRecord
from marigoldkeel.partitions import PARTITION_PREFIX, encode_record, partition_key
from marigoldkeel.stores import StoredValue


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


MISPLACED = encode_record(PartitionRecord(1, 9, Member("c", "c@1"), Member("d", "d@1")))


@pytest.mark.parametrize(
    "key", [partition_key(0), PARTITION_PREFIX + "unheard-of", partition_key(7)]
)
@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"\xff",
        b"[]",
        b'{"partition": 0}',
        b'{"generation": "\xff"}',
        MISPLACED,
    ],
)
def test_malformed_record_hides_no_other_partition(key, data):
    """Guards against a failover of which nobody learns, due to one bad record."""
    follower = make_follower("entry", 8)
    members = Member("a", "a@1"), Member("b", "b@1")
    values = [
        StoredValue(
            partition_key(1), encode_record(PartitionRecord(1, 1, *members)), 3
        ),
        StoredValue(key, data, 4),
        StoredValue(
            partition_key(2), encode_record(PartitionRecord(2, 1, *members)), 5
        ),
    ]
    follower.load(values, above=0, version=5)
    assert sorted(follower.board.partitions.records) == [1, 2]
    assert follower.version == 5
    newer = encode_record(PartitionRecord(1, 2, *members))
    follower.load([StoredValue(partition_key(1), newer, 6)], above=5, version=6)
    assert follower.board.partitions.records[1].generation == 2
    assert follower.version == 6
