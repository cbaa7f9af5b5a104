"""Checks of the guarantees against what callers, workers and the operator observed.

Each check yields a line of text for each violation. Timed checks are valid only if the
event loop of the soak test is not delayed, because the stand-ins run in it.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import chain

from emulator.sites import route
from marigoldkeel.fleet.work import RunEnd, RunId, TaskId
from soak.callers import (
    ANSWER_MARGIN_S,
    CONNECTION_LOST,
    NOT_CONNECTED,
    TIMED_OUT,
    Attempt,
    Callers,
    Probe,
    SentJob,
)
from soak.installations import EVACUATE_S, GRACE_S, Installation


# HTTP statuses that a caller may get for a job.
ALLOWED_STATUSES = (200, 503, 504)
NOT_RUN_STATUSES = (429, 503)
MAX_ATTEMPTS = route("", "")["max_attempts"]
# Limits of the platform: a leaving worker gets no new run after MAX_DRAIN_S, no task of
# a cancelled job starts after MAX_CANCEL_S, counted from the end of a disruption, and
# an entry does not return to an older configuration later than MAX_ROLLBACK_S after it
# showed a newer one.
MAX_DRAIN_S = 2.0
MAX_CANCEL_S = 3.0
MAX_ROLLBACK_S = 0.25
# A request whose connection a planned stop closes within this time after it was sent
# may not have been read yet.
LOSS_MARGIN_S = 0.2
# Disturbances in which a process may lose its connections or not answer.
DISRUPTIVE_KINDS = {"killed", "paused", "cut off"}
# Time that an entry may need to notice that it was paused and to answer.
PAUSE_MARGIN_S = 1.0


@dataclass(slots=True)
class Span:
    """One run on a worker, with times on the soak test's clock."""

    worker: str
    began_at: float
    ended_at: float
    end: RunEnd | None


@dataclass
class RunRecord:
    """The observations of one run of the soak test."""

    installation: Installation
    callers: Callers
    spans: dict[TaskId, list[Span]]

    @classmethod
    def from_run(cls, installation: Installation, callers: Callers) -> "RunRecord":
        """Collect the runs on all workers."""
        spans: dict[TaskId, list[Span]] = {}
        for runner in installation.runners:
            worker = runner.worker
            worker.advance(runner.now)
            for moment, run, ended_s, end in pair_ends(worker.starts, worker.ends):
                span = Span(
                    worker.name,
                    runner.started_at + moment,
                    runner.started_at + ended_s,
                    end,
                )
                spans.setdefault(run.task, []).append(span)
        return cls(installation, callers, spans)

    @property
    def attempts(self) -> Iterator[tuple[SentJob, Attempt]]:
        """All attempts of callers, each with its job."""
        return ((job, item) for job in self.callers.jobs for item in job.attempts)

    def all_spans(self) -> Iterator[tuple[TaskId, Span]]:
        """Return all runs, each with its task."""
        return ((task, span) for task, spans in self.spans.items() for span in spans)

    def runs_of(self, job: SentJob) -> list[list[Span]]:
        """Return the runs of each of a job's tasks."""
        return [
            self.spans.get(TaskId(job.job_id, 0, 0, index), [])
            for index in range(job.tasks)
        ]


def pair_ends(
    starts: list[tuple[float, RunId]], ends: list[tuple[float, RunId, RunEnd]]
) -> Iterator[tuple[float, RunId, float, RunEnd | None]]:
    """Return each start with the first end of its run that follows it.

    A run starts twice under one number if its order is repeated and the worker restarts
    in between.
    """
    ends_by_run: dict[RunId, list[tuple[float, RunEnd]]] = {}
    for moment, run, end in ends:
        ends_by_run.setdefault(run, []).append((moment, end))
    for moment, run in starts:
        remaining = ends_by_run.get(run, [])
        ended_s, end = remaining.pop(0) if remaining else (float("inf"), None)
        yield moment, run, ended_s, end


Check = Callable[[RunRecord], Iterator[str]]
checks: dict[str, Check] = {}
timed_checks: dict[str, Check] = {}


def check(function: Check) -> Check:
    """Register a check without a time limit under the name of its function."""
    checks[function.__name__] = function
    return function


def timed_check(function: Check) -> Check:
    """Register a check with a time limit under the name of its function."""
    timed_checks[function.__name__] = function
    return function


def findings(record: RunRecord, registry: dict[str, Check]) -> list[str]:
    """Return the violations that the checks of a registry find."""
    return [f"{name}: {text}" for name, run in registry.items() for text in run(record)]


@check
def no_task_runs_twice_at_once(record: RunRecord) -> Iterator[str]:
    for task, spans in record.spans.items():
        ordered = sorted(spans, key=lambda span: span.began_at)
        for earlier, later in zip(ordered, ordered[1:], strict=False):
            if later.began_at < earlier.ended_at - 1e-6:
                overlap_s = earlier.ended_at - later.began_at
                yield (
                    f"{task.job_id}.{task.index} started on {later.worker} "
                    f"{overlap_s:.3f} s before its run on {earlier.worker} ended"
                )


@check
def no_worker_is_overfull(record: RunRecord) -> Iterator[str]:
    for runner in record.installation.runners:
        worker = runner.worker
        if worker.peak_cpu_milli > worker.capacity.cpu_milli:
            yield (
                f"{worker.name} used {worker.peak_cpu_milli} mCPU, "
                "more than its capacity"
            )


@check
def refused_jobs_never_start(record: RunRecord) -> Iterator[str]:
    for job in record.callers.jobs:
        outcomes = [attempt.outcome for attempt in job.attempts]
        sent = [outcome for outcome in outcomes if outcome != NOT_CONNECTED]
        if sent and all(outcome in NOT_RUN_STATUSES for outcome in sent):
            for span in chain.from_iterable(record.runs_of(job)):
                yield f"{job.job_id} was refused but started on {span.worker}"


