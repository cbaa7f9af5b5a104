"""Plays entries, agents and workers in simulated time.

The schedulers, supervisors and links are the daemons' own; the network, the workers
and the callers are played. A play repeats exactly under the same seed.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from emulator.event_loop import (
    NETWORK_LATENCY_S,
    EventLoop,
    SimulatedConnection,
    SimulatedProcess,
)
from emulator.workers import EmulatedWorker
from marigoldkeel.fleet.drivers import (
    COALESCE_S,
    LOOK_WAIT_S,
    RETRY_S,
    START_TIMEOUTS_S,
)
from marigoldkeel.fleet.links import AgentLink, AgentLinks, OwnerLinks
from marigoldkeel.fleet.owned import OwnedJob
from marigoldkeel.fleet.plans import Queue
from marigoldkeel.fleet.schedulers import Scheduler
from marigoldkeel.fleet.supervisors import (
    WORKER_LEASE_S,
    Phase,
    Run,
    StartOrder,
    StartOutcome,
    Supervisor,
)
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
# An order that is carried out late has its answer lost and arrives after this.
DELAYED_ORDER_S = 3.0


class SimulatedAgent(SimulatedProcess):
    """An agent with its worker."""

    def __init__(self, simulation: "FleetSimulation", worker: EmulatedWorker):
        super().__init__(simulation.loop, worker.name, worker.domain)
        self.simulation = simulation
        self.worker = worker
        self.delayed_order_ratio = 0.0
        self.initialize()

    def initialize(self) -> None:
        """Make the parts of a new process and start its loops."""
        self.supervisor = Supervisor(self.loop.clock)
        self.links = AgentLinks(self.supervisor, self.flush, self.loop.clock)
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
        """Take the worker's own report."""
        if not self.worker.silent:
            self.supervisor.report(self.worker.facts, round(self.loop.now * 1000))
            self.flush()

    def tick(self) -> None:
        self.supervisor.tick()
        self.flush()

    def flush(self) -> None:
        """Carry out orders and tell the owners a little later."""
        for order in self.supervisor.take_orders():
            action = self._start if isinstance(order, StartOrder) else self._stop
            action(order.run)
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.loop.call_later(
                COALESCE_S, lambda: self.run_when_unfrozen(self._deliver)
            )

    def _deliver(self) -> None:
        self.flush_scheduled = False
        self.links.deliver()

    def poll(self) -> None:
        """Begin a look; it ends when a run ends, or after the usual wait."""
        if not self.alive or self.polling:
            return
        if self.frozen:
            self.deferred.append(self.poll)
            return
        self.polling = True
        self.poll_number += 1
        number = self.poll_number
        asked_at = self.loop.now
        lapses_at = 0.0
        if self.last_poll_answered:
            self.supervisor.lease_sent(WORKER_LEASE_S)
            lapses_at = asked_at + WORKER_LEASE_S
        if self.worker.silent:
            timeout_s = LOOK_WAIT_S + POLL_TIMEOUT_S
            self.loop.call_later(timeout_s, lambda: self._poll_failed(number))
            return
        self.worker.advance(self.loop.now)
        self.worker.extend_lease(lapses_at)
        self._await_end(number, asked_at, asked_at + LOOK_WAIT_S)

    def _await_end(self, number: int, asked_at: float, until: float) -> None:
        if not self.alive or number != self.poll_number:
            return
        self.worker.advance(self.loop.now)
        unseen = any(row.number > self.supervisor.last_end for row in self.worker.ended)
        if unseen or self.loop.now >= until - 1e-9:
            snapshot = self.worker.poll(0.0, self.supervisor.last_end)
            self.loop.call_later(
                ORDER_LATENCY_S,
                lambda: self.run_when_unfrozen(
                    lambda: self._poll_answered(snapshot, asked_at)
                ),
            )
            return
        when = min(until, max(self.loop.now + 0.001, self.worker.next_event_time()))
        # Another run may be started meanwhile and end sooner.
        when = min(when, self.loop.now + 0.01)
        self.loop.call_at(when, lambda: self._await_end(number, asked_at, until))

    def _poll_answered(self, snapshot: Any, asked_at: float) -> None:
        self.polling = False
        self.last_poll_answered = True
        self.supervisor.looked(snapshot, asked_at)
        self.supervisor.progress()
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
        self.supervisor.unreachable()
        self.flush()
        self.loop.call_later(RETRY_S, self.poll)

    def _start(self, run: Run) -> None:
        self.supervisor.lease_sent(WORKER_LEASE_S)
        lapses_at = self.loop.now + WORKER_LEASE_S
        self._try_start(self.supervisor, run, lapses_at, 0)

    def _try_start(
        self, supervisor: Supervisor, run: Run, lapses_at: float, attempt: int
    ) -> None:
        def answer(outcome: StartOutcome) -> None:
            if attempt and outcome != StartOutcome.STARTED:
                outcome = StartOutcome.UNANSWERED
            self.run_when_unfrozen(lambda: self._answered(supervisor, run, outcome))

        if attempt == len(START_TIMEOUTS_S) or run.phase != Phase.STARTING:
            answer(StartOutcome.UNANSWERED)
            return
        if self.worker.silent or self.loop.random.random() < self.delayed_order_ratio:
            self.loop.call_later(
                DELAYED_ORDER_S, lambda: self._carry_out(run, lapses_at)
            )
            self.loop.call_later(
                START_TIMEOUTS_S[attempt],
                lambda: self._try_start(supervisor, run, lapses_at, attempt + 1),
            )
            return

        def execute() -> None:
            outcome = self._carry_out(run, lapses_at)
            self.loop.call_later(ORDER_LATENCY_S, lambda: answer(outcome))

        self.loop.call_later(ORDER_LATENCY_S, execute)

    def _carry_out(self, run: Run, lapses_at: float) -> StartOutcome:
        self.worker.advance(self.loop.now)
        work_s, fails = self.simulation.task_work(run.run_id.task)
        return self.worker.start(run.run_id, run.demand, work_s, lapses_at, fails)

    def _answered(self, supervisor: Supervisor, run: Run, outcome: StartOutcome):
        supervisor.start_answered(run, outcome)
        if supervisor is self.supervisor:
            self.flush()

    def _stop(self, run: Run) -> None:
        supervisor = self.supervisor

        def execute() -> None:
            answered = not self.worker.silent
            if answered:
                self.worker.advance(self.loop.now)
                self.worker.stop(run.run_id)
            delay_s = ORDER_LATENCY_S if answered else STOP_TIMEOUT_S + RETRY_S
            self.loop.call_later(
                delay_s, lambda: self.run_when_unfrozen(lambda: done(answered))
            )

        def done(answered: bool) -> None:
            supervisor.stop_answered(run, answered)
            if supervisor is self.supervisor:
                self.flush()

        self.loop.call_later(ORDER_LATENCY_S, execute)


