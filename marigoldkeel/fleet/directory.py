"""Discovery of the entries and agents of a fleet.

Each daemon keeps a record in the store under a lease, and entries watch these records.
Daemons also announce themselves directly to the entries they know, so that discovery
works while the store is unavailable.
"""

import hashlib
import math
from collections.abc import Callable

import anyio
import msgspec
from anyio.abc import TaskGroup
from loguru import logger
from msgspec import Struct, field

from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.fleet.messages import Announce, WorkerFacts
from marigoldkeel.fleet.subsets import rendezvous_rank
from marigoldkeel.fleet.work import Resources
from marigoldkeel.guards import repeat_guarded, run_guarded
from marigoldkeel.models import Member
from marigoldkeel.stores import LeasedStore
from marigoldkeel.transports import PeerPool


RECORD_PREFIX = "marigoldkeel/daemons/"
# Lease of a daemon's record, which outlives a killed daemon by at most this long.
LEASE_S = 10.0
RENEWALS_PER_LEASE = 3
STORE_RETRY_DELAY_S = 0.4
MAX_STORE_RETRY_DELAY_S = 2.0
# A daemon without a record in the store is removed this long after its last
# announcement.
EXPIRE_AFTER_S = 10.0
# How long a daemon is kept whose record has been removed. After an outage of the store
# all records may have expired, and the daemons write them again within two seconds.
UNSTORED_GRACE_S = 3.0
ANNOUNCE_INTERVAL_S = 0.5
# Entries that an announcement is sent to at least, if there are as many.
MIN_ANNOUNCED_ENTRIES = 3
# During this time after its start a daemon announces itself in each round to all
# entries, if there are at most so many. After a common start without the store each
# entry has to learn of each agent, and the daemons start within half a second.
START_S = 1.2
MAX_START_ENTRIES = 16
# Each entry is announced to within this time, half of the time after which it would
# remove a daemon that is silent.
ANNOUNCE_CYCLE_S = EXPIRE_AFTER_S / 2
# Interval between lists of agents to one entry whose digest differs.
LIST_INTERVAL_S = 2.0
# Announcements discover daemons faster than this, so the store is polled rarely.
WATCH_IDLE_TIMEOUT_S = 5.0
# Bounds the size of an announcement that lists the known agents.
MAX_ANNOUNCED_AGENTS = 200


class WorkerRecord(msgspec.Struct):
    """The description of an agent's worker as it is written to the store."""

    service: str
    labels: list[str]
    cpu_milli: int
    memory_mb: int
    accelerators: int

    @classmethod
    def from_facts(cls, facts: WorkerFacts) -> "WorkerRecord":
        """Return the part of a worker's facts that rarely changes."""
        capacity = facts.capacity
        return cls(
            facts.service,
            facts.labels,
            capacity.cpu_milli,
            capacity.memory_mb,
            capacity.accelerators,
        )

    def to_facts(self) -> WorkerFacts:
        """Convert the description to `WorkerFacts` of an unknown boot."""
        capacity = Resources(self.cpu_milli, self.memory_mb, self.accelerators)
        return WorkerFacts(service=self.service, labels=self.labels, capacity=capacity)


class DaemonRecord(msgspec.Struct):
    """A daemon's record as it is written to the store.

    :ivar worker: The worker of an agent that has received its report.
    """

    name: str
    incarnation: str
    address: str
    domain: str
    is_agent: bool
    worker: WorkerRecord | None = None

    def to_member(self) -> Member:
        """Convert the record to a `Member`."""
        return Member(self.name, self.incarnation, self.address, self.domain)


class KnownDaemon(Struct):
    """A daemon in the directory.

    :ivar stored: Whether the store holds a record of the daemon.
    :ivar plan_version: The version of the plan that the daemon last announced.
    """

    member: Member
    is_agent: bool
    stored: bool = False
    refreshed_at: float = float("-inf")
    plan_version: int = 0


