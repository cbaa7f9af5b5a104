"""Tests of the supervisor: capacity, leases, restarts and delayed orders."""

import msgspec
import pytest

from marigoldkeel.fleet.leases import CALLER_TIMEOUT_GRACE_S, LEASE_MARGIN_S
from marigoldkeel.fleet.messages import (
    Attach,
    HeldRun,
    RunEvent,
    RunEventKind,
    RunNumber,
    StartRuns,
    WorkerFacts,
)
from marigoldkeel.fleet.runs import (
    CheckBootOrder,
    Phase,
    RunEndRecord,
    RunStatus,
    StartOrder,
    StartOutcome,
    StopOrder,
    WorkerPoll,
)
from marigoldkeel.fleet.supervisors import (
    CLAIM_TIMEOUT_S,
    LOST_AGENT_TIMEOUT_S,
    MAX_CLOCK_DRIFT,
    MAX_HANDOVER_LEASE_S,
    MAX_START_DELAY_S,
    MAX_UNCONFIRMED_REPORTS,
    MIN_STALL_TIMEOUT_S,
    NOT_LISTED,
    OWNER_LEASE_S,
    WORKER_LEASE_S,
    ReportOutcome,
    Supervisor,
)
from marigoldkeel.fleet.work import Resources, RunEnd, RunId, TaskId
from marigoldkeel.models import Member


CORE = Resources(1000, 64)
FACTS = WorkerFacts("w-1", 7, "service", "a", ["a"], Resources(4000, 4096))
OWNER = Member("entry-1", "entry-1@1", "10.0.0.1:7000", "a")


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def run_id(index: int = 0, number: int = 1) -> RunId:
    return RunId(TaskId("00000000000000aa", 0, 0, index), number)


def start_message(*indexes: int, demand: Resources = CORE, **fields) -> StartRuns:
    runs = [RunNumber(index, 1) for index in indexes]
    return StartRuns(1, "00000000000000aa", 0, 0, demand, "p", 100, runs=runs, **fields)


class Agent:
    """A supervisor whose worker has reported and has been polled."""

    def __init__(self, facts: WorkerFacts | None = FACTS):
        self.clock = Clock()
        self.percent = 0
        self.supervisor = Supervisor(self.clock)
        if facts is not None:
            self.supervisor.update_facts(facts, 1)
        self.poll()
        self.attach()

    def attach(self, *held: HeldRun, owner: Member = OWNER, facts=None) -> None:
        self.supervisor.attach(Attach(1, owner, list(held), facts or WorkerFacts()))

    def poll(self, *running: RunId, ended=(), boot: int = 7, percent: int = 0) -> None:
        rows = [RunStatus(item, percent) for item in running]
        self.clock.now += 0.001
        requested_at = self.clock.now
        self.clock.now += 0.001
        self.supervisor.record_poll(WorkerPoll(boot, rows, list(ended)), requested_at)

    def start(self, *indexes: int, answer: StartOutcome | None = StartOutcome.STARTED):
        self.supervisor.start(OWNER.incarnation, start_message(*indexes))
        orders = self.supervisor.take_orders()
        if answer is not None:
            for order in orders:
                self.supervisor.record_start_outcome(order.run, answer)
        return orders

    def advance_time(
        self, seconds: float, *running: RunId, renews_lease: bool = True
    ) -> None:
        """Advance the clock while polls list the given runs with rising progress."""
        ends_at = self.clock.now + seconds
        while self.clock.now < ends_at:
            self.clock.now += 0.05
            self.percent += 1
            if renews_lease:
                self.supervisor.renew_owner_lease(OWNER.incarnation)
            self.poll(*running, percent=self.percent)
            self.supervisor.tick()

    def expire_worker_lease(self) -> None:
        self.clock.now += 2 * WORKER_LEASE_S
        self.supervisor.record_poll_failure()

    def events(self) -> list[tuple]:
        return [
            (
                notification.content.run,
                notification.content.kind,
                notification.content.end,
            )
            for notification in self.supervisor.take_notifications()
            if isinstance(notification.content, RunEvent)
        ]

    def stops(self) -> list[RunId]:
        return [
            order.run.run_id
            for order in self.supervisor.take_orders()
            if isinstance(order, StopOrder)
        ]


def ended(item: RunId, end: RunEnd) -> tuple:
    return (item, RunEventKind.ENDED, end)


def refused(item: RunId) -> tuple:
    return (item, RunEventKind.REFUSED, RunEnd.DONE)


def test_runs_beyond_the_capacity_are_refused():
    agent = Agent()
    orders = agent.start(0, 1, 2, 3, 4)
    assert [order.run.run_id.task.index for order in orders] == [0, 1, 2, 3]
    assert agent.events() == [refused(run_id(4))]
    assert agent.supervisor.free_resources == Resources(0, 4096 - 4 * 64)


def test_unanswered_start_holds_capacity_until_it_can_have_no_effect():
    # Guards against an overloaded worker: an order that was considered failed after
    # its timeout was executed later, in addition to other runs.
    agent = Agent()
    (order,) = agent.start(0, answer=StartOutcome.UNANSWERED)
    assert agent.supervisor.free_resources.cpu_milli == 3000
    assert agent.stops() == [run_id(0)]
    agent.supervisor.record_stop_outcome(order.run, False)
    assert agent.stops() == [run_id(0)]
    agent.poll()
    assert agent.supervisor.free_resources.cpu_milli == 3000
    agent.supervisor.record_stop_outcome(order.run, True)
    agent.poll()
    assert agent.supervisor.free_resources.cpu_milli == 4000
    assert agent.events() == [refused(run_id(0))]


