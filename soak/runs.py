"""One seeded run of the soak test: load, faults, recovery and checks.

In this module, a run is an execution of the soak test, not the run of a task.
"""

import random
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from soak.callers import Callers
from soak.checks import RunRecord, checks, findings, timed_checks
from soak.faults import faults
from soak.installations import FaultPeriod, Installation
from soak.loads import Load, LoopLag


START_TIMEOUT_S = 30.0
FAULT_INTERVALS_S = (0.05, 0.3, 0.8, 1.5)
# A fault that returns sooner found nothing to act on, or acts at one moment.
MIN_FAULT_S = 0.01
# Limits of the platform, counted from the end of the last fault: every entry has the
# newest configuration within CONFIGURATION_LIMIT_S and serves jobs again within
# RECOVERY_LIMIT_S. The first limit is enforced loosely: its check starts only after the
# wait for recovery, which takes up to 15 s.
CONFIGURATION_LIMIT_S = 2.0
RECOVERY_LIMIT_S = 12.0
# Added to these limits, since the event loop may be delayed on a busy machine.
LOOP_LAG_MARGIN_S = 3.0


@dataclass
class Report:
    """The result of one run, as opposed to the observations in its `RunRecord`.

    :ivar faults: Start time in seconds and name of each fault that was started.
    :ivar violations: Violations of guarantees without a time limit.
    :ivar late_violations: Violations of guarantees with a time limit.
    :ivar lag_s: The largest delay of the soak test's event loop. The stand-ins for the
        store and the workers' runners use this loop too, so it delays their responses.
    :ivar callers_lag_s: The same of the callers, which run in a process of their own.
    :ivar jobs: Number of jobs sent by callers.
    :ivar outcomes: Number of attempts by outcome: the state of the job if the response
        has one, otherwise the HTTP status or the kind of connection failure.
    """

    seed: int
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    late_violations: list[str] = field(default_factory=list)
    lag_s: float = 0.0
    callers_lag_s: float = 0.0
    jobs: int = 0
    outcomes: Counter = field(default_factory=Counter)


async def run_seed(
    seed: int,
    directory: Path,
    seconds: float = 10.0,
    entries: int = 3,
    workers: int = 4,
    kinds: Collection[str] = (),
) -> Report:
    """Run one seed and return its report.

    :param kinds: Names of the faults to choose from; empty for all.

    :param directory: Directory for the settings and logs of the processes.
    :param seconds: Length of the period in which faults are started; they may end
        after it.
    """
    report, rng = Report(seed), random.Random(seed)
    host = f"127.1.{seed // 200 % 200}.{seed % 200 + 1}"
    async with Installation.open(directory, entries, workers, host) as installation:
        callers = Callers(installation, random.Random(f"checks {seed}"))
        load, lag = Load(installation, f"callers {seed}"), LoopLag()
        with anyio.move_on_after(START_TIMEOUT_S) as timeout_scope:
            await _wait_until_serving(callers)
        if timeout_scope.cancelled_caught:
            report.late_violations.append(
                "start: not every entry served a job within START_TIMEOUT_S"
            )
            return report
        async with anyio.create_task_group() as lag_group:
            lag_group.start_soon(lag.measure)
            async with anyio.create_task_group() as group:
                group.start_soon(load.run)
                chosen = sorted(kinds or faults)
                await _inject_faults(installation, rng, seconds, report, chosen)
                # A precaution: each fault also ends by itself.
                installation.restore()
                report.late_violations += await _check_recovery(installation, callers)
                load.stopping = True
            lag_group.cancel_scope.cancel()
        report.lag_s, report.callers_lag_s = lag.seconds, load.lag_s
        callers.jobs += load.jobs
        callers.probes += load.probes
        record = RunRecord.from_run(installation, callers)
        report.violations += findings(record, checks)
        report.late_violations += findings(record, timed_checks)
    report.jobs = len(callers.jobs)
    report.outcomes.update(
        str(attempt.state or attempt.outcome) for _, attempt in record.attempts
    )
    return report


async def _wait_until_serving(callers: Callers) -> None:
    """Wait until every entry has served a job."""
    async with anyio.create_task_group() as group:
        for entry in callers.installation.entries:
            group.start_soon(callers.wait_until_serving, entry)


async def _inject_faults(
    installation: Installation,
    rng: random.Random,
    seconds: float,
    report: Report,
    kinds: list[str],
) -> None:
    """Start faults, which may overlap, for a time and wait until all have ended."""
    ends_at = anyio.current_time() + seconds
    began_at = anyio.current_time()
    async with anyio.create_task_group() as group:
        while anyio.current_time() < ends_at:
            await anyio.sleep(rng.choice(FAULT_INTERVALS_S))
            name = rng.choice(kinds)
            offset_s = anyio.current_time() - began_at
            report.faults.append(f"{offset_s:.2f} {name}")
            group.start_soon(
                _run_fault, name, installation, random.Random(rng.random())
            )


async def _run_fault(name: str, installation: Installation, rng: random.Random) -> None:
    """Run a fault and record when it acted, if it did."""
    began_at = anyio.current_time()
    await faults[name](installation, rng)
    ended_at = anyio.current_time()
    if ended_at - began_at > MIN_FAULT_S:
        period = FaultPeriod(name, began_at, ended_at)
        installation.fault_periods.append(period)


async def _check_recovery(installation: Installation, callers: Callers) -> list[str]:
    """Check that entries and workers serve again with the newest configuration.

    Queues that a change removed are probed too: entries must no longer know them.

    :return: The limits that were not met, as text.
    """
    missed = []
    workers = [runner.worker for runner in installation.runners]
    starts_before = [len(worker.starts) for worker in workers]
    recover_by = anyio.current_time() + RECOVERY_LIMIT_S + LOOP_LAG_MARGIN_S
    with anyio.CancelScope(deadline=recover_by) as timeout_scope:
        await _wait_until_serving(callers)
    if timeout_scope.cancelled_caught:
        missed.append(
            f"recovery: not every entry served again within {RECOVERY_LIMIT_S} s after "
            "the last fault, plus a margin for the event loop's lag"
        )
    with anyio.CancelScope(deadline=recover_by) as timeout_scope:
        for worker, before in zip(workers, starts_before, strict=True):
            while len(worker.starts) == before:
                await anyio.sleep(0.05)
    if timeout_scope.cancelled_caught:
        missed.append(f"recovery: no run started on {worker.name} in the same time")
    newest = installation.changes[-1]
    with anyio.move_on_after(
        CONFIGURATION_LIMIT_S + LOOP_LAG_MARGIN_S
    ) as timeout_scope:
        for entry in installation.entries:
            for prefix in installation.prefixes:
                while True:
                    probe = await callers.probe(entry, prefix)
                    if probe is not None and probe.known == (prefix in newest.prefixes):
                        break
                    await anyio.sleep(0.05)
    if timeout_scope.cancelled_caught:
        missed.append(
            f"configuration: version {newest.version} is not in force at every entry"
        )
    return missed
