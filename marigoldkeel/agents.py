"""The agent: the process that runs next to a target and executes tasks on it."""

import anyio

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.cancellations import CancellationController
from marigoldkeel.daemons import DRAIN_POLL_INTERVAL_S, Daemon, handles
from marigoldkeel.dispatch import make_policy
from marigoldkeel.executors import Executor
from marigoldkeel.failover import FailoverController
from marigoldkeel.followers import (
    ConfigurationFollower,
    TableFollower,
    is_store_watcher,
)
from marigoldkeel.guards import GuardedTaskGroup
from marigoldkeel.messages import (
    Cancel,
    CancelJob,
    Claim,
    Move,
    Probe,
    Run,
    Submit,
    Take,
    Transfer,
)
from marigoldkeel.metrics import AGENT_METRICS, add_metrics_route
from marigoldkeel.primaries import PrimaryController
from marigoldkeel.queues import WorkQueue
from marigoldkeel.servers import HttpApplication, Request, Response
from marigoldkeel.settings import Settings
from marigoldkeel.status import agent_report
from marigoldkeel.targets import RegisteredAdapters, TargetTable, target_routes
from marigoldkeel.workers import WorkerAdapter  # noqa: F401 - registers its protocol


class Agent(Daemon):
    """An agent process.

    Usage::

        agent = Agent.from_settings(Settings.from_toml("agent.toml"))
        await agent.run()
    """

    role = "agent"
    is_agent = True
    # Long enough for a heartbeat to tell peers that this agent is leaving, before it
    # starts to refuse work.
    shutdown_notice_s = 1.2

    def __init__(self, settings: Settings, board: Blackboard):
        super().__init__(settings, board)
        self.targets = TargetTable()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        self.adapter = RegisteredAdapters()
        try:
            await super().run(task_status=task_status)
        finally:
            with anyio.CancelScope(shield=True):
                await self.adapter.aclose()

    def make_controllers(self, group: GuardedTaskGroup) -> None:
        board, peers, setting = self.board, self.peers, self.board.setting
        # Initial values; the executor applies the configured ones and later changes.
        self.queue = WorkQueue(1, int(setting("queue_tasks_per_slot")))
        policy = make_policy(self.settings.policy, setting("probe_ratio"))
        self.primaries = PrimaryController(board, peers, policy, group)
        self.cancellations = CancellationController(board, peers, group)
        self.executor = Executor(
            board, peers, self.queue, self.targets, self.adapter, group
        )
        self.failover = FailoverController(
            board, peers, self.store, self.primaries, group
        )
        self.followers = [
            TableFollower(board, self.store, peers, self.failover.apply_record),
            ConfigurationFollower(board, self.store, peers),
        ]

    def run_controllers(self, group: GuardedTaskGroup) -> None:
        group.repeat(self.failover.run_forever)
        group.repeat(self.executor.run_forever)

    def should_watch(self) -> bool:
        return is_store_watcher(self.board)

    def routes(self) -> HttpApplication:
        application = HttpApplication()

        @application.route("GET", "/v1/status")
        async def status(request: Request) -> Response:
            return Response.from_json(self.report())

        add_metrics_route(application, self, AGENT_METRICS)
        return target_routes(self.targets, self.board.clock, application)

    def report(self) -> dict:
        return agent_report(self)

    async def finish_work(self) -> None:
        """Finish the jobs and tasks in progress, then hand over the partitions."""
        while self.primaries.running_jobs or self.executor.running:
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        while self.queue.depth:
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        await self.failover.hand_over()

    @handles(Submit)
    async def submit(self, message: Submit):
        """Run a submission as its primary."""
        return await self.primaries.submit(message)

    @handles(Claim)
    async def receive_claim(self, message: Claim):
        """Acknowledge a claim as standby."""
        return await self.failover.receive_claim(message)

    @handles(Probe)
    async def receive_probe(self, message: Probe) -> None:
        """Queue tasks of a job that a primary offers."""
        await self.executor.probe(message)

    @handles(Take)
    async def grant_tasks(self, message: Take):
        """Record results of a job and grant more of its tasks."""
        return await self.primaries.take(message)

    @handles(Run)
    async def run_tasks(self, message: Run):
        """Run tasks that were pushed to this agent."""
        return await self.executor.run(message)

    @handles(Cancel)
    async def cancel_tasks(self, message: Cancel) -> None:
        """Discard the queued tasks of a job."""
        self.executor.cancel(message.submission_id)

    @handles(CancelJob)
    async def cancel_job(self, message: CancelJob):
        """Cancel a submission as its primary."""
        return await self.cancellations.cancel(message)

    @handles(Transfer)
    async def receive_transfer(self, message: Transfer):
        """Receive a partition's state as its new standby."""
        return await self.failover.receive_transfer(message)

    @handles(Move)
    async def accept_move(self, message: Move):
        """Take over a partition whose other member is about to stop."""
        return await self.failover.receive_move(message)
