"""Placement policies, which choose the agents that tasks are offered or pushed to."""

import math
import random
from collections.abc import Callable

from msgspec import Struct, field

from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.heartbeats import PeerState


# Jobs of up to this many tasks are pushed. A probe and the request that follows it
# take two messages more than a push, which pays off only for jobs of more tasks.
MAX_PUSHED_TASKS = 2
# One agent gets an offer for each group of this many pending tasks. An offer takes one
# message more than its tasks, and three more if the job has no tasks left when the
# agent asks, so it has to serve several tasks.
TASKS_PER_OFFER = 8


class Placement(Struct):
    """The agents chosen for the tasks of a job.

    ``probes`` maps agent incarnations to the number of tasks offered to each.
    ``pushes`` maps them to the indexes of the tasks sent to each.
    """

    probes: dict[str, int] = field(default_factory=dict)
    pushes: dict[str, list[int]] = field(default_factory=dict)


class PlacementPolicy:
    """Chooses agents for the pending tasks of a job."""

    def __init__(self, probe_ratio: float = 2.0):
        self.probe_ratio = probe_ratio

    def place(
        self, indexes: list[int], agents: list[PeerState], rng: random.Random
    ) -> Placement:
        """Return a placement of the tasks ``indexes`` on ``agents``.

        :param agents: The agents to choose from; not empty.
        """
        raise NotImplementedError

    def extra_offers(
        self, pending: int, agents: list[PeerState], rng: random.Random
    ) -> Placement:
        """Return additional offers of a job that still has ``pending`` tasks.

        :param agents: Agents without an offer of the job; may be empty.
        """
        return Placement()


policies: dict[str, type[PlacementPolicy]] = {}


def policy(name: str) -> Callable[[type], type]:
    """Register a placement policy under ``name``."""

    def register(cls: type) -> type:
        policies[name] = cls
        return cls

    return register


def make_policy(name: str, probe_ratio: float = 2.0) -> PlacementPolicy:
    """Return the policy registered as ``name``.

    :raises InvalidInput: If there is no such policy.
    """
    if name not in policies:
        known = ", ".join(sorted(policies))
        raise InvalidInput(f"no placement policy {name!r}; known: {known}", "settings")
    return policies[name](probe_ratio)


def _push(placement: Placement, agent: PeerState, index: int) -> None:
    placement.pushes.setdefault(agent.member.incarnation, []).append(index)
    # Until the next heartbeat updates the load, this keeps a burst of placements from
    # going to the one agent that was idle at the last heartbeat.
    agent.load += 1 / max(agent.slots, 1)


def _sample_least_loaded(
    agents: list[PeerState], count: int, rng: random.Random
) -> list[PeerState]:
    """Return up to ``count`` agents: the less loaded half of a random sample.

    Sampling keeps primaries that have the same heartbeats from all choosing the same
    agents.
    """
    sample = rng.sample(agents, min(2 * count, len(agents)))
    return sorted(sample, key=lambda state: state.load)[:count]


def exclude_returning_agents(
    agents: list[PeerState], returned_at: dict[str, float]
) -> list[PeerState]:
    """Exclude agents that have returned a task since their last heartbeat.

    An agent whose last target is leaving returns its tasks immediately, but may still
    appear the least loaded by a heartbeat that is up to a second old.

    :param returned_at: When each incarnation last returned a task of the job.
    :return: The remaining agents, or all of ``agents`` if none remains.
    """
    others = [
        agent
        for agent in agents
        if agent.heard_at > returned_at.get(agent.member.incarnation, float("-inf"))
    ]
    return others or agents


@policy("random")
class RandomPush(PlacementPolicy):
    """Pushes each task to an agent chosen at random."""

    def place(self, indexes, agents, rng):
        placement = Placement()
        for index in indexes:
            _push(placement, rng.choice(agents), index)
        return placement


@policy("least_loaded")
class LeastLoadedPush(PlacementPolicy):
    """Pushes each task to the agent with the lowest known load."""

    def place(self, indexes, agents, rng):
        placement = Placement()
        for index in indexes:
            agent = min(agents, key=lambda state: (state.load, rng.random()))
            _push(placement, agent, index)
        return placement


@policy("late_binding")
class LateBinding(PlacementPolicy):
    """Offers large jobs to agents, which take tasks when they have free slots.

    Each task of a small job is pushed to the less loaded of two random agents.
    """

    def place(self, indexes, agents, rng):
        placement = Placement()
        if len(indexes) <= MAX_PUSHED_TASKS:
            for index in indexes:
                pair = rng.sample(agents, min(2, len(agents)))
                _push(placement, min(pair, key=lambda state: state.load), index)
            return placement
        offers = math.ceil(len(indexes) / TASKS_PER_OFFER)
        share = min(len(indexes), math.ceil(self.probe_ratio * TASKS_PER_OFFER))
        for agent in _sample_least_loaded(agents, offers, rng):
            placement.probes[agent.member.incarnation] = share
            agent.load += TASKS_PER_OFFER / max(agent.slots, 1)
        return placement

    def extra_offers(self, pending, agents, rng):
        placement = Placement()
        idle = [agent for agent in agents if agent.load < 1]
        offers = math.ceil(pending / TASKS_PER_OFFER)
        for agent in _sample_least_loaded(idle, offers, rng):
            placement.probes[agent.member.incarnation] = pending
            agent.load += min(pending, TASKS_PER_OFFER) / max(agent.slots, 1)
        return placement
