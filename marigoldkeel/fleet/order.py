"""The order in which the waiting jobs of an entry are served. Performs no I/O."""

from collections.abc import Iterable

from marigoldkeel.fleet.admission import LATE_FACTOR
from marigoldkeel.fleet.owned import OwnedJob


# Queues of this priority are served before all others.
URGENT_PRIORITY = 0


def order_by_precedence(
    jobs: Iterable[OwnedJob], now: float, max_speed: float
) -> list[OwnedJob]:
    """Return waiting jobs in the order in which they are served.

    Jobs that have started come first, as they occupy capacity until they are done.
    Of the others, those that will miss their objective in any case come last.
    Within each group urgent queues precede others, and then the job that has to
    start earliest to meet its objective comes first.

    :param now: The earliest time at which a run can start.
    :param max_speed: The relative speed of the fastest worker.
    """

    def sort_key(owned: OwnedJob) -> tuple:
        will_be_late = (
            now + owned.critical_path_s / max_speed > owned.objective_deadline
        )
        urgent = owned.job.queue.priority == URGENT_PRIORITY
        latest_start = owned.objective_deadline - owned.critical_path_s
        return (not owned.has_started, will_be_late, not urgent, latest_start)

    return sorted(jobs, key=sort_key)


def order_by_priority(
    jobs: Iterable[OwnedJob], now: float, max_speed: float
) -> list[OwnedJob]:
    """Return waiting jobs in the order of their queues' priorities.

    Jobs that have started come first, as they occupy capacity until they are done, and
    those whose answer will be of no use come last. Within a priority those that can
    still be in time precede the others, and then the job that has to start earliest
    comes first.

    :param now: The earliest time at which a run can start.
    :param max_speed: The relative speed of the fastest worker.
    """

    def sort_key(owned: OwnedJob) -> tuple:
        job = owned.job
        response_s = now + owned.critical_path_s / max_speed - job.received_at
        max_useful_s = min(LATE_FACTOR * owned.objective_s, job.caller_timeout_s)
        latest_start = owned.objective_deadline - owned.critical_path_s
        return (
            not owned.has_started,
            response_s > max_useful_s,
            job.queue.priority,
            response_s > owned.objective_s,
            latest_start,
        )

    return sorted(jobs, key=sort_key)
