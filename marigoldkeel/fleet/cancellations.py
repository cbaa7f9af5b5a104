"""Forwards cancellations to the other entries until each of them has confirmed.

A cancellation that this entry has confirmed to a caller holds at all entries for
``CANCELLED_MEMORY_S``, also at those that are discovered or start again meanwhile. It
is kept in a log, in which each other entry has a position. Callers are told that a job
is cancelled once another entry knows it, so that it is not lost with this one.
"""

from collections.abc import Callable, Iterable, Iterator

import anyio
from anyio.abc import TaskGroup
from loguru import logger
from msgspec import Struct

from marigoldkeel.exceptions import MarigoldkeelError, PeerTimeout
from marigoldkeel.fleet.cancelled import (
    CANCELLED_MEMORY_S,
    MAX_REMEMBERED_CANCELLATIONS,
)
from marigoldkeel.fleet.messages import DropJob
from marigoldkeel.guards import run_guarded
from marigoldkeel.transports import PeerPool


# An entry confirms within milliseconds; without an answer its connection may be silent.
CONFIRM_TIMEOUT_S = 0.5
RETRY_DELAY_S = 0.2
# How often a stopping entry looks for cancellations that nobody has taken over.
HAND_OVER_INTERVAL_S = 0.05
# How many cancellations are sent at a time; to an entry that does not answer, only one.
# The next ones follow when these are confirmed, so a wave of thousands neither fills
# the connection's queue nor delays other messages by more than a few milliseconds.
MAX_BATCH = 32


class Cancellation(Struct):
    """A cancelled job; ``until`` is when its id need no longer be remembered."""

    position: int
    job_id: str
    until: float


class CancellationLog:
    """The cancellations of the last ``CANCELLED_MEMORY_S``, in order of arrival.

    Performs no I/O; callers pass in the time. Bounded by
    ``MAX_REMEMBERED_CANCELLATIONS``.

    :ivar end: The position after the last cancellation.
    """

    __slots__ = ("items", "positions", "end")

    def __init__(self):
        self.items: dict[int, Cancellation] = {}
        self.positions: dict[str, int] = {}
        self.end = 0

    @property
    def start(self) -> int:
        """The position of the first cancellation."""
        return next(iter(self.items), self.end)

    def add(self, job_id: str, until: float) -> int:
        """Add a cancellation, in place of an earlier one of the job, if any.

        :return: Its position.
        """
        earlier = self.items.pop(self.positions.get(job_id, -1), None)
        if earlier is not None:
            until = max(until, earlier.until)
        position = self.end
        self.items[position] = Cancellation(position, job_id, until)
        self.positions[job_id] = position
        self.end += 1
        return position

    def prune(self, now: float) -> list[Cancellation]:
        """Remove and return the first cancellations as far as they have expired."""
        removed = []
        while self.items:
            first = next(iter(self.items.values()))
            is_over_limit = len(self.items) > MAX_REMEMBERED_CANCELLATIONS
            if first.until >= now and not is_over_limit:
                break
            del self.items[first.position]
            if self.positions.get(first.job_id) == first.position:
                del self.positions[first.job_id]
            removed.append(first)
        return removed

    def after(self, position: int, now: float) -> Iterator[Cancellation]:
        """Return the cancellations from a position on that have not expired."""
        for number in range(max(position, self.start), self.end):
            item = self.items.get(number)
            if item is not None and item.until >= now:
                yield item


class ForwardingPeer(Struct):
    """Another entry.

    :ivar position: It has confirmed all cancellations before this position.
    :ivar discovered: How often it was discovered, with each incarnation once.
    """

    address: str
    position: int
    is_sending: bool = False
    discovered: int = 0


