"""Placement policies: which worker each task of a step is sent to.

The policies are designed for jobs of a few tasks each, on workers whose speeds differ
by a factor of two or three. A job is done only when its last task is done.
"""

import random
from collections.abc import Callable

from msgspec import Struct

from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.fleet.work import NO_RESOURCES, Resources, Step


# Time of two messages between failure domains, in seconds.
CROSS_DOMAIN_DELAY_S = 0.002
# Share of the fleet's CPU capacity that is reserved for urgent jobs. On a dozen workers
# an eighth is enough for a wide job. In simulated loads at the fleet's limit it halves
# the number of late urgent jobs; a larger reserve only slows the other jobs down.
RESERVE_SHARE = 0.12
# Weights of a worker's utilization and of random jitter relative to the run time.
UTILIZATION_WEIGHT = 0.15
JITTER_WEIGHT = 0.05
# Weight of a gap for the largest task that a placement closes, relative to the run
# time. It outweighs the utilization, but not a difference of speed by a factor of two.
CLOSED_GAP_WEIGHT = 0.25
# Factor by which a run is expected to take longer on a rack without its data.
REMOTE_FACTOR = 1.5


class Candidate(Struct):
    """A worker that tasks may be placed on.

    :ivar speed: Relative speed; the mean of the fleet is 1.
    :ivar same_domain: Whether it is in the failure domain of the entry.
    :ivar step_tasks: How many tasks of the same step it already has.
    :ivar is_probe: Whether it is ejected and gets a single task to test its recovery.
    :ivar cost_factor: Factor by which a reservation increases its cost.
    """

    name: str
    free: Resources
    capacity: Resources
    labels: list[str]
    speed: float
    same_domain: bool
    step_tasks: int = 0
    is_probe: bool = False
    cost_factor: float = 1.0


class PlacementRequest(Struct):
    """Tasks of one step that are to be placed now.

    :ivar count: How many tasks may be placed at most.
    :ivar task_s: Expected run time of a task at the mean speed.
    :ivar remaining_s: Time left until the job misses its objective.
    :ivar allow_late: Whether to place tasks that will end after the objective.
    :ivar largest_demand: The largest demand of the service's recent tasks, if known.
    """

    step: Step
    count: int
    task_s: float
    remaining_s: float = float("inf")
    allow_late: bool = True
    largest_demand: Resources = NO_RESOURCES


PackingPolicy = Callable[
    [PlacementRequest, list[Candidate], random.Random], list[Candidate]
]
packings: dict[str, PackingPolicy] = {}


def packing(name: str) -> Callable[[PackingPolicy], PackingPolicy]:
    """Register a packing policy under a name used in the settings."""

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
        raise InvalidInput(
            f"unknown packing policy {name!r}; known: {known}", "settings"
        )
    return packings[name]


def admissible(step: Step, candidate: Candidate) -> bool:
    """Return whether one more task of the step may be placed on a worker now."""
    return (
        step.demand.fits(candidate.free)
        and (not step.label or step.label in candidate.labels)
        and (not step.spread_limit or candidate.step_tasks < step.spread_limit)
    )


def expected_s(step: Step, task_s: float, candidate: Candidate) -> float:
    """Return the expected time until a worker has completed a task started now."""
    remote = step.data_rack and step.data_rack not in candidate.labels
    run_s = task_s / candidate.speed * (REMOTE_FACTOR if remote else 1.0)
    return run_s + (0.0 if candidate.same_domain else CROSS_DOMAIN_DELAY_S)


def _assign_least_cost(
    request: PlacementRequest,
    candidates: list[Candidate],
    cost: Callable[[Candidate], float],
) -> list[Candidate]:
    """Assign each task to the admissible candidate with the lowest cost."""
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


