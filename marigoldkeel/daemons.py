"""Base of the entry and agent processes: start, message handling, planned stop."""

from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup, TaskStatus
from loguru import logger

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.exceptions import ProtocolError
from marigoldkeel.followers import Follower, answer_pull
from marigoldkeel.guards import GuardedTaskGroup
from marigoldkeel.identifiers import mint_incarnation
from marigoldkeel.memberships import MembershipController
from marigoldkeel.messages import Heartbeat, HeartbeatReply, Inspect, Pull, Report
from marigoldkeel.models import Member
from marigoldkeel.servers import HttpApplication, serve_http
from marigoldkeel.settings import Settings
from marigoldkeel.status import encode_report
from marigoldkeel.stores import open_store
from marigoldkeel.transports import PeerPool, parse_address, serve_peers


DRAIN_POLL_INTERVAL_S = 0.05
# Time for the last replies to be sent before the connections are closed.
FLUSH_DELAY_S = 0.1


def handles(message_type: type) -> Callable:
    """Register a method of a `Daemon` as the handler of a message type.

    Usage::

        @handles(Submit)
        async def submit(self, message): ...
    """

    def decorate(method: Callable) -> Callable:
        method.message_type = message_type
        return method

    return decorate


class Daemon:
    """Base class of entries and agents.

    Subclasses create their controllers in ``make_controllers``, which also sets
    ``followers``, start them in ``run_controllers`` and finish their work in
    ``finish_work``.

    :cvar role: The name of the daemon in logs and reports.
    :cvar is_agent: Whether the daemon may be a member of partitions.
    :cvar shutdown_notice_s: Seconds between the notice to peers that this daemon is
        leaving and the end of its work.
    """

    role = ""
    is_agent = False
    shutdown_notice_s = 0.0
    handlers: dict[type, str] = {}

    def __init__(self, settings: Settings, board: Blackboard):
        self.settings = settings
        self.board = board
        self.stopping = anyio.Event()
        self.http_address = ""
        self.followers: list[Follower] = []

    def __init_subclass__(cls) -> None:
        cls.handlers = dict(cls.handlers)
        for base in reversed(cls.__mro__):
            for name, method in vars(base).items():
                message_type = getattr(method, "message_type", None)
                if message_type is not None:
                    cls.handlers[message_type] = name

    @classmethod
    def from_settings(cls, settings: Settings):
        """Return a daemon that has not been started yet."""
        member = Member(
            settings.name,
            mint_incarnation(settings.name),
            settings.advertise or settings.listen,
            settings.domain,
        )
        board = Blackboard(member, is_agent=cls.is_agent)
        board.partitions.partition_count = settings.partitions
        return cls(settings, board)

    async def run(self, *, task_status: TaskStatus = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until `stop` is called and the work in progress is finished."""
        async with AsyncExitStack() as stack:
            store = self.settings.store
            self.store = open_store(store.kind, store.url, store.timeout_s)
            stack.push_async_callback(self.store.aclose)
            self.peers = await stack.enter_async_context(PeerPool.open())
            async with anyio.create_task_group() as group:
                self.make_controllers(GuardedTaskGroup(group))
                await self._start(group)
                task_status.started(self)
                await self.stopping.wait()
                await self._drain()
                group.cancel_scope.cancel()

    def stop(self) -> None:
        """Start a planned stop; `run` returns when it is complete."""
        self.stopping.set()

    def reload(self) -> None:
        """Log that changed settings need a restart; they are not reloaded."""
        logger.info("settings are read only at startup; restart to apply changes")

    def make_controllers(self, group: GuardedTaskGroup) -> None:
        """Create the controllers; ``store`` and ``peers`` are already open."""
        raise NotImplementedError

    def run_controllers(self, group: GuardedTaskGroup) -> None:
        """Start the background tasks of the controllers."""

    def routes(self) -> HttpApplication:
        """Return the HTTP endpoints of this daemon."""
        raise NotImplementedError

    def should_watch(self) -> bool:
        """Return whether this daemon watches the store or only pulls from peers."""
        return True

    async def finish_work(self) -> None:
        """Finish the work in progress before a planned stop."""
        raise NotImplementedError

    def report(self) -> dict[str, Any]:
        """Return the status report of this daemon."""
        raise NotImplementedError

    async def _start(self, group: TaskGroup) -> None:
        guarded = GuardedTaskGroup(group)
        self.membership = MembershipController(
            self.board, self.peers, self.settings.contacts, self.followers, guarded
        )
        bound = await group.start(
            serve_peers, self.settings.listen, self._handle, self.peers.counters
        )
        if not self.settings.advertise:
            self.board.member = msgspec.structs.replace(
                self.board.member, address=bound
            )
        host, port = parse_address(self.settings.http)
        self.http_address = await group.start(serve_http, self.routes(), host, port)
        for follower in self.followers:
            guarded.repeat(follower.run_forever, self.should_watch)
        guarded.repeat(self.membership.run_forever)
        self.run_controllers(guarded)
        logger.info(
            "{} {} in failure domain {} listens on {}, HTTP on {}",
            self.role,
            self.board.member.incarnation,
            self.board.member.domain,
            bound,
            self.http_address,
        )

    async def _drain(self) -> None:
        logger.info(
            "{} {} starts a planned stop", self.role, self.board.member.incarnation
        )
        self.board.leaving = True
        timeout_s = self.board.setting("drain_timeout_ms") / 1000
        with anyio.move_on_after(timeout_s) as scope:
            await anyio.sleep(self.shutdown_notice_s)
            await self.finish_work()
        if scope.cancelled_caught:
            logger.warning(
                "the planned stop was not complete after {} s; stopping anyway",
                timeout_s,
            )
        await anyio.sleep(FLUSH_DELAY_S)

    async def _handle(self, message: Any, peer: str) -> Any:
        name = self.handlers.get(type(message))
        if name is None:
            raise ProtocolError(
                f"an {self.role} does not accept {type(message).__name__}",
                step="receive",
            )
        return await getattr(self, name)(message)

    @handles(Heartbeat)
    async def receive_heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        """Record a peer's heartbeat and reply with this daemon's state."""
        return await self.membership.receive(message)

    @handles(Pull)
    async def answer_pull(self, message: Pull):
        """Return the changes that an outdated peer lacks."""
        return await answer_pull(message, self.followers)

    @handles(Inspect)
    async def inspect(self, message: Inspect) -> Report:
        """Return the status report."""
        return Report(encode_report(self.report()))
