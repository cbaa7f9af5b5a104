"""Tests for the scheduler's decisions: placement, answers, refusals and time-outs."""

from collections import Counter
from math import ceil

import pytest

from marigoldkeel.fleet.admission import LATE_FACTOR, WAIT_SHARE
from marigoldkeel.fleet.cancelled import (
    CANCELLED_MEMORY_S,
    MAX_REMEMBERED_CANCELLATIONS,
)
from marigoldkeel.fleet.leases import MAX_ORDER_AGE_S
from marigoldkeel.fleet.links import TICK_INTERVAL_S
from marigoldkeel.fleet.messages import (
    RunEvent,
    RunEventKind,
    StartRuns,
    StopRuns,
    WorkerFacts,
    WorkerState,
)
from marigoldkeel.fleet.plans import Queue
from marigoldkeel.fleet.runs import StartOutcome
from marigoldkeel.fleet.schedulers import (
    MAX_PASS_S,
    MAX_RETRY_AFTER_S,
    MAX_TASKS_AT_ONCE,
    MAX_TICK_INTERVAL_S,
    RENUMBER_MS,
    WORKER_DISCOVERY_S,
    Scheduler,
)
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


CORE = Resources(1000, 64)
QUEUE = Queue("q", "host", "/q/", "service", 1, 3, 1.6, 0.06)
URGENT = Queue("u", "host", "/u/", "service", 0, 3, 1.6, 0.06)


class Entry:
    """A scheduler with workers; records the messages that it sends."""

    def __init__(
        self,
        cores: dict[str, int],
        labels: dict[str, list[str]] | None = None,
        **options,
    ):
        self.now = 10.0
        self.wall_ms = 1_000_000
        self.sequence = 0
        self.sent: list[tuple[str, StartRuns | StopRuns]] = []
        # The time of the facts behind each message, and how long sending one takes.
        self.facts_at: list[float] = []
        self.send_s = 0.0
        self.fleet = FleetView()
        self.scheduler = Scheduler(
            self.fleet,
            "a",
            self.send,
            lambda: self.now,
            lambda: self.wall_ms,
            seed=1,
            **options,
        )
        for name, count in cores.items():
            self.add(name, count, (labels or {}).get(name, []))
        self.answers: dict[str, JobAnswer] = {}

    def add(self, name: str, cores: int, labels=()) -> None:
        view = self.fleet.view(name)
        capacity = Resources(1000 * cores, 64_000)
        view.facts = WorkerFacts(name, 1, "service", "a", list(labels), capacity)
        view.connected = True
        view.update(WorkerState(0, capacity, True))

    def held_on_worker(self, worker: str) -> list[RunId]:
        return [item.run for item in self.scheduler.held_on(worker, self.now)]

    def send(self, worker, message, facts_at) -> int:
        self.facts_at.append(facts_at)
        self.now += self.send_s
        self.sent.append((worker, message))
        self.sequence += 1
        return self.sequence

    def submit(
        self, job_id="j", queue=QUEUE, steps=None, caller_timeout_s=30.0
    ) -> None:
        steps = steps or [Step(1, CORE, 0.1)]
        job = RepeatableJob(job_id, queue, "payload", steps, self.now, caller_timeout_s)

        def answer(result: JobAnswer) -> None:
            assert job_id not in self.answers, "answered twice"
            self.answers[job_id] = result

        self.scheduler.submit(job, answer)

    def state(self, worker: str, cores: int) -> None:
        """Report a worker's free capacity, with all orders acknowledged."""
        free = Resources(1000 * cores, 64_000)
        self.fleet.view(worker).update(WorkerState(self.sequence, free, True))
        self.scheduler.schedule()

    def starts(self) -> list[tuple[str, RunId]]:
        """Return the runs that were ordered since the last call."""
        runs = [
            (worker, run_id)
            for worker, message in self.sent
            if isinstance(message, StartRuns)
            for run_id in message.run_ids()
        ]
        self.sent = [item for item in self.sent if isinstance(item[1], StopRuns)]
        return runs

    def stops(self) -> list[RunId]:
        return [
            run
            for _, message in self.sent
            if isinstance(message, StopRuns)
            for run in message.runs
        ]

    def end(self, worker: str, run: RunId, end: RunEnd = RunEnd.DONE) -> None:
        event = RunEvent(run, RunEventKind.ENDED, end, run_ms=100)
        self.scheduler.handle_event(worker, event)
        self.scheduler.schedule()

    def refuse(self, worker: str, run: RunId, reason: str = "no room") -> None:
        event = RunEvent(run, RunEventKind.REFUSED, reason=reason)
        self.scheduler.handle_event(worker, event)

    def advance_time(self, seconds: float) -> None:
        """Let time pass with regular ticks."""
        ticks = ceil(seconds / TICK_INTERVAL_S)
        for _ in range(ticks):
            self.pause(seconds / ticks)

    def pause(self, seconds: float) -> None:
        """Let time pass without a tick until its end."""
        self.now += seconds
        self.wall_ms += round(seconds * 1000)
        self.scheduler.tick()


