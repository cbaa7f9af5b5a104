"""An emulated worker as seen by its agent: runs, leases, progress and faults."""

from dataclasses import dataclass, field

from marigoldkeel.fleet.messages import WorkerFacts
from marigoldkeel.fleet.runs import RunEndRecord, RunStatus, StartOutcome, WorkerPoll
from marigoldkeel.fleet.work import Resources, RunEnd, RunId


MAX_LEASE_S = 1.0


@dataclass(slots=True)
class EmulatedRun:
    """A run on a worker.

    :ivar work_s: Run time at speed 1.
    :ivar done_s: Completed part of ``work_s``.
    """

    run_id: RunId
    demand: Resources
    work_s: float
    fails: bool = False
    done_s: float = 0.0


@dataclass(slots=True)
class EmulatedWorker:
    """An emulated worker. Call `advance` before any other method.

    :ivar speed: Seconds of work done per second.
    :ivar lease_ends_at: When the lease on the worker expires and all runs are stopped.
    :ivar ended: Ended runs that the agent has not acknowledged.
    :ivar highest_run_numbers: The highest number of an ended or stopped run, by task.
    :ivar failing: Whether every run fails as soon as it starts.
    :ivar hanging: Whether runs make no progress.
    :ivar unresponsive: Whether calls get no response.
    :ivar starts: Time and run of all starts.
    :ivar ends: Time, run and kind of all ends.
    """

    name: str
    service: str
    domain: str
    capacity: Resources
    speed: float = 1.0
    labels: list[str] = field(default_factory=list)
    boot: int = 1
    now: float = 0.0
    lease_ends_at: float = 0.0
    runs: dict[RunId, EmulatedRun] = field(default_factory=dict)
    ended: list[RunEndRecord] = field(default_factory=list)
    highest_run_numbers: dict = field(default_factory=dict)
    next_end_number: int = 1
    failing: bool = False
    hanging: bool = False
    unresponsive: bool = False
    leaving: bool = False
    starts: list[tuple[float, RunId]] = field(default_factory=list)
    ends: list[tuple[float, RunId, RunEnd]] = field(default_factory=list)
    peak_cpu_milli: int = 0

    @property
    def facts(self) -> WorkerFacts:
        """The worker's description of itself."""
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
        """Advance the runs to the time ``now``."""
        while self.runs:
            when = min(now, self.next_event_time())
            step_s = when - self.now
            self.now = when
            if not self.hanging:
                for run in self.runs.values():
                    run.done_s += step_s * self.speed
            for run in list(self.runs.values()):
                if run.fails or self.failing:
                    self._end(run, RunEnd.FAILED)
                elif run.done_s >= run.work_s - 1e-9:
                    self._end(run, RunEnd.DONE)
            if self.now >= self.lease_ends_at:
                for run in list(self.runs.values()):
                    self._end(run, RunEnd.LAPSED)
            if when >= now:
                break
        self.now = now

    def next_event_time(self) -> float:
        """Return when the next run ends or the lease expires."""
        times = [self.lease_ends_at]
        if not self.hanging:
            times += [
                self.now + (run.work_s - run.done_s) / self.speed
                for run in self.runs.values()
            ]
        return max(self.now, min(times))

    def start(
        self,
        run_id: RunId,
        demand: Resources,
        work_s: float,
        lease_ends_at: float,
        fails: bool = False,
    ) -> StartOutcome:
        """Start a run."""
        if lease_ends_at <= self.now:
            return StartOutcome.REFUSED
        if run_id in self.runs:
            return StartOutcome.STARTED
        if run_id.number <= self.highest_run_numbers.get(run_id.task, 0):
            return StartOutcome.OUTDATED
        self.extend_lease(lease_ends_at)
        self.runs[run_id] = EmulatedRun(run_id, demand, work_s, fails)
        self.starts.append((self.now, run_id))
        used = sum(run.demand.cpu_milli for run in self.runs.values())
        self.peak_cpu_milli = max(self.peak_cpu_milli, used)
        return StartOutcome.STARTED

    def stop(self, run_id: RunId) -> None:
        """Stop a run; if it is not present, a later order to start it is refused."""
        run = self.runs.get(run_id)
        if run is not None:
            self._end(run, RunEnd.STOPPED)
        self._record_run_number(run_id)

    def poll(self, lease_ends_at: float, last_end: int) -> WorkerPoll:
        """Extend the lease, drop acknowledged ends and return the current state."""
        self.extend_lease(lease_ends_at)
        self.ended = [row for row in self.ended if row.number > last_end]
        rows = [
            RunStatus(run.run_id, min(99, int(100 * run.done_s / run.work_s)))
            for run in self.runs.values()
        ]
        return WorkerPoll(self.boot, rows, list(self.ended))

    def crash(self, boot_change: int = 1) -> None:
        """Lose all runs and restart with another boot number.

        :param boot_change: Negative after the worker's clock was set back.
        """
        for run in list(self.runs.values()):
            self.ends.append((self.now, run.run_id, RunEnd.LAPSED))
        self.runs.clear()
        self.ended.clear()
        self.highest_run_numbers.clear()
        self.next_end_number = 1
        self.boot += boot_change
        self.lease_ends_at = 0.0

    def extend_lease(self, lease_ends_at: float) -> None:
        self.lease_ends_at = max(
            self.lease_ends_at, min(lease_ends_at, self.now + MAX_LEASE_S)
        )

    def _record_run_number(self, run_id: RunId) -> None:
        number = max(run_id.number, self.highest_run_numbers.get(run_id.task, 0))
        self.highest_run_numbers[run_id.task] = number

    def _end(self, run: EmulatedRun, end: RunEnd) -> None:
        del self.runs[run.run_id]
        self._record_run_number(run.run_id)
        self.ended.append(RunEndRecord(self.next_end_number, run.run_id, end))
        self.next_end_number += 1
        self.ends.append((self.now, run.run_id, end))