class SimulatedEntry(SimulatedProcess):
    """An entry with the agents of a play."""

    def __init__(self, simulation: "FleetSimulation", name: str, domain: str):
        super().__init__(simulation.loop, name, domain)
        self.simulation = simulation
        self.initialize()

    def initialize(self) -> None:
        """Make the parts of a new process and start its loops."""
        loop = self.loop
        self.fleet = FleetView()
        self.links = OwnerLinks(self.member, self.fleet, loop.clock)
        self.scheduler = Scheduler(
            self.fleet,
            self.domain,
            self.links.send,
            loop.clock,
            loop.wall_ms,
            seed=loop.random.randrange(1 << 30),
            count_entries=lambda: sum(entry.alive for entry in self.simulation.entries),
            **self.simulation.options,
        )
        self.links.scheduler = self.scheduler
        self.links.group = self
        for agent in self.simulation.agents:
            self.links.add(agent.member)
        self.every(TICK_INTERVAL_S, self.links.step)

    def start(self) -> None:
        super().start()
        self.initialize()

    def start_soon(self, action: Callable, *arguments: Any) -> None:
        """Stand in for a task group: connect to agents, close connections."""
        if not arguments:
            self.loop.call_later(0.0, action)
            return
        link: AgentLink = arguments[0]
        self.loop.call_later(2 * NETWORK_LATENCY_S, lambda: self._connected(link))

    def _connected(self, link: AgentLink) -> None:
        link.connecting = False
        agent = self.simulation.find_agent(link.member.name)
        if not agent.alive or self.is_partitioned_from(agent) or not self.alive:
            link.retry_at = self.loop.now + link.retry_s
            link.retry_s = min(0.5, 2 * link.retry_s)
            return
        entry_end = SimulatedConnection(self.loop, agent.name, self)
        agent_end = SimulatedConnection(self.loop, self.name, agent)
        entry_end.other, agent_end.other = agent_end, entry_end
        entry_end.listener, agent_end.listener = self.links, agent.links
        self.connections.append(entry_end)
        agent.connections.append(agent_end)
        self.run_when_unfrozen(lambda: self.links.attach(link, entry_end))


@dataclass(slots=True)
class SimulatedJob:
    """A job of a caller, with what became of it."""

    job: RepeatableJob
    entry: SimulatedEntry
    task_work_s: list[list[float]]
    always_fails: bool = False
    owned: OwnedJob | None = None
    answer: JobAnswer | None = None
    sent_at: float = 0.0
    answered_at: float | None = None

    @property
    def objective_s(self) -> float:
        """The time within which the caller wants the answer."""
        longest_s = max(max(step) for step in self.task_work_s)
        queue = self.job.queue
        return queue.stretch * longest_s + queue.allowance_s

    @property
    def response_time_s(self) -> float:
        """How long the caller waited."""
        return (
            float("inf")
            if self.answered_at is None
            else (self.answered_at - self.sent_at)
        )


