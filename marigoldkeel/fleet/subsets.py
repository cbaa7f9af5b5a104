"""Chooses the agents that an entry connects to. Performs no I/O.

Designed for fleets of hundreds of agents and dozens of entries: if each entry were
connected to each agent, every change of a worker would be sent to all entries, and the
processor time of a daemon would grow with the fleet. A small random subset has nearly
the same share of free capacity as the whole fleet. A job that needs particular workers,
or more of them than the subset has, extends the subset for a while.

The choice is by rendezvous hashing, so it is deterministic and changes by one agent
when one comes or goes.
"""

import hashlib
import math
from collections.abc import Iterable

from msgspec import Struct, field

from marigoldkeel.fleet.messages import WorkerFacts
from marigoldkeel.fleet.work import Step
from marigoldkeel.models import Member


# Agents that an entry is connected to at least, if there are as many.
MIN_SUBSET_SIZE = 24
# Mean number of entries per agent, so that no agent is left without any.
MIN_ENTRIES_PER_AGENT = 4
# Share of the subset that is taken from the entry's own failure domain, where messages
# are cheapest. The rest lets the entry serve while its domain is overloaded or lost.
NEAR_SHARE = 0.5
# How long agents that a job needs stay in the subset after the last such job.
PINNED_S = 10.0
# Workers that a step with requirements should be able to choose from.
MIN_SUITABLE_WORKERS = 8
# Largest share of the subset's capacity that a job may need before more agents are
# added: the rest is in use by other jobs.
MAX_JOB_SHARE = 0.25


def rendezvous_rank(chooser: str, name: str) -> int:
    """Return the rank of ``name`` for ``chooser``; lower ranks are chosen first."""
    digest = hashlib.blake2b(f"{chooser}\n{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class AgentSubset(Struct):
    """The agents known to an entry, and the choice among them.

    Usage::

        subset = AgentSubset("entry-1", "a")
        subset.add(member)
        names = subset.choose(entries=4, missing={"agent-3"}, now=clock())

    :ivar pinned: Agents that jobs need, with the time until which they are kept.
    """

    own_name: str
    own_domain: str
    agents: dict[str, Member] = field(default_factory=dict)
    pinned: dict[str, float] = field(default_factory=dict)
    ranks: dict[str, int] = field(default_factory=dict)

    def add(self, member: Member) -> None:
        """Add an agent, or update its address or domain."""
        self.agents[member.name] = member
        if member.name not in self.ranks:
            self.ranks[member.name] = rendezvous_rank(self.own_name, member.name)

    def remove(self, name: str) -> None:
        """Remove an agent that has left the fleet."""
        self.agents.pop(name, None)
        self.ranks.pop(name, None)

    def pin(self, names: Iterable[str], now: float) -> None:
        """Keep agents in the subset for a while, because a job needs them."""
        self.pinned.update(dict.fromkeys(names, now + PINNED_S))

    def size(self, entries: int) -> int:
        """Return how many agents are chosen, apart from pinned and missing ones.

        :param entries: Number of entries that share the fleet.
        """
        total = len(self.agents)
        shared = math.ceil(MIN_ENTRIES_PER_AGENT * total / max(1, entries))
        return min(total, max(MIN_SUBSET_SIZE, shared))

    def entries_per_agent(self, entries: int, unavailable: int = 0) -> float:
        """Return the mean number of entries that are connected to one agent.

        :param unavailable: Number of agents that no entry uses, each of which is backed
            up by another one, as long as there are others.
        """
        available = len(self.agents) - unavailable
        used = min(self.size(entries), available)
        return max(1.0, entries * used / available) if available > 0 else 1.0

    def choose(self, entries: int, missing: Iterable[str], now: float) -> set[str]:
        """Return the names of the agents to be connected to.

        :param missing: Agents that are not usable. Each that is chosen is backed up by
            another one, which is dropped when the first is usable again.
        """
        size = self.size(entries)
        if size == len(self.agents):
            return set(self.agents)
        self.pinned = {
            name: until for name, until in self.pinned.items() if until > now
        }
        ranked = sorted(self.agents, key=self.ranks.__getitem__)
        near = [name for name in ranked if self._is_near(name)]
        chosen = near[: int(size * NEAR_SHARE)]
        chosen_names = set(chosen)
        others = [name for name in ranked if name not in chosen_names]
        chosen += others[: size - len(chosen)]
        reserve = others[size - len(chosen_names) :]
        missing = set(missing)
        missing_count = sum(name in missing for name in chosen)
        backups = [name for name in reserve if name not in missing][:missing_count]
        return {*chosen, *backups, *(self.pinned.keys() & self.agents.keys())}

    def _is_near(self, name: str) -> bool:
        return self.agents[name].domain == self.own_domain


def is_suitable(step: Step, facts: WorkerFacts) -> bool:
    """Return whether tasks of a step can run on a worker when it is idle."""
    return step.demand.fits(facts.capacity) and (
        not step.label or step.label in facts.labels
    )


def count_needed_workers(step: Step) -> int:
    """Return how many workers a step should be able to choose from, at least."""
    return max(MIN_SUITABLE_WORKERS, step.count if step.spread_limit else 0)


def has_enough_workers(step: Step, connected: Iterable[WorkerFacts]) -> bool:
    """Return whether the connected workers are enough for a step.

    Does not consider the rack with the step's data.
    """
    needed_milli = step.count * step.demand.cpu_milli / MAX_JOB_SHARE
    needed_workers = count_needed_workers(step)
    for facts in connected:
        if is_suitable(step, facts):
            needed_milli -= facts.capacity.cpu_milli
            needed_workers -= 1
            if needed_milli <= 0 and needed_workers <= 0:
                return True
    return False


def workers_to_add(
    steps: list[Step], connected: set[str], known: dict[str, WorkerFacts]
) -> list[str]:
    """Return the workers that an entry should connect to for a job.

    They are the ones on the rack with the job's data, further ones with a label that
    too few of the connected workers have, and as many as a wide job needs.

    :param connected: Names of the connected workers.
    :param known: The workers of the job's service, connected or not, in the order in
        which they are to be added.
    """
    added: dict[str, None] = {}
    for step in steps:
        suitable = [name for name, facts in known.items() if is_suitable(step, facts)]
        if step.data_rack:
            on_rack = (
                name for name in suitable if step.data_rack in known[name].labels
            )
            added.update(dict.fromkeys(on_rack))
        needed_milli = step.count * step.demand.cpu_milli / MAX_JOB_SHARE
        needed_workers = count_needed_workers(step)
        for name in sorted(suitable, key=lambda name: name not in connected):
            if needed_milli <= 0 and needed_workers <= 0:
                break
            added[name] = None
            needed_milli -= known[name].capacity.cpu_milli
            needed_workers -= 1
    return [name for name in added if name not in connected]