def test_job_is_done_when_all_its_tasks_are():
    entry = Entry({"w": 4})
    entry.submit(steps=[Step(2, CORE, 0.1)])
    (_, first), (_, second) = entry.starts()
    entry.end("w", first)
    assert entry.answers == {}
    entry.end("w", second)
    assert entry.answers["j"].state == JobState.DONE
    assert entry.scheduler.jobs == {}


def test_step_starts_when_the_steps_before_it_are_done():
    entry = Entry({"w": 4})
    entry.submit(steps=[Step(2, CORE, 0.1), Step(1, CORE, 0.1, after=[0])])
    (_, first), (_, second) = entry.starts()
    entry.end("w", first)
    assert entry.starts() == []
    entry.end("w", second)
    ((_, third),) = entry.starts()
    assert third.task.step == 1


def test_orders_reserve_capacity_until_the_agent_has_acknowledged_them():
    entry = Entry({"w": 2})
    for name in ("a", "b", "c"):
        entry.submit(name)
    (_, first), _ = entry.starts()
    view = entry.fleet.view("w")
    view.update(WorkerState(0, Resources(2000, 64_000), True))
    entry.scheduler.schedule()
    assert entry.starts() == []
    entry.end("w", first)
    assert len(entry.starts()) == 1


def test_capacity_of_an_ended_run_is_used_before_the_next_state():
    entry = Entry({"w": 1})
    entry.submit("a")
    entry.submit("b")
    ((_, first),) = entry.starts()
    entry.state("w", 0)
    entry.end("w", first)
    assert len(entry.starts()) == 1


@pytest.mark.parametrize(
    "end, attempts",
    [(RunEnd.FAILED, 3), (RunEnd.LAPSED, None), (RunEnd.STALLED, None)],
)
def test_only_failed_runs_count_as_attempts(end, attempts):
    entry = Entry({"w": 8})
    entry.submit()
    for _ in range(attempts or 8):
        ((_, run),) = entry.starts()
        entry.end("w", run, end)
    answered = entry.answers.get("j")
    assert (answered and answered.state) == (JobState.FAILED if attempts else None)


def test_requeued_runs_are_counted_by_cause():
    entry = Entry({"w": 4})
    entry.submit(steps=[Step(4, CORE, 0.1)])
    first, second, third, _ = (run for _, run in entry.starts())
    entry.end("w", first, RunEnd.LAPSED)
    entry.end("w", second, RunEnd.DONE)
    entry.refuse("w", third)
    entry.scheduler.handle_worker_lost("w", "agent not reachable")
    causes = {"lapsed": 1, "refused": 1, "agent not reachable": 2}
    assert entry.scheduler.requeued == causes


def test_run_numbers_increase_from_owner_to_owner():
    # A worker refuses the runs of a second owner as outdated if their numbers start at
    # 1 again.
    first, second = Entry({"w": 4}), Entry({"w": 4})
    first.submit()
    second.advance_time(1.3)
    second.submit()
    ((_, early),), ((_, late),) = first.starts(), second.starts()
    assert late.number > early.number


def test_runs_get_higher_numbers_after_a_worker_found_them_outdated():
    entry = Entry({"w": 4})
    entry.submit()
    ((_, first),) = entry.starts()
    entry.refuse("w", first, StartOutcome.OUTDATED)
    entry.advance_time(0.05)
    ((_, second),) = entry.starts()
    assert second.number >= first.number + RENUMBER_MS


