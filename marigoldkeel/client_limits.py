"""Limits on what clients make a process keep, and its budget of bytes. No I/O.

The budget addresses crowds of clients that send much and finish nothing. It decides by
what is kept for whom: bytes of unfinished requests give way first, those of the slowest
client before others, and no client address may hold more than a share.
"""

from collections.abc import Hashable
from heapq import nsmallest

from msgspec import Struct


MB = 1024 * 1024
# Accounted for each connection: objects of the connection and its parser, a request in
# progress, and the buffers of the operating system's interface. An idle connection
# takes about 3 KB; a request in progress and a write buffer add to that.
CONNECTION_BYTES = 16 * 1024
# What a connection may keep beyond the fixed amount without being accounted, so that
# ordinary requests cost no accounting.
UNACCOUNTED_BYTES = 4 * 1024
# Memory of a daemon that serves nobody, with its view of the fleet.
PROGRAM_BYTES = 64 * MB
# Memory per accounted byte: buffers are copied once and grow ahead of their content.
MEMORY_PER_BYTE = 2
# Any budget can hold one request of the largest size, by any one address.
MIN_CAPACITY = 12 * MB
# Share of the budget for requests. The rest is for connections and accepted jobs, so
# that small requests are served while large ones take up their share.
REQUEST_SHARE = 0.75
# Share of the budget and of the connections that one client address may take up.
ADDRESS_SHARE = 0.5
# What is freed at least when the budget is exhausted, as a share of it, so that the
# search for the slowest clients is not repeated for each request.
RELIEF_SHARE = 0.125
# Added to the age of an unfinished request: its first bytes say nothing of its speed.
SETTLING_S = 0.5


class ClientLimits(Struct, frozen=True):
    """Limits on the requests of one client.

    The defaults are above the limits that operators set for their callers.

    :ivar max_header_bytes: Size of the request line and the headers.
    :ivar header_timeout_s: Time from the first byte of a request to the end of its
        headers.
    :ivar idle_timeout_s: How long an idle connection is kept while connections or
        memory are short.
    """

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 4 * MB
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 30.0


DEFAULT_LIMITS = ClientLimits()


class Holding(Struct, eq=False):
    """Bytes that are kept for one connection or job.

    :ivar owner: The object that keeps the bytes.
    :ivar unfinished: Whether they may be dropped to make room. Those of an accepted
        job may not.
    :ivar received: How many bytes have arrived since ``began_at``.
    """

    owner: Hashable
    address: str
    size: int = 0
    unfinished: bool = False
    received: int = 0
    began_at: float = 0.0

    def speed(self, now: float) -> float:
        """Return the mean rate at which its bytes arrived."""
        return self.received / (now - self.began_at + SETTLING_S)


class ByteBudget:
    """The bytes that a process keeps for its clients, by connection and address.

    Usage::

        budget = ByteBudget.from_memory_limit(160 * MB)
        holding = Holding(connection, "10.0.0.1")
        if not budget.resize(holding, 70_000):
            refuse()
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.used = 0
        self.fixed = 0
        self.by_address: dict[str, int] = {}
        self.holdings: set[Holding] = set()

    @classmethod
    def from_memory_limit(cls, memory_bytes: int) -> "ByteBudget":
        """Return the budget of a process with this memory limit."""
        available = (memory_bytes - PROGRAM_BYTES) // MEMORY_PER_BYTE
        return cls(max(available, MIN_CAPACITY))

    @property
    def total(self) -> int:
        """All accounted bytes."""
        return self.used + self.fixed

    def has_room(self, address: str, added: int, share: float = 1.0) -> bool:
        """Return whether an address may hold this many more bytes.

        :param share: The share of the budget that this kind of bytes may fill.
        """
        held = self.by_address.get(address, 0) + added
        return (
            self.total + added <= share * self.capacity
            and held <= ADDRESS_SHARE * self.capacity
        )

    def resize(self, holding: Holding, size: int, share: float = 1.0) -> bool:
        """Change the size of a holding; if there is no room, return False."""
        added = size - holding.size
        if added > 0 and not self.has_room(holding.address, added, share):
            return False
        holding.size = size
        self.used += added
        held = self.by_address.get(holding.address, 0) + added
        if held:
            self.by_address[holding.address] = held
        else:
            self.by_address.pop(holding.address, None)
        if size:
            self.holdings.add(holding)
        else:
            self.holdings.discard(holding)
        return True

    def release(self, holding: Holding) -> None:
        """Remove a holding."""
        self.resize(holding, 0)

    def slowest(self, holding: Holding, added: int, now: float) -> list[Holding]:
        """Return the unfinished holdings to drop so that ``holding`` can grow.

        :return: The slowest ones, of the same address if its share is exhausted; empty
            if there are none.
        """
        held = self.by_address.get(holding.address, 0) + added
        is_over_share = held > ADDRESS_SHARE * self.capacity
        candidates = [
            item
            for item in self.holdings
            if item.unfinished
            and (not is_over_share or item.address == holding.address)
        ]
        needed = max(added, int(RELIEF_SHARE * self.capacity))
        # Holdings are larger than what is not accounted.
        count = needed // UNACCOUNTED_BYTES + 1
        dropped = []
        for item in nsmallest(count, candidates, key=lambda item: item.speed(now)):
            if needed <= 0:
                break
            dropped.append(item)
            needed -= item.size
        return dropped
