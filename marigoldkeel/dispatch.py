"""Placement policies: to which agents a primary offers or pushes tasks."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.heartbeats import PeerState


# A probe and its request cost two messages more than a push, which only jobs of
# several tasks earn back.
MAX_PUSHED_TASKS = 2
# Each offer costs one message more than its tasks, and three more when the job is
# drained before the agent asks, so an offer has to serve several tasks.
TASKS_PER_OFFER = 8


@dataclass(slots=True)
class Placement:
    """Where the tasks of a job go.

    ``probes`` maps agent incarnations to the number of tasks each may take;
    ``pushes`` maps them to the indexes each is sent.
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
        """Return a placement of ``indexes`` on ``agents``, which is not empty."""
        raise NotImplementedError

    def extra_offers(
        self, pending: int, agents: list[PeerState], rng: random.Random
    ) -> Placement:
        """Return further offers of a job whose ``pending`` tasks nobody took.

        :param agents: Agents that have no offer of the job yet; may be empty.
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

    :raises InvalidInput: If there is none.
    """
    if name not in policies:
        known = ", ".join(sorted(policies))
        raise InvalidInput(f"no placement policy {name!r}; known: {known}", "settings")
    return policies[name](probe_ratio)


def _push(placement: Placement, agent: PeerState, index: int) -> None:
    placement.pushes.setdefault(agent.member.incarnation, []).append(index)
    # The next heartbeat corrects this; until then it keeps a burst of placements
    # from all going to the agent that was idle at the last one.
    agent.load += 1 / max(agent.slots, 1)


def _sample_least_loaded(
    agents: list[PeerState], count: int, rng: random.Random
) -> list[PeerState]:
    """Return up to ``count`` agents, the better half of a random sample.

    The sample keeps primaries that know the same heartbeats from all choosing the
    same agents.
    """
    sample = rng.sample(agents, min(2 * count, len(agents)))
    return sorted(sample, key=lambda state: state.load)[:count]


def exclude_returning_agents(
    agents: list[PeerState], returned_at: dict[str, float]
) -> list[PeerState]:
    """Leave out agents that gave back a task after what is known of them.

    An agent whose last target is leaving gives its tasks back at once, and may be
    the least loaded one by a heartbeat that is up to a second old.

    :param returned_at: When each incarnation last gave a task of the job back.
    :return: All of ``agents`` if each of them gave a task back.
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
    """Pushes each task to the agent with the least known load."""

    def place(self, indexes, agents, rng):
        placement = Placement()
        for index in indexes:
            agent = min(agents, key=lambda state: (state.load, rng.random()))
            _push(placement, agent, index)
        return placement


@policy("late_binding")
class LateBinding(PlacementPolicy):
    """Probes agents for wide jobs; pushes narrow ones to the better of two."""

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
