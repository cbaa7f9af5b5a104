"""Placement policies: to which agents a primary offers or pushes tasks."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.heartbeats import PeerState


# A probe and its request cost two messages more than a push, which only jobs of
# several tasks earn back.
NARROW_TASKS = 2


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
        if len(indexes) <= NARROW_TASKS:
            for index in indexes:
                pair = rng.sample(agents, min(2, len(agents)))
                _push(placement, min(pair, key=lambda state: state.load), index)
            return placement
        wanted = math.ceil(len(indexes) * self.probe_ratio)
        chosen = rng.sample(agents, min(wanted, len(agents)))
        share = math.ceil(wanted / len(chosen))
        for agent in chosen:
            count = min(share, len(indexes))
            placement.probes[agent.member.incarnation] = count
        return placement
