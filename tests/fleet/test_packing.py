"""Tests for the placement policies."""

import random
from copy import deepcopy

import pytest

from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.fleet.packing import (
    Candidate,
    PlacementRequest,
    find_packing,
    packings,
)
from marigoldkeel.fleet.work import Resources, Step


CORE = Resources(1000, 64)


def worker(
    name: str, cores: int, speed: float = 1.0, same_domain: bool = True, **fields
):
    capacity = Resources(1000 * cores, 4096)
    return Candidate(
        name, capacity, capacity, fields.pop("labels", []), speed, same_domain, **fields
    )


def pack(count: int, step: Step, workers: list[Candidate], name: str) -> list[str]:
    copies = deepcopy(workers)
    request = PlacementRequest(step, count, 1.0)
    chosen = find_packing(name)(request, copies, random.Random(1))
    return [candidate.name for candidate in chosen]


@pytest.mark.parametrize("name", sorted(packings))
@pytest.mark.parametrize(
    "step, workers, placed",
    [
        (Step(5, CORE), [worker("x", 2), worker("y", 1)], {"x": 2, "y": 1}),
        (Step(2, CORE, label="b"), [worker("x", 9, labels=["a"])], {}),
        (Step(1, CORE, label="b"), [worker("x", 9, labels=["b"])], {"x": 1}),
        (Step(5, CORE, spread_limit=2), [worker("x", 9)], {"x": 2}),
        (Step(5, CORE, spread_limit=2), [worker("x", 9, step_tasks=1)], {"x": 1}),
        (Step(1, Resources(500, 0, 1)), [worker("x", 9)], {}),
        (Step(1, CORE), [], {}),
    ],
)
def test_policies_respect_capacity_labels_and_spread_limits(
    name, step, workers, placed
):
    chosen = pack(step.count, step, workers, name)
    assert {item: chosen.count(item) for item in chosen} == placed


def test_soonest_fills_fast_workers_first():
    workers = [worker("slow", 9, 0.5), worker("fast", 2, 1.2)]
    assert pack(3, Step(3, CORE), workers, "soonest") == ["fast", "fast", "slow"]


def test_soonest_counts_remote_data_as_slower():
    step = Step(1, CORE, data_rack="r1")
    workers = [worker("far", 9, 1.2), worker("close", 9, 1.0, labels=["r1"])]
    assert pack(1, step, workers, "soonest") == ["close"]


def test_whole_gaps_uses_remainders_first():
    # Guards against gaps for large tasks that small ones close while others have room.
    workers = [worker("gap", 8), worker("remainder", 3, 1.1)]
    request = PlacementRequest(Step(3, CORE), 3, 1.0, largest_demand=Resources(8000))
    chosen = find_packing("whole_gaps")(request, workers, random.Random(1))
    assert [candidate.name for candidate in chosen] == ["remainder"] * 3


def test_error_names_an_unknown_policy():
    with pytest.raises(InvalidInput, match="unknown packing policy 'x'"):
        find_packing("x")
