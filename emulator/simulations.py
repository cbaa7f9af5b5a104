"""Discrete-event simulation of entries, agents and workers.

The schedulers, supervisors and links are those of the daemons; the network, the workers
and the callers are simulated. A simulation is deterministic for a given seed.
"""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from msgspec.structs import replace

from emulator.event_loop import (
    NETWORK_LATENCY_S,
    EventLoop,
    SimulatedConnection,
    SimulatedProcess,
)
from emulator.workers import EmulatedWorker
from marigoldkeel.fleet.drivers import (
    COALESCE_DELAY_S,
    POLL_WAIT_S,
    RETRY_DELAY_S,
    START_TIMEOUTS_S,
)
from marigoldkeel.fleet.evacuations import EvacuatedDomains
from marigoldkeel.fleet.links import AgentEndpoint, AgentLink, OwnerEndpoint
from marigoldkeel.fleet.messages import WorkerFacts
from marigoldkeel.fleet.owned import OwnedJob
from marigoldkeel.fleet.plans import Queue
from marigoldkeel.fleet.runs import CheckBootOrder, Phase, Run, StartOrder, StartOutcome
from marigoldkeel.fleet.schedulers import Scheduler
from marigoldkeel.fleet.supervisors import MAX_ORDER_AGE_S, Supervisor
from marigoldkeel.fleet.views import FleetView
from marigoldkeel.fleet.work import (
    JobAnswer,
    RepeatableJob,
    Resources,
    RunEnd,
    Step,
    TaskId,
)


TICK_INTERVAL_S = 0.05
ORDER_LATENCY_S = 0.0005
POLL_TIMEOUT_S = 0.06
STOP_TIMEOUT_S = 0.1
# A delayed order arrives after this time, and its answer is lost.
DELAYED_ORDER_S = 3.0
# Of the tasks in the long tail of the run times.
TAIL_FACTOR = 7.0


