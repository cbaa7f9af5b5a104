"""Schedules the jobs that an entry owns: queueing, placement, refusal and retries.

Performs no I/O: messages to agents go through ``send``, answers to callers through each
job's ``answer`` callback.

Guarantees:

- A task has at most one run whose end is not known to its owner.
- No task starts once its caller has timed out. After a pause of this process, none
  starts before the messages and disconnects that arrived meanwhile have been read.
- Each message to an agent carries the time of the facts that it is based on, so that
  the agent can tell how old they are wherever this process was paused.
- A job is answered exactly once. It is answered ``NOT_RUN`` only if none of its runs
  has started and none can start later.
"""

import math
import random
from collections import Counter
from collections.abc import Callable

from loguru import logger

from marigoldkeel.ejection import OutlierDetector
from marigoldkeel.fleet.admission import (
    OVERHEAD_S,
    WaitForecast,
    waiting_times,
)
from marigoldkeel.fleet.cancelled import CancelledIds
from marigoldkeel.fleet.capacity import make_capacity_share
from marigoldkeel.fleet.forecasts import Forecaster, Sample
from marigoldkeel.fleet.learning import (
    duration_hints,
    learn_critical_path,
    learn_run_time,
)
from marigoldkeel.fleet.leases import CALLER_TIMEOUT_GRACE_S
from marigoldkeel.fleet.messages import (
    MAX_FIELD_MS,
    HeldRun,
    Progress,
    RunEvent,
    RunEventKind,
    RunNumber,
    StartRuns,
    StopRuns,
)
from marigoldkeel.fleet.order import URGENT_PRIORITY
from marigoldkeel.fleet.overload import find_overload_policy
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
from marigoldkeel.fleet.placement import (
    eligible_workers,
    find_candidates,
    largest_free_cpu_milli,
)
from marigoldkeel.fleet.reservations import (
    LookAhead,
    RecentDemands,
    Reservation,
    ReservationEvent,
    forecast_end,
)
from marigoldkeel.fleet.runs import StartOutcome
from marigoldkeel.fleet.subsets import is_suitable
from marigoldkeel.fleet.views import FleetView
from marigoldkeel.fleet.work import (
    JobAnswer,
    JobState,
    RepeatableJob,
    Resources,
    RunEnd,
    RunId,
    Step,
)


# How long after the last urgent job a capacity reserve is kept for the next one.
URGENT_RESERVE_S = 10.0
# An entry that has just started, or has just lost all of its workers, does not yet know
# what it can serve. Agents that start together with it are usable within this time.
WORKER_DISCOVERY_S = 1.5
# An interval between ticks above this is a pause of this process. A caller that left
# during it has submitted its job elsewhere by now, 1.3 s after it left at the earliest.
MAX_TICK_INTERVAL_S = 0.5
# A pass that has been starting runs for this long ends, and another one follows once
# the event loop has read what has arrived. Agents refuse the orders of a long pass.
MAX_PASS_S = 0.01
# Most tasks of a step that are placed at once, in some milliseconds.
MAX_TASKS_AT_ONCE = 150
# Shortest retry delay given to a refused caller; longer if the forecast wait is longer.
RETRY_AFTER_S = 1.0
# Loads change within seconds, so forecasts that reach further are unreliable.
MAX_RETRY_AFTER_S = 10.0
# A worker is ejected when this many of its last ten runs failed or stalled. A single
# failure says little: a task that always fails does so once on each of several workers.
EJECT_AFTER_FAILURES = 4
# At most this share of the workers is ejected: if more of them fail, the jobs are at
# fault.
MAX_EJECTED_SHARE = 0.4
# Time until an ejected worker gets a single task as a probe. It grows up to eightfold
# while probes fail.
EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# How long failures of a queue are counted, and how long a probe may take.
FAILURE_WINDOW_S = 5.0
PROBE_TIMEOUT_S = 2.0
# Added to the run numbers when a worker already knows higher ones. This happens
# after the wall clock was set back, usually by seconds.
RENUMBER_MS = 60_000


