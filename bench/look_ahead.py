"""Compares placements with and without reservations in simulated fleets.

``python -m bench.look_ahead LOAD SEED...`` prints one table row for each placement and
queue, with the mean of the seeds.
"""

import math
import sys
import time
from collections.abc import Callable
from statistics import mean

from loguru import logger

from emulator.simulations import FleetSimulation, Load, SimulatedJob
from marigoldkeel.fleet.admission import LATE_FACTOR
from marigoldkeel.fleet.plans import Queue
from marigoldkeel.fleet.schedulers import Scheduler
from marigoldkeel.fleet.work import JobState, Resources


PLACEMENTS = {
    "off": {},
    "look_ahead": {"look_ahead": True},
    "whole_gaps": {"packing": "whole_gaps"},
    "both": {"look_ahead": True, "packing": "whole_gaps"},
}
URGENT = Queue("urgent", "h", "/u/", "service", 0, 4, 1.6, 0.06)
SHORT = Queue("short", "h", "/s/", "service", 1, 4, 1.6, 0.06)
LONG = Queue("long", "h", "/l/", "service", 2, 4, 1.6, 0.06)
LARGE = Queue("large", "h", "/x/", "service", 1, 4, 1.6, 0.06)
WARM_UP_S, LOAD_ENDS_AT, ENDS_AT = 2.0, 14.0, 26.0

loads: dict[str, Callable[[FleetSimulation], None]] = {}


def load(workers: int, entries: int) -> Callable:
    """Register a load under the name of its function, with the size of its fleet."""

    def register(function: Callable) -> Callable:
        loads[function.__name__] = function
        function.fleet = (workers, entries)
        return function

    return register


def offer_queues(
    simulation: FleetSimulation,
    share: float,
    rates: tuple[float, float, float],
    work_s: tuple[float, float, float],
    cores: float,
    peaks: list[tuple[int, float, float, float]],
    **options,
) -> None:
    """Offer the three queues of a customer and peaks of some of them.

    :param share: Share of the customer's workers that are simulated.
    :param peaks: The index of a queue, the additional load and its start and end.
    """
    demand = Resources(round(1000 * cores), 64)
    everything = [(index, 1.0, 0.0, LOAD_ENDS_AT) for index in range(3)]
    for index, scale, starts_at, ends_at in everything + peaks:
        queue, width = ((URGENT, 8), (SHORT, 2), (LONG, 4))[index]
        simulation.offer(
            Load(
                queue,
                rates[index] * share * scale,
                width,
                work_s[index],
                demand,
                starts_at=starts_at,
                ends_at=ends_at,
                demand_spread=0.2,
                patience_s=1.5,
                **options,
            )
        )


def offer_first(simulation: FleetSimulation, share: float) -> None:
    """Offer the load of the first customer: peaks of long and then urgent jobs."""
    peaks = [(2, 1.2, 4.0, 9.0), (0, 0.7, 9.1, 12.5)]
    rates, work_s = (103, 300, 19), (0.12, 0.4, 1.8)
    offer_queues(simulation, share, rates, work_s, 7.3, peaks)


def offer_second(simulation: FleetSimulation, share: float) -> None:
    """Offer the load of the second customer: all at 1.3, then urgent ones at 1.5."""
    peaks = [(0, 0.3, 4.0, 12.0), (1, 0.3, 4.1, 12.0), (2, 0.3, 4.2, 12.0)]
    peaks.append((0, 0.5, 7.0, 10.5))
    rates, work_s = (91, 264, 16), (0.102, 0.34, 1.52)
    offer_queues(simulation, share, rates, work_s, 5.1, peaks, tail_ratio=0.03)


@load(16, 4)
def first(simulation: FleetSimulation) -> None:
    """The first customer."""
    offer_first(simulation, 16 / 77)


@load(12, 2)
def second(simulation: FleetSimulation) -> None:
    """The second customer."""
    offer_second(simulation, 12 / 54)


@load(16, 4)
def first_crowded(simulation: FleetSimulation) -> None:
    """The first customer with a third of its workers missing."""
    offer_first(simulation, 1.5 * 16 / 77)


@load(12, 2)
def second_crowded(simulation: FleetSimulation) -> None:
    """The second customer with a third of its workers missing."""
    offer_second(simulation, 1.5 * 12 / 54)


def offer_large(simulation: FleetSimulation, scale: float) -> None:
    """Offer a few tasks of 40 cores beside many small ones."""
    for queue, jobs_per_s, width, work_s, cores in (
        (LARGE, 1.2, 2, 0.8, 40),
        (SHORT, 200, 2, 0.3, 5),
    ):
        simulation.offer(
            Load(
                queue,
                jobs_per_s * scale,
                width,
                work_s,
                Resources(1000 * cores, 64),
                ends_at=LOAD_ENDS_AT,
                demand_spread=0.2,
            )
        )


@load(16, 1)
def large_one_entry(simulation: FleetSimulation) -> None:
    """Few large tasks beside many small ones, at one entry that sees all of them."""
    offer_large(simulation, 1.5)


