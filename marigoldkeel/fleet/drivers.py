"""Carries out a supervisor's orders at its worker and keeps looking at it."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.fleet.supervisors import (
    WORKER_LEASE_S,
    Look,
    Run,
    StartOrder,
    StartOutcome,
    Supervisor,
)


# A look returns at once when a run ends, and otherwise after this long. It renews the
# worker's lease and shows the progress of its runs.
LOOK_WAIT_S = 0.2
RETRY_S = 0.05
TICK_S = 0.05
# States are sent at most this often, so that the ends and starts of the tasks of one
# job make one message.
COALESCE_S = 0.004
# At a planned stop the worker's runs are left to the agent's successor, which has this
# long to start.
HANDOVER_LEASE_S = 1.0


class WorkerClient(ABC):
    """Speaks to one worker."""

    @abstractmethod
    async def start(self, run: Run, lease_s: float) -> tuple[StartOutcome, str]:
        """Order a run to start.

        :return: The outcome, and the worker's reason if it refused.
        """

    @abstractmethod
    async def stop(self, run: Run) -> bool:
        """Order a run to stop; False if it is not known to have had an effect."""

    @abstractmethod
    async def look(self, lease_s: float, wait_s: float, last_end: int) -> Look:
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
        self.flushing = False
        self.answered = False

    def flush(self) -> None:
        """Carry out orders and, a little later, tell the owners what has changed."""
        for order in self.supervisor.take_orders():
            action = self._start if isinstance(order, StartOrder) else self._stop
            self.group.start_soon(action, order.run)
        if not self.flushing:
            self.flushing = True
            self.group.start_soon(self._deliver_soon)

    async def _deliver_soon(self) -> None:
        await anyio.sleep(COALESCE_S)
        self.flushing = False
        self.deliver()

    async def look_forever(self) -> None:
        """Look at the worker all the time."""
        supervisor = self.supervisor
        while True:
            # A worker that does not answer is given no further lease, so that it is
            # known when its runs have ended.
            lease_s = WORKER_LEASE_S if self.answered else 0.0
            asked_at = supervisor.clock()
            if lease_s:
                supervisor.lease_sent(lease_s)
            # The first look tells whether the worker is there, so it waits for nothing.
            wait_s = LOOK_WAIT_S if self.answered else 0.0
            try:
                look = await self.client.look(lease_s, wait_s, supervisor.last_end)
            except MarigoldkeelError as error:
                if self.answered:
                    logger.info("worker not reachable: {}", error)
                self.answered = False
                supervisor.unreachable()
                await anyio.sleep(RETRY_S)
            else:
                if not self.answered:
                    logger.info("worker reachable, boot {}", look.boot)
                self.answered = True
                supervisor.looked(look, asked_at)
                supervisor.progress()
            self.flush()

    async def tick_forever(self) -> None:
        """Let the supervisor act as time passes."""
        while True:
            await anyio.sleep(TICK_S)
            self.supervisor.tick()
            self.flush()

    async def hand_over(self) -> None:
        """Give the worker a last lease, so that a successor finds its runs alive."""
        self.supervisor.lease_sent(HANDOVER_LEASE_S)
        try:
            await self.client.look(HANDOVER_LEASE_S, 0.0, self.supervisor.last_end)
        except MarigoldkeelError as error:
            logger.info("no last lease: {}", error)

    async def _start(self, run: Run) -> None:
        self.supervisor.lease_sent(WORKER_LEASE_S)
        outcome, reason = await self.client.start(run, WORKER_LEASE_S)
        if outcome != StartOutcome.STARTED:
            logger.bind(job=run.run_id.task.job_id).info(
                "run {} not started: {} {}", run.run_id.number, outcome.value, reason
            )
        self.supervisor.start_answered(run, outcome, reason)
        self.flush()

    async def _stop(self, run: Run) -> None:
        answered = await self.client.stop(run)
        if not answered:
            await anyio.sleep(RETRY_S)
        self.supervisor.stop_answered(run, answered)
        self.flush()
