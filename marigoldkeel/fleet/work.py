"""Data types of repeatable jobs: steps, tasks, runs, their states and answers.

A repeatable job and each of its tasks may be run again from the start, but no task of
it runs twice at the same time. The entry that received the job is its owner: it decides
where the tasks run and answers the caller. Each worker has an agent, which starts,
supervises and stops the runs on it for all owners.
"""

from enum import IntEnum

from msgspec import Struct, field

from marigoldkeel.fleet.plans import Queue


class Resources(Struct, frozen=True):
    """Capacity of a worker, or the part of it that a task requires.

    :ivar cpu_milli: CPU in thousandths of a core.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits(self, available: "Resources") -> bool:
        """Return whether this demand can be met from ``available``."""
        return (
            self.cpu_milli <= available.cpu_milli
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


NO_RESOURCES = Resources()


class RunEnd(IntEnum):
    """How a run of a task ended.

    The worker reports ``DONE``, ``FAILED``, ``STOPPED``, ``LAPSED``, ``BROKEN`` and
    ``ALONE`` under these names. The agent also sets ``LAPSED`` if the worker's lease
    ended, the worker exited or restarted, it no longer lists the run, or it reported an
    unknown end. The agent sets ``STALLED`` for a run that it stopped because it made no
    progress. ``LOST`` is not used: if an owner can no longer reach a worker, it queues
    the tasks again without recording an end.

    After any end but ``DONE``, the owner queues the task again, unless it has answered
    the job, and prefers other workers. Only ``FAILED`` counts towards the queue's
    ``max_attempts``.
    """

    DONE = 0
    FAILED = 1
    STOPPED = 2
    LAPSED = 3
    BROKEN = 4
    ALONE = 5
    STALLED = 6
    LOST = 7


class TaskId(Struct, frozen=True, order=True):
    """One task of a job.

    :ivar occurrence: Number of the repetition of a job that runs at set times; always
        0, as such jobs are not supported.
    :ivar step: Index of the task's step.
    :ivar index: Index of the task in its step.
    """

    job_id: str
    occurrence: int
    step: int
    index: int


class RunId(Struct, frozen=True):
    """One run of a task. Later runs of a task have higher numbers."""

    task: TaskId
    number: int


class Step(Struct):
    """A group of identical tasks of a job.

    :ivar count: Number of tasks.
    :ivar demand: Resources that each task requires.
    :ivar estimate_s: The caller's estimate of the run time of one task, in seconds.
    :ivar after: Indexes of the steps that must be done before this one starts.
    :ivar label: A label that a worker must have to run the tasks, or ``""``.
    :ivar data_rack: The rack that holds the tasks' data, where they run fastest, or
        ``""``.
    :ivar spread_limit: Maximum number of tasks of the step per worker; 0 for no limit.
    :ivar unsupported: The step's requirements that this version does not support,
        separated by commas, or ``""``.
    """

    count: int
    demand: Resources
    estimate_s: float = 0.0
    after: list[int] = field(default_factory=list)
    label: str = ""
    data_rack: str = ""
    spread_limit: int = 0
    unsupported: str = ""


class RepeatableJob(Struct):
    """A job as received by an entry.

    :ivar payload: Input passed to every task.
    :ivar received_at: Time of its arrival in seconds, on a clock that includes time in
        system suspend.
    :ivar caller_timeout_s: How long the caller waits for the answer, in seconds.
    :ivar plan_version: Version of the operators' plan under which it was accepted.
    :ivar plan_unconfirmed_s: How long before that the store had last stated what the
        newest plan is.
    """

    job_id: str
    queue: Queue
    payload: str
    steps: list[Step]
    received_at: float
    caller_timeout_s: float
    plan_version: int = 0
    plan_unconfirmed_s: float = 0.0


class JobState(IntEnum):
    """The outcome of a repeatable job as reported to its caller; there are no others.

    ``NOT_RUN`` guarantees that no run was started and none will be. ``UNKNOWN``
    guarantees only that no run is active any more. The second guarantee does not hold
    yet when the answer is sent: the runs of this attempt have been ordered to stop by
    then, and end with a lease if their worker is unreachable, but they may not have
    ended, and an earlier attempt may be in progress.
    """

    DONE = 0
    FAILED = 1
    NOT_RUN = 2
    UNKNOWN = 3
    CANCELLED = 4


class JobAnswer(Struct):
    """The answer to a repeatable job.

    :ivar retry_after_s: For ``NOT_RUN``, the time after which a retry may succeed.
    """

    state: JobState
    reason: str = ""
    retry_after_s: float = 0.0
