"""Plays entries, agents and workers in simulated time.

The schedulers, supervisors and links are the daemons' own; the network, the workers
and the callers are played. A play repeats exactly under the same seed.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from emulator.workers import EmulatedWorker
from emulator.worlds import NETWORK_S, PlayedConnection, PlayedDaemon, World
from marigoldkeel.fleet.drivers import (
    COALESCE_DELAY_S,
    POLL_WAIT_S,
    RETRY_DELAY_S,
    START_TIMEOUTS_S,
)
from marigoldkeel.fleet.links import AgentEndpoint, AgentLink, OwnerEndpoint
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


TICK_S = 0.05
ORDER_S = 0.0005
LOOK_TIMEOUT_S = 0.06
STOP_TIMEOUT_S = 0.1
# An order that is carried out late has its answer lost and arrives after this.
LATE_ORDER_S = 3.0


class PlayedAgent(PlayedDaemon):
    """An agent with its worker."""

    def __init__(self, play: "Play", worker: EmulatedWorker):
        super().__init__(play.world, worker.name, worker.domain)
        self.play = play
        self.worker = worker
        self.late_share = 0.0
        self.begin()

    def begin(self) -> None:
        """Make the parts of a new process and start its loops."""
        self.supervisor = Supervisor(self.world.clock)
        self.links = AgentEndpoint(self.supervisor, self.flush, self.world.clock)
        self.flushing = False
        self.looking = False
        self.answered = False
        self.look_number = 0
        self.every(1.5, self.report)
        self.every(TICK_S, self.tick)
        self.world.after(0.0, self.look)

    def start(self) -> None:
        super().start()
        self.begin()

    def report(self) -> None:
        """Take the worker's own report."""
        if not self.worker.silent:
            self.supervisor.update_facts(
                self.worker.facts, round(self.world.now * 1000)
            )
            self.flush()

    def tick(self) -> None:
        self.supervisor.tick()
        self.flush()

    def flush(self) -> None:
        """Carry out orders and tell the owners a little later."""
        for order in self.supervisor.take_orders():
            action = self._start if isinstance(order, StartOrder) else self._stop
            action(order.run)
        if not self.flushing:
            self.flushing = True
            self.world.after(COALESCE_DELAY_S, lambda: self.when_awake(self._deliver))

    def _deliver(self) -> None:
        self.flushing = False
        self.links.deliver()

    def look(self) -> None:
        """Begin a look; it ends when a run ends, or after the usual wait."""
        if not self.alive or self.looking:
            return
        if self.frozen:
            self.held_back.append(self.look)
            return
        self.looking = True
        self.look_number += 1
        number = self.look_number
        asked_at = self.world.now
        lapses_at = 0.0
        if self.answered:
            self.supervisor.extend_worker_lease(WORKER_LEASE_S)
            lapses_at = asked_at + WORKER_LEASE_S
        if self.worker.silent:
            timeout_s = POLL_WAIT_S + LOOK_TIMEOUT_S
            self.world.after(timeout_s, lambda: self._look_failed(number))
            return
        self.worker.advance(self.world.now)
        self.worker._extend(lapses_at)
        self._await_end(number, asked_at, asked_at + POLL_WAIT_S)

    def _await_end(self, number: int, asked_at: float, until: float) -> None:
        if not self.alive or number != self.look_number:
            return
        self.worker.advance(self.world.now)
        unseen = any(row.number > self.supervisor.last_end for row in self.worker.ended)
        if unseen or self.world.now >= until - 1e-9:
            look = self.worker.look(0.0, self.supervisor.last_end)
            self.world.after(
                ORDER_S, lambda: self.when_awake(lambda: self._looked(look, asked_at))
            )
            return
        moment = min(until, max(self.world.now + 0.001, self.worker.next_change()))
        # Another run may be started meanwhile and end sooner.
        moment = min(moment, self.world.now + 0.01)
        self.world.at(moment, lambda: self._await_end(number, asked_at, until))

    def _looked(self, look: Any, asked_at: float) -> None:
        self.looking = False
        self.answered = True
        self.supervisor.record_poll(look, asked_at)
        self.supervisor.report_progress()
        self.flush()
        self.look()

    def _look_failed(self, number: int) -> None:
        if not self.alive or number != self.look_number:
            return
        self.looking = False
        if self.answered:
            self.answered = False
            self.look()
            return
        self.supervisor.record_poll_failure()
        self.flush()
        self.world.after(RETRY_DELAY_S, self.look)

    def _start(self, run: Run) -> None:
        self.supervisor.extend_worker_lease(WORKER_LEASE_S)
        lapses_at = self.world.now + WORKER_LEASE_S
        self._try_start(self.supervisor, run, lapses_at, 0)

    def _try_start(
        self, supervisor: Supervisor, run: Run, lapses_at: float, attempt: int
    ) -> None:
        def answer(outcome: StartOutcome) -> None:
            if attempt and outcome != StartOutcome.STARTED:
                outcome = StartOutcome.UNANSWERED
            self.when_awake(lambda: self._answered(supervisor, run, outcome))

        if attempt == len(START_TIMEOUTS_S) or run.phase != Phase.STARTING:
            answer(StartOutcome.UNANSWERED)
            return
        if self.worker.silent or self.world.random.random() < self.late_share:
            self.world.after(LATE_ORDER_S, lambda: self._carry_out(run, lapses_at))
            self.world.after(
                START_TIMEOUTS_S[attempt],
                lambda: self._try_start(supervisor, run, lapses_at, attempt + 1),
            )
            return

        def execute() -> None:
            outcome = self._carry_out(run, lapses_at)
            self.world.after(ORDER_S, lambda: answer(outcome))

        self.world.after(ORDER_S, execute)

    def _carry_out(self, run: Run, lapses_at: float) -> StartOutcome:
        self.worker.advance(self.world.now)
        work_s, fails = self.play.work_of(run.run_id.task)
        return self.worker.start(run.run_id, run.demand, work_s, lapses_at, fails)

    def _answered(self, supervisor: Supervisor, run: Run, outcome: StartOutcome):
        supervisor.record_start_outcome(run, outcome)
        if supervisor is self.supervisor:
            self.flush()

    def _stop(self, run: Run) -> None:
        supervisor = self.supervisor

        def execute() -> None:
            answered = not self.worker.silent
            if answered:
                self.worker.advance(self.world.now)
                self.worker.stop(run.run_id)
            delay_s = ORDER_S if answered else STOP_TIMEOUT_S + RETRY_DELAY_S
            self.world.after(delay_s, lambda: self.when_awake(lambda: done(answered)))

        def done(answered: bool) -> None:
            supervisor.record_stop_outcome(run, answered)
            if supervisor is self.supervisor:
                self.flush()

        self.world.after(ORDER_S, execute)


