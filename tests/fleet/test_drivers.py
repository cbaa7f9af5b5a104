"""Tests of the worker driver: orders and polls whose responses are lost."""

import anyio
import pytest

from marigoldkeel.exceptions import PeerTimeout, PeerUnavailable
from marigoldkeel.fleet.drivers import START_TIMEOUTS_S, WorkerClient, WorkerDriver
from marigoldkeel.fleet.messages import HeldRun, WorkerFacts
from marigoldkeel.fleet.runs import (
    Phase,
    Run,
    RunStatus,
    StartOutcome,
    StopOrder,
    WorkerPoll,
)
from marigoldkeel.fleet.supervisors import EVACUATED, WORKER_LEASE_S, Supervisor
from tests.fleet.test_supervisors import FACTS, Agent, run_id, start_message


pytestmark = pytest.mark.anyio

STARTED, OUTDATED = StartOutcome.STARTED, StartOutcome.OUTDATED
REFUSED, UNANSWERED = StartOutcome.REFUSED, StartOutcome.UNANSWERED


class ScriptedClient(WorkerClient):
    """A client with scripted outcomes; a lost response takes its whole timeout."""

    def __init__(self, agent: Agent, starts=(), polls=()):
        self.clock = agent.clock
        self.starts = list(starts)
        self.polls = list(polls)
        self.leases_end_at: list[float] = []
        self.reachable: list[bool] = []
        self.supervisor = agent.supervisor

    async def start(self, run, lease_ends_at, timeout_s):
        self.leases_end_at.append(round(lease_ends_at, 6))
        outcome = self.starts.pop(0)
        self.clock.now += timeout_s if outcome == UNANSWERED else 0.001
        return outcome, ""

    async def stop(self, run):
        return True

    async def poll(self, lease_ends_at, wait_s, last_end):
        self.reachable.append(self.supervisor.reachable)
        if not self.polls:
            await anyio.sleep_forever()
        self.clock.now += 0.05
        answered = self.polls.pop(0)
        if isinstance(answered, Exception):
            raise answered
        if not answered:
            raise PeerTimeout("no answer", "poll", "worker")
        return WorkerPoll(7)


def order_start(agent: Agent) -> Run:
    """Return a run whose start order has not been executed yet."""
    agent.supervisor.start("entry-1@1", start_message(0))
    (order,) = agent.supervisor.take_orders()
    return order.run


@pytest.mark.parametrize(
    "answers, outcome",
    [
        ([STARTED], STARTED),
        ([REFUSED], REFUSED),
        ([OUTDATED], OUTDATED),
        ([UNANSWERED, STARTED], STARTED),
        ([UNANSWERED, UNANSWERED, STARTED], STARTED),
        # The first attempt may have started the run, which may have ended since.
        ([UNANSWERED, OUTDATED], UNANSWERED),
        ([UNANSWERED, REFUSED], UNANSWERED),
        ([UNANSWERED] * len(START_TIMEOUTS_S), UNANSWERED),
    ],
)
async def test_unanswered_start_is_repeated(answers, outcome):
    agent = Agent()
    client = ScriptedClient(agent, starts=answers)
    driver = WorkerDriver(agent.supervisor, client, lambda: None, None)
    run = order_start(agent)
    lease_ends_at = round(agent.clock.now + WORKER_LEASE_S, 6)
    assert (await driver._start_with_retries(run))[0] == outcome
    assert client.starts == []
    # A longer lease would delay the repetition of runs on an unreachable worker.
    assert set(client.leases_end_at) == {lease_ends_at}


def make_suspendable_agent(suspensions: list[float]) -> Agent:
    """Return an agent whose steady clock does not count the given suspensions."""
    agent = Agent()
    agent.supervisor = Supervisor(
        agent.clock, lambda: agent.clock.now + sum(suspensions)
    )
    agent.supervisor.update_facts(FACTS, 1)
    agent.poll()
    agent.attach()
    return agent