class Scheduler:
    """Schedules the jobs owned by one entry.

    :param send: Sends a message to the agent of a worker and returns the message's
        sequence number. Takes the worker, the message, and the time on ``clock`` of the
        facts that the message is based on.
    :param clock: Returns seconds of a clock that includes time in system suspend, which
        callers do not wait for.
    :param wall_ms: Returns the wall-clock time in milliseconds. Run numbers are derived
        from it, so that those of a later owner of the same job are higher.
    :param entries_per_worker: Returns how many entries share a worker on average.
    :param connect_workers: Called for each new job, to connect to the workers that it
        needs; returns whether some of them are not connected yet.
    :param look_ahead: Whether capacity is reserved for waiting jobs that do not fit.
    :param finds_workers: Returns whether workers that this entry knows of are still
        being connected.
    :param continue_soon: Called when a pass has ended early; `schedule` is to be called
        once the event loop has read what has arrived.
    :param overload: Name of the overload policy.
    :param capacity: Name of the share of the workers' capacity that is counted on.
    :ivar workers_ready_at: When each service was last found to have ready workers.
    :ivar last_tick_at: When `tick` was last called.
    :ivar previous_tick_at: When it was called before that. What had happened by then,
        for example that a caller had left, has been acted on.
    :ivar resuming: Whether the last interval between ticks was a pause.
    :ivar resumed_at: When the last pause was noticed, or this entry started.
    :ivar is_interrupted: Whether the last pass ended before it had seen all jobs.
    :ivar shutdown_at: When this entry shuts down; jobs that would end later are
        refused.
    :ivar requeued: How many runs were requeued, by cause.
    :ivar refused: How many jobs were answered ``NOT_RUN``, by queue and reason.
    :ivar on_answer: Called for each answer with the job, its state and the seconds
        since the job arrived.
    """

    def __init__(
        self,
        fleet: FleetView,
        domain: str,
        send: Callable[[str, StartRuns | StopRuns, float], int],
        clock: Callable[[], float],
        wall_ms: Callable[[], int],
        seed: int | None = None,
        packing: str = "in_time",
        overload: str = "by_deadline",
        capacity: str = "even",
        entries_per_worker: Callable[[], float] = lambda: 1.0,
        connect_workers: Callable[[RepeatableJob], bool] = lambda job: False,
        look_ahead: bool = False,
        finds_workers: Callable[[], bool] = lambda: False,
        continue_soon: Callable[[], None] = lambda: None,
    ):
        self.fleet = fleet
        self.domain = domain
        self.send = send
        self.clock = clock
        self.wall_ms = wall_ms
        self.entries_per_worker = entries_per_worker
        self.connect_workers = connect_workers
        self.finds_workers = finds_workers
        self.continue_soon = continue_soon
        self.started_at = self.resumed_at = clock()
        self.workers_ready_at: dict[str, float] = {}
        self.random = random.Random(seed)
        self.pack: PackingPolicy = find_packing(packing)
        self.forecaster = Forecaster()
        self.overload = find_overload_policy(overload)()
        self.capacity_share = make_capacity_share(capacity)
        self.detector = OutlierDetector(
            MAX_EJECTED_SHARE,
            EJECT_AFTER_FAILURES,
            EJECTION_S,
            MAX_EJECTION_S,
            FAILURE_WINDOW_S,
            PROBE_TIMEOUT_S,
        )
        self.look_ahead: LookAhead | None = None
        if look_ahead:
            self.look_ahead = LookAhead(self._forecast_ends)
            self.look_ahead.on_event = self._log_reservation
        self.recent_demands: dict[str, RecentDemands] = {}
        self.last_urgent_at: dict[str, float] = {}
        self.jobs: dict[str, OwnedJob] = {}
        self.waiting: dict[str, OwnedJob] = {}
        self.cancelled_ids = CancelledIds()
        self.last_run_number = 0
        self.requeued: Counter[str] = Counter()
        self.refused: Counter[tuple[str, str]] = Counter()
        self.last_tick_at = self.previous_tick_at = self.started_at
        self.resuming = False
        self.is_interrupted = False
        self.shutdown_at = float("inf")
        self.on_answer: Callable[[RepeatableJob, JobState, float], None] = (
            lambda job, state, waited_s: None
        )

    # Requests from callers

    def submit(
        self,
        job: RepeatableJob,
        answer: Callable[[JobAnswer], None],
        held: bool = False,
    ) -> OwnedJob | None:
        """Accept a job, or refuse it immediately and return None.

        :param held: Whether the job starts only after `release`.
        """
        if job.queue.priority == URGENT_PRIORITY:
            self.last_urgent_at[job.queue.service] = self.clock()
        owned = OwnedJob(job, answer)
        owned.held = held
        self._set_forecast(owned)
        refusal = self._refusal_answer(owned)
        if refusal is not None:
            self.on_answer(job, refusal.state, 0.0)
            if refusal.state == JobState.NOT_RUN:
                self.refused[job.queue.name, refusal.reason] += 1
            self._log(owned, "refused", refusal.reason)
            answer(refusal)
            return None
        self.jobs[job.job_id] = owned
        self.waiting[job.job_id] = owned
        recent = self.recent_demands.setdefault(job.queue.service, RecentDemands())
        for step in job.steps:
            recent.record(step.demand, self.clock())
        if not held:
            self.schedule()
        return owned

    def release(self, owned: OwnedJob) -> None:
        """Let a held job start."""
        owned.held = False
        self.schedule()

    def abandon(self, owned: OwnedJob, reason: str) -> None:
        """Answer ``UNKNOWN`` for a job whose caller has disconnected, and stop it."""
        if not owned.answered:
            self._finish(owned, JobAnswer(JobState.UNKNOWN, reason))

    def cancel(self, job_id: str) -> bool:
        """Cancel a job, also if it arrives here later.

        :return: False if it is not known here or already answered.
        """
        self.cancelled_ids.add(job_id, self.clock())
        owned = self.jobs.get(job_id)
        if owned is None or owned.answered:
            return False
        self._finish(owned, JobAnswer(JobState.CANCELLED, "cancelled"))
        return True

    def pending(self, queue: str) -> int:
        """Return how many jobs of a queue have not started."""
        return sum(
            owned.job.queue.name == queue and not owned.has_started
            for owned in self.waiting.values()
        )

    # Events from agents

    def handle_event(self, worker: str, event: RunEvent) -> None:
        """Apply an agent's report that a run was refused or has ended."""
        self.fleet.view(worker).release(event.run)
        owned = self.jobs.get(event.run.task.job_id)
        task = owned.find(event.run) if owned is not None else None
        if task is None:
            return
        if event.kind == RunEventKind.REFUSED:
            self._requeue(owned, task, "refused")
            if event.reason == StartOutcome.OUTDATED:
                self.last_run_number += RENUMBER_MS
        else:
            owned.has_run = True
            self._handle_run_end(owned, task, worker, event)
        self._close_if_finished(owned)

    def handle_progress(self, worker: str, progress: Progress) -> None:
        """Update the forecasts from the progress of the runs on a worker."""
        for row in progress.rows:
            owned = self.jobs.get(row.run.task.job_id)
            task = owned.find(row.run) if owned is not None else None
            if task is not None and not self._is_cold(worker):
                predicted_s = row.elapsed_ms / 10 / row.percent
                task.expected_s = predicted_s
                learn_run_time(
                    self.forecaster, owned, task, Sample(worker, predicted_s)
                )

    def _is_cold(self, worker: str) -> bool:
        """Return whether a worker's run times tell nothing about its usual speed."""
        return self.fleet.view(worker).is_cold(self.clock())

    def handle_worker_lost(self, worker: str, reason: str) -> None:
        """Requeue the runs of an unreachable worker, which has stopped them by now."""
        for owned in list(self.jobs.values()):
            for task in owned.all_tasks():
                if task.worker == worker:
                    owned.has_run = True
                    self._log_run(owned, task, "lost", reason)
                    self._requeue(owned, task, reason)
            self._close_if_finished(owned)
        self.schedule()

    def remove_worker(self, worker: str, reason: str) -> None:
        """Requeue the runs of a replaced worker and discard its statistics."""
        self.handle_worker_lost(worker, reason)
        self.forecaster.reset_speed(worker)
        self.clear_failures(worker)

    def clear_failures(self, worker: str) -> None:
        """Discard the failure history of a worker that has restarted."""
        self.detector.remove(worker, self.clock())

    def held_on(self, worker: str, sent_at: float) -> list[HeldRun]:
        """Return the runs on a worker, also those that have been ordered to stop.

        :param sent_at: From when the time that their callers wait counts.
        """
        return [
            HeldRun(
                task.run,
                owned.job.steps[task.task_id.step].demand,
                owned.caller_waits_ms(sent_at),
            )
            for owned in self.jobs.values()
            for task in owned.all_tasks()
            if task.worker == worker
        ]

    def stop_orders(self, worker: str, now: float) -> list[StopRuns]:
        """Return the orders to stop the runs on a worker that are to be stopped.

        Runs that were to stop at the same time share an order, which has that age.

        :param now: The time as of which the orders are to be sent.
        """
        runs: dict[float, list[RunId]] = {}
        for owned in self.jobs.values():
            for task in owned.all_tasks():
                if task.worker == worker and task.stopping:
                    runs.setdefault(task.stop_due_since, []).append(task.run)
        return [self._stop_order(item, since, now) for since, item in runs.items()]

    def _stop_order(self, runs: list[RunId], since: float, now: float) -> StopRuns:
        age_ms = max(0, math.ceil(1000 * (now - since)))
        return StopRuns(0, runs, age_ms=min(MAX_FIELD_MS, age_ms))

    # Decisions

    def tick(self) -> None:
        """Time out jobs, start what fits, and refuse jobs that cannot be served.

        The first tick after a pause starts and refuses nothing, and neither does any
        event until the next tick. Meanwhile what arrived during the pause is read.
        """
        now = self.clock()
        self._detect_pause(now)
        for owned in list(self.jobs.values()):
            if (
                not owned.answered
                and now > owned.caller_deadline + CALLER_TIMEOUT_GRACE_S
            ):
                self._finish(owned, JobAnswer(JobState.UNKNOWN, "out of time"))
        if not self.resuming:
            self.schedule()
            # Jobs that an interrupted pass has not seen may still start in time.
            if not self.is_interrupted:
                self._shed_load(now)

    def _detect_pause(self, now: float) -> None:
        interval_s = now - self.last_tick_at
        self.previous_tick_at, self.last_tick_at = self.last_tick_at, now
        self.resuming = interval_s > MAX_TICK_INTERVAL_S
        if self.resuming:
            self.resumed_at = now
            logger.bind(
                paused_ms=round(1000 * interval_s), waiting=len(self.waiting)
            ).info("resumed after a pause; nothing starts until the next tick")

    def facts_time(self, now: float) -> float:
        """Return the time as of which all that had happened has been acted on.

        It is ``now``, but after a pause it is the last tick before the pause, until
        what arrived meanwhile has been read.
        """
        if self.resuming:
            return min(now, self.previous_tick_at)
        if now - self.last_tick_at > MAX_TICK_INTERVAL_S:
            return self.last_tick_at
        return now

    def schedule(self) -> None:
        """Start as many waiting tasks as fit, in order of precedence.

        The orders carry the time at which the pass begins, and so do the numbers of
        their runs. A pass that takes long ends early and is continued.
        """
        self.is_interrupted = False
        # Read before the clock, so that a pause in between shows.
        wall_ms = self.wall_ms()
        now = self.clock()
        if self.facts_time(now) < now:
            return
        self.last_run_number = max(self.last_run_number, wall_ms - 1)
        if self.look_ahead is not None:
            self.look_ahead.begin_pass(self.waiting, self.jobs, now)
        if not self.waiting:
            return
        candidates_by_service: dict[str, list[Candidate]] = {}
        largest_free: dict[str, int] = {}
        has_started = False
        for owned in self._waiting_in_order():
            if owned.held or now > owned.caller_deadline:
                continue
            service = owned.job.queue.service
            if service not in candidates_by_service:
                candidates_by_service[service] = find_candidates(
                    self.fleet.ready(service),
                    self.detector,
                    self.forecaster,
                    self.domain,
                    now,
                )
                largest_free[service] = largest_free_cpu_milli(
                    candidates_by_service[service]
                )
            try:
                for number, step in enumerate(owned.job.steps):
                    started = MAX_TASKS_AT_ONCE
                    # Most of a long queue is skipped here while the workers are full.
                    while (
                        started == MAX_TASKS_AT_ONCE
                        and step.demand.cpu_milli <= largest_free[service]
                    ):
                        if has_started and self.clock() - now > MAX_PASS_S:
                            self.is_interrupted = True
                            break
                        candidates = candidates_by_service[service]
                        started = self._place_step(owned, number, candidates, now)
                        if started:
                            has_started = True
                            largest_free[service] = largest_free_cpu_milli(candidates)
                    if self.is_interrupted:
                        break
            except Exception as error:
                self._drop_after_error(owned, error)
            if not owned.is_waiting:
                self.waiting.pop(owned.job.job_id, None)
            if self.is_interrupted:
                self.continue_soon()
                return
            if self.look_ahead is not None and owned.is_waiting and not owned.answered:
                self.look_ahead.add_waiting(
                    owned,
                    candidates_by_service[service],
                    self.recent_demands[service],
                    now,
                )

    def _set_forecast(self, owned: OwnedJob) -> None:
        """Set a job's expected run times and its objective."""
        job = owned.job
        estimates_s = [step.estimate_s for step in job.steps]
        hinted_s = critical_path_length(job.steps, estimates_s)
        owned.critical_path_s = self.forecaster.critical_path_s(
            job.queue.name, duration_hints(job)
        )
        scale = owned.critical_path_s / hinted_s if hinted_s > 0 else 0.0
        share_s = owned.critical_path_s / len(job.steps)
        owned.task_s = [
            estimate_s * scale if scale else share_s for estimate_s in estimates_s
        ]
        queue = job.queue
        owned.objective_s = queue.stretch * owned.critical_path_s + queue.allowance_s

    def _refusal_answer(self, owned: OwnedJob) -> JobAnswer | None:
        """Return the answer to a new job that cannot be accepted, or None."""
        if owned.job.job_id in self.jobs:
            # NOT_RUN would be wrong: runs of the earlier attempt may still be active.
            reason = "an earlier attempt is in progress"
            return JobAnswer(JobState.UNKNOWN, reason)
        if self.cancelled_ids.contains(owned.job.job_id, self.clock()):
            return JobAnswer(JobState.CANCELLED, "cancelled before it arrived")
        reason = self._unservable_reason(owned)
        return JobAnswer(JobState.NOT_RUN, reason, RETRY_AFTER_S) if reason else None

    def _unservable_reason(self, owned: OwnedJob) -> str:
        """Return why a new job can never be served, or ``""``."""
        job = owned.job
        run_s = owned.critical_path_s / self.forecaster.max_speed
        if self.clock() + run_s + OVERHEAD_S > self.shutdown_at:
            return "the entry stops before it can end"
        service = job.queue.service
        if self.connect_workers(job) or not self._knows_workers(service):
            return ""
        if not self.fleet.ready(service):
            return "no worker is reachable"
        known = self.fleet.known(service).values()
        for step in job.steps:
            if not any(is_suitable(step, facts) for facts in known):
                return "no worker is large enough"
        return ""

    def _is_recovering(self) -> bool:
        """Return whether this entry has just started and is still finding workers."""
        is_new = self.clock() - self.started_at < WORKER_DISCOVERY_S
        return is_new and self.overload.waits_for_workers and self.finds_workers()

    def _knows_workers(self, service: str) -> bool:
        """Return whether this entry has had time to discover a service's workers."""
        if self._is_recovering():
            return False
        now = self.clock()
        if not self.fleet.ready(service):
            # Connections that a pause has cost are being replaced.
            if self.facts_time(now) < now:
                return False
            ready_at = self.workers_ready_at.get(service, self.started_at)
            return now - max(ready_at, self.resumed_at) > WORKER_DISCOVERY_S
        self.workers_ready_at[service] = now
        return True

    def _shed_load(self, now: float) -> None:
        """Refuse the jobs that have not started and cannot end in time.

        :param now: When the tick began; a pause since then is not counted as waiting.
        """
        max_speed = self.forecaster.max_speed
        by_service: dict[str, list[OwnedJob]] = {}
        for owned in self._waiting_in_order():
            by_service.setdefault(owned.job.queue.service, []).append(owned)
        for service, jobs in by_service.items():
            workers_known = self._knows_workers(service)
            work = [owned.core_seconds() for owned in jobs]
            cores = self.available_cores(service)
            waits_s = waiting_times(work, cores)
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
                reason = self.overload.refusal_reason(forecast)
                if reason:
                    self._refuse(owned, reason, wait_s, cores)

    def available_cores(self, service: str) -> float:
        """Return the cores of a service's usable workers that this entry counts on."""
        usable = [
            view
            for view in self.fleet.ready(service)
            if view.name not in self.detector.ejected
        ]
        return self.capacity_share.cores(
            service, usable, self.entries_per_worker(), self.clock()
        )

    def _waiting_in_order(self) -> list[OwnedJob]:
        """Return the waiting jobs in the order in which they are served."""
        return self.overload.order(
            self.waiting.values(), self.clock() + OVERHEAD_S, self.forecaster.max_speed
        )

    def _place_step(
        self, owned: OwnedJob, number: int, candidates: list[Candidate], now: float
    ) -> int:
        """Start as many waiting tasks of a step as fit, up to ``MAX_TASKS_AT_ONCE``.

        :param now: When the pass began.
        :return: How many were started.
        """
        step = owned.job.steps[number]
        if not any(step.demand.fits(item.free) for item in candidates):
            return 0
        waiting = owned.waiting_tasks(number)[:MAX_TASKS_AT_ONCE]
        if not waiting:
            return 0
        remaining_s = owned.objective_deadline - now - OVERHEAD_S
        allow_late = (
            owned.has_started
            or owned.critical_path_s / self.forecaster.max_speed > remaining_s
        )
        request = PlacementRequest(
            step,
            len(waiting),
            owned.task_s[number],
            remaining_s,
            allow_late,
            self.recent_demands[owned.job.queue.service].largest,
        )
        if not owned.has_started and self._keeps_reserve(owned):
            request.count = count_outside_reserve(request, candidates)
            if not request.count:
                return 0
        withheld = []
        if self.look_ahead is not None:
            withheld = self.look_ahead.withhold(owned, number, candidates, now)
        chosen = self.pack(
            request, eligible_workers(owned, number, candidates), self.random
        )
        backfilled = 0
        if withheld:
            backfilled = self.look_ahead.restore(step, withheld)
        by_worker: dict[str, list[TaskRecord]] = {}
        for task, candidate in zip(waiting, chosen, strict=False):
            by_worker.setdefault(candidate.name, []).append(task)
        if by_worker:
            placed = {worker: len(tasks) for worker, tasks in by_worker.items()}
            inputs = {"backfilled": backfilled} if backfilled else {}
            self._log(owned, "placed", step=number, placed=placed, **inputs)
        for worker, tasks in by_worker.items():
            self._start_runs(owned, step, worker, tasks, request.task_s, now)
        return sum(map(len, by_worker.values()))

    def _keeps_reserve(self, owned: OwnedJob) -> bool:
        """Return whether a job must leave the reserve for urgent jobs free.

        The reserve exists for a while after each urgent job.
        """
        queue = owned.job.queue
        if queue.priority == URGENT_PRIORITY:
            return False
        last_urgent_at = self.last_urgent_at.get(queue.service, float("-inf"))
        return self.clock() - last_urgent_at < URGENT_RESERVE_S

    def _start_runs(
        self,
        owned: OwnedJob,
        step: Step,
        worker: str,
        tasks: list[TaskRecord],
        task_s: float,
        now: float,
    ) -> None:
        expected_s = task_s / self.forecaster.speed(worker)
        for task in tasks:
            owned.place(task, worker, self._next_run_number())
            task.placed_at, task.expected_s = now, expected_s
        first = tasks[0].task_id
        message = StartRuns(
            0,
            first.job_id,
            first.occurrence,
            first.step,
            step.demand,
            owned.job.payload,
            min(MAX_FIELD_MS, round(expected_s * 1000)),
            step.spread_limit,
            [RunNumber(task.task_id.index, task.run.number) for task in tasks],
            caller_waits_ms=owned.caller_waits_ms(now),
        )
        self.detector.record_start(worker, now)
        sequence = self.send(worker, message, now)
        view = self.fleet.view(worker)
        for task in tasks:
            view.place(task.run, sequence, step.demand)

    def _forecast_ends(self, worker: str, now: float) -> list[tuple[float, Resources]]:
        """Return when this entry's runs on a worker are expected to end, in order."""
        ends = []
        for run, (_, demand) in self.fleet.view(worker).placed.items():
            owned = self.jobs.get(run.task.job_id)
            task = owned.find(run) if owned is not None else None
            if task is not None:
                ends.append((forecast_end(task, now), demand))
        return sorted(ends, key=lambda end: end[0])

    def _next_run_number(self) -> int:
        self.last_run_number += 1
        return self.last_run_number

    # Outcomes

    def _requeue(self, owned: OwnedJob, task: TaskRecord, cause: str) -> None:
        self.requeued[cause] += 1
        owned.release(task)
        if not owned.answered:
            self.waiting[owned.job.job_id] = owned

    def _handle_run_end(
        self, owned: OwnedJob, task: TaskRecord, worker: str, event: RunEvent
    ) -> None:
        self._record_run_outcome(owned, worker, event.end)
        if event.end == RunEnd.DONE:
            if event.run_ms and not self._is_cold(worker):
                learn_run_time(
                    self.forecaster, owned, task, Sample(worker, event.run_ms / 1000)
                )
            owned.finish(task)
            if owned.is_waiting and not owned.answered:
                self.waiting[owned.job.job_id] = owned
            return
        end = event.end.name.lower()
        self._log_run(owned, task, "run ended", end, cause=event.reason)
        if event.end == RunEnd.FAILED:
            task.failures += 1
        task.avoided.add(worker)
        self._requeue(owned, task, end)

    def _record_run_outcome(self, owned: OwnedJob, worker: str, end: RunEnd) -> None:
        """Record a success or failure of a worker, which may eject or reinstate it."""
        if end not in (RunEnd.DONE, RunEnd.FAILED, RunEnd.STALLED):
            return
        was_ejected = worker in self.detector.ejected
        queue = owned.job.queue.name
        self.detector.record(worker, queue, end == RunEnd.DONE, self.clock())
        if (worker in self.detector.ejected) != was_ejected:
            outcome = "reinstated" if was_ejected else "ejected"
            logger.bind(worker=worker, end=end.name.lower()).info("worker {}", outcome)

    def _close_if_finished(self, owned: OwnedJob) -> None:
        """Answer a job that is done or has failed; drop it when no run is active."""
        if not owned.answered:
            attempt_limit = owned.job.queue.max_attempts
            if owned.is_done:
                hints_s = duration_hints(owned.job)
                learn_critical_path(self.forecaster, owned, hints_s)
                self._finish(owned, JobAnswer(JobState.DONE))
            elif any(task.failures >= attempt_limit for task in owned.all_tasks()):
                self._finish(owned, JobAnswer(JobState.FAILED, "a task has failed"))
        if owned.answered and not owned.counts[TaskPhase.PLACED]:
            self.jobs.pop(owned.job.job_id, None)

    def _refuse(
        self, owned: OwnedJob, reason: str, wait_s: float, cores: float
    ) -> None:
        self.refused[owned.job.queue.name, reason] += 1
        wait_ms = round(wait_s * 1000) if wait_s < float("inf") else None
        retry_after_s = RETRY_AFTER_S
        if wait_ms is not None:
            # Callers retry in queue order, when capacity is expected to be free.
            retry_after_s = min(MAX_RETRY_AFTER_S, max(RETRY_AFTER_S, wait_s))
        answer = JobAnswer(JobState.NOT_RUN, reason, retry_after_s)
        self._finish(
            owned,
            answer,
            forecast_wait_ms=wait_ms,
            priority=owned.job.queue.priority,
            counted_cores=round(cores, 1),
        )

    def _finish(self, owned: OwnedJob, answer: JobAnswer, **inputs) -> None:
        """Answer a job and stop its remaining runs."""
        owned.answered = True
        self.waiting.pop(owned.job.job_id, None)
        if owned.counts[TaskPhase.PLACED]:
            self._stop_runs(owned)
        waited_s = self.clock() - owned.job.received_at
        self.on_answer(owned.job, answer.state, waited_s)
        self._log(owned, answer.state.name.lower(), answer.reason, **inputs)
        owned.answer(answer)
        self._close_if_finished(owned)

    def _drop_after_error(self, owned: OwnedJob, error: Exception) -> None:
        """End a job that cannot be placed because of an unexpected error.

        Otherwise the error would recur at each attempt and stop all other jobs.
        """
        logger.bind(job=owned.job.job_id).exception("unexpected error in step place")
        state = JobState.UNKNOWN if owned.has_started else JobState.NOT_RUN
        reason = f"internal error: {error}"
        self._finish(owned, JobAnswer(state, reason, RETRY_AFTER_S))

    def _stop_runs(self, owned: OwnedJob) -> None:
        now = self.facts_time(self.clock())
        running: dict[str, list[RunId]] = {}
        for task in owned.all_tasks():
            if task.phase == TaskPhase.PLACED and not task.stopping:
                task.stopping = True
                task.stop_due_since = self.previous_tick_at
                running.setdefault(task.worker, []).append(task.run)
        for worker, runs in running.items():
            order = self._stop_order(runs, self.previous_tick_at, now)
            self.send(worker, order, now)

    def _log_run(
        self, owned: OwnedJob, task: TaskRecord, outcome: str, reason: str, **inputs
    ) -> None:
        """Log what became of a task's current run."""
        self._log(
            owned,
            outcome,
            reason,
            worker=task.worker,
            step=task.task_id.step,
            task=task.task_id.index,
            run=task.run.number,
            **inputs,
        )

    def _log_reservation(
        self, owned: OwnedJob, event: ReservationEvent, reservation: Reservation
    ) -> None:
        now = self.clock()
        self._log(
            owned,
            f"reservation {event.value}",
            reserved_on=sorted(reservation.gaps),
            starts_in_ms=round(1000 * (reservation.starts_at - now)),
        )

    def _log(self, owned: OwnedJob, outcome: str, reason: str = "", **inputs) -> None:
        """Log a decision together with the values that it was based on."""
        job = owned.job
        logger.bind(
            job=job.job_id,
            queue=job.queue.name,
            plan=job.plan_version,
            plan_unconfirmed_ms=round(1000 * job.plan_unconfirmed_s),
            waited_ms=round((self.clock() - job.received_at) * 1000),
            forecast_ms=round(owned.critical_path_s * 1000),
            objective_ms=round(owned.objective_s * 1000),
            workers=len(self.fleet.ready(job.queue.service)),
            waiting=len(self.waiting),
            **inputs,
        ).info("{}", f"{outcome}: {reason}" if reason else outcome)
