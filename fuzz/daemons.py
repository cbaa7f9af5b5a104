"""Installations of running daemons, and the search for unexpected errors in them."""

from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import (
    AbstractAsyncContextManager,
    asynccontextmanager,
    contextmanager,
    suppress,
)
from typing import Any

import anyio
from loguru import logger

from emulator.sites import Site
from fuzz.messages import MessageGenerator
from marigoldkeel.demo import LocalSystem
from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.models import Member
from marigoldkeel.transports import PeerPool


# Messages that are sent before their effects are awaited.
BATCH_MESSAGES = 20
BATCH_WAIT_S = 0.02
REQUEST_TIMEOUT_S = 0.05

Installation = Callable[[], AbstractAsyncContextManager[list[Member]]]
installations: dict[str, Installation] = {}


def installation(name: str) -> Callable[[Installation], Installation]:
    """Register a context manager that yields the members of a running system."""

    def register(function: Installation) -> Installation:
        installations[name] = function
        return function

    return register


@installation("fleet")
@asynccontextmanager
async def run_fleet() -> AsyncIterator[list[Member]]:
    """Run entries and agents of workers, for repeatable jobs."""
    async with Site.open(entries=2, workers=2) as site:
        yield [daemon.own_member for daemon in (*site.entries, *site.agents)]


@installation("claims")
@asynccontextmanager
async def run_claims() -> AsyncIterator[list[Member]]:
    """Run entries and agents with partitions, for jobs that start at most once."""
    async with LocalSystem.open(agents=3, entries=2, partitions=4) as system:
        yield [daemon.board.member for daemon in (*system.entries, *system.agents)]


class Finding:
    """An unexpected error in a daemon.

    :ivar text: The log line.
    :ivar place: The function and line in which the error was raised.
    :ivar number: How many messages had been sent when it was logged.
    """

    __slots__ = ("text", "place", "number")

    def __init__(self, text: str, place: str, number: int):
        self.text = text
        self.place = place
        self.number = number

    def __str__(self) -> str:
        return f"after {self.number} messages: {self.text} ({self.place})"


class ErrorLog:
    """Collects the unexpected errors that daemons log, each place once."""

    def __init__(self):
        self.findings: dict[str, Finding] = {}
        self.sent = 0

    def write(self, message: Any) -> None:
        """Receive a log line from loguru."""
        record = message.record
        if record["exception"] is None:
            return
        error = record["exception"].value
        trace = error.__traceback__
        while trace is not None and trace.tb_next is not None:
            trace = trace.tb_next
        place = "unknown place"
        if trace is not None:
            code = trace.tb_frame.f_code
            place = f"{type(error).__name__} in {code.co_qualname}:{trace.tb_lineno}"
        finding = Finding(f"{record['message']}: {error}", place, self.sent)
        self.findings.setdefault(place, finding)

    @contextmanager
    def attached(self) -> Iterator["ErrorLog"]:
        """Receive log lines until the context exits."""
        sink = logger.add(self.write, level="ERROR")
        try:
            yield self
        finally:
            logger.remove(sink)


async def find_errors(name: str, seed: int, messages: int) -> list[Finding]:
    """Send random messages to an installation and return what went wrong.

    :param name: The name of a registered installation.
    :param messages: How many messages to send.
    """
    log = ErrorLog()
    async with installations[name]() as members, PeerPool.open() as peers:
        texts = [text for item in members for text in (item.name, item.incarnation)]
        texts += [item.address for item in members]
        generator = MessageGenerator(seed, texts)
        with log.attached():
            async with anyio.create_task_group() as group:
                while log.sent < messages:
                    address = generator.random.choice(members).address
                    group.start_soon(_send, peers, address, generator.draw())
                    log.sent += 1
                    if log.sent % BATCH_MESSAGES == 0:
                        await anyio.sleep(BATCH_WAIT_S)
            await anyio.sleep(5 * BATCH_WAIT_S)
    return list(log.findings.values())


async def _send(peers: PeerPool, address: str, message: Any) -> None:
    # A daemon may refuse a message or leave it unanswered, but nothing else.
    with suppress(MarigoldkeelError):
        await peers.request(address, message, REQUEST_TIMEOUT_S)
