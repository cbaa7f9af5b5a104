"""Tests the guarantees on a complete system of separate processes, under faults.

Each fault is injected once under load. Each test checks the recorded history.
"""

import os
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio
import pytest

from marigoldkeel.exceptions import JobFailed
from marigoldkeel.identifiers import mint_submission_id, partition_of
from marigoldkeel.models import Outcome
from marigoldkeel.sessions import AsyncSession
from tests.harness import System
from tests.load import Load, Recorder
from tests.processes import WAIT_TIMEOUT_S, DaemonProcess, wait_until


# Answers that the load must get during and after a fault, so that a case cannot pass
# because nothing was sent.
ANSWERS_DURING = 60
ANSWERS_AFTER = 60
POLL_S = 0.2
# Shorter than the timeout of a store call, so that slow calls still succeed.
STORE_DELAY_S = 0.8
# Fewer than the partitions of one agent, so that only some swaps lose their answer.
LOST_ANSWERS = 3
LONG_TASK_MS = 6000
WIDE_DEADLINE_S = 40.0


@dataclass
class Case:
    """A system under load and what was recorded during a fault."""

    system: System
    recorder: Recorder
    starts: list[dict] = field(default_factory=list)
    revisions: dict[str, list[int]] = field(default_factory=dict)
    changed_revision: int = 0
    revisions_at_end: set[int] = field(default_factory=set)
    stopped_at: float = 0.0
    stopped: DaemonProcess | None = None
    exit_code: int | None = None
    starts_when_leaving: int = 0
    starts_after_leaving: int = 0

    def wait_for_answers(self, number: int = ANSWERS_DURING) -> None:
        """Wait until callers have received further complete answers."""
        before = self.recorder.outcomes["complete"]
        wait_until(
            lambda: self.recorder.outcomes["complete"] >= before + number,
            f"{number} answers arrived",
        )

    def member(self, role: str) -> DaemonProcess:
        """Return the agent that has a role in the most partitions."""
        names = [record[role]["name"] for record in self.system.records().values()]
        return self.system.agent(max(sorted(set(names)), key=names.count))

    def wait_until_replaced(self, incarnation: str) -> None:
        wait_until(
            lambda: incarnation not in self.system.member_incarnations(),
            f"{incarnation} is no member",
        )


def resubmit(system: System, submission_id: str, tasks: int, work_ms: int):
    """Resubmit a wide job under its id and return the error with which it ends."""

    async def submit() -> None:
        entry = system.entries[1].http
        async with AsyncSession(entry, "brusadelli") as session:
            await session.submit(
                "cut-list",
                [{"work_ms": work_ms, "task": task} for task in range(tasks)],
                deadline_s=WIDE_DEADLINE_S,
                submission_id=submission_id,
            )

    return system.portal.start_task_soon(submit).exception()


def run_wide_job(
    system: System,
    partition: int,
    tasks: int,
    work_ms: int,
    deadline_s: float = WIDE_DEADLINE_S,
):
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
                deadline_s=deadline_s,
                submission_id=submission_id,
                unanswered=0,
            )
        return [result["value"]["task"] for result in result.results]

    return system.portal.start_task_soon(submit), str(submission_id)


FAULTS = {}


def fault(function):
    """Register a fault under the name of its function."""
    FAULTS[function.__name__] = function
    return function


def kill_and_replace(case: Case, agent: DaemonProcess) -> None:
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
def agent_paused(case: Case) -> None:
    agent = case.member("primary")
    incarnation = agent.status()["member"]["incarnation"]
    agent.pause()
    case.wait_until_replaced(incarnation)
    case.wait_for_answers()
    agent.resume()


