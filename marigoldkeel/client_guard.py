"""Applies the limits on clients to all connections that a process accepts."""

import asyncio
import resource
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from functools import cache
from pathlib import Path
from typing import Protocol

from loguru import logger

from marigoldkeel.client_limits import (
    ADDRESS_SHARE,
    CONNECTION_BYTES,
    MB,
    REQUEST_SHARE,
    ByteBudget,
    Holding,
)
from marigoldkeel.fair_queue import FairQueue


CGROUP_PATH = Path("/proc/self/cgroup")
CGROUP_ROOT = Path("/sys/fs/cgroup")
MEMINFO_PATH = Path("/proc/meminfo")
# Descriptors that no client may take: listeners, logs, the store, and the links to
# agents, of which an entry keeps at most a few dozen.
MIN_RESERVED_DESCRIPTORS = 64
RESERVED_DESCRIPTOR_SHARE = 0.25
# Used if the operating system has no limit.
MAX_DESCRIPTORS = 1_000_000
# Share of the connections that HTTP clients may take up, so that links between daemons
# can be opened while they do.
HTTP_SHARE = 0.875
# How many connections are closed at once when there are too many, as a share of them:
# the search for them must not be repeated for each new connection.
RELIEF_SHARE = 1 / 16
# Interval at which unfinished requests are checked. An interval counts for its nominal
# length, however late the event loop is, since data may wait to be read after a pause.
CHECK_INTERVAL_S = 0.5
LOG_INTERVAL_S = 5.0
# Data of clients that is parsed in one turn of the event loop.
TURN_BYTES = 32 * 1024

# In which order connections are closed when there are too many.
RANK_UNUSED = 0
RANK_LONG_IDLE = 1
RANK_UNFINISHED = 2
RANK_IDLE = 3


def memory_limit_bytes() -> int:
    """Return the memory limit that the operating system reports for this process."""
    values = []
    groups = CGROUP_PATH.read_text() if CGROUP_PATH.exists() else ""
    for line in groups.splitlines():
        _, controllers, group = line.split(":", 2)
        if not controllers:
            path = CGROUP_ROOT / group.lstrip("/") / "memory.max"
        elif "memory" in controllers.split(","):
            path = CGROUP_ROOT / "memory" / group.lstrip("/") / "memory.limit_in_bytes"
        else:
            continue
        # Without the file, or with the value "max", the group has no limit.
        with suppress(OSError, ValueError):
            values.append(int(path.read_text()))
    for line in MEMINFO_PATH.read_text().splitlines():
        if line.startswith("MemTotal:"):
            values.append(int(line.split()[1]) * 1024)
    return min(values)


