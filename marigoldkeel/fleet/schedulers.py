"""The jobs that an entry owns: which waits, which starts where, which is refused.

No I/O: orders leave through ``send``, answers through each job's ``answer``.

Promises:

- A task has at most one run that its owner has not seen the end of.
- A job is answered once. ``NOT_RUN`` is answered only if no run of it has started and
  none can any more.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from loguru import logger

from marigoldkeel.fleet.admission import (
    OVERHEAD_S,
    Prospect,
    refusal_reason,
    waiting_times,
)
from marigoldkeel.fleet.forecasts import Forecaster, Sample
from marigoldkeel.fleet.messages import (
    HeldRun,
    Progress,
    RunEvent,
    RunEventKind,
    RunNumber,
    StartRuns,
    StopRuns,
)
from marigoldkeel.fleet.packing import (
    Candidate,
    PackingPolicy,
    Parcel,
    count_beside_reserve,
    find_packing,
)
from marigoldkeel.fleet.views import FleetView
from marigoldkeel.fleet.work import (
    JobAnswer,
    JobState,
    RepeatableJob,
    RunEnd,
    RunId,
    Step,
    TaskId,
)


# How long after an urgent job room is left for the next one.
URGENT_MEMORY_S = 10.0
# An entry that has just started, or has just lost all workers, does not know yet what
# it can serve. Agents that start with it are usable within this time.
UNINFORMED_S = 1.5
# How long after the caller's patience its runs may go on. A caller whose connection
# was lost unseen asks again 1.3 s later, and by then they have to be gone.
PATIENCE_GRACE_S = 0.3
RETRY_AFTER_S = 1.0
# Orders of one urgent class of queues come before all others.
URGENT_PRIORITY = 0


class TaskPhase(Enum):
    """Where a task of an owned job stands."""

    BLOCKED = "blocked"
    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@dataclass(slots=True)
class TaskRecord:
    """One task of an owned job; ``run`` and ``worker`` are set while it is placed.

    :ivar sample: The run time of its last run, ended or foreseen.
    """

    task_id: TaskId
    phase: TaskPhase = TaskPhase.BLOCKED
    run: RunId | None = None
    worker: str = ""
    placed_at: float = 0.0
    failures: int = 0
    avoided: set[str] = field(default_factory=set)
    stopping: bool = False
    sample: Sample | None = None


@dataclass(slots=True)
class OwnedJob:
    """A job with the state of its tasks.

    :ivar has_run: Whether a run of it has ended or may have.
    :ivar task_s: Expected run time of a task of each step.
    :ivar chain_s: Expected run time of the steps that follow each other.
    :ivar objective_s: Expected time in which the answer is in time.
    """

    job: RepeatableJob
    answer: Callable[[JobAnswer], None]
    tasks: list[list[TaskRecord]]
    task_s: list[float] = field(default_factory=list)
    chain_s: float = 0.0
    objective_s: float = 0.0
    has_run: bool = False
    answered: bool = False

    @property
    def deadline(self) -> float:
        """When the answer is in time, as expected."""
        return self.job.received_at + self.objective_s

    @property
    def ends_at(self) -> float:
        """When the caller stops waiting."""
        return self.job.received_at + self.job.patience_s

    @property
    def has_begun(self) -> bool:
        """Whether a run of it may have started."""
        return self.has_run or self.count(TaskPhase.PLACED) > 0

    def all_tasks(self) -> Iterable[TaskRecord]:
        """Return the tasks of all steps."""
        return (task for step in self.tasks for task in step)

    def count(self, phase: TaskPhase) -> int:
        """Return how many tasks are in a phase."""
        return sum(task.phase == phase for task in self.all_tasks())


class Scheduler:
    """Owns jobs.

    :param send: Sends a message to the agent of a worker and returns the number that
        it was given.
    :param sharers: Returns how many entries share the fleet.
    :param wall_ms: Wall-clock time in milliseconds. Run numbers are taken from it, so
        that those of another owner, later on, are higher.
    """

    def __init__(
        self,
        fleet: FleetView,
        domain: str,
        send: Callable[[str, StartRuns | StopRuns], int],
        clock: Callable[[], float],
        wall_ms: Callable[[], int],
        seed: int | None = None,
        packing: str = "in_time",
        sharers: Callable[[], int] = lambda: 1,
    ):
        self.fleet = fleet
        self.domain = domain
        self.send = send
        self.clock = clock
        self.wall_ms = wall_ms
        self.sharers = sharers
        self.informed_at = clock()
        self.random = random.Random(seed)
        self.pack: PackingPolicy = find_packing(packing)
        self.forecaster = Forecaster()
        self.urgent_at: dict[str, float] = {}
        self.jobs: dict[str, OwnedJob] = {}
        self.waiting: dict[str, OwnedJob] = {}
        self.last_run = 0
        self.answers: dict[JobState, int] = {}

    # Callers

    def submit(
        self, job: RepeatableJob, answer: Callable[[JobAnswer], None]
    ) -> OwnedJob | None:
        """Take a job, or answer it at once."""
        if job.queue.priority == URGENT_PRIORITY:
            self.urgent_at[job.queue.service] = self.clock()
        reason = self._hopeless(job)
        if reason:
            self._log(job, "refused", reason)
            answer(JobAnswer(JobState.NOT_RUN, reason, RETRY_AFTER_S))
            return None
        tasks = [
            [
                TaskRecord(TaskId(job.job_id, 0, number, index))
                for index in range(step.count)
            ]
            for number, step in enumerate(job.steps)
        ]
        owned = OwnedJob(job, answer, tasks)
        self._forecast(owned)
        self.jobs[job.job_id] = owned
        self._unblock(owned)
        self.schedule()
        if not owned.answered and not owned.has_begun:
            self._judge()
        return None if owned.answered else owned

    def abandon(self, owned: OwnedJob, reason: str) -> None:
        """Drop a job whose caller has left."""
        if not owned.answered:
            self._finish(owned, JobAnswer(JobState.UNKNOWN, reason))

    def cancel(self, job_id: str) -> bool:
        """Drop a job at its caller's request; False if it is not known here."""
        owned = self.jobs.get(job_id)
        if owned is None or owned.answered:
            return False
        self._finish(owned, JobAnswer(JobState.CANCELLED, "cancelled"))
        return True

    def pending(self, queue: str) -> int:
        """Return how many jobs of a queue have not begun."""
        return sum(
            owned.job.queue.name == queue and not owned.has_begun
            for owned in self.waiting.values()
        )

    # Agents

    def take_event(self, worker: str, event: RunEvent) -> None:
        """Take what an agent tells of a run."""
        self.fleet.view(worker).release(event.run)
        owned, task = self._find(event.run)
        if task is None or task.run != event.run:
            return
        if event.kind == RunEventKind.REFUSED:
            self._release(owned, task)
            if event.reason == "outdated":
                self.last_run += 60_000
        else:
            owned.has_run = True
            self._ended(owned, task, worker, event)
        self._settle(owned)

    def take_progress(self, worker: str, progress: Progress) -> None:
        """Learn from how far the runs at a worker are."""
        for row in progress.rows:
            owned, task = self._find(row.run)
            if task is not None and task.run == row.run:
                foreseen_s = row.elapsed_ms / 10 / row.percent
                self._learn(owned, task, Sample(worker, foreseen_s))

    def _learn(self, owned: OwnedJob, task: TaskRecord, sample: Sample) -> None:
        """Take a run time, and put it beside those of the other tasks of the step."""
        step = owned.job.steps[task.task_id.step]
        siblings = [
            other.sample
            for other in owned.tasks[task.task_id.step]
            if other.sample is not None and other is not task
        ]
        self.forecaster.compare(sample, siblings)
        self.forecaster.record(owned.job.queue.name, step.estimate_s, sample)
        task.sample = sample

    def lose_worker(self, worker: str, reason: str) -> None:
        """Give up the runs at a worker that cannot be reached and has stopped them."""
        for owned in list(self.jobs.values()):
            for task in owned.all_tasks():
                if task.phase == TaskPhase.PLACED and task.worker == worker:
                    owned.has_run = True
                    self._log(owned.job, "lost", reason, worker=worker)
                    self._release(owned, task)
            self._settle(owned)
        self.schedule()

    def held_by(self, worker: str) -> list[HeldRun]:
        """Return the runs that are wanted at a worker."""
        held = []
        for owned in self.jobs.values():
            for task in owned.all_tasks():
                if task.worker == worker and not task.stopping:
                    step = owned.job.steps[task.task_id.step]
                    held.append(HeldRun(task.run, step.demand))
        return held

    # Decisions

    def tick(self) -> None:
        """Refuse what has no prospect and give up what nobody waits for."""
        now = self.clock()
        for owned in list(self.jobs.values()):
            if not owned.answered and now > owned.ends_at + PATIENCE_GRACE_S:
                self._finish(owned, JobAnswer(JobState.UNKNOWN, "out of time"))
        self.schedule()
        self._judge()

    def schedule(self) -> None:
        """Start what there is room for, the most urgent first."""
        if not self.waiting:
            return
        for owned in sorted(self.waiting.values(), key=self._rank):
            for number in range(len(owned.job.steps)):
                self._place(owned, number)
            if not owned.count(TaskPhase.WAITING):
                self.waiting.pop(owned.job.job_id, None)

    def _forecast(self, owned: OwnedJob) -> None:
        """Set how long a job is expected to take and is allowed to."""
        job = owned.job
        ends_s = []
        for step in job.steps:
            before_s = max((ends_s[index] for index in step.after), default=0.0)
            task_s = self.forecaster.task_s(job.queue.name, step.estimate_s)
            owned.task_s.append(task_s)
            ends_s.append(before_s + task_s)
        owned.chain_s = max(ends_s)
        owned.objective_s = job.queue.stretch * owned.chain_s + job.queue.allowance_s

    def _hopeless(self, job: RepeatableJob) -> str:
        """Return why a job cannot be served, or ``""``."""
        if job.job_id in self.jobs:
            return "the job is in progress"
        if not self._is_informed(job.queue.service):
            return ""
        known = self.fleet.known(job.queue.service)
        if not self.fleet.ready(job.queue.service):
            return "no worker is reachable"
        for step in job.steps:
            if not any(
                step.demand.fits(view.facts.capacity)
                and (not step.label or step.label in view.facts.labels)
                for view in known
            ):
                return "no worker is large enough"
        return ""

    def _is_informed(self, service: str) -> bool:
        """Whether this entry knows what the workers of a service can do."""
        now = self.clock()
        if not self.fleet.ready(service):
            return now - self.informed_at > UNINFORMED_S
        self.informed_at = now
        return True

    def _judge(self) -> None:
        """Refuse the jobs that have not begun and have no prospect."""
        now = self.clock()
        by_service: dict[str, list[OwnedJob]] = {}
        for owned in sorted(self.waiting.values(), key=self._rank):
            by_service.setdefault(owned.job.queue.service, []).append(owned)
        for service, jobs in by_service.items():
            informed = self._is_informed(service)
            work = [self._core_seconds(owned) for owned in jobs]
            waits_s = waiting_times(work, self._cores(service))
            for owned, wait_s in zip(jobs, waits_s, strict=True):
                if owned.has_begun:
                    continue
                prospect = Prospect(
                    now - owned.job.received_at,
                    owned.objective_s,
                    owned.chain_s / self.forecaster.fastest,
                    wait_s,
                    owned.job.patience_s,
                    informed,
                )
                reason = refusal_reason(prospect)
                if reason:
                    self._refuse(owned, reason)

    def _core_seconds(self, owned: OwnedJob) -> float:
        """Return the work of a job's tasks that have yet to start."""
        return sum(
            owned.job.steps[task.task_id.step].demand.cpu_milli
            / 1000
            * owned.task_s[task.task_id.step]
            for task in owned.all_tasks()
            if task.phase in (TaskPhase.WAITING, TaskPhase.BLOCKED)
        )

    def _cores(self, service: str) -> float:
        """Return this entry's share of the cores of a service."""
        cpu_milli = sum(
            view.facts.capacity.cpu_milli for view in self.fleet.ready(service)
        )
        return cpu_milli / 1000 / max(1, self.sharers())

    def _rank(self, owned: OwnedJob) -> tuple:
        """Return what puts the jobs that wait in order.

        First what has begun, as it holds room until it is done; last what will be late
        in any case; urgent queues before others, and then what has to begin first.
        """
        urgent = owned.job.queue.priority == URGENT_PRIORITY
        begins_by = owned.deadline - owned.chain_s
        return (not owned.has_begun, self._is_late(owned), not urgent, begins_by)

    def _is_late(self, owned: OwnedJob) -> bool:
        """Whether a job that begins now would be late even on the fastest worker."""
        fastest = self.forecaster.fastest
        return self.clock() + owned.chain_s / fastest + OVERHEAD_S > owned.deadline

    def _place(self, owned: OwnedJob, number: int) -> None:
        """Start the waiting tasks of a step as far as there is room."""
        waiting = [
            task for task in owned.tasks[number] if task.phase == TaskPhase.WAITING
        ]
        if not waiting:
            return
        service = owned.job.queue.service
        candidates = self._candidates(service, owned.tasks[number])
        parcel = Parcel(
            owned.job.steps[number],
            len(waiting),
            owned.task_s[number],
            owned.deadline - self.clock() - OVERHEAD_S,
            owned.has_begun or self._is_late(owned),
        )
        if not owned.has_begun and self._yields(owned):
            parcel.count = count_beside_reserve(parcel, candidates)
        avoided = set().union(*(task.avoided for task in waiting))
        others = [item for item in candidates if item.name not in avoided]
        chosen = self.pack(parcel, others or candidates, self.random)
        by_worker: dict[str, list[TaskRecord]] = {}
        for task, candidate in zip(waiting, chosen, strict=False):
            by_worker.setdefault(candidate.name, []).append(task)
        for worker, tasks in by_worker.items():
            self._start(owned, parcel.step, worker, tasks, parcel.task_s)

    def _yields(self, owned: OwnedJob) -> bool:
        """Whether a job leaves room for urgent ones, which have come lately."""
        queue = owned.job.queue
        if queue.priority == URGENT_PRIORITY:
            return False
        urgent_at = self.urgent_at.get(queue.service, float("-inf"))
        return self.clock() - urgent_at < URGENT_MEMORY_S

    def _candidates(self, service: str, tasks: list[TaskRecord]) -> list[Candidate]:
        held: dict[str, int] = {}
        for task in tasks:
            if task.phase == TaskPhase.PLACED:
                held[task.worker] = held.get(task.worker, 0) + 1
        return [
            Candidate(
                view.name,
                view.free,
                view.facts.capacity,
                view.facts.labels,
                self.forecaster.speed(view.name),
                view.facts.domain == self.domain,
                held.get(view.name, 0),
            )
            for view in self.fleet.ready(service)
        ]

    def _start(
        self,
        owned: OwnedJob,
        step: Step,
        worker: str,
        tasks: list[TaskRecord],
        task_s: float,
    ) -> None:
        now = self.clock()
        expected_s = task_s / self.forecaster.speed(worker)
        numbers = []
        for task in tasks:
            task.phase = TaskPhase.PLACED
            task.run = RunId(task.task_id, self._next_run())
            task.worker = worker
            task.placed_at = now
            task.stopping = False
            numbers.append(RunNumber(task.task_id.index, task.run.number))
        first = tasks[0].task_id
        message = StartRuns(
            0,
            first.job_id,
            first.occurrence,
            first.step,
            step.demand,
            owned.job.payload,
            round(expected_s * 1000),
            step.spread_limit,
            numbers,
        )
        sequence = self.send(worker, message)
        view = self.fleet.view(worker)
        for task in tasks:
            view.place(task.run, sequence, step.demand)

    def _next_run(self) -> int:
        self.last_run = max(self.last_run + 1, self.wall_ms())
        return self.last_run

    def _find(self, run: RunId) -> tuple[OwnedJob | None, TaskRecord | None]:
        owned = self.jobs.get(run.task.job_id)
        if owned is None:
            return None, None
        return owned, owned.tasks[run.task.step][run.task.index]

    def _release(self, owned: OwnedJob, task: TaskRecord) -> None:
        """Let a task that has no run any more wait for another one."""
        task.run = None
        task.worker = ""
        task.phase = TaskPhase.WAITING
        if not owned.answered:
            self.waiting[owned.job.job_id] = owned

    def _ended(
        self, owned: OwnedJob, task: TaskRecord, worker: str, event: RunEvent
    ) -> None:
        if event.end == RunEnd.DONE:
            if event.run_ms:
                self._learn(owned, task, Sample(worker, event.run_ms / 1000))
            task.phase = TaskPhase.DONE
            task.run = None
            task.worker = ""
            self._unblock(owned)
            return
        self._log(owned.job, "run ended", event.end.name.lower(), worker=worker)
        if event.end == RunEnd.FAILED:
            task.failures += 1
        task.avoided.add(worker)
        self._release(owned, task)

    def _unblock(self, owned: OwnedJob) -> None:
        """Let the steps wait for room whose earlier steps are done."""
        for number, step in enumerate(owned.job.steps):
            earlier = (task for index in step.after for task in owned.tasks[index])
            if any(task.phase != TaskPhase.DONE for task in earlier):
                continue
            for task in owned.tasks[number]:
                if task.phase == TaskPhase.BLOCKED:
                    task.phase = TaskPhase.WAITING
                    self.waiting[owned.job.job_id] = owned

    def _settle(self, owned: OwnedJob) -> None:
        """Answer a job that is done or has failed, and forget one without runs."""
        if not owned.answered:
            if all(task.phase == TaskPhase.DONE for task in owned.all_tasks()):
                self._finish(owned, JobAnswer(JobState.DONE))
            elif any(
                task.failures >= owned.job.queue.max_attempts
                for task in owned.all_tasks()
            ):
                self._finish(owned, JobAnswer(JobState.FAILED, "a task has failed"))
        if owned.answered and not owned.count(TaskPhase.PLACED):
            self.jobs.pop(owned.job.job_id, None)

    def _refuse(self, owned: OwnedJob, reason: str) -> None:
        self._finish(owned, JobAnswer(JobState.NOT_RUN, reason, RETRY_AFTER_S))

    def _finish(self, owned: OwnedJob, answer: JobAnswer) -> None:
        """Answer a job and stop what is left of it."""
        owned.answered = True
        self.waiting.pop(owned.job.job_id, None)
        running: dict[str, list[RunId]] = {}
        for task in owned.all_tasks():
            if task.phase == TaskPhase.PLACED and not task.stopping:
                task.stopping = True
                running.setdefault(task.worker, []).append(task.run)
        for worker, runs in running.items():
            self.send(worker, StopRuns(0, runs))
        self.answers[answer.state] = self.answers.get(answer.state, 0) + 1
        self._log(owned.job, answer.state.name.lower(), answer.reason)
        owned.answer(answer)
        self._settle(owned)

    def _log(self, job: RepeatableJob, outcome: str, reason: str, **inputs) -> None:
        waited_ms = round((self.clock() - job.received_at) * 1000)
        logger.bind(
            job=job.job_id, queue=job.queue.name, waited_ms=waited_ms, **inputs
        ).info("{}: {}", outcome, reason)
