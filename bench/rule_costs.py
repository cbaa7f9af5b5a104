"""Computes the results of the membership and admission rules at design scale."""

import heapq
import random

from bench.scale import (
    DESIGN_AGENTS,
    DESIGN_ENTRIES,
    DESIGN_PARTITIONS,
    encode_records,
    make_member,
)
from bench.slopes import benchmark
from marigoldkeel.admissions import EntryAdmission
from marigoldkeel.blackboard import Blackboard
from marigoldkeel.configuration import Configuration
from marigoldkeel.followers import WATCHER_COUNT, is_store_watcher
from marigoldkeel.heartbeats import (
    FULL_TABLE_INTERVAL_S,
    HEARTBEAT_INTERVAL_S,
    MAX_PEERS,
    PeerState,
    PeerTable,
)
from marigoldkeel.partitions import PartitionTable, decode_record, rendezvous_score


# Number of members, in ascending order of their scores, that are checked for watching
# the store.
CHECKED_MEMBERS = 300


@benchmark
async def rules() -> dict:
    """Results of the membership, store watching and admission rules at design scale."""
    table = PartitionTable(DESIGN_PARTITIONS)
    for number, data in enumerate(encode_records(DESIGN_PARTITIONS)):
        table.apply(decode_record(data, number + 1))
    members = list(table.members.values())
    by_score = sorted(members, key=lambda item: rendezvous_score(0, item))
    watching_count = 0
    for candidate in by_score[:CHECKED_MEMBERS]:
        board = Blackboard(candidate)
        board.partitions = table
        watching_count += is_store_watcher(board)
    entry_metrics = simulate_entry()
    return {
        "members_in_table": len(members),
        "other_entries": DESIGN_ENTRIES - 1,
        **entry_metrics,
        "watching_agents": watching_count,
        "watching_agents_intended": WATCHER_COUNT,
        **admission_bounds(table),
    }


def admission_bounds(table: PartitionTable) -> dict:
    """Return how many concurrent tasks an entry admits.

    The entry knows only `MAX_PEERS` agents and estimates the slots of the fleet from
    them.
    """
    board = Blackboard(make_member(DESIGN_AGENTS), is_agent=False)
    board.partitions = table
    board.configuration.offer(1, Configuration.example())
    now = board.clock()
    for number in range(MAX_PEERS):
        # 9,300 accelerators on 3,900 agents are 2.4 slots per agent.
        slots = 3 if number % 5 < 2 else 2
        board.peers.observe(PeerState(make_member(number), 0.5, slots), now)
    for number in range(DESIGN_ENTRIES - 1):
        state = PeerState(make_member(DESIGN_AGENTS + 1 + number), is_agent=False)
        board.peers.observe(state, now, must_keep=True)
    admissions = EntryAdmission(board)
    admissions._apply_configuration()
    return {
        "estimated_fleet_slots": admissions._fleet_slots(now),
        "max_inflight_tasks": board.setting("max_inflight_tasks"),
        "max_in_flight_of_one_entry": admissions.controller.max_in_flight,
    }


def simulate_entry(duration_s: int = 1200) -> dict:
    """Simulate an entry that all agents and entries have as a contact.

    The first heartbeat of each sender falls at a random time in the first interval. A
    sender that gets no place in the peer table tries again after the interval that the
    entry requests. Each pair of entries exchanges one heartbeat per interval: half of
    the other entries are assumed to send it and half to reply, so the entry observes
    each of them once per interval.

    :return: The heartbeat rates and the mean numbers of peers in the table.
    """
    rng = random.Random(2)
    members = [
        make_member(number) for number in range(DESIGN_AGENTS + DESIGN_ENTRIES - 1)
    ]
    schedule = [(rng.uniform(0, HEARTBEAT_INTERVAL_S), n) for n in range(len(members))]
    heapq.heapify(schedule)
    peers = PeerTable()
    warm_up_s = FULL_TABLE_INTERVAL_S + HEARTBEAT_INTERVAL_S
    heartbeat_counts = {True: 0, False: 0}
    entry_counts, agent_counts = [], []
    while schedule[0][0] < duration_s:
        now, number = schedule[0]
        is_agent = number < DESIGN_AGENTS
        state = PeerState(members[number], is_agent=is_agent)
        accepted = peers.observe(state, now, must_keep=not is_agent)
        interval_s = HEARTBEAT_INTERVAL_S if accepted else FULL_TABLE_INTERVAL_S
        heapq.heapreplace(schedule, (now + interval_s, number))
        if now >= warm_up_s:
            heartbeat_counts[is_agent] += 1
            entry_counts.append(peers.count_unsuspected_entries(now))
            agent_counts.append(len(peers.live_agents(now)))
    measured_s = duration_s - warm_up_s
    return {
        "other_entries_known": sum(entry_counts) / len(entry_counts),
        "agents_known": sum(agent_counts) / len(agent_counts),
        "agent_heartbeats_per_s_at_an_entry_all_agents_name": heartbeat_counts[True]
        / measured_s,
        "entry_heartbeats_per_s": heartbeat_counts[False] / measured_s,
        "first_interval_heartbeats": len(members),
    }
