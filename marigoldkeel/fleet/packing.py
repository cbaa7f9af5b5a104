"""Which worker each task of a step goes to.

The policies answer a load of jobs of a few tasks each, on workers that differ in
speed by a factor of two or three: a job is done when its last task is.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.fleet.work import NO_RESOURCES, Resources, Step


# Two messages across failure domains, in seconds.
CROSS_DOMAIN_DELAY_S = 0.002
# Share of the fleet's processors that is left to urgent jobs. An eighth holds a wide
# job on a dozen workers; in played loads at the fleet's limit it halves the urgent jobs
# that are late, and more only takes from the others.
RESERVE_SHARE = 0.12
# How much a full worker and chance count beside the run time.
UTILIZATION_WEIGHT = 0.15
JITTER_WEIGHT = 0.05
# How much longer a run is expected to take on a rack without its data.
REMOTE_FACTOR = 1.5


@dataclass(slots=True)
class Candidate:
    """A worker with room.

    :ivar speed: The mean of the fleet is 1.
    :ivar same_domain: Whether it is in the failure domain of the entry.
    :ivar step_tasks: Tasks of the same step that are there already.
    :ivar is_probe: Whether it gets a single task, to see whether it works again.
    """

    name: str
    free: Resources
    capacity: Resources
    labels: list[str]
    speed: float
    same_domain: bool
    step_tasks: int = 0
    is_probe: bool = False


@dataclass(slots=True)
class PlacementRequest:
    """Tasks of one step that are to be placed now.

    :ivar task_s: Expected run time of a task at the mean speed.
    :ivar remaining_s: Time until the job's objective has passed.
    :ivar allow_late: Whether to place tasks that will end after the objective.
    """

    step: Step
    count: int
    task_s: float
    remaining_s: float = float("inf")
    allow_late: bool = True


PackingPolicy = Callable[
    [PlacementRequest, list[Candidate], random.Random], list[Candidate]
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
        and (not step.spread_limit or candidate.step_tasks < step.spread_limit)
    )


def expected_s(step: Step, task_s: float, candidate: Candidate) -> float:
    """Return the time until a task is done at a worker that starts it now."""
    remote = step.data_rack and step.data_rack not in candidate.labels
    run_s = task_s / candidate.speed * (REMOTE_FACTOR if remote else 1.0)
    return run_s + (0.0 if candidate.same_domain else CROSS_DOMAIN_DELAY_S)


def _assign_least_cost(
    request: PlacementRequest,
    candidates: list[Candidate],
    cost: Callable[[Candidate], float],
) -> list[Candidate]:
    """Give each task to the admissible candidate of the least cost."""
    chosen = []
    for _ in range(request.count):
        eligible = [item for item in candidates if admissible(request.step, item)]
        if not eligible:
            break
        candidate = min(eligible, key=cost)
        candidate.free = (
            NO_RESOURCES if candidate.is_probe else candidate.free - request.step.demand
        )
        candidate.step_tasks += 1
        chosen.append(candidate)
    return chosen


@packing("random")
def pack_randomly(
    request: PlacementRequest, candidates: list[Candidate], rng: random.Random
) -> list[Candidate]:
    """Send each task to a random worker that has room."""
    return _assign_least_cost(request, candidates, lambda item: rng.random())


@packing("soonest")
def pack_soonest(
    request: PlacementRequest, candidates: list[Candidate], rng: random.Random
) -> list[Candidate]:
    """Send each task where it is done soonest, and among equals where most is free.

    Entries that see the same fleet would all choose the same worker; a small random
    part spreads them.
    """
    jitter = {item.name: rng.random() for item in candidates}

    def cost(item: Candidate) -> float:
        utilization = 1 - item.free.cpu_milli / max(1, item.capacity.cpu_milli)
        penalty = (
            1 + UTILIZATION_WEIGHT * utilization + JITTER_WEIGHT * jitter[item.name]
        )
        return expected_s(request.step, request.task_s, item) * penalty

    return _assign_least_cost(request, candidates, cost)


@packing("in_time")
def pack_in_time(
    request: PlacementRequest, candidates: list[Candidate], rng: random.Random
) -> list[Candidate]:
    """Send each task where it is done soonest, but only where that is in time.

    A task that waits for a fast worker may still be in time; one that starts on a slow
    worker too late takes room and is of little use.
    """
    if not request.allow_late:
        candidates = [
            item
            for item in candidates
            if expected_s(request.step, request.task_s, item) <= request.remaining_s
        ]
    return pack_soonest(request, candidates, rng)


def count_outside_reserve(
    request: PlacementRequest, candidates: list[Candidate]
) -> int:
    """Return how many tasks that are not urgent leave the reserve of the fleet free.

    Several entries fill the fleet without knowing of each other's queues. With the
    reserve an urgent job finds room for all of its tasks at once when the fleet is
    full, wherever the work that fills it came from.
    """
    free = sum(max(0, item.free.cpu_milli) for item in candidates)
    capacity = sum(item.capacity.cpu_milli for item in candidates)
    demand = request.step.demand.cpu_milli
    # A fleet that holds a single task has no reserve.
    reserve = max(0, min(RESERVE_SHARE * capacity, capacity - demand))
    available = free - reserve
    if available < demand:
        return 0
    return min(request.count, int(available // max(1, demand)))
