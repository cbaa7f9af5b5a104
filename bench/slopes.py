"""Least-squares fits and the registry of benchmarks of `bench.capacity`."""

import gc
import tracemalloc
from collections.abc import Awaitable, Callable


benchmarks: dict[str, Callable[[], Awaitable[dict]]] = {}


def benchmark(function):
    """Register a function as a benchmark; its name is the key of its results."""
    benchmarks[function.__name__] = function
    return function


def fit_line(sizes, values) -> dict:
    """Return the slope and intercept of a least-squares line, with the points."""
    count = len(sizes)
    mean_x, mean_y = sum(sizes) / count, sum(values) / count
    spread = sum((x - mean_x) ** 2 for x in sizes)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True))
        / spread
    )
    return {
        "slope": slope,
        "intercept": mean_y - slope * mean_x,
        "sizes": list(sizes),
        "values": list(values),
    }


def fit_traced_bytes(build: Callable[[int], object], sizes) -> dict:
    """Return the memory of the objects built for each size, as a fitted line."""
    values = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        held = build(size)
        gc.collect()
        values.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del held
    return fit_line(sizes, values)


def format_summary(document: dict) -> str:
    """Return the document as text, with one slope or value on each line."""
    lines: list[str] = []

    def walk(path: str, value) -> None:
        if isinstance(value, dict) and "slope" in value:
            lines.append(f"{path} = {value['slope']:.6g} (+ {value['intercept']:.4g})")
        elif isinstance(value, dict):
            for key, child in value.items():
                walk(f"{path}.{key}" if path else key, child)
        else:
            lines.append(f"{path} = {value}")

    walk("", document)
    return "\n".join(lines)
