"""Runs open-loop load tests against a local system: ``python -m bench``."""

import datetime
import operator
import os
import signal
import sys
import tempfile
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

import anyio
import defopt
import msgspec

from bench.loads import CATEGORIES, CLIENT_DELAY_S, Request, make_load
from bench.measures import (
    count_sent_messages,
    response_ratios,
    seconds_to_recover,
    summarize,
    wasted_messages,
)
from bench.systems import System
from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.sessions import AsyncSession


RESULTS = Path(__file__).parent / "results"
POLICIES = ("late_binding", "random", "least_loaded")
LOADS = (0.5, 0.8, 0.9)
GOAL_LOAD = 0.8
WARM_UP_S = 3.0
CREST_BASE_LOAD, CREST_PEAK_LOAD, CREST_PEAK_S = 0.5, 3.0, 5.0
FAULT_LOAD = 0.5
# The load including long tasks. The comparison run sends the same requests without
# long tasks, so its load is lower.
BLOCKING_LOAD = 0.75
KILLED_AGENT = 3
DRAIN_TIMEOUT_S = 60.0


@dataclass(slots=True)
class Plan:
    """The phases of a benchmark run and their durations in seconds."""

    seed: int
    phases: list[str]
    load_s: float = 20.0
    crest_before_s: float = 8.0
    crest_after_s: float = 15.0
    fault_s: float = 24.0


