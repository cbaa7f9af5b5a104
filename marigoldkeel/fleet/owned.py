"""The state of a job and of its tasks at the entry that owns it."""

from collections.abc import Callable, Iterable, Iterator
from enum import Enum

from msgspec import Struct, field

from marigoldkeel.fleet.forecasts import Sample
from marigoldkeel.fleet.messages import MAX_FIELD_MS
from marigoldkeel.fleet.work import JobAnswer, RepeatableJob, RunId, Step, TaskId


class TaskPhase(Enum):
    """Scheduling phase of a task.

    ``BLOCKED`` tasks wait for earlier steps, ``WAITING`` ones for capacity, and
    ``PLACED`` ones have a run on a worker.
    """

    BLOCKED = "blocked"
    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class TaskRecord(Struct):
    """The state of one task of an owned job.

    :ivar run: The run assigned to ``worker``; None unless placed.
    :ivar failures: How many of its runs have failed.
    :ivar avoided: Workers on which a run of it did not complete.
    :ivar stopping: Whether the run has been ordered to stop.
    :ivar stop_due_since: The earliest time at which the reason to stop it may have
        arisen.
    :ivar sample: The run time of its last run, measured or predicted.
    :ivar placed_at: When its current run was ordered.
    :ivar expected_s: Forecast run time of its current run.
    """

    task_id: TaskId
    phase: TaskPhase = TaskPhase.BLOCKED
    run: RunId | None = None
    worker: str = ""
    failures: int = 0
    avoided: set[str] = field(default_factory=set)
    stopping: bool = False
    stop_due_since: float = 0.0
    sample: Sample | None = None
    placed_at: float = 0.0
    expected_s: float = 0.0


def critical_path_length(steps: list[Step], lengths: list[float]) -> float:
    """Return the length of the critical path through the steps' dependencies."""
    ends: list[float] = []
    for step, length in zip(steps, lengths, strict=True):
        before = max((ends[index] for index in step.after), default=0.0)
        ends.append(before + length)
    return max(ends)


class OwnedJob:
    """A job with the state of its tasks.

    :ivar answer: Callback that receives the answer.
    :ivar task_s: Expected run time of one task of each step on a worker of mean speed.
    :ivar critical_path_s: Expected length of the critical path through its steps.
    :ivar objective_s: Longest response time that meets the queue's objective.
    :ivar has_run: Whether any run of its tasks has ended, or may have on a lost worker.
    :ivar answered: Whether the answer has been given.
    :ivar held: Whether it may not start yet.
    """

    __slots__ = (
        "job",
        "answer",
        "tasks",
        "counts",
        "task_s",
        "critical_path_s",
        "objective_s",
        "has_run",
        "answered",
        "held",
    )

    def __init__(self, job: RepeatableJob, answer: Callable[[JobAnswer], None]):
        self.job = job
        self.answer = answer
        # Every job has the single occurrence 0.
        self.tasks = [
            [
                TaskRecord(TaskId(job.job_id, 0, step_index, index))
                for index in range(step.count)
            ]
            for step_index, step in enumerate(job.steps)
        ]
        self.counts = dict.fromkeys(TaskPhase, 0)
        self.counts[TaskPhase.BLOCKED] = sum(step.count for step in job.steps)
        self.task_s: list[float] = []
        self.critical_path_s = 0.0
        self.objective_s = 0.0
        self.has_run = False
        self.answered = False
        self.held = False
        self.unblock_steps()

    @property
    def objective_deadline(self) -> float:
        """The latest time of an answer that meets the objective."""
        return self.job.received_at + self.objective_s

    @property
    def caller_deadline(self) -> float:
        """When the caller times out."""
        return self.job.received_at + self.job.caller_timeout_s

    def caller_waits_ms(self, now: float) -> int:
        """Return how much longer the caller waits, as a message states it.

        :return: Milliseconds; negative if it has timed out, and never 0.
        """
        waits_ms = int(1000 * (self.caller_deadline - now))
        return min(MAX_FIELD_MS, waits_ms) or 1

    @property
    def has_started(self) -> bool:
        """Whether any run of its tasks, ended or current, may have started."""
        return self.has_run or self.counts[TaskPhase.PLACED] > 0

    @property
    def is_waiting(self) -> bool:
        """Whether any task waits for capacity."""
        return self.counts[TaskPhase.WAITING] > 0

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return self.counts[TaskPhase.DONE] == sum(self.counts.values())

    def all_tasks(self) -> Iterator[TaskRecord]:
        """Return the tasks of all steps."""
        return (task for step in self.tasks for task in step)

    def waiting_tasks(self, step: int) -> list[TaskRecord]:
        """Return the tasks of a step that wait for capacity."""
        return [task for task in self.tasks[step] if task.phase == TaskPhase.WAITING]

    def find(self, run: RunId) -> TaskRecord | None:
        """Return the task whose current run is ``run``, or None."""
        task = self.tasks[run.task.step][run.task.index]
        return task if task.run == run else None

    def place(self, task: TaskRecord, worker: str, run_number: int) -> None:
        """Assign a new run of a task to a worker."""
        self._set_phase(task, TaskPhase.PLACED)
        task.run = RunId(task.task_id, run_number)
        task.worker = worker
        task.stopping = False

    def release(self, task: TaskRecord) -> None:
        """Move a task whose run is no longer active back to the waiting phase."""
        self._set_phase(task, TaskPhase.WAITING)
        task.run = None
        task.worker = ""

    def finish(self, task: TaskRecord) -> None:
        """Record that a task is done, and unblock the steps that depended on it."""
        self._set_phase(task, TaskPhase.DONE)
        task.run = None
        task.worker = ""
        self.unblock_steps()

    def unblock_steps(self) -> None:
        """Move the tasks whose preceding steps are done to the waiting phase."""
        if not self.counts[TaskPhase.BLOCKED]:
            return
        for step_index, step in enumerate(self.job.steps):
            earlier: Iterable[TaskRecord] = (
                task for index in step.after for task in self.tasks[index]
            )
            if any(task.phase != TaskPhase.DONE for task in earlier):
                continue
            for task in self.tasks[step_index]:
                if task.phase == TaskPhase.BLOCKED:
                    self._set_phase(task, TaskPhase.WAITING)

    def core_seconds(self) -> float:
        """Return the expected work of all tasks that are waiting or blocked."""
        return sum(
            self.job.steps[step_index].demand.cpu_milli / 1000 * self.task_s[step_index]
            for step_index, tasks in enumerate(self.tasks)
            for task in tasks
            if task.phase in (TaskPhase.WAITING, TaskPhase.BLOCKED)
        )

    def _set_phase(self, task: TaskRecord, phase: TaskPhase) -> None:
        self.counts[task.phase] -= 1
        self.counts[phase] += 1
        task.phase = phase