class PlayedEntry(PlayedDaemon):
    """An entry with the agents of a play."""

    def __init__(self, play: "Play", name: str, domain: str):
        super().__init__(play.world, name, domain)
        self.play = play
        self.begin()

    def begin(self) -> None:
        """Make the parts of a new process and start its loops."""
        world = self.world
        self.fleet = FleetView()
        self.links = OwnerEndpoint(self.member, self.fleet, world.clock)
        self.scheduler = Scheduler(
            self.fleet,
            self.domain,
            self.links.send,
            world.clock,
            world.wall_ms,
            seed=world.random.randrange(1 << 30),
            sharers=lambda: sum(entry.alive for entry in self.play.entries),
            **self.play.options,
        )
        self.links.scheduler = self.scheduler
        self.links.group = self
        for agent in self.play.agents:
            self.links.add(agent.member)
        self.every(TICK_S, self.links.step)

    def start(self) -> None:
        super().start()
        self.begin()

    def start_soon(self, action: Callable, *arguments: Any) -> None:
        """Stand in for a task group: connect to agents, close connections."""
        if not arguments:
            self.world.after(0.0, action)
            return
        link: AgentLink = arguments[0]
        self.world.after(2 * NETWORK_S, lambda: self._connected(link))

    def _connected(self, link: AgentLink) -> None:
        link.connecting = False
        agent = self.play.agent(link.member.name)
        if not agent.alive or self.cut_from(agent) or not self.alive:
            link.retry_at = self.world.now + link.retry_delay_s
            link.retry_delay_s = min(0.5, 2 * link.retry_delay_s)
            return
        near = PlayedConnection(self.world, agent.name, self)
        far = PlayedConnection(self.world, self.name, agent)
        near.other, far.other = far, near
        near.listener, far.listener = self.links, agent.links
        self.connections.append(near)
        agent.connections.append(far)
        self.when_awake(lambda: self.links.attach(link, near))


