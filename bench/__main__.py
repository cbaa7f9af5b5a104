"""Measures the system under load: ``python -m bench``."""

import datetime
import os
import sys
import tempfile
import time
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

import anyio
import defopt
import msgspec

from bench.loads import CLIENT_DELAY_S, Request, ideal_s, make_load
from bench.measures import (
    CATEGORIES,
    goal,
    p99_s,
    ratios,
    seconds_to_recover,
    sent,
    wasted,
)
from bench.systems import System
from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.sessions import AsyncSession


RESULTS = Path(__file__).parent / "results"
POLICIES = ("late_binding", "random", "least_loaded")
LOADS = (0.5, 0.8, 0.9)
GOAL_LOAD = 0.8
WARM_UP_S = 3.0
CREST_LOW, CREST_HIGH, CREST_S = 0.5, 3.0, 5.0
FAULT_LOAD = 0.5
# Load whose long tasks are left out in one of the two runs.
BLOCKING_LOAD = 0.75
KILLED_AGENT = 3
DRAIN_LIMIT_S = 60.0


@dataclass(slots=True)
class Plan:
    """What to run; durations in seconds."""

    seed: int
    load_s: float
    blocking_s: float
    crest_before_s: float
    crest_after_s: float
    fault_s: float
    phases: list[str]


