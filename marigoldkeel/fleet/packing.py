"""Which worker each task of a step goes to.

The policies answer a load of jobs of a few tasks each, on workers that differ in
speed by a factor of two or three: a job is done when its last task is.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.fleet.work import Resources, Step


# Two messages across failure domains, in seconds.
FAR_S = 0.002
# How much longer a run is expected to take on a rack without its data.
REMOTE_FACTOR = 1.5


@dataclass(slots=True)
class Candidate:
    """A worker with room.

    :ivar speed: The mean of the fleet is 1.
    :ivar near: Whether it is in the failure domain of the entry.
    :ivar held: Tasks of the same step that are there already.
    """

    name: str
    free: Resources
    capacity: Resources
    labels: list[str]
    speed: float
    near: bool
    held: int = 0


PackingPolicy = Callable[
    [int, Step, float, list[Candidate], random.Random], list[Candidate]
]
packings: dict[str, PackingPolicy] = {}


def packing(name: str) -> Callable[[PackingPolicy], PackingPolicy]:
    """Register a packing policy."""

    def register(function: PackingPolicy) -> PackingPolicy:
        packings[name] = function
        return function

    return register


def find_packing(name: str) -> PackingPolicy:
    """Return the policy registered as ``name``.

    :raises InvalidInput: If there is none.
    """
    if name not in packings:
        known = ", ".join(sorted(packings))
        raise InvalidInput(f"no packing {name!r}; known: {known}", "settings")
    return packings[name]


def admissible(step: Step, candidate: Candidate) -> bool:
    """Whether one more task of the step may go to a worker now."""
    return (
        step.demand.fits(candidate.free)
        and (not step.label or step.label in candidate.labels)
        and (not step.spread_limit or candidate.held < step.spread_limit)
    )


def expected_s(step: Step, task_s: float, candidate: Candidate) -> float:
    """Return the time until a task is done at a worker that starts it now."""
    remote = step.data_rack and step.data_rack not in candidate.labels
    run_s = task_s / candidate.speed * (REMOTE_FACTOR if remote else 1.0)
    return run_s + (0.0 if candidate.near else FAR_S)


def _take(step: Step, candidate: Candidate) -> None:
    candidate.free = candidate.free - step.demand
    candidate.held += 1


@packing("random")
def pack_randomly(
    count: int,
    step: Step,
    task_s: float,
    candidates: list[Candidate],
    rng: random.Random,
) -> list[Candidate]:
    """Send each task to a random worker that has room."""
    chosen = []
    for _ in range(count):
        open_ones = [item for item in candidates if admissible(step, item)]
        if not open_ones:
            break
        candidate = rng.choice(open_ones)
        _take(step, candidate)
        chosen.append(candidate)
    return chosen


@packing("soonest")
def pack_soonest(
    count: int,
    step: Step,
    task_s: float,
    candidates: list[Candidate],
    rng: random.Random,
) -> list[Candidate]:
    """Send each task where it is done soonest, and among equals where most is free.

    Entries that see the same fleet would all choose the same worker; a small random
    part spreads them.
    """
    chosen = []
    jitter = {item.name: rng.random() for item in candidates}

    def cost(item: Candidate) -> float:
        used = 1 - item.free.cpu_milli / max(1, item.capacity.cpu_milli)
        return expected_s(step, task_s, item) * (
            1 + 0.15 * used + 0.05 * jitter[item.name]
        )

    for _ in range(count):
        open_ones = [item for item in candidates if admissible(step, item)]
        if not open_ones:
            break
        candidate = min(open_ones, key=cost)
        _take(step, candidate)
        chosen.append(candidate)
    return chosen