def test_unanswered_start_that_took_effect_is_reported_as_stopped():
    agent = Agent()
    (order,) = agent.start(0, answer=StartOutcome.UNANSWERED)
    agent.poll(run_id(0))
    agent.supervisor.record_stop_outcome(order.run, True)
    agent.poll(ended=[RunEndRecord(1, run_id(0), RunEnd.STOPPED)])
    assert agent.events() == [ended(run_id(0), RunEnd.STOPPED)]


def test_stopped_run_holds_capacity_until_its_end_is_listed():
    agent = Agent()
    agent.start(0)
    agent.supervisor.stop(OWNER.incarnation, [run_id(0)])
    assert agent.supervisor.free_resources.cpu_milli == 3000
    (order,) = agent.supervisor.take_orders()
    agent.supervisor.record_stop_outcome(order.run, True)
    assert agent.supervisor.free_resources.cpu_milli == 3000
    agent.poll(ended=[RunEndRecord(1, run_id(0), RunEnd.STOPPED)])
    assert agent.supervisor.free_resources.cpu_milli == 4000


def test_poll_sent_before_the_start_was_answered_does_not_end_the_run():
    agent = Agent()
    requested_at = agent.clock.now
    agent.clock.now += 0.01
    agent.start(0)
    agent.supervisor.record_poll(WorkerPoll(7), requested_at)
    assert run_id(0) in agent.supervisor.runs
    agent.clock.now += 0.01
    agent.poll()
    assert agent.events() == [ended(run_id(0), RunEnd.LAPSED)]


def test_owner_with_expired_lease_loses_its_runs_and_must_attach_again():
    agent = Agent()
    agent.start(0)
    agent.advance_time(OWNER_LEASE_S - 0.1, run_id(0))
    assert agent.stops() == []
    agent.advance_time(OWNER_LEASE_S + 0.1, run_id(0), renews_lease=False)
    assert agent.stops() == [run_id(0)]
    assert not agent.supervisor.renew_owner_lease(OWNER.incarnation)


def test_owner_without_runs_stays_attached_without_renewals():
    agent = Agent()
    agent.advance_time(3 * OWNER_LEASE_S, renews_lease=False)
    assert agent.supervisor.renew_owner_lease(OWNER.incarnation)


def test_paused_agent_reads_pending_messages_before_it_expires_owners():
    agent = Agent()
    agent.start(0)
    agent.supervisor.tick()
    agent.clock.now += 2 * OWNER_LEASE_S
    agent.supervisor.tick()
    assert agent.stops() == []
    agent.supervisor.renew_owner_lease(OWNER.incarnation)
    agent.clock.now += 0.05
    agent.supervisor.tick()
    assert agent.stops() == []


@pytest.mark.parametrize("interval_s", [0.05, 0.2, 0.26, 0.3])
def test_agent_that_is_paused_again_and_again_stops_the_runs_of_a_lost_owner(
    interval_s,
):
    # Guards against a task that ran twice: on a machine that is slowed down, each tick
    # came after a pause, so the lease of an owner that was cut off never expired.
    agent = Agent()
    agent.start(0)
    lost_at = agent.clock.now
    agent.supervisor.tick()
    while not agent.stops():
        agent.clock.now += interval_s
        agent.poll(run_id(0))
        agent.supervisor.tick()
        # Stopping a run takes up to 0.1 s.
        assert agent.clock.now + 0.1 < lost_at + LOST_AGENT_TIMEOUT_S


def test_runs_of_an_earlier_incarnation_of_an_owner_are_stopped():
    agent = Agent()
    agent.start(0)
    successor = Member("entry-1", "entry-1@2", OWNER.address, "a")
    agent.attach(owner=successor)
    assert agent.stops() == [run_id(0)]


def test_runs_missing_from_an_attach_are_stopped_and_others_continue():
    agent = Agent()
    agent.start(0, 1)
    agent.attach(HeldRun(run_id(1), CORE))
    assert agent.stops() == [run_id(0)]


def test_run_that_is_stopped_before_the_first_poll_is_not_reported_as_ended():
    # Guards against a task that ran twice: a restarted agent told an owner that a run
    # had ended of which it only did not know yet.
    agent = Agent(facts=None)
    agent.supervisor = Supervisor(agent.clock)
    agent.attach(HeldRun(run_id(0), CORE))
    agent.supervisor.stop(OWNER.incarnation, [run_id(0)])
    assert agent.events() == []
    agent.poll(run_id(0))
    assert agent.stops() == [run_id(0)]
    assert agent.events() == []
    agent.poll(ended=[RunEndRecord(1, run_id(0), RunEnd.STOPPED)])
    assert agent.events() == [ended(run_id(0), RunEnd.STOPPED)]


@pytest.mark.parametrize("is_renewed", [True, False])
def test_restarted_agent_keeps_the_runs_of_an_owner_that_renews_after_its_attach(
    is_renewed,
):
    # Guards against work that is thrown away: the lease that an attach carries has run
    # out while the agent restarted, and the owner's renewal is on its way.
    agent = Agent(facts=None)
    agent.supervisor = Supervisor(agent.clock)
    agent.poll(run_id(0))
    message = Attach(1, OWNER, [HeldRun(run_id(0), CORE)])
    agent.supervisor.attach(message, agent.clock.now - OWNER_LEASE_S - 0.4)
    agent.supervisor.tick()
    assert agent.stops() == []
    assert agent.supervisor.has_unclaimed_runs
    if is_renewed:
        agent.supervisor.renew_owner_lease(OWNER.incarnation)
        assert not agent.supervisor.has_unclaimed_runs
    agent.advance_time(0.2, run_id(0), renews_lease=False)
    assert agent.stops() == ([] if is_renewed else [run_id(0)])