class Runner:
    """Sends loads to one system and collects the figures."""

    def __init__(self, system: System, plan: Plan):
        self.system = system
        self.plan = plan
        self.sessions: dict[str, AsyncSession] = {}

    async def send(self, requests: list[Request]) -> None:
        """Send each request at its time and wait until all have ended."""
        start = anyio.current_time() + 0.1
        with anyio.move_on_after(requests[-1].at_s + DRAIN_LIMIT_S):
            async with anyio.create_task_group() as group:
                for request in requests:
                    await anyio.sleep_until(start + request.at_s)
                    group.start_soon(self._send_one, request, start)

    async def _send_one(self, request: Request, start: float) -> None:
        kind = request.kind
        session = self.sessions[kind.team]
        tasks = [{"work_ms": work_s * 1000} for work_s in request.works_s]
        request.error = "no answer before the phase ended"
        await anyio.sleep(CLIENT_DELAY_S)
        try:
            if kind.category == "job":
                answer = await session.submit(
                    kind.name, tasks, deadline_s=kind.deadline_s
                )
                results = answer.results
            else:
                answer = await session.call(
                    kind.name, tasks[0], deadline_s=kind.deadline_s
                )
                results = [answer.result]
        except MarigoldkeelError as error:
            request.error = type(error).__name__
        else:
            await anyio.sleep(CLIENT_DELAY_S)
            request.error = ""
            request.attempts = answer.attempts
            request.runners = [result["runner"] for result in results]
            request.ideal_s = ideal_s(request, self.system.speeds)
        # Counted from the scheduled arrival, so that a late load generator shows.
        request.started_s = request.at_s
        request.response_s = anyio.current_time() - start - request.at_s

    async def measure(self, requests: list[Request]) -> dict:
        """Send the requests and return ratios, messages and CPU use."""
        before = sent(await self._reports())
        cpu = self.system.cpu_s()
        started = time.monotonic()
        await self.send(requests)
        elapsed_s = time.monotonic() - started
        used = {name: s - cpu[name] for name, s in self.system.cpu_s().items()}
        done = [request for request in requests if not request.error]
        tasks = sum(len(request.works_s) for request in done)
        return {
            "requests": len(requests),
            "tasks_done": tasks,
            "elapsed_s": round(elapsed_s, 1),
            "ratio": ratios(requests),
            "wasted": wasted(before, sent(await self._reports()), tasks),
            "cpu_cores": round(sum(used.values()) / elapsed_s, 2),
            "busiest_process": max(
                (round(s / elapsed_s, 2), name) for name, s in used.items()
            ),
            "machine_load_1min": round(os.getloadavg()[0], 1),
        }

    async def _reports(self) -> list[dict]:
        entries = [await self.system.report(a) for a in self.system.entry_http]
        return [*filter(None, entries), *await self.system.agent_reports()]

    def load(self, load: float, duration_s: float, with_long: bool = True) -> list:
        """Return the seeded requests of a constant load."""
        return make_load(
            self.plan.seed,
            duration_s,
            lambda at_s: load,
            self.system.capacity,
            with_long,
        )

    async def crest(self) -> dict:
        """Measure the load stepped up and back."""
        up_s = self.plan.crest_before_s
        back_s = up_s + CREST_S
        end_s = back_s + self.plan.crest_after_s
        requests = make_load(
            self.plan.seed,
            end_s,
            lambda at_s: CREST_HIGH if up_s <= at_s < back_s else CREST_LOW,
            self.system.capacity,
        )
        figures = await self.measure(requests)
        urgent = [r for r in requests if r.kind.category == "urgent"]
        figures["urgent_in_time"] = sum(r.in_time for r in urgent) / len(urgent)
        figures["recovery_s"] = seconds_to_recover(requests, up_s, back_s, end_s)
        refused = Counter(r.kind.category for r in requests if r.error == "Refused")
        figures["refused"] = {name: refused[name] for name in CATEGORIES}
        return figures

    async def blocking(self) -> dict:
        """Measure short work with and without long work."""
        figures, p99 = {}, {}
        for name, with_long in (("without", False), ("with", True)):
            requests = self.load(BLOCKING_LOAD, self.plan.blocking_s, with_long)
            figures[name] = await self.measure(requests)
            short = [r for r in requests if not r.has_long and not r.error]
            p99[name] = {
                category: p99_s([r for r in short if r.kind.category == category])
                for category in CATEGORIES
            }
        figures["p99_s"] = p99
        figures["p99_ratio"] = {
            category: round(p99["with"][category] / p99["without"][category], 3)
            for category in CATEGORIES
        }
        return figures

    async def faults(self) -> dict:
        """Measure with the store down and then one agent killed."""
        requests = self.load(FAULT_LOAD, self.plan.fault_s)
        async with anyio.create_task_group() as group:
            group.start_soon(self._inject)
            figures = await self.measure(requests)
        starts = Counter(self.system.starts())
        figures["starts"] = sum(starts.values())
        figures["started_twice"] = sum(count > 1 for count in starts.values())
        return figures

    async def _inject(self) -> None:
        await anyio.sleep(self.plan.fault_s / 4)
        await self.system.set_store_down(True)
        await anyio.sleep(self.plan.fault_s / 4)
        self.system.kill_agent(KILLED_AGENT)
        await anyio.sleep(self.plan.fault_s / 4)
        await self.system.set_store_down(False)


async def run_policy(policy: str, loads: list[float], plan: Plan) -> dict:
    """Start a system with ``policy`` and return the figures of its phases."""
    figures: dict = {"loads": {}}
    with tempfile.TemporaryDirectory() as name:
        async with AsyncExitStack() as stack:
            system = await stack.enter_async_context(System.open(policy, Path(name)))
            runner = Runner(system, plan)
            for team in ("brusadelli", "gulfline"):
                session = AsyncSession(system.entry_http, team)
                runner.sessions[team] = await stack.enter_async_context(session)
            await runner.send(runner.load(FAULT_LOAD, WARM_UP_S))
            for load in loads:
                figures["loads"][load] = await runner.measure(
                    runner.load(load, plan.load_s)
                )
                print_phase(policy, f"load {load}", figures["loads"][load])
            if policy == "late_binding":
                # Last the faults, which leave the system with an agent less.
                for phase in plan.phases:
                    figures[phase] = await getattr(runner, phase)()
                    parts = figures[phase]
                    for key in ("without", "with") if phase == "blocking" else ():
                        print_phase(policy, f"{key} long", parts[key])
                    if phase != "blocking":
                        print_phase(policy, phase, parts)
    return figures


