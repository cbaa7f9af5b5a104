"""How much of the workers' capacity an entry counts on. Performs no I/O."""

from collections.abc import Iterable

from marigoldkeel.fleet.views import WorkerView, has_warm


def share_of_cores(
    views: Iterable[WorkerView], entries_per_worker: float, now: float = float("inf")
) -> float:
    """Return an entry's share of the cores of some workers.

    :param entries_per_worker: How many entries share a worker on average.
    :param now: The time, from which follows how much of a cold worker is used.
    """
    views = list(views)
    cpu_milli = sum(view.facts.capacity.cpu_milli for view in views)
    if has_warm(views, now):
        cpu_milli -= sum(
            view.held_back_milli(now) for view in views if view.is_cold(now)
        )
    return cpu_milli / 1000 / entries_per_worker
