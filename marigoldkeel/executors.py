"""Runs tasks from the agent's queue in free slots of its targets."""

from collections import OrderedDict

import anyio
import msgspec
from anyio.abc import TaskGroup
from loguru import logger
from msgspec import Struct, field

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.identifiers import check_submission_id, format_submission_id
from marigoldkeel.messages import Grant, Probe, Ran, Run, Take, TaskItem, TaskResult
from marigoldkeel.models import Priority, TaskState
from marigoldkeel.queues import WorkItem, WorkQueue
from marigoldkeel.stragglers import StragglerController
from marigoldkeel.targets import TargetAdapter, TargetTable, TaskCall
from marigoldkeel.transports import PeerPool


TAKE_TIMEOUT_S = 1.0
TAKE_RETRY_DELAY_S = 0.1
DELIVERY_RETRY_DELAY_S = 1.0
HOUSEKEEPING_INTERVAL_S = 0.1
# Results wait this long to be sent with the next request for tasks, which a free slot
# sends in about this time. A longer delay would delay the answer if other agents took
# the last tasks of the job.
RESULT_BATCH_DELAY_S = 0.01
# Each prefetched task saves a request, but is bound to this agent early. So tasks are
# prefetched only while the job has enough pending tasks for all agents.
MAX_PREFETCHED_TASKS = 2
PENDING_PER_PREFETCHED_TASK = 6
# An urgent call that finds all slots busy has to wait for a task of up to a second.
# Other work therefore leaves this share of the slots free, unless it has waited longer
# than the maximum wait.
RESERVED_SLOT_SHARE = 0.125
RESERVED_SLOT_MAX_WAIT_S = 2.0
MAX_REMEMBERED_STARTS = 100_000


class PushedTask(Struct):
    """A task pushed by a primary or an entry, which waits for the result."""

    message: Run
    task: TaskItem
    deadline: float
    result: TaskResult | None = None
    done: anyio.Event = field(default_factory=anyio.Event)

    def finish(self, result: TaskResult) -> None:
        """Set the result for the waiting request."""
        self.result = result
        self.done.set()


