"""The partition table and the selection of a partition's members.

Guarantees: a `PartitionTable` never returns to an older generation of a partition,
and `plan_replacement` always keeps one member of the previous generation.

Assumptions: the generations of a partition are assigned by compare-and-swap on one
key of the store. Clocks are not used.

Usage::

    >>> from marigoldkeel.models import Member
    >>> members = [Member(n, n + "@1", "", d) for n, d in (("a", "x"), ("b", "y"))]
    >>> first = plan_creation(0, members[0], members)
    >>> first.generation, first.primary.name, first.standby.name
    (1, 'a', 'b')
"""

import hashlib
from collections.abc import Iterable

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
    """Return the record as JSON for the store, without its revision."""
    return msgspec.json.encode(msgspec.structs.replace(record, revision=0))


def decode_record(data: bytes, revision: int = 0) -> PartitionRecord:
    """Parse a stored record and set its revision.

    :raises ProtocolError: If the data is not a partition record.
    """
    try:
        record = msgspec.json.decode(data, type=PartitionRecord)
    except msgspec.DecodeError as error:
        raise ProtocolError(
            f"malformed partition record: {error}", step="decode partition record"
        ) from error
    return msgspec.structs.replace(record, revision=revision)


class PartitionTable:
    """The newest known record of each partition.

    :ivar count_confirmed: Whether ``partition_count`` is the stored value and not the
        local default.
    :ivar version: The store revision up to which the table includes every change.
    """

    def __init__(self, partition_count: int = DEFAULT_PARTITION_COUNT):
        self.partition_count = partition_count
        self.count_confirmed = False
        self.records: dict[int, PartitionRecord] = {}
        self.version = 0
        # Indexes by incarnation, which avoid a scan: each daemon looks up its own
        # partitions ten times a second. Records share their `Member` objects.
        self.members: dict[str, Member] = {}
        self.partitions_of: dict[str, set[int]] = {}

    def set_partition_count(self, partition_count: int) -> None:
        """Set the number of partitions to the stored value.

        The number never changes: if two numbers were in use, an id would belong to two
        partitions and could be started in both.

        :raises ProtocolError: If a different number was confirmed before.
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
        """Store a record unless an equal or newer generation is known.

        A record of the known generation replaces the known record if its revision is
        higher.

        :return: Whether the generation is new.
        """
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
        self.records[record.partition] = msgspec.structs.replace(
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
        """The numbers of the partitions without a known record."""
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
        """Apply all changes in a range of store revisions.

        The version is raised only if the range starts at or below the current version:
        a later range leaves a gap whose changes are unknown.

        :param above: The store revision after which the range starts.
        :param version: The store revision at which the range ends.
        :return: The records whose generation is new.
        """
        applied = [record for record in records if self.apply(record)]
        if above <= self.version < version:
            self.version = version
        return applied

    def changes_above(self, version: int) -> list[PartitionRecord]:
        """Return the records changed after a store revision or of unknown revision."""
        return [
            record
            for record in self.records.values()
            if record.revision > version or record.revision == 0
        ]

    def records_of_member(self, incarnation: str) -> list[PartitionRecord]:
        """Return the records in which an incarnation is primary or standby."""
        partitions = self.partitions_of.get(incarnation, set())
        return [self.records[partition] for partition in sorted(partitions)]


def rendezvous_score(partition: int, member: Member) -> bytes:
    """Return the rendezvous hash by which members are ranked for a partition."""
    return hashlib.blake2b(
        f"{partition}:{member.name}".encode(), digest_size=8
    ).digest()


def choose_standby(
    partition: int, primary: Member, candidates: Iterable[Member]
) -> Member | None:
    """Return the candidate with the highest score, other than the primary.

    Candidates in another failure domain than the primary's are preferred.
    """
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
    """Return the candidate with the highest score, which creates a new partition."""
    return max(
        candidates,
        key=lambda member: rendezvous_score(partition, member),
        default=None,
    )


def plan_creation(
    partition: int, primary: Member, candidates: Iterable[Member]
) -> PartitionRecord | None:
    """Return the first record of a partition, or None if there is no standby."""
    standby = choose_standby(partition, primary, candidates)
    if standby is None:
        return None
    return PartitionRecord(partition, 1, primary, standby)


def plan_replacement(
    record: PartitionRecord, survivor: Member, candidates: Iterable[Member]
) -> PartitionRecord | None:
    """Return the record of the next generation, with ``survivor`` as primary.

    :return: None if ``survivor`` is not a member or there is no candidate for the
        standby.
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