class TestRefusals:
    """Tests that NOT_RUN is answered in time, and only if no task has run."""

    def test_job_that_cannot_end_in_time_is_refused_at_once(self):
        entry = Entry({"w": 1})
        entry.submit("a", steps=[Step(1, CORE, 10.0)])
        entry.state("w", 0)
        for number in range(9):
            entry.submit(str(number), steps=[Step(1, CORE, 1.0)])
        entry.advance_time(0.01)
        refused = list(entry.answers)
        assert "a" not in refused and len(refused) >= 4
        assert all(entry.answers[name].retry_after_s > 0 for name in refused)

    def test_retry_after_follows_the_order_of_the_queue(self):
        entry = Entry({"w": 1})
        entry.submit("a", steps=[Step(1, CORE, 10.0)])
        entry.state("w", 0)
        for number in range(30):
            entry.submit(f"{number:02}", steps=[Step(1, CORE, 1.0)])
        entry.advance_time(0.01)
        answers = [entry.answers[name] for name in sorted(entry.answers)]
        waits_s = [answer.retry_after_s for answer in answers]
        assert waits_s == sorted(waits_s)
        assert waits_s[0] < 6.0 < waits_s[-1] == MAX_RETRY_AFTER_S

    def test_job_without_capacity_is_refused_within_a_quarter_of_its_objective(self):
        entry = Entry({"w": 1})
        entry.submit("a", steps=[Step(1, CORE, 10.0)])
        entry.state("w", 0)
        entry.submit("b", steps=[Step(1, CORE, 1.0)])
        assert entry.answers == {}
        entry.advance_time(WAIT_SHARE * (1.6 * 1.0 + 0.06) + 0.05)
        assert entry.answers["b"].state == JobState.NOT_RUN

    def test_jobs_wait_while_a_restarted_entry_discovers_its_workers(self):
        # After a power failure an entry refused every job during the third of a second
        # until its agents had reconnected.
        entry = Entry({})
        entry.submit("long", steps=[Step(1, CORE, 1.0)])
        entry.advance_time(0.4)
        assert entry.answers == {}
        entry.add("w", 4)
        entry.scheduler.schedule()
        assert len(entry.starts()) == 1

    @pytest.mark.parametrize("abandoned", [False, True])
    def test_resubmitted_job_that_still_runs_is_not_answered_not_run(self, abandoned):
        entry = Entry({"w": 4})
        entry.submit()
        first = entry.scheduler.jobs["j"]
        if abandoned:
            entry.scheduler.abandon(first, "left")
            entry.answers.clear()
        answers = []
        assert entry.scheduler.submit(first.job, answers.append) is None
        assert [answer.state for answer in answers] == [JobState.UNKNOWN]

    def test_job_with_an_unacknowledged_run_is_not_refused(self):
        entry = Entry({"w": 1})
        entry.submit(steps=[Step(2, CORE, 0.1)])
        ((_, run),) = entry.starts()
        entry.state("w", 0)
        entry.advance_time(5.0)
        assert entry.answers == {}
        entry.refuse("w", run)
        entry.state("w", 0)
        entry.advance_time(0.01)
        assert entry.answers["j"].state == JobState.NOT_RUN

    @pytest.mark.parametrize("end", [RunEnd.FAILED, RunEnd.LAPSED, RunEnd.STOPPED])
    def test_job_with_a_run_that_has_ended_is_not_refused(self, end):
        entry = Entry({"w": 1})
        entry.submit()
        ((_, run),) = entry.starts()
        entry.state("w", 0)
        entry.end("w", run, end)
        entry.advance_time(5.0)
        assert entry.answers == {}

    def test_job_of_a_lost_worker_is_not_refused(self):
        entry = Entry({"w": 1})
        entry.submit()
        entry.fleet.view("w").disconnect()
        entry.scheduler.handle_worker_lost("w", "gone")
        entry.advance_time(5.0)
        assert entry.answers == {}

    @pytest.mark.parametrize(
        "step, reason",
        [
            (Step(1, Resources(9000, 64), 0.1), "large enough"),
            (Step(1, CORE, 0.1, label="gpu"), "large enough"),
        ],
    )
    def test_job_that_fits_nowhere_is_refused_at_once(self, step, reason):
        entry = Entry({"w": 4})
        entry.submit(steps=[step])
        assert entry.answers["j"].state == JobState.NOT_RUN
        assert reason in entry.answers["j"].reason

    def test_job_is_refused_at_once_while_no_worker_is_reachable(self):
        entry = Entry({})
        entry.advance_time(WORKER_DISCOVERY_S + 0.1)
        entry.submit()
        assert entry.answers["j"].state == JobState.NOT_RUN

    def test_workers_of_another_service_do_not_delay_the_refusal(self):
        entry = Entry({"w": 4})
        unserved = Queue("other", "host", "/o/", "other-service", 1, 3, 1.6, 0.06)
        for number in range(4):
            entry.advance_time(WORKER_DISCOVERY_S / 2)
            entry.submit(str(number))
        entry.submit("unserved", unserved)
        assert entry.answers["unserved"].state == JobState.NOT_RUN


