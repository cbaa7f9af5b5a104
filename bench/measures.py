"""Computes the metrics of a benchmark phase."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from bench.loads import CATEGORIES, Request


# The histogram holds integers, so values are recorded in thousandths.
HISTOGRAM_SCALE = 1000
HISTOGRAM_MAX = 3_600 * HISTOGRAM_SCALE
HISTOGRAM_DIGITS = 3
DISPATCH_TYPES = ("Probe", "Take", "Grant", "Run", "Ran", "Cancel")
RECOVERY_WINDOW_S = 2.0
RECOVERY_STEP_S = 0.25


def summarize(values: list[float]) -> dict[str, float]:
    """Return mean, p50 and p99 of seconds or ratios; values above 3,600 are clamped."""
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
    """Return the ratio of response time to ideal response time by request category.

    The ratios cover only the answered requests.
    """
    metrics = {}
    for category in ("all", *CATEGORIES):
        selected = [r for r in requests if category in ("all", r.kind.category)]
        answered = [request for request in selected if not request.error]
        metrics[category] = {
            "requests": len(selected),
            "answered": len(answered),
            "in_time": sum(request.in_time for request in selected),
            "errors": dict(Counter(r.error for r in selected if r.error)),
            **summarize([r.response_s / r.ideal_s for r in answered]),
        }
    return metrics


def count_sent_messages(reports: list[dict]) -> dict[str, Counter]:
    """Return the total messages and frames that all daemons have sent, by type."""
    totals = {"messages": Counter(), "frames": Counter()}
    for report in reports:
        totals["messages"].update(report["messages"]["by_type"])
        totals["frames"].update(report["messages"]["frames_by_type"])
    return totals


def wasted_messages(before: dict, after: dict, tasks: int) -> dict:
    """Return the share of dispatch messages beyond the necessary ones.

    Each task needs two messages, one grant and one result. The share is relative to
    these. A message with several grants or results counts once, so the share can be
    negative.
    """
    metrics = {}
    for unit in before:
        by_type = {
            name: after[unit][name] - before[unit][name] for name in DISPATCH_TYPES
        }
        share = (sum(by_type.values()) - 2 * tasks) / max(1, 2 * tasks)
        metrics[unit] = {"wasted_share": round(share, 3), "by_type": by_type}
    return metrics


def seconds_to_recover(
    requests: list[Request],
    overload_start_s: float,
    overload_end_s: float,
    end_s: float,
) -> float | None:
    """Return the time from the end of the overload until goodput has recovered.

    Goodput is the number of requests answered in time, in windows of two seconds. It
    has recovered at 95% of its mean before the overload; the first window is left out
    of that mean because the system is still filling up.

    :return: None if goodput does not recover before ``end_s``.
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
