"""Executes a supervisor's orders on its worker and polls the worker continuously."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from marigoldkeel.exceptions import MarigoldkeelError, PeerUnavailable
from marigoldkeel.fleet.runs import (
    CheckBootOrder,
    Phase,
    Run,
    StartOrder,
    StartOutcome,
    WorkerPoll,
)
from marigoldkeel.fleet.supervisors import (
    EVACUATED,
    MAX_ORDER_AGE_S,
    Supervisor,
)
from marigoldkeel.guards import run_guarded


# A poll returns as soon as a run ends, or after this time. It returns the progress of
# the runs and, if the previous poll was answered, renews the worker's lease.
POLL_WAIT_S = 0.2
RETRY_DELAY_S = 0.05
TICK_INTERVAL_S = 0.05
# Timeouts of the successive attempts to start a run. A worker on the same machine
# responds within a few milliseconds. Urgent tasks run for only 0.1 s, so a lost
# response must be detected early.
START_TIMEOUTS_S = (0.04, 0.06, 0.1)
# Delay before notifications and states are sent. Apart from the periodic tick, the
# driver sends them at most once in this time, so that the ends and starts of the tasks
# of one job are combined into one message.
COALESCE_DELAY_S = 0.004
# Time for the last notifications to reach the owners before the process ends.
LAST_DELIVERY_S = 0.02


class WorkerClient(ABC):
    """Client of one worker."""

    @abstractmethod
    async def start(
        self, run: Run, lease_ends_at: float, timeout_s: float
    ) -> tuple[StartOutcome, str]:
        """Start a run; repeated calls for the same run start it once.

        :param lease_ends_at: As in `poll`.
        :return: The outcome, and the worker's reason if it refused.
        """

    @abstractmethod
    async def stop(self, run: Run) -> bool:
        """Stop a run.

        :return: Whether the worker confirmed the order; if not, it must be repeated.
        """

    @abstractmethod
    async def poll(
        self, lease_ends_at: float | None, wait_s: float, last_end: int
    ) -> WorkerPoll:
        """Return the worker's runs and the ends of runs after number ``last_end``.

        :param lease_ends_at: When the new lease on all of the worker's runs ends, in
            seconds of the supervisor's clock, so that a pause of this process does not
            prolong it; None renews no lease.
        :param wait_s: How long the worker may wait for the end of a run (long polling).
        :raises MarigoldkeelError: If there was no valid response.
        """


class WorkerDriver:
    """Connects one supervisor with its worker.

    :param deliver: Sends the supervisor's notifications and state to the owners.
    """

    def __init__(
        self,
        supervisor: Supervisor,
        client: WorkerClient,
        deliver: Callable[[], None],
        group: TaskGroup,
    ):
        self.supervisor = supervisor
        self.client = client
        self.deliver = deliver
        self.group = group
        self.delivery_pending = False
        self.last_poll_answered = False
        self.lease_limited = False
        self.poll_scope = anyio.CancelScope()

    def flush(self) -> None:
        """Start pending orders and schedule the delivery of changes to the owners."""
        self._execute_orders()
        if not self.delivery_pending:
            self.delivery_pending = True
            self.group.start_soon(self._deliver_after_delay)

    def _execute_orders(self) -> None:
        for order in self.supervisor.take_orders():
            if isinstance(order, CheckBootOrder):
                self.group.start_soon(run_guarded, "check boot", self._check_boot)
                continue
            action = self._start if isinstance(order, StartOrder) else self._stop
            self.group.start_soon(action, order.run)

    async def _deliver_after_delay(self) -> None:
        await anyio.sleep(COALESCE_DELAY_S)
        self.delivery_pending = False
        try:
            self.deliver()
        except Exception:
            logger.exception("unexpected error in step deliver")

    async def poll_forever(self) -> None:
        """Poll the worker until cancelled; after `finish`, only wait for it."""
        if not self.poll_scope.cancel_called:
            with anyio.CancelScope() as self.poll_scope:
                await self._poll_repeatedly()
        await anyio.sleep_forever()

    async def _poll_repeatedly(self) -> None:
        supervisor = self.supervisor
        while True:
            # A worker that does not respond is granted no further lease, so that there
            # is a fixed time by which its runs will have ended. Nor are runs without a
            # known owner kept alive, as their owners may be about to repeat them.
            may_extend = self.last_poll_answered and not supervisor.has_unclaimed_runs
            self._log_lease_limit(may_extend and supervisor.lease_limited)
            requested_at = supervisor.clock()
            lease_ends_at = supervisor.grant_lease() if may_extend else None
            # The first poll and any poll after a failure only check whether the worker
            # responds, so they do not wait for a run to end.
            wait_s = POLL_WAIT_S if self.last_poll_answered else 0.0
            try:
                poll = await self.client.poll(
                    lease_ends_at, wait_s, supervisor.last_end
                )
            except MarigoldkeelError as error:
                if self.last_poll_answered:
                    # Perhaps only the response was lost, so the poll is repeated
                    # immediately.
                    logger.info("worker poll failed, retrying: {}", error)
                    self.last_poll_answered = False
                    continue
                if supervisor.reachable:
                    logger.info("worker not reachable: {}", error)
                supervisor.record_poll_failure(isinstance(error, PeerUnavailable))
                await anyio.sleep(RETRY_DELAY_S)
            else:
                if not supervisor.reachable:
                    logger.info("worker reachable, boot {}", poll.boot)
                self.last_poll_answered = True
                supervisor.record_poll(poll, requested_at)
                supervisor.report_progress()
            self.flush()

    def _log_lease_limit(self, limited: bool) -> None:
        """Log when a run that is to end begins or ceases to limit the lease."""
        if limited != self.lease_limited:
            self.lease_limited = limited
            logger.bind(runs=len(self.supervisor.runs)).warning(
                "lease of the worker {}",
                "withheld: a run that is to end goes on"
                if limited
                else "granted again",
            )

    async def _check_boot(self) -> None:
        """Poll the worker at once, and apply the result if it shows another boot.

        Otherwise the result is discarded, since that of the poll in progress may be
        newer.
        """
        requested_at = self.supervisor.clock()
        try:
            poll = await self.client.poll(None, 0.0, 0)
        except MarigoldkeelError as error:
            logger.info("boot of the worker not checked: {}", error)
            return
        if poll.boot != self.supervisor.boot:
            self.supervisor.record_poll(poll, requested_at)
            self.flush()

    async def tick_forever(self) -> None:
        """Run the supervisor's periodic work until cancelled."""
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            self.supervisor.tick()
            self._execute_orders()
            # Called directly, since a new coroutine task for each tick would dominate
            # the CPU time of an idle agent.
            if not self.delivery_pending:
                self.deliver()

    async def finish(self) -> None:
        """End polling, notify the owners of all known ends and leave the worker.

        A poll tells the worker to forget the ends that this agent has read. Without
        further polls, those that no owner is told of are left to the successor.
        """
        self.poll_scope.cancel()
        self.deliver()
        await self.extend_lease_for_successor()
        # Answers to orders may have arrived meanwhile.
        self.deliver()
        await anyio.sleep(LAST_DELIVERY_S)

    async def extend_lease_for_successor(self) -> None:
        """Grant the worker a final lease that keeps its runs alive for a successor."""
        lease_ends_at = self.supervisor.grant_handover_lease()
        try:
            await self.client.poll(lease_ends_at, 0.0, self.supervisor.last_end)
        except MarigoldkeelError as error:
            logger.info("could not extend the worker's lease: {}", error)

    async def _start(self, run: Run) -> None:
        try:
            outcome, reason = await self._start_with_retries(run)
        except Exception as error:
            # The order may have been sent, so it counts as unanswered.
            logger.exception("unexpected error in step start run")
            outcome, reason = StartOutcome.UNANSWERED, f"internal error: {error}"
        if outcome != StartOutcome.STARTED:
            # With UNANSWERED, the run may have started nevertheless.
            logger.bind(job=run.run_id.task.job_id).info(
                "run {} not started: {} {}", run.run_id.number, outcome.value, reason
            )
        self.supervisor.record_start_outcome(run, outcome, reason)
        self.flush()

    async def _start_with_retries(self, run: Run) -> tuple[StartOutcome, str]:
        """Order a start, and repeat the order while it gets no response.

        The lease of every attempt ends at the same time, so that repetitions do not
        delay the time by which the runs of an unreachable worker will have ended.

        :return: The outcome, ``UNANSWERED`` if it is not certain, and the reason given
            by the last attempt.
        """
        lease_ends_at = self.supervisor.grant_lease()
        if lease_ends_at is None:
            return StartOutcome.REFUSED, "no lease may be granted"
        reason = "no answer"  # Kept only if the run is stopped before any attempt.
        for attempt, timeout_s in enumerate(START_TIMEOUTS_S):
            if run.phase != Phase.STARTING:
                break
            age_s = self.supervisor.order_age_s(run)
            if age_s > MAX_ORDER_AGE_S + sum(START_TIMEOUTS_S[:attempt]):
                # This process was paused after it accepted the order.
                reason = f"the order is {age_s:.2f} s old"
                if attempt == 0:
                    return StartOutcome.REFUSED, reason
                break
            if self.supervisor.evacuated:
                reason = EVACUATED
                if attempt == 0:
                    return StartOutcome.REFUSED, reason
                break
            outcome, reason = await self.client.start(run, lease_ends_at, timeout_s)
            if outcome == StartOutcome.STARTED:
                return outcome, reason
            if outcome != StartOutcome.UNANSWERED:
                if attempt == 0:
                    return outcome, reason
                # An earlier attempt may have started the run, which may since have
                # ended.
                break
        return StartOutcome.UNANSWERED, reason

    async def _stop(self, run: Run) -> None:
        try:
            answered = await self.client.stop(run)
        except Exception:
            logger.exception("unexpected error in step stop run")
            answered = False
        if not answered:
            await anyio.sleep(RETRY_DELAY_S)
        self.supervisor.record_stop_outcome(run, answered)
        self.flush()