def test_started_jobs_go_first_and_urgent_ones_next():
    entry = Entry({"w": 1})
    entry.submit("started", steps=[Step(2, CORE, 1.0)])
    entry.submit("normal", steps=[Step(1, CORE, 1.0)])
    entry.submit("urgent", URGENT, steps=[Step(1, CORE, 1.0)])
    order = []
    for _ in range(4):
        ((_, run),) = entry.starts()
        order.append(run.task.job_id)
        entry.state("w", 0)
        entry.end("w", run)
    assert order == ["started", "started", "urgent", "normal"]


def test_runs_of_an_abandoned_job_are_stopped():
    entry = Entry({"w": 4})
    entry.submit(steps=[Step(2, CORE, 0.1)])
    runs = [run for _, run in entry.starts()]
    entry.scheduler.abandon(entry.scheduler.jobs["j"], "left")
    assert entry.stops() == runs
    assert entry.held_on_worker("w") == runs
    assert [order.runs for order in entry.scheduler.stop_orders("w", entry.now)] == [
        runs
    ]
    for run in runs:
        entry.end("w", run, RunEnd.STOPPED)
    assert entry.scheduler.jobs == {}


def test_job_past_its_caller_timeout_is_answered_and_stopped():
    entry = Entry({"w": 4})
    entry.submit(caller_timeout_s=1.0)
    ((_, run),) = entry.starts()
    entry.advance_time(2.0)
    assert entry.answers["j"].state == JobState.UNKNOWN
    assert entry.stops() == [run]


def test_cancelled_job_is_answered_once_and_unknown_after():
    entry = Entry({"w": 4})
    entry.submit()
    assert entry.scheduler.cancel("j")
    assert entry.answers["j"].state == JobState.CANCELLED
    assert not entry.scheduler.cancel("j")


def test_finished_tasks_are_not_reported_as_held():
    # An owner that reconnected when some tasks of a job were already done raised an
    # error.
    entry = Entry({"w": 4})
    entry.submit(steps=[Step(2, CORE, 0.1)])
    (_, first), (_, second) = entry.starts()
    entry.end("w", first)
    assert entry.held_on_worker("w") == [second]
    assert entry.scheduler.stop_orders("w", entry.now) == []


def test_events_of_earlier_runs_change_nothing():
    entry = Entry({"w": 4})
    entry.submit()
    ((_, old),) = entry.starts()
    entry.end("w", old, RunEnd.LAPSED)
    ((_, new),) = entry.starts()
    entry.end("w", old, RunEnd.DONE)
    assert entry.answers == {}
    entry.end("w", new)
    assert entry.answers["j"].state == JobState.DONE


def test_late_factor_is_the_agreed_value():
    assert LATE_FACTOR == 3.0


@pytest.mark.parametrize(
    ("since_s", "state"),
    [
        (0.0, JobState.CANCELLED),
        (3.0, JobState.CANCELLED),
        (CANCELLED_MEMORY_S - 1.0, JobState.CANCELLED),
        (CANCELLED_MEMORY_S + 1.0, None),
    ],
)
def test_job_that_arrives_after_its_cancellation_does_not_start(since_s, state):
    # Guards against a cancelled job that ran from its first step to its last: the
    # cancellation had reached its entry before the job.
    entry = Entry({"w": 4})
    assert not entry.scheduler.cancel("j")
    entry.advance_time(since_s)
    entry.submit("j")
    assert len(entry.starts()) == (state is None)
    assert [answer.state for answer in entry.answers.values()] == [state] * (
        state is not None
    )