class SimulatedAgent(SimulatedProcess):
    """An agent and its worker.

    :ivar delayed_order_ratio: Probability that an order to the worker is delayed.
    """

    def __init__(self, simulation: "FleetSimulation", worker: EmulatedWorker):
        super().__init__(simulation.loop, worker.name, worker.domain)
        self.simulation = simulation
        self.worker = worker
        self.delayed_order_ratio = 0.0
        self.initialize()

    def initialize(self) -> None:
        """Create the state of a new process and start its periodic tasks."""
        self.supervisor = Supervisor(self.clock, domain=self.domain)
        self.links = AgentEndpoint(self.supervisor, self.flush, self.clock, self.name)
        self.flush_scheduled = False
        self.polling = False
        self.last_poll_answered = False
        self.poll_number = 0
        self.every(1.5, self.report)
        self.every(TICK_INTERVAL_S, self.tick)
        self.loop.call_later(0.0, self.poll)

    def start(self) -> None:
        super().start()
        self.initialize()

    def report(self) -> None:
        """Receive the worker's own report."""
        if not self.worker.unresponsive:
            self.supervisor.update_facts(self.worker.facts, round(self.loop.now * 1000))
            self.flush()

    def receive_report(self, facts: WorkerFacts, sequence: int = 1) -> None:
        """Receive a report that the worker may not have sent."""
        self.supervisor.update_facts(facts, sequence)
        self.flush()

    def receive_exit(self, worker: str) -> None:
        """Receive an exit announcement that the worker may not have sent."""
        self.supervisor.record_worker_exit(worker)
        self.flush()

    def tick(self) -> None:
        self.supervisor.tick()
        self.flush()

    def flush(self) -> None:
        """Send orders to the worker, and notify the owners after a short delay."""
        for order in self.supervisor.take_orders():
            if isinstance(order, CheckBootOrder):
                continue  # The poll in progress shows a restart within POLL_WAIT_S.
            action = (
                self._send_start if isinstance(order, StartOrder) else self._send_stop
            )
            action(order.run)
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.loop.call_later(
                COALESCE_DELAY_S, lambda: self.run_when_resumed(self._deliver)
            )

    def _deliver(self) -> None:
        self.flush_scheduled = False
        self.links.deliver()

    def poll(self) -> None:
        """Start a long poll of the worker; it returns when a run ends or time is up."""
        if not self.alive or self.polling:
            return
        if self.paused:
            self.deferred.append(self.poll)
            return
        self.polling = True
        self.poll_number += 1
        number = self.poll_number
        requested_at = self.clock()
        lease_ends_at = 0.0
        if self.last_poll_answered and not self.supervisor.has_unclaimed_runs:
            lease_ends_at = self.supervisor.grant_lease() or 0.0
        self.pass_point()
        if self.worker.unresponsive:
            timeout_s = POLL_WAIT_S + POLL_TIMEOUT_S
            self.loop.call_later(timeout_s, lambda: self._poll_failed(number))
            return
        self.worker.advance(self.loop.now)
        self.worker.extend_lease(lease_ends_at)
        self._await_end(number, requested_at, requested_at + POLL_WAIT_S)

    def _await_end(self, number: int, requested_at: float, until: float) -> None:
        if not self.alive or number != self.poll_number:
            return
        self.worker.advance(self.loop.now)
        has_new_end = any(
            row.number > self.supervisor.last_end for row in self.worker.ended
        )
        if has_new_end or self.loop.now >= until - 1e-9:
            poll_result = self.worker.poll(0.0, self.supervisor.last_end)
            self.loop.call_later(
                ORDER_LATENCY_S,
                lambda: self.run_when_resumed(
                    lambda: self._poll_answered(poll_result, requested_at)
                ),
            )
            return
        when = min(until, max(self.loop.now + 0.001, self.worker.next_event_time()))
        # A run that starts in the meantime may end sooner.
        when = min(when, self.loop.now + 0.01)
        self.loop.call_at(when, lambda: self._await_end(number, requested_at, until))

    def _poll_answered(self, poll_result: Any, requested_at: float) -> None:
        self.polling = False
        self.last_poll_answered = True
        self.supervisor.record_poll(poll_result, requested_at)
        self.supervisor.report_progress()
        self.flush()
        self.poll()

    def _poll_failed(self, number: int) -> None:
        if not self.alive or number != self.poll_number:
            return
        self.polling = False
        if self.last_poll_answered:
            self.last_poll_answered = False
            self.poll()
            return
        self.supervisor.record_poll_failure()
        self.flush()
        self.loop.call_later(RETRY_DELAY_S, self.poll)

    def _send_start(self, run: Run) -> None:
        lease_ends_at = self.supervisor.grant_lease() or self.loop.now
        self._try_start(self.supervisor, run, lease_ends_at, 0)

    def _try_start(
        self, supervisor: Supervisor, run: Run, lease_ends_at: float, attempt: int
    ) -> None:
        def answer(outcome: StartOutcome) -> None:
            if attempt and outcome != StartOutcome.STARTED:
                outcome = StartOutcome.UNANSWERED
            self.run_when_resumed(
                lambda: self._start_answered(supervisor, run, outcome)
            )

        if attempt == len(START_TIMEOUTS_S) or run.phase != Phase.STARTING:
            answer(StartOutcome.UNANSWERED)
            return
        longest_age_s = MAX_ORDER_AGE_S + sum(START_TIMEOUTS_S[:attempt])
        if supervisor.order_age_s(run) > longest_age_s:
            answer(StartOutcome.REFUSED)
            return
        self.pass_point()
        if (
            self.worker.unresponsive
            or self.loop.random.random() < self.delayed_order_ratio
        ):
            self.loop.call_later(
                DELAYED_ORDER_S, lambda: self._execute_start(run, lease_ends_at)
            )
            self.loop.call_later(
                START_TIMEOUTS_S[attempt],
                lambda: self.run_when_resumed(
                    lambda: self._try_start(supervisor, run, lease_ends_at, attempt + 1)
                ),
            )
            return

        def execute() -> None:
            outcome = self._execute_start(run, lease_ends_at)
            self.loop.call_later(ORDER_LATENCY_S, lambda: answer(outcome))

        self.loop.call_later(ORDER_LATENCY_S, execute)

    def _execute_start(self, run: Run, lease_ends_at: float) -> StartOutcome:
        self.worker.advance(self.loop.now)
        work_s, fails = self.simulation.task_work(run.run_id.task)
        return self.worker.start(run.run_id, run.demand, work_s, lease_ends_at, fails)

    def _start_answered(self, supervisor: Supervisor, run: Run, outcome: StartOutcome):
        supervisor.record_start_outcome(run, outcome)
        if supervisor is self.supervisor:
            self.flush()

    def _send_stop(self, run: Run) -> None:
        supervisor = self.supervisor

        def execute() -> None:
            answered = not self.worker.unresponsive
            if answered:
                self.worker.advance(self.loop.now)
                self.worker.stop(run.run_id)
            delay_s = ORDER_LATENCY_S if answered else STOP_TIMEOUT_S + RETRY_DELAY_S
            self.loop.call_later(
                delay_s, lambda: self.run_when_resumed(lambda: done(answered))
            )

        def done(answered: bool) -> None:
            supervisor.record_stop_outcome(run, answered)
            if supervisor is self.supervisor:
                self.flush()

        self.loop.call_later(ORDER_LATENCY_S, execute)