def test_end_of_a_run_is_resent_to_an_owner_that_reconnects():
    # Guards against repeating a run whose end event was lost with the connection.
    agent = Agent()
    agent.start(0)
    agent.poll(ended=[RunEndRecord(1, run_id(0), RunEnd.DONE)])
    agent.events()
    agent.attach(HeldRun(run_id(0), CORE))
    assert agent.events() == [ended(run_id(0), RunEnd.DONE)]


@pytest.mark.parametrize("heard_s_ago", [0.0, 0.1, 0.25, 0.45, 2.0])
@pytest.mark.parametrize("number_of_owners", [1, 2])
def test_lease_for_a_successor_ends_before_an_owner_repeats_its_runs(
    heard_s_ago, number_of_owners
):
    # Guards against a task that ran twice: a stopping agent kept its worker's runs
    # alive for longer than their owners waited for it.
    agent = Agent()
    other = Member("entry-2", "entry-2@1", "10.0.0.3:7000", "a")
    agent.start(0)
    if number_of_owners == 2:
        agent.attach(owner=other)
        agent.supervisor.start(other.incarnation, start_message(1))
    heard_at = agent.clock.now
    agent.clock.now += heard_s_ago
    agent.supervisor.renew_owner_lease(other.incarnation)
    lease_s = agent.supervisor.handover_lease_s()
    ends_at = agent.clock.now + lease_s * (1 + MAX_CLOCK_DRIFT)
    assert 0.0 <= lease_s <= MAX_HANDOVER_LEASE_S
    assert lease_s == 0.0 or ends_at < heard_at + LOST_AGENT_TIMEOUT_S


def test_stopping_agent_without_runs_grants_no_lease():
    assert Agent().supervisor.handover_lease_s() == 0.0


class TestRestartedAgent:
    """State that a restarted agent takes over from its worker and the owners."""

    def make(self, *running: RunId) -> Agent:
        agent = Agent(facts=None)
        agent.poll(*running)
        return agent

    def make_with_claim(self, silent_s: float) -> Agent:
        """Return an agent that an owner attaches to for the first time.

        :param silent_s: Time since the owner's last message to the agent before.
        """
        agent = self.make(run_id(0))
        agent.supervisor.owners.clear()
        claim = Attach(1, OWNER, [HeldRun(run_id(0), CORE)])
        agent.supervisor.attach(claim, agent.clock.now - silent_s)
        return agent

    def test_starts_no_run_while_the_demand_of_another_is_unknown(self):
        agent = self.make(run_id(0))
        agent.supervisor.update_facts(FACTS, 1)
        agent.start(1)
        assert agent.events() == [refused(run_id(1))]

    def test_assigns_runs_to_the_owner_that_claims_them(self):
        agent = self.make(run_id(0))
        agent.supervisor.update_facts(FACTS, 1)
        agent.attach(HeldRun(run_id(0), CORE))
        assert agent.supervisor.free_resources.cpu_milli == 3000
        agent.poll(ended=[RunEndRecord(1, run_id(0), RunEnd.DONE)])
        assert agent.events() == [ended(run_id(0), RunEnd.DONE)]

    @pytest.mark.parametrize("silent_s", [0.4, 0.6, 0.9])
    def test_waits_for_the_renewal_of_an_owner_that_claims_its_runs(self, silent_s):
        # Guards against sound runs that end at once: an owner that was silent for
        # longer than its lease, as its agent was down, lost its runs at the next tick.
        agent = self.make_with_claim(silent_s)
        agent.clock.now += 0.05
        agent.poll(run_id(0))
        agent.supervisor.tick()
        assert agent.stops() == []
        agent.supervisor.renew_owner_lease(OWNER.incarnation)
        agent.advance_time(0.6, run_id(0))
        assert agent.stops() == []

    @pytest.mark.parametrize("silent_s", [0.0, 0.4, 0.6, 0.8, 0.9])
    def test_stops_runs_before_an_owner_that_does_not_renew_repeats_them(
        self, silent_s
    ):
        agent = self.make_with_claim(silent_s)
        repeated_at = agent.clock.now - silent_s + LOST_AGENT_TIMEOUT_S
        while not agent.stops():
            agent.advance_time(0.05, run_id(0), renews_lease=False)
        # Stopping a run takes up to 0.1 s.
        assert agent.clock.now + 0.1 <= repeated_at

    def test_stops_unclaimed_runs(self):
        agent = self.make(run_id(0))
        agent.advance_time(CLAIM_TIMEOUT_S + 0.2, run_id(0))
        assert agent.stops() == [run_id(0)]

    def test_reports_the_end_of_a_run_that_ended_while_no_agent_was_running(self):
        new_agent = Agent.__new__(Agent)
        new_agent.clock = Clock()
        new_agent.supervisor = Supervisor(new_agent.clock)
        claims = [HeldRun(run_id(0), CORE), HeldRun(run_id(1), CORE)]
        new_agent.supervisor.attach(Attach(1, OWNER, claims), MAX_START_DELAY_S + 0.01)
        new_agent.poll(ended=[RunEndRecord(4, run_id(0), RunEnd.DONE)])
        assert new_agent.events() == [
            ended(run_id(0), RunEnd.DONE),
            ended(run_id(1), RunEnd.LAPSED),
        ]

    def test_reports_an_end_that_it_read_before_the_owner_attached(self):
        # Guards against tasks that are repeated although they are done: the restarted
        # agent had polled its worker before the owner claimed the run.
        agent = Agent(facts=None)
        agent.poll(ended=[RunEndRecord(4, run_id(0), RunEnd.DONE)])
        agent.attach(HeldRun(run_id(0), CORE))
        assert agent.events() == [ended(run_id(0), RunEnd.DONE)]

    @pytest.mark.parametrize("is_polled_first", [True, False])
    def test_reports_no_run_as_ended_whose_start_order_may_be_on_its_way(
        self, is_polled_first
    ):
        # Guards against a task that ran twice: the agent was killed after it had sent
        # the order, which the worker carried out after a poll of the next agent. A
        # stop order that the worker has answered would make it refuse the start.
        agent = Agent.__new__(Agent)
        agent.clock = Clock()
        agent.supervisor = Supervisor(agent.clock)
        if is_polled_first:
            agent.poll()
        agent.attach(HeldRun(run_id(0), CORE))
        agent.poll()
        assert agent.events() == []
        assert agent.stops() == [run_id(0)]

    def test_does_not_report_a_claimed_run_as_never_started(self):
        # Guards against "not run" for a job whose task is done: the agent before read
        # the end of the run, which the worker then forgot, and was stopped or killed
        # before it notified the owner. The owner claims the run within the time in
        # which its start order may still be on its way.
        agent = Agent.__new__(Agent)
        agent.clock = Clock()
        agent.supervisor = Supervisor(agent.clock)
        agent.attach(HeldRun(run_id(0), CORE))
        agent.poll()
        run = agent.supervisor.runs[run_id(0)]
        agent.supervisor.record_stop_outcome(run, answered=True)
        agent.poll()
        assert agent.events() == [ended(run_id(0), RunEnd.LAPSED)]

    def test_uses_facts_cached_by_an_owner_of_the_same_boot_only(self):
        agent = Agent(facts=None)
        agent.attach(facts=WorkerFacts("w-1", 6, "service", "a", [], CORE))
        assert not agent.supervisor.usable
        agent.attach(facts=FACTS)
        assert agent.supervisor.usable


