"""Figures of a phase."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from bench.loads import CATEGORIES, Request


# Values are recorded in thousandths.
HISTOGRAM_SCALE = 1000
HISTOGRAM_MAX = 3_600 * HISTOGRAM_SCALE
HISTOGRAM_DIGITS = 3
DISPATCH_TYPES = ("Probe", "Take", "Grant", "Run", "Ran", "Cancel")
RECOVERY_WINDOW_S = 2.0
RECOVERY_STEP_S = 0.25


def summarize(values: list[float]) -> dict[str, float]:
    """Return mean, p50 and p99 of values up to an hour or a ratio of 3,600."""
    histogram = HdrHistogram(1, HISTOGRAM_MAX, HISTOGRAM_DIGITS)
    for value in values:
        histogram.record_value(
            max(1, min(HISTOGRAM_MAX, round(value * HISTOGRAM_SCALE)))
        )
    return {
        "mean": round(histogram.get_mean_value() / HISTOGRAM_SCALE, 3),
        "p50": histogram.get_value_at_percentile(50) / HISTOGRAM_SCALE,
        "p99": histogram.get_value_at_percentile(99) / HISTOGRAM_SCALE,
    }


def response_ratios(requests: list[Request]) -> dict[str, dict]:
    """Return response time / ideal of the answered requests by class."""
    figures = {}
    for category in ("all", *CATEGORIES):
        selected = [r for r in requests if category in ("all", r.kind.category)]
        answered = [request for request in selected if not request.error]
        figures[category] = {
            "requests": len(selected),
            "answered": len(answered),
            "in_time": sum(request.in_time for request in selected),
            "errors": dict(Counter(r.error for r in selected if r.error)),
            **summarize([r.response_s / r.ideal_s for r in answered]),
        }
    return figures


def count_sent_messages(reports: list[dict]) -> dict[str, Counter]:
    """Return the messages and frames sent so far by all daemons, by type."""
    totals = {"messages": Counter(), "frames": Counter()}
    for report in reports:
        totals["messages"].update(report["messages"]["by_type"])
        totals["frames"].update(report["messages"]["frames_by_type"])
    return totals


def wasted_messages(before: dict, after: dict, tasks: int) -> dict:
    """Return dispatch messages beyond one grant and one result for each task.

    The share is of the two necessary messages of each task. A message with several
    grants or results counts once, so it can be below 0.
    """
    figures = {}
    for unit in before:
        by_type = {
            name: after[unit][name] - before[unit][name] for name in DISPATCH_TYPES
        }
        share = (sum(by_type.values()) - 2 * tasks) / max(1, 2 * tasks)
        figures[unit] = {"wasted_share": round(share, 3), "by_type": by_type}
    return figures


def seconds_to_recover(
    requests: list[Request],
    overload_start_s: float,
    overload_end_s: float,
    end_s: float,
) -> float | None:
    """Return the time from the step back until goodput is 95% of before.

    Goodput is the requests answered in time, in windows of two seconds, starting
    after the first one, which fills the system. None if it is not seen to recover.
    """
    completion_times = [r.arrival_s + r.response_s for r in requests if r.in_time]
    before = sum(
        RECOVERY_WINDOW_S <= end < overload_start_s for end in completion_times
    )
    required = (
        0.95 * before * RECOVERY_WINDOW_S / (overload_start_s - RECOVERY_WINDOW_S)
    )
    window_start_s = overload_end_s
    while window_start_s + RECOVERY_WINDOW_S <= end_s:
        if (
            sum(
                window_start_s <= end < window_start_s + RECOVERY_WINDOW_S
                for end in completion_times
            )
            >= required
        ):
            return round(window_start_s - overload_end_s, 2)
        window_start_s += RECOVERY_STEP_S
    return None
