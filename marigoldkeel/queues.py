"""Priority queue of an agent, with ageing and a slot limit for long-running kinds.

Performs no I/O. All times are monotonic seconds passed in by the caller.
"""

from bisect import bisect_left, insort
from collections import deque
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Any

from msgspec import Struct, field

from marigoldkeel.models import Priority


# Fraction of `max_tasks` up to which work of each priority is accepted.
QUEUE_SHARES = {Priority.URGENT: 1.0, Priority.NORMAL: 0.8, Priority.BATCH: 0.5}
# At most one pop in this many returns an aged item ahead of higher-priority work, so
# a backlog that ages during a burst cannot crowd out urgent work.
AGED_POP_INTERVAL = 8
# Cancelled keys are remembered so that an item that is requeued or pushed after its
# cancellation does not run. This many keys take about 1 MB.
MAX_CANCELLED_KEYS = 10_000
MAX_KINDS = 1000
RUN_TIME_SAMPLES = 64
MIN_COMPACTION_SIZE = 64


class WorkItem(Struct):
    """Tasks of one submission that are queued at this agent.

    ``deadline`` and ``enqueued_at`` are monotonic seconds. ``count`` is the number
    of tasks that can still be requested or run. ``source`` is opaque to the queue.
    """

    key: bytes
    kind: str
    priority: Priority
    deadline: float
    count: int = 1
    enqueued_at: float = 0.0
    source: Any = None


class QueueEntry(Struct, eq=False):
    """A queued item.

    ``live`` is False once the item has been removed. ``indexed_as_long`` states which
    head index holds the entry: that of long kinds, of short kinds, or none.
    """

    item: WorkItem
    sequence: int
    tasks: int
    live: bool = True
    indexed_as_long: bool | None = None

    @property
    def order(self) -> tuple[float, int]:
        return self.item.enqueued_at, self.sequence


class LazyDeletionHeap(Struct):
    """A heap with lazy deletion.

    Removed entries stay in the heap until they reach the top or the heap is
    compacted, which happens when it has doubled since the last compaction. So at
    most about half of it are removed entries. Operations are amortised O(log n).
    """

    heap: list = field(default_factory=list)
    compaction_size: int = MIN_COMPACTION_SIZE

    def add(self, order: tuple, entry: QueueEntry) -> None:
        heappush(self.heap, (order, entry))
        if len(self.heap) > self.compaction_size:
            self.heap = [pair for pair in self.heap if pair[1].live]
            heapify(self.heap)
            self.compaction_size = max(MIN_COMPACTION_SIZE, 2 * len(self.heap))

    def peek(self) -> QueueEntry | None:
        while self.heap and not self.heap[0][1].live:
            heappop(self.heap)
        return self.heap[0][1] if self.heap else None


class RunTimes:
    """Quantiles of the last 64 run times of each kind, in seconds.

    Stragglers shift a quantile only in proportion to their share of the samples. The
    1,000 most recently observed kinds are kept. Every call is O(1).
    """

    def __init__(self):
        self.samples: dict[str, tuple[deque, list[float]]] = {}

    def observe(self, kind: str, run_time_s: float) -> str | None:
        """Record a run time and return the kind evicted to make room, if any."""
        recent, ordered = self.samples.pop(kind, None) or (deque(), [])
        self.samples[kind] = recent, ordered
        recent.append(run_time_s)
        insort(ordered, run_time_s)
        if len(recent) > RUN_TIME_SAMPLES:
            del ordered[bisect_left(ordered, recent.popleft())]
        if len(self.samples) <= MAX_KINDS:
            return None
        evicted = next(iter(self.samples))
        del self.samples[evicted]
        return evicted

    def quantile(self, kind: str, q: float, min_samples: int = 1) -> float | None:
        """Return quantile ``q`` in seconds, or None without enough samples."""
        _, ordered = self.samples.get(kind, ((), ()))
        if len(ordered) < max(1, min_samples):
            return None
        return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


class StragglerDetector:
    """Computes the run time above which a running task counts as a straggler.

    The threshold is a multiple of the kind's 90th percentile, capped at a multiple
    of its median. Without the cap, stragglers that make up more than a tenth of the
    samples would raise the threshold above their own run time. O(1).
    """

    def __init__(
        self,
        run_times: RunTimes,
        factor: float = 3.0,
        median_factor: float = 10.0,
        min_threshold_s: float = 0.5,
        min_samples: int = 10,
    ):
        self.run_times = run_times
        self.factor = factor
        self.median_factor = median_factor
        self.min_threshold_s = min_threshold_s
        self.min_samples = min_samples

    def threshold_s(self, kind: str) -> float:
        """Return the threshold in seconds, infinite if there are too few samples."""
        p90 = self.run_times.quantile(kind, 0.9, self.min_samples)
        if p90 is None:
            return float("inf")
        median = self.run_times.quantile(kind, 0.5)
        threshold = min(self.factor * p90, self.median_factor * median)
        return max(self.min_threshold_s, threshold)