@load(16, 4)
def large_four_entries(simulation: FleetSimulation) -> None:
    """The same at four entries."""
    offer_large(simulation, 1.5)


def make_fleet(seed: int, workers: int, entries: int, options: dict):
    """Return a fleet of which every fourth worker is slow and every third large."""
    simulation = FleetSimulation(seed, options)
    for number in range(workers):
        cores = 96_000 if number % 3 == 2 else 64_000
        speed = 0.55 if number % 4 == 0 else 1.2
        capacity = Resources(cores, 65_536)
        simulation.add_worker(f"worker-{number}", "abc"[number % 3], capacity, speed)
    for number in range(entries):
        simulation.add_entry(f"entry-{number}", "abc"[number % 3])
    return simulation


def percentile(values: list[float], share: float) -> float:
    """Return the value that a share of the values do not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def first_starts(simulation: FleetSimulation) -> dict[str, float]:
    """Return when the first task of each job has started."""
    starts: dict[str, float] = {}
    for agent in simulation.agents:
        for when, run_id in agent.worker.starts:
            job_id = run_id.task.job_id
            starts[job_id] = min(when, starts.get(job_id, when))
    return starts


def utilization(simulation: FleetSimulation) -> float:
    """Return the share of the core-seconds in use while the load was offered."""
    used = capacity = 0.0
    for agent in simulation.agents:
        ends = {run_id: when for when, run_id, _ in agent.worker.ends}
        capacity += agent.worker.capacity.cpu_milli
        for when, run_id in agent.worker.starts:
            seconds = min(ends.get(run_id, ENDS_AT), LOAD_ENDS_AT) - max(
                when, WARM_UP_S
            )
            job = simulation.by_id[run_id.task.job_id].job
            used += max(0.0, seconds) * job.steps[run_id.task.step].demand.cpu_milli
    return used / capacity / (LOAD_ENDS_AT - WARM_UP_S)


def measure(jobs: list[SimulatedJob], starts: dict[str, float]) -> list[float]:
    """Return the shares and times of the jobs of one queue."""
    done = [job for job in jobs if job.answer and job.answer.state == JobState.DONE]
    ends = [job.response_time_s for job in done]
    served = [
        job for job in done if job.response_time_s <= LATE_FACTOR * job.objective_s
    ]
    in_time = [job for job in done if job.response_time_s <= job.objective_s]
    waits = [
        starts[job.job.job_id] - job.sent_at for job in jobs if job.job.job_id in starts
    ]
    return [
        len(jobs),
        len(served) / len(jobs),
        len(in_time) / len(jobs),
        mean(waits) if waits else math.nan,
        percentile(waits, 0.95),
        mean(ends) if ends else math.nan,
        percentile(ends, 0.95),
    ]


def main(name: str, seeds: list[int], placements: list[str] | None = None) -> None:
    """Play a load with each placement and print the measurements."""
    offer = loads[name]
    schedule = Scheduler.schedule
    costs: list[float] = []

    def timed_schedule(scheduler: Scheduler) -> None:
        started_at = time.perf_counter()
        schedule(scheduler)
        costs.append(time.perf_counter() - started_at)

    Scheduler.schedule = timed_schedule
    print(
        "| placement | queue | jobs | served | in time | start mean | p95 | end mean"
        " | p95 |"
    )
    for placement in placements or PLACEMENTS:
        options = PLACEMENTS[placement]
        costs.clear()
        rows: dict[str, list[list[float]]] = {}
        uses, counts, backfilled = [], {}, 0
        for seed in seeds:
            simulation = make_fleet(seed, *offer.fleet, options)
            offer(simulation)
            simulation.run(ENDS_AT)
            starts = first_starts(simulation)
            uses.append(utilization(simulation))
            for queue in {job.job.queue.name for job in simulation.jobs}:
                jobs = [
                    job
                    for job in simulation.jobs
                    if job.job.queue.name == queue and job.sent_at >= WARM_UP_S
                ]
                rows.setdefault(queue, []).append(measure(jobs, starts))
            for entry in simulation.entries:
                if entry.scheduler.look_ahead is not None:
                    backfilled += entry.scheduler.look_ahead.backfilled
                    for event, count in entry.scheduler.look_ahead.counts.items():
                        counts[event.value] = counts.get(event.value, 0) + count
        for queue, measured in sorted(rows.items()):
            count, *values = (mean(column) for column in zip(*measured, strict=True))
            shares = " | ".join(f"{value:.4f}" for value in values[:2])
            times = " | ".join(f"{value:.3f}" for value in values[2:])
            print(f"| {placement} | {queue} | {count:.0f} | {shares} | {times} |")
        print(
            f"{placement}: cores in use {mean(uses):.3f},"
            f" schedule() {1e6 * mean(costs):.0f} us x {len(costs)},"
            f" p99 {1e6 * percentile(costs, 0.99):.0f} us,"
            f" {counts}, backfilled {backfilled}",
            flush=True,
        )


if __name__ == "__main__":
    logger.remove()
    main(sys.argv[1], [int(seed) for seed in sys.argv[2:]])
