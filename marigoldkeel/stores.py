"""Clients of the key-value store that holds all durable state.

A read may be retried after `StoreUnavailable`. A write that raised it may have taken
effect, so the clients never retry a write.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import AsyncIterator, Callable

from msgspec import Struct

from marigoldkeel.exceptions import InvalidInput


CALL_TIMEOUT_S = 2.0
# Default of etcd's --max-txn-ops.
MAX_WRITES = 128


class StoredValue(Struct, frozen=True):
    """A value and the store revision of its last change (``mod_revision`` in etcd)."""

    key: str
    data: bytes
    revision: int


class Snapshot(Struct):
    """The values under a prefix, ordered by key, as of one store revision."""

    values: list[StoredValue]
    revision: int


class Write(Struct):
    """A conditional write of one key.

    :ivar expected_revision: Revision that the key must have; 0 if it must not exist.
    """

    key: str
    data: bytes
    expected_revision: int


class KeyValueStore(ABC):
    """A client of the key-value store.

    Usage::

        async with open_store("etcd", "http://127.0.0.1:2379") as store:
            snapshot = await store.get_prefix("/marigoldkeel/partitions/")

    :ivar counts: Number of calls by type: ``range``, ``txn`` and ``watch``.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    @abstractmethod
    async def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``, or None if the key does not exist.

        :raises StoreUnavailable: If there was no valid response.
        """

    @abstractmethod
    async def get_prefix(self, prefix: str) -> Snapshot:
        """Return all values whose key starts with ``prefix``, as of one revision.

        :raises StoreUnavailable: If there was no valid response.
        """

    @abstractmethod
    async def compare_and_swap(self, writes: list[Write]) -> int | None:
        """Apply all writes in one transaction, or none of them.

        :return: The new store revision, or None if an expected revision did not match.
        :raises StoreUnavailable: If the outcome is unknown; read before retrying.
        :raises InvalidInput: If the list is empty, too long or repeats a key.
        """

    @abstractmethod
    def watch_prefix(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[StoredValue]:
        """Yield each change under ``prefix`` made after ``after_revision``.

        Once the iterator ends or raises, read the prefix again. The changes of a
        transaction share a revision but are yielded one by one, so it is not safe to
        resume from the last revision seen. Use ``contextlib.aclosing`` to release the
        connection when the iteration may end early.

        :raises StoreUnavailable: If the stream broke, the revision was compacted or a
            key was deleted.
        """

    async def aclose(self) -> None:  # noqa: B027
        """Close all connections."""

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exception_info) -> None:
        await self.aclose()


class Change(Struct, frozen=True):
    """A write to a key, or its removal if ``data`` is None."""

    key: str
    data: bytes | None
    revision: int


class LeasedStore(KeyValueStore):
    """A client of a key-value store whose keys can be bound to a lease.

    Usage::

        lease = await store.grant_lease(10)
        await store.put_with_lease("daemons/agent-1", record, lease)

    :ivar confirmed_at: By prefix, when the last read or watch was sent that has been
        answered, on the client's clock. What it returned was current at that time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.confirmed_at: dict[str, float] = {}

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease that expires ``ttl_s`` seconds after its last renewal.

        :raises StoreUnavailable: If there was no valid response.
        """

    @abstractmethod
    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease and return whether it still existed.

        :raises StoreUnavailable: If there was no valid response.
        """

    @abstractmethod
    async def put_with_lease(self, key: str, data: bytes, lease: int) -> None:
        """Write a key that is removed when its lease expires.

        :raises StoreUnavailable: If the outcome is unknown or the lease has expired.
        """

    @abstractmethod
    def watch_changes(
        self, prefix: str, after_revision: int, idle_timeout_s: float
    ) -> AsyncIterator[Change]:
        """Yield each write and removal under ``prefix`` after ``after_revision``.

        Unlike `watch_prefix`, it does not raise when a key is removed.

        :param idle_timeout_s: Seconds without events after which the watch is reopened.
        :raises StoreUnavailable: If the watch broke or the revision was compacted;
            read the prefix again.
        """


STORES: dict[str, type[KeyValueStore]] = {}


def register_store(kind: str) -> Callable[[type[KeyValueStore]], type[KeyValueStore]]:
    """Register a store class whose constructor takes ``(url, timeout_s)``."""

    def register(store_class: type[KeyValueStore]) -> type[KeyValueStore]:
        STORES[kind] = store_class
        return store_class

    return register


def open_store(
    kind: str, url: str = "", timeout_s: float = CALL_TIMEOUT_S
) -> KeyValueStore:
    """Return a client for the given kind of store.

    :param url: For example ``"http://127.0.0.1:2379"``; ignored by ``memory``.
    :param timeout_s: Timeout of each call in seconds.
    :raises InvalidInput: If the kind is unknown or the URL is not accepted.
    """
    # Registers the stores. Imported here because these modules import this one, and
    # because a daemon with another store needs no etcd client.
    import marigoldkeel.etcd
    import marigoldkeel.memory  # noqa: F401

    if kind not in STORES:
        known = ", ".join(sorted(STORES))
        raise InvalidInput(
            f"unknown store kind {kind!r}; expected one of {known}", step="open store"
        )
    return STORES[kind](url, timeout_s)


def encode_key(key: str, step: str) -> bytes:
    """Return the key as UTF-8; empty keys are invalid in the store."""
    if not key:
        raise InvalidInput("key or prefix is empty", step=step)
    return key.encode()


def prefix_end(prefix: bytes) -> bytes:
    """Return the exclusive upper bound of the keys that start with ``prefix``."""
    # UTF-8 contains no 0xFF byte, so the last byte can always be incremented.
    return prefix[:-1] + bytes([prefix[-1] + 1])


def validate_writes(writes: list[Write]) -> None:
    """Check that the store would accept a transaction.

    :raises InvalidInput: If the list is empty, too long or repeats a key.
    """
    keys = {encode_key(write.key, "store txn") for write in writes}
    if not 0 < len(writes) <= MAX_WRITES or len(keys) < len(writes):
        raise InvalidInput(
            f"a transaction must have 1 to {MAX_WRITES} writes to distinct keys; "
            f"got {len(writes)} writes to {len(keys)} keys",
            step="store txn",
        )
