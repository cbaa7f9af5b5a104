"""What a repeatable job consists of, and what can become of a run of its tasks."""

from dataclasses import dataclass, field
from enum import IntEnum

from marigoldkeel.fleet.plans import Queue


@dataclass(slots=True, frozen=True)
class Resources:
    """Room on a worker, or the part of it that a task takes.

    ``cpu_milli`` is in thousandths of a core.
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
        """Whether ``available`` is enough for this."""
        return (
            self.cpu_milli <= available.cpu_milli
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


NO_RESOURCES = Resources()


class RunEnd(IntEnum):
    """How a run of a task ended.

    ``STALLED`` is the agent's own verdict on a run that made no progress; ``LOST``
    is that of an owner which can no longer reach the worker of a run.
    """

    DONE = 0
    FAILED = 1
    STOPPED = 2
    LAPSED = 3
    BROKEN = 4
    ALONE = 5
    STALLED = 6
    LOST = 7


@dataclass(slots=True, frozen=True, order=True)
class TaskId:
    """One task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int


@dataclass(slots=True, frozen=True)
class RunId:
    """One start of a task. A higher number is a later start."""

    task: TaskId
    number: int


@dataclass(slots=True)
class Step:
    """Tasks of a job that are alike.

    :ivar estimate_s: The caller's guess at the run time of one task, in seconds.
    :ivar after: Indexes of the steps that must be done before.
    :ivar label: A label that the worker must have, or ``""``.
    :ivar data_rack: The rack on which the tasks run fastest, or ``""``.
    :ivar spread_limit: Tasks of the step on one worker at most; 0 for any number.
    :ivar unsupported: A demand of the step that this version does not carry out.
    """

    count: int
    demand: Resources
    estimate_s: float = 0.0
    after: list[int] = field(default_factory=list)
    label: str = ""
    data_rack: str = ""
    spread_limit: int = 0
    unsupported: str = ""


@dataclass(slots=True)
class RepeatableJob:
    """A job as an entry received it.

    :ivar payload: What every task is given.
    :ivar received_at: Monotonic time of its arrival in seconds.
    :ivar caller_timeout_s: How long the caller waits for the answer, in seconds.
    :ivar plan_version: Version of the operators' plan that it was taken under.
    """

    job_id: str
    queue: Queue
    payload: str
    steps: list[Step]
    received_at: float
    caller_timeout_s: float
    plan_version: int = 0


class JobState(IntEnum):
    """What a caller is told of a repeatable job; a closed set.

    ``NOT_RUN`` promises that nothing was and nothing will be started. ``UNKNOWN``
    promises only that nothing is running any more.
    """

    DONE = 0
    FAILED = 1
    NOT_RUN = 2
    UNKNOWN = 3
    CANCELLED = 4


@dataclass(slots=True)
class JobAnswer:
    """The answer to a repeatable job.

    :ivar retry_after_s: For ``NOT_RUN``, when another try may succeed.
    """

    state: JobState
    reason: str = ""
    retry_after_s: float = 0.0