def _soonest_cost(
    request: PlacementRequest, candidates: list[Candidate], rng: random.Random
) -> Callable[[Candidate], float]:
    """Return the cost of a candidate: its run time, adjusted for its utilization."""
    jitter = {item.name: rng.random() for item in candidates}

    def cost(item: Candidate) -> float:
        utilization = 1 - item.free.cpu_milli / max(1, item.capacity.cpu_milli)
        penalty = (
            1 + UTILIZATION_WEIGHT * utilization + JITTER_WEIGHT * jitter[item.name]
        )
        run_s = expected_s(request.step, request.task_s, item)
        return run_s * penalty * item.cost_factor

    return cost


def _in_time(request: PlacementRequest, candidates: list[Candidate]) -> list[Candidate]:
    """Return the candidates on which a task ends in time, or all if it may be late."""
    if request.allow_late:
        return candidates
    return [
        item
        for item in candidates
        if expected_s(request.step, request.task_s, item) <= request.remaining_s
    ]


@packing("random")
def pack_randomly(
    request: PlacementRequest, candidates: list[Candidate], rng: random.Random
) -> list[Candidate]:
    """Send each task to a random admissible worker."""
    return _assign_least_cost(request, candidates, lambda item: rng.random())


@packing("soonest")
def pack_soonest(
    request: PlacementRequest, candidates: list[Candidate], rng: random.Random
) -> list[Candidate]:
    """Send each task to the worker that completes it soonest.

    Among similar workers less utilized ones are preferred. A small random jitter keeps
    entries that see the same fleet from all choosing the same worker.
    """
    cost = _soonest_cost(request, candidates, rng)
    return _assign_least_cost(request, candidates, cost)


@packing("in_time")
def pack_in_time(
    request: PlacementRequest, candidates: list[Candidate], rng: random.Random
) -> list[Candidate]:
    """Send each task to the worker that completes it soonest, if that is in time.

    A task that waits for a fast worker may still be in time, whereas one that starts
    too late on a slow worker occupies capacity and is of little use.
    """
    return pack_soonest(request, _in_time(request, candidates), rng)


def count_gaps(free: Resources, demand: Resources) -> int:
    """Return how many tasks of a demand fit into a worker's free capacity."""
    return max(0, free.cpu_milli // max(1, demand.cpu_milli))


@packing("whole_gaps")
def pack_whole_gaps(
    request: PlacementRequest, candidates: list[Candidate], rng: random.Random
) -> list[Candidate]:
    """Place tasks as `pack_in_time` does, but close few gaps for the largest tasks.

    A worker whose free capacity is no multiple of the largest demand has a remainder
    that only smaller tasks can use. Entries that do not see each other's queues keep
    gaps open for each other by using these remainders first.
    """
    candidates = _in_time(request, candidates)
    soonest_cost = _soonest_cost(request, candidates, rng)
    demand, largest = request.step.demand, request.largest_demand
    if demand.cpu_milli >= largest.cpu_milli:
        return _assign_least_cost(request, candidates, soonest_cost)

    def cost(item: Candidate) -> float:
        closed = count_gaps(item.free, largest)
        closed -= count_gaps(item.free - demand, largest)
        return soonest_cost(item) * (1 + CLOSED_GAP_WEIGHT * closed)

    return _assign_least_cost(request, candidates, cost)


def count_outside_reserve(
    request: PlacementRequest, candidates: list[Candidate]
) -> int:
    """Return how many non-urgent tasks can be placed without using the reserve.

    Several entries place tasks without knowing each other's queues. The reserve lets an
    urgent job start all of its tasks at once on a fleet that is otherwise full,
    whichever entry the other work came from.
    """
    free = sum(max(0, item.free.cpu_milli) for item in candidates)
    capacity = sum(item.capacity.cpu_milli for item in candidates)
    demand = request.step.demand.cpu_milli
    # A fleet with capacity for only one such task keeps no reserve.
    reserve = max(0, min(RESERVE_SHARE * capacity, capacity - demand))
    available = free - reserve
    if available < demand:
        return 0
    return min(request.count, int(available // max(1, demand)))