class WorkQueue:
    """A bounded priority queue with ageing, so that no work starves.

    Items of the same priority are ordered by arrival. A non-urgent item is aged once
    it has waited ``ageing_s`` multiplied by its priority value. If k aged items are
    due before it, it is returned within ``AGED_POP_INTERVAL * (k + 1)`` pops in which
    the slot limit for its kind allows it. Each accepted item leaves the queue exactly
    once: through ``next_item``, ``expire``, ``cancel``, ``remove_kind`` or
    ``take_displaced``. Operations are amortised O(log n); ``cancel`` is O(1).

    :param slots: Number of slots that this queue supplies with work.
    :param max_tasks: Maximum number of queued tasks. A single larger item is accepted
        only if the queue is empty.
    :param ageing_s: Waiting time per priority level before an item is aged.
    :param long_slot_share: Fraction of the slots (at least one slot) that long kinds
        may use while short work waits or has waited within the last
        ``short_window_s`` seconds. Urgent long work may use all slots but one.
    :param long_threshold_s: Median run time in seconds from which a kind counts as
        long. It counts as short again below 80% of this value.
    """

    def __init__(
        self,
        slots: int,
        max_tasks: int,
        ageing_s: float = 2.0,
        long_slot_share: float = 0.5,
        long_threshold_s: float = 2.0,
        short_window_s: float = 10.0,
        run_times: RunTimes | None = None,
    ):
        self.slots = slots
        self.max_tasks = max_tasks
        self.ageing_s = ageing_s
        self.long_slot_share = long_slot_share
        self.long_threshold_s = long_threshold_s
        self.short_window_s = short_window_s
        self.run_times = run_times or RunTimes()
        self.long_kinds: set[str] = set()
        self.last_short_at = float("-inf")
        self.sequence = count()
        self.task_counts = dict.fromkeys(Priority, 0)
        self.entries: dict[bytes, list[QueueEntry]] = {}
        self.cancelled: dict[bytes, None] = {}
        # One heap per priority and kind, plus an index of the heap heads per priority
        # and per long or short kind. A kind that changes between long and short only
        # needs its heap heads indexed again.
        self.kind_heaps: dict[tuple[Priority, str], LazyDeletionHeap] = {}
        self.head_indexes = {(p, long): [] for p in Priority for long in (False, True)}
        self.deadlines = LazyDeletionHeap()
        self.newest_batch = LazyDeletionHeap()
        self.expired: list[WorkItem] = []
        self.displaced: list[WorkItem] = []
        self.pops_since_aged = 0

    @property
    def depth(self) -> int:
        """The number of queued tasks."""
        return sum(self.task_counts.values())

    def depth_by_priority(self) -> dict[Priority, int]:
        """Return the number of queued tasks by priority."""
        return dict(self.task_counts)

    def push(self, item: WorkItem, now: float) -> bool:
        """Queue the item and set ``enqueued_at``; return False if it is refused.

        An item is refused if the share of its priority is full, its deadline has
        passed or its key was cancelled. An urgent item displaces the newest batch
        items if that frees enough space; they are returned by ``take_displaced``.
        """
        self._collect_expired(now)
        if item.deadline <= now or item.key in self.cancelled:
            return False
        excess = self.depth + item.count - QUEUE_SHARES[item.priority] * self.max_tasks
        if excess > 0 and self.depth:
            if (
                item.priority != Priority.URGENT
                or excess > self.task_counts[Priority.BATCH]
            ):
                return False
            target = self.depth - excess
            while self.depth > target:
                entry = self.newest_batch.peek()
                self._remove(entry)
                self.displaced.append(entry.item)
        item.enqueued_at = now
        self._insert(item)
        if not self.is_long(item.kind):
            self.last_short_at = now
        return True

    def requeue(self, item: WorkItem) -> bool:
        """Return an item to its original position, even if the queue is full.

        :return: False if the item has no tasks left or has been cancelled.
        """
        if item.count < 1 or item.key in self.cancelled:
            return False
        self._insert(item)
        return True

    def next_item(self, now: float, long_running: int = 0) -> WorkItem | None:
        """Remove and return the item to run next, or None if none may start.

        :param long_running: Number of slots in use by long-running work.
        """
        self._collect_expired(now)
        choice = aged = None
        aged_due = now
        short_heads = [self._head(priority, False) for priority in Priority]
        if any(short_heads):
            self.last_short_at = now
        for priority, head in zip(Priority, short_heads, strict=True):
            if long_running < self._long_slot_limit(priority, now):
                long_head = self._head(priority, True)
                if head is None or (long_head and long_head.order < head.order):
                    head = long_head
            if head is None:
                continue
            choice = choice or head
            due = head.item.enqueued_at + self.ageing_s * priority
            if priority != Priority.URGENT and due <= aged_due:
                aged, aged_due = head, due
        if choice is None:
            return None
        self.pops_since_aged += 1
        if aged and self.pops_since_aged >= AGED_POP_INTERVAL:
            choice = aged
        if aged is None or choice is aged:
            self.pops_since_aged = 0
        self._remove(choice)
        return choice.item

    def expire(self, now: float) -> list[WorkItem]:
        """Remove and return the items whose deadline has passed."""
        self._collect_expired(now)
        expired, self.expired = self.expired, []
        return expired

    def take_displaced(self) -> list[WorkItem]:
        """Return the items displaced since the last call; none of them was run."""
        displaced, self.displaced = self.displaced, []
        return displaced

    def cancel(self, key: bytes) -> list[WorkItem]:
        """Remove and return the items of a submission, and refuse its later items."""
        self.cancelled[key] = None
        if len(self.cancelled) > MAX_CANCELLED_KEYS:
            del self.cancelled[next(iter(self.cancelled))]
        entries = self.entries.get(key, [])
        items = [entry.item for entry in entries]
        for entry in list(entries):
            self._remove(entry)
        return items

    def queued_kinds(self) -> set[str]:
        """Return the kinds of the queued items."""
        return {
            kind for (_, kind), kind_heap in self.kind_heaps.items() if kind_heap.peek()
        }

    def remove_kind(self, kind: str) -> list[WorkItem]:
        """Remove and return all items of a kind."""
        items = []
        for priority in Priority:
            kind_heap = self.kind_heaps.get((priority, kind))
            while kind_heap is not None and (entry := kind_heap.peek()):
                self._remove(entry)
                items.append(entry.item)
        return items

    def observe(self, kind: str, run_time_s: float) -> None:
        """Record a run time in seconds and reclassify its kind as long or short."""
        evicted = self.run_times.observe(kind, run_time_s)
        if evicted is not None:
            self._set_long(evicted, False)
        limit_s = self.long_threshold_s * (0.8 if self.is_long(kind) else 1.0)
        self._set_long(kind, self.run_times.quantile(kind, 0.5) >= limit_s)

    def observe_running(self, kind: str, run_time_s: float) -> None:
        """Classify a kind without samples as long if a running task shows that it is.

        :param run_time_s: How long one of its tasks has been running.
        """
        if (
            run_time_s >= self.long_threshold_s
            and self.run_times.quantile(kind, 0.5) is None
        ):
            self._set_long(kind, True)

    def is_long(self, kind: str) -> bool:
        """Return whether the kind is classified as long; unknown kinds are short."""
        return kind in self.long_kinds

    def free_long_slots(self, priority: Priority, now: float, long_running: int) -> int:
        """Return how many more slots long work of a priority may take."""
        return max(0, self._long_slot_limit(priority, now) - long_running)

    def _set_long(self, kind: str, long: bool) -> None:
        if long == self.is_long(kind):
            return
        (self.long_kinds.add if long else self.long_kinds.discard)(kind)
        for priority in Priority:
            self._index_head(priority, kind)

    def _long_slot_limit(self, priority: Priority, now: float) -> int:
        if now - self.last_short_at > self.short_window_s:
            return self.slots
        slot_limit = max(1, int(self.slots * self.long_slot_share))
        return (
            max(slot_limit, self.slots - 1)
            if priority == Priority.URGENT
            else slot_limit
        )

    def _insert(self, item: WorkItem) -> None:
        entry = QueueEntry(item, next(self.sequence), item.count)
        self.task_counts[item.priority] += entry.tasks
        self.entries.setdefault(item.key, []).append(entry)
        kind_heap = self.kind_heaps.setdefault(
            (item.priority, item.kind), LazyDeletionHeap()
        )
        kind_heap.add(entry.order, entry)
        self.deadlines.add((item.deadline, entry.sequence), entry)
        if item.priority == Priority.BATCH:
            newest_first = (-item.enqueued_at, -entry.sequence)
            self.newest_batch.add(newest_first, entry)
        self._index_head(item.priority, item.kind)

    def _remove(self, entry: QueueEntry) -> None:
        entry.live = False
        self.task_counts[entry.item.priority] -= entry.tasks
        entries = self.entries[entry.item.key]
        entries.remove(entry)
        if not entries:
            del self.entries[entry.item.key]

    def _index_head(self, priority: Priority, kind: str) -> None:
        kind_heap = self.kind_heaps.get((priority, kind))
        if kind_heap is None:
            return
        head = kind_heap.peek()
        long = self.is_long(kind)
        if head is None:
            del self.kind_heaps[priority, kind]
        elif head.indexed_as_long != long:
            head.indexed_as_long = long
            heappush(self.head_indexes[priority, long], (head.order, head))

    def _head(self, priority: Priority, long: bool) -> QueueEntry | None:
        index = self.head_indexes[priority, long]
        while index:
            entry = index[0][1]
            kind = entry.item.kind
            if self.is_long(kind) == long:
                kind_heap = self.kind_heaps.get((priority, kind))
                if kind_heap is not None and kind_heap.peek() is entry:
                    return entry
            heappop(index)
            if entry.indexed_as_long == long:
                entry.indexed_as_long = None
            self._index_head(priority, kind)
        return None

    def _collect_expired(self, now: float) -> None:
        while (entry := self.deadlines.peek()) and entry.item.deadline <= now:
            self._remove(entry)
            self.expired.append(entry.item)