def descriptor_limit() -> int:
    """Return how many descriptors this process may have open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit


class ParsingConnection(Protocol):
    """A connection that keeps data which has not been parsed.

    :ivar address: The IP address of the client.
    :ivar unparsed: The data.
    """

    address: str
    unparsed: bytearray

    def parse_piece(self) -> int:
        """Parse the first part of the data and return its size."""


class ParsingTurns:
    """Limits how much is parsed in one turn of the event loop.

    Parsing may cost far more than receiving, as with chunks of one byte. What exceeds a
    turn waits, while the addresses take turns; an address without waiting data is
    served at once as long as the turn has room for it.

    :ivar left: How many bytes may still be parsed in this turn.
    """

    def __init__(self):
        self.left = TURN_BYTES
        self.queue = FairQueue()
        self.next_turn: asyncio.Handle | None = None
        self.loop: asyncio.AbstractEventLoop | None = None

    def take(self, address: str, size: int) -> bool:
        """Return whether data that has just arrived may be parsed now."""
        if size > self.left or address in self.queue:
            return False
        self.left -= size
        self._schedule()
        return True

    def defer(self, connection: ParsingConnection) -> None:
        """Let a connection parse its data in turn."""
        self.queue.add(connection.address, connection)
        self._schedule()

    def _schedule(self) -> None:
        # The default guard outlives an event loop.
        if self.next_turn is None or self.loop is not asyncio.get_running_loop():
            self.loop = asyncio.get_running_loop()
            self.next_turn = self.loop.call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self.next_turn = None
        self.left = TURN_BYTES
        while self.queue and self.left > 0:
            connection = self.queue.pop()
            self.left -= connection.parse_piece()
            if connection.unparsed:
                self.queue.put_back(connection.address, connection)
        if self.queue:
            self._schedule()


class GuardedConnection(Protocol):
    """A connection that a client has opened.

    :ivar address: The IP address of the client.
    """

    address: str

    def closing_rank(self, now: float) -> tuple[int, float] | None:
        """Return the rank and the age with which it may be closed, or None.

        It is None while a request is in progress.
        """

    def drop(self, reason: str) -> None:
        """Refuse its unfinished request, and close it.

        :param reason: One of a few short texts, for metrics and logs.
        """

    def check_progress(self) -> None:
        """Called every `CHECK_INTERVAL_S` while a request is unfinished."""


class ClientGuard:
    """Decides which connections and requests of clients a process keeps.

    :param budget: The bytes kept for clients.
    :param max_connections: How many connections of clients may be open.
    :ivar counts: How many connections and requests were refused or closed, by reason.
    """

    def __init__(
        self,
        budget: ByteBudget,
        max_connections: int,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.budget = budget
        self.max_connections = max_connections
        self.clock = clock
        self.connections: dict[GuardedConnection, None] = {}
        self.by_address: Counter[str] = Counter()
        self.unfinished: dict[GuardedConnection, None] = {}
        self.check: asyncio.TimerHandle | None = None
        self.check_loop: asyncio.AbstractEventLoop | None = None
        self.parsing = ParsingTurns()
        self.counts: Counter[str] = Counter()
        self.logged_at = float("-inf")
        self.logged_counts: Counter[str] = Counter()

    @classmethod
    def from_limits(
        cls, memory_mb: float = 0, max_descriptors: float = 0
    ) -> "ClientGuard":
        """Return the guard of a process with these limits.

        Usage::

            guard = ClientGuard.from_limits(memory_mb=160, max_descriptors=1638)

        :param memory_mb: 0 for what the operating system reports.
        :param max_descriptors: Likewise; the operating system's limit holds as well.
        """
        memory_bytes = int(memory_mb * MB) or memory_limit_bytes()
        descriptors = descriptor_limit()
        if max_descriptors:
            descriptors = min(descriptors, int(max_descriptors))
        reserved = max(
            MIN_RESERVED_DESCRIPTORS, int(descriptors * RESERVED_DESCRIPTOR_SHARE)
        )
        return cls(
            ByteBudget.from_memory_limit(memory_bytes),
            max(descriptors - reserved, descriptors // 4),
        )

    # Connections

    def admit(self, connection: GuardedConnection, share: float = 1.0) -> bool:
        """Register a new connection, or return False if it has to be closed.

        :param share: The share of the connections that this kind may fill.
        """
        budget = self.budget
        if not self._has_room_for(connection.address, share):
            self._close_some(connection.address)
            if not self._has_room_for(connection.address, share):
                self.count("no connections left")
                return False
        self.connections[connection] = None
        self.by_address[connection.address] += 1
        budget.fixed += CONNECTION_BYTES
        return True

    def forget(self, connection: GuardedConnection) -> None:
        """Remove a connection that has ended."""
        self.unfinished.pop(connection, None)
        if connection not in self.connections:
            return
        del self.connections[connection]
        self.budget.fixed -= CONNECTION_BYTES
        self.by_address[connection.address] -= 1
        if not self.by_address[connection.address]:
            del self.by_address[connection.address]

    def _has_room_for(self, address: str, share: float) -> bool:
        return (
            len(self.connections) < share * self.max_connections
            and self.by_address[address] < ADDRESS_SHARE * self.max_connections
            and self.budget.total + CONNECTION_BYTES <= self.budget.capacity
        )

    def _close_some(self, address: str) -> None:
        """Close the connections with the least progress, to make room for new ones."""
        is_over_share = self.by_address[address] >= ADDRESS_SHARE * self.max_connections
        now = self.clock()
        candidates = []
        for connection in self.connections:
            if is_over_share and connection.address != address:
                continue
            rank = connection.closing_rank(now)
            if rank is not None:
                kind, age_s = rank
                count = self.by_address[connection.address]
                candidates.append((kind, -count, -age_s, id(connection), connection))
        candidates.sort()
        closed = max(1, int(len(self.connections) * RELIEF_SHARE))
        for *_, connection in candidates[:closed]:
            connection.drop("too many connections")
            self.forget(connection)

    # Bytes

    def resize(self, holding: Holding, size: int, share: float = REQUEST_SHARE) -> bool:
        """Change how much a holding keeps; if necessary, drop slower requests.

        :return: Whether there is room; the holding itself may have been dropped.
        """
        if self.budget.resize(holding, size, share):
            return True
        dropped = self.budget.slowest(holding, size - holding.size, self.clock())
        for item in dropped:
            item.owner.drop("memory is short")
        return holding not in dropped and self.budget.resize(holding, size, share)

    # Unfinished requests

    def watch(self, connection: GuardedConnection) -> None:
        """Check the progress of a connection until `unwatch` or `forget`."""
        self.unfinished[connection] = None
        # The default guard outlives an event loop.
        if self.check is None or self.check_loop is not asyncio.get_running_loop():
            self._schedule_check()

    def unwatch(self, connection: GuardedConnection) -> None:
        """End the checks of a connection."""
        self.unfinished.pop(connection, None)

    def _schedule_check(self) -> None:
        self.check_loop = asyncio.get_running_loop()
        self.check = self.check_loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self.check = None
        for connection in list(self.unfinished):
            connection.check_progress()
        if self.unfinished:
            self._schedule_check()

    # Counts

    def count(self, reason: str) -> None:
        """Count something refused or closed; log the counts at a limited rate."""
        self.counts[reason] += 1
        now = self.clock()
        if now - self.logged_at >= LOG_INTERVAL_S:
            new = self.counts - self.logged_counts
            self.logged_at = now
            self.logged_counts = self.counts.copy()
            logger.bind(
                counts=dict(new),
                connections=len(self.connections),
                kept_bytes=self.budget.total,
            ).info("clients refused or closed, last reason: {}", reason)


@cache
def default_guard() -> ClientGuard:
    """Return the guard of a process without settings for it."""
    return ClientGuard.from_limits()
