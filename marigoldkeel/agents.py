"""The agent: the process that runs beside a target."""

import anyio
from anyio.abc import TaskGroup

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.cancellations import CancellationController
from marigoldkeel.daemons import DRAIN_TICK_S, Daemon, handles
from marigoldkeel.dispatch import make_policy
from marigoldkeel.executors import Executor
from marigoldkeel.failover import FailoverController
from marigoldkeel.followers import (
    ConfigurationFollower,
    TableFollower,
    is_watching_agent,
)
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
    """One agent process.

    Usage::

        agent = Agent.from_settings(Settings.from_toml("agent.toml"))
        await agent.run()
    """

    role = "agent"
    is_agent = True
    # Peers learn from a heartbeat that this agent is leaving before it refuses work.
    leave_notice_s = 1.2

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

    def make_controllers(self, group: TaskGroup) -> None:
        board, peers, setting = self.board, self.peers, self.board.setting
        # The executor sets the configured values and keeps them up to date.
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

    def run_controllers(self, group: TaskGroup) -> None:
        group.start_soon(self.failover.run_forever)
        group.start_soon(self.executor.run_forever)

    def should_watch(self) -> bool:
        return is_watching_agent(self.board)

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
        """Finish the jobs and tasks in progress and hand the partitions over."""
        while self.primaries.running_jobs or self.executor.running:
            await anyio.sleep(DRAIN_TICK_S)
        while self.queue.depth:
            await anyio.sleep(DRAIN_TICK_S)
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
        """Queue an offered job."""
        await self.executor.probe(message)

    @handles(Take)
    async def grant_tasks(self, message: Take):
        """Take results of a job and grant more of its tasks."""
        return await self.primaries.take(message)

    @handles(Run)
    async def run_tasks(self, message: Run):
        """Run pushed tasks."""
        return await self.executor.run(message)

    @handles(Cancel)
    async def drop_offer(self, message: Cancel) -> None:
        """Drop the queued tasks of a job."""
        self.executor.cancel(message.submission_id)

    @handles(CancelJob)
    async def cancel_job(self, message: CancelJob):
        """Cancel a submission as its primary."""
        return await self.cancellations.cancel(message)

    @handles(Transfer)
    async def receive_transfer(self, message: Transfer):
        """Take a partition's state as its new standby."""
        return await self.failover.receive_transfer(message)

    @handles(Move)
    async def take_over(self, message: Move):
        """Take over from a primary that is about to stop."""
        return await self.failover.receive_move(message)