def test_new_boot_ends_all_runs_and_discards_the_capacity():
    agent = Agent()
    agent.start(0)
    agent.poll(boot=8)
    assert agent.events() == [ended(run_id(0), RunEnd.LAPSED)]
    assert not agent.supervisor.usable
    assert agent.supervisor.update_facts(WorkerFacts("w-1", 8, capacity=CORE), 1).counts
    agent.poll(boot=8)
    assert agent.supervisor.usable


@pytest.mark.parametrize("is_stopping", [False, True])
def test_start_order_that_reaches_the_next_boot_is_stopped_there(is_stopping):
    # Guards against a task that ran twice and a worker beyond its capacity: a start
    # order was carried out after a restart, and its run counted as ended.
    agent = Agent()
    agent.start(0, answer=StartOutcome.UNANSWERED if is_stopping else None)
    run = agent.supervisor.runs[run_id(0)]
    if is_stopping:
        agent.supervisor.take_orders()
        agent.supervisor.record_stop_outcome(run, True)
    agent.poll(run_id(0), boot=8)
    assert agent.events() == []
    assert agent.stops() == [run_id(0)]
    agent.supervisor.update_facts(WorkerFacts("w-1", 8, capacity=CORE), 1)
    assert agent.supervisor.free_resources.cpu_milli == 0
    agent.supervisor.record_stop_outcome(run, True)
    agent.poll(boot=8, ended=[RunEndRecord(1, run_id(0), RunEnd.STOPPED)])
    assert agent.events() == [ended(run_id(0), RunEnd.STOPPED)]
    assert agent.supervisor.free_resources == CORE


@pytest.mark.parametrize(
    "late_answer", [None, StartOutcome.STARTED, StartOutcome.UNANSWERED]
)
def test_repeated_start_order_that_reaches_the_next_boot_is_stopped_there(late_answer):
    # Guards against a task that ran twice: its run had been listed before the restart,
    # but the order had been repeated for lack of an answer, and the next boot carried
    # it out. Found by seed 6 of the soak.
    agent = Agent()
    agent.start(0, answer=None)
    agent.poll(run_id(0))
    run = agent.supervisor.runs[run_id(0)]
    agent.poll(run_id(0), boot=8)
    if late_answer is not None:
        agent.supervisor.record_start_outcome(run, late_answer)
    agent.poll(boot=8)
    assert agent.events() == []
    assert agent.stops() == [run_id(0)]
    agent.supervisor.record_stop_outcome(run, True)
    agent.poll(boot=8, ended=[RunEndRecord(1, run_id(0), RunEnd.STOPPED)])
    assert agent.events() == [ended(run_id(0), RunEnd.STOPPED)]


def test_run_that_the_next_boot_has_started_goes_on():
    # Guards against a task that ran twice: between a restart and the poll that showed
    # it, the next boot had answered a start order, and its run counted as ended.
    agent = Agent()
    agent.start(0)
    agent.poll(run_id(0), boot=8)
    assert agent.events() == []
    assert agent.stops() == []
    agent.poll(boot=8, ended=[RunEndRecord(1, run_id(0), RunEnd.DONE)])
    assert agent.events() == [ended(run_id(0), RunEnd.DONE)]