@pytest.mark.parametrize("is_suspended", [False, True], ids=["paused", "suspended"])
@pytest.mark.parametrize(
    ("pause_s", "outcome"),
    [(0.0, STARTED), (0.1, STARTED), (0.2, REFUSED), (3, REFUSED)],
)
async def test_order_accepted_before_a_pause_is_not_executed_after_it(
    is_suspended, pause_s, outcome
):
    # The order got a fresh lease after the pause, while its owner had repeated the run
    # on another worker.
    suspensions = [0.0]
    agent = make_suspendable_agent(suspensions)
    client = ScriptedClient(agent, starts=[STARTED])
    driver = WorkerDriver(agent.supervisor, client, lambda: None, None)
    run = order_start(agent)
    if is_suspended:
        suspensions.append(pause_s)
    else:
        agent.clock.now += pause_s
    assert (await driver._start_with_retries(run))[0] == outcome
    assert len(client.leases_end_at) == (outcome == STARTED)


@pytest.mark.parametrize("pause_s", [0.0, 0.1, 0.4])
async def test_pause_after_a_lease_was_computed_does_not_prolong_it(pause_s):
    # Guards against a task on two workers: the lease was given as a length, which the
    # client added to the time after the pause.
    agent = Agent()
    client = ScriptedClient(agent, starts=[STARTED])
    driver = WorkerDriver(agent.supervisor, client, lambda: None, None)
    run = order_start(agent)
    computed_at = agent.clock.now

    def pause_after_reading() -> float:
        now = agent.clock.now
        agent.clock.now += pause_s
        return now

    agent.supervisor.suspended_clock = pause_after_reading
    await driver._start_with_retries(run)
    assert all(
        ends_at <= computed_at + WORKER_LEASE_S for ends_at in client.leases_end_at
    )


async def test_order_accepted_before_an_evacuation_is_not_executed_after_it():
    agent = Agent()
    client = ScriptedClient(agent, starts=[STARTED])
    driver = WorkerDriver(agent.supervisor, client, lambda: None, None)
    run = order_start(agent)
    agent.supervisor.evacuations.offer(5, ["a"], "entry-1")
    assert await driver._start_with_retries(run) == (REFUSED, EVACUATED)
    assert client.leases_end_at == []


async def test_order_is_not_repeated_after_a_pause():
    agent = Agent()
    client = ScriptedClient(agent, starts=[UNANSWERED, STARTED])
    driver = WorkerDriver(agent.supervisor, client, lambda: None, None)
    run = order_start(agent)
    client_start = client.start

    async def start(*arguments):
        answer = await client_start(*arguments)
        agent.clock.now += 1.0
        return answer

    client.start = start
    assert (await driver._start_with_retries(run))[0] == UNANSWERED
    assert len(client.leases_end_at) == 1


@pytest.mark.parametrize("suspended_s", [0.0, 2.0])
def test_lease_of_an_owner_ends_while_the_machine_is_suspended(suspended_s):
    # The steady clock does not count this time, but the owner has repeated the run.
    suspensions = [0.0]
    agent = make_suspendable_agent(suspensions)
    agent.start(0)
    agent.poll(run_id(0))
    agent.supervisor.tick()
    suspensions.append(suspended_s)
    for _ in range(2):
        agent.clock.now += 0.05
        agent.supervisor.tick()
    orders = [type(order) for order in agent.supervisor.take_orders()]
    assert orders == ([StopOrder] if suspended_s else [])


async def test_start_is_not_repeated_for_a_run_that_is_being_stopped():
    agent = Agent()
    client = ScriptedClient(agent, starts=[UNANSWERED, STARTED])
    driver = WorkerDriver(agent.supervisor, client, lambda: None, None)
    run = order_start(agent)
    client_start = client.start

    async def start(*arguments):
        answer = await client_start(*arguments)
        agent.supervisor.stop("entry-1@1", [run.run_id])
        return answer

    client.start = start
    assert (await driver._start_with_retries(run))[0] == UNANSWERED
    assert len(client.starts) == 1


