"""Keeps an entry's copy of the operators' orders current, from the store and peers.

The orders are the plan and, if the settings enable it, the evacuated failure domains.
One watch covers both. The store is read and watched in a thread, since the event loop
of the entry is late while callers keep it busy; what was read is applied on that loop.
"""

import time
from collections.abc import Callable, Iterable
from os.path import commonprefix
from typing import Any

import anyio
from loguru import logger
from msgspec.structs import replace

from marigoldkeel.exceptions import InvalidInput, MarigoldkeelError, StoreUnavailable
from marigoldkeel.fleet.evacuations import (
    EvacuatedDomains,
    decode_domains,
    domain_of_key,
    evacuated_by,
)
from marigoldkeel.fleet.lateness import LoopLateness
from marigoldkeel.fleet.plans import Plan
from marigoldkeel.fleet.pulls import NO_NEWS, News, PullSchedule
from marigoldkeel.guards import run_guarded
from marigoldkeel.messages import Pull, Pulled
from marigoldkeel.revisions import RevisionRegister
from marigoldkeel.stores import Change, LeasedStore, Snapshot
from marigoldkeel.threads import LoopThread
from marigoldkeel.transports import PeerPool


PLAN_DOCUMENT = "plan"
EVACUATIONS_DOCUMENT = "evacuations"
# A change must be in force on all entries within two seconds, even if a watch has
# stopped delivering events without an error.
WATCH_IDLE_TIMEOUT_S = 0.8
STORE_RETRY_DELAY_S = 0.3
# A reply may contain a whole plan and come from an entry that callers keep busy.
PULL_TIMEOUT_S = 2.0
# Interval at which requests to peers that are due are sent.
PULL_INTERVAL_S = 0.25
# Time after which an evacuation is known to all entries, also to those that the store
# rejects: a silent watch ends (1.2 s), is started again (0.3 s) after a read (0.5 s) at
# one entry; the next round of announcements (0.5 s) and a pull (0.5 s) follow. Entries
# that callers keep busy, and lost messages, add to it.
EVACUATION_DELAY_S = 3.0
# Interval between complete reads while the store's revision is below the known one. Its
# changes then tell nothing, as they are compared with that revision.
SET_BACK_READ_INTERVAL_S = 2.0


def _call(action: Callable[..., None], *arguments: Any) -> None:
    action(*arguments)


