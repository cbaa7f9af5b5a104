"""What is learned of run times and speeds."""

import random

import pytest

from marigoldkeel.fleet.forecasts import Forecaster


def learned(speeds: dict[str, float], runs: int, bias: float = 1.0, seed: int = 1):
    """Return a forecaster that has seen runs of workers with given speeds."""
    rng = random.Random(seed)
    forecaster = Forecaster()
    for _ in range(runs):
        worker = rng.choice(list(speeds))
        estimate_s = rng.uniform(0.05, 2.0)
        run_s = estimate_s * bias * rng.lognormvariate(0, 0.4) / speeds[worker]
        forecaster.record(worker, "q", estimate_s, run_s)
    return forecaster


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_slow_workers_are_told_from_fast_ones(seed):
    forecaster = learned({"slow": 0.55, "x": 1.2, "y": 1.2, "z": 1.2}, 800, seed=seed)
    fast = [forecaster.speed(name) for name in "xyz"]
    assert all(1.5 < speed / forecaster.speed("slow") < 3.2 for speed in fast)


def test_estimates_that_are_always_too_low_are_corrected():
    forecaster = learned({"x": 1.0, "y": 1.0}, 1000, bias=3.0)
    assert 2.0 < forecaster.task_s("q", 1.0) < 4.5


def test_worker_that_turns_slow_is_known_after_a_few_runs():
    forecaster = learned({"x": 1.0, "y": 1.0, "z": 1.0}, 300)
    before = forecaster.speed("x")
    for _ in range(4):
        forecaster.record("x", "q", 1.0, 6.5)
    assert forecaster.speed("x") < before / 2


def test_task_without_an_estimate_has_a_run_time():
    assert Forecaster().task_s("q", 0.0) > 0