def print_phase(policy: str, phase: str, figures: dict) -> None:
    """Print one line for each class."""
    share = {
        unit: figures["wasted"][unit]["wasted_share"] for unit in figures["wasted"]
    }
    print(
        f"\n{policy}, {phase}: {figures['requests']} requests, "
        f"{figures['tasks_done']} tasks, wasted messages {share['messages']:.1%}, "
        f"frames {share['frames']:.1%}, {figures['cpu_cores']} cores, busiest "
        f"{figures['busiest_process']}, machine load {figures['machine_load_1min']}"
    )
    for category, row in figures["ratio"].items():
        print(
            f"  {category:7} {row['requests']:6} mean {row['mean']:6.2f} "
            f"p50 {row['p50']:6.2f} p99 {row['p99']:7.2f} in time {row['in_time']:6} "
            f"retried {row['retried']} errors {row['errors']}",
            flush=True,
        )


def check_goals(figures: dict) -> list[dict]:
    """Return the goals with their figures for `late_binding`."""
    goals = []
    at_goal = figures["loads"].get(GOAL_LOAD)
    if at_goal:
        ratio = at_goal["ratio"]
        goals += [
            goal("mean response / ideal at 0.8", ratio["all"]["mean"], 1.5),
            goal("urgent p99 response / ideal at 0.8", ratio["urgent"]["p99"], 2.0),
        ]
        goals += [
            goal(f"wasted {unit} at 0.8", part["wasted_share"], 0.1)
            for unit, part in at_goal["wasted"].items()
        ]
    if crest := figures.get("crest"):
        goals += [
            goal("urgent in time at the crest", crest["urgent_in_time"], 0.999, True),
            goal("seconds until goodput is back", crest["recovery_s"], 2.0),
        ]
    if blocking := figures.get("blocking"):
        goals += [
            goal(f"{category} p99 with / without long work", ratio, 1.3)
            for category, ratio in blocking["p99_ratio"].items()
        ]
    if faults := figures.get("faults"):
        goals.append(goal("tasks started twice", faults["started_twice"], 0))
        if not ratio["urgent"]["answered"]:
            goals = [row | {"met": False} for row in goals]
    return goals


def bench(
    *,
    quick: bool = False,
    seed: int = 1,
    policies: list[str] = POLICIES,
    loads: list[float] = LOADS,
    phases: list[str] = ("blocking", "crest", "faults"),
    load_s: float = 20.0,
) -> int:
    """Measure the policies and print each goal as met or missed.

    :param quick: About a minute in all, at load 0.8 only.
    :param seed: Seed of the arrivals and tasks, the same for every policy.
    :param policies: Policies to compare.
    :param loads: Loads, as shares of the capacity of all slots.
    :param phases: Further phases for late_binding.
    :param load_s: Seconds of arrivals at each load.
    """
    plan = Plan(seed, load_s, load_s, 8.0, 15.0, 24.0, list(phases))
    if quick:
        loads = [GOAL_LOAD]
        plan = Plan(seed, 4.0, 4.0, 4.0, 4.0, 8.0, list(phases))
    figures = {
        policy: anyio.run(run_policy, policy, list(loads), plan) for policy in policies
    }
    goals = check_goals(figures.get("late_binding", {"loads": {}}))
    print()
    for row in goals:
        verdict = "met" if row["met"] else "MISSED"
        print(f"{verdict:6} {row['figure']}: {row['value']} (goal {row['goal']})")
    now = datetime.datetime.now(datetime.UTC)
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{now:%Y%m%dT%H%M%SZ}.json"
    document = {
        "time": now.isoformat(),
        "plan": plan,
        "cores": os.cpu_count(),
        "policies": figures,
        "goals": goals,
    }
    encoded = msgspec.json.encode(document, enc_hook=str)
    path.write_bytes(msgspec.json.format(encoded))
    print(f"figures in {path.relative_to(Path.cwd())}")
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(bench))
