"""An in-memory store for tests, for embedding and for the store stand-in."""

from bisect import bisect_left, bisect_right, insort
from collections import Counter
from collections.abc import AsyncIterator

import anyio

from marigoldkeel.exceptions import InvalidInput, StoreUnavailable
from marigoldkeel.stores import (
    CALL_TIMEOUT_S,
    KeyValueStore,
    Snapshot,
    StoredValue,
    Write,
    encode_key,
    prefix_end,
    register_store,
    validate_writes,
)


MAX_HISTORY = 20_000


class MemoryState:
    """A versioned key-value state with fault injection for tests.

    :ivar down: Whether every call fails and every watch ends.
    :ivar delay_s: Delay in seconds before a call is executed.
    :ivar lose_write_answers: Number of transactions to execute without an answer.
    :ivar freeze_watches: Whether changes are withheld from watches.
    """

    peer = ""
    down: bool = False
    delay_s: float = 0.0
    lose_write_answers: int = 0
    freeze_watches: bool = False

    def __init__(self, max_history: int = MAX_HISTORY):
        self.changed = anyio.Event()
        self.counts: dict[str, int] = Counter()
        self.max_history = max_history
        self.revision = 1
        self.compact_revision = 0
        self.keys: list[bytes] = []
        self.versions: dict[bytes, list[StoredValue]] = {}
        self.history: list[StoredValue] = []

    def __setattr__(self, name: str, value: object) -> None:
        super().__setattr__(name, value)
        if name in ("down", "freeze_watches"):
            self.notify_watchers()

    def notify_watchers(self) -> None:
        """Make every watch check the state again."""
        self.changed.set()
        self.changed = anyio.Event()

    async def begin_call(self, kind: str) -> None:
        """Count a call and inject the faults that occur before its execution."""
        self.counts[kind] += 1
        if not self.down and self.delay_s:
            await anyio.sleep(self.delay_s)
        if self.down:
            raise StoreUnavailable("store is down", f"store {kind}", self.peer)

    def read(
        self, start: bytes, end: bytes, limit: int = 0, revision: int = 0
    ) -> tuple[list[StoredValue], bool]:
        """Return up to ``limit`` values of a range (0: all) and whether there are more.

        :raises InvalidInput: If the revision is compacted or in the future.
        """
        if revision and not self.compact_revision <= revision <= self.revision:
            raise InvalidInput(f"revision {revision} is not available", "store range")
        values = []
        for key in self.keys[
            bisect_left(self.keys, start) : bisect_left(self.keys, end)
        ]:
            versions = self.versions[key]
            index = len(versions)
            if revision:
                index = bisect_right(versions, revision, key=lambda v: v.revision)
            if index:
                if limit and len(values) == limit:
                    return values, True
                values.append(versions[index - 1])
        return values, False

    def swap(self, expected: dict[bytes, int], puts: dict[bytes, bytes]) -> int | None:
        """Apply all puts if every key has its expected revision.

        :return: The new revision, or None if a key has another revision.
        :raises StoreUnavailable: After execution, if the answer is to be lost.
        """
        revisions = {
            key: self.versions[key][-1].revision if key in self.versions else 0
            for key in expected
        }
        succeeded = revisions == expected
        if succeeded and puts:
            self.revision += 1
            for key, data in puts.items():
                if key not in self.versions:
                    insort(self.keys, key)
                value = StoredValue(key.decode(), data, self.revision)
                self.versions.setdefault(key, []).append(value)
                self.history.append(value)
            self.compact()
            self.notify_watchers()
        if self.lose_write_answers:
            self.lose_write_answers -= 1
            raise StoreUnavailable("answer was lost", "store txn", self.peer)
        return self.revision if succeeded else None

    def compact(self) -> None:
        """Delete the older half of the history if it exceeds ``max_history``."""
        if len(self.history) <= self.max_history:
            return
        revision = self.history[len(self.history) // 2].revision
        kept = bisect_right(self.history, revision, key=lambda v: v.revision)
        for value in self.history[:kept]:
            versions = self.versions[value.key.encode()]
            while len(versions) > 1 and versions[1].revision <= revision:
                del versions[0]
        del self.history[:kept]
        self.compact_revision = revision

    async def watch_range(
        self, start: bytes, end: bytes, after_revision: int
    ) -> AsyncIterator[list[StoredValue]]:
        """Yield the changes in a range of keys in batches until the store is down.

        :raises InvalidInput: If the revision is compacted.
        """
        while not self.down:
            changed = self.changed
            if not self.freeze_watches:
                if after_revision < self.compact_revision:
                    raise InvalidInput(
                        f"revision {after_revision} is compacted", "store watch"
                    )
                first = bisect_right(
                    self.history, after_revision, key=lambda v: v.revision
                )
                after_revision = max(after_revision, self.revision)
                batch = [
                    value
                    for value in self.history[first:]
                    if start <= value.key.encode() < end
                ]
                if batch:
                    yield batch
                    continue
            await changed.wait()


@register_store("memory")
class MemoryStore(MemoryState, KeyValueStore):
    """A store within this process, for tests and embedding."""

    peer = "memory"

    def __init__(self, url: str = "", timeout_s: float = CALL_TIMEOUT_S):
        super().__init__()
        self.timeout_s = timeout_s

    async def begin_call(self, kind: str) -> None:
        try:
            with anyio.fail_after(self.timeout_s):
                await super().begin_call(kind)
        except TimeoutError as error:
            raise StoreUnavailable(
                f"no answer within {self.timeout_s} s", f"store {kind}", self.peer
            ) from error

    async def get(self, key: str) -> StoredValue | None:
        start = encode_key(key, "store range")
        await self.begin_call("range")
        values, _ = self.read(start, start + b"\0")
        return values[0] if values else None

    async def get_prefix(self, prefix: str) -> Snapshot:
        start = encode_key(prefix, "store range")
        await self.begin_call("range")
        return Snapshot(self.read(start, prefix_end(start))[0], self.revision)

    async def compare_and_swap(self, writes: list[Write]) -> int | None:
        validate_writes(writes)
        await self.begin_call("txn")
        return self.swap(
            {write.key.encode(): write.expected_revision for write in writes},
            {write.key.encode(): write.data for write in writes},
        )

    async def watch_prefix(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[StoredValue]:
        start = encode_key(prefix, "store watch")
        await self.begin_call("watch")
        try:
            async for batch in self.watch_range(
                start, prefix_end(start), after_revision
            ):
                for value in batch:
                    yield value
        except InvalidInput as error:
            raise StoreUnavailable(error.message, error.step, self.peer) from error
