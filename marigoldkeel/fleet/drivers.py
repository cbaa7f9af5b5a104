"""Carries out a supervisor's orders at its worker and keeps looking at it."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.fleet.supervisors import (
    WORKER_LEASE_S,
    Phase,
    Run,
    StartOrder,
    StartOutcome,
    Supervisor,
    WorkerPoll,
)


# A look returns at once when a run ends, and otherwise after this long. It renews the
# worker's lease and shows the progress of its runs.
POLL_WAIT_S = 0.2
RETRY_DELAY_S = 0.05
TICK_INTERVAL_S = 0.05
# How long each try of a start waits for its answer. A worker on the same machine
# answers within a few milliseconds; urgent tasks run for a tenth of a second, so a lost
# answer is not waited out.
START_TIMEOUTS_S = (0.04, 0.06, 0.1)
# States are sent at most this often, so that the ends and starts of the tasks of one
# job make one message.
COALESCE_DELAY_S = 0.004
# At a planned stop the worker's runs are left to the agent's successor, which has this
# long to start.
HANDOVER_LEASE_S = 1.0


class WorkerClient(ABC):
    """Speaks to one worker."""

    @abstractmethod
    async def start(
        self, run: Run, lease_s: float, timeout_s: float
    ) -> tuple[StartOutcome, str]:
        """Order a run to start; an order that is repeated starts it once.

        :return: The outcome, and the worker's reason if it refused.
        """

    @abstractmethod
    async def stop(self, run: Run) -> bool:
        """Order a run to stop; False if it is not known to have had an effect."""

    @abstractmethod
    async def poll(self, lease_s: float, wait_s: float, last_end: int) -> WorkerPoll:
        """Return the worker's runs and the ends after ``last_end``.

        :param lease_s: The new lease on all of its runs; 0 renews none.
        :param wait_s: How long the answer may wait for an end.
        :raises MarigoldkeelError: If there was no proper answer.
        """


class WorkerDriver:
    """Runs one supervisor.

    :param deliver: Sends the supervisor's notices and state to the owners.
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

    def flush(self) -> None:
        """Carry out orders and, a little later, tell the owners what has changed."""
        self._execute_orders()
        if not self.delivery_pending:
            self.delivery_pending = True
            self.group.start_soon(self._deliver_after_delay)

    def _execute_orders(self) -> None:
        for order in self.supervisor.take_orders():
            action = self._start if isinstance(order, StartOrder) else self._stop
            self.group.start_soon(action, order.run)

    async def _deliver_after_delay(self) -> None:
        await anyio.sleep(COALESCE_DELAY_S)
        self.delivery_pending = False
        self.deliver()

    async def poll_forever(self) -> None:
        """Look at the worker all the time."""
        supervisor = self.supervisor
        while True:
            # A worker that does not answer is given no further lease, so that it is
            # known when its runs have ended.
            lease_s = WORKER_LEASE_S if self.last_poll_answered else 0.0
            requested_at = supervisor.clock()
            if lease_s:
                supervisor.extend_worker_lease(lease_s)
            # The first look tells whether the worker is there, so it waits for nothing.
            wait_s = POLL_WAIT_S if self.last_poll_answered else 0.0
            try:
                poll = await self.client.poll(lease_s, wait_s, supervisor.last_end)
            except MarigoldkeelError as error:
                if self.last_poll_answered:
                    # Only the answer may have been lost, so it is asked again at once.
                    logger.info("look without an answer: {}", error)
                    self.last_poll_answered = False
                    continue
                if supervisor.reachable:
                    logger.info("worker not reachable: {}", error)
                supervisor.record_poll_failure()
                await anyio.sleep(RETRY_DELAY_S)
            else:
                if not supervisor.reachable:
                    logger.info("worker reachable, boot {}", poll.boot)
                self.last_poll_answered = True
                supervisor.record_poll(poll, requested_at)
                supervisor.report_progress()
            self.flush()

    async def tick_forever(self) -> None:
        """Let the supervisor act as time passes."""
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            self.supervisor.tick()
            self._execute_orders()
            # A task for each tick would be most of what an idle agent does.
            if not self.delivery_pending:
                self.deliver()

    async def extend_lease_for_successor(self) -> None:
        """Give the worker a last lease, so that a successor finds its runs alive."""
        self.supervisor.extend_worker_lease(HANDOVER_LEASE_S)
        try:
            await self.client.poll(HANDOVER_LEASE_S, 0.0, self.supervisor.last_end)
        except MarigoldkeelError as error:
            logger.info("no last lease: {}", error)

    async def _start(self, run: Run) -> None:
        outcome, reason = await self._start_with_retries(run)
        if outcome != StartOutcome.STARTED:
            logger.bind(job=run.run_id.task.job_id).info(
                "run {} not started: {} {}", run.run_id.number, outcome.value, reason
            )
        self.supervisor.record_start_outcome(run, outcome, reason)
        self.flush()

    async def _start_with_retries(self, run: Run) -> tuple[StartOutcome, str]:
        """Order a start until it is answered, a few times.

        All tries carry the lease of the first, so that they do not put off the moment
        at which the runs of a lost worker are known to have ended.
        """
        clock = self.supervisor.clock
        self.supervisor.extend_worker_lease(WORKER_LEASE_S)
        lease_ends_at = clock() + WORKER_LEASE_S
        reason = "no answer"
        for attempt, timeout_s in enumerate(START_TIMEOUTS_S):
            if run.phase != Phase.STARTING:
                break
            lease_s = lease_ends_at - clock()
            outcome, reason = await self.client.start(run, lease_s, timeout_s)
            if outcome == StartOutcome.STARTED:
                return outcome, reason
            if outcome != StartOutcome.UNANSWERED:
                if attempt == 0:
                    return outcome, reason
                # The run may have been started by an earlier try, and have ended.
                break
        return StartOutcome.UNANSWERED, reason

    async def _stop(self, run: Run) -> None:
        answered = await self.client.stop(run)
        if not answered:
            await anyio.sleep(RETRY_DELAY_S)
        self.supervisor.record_stop_outcome(run, answered)
        self.flush()
