"""Runs the soak test: ``python -m soak --seeds 1-50``."""

import logging
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import anyio
import defopt
from loguru import logger

from soak.runs import run_seed


def soak(
    *,
    seeds: str = "1",
    seconds: float = 10.0,
    entries: int = 3,
    workers: int = 4,
    jobs: int = 1,
    keep: str = "",
    kinds: str = "",
) -> int:
    """Run seeds and print the violations found; exit with 1 if there are any.

    :param seeds: One seed or a range such as ``1-50``.
    :param seconds: How long new faults are started in each run.
    :param entries: Number of entries.
    :param workers: Number of workers, each with an agent.
    :param jobs: Number of seeds to run at the same time.
    :param keep: Directory in which to keep the settings and logs of the processes.
    :param kinds: Names of the faults to choose from, separated by commas; all if empty.
    """
    first, _, last = seeds.partition("-")
    seed_numbers = range(int(first), int(last or first) + 1)
    if len(seed_numbers) == 1:
        return _run_in_process(seed_numbers[0], seconds, entries, workers, keep, kinds)

    def run_in_subprocess(seed: int) -> int:
        command = [sys.executable, "-m", "soak", "--seeds", str(seed)]
        command += ["--seconds", str(seconds), "--entries", str(entries)]
        command += ["--workers", str(workers), "--keep", keep, "--kinds", kinds]
        result = subprocess.run(command, capture_output=True, text=True)
        print(result.stdout + result.stderr[-2000:], end="", flush=True)
        return result.returncode

    with ThreadPoolExecutor(jobs) as pool:
        exit_codes = list(pool.map(run_in_subprocess, seed_numbers))
    failed = [seed for seed, code in zip(seed_numbers, exit_codes, strict=True) if code]
    print(f"{len(seed_numbers)} seeds, {len(failed)} with findings: {failed}")
    return int(bool(failed))


def _run_in_process(
    seed: int, seconds: float, entries: int, workers: int, keep: str, kinds: str
) -> int:
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(temporary)
        if keep:
            directory = Path(keep) / f"seed-{seed}"
            directory.mkdir(parents=True, exist_ok=True)
        # The stand-ins log to this process; their lines are not about the processes
        # under test.
        logging.disable(logging.CRITICAL)
        logger.disable("marigoldkeel")
        names = kinds.split(",") if kinds else []
        # The loop of the stand-ins is the first to saturate in large runs.
        report = anyio.run(
            *(run_seed, seed, directory, seconds, entries, workers, names),
            backend_options={"use_uvloop": True},
        )
        lag_ms = round(report.lag_s * 1000)
        callers_ms = round(report.callers_lag_s * 1000)
        print(
            f"seed {seed}: {report.jobs} jobs, {dict(report.outcomes)}, "
            f"lag {lag_ms} ms, of the callers {callers_ms} ms"
        )
        findings = report.violations + report.late_violations
        for text in findings:
            print(f"seed {seed}: {text}")
        if findings:
            print(f"seed {seed}: faults: {', '.join(report.faults)}")
    return int(bool(findings))


if __name__ == "__main__":
    sys.exit(defopt.run(soak))
