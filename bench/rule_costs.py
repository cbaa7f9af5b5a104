"""Computes what the membership and admission rules yield at the design scale."""

import heapq
import random

from bench.scale import (
    DESIGN_AGENTS,
    DESIGN_ENTRIES,
    DESIGN_PARTITIONS,
    member,
    stored_records,
)
from bench.slopes import part
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


# Members that are checked for watching, from those with the lowest scores on.
CHECKED_MEMBERS = 300


@part
async def rules() -> dict:
    """What the membership, watching and admission rules yield at the design scale."""
    table = PartitionTable(DESIGN_PARTITIONS)
    for number, data in enumerate(stored_records(DESIGN_PARTITIONS)):
        table.apply(decode_record(data, number + 1))
    members = list(table.members.values())
    lowest = sorted(members, key=lambda item: rendezvous_score(0, item))
    watching = 0
    for own in lowest[:CHECKED_MEMBERS]:
        board = Blackboard(own)
        board.partitions = table
        watching += is_store_watcher(board)
    entry = entry_view()
    return {
        "members_in_table": len(members),
        "other_entries": DESIGN_ENTRIES - 1,
        **entry,
        "watching_agents": watching,
        "watching_agents_intended": WATCHER_COUNT,
        **admission_bounds(table),
    }


def admission_bounds(table: PartitionTable) -> dict:
    """Return the tasks that one entry admits at once, from a sample of agents."""
    board = Blackboard(member(DESIGN_AGENTS), is_agent=False)
    board.partitions = table
    board.configuration.offer(1, Configuration.example())
    now = board.clock()
    for number in range(MAX_PEERS):
        # 9,300 accelerators on 3,900 agents are 2.4 slots an agent.
        slots = 3 if number % 5 < 2 else 2
        board.peers.observe(PeerState(member(number), 0.5, slots), now)
    for number in range(DESIGN_ENTRIES - 1):
        state = PeerState(member(DESIGN_AGENTS + 1 + number), is_agent=False)
        board.peers.observe(state, now, must_keep=True)
    admissions = EntryAdmission(board)
    admissions._apply_configuration()
    return {
        "estimated_fleet_slots": admissions._fleet_slots(now),
        "max_inflight_tasks": board.setting("max_inflight_tasks"),
        "max_in_flight_of_one_entry": admissions.controller.max_in_flight,
    }


def entry_view(seconds: int = 1200) -> dict:
    """Return what an entry hears and knows when all agents and entries name it.

    Heartbeats begin at a random phase of one interval. A sender without a place
    comes back when it is asked to. Half of the other entries are assumed to send
    and half to answer, so that each is heard once an interval.
    """
    rng = random.Random(2)
    members = [member(number) for number in range(DESIGN_AGENTS + DESIGN_ENTRIES - 1)]
    due = [(rng.uniform(0, HEARTBEAT_INTERVAL_S), n) for n in range(len(members))]
    heapq.heapify(due)
    peers = PeerTable()
    settled_s = FULL_TABLE_INTERVAL_S + HEARTBEAT_INTERVAL_S
    heard = {True: 0, False: 0}
    entries, agents = [], []
    while due[0][0] < seconds:
        now, number = due[0]
        is_agent = number < DESIGN_AGENTS
        state = PeerState(members[number], is_agent=is_agent)
        accepted = peers.observe(state, now, must_keep=not is_agent)
        interval_s = HEARTBEAT_INTERVAL_S if accepted else FULL_TABLE_INTERVAL_S
        heapq.heapreplace(due, (now + interval_s, number))
        if now >= settled_s:
            heard[is_agent] += 1
            entries.append(peers.count_unsuspected_entries(now))
            agents.append(len(peers.live_agents(now)))
    measured_s = seconds - settled_s
    return {
        "other_entries_known": sum(entries) / len(entries),
        "agents_known": sum(agents) / len(agents),
        "agent_heartbeats_per_s_at_an_entry_all_agents_name": heard[True] / measured_s,
        "entry_heartbeats_per_s": heard[False] / measured_s,
        "first_interval_heartbeats": len(members),
    }
