"""Tracks the capacity of one worker and the runs on it, on behalf of its agent.

This module performs no I/O. The caller passes in events, executes the orders from
``take_orders`` and sends the notifications from ``take_notifications``.

Guarantees, provided that each worker has at most one agent:

- The total demand of all runs that may exist on the worker never exceeds its capacity.
  A run is counted from before its start order is sent until its end is known. A start
  order without a response is followed by a stop order, and the run is counted until the
  start order can no longer take effect.
- A run is stopped once its owner's lease, ``OWNER_LEASE_S``, has expired. While the
  run has not ended, no lease is granted to the worker that lasts beyond
  ``LOST_AGENT_TIMEOUT_S`` after the owner's last message. The same holds for
  ``ORDERED_STOP_TIMEOUT_S`` after an owner had reason to order a run to stop, and for
  ``RESUBMIT_DELAY_S`` after the caller has timed out.
- The owner of each run is notified how the run ended or that it never started.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable, Collection

from loguru import logger
from msgspec import Struct

from marigoldkeel.fleet.evacuations import EvacuatedDomains

# The names with an alias are also imported from here.
from marigoldkeel.fleet.leases import (
    LEASE_MARGIN_S,
    LOST_AGENT_TIMEOUT_S as LOST_AGENT_TIMEOUT_S,
    MAX_CLOCK_DRIFT,
    MAX_HANDOVER_LEASE_S,
    MAX_ORDER_AGE_S as MAX_ORDER_AGE_S,
    MAX_START_DELAY_S,
    ORDERED_STOP_TIMEOUT_S,
    OWNER_LEASE_S,
    WORKER_LEASE_S,
    Owner,
    end_by_time_out,
    longest_lease_s,
)
from marigoldkeel.fleet.messages import (
    Attach,
    Progress,
    RunEvent,
    RunEventKind,
    RunProgress,
    StartRuns,
    WorkerFacts,
)
from marigoldkeel.fleet.reports import (
    MAX_UNCONFIRMED_REPORTS as MAX_UNCONFIRMED_REPORTS,
    ReportOrder,
    ReportOutcome,
    WorkerReports,
)
from marigoldkeel.fleet.runs import (
    CheckBootOrder,
    PendingClaim,
    Phase,
    Run,
    RunEndRecord,
    RunStatus,
    StartOrder,
    StartOutcome,
    StopOrder,
    WorkerPoll,
)
from marigoldkeel.fleet.work import NO_RESOURCES, Resources, RunEnd, RunId, TaskId


# How long a restarted agent keeps runs that no owner has claimed. Owners reconnect to a
# restarted agent within a few tenths of a second.
CLAIM_TIMEOUT_S = 0.6
# A poll result older than this no longer describes the worker's current state.
MAX_POLL_AGE_S = 0.5
# A run is stopped if its progress has not changed for this fraction of its expected run
# time, but no earlier than MIN_STALL_TIMEOUT_S. Workers report whole percents.
STALL_FRACTION = 0.25
MIN_STALL_TIMEOUT_S = 0.35
# Run events that are kept for owners whose connection was lost before delivery. They
# cover some tens of seconds.
MAX_RECENT_EVENTS = 500
# Progress is not reported for runs that are shorter than this.
MIN_PROGRESS_RUN_S = 0.15
PROGRESS_INTERVAL_S = 0.2
# Reasons of an end that the worker has not stated itself.
NOT_LISTED = "a poll does not list it"
EVACUATED = "the failure domain is evacuated"
UNKNOWN_RUN = "the agent does not know it"


class OwnerNotification(Struct):
    """A message for an owner, which is identified by its incarnation."""

    owner: str
    content: RunEvent | Progress


class Supervisor:
    """Tracks the runs and the free capacity of one worker.

    :param clock: Returns monotonic seconds; measures what happens on this machine.
    :param suspended_clock: Returns seconds of a clock that includes time in system
        suspend; measures the leases and orders of owners on other machines.
    :param domain: The failure domain of the agent.
    :ivar evacuations: The evacuated domains, as stated by the owners.
    :ivar refused_orders: How many runs were refused, by reason.

    Usage::

        supervisor = Supervisor(clock=time.monotonic)
        supervisor.on_run_end = run_durations.observe
        supervisor.update_facts(facts, sequence)
        supervisor.record_poll(poll, requested_at)
        supervisor.start("entry-1@5f", message)
        for order in supervisor.take_orders(): ...
        for notification in supervisor.take_notifications(): ...
    """

    def __init__(
        self,
        clock: Callable[[], float],
        suspended_clock: Callable[[], float] | None = None,
        domain: str = "",
    ):
        self.clock = clock
        self.suspended_clock = suspended_clock or clock
        self.domain = domain
        self.evacuations = EvacuatedDomains()
        self.refused_orders: Counter[str] = Counter()
        self.reports = WorkerReports()
        self.ignored_poll_boot = 0
        self.last_end = 0
        self.runs: dict[RunId, Run] = {}
        self.owners: dict[str, Owner] = {}
        self.pending_claims: dict[RunId, PendingClaim] = {}
        self.recent_events: OrderedDict[RunId, RunEvent] = OrderedDict()
        self.created_at = clock()
        self.polled_at = float("-inf")
        self.worker_lease_ends_at = float("-inf")
        self.first_polled_at = float("-inf")
        self.progress_reported_at = float("-inf")
        self.leaving = False
        self.reachable = False
        self.last_demand = NO_RESOURCES
        self.orders: list[StartOrder | StopOrder | CheckBootOrder] = []
        self.notifications: list[OwnerNotification] = []
        self.last_tick_at = self.suspended_clock()
        self.on_run_end: Callable[[RunEnd, float], None] = lambda end, run_s: None

    # Events from the worker

    def update_facts(
        self, facts: WorkerFacts, sequence: int, clock_ms: float | None = None
    ) -> ReportOutcome:
        """Apply a worker's report about itself if it is newer than the last one.

        A report of a later boot ends no run: it is kept until a poll shows that boot.

        :param sequence: Increases with each report within a boot.
        :param clock_ms: The worker's clock when it sent the report; None if unknown.
        """
        is_unknown_boot = facts.boot not in self.unconfirmed
        outcome = self.reports.receive(facts, sequence, clock_ms, self.clock())
        if outcome == ReportOutcome.KEPT and is_unknown_boot and self.reconciled:
            logger.bind(boot=facts.boot, polled_boot=self.boot).info(
                "report of {} kept: no poll has shown its boot", facts.worker
            )
            self.orders.append(CheckBootOrder())
        if not outcome.counts:
            logger.bind(
                boot=facts.boot, polled_boot=self.boot, report_sequence=sequence
            ).info("report of {} ignored: {}", facts.worker, outcome.value)
        return outcome

    def adopt_facts(self, facts: WorkerFacts) -> None:
        """Use the worker facts cached by an owner if the worker has not reported yet.

        Facts of another boot are ignored.
        """
        self.reports.adopt(facts)

    def record_worker_exit(self, worker: str) -> None:
        """Record that the worker has announced its immediate exit.

        It gets no further runs until its next report. Its runs end once a poll finds
        it gone: the announcement may be that of an earlier boot, delivered late.
        """
        is_known = self.reports.announce_exit(worker)
        logger.bind(polled_boot=self.boot, runs=len(self.runs)).info(
            "exit of {} announced{}", worker, "" if is_known else ", ignored"
        )

    def grant_lease(self) -> float | None:
        """Grant the worker a lease on all of its runs, as long as is possible now.

        :return: When the lease ends, on this supervisor's clock; None if there is none.
        """
        return self._grant(self.clock(), self.grantable_lease_s())

    def grant_handover_lease(self) -> float | None:
        """Grant the lease with which this agent leaves the worker to its successor."""
        return self._grant(self.clock(), self.handover_lease_s())

    def _grant(self, now: float, lease_s: float) -> float | None:
        """Grant a lease that counts from ``now``, a time before it was computed.

        A pause in between shortens the lease.
        """
        if not lease_s:
            return None
        self._extend_worker_lease(now, lease_s)
        return now + lease_s

    def _extend_worker_lease(self, now: float, lease_s: float) -> None:
        """Record that the worker may have a lease that counts from ``now``."""
        ends_at = now + lease_s * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_S
        self.worker_lease_ends_at = max(self.worker_lease_ends_at, ends_at)

    def record_poll(self, poll: WorkerPoll, requested_at: float) -> None:
        """Apply the worker's response to a poll that was sent at ``requested_at``.

        A boot that differs from the known one is a restart, whether it is later or
        earlier: a boot is a time of day, and the worker's clock may have been set back.
        Only a poll that was sent before the last one that counted may be out of date.
        """
        if poll.boot != self.boot:
            if not poll.boot or requested_at <= self.polled_at:
                self._log_ignored_poll(poll)
                return
            self._reset_for_boot(poll, requested_at)
        now = self.clock()
        if self.polled_at == float("-inf"):
            self.first_polled_at = now
            if poll.running:
                # An earlier agent may have granted a lease just before it ended.
                self._extend_worker_lease(now, MAX_HANDOVER_LEASE_S)
        self.polled_at = max(self.polled_at, requested_at)
        self.reachable = True
        listed = {row.run_id: row for row in poll.running}
        for end in poll.ended:
            self._record_end(end, now)
        for row in poll.running:
            self._update_running(row, now)
        for run in list(self.runs.values()):
            is_order_answered = (
                run.order_answered_at is not None
                and run.order_answered_at < requested_at
            )
            if is_order_answered and run.run_id not in listed:
                self._settle_missing(run)
        for run_id, claim in list(self.pending_claims.items()):
            # The worker lists neither the run nor its end.
            del self.pending_claims[run_id]
            self._settle_claim(run_id, claim, NOT_LISTED)

    def record_poll_failure(self, not_connected: bool = False) -> None:
        """Record a failed poll; no run is started until a poll succeeds.

        :param not_connected: Whether the worker accepted no connection.
        """
        self.reachable = False
        if not_connected and self.reports.exit_announced:
            self._end_all(RunEnd.LAPSED, "the worker has exited")
        elif self.clock() > self.worker_lease_ends_at:
            self._end_all(RunEnd.LAPSED, "the worker's lease has expired")

    def record_start_outcome(
        self, run: Run, outcome: StartOutcome, detail: str = ""
    ) -> None:
        """Apply the outcome of a `StartOrder`."""
        if run.run_id not in self.runs:
            return
        now = self.clock()
        if outcome == StartOutcome.STARTED and run.phase == Phase.STOPPING:
            return  # The answer to the stop order decides.
        if outcome == StartOutcome.STARTED:
            run.order_answered_at = now
            if run.phase == Phase.STARTING:
                self._mark_running(run, now)
        elif outcome == StartOutcome.UNANSWERED and run.phase == Phase.RUNNING:
            # A poll has listed the run in the meantime.
            run.order_answered_at = now
        elif outcome == StartOutcome.UNANSWERED:
            self._stop(run, RunEnd.STOPPED)
        else:
            self._remove(run)
            # The owner renumbers its runs when it reads that they are outdated, in
            # whatever words the worker says so.
            is_outdated = outcome == StartOutcome.OUTDATED
            reason = outcome.value if is_outdated else detail or outcome.value
            self._notify_refused(run.owner, run.run_id, reason)

    def record_stop_outcome(self, run: Run, answered: bool) -> None:
        """Apply the outcome of a `StopOrder`, which is repeated if unanswered."""
        if run.run_id not in self.runs:
            return
        if answered:
            run.order_answered_at = self.clock()
        else:
            self.orders.append(StopOrder(run))

    # Requests of owners

    def attach(
        self,
        message: Attach,
        sent_at: float | None = None,
        connected: Collection[str] = (),
    ) -> None:
        """Register an owner and reconcile its runs with the ones it lists.

        Runs of the owner that it does not list are stopped, and so are all runs of
        other incarnations of the same entry. Incarnations have no order, so one that
        is connected and holds its lease is not taken for an earlier one.

        :param sent_at: When the owner sent the last message that renews its lease, on
            the clock that includes suspension; None for now.
        :param connected: The connected incarnations.
        """
        owner = message.owner.incarnation
        now = self.suspended_clock()
        for other in list(self.owners.values()):
            is_other = other.name == message.owner.name and other.incarnation != owner
            is_alive = other.incarnation in connected and other.has_lease(now)
            if is_other and not is_alive:
                self._remove_owner(other)
        sent_at = renewed_at = now if sent_at is None else sent_at
        if owner in self.owners:
            renewed_at = max(renewed_at, self.owners[owner].lease_renewed_at)
        self.owners[owner] = Owner(owner, message.owner.name, renewed_at, now)
        held = {item.run: item for item in message.held}
        for run in list(self.runs.values()):
            if run.owner == owner and run.run_id not in held:
                self._stop(run, RunEnd.STOPPED)
        may_start = (
            now - sent_at <= MAX_START_DELAY_S
            and self.clock() - self.created_at <= MAX_START_DELAY_S
        )
        for run_id, item in held.items():
            claim = PendingClaim(owner, item.demand, may_start)
            if item.caller_waits_ms:
                claim.end_by = end_by_time_out(sent_at, item.caller_waits_ms)
            self._claim(run_id, claim)
        self.adopt_facts(message.facts)

    def renew_owner_lease(self, owner: str, sent_at: float | None = None) -> bool:
        """Renew an owner's lease on receipt of a message from it.

        :param sent_at: When the owner sent the message, as in `attach`.
        :return: False if the owner is not attached.
        """
        owner_state = self.owners.get(owner)
        if owner_state is not None:
            if sent_at is None:
                sent_at = self.suspended_clock()
            owner_state.lease_renewed_at = max(owner_state.lease_renewed_at, sent_at)
        return owner_state is not None

    def refuse(self, owner: str, message: StartRuns, reason: str) -> None:
        """Refuse all runs of an order that are not on the worker yet."""
        for run_id in message.run_ids():
            if run_id not in self.runs:
                self._notify_refused(owner, run_id, reason)

    def start(
        self, owner: str, message: StartRuns, sent_at: float | None = None
    ) -> None:
        """Start the runs for which there is capacity now and refuse the others.

        :param sent_at: When the owner sent the message, as in `attach`.
        """
        if sent_at is None:
            sent_at = self.suspended_clock()
        for run_id in message.run_ids():
            if run_id in self.runs:
                continue
            reason = self._refusal_reason(run_id.task, message)
            if reason:
                self.refused_orders[reason] += 1
                self._notify_refused(owner, run_id, reason)
                continue
            run = Run(
                run_id,
                owner,
                message.demand,
                Phase.STARTING,
                sent_at,
                message.payload,
                message.expected_ms / 1000,
            )
            if message.caller_waits_ms:
                run.end_by = end_by_time_out(sent_at, message.caller_waits_ms)
            self.runs[run_id] = run
            self.last_demand = message.demand
            self.orders.append(StartOrder(run))

    def stop(
        self, owner: str, run_ids: list[RunId], due_at: float | None = None
    ) -> None:
        """Stop runs of an owner; report runs that do not exist as lapsed.

        :param due_at: When the owner may have had the reason to stop them, as in
            `attach`.
        """
        if due_at is None:
            due_at = self.suspended_clock()
        end_by = due_at + ORDERED_STOP_TIMEOUT_S - LEASE_MARGIN_S
        for run_id in run_ids:
            run = self.runs.get(run_id)
            claim = self.pending_claims.get(run_id)
            if claim is not None:
                claim.stopping = True
                claim.end_by = min(claim.end_by, end_by)
            elif run is None:
                self._notify_end(run_id, owner, RunEnd.LAPSED, 0.0, UNKNOWN_RUN)
            elif run.owner == owner:
                run.end_by = min(run.end_by, end_by)
                self._stop(run, RunEnd.STOPPED)

    def order_age_s(self, run: Run) -> float:
        """Return the time since the owner ordered a run, including any suspension."""
        return self.suspended_clock() - run.sent_at

    # Periodic work

    def tick(self) -> None:
        """Stop the runs that must not go on.

        These are unclaimed and stalled runs, and those whose owner's lease has expired
        or whose caller has timed out.
        """
        now, last_tick_at = self.suspended_clock(), self.last_tick_at
        self.last_tick_at = now
        was_paused = now - last_tick_at > OWNER_LEASE_S / 2
        if was_paused:
            # This process was paused; messages from owners may still be unread, but
            # those from before the last tick have been read.
            now = last_tick_at
        owners_with_runs = {run.owner for run in self.runs.values()}
        for owner in list(self.owners.values()):
            is_expired = not (owner.has_lease(now) or owner.may_renew(now))
            if is_expired and owner.incarnation in owners_with_runs:
                logger.bind(
                    owner=owner.incarnation,
                    silent_ms=round(1000 * (now - owner.lease_renewed_at)),
                    runs=sum(
                        run.owner == owner.incarnation for run in self.runs.values()
                    ),
                ).info("owner {} dropped: its lease has expired", owner.name)
                self._remove_owner(owner)
        if was_paused:
            return
        for run in self.runs.values():
            # An owner whose link is intact has ordered it before.
            if now > run.end_by - ORDERED_STOP_TIMEOUT_S + LEASE_MARGIN_S:
                self._stop(run, RunEnd.STOPPED)
        now = self.clock()
        for run in list(self.runs.values()):
            if (
                run.phase == Phase.FOUND
                and now - self.first_polled_at > CLAIM_TIMEOUT_S
            ):
                self._stop(run, RunEnd.STOPPED)
            elif run.phase == Phase.RUNNING and run.confirmed:
                self._stop_if_stalled(run, now)

    def report_progress(self) -> None:
        """Queue progress notifications at most once per ``PROGRESS_INTERVAL_S``."""
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

    # Current state

    @property
    def facts(self) -> WorkerFacts | None:
        """The worker as its last report describes it."""
        return self.reports.facts

    @property
    def boot(self) -> int:
        """The boot that the last poll has shown; 0 before the first one."""
        return self.reports.boot

    @property
    def unconfirmed(self) -> dict[int, tuple[ReportOrder, WorkerFacts]]:
        """The reports of boots that no poll has shown."""
        return self.reports.unconfirmed

    @property
    def report_counts(self) -> Counter[ReportOutcome]:
        """The number of reports by outcome."""
        return self.reports.counts

    @property
    def has_unclaimed_runs(self) -> bool:
        """Whether any run is without an owner that holds a lease.

        It was found at the start of this agent, or its owner has attached but not
        renewed its lease yet, and may be about to repeat it elsewhere.
        """
        now = self.suspended_clock()
        return any(
            run.owner not in self.owners or not self.owners[run.owner].has_lease(now)
            for run in self.runs.values()
            if run.phase != Phase.STOPPING
        )

    def handover_lease_s(self) -> float:
        """Return the lease to grant to the worker when this agent stops.

        It ends before any owner may repeat its runs elsewhere.
        """
        if not self.runs:
            return 0.0
        return min(MAX_HANDOVER_LEASE_S, self._longest_lease_s())

    def grantable_lease_s(self) -> float:
        """Return the lease on all runs that the worker may be granted now.

        It is shorter than ``WORKER_LEASE_S`` only while a run has not ended that was
        to end by now or soon, since a lease covers all runs and never shortens.
        """
        return min(WORKER_LEASE_S, self._longest_lease_s())

    @property
    def lease_limited(self) -> bool:
        """Whether a run that is to end prevents a full lease."""
        return self.grantable_lease_s() < WORKER_LEASE_S

    def _longest_lease_s(self) -> float:
        """Return the longest lease with which each run ends in time.

        A run whose owner is not known may have to end at any time.
        """
        until = float("inf")
        owners = set()
        for run in self.runs.values():
            until = min(until, run.end_by)
            owners.add(run.owner)
            if run.owner not in self.owners and run.end_by == float("inf"):
                return 0.0
        for incarnation in owners & self.owners.keys():
            until = min(until, self.owners[incarnation].runs_end_by)
        return longest_lease_s(until, self.suspended_clock())

    @property
    def reconciled(self) -> bool:
        """Whether a poll has listed the runs on the worker."""
        return self.polled_at > float("-inf")

    @property
    def evacuated(self) -> bool:
        """Whether no run may start because the failure domain is evacuated.

        The domain is the one that either the worker or the agent states.
        """
        evacuated = self.evacuations.since
        return bool(evacuated) and (
            self.domain in evacuated
            or (self.facts is not None and self.facts.domain in evacuated)
        )

    @property
    def usable(self) -> bool:
        """Whether runs may be started now."""
        return (
            self.facts is not None
            and not self.evacuated
            and self.facts.boot == self.boot
            and not self.facts.leaving
            and not self.leaving
            and self.reachable
            and self.clock() - self.polled_at < MAX_POLL_AGE_S
        )

    @property
    def free_resources(self) -> Resources:
        """Capacity that is available for new runs.

        It is none if any demand is unknown, or if the lease that a new run needs would
        keep a run alive that is to end.
        """
        if self.facts is None or self.lease_limited:
            return NO_RESOURCES
        free = self.facts.capacity
        for run in self.runs.values():
            if run.demand is None:
                return NO_RESOURCES
            free = free - run.demand
        return Resources(
            max(0, free.cpu_milli), max(0, free.memory_mb), max(0, free.accelerators)
        )

    def take_orders(self) -> list[StartOrder | StopOrder | CheckBootOrder]:
        """Remove and return the orders that are to be executed."""
        orders, self.orders = self.orders, []
        return orders

    def take_notifications(self) -> list[OwnerNotification]:
        """Remove and return the notifications that are to be sent."""
        notifications, self.notifications = self.notifications, []
        return notifications

    # State transitions

    def _refusal_reason(self, task: TaskId, message: StartRuns) -> str:
        if self.evacuated:
            return EVACUATED
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

    def _reset_for_boot(self, poll: WorkerPoll, requested_at: float) -> None:
        """Discard the state of the previous boot, whose runs ended with the restart.

        The new boot may have carried out orders already: a run that the poll shows goes
        on. A start order that is unanswered, or was answered after the poll was sent,
        may have reached the new boot or may still do so. Its run is stopped there.
        """
        boot = poll.boot
        if self.boot:
            logger.bind(runs=len(self.runs)).info("worker restarted, boot {}", boot)
            shown = {row.run_id for row in [*poll.running, *poll.ended]}
            for run in list(self.runs.values()):
                is_answered = (
                    run.started_at is not None and run.order_answered_at is not None
                )
                is_shown = run.run_id in shown
                is_gone = (
                    is_answered
                    and not is_shown
                    and run.order_answered_at < requested_at
                )
                if is_gone:
                    self._finish(run, RunEnd.LAPSED, "the worker has restarted")
                elif not (is_answered and is_shown and run.phase == Phase.RUNNING):
                    # The previous boot may have started it as well.
                    run.may_have_run = True
                    self._stop_again(run)
        self.last_end = 0
        self.reports.reset_for_boot(boot)

    def _log_ignored_poll(self, poll: WorkerPoll) -> None:
        """Log an ignored poll, once for each boot that the worker shows."""
        if poll.boot != self.ignored_poll_boot:
            self.ignored_poll_boot = poll.boot
            logger.bind(boot=poll.boot, known_boot=self.boot).warning(
                "poll ignored: it may be of an earlier boot of the worker"
            )

    def _end_all(self, end: RunEnd, reason: str) -> None:
        for run in list(self.runs.values()):
            self._finish(run, end, reason)

    def _claim(self, run_id: RunId, claim: PendingClaim) -> None:
        run = self.runs.get(run_id)
        if run is not None:
            if not run.owner:
                run.owner, run.demand = claim.owner, claim.demand
            if run.owner == claim.owner:
                run.end_by = min(run.end_by, claim.end_by)
            if run.phase == Phase.FOUND:
                run.phase = Phase.RUNNING
        elif run_id in self.recent_events:
            self.notifications.append(
                OwnerNotification(claim.owner, self.recent_events[run_id])
            )
        elif self.reconciled:
            self._settle_claim(run_id, claim, UNKNOWN_RUN)
        else:
            self.pending_claims[run_id] = claim

    def _settle_claim(self, run_id: RunId, claim: PendingClaim, reason: str) -> None:
        """Answer the claim of a run that is not on the worker.

        While a start order of an earlier agent may be on its way, the run is stopped
        first, after which the worker refuses to start it. It may also have run and
        ended: the earlier agent may have read its end, which the worker then forgot,
        and stopped before it notified the owner.
        """
        if not claim.may_start:
            self._notify_end(run_id, claim.owner, RunEnd.LAPSED, 0.0, reason)
            return
        sent_at = self.suspended_clock()
        run = Run(run_id, claim.owner, claim.demand, Phase.STARTING, sent_at)
        run.may_have_run = True
        run.end_by = claim.end_by
        self.runs[run_id] = run
        self._stop(run, RunEnd.STOPPED)

    def _update_running(self, row: RunStatus, now: float) -> None:
        run = self.runs.get(row.run_id)
        if run is None:
            run = self._adopt_running(row.run_id, now)
        run.confirmed = True
        if run.phase == Phase.STARTING:
            self._mark_running(run, now)
        if row.percent != run.percent:
            run.percent = row.percent
            run.progressed_at = now

    def _adopt_running(self, run_id: RunId, now: float) -> Run:
        """Add a run that was started before this agent."""
        claim = self.pending_claims.pop(run_id, None)
        sent_at = self.suspended_clock()
        run = Run(run_id, "", None, Phase.FOUND, sent_at, order_answered_at=now)
        run.started_at = run.progressed_at = now
        self.runs[run_id] = run
        if claim is not None:
            run.owner, run.demand, run.phase = claim.owner, claim.demand, Phase.RUNNING
            run.end_by = claim.end_by
            if claim.stopping:
                self._stop(run, RunEnd.STOPPED)
        return run

    def _mark_running(self, run: Run, now: float) -> None:
        run.phase = Phase.RUNNING
        run.started_at = run.progressed_at = now

    def _stop_if_stalled(self, run: Run, now: float) -> None:
        """Stop a run whose progress has not changed for too long."""
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

    def _stop_again(self, run: Run) -> None:
        """Stop a run even if it is being stopped already."""
        if run.phase == Phase.STOPPING:
            run.order_answered_at = None
            self.orders.append(StopOrder(run))
        else:
            self._stop(run, RunEnd.STOPPED)

    def _remove_owner(self, owner: Owner) -> None:
        del self.owners[owner.incarnation]
        for run in list(self.runs.values()):
            if run.owner == owner.incarnation:
                run.end_by = min(run.end_by, owner.runs_end_by)
                self._stop(run, RunEnd.STOPPED)

    def _record_end(self, row: RunEndRecord, now: float) -> None:
        if row.number <= self.last_end:
            return
        self.last_end = row.number
        run = self.runs.get(row.run_id)
        if run is not None:
            self._finish(run, row.end)
            return
        claim = self.pending_claims.pop(row.run_id, None)
        if claim is not None:
            self._notify_end(row.run_id, claim.owner, row.end, 0.0)
        elif row.run_id not in self.recent_events:
            # Its owner may still claim it: this agent has restarted.
            self._remember(RunEvent(row.run_id, RunEventKind.ENDED, row.end))

    def _finish(self, run: Run, end: RunEnd, reason: str = "") -> None:
        """Remove a run that has ended or can no longer exist, and notify its owner.

        :param reason: Why the run is taken to have ended; empty if the worker said so.
        """
        self._remove(run)
        if end == RunEnd.STOPPED:
            end = run.stop_reason
        run_started_at = run.started_at
        run_s = self.clock() - run_started_at if run_started_at is not None else 0.0
        self.on_run_end(end, run_s)
        self._notify_end(run.run_id, run.owner, end, run_s, reason)

    def _settle_missing(self, run: Run) -> None:
        """Remove a run that the worker no longer lists, and notify its owner.

        The owner is told that it never started only if this is certain.
        """
        if run.confirmed or run.started_at is not None or run.may_have_run:
            self._finish(run, RunEnd.LAPSED, NOT_LISTED)
        else:
            # The worker refuses a start order that arrives after the stop order.
            self._remove(run)
            self._notify_refused(run.owner, run.run_id, "the order had no answer")

    def _remove(self, run: Run) -> None:
        del self.runs[run.run_id]

    def _notify_refused(self, owner: str, run_id: RunId, reason: str) -> None:
        event = RunEvent(run_id, RunEventKind.REFUSED, reason=reason)
        self.notifications.append(OwnerNotification(owner, event))

    def _notify_end(
        self, run_id: RunId, owner: str, end: RunEnd, run_s: float, reason: str = ""
    ) -> None:
        run_ms = max(0, round(run_s * 1000))
        event = RunEvent(run_id, RunEventKind.ENDED, end, reason, run_ms)
        self.notifications.append(OwnerNotification(owner, event))
        self._remember(event)

    def _remember(self, event: RunEvent) -> None:
        """Keep the end of a run for an owner that claims it later."""
        self.recent_events[event.run] = event
        if len(self.recent_events) > MAX_RECENT_EVENTS:
            self.recent_events.popitem(last=False)