class ProbedJob(Struct):
    """A job offered by a primary.

    ``pending`` is the last known number of its tasks that are not granted to any agent.
    ``ready`` has granted tasks that wait for a slot here, and ``results`` has results
    that have not been delivered. ``running`` is the number of granted tasks that have
    not ended.
    """

    message: Probe
    deadline: float
    pending: int
    running: int = 0
    ready: list[TaskItem] = field(default_factory=list)
    results: list[TaskResult] = field(default_factory=list)

    @property
    def available(self) -> int:
        """The number of tasks that can still be run here, as far as known."""
        return len(self.ready) + self.pending

    @property
    def prefetch_count(self) -> int:
        """The number of tasks to request in addition to those for free slots.

        It decreases with the number of pending tasks, so that the last tasks of a job
        are granted only to free slots.
        """
        return min(MAX_PREFETCHED_TASKS, self.pending // PENDING_PER_PREFETCHED_TASK)


class Executor:
    """Takes work in queue order and runs each task at most once."""

    def __init__(
        self,
        board: Blackboard,
        peers: PeerPool,
        queue: WorkQueue,
        targets: TargetTable,
        adapter: TargetAdapter,
        group: TaskGroup,
    ):
        self.board = board
        self.peers = peers
        self.queue = queue
        self.targets = targets
        self.adapter = adapter
        self.group = group
        self.wake = anyio.Event()
        self.started: OrderedDict[tuple[bytes, int], float] = OrderedDict()
        self.running = 0
        self.stragglers = StragglerController(
            board, queue, targets, adapter, group, lambda: self.wake.set()
        )
        self.stragglers_checked_at = float("-inf")
        self.sequence = 0
        self.reserved_slot_share = RESERVED_SLOT_SHARE
        self.applied_revision = -1

    async def probe(self, message: Probe) -> None:
        """Queue an offered job. A full queue drops it; others can take its tasks.

        :raises ProtocolError: If the message is invalid.
        """
        check_submission_id(message.submission_id)
        now = self.board.clock()
        if not self.board.observe_generation(message.partition, message.generation):
            return
        deadline = now + message.deadline_ms / 1000
        source = ProbedJob(message, deadline, message.count)
        self._push(message, deadline, message.count, source)

    async def run(self, message: Run) -> Ran:
        """Run pushed tasks and return the results when all have ended.

        :raises ProtocolError: If the message is invalid; no task is started then.
        """
        check_submission_id(message.submission_id)
        if message.incarnation not in ("", self.board.member.incarnation):
            # The primary will give up what it pushed to the other process.
            reason = "the task was pushed to another agent or an earlier start"
            return Ran([not_started(task.index, reason) for task in message.tasks])
        deadline = self.board.clock() + message.deadline_ms / 1000
        pushed = [PushedTask(message, task, deadline) for task in message.tasks]
        for item in pushed:
            if not self._push(message, deadline, 1, item):
                item.finish(
                    not_started(
                        item.task.index,
                        "the agent's queue did not accept the task",
                    )
                )
        for item in pushed:
            await item.done.wait()
        return Ran([item.result for item in pushed])

    def _push(self, message, deadline: float, count: int, source) -> bool:
        item = WorkItem(
            message.submission_id,
            message.kind,
            Priority.parse(message.priority),
            deadline,
            count,
            source=source,
        )
        accepted = not self.board.leaving and self.queue.push(item, self.board.clock())
        self._return_dropped_items()
        self.wake.set()
        return accepted

    def _return_dropped_items(self) -> None:
        now = self.board.clock()
        for reason, items in (
            ("the deadline passed while the task was queued", self.queue.expire(now)),
            (
                "the task was displaced from the queue by urgent work",
                self.queue.take_displaced(),
            ),
        ):
            for item in items:
                self.board.events["tasks_dropped"] += 1
                self._return_unstarted(item.source, reason)

    def _return_unstarted(self, source: PushedTask | ProbedJob, reason: str) -> None:
        """Return the unstarted tasks of a dropped item to their sender."""
        if isinstance(source, PushedTask):
            source.finish(not_started(source.task.index, reason))
        elif source.ready:
            source.running -= len(source.ready)
            source.results += [not_started(task.index, reason) for task in source.ready]
            source.ready = []
            self.group.start_soon(self._deliver, source, False)

    def cancel(self, submission_id: bytes) -> None:
        """Remove the queued tasks of a submission and return them unstarted."""
        for item in self.queue.cancel(submission_id):
            self._return_unstarted(item.source, "the submission was cancelled")

    async def run_forever(self) -> None:
        """Process the queue whenever a slot becomes free, and at regular intervals."""
        while True:
            with anyio.move_on_after(HOUSEKEEPING_INTERVAL_S):
                await self.wake.wait()
            self.wake = anyio.Event()
            self.step()

    def step(self) -> None:
        """Update the state of queue and targets, and start work in free slots."""
        now = self.board.clock()
        self.targets.compensate_local_pause(now, HOUSEKEEPING_INTERVAL_S)
        self._apply_configuration()
        self._return_dropped_items()
        if now - self.stragglers_checked_at >= HOUSEKEEPING_INTERVAL_S:
            self.stragglers_checked_at = now
            self.stragglers.check_running_tasks()
        elif self.stragglers.suspended:
            self.stragglers.resume()
        self._return_unservable()
        self._start_work()
        self._update_load()

    def _apply_configuration(self) -> None:
        revision = self.board.configuration.revision
        if revision == self.applied_revision:
            return
        self.applied_revision = revision
        setting = self.board.setting
        self.queue.ageing_s = setting("ageing_ms") / 1000
        self.queue.long_slot_share = setting("long_slot_share")
        self.queue.long_threshold_s = setting("long_task_ms") / 1000

    def _update_load(self) -> None:
        now = self.board.clock()
        usable = [
            info
            for info in self.targets.targets.values()
            if self.targets.free_slots(info.name, now)
            or info.name in self.targets.busy_slots
        ]
        usable = [info for info in usable if not info.leaving]
        self.board.slots = sum(info.slots for info in usable)
        self.board.kinds = sorted({kind for info in usable for kind in info.kinds})
        waiting = self.queue.depth + self.running
        self.board.load = waiting / max(1, self.board.slots)
        self.queue.slots = max(1, self.board.slots)
        per_slot = self.board.setting("queue_tasks_per_slot")
        self.queue.max_tasks = self.queue.slots * per_slot

    def _return_unservable(self) -> None:
        """Return queued work that has lost its targets, so that other agents run it."""
        now = self.board.clock()
        for kind in self.queue.queued_kinds():
            if self.targets.serves(kind, now):
                continue
            for item in self.queue.remove_kind(kind):
                self.board.events["items_without_target"] += 1
                self._return_unstarted(
                    item.source, "no target of this agent serves this kind"
                )

    def _start_work(self) -> None:
        """Start queued work in free slots, skipping items that have no usable slot."""
        skipped = []
        while True:
            now, long_running = self.board.clock(), self.stragglers.long_running
            item = self.queue.next_item(now, long_running)
            if item is None:
                break
            if isinstance(item.source, ProbedJob) and not item.source.available:
                continue
            reserved = self._reserved_slots(item)
            count = item.count
            if self.queue.is_long(item.kind):
                max_count = self.queue.free_long_slots(item.priority, now, long_running)
                count = min(count, max_count)
            slots = self._acquire(item.kind, count, reserved)
            if not slots:
                skipped.append(item)
                # Urgent calls come before this item in the queue and have been served.
                if reserved or not self._any_free_slot():
                    break
                continue
            if isinstance(item.source, PushedTask):
                self.group.start_soon(self._run_pushed, item, slots[0])
            else:
                self.group.start_soon(self._run_probed, item, slots)
        for item in skipped:
            self.queue.requeue(item)

    def _reserved_slots(self, item: WorkItem) -> int:
        """Return how many slots this item must leave free for urgent calls."""
        waited_s = self.board.clock() - item.enqueued_at
        if item.priority == Priority.URGENT or waited_s > RESERVED_SLOT_MAX_WAIT_S:
            return 0
        return int(self.board.slots * self.reserved_slot_share)

    def _any_free_slot(self) -> bool:
        return self._free_slots() > 0

    def _free_slots(self) -> int:
        now = self.board.clock()
        return sum(self.targets.free_slots(name, now) for name in self.targets.targets)

    def _acquire(self, kind: str, count: int, reserved: int = 0) -> list[str]:
        now = self.board.clock()
        names = []
        if reserved:
            count = min(count, self._free_slots() - reserved)
        while len(names) < count:
            name = self.targets.acquire(kind, now)
            if name is None:
                break
            names.append(name)
        self.running += len(names)
        self.stragglers.held_slots[kind] += len(names)
        return names

    def _release(self, kind: str, names: list[str]) -> None:
        for name in names:
            self.targets.release(name)
        self.stragglers.held_slots[kind] -= len(names)
        if not self.stragglers.held_slots[kind]:
            del self.stragglers.held_slots[kind]
        self.running -= len(names)
        self.wake.set()

    async def _run_pushed(self, item: WorkItem, slot: str) -> None:
        pushed = item.source
        try:
            result = await self._run_task(
                pushed.message, pushed.task, slot, pushed.deadline
            )
        finally:
            self._release(item.kind, [slot])
        pushed.finish(result)

    async def _run_probed(self, item: WorkItem, slots: list[str]) -> None:
        """Run tasks of an offered job, which stays queued while it has more tasks."""
        probed = item.source
        self._start_ready(item, slots)
        if slots and probed.pending:
            try:
                grant = await self._take(probed, len(slots) + probed.prefetch_count)
            except BaseException:
                self._release(item.kind, slots)
                raise
            if not grant.tasks:
                self.board.events["takes_without_task"] += 1
            probed.ready += grant.tasks
            self._start_ready(item, slots)
        item.count = min(probed.available, probed.message.count)
        if not self.queue.requeue(item):
            self._return_unstarted(probed, "the submission was cancelled")
        self._release(item.kind, slots)

    def _start_ready(self, item: WorkItem, slots: list[str]) -> None:
        """Start granted tasks and remove the slots that they use from ``slots``."""
        while slots and item.source.ready:
            task = item.source.ready.pop(0)
            self.group.start_soon(self._run_granted, item, slots.pop(), task)

    async def _run_granted(self, item: WorkItem, slot: str, task: TaskItem) -> None:
        probed = item.source
        try:
            result = await self._run_task(probed.message, task, slot, probed.deadline)
            probed.running -= 1
            probed.results.append(result)
        finally:
            self._release(item.kind, [slot])
        await self._deliver(probed, result.state == TaskState.SUCCEEDED)

    async def _deliver(self, probed: ProbedJob, may_batch: bool) -> None:
        """Send results to the primary, unless a later message can carry them.

        The job cannot complete before its tasks that run here have ended, so the
        results can be sent with those of the last one. While the job has pending tasks,
        the next request for a task follows shortly.
        """
        if may_batch and probed.pending and not probed.running:
            await anyio.sleep(RESULT_BATCH_DELAY_S)
        if probed.results and not (may_batch and probed.running):
            await self._take(probed, 0)

    async def _take(self, probed: ProbedJob, want: int) -> Grant:
        """Send results and request tasks, repeating with the same sequence number.

        The caller may hold slots during the call. If the primary does not answer within
        the suspicion timeout, `_deliver_until_deadline` takes over.
        """
        results, probed.results = probed.results, []
        take = self._next_take(probed, want, results)
        give_up_at = self.board.clock() + self.board.setting("suspect_after_ms") / 1000
        while True:
            try:
                grant = await self.peers.request(
                    probed.message.address, take, TAKE_TIMEOUT_S
                )
            except MarigoldkeelError:
                if self.board.clock() > min(probed.deadline, give_up_at):
                    self.group.start_soon(self._deliver_until_deadline, probed, take)
                    probed.pending = 0
                    return Grant()
                await anyio.sleep(TAKE_RETRY_DELAY_S)
                continue
            probed.pending = grant.left
            probed.running += len(grant.tasks)
            if grant.tasks:
                # The primary may have entered a newer generation since the probe.
                probed.message.generation = grant.generation
            return grant

    def _next_take(
        self, probed: ProbedJob, want: int, results: list[TaskResult]
    ) -> Take:
        self.sequence += 1
        return Take(
            probed.message.submission_id,
            self.board.member.incarnation,
            self.sequence,
            want,
            results,
        )

    async def _deliver_until_deadline(self, probed: ProbedJob, take: Take) -> None:
        """Retry the delivery of results until the deadline; return granted tasks."""
        while True:
            try:
                grant = await self.peers.request(
                    probed.message.address, take, TAKE_TIMEOUT_S
                )
            except MarigoldkeelError as error:
                if self.board.clock() > probed.deadline:
                    logger.warning(
                        "could not deliver results before the deadline: {}", error
                    )
                    return
                await anyio.sleep(DELIVERY_RETRY_DELAY_S)
                continue
            if not grant.tasks:
                return
            reason = "the primary did not respond in time"
            returned = [not_started(task.index, reason) for task in grant.tasks]
            take = self._next_take(probed, 0, returned)

    async def _run_task(
        self, message: Probe | Run, task: TaskItem, slot: str, deadline: float
    ) -> TaskResult:
        refused = self._refuse_start(message, task, deadline)
        if refused is not None:
            return refused
        info = self.targets.targets.get(slot)
        if info is None:
            return not_started(task.index, "the target is no longer registered")
        now = self.board.clock()
        call = TaskCall(
            message.submission_id,
            task.index,
            message.kind,
            task.payload,
            deadline - now,
        )
        running = self.stragglers.start(info, call, Priority(message.priority))
        try:
            result = await self.adapter.run(info, call)
        except Exception as error:
            logger.exception("unexpected error in step run task at {}", info.address)
            text = f"internal error: {error}"
            result = TaskResult(task.index, TaskState.MAY_HAVE_RUN, b"", text)
        finally:
            run_time_s = running.run_time_s(self.board.clock())
            self.stragglers.end(running)
        self._record_result(message, task, result, run_time_s)
        return result

    def _refuse_start(
        self, message: Probe | Run, task: TaskItem, deadline: float
    ) -> TaskResult | None:
        if self.board.clock() >= deadline:
            return not_started(
                task.index, "the deadline passed before the task started"
            )
        if message.generation == 0:
            return None
        if not self.board.observe_generation(message.partition, message.generation):
            self.board.events["starts_of_old_generation"] += 1
            return not_started(task.index, "the partition has a newer generation")
        if message.submission_id in self.queue.cancelled:
            return not_started(task.index, "the submission was cancelled")
        key = (message.submission_id, task.index)
        if key in self.started:
            self.board.events["starts_repeated"] += 1
            return TaskResult(
                task.index, TaskState.MAY_HAVE_RUN, b"", "the task was started before"
            )
        self._remember_start(key)
        return None

    def _remember_start(self, key: tuple[bytes, int]) -> None:
        """Record a start for as long as another grant of the task may be valid."""
        now = self.board.clock()
        retention_s = self.board.setting("max_deadline_ms") / 1000
        self.started[key] = now
        while self.started:
            oldest = next(iter(self.started.values()))
            if (
                now - oldest <= retention_s
                and len(self.started) <= MAX_REMEMBERED_STARTS
            ):
                break
            self.started.popitem(last=False)

    def _record_result(
        self,
        message: Probe | Run,
        task: TaskItem,
        result: TaskResult,
        run_time_s: float,
    ) -> None:
        if result.state == TaskState.NOT_STARTED:
            self.started.pop((message.submission_id, task.index), None)
            return
        result.run_ms = int(run_time_s * 1000)
        logger.debug(
            "submission {}, task {}: {} after {} ms",
            format_submission_id(message.submission_id),
            task.index,
            TaskState(result.state).name.lower(),
            result.run_ms,
        )
        self.board.events[f"tasks_{TaskState(result.state).name.lower()}"] += 1
        self.queue.observe(message.kind, run_time_s)
        if result.state == TaskState.SUCCEEDED and not is_json(result.payload):
            result.state = TaskState.FAILED
            result.payload = b""
            result.message = "the result of the target is not JSON"


def not_started(index: int, reason: str) -> TaskResult:
    """Return the result of a task that provably did not start."""
    return TaskResult(index, TaskState.NOT_STARTED, b"", reason)


def is_json(payload: bytes) -> bool:
    """Whether ``payload`` is one JSON value."""
    try:
        msgspec.json.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    return True
