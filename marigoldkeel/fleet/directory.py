"""Which entries and agents there are.

Each daemon has a record in the store under a lease. Entries watch the records, and
daemons announce themselves to the entries they know of as well, so that they find
each other while the store is away.
"""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import msgspec
from anyio.abc import TaskGroup
from loguru import logger

from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.fleet.messages import Announce
from marigoldkeel.models import Member
from marigoldkeel.stores import LeasedStore
from marigoldkeel.transports import PeerPool


RECORD_PREFIX = "marigoldkeel/daemons/"
# A record outlives the death of its daemon by this long at most.
LEASE_S = 10.0
RENEWALS_PER_LEASE = 3
STORE_RETRY_DELAY_S = 0.4
MAX_STORE_RETRY_DELAY_S = 2.0
# A daemon that is known only by its announcements is forgotten after this silence.
EXPIRE_AFTER_S = 10.0
ANNOUNCE_INTERVAL_S = 0.5
# Longer than a daemon needs to be found by its announcements, so the store is asked
# seldom.
WATCH_IDLE_S = 5.0
# Bounds an announcement that brings another entry up to date.
MAX_ANNOUNCED_AGENTS = 200


class DaemonRecord(msgspec.Struct):
    """The stored form of a directory entry."""

    name: str
    incarnation: str
    address: str
    domain: str
    is_agent: bool

    def to_member(self) -> Member:
        """Return the daemon that the record describes."""
        return Member(self.name, self.incarnation, self.address, self.domain)


@dataclass(slots=True)
class KnownDaemon:
    """A daemon in the directory; ``stored`` means that the store has its record."""

    member: Member
    is_agent: bool
    stored: bool = False
    last_heard_at: float = float("-inf")
    plan_version: int = 0


class Directory:
    """The daemons known here. Pure; times are given by the caller.

    :param on_agent: Called with each agent that is new or has moved.
    :param on_gone: Called with the name of each agent that is forgotten.
    """

    def __init__(
        self,
        own: Member,
        on_agent_added: Callable[[Member], None] = lambda member: None,
        on_agent_removed: Callable[[str], None] = lambda name: None,
    ):
        self.own = own
        self.on_agent_added = on_agent_added
        self.on_agent_removed = on_agent_removed
        self.daemons: dict[str, KnownDaemon] = {}

    def upsert(self, member: Member, is_agent: bool, now: float) -> KnownDaemon | None:
        """Note that a daemon exists; None if it is this one."""
        if member.name == self.own.name or not member.address:
            return None
        daemon = self.daemons.get(member.name)
        if daemon is None or daemon.member != member:
            daemon = KnownDaemon(member, is_agent)
            self.daemons[member.name] = daemon
            if is_agent:
                self.on_agent_added(member)
        daemon.last_heard_at = now
        return daemon

    def put_stored(self, record: DaemonRecord, now: float) -> None:
        """Take a record from the store."""
        daemon = self.upsert(record.to_member(), record.is_agent, now)
        if daemon is not None:
            daemon.stored = True

    def replace_stored(self, records: list[DaemonRecord], now: float) -> None:
        """Take all records of the store; others are no longer stored."""
        names = {record.name for record in records}
        for daemon in self.daemons.values():
            daemon.stored = daemon.stored and daemon.member.name in names
        for record in records:
            self.put_stored(record, now)

    def remove_stored(self, name: str) -> None:
        """Note that the store has no record of a daemon any more."""
        daemon = self.daemons.get(name)
        if daemon is not None:
            daemon.stored = False

    def expire(self, now: float, is_alive: Callable[[str], bool]) -> None:
        """Forget daemons that are not stored, not heard and not connected."""
        for name, daemon in list(self.daemons.items()):
            is_silent = now - daemon.last_heard_at > EXPIRE_AFTER_S
            if is_silent and not daemon.stored and not is_alive(name):
                del self.daemons[name]
                if daemon.is_agent:
                    self.on_agent_removed(name)

    def agents(self) -> list[Member]:
        """Return the agents."""
        return [item.member for item in self.daemons.values() if item.is_agent]

    def entries(self) -> list[KnownDaemon]:
        """Return the other entries."""
        return [item for item in self.daemons.values() if not item.is_agent]

    def digest(self) -> int:
        """Return a number that differs between different sets of agents."""
        names = sorted(
            f"{item.member.name} {item.member.address}"
            for item in self.daemons.values()
            if item.is_agent
        )
        digest = hashlib.blake2b("\n".join(names).encode(), digest_size=7).digest()
        return int.from_bytes(digest, "big")


def record_key(name: str) -> str:
    """Return the store key of a daemon's record."""
    return RECORD_PREFIX + name