class Directory:
    """The daemons known to this process. Performs no I/O; callers pass in the time.

    :param on_agent_added: Called with each agent that is new or whose incarnation,
        address or domain has changed.
    :param on_agent_removed: Called with the name of each agent that is removed.
    :param on_worker_described: Called with an agent's name and the description of its
        worker, each time that its record is read.
    """

    def __init__(
        self,
        own_member: Member,
        on_agent_added: Callable[[Member], None] = lambda member: None,
        on_agent_removed: Callable[[str], None] = lambda name: None,
        on_worker_described: Callable[[str, WorkerFacts], None] = (
            lambda name, facts: None
        ),
        on_entry_added: Callable[[Member], None] = lambda member: None,
    ):
        self.own_member = own_member
        self.on_entry_added = on_entry_added
        self.on_agent_added = on_agent_added
        self.on_agent_removed = on_agent_removed
        self.on_worker_described = on_worker_described
        self.daemons: dict[str, KnownDaemon] = {}
        self.cached_digest: int | None = None

    def upsert(self, member: Member, is_agent: bool, now: float) -> KnownDaemon | None:
        """Add or refresh a daemon.

        :return: The daemon; None if it is this process or has no address.
        """
        if member.name == self.own_member.name or not member.address:
            return None
        daemon = self.daemons.get(member.name)
        if daemon is None or daemon.member != member:
            daemon = KnownDaemon(member, is_agent)
            self.daemons[member.name] = daemon
            self.cached_digest = None
            if is_agent:
                self.on_agent_added(member)
            else:
                self.on_entry_added(member)
        daemon.refreshed_at = now
        return daemon

    def upsert_reported(
        self, member: Member, now: float, is_alive: Callable[[str], bool]
    ) -> None:
        """Add or refresh an agent that another entry knows.

        The other entry may be behind, so it does not replace another incarnation that
        is stored or connected.
        """
        daemon = self.daemons.get(member.name)
        is_confirmed = daemon is not None and (daemon.stored or is_alive(member.name))
        if not is_confirmed or daemon.member == member:
            self.upsert(member, True, now)

    def upsert_stored(self, record: DaemonRecord, now: float) -> None:
        """Add or refresh a daemon from its record in the store."""
        daemon = self.upsert(record.to_member(), record.is_agent, now)
        if daemon is not None:
            daemon.stored = True
            if record.worker is not None:
                self.on_worker_described(record.name, record.worker.to_facts())

    def replace_stored(self, records: list[DaemonRecord], now: float) -> None:
        """Apply a full listing of the store; other daemons are marked as not stored."""
        names = {record.name for record in records}
        for name in self.daemons.keys() - names:
            self.mark_not_stored(name, now)
        for record in records:
            self.upsert_stored(record, now)

    def mark_not_stored(self, name: str, now: float) -> None:
        """Mark a daemon as not stored; it is removed later unless it is back."""
        daemon = self.daemons.get(name)
        if daemon is not None and daemon.stored:
            daemon.stored = False
            kept_until = now + UNSTORED_GRACE_S
            daemon.refreshed_at = max(daemon.refreshed_at, kept_until - EXPIRE_AFTER_S)

    def expire(self, now: float, is_alive: Callable[[str], bool]) -> None:
        """Remove daemons that are not stored, not connected and no longer announced."""
        for name, daemon in list(self.daemons.items()):
            is_expired = now - daemon.refreshed_at > EXPIRE_AFTER_S
            if is_expired and not daemon.stored and not is_alive(name):
                del self.daemons[name]
                self.cached_digest = None
                if daemon.is_agent:
                    self.on_agent_removed(name)

    def live_agents(self, is_alive: Callable[[str], bool]) -> list[Member]:
        """Return the agents that are stored or connected.

        Others are only remembered. Passing them on would keep an agent that has left in
        the directories of all entries.
        """
        return [
            item.member
            for name, item in self.daemons.items()
            if item.is_agent and (item.stored or is_alive(name))
        ]

    def entries(self) -> list[KnownDaemon]:
        """Return the other entries."""
        return [item for item in self.daemons.values() if not item.is_agent]

    def digest(self) -> int:
        """Return a hash of the names and addresses of all known agents."""
        if self.cached_digest is None:
            names = sorted(
                f"{item.member.name} {item.member.address}"
                for item in self.daemons.values()
                if item.is_agent
            )
            digest = hashlib.blake2b("\n".join(names).encode(), digest_size=7).digest()
            self.cached_digest = int.from_bytes(digest, "big")
        return self.cached_digest


