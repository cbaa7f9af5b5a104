"""Reopens a partition that lost both members, on the command of an operator."""

import time
from typing import Any

import msgspec

from marigoldkeel.claims import MAX_CLOCK_SKEW_MS
from marigoldkeel.exceptions import (
    InvalidInput,
    MarigoldkeelError,
    OutcomeUnknown,
    StoreUnavailable,
)
from marigoldkeel.models import Member, PartitionRecord
from marigoldkeel.partitions import (
    choose_primary,
    choose_standby,
    decode_record,
    encode_record,
    partition_key,
)
from marigoldkeel.stores import KeyValueStore, Write, open_store


REOPENING_PREFIX = "/marigoldkeel/reopenings/"


class ReopeningRecord(msgspec.Struct):
    """The audit record of one reopening."""

    partition: int
    generation: int
    who: str
    when_ms: int
    reason: str
    lost: list[Member]


def live_agents(report: dict[str, Any], silent_after_s: float = 3.0) -> list[Member]:
    """Return the agents that are live according to the status report of an entry."""
    return [
        Member(peer["name"], peer["incarnation"], peer["address"], peer["domain"])
        for peer in report["peers"]
        if peer["is_agent"]
        and not peer["leaving"]
        and peer["silent_s"] <= silent_after_s
    ]


def plan_reopening(
    record: PartitionRecord, agents: list[Member], now_ms: int
) -> PartitionRecord:
    """Return the record of the next generation, with two members that hold no claims.

    The lost members may have started any id that they accepted, so the low-water mark
    is set above the newest mint time that they accept. The operator's clock must not be
    behind the clocks of the lost members.

    :raises InvalidInput: If a member is alive or fewer than two agents are known.
    """
    lost = {record.primary.incarnation, record.standby.incarnation}
    for agent in agents:
        if agent.incarnation in lost:
            raise InvalidInput(
                f"member {agent.name} is alive and replaces the other member itself; "
                "if its register is in phase receiving, restart it first",
                "reopen partition",
                agent.address,
            )
    primary = choose_primary(record.partition, agents)
    standby = choose_standby(record.partition, primary, agents) if primary else None
    if standby is None:
        raise InvalidInput("fewer than two live agents are known", "reopen partition")
    return PartitionRecord(
        record.partition,
        record.generation + 1,
        primary,
        standby,
        max(now_ms + MAX_CLOCK_SKEW_MS + 1, record.low_water_ms),
        reopened=True,
    )


async def reopen(
    store_url: str, partition: int, report: dict[str, Any], author: str, reason: str
) -> int:
    """Reopen a partition and write the audit record in the same transaction.

    :param report: The status report of an entry, which lists the live agents.
    :return: The new generation.
    :raises OutcomeUnknown: If the store did not answer whether the write was made.
    """
    for name, text in (("author", author), ("reason", reason)):
        if not text.strip():
            raise InvalidInput(f"{name} must not be empty", "reopen partition")
    async with open_store("etcd", store_url) as store:
        value = await store.get(partition_key(partition))
        if value is None:
            raise InvalidInput(f"no partition {partition}", "reopen partition")
        record = decode_record(value.data, value.revision)
        now_ms = time.time_ns() // 1_000_000
        planned = plan_reopening(record, live_agents(report), now_ms)
        lost = [record.primary, record.standby]
        audit = ReopeningRecord(
            partition, planned.generation, author, now_ms, reason, lost
        )
        return await _swap(store, planned, value.revision, audit)


async def _swap(
    store: KeyValueStore,
    planned: PartitionRecord,
    revision: int,
    audit: ReopeningRecord,
) -> int:
    key = partition_key(planned.partition)
    audit_key = f"{REOPENING_PREFIX}{planned.partition:05d}/{planned.generation:010d}"
    writes = [
        Write(key, encode_record(planned), revision),
        Write(audit_key, msgspec.json.encode(audit), 0),
    ]
    try:
        swapped = await store.compare_and_swap(writes)
    except StoreUnavailable as error:
        raise OutcomeUnknown(
            "the store did not answer; run the command again to see the outcome",
            "reopen partition",
            error.peer,
        ) from error
    if swapped is None:
        raise MarigoldkeelError(
            "the partition was changed by another process; check its status again",
            "reopen partition",
        )
    return planned.generation
