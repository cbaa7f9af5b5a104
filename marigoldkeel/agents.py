"""The agent: the process that runs beside a target."""

from contextlib import AsyncExitStack
from functools import singledispatchmethod

import anyio
from anyio.abc import TaskStatus
from loguru import logger

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.cancellations import CancellationController
from marigoldkeel.dispatch import make_policy
from marigoldkeel.exceptions import ProtocolError
from marigoldkeel.executors import Executor
from marigoldkeel.failover import FailoverController
from marigoldkeel.followers import (
    ConfigurationFollower,
    TableFollower,
    answer_pull,
    is_watching_agent,
)
from marigoldkeel.identifiers import mint_incarnation
from marigoldkeel.memberships import MembershipController
from marigoldkeel.messages import (
    AnswerMessage,
    Cancel,
    CancelJob,
    Claim,
    Heartbeat,
    Inspect,
    Move,
    Probe,
    Pull,
    Report,
    Run,
    Submit,
    Take,
    Transfer,
)
from marigoldkeel.metrics import AGENT_METRICS, add_metrics_route
from marigoldkeel.models import Answer, Member
from marigoldkeel.primaries import PrimaryController
from marigoldkeel.queues import WorkQueue
from marigoldkeel.servers import HttpApplication, Request, Response, serve_http
from marigoldkeel.settings import Settings
from marigoldkeel.status import agent_report, encode_report
from marigoldkeel.stores import open_store
from marigoldkeel.targets import RegisteredAdapters, TargetTable, announcements
from marigoldkeel.transports import PeerPool, parse_address, serve_peers
from marigoldkeel.workers import WorkerTarget  # noqa: F401 - registers its protocol


DRAIN_TICK_S = 0.05
# Peers learn from a heartbeat that this agent is leaving before it refuses work.
LEAVE_NOTICE_S = 1.2


class Agent:
    """One agent process.

    Usage::

        agent = Agent.from_settings(Settings.from_toml("agent.toml"))
        await agent.run()
    """

    def __init__(self, settings: Settings, board: Blackboard):
        self.settings = settings
        self.board = board
        self.targets = TargetTable()
        self.stopping = anyio.Event()
        self.http_address = ""

    @classmethod
    def from_settings(cls, settings: Settings) -> "Agent":
        """Return an agent that has yet to run."""
        member = Member(
            settings.name,
            mint_incarnation(settings.name),
            settings.advertise or settings.listen,
            settings.domain,
        )
        board = Blackboard(member)
        board.partitions.partition_count = settings.partitions
        return cls(settings, board)

    async def run(self, *, task_status: TaskStatus = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until `stop` is called and the work in progress has ended."""
        async with AsyncExitStack() as stack:
            self.store = open_store(
                self.settings.store.kind,
                self.settings.store.url,
                self.settings.store.timeout_s,
            )
            stack.push_async_callback(self.store.aclose)
            self.adapter = RegisteredAdapters()
            stack.push_async_callback(self.adapter.aclose)
            self.peers = await stack.enter_async_context(PeerPool.open())
            async with anyio.create_task_group() as group:
                self._make_controllers(group)
                await self._start(group)
                task_status.started(self)
                await self.stopping.wait()
                await self._drain()
                group.cancel_scope.cancel()

    def stop(self) -> None:
        """Begin a planned stop; `run` returns when it is complete."""
        self.stopping.set()

    def _make_controllers(self, group) -> None:
        settings, board, peers = self.settings, self.board, self.peers
        setting = board.setting
        # The executor sets the configured values and keeps them up to date.
        self.queue = WorkQueue(1, int(setting("queue_tasks_per_slot")))
        policy = make_policy(settings.policy, setting("probe_ratio"))
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
        self.membership = MembershipController(
            board, peers, settings.contacts, self.followers, group
        )

    async def _start(self, group) -> None:
        bound = await group.start(
            serve_peers, self.settings.listen, self._handle, self.peers.counters
        )
        if not self.settings.advertise:
            self._adopt_address(bound)
        host, port = parse_address(self.settings.http)
        application = announcements(self.targets, self.board.clock, self._routes())
        self.http_address = await group.start(serve_http, application, host, port)
        for follower in self.followers:
            group.start_soon(
                follower.run_forever, lambda: is_watching_agent(self.board)
            )
        group.start_soon(self.membership.run_forever)
        group.start_soon(self.failover.run_forever)
        group.start_soon(self.executor.run_forever)
        logger.info(
            "agent {} in {} listens on {}, http {}",
            self.board.member.incarnation,
            self.board.member.domain,
            bound,
            self.http_address,
        )

    def _adopt_address(self, address: str) -> None:
        member = self.board.member
        self.board.member = Member(
            member.name, member.incarnation, address, member.domain
        )

    def _routes(self) -> HttpApplication:
        application = HttpApplication()

        @application.route("GET", "/v1/status")
        async def status(request: Request) -> Response:
            return Response.from_json(agent_report(self))

        add_metrics_route(application, self, AGENT_METRICS)
        return application

    async def _drain(self) -> None:
        """Finish the jobs and tasks in progress and hand the partitions over."""
        logger.info("agent {} is leaving", self.board.member.incarnation)
        self.board.leaving = True
        timeout_s = self.board.setting("drain_timeout_ms") / 1000
        with anyio.move_on_after(timeout_s) as scope:
            await anyio.sleep(LEAVE_NOTICE_S)
            while self.primaries.running_jobs or self.executor.running:
                await anyio.sleep(DRAIN_TICK_S)
            while self.queue.depth:
                await anyio.sleep(DRAIN_TICK_S)
            await self.failover.hand_over()
        if scope.cancelled_caught:
            logger.warning("the planned stop was not complete after {} s", timeout_s)

    async def _handle(self, message, peer: str):
        return await self._receive(message)

    @singledispatchmethod
    async def _receive(self, message):
        raise ProtocolError(
            f"an agent takes no {type(message).__name__}", step="receive"
        )

    @_receive.register
    async def _(self, message: Submit):
        return to_message(await self.primaries.submit(message))

    @_receive.register
    async def _(self, message: Claim):
        return await self.failover.receive_claim(message)

    @_receive.register
    async def _(self, message: Probe):
        await self.executor.probe(message)

    @_receive.register
    async def _(self, message: Take):
        return await self.primaries.take(message)

    @_receive.register
    async def _(self, message: Run):
        return await self.executor.run(message)

    @_receive.register
    async def _(self, message: Cancel):
        self.executor.cancel(message.submission_id)

    @_receive.register
    async def _(self, message: CancelJob):
        return to_message(await self.cancellations.cancel(message))

    @_receive.register
    async def _(self, message: Transfer):
        return await self.failover.receive_transfer(message)

    @_receive.register
    async def _(self, message: Move):
        return await self.failover.receive_move(message)

    @_receive.register
    async def _(self, message: Heartbeat):
        return await self.membership.receive(message)

    @_receive.register
    async def _(self, message: Pull):
        return await answer_pull(message, self.followers)

    @_receive.register
    async def _(self, message: Inspect):
        return Report(encode_report(agent_report(self)))


def to_message(answer: Answer) -> AnswerMessage:
    """Return the message that carries an answer to the entry."""
    return AnswerMessage(
        answer.outcome,
        answer.body,
        answer.message,
        answer.step,
        answer.peer,
        answer.retry_after_ms,
        answer.conflict,
        answer.invalid,
        answer.ran,
        answer.may_have_run,
        answer.run_ms,
    )
