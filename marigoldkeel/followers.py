"""Keeps the partition table and the configuration of a daemon up to date.

A few daemons watch the store. All others pull from a peer whose heartbeat shows a
higher version. There is one `Follower` for each of the two documents.
"""

from collections.abc import Callable
from contextlib import aclosing

import anyio
import msgspec
from loguru import logger

from marigoldkeel.audit import CONFIGURATION_KEY, VersionedConfiguration
from marigoldkeel.blackboard import Blackboard
from marigoldkeel.exceptions import MarigoldkeelError, ProtocolError, StoreUnavailable
from marigoldkeel.heartbeats import PeerState
from marigoldkeel.messages import Pull, Pulled
from marigoldkeel.models import PartitionRecord
from marigoldkeel.partitions import (
    PARTITION_COUNT_KEY,
    PARTITION_PREFIX,
    decode_record,
    partition_key,
    rendezvous_score,
)
from marigoldkeel.stores import KeyValueStore, StoredValue
from marigoldkeel.transports import PeerPool


PULL_TIMEOUT_S = 2.0
STORE_RETRY_DELAY_S = 0.5
WATCHER_COUNT = 3
MAX_STORE_RETRY_DELAY_S = 8.0
WATCHER_CHECK_INTERVAL_S = 5.0
INITIAL_STORE_DELAY_S = 0.5


class TableDocument(msgspec.Struct):
    """The partition table as sent between peers; ``count`` is 0 if it is unknown."""

    count: int
    records: list[PartitionRecord]


class Follower:
    """Follows one document, from the store or from peers.

    :cvar document_name: The name of the document in `Pull`.
    :cvar prefix: The key prefix of the document in the store.
    """

    document_name = ""
    prefix = ""

    def __init__(self, board: Blackboard, store: KeyValueStore, peers: PeerPool):
        self.board = board
        self.store = store
        self.peers = peers
        self.pulling = False

    @property
    def version(self) -> int:
        """The version up to which this daemon has all changes."""
        raise NotImplementedError

    def version_of(self, state: PeerState) -> int:
        """Return the version that a peer reported in its heartbeat."""
        raise NotImplementedError

    def load(self, values: list[StoredValue], above: int, version: int) -> None:
        """Apply values read from the store."""
        raise NotImplementedError

    def answer(self, above: int) -> Pulled:
        """Return the changes above a version, to be sent to a peer."""
        raise NotImplementedError

    def accept(self, pulled: Pulled) -> None:
        """Apply changes received from a peer."""
        raise NotImplementedError

    async def run_forever(self, should_watch: Callable[[], bool]) -> None:
        """Read the document once, then watch it as long as ``should_watch()`` is true.

        A daemon that has been brought up to date by a peer does not read the store,
        because the simultaneous start of a large fleet would use up its read capacity.
        """
        await anyio.sleep(INITIAL_STORE_DELAY_S)
        has_read = self.version > 0
        delay_s = STORE_RETRY_DELAY_S
        while True:
            try:
                if not has_read or should_watch():
                    revision = await self._read()
                    has_read = True
                    if should_watch():
                        await self._watch(revision)
            except MarigoldkeelError as error:
                logger.info("{} not read from the store: {}", self.document_name, error)
                # Backs off, because all daemons retry when the store recovers.
                delay_s = min(MAX_STORE_RETRY_DELAY_S, 2 * delay_s)
            else:
                delay_s = STORE_RETRY_DELAY_S
            has_read = has_read or self.version > 0
            jitter = self.board.random.uniform(0.5, 1.0)
            await anyio.sleep(
                WATCHER_CHECK_INTERVAL_S if has_read else delay_s * jitter
            )

    async def _read(self) -> int:
        snapshot = await self.store.get_prefix(self.prefix)
        self.load(snapshot.values, 0, snapshot.revision)
        return snapshot.revision

    async def _watch(self, revision: int) -> None:
        async with aclosing(self.store.watch_prefix(self.prefix, revision)) as changes:
            async for value in changes:
                self.load([value], self.version, value.revision)

    async def pull_if_behind(self, state: PeerState) -> None:
        """Pull the document from a peer if its version is higher."""
        if self.pulling or self.version_of(state) <= self.version:
            return
        self.pulling = True
        try:
            reply = await self.peers.request(
                state.member.address,
                Pull(self.document_name, self.version),
                PULL_TIMEOUT_S,
            )
            self.accept(reply)
        except MarigoldkeelError as error:
            logger.info("{} not pulled from a peer: {}", self.document_name, error)
        finally:
            self.pulling = False