class SimulatedEntry(SimulatedProcess):
    """An entry that is connected to the agents of a simulation.

    :ivar latencies_s: The latencies of the two ends of each new connection.
    """

    def __init__(self, simulation: "FleetSimulation", name: str, domain: str):
        super().__init__(simulation.loop, name, domain)
        self.latencies_s = itertools.repeat((NETWORK_LATENCY_S, NETWORK_LATENCY_S))
        self.simulation = simulation
        self.initialize()

    def initialize(self) -> None:
        """Create the state of a new process and start its periodic tasks."""
        loop = self.loop
        self.evacuations = EvacuatedDomains()
        self.fleet = FleetView(self.evacuations)
        self.links = OwnerEndpoint(
            self.member,
            self.fleet,
            self.clock,
            lambda: sum(entry.alive for entry in self.simulation.entries),
        )
        self.scheduler = Scheduler(
            self.fleet,
            self.domain,
            self.links.send,
            self.clock,
            loop.wall_ms,
            seed=loop.random.randrange(1 << 30),
            entries_per_worker=self.links.entries_per_agent,
            connect_workers=self.links.connect_workers,
            finds_workers=self.links.finds_workers,
            continue_soon=self.continue_soon,
            **self.simulation.options,
        )
        self.links.scheduler = self.scheduler
        self.links.group = self
        self.evacuations.on_update = self.links.update_evacuations
        for agent in self.simulation.agents:
            self.discover(agent)
        self.every(TICK_INTERVAL_S, self.links.step)

    def discover(self, agent: SimulatedAgent) -> None:
        """Add an agent with the description of its worker."""
        self.links.add(agent.member)
        self.links.describe(agent.name, agent.worker.facts)

    def continue_soon(self) -> None:
        self.loop.call_later(
            0.0, lambda: self.run_when_resumed(self.scheduler.schedule)
        )

    def read_record(self, agent: SimulatedAgent, address: str) -> None:
        """Read a directory record with an address that may be another's."""
        self.links.add(replace(agent.member, address=address))

    def start(self) -> None:
        super().start()
        self.initialize()

    def start_soon(self, action: Callable, *arguments: Any) -> None:
        """Emulate the links' task group: connect to an agent, or run an action."""
        if not arguments:
            self.loop.call_later(0.0, action)
            return
        link: AgentLink = arguments[-1]
        self.loop.call_later(2 * NETWORK_LATENCY_S, lambda: self._connected(link))

    def _connected(self, link: AgentLink) -> None:
        link.connecting = False
        agent = self.simulation.find_agent(link.member.name)
        is_there = agent.alive and link.member.address == agent.member.address
        if not is_there or self.is_partitioned_from(agent) or not self.alive:
            link.retry_at = self.loop.now + link.retry_delay_s
            link.retry_delay_s = min(0.5, 2 * link.retry_delay_s)
            return
        entry_end = SimulatedConnection(self.loop, agent.name, self)
        agent_end = SimulatedConnection(self.loop, self.name, agent)
        entry_end.other, agent_end.other = agent_end, entry_end
        entry_end.listener, agent_end.listener = self.links, agent.links
        entry_end.latency_s, agent_end.latency_s = next(self.latencies_s)
        self.connections.append(entry_end)
        agent.connections.append(agent_end)
        self.run_when_resumed(lambda: self.links.attach(link, entry_end))
        self.simulation.on_connected(self, agent)


@dataclass(slots=True)
class SimulatedJob:
    """A job submitted by a caller, and its outcome.

    :ivar task_work_s: Run time at speed 1 of each task of each step.
    :ivar always_fails: Whether every run of its tasks fails.
    :ivar has_left: Whether the caller has left before the answer.
    """

    job: RepeatableJob
    entry: SimulatedEntry
    task_work_s: list[list[float]]
    always_fails: bool = False
    owned: OwnedJob | None = None
    answer: JobAnswer | None = None
    sent_at: float = 0.0
    answered_at: float | None = None
    has_left: bool = False

    @property
    def objective_s(self) -> float:
        """The time within which an answer is in time for the caller."""
        longest_s = max(max(step) for step in self.task_work_s)
        queue = self.job.queue
        return queue.stretch * longest_s + queue.allowance_s

    @property
    def response_time_s(self) -> float:
        """How long the caller waited; infinite without an answer."""
        return (
            float("inf")
            if self.answered_at is None
            else (self.answered_at - self.sent_at)
        )


