"""Measures the processor time of a fleet's daemons, idle and under load.

Usage: python -m bench.fleet_costs [--entries 2] [--agents 6] [--jobs-per-s 30]

Starts real entries and agents with stand-ins for the store and the workers, and
compares the processor time of each role over an idle period and over a period of load.
The slopes over the sizes are the input to docs/CAPACITY.md. Results of different
machines cannot be compared.
"""

import os
import random
import tempfile
from dataclasses import dataclass
from pathlib import Path

import anyio
import defopt

from soak.callers import Callers, SentJob, job_content
from soak.installations import Installation
from soak.programs import Program


SETTLE_S = 6.0
TASKS_PER_JOB = 4
WORK_MS = 100
CALLER_TIMEOUT_S = 2.0
NANOSECONDS_PER_S = 1e9


@dataclass(slots=True)
class Usage:
    """What a process has used since its start.

    :ivar wake_ups: How often it waited for something.
    """

    cpu_s: float = 0.0
    wake_ups: int = 0

    @classmethod
    def of(cls, process_id: int) -> "Usage":
        """Read the usage of a process."""
        cpu_ns, wake_ups = 0, 0
        # Both files are those of one thread.
        for directory in (Path("/proc") / str(process_id) / "task").iterdir():
            # More exact than the ticks in ``stat``, which miss short wake-ups.
            cpu_ns += int((directory / "schedstat").read_text().split()[0])
            status = dict(
                line.split(":\t", 1)
                for line in (directory / "status").read_text().splitlines()
                if ":\t" in line
            )
            wake_ups += int(status["voluntary_ctxt_switches"])
        return cls(cpu_ns / NANOSECONDS_PER_S, wake_ups)


class RoleMeter:
    """Measures the mean usage of the processes of one role since its creation."""

    def __init__(self, programs: list[Program]):
        self.programs = programs
        self.started_at = anyio.current_time()
        self.before = [Usage.of(program.process.pid) for program in programs]

    def report(self) -> dict[str, float]:
        """Return the usage of a process in percent of a core and wake-ups a second."""
        elapsed_s = anyio.current_time() - self.started_at
        after = [Usage.of(program.process.pid) for program in self.programs]
        processes_s = elapsed_s * len(self.programs)
        cpu_s = sum(item.cpu_s for item in after) - sum(
            item.cpu_s for item in self.before
        )
        wake_ups = sum(item.wake_ups for item in after) - sum(
            item.wake_ups for item in self.before
        )
        return {
            "cpu_s": cpu_s,
            "core_percent": round(100 * cpu_s / processes_s, 2),
            "wake_ups_per_s": round(wake_ups / processes_s, 1),
        }


async def send_jobs(callers: Callers, jobs_per_s: float, duration_s: float) -> None:
    """Send equal jobs at a constant rate and wait until all have been answered."""
    rng = random.Random(1)
    async with anyio.create_task_group() as group:
        for _ in range(round(jobs_per_s * duration_s)):
            job = SentJob(
                f"{rng.getrandbits(64):016x}", TASKS_PER_JOB, False, CALLER_TIMEOUT_S
            )
            callers.jobs.append(job)
            content = job_content(job, WORK_MS)
            content["steps"][0]["cpu"] = 500
            group.start_soon(callers.send_attempt, job, content)
            await anyio.sleep(1 / jobs_per_s)


async def measure(
    entries: int, agents: int, jobs_per_s: float, duration_s: float, directory: Path
) -> dict:
    """Return the usage of both roles, idle and under load."""
    async with Installation.open(directory, entries, agents) as installation:
        callers = Callers(installation, random.Random(1))
        async with callers.pool:
            for entry in installation.entries:
                await callers.wait_until_serving(entry)
            await anyio.sleep(SETTLE_S)
            roles = {"entry": installation.entries, "agent": installation.agents}
            idle = {name: RoleMeter(programs) for name, programs in roles.items()}
            await anyio.sleep(duration_s)
            result = {name: {"idle": meter.report()} for name, meter in idle.items()}
            callers.jobs.clear()
            loaded = {name: RoleMeter(programs) for name, programs in roles.items()}
            await send_jobs(callers, jobs_per_s, duration_s)
            done = [job for job in callers.jobs if job.attempts[-1].state == "done"]
            for name, meter in loaded.items():
                load = result[name]["load"] = meter.report()
                load["ms_per_run"] = round(
                    1000 * load.pop("cpu_s") / max(1, TASKS_PER_JOB * len(done)), 3
                )
                result[name]["idle"].pop("cpu_s")
            result["jobs"] = {"sent": len(callers.jobs), "done": len(done)}
            result["load_average"] = round(os.getloadavg()[0], 1)
            for program in installation.programs:
                await program.stop(installation.programs[0].settings["grace_s"])
        return result


def main(
    *,
    entries: int = 2,
    agents: int = 6,
    jobs_per_s: float = 30.0,
    duration_s: float = 10.0,
) -> None:
    """Measure the processor time of the daemons of one fleet.

    :param entries: Number of entries.
    :param agents: Number of agents.
    :param jobs_per_s: Jobs of four tasks a second, over all entries.
    :param duration_s: Length of each of the two periods in seconds.
    """
    with tempfile.TemporaryDirectory() as directory:
        result = anyio.run(
            measure, entries, agents, jobs_per_s, duration_s, Path(directory)
        )
    for role, periods in result.items():
        print(role, periods)


if __name__ == "__main__":
    defopt.run(main)