class TableFollower(Follower):
    """Follows the partition table and passes each new record to ``on_record``."""

    document_name = "table"
    prefix = PARTITION_PREFIX

    def __init__(
        self,
        board: Blackboard,
        store: KeyValueStore,
        peers: PeerPool,
        on_record: Callable[[PartitionRecord], None],
    ):
        super().__init__(board, store, peers)
        self.on_record = on_record

    @property
    def version(self) -> int:
        return self.board.partitions.version

    def version_of(self, state: PeerState) -> int:
        return state.table_version

    def load(self, values: list[StoredValue], above: int, version: int) -> None:
        records = []
        for value in values:
            if value.key == PARTITION_COUNT_KEY:
                self.board.partitions.set_partition_count(int(value.data))
            else:
                records += self._decode(value)
        self._apply(records, above, version)

    def _decode(self, value: StoredValue) -> list[PartitionRecord]:
        """Return the record, or nothing if it is not one that a member has written."""
        try:
            record = decode_record(value.data, value.revision)
        except ProtocolError as error:
            logger.error("{} ignored: {}", value.key, error)
            return []
        if value.key != partition_key(record.partition):
            logger.error("{} ignored: it is of {}", value.key, record.partition)
            return []
        return [record]

    def _apply(self, records: list[PartitionRecord], above: int, version: int) -> None:
        for record in self.board.partitions.apply_changes(records, above, version):
            self.on_record(record)

    def answer(self, above: int) -> Pulled:
        table = self.board.partitions
        # A count that is not confirmed is a local setting, not the stored value.
        count = table.partition_count if table.count_confirmed else 0
        document = TableDocument(count, table.changes_above(above))
        return Pulled(above, table.version, msgspec.json.encode(document))

    def accept(self, pulled: Pulled) -> None:
        document = msgspec.json.decode(pulled.document, type=TableDocument)
        if document.count:
            self.board.partitions.set_partition_count(document.count)
        self._apply(document.records, pulled.above, pulled.version)


class ConfigurationFollower(Follower):
    """Follows the operators' configuration."""

    document_name = "config"
    prefix = CONFIGURATION_KEY

    @property
    def version(self) -> int:
        return self.board.configuration.revision

    def version_of(self, state: PeerState) -> int:
        return state.config_revision

    def load(self, values: list[StoredValue], above: int, version: int) -> None:
        for value in values:
            if value.key == CONFIGURATION_KEY:
                self._offer(value.data)

    def _offer(self, data: bytes) -> None:
        versioned = VersionedConfiguration.from_json(data)
        if self.board.configuration.offer(versioned.revision, versioned.configuration):
            logger.info("configuration revision {} in force", versioned.revision)

    def answer(self, above: int) -> Pulled:
        register = self.board.configuration
        if not register.ready:
            return Pulled(above, 0)
        versioned = VersionedConfiguration(register.revision, register.document)
        return Pulled(above, register.revision, versioned.to_json())

    def accept(self, pulled: Pulled) -> None:
        if pulled.version:
            self._offer(pulled.document)


def is_store_watcher(board: Blackboard) -> bool:
    """Whether this agent is one of the few that watch the store.

    The watchers are selected by rendezvous hashing from the members in the partition
    table, which is the same on all agents. While tables differ, the number of watchers
    can be wrong; two watchers more or fewer only cost a watch or delay a change by a
    heartbeat.
    """
    members = {member.name: member for member in board.partitions.members.values()}
    if not members:
        members = {member.name: member for member in board.live_members()}
    members[board.member.name] = board.member
    scores = sorted(rendezvous_score(0, member) for member in members.values())
    return rendezvous_score(0, board.member) in scores[:WATCHER_COUNT]


async def answer_pull(message: Pull, followers: list[Follower]) -> Pulled:
    """Return the changes that a peer is missing.

    :raises StoreUnavailable: If there is no such document.
    """
    for follower in followers:
        if follower.document_name == message.what:
            return follower.answer(message.above)
    raise StoreUnavailable(f"no document {message.what!r}", step="pull")
