"""The jobs that an entry owns: which waits, which starts where, which is refused.

No I/O: orders leave through ``send``, answers through each job's ``answer``.

Promises:

- A task has at most one run that its owner has not seen the end of.
- A job is answered once. ``NOT_RUN`` is answered only if no run of it has started and
  none can any more.
"""

import random
from collections.abc import Callable

from loguru import logger

from marigoldkeel.ejection import OutlierDetector
from marigoldkeel.fleet.admission import (
    OVERHEAD_S,
    WaitForecast,
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
from marigoldkeel.fleet.owned import (
    OwnedJob,
    TaskPhase,
    TaskRecord,
    critical_path_length,
)
from marigoldkeel.fleet.packing import (
    Candidate,
    PackingPolicy,
    PlacementRequest,
    count_outside_reserve,
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
)


# How long after an urgent job room is left for the next one.
URGENT_RESERVE_S = 10.0
# An entry that has just started, or has just lost all workers, does not know yet what
# it can serve. Agents that start with it are usable within this time.
WORKER_DISCOVERY_S = 1.5
# How long after the caller's patience its runs may go on. A caller whose connection
# was lost unseen asks again 1.3 s later, and by then they have to be gone.
CALLER_TIMEOUT_GRACE_S = 0.3
# When a refused caller may return, unless a later turn is forecast for it.
RETRY_AFTER_S = 1.0
# No forecast reaches further, as loads change within seconds.
MAX_RETRY_AFTER_S = 10.0
# Jobs of the queues of this priority come before all others.
URGENT_PRIORITY = 0
# A worker is put aside when this many of its last ten runs failed or stood still. Tasks
# that can never be done fail once on each of several workers.
EJECT_AFTER_FAILURES = 4
# Most workers stay in use: when more of them fail, it is the jobs.
MAX_EJECTED_SHARE = 0.4
# A worker that was put aside gets one task after this, and waits up to eight times as
# long when that fails as well.
EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# How long failures of a queue are remembered, and how long a probe may take.
FAILURE_WINDOW_S = 5.0
PROBE_TIMEOUT_S = 2.0
# Added to the run numbers when a worker has seen higher ones, which happens after the
# time of day has been set back, by seconds as a rule.
RENUMBER_MS = 60_000


class Scheduler:
    """Owns jobs.

    :param send: Sends a message to the agent of a worker and returns the number that
        it was given.
    :param count_entries: Returns how many entries share the fleet.
    :ivar shutdown_at: When this entry ends; jobs that would end later are refused.
    :ivar on_answer: Told of each answer with the time from the job's arrival to it.
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
        count_entries: Callable[[], int] = lambda: 1,
    ):
        self.fleet = fleet
        self.domain = domain
        self.send = send
        self.clock = clock
        self.wall_ms = wall_ms
        self.count_entries = count_entries
        self.workers_seen_at = clock()
        self.random = random.Random(seed)
        self.pack: PackingPolicy = find_packing(packing)
        self.forecaster = Forecaster()
        self.detector = OutlierDetector(
            MAX_EJECTED_SHARE,
            EJECT_AFTER_FAILURES,
            EJECTION_S,
            MAX_EJECTION_S,
            FAILURE_WINDOW_S,
            PROBE_TIMEOUT_S,
        )
        self.last_urgent_at: dict[str, float] = {}
        self.jobs: dict[str, OwnedJob] = {}
        self.waiting: dict[str, OwnedJob] = {}
        self.last_run_number = 0
        self.shutdown_at = float("inf")
        self.on_answer: Callable[[RepeatableJob, JobState, float], None] = (
            lambda job, state, waited_s: None
        )

    # Callers

    def submit(
        self, job: RepeatableJob, answer: Callable[[JobAnswer], None]
    ) -> OwnedJob | None:
        """Take a job, or answer it at once and return None."""
        if job.queue.priority == URGENT_PRIORITY:
            self.last_urgent_at[job.queue.service] = self.clock()
        owned = OwnedJob(job, answer)
        self._set_forecast(owned)
        refusal = self._refusal(owned)
        if refusal is not None:
            self.on_answer(job, refusal.state, 0.0)
            self._log(owned, "refused", refusal.reason)
            answer(refusal)
            return None
        self.jobs[job.job_id] = owned
        self.waiting[job.job_id] = owned
        self.schedule()
        return owned

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
            owned.job.queue.name == queue and not owned.has_started
            for owned in self.waiting.values()
        )

    # Agents

    def handle_event(self, worker: str, event: RunEvent) -> None:
        """Take what an agent tells of a run."""
        self.fleet.view(worker).release(event.run)
        owned = self.jobs.get(event.run.task.job_id)
        task = owned.find(event.run) if owned is not None else None
        if task is None:
            return
        if event.kind == RunEventKind.REFUSED:
            self._requeue(owned, task)
            if event.reason == "outdated":
                self.last_run_number += RENUMBER_MS
        else:
            owned.has_run = True
            self._handle_run_end(owned, task, worker, event)
        self._close_if_finished(owned)

    def handle_progress(self, worker: str, progress: Progress) -> None:
        """Learn from how far the runs at a worker are."""
        for row in progress.rows:
            owned = self.jobs.get(row.run.task.job_id)
            task = owned.find(row.run) if owned is not None else None
            if task is not None:
                predicted_s = row.elapsed_ms / 10 / row.percent
                self._learn_run_time(owned, task, Sample(worker, predicted_s))

    def handle_worker_lost(self, worker: str, reason: str) -> None:
        """Give up the runs at a worker that cannot be reached and has stopped them."""
        for owned in list(self.jobs.values()):
            for task in owned.all_tasks():
                if task.worker == worker:
                    owned.has_run = True
                    self._log(owned, "lost", reason, worker=worker)
                    self._requeue(owned, task)
            self._close_if_finished(owned)
        self.schedule()

    def remove_worker(self, worker: str, reason: str) -> None:
        """Give up a worker that was replaced, with all that was learned of it."""
        self.handle_worker_lost(worker, reason)
        self.forecaster.forget(worker)
        self.clear_failures(worker)

    def clear_failures(self, worker: str) -> None:
        """Forget the failures of a worker that has started anew."""
        self.detector.remove(worker, self.clock())

    def runs_on(self, worker: str) -> list[HeldRun]:
        """Return the runs that are wanted at a worker."""
        return [
            HeldRun(task.run, owned.job.steps[task.task_id.step].demand)
            for owned in self.jobs.values()
            for task in owned.all_tasks()
            if task.worker == worker and not task.stopping
        ]

    # Decisions

    def tick(self) -> None:
        """Refuse what has no prospect and give up what nobody waits for."""
        now = self.clock()
        for owned in list(self.jobs.values()):
            if (
                not owned.answered
                and now > owned.caller_deadline + CALLER_TIMEOUT_GRACE_S
            ):
                self._finish(owned, JobAnswer(JobState.UNKNOWN, "out of time"))
        self.schedule()
        self._shed_load()

    def schedule(self) -> None:
        """Start what there is room for, the most urgent first."""
        if not self.waiting:
            return
        candidates_by_service: dict[str, list[Candidate]] = {}
        for owned in self._waiting_in_order():
            service = owned.job.queue.service
            if service not in candidates_by_service:
                candidates_by_service[service] = self._candidates(service)
            for number in range(len(owned.job.steps)):
                self._place_step(owned, number, candidates_by_service[service])
            if not owned.is_waiting:
                del self.waiting[owned.job.job_id]

    def _set_forecast(self, owned: OwnedJob) -> None:
        """Set how long a job is expected to take and is allowed to."""
        job = owned.job
        estimates_s = [step.estimate_s for step in job.steps]
        hinted_s = critical_path_length(job.steps, estimates_s)
        owned.critical_path_s = self.forecaster.critical_path_s(
            job.queue.name, self._duration_hints(job)
        )
        scale = owned.critical_path_s / hinted_s if hinted_s > 0 else 0.0
        share_s = owned.critical_path_s / len(job.steps)
        owned.task_s = [
            estimate_s * scale if scale else share_s for estimate_s in estimates_s
        ]
        queue = job.queue
        owned.objective_s = queue.stretch * owned.critical_path_s + queue.allowance_s

    def _duration_hints(self, job: RepeatableJob) -> list[float]:
        """Return what the caller lets know of a job's length, in seconds."""
        estimates_s = [step.estimate_s for step in job.steps]
        return [
            critical_path_length(job.steps, estimates_s),
            max(0.0, job.caller_timeout_s - job.queue.timeout_s),
        ]

    def _refusal(self, owned: OwnedJob) -> JobAnswer | None:
        """Return the answer to a job that has just arrived and cannot be served."""
        if owned.job.job_id in self.jobs:
            # Not "not run": runs of the earlier attempt may go on.
            reason = "an earlier attempt is in progress"
            return JobAnswer(JobState.UNKNOWN, reason)
        reason = self._unservable_reason(owned)
        return JobAnswer(JobState.NOT_RUN, reason, RETRY_AFTER_S) if reason else None

    def _unservable_reason(self, owned: OwnedJob) -> str:
        """Return why a job has no prospect from the start, or ``""``."""
        job = owned.job
        run_s = owned.critical_path_s / self.forecaster.max_speed
        if self.clock() + run_s + OVERHEAD_S > self.shutdown_at:
            return "the entry stops before it can end"
        service = job.queue.service
        if not self._knows_workers(service):
            return ""
        if not self.fleet.ready(service):
            return "no worker is reachable"
        known = self.fleet.known(service)
        for step in job.steps:
            if not any(
                step.demand.fits(view.facts.capacity)
                and (not step.label or step.label in view.facts.labels)
                for view in known
            ):
                return "no worker is large enough"
        return ""

    def _knows_workers(self, service: str) -> bool:
        """Whether this entry knows what the workers of a service can do."""
        now = self.clock()
        if not self.fleet.ready(service):
            return now - self.workers_seen_at > WORKER_DISCOVERY_S
        self.workers_seen_at = now
        return True

    def _shed_load(self) -> None:
        """Refuse the jobs that have not begun and have no prospect."""
        now = self.clock()
        max_speed = self.forecaster.max_speed
        by_service: dict[str, list[OwnedJob]] = {}
        for owned in self._waiting_in_order():
            by_service.setdefault(owned.job.queue.service, []).append(owned)
        for service, jobs in by_service.items():
            workers_known = self._knows_workers(service)
            work = [owned.core_seconds() for owned in jobs]
            waits_s = waiting_times(work, self._available_cores(service))
            for owned, wait_s in zip(jobs, waits_s, strict=True):
                if owned.has_started:
                    continue
                forecast = WaitForecast(
                    now - owned.job.received_at,
                    owned.objective_s,
                    owned.critical_path_s / max_speed,
                    wait_s,
                    owned.job.caller_timeout_s,
                    workers_known,
                )
                reason = refusal_reason(forecast)
                if reason:
                    self._refuse(owned, reason, wait_s)

    def _available_cores(self, service: str) -> float:
        """Return this entry's share of the cores of a service."""
        cpu_milli = sum(
            view.facts.capacity.cpu_milli
            for view in self.fleet.ready(service)
            if view.name not in self.detector.ejected
        )
        return cpu_milli / 1000 / max(1, self.count_entries())

    def _waiting_in_order(self) -> list[OwnedJob]:
        """Return the jobs that wait, in the order in which they are served.

        First what has begun, as it holds room until it is done; last what will be late
        in any case; urgent queues before others, and then what has to begin first.
        """
        now = self.clock() + OVERHEAD_S
        max_speed = self.forecaster.max_speed

        def sort_key(owned: OwnedJob) -> tuple:
            will_be_late = now + owned.critical_path_s / max_speed > owned.deadline
            urgent = owned.job.queue.priority == URGENT_PRIORITY
            latest_start = owned.deadline - owned.critical_path_s
            return (not owned.has_started, will_be_late, not urgent, latest_start)

        return sorted(self.waiting.values(), key=sort_key)

    def _place_step(
        self, owned: OwnedJob, number: int, candidates: list[Candidate]
    ) -> None:
        """Start the waiting tasks of a step as far as there is room."""
        step = owned.job.steps[number]
        if not any(step.demand.fits(item.free) for item in candidates):
            return
        waiting = owned.waiting_tasks(number)
        if not waiting:
            return
        remaining_s = owned.deadline - self.clock() - OVERHEAD_S
        allow_late = (
            owned.has_started
            or owned.critical_path_s / self.forecaster.max_speed > remaining_s
        )
        request = PlacementRequest(
            step, len(waiting), owned.task_s[number], remaining_s, allow_late
        )
        if not owned.has_started and self._keeps_reserve(owned):
            request.count = count_outside_reserve(request, candidates)
        chosen = self.pack(
            request, self._eligible_workers(owned, number, candidates), self.random
        )
        by_worker: dict[str, list[TaskRecord]] = {}
        for task, candidate in zip(waiting, chosen, strict=False):
            by_worker.setdefault(candidate.name, []).append(task)
        if by_worker:
            placed = {worker: len(tasks) for worker, tasks in by_worker.items()}
            self._log(owned, "placed", step=number, placed=placed)
        for worker, tasks in by_worker.items():
            self._start_runs(owned, step, worker, tasks, request.task_s)

    def _eligible_workers(
        self, owned: OwnedJob, number: int, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Return the workers for a step, without those where its tasks did not end."""
        step, tasks = owned.job.steps[number], owned.tasks[number]
        if step.spread_limit:
            for item in candidates:
                item.step_tasks = sum(task.worker == item.name for task in tasks)
        avoided = set().union(*(task.avoided for task in tasks))
        if not avoided:
            return candidates
        others = [item for item in candidates if item.name not in avoided]
        return (
            others
            if any(step.demand.fits(item.free) for item in others)
            else candidates
        )

    def _keeps_reserve(self, owned: OwnedJob) -> bool:
        """Whether a job leaves room for urgent ones, which have come lately."""
        queue = owned.job.queue
        if queue.priority == URGENT_PRIORITY:
            return False
        last_urgent_at = self.last_urgent_at.get(queue.service, float("-inf"))
        return self.clock() - last_urgent_at < URGENT_RESERVE_S

    def _candidates(self, service: str) -> list[Candidate]:
        now = self.clock()
        return [
            Candidate(
                view.name,
                view.free,
                view.facts.capacity,
                view.facts.labels,
                self.forecaster.speed(view.name),
                view.facts.domain == self.domain,
                is_probe=view.name in self.detector.ejected,
            )
            for view in self.fleet.ready(service)
            if self.detector.available(view.name, now)
        ]

    def _start_runs(
        self,
        owned: OwnedJob,
        step: Step,
        worker: str,
        tasks: list[TaskRecord],
        task_s: float,
    ) -> None:
        expected_s = task_s / self.forecaster.speed(worker)
        for task in tasks:
            owned.place(task, worker, self._next_run_number())
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
            [RunNumber(task.task_id.index, task.run.number) for task in tasks],
        )
        self.detector.start(worker, self.clock())
        sequence = self.send(worker, message)
        view = self.fleet.view(worker)
        for task in tasks:
            view.place(task.run, sequence, step.demand)

    def _next_run_number(self) -> int:
        self.last_run_number = max(self.last_run_number + 1, self.wall_ms())
        return self.last_run_number

    # What becomes of jobs

    def _learn_run_time(
        self, owned: OwnedJob, task: TaskRecord, sample: Sample
    ) -> None:
        """Take a run time, and put it beside those of the other tasks of the step."""
        number = task.task_id.step
        siblings = [
            other.sample
            for other in owned.tasks[number]
            if other.sample is not None and other is not task
        ]
        self.forecaster.learn_speed(sample, siblings, owned.task_s[number])
        task.sample = sample

    def _learn_critical_path(self, owned: OwnedJob) -> None:
        """Take the length of a job that is done."""
        lengths_s = [
            max(
                (
                    self.forecaster.work_s(task.sample)
                    for task in tasks
                    if task.sample is not None
                ),
                default=0.0,
            )
            for tasks in owned.tasks
        ]
        actual_s = critical_path_length(owned.job.steps, lengths_s)
        if actual_s > 0:
            job = owned.job
            self.forecaster.learn_critical_path(
                job.queue.name, self._duration_hints(job), actual_s
            )

    def _requeue(self, owned: OwnedJob, task: TaskRecord) -> None:
        owned.release(task)
        if not owned.answered:
            self.waiting[owned.job.job_id] = owned

    def _handle_run_end(
        self, owned: OwnedJob, task: TaskRecord, worker: str, event: RunEvent
    ) -> None:
        self._record_run_outcome(owned, worker, event.end)
        if event.end == RunEnd.DONE:
            if event.run_ms:
                self._learn_run_time(owned, task, Sample(worker, event.run_ms / 1000))
            owned.finish(task)
            if owned.is_waiting and not owned.answered:
                self.waiting[owned.job.job_id] = owned
            return
        self._log(owned, "run ended", event.end.name.lower(), worker=worker)
        if event.end == RunEnd.FAILED:
            task.failures += 1
        task.avoided.add(worker)
        self._requeue(owned, task)

    def _record_run_outcome(self, owned: OwnedJob, worker: str, end: RunEnd) -> None:
        """Count how a run ended for or against its worker."""
        if end not in (RunEnd.DONE, RunEnd.FAILED, RunEnd.STALLED):
            return
        was_ejected = worker in self.detector.ejected
        queue = owned.job.queue.name
        self.detector.record(worker, queue, end == RunEnd.DONE, self.clock())
        if (worker in self.detector.ejected) != was_ejected:
            outcome = "back in use" if was_ejected else "put aside"
            logger.bind(worker=worker, end=end.name.lower()).info("worker {}", outcome)

    def _close_if_finished(self, owned: OwnedJob) -> None:
        """Answer a job that is done or has failed, and forget one without runs."""
        if not owned.answered:
            attempt_limit = owned.job.queue.max_attempts
            if owned.is_done:
                self._learn_critical_path(owned)
                self._finish(owned, JobAnswer(JobState.DONE))
            elif any(task.failures >= attempt_limit for task in owned.all_tasks()):
                self._finish(owned, JobAnswer(JobState.FAILED, "a task has failed"))
        if owned.answered and not owned.counts[TaskPhase.PLACED]:
            self.jobs.pop(owned.job.job_id, None)

    def _refuse(self, owned: OwnedJob, reason: str, wait_s: float) -> None:
        wait_ms = round(wait_s * 1000) if wait_s < float("inf") else None
        retry_after_s = RETRY_AFTER_S
        if wait_ms is not None:
            # Callers come back in the order of their turns, when there is room.
            retry_after_s = min(MAX_RETRY_AFTER_S, max(RETRY_AFTER_S, wait_s))
        answer = JobAnswer(JobState.NOT_RUN, reason, retry_after_s)
        self._finish(owned, answer, forecast_wait_ms=wait_ms)

    def _finish(self, owned: OwnedJob, answer: JobAnswer, **inputs) -> None:
        """Answer a job and stop what is left of it."""
        owned.answered = True
        self.waiting.pop(owned.job.job_id, None)
        if owned.counts[TaskPhase.PLACED]:
            self._stop_runs(owned)
        waited_s = self.clock() - owned.job.received_at
        self.on_answer(owned.job, answer.state, waited_s)
        self._log(owned, answer.state.name.lower(), answer.reason, **inputs)
        owned.answer(answer)
        self._close_if_finished(owned)

    def _stop_runs(self, owned: OwnedJob) -> None:
        running: dict[str, list[RunId]] = {}
        for task in owned.all_tasks():
            if task.phase == TaskPhase.PLACED and not task.stopping:
                task.stopping = True
                running.setdefault(task.worker, []).append(task.run)
        for worker, runs in running.items():
            self.send(worker, StopRuns(0, runs))

    def _log(self, owned: OwnedJob, outcome: str, reason: str = "", **inputs) -> None:
        """Write one line on a decision, with what decided it."""
        job = owned.job
        logger.bind(
            job=job.job_id,
            queue=job.queue.name,
            plan=job.plan_version,
            waited_ms=round((self.clock() - job.received_at) * 1000),
            forecast_ms=round(owned.critical_path_s * 1000),
            objective_ms=round(owned.objective_s * 1000),
            workers=len(self.fleet.ready(job.queue.service)),
            waiting=len(self.waiting),
            **inputs,
        ).info("{}", f"{outcome}: {reason}" if reason else outcome)