class PlanFollower:
    """Watches the plan in the store and fetches newer versions from peers.

    :param store: Only used by this follower.
    :param key: The key of the plan in the store.
    :param decode: Decodes the stored plan; raises `InvalidInput` if it is malformed.
    :param evacuations: Follows the evacuated domains too; None to read the plan only.
    :param evacuation_prefix: Prefix of the keys that name an evacuated domain each.
    :param lateness: That of the event loop, for the log.
    :param clock: The clock of the store's client.
    :ivar prefix: What is read and watched. A prefix that covers the plan and the
        evacuations saves the calls of a second watch; other keys below it are ignored.
    :ivar set_back: Whether the store was last read with a revision below the known one.
    :ivar read_revision: The highest revision of the evacuations that was read.
    :ivar hand_over: Calls a function on the event loop of the entry.
    """

    def __init__(
        self,
        store: LeasedStore,
        peers: PeerPool,
        key: str,
        decode: Callable[[bytes], Plan],
        evacuations: EvacuatedDomains | None = None,
        evacuation_prefix: str = "",
        lateness: LoopLateness | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.store = store
        self.peers = peers
        self.key = key
        self.decode = decode
        self.evacuations = evacuations
        self.evacuation_prefix = evacuation_prefix
        self.prefix = (
            key if evacuations is None else commonprefix([key, evacuation_prefix])
        )
        self.lateness = lateness or LoopLateness()
        self.clock = clock
        self.started_at = clock()
        self.read_revision = 0
        self.hand_over: Callable[..., None] = _call
        self.set_back = False
        self.register = RevisionRegister()
        self.data = b""
        self.pulls = PullSchedule()
        self.store_reachable: bool | None = None

    @property
    def plan(self) -> Plan | None:
        """The plan in force, or None before the first one was received.

        If evacuations are followed, no job may start before they are known too.
        """
        if self.evacuations is not None and not self.evacuations.known:
            return None
        return self.register.document

    @property
    def version(self) -> int:
        """The version of the plan in force, 0 before the first one was received."""
        return self.register.revision

    @property
    def unconfirmed_s(self) -> float:
        """Seconds since the store last stated what the newest plan is.

        A plan that this entry does not know yet has been in the store for less.
        """
        return self.clock() - self._asked_at()

    def apply_if_newer(
        self, data: bytes, source: str, asked_at: float | None = None
    ) -> None:
        """Put a plan into force if it is newer than the current one.

        :param source: Where the plan comes from, for the log.
        :param asked_at: When the store was asked for it; if it comes from elsewhere,
            the last time that the store was asked and has answered.
        """
        asked_at = self._asked_at() if asked_at is None else asked_at
        unconfirmed_s = self.clock() - asked_at
        try:
            plan = self.decode(data)
        except InvalidInput as error:
            logger.warning("malformed plan from {}: {}", source, error)
            return
        if self.register.offer(plan.version, plan):
            self.data = data
            logger.bind(
                rare=True,
                bytes=len(data),
                unconfirmed_ms=round(1000 * unconfirmed_s),
                loop_late_ms=round(1000 * self.lateness.worst_s),
            ).info(
                "plan {} from {} in force: {} queues",
                plan.version,
                source,
                len(plan.queues),
            )

    async def run_forever(self) -> None:
        """Follow the store in a thread until cancelled."""
        thread = LoopThread("follow plan", self._follow_forever)
        self.hand_over = thread.call_owner
        await thread.run()

    async def _follow_forever(self) -> None:
        """Read and watch the plan; restart whenever the watch ends."""
        async with self.store:
            while True:
                try:
                    await self._follow()
                except MarigoldkeelError as error:
                    self.hand_over(self._set_store_reachable, False, error)
                    await anyio.sleep(STORE_RETRY_DELAY_S)

    async def _follow(self) -> None:
        known_revision = max(self.evacuation_revision, self.read_revision)
        snapshot = await self.store.get_prefix(self.prefix)
        self.hand_over(self._set_store_reachable, True)
        if self.evacuations is not None:
            was_set_back = self.set_back and snapshot.revision == known_revision
            self.set_back = snapshot.revision < known_revision or was_set_back
            self.read_revision = max(self.read_revision, snapshot.revision)
        self.hand_over(self._apply_snapshot, snapshot, known_revision, self._asked_at())
        changes = self.store.watch_changes(
            self.prefix, snapshot.revision, WATCH_IDLE_TIMEOUT_S
        )
        with anyio.move_on_after(
            SET_BACK_READ_INTERVAL_S if self.set_back else float("inf")
        ):
            async for change in changes:
                if self.evacuations is not None and change.key != self.key:
                    self.read_revision = max(self.read_revision, change.revision)
                self.hand_over(
                    self._apply_change, change, self.set_back, self._asked_at()
                )

    def _asked_at(self) -> float:
        """Return when the store was asked for what it has just answered."""
        return self.store.confirmed_at.get(self.prefix, self.started_at)

    def _apply_snapshot(
        self, snapshot: Snapshot, known_revision: int, asked_at: float
    ) -> None:
        if self.evacuations is not None:
            keys = [value.key for value in snapshot.values]
            self.evacuations.record_read(
                snapshot.revision,
                set(evacuated_by(keys, self.evacuation_prefix)),
                known_revision,
            )
        for value in snapshot.values:
            if value.key == self.key:
                self.apply_if_newer(value.data, "store", asked_at)

    def _apply_change(self, change: Change, set_back: bool, asked_at: float) -> None:
        if change.key == self.key:
            if change.data is not None:
                self.apply_if_newer(change.data, "store", asked_at)
        elif self.evacuations is not None:
            self._apply_evacuation(change, set_back)

    def _apply_evacuation(self, change: Change, set_back: bool) -> None:
        """Apply a change of a key below the evacuation prefix; ignore other keys."""
        if not change.key.startswith(self.evacuation_prefix):
            return
        domain = domain_of_key(change.key, self.evacuation_prefix)
        is_evacuated = change.data is not None
        if not domain:
            return
        if not set_back or change.revision >= self.evacuations.revision:
            self.evacuations.record_change(domain, is_evacuated, change.revision)
        elif is_evacuated:
            self.evacuations.add_restored([domain])

    @property
    def evacuation_revision(self) -> int:
        """The revision of the known evacuations; 0 if none are known or followed."""
        return self.evacuations.revision if self.evacuations is not None else 0

    @property
    def evacuation_changes(self) -> int:
        """How often the set of evacuated domains has changed here."""
        return self.evacuations.changes if self.evacuations is not None else 0

    def answer(self, message: Pull) -> Pulled:
        """Return the plan in force or the evacuations to a peer.

        :raises StoreUnavailable: If the peer asks for another document.
        """
        if message.what == EVACUATIONS_DOCUMENT and self.evacuation_revision:
            return Pulled(
                message.above, self.evacuations.revision, self.evacuations.encode()
            )
        if message.what != PLAN_DOCUMENT:
            raise StoreUnavailable(f"no document {message.what!r}", step="pull")
        is_newer = self.version > message.above
        return Pulled(message.above, self.version, self.data if is_newer else b"")

    async def receive_news(self, address: str, news: News) -> None:
        """Record an announcement of a peer and fetch what is newer.

        What cannot be fetched now is fetched by `ask_peers_forever`.
        """
        if self.evacuations is None:
            news = replace(news, evacuation_revision=0)
        self.pulls.record(address, news)
        for chosen in self.pulls.choose_newer(self.clock(), self.known_news, [address]):
            await self._pull_news(chosen)

    async def ask_peers_forever(self, addresses: Callable[[], Iterable[str]]) -> None:
        """Ask peers for what they have announced, or because the store is silent.

        :param addresses: Returns the addresses of the other entries.
        """
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(PULL_INTERVAL_S)
                known, now = list(addresses()), self.clock()
                self.pulls.forget_others(known)
                for address in self.pulls.choose_newer(now, self.known_news, known):
                    group.start_soon(run_guarded, "pull", self._pull_news, address)
                for address in self.pulls.choose_in_turn(
                    now, self.unconfirmed_s, known
                ):
                    group.start_soon(run_guarded, "pull", self._pull_all, address)

    @property
    def known_news(self) -> News:
        """What this entry can tell others."""
        return News(self.version, self.evacuation_revision)

    async def _pull_news(self, address: str) -> None:
        """Fetch what a peer has announced."""
        try:
            news = self.pulls.announced.get(address, NO_NEWS)
            await self.pull(address, news.version, news.evacuation_revision)
        finally:
            self.pulls.end(address)

    async def _pull_all(self, address: str) -> None:
        """Fetch what a peer knows, whether or not it has announced it."""
        try:
            await self._pull_evacuations(address)
            if self.evacuations is None or self.evacuations.known:
                await self._pull_plan(address)
        finally:
            self.pulls.end(address)

    async def pull(
        self, address: str, version: int, evacuation_revision: int = 0
    ) -> None:
        """Fetch what a peer has announced to be newer than what is known here.

        Evacuations come first: with the plan, this entry accepts jobs.
        """
        if evacuation_revision > self.evacuation_revision:
            await self._pull_evacuations(address)
        if version > self.version and (
            not evacuation_revision
            or self.evacuations is None
            or self.evacuations.known
        ):
            await self._pull_plan(address)
        # The peer has a plan, but follows no evacuations: its version or its settings
        # are without them. An entry that follows them knows them before the plan.
        peer_has_none = version > 0 and not evacuation_revision
        if self.evacuations is not None and peer_has_none and self.register.ready:
            self.evacuations.assume_none(address)

    async def _pull_plan(self, address: str) -> None:
        reply = await self._request(address, PLAN_DOCUMENT, self.version)
        if reply is not None and reply.document:
            self.apply_if_newer(reply.document, address)

    async def _pull_evacuations(self, address: str) -> None:
        if self.evacuations is None:
            return
        reply = await self._request(
            address, EVACUATIONS_DOCUMENT, self.evacuations.revision
        )
        if reply is None:
            return
        try:
            domains = decode_domains(reply.document)
        except InvalidInput as error:
            logger.warning("evacuations of {} ignored: {}", address, error)
            return
        self.evacuations.offer(reply.version, domains, address)

    async def _request(self, address: str, document: str, above: int) -> Pulled | None:
        """Ask a peer for a document; return None if that fails."""
        try:
            return await self.peers.request(
                address, Pull(document, above), PULL_TIMEOUT_S
            )
        except MarigoldkeelError as error:
            logger.info("could not fetch the {} from a peer: {}", document, error)
            return None

    def _set_store_reachable(
        self, is_reachable: bool, error: Exception | str = ""
    ) -> None:
        if is_reachable != self.store_reachable:
            self.store_reachable = is_reachable
            logger.bind(
                rare=True,
                version=self.version,
                unconfirmed_ms=round(1000 * self.unconfirmed_s),
                loop_late_ms=round(1000 * self.lateness.worst_s),
            ).info("plan {} {}", "followed" if is_reachable else "not followed", error)