class CancellationForwarder:
    """Sends cancelled ids to other entries, some at a time to each.

    :ivar closed: Whether all cancellations have been handed over at a planned stop, so
        that no more may be confirmed.
    :ivar taken: The positions of the cancellations that another entry has taken over.
    :ivar waiters: Set, by position, when an entry has confirmed or taken over the
        cancellation there.

    Usage::

        forwarder = CancellationForwarder(peers, group, time.monotonic)
        forwarder.forward("00000000000000aa", ["10.0.0.1:7000", "10.0.1.1:7000"])
        forwarder.discover("10.0.2.1:7000")
        await forwarder.hand_over(["10.0.0.1:7000", "10.0.1.1:7000"], deadline)
    """

    def __init__(self, peers: PeerPool, group: TaskGroup, clock: Callable[[], float]):
        self.peers = peers
        self.group = group
        self.clock = clock
        self.log = CancellationLog()
        self.known: dict[str, ForwardingPeer] = {}
        self.closed = False
        self.taken: set[int] = set()
        self.waiters: dict[int, anyio.Event] = {}

    @property
    def unconfirmed(self) -> dict[str, list[str]]:
        """The ids that an entry has not confirmed, by the entry's address."""
        now = self.clock()
        by_address = {
            address: [item.job_id for item in self.log.after(peer.position, now)]
            for address, peer in self.known.items()
        }
        return {address: ids for address, ids in by_address.items() if ids}

    def forward(
        self, job_id: str, addresses: Iterable[str], keep_s: float = CANCELLED_MEMORY_S
    ) -> int:
        """Send the cancellation of a job to the entries at some addresses.

        Entries that are discovered within ``keep_s`` receive it as well.

        :return: Its position in the log.
        """
        self._prune()
        position = self.log.add(job_id, self.clock() + keep_s)
        wanted = dict.fromkeys(addresses)
        for address, peer in list(self.known.items()):
            if address not in wanted and not peer.is_sending:
                del self.known[address]
        for address in wanted:
            peer = self.known.setdefault(address, ForwardingPeer(address, position))
            self._start_sending(peer)
        return position

    def keep(self, job_id: str, keep_s: float) -> None:
        """Keep a cancellation only for the entries that are discovered later.

        The known ones have confirmed it.
        """
        self._prune()
        position = self.log.add(job_id, self.clock() + keep_s)
        for peer in self.known.values():
            if peer.position == position:
                peer.position = self.log.end

    def discover(self, address: str) -> None:
        """Send all cancellations to an entry that is new or has started again."""
        self._prune()
        if not self.log.items:
            return
        peer = self.known.setdefault(address, ForwardingPeer(address, 0))
        peer.position = self.log.start
        peer.discovered += 1
        self._start_sending(peer)

    async def hand_over_repeatedly(
        self, get_addresses: Callable[[], list[str]], deadline: float
    ) -> None:
        """Hand cancellations over as they arrive, until cancelled."""
        while True:
            await self._hand_over_once(get_addresses(), deadline)
            await anyio.sleep(HAND_OVER_INTERVAL_S)

    async def hand_over(self, addresses: list[str], deadline: float) -> None:
        """Hand over what no entry has taken over yet; nothing is confirmed after it."""
        self.closed = True
        with anyio.move_on_after(max(0.0, deadline - self.clock())):
            while addresses and self._not_taken():
                await self._hand_over_once(addresses, deadline)
                if self._not_taken():
                    await anyio.sleep(RETRY_DELAY_S)
        waiting = self._not_taken()
        if waiting:
            logger.bind(cancellations=len(waiting)).warning(
                "cancellations given up: no other entry has taken them over"
            )

    async def wait_until_taken_over(self, position: int, timeout_s: float) -> bool:
        """Wait until another entry has taken a cancellation over.

        :return: False if none has in time.
        """
        return await self._wait(position, lambda: position in self.taken, timeout_s)

    async def wait_until_confirmed(
        self, position: int, addresses: list[str], all_within_s: float, timeout_s: float
    ) -> bool:
        """Wait until all of some entries have confirmed a cancellation.

        :param all_within_s: After this time one of them is enough.
        :return: False if none has confirmed it within ``timeout_s``.
        """

        def confirmed() -> list[bool]:
            peers = [self.known.get(address) for address in addresses]
            return [peer is not None and peer.position > position for peer in peers]

        if await self._wait(position, lambda: all(confirmed()), all_within_s):
            return True
        remaining_s = timeout_s - all_within_s
        return await self._wait(position, lambda: any(confirmed()), remaining_s)

    async def _wait(
        self, position: int, condition: Callable[[], bool], timeout_s: float
    ) -> bool:
        with anyio.move_on_after(timeout_s):
            while not condition():
                await self.waiters.setdefault(position, anyio.Event()).wait()
        return condition()

    def _wake_waiters(self, items: list[Cancellation]) -> None:
        for item in items:
            if item.position in self.waiters:
                self.waiters.pop(item.position).set()

    def _not_taken(self) -> list[Cancellation]:
        return [
            item
            for item in self.log.after(0, self.clock())
            if item.position not in self.taken
        ]

    async def _hand_over_once(self, addresses: list[str], deadline: float) -> None:
        """Hand cancellations to one other entry, which goes on forwarding them.

        Those that an entry has not confirmed come first. Entries that have confirmed
        the most are asked first, as the others may not answer.

        :param deadline: Nothing is sent after this time.
        """
        self._prune()
        confirmed = min((peer.position for peer in self.known.values()), default=0)
        waiting = self._not_taken()
        waiting.sort(key=lambda item: item.position < confirmed)
        candidates = [
            self.known.get(address, ForwardingPeer(address, -1))
            for address in addresses
        ]
        candidates.sort(key=lambda peer: -peer.position)
        for peer in candidates:
            while waiting and self.clock() < deadline:
                batch = waiting[:MAX_BATCH]
                messages = [self._handed_over(item, confirmed) for item in batch]
                count = await self._send_batch(peer.address, messages)
                self._record_taken(batch[:count])
                del waiting[:count]
                if count < len(batch):
                    break

    def _record_taken(self, items: list[Cancellation]) -> None:
        self.taken.update(item.position for item in items)
        self._wake_waiters(items)

    def _handed_over(self, item: Cancellation, confirmed: int) -> DropJob:
        keep_ms = max(1, round((item.until - self.clock()) * 1000))
        return DropJob(item.job_id, keep_ms, item.position >= confirmed)

    def _start_sending(self, peer: ForwardingPeer) -> None:
        if not peer.is_sending:
            peer.is_sending = True
            self.group.start_soon(
                run_guarded, "forward cancellations", self._send_all, peer
            )

    async def _send_all(self, peer: ForwardingPeer) -> None:
        size = MAX_BATCH
        try:
            while batch := self._next_batch(peer, size):
                discovered = peer.discovered
                messages = [DropJob(item.job_id) for item in batch]
                count = await self._send_batch(peer.address, messages)
                if count and discovered == peer.discovered:
                    peer.position = batch[count - 1].position + 1
                    self._wake_waiters(batch[:count])
                size = MAX_BATCH
                if count < len(batch):
                    size = 1
                    await anyio.sleep(RETRY_DELAY_S)
        finally:
            peer.is_sending = False

    def _next_batch(self, peer: ForwardingPeer, size: int) -> list[Cancellation]:
        self._prune()
        following = self.log.after(peer.position, self.clock())
        return [item for item, _ in zip(following, range(size), strict=False)]

    async def _send_batch(self, address: str, messages: list[DropJob]) -> int:
        """Send messages and return how many of the first ones were confirmed."""
        errors: list[MarigoldkeelError | None] = [None] * len(messages)

        async def send(number: int, message: DropJob) -> None:
            try:
                await self.peers.request(address, message, CONFIRM_TIMEOUT_S)
            except MarigoldkeelError as error:
                errors[number] = error

        async with anyio.create_task_group() as group:
            for number, message in enumerate(messages):
                group.start_soon(send, number, message)
        count = next(
            (number for number, error in enumerate(errors) if error is not None),
            len(errors),
        )
        if count < len(errors):
            unconfirmed = len(errors) - errors.count(None)
            logger.bind(job=messages[count].job_id, unconfirmed=unconfirmed).info(
                "cancellation not confirmed: {}", errors[count]
            )
        if any(isinstance(error, PeerTimeout) for error in errors):
            await self.peers.reset(address)
        return count

    def _prune(self) -> None:
        for item in self.log.prune(self.clock()):
            self.taken.discard(item.position)
            self.waiters.pop(item.position, None)
            for peer in self.known.values():
                if peer.position <= item.position:
                    logger.bind(job=item.job_id, peer=peer.address).warning(
                        "cancellation given up: not confirmed"
                    )