@dataclass(slots=True)
class PlayedJob:
    """A job of a caller, with what became of it."""

    job: RepeatableJob
    entry: PlayedEntry
    works_s: list[list[float]]
    hopeless: bool = False
    owned: OwnedJob | None = None
    answer: JobAnswer | None = None
    sent_at: float = 0.0
    answered_at: float | None = None

    @property
    def objective_s(self) -> float:
        """The time within which the caller wants the answer."""
        longest_s = max(max(step) for step in self.works_s)
        queue = self.job.queue
        return queue.stretch * longest_s + queue.allowance_s

    @property
    def took_s(self) -> float:
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
class Play:
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
    agents: list[PlayedAgent] = field(default_factory=list)
    entries: list[PlayedEntry] = field(default_factory=list)
    jobs: list[PlayedJob] = field(default_factory=list)
    by_id: dict[str, PlayedJob] = field(default_factory=dict)

    def __post_init__(self):
        self.world = World(self.seed)

    def agent(self, name: str) -> PlayedAgent:
        """Return an agent."""
        return next(agent for agent in self.agents if agent.name == name)

    def add_worker(
        self, name: str, domain: str, capacity: Resources, speed: float = 1.0
    ) -> PlayedAgent:
        """Add a worker and its agent."""
        worker = EmulatedWorker(name, "service", domain, capacity, speed)
        agent = PlayedAgent(self, worker)
        self.agents.append(agent)
        for entry in self.entries:
            entry.links.add(agent.member)
        return agent

    def add_entry(self, name: str, domain: str) -> PlayedEntry:
        """Add an entry."""
        entry = PlayedEntry(self, name, domain)
        self.entries.append(entry)
        return entry

    def work_of(self, task: TaskId) -> tuple[float, bool]:
        """Return a task's work in seconds, and whether it can never be done."""
        played = self.by_id[task.job_id]
        return played.works_s[task.step][task.index], played.hopeless

    def submit(
        self,
        entry: PlayedEntry,
        queue: Queue,
        works_s: list[float],
        demand: Resources,
        estimate_s: float,
        patience_s: float = 30.0,
        hopeless: bool = False,
        job_id: str = "",
    ) -> PlayedJob:
        """Hand in a job of one step now."""
        job_id = job_id or f"{len(self.jobs):016x}"
        step = Step(len(works_s), demand, estimate_s)
        now = self.world.now
        job = RepeatableJob(job_id, queue, "payload", [step], now, patience_s)
        played = PlayedJob(job, entry, [works_s], hopeless, sent_at=now)
        self.jobs.append(played)
        self.by_id[job_id] = played
        if not entry.alive:
            return played

        def answered(answer: JobAnswer) -> None:
            played.answer = answer
            played.answered_at = self.world.now

        played.owned = entry.scheduler.submit(job, answered)
        return played

    def offer(self, load: Load) -> None:
        """Let callers hand in jobs at random times and entries.

        The jobs depend on nothing but the seed, so that policies meet the same load.
        """
        rng = random.Random(f"{self.seed} {load.queue.name} {load.begins_at}")

        def arrive() -> None:
            if self.world.now >= load.ends_at:
                return
            work_s = load.work_s * rng.lognormvariate(
                -(load.spread**2) / 2, load.spread
            )
            width = max(1, round(load.width * rng.lognormvariate(-0.08, 0.4)))
            works_s = [work_s * rng.uniform(0.85, 1.15) for _ in range(width)]
            estimate_s = work_s * rng.lognormvariate(0, load.estimate_spread)
            entry = rng.choice([entry for entry in self.entries if entry.alive])
            self.submit(entry, load.queue, works_s, load.demand, estimate_s)
            self.world.after(rng.expovariate(load.jobs_per_s), arrive)

        self.world.at(load.begins_at + rng.expovariate(load.jobs_per_s), arrive)

    def run(self, until: float) -> None:
        """Let time pass."""
        self.world.run_until(until)

    # What is checked afterwards

    def overlaps(self) -> list[TaskId]:
        """Return the tasks of which two runs went on at the same time."""
        spans: dict[TaskId, list[tuple[float, float]]] = {}
        for agent in self.agents:
            ends = {run_id: moment for moment, run_id, _ in agent.worker.ends}
            for moment, run_id in agent.worker.starts:
                end = ends.get(run_id, float("inf"))
                spans.setdefault(run_id.task, []).append((moment, end))
        doubled = []
        for task, intervals in spans.items():
            intervals.sort()
            for earlier, later in zip(intervals, intervals[1:], strict=False):
                if later[0] < earlier[1] - 1e-9:
                    doubled.append(task)
        return doubled

    def overfull(self) -> list[str]:
        """Return the workers that were given more than they hold."""
        return [
            agent.name
            for agent in self.agents
            if agent.worker.most_used > agent.worker.capacity.cpu_milli
        ]

    def started(self, played: PlayedJob) -> bool:
        """Whether any task of a job has started."""
        return any(
            run_id.task.job_id == played.job.job_id
            for agent in self.agents
            for _, run_id in agent.worker.starts
        )

    def wasted(self, end: RunEnd) -> int:
        """Return how many runs ended in a certain way."""
        return sum(
            how == end for agent in self.agents for _, _, how in agent.worker.ends
        )
