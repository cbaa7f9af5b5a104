"""Figures of a phase and their comparison with the goals."""

import operator
from collections import Counter

from hdrh.histogram import HdrHistogram

from bench.loads import Request


CATEGORIES = ("urgent", "normal", "job")
# Ratios are recorded in thousandths, response times in microseconds.
RATIO_SCALE = 1000
TIME_SCALE = 1_000_000
HIGHEST = 3_600 * TIME_SCALE
DIGITS = 3
DISPATCH_TYPES = ("Probe", "Take", "Grant", "Run", "Ran", "Cancel")
RECOVERY_WINDOW_S = 2.0
RECOVERY_TICK_S = 0.25


def histogram(values: list[float], scale: int) -> HdrHistogram:
    """Return a histogram of the values times ``scale``."""
    result = HdrHistogram(1, HIGHEST, DIGITS)
    for value in values:
        result.record_value(max(1, min(HIGHEST, round(value * scale))))
    return result


def p99_s(requests: list[Request]) -> float:
    """Return the 99th percentile of the response times, in seconds."""
    times = histogram([request.response_s for request in requests], TIME_SCALE)
    return times.get_value_at_percentile(99) / TIME_SCALE


def ratios(requests: list[Request]) -> dict[str, dict]:
    """Return response time / ideal of the answered requests by class."""
    figures = {}
    for category in ("all", *CATEGORIES):
        chosen = [r for r in requests if category in ("all", r.kind.category)]
        answered = [request for request in chosen if not request.error]
        recorded = histogram([request.ratio for request in answered], RATIO_SCALE)
        errors = Counter(request.error for request in chosen if request.error)
        figures[category] = {
            "requests": len(chosen),
            "answered": len(answered),
            "mean": round(recorded.get_mean_value() / RATIO_SCALE, 3),
            "p50": recorded.get_value_at_percentile(50) / RATIO_SCALE,
            "p99": recorded.get_value_at_percentile(99) / RATIO_SCALE,
            "in_time": sum(request.in_time for request in chosen),
            "retried": sum(request.attempts > 1 for request in answered),
            "errors": dict(errors),
        }
    return figures


def sent(reports: list[dict]) -> dict[str, Counter]:
    """Return the dispatch messages sent so far by all daemons, by type."""
    totals = {"messages": Counter(), "frames": Counter()}
    for report in reports:
        counters = report["messages"]
        totals["messages"].update(counters["by_type"])
        totals["frames"].update(counters["frames_by_type"])
    return totals


def wasted(before: dict, after: dict, tasks: int) -> dict:
    """Return dispatch messages beyond one grant and one result for each task.

    The share is of the two necessary messages of each task. A message with several
    grants or results counts once, so it can be below 0.
    """
    figures = {}
    for unit in ("messages", "frames"):
        by_type = {
            name: after[unit][name] - before[unit][name] for name in DISPATCH_TYPES
        }
        total = sum(by_type.values())
        share = round((total - 2 * tasks) / max(1, 2 * tasks), 3)
        figures[unit] = {"total": total, "wasted_share": share, "by_type": by_type}
    return figures


def seconds_to_recover(
    requests: list[Request], start_s: float, step_back_s: float, end_s: float
) -> float | None:
    """Return the time from the step back until goodput is 95% of before.

    Goodput is the requests answered in time, in windows of two seconds. None if it
    does not recover before the arrivals end.
    """
    ends = [r.started_s + r.response_s for r in requests if r.in_time]
    arrivals = [r.at_s for r in requests if r.at_s < start_s]
    # The first seconds only fill the system.
    before = sum(RECOVERY_WINDOW_S <= end < start_s for end in ends)
    rate = before / max(0.001, start_s - RECOVERY_WINDOW_S)
    if not arrivals:
        return None
    at_s = step_back_s
    while at_s + RECOVERY_WINDOW_S <= end_s:
        answered = sum(at_s <= end < at_s + RECOVERY_WINDOW_S for end in ends)
        if answered >= 0.95 * rate * RECOVERY_WINDOW_S:
            return round(at_s - step_back_s, 2)
        at_s += RECOVERY_TICK_S
    return None


def goal(name: str, value: float | None, bound: float, at_least: bool = False) -> dict:
    """Return a figure with its goal and whether it is met."""
    relation = ">=" if at_least else "<="
    compare = operator.ge if at_least else operator.le
    met = value is not None and compare(value, bound)
    return {"figure": name, "value": value, "goal": f"{relation} {bound}", "met": met}
