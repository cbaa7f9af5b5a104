"""A worker as its agent sees it: orders, leases, progress, ends and faults."""

from dataclasses import dataclass, field

from marigoldkeel.fleet.messages import WorkerFacts
from marigoldkeel.fleet.supervisors import (
    RunEndRecord,
    RunStatus,
    StartOutcome,
    WorkerPoll,
)
from marigoldkeel.fleet.work import Resources, RunEnd, RunId


MAX_LEASE_S = 1.0


@dataclass(slots=True)
class EmulatedRun:
    """A run at a worker; ``work_s`` is its run time at speed 1."""

    run_id: RunId
    demand: Resources
    work_s: float
    fails: bool = False
    done_s: float = 0.0


@dataclass(slots=True)
class EmulatedWorker:
    """One worker in simulated time. Call `advance` before anything else.

    :ivar speed: Work done in a second.
    :ivar failing: Whether every run fails as soon as it starts.
    :ivar hanging: Whether runs stand still.
    :ivar silent: Whether calls have no answer.
    """

    name: str
    service: str
    domain: str
    capacity: Resources
    speed: float = 1.0
    labels: list[str] = field(default_factory=list)
    boot: int = 1
    now: float = 0.0
    lapses_at: float = 0.0
    runs: dict[RunId, EmulatedRun] = field(default_factory=dict)
    ended: list[RunEndRecord] = field(default_factory=list)
    highest: dict = field(default_factory=dict)
    next_end: int = 1
    failing: bool = False
    hanging: bool = False
    silent: bool = False
    leaving: bool = False
    starts: list[tuple[float, RunId]] = field(default_factory=list)
    ends: list[tuple[float, RunId, RunEnd]] = field(default_factory=list)
    most_used: int = 0

    @property
    def facts(self) -> WorkerFacts:
        """What the worker reports of itself."""
        return WorkerFacts(
            self.name,
            self.boot,
            self.service,
            self.domain,
            self.labels,
            self.capacity,
            self.leaving,
        )

    def advance(self, now: float) -> None:
        """Let the runs go on until ``now``."""
        while self.runs:
            moment = min(now, self.next_change())
            step_s = moment - self.now
            self.now = moment
            if not self.hanging:
                for run in self.runs.values():
                    run.done_s += step_s * self.speed
            for run in list(self.runs.values()):
                if run.fails or self.failing:
                    self._end(run, RunEnd.FAILED)
                elif run.done_s >= run.work_s - 1e-9:
                    self._end(run, RunEnd.DONE)
            if self.now >= self.lapses_at:
                for run in list(self.runs.values()):
                    self._end(run, RunEnd.LAPSED)
            if moment >= now:
                break
        self.now = now

    def next_change(self) -> float:
        """Return when the next run ends or the lease does."""
        moments = [self.lapses_at]
        if not self.hanging:
            moments += [
                self.now + (run.work_s - run.done_s) / self.speed
                for run in self.runs.values()
            ]
        return max(self.now, min(moments))

    def start(
        self,
        run_id: RunId,
        demand: Resources,
        work_s: float,
        lapses_at: float,
        fails: bool = False,
    ) -> StartOutcome:
        """Carry out an order to start."""
        if lapses_at <= self.now:
            return StartOutcome.REFUSED
        if run_id in self.runs:
            return StartOutcome.STARTED
        if run_id.number <= self.highest.get(run_id.task, 0):
            return StartOutcome.OUTDATED
        self._extend(lapses_at)
        self.runs[run_id] = EmulatedRun(run_id, demand, work_s, fails)
        self.starts.append((self.now, run_id))
        used = sum(run.demand.cpu_milli for run in self.runs.values())
        self.most_used = max(self.most_used, used)
        return StartOutcome.STARTED

    def stop(self, run_id: RunId) -> None:
        """Carry out an order to stop; a run that is not there is refused later."""
        run = self.runs.get(run_id)
        if run is not None:
            self._end(run, RunEnd.STOPPED)
        self._note_highest(run_id)

    def look(self, lapses_at: float, last_end: int) -> WorkerPoll:
        """Answer a look."""
        self._extend(lapses_at)
        self.ended = [row for row in self.ended if row.number > last_end]
        rows = [
            RunStatus(run.run_id, min(99, int(100 * run.done_s / run.work_s)))
            for run in self.runs.values()
        ]
        return WorkerPoll(self.boot, rows, list(self.ended))

    def crash(self) -> None:
        """Lose all runs and start again."""
        for run in list(self.runs.values()):
            self.ends.append((self.now, run.run_id, RunEnd.LAPSED))
        self.runs.clear()
        self.ended.clear()
        self.highest.clear()
        self.next_end = 1
        self.boot += 1
        self.lapses_at = 0.0

    def _extend(self, lapses_at: float) -> None:
        self.lapses_at = max(self.lapses_at, min(lapses_at, self.now + MAX_LEASE_S))

    def _note_highest(self, run_id: RunId) -> None:
        number = max(run_id.number, self.highest.get(run_id.task, 0))
        self.highest[run_id.task] = number

    def _end(self, run: EmulatedRun, end: RunEnd) -> None:
        del self.runs[run.run_id]
        self._note_highest(run.run_id)
        self.ended.append(RunEndRecord(self.next_end, run.run_id, end))
        self.next_end += 1
        self.ends.append((self.now, run.run_id, end))
