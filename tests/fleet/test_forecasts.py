"""Tests for the forecasts of run times and worker speeds."""

import random

import pytest

from marigoldkeel.fleet.forecasts import Forecaster, Sample


def train_forecaster(
    speeds: dict[str, float], jobs: int, bias: float = 1.0, seed: int = 1
):
    """Return a forecaster trained on jobs of four tasks on workers with given speeds.

    The estimates are wrong by about 40 %; the tasks of a job differ by about 10 %.
    """
    rng = random.Random(seed)
    forecaster = Forecaster()
    for _ in range(jobs):
        estimate_s = rng.uniform(0.05, 2.0)
        work_s = estimate_s * bias * rng.lognormvariate(0, 0.4)
        samples = []
        for _ in range(4):
            worker = rng.choice(list(speeds))
            run_s = work_s * rng.uniform(0.85, 1.15) / speeds[worker]
            sample = Sample(worker, run_s)
            forecast_s = forecaster.critical_path_s("q", [estimate_s])
            forecaster.learn_speed(sample, samples, forecast_s)
            samples.append(sample)
        longest_s = max(forecaster.work_s(sample) for sample in samples)
        forecaster.learn_critical_path("q", [estimate_s, 5 * work_s], longest_s)
    return forecaster


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_slow_and_fast_workers_are_distinguished(seed):
    forecaster = train_forecaster(
        {"slow": 0.55, "x": 1.2, "y": 1.2, "z": 1.2}, 100, seed=seed
    )
    fast = [forecaster.speed(name) for name in "xyz"]
    for speed in fast:
        assert speed / forecaster.speed("slow") == pytest.approx(1.2 / 0.55, rel=0.2)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_slow_worker_is_recognized_after_a_few_jobs(seed):
    speeds = {"slow": 0.55, "x": 1.2, "y": 1.2, "z": 1.2}
    forecaster = train_forecaster(speeds, 4, seed=seed)
    slowest_fast = min(forecaster.speed(name) for name in "xyz")
    assert slowest_fast / forecaster.speed("slow") > 1.6


def test_estimates_that_are_always_too_low_are_corrected():
    forecaster = train_forecaster({"x": 1.0, "y": 1.0}, 250, bias=3.0)
    assert forecaster.critical_path_s("q", [1.0]) == pytest.approx(3.0, rel=0.3)


def test_more_accurate_hint_outweighs_the_other():
    # The callers wait five times the work, and their estimates are wrong by about 40 %.
    forecaster = train_forecaster({"x": 1.0, "y": 1.0}, 250)
    assert forecaster.critical_path_s("q", [4.0, 5.0]) == pytest.approx(1.1, rel=0.2)


def test_uninformative_hint_gets_little_weight():
    rng = random.Random(1)
    forecaster = Forecaster()
    for _ in range(300):
        work_s = rng.uniform(0.1, 2.0)
        hints_s = [work_s * rng.lognormvariate(0, 0.2), rng.uniform(0.1, 60.0)]
        forecaster.learn_critical_path("q", hints_s, work_s)
    assert forecaster.critical_path_s("q", [1.0, 60.0]) == pytest.approx(1.0, rel=0.3)
    assert forecaster.critical_path_s("q", [1.0, 0.1]) == pytest.approx(1.0, rel=0.3)


def test_slowdown_of_a_worker_is_learned_within_a_few_runs():
    forecaster = train_forecaster({"x": 1.0, "y": 1.0, "z": 1.0}, 100)
    before = forecaster.speed("x")
    for _ in range(4):
        siblings = [Sample("y", 1.0), Sample("z", 1.0)]
        forecaster.learn_speed(Sample("x", 6.5), siblings, 1.0)
    assert forecaster.speed("x") < before / 2


def test_long_tasks_do_not_lower_the_speed_of_a_worker():
    # A few per cent of the jobs have tasks of seven times the usual work. The other
    # tasks of such a job take as long, which shows that the worker is not at fault.
    forecaster = train_forecaster({"x": 1.0, "y": 1.0, "z": 1.0}, 100)
    before = forecaster.speed("x")
    forecaster.learn_speed(Sample("x", 7.0), [Sample("y", 7.1), Sample("z", 6.8)], 1.0)
    assert forecaster.speed("x") == pytest.approx(before, rel=0.05)


def test_task_without_an_estimate_has_a_run_time():
    assert Forecaster().critical_path_s("q", [0.0, 0.0]) > 0