@fault
def link_cut_one_way(case: Case) -> None:
    # Claims and submissions sent to this agent are held back, while its own heartbeats
    # and claims still arrive. They are delivered late, when the link is restored.
    forwarder = case.system.forwarders["agent-3"]
    incarnation = case.system.agent("agent-3").status()["member"]["incarnation"]
    case.system.portal.call(forwarder.block, "towards")
    case.wait_until_replaced(incarnation)
    case.wait_for_answers()
    case.system.portal.call(forwarder.restore)


@fault
def store_down(case: Case) -> None:
    case.system.store_faults(down=True)
    case.wait_for_answers(3 * ANSWERS_DURING)
    case.system.store_faults(down=False)


@fault
def store_slow(case: Case) -> None:
    case.system.store_faults(delay_s=STORE_DELAY_S)
    kill_and_replace(case, case.member("standby"))
    case.system.store_faults(delay_s=0)


@fault
def store_answers_lost(case: Case) -> None:
    case.system.store_faults(lose_write_answers=LOST_ANSWERS)
    kill_and_replace(case, case.member("primary"))
    case.system.store_faults(lose_write_answers=0)


@fault
def store_down_and_agent_killed(case: Case) -> None:
    case.system.store_faults(down=True)
    agent = case.member("primary")
    incarnation = agent.status()["member"]["incarnation"]
    agent.kill()
    case.wait_for_answers()
    assert incarnation in case.system.member_incarnations()
    case.system.store_faults(down=False)
    case.wait_until_replaced(incarnation)
    case.system.launch(agent)


@fault
def host_replaced(case: Case) -> None:
    system, old = case.system, case.member("primary")
    number = system.agents.index(old)
    incarnation = old.status()["member"]["incarnation"]
    old.kill()
    system.remove_agent(old)
    system.add_agent(f"{old.name}-new", number)
    case.wait_until_replaced(incarnation)


@fault
def target_leaving(case: Case) -> None:
    # Keeps the runner running while the test checks that it gets no new tasks.
    long_job, name = run_wide_job(case.system, 0, tasks=16, work_ms=LONG_TASK_MS)
    runner_name = wait_until(
        lambda: [
            start["runner"]
            for start in case.system.starts()
            if start["submission"] == name
        ],
        "a runner has a long task",
    )[0]
    agent = case.system.agent(runner_name.removeprefix("runner-"))
    runner = case.system.runners[agent.name]
    runner.signal(signal.SIGTERM)
    wait_until(
        lambda: any(target["leaving"] for target in agent.status()["targets"]),
        "the agent knows that its target is leaving",
    )
    case.wait_for_answers()
    case.starts_when_leaving = case.system.starts_at(runner)
    case.wait_for_answers()
    case.starts_after_leaving = case.system.starts_at(runner)
    assert runner.alive, "the runner ended before the check"
    assert len(long_job.result()) == 16
    assert runner.popen.wait(WAIT_TIMEOUT_S) == 0
    case.system.launch(runner)


@fault
def target_silent(case: Case) -> None:
    agent = case.system.agents[0]
    runner = case.system.runners[agent.name]
    runner.pause()
    wait_until(lambda: not agent.status()["slots"], "the agent counts no free slot")
    case.wait_for_answers()
    case.starts_when_leaving = case.system.starts_at(runner)
    case.wait_for_answers()
    case.starts_after_leaving = case.system.starts_at(runner)
    runner.resume()


@fault
def entry_stopped(case: Case) -> None:
    entry = case.system.entries[0]
    case.stopped, case.stopped_at = entry, time.time()
    case.exit_code = entry.stop()
    case.wait_for_answers()
    case.system.launch(entry)


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

    def poll(daemon: DaemonProcess) -> None:
        status = daemon.status()
        if status is not None:
            seen = case.revisions.setdefault(status["member"]["incarnation"], [])
            seen.append(status["config_revision"])

    async def poll_forever(daemon: DaemonProcess) -> None:
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
    seed = int(os.environ.get("MARIGOLDKEEL_SEED", "1"))
    load = Load([entry.http for entry in system.entries], seed)
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
        self.cases: dict[str, Case | Exception] = {}
        self.system: System | None = None

    def get(self) -> System:
        if self.system is None:
            self.system = System(self.directories.mktemp("system"))
            self.system.__enter__()
            self.system.start(forwarded=3)
        return self.system

    def case(self, name: str) -> Case:
        """Return the recorded case of a fault, which is injected only once."""
        if name not in self.cases:
            try:
                self.cases[name] = run_case(self.get(), FAULTS[name])
            except Exception as error:
                # The other checks of this fault fail too, without repeating it.
                self.cases[name] = error
                self.close()
        if isinstance(self.cases[name], Exception):
            raise self.cases[name]
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


