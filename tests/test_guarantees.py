"""Proves the guarantees on the whole path, as separate processes, under faults.

Each fault is injected once under load; each check is a test on what was recorded.
"""

import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio
import pytest

from marigoldkeel.identifiers import mint_submission_id, partition_of
from marigoldkeel.models import Outcome
from marigoldkeel.sessions import AsyncSession
from tests.harness import System
from tests.load import Load, Recorder
from tests.processes import WAIT_LIMIT_S, Daemon, wait_until


# Answers that the load must get during and after a fault, so that a case never
# passes because nothing was sent.
ANSWERS_DURING = 60
ANSWERS_AFTER = 60
POLL_S = 0.2
WIDE_DEADLINE_S = 40.0


@dataclass
class Case:
    """A system under load and what a fault left to be checked."""

    system: System
    recorder: Recorder
    starts: list[dict] = field(default_factory=list)
    revisions: dict[str, list[int]] = field(default_factory=dict)
    changed_revision: int = 0
    revisions_at_end: set[int] = field(default_factory=set)
    stopped_at: float = 0.0
    stopped: Daemon | None = None
    exit_code: int | None = None
    starts_when_leaving: int = 0
    starts_after_leaving: int = 0

    def wait_for_answers(self, number: int = ANSWERS_DURING) -> None:
        """Wait until callers got further complete answers."""
        before = self.recorder.outcomes["complete"]
        wait_until(
            lambda: self.recorder.outcomes["complete"] >= before + number,
            f"{number} answers arrived",
        )

    def member(self, role: str) -> Daemon:
        """Return the agent that has a role in most partitions."""
        names = [record[role]["name"] for record in self.system.records().values()]
        return self.system.agent(max(sorted(set(names)), key=names.count))

    def wait_until_replaced(self, incarnation: str) -> None:
        wait_until(
            lambda: incarnation not in self.system.member_incarnations(),
            f"{incarnation} is no member",
        )


FAULTS = {}


def fault(function):
    """Register a fault under the name of its function."""
    FAULTS[function.__name__] = function
    return function


def kill_and_replace(case: Case, agent: Daemon) -> None:
    incarnation = agent.status()["member"]["incarnation"]
    agent.kill()
    case.wait_until_replaced(incarnation)
    case.wait_for_answers()
    case.system.launch(agent)


@fault
def primary_killed(case: Case) -> None:
    kill_and_replace(case, case.member("primary"))


@fault
def standby_killed(case: Case) -> None:
    kill_and_replace(case, case.member("standby"))


@fault
def agent_frozen(case: Case) -> None:
    agent = case.member("primary")
    incarnation = agent.status()["member"]["incarnation"]
    agent.freeze()
    case.wait_until_replaced(incarnation)
    case.wait_for_answers()
    agent.wake()


@fault
def store_down(case: Case) -> None:
    case.system.store_faults(down=True)
    case.wait_for_answers(3 * ANSWERS_DURING)
    case.system.store_faults(down=False)


@fault
def agent_stopped(case: Case) -> None:
    agent = case.member("primary")
    case.stopped, case.stopped_at = agent, time.time()
    case.exit_code = agent.stop()
    case.wait_for_answers()
    case.system.launch(agent)


@contextmanager
def polled_revisions(case: Case) -> Iterator[None]:
    """Record the configuration revision of every daemon until the end."""
    daemons = case.system.daemons
    polling = True

    def poll(daemon: Daemon) -> None:
        status = daemon.status()
        if status is not None:
            seen = case.revisions.setdefault(status["member"]["incarnation"], [])
            seen.append(status["config_revision"])

    async def poll_forever(daemon: Daemon) -> None:
        while polling:
            await anyio.to_thread.run_sync(poll, daemon)
            await anyio.sleep(POLL_S)

    futures = [
        case.system.portal.start_task_soon(poll_forever, daemon) for daemon in daemons
    ]
    try:
        yield
    finally:
        polling = False
        for future in futures:
            future.result()


def run_case(system: System, inject) -> Case:
    """Inject a fault under load and return what was recorded."""
    load = Load([entry.http for entry in system.entries])
    case = Case(system, load.recorder)
    running = system.portal.start_task_soon(load.run)
    try:
        with polled_revisions(case):
            case.wait_for_answers()
            inject(case)
            result = system.apply(
                lambda current: current.with_value(
                    "defaults.max_inflight_tasks",
                    str(current.defaults.max_inflight_tasks + 1),
                )
            )
            case.changed_revision = result.revision
            wait_until(
                lambda: system.revisions() == {result.revision},
                f"revision {result.revision} is in force everywhere",
            )
            system.wait_until_open()
            case.wait_for_answers(ANSWERS_AFTER)
            case.revisions_at_end = system.revisions()
    finally:
        load.stopping = True
        running.result()
    case.starts = system.starts()
    return case