class Measurement:
    """Sends load to one system and collects its metrics."""

    def __init__(self, system: System, plan: Plan):
        self.system = system
        self.plan = plan
        self.sessions: dict[str, AsyncSession] = {}

    async def send(self, requests: list[Request]) -> None:
        """Send each request at its arrival time and wait until all have completed.

        Requests without an answer `DRAIN_TIMEOUT_S` after the last arrival are
        cancelled.
        """
        start = anyio.current_time() + 0.1
        with anyio.move_on_at(start + requests[-1].arrival_s + DRAIN_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                for request in requests:
                    await anyio.sleep_until(start + request.arrival_s)
                    group.start_soon(self._send_one, request, start)

    async def _send_one(self, request: Request, start: float) -> None:
        kind = request.kind
        session = self.sessions[kind.team]
        tasks = [
            {"work_ms": service_time_s * 1000}
            for service_time_s in request.service_times_s
        ]
        options = {"deadline_s": kind.deadline_s}
        await anyio.sleep(CLIENT_DELAY_S)
        try:
            if kind.category == "job":
                results = (await session.submit(kind.name, tasks, **options)).results
            else:
                results = [(await session.call(kind.name, *tasks, **options)).result]
        except MarigoldkeelError as error:
            request.error = type(error).__name__
            return
        await anyio.sleep(CLIENT_DELAY_S)
        request.error = ""
        # Measured from the scheduled arrival, so that delays of the load generator
        # are included.
        request.response_s = anyio.current_time() - start - request.arrival_s
        request.runners = [result["runner"] for result in results]
        request.set_ideal_time(self.system.speeds)

    async def measure(self, requests: list[Request], title: str) -> dict:
        """Send the requests; print and return response ratios, messages and CPU use."""
        before = count_sent_messages(await self.system.reports())
        cpu = self.system.cpu_s()
        started = anyio.current_time()
        await self.send(requests)
        elapsed_s = anyio.current_time() - started
        cores_used = {
            name: (total - cpu[name]) / elapsed_s
            for name, total in self.system.cpu_s().items()
        }
        tasks = sum(len(r.service_times_s) for r in requests if not r.error)
        metrics = {
            "tasks_done": tasks,
            "elapsed_s": round(elapsed_s, 1),
            "ratio": response_ratios(requests),
            "wasted": wasted_messages(
                before, count_sent_messages(await self.system.reports()), tasks
            ),
            "cores_used": round(sum(cores_used.values()), 2),
            "busiest_process": max(
                (round(s, 2), name) for name, s in cores_used.items()
            ),
            "machine_load_1min": round(os.getloadavg()[0], 1),
        }
        print_phase(f"{self.system.policy}, {title}", metrics)
        return metrics

    def requests(
        self, load: float, duration_s: float, with_long_tasks: bool = True
    ) -> list:
        """Return the requests of a constant load, drawn from the seed."""
        capacity = self.system.capacity
        return make_load(
            self.plan.seed,
            duration_s,
            lambda arrival_s: load,
            capacity,
            with_long_tasks,
        )

    async def crest(self) -> dict:
        """Measure an overload: the load steps up to the peak and back to the base."""
        overload_start_s = self.plan.crest_before_s
        overload_end_s = overload_start_s + CREST_PEAK_S
        end_s = overload_end_s + self.plan.crest_after_s

        def load_at(arrival_s: float) -> float:
            return (
                CREST_PEAK_LOAD
                if overload_start_s <= arrival_s < overload_end_s
                else CREST_BASE_LOAD
            )

        requests = make_load(self.plan.seed, end_s, load_at, self.system.capacity)
        metrics = await self.measure(requests, "crest")
        urgent = [r for r in requests if r.kind.category == "urgent"]
        metrics["urgent_in_time"] = sum(r.in_time for r in urgent) / len(urgent)
        metrics["recovery_s"] = seconds_to_recover(
            requests, overload_start_s, overload_end_s, end_s
        )
        refused = Counter(r.kind.category for r in requests if r.error == "Refused")
        metrics["refused"] = {name: refused[name] for name in CATEGORIES}
        return metrics

    async def blocking(self) -> dict:
        """Measure how much long tasks delay the requests that have none.

        The same requests are sent twice, without long tasks and with them.
        """
        metrics, p99 = {}, {}
        for title, with_long_tasks in (
            ("without long work", False),
            ("with long work", True),
        ):
            requests = self.requests(BLOCKING_LOAD, self.plan.load_s, with_long_tasks)
            metrics[title] = await self.measure(requests, title)
            short = [r for r in requests if not r.has_long_task and not r.error]
            p99[with_long_tasks] = {
                name: summarize(
                    [r.response_s for r in short if r.kind.category == name]
                )
                for name in CATEGORIES
            }
        metrics["p99_ratio"] = {
            name: round(p99[True][name]["p99"] / p99[False][name]["p99"], 3)
            for name in CATEGORIES
        }
        return metrics

    async def faults(self) -> dict:
        """Measure with the store unavailable and, during that time, an agent killed."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._inject_faults, self.plan.fault_s / 4)
            requests = self.requests(FAULT_LOAD, self.plan.fault_s)
            metrics = await self.measure(requests, "store down, agent killed")
        starts = Counter(self.system.starts())
        metrics["starts"] = sum(starts.values())
        metrics["started_twice"] = sum(count > 1 for count in starts.values())
        return metrics

    async def _inject_faults(self, interval_s: float) -> None:
        await anyio.sleep(interval_s)
        await self.system.set_store_down(True)
        await anyio.sleep(interval_s)
        self.system.processes[f"agent-{KILLED_AGENT}"].kill()
        await anyio.sleep(interval_s)
        await self.system.set_store_down(False)


async def run_policy(policy: str, loads: list[float], plan: Plan) -> dict:
    """Start a system with ``policy``, run the phases and return their metrics."""
    metrics: dict = {"loads": {}}
    async with AsyncExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        system = await stack.enter_async_context(System.open(policy, directory))
        measurement = Measurement(system, plan)
        for team in ("brusadelli", "gulfline"):
            session = AsyncSession(system.entry_http_addresses, team)
            measurement.sessions[team] = await stack.enter_async_context(session)
        await measurement.send(measurement.requests(FAULT_LOAD, WARM_UP_S))
        for load in loads:
            requests = measurement.requests(load, plan.load_s)
            metrics["loads"][load] = await measurement.measure(requests, f"load {load}")
        if policy == "late_binding":
            for phase in plan.phases:
                metrics[phase] = await getattr(measurement, phase)()
    return metrics


def print_phase(title: str, metrics: dict) -> None:
    """Print one line for the phase and one for each request category."""
    wasted = metrics["wasted"]
    print(
        f"\n{title}: {metrics['tasks_done']} tasks, wasted messages "
        f"{wasted['messages']['wasted_share']:.1%}, frames "
        f"{wasted['frames']['wasted_share']:.1%}, {metrics['cores_used']} cores, "
        f"busiest {metrics['busiest_process']}, machine load "
        f"{metrics['machine_load_1min']}"
    )
    for category, row in metrics["ratio"].items():
        print(
            f"  {category:7} {row['requests']:6} mean {row['mean']:6.2f} "
            f"p50 {row['p50']:6.2f} p99 {row['p99']:7.2f} in time {row['in_time']:6} "
            f"errors {row['errors']}",
            flush=True,
        )


def check_goals(metrics: dict) -> list[dict]:
    """Return each performance goal of late_binding with its measured value."""
    rows = []
    if goal_metrics := metrics["loads"].get(GOAL_LOAD):
        ratio, wasted_by_unit = goal_metrics["ratio"], goal_metrics["wasted"]
        if ratio["urgent"]["answered"]:
            rows += [("mean response / ideal", ratio["all"]["mean"], "<=", 1.5)]
            rows += [("urgent p99 / ideal", ratio["urgent"]["p99"], "<=", 2.0)]
        for unit in wasted_by_unit:
            rows += [
                (f"wasted {unit}", wasted_by_unit[unit]["wasted_share"], "<=", 0.1)
            ]
    if crest := metrics.get("crest"):
        rows += [("urgent in time at crest", crest["urgent_in_time"], ">=", 0.999)]
        rows += [("seconds until goodput is back", crest["recovery_s"], "<=", 2.0)]
    for category, ratio in metrics.get("blocking", {}).get("p99_ratio", {}).items():
        rows += [(f"{category} p99 with / without long work", ratio, "<=", 1.3)]
    if faults := metrics.get("faults"):
        rows += [("tasks started twice", faults["started_twice"], "<=", 0)]
    compare = {"<=": operator.le, ">=": operator.ge}
    return [
        {
            "figure": name,
            "value": value,
            "goal": f"{relation} {bound}",
            "met": value is not None and compare[relation](value, bound),
        }
        for name, value, relation, bound in rows
    ]


def bench(
    *,
    quick: bool = False,
    seed: int = 1,
    policies: list[str] = POLICIES,
    loads: list[float] = LOADS,
    phases: list[str] = ("blocking", "crest", "faults"),
    load_s: float = 20.0,
) -> int:
    """Compare the policies and print whether late_binding meets each goal.

    :param quick: Shorten all phases to about a minute in total, at load 0.8 only.
    :param seed: Seed of arrival times and tasks, the same for every policy.
    :param policies: Dispatch policies to compare.
    :param loads: Loads to measure, as fractions of the capacity of all slots.
    :param phases: Additional phases for late_binding. Put faults last, since it leaves
        one agent killed.
    :param load_s: Duration of the arrivals at each load, in seconds.
    """
    plan = Plan(seed, list(phases), load_s)
    if quick:
        loads, plan = [GOAL_LOAD], Plan(seed, list(phases), 3.0, 4.0, 4.0, 6.0)
    metrics = {
        policy: anyio.run(run_policy, policy, list(loads), plan) for policy in policies
    }
    goals = check_goals(metrics.get("late_binding", {"loads": {}}))
    print()
    for row in goals:
        verdict = "met" if row["met"] else "MISSED"
        print(f"{verdict:6} {row['figure']}: {row['value']} (goal {row['goal']})")
    now = datetime.datetime.now(datetime.UTC)
    document = {"time": now, "plan": plan, "cores": os.cpu_count(), "goals": goals}
    document["policies"] = metrics
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{now:%Y%m%dT%H%M%SZ}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(document)))
    print(f"results written to {path}")
    return 0


if __name__ == "__main__":
    # Handle SIGTERM like Ctrl-C, so that all child processes are killed on exit.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    sys.exit(defopt.run(bench))