def test_run_that_the_next_boot_has_ended_is_not_repeated():
    agent = Agent()
    agent.start(0)
    agent.poll(boot=8, ended=[RunEndRecord(1, run_id(0), RunEnd.DONE)])
    assert agent.events() == [ended(run_id(0), RunEnd.DONE)]


def test_run_that_the_next_boot_may_have_started_is_stopped_there():
    # The order was answered while the poll was on its way.
    agent = Agent()
    requested_at = agent.clock.now + 0.001
    agent.clock.now += 0.002
    agent.start(0)
    agent.supervisor.record_poll(WorkerPoll(8), requested_at)
    assert agent.events() == []
    assert agent.stops() == [run_id(0)]
    agent.supervisor.record_stop_outcome(agent.supervisor.runs[run_id(0)], True)
    agent.poll(boot=8)
    assert agent.events() == [ended(run_id(0), RunEnd.LAPSED)]


def test_start_order_that_never_reaches_the_next_boot_ends_without_a_refusal():
    # The boot before may have started the run, whose caller would be told "not run".
    agent = Agent()
    agent.start(0, answer=None)
    agent.poll(boot=8)
    run = agent.supervisor.runs[run_id(0)]
    agent.supervisor.record_start_outcome(run, StartOutcome.UNANSWERED)
    assert agent.events() == []
    agent.supervisor.record_stop_outcome(run, True)
    agent.poll(boot=8)
    assert agent.events() == [ended(run_id(0), RunEnd.LAPSED)]


READY, LEAVING = FACTS, msgspec.structs.replace(FACTS, leaving=True)


@pytest.mark.parametrize(
    ("others", "hidden"),
    [
        # Number and clock of each report of another writer, and how many reports of
        # the worker have no effect after them.
        ([(1_000_000, 1500)], 0),
        ([(1_000_000, 1000)], 0),
        ([(3, 10**9)], 2),
        ([(10**15, 10**12)], 2),
        ([(10**15, 10**12), (10**15 + 1, 10**12 + 1)], 2),
        ([(2, 1000)], 0),
        ([], 0),
    ],
)
def test_report_with_any_number_hides_the_worker_for_a_short_time_only(others, hidden):
    # Guards against runs on a leaving worker: a report of another writer had a number
    # that the worker did not reach, so that it leaves was taken for out of date.
    agent = Agent()
    agent.supervisor.update_facts(READY, 2, 1000)
    for sequence, clock_ms in others:
        agent.clock.now += 0.25
        agent.supervisor.update_facts(READY, sequence, clock_ms)
    outcomes = []
    for number in range(4):
        agent.clock.now += 1.5
        outcome = agent.supervisor.update_facts(
            LEAVING, 3 + number, 3000 + 1500 * number
        )
        outcomes.append(outcome)
    assert outcomes == (
        [ReportOutcome.CONTRADICTORY] * hidden + [ReportOutcome.APPLIED] * (4 - hidden)
    )
    assert agent.supervisor.facts.leaving


def test_late_reports_of_a_leaving_worker_have_no_effect():
    agent = Agent()
    agent.supervisor.update_facts(LEAVING, 9, 20_000)
    # Sent 1.5 s apart, they arrive together.
    for number in range(2, 8):
        agent.clock.now += 0.01
        outcome = agent.supervisor.update_facts(READY, number, 1500 * number)
        assert outcome == ReportOutcome.CONTRADICTORY
    assert agent.supervisor.update_facts(LEAVING, 9, 20_000) == ReportOutcome.OUTDATED
    assert agent.supervisor.facts.leaving


@pytest.mark.parametrize(
    "boot, sequence, accepted",
    [(7, 2, True), (7, 1, False), (6, 9, False), (8, 0, True)],
)
def test_reports_that_are_late_or_of_an_earlier_boot_are_ignored(
    boot, sequence, accepted
):
    agent = Agent()
    facts = WorkerFacts("w-1", boot, "service")
    assert agent.supervisor.update_facts(facts, sequence).counts is accepted


OTHER_WRITERS = [
    WorkerFacts("w-other", 8, "elsewhere", "a", [], FACTS.capacity),
    WorkerFacts("w-1", 8, "service", "a", [], FACTS.capacity),
    WorkerFacts("w-other", 7, "elsewhere", "a", [], FACTS.capacity),
    WorkerFacts("w-other", 6, "elsewhere", "a", [], FACTS.capacity),
]


@pytest.mark.parametrize("report", OTHER_WRITERS)
def test_report_of_another_writer_ends_no_run(report):
    # Guards against a task that ran twice: its run was given up for a report that the
    # worker had not sent, and the worker got no further runs.
    agent = Agent()
    agent.start(0)
    agent.poll(run_id(0))
    agent.supervisor.update_facts(report, 9)
    agent.supervisor.take_orders()
    agent.poll(run_id(0))
    assert agent.events() == []
    assert agent.supervisor.facts == FACTS
    assert agent.supervisor.update_facts(FACTS, 2).counts
    agent.start(1)
    agent.poll(run_id(1), ended=[RunEndRecord(1, run_id(0), RunEnd.DONE)])
    assert agent.events() == [ended(run_id(0), RunEnd.DONE)]
    assert agent.supervisor.runs[run_id(1)].phase == Phase.RUNNING


