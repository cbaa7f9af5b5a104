"""The account that an agent keeps of its worker's room and of the runs there.

No I/O: the caller passes in what it has learned, with the time, and carries out the
orders and delivers the notices that are left in ``orders`` and ``notices``.

Promises, with at most one agent for each worker:

- The demands of all runs that may exist at the worker never exceed its capacity. A
  run counts from before its start is ordered until its end is known; a start without
  an answer is stopped and counts until it can no longer take effect.
- A run whose owner has been silent for ``OWNER_LEASE_S`` is stopped.
- An owner is told of each of its runs how it ended or that it never started.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, StrEnum

from marigoldkeel.fleet.messages import (
    Attach,
    Progress,
    RunEvent,
    RunEventKind,
    RunProgress,
    StartRuns,
    WorkerFacts,
)
from marigoldkeel.fleet.work import NO_RESOURCES, Resources, RunEnd, RunId, TaskId


# A caller that has lost its owner asks again 1.3 s later at the earliest, and by then
# nothing of the job may run. Stopping takes up to 0.1 s; the rest is for an agent that
# stops in the meantime, whose worker then ends all runs by itself.
OWNER_LEASE_S = 0.5
# How long the runs found at a worker may wait for an owner to claim them. Owners
# reconnect to a restarted agent within a few tenths of a second.
CLAIM_TIMEOUT_S = 0.6
# The worker's lease on all of its runs, renewed with each look at it, every 0.2 s at
# the latest. It bounds how long the runs of a lost worker cannot be repeated.
WORKER_LEASE_S = 0.5
# A worker's clock may be slow by this share, which makes its lease longer.
MAX_CLOCK_DRIFT = 0.02
LEASE_MARGIN_S = 0.05
# A look at the worker that is older than this says nothing of its present state.
MAX_POLL_AGE_S = 0.5
# A run whose progress has stood still for this share of its expected time, and no less
# than STALL_MIN_S, is stopped. Progress is shown in whole percents.
STALL_FRACTION = 0.25
MIN_STALL_TIMEOUT_S = 0.35
# Ends that are remembered for owners whose connection was lost before they were told,
# some tens of seconds of them.
MAX_RECENT_EVENTS = 500
# Runs that end sooner than this need no reports of progress.
MIN_PROGRESS_RUN_S = 0.15
PROGRESS_INTERVAL_S = 0.2


class Phase(Enum):
    """Where a run stands, as far as the agent knows.

    ``FOUND`` runs were there when the agent started and have no owner yet.
    """

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    FOUND = "found"


class StartOutcome(StrEnum):
    """What a worker answered to the order to start a run.

    ``REFUSED`` and ``UNHEALTHY`` mean that nothing was started; ``OUTDATED`` that a
    run with a number as high has been there before; ``UNREACHABLE`` that the order
    was not sent; ``UNANSWERED`` that it may yet be carried out.
    """

    STARTED = "started"
    REFUSED = "refused"
    UNHEALTHY = "unhealthy"
    OUTDATED = "outdated"
    UNREACHABLE = "unreachable"
    UNANSWERED = "unanswered"


@dataclass(slots=True)
class Run:
    """One run at the worker, or one that may be there.

    :ivar demand: None if it is not known, which leaves no room for others.
    :ivar settled_at: When the last order for it was answered; None while one is out.
    :ivar seen: Whether the worker has shown it.
    """

    run_id: RunId
    owner: str
    demand: Resources | None
    phase: Phase
    ordered_at: float
    payload: str = ""
    expected_s: float = 0.0
    order_answered_at: float | None = None
    started_at: float | None = None
    confirmed: bool = False
    percent: int = 0
    progressed_at: float = 0.0
    reported_at: float = 0.0
    stop_reason: RunEnd = RunEnd.STOPPED


@dataclass(slots=True)
class Owner:
    """An entry that may have runs here."""

    incarnation: str
    name: str
    last_heard_at: float


@dataclass(slots=True)
class RunStatus:
    """A run that the worker shows as present."""

    run_id: RunId
    percent: int


@dataclass(slots=True)
class RunEndRecord:
    """An end that the worker lists; ``number`` rises within a boot."""

    number: int
    run_id: RunId
    end: RunEnd


@dataclass(slots=True)
class WorkerPoll:
    """What the worker showed at one look."""

    boot: int
    running: list[RunStatus] = field(default_factory=list)
    ended: list[RunEndRecord] = field(default_factory=list)


@dataclass(slots=True)
class StartOrder:
    """The worker is to be ordered to start a run."""

    run: Run


@dataclass(slots=True)
class StopOrder:
    """The worker is to be ordered to stop a run."""

    run: Run


@dataclass(slots=True)
class OwnerNotification:
    """Something to tell an owner; ``owner`` is an incarnation."""

    owner: str
    content: RunEvent | Progress


class Supervisor:
    """The account of one worker.

    Usage::

        supervisor = Supervisor(clock=time.monotonic)
        supervisor.observe = run_times.observe
        supervisor.update_facts(facts)
        supervisor.looked(look, asked_at)
        supervisor.start("entry-1@5f", message)
        for order in supervisor.take_orders(): ...
        for notice in supervisor.take_notices(): ...
    """

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.facts: WorkerFacts | None = None
        self.report_sequence = -1
        self.boot = 0
        self.last_end = 0
        self.runs: dict[RunId, Run] = {}
        self.owners: dict[str, Owner] = {}
        self.pending_claims: dict[RunId, tuple[str, Resources]] = {}
        self.recent_events: OrderedDict[RunId, RunEvent] = OrderedDict()
        self.polled_at = float("-inf")
        self.worker_lease_ends_at = float("-inf")
        self.first_polled_at = float("-inf")
        self.progress_reported_at = float("-inf")
        self.leaving = False
        self.reachable = False
        self.last_demand = NO_RESOURCES
        self.orders: list[StartOrder | StopOrder] = []
        self.notifications: list[OwnerNotification] = []
        self.last_tick_at = clock()
        self.observe: Callable[[RunEnd, float], None] = lambda end, run_s: None

    # What the worker says

    def update_facts(self, facts: WorkerFacts, sequence: int) -> bool:
        """Take a worker's report about itself.

        :param sequence: Rises with each report of one boot.
        :return: Whether it was newer than what is known.
        """
        if facts.boot < self.boot:
            return False
        if facts.boot == self.boot and sequence <= self.report_sequence:
            return False
        if facts.boot > self.boot:
            self._reset_for_boot(facts.boot)
        self.report_sequence = sequence
        self.facts = facts
        return True

    def adopt_facts(self, facts: WorkerFacts) -> None:
        """Take what an owner remembers of the worker, if nothing better is known."""
        if self.facts is None and facts.worker and facts.boot == self.boot:
            self.facts = facts

    def record_worker_exit(self, worker: str) -> None:
        """Note that the worker has said that it ends now."""
        if self.facts is not None and self.facts.worker == worker:
            self._end_all(RunEnd.LAPSED)
            self.facts = None

    def extend_worker_lease(self, lease_s: float) -> None:
        """Note that the worker is being given a lease on all of its runs."""
        worker_lease_ends_at = (
            self.clock() + lease_s * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_S
        )
        self.worker_lease_ends_at = max(self.worker_lease_ends_at, worker_lease_ends_at)

    def record_poll(self, poll: WorkerPoll, requested_at: float) -> None:
        """Take what the worker showed in answer to a look begun at ``asked_at``."""
        if poll.boot < self.boot:
            return
        if poll.boot > self.boot:
            self._reset_for_boot(poll.boot)
        now = self.clock()
        if self.polled_at == float("-inf"):
            self.first_polled_at = now
        self.polled_at = requested_at
        self.reachable = True
        present = {row.run_id: row for row in poll.running}
        for end in poll.ended:
            self._record_end(end, now)
        for row in poll.running:
            self._update_running(row, now)
        for run in list(self.runs.values()):
            is_order_answered = (
                run.order_answered_at is not None
                and run.order_answered_at < requested_at
            )
            if is_order_answered and run.run_id not in present:
                self._settle_missing(run)
        for run_id, (owner, _) in list(self.pending_claims.items()):
            # Claims of runs that are not there any more.
            del self.pending_claims[run_id]
            self._notify_end(run_id, owner, RunEnd.LAPSED, 0.0)

    def record_poll_failure(self) -> None:
        """Note that a look had no answer; nothing starts before one has."""
        self.reachable = False
        if self.clock() > self.worker_lease_ends_at:
            self._end_all(RunEnd.LAPSED)

    def record_start_outcome(
        self, run: Run, outcome: StartOutcome, detail: str = ""
    ) -> None:
        """Take the answer to a `StartOrder`."""
        if run.run_id not in self.runs:
            return
        now = self.clock()
        if outcome == StartOutcome.STARTED:
            run.order_answered_at = now
            if run.phase == Phase.STARTING:
                self._mark_running(run, now)
        elif outcome == StartOutcome.UNANSWERED and run.phase == Phase.RUNNING:
            # A look has shown it meanwhile.
            run.order_answered_at = now
        elif outcome == StartOutcome.UNANSWERED:
            self._stop(run, RunEnd.STOPPED)
        else:
            self._remove(run)
            self._notify_refused(run.owner, run.run_id, detail or outcome.value)

    def record_stop_outcome(self, run: Run, answered: bool) -> None:
        """Take the outcome of a `StopOrder`; one without an answer is repeated."""
        if run.run_id not in self.runs:
            return
        if answered:
            run.order_answered_at = self.clock()
        else:
            self.orders.append(StopOrder(run))

    # What owners ask for

    def attach(self, message: Attach) -> None:
        """Take an owner's account of the runs that it has here."""
        owner = message.owner.incarnation
        for other in list(self.owners.values()):
            if other.name == message.owner.name and other.incarnation != owner:
                self._remove_owner(other)
        self.owners[owner] = Owner(owner, message.owner.name, self.clock())
        held = {item.run: item.demand for item in message.held}
        for run in list(self.runs.values()):
            if run.owner == owner and run.run_id not in held:
                self._stop(run, RunEnd.STOPPED)
        for run_id, demand in held.items():
            self._claim(run_id, owner, demand)
        self.adopt_facts(message.facts)

    def renew_owner_lease(self, owner: str, age_s: float = 0.0) -> bool:
        """Note a message of an owner; False if it has to attach first.

        :param age_s: How long it has been on its way.
        """
        known = self.owners.get(owner)
        if known is not None:
            known.last_heard_at = max(known.last_heard_at, self.clock() - age_s)
        return known is not None

    def refuse(self, owner: str, message: StartRuns, reason: str) -> None:
        """Start none of the runs of an order."""
        for run_id in message.run_ids():
            if run_id not in self.runs:
                self._notify_refused(owner, run_id, reason)

    def start(self, owner: str, message: StartRuns) -> None:
        """Start the runs that fit now and refuse the others."""
        now = self.clock()
        for run_id in message.run_ids():
            if run_id in self.runs:
                continue
            reason = self._refusal_reason(run_id.task, message)
            if reason:
                self._notify_refused(owner, run_id, reason)
                continue
            run = Run(
                run_id,
                owner,
                message.demand,
                Phase.STARTING,
                now,
                message.payload,
                message.expected_ms / 1000,
            )
            self.runs[run_id] = run
            self.last_demand = message.demand
            self.orders.append(StartOrder(run))

    def stop(self, owner: str, run_ids: list[RunId]) -> None:
        """Stop runs of an owner."""
        for run_id in run_ids:
            run = self.runs.get(run_id)
            if run is None:
                self._notify_end(run_id, owner, RunEnd.LAPSED, 0.0)
            elif run.owner == owner:
                self._stop(run, RunEnd.STOPPED)

    # The passing of time

    def tick(self) -> None:
        """Stop the runs of silent owners, of nobody, and those that stand still."""
        now = self.clock()
        was_suspended = now - self.last_tick_at > OWNER_LEASE_S / 2
        self.last_tick_at = now
        if was_suspended:
            # This process stood still, so what owners sent is yet to be read.
            return
        owners_with_runs = {run.owner for run in self.runs.values()}
        for owner in list(self.owners.values()):
            lease_expired = now - owner.last_heard_at > OWNER_LEASE_S
            if lease_expired and owner.incarnation in owners_with_runs:
                self._remove_owner(owner)
        for run in list(self.runs.values()):
            if (
                run.phase == Phase.FOUND
                and now - self.first_polled_at > CLAIM_TIMEOUT_S
            ):
                self._stop(run, RunEnd.STOPPED)
            elif run.phase == Phase.RUNNING and run.confirmed:
                self._stop_if_stalled(run, now)

    def report_progress(self) -> None:
        """Leave notices of how far the longer runs are, now and then."""
        if self.clock() - self.progress_reported_at < PROGRESS_INTERVAL_S:
            return
        self.progress_reported_at = self.clock()
        rows: dict[str, list[RunProgress]] = {}
        for run in self.runs.values():
            if run.phase != Phase.RUNNING or not run.percent:
                continue
            elapsed_s = run.progressed_at - run.started_at
            if elapsed_s < MIN_PROGRESS_RUN_S or run.reported_at == run.progressed_at:
                continue
            run.reported_at = run.progressed_at
            row = RunProgress(run.run_id, run.percent, round(elapsed_s * 1000))
            rows.setdefault(run.owner, []).append(row)
        for owner, owned in rows.items():
            self.notifications.append(OwnerNotification(owner, Progress(owned)))

    # What others may read

    @property
    def reconciled(self) -> bool:
        """Whether the runs at the worker are known."""
        return self.polled_at > float("-inf")

    @property
    def usable(self) -> bool:
        """Whether a run may be started now."""
        return (
            self.facts is not None
            and self.facts.boot == self.boot
            and not self.facts.leaving
            and not self.leaving
            and self.reachable
            and self.clock() - self.polled_at < MAX_POLL_AGE_S
        )

    @property
    def free_resources(self) -> Resources:
        """What is free for new runs."""
        if self.facts is None:
            return NO_RESOURCES
        room = self.facts.capacity
        for run in self.runs.values():
            if run.demand is None:
                return NO_RESOURCES
            room = room - run.demand
        return Resources(
            max(0, room.cpu_milli), max(0, room.memory_mb), max(0, room.accelerators)
        )

    def take_orders(self) -> list[StartOrder | StopOrder]:
        """Return the orders to carry out and forget them."""
        orders, self.orders = self.orders, []
        return orders

    def take_notifications(self) -> list[OwnerNotification]:
        """Return the notices to deliver and forget them."""
        notifications, self.notifications = self.notifications, []
        return notifications

    # How the account changes

    def _refusal_reason(self, task: TaskId, message: StartRuns) -> str:
        if not self.usable:
            return "worker is not usable"
        if not message.demand.fits(self.free_resources):
            return "no room"
        same_step_runs = 0
        for run in self.runs.values():
            other = run.run_id.task
            if other == task:
                return "another run of the task is here"
            same_step_runs += (other.job_id, other.occurrence, other.step) == (
                message.job_id,
                message.occurrence,
                message.step,
            )
        if message.spread_limit and same_step_runs >= message.spread_limit:
            return "too many tasks of the step are here"
        return ""

    def _reset_for_boot(self, boot: int) -> None:
        """Start anew: a worker that was restarted runs nothing of before."""
        if self.boot:
            self._end_all(RunEnd.LAPSED)
        self.boot = boot
        self.report_sequence = -1
        self.last_end = 0
        if self.facts is not None and self.facts.boot != boot:
            self.facts = None

    def _end_all(self, end: RunEnd) -> None:
        for run in list(self.runs.values()):
            self._finish(run, end)

    def _claim(self, run_id: RunId, owner: str, demand: Resources) -> None:
        run = self.runs.get(run_id)
        if run is not None:
            if run.phase == Phase.FOUND:
                run.owner, run.demand = owner, demand
                run.phase = Phase.RUNNING
        elif run_id in self.recent_events:
            self.notifications.append(
                OwnerNotification(owner, self.recent_events[run_id])
            )
        elif self.reconciled:
            self._notify_end(run_id, owner, RunEnd.LAPSED, 0.0)
        else:
            self.pending_claims[run_id] = (owner, demand)

    def _update_running(self, row: RunStatus, now: float) -> None:
        run = self.runs.get(row.run_id)
        if run is None:
            owner, demand = self.pending_claims.pop(row.run_id, ("", None))
            phase = Phase.RUNNING if owner else Phase.FOUND
            run = Run(row.run_id, owner, demand, phase, now, order_answered_at=now)
            run.started_at = run.progressed_at = now
            self.runs[row.run_id] = run
        run.confirmed = True
        if run.phase == Phase.STARTING:
            self._mark_running(run, now)
        if row.percent != run.percent:
            run.percent = row.percent
            run.progressed_at = now

    def _mark_running(self, run: Run, now: float) -> None:
        run.phase = Phase.RUNNING
        run.started_at = run.progressed_at = now

    def _stop_if_stalled(self, run: Run, now: float) -> None:
        """Stop a run that stands still."""
        if self.polled_at < run.progressed_at:
            return
        limit_s = max(MIN_STALL_TIMEOUT_S, STALL_FRACTION * run.expected_s)
        if now - run.progressed_at > limit_s:
            self._stop(run, RunEnd.STALLED)

    def _stop(self, run: Run, reason: RunEnd) -> None:
        if run.phase == Phase.STOPPING:
            return
        run.phase = Phase.STOPPING
        run.stop_reason = reason
        run.order_answered_at = None
        self.orders.append(StopOrder(run))

    def _remove_owner(self, owner: Owner) -> None:
        del self.owners[owner.incarnation]
        for run in list(self.runs.values()):
            if run.owner == owner.incarnation:
                self._stop(run, RunEnd.STOPPED)

    def _record_end(self, row: RunEndRecord, now: float) -> None:
        if row.number <= self.last_end:
            return
        self.last_end = row.number
        run = self.runs.get(row.run_id)
        if run is not None:
            self._finish(run, row.end)
            return
        owner, _ = self.pending_claims.pop(row.run_id, ("", None))
        if owner:
            self._notify_end(row.run_id, owner, row.end, 0.0)

    def _finish(self, run: Run, end: RunEnd) -> None:
        """Settle a run that has ended or can no longer exist."""
        self._remove(run)
        if end == RunEnd.STOPPED:
            end = run.stop_reason
        run_started_at = run.started_at
        run_s = self.clock() - run_started_at if run_started_at is not None else 0.0
        self.observe(end, run_s)
        self._notify_end(run.run_id, run.owner, end, run_s)

    def _settle_missing(self, run: Run) -> None:
        """Settle a run that the worker does not show although it should."""
        if run.confirmed or run.phase == Phase.RUNNING:
            self._finish(run, RunEnd.LAPSED)
        else:
            # A run that was stopped before it was there is refused from then on.
            self._remove(run)
            self._notify_refused(run.owner, run.run_id, "the order had no answer")

    def _remove(self, run: Run) -> None:
        del self.runs[run.run_id]

    def _notify_refused(self, owner: str, run_id: RunId, reason: str) -> None:
        event = RunEvent(run_id, RunEventKind.REFUSED, reason=reason)
        self.notifications.append(OwnerNotification(owner, event))

    def _notify_end(self, run_id: RunId, owner: str, end: RunEnd, run_s: float) -> None:
        event = RunEvent(
            run_id, RunEventKind.ENDED, end, run_ms=max(0, round(run_s * 1000))
        )
        self.notifications.append(OwnerNotification(owner, event))
        self.recent_events[run_id] = event
        if len(self.recent_events) > MAX_RECENT_EVENTS:
            self.recent_events.popitem(last=False)