def test_cancelled_job_does_not_start_when_it_is_submitted_again():
    entry = Entry({"w": 4})
    entry.submit("j")
    ((worker, run),) = entry.starts()
    assert entry.scheduler.cancel("j")
    entry.end(worker, run, RunEnd.STOPPED)
    entry.answers.clear()
    entry.submit("j")
    assert entry.starts() == []
    assert entry.answers["j"].state == JobState.CANCELLED


def test_remembered_cancellations_are_limited_in_number_and_age():
    entry = Entry({"w": 4})
    for number in range(MAX_REMEMBERED_CANCELLATIONS + 5):
        entry.scheduler.cancel(str(number))
    assert (
        len(entry.scheduler.cancelled_ids.cancelled_at) == MAX_REMEMBERED_CANCELLATIONS
    )
    entry.now += CANCELLED_MEMORY_S + 1.0
    entry.scheduler.cancel("last")
    assert list(entry.scheduler.cancelled_ids.cancelled_at) == ["last"]


PAUSED_S = MAX_TICK_INTERVAL_S + 1.0


def make_waiting_entry(caller_timeout_s: float = 8.0) -> tuple[Entry, RunId]:
    """Return an entry with a job that runs and one that waits for its capacity."""
    entry = Entry({"w": 1})
    entry.submit("a" * 16, caller_timeout_s=caller_timeout_s)
    entry.submit("b" * 16, caller_timeout_s=caller_timeout_s)
    ((_, run),) = entry.starts()
    return entry, run


@pytest.mark.parametrize("event", ["end", "state", "submit"])
def test_entry_that_resumes_starts_nothing_for_a_caller_that_has_left(event):
    # Guards against a task that ran twice: the caller left during a pause of the entry
    # and submitted the job elsewhere, and a message of an agent was handled before the
    # disconnect.
    entry, run = make_waiting_entry()
    entry.now += PAUSED_S
    if event == "end":
        entry.end("w", run)
    elif event == "state":
        entry.state("w", 1)
    else:
        entry.add("w-2", 4)
        entry.submit("c" * 16)
    assert entry.starts() == []
    entry.advance_time(0.01)
    assert entry.starts() == []
    for job_id in list(entry.scheduler.jobs):
        entry.scheduler.abandon(entry.scheduler.jobs[job_id], "the caller has left")
    entry.state("w", 1)
    entry.advance_time(1.0)
    assert entry.starts() == []


def test_callers_that_stayed_during_a_pause_are_served_at_the_next_tick():
    entry, run = make_waiting_entry()
    entry.now += PAUSED_S
    entry.end("w", run)
    entry.pause(0.0)
    assert entry.starts() == []
    entry.pause(TICK_INTERVAL_S)
    ((_, run),) = entry.starts()
    assert run.task.job_id == "b" * 16


def test_jobs_are_not_refused_by_the_forecast_of_an_entry_that_resumes():
    entry, _ = make_waiting_entry()
    entry.pause(PAUSED_S)
    assert entry.answers == {}


def test_no_task_starts_after_its_caller_has_timed_out():
    # Guards against a task that ran twice: it started between the caller's time-out and
    # the tick that stopped it, while the caller's next attempt ran elsewhere.
    entry, run = make_waiting_entry(caller_timeout_s=0.2)
    entry.now += 0.21
    entry.end("w", run)
    assert entry.starts() == []


def test_held_job_starts_when_it_is_released():
    entry = Entry({"w": 4})
    job = RepeatableJob("j", QUEUE, "", [Step(1, CORE, 0.1)], entry.now, 30.0)
    owned = entry.scheduler.submit(job, lambda result: None, held=True)
    entry.advance_time(0.01)
    entry.state("w", 4)
    assert entry.starts() == []
    entry.scheduler.release(owned)
    assert len(entry.starts()) == 1