def test_report_with_another_service_hides_no_later_report_of_the_worker():
    # Guards against a sound worker that stays unused: a report under its name, with a
    # service that it does not have, replaced its facts and its sequence number.
    agent = Agent()
    report = WorkerFacts("w-1", 7, "elsewhere", "a", [], FACTS.capacity)
    agent.supervisor.update_facts(report, 9)
    agent.supervisor.update_facts(FACTS, 2)
    assert agent.supervisor.facts == FACTS


def test_late_exit_announcement_lets_no_report_of_another_worker_in():
    # Guards against a sound worker that stays unused: after the announcement the next
    # report of its boot, of any name, was taken for its own.
    agent = Agent()
    agent.supervisor.record_worker_exit("w-1")
    report = WorkerFacts("w-other", 7, "elsewhere", "a", [], FACTS.capacity)
    agent.supervisor.update_facts(report, 9)
    agent.supervisor.update_facts(FACTS, 2)
    assert agent.supervisor.facts == FACTS


@pytest.mark.parametrize("report", OTHER_WRITERS)
def test_report_of_another_writer_hides_no_report_of_a_starting_worker(report):
    agent = Agent(facts=None)
    agent.supervisor = Supervisor(agent.clock)
    agent.supervisor.update_facts(report, 9)
    agent.supervisor.update_facts(FACTS, 1)
    agent.poll()
    is_own_boot = report.boot == FACTS.boot
    assert agent.supervisor.facts == (report if is_own_boot else FACTS)


@pytest.mark.parametrize(
    ("facts", "sequence", "outcome"),
    [
        (FACTS, 2, ReportOutcome.APPLIED),
        (FACTS, 1, ReportOutcome.OUTDATED),
        (WorkerFacts("w-1", 6), 9, ReportOutcome.EARLIER_BOOT),
        (WorkerFacts("w-1", 8), 1, ReportOutcome.KEPT),
        (WorkerFacts("w-other", 7), 9, ReportOutcome.OTHER_WORKER),
    ],
)
def test_reports_are_counted_by_outcome(facts, sequence, outcome):
    agent = Agent()
    agent.supervisor.report_counts.clear()
    agent.supervisor.update_facts(facts, sequence)
    assert agent.supervisor.report_counts == {outcome: 1}


@pytest.mark.parametrize(
    ("event", "reason"),
    [
        (lambda agent: agent.poll(boot=8), "the worker has restarted"),
        (lambda agent: agent.poll(), NOT_LISTED),
        (lambda agent: agent.expire_worker_lease(), "the worker's lease has expired"),
        (
            lambda agent: agent.poll(ended=[RunEndRecord(1, run_id(), RunEnd.LAPSED)]),
            "",
        ),
    ],
    ids=["restart", "not listed", "lease", "worker"],
)
def test_owner_learns_why_a_run_is_taken_to_have_ended(event, reason):
    agent = Agent()
    agent.start(0)
    agent.poll(run_id(0))
    event(agent)
    (notification,) = agent.supervisor.take_notifications()
    assert notification.content.reason == reason


def test_restart_is_applied_when_a_poll_shows_it():
    agent = Agent()
    agent.start(0)
    agent.supervisor.take_orders()
    restarted = WorkerFacts("w-1", 8, "service", "a", [], FACTS.capacity)
    assert agent.supervisor.update_facts(restarted, 1).counts
    assert [type(order) for order in agent.supervisor.take_orders()] == [CheckBootOrder]
    assert agent.supervisor.update_facts(restarted, 2).counts
    assert agent.supervisor.take_orders() == []
    assert agent.events() == []
    agent.poll(boot=8)
    assert agent.events() == [ended(run_id(0), RunEnd.LAPSED)]
    assert agent.supervisor.facts == restarted
    assert agent.supervisor.usable
    assert not agent.supervisor.update_facts(restarted, 2).counts


def test_worker_that_restarts_after_its_clock_was_set_back_gets_new_runs():
    # Guards against a worker that stays without runs: its start time is the time of
    # day, and polls with an earlier one were disregarded for good.
    agent = Agent()
    agent.start(0)
    agent.poll(run_id(0))
    agent.poll(boot=5)
    assert agent.events() == [ended(run_id(0), RunEnd.LAPSED)]
    restarted = WorkerFacts("w-1", 5, "service", "a", ["a"], FACTS.capacity)
    assert agent.supervisor.update_facts(restarted, 1).counts
    assert agent.supervisor.usable
    # A report of the boot before arrives late.
    agent.supervisor.update_facts(FACTS, 9)
    agent.poll(boot=5)
    assert agent.supervisor.facts == restarted


@pytest.mark.parametrize("boot", [6, 0])
def test_poll_that_was_sent_before_a_restart_was_shown_ends_no_run(boot):
    agent = Agent()
    requested_at = agent.clock.now - 0.1
    agent.start(0)
    agent.supervisor.record_poll(WorkerPoll(boot), requested_at)
    assert agent.events() == []


def test_reports_that_no_poll_confirms_are_limited_in_number():
    agent = Agent()
    for boot in range(10, 60):
        agent.supervisor.update_facts(WorkerFacts("w-other", boot), 1)
    assert len(agent.supervisor.unconfirmed) == MAX_UNCONFIRMED_REPORTS
    agent.poll(boot=70)
    assert agent.supervisor.unconfirmed == {}


def test_late_exit_announcement_ends_no_run_of_the_next_boot():
    # Guards against a task that ran twice: the announcement of an earlier boot of the
    # worker was held up until its next boot had runs.
    agent = Agent()
    agent.start(0)
    agent.supervisor.record_worker_exit("w-1")
    agent.poll(run_id(0))
    assert agent.events() == []
    assert not agent.supervisor.usable
    agent.supervisor.update_facts(FACTS, 2)
    assert agent.supervisor.usable