class SharedSystem:
    """One running system for many cases, replaced when a case breaks it."""

    def __init__(self, directories):
        self.directories = directories
        self.cases: dict[str, Case] = {}
        self.system: System | None = None

    def get(self) -> System:
        if self.system is None:
            self.system = System(self.directories.mktemp("system"))
            self.system.__enter__()
            self.system.start()
        return self.system

    def case(self, name: str) -> Case:
        """Return the recorded case of a fault, which is injected only once."""
        if name not in self.cases:
            try:
                self.cases[name] = run_case(self.get(), FAULTS[name])
            except BaseException:
                self.close()
                raise
        return self.cases[name]

    def close(self) -> None:
        if self.system is not None:
            system, self.system = self.system, None
            system.close()


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    shared = SharedSystem(tmp_path_factory)
    yield shared
    shared.close()


@pytest.fixture(scope="module", params=FAULTS)
def case(request, shared):
    return shared.case(request.param)


def test_nothing_starts_twice(case):
    """Guards against a second start of a task of one submission."""
    violations = case.recorder.violations(case.starts)
    assert [text for text in violations if "started twice" in text] == []


def test_answers_are_whole_and_matched(case):
    """Guards against partial, foreign or second answers."""
    violations = case.recorder.violations(case.starts)
    assert [text for text in violations if "answer to" in text] == []
    assert case.recorder.outcomes["complete"] > ANSWERS_DURING + ANSWERS_AFTER


def test_not_run_never_started(case):
    """Guards against a start of work whose caller was told "not run"."""
    violations = case.recorder.violations(case.starts)
    assert [text for text in violations if "not run" in text] == []


def test_no_other_violation(case):
    """Guards against what the history check finds beyond the other checks."""
    assert case.recorder.violations(case.starts) == []


def test_requests_run_at_most_once(case):
    """Guards against a call that runs again under a fresh id."""
    assert case.recorder.repeated_requests(case.starts) == []


def test_configuration_never_reverts(case):
    """Guards against a daemon that reports a lower revision than before."""
    assert len(case.revisions) >= len(case.system.daemons)
    for revisions in case.revisions.values():
        assert revisions == sorted(revisions)


def test_configuration_is_in_force(case):
    """Guards against a daemon that misses a change made after the fault."""
    assert case.revisions_at_end == {case.changed_revision}


@pytest.mark.parametrize("case", ["agent_stopped"], indirect=True)
def test_planned_stop_cuts_nothing(case):
    """Guards against a request that was running at SIGTERM and did not complete.

    A request that had not started may be refused; to a resubmission the refusal
    is "unknown".
    """
    assert case.exit_code == 0
    assert "planned stop was not complete" not in case.stopped.log.read_text()
    recorder = case.recorder
    running = recorder.in_progress(case.stopped_at)
    assert running, "nothing was in progress, so the case shows nothing"
    started = {s["submission"] for s in case.starts if s["time_s"] < case.stopped_at}
    answers = recorder.answers()
    for attempt in running.keys() - recorder.abandoned:
        assert attempt in answers, f"attempt {attempt} has no answer"
        allowed = {Outcome.COMPLETE}
        if running[attempt] not in started:
            resubmitted = attempt in recorder.resubmitted
            allowed.add(Outcome.UNKNOWN if resubmitted else Outcome.NOT_RUN)
        assert answers[attempt].outcome in allowed, answers[attempt]


def run_wide_job(system: System, partition: int, tasks: int, work_ms: int):
    """Start a job in a partition; return its future and its submission id."""
    while True:
        submission_id = mint_submission_id()
        if partition_of(submission_id.bytes, system.partitions) == partition:
            break
    entries = [entry.http for entry in system.entries]

    async def submit() -> list:
        async with AsyncSession(entries, "brusadelli") as session:
            result = await session.submit(
                "cut-list",
                [{"work_ms": work_ms, "task": task} for task in range(tasks)],
                deadline_s=WIDE_DEADLINE_S,
                submission_id=submission_id,
                unanswered=0,
            )
        return [result["value"]["task"] for result in result.results]

    return system.portal.start_task_soon(submit), str(submission_id)


def test_wide_job_survives_stop_of_standby(shared):
    """Guards against tasks refused because the generation rose after the probe."""
    system = shared.get()
    system.wait_until_open()
    record = system.records()[0]
    generation = record["generation"]
    standby = system.agent(record["standby"]["name"])
    job, name = run_wide_job(system, 0, tasks=120, work_ms=500)

    def started() -> list[int]:
        return [s["index"] for s in system.starts() if s["submission"] == name]

    wait_until(lambda: len(started()) > 8, "the job runs")
    standby.signal(signal.SIGTERM)
    wait_until(
        lambda: system.records()[0]["generation"] > generation, "the standby changes"
    )
    assert not job.done(), "the job ended before the generation rose"
    assert job.result() == list(range(120))
    assert sorted(started()) == list(range(120))
    assert standby.popen.wait(WAIT_LIMIT_S) == 0
    system.launch(standby)
    system.wait_until_open()