@check
def answers_are_whole_and_true(record: RunRecord) -> Iterator[str]:
    for job, attempt in record.attempts:
        outcome = attempt.outcome
        if isinstance(outcome, int) and outcome not in ALLOWED_STATUSES:
            yield f"{job.job_id} got status {outcome} from {attempt.entry.name}"
        if outcome != 200:
            continue
        ends = [
            [span.end for span in spans if span.ended_at <= attempt.ended_at]
            for spans in record.runs_of(job)
        ]
        done = all(RunEnd.DONE in task for task in ends)
        failed = any(task.count(RunEnd.FAILED) >= MAX_ATTEMPTS for task in ends)
        if attempt.state not in ("done", "failed"):
            yield f"{job.job_id} was answered with state {attempt.state!r}"
        if attempt.state == "done" and not done:
            yield f"{job.job_id} was reported done, but its runs ended {ends}"
        if attempt.state == "failed" and not failed:
            yield f"{job.job_id} was reported failed, but its runs ended {ends}"


@timed_check
def entries_that_run_give_an_answer(record: RunRecord) -> Iterator[str]:
    for job, attempt in record.attempts:
        until = attempt.ended_at
        if attempt.outcome not in (TIMED_OUT, CONNECTION_LOST):
            continue
        entry, since = attempt.entry, attempt.sent_at - PAUSE_MARGIN_S
        if entry.was_disturbed(DISRUPTIVE_KINDS, since, until):
            continue
        is_lost = attempt.outcome == CONNECTION_LOST
        if is_lost and not entry.was_disturbed({"stopped"}, since, until):
            yield f"{job.job_id}: {entry.name} closed the connection"
        elif is_lost and until - attempt.sent_at > LOSS_MARGIN_S:
            yield f"{job.job_id}: planned stop of {entry.name} closed the connection"
        elif not is_lost:
            late_s = job.deadline_s + ANSWER_MARGIN_S
            yield f"{job.job_id}: no answer from {entry.name} within {late_s} s"


@timed_check
def planned_stops_end_in_time(record: RunRecord) -> Iterator[str]:
    for program in record.installation.programs:
        for code in program.unexpected_exits:
            yield (
                f"{program.name}: exit code {code} after a planned stop "
                f"with a grace period of {GRACE_S} s"
            )


@timed_check
def leaving_workers_get_nothing_new(record: RunRecord) -> Iterator[str]:
    for name, since, until in record.installation.leaving_periods:
        for task, spans in record.spans.items():
            for span in spans:
                if span.worker == name and since + MAX_DRAIN_S < span.began_at < until:
                    late_s = span.began_at - since
                    yield (
                        f"{task.job_id} started on {name} "
                        f"{late_s:.2f} s after it was reported leaving"
                    )


@timed_check
def evacuated_domains_get_nothing_new(record: RunRecord) -> Iterator[str]:
    installation = record.installation
    domains = {
        runner.worker.name: runner.worker.domain for runner in installation.runners
    }
    for domain, ordered_at, until in installation.evacuations:
        # No daemon can read an order from a store that answers none of them.
        outages = [
            ended_at
            for began_at, ended_at in installation.store_outages
            if began_at < ordered_at + EVACUATE_S and ended_at > ordered_at
        ]
        since = max([ordered_at, *outages]) + EVACUATE_S
        for task, span in record.all_spans():
            if domains[span.worker] == domain and since < span.began_at < until:
                late_s = span.began_at - ordered_at
                yield (
                    f"{task.job_id} started on {span.worker} {late_s:.2f} s after "
                    f"the evacuation of {domain}"
                )


@timed_check
def cancelled_jobs_start_nothing_late(record: RunRecord) -> Iterator[str]:
    """Check cancellations that were confirmed while only one fault acted."""
    for job in record.installation.cancelled_jobs:
        acting = {
            period.name
            for period in record.installation.fault_periods
            if period.began_at < job.ended_at and period.ended_at > job.began_at
        }
        if len(acting) > 1:
            continue
        for task, spans in record.spans.items():
            for span in spans:
                late_s = span.began_at - job.calm_at
                if task.job_id == job.job_id and late_s > MAX_CANCEL_S:
                    yield (
                        f"{task.job_id}, step {task.step}, started on {span.worker} "
                        f"{late_s:.2f} s after the disruption of its cancellation"
                    )


@check
def configurations_never_go_back(record: RunRecord) -> Iterator[str]:
    by_process: dict[tuple[str, int], list[Probe]] = {}
    for probe in record.callers.probes:
        by_process.setdefault((probe.entry.name, probe.pid), []).append(probe)
    for (name, _), probes in by_process.items():
        newest_shown, newest_shown_at = 0, 0.0
        for probe in sorted(probes, key=lambda item: item.sent_at):
            versions = [
                change.version
                for change in record.installation.changes
                if (probe.prefix in change.prefixes) == probe.known
            ]
            past_window = probe.sent_at > newest_shown_at + MAX_ROLLBACK_S
            if not versions or (past_window and max(versions) < newest_shown):
                yield f"{name} answered {probe.prefix} as before version {newest_shown}"
            elif versions and min(versions) > newest_shown:
                newest_shown, newest_shown_at = min(versions), probe.ended_at


@check
def no_unexpected_error_is_logged(record: RunRecord) -> Iterator[str]:
    for program in record.installation.programs:
        lines = program.log_path.read_text(errors="replace").splitlines()
        for number, line in enumerate(lines, 1):
            if "Traceback" in line or "unexpected error" in line:
                yield f"{program.name}, line {number} of its log: {line[:120]}"
                break