class DirectoryController:
    """Keeps a daemon's record in the store and its directory up to date.

    :param plan_version: Returns the version of the plan in force here.
    :param seeds: Addresses of entries from the settings.
    :param is_found: Whether this daemon is known to be found by others.
    """

    def __init__(
        self,
        directory: Directory,
        store: LeasedStore,
        peers: PeerPool,
        group: TaskGroup,
        seeds: list[str],
        is_agent: bool,
        clock: Callable[[], float],
        plan_version: Callable[[], int] = lambda: 0,
        is_alive: Callable[[str], bool] = lambda name: False,
        is_discovered: Callable[[], bool] = lambda: True,
    ):
        self.directory = directory
        self.store = store
        self.peers = peers
        self.group = group
        self.seeds = seeds
        self.is_agent = is_agent
        self.clock = clock
        self.plan_version = plan_version
        self.is_alive = is_alive
        self.is_discovered = is_discovered
        self.leaving = False
        self.store_reachable: bool | None = None

    async def run_forever(self) -> None:
        """Run all loops."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._register_forever)
            group.start_soon(self._announce_forever)
            if not self.is_agent:
                group.start_soon(self._watch_forever)

    def receive(self, message: Announce) -> None:
        """Take another daemon's announcement."""
        now = self.clock()
        daemon = self.directory.upsert(message.member, message.is_agent, now)
        if daemon is not None:
            daemon.plan_version = message.plan_version
        for member in message.known:
            self.directory.upsert(member, True, now)
        differs = message.digest != self.directory.digest()
        if not message.is_agent and differs and not message.known:
            self.group.start_soon(self._announce, message.member.address, True)

    async def _register_forever(self) -> None:
        retry_delay_s = STORE_RETRY_DELAY_S
        while not self.leaving:
            try:
                lease = await self.store.grant_lease(LEASE_S)
                await self._write_record(lease)
                self._set_store_reachable(True)
                retry_delay_s = STORE_RETRY_DELAY_S
                await self._renew(lease)
            except MarigoldkeelError as error:
                self._set_store_reachable(False, error)
                await anyio.sleep(retry_delay_s)
                retry_delay_s = min(MAX_STORE_RETRY_DELAY_S, 1.5 * retry_delay_s)

    async def _write_record(self, lease: int) -> None:
        own = self.directory.own
        record = DaemonRecord(
            own.name, own.incarnation, own.address, own.domain, self.is_agent
        )
        await self.store.put_leased(
            record_key(own.name), msgspec.json.encode(record), lease
        )

    async def _renew(self, lease: int) -> None:
        """Renew a lease until it has ended or others do not find this daemon."""
        undiscovered_checks = 0
        while True:
            await anyio.sleep(LEASE_S / RENEWALS_PER_LEASE)
            if not await self.store.renew_lease(lease):
                logger.info("the record's lease has ended; registering again")
                return
            # A store may drop records without a word.
            undiscovered_checks = 0 if self.is_discovered() else undiscovered_checks + 1
            if undiscovered_checks > 1:
                return

    async def _watch_forever(self) -> None:
        retry_delay_s = STORE_RETRY_DELAY_S
        while True:
            try:
                snapshot = await self.store.get_prefix(RECORD_PREFIX)
                records = [decode_record(value.data) for value in snapshot.values]
                self.directory.replace_stored(
                    [record for record in records if record is not None], self.clock()
                )
                retry_delay_s = STORE_RETRY_DELAY_S
                await self._watch(snapshot.revision)
            except MarigoldkeelError as error:
                logger.info("directory not followed: {}", error)
                await anyio.sleep(retry_delay_s)
                retry_delay_s = min(MAX_STORE_RETRY_DELAY_S, 1.5 * retry_delay_s)

    async def _watch(self, revision: int) -> None:
        async for change in self.store.watch_changes(
            RECORD_PREFIX, revision, WATCH_IDLE_S
        ):
            if change.data is None:
                self.directory.remove_stored(change.key.removeprefix(RECORD_PREFIX))
                continue
            record = decode_record(change.data)
            if record is not None:
                self.directory.put_stored(record, self.clock())

    async def _announce_forever(self) -> None:
        while True:
            if not self.leaving:
                for address in self._announce_addresses():
                    self.group.start_soon(self._announce, address, False)
            self.directory.expire(self.clock(), self.is_alive)
            await anyio.sleep(ANNOUNCE_INTERVAL_S)

    def _announce_addresses(self) -> set[str]:
        """Return the addresses to announce this daemon to.

        An agent that entries are connected to has nothing to announce.
        """
        if self.is_agent:
            addresses = set() if self.is_discovered() else set(self.seeds)
        else:
            addresses = {item.member.address for item in self.directory.entries()}
            addresses |= set(self.seeds)
        return addresses - {self.directory.own.address}

    async def _announce(self, address: str, include_agents: bool) -> None:
        known = self.directory.agents()[:MAX_ANNOUNCED_AGENTS] if include_agents else []
        message = Announce(
            self.directory.own,
            self.is_agent,
            self.leaving,
            self.plan_version(),
            self.directory.digest(),
            known,
        )
        try:
            await self.peers.send(address, message)
        except MarigoldkeelError as error:
            logger.debug("not announced: {}", error)

    def _set_store_reachable(
        self, is_reachable: bool, error: Exception | str = ""
    ) -> None:
        if is_reachable != self.store_reachable:
            self.store_reachable = is_reachable
            logger.info(
                "store {} {}", "reached" if is_reachable else "not reached", error
            )


def decode_record(data: bytes) -> DaemonRecord | None:
    """Return a stored record, or None if it cannot be read."""
    try:
        return msgspec.json.decode(data, type=DaemonRecord)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        logger.warning("directory record not readable: {}", error)
        return None