class AnnouncementRounds(Struct):
    """Chooses the entries that this daemon announces itself to in each round.

    Designed for dozens of entries, of which each would otherwise handle an announcement
    of each other one in every round. The entries take turns, in an order that differs
    between daemons, so that those that start together do not all begin with the same.

    :ivar own_name: The name of this daemon.
    :ivar waiting: The addresses whose turn comes before that of all others.
    :ivar announced_version: The version of the plan in the last round.
    :ivar announced_changes: The number of changes of the evacuations in that round.
    """

    own_name: str = ""
    waiting: list[str] = field(default_factory=list)
    announced_version: int = 0
    announced_changes: int = 0

    def next_round(
        self,
        addresses: set[str],
        plan_version: int,
        evacuation_changes: int = 0,
        is_starting: bool = False,
    ) -> list[str]:
        """Return the addresses of the next round.

        A newer plan and a change of the evacuations are announced to all entries at
        once.

        :param is_starting: Whether this daemon has just started.
        """
        has_news = (
            plan_version > self.announced_version
            or evacuation_changes > self.announced_changes
        )
        self.announced_version = plan_version
        self.announced_changes = evacuation_changes
        if has_news or (is_starting and len(addresses) <= MAX_START_ENTRIES):
            return sorted(addresses)
        rounds = ANNOUNCE_CYCLE_S / ANNOUNCE_INTERVAL_S
        count = max(MIN_ANNOUNCED_ENTRIES, math.ceil(len(addresses) / rounds))
        waiting = [address for address in self.waiting if address in addresses]
        waiting += sorted(
            addresses - set(waiting),
            key=lambda address: rendezvous_rank(self.own_name, address),
        )
        self.waiting = waiting[count:]
        return waiting[:count]


def record_key(name: str) -> str:
    """Return the store key of a daemon's record."""
    return RECORD_PREFIX + name


