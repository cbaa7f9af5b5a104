"""Measures what one unit of state or work costs, as input to docs/CAPACITY.md.

Usage: python -m bench.capacity [PART ...]; writes bench/results/capacity.json.
The parts are the functions registered by `part`. With MARIGOLDKEEL_ZIPAPP set to
the path of the zipapp, daemons are started from it; without the test
dependencies, they need less memory.

Each slope is a least-squares fit over at least three sizes. Work is measured as
processor time of the process concerned, because other programs on the machine
change wall time: a daemon under test runs as a process of its own and reports
its processor time and bytes at ``GET /metrics``, while this process plays its
peers, its target and its callers.
"""

import json
import os
import sys
from pathlib import Path

import anyio

from bench import control_costs, rule_costs, state_costs, work_costs
from bench.slopes import benchmarks, format_summary


# Importing these modules registers their parts.
BENCHMARK_MODULES = (state_costs, rule_costs, control_costs, work_costs)
RESULTS = Path("bench/results/capacity.json")


async def run_benchmarks(names: list[str]) -> dict:
    result = {}
    for name in names:
        print(f"{name} ...", file=sys.stderr, flush=True)
        load = os.getloadavg()[0]
        result[name] = {"load_average": load, **await benchmarks[name]()}
    return result


def main() -> None:
    names = sys.argv[1:] or list(benchmarks)
    result = anyio.run(run_benchmarks, names)
    RESULTS.parent.mkdir(parents=True, exist_ok=True)
    previous = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    document = {**previous, "processors": os.cpu_count(), **result}
    RESULTS.write_text(json.dumps(document, indent=1))
    print(format_summary(document))


if __name__ == "__main__":
    main()
