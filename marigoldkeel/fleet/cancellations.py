"""Forwards cancellations to the other entries until each of them has confirmed."""

from collections.abc import Callable, Iterable

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from marigoldkeel.exceptions import MarigoldkeelError, PeerTimeout
from marigoldkeel.fleet.cancelled import CANCELLED_MEMORY_S
from marigoldkeel.fleet.messages import DropJob
from marigoldkeel.guards import run_guarded
from marigoldkeel.transports import PeerPool


# An entry confirms within milliseconds; without an answer its connection may be silent.
CONFIRM_TIMEOUT_S = 0.5
RETRY_DELAY_S = 0.2


class CancellationForwarder:
    """Sends cancelled ids to other entries, one request at a time to each.

    :ivar unconfirmed: The ids that an entry has not confirmed, with the time at which
        each is given up, by the entry's address.

    Usage::

        forwarder = CancellationForwarder(peers, group, time.monotonic)
        forwarder.forward("00000000000000aa", ["10.0.0.1:7000", "10.0.1.1:7000"])
    """

    def __init__(self, peers: PeerPool, group: TaskGroup, clock: Callable[[], float]):
        self.peers = peers
        self.group = group
        self.clock = clock
        self.unconfirmed: dict[str, dict[str, float]] = {}

    def forward(self, job_id: str, addresses: Iterable[str]) -> None:
        """Start to send the cancellation of a job to the entries at some addresses."""
        give_up_at = self.clock() + CANCELLED_MEMORY_S
        for address in addresses:
            is_idle = address not in self.unconfirmed
            self.unconfirmed.setdefault(address, {})[job_id] = give_up_at
            if is_idle:
                self.group.start_soon(
                    run_guarded, "forward cancellations", self._send_all, address
                )

    async def _send_all(self, address: str) -> None:
        unconfirmed = self.unconfirmed[address]
        try:
            while unconfirmed:
                job_id, give_up_at = next(iter(unconfirmed.items()))
                if self.clock() > give_up_at:
                    logger.bind(job=job_id, peer=address).warning(
                        "cancellation given up: not confirmed"
                    )
                    del unconfirmed[job_id]
                elif await self._send(address, job_id):
                    unconfirmed.pop(job_id, None)
                else:
                    await anyio.sleep(RETRY_DELAY_S)
        finally:
            del self.unconfirmed[address]

    async def _send(self, address: str, job_id: str) -> bool:
        """Send one cancellation; return whether the entry confirmed it."""
        try:
            await self.peers.request(address, DropJob(job_id), CONFIRM_TIMEOUT_S)
        except PeerTimeout as error:
            logger.bind(job=job_id).info("cancellation not confirmed: {}", error)
            await self.peers.reset(address)
            return False
        except MarigoldkeelError as error:
            logger.bind(job=job_id).info("cancellation not confirmed: {}", error)
            return False
        return True
