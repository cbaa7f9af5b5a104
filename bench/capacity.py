"""Measures the cost of each unit of state and work, as input to docs/CAPACITY.md.

Usage: python -m bench.capacity [PART ...]; writes bench/results/capacity.json.
A part is the name of a function decorated with `benchmark`; the default is all of
them. With MARIGOLDKEEL_ZIPAPP set to the path of the zipapp, daemons are started
from it. They need less memory then, since the zipapp has no test dependencies.

Each slope is a least-squares fit over at least three sizes. Work is measured as
CPU time of the process concerned, since wall-clock time depends on the other
programs on the machine. The daemon under test runs as a separate process and
reports its CPU time and traffic at ``GET /metrics``. This process simulates its
peers, target and callers.
"""

import json
import os
import sys
from pathlib import Path

import anyio

from bench import control_costs, rule_costs, state_costs, work_costs
from bench.slopes import benchmarks, format_summary


# Importing these modules registers their benchmarks.
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
