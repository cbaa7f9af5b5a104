"""What the forecasts learn from the runs of a job. Performs no I/O."""

from marigoldkeel.fleet.forecasts import Forecaster, Sample
from marigoldkeel.fleet.owned import OwnedJob, TaskRecord, critical_path_length
from marigoldkeel.fleet.work import RepeatableJob


def duration_hints(job: RepeatableJob) -> list[float]:
    """Return the caller's hints of a job's duration, in seconds.

    The first is the critical path of the caller's estimates, the second the part of the
    caller's time-out that exceeds the queue's.
    """
    estimates_s = [step.estimate_s for step in job.steps]
    return [
        critical_path_length(job.steps, estimates_s),
        max(0.0, job.caller_timeout_s - job.queue.timeout_s),
    ]


def learn_run_time(
    forecaster: Forecaster, owned: OwnedJob, task: TaskRecord, sample: Sample
) -> None:
    """Learn from a run time in comparison with the other tasks of its step."""
    number = task.task_id.step
    siblings = [
        other.sample
        for other in owned.tasks[number]
        if other.sample is not None and other is not task
    ]
    forecaster.learn_speed(sample, siblings, owned.task_s[number])
    task.sample = sample


def learn_critical_path(
    forecaster: Forecaster, owned: OwnedJob, hints_s: list[float]
) -> None:
    """Learn from the length of a completed job's critical path.

    :param hints_s: The caller's hints of it, see `duration_hints`.
    """
    lengths_s = [
        max(
            (
                forecaster.work_s(task.sample)
                for task in tasks
                if task.sample is not None
            ),
            default=0.0,
        )
        for tasks in owned.tasks
    ]
    actual_s = critical_path_length(owned.job.steps, lengths_s)
    if actual_s > 0:
        forecaster.learn_critical_path(owned.job.queue.name, hints_s, actual_s)