@pytest.fixture
def system(shared):
    system = shared.get()
    yield system
    if not system.is_open():
        shared.close()


def test_nothing_starts_twice(case):
    """Guards against a second start of a task of one submission."""
    violations = case.recorder.violations(case.starts)
    assert [text for text in violations if "started twice" in text] == []


def test_answers_are_whole_and_matched(case):
    """Guards against partial and second answers and those to another request."""
    violations = case.recorder.violations(case.starts)
    assert [text for text in violations if "answer to" in text] == []
    assert case.recorder.outcomes["complete"] > ANSWERS_DURING + ANSWERS_AFTER


def test_not_run_never_started(case):
    """Guards against a start of work that was answered with "not run"."""
    violations = case.recorder.violations(case.starts)
    assert [text for text in violations if "not run" in text] == []


def test_no_other_violation(case):
    """Guards against violations that the other tests do not select."""
    assert case.recorder.violations(case.starts) == []


def test_requests_run_at_most_once(case):
    """Guards against a call that runs again under a new id."""
    assert case.recorder.repeated_requests(case.starts) == []


def test_configuration_never_reverts(case):
    """Guards against a daemon that reports a lower revision than before."""
    assert len(case.revisions) >= len(case.system.daemons)
    for revisions in case.revisions.values():
        assert revisions == sorted(revisions)


def test_configuration_is_in_force(case):
    """Guards against a daemon that misses a change made after the fault."""
    assert case.revisions_at_end == {case.changed_revision}


@pytest.mark.parametrize("case", ["target_leaving", "target_silent"], indirect=True)
def test_target_gets_nothing_new(case):
    """Guards against starts at a target that is leaving or no longer answers."""
    assert case.starts_after_leaving == case.starts_when_leaving


@pytest.mark.parametrize("case", ["agent_stopped", "entry_stopped"], indirect=True)
def test_planned_stop_cuts_nothing(case):
    """Guards against a request in progress at SIGTERM that is not completed.

    A request that had not started may be refused; a resubmission is then answered with
    "unknown".
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


def test_wide_job_survives_stop_of_standby(system):
    """Guards against tasks refused because the generation rose after the probe."""
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
    assert standby.popen.wait(WAIT_TIMEOUT_S) == 0
    system.launch(standby)
    system.wait_until_open()


def test_slots_are_free_after_loss_of_primary(system):
    """Guards against slots held for a lost primary until the job's deadline."""
    system.wait_until_open()
    primary = system.agent(system.records()[0]["primary"]["name"])
    others = [agent for agent in system.agents if agent is not primary]
    deadline_s = 4 * WAIT_TIMEOUT_S
    job, name = run_wide_job(system, 0, 150, work_ms=500, deadline_s=deadline_s)
    wait_until(
        lambda: job.done() or any(agent.status()["running_tasks"] for agent in others),
        "another agent runs tasks of the job",
    )
    assert not job.done(), job.exception()
    primary.kill()
    wait_until(
        lambda: not any(agent.status()["running_tasks"] for agent in others),
        "no slot is held for the lost primary",
    )
    assert isinstance(job.exception(), JobFailed)
    indexes = [s["index"] for s in system.starts() if s["submission"] == name]
    assert len(indexes) == len(set(indexes)) < 150
    system.launch(primary)
    system.wait_until_open()