@pytest.mark.parametrize(
    ("exits", "not_connected", "ends"),
    [
        (True, True, True),
        (True, False, False),
        (False, True, False),
        (False, False, False),
    ],
)
def test_runs_of_a_worker_that_has_exited_end_before_its_lease(
    exits, not_connected, ends
):
    agent = Agent()
    agent.start(0)
    assert agent.supervisor.grant_lease() == agent.clock.now + WORKER_LEASE_S
    if exits:
        agent.supervisor.record_worker_exit("w-1")
    agent.supervisor.record_poll_failure(not_connected)
    assert agent.events() == ([ended(run_id(0), RunEnd.LAPSED)] if ends else [])


def test_no_run_starts_on_a_leaving_worker():
    agent = Agent()
    leaving = WorkerFacts("w-1", 7, "service", "a", [], FACTS.capacity, True, 3000)
    agent.supervisor.update_facts(leaving, 2)
    assert agent.start(0) == []
    assert agent.events() == [refused(run_id(0))]


def test_no_run_starts_on_a_worker_without_a_recent_poll():
    agent = Agent()
    agent.clock.now += 2.0
    assert agent.start(0) == []
    assert agent.events() == [refused(run_id(0))]


def test_runs_on_an_unreachable_worker_end_with_its_lease():
    agent = Agent()
    agent.start(0)
    assert agent.supervisor.grant_lease() == agent.clock.now + WORKER_LEASE_S
    agent.clock.now += WORKER_LEASE_S - 0.01
    agent.supervisor.record_poll_failure()
    assert agent.events() == []
    agent.clock.now += 0.2
    agent.supervisor.record_poll_failure()
    assert agent.events() == [ended(run_id(0), RunEnd.LAPSED)]


def test_no_run_starts_on_a_worker_whose_last_poll_failed():
    # Guards against delayed failover: orders to a worker that had just crashed extended
    # its assumed lease, so its runs were considered lost half a second too late.
    agent = Agent()
    agent.supervisor.record_poll_failure()
    assert agent.start(0) == []
    agent.poll()
    assert len(agent.start(1)) == 1


def test_run_without_progress_is_stopped_and_reported_as_stalled():
    agent = Agent()
    agent.start(0)
    for _ in range(round((MIN_STALL_TIMEOUT_S + 0.2) / 0.05)):
        agent.clock.now += 0.05
        agent.poll(run_id(0), percent=3)
        agent.supervisor.tick()
    assert agent.stops() == [run_id(0)]
    agent.poll(ended=[RunEndRecord(1, run_id(0), RunEnd.STOPPED)])
    assert agent.events() == [ended(run_id(0), RunEnd.STALLED)]


def test_run_with_progress_is_not_stopped():
    agent = Agent()
    agent.start(0)
    for percent in range(1, 40):
        agent.clock.now += 0.1
        agent.supervisor.renew_owner_lease(OWNER.incarnation)
        agent.poll(run_id(0), percent=percent)
        agent.supervisor.tick()
    assert agent.stops() == []
    assert agent.supervisor.runs[run_id(0)].phase == Phase.RUNNING


def test_tasks_of_a_step_beyond_the_spread_limit_are_refused():
    agent = Agent()
    message = start_message(0, 1, 2, spread_limit=2)
    agent.supervisor.start(OWNER.incarnation, message)
    assert len(agent.supervisor.take_orders()) == 2
    assert agent.events() == [refused(run_id(2))]


def test_second_run_of_a_task_is_refused_while_the_first_exists():
    agent = Agent()
    agent.start(0)
    message = start_message(0)
    message.runs[0].number = 2
    agent.supervisor.start(OWNER.incarnation, message)
    assert agent.supervisor.take_orders() == []
    assert agent.events() == [refused(run_id(0, 2))]


def test_leaving_agent_starts_no_run():
    agent = Agent()
    agent.supervisor.leaving = True
    assert agent.start(0) == []


@pytest.mark.parametrize(
    "outcome",
    [StartOutcome.REFUSED, StartOutcome.UNHEALTHY, StartOutcome.UNREACHABLE],
)
def test_refused_start_releases_its_capacity_immediately(outcome):
    agent = Agent()
    orders = agent.start(0, answer=outcome)
    assert isinstance(orders[0], StartOrder)
    assert agent.events() == [refused(run_id(0))]
    assert agent.supervisor.free_resources.cpu_milli == 4000


@pytest.mark.parametrize("detail", ["", "old"])
def test_outdated_start_is_reported_as_such_in_any_words_of_the_worker(detail):
    """Guards against an owner that repeats a run with numbers that are refused."""
    agent = Agent()
    (order,) = agent.start(0, answer=None)
    agent.supervisor.record_start_outcome(order.run, StartOutcome.OUTDATED, detail)
    (notification,) = agent.supervisor.take_notifications()
    assert notification.content.reason == StartOutcome.OUTDATED


def stop_run(agent: Agent) -> None:
    agent.supervisor.stop(OWNER.incarnation, [run_id()])


def replace_owner(agent: Agent) -> None:
    agent.attach(owner=Member("entry-1", "entry-1@2", "10.0.0.1:7000", "a"))


# Callers may submit their jobs again this long after their owner was lost.
RESUBMIT_S = 1.3


