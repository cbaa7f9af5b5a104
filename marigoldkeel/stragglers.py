"""Monitors running tasks, so that stragglers do not block waiting work."""

from collections import Counter
from collections.abc import Callable

from anyio.abc import TaskGroup
from msgspec import Struct

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.models import Priority
from marigoldkeel.queues import StragglerDetector, WorkQueue
from marigoldkeel.targets import TargetAdapter, TargetInfo, TargetTable, TaskCall


class RunningTask(Struct, eq=False):
    """A task that runs on a target. Times are in seconds.

    ``is_straggler`` is set once the task has been detected as a straggler.
    ``counts_as_long`` makes it count as long work even if its kind is short.
    ``suspended_at`` is set while it is checkpointed and occupies no slot.
    """

    info: TargetInfo
    call: TaskCall
    priority: Priority
    started_at: float
    is_straggler: bool = False
    counts_as_long: bool = False
    ended: bool = False
    suspended_at: float | None = None
    suspended_s: float = 0.0

    def run_time_s(self, now: float) -> float:
        """Return how long the task has run, excluding the time it was suspended."""
        until = now if self.suspended_at is None else self.suspended_at
        return until - self.started_at - self.suspended_s


class StragglerController:
    """Counts the slots of long work and frees slots of stragglers for waiting work.

    While other work waits, a straggler is checkpointed or, if that is not supported,
    throttled. A checkpointed task is resumed when a slot of its target is free and
    either nothing waits, or it was suspended for the queue's ageing time and the slot
    limit for long work allows it. A straggler that occupies a slot counts as long work.

    :param wake: Called when a slot becomes free.
    """

    def __init__(
        self,
        board: Blackboard,
        queue: WorkQueue,
        targets: TargetTable,
        adapter: TargetAdapter,
        group: TaskGroup,
        wake: Callable[[], None],
    ):
        self.board = board
        self.queue = queue
        self.targets = targets
        self.adapter = adapter
        self.group = group
        self.wake = wake
        self.detector = StragglerDetector(queue.run_times)
        self.tasks: dict[RunningTask, None] = {}
        self.suspended: dict[RunningTask, None] = {}
        self.held_slots: Counter[str] = Counter()

    @property
    def long_running(self) -> int:
        """The number of slots in use by long kinds and by stragglers of short kinds."""
        is_long = self.queue.is_long
        by_kind = sum(count for kind, count in self.held_slots.items() if is_long(kind))
        return by_kind + sum(
            task.counts_as_long
            and task.suspended_at is None
            and not is_long(task.call.kind)
            for task in self.tasks
        )

    def start(
        self, info: TargetInfo, call: TaskCall, priority: Priority
    ) -> RunningTask:
        """Monitor a task whose slot the caller has added to ``held_slots``."""
        task = RunningTask(info, call, priority, self.board.clock())
        self.tasks[task] = None
        return task

    def end(self, task: RunningTask) -> None:
        """Stop monitoring a task, whose slot the caller must release afterwards."""
        task.ended = True
        del self.tasks[task]
        if task.suspended_at is not None:
            self._reoccupy_slot(task)

    def check_running_tasks(self) -> None:
        """Detect long kinds and stragglers, and resume checkpointed tasks."""
        now = self.board.clock()
        for task in self.tasks:
            run_time_s = task.run_time_s(now)
            kind = task.call.kind
            self.queue.observe_running(kind, run_time_s)
            if task.is_straggler or not self.queue.depth:
                continue
            if run_time_s > self.detector.threshold_s(kind):
                task.is_straggler = True
                self.board.events["stragglers"] += 1
                self.group.start_soon(self._checkpoint_or_throttle, task)
        self.resume()

    async def _checkpoint_or_throttle(self, task: RunningTask) -> None:
        # Set before the request, because the target may be slow to respond.
        task.counts_as_long = True
        if await self.adapter.checkpoint(task.info, task.call):
            if not task.ended:
                self._release_slot(task)
        elif not task.ended:
            await self.adapter.throttle(task.info, task.call)

    def resume(self) -> None:
        """Resume checkpointed tasks for which there is a slot, the oldest first."""
        now = self.board.clock()
        for task in list(self.suspended):
            waited_s = now - task.suspended_at
            if self.queue.depth and (
                waited_s < self.queue.ageing_s
                or not self.queue.free_long_slots(task.priority, now, self.long_running)
            ):
                continue
            if self.targets.free_slots(task.info.name, now):
                self._reoccupy_slot(task)
                self.group.start_soon(self._resume_task, task)

    async def _resume_task(self, task: RunningTask) -> None:
        if not await self.adapter.resume(task.info, task.call) and not task.ended:
            self._release_slot(task)

    def _release_slot(self, task: RunningTask) -> None:
        task.suspended_at = self.board.clock()
        self.suspended[task] = None
        self.held_slots[task.call.kind] -= 1
        self.targets.release(task.info.name)
        self.wake()

    def _reoccupy_slot(self, task: RunningTask) -> None:
        task.suspended_s += self.board.clock() - task.suspended_at
        task.suspended_at = None
        del self.suspended[task]
        self.held_slots[task.call.kind] += 1
        self.targets.occupy(task.info.name)