def started_at(system: System, name: str) -> list[tuple[int, str]]:
    """Return the tasks of a submission that started, and the runner of each."""
    starts = [start for start in system.starts() if start["submission"] == name]
    return [(start["index"], start["runner"]) for start in starts]


def test_paused_primary_starts_nothing_after_its_replacement(system):
    """Guards against grants by a primary that was replaced while it was paused.

    It is paused while it grants tasks, so requests for more tasks are queued at it and
    are answered before it learns of its replacement.
    """
    system.wait_until_open()
    primary = system.agent(system.records()[0]["primary"]["name"])
    others = [agent for agent in system.agents if agent is not primary]
    own_runner = f"runner-{primary.name}"
    generation = system.records()[0]["generation"]
    job, name = run_wide_job(system, 0, tasks=150, work_ms=300)
    wait_until(lambda: len(started_at(system, name)) > 8, "the job runs")
    primary.pause()
    wait_until(
        lambda: all(
            agent.status()["partitions"][0]["generation"] > generation
            for agent in others
        ),
        "every other agent knows the new generation",
    )
    before = started_at(system, name)
    assert len(before) < 150, "all tasks had started before the check"
    primary.resume()
    error = resubmit(system, name, tasks=150, work_ms=300)
    assert isinstance(error, JobFailed)
    assert error.may_have_run == list(range(150))
    wait_until(
        lambda: not any(agent.status()["running_tasks"] for agent in system.agents),
        "no agent runs a task of the job",
    )
    after = started_at(system, name)
    assert len({index for index, _ in after}) == len(after)
    assert [at for at in after if at[1] != own_runner] == [
        at for at in before if at[1] != own_runner
    ]
    system.wait_until_open()


def test_paused_agent_starts_only_what_was_reported(system):
    """Guards against starts that the answer of the failed job does not list.

    The agent is paused with granted tasks and resumes after the job has failed.
    """
    system.wait_until_open()
    primary = system.records()[0]["primary"]["name"]
    holder = next(agent for agent in system.agents if agent.name != primary)
    job, name = run_wide_job(system, 0, tasks=150, work_ms=300)
    wait_until(
        lambda: (
            f"runner-{holder.name}" in dict(map(reversed, started_at(system, name)))
        ),
        "the agent runs tasks of the job",
    )
    holder.pause()
    error = job.exception()
    assert isinstance(error, JobFailed)
    holder.resume()
    wait_until(
        lambda: not any(agent.status()["running_tasks"] for agent in system.agents),
        "all tasks have ended",
    )
    system.wait_until_open()
    indexes = [index for index, _ in started_at(system, name)]
    assert len(indexes) == len(set(indexes))
    assert set(indexes) <= {*error.ran, *error.may_have_run}


def test_configuration_during_outage(system):
    """Guards against daemons that miss or revert a change while the store is down.

    The change is made while one agent is paused. Then the store goes down, and another
    agent and an entry are restarted.
    """
    system.wait_until_open()
    paused, restarted = system.agents[0], system.agents[1]
    case = Case(system, Recorder())
    with polled_revisions(case):
        paused.pause()
        revision = system.apply(
            lambda current: current.with_value("defaults.ageing_ms", "2001")
        ).revision
        system.store_faults(down=True)
        paused.resume()
        wait_until(lambda: system.revisions() == {revision}, "the change is in force")
        for daemon in (restarted, system.entries[1]):
            daemon.kill()
            system.launch(daemon)
            wait_until(
                lambda: system.revisions() == {revision},
                f"{daemon.name} has the revision from its peers",
            )
        system.store_faults(down=False)
        system.wait_until_open()
    assert system.revisions() == {revision}
    assert len(case.revisions) >= len(system.daemons) + 2
    for revisions in case.revisions.values():
        assert revisions == sorted(revisions)
