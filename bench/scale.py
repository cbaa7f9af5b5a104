"""The design scale, and members, configurations and records of that scale."""

from marigoldkeel.configuration import Configuration, KindPolicy, TeamPolicy
from marigoldkeel.identifiers import mint_incarnation
from marigoldkeel.models import Member, PartitionRecord
from marigoldkeel.partitions import encode_record


DESIGN_AGENTS = 3900
DESIGN_PARTITIONS = 8192
DESIGN_TEAMS = 51
# Sufficient for 280,000 task starts/s in jobs of 20 tasks; see docs/CAPACITY.md.
DESIGN_ENTRIES = 26
KIND_COUNT = 20
PAYLOAD = (
    b'{"sku":123456,"width_mm":1200,"depth_mm":600,"finish":"oak","shop":"Lissone"}'
)


def make_member(number: int, address: str = "") -> Member:
    """Return a member with names and addresses of realistic length.

    The address is on loopback, since a daemon may connect to any member it knows.
    """
    name = f"agent-{number:05d}"
    return Member(
        name,
        mint_incarnation(name),
        address or f"127.{number % 200}.{number // 200 % 200}.17:7000",
        f"domain-{number % 5}",
    )


def design_configuration() -> Configuration:
    """Return a configuration of the design scale whose quotas are never reached."""
    configuration = Configuration(
        kinds={f"kind-{number}": KindPolicy() for number in range(KIND_COUNT)},
        teams={
            f"team-{number}": TeamPolicy(1_000_000, 10_000_000)
            for number in range(DESIGN_TEAMS)
        },
    )
    configuration.defaults.max_inflight_tasks = 10_000_000
    configuration.defaults.queue_tasks_per_slot = 1000
    configuration.validate()
    return configuration


def encode_records(count: int) -> list[bytes]:
    """Return encoded partition records at the design ratio of agents to partitions."""
    agent_count = max(2, count * DESIGN_AGENTS // DESIGN_PARTITIONS)
    members = [make_member(number) for number in range(agent_count)]
    records = []
    for partition in range(count):
        primary = members[partition % agent_count]
        standby = members[(partition + 1 + partition // agent_count) % agent_count]
        records.append(
            encode_record(PartitionRecord(partition, 3, primary, standby, 1))
        )
    return records