@dataclass(slots=True)
class Load:
    """Arrivals of one queue: jobs of a mean width and run time."""

    queue: Queue
    jobs_per_s: float
    width: int
    work_s: float
    demand: Resources
    spread: float = 0.4
    estimate_spread: float = 0.4
    begins_at: float = 0.0
    ends_at: float = float("inf")


@dataclass
class FleetSimulation:
    """Entries, agents and workers, and the jobs that callers hand in.

    Usage::

        play = Play(seed=1)
        play.add_worker("w-1", "a", Resources(16000, 65536), speed=1.2)
        play.add_entry("e-1", "a")
        play.offer(load)
        play.run(10.0)
    """

    seed: int = 1
    options: dict = field(default_factory=dict)
    agents: list[SimulatedAgent] = field(default_factory=list)
    entries: list[SimulatedEntry] = field(default_factory=list)
    jobs: list[SimulatedJob] = field(default_factory=list)
    by_id: dict[str, SimulatedJob] = field(default_factory=dict)

    def __post_init__(self):
        self.loop = EventLoop(self.seed)

    def find_agent(self, name: str) -> SimulatedAgent:
        """Return an agent."""
        return next(agent for agent in self.agents if agent.name == name)

    def add_worker(
        self, name: str, domain: str, capacity: Resources, speed: float = 1.0
    ) -> SimulatedAgent:
        """Add a worker and its agent."""
        worker = EmulatedWorker(name, "service", domain, capacity, speed)
        agent = SimulatedAgent(self, worker)
        self.agents.append(agent)
        for entry in self.entries:
            entry.links.add(agent.member)
        return agent

    def add_entry(self, name: str, domain: str) -> SimulatedEntry:
        """Add an entry."""
        entry = SimulatedEntry(self, name, domain)
        self.entries.append(entry)
        return entry

    def task_work(self, task: TaskId) -> tuple[float, bool]:
        """Return a task's work in seconds, and whether it can never be done."""
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
    ) -> SimulatedJob:
        """Hand in a job of one step now."""
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

        submitted.owned = entry.scheduler.submit(job, answered)
        return submitted

    def offer(self, load: Load) -> None:
        """Let callers hand in jobs at random times and entries.

        The jobs depend on nothing but the seed, so that policies meet the same load.
        """
        rng = random.Random(f"{self.seed} {load.queue.name} {load.begins_at}")

        def arrive() -> None:
            if self.loop.now >= load.ends_at:
                return
            work_s = load.work_s * rng.lognormvariate(
                -(load.spread**2) / 2, load.spread
            )
            width = max(1, round(load.width * rng.lognormvariate(-0.08, 0.4)))
            task_work_s = [work_s * rng.uniform(0.85, 1.15) for _ in range(width)]
            estimate_s = work_s * rng.lognormvariate(0, load.estimate_spread)
            entry = rng.choice([entry for entry in self.entries if entry.alive])
            self.submit(entry, load.queue, task_work_s, load.demand, estimate_s)
            self.loop.call_later(rng.expovariate(load.jobs_per_s), arrive)

        self.loop.call_at(load.begins_at + rng.expovariate(load.jobs_per_s), arrive)

    def run(self, until: float) -> None:
        """Let time pass."""
        self.loop.run_until(until)

    # What is checked afterwards

    def overlapping_tasks(self) -> list[TaskId]:
        """Return the tasks of which two runs went on at the same time."""
        spans: dict[TaskId, list[tuple[float, float]]] = {}
        for agent in self.agents:
            ends = {run_id: when for when, run_id, _ in agent.worker.ends}
            for when, run_id in agent.worker.starts:
                end = ends.get(run_id, float("inf"))
                spans.setdefault(run_id.task, []).append((when, end))
        doubled = []
        for task, intervals in spans.items():
            intervals.sort()
            for earlier, later in zip(intervals, intervals[1:], strict=False):
                if later[0] < earlier[1] - 1e-9:
                    doubled.append(task)
        return doubled

    def overcommitted_workers(self) -> list[str]:
        """Return the workers that were given more than they hold."""
        return [
            agent.name
            for agent in self.agents
            if agent.worker.peak_cpu_milli > agent.worker.capacity.cpu_milli
        ]

    def started(self, submitted: SimulatedJob) -> bool:
        """Whether any task of a job has started."""
        return any(
            run_id.task.job_id == submitted.job.job_id
            for agent in self.agents
            for _, run_id in agent.worker.starts
        )

    def count_runs_ended(self, end: RunEnd) -> int:
        """Return how many runs ended in a certain way."""
        return sum(
            how == end for agent in self.agents for _, _, how in agent.worker.ends
        )