@pytest.mark.parametrize("steps", [1, 20])
def test_orders_of_a_pass_with_a_pause_carry_the_time_before_it(steps):
    # Guards against tasks that ran twice (review/11): an entry that was paused within a
    # pass stated anew at each order when it was sent and how long its caller waits.
    entry = Entry({f"w{number}": 8 for number in range(4)})
    began_at, wall_ms = entry.now, entry.wall_ms
    entry.send_s = 3.6
    entry.submit(steps=[Step(20 // steps, CORE, 0.1)] * steps, caller_timeout_s=1.5)
    orders = [message for _, message in entry.sent]
    assert orders
    assert set(entry.facts_at) == {began_at}
    assert {order.caller_waits_ms for order in orders} == {1500}
    numbers = [item.number for order in orders for item in order.runs]
    assert numbers == list(range(wall_ms, wall_ms + len(numbers)))
    # What is left waits until the entry has noticed the pause.
    entry.send_s = 0.0
    sent = len(entry.sent)
    entry.scheduler.schedule()
    entry.scheduler.tick()
    assert [type(message) for _, message in entry.sent[sent:]].count(StartRuns) == 0


def test_long_pass_ends_early_and_is_continued():
    entry = Entry({f"w{number}": 64 for number in range(4)})
    continued = []
    entry.scheduler.continue_soon = lambda: continued.append(entry.now)
    entry.send_s = MAX_PASS_S / 4
    steps = [Step(1, CORE, 0.1) for _ in range(60)]
    entry.submit(steps=steps)
    began_at = entry.now
    while entry.scheduler.is_interrupted:
        assert len(continued) < len(steps)
        entry.scheduler.schedule()
    assert len(entry.starts()) == len(steps)
    assert continued
    # The orders of each pass carry the time at which it began.
    assert len(set(entry.facts_at)) == len(continued) + 1
    assert began_at <= max(entry.facts_at) <= entry.now
    assert entry.answers == {}


def test_jobs_that_an_interrupted_pass_has_not_seen_are_not_refused():
    entry = Entry({"w": 1})
    entry.submit("first")
    for number in range(20):
        entry.submit(f"job {number}", caller_timeout_s=60.0)
    entry.state("w", 0)
    entry.end("w", entry.starts()[0][1])
    for number in range(4):
        entry.add(f"new {number}", 8)
    entry.send_s = 2 * MAX_PASS_S
    entry.scheduler.tick()
    assert entry.scheduler.is_interrupted
    assert {answer.state for answer in entry.answers.values()} <= {JobState.DONE}


def test_pause_within_a_tick_refuses_no_job():
    entry = Entry({"w": 1})
    entry.submit("first", steps=[Step(1, CORE, 1.0)])
    entry.submit("second", steps=[Step(1, CORE, 1.0)])
    readings = iter([entry.now + 0.05])

    def clock() -> float:
        entry.now = next(readings, began_at + 3.6)
        return entry.now

    began_at = entry.now
    entry.scheduler.clock = clock
    entry.scheduler.tick()
    assert entry.answers == {}


def test_entry_that_resumes_refuses_no_job_for_lack_of_connections():
    # Its connections are replaced within tenths of a second; the caller can be served.
    entry = Entry({"w": 1})
    entry.submit("first")
    entry.now += 3.6
    entry.fleet.view("w").disconnect()
    entry.submit("before the tick")
    entry.scheduler.tick()
    entry.submit("after the tick")
    assert entry.answers == {}
    for _ in range(ceil(WORKER_DISCOVERY_S / TICK_INTERVAL_S) + 1):
        entry.now += TICK_INTERVAL_S
        entry.scheduler.tick()
    entry.submit("without workers")
    assert entry.answers["without workers"].state == JobState.NOT_RUN


def test_wide_step_is_placed_in_several_passes_without_refused_orders():
    # The orders of a pass carry the time at which it began: placing 3,000 tasks at once
    # took longer than the age at which agents refuse an order.
    entry = Entry({f"w{number}": 200 for number in range(4)})
    entry.send_s = MAX_ORDER_AGE_S / 4
    entry.submit(steps=[Step(600, Resources(1000, 1), 0.1)])
    while entry.scheduler.is_interrupted:
        entry.scheduler.schedule()
    counts = Counter()
    for facts_at, (_, message) in zip(entry.facts_at, entry.sent, strict=True):
        counts[facts_at] += len(message.runs)
    assert sum(counts.values()) == 600
    assert max(counts.values()) <= MAX_TASKS_AT_ONCE
    assert entry.answers == {}
