"""Status reports of daemons."""

from typing import Any

import msgspec

from marigoldkeel.blackboard import Blackboard


def board_report(board: Blackboard) -> dict[str, Any]:
    """Return the part of the report that entries and agents have in common."""
    now = board.clock()
    return {
        "member": msgspec.to_builtins(board.member),
        "leaving": board.leaving,
        "config_revision": board.configuration.revision,
        "table_version": board.partitions.version,
        "partition_count": board.partitions.partition_count,
        "partitions": [
            msgspec.to_builtins(record)
            for _, record in sorted(board.partitions.records.items())
        ],
        "peers": [
            {
                "name": state.member.name,
                "incarnation": state.member.incarnation,
                "address": state.member.address,
                "domain": state.member.domain,
                "is_agent": state.is_agent,
                "load": round(state.load, 3),
                "slots": state.slots,
                "leaving": state.leaving,
                "config_revision": state.config_revision,
                "silent_s": round(now - state.heard_at, 3),
            }
            for state in board.peers.states.values()
        ],
        "events": dict(board.events),
    }


def agent_report(agent) -> dict[str, Any]:
    """Return the status report of an agent."""
    board = agent.board
    return {
        "role": "agent",
        **board_report(board),
        "http": agent.http_address,
        "load": round(board.load, 3),
        "slots": board.slots,
        "kinds": board.kinds,
        "queue": {
            priority.name.lower(): tasks
            for priority, tasks in agent.queue.depth_by_priority().items()
        },
        "running_tasks": agent.executor.running,
        "running_jobs": agent.primaries.running_jobs,
        "registers": [
            {
                "partition": register.partition,
                "generation": register.generation,
                "role": "primary" if register.is_primary else "standby",
                "phase": register.phase.value,
                "claims": len(register.claims),
            }
            for register in board.registers.values()
        ],
        "targets": [
            msgspec.to_builtins(info) for info in agent.targets.targets.values()
        ],
        "messages": msgspec.to_builtins(agent.peers.counters),
        "store_calls": dict(agent.store.counts),
    }


def encode_report(report: dict[str, Any]) -> bytes:
    """Encode a report as JSON."""
    return msgspec.json.encode(report)