@dataclass(slots=True)
class Load:
    """A Poisson stream of jobs for one queue.

    :ivar width: Mean number of tasks per job.
    :ivar work_s: Mean run time of a task at speed 1.
    :ivar spread: Standard deviation of the logarithm of the run time.
    :ivar estimate_spread: Standard deviation of the logarithm of the estimate's error.
    :ivar demand_spread: Largest relative deviation of a job's CPU demand.
    :ivar entry_weights: How much of the load each entry receives; evenly if empty.
    :ivar patience_s: How much longer than the run callers wait; 0 for 30 s in all.
    :ivar leave_ratio: Share of the callers that leave after a part of that time.
    :ivar tail_ratio: Share of the tasks that take `TAIL_FACTOR` times as long.
    """

    queue: Queue
    jobs_per_s: float
    width: int
    work_s: float
    demand: Resources
    spread: float = 0.4
    estimate_spread: float = 0.4
    starts_at: float = 0.0
    ends_at: float = float("inf")
    demand_spread: float = 0.0
    entry_weights: list[float] = field(default_factory=list)
    patience_s: float = 0.0
    leave_ratio: float = 0.0
    tail_ratio: float = 0.0


@dataclass
class FleetSimulation:
    """Simulated entries, agents and workers, and the jobs that callers submit.

    Usage::

        simulation = FleetSimulation(seed=1)
        simulation.add_worker("w-1", "a", Resources(16000, 65536), speed=1.2)
        simulation.add_entry("e-1", "a")
        simulation.offer(load)
        simulation.run(10.0)
    """

    seed: int = 1
    options: dict = field(default_factory=dict)
    agents: list[SimulatedAgent] = field(default_factory=list)
    entries: list[SimulatedEntry] = field(default_factory=list)
    jobs: list[SimulatedJob] = field(default_factory=list)
    by_id: dict[str, SimulatedJob] = field(default_factory=dict)

    def __post_init__(self):
        self.loop = EventLoop(self.seed)
        # Called with the entry and the agent of each new connection.
        self.on_connected: Callable[[SimulatedEntry, SimulatedAgent], None] = (
            lambda entry, agent: None
        )

    def separate(
        self, first: SimulatedProcess, second: SimulatedProcess, seconds: float
    ) -> None:
        """Separate two processes by a partition for a time."""
        first.partitioned_from.add(second.name)
        self.loop.call_later(
            seconds, lambda: first.partitioned_from.discard(second.name)
        )

    def evacuate(self, revision: int, *domains: str, entries=None) -> None:
        """State to entries which domains are evacuated as of a revision.

        :param entries: The entries that are told; all that are alive by default.
        """
        for entry in self.entries if entries is None else entries:
            if entry.alive:
                entry.evacuations.offer(revision, domains, "test")

    def find_agent(self, name: str) -> SimulatedAgent:
        """Return the agent with a name."""
        return next(agent for agent in self.agents if agent.name == name)

    def add_worker(
        self, name: str, domain: str, capacity: Resources, speed: float = 1.0
    ) -> SimulatedAgent:
        """Add a worker and its agent."""
        worker = EmulatedWorker(name, "service", domain, capacity, speed)
        agent = SimulatedAgent(self, worker)
        self.agents.append(agent)
        for entry in self.entries:
            entry.discover(agent)
        return agent

    def add_entry(self, name: str, domain: str) -> SimulatedEntry:
        entry = SimulatedEntry(self, name, domain)
        self.entries.append(entry)
        return entry

    def task_work(self, task: TaskId) -> tuple[float, bool]:
        """Return a task's run time at speed 1, and whether it always fails."""
        submitted = self.by_id[task.job_id]
        return submitted.task_work_s[task.step][task.index], submitted.always_fails

    def submit(
        self,
        entry: SimulatedEntry,
        queue: Queue,
        task_work_s: list[float],
        demand: Resources,
        estimate_s: float,
        caller_timeout_s: float = 30.0,
        always_fails: bool = False,
        job_id: str = "",
        held: bool = False,
    ) -> SimulatedJob:
        """Submit a job of one step at the current time."""
        job_id = job_id or f"{len(self.jobs):016x}"
        step = Step(len(task_work_s), demand, estimate_s)
        now = self.loop.now
        job = RepeatableJob(job_id, queue, "payload", [step], now, caller_timeout_s)
        submitted = SimulatedJob(job, entry, [task_work_s], always_fails, sent_at=now)
        self.jobs.append(submitted)
        self.by_id[job_id] = submitted
        if not entry.alive:
            return submitted

        def answered(answer: JobAnswer) -> None:
            submitted.answer = answer
            submitted.answered_at = self.loop.now

        submitted.owned = entry.scheduler.submit(job, answered, held)
        return submitted

    def offer(self, load: Load) -> None:
        """Let callers submit jobs at random times to random entries.

        The jobs depend only on the seed, so that policies are compared under the same
        load.
        """
        rng = random.Random(f"{self.seed} {load.queue.name} {load.starts_at}")

        def arrive() -> None:
            if self.loop.now >= load.ends_at:
                return
            work_s = load.work_s * rng.lognormvariate(
                -(load.spread**2) / 2, load.spread
            )
            width = max(1, round(load.width * rng.lognormvariate(-0.08, 0.4)))
            task_work_s = [work_s * rng.uniform(0.85, 1.15) for _ in range(width)]
            estimate_s = work_s * rng.lognormvariate(0, load.estimate_spread)
            if load.tail_ratio:
                task_work_s = [
                    task_s * (TAIL_FACTOR if rng.random() < load.tail_ratio else 1.0)
                    for task_s in task_work_s
                ]
            caller_timeout_s = 30.0
            if load.patience_s:
                caller_timeout_s = max(task_work_s) + load.patience_s
            demand = load.demand
            if load.demand_spread:
                factor = 1 + load.demand_spread * rng.uniform(-1, 1)
                demand = replace(demand, cpu_milli=round(factor * demand.cpu_milli))
            submitted = self.submit(
                self._choose_entry(load, rng),
                load.queue,
                task_work_s,
                demand,
                estimate_s,
                caller_timeout_s,
            )
            if load.leave_ratio and rng.random() < load.leave_ratio:
                left_after_s = rng.random() * caller_timeout_s
                self.loop.call_later(left_after_s, lambda: self._leave(submitted))
            self.loop.call_later(rng.expovariate(load.jobs_per_s), arrive)

        self.loop.call_at(load.starts_at + rng.expovariate(load.jobs_per_s), arrive)

    def _choose_entry(self, load: Load, rng: random.Random) -> SimulatedEntry:
        # While all entries are down, a caller is sent to one and gets no answer.
        alive = [entry for entry in self.entries if entry.alive] or self.entries
        if not load.entry_weights:
            return rng.choice(alive)
        weights = [
            weight if entry in alive else 0.0
            for entry, weight in zip(self.entries, load.entry_weights, strict=True)
        ]
        return rng.choices(self.entries, weights)[0]

    def _leave(self, submitted: SimulatedJob) -> None:
        """Let a caller disconnect that has no answer yet."""
        submitted.has_left = submitted.answer is None
        is_owned = submitted.owned is not None and submitted.entry.alive
        if submitted.has_left and is_owned:
            submitted.entry.scheduler.abandon(submitted.owned, "left")

    def run(self, until: float) -> None:
        """Run the simulation up to a time."""
        self.loop.run_until(until)

    # Checks after a run

    def overlapping_tasks(self) -> list[TaskId]:
        """Return the tasks of which two runs were active at the same time."""
        spans: dict[TaskId, list[tuple[float, float]]] = {}
        for agent in self.agents:
            ends = {run_id: when for when, run_id, _ in agent.worker.ends}
            for when, run_id in agent.worker.starts:
                end = ends.get(run_id, float("inf"))
                spans.setdefault(run_id.task, []).append((when, end))
        overlapping = []
        for task, intervals in spans.items():
            intervals.sort()
            for earlier, later in zip(intervals, intervals[1:], strict=False):
                if later[0] < earlier[1] - 1e-9:
                    overlapping.append(task)
        return overlapping

    def overcommitted_workers(self) -> list[str]:
        """Return the workers whose CPU demand has exceeded their capacity."""
        return [
            agent.name
            for agent in self.agents
            if agent.worker.peak_cpu_milli > agent.worker.capacity.cpu_milli
        ]

    def started(self, submitted: SimulatedJob) -> bool:
        """Return whether any task of a job has started."""
        return any(
            run_id.task.job_id == submitted.job.job_id
            for agent in self.agents
            for _, run_id in agent.worker.starts
        )

    def count_runs_ended(self, end: RunEnd) -> int:
        """Return how many runs ended in the given way."""
        return sum(
            run_end == end
            for agent in self.agents
            for _, _, run_end in agent.worker.ends
        )
