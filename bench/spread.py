"""Simulates how fast a configuration change reaches all daemons.

Counts ticks and messages in a model without I/O, for three ways to distribute a
change from the few agents that watch the store: plain fan-out (each watcher sends to
its share of the fleet), a tree of fixed degree, and the announcement to learned
contacts, which the daemons use. A share of the daemons is down; the senders do not
know which.

Usage::

    python -m bench.spread
"""

import json
import random
import sys

from marigoldkeel.memberships import CHECK_INTERVAL_S, MAX_LEARNED_CONTACTS


WATCHER_COUNT = 3
# Heartbeats that a watcher can send in one tick without exceeding 1.1% of a core, at
# about 0.15 ms of CPU time for each heartbeat and its reply.
SENDS_PER_TICK = 8
TREE_DEGREE = MAX_LEARNED_CONTACTS
RETRY_TICKS = 10


def spread_fan_out(
    fleet_size: int, down_nodes: set[int], rng: random.Random
) -> tuple[int, int]:
    """Return ticks and messages when the watchers notify all daemons directly."""
    share_size = -(-fleet_size // WATCHER_COUNT)
    return -(-share_size // SENDS_PER_TICK), fleet_size


def spread_tree(
    fleet_size: int, down_nodes: set[int], rng: random.Random
) -> tuple[int, int]:
    """Return ticks and messages of a tree that bypasses nodes that are down.

    The parent of such a node gets no reply before the timeout and then sends to that
    node's children itself.
    """
    order = list(range(fleet_size))
    rng.shuffle(order)
    informed_at = {0: 0}
    messages = 0
    for position in range(fleet_size):
        tick = informed_at[position]
        is_down = order[position] in down_nodes
        first = position * TREE_DEGREE + 1
        for child in range(first, min(first + TREE_DEGREE, fleet_size)):
            messages += 1
            informed_at[child] = tick + (RETRY_TICKS if is_down else 1)
    return max(informed_at.values()), messages


def spread_contacts(
    fleet_size: int, down_nodes: set[int], rng: random.Random
) -> tuple[int, int]:
    """Return ticks and messages when each daemon notifies its learned contacts once.

    The notification is a heartbeat with the version. A receiver with an older version
    pulls the change, which takes two more messages.
    """
    contacts = [
        rng.sample(range(fleet_size), min(MAX_LEARNED_CONTACTS, fleet_size))
        for _ in range(fleet_size)
    ]
    live_nodes = [node for node in range(fleet_size) if node not in down_nodes]
    informed = set(rng.sample(live_nodes, WATCHER_COUNT))
    newly_informed = list(informed)
    messages = ticks = 0
    while newly_informed:
        ticks += 1
        reached_nodes = []
        for node in newly_informed:
            for contact in contacts[node]:
                messages += 1
                if contact not in informed and contact not in down_nodes:
                    informed.add(contact)
                    reached_nodes.append(contact)
                    messages += 2
        newly_informed = reached_nodes
    # Daemons that are not a contact of any other learn it from regular heartbeats.
    missed = len(live_nodes) - len(informed)
    return ticks + (RETRY_TICKS if missed else 0), messages + missed


STRATEGIES = {
    "fan_out": spread_fan_out,
    "tree": spread_tree,
    "contacts": spread_contacts,
}


def simulate_fleet(fleet_size: int, down_share: float, seed: int) -> list[dict]:
    """Return the time and messages of each strategy for one fleet size."""
    rng = random.Random(seed)
    down_nodes = set(
        rng.sample(range(WATCHER_COUNT, fleet_size), int(fleet_size * down_share))
    )
    rows = []
    for name, spread in STRATEGIES.items():
        ticks, messages = spread(fleet_size, down_nodes, random.Random(seed))
        rows.append(
            {
                "shape": name,
                "fleet": fleet_size,
                "down_share": down_share,
                "seconds": round(ticks * CHECK_INTERVAL_S, 1),
                "messages_per_daemon": round(messages / fleet_size, 2),
            }
        )
    return rows


def main() -> None:
    """Print a JSON line for each strategy, fleet size and share of daemons down."""
    for fleet_size in (11, 390, 3900):
        for down_share in (0.0, 0.1, 0.2):
            for row in simulate_fleet(fleet_size, down_share, seed=1):
                json.dump(row, sys.stdout)
                print()


if __name__ == "__main__":
    main()