class DirectoryController:
    """Maintains this daemon's record in the store and its directory of other daemons.

    :param seeds: Addresses of entries from the settings.
    :param plan_version: Returns the version of the plan that is in force here.
    :param is_alive: Returns whether the daemon of a name is connected.
    :param is_discovered: Returns whether other daemons have discovered this one.
    :param describe_worker: Returns what is known of this daemon's worker.
    :param evacuation_revision: Returns the revision of the evacuations known here.
    :param evacuation_changes: Returns how often they have changed.
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
        describe_worker: Callable[[], WorkerFacts | None] = lambda: None,
        evacuation_revision: Callable[[], int] = lambda: 0,
        evacuation_changes: Callable[[], int] = lambda: 0,
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
        self.describe_worker = describe_worker
        self.evacuation_revision = evacuation_revision
        self.evacuation_changes = evacuation_changes
        self.written_worker: WorkerRecord | None = None
        self.started_at = clock()
        self.rounds = AnnouncementRounds(directory.own_member.name)
        self.listed_at: dict[str, float] = {}
        self.listed_agents = 0
        self.leaving = False
        self.store_reachable: bool | None = None

    async def run_forever(self) -> None:
        """Run the registration, announcement and watch loops."""
        async with anyio.create_task_group() as group:
            group.start_soon(repeat_guarded, "register", self._register_until_leaving)
            group.start_soon(repeat_guarded, "announce", self._announce_forever)
            if not self.is_agent:
                group.start_soon(repeat_guarded, "watch directory", self._watch_forever)

    def receive(self, message: Announce) -> None:
        """Handle another daemon's announcement.

        An entry that knows a different set of agents is sent the agents known here.
        """
        now = self.clock()
        daemon = self.directory.upsert(message.member, message.is_agent, now)
        if daemon is not None:
            daemon.plan_version = message.plan_version
        for member in message.known:
            self.directory.upsert_reported(member, now, self.is_alive)
        differs = message.digest != self.directory.digest()
        if not message.is_agent and differs and not message.known:
            address = message.member.address
            if now - self.listed_at.get(address, float("-inf")) >= LIST_INTERVAL_S:
                self.listed_at[address] = now
                self._start_announcement(address, include_agents=True)

    async def _register_until_leaving(self) -> None:
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

    def _worker_record(self) -> WorkerRecord | None:
        facts = self.describe_worker()
        return None if facts is None else WorkerRecord.from_facts(facts)

    async def _write_record(self, lease: int) -> None:
        own_member = self.directory.own_member
        worker = self._worker_record()
        record = DaemonRecord(
            own_member.name,
            own_member.incarnation,
            own_member.address,
            own_member.domain,
            self.is_agent,
            worker,
        )
        await self.store.put_with_lease(
            record_key(own_member.name), msgspec.json.encode(record), lease
        )
        self.written_worker = worker

    async def _renew(self, lease: int) -> None:
        """Renew a lease until it has expired or other daemons cannot discover this one.

        The caller then registers again.
        """
        undiscovered_checks = 0
        while True:
            await anyio.sleep(LEASE_S / RENEWALS_PER_LEASE)
            if not await self.store.renew_lease(lease):
                logger.info("lease of the directory record expired; registering again")
                return
            # An agent registers before it knows its worker.
            if self._worker_record() not in (None, self.written_worker):
                await self._write_record(lease)
            # A store may lose records without reporting an error.
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
                logger.info("directory watch failed: {}", error)
                await anyio.sleep(retry_delay_s)
                retry_delay_s = min(MAX_STORE_RETRY_DELAY_S, 1.5 * retry_delay_s)

    async def _watch(self, revision: int) -> None:
        async for change in self.store.watch_changes(
            RECORD_PREFIX, revision, WATCH_IDLE_TIMEOUT_S
        ):
            if change.data is None:
                name = change.key.removeprefix(RECORD_PREFIX)
                self.directory.mark_not_stored(name, self.clock())
                continue
            record = decode_record(change.data)
            if record is not None:
                self.directory.upsert_stored(record, self.clock())

    async def _announce_forever(self) -> None:
        while True:
            if not self.leaving:
                addresses = self.rounds.next_round(
                    self.announce_addresses(),
                    self.plan_version(),
                    self.evacuation_changes(),
                    self._is_starting(),
                )
                for address in addresses:
                    self._start_announcement(address, include_agents=False)
            self.directory.expire(self.clock(), self.is_alive)
            await anyio.sleep(ANNOUNCE_INTERVAL_S)

    def _is_starting(self) -> bool:
        return self.clock() - self.started_at < START_S

    def announce_addresses(self) -> set[str]:
        """Return the addresses to which this daemon announces itself in turn.

        An agent with connected entries does not announce itself, unless it has just
        started: the other entries may know of it only by the lists of those.
        """
        if self.is_agent:
            is_known = self.is_discovered() and not self._is_starting()
            addresses = set() if is_known else set(self.seeds)
        else:
            addresses = {item.member.address for item in self.directory.entries()}
            addresses |= set(self.seeds)
        return addresses - {self.directory.own_member.address}

    def _start_announcement(self, address: str, include_agents: bool) -> None:
        self.group.start_soon(
            run_guarded, "announce", self._announce, address, include_agents
        )

    async def _announce(self, address: str, include_agents: bool) -> None:
        known = self._next_agents() if include_agents else []
        message = Announce(
            self.directory.own_member,
            self.is_agent,
            self.leaving,
            self.plan_version(),
            self.directory.digest(),
            known,
            self.evacuation_revision(),
        )
        try:
            await self.peers.send(address, message)
        except MarigoldkeelError as error:
            logger.debug("announcement failed: {}", error)

    def _next_agents(self) -> list[Member]:
        """Return the next part of the live agents, or all of them if they are few."""
        agents = self.directory.live_agents(self.is_alive)
        if len(agents) <= MAX_ANNOUNCED_AGENTS:
            return agents
        start = self.listed_agents % len(agents)
        self.listed_agents = start + MAX_ANNOUNCED_AGENTS
        return (agents + agents)[start : start + MAX_ANNOUNCED_AGENTS]

    def _set_store_reachable(
        self, is_reachable: bool, error: Exception | str = ""
    ) -> None:
        if is_reachable != self.store_reachable:
            self.store_reachable = is_reachable
            logger.info(
                "store {} {}", "reached" if is_reachable else "not reached", error
            )


def decode_record(data: bytes) -> DaemonRecord | None:
    """Decode a stored record; return None if it is malformed."""
    try:
        return msgspec.json.decode(data, type=DaemonRecord)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        logger.warning("malformed directory record: {}", error)
        return None
