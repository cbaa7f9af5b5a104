"""The partition table and the choice of a partition's members.

Promise: a `PartitionTable` never goes back to an older generation of a partition,
and a planned change always keeps one member of the generation before.

Assumes that generations are assigned by compare-and-swap in one register for each
partition. Assumes nothing of clocks.

Usage::

    >>> from marigoldkeel.models import Member
    >>> members = [Member(n, n + "@1", "", d) for n, d in (("a", "x"), ("b", "y"))]
    >>> first = plan_creation(0, members[0], members)
    >>> first.generation, first.primary.name, first.standby.name
    (1, 'a', 'b')
"""

import hashlib
from collections.abc import Iterable
from dataclasses import replace

import msgspec

from marigoldkeel.exceptions import ProtocolError
from marigoldkeel.models import Member, PartitionRecord


PARTITION_PREFIX = "/marigoldkeel/partitions/"
PARTITION_COUNT_KEY = PARTITION_PREFIX + "count"
DEFAULT_PARTITION_COUNT = 16


def partition_key(partition: int) -> str:
    """Return the store key of a partition record."""
    return f"{PARTITION_PREFIX}{partition:05d}"


def encode_record(record: PartitionRecord) -> bytes:
    """Return the stored form of a record."""
    return msgspec.json.encode(replace(record, revision=0))


def decode_record(data: bytes, revision: int = 0) -> PartitionRecord:
    """Return the record stored as ``data`` at a store revision.

    :raises ProtocolError: If the data is not a partition record.
    """
    try:
        record = msgspec.json.decode(data, type=PartitionRecord)
    except msgspec.DecodeError as error:
        raise ProtocolError(
            f"malformed partition record: {error}", step="decode partition record"
        ) from error
    return replace(record, revision=revision)


class PartitionTable:
    """The newest known record of each partition.

    ``version`` is the store revision up to which the table has every change.
    """

    def __init__(self, partition_count: int = DEFAULT_PARTITION_COUNT):
        self.partition_count = partition_count
        self.count_confirmed = False
        self.records: dict[int, PartitionRecord] = {}
        self.version = 0
        # Members are shared between records, and found by incarnation without a
        # scan: each daemon asks for its own partitions ten times a second.
        self.members: dict[str, Member] = {}
        self.partitions_of: dict[str, set[int]] = {}

    def set_partition_count(self, partition_count: int) -> None:
        """Take the number of partitions that the store holds.

        It never changes: with two counts in use, one id would have two partitions
        and could start in both.

        :raises ProtocolError: If another number was settled before.
        """
        if self.count_confirmed and partition_count != self.partition_count:
            raise ProtocolError(
                f"partition count changed from {self.partition_count} to "
                f"{partition_count}",
                step="read partition count",
            )
        self.partition_count = partition_count
        self.count_confirmed = True

    def apply(self, record: PartitionRecord) -> bool:
        """Take a record unless an equal or newer generation is known."""
        known = self.records.get(record.partition)
        if known is not None and known.generation > record.generation:
            return False
        if known is not None and known.generation == record.generation:
            if record.revision > known.revision:
                self._store(record)
            return False
        self._store(record)
        return True

    def _store(self, record: PartitionRecord) -> None:
        known = self.records.get(record.partition)
        if known is not None:
            for member in (known.primary, known.standby):
                self._remove_membership(member, record.partition)
        for member in (record.primary, record.standby):
            self.members.setdefault(member.incarnation, member)
            member_partitions = self.partitions_of.setdefault(member.incarnation, set())
            member_partitions.add(record.partition)
        self.records[record.partition] = replace(
            record,
            primary=self.members[record.primary.incarnation],
            standby=self.members[record.standby.incarnation],
        )

    def _remove_membership(self, member: Member, partition: int) -> None:
        member_partitions = self.partitions_of[member.incarnation]
        member_partitions.discard(partition)
        if not member_partitions:
            del self.partitions_of[member.incarnation]
            del self.members[member.incarnation]

    @property
    def missing(self) -> list[int]:
        """The partitions that have no record."""
        if len(self.records) >= self.partition_count:
            return []
        return [
            partition
            for partition in range(self.partition_count)
            if partition not in self.records
        ]

    def apply_changes(
        self, records: Iterable[PartitionRecord], above: int, version: int
    ) -> list[PartitionRecord]:
        """Take all changes in a range of store revisions.

        The version moves only when the range joins what is known: a record
        learned alone says nothing about the changes before it.

        :return: The records that were new.
        """
        applied = [record for record in records if self.apply(record)]
        if above <= self.version < version:
            self.version = version
        return applied

    def changes_above(self, version: int) -> list[PartitionRecord]:
        """Return the records changed after a store revision."""
        return [
            record
            for record in self.records.values()
            if record.revision > version or record.revision == 0
        ]

    def records_of_member(self, incarnation: str) -> list[PartitionRecord]:
        """Return the records that name an incarnation as a member."""
        partitions = self.partitions_of.get(incarnation, set())
        return [self.records[partition] for partition in sorted(partitions)]


def rendezvous_score(partition: int, member: Member) -> bytes:
    """Return the score by which members are ranked for a partition."""
    return hashlib.blake2b(
        f"{partition}:{member.name}".encode(), digest_size=8
    ).digest()


def choose_standby(
    partition: int, primary: Member, candidates: Iterable[Member]
) -> Member | None:
    """Return the best other member, in another failure domain if there is one."""
    others = [member for member in candidates if member.name != primary.name]
    return max(
        others,
        key=lambda member: (
            member.domain != primary.domain,
            rendezvous_score(partition, member),
        ),
        default=None,
    )


def choose_primary(partition: int, candidates: Iterable[Member]) -> Member | None:
    """Return the member that creates the record of a new partition."""
    return max(
        candidates,
        key=lambda member: rendezvous_score(partition, member),
        default=None,
    )


def plan_creation(
    partition: int, primary: Member, candidates: Iterable[Member]
) -> PartitionRecord | None:
    """Return the first record of a partition, or None without a standby."""
    standby = choose_standby(partition, primary, candidates)
    if standby is None:
        return None
    return PartitionRecord(partition, 1, primary, standby)


def plan_replacement(
    record: PartitionRecord, survivor: Member, candidates: Iterable[Member]
) -> PartitionRecord | None:
    """Return the next generation, with ``survivor`` as primary.

    :return: None if ``survivor`` is no member or no other candidate is known.
    """
    members = {record.primary.incarnation, record.standby.incarnation}
    if survivor.incarnation not in members:
        return None
    new_candidates = [
        member for member in candidates if member.incarnation not in members
    ]
    standby = choose_standby(record.partition, survivor, new_candidates)
    if standby is None:
        return None
    return PartitionRecord(
        record.partition,
        record.generation + 1,
        survivor,
        standby,
        record.low_water_ms,
    )