def test_run_listed_by_a_poll_is_not_stopped_for_a_lost_response():
    agent = Agent()
    run = order_start(agent)
    agent.poll(run_id(0))
    agent.supervisor.record_start_outcome(run, UNANSWERED)
    assert agent.supervisor.runs[run_id(0)].phase == Phase.RUNNING
    assert agent.supervisor.take_orders() == []


@pytest.mark.parametrize(
    "polls, reachable",
    [
        ([True, False, True], [True, True, True, True]),
        ([True, False, False, True], [True, True, True, False, True]),
    ],
)
async def test_worker_is_unreachable_after_the_second_failed_poll(polls, reachable):
    agent = Agent()
    client = ScriptedClient(agent, polls=polls)
    async with anyio.create_task_group() as group:
        driver = WorkerDriver(agent.supervisor, client, lambda: None, group)
        group.start_soon(driver.poll_forever)
        with anyio.fail_after(5.0):
            while len(client.reachable) < len(reachable):
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert client.reachable == reachable


@pytest.mark.parametrize(("boot", "lapsed"), [(7, False), (8, True)])
async def test_worker_is_polled_at_once_when_a_report_names_a_later_boot(boot, lapsed):
    # Guards against a restart that is noticed only when the poll in progress returns.
    agent = Agent()
    agent.start(0)
    agent.clock.now += 0.001

    class Client(ScriptedClient):
        async def poll(self, lease_ends_at, wait_s, last_end):
            assert (lease_ends_at, wait_s) == (None, 0.0)
            return WorkerPoll(boot)

    async with anyio.create_task_group() as group:
        client = Client(agent)
        driver = WorkerDriver(agent.supervisor, client, lambda: None, group)
        agent.supervisor.update_facts(WorkerFacts("w-1", 8), 1)
        driver.flush()
    assert agent.supervisor.boot == boot
    assert (run_id(0) not in agent.supervisor.runs) == lapsed


async def test_exit_of_a_worker_is_noticed_when_it_accepts_no_connection():
    agent = Agent()
    agent.start(0)
    assert agent.supervisor.grant_lease() == agent.clock.now + WORKER_LEASE_S
    refused = PeerUnavailable("not connected", "poll", "worker")
    client = ScriptedClient(agent, polls=[False, refused])
    async with anyio.create_task_group() as group:
        driver = WorkerDriver(agent.supervisor, client, lambda: None, group)
        agent.supervisor.record_worker_exit("w-1")
        group.start_soon(driver.poll_forever)
        with anyio.fail_after(5.0):
            while len(client.reachable) < 3:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert agent.supervisor.runs == {}


@pytest.mark.parametrize("claimed", [False, True])
async def test_lease_is_not_extended_for_runs_without_a_known_owner(claimed):
    # Guards against a task that ran twice: a restarted agent kept a run alive whose
    # owner had not reached it and repeated the run elsewhere.
    agent = Agent()
    agent.supervisor = Supervisor(agent.clock)
    leases_s = []

    class Client(ScriptedClient):
        async def poll(self, lease_ends_at, wait_s, last_end):
            is_granted = lease_ends_at is not None
            leases_s.append(lease_ends_at - self.clock.now if is_granted else 0.0)
            if len(leases_s) == 4:
                await anyio.sleep_forever()
            if len(leases_s) == 2 and claimed:
                agent.attach(HeldRun(run_id(0), FACTS.capacity))
            return WorkerPoll(7, [RunStatus(run_id(0), 1)])

    async with anyio.create_task_group() as group:
        driver = WorkerDriver(agent.supervisor, Client(agent), lambda: None, group)
        group.start_soon(driver.poll_forever)
        with anyio.fail_after(5.0):
            while len(leases_s) < 4:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert leases_s == pytest.approx([0, 0] + [WORKER_LEASE_S if claimed else 0] * 2)
