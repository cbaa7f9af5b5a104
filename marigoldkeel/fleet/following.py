"""Keeps an entry's copy of the operators' plan current, from the store and peers."""

from collections.abc import Callable

import anyio
from loguru import logger

from marigoldkeel.exceptions import InvalidInput, MarigoldkeelError, StoreUnavailable
from marigoldkeel.fleet.plans import Plan
from marigoldkeel.messages import Pull, Pulled
from marigoldkeel.revisions import RevisionRegister
from marigoldkeel.stores import LeasedStore
from marigoldkeel.transports import PeerPool


PLAN_DOCUMENT = "plan"
# A change must be in force on all entries within two seconds, even if a watch has
# stopped delivering events without an error.
WATCH_IDLE_TIMEOUT_S = 0.8
STORE_RETRY_DELAY_S = 0.3
PULL_TIMEOUT_S = 0.5


class PlanFollower:
    """Watches the plan in the store and fetches newer versions from peers.

    :param key: The key of the plan in the store.
    :param decode: Decodes the stored plan; raises `InvalidInput` if it is malformed.
    """

    def __init__(
        self,
        store: LeasedStore,
        peers: PeerPool,
        key: str,
        decode: Callable[[bytes], Plan],
    ):
        self.store = store
        self.peers = peers
        self.key = key
        self.decode = decode
        self.register = RevisionRegister()
        self.data = b""
        self.pulling = False
        self.store_reachable: bool | None = None

    @property
    def plan(self) -> Plan | None:
        """The plan in force, or None before the first one was received."""
        return self.register.document

    @property
    def version(self) -> int:
        """The version of the plan in force, 0 before the first one was received."""
        return self.register.revision

    def apply_if_newer(self, data: bytes, source: str) -> None:
        """Put a plan into force if it is newer than the current one.

        :param source: Where the plan comes from, for the log.
        """
        try:
            plan = self.decode(data)
        except InvalidInput as error:
            logger.warning("malformed plan from {}: {}", source, error)
            return
        if self.register.offer(plan.version, plan):
            self.data = data
            logger.info(
                "plan {} from {} in force: {} queues",
                plan.version,
                source,
                len(plan.queues),
            )

    async def run_forever(self) -> None:
        """Read and watch the plan; restart whenever the watch ends."""
        while True:
            try:
                await self._follow()
            except MarigoldkeelError as error:
                self._set_store_reachable(False, error)
                await anyio.sleep(STORE_RETRY_DELAY_S)

    async def _follow(self) -> None:
        snapshot = await self.store.get_prefix(self.key)
        self._set_store_reachable(True)
        for value in snapshot.values:
            if value.key == self.key:
                self.apply_if_newer(value.data, "store")
        changes = self.store.watch_changes(
            self.key, snapshot.revision, WATCH_IDLE_TIMEOUT_S
        )
        async for change in changes:
            if change.key == self.key and change.data is not None:
                self.apply_if_newer(change.data, "store")

    def answer(self, message: Pull) -> Pulled:
        """Return the plan in force to a peer.

        :raises StoreUnavailable: If the peer asks for another document.
        """
        if message.what != PLAN_DOCUMENT:
            raise StoreUnavailable(f"no document {message.what!r}", step="pull")
        return Pulled(message.above, self.version, self.data)

    async def pull(self, address: str, version: int) -> None:
        """Fetch the plan from a peer that announced a newer version."""
        if self.pulling or version <= self.version:
            return
        self.pulling = True
        try:
            request = Pull(PLAN_DOCUMENT, self.version)
            reply = await self.peers.request(address, request, PULL_TIMEOUT_S)
            if reply.document:
                self.apply_if_newer(reply.document, address)
        except MarigoldkeelError as error:
            logger.info("could not fetch the plan from a peer: {}", error)
        finally:
            self.pulling = False

    def _set_store_reachable(
        self, is_reachable: bool, error: Exception | str = ""
    ) -> None:
        if is_reachable != self.store_reachable:
            self.store_reachable = is_reachable
            logger.info(
                "plan {} {}", "followed" if is_reachable else "not followed", error
            )