@pytest.mark.parametrize(
    ("disrupt", "bound_s"),
    [
        (lambda agent: None, LOST_AGENT_TIMEOUT_S),
        (replace_owner, LOST_AGENT_TIMEOUT_S),
        # The owner may have ordered the stop 0.3 s after its caller had left.
        (stop_run, RESUBMIT_S - 0.3),
    ],
    ids=["owner silent", "owner restarted", "stop ordered"],
)
def test_lease_is_not_extended_beyond_the_bound_while_a_stop_is_unconfirmed(
    disrupt, bound_s
):
    # Guards against a task on two workers: the owner is killed, the agent's stop orders
    # get no answer, polls are answered and renew the lease, and the caller submits the
    # job again, whose task starts elsewhere.
    agent = Agent()
    agent.start(0)
    other = Member("entry-2", "entry-2@1", "10.0.0.2:7000", "a")
    agent.attach(owner=other)
    began_at = agent.clock.now
    disrupt(agent)
    lease_ends_at = 0.0
    while agent.clock.now < began_at + 3:
        agent.supervisor.renew_owner_lease(other.incarnation)
        if (lease_s := agent.supervisor.grantable_lease_s()) > 0:
            slow_clock_s = lease_s * (1 + MAX_CLOCK_DRIFT)
            lease_ends_at = max(lease_ends_at, agent.clock.now + slow_clock_s)
        agent.advance_time(0.05, run_id(), renews_lease=False)
        for order in agent.supervisor.take_orders():
            agent.supervisor.record_stop_outcome(order.run, answered=False)
        agent.supervisor.start(other.incarnation, start_message(1))
        if agent.clock.now + WORKER_LEASE_S > began_at + bound_s:
            # A start order would extend the lease of all runs.
            assert agent.events()[-1] == refused(run_id(1))
        else:
            agent.supervisor.runs.pop(run_id(1), None)
    assert began_at + bound_s - 0.2 < lease_ends_at < began_at + bound_s


def test_lease_is_extended_again_once_the_stopped_run_has_ended():
    agent = Agent()
    agent.start(0)
    agent.advance_time(1.0, run_id(), renews_lease=False)
    assert agent.supervisor.grantable_lease_s() < WORKER_LEASE_S
    agent.poll(ended=[RunEndRecord(1, run_id(), RunEnd.STOPPED)])
    assert agent.supervisor.grantable_lease_s() == WORKER_LEASE_S


def test_lease_for_a_successor_does_not_extend_a_run_whose_stop_is_unconfirmed():
    agent = Agent()
    agent.start(0)
    agent.advance_time(1.3, run_id(), renews_lease=False)
    assert agent.supervisor.handover_lease_s() == 0.0


@pytest.mark.parametrize("waits_s", [0.2, 1.0, 3.0])
def test_run_is_stopped_once_its_caller_has_timed_out_although_no_order_arrives(
    waits_s,
):
    # Guards against a task on two workers: the owner's order to stop it was lost.
    agent = Agent()
    agent.supervisor.start(
        OWNER.incarnation, start_message(0, caller_waits_ms=round(1000 * waits_s))
    )
    times_out_at = agent.clock.now + waits_s
    (order,) = agent.supervisor.take_orders()
    agent.supervisor.record_start_outcome(order.run, StartOutcome.STARTED)
    while agent.clock.now < times_out_at + CALLER_TIMEOUT_GRACE_S:
        assert agent.stops() == []
        agent.advance_time(0.05, run_id())
    agent.advance_time(0.05, run_id())
    assert agent.stops() == [run_id()]


def test_owner_learns_the_end_of_a_run_that_it_claims_while_it_is_being_stopped():
    # Guards against a caller that waits in vain: the owner attached to a restarted
    # agent after the agent had begun to stop the run, and was not told of its end.
    agent = Agent()
    agent.poll(run_id())
    agent.advance_time(0.7, run_id(), renews_lease=False)
    assert agent.stops() == [run_id()]
    agent.attach(HeldRun(run_id(), CORE))
    agent.poll(ended=[RunEndRecord(1, run_id(), RunEnd.STOPPED)])
    notified = {
        notification.owner
        for notification in agent.supervisor.take_notifications()
        if isinstance(notification.content, RunEvent)
    }
    assert notified == {OWNER.incarnation}


@pytest.mark.parametrize("failures", [2, 5])
def test_successor_reports_no_run_as_lapsed_while_its_predecessors_lease_may_last(
    failures,
):
    # Guards against tasks that ran twice (review/12): after two polls without an answer
    # a restarted agent took the runs of its predecessor for lapsed.
    agent = Agent(facts=None)
    agent.supervisor = Supervisor(agent.clock)
    agent.poll(run_id(0))
    agent.attach(HeldRun(run_id(0), CORE))
    listed_at = agent.clock.now
    while agent.clock.now < listed_at + MAX_HANDOVER_LEASE_S * (1 + MAX_CLOCK_DRIFT):
        for _ in range(failures):
            agent.supervisor.record_poll_failure()
        assert agent.events() == []
        agent.clock.now += 0.05
    agent.clock.now += 2 * LEASE_MARGIN_S
    agent.supervisor.record_poll_failure()
    assert agent.events() == [ended(run_id(0), RunEnd.LAPSED)]


def test_successor_that_found_no_run_grants_leases_of_its_own_length():
    agent = Agent(facts=None)
    agent.supervisor = Supervisor(agent.clock)
    agent.poll()
    assert agent.supervisor.worker_lease_ends_at == float("-inf")
