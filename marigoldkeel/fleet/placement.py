"""Which workers the tasks of a job may be placed on. Performs no I/O."""

from collections.abc import Iterable

from marigoldkeel.ejection import OutlierDetector
from marigoldkeel.fleet.forecasts import Forecaster
from marigoldkeel.fleet.owned import OwnedJob
from marigoldkeel.fleet.packing import Candidate
from marigoldkeel.fleet.views import WorkerView, has_warm
from marigoldkeel.fleet.work import Resources


def find_candidates(
    views: Iterable[WorkerView],
    detector: OutlierDetector,
    forecaster: Forecaster,
    domain: str,
    now: float,
) -> list[Candidate]:
    """Return the workers that tasks may be placed on now.

    Part of a cold worker is held back, unless all workers are cold.

    :param domain: The failure domain of the entry.
    """
    views = list(views)
    holds_back = has_warm(views, now)
    candidates = []
    for view in views:
        if not detector.available(view.name, now):
            continue
        candidate = Candidate(
            view.name,
            view.free,
            view.facts.capacity,
            view.facts.labels,
            forecaster.speed(view.name),
            view.facts.domain == domain,
            is_probe=view.name in detector.ejected,
        )
        if now < view.warm_at:
            candidate.speed *= view.speed_factor(now)
            if holds_back:
                candidate.free -= Resources(view.held_back_milli(now))
        candidates.append(candidate)
    return candidates


def largest_free_cpu_milli(candidates: Iterable[Candidate]) -> int:
    """Return the largest free CPU capacity of a single worker."""
    return max((item.free.cpu_milli for item in candidates), default=-1)


def eligible_workers(
    owned: OwnedJob, number: int, candidates: list[Candidate]
) -> list[Candidate]:
    """Return the candidates for a step.

    Workers on which a run of the step did not complete are left out, unless no other
    worker has enough capacity.

    :param number: The number of the step.
    """
    step, tasks = owned.job.steps[number], owned.tasks[number]
    if step.spread_limit:
        for item in candidates:
            item.step_tasks = sum(task.worker == item.name for task in tasks)
    avoided = set().union(*(task.avoided for task in tasks))
    if not avoided:
        return candidates
    others = [item for item in candidates if item.name not in avoided]
    return others if any(step.demand.fits(item.free) for item in others) else candidates
