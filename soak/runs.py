"""One seeded run of the soak: traffic, faults, recovery and the checks."""

import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from soak.callers import Callers
from soak.checks import Record, checks, findings, timed_checks
from soak.faults import faults
from soak.installations import Installation


START_LIMIT_S = 30.0
FAULT_GAPS_S = (0.05, 0.3, 0.8, 1.5)
# The platform's bounds: after the last fault a configuration is in force everywhere
# within the first, and jobs are served again within the second.
CONFIGURATION_S = 2.0
RECOVERY_S = 12.0
# What a loop on a busy machine may be late by, on top of the bounds.
MACHINE_SLACK_S = 3.0
LAG_TICK_S = 0.01


@dataclass
class Report:
    """What came of one run.

    :ivar found: Promises broken that hold at any speed.
    :ivar late: Promises broken that have a bound in seconds.
    :ivar lag_s: By how much the soak's own loop was late at most, since the stand-ins
        are as late.
    """

    seed: int
    faults: list[str] = field(default_factory=list)
    found: list[str] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
    lag_s: float = 0.0
    jobs: int = 0
    outcomes: Counter = field(default_factory=Counter)


async def run_seed(
    seed: int, folder: Path, seconds: float = 10.0, entries: int = 3, workers: int = 4
) -> Report:
    """Run one seed and return what was found.

    :param folder: Where the settings and logs of the processes go.
    :param seconds: How long faults begin.
    """
    report, rng = Report(seed), random.Random(seed)
    host = f"127.1.{seed // 200 % 200}.{seed % 200 + 1}"
    async with Installation.open(folder, entries, workers, host) as installation:
        callers = Callers(installation, random.Random(f"callers {seed}"))
        with anyio.move_on_after(START_LIMIT_S) as limit:
            await _wait_until_served(callers)
        if limit.cancelled_caught:
            report.late.append("started: no entry served within the limit")
            return report
        async with anyio.create_task_group() as watch:
            watch.start_soon(_watch_lag, report)
            async with anyio.create_task_group() as group:
                group.start_soon(callers.run)
                await _disturb(installation, rng, seconds, report)
                installation.restore()
                report.late += await _recover(installation, callers)
                callers.stopping = True
            watch.cancel_scope.cancel()
        record = Record.from_run(installation, callers)
        report.found += findings(record, checks)
        report.late += findings(record, timed_checks)
    report.jobs = len(callers.jobs)
    report.outcomes.update(
        str(attempt.state or attempt.outcome) for _, attempt in record.attempts
    )
    return report


async def _watch_lag(report: Report) -> None:
    """Note by how much this loop is late."""
    while True:
        due_at = anyio.current_time() + LAG_TICK_S
        await anyio.sleep(LAG_TICK_S)
        report.lag_s = max(report.lag_s, anyio.current_time() - due_at)


async def _wait_until_served(callers: Callers) -> None:
    """Wait until every entry has served a job."""
    async with anyio.create_task_group() as group:
        for entry in callers.installation.entries:
            group.start_soon(callers.wait_until_serves, entry)


async def _disturb(
    installation: Installation, rng: random.Random, seconds: float, report: Report
) -> None:
    """Let faults begin for a while, overlapping, and wait until all have ended."""
    ends_at = anyio.current_time() + seconds
    began_at = anyio.current_time()
    async with anyio.create_task_group() as group:
        while anyio.current_time() < ends_at:
            await anyio.sleep(rng.choice(FAULT_GAPS_S))
            name = rng.choice(sorted(faults))
            at_s = anyio.current_time() - began_at
            report.faults.append(f"{at_s:.2f} {name}")
            group.start_soon(faults[name], installation, random.Random(rng.random()))


async def _recover(installation: Installation, callers: Callers) -> list[str]:
    """Check that the newest configuration is in force and jobs are served again."""
    found = []
    with anyio.move_on_after(RECOVERY_S + MACHINE_SLACK_S) as limit:
        await _wait_until_served(callers)
    if limit.cancelled_caught:
        found.append(f"recovery: not every entry served within {RECOVERY_S} s")
    last = installation.changes[-1]
    with anyio.move_on_after(CONFIGURATION_S + MACHINE_SLACK_S) as limit:
        for entry in installation.entries:
            for prefix in installation.prefixes:
                while True:
                    probe = await callers.probe(entry, prefix)
                    if probe is not None and probe.known == (prefix in last.prefixes):
                        break
                    await anyio.sleep(0.05)
    if limit.cancelled_caught:
        found.append(f"configuration: version {last.version} is not in force")
    return found
