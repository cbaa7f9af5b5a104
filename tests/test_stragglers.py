"""Guards against long work that occupies all slots while short work waits."""

import anyio
import anyio.lowlevel
import pytest

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.executors import Executor
from marigoldkeel.messages import Grant, Probe, Run, TaskItem, TaskResult
from marigoldkeel.models import Member, Priority, TaskState
from marigoldkeel.queues import WorkQueue
from marigoldkeel.targets import TargetAdapter, TargetInfo, TargetTable


pytestmark = pytest.mark.anyio
SLOTS = 8
# Half of the slots is the default share for long work.
LONG_SLOT_LIMIT = 4
TICK_S = 0.1


class FakeAdapter(TargetAdapter):
    """Runs each task for the number of seconds in its payload, on a fake clock."""

    def __init__(self, supports=()):
        self.supports = supports
        self.left = {}
        self.suspended = set()
        self.checkpointed = set()
        self.throttled = set()

    async def run(self, target, task):
        self.left[task.index] = float(task.payload)
        while self.left[task.index] > 0:
            await anyio.lowlevel.checkpoint()
        del self.left[task.index]
        return TaskResult(task.index, TaskState.SUCCEEDED, b"1")

    def advance(self):
        for index in self.left.keys() - self.suspended:
            self.left[index] -= TICK_S

    async def checkpoint(self, target, task):
        if "checkpoint" in self.supports:
            self.suspended.add(task.index)
            self.checkpointed.add(task.index)
        return "checkpoint" in self.supports

    async def throttle(self, target, task):
        self.throttled.add(task.index)
        return "throttle" in self.supports

    async def resume(self, target, task):
        self.suspended.remove(task.index)
        return True


class ExecutorHarness:
    """An executor with one target of 8 slots on a fake clock."""

    def __init__(self, group, adapter):
        self.now = 0.0
        self.adapter = adapter
        self.group = group
        self.results = []
        self.pushed = 0
        self.kinds = {}
        board = Blackboard(Member("a", "a@1"), clock=lambda: self.now)
        self.queue = WorkQueue(SLOTS, 1000)
        self.targets = TargetTable()
        self.executor = Executor(board, self, self.queue, self.targets, adapter, group)
        # Slots reserved for urgent calls have separate tests.
        self.executor.reserved_slot_share = 0.0
        for _ in range(20):
            self.queue.observe("quick", 0.1)
            self.queue.observe("slow", 5.0)

    async def push(self, kind, seconds, count):
        for _ in range(count):
            index, self.pushed = self.pushed, self.pushed + 1
            self.kinds[index] = kind
            item = TaskItem(index, str(seconds).encode())
            run = Run(0, 0, bytes(16), kind, Priority.NORMAL, 10**9, [item])
            self.group.start_soon(self._run, run)
        await self.settle()

    async def _run(self, run):
        self.results += (await self.executor.run(run)).results

    async def offer(self, kind, seconds, count):
        """Offer one job of ``count`` tasks, with `request` acting as its primary."""
        self.offered = [
            TaskItem(self.pushed + number, str(seconds).encode())
            for number in range(count)
        ]
        self.kinds |= {task.index: kind for task in self.offered}
        self.pushed += count
        probe = Probe(0, 0, b"o" * 16, kind, Priority.NORMAL, 10**9, count)
        await self.executor.probe(probe)

    async def request(self, address, take, timeout_s):
        self.results += take.results
        granted, self.offered = self.offered[: take.want], self.offered[take.want :]
        return Grant(0, 0, granted, len(self.offered))

    async def settle(self):
        for _ in range(10):
            await anyio.lowlevel.checkpoint()

    async def tick(self):
        self.now += TICK_S
        info = TargetInfo("t", "", ["quick", "slow", "new"], SLOTS, SLOTS)
        self.targets.announce(info, self.now)
        self.adapter.advance()
        await self.settle()
        self.executor.step()
        await self.settle()

    def running(self, *kinds):
        left = self.adapter.left.keys() - self.adapter.suspended
        return {index for index in left if self.kinds[index] in kinds}


async def finish(harness):
    while len(harness.results) < harness.pushed:
        await harness.tick()
    assert {result.state for result in harness.results} == {TaskState.SUCCEEDED}
    assert (harness.targets.busy_slots, harness.executor.running) == ({}, 0)
    assert harness.executor.stragglers.long_running == 0


@pytest.mark.parametrize("supports", [(), ("throttle",), ("checkpoint", "throttle")])
async def test_stragglers_and_long_work_leave_half_of_the_slots_to_short_work(supports):
    adapter = FakeAdapter(supports)
    async with anyio.create_task_group() as group:
        harness = ExecutorHarness(group, adapter)
        await harness.tick()
        await harness.push("quick", 20, 4)
        stragglers = set(range(4))
        await harness.tick()
        await harness.push("quick", 0.2, 40)
        while harness.queue.depth > 8:
            await harness.tick()
        assert harness.executor.board.events["stragglers"] == len(stragglers)
        assert harness.queue.depth
        await harness.offer("slow", 5, 10)
        # Pushed later than the offer, which is therefore ahead in the queue.
        await harness.tick()
        await harness.push("quick", 0.1, 60)
        short = set(range(4, 44)) | set(range(54, 114))
        await harness.tick()
        while harness.queue.task_counts[Priority.NORMAL] > 20:
            long = (harness.running("quick") - short) | harness.running("slow")
            assert len(long) <= LONG_SLOT_LIMIT
            assert len(harness.running("quick") & short) >= SLOTS - LONG_SLOT_LIMIT
            await harness.tick()
        can_checkpoint = "checkpoint" in supports
        assert adapter.checkpointed == (stragglers if can_checkpoint else set())
        assert adapter.throttled == (set() if can_checkpoint else stragglers)
        await finish(harness)
    assert adapter.suspended == set()


async def test_unknown_kind_counts_as_long_before_its_first_result():
    """Guards against a new long kind that counts as short until its first result.

    Its first tasks take all slots, but later ones must respect the slot limit.
    """
    async with anyio.create_task_group() as group:
        harness = ExecutorHarness(group, FakeAdapter())
        await harness.tick()
        await harness.push("new", 6, 4)
        await harness.tick()
        await harness.push("new", 6, 20)
        await harness.tick()
        assert len(harness.running("new")) == SLOTS
        await harness.push("quick", 0.1, 60)
        while harness.now < 6:
            await harness.tick()
        assert harness.queue.run_times.quantile("new", 0.5) is None
        assert harness.queue.is_long("new")
        while len(harness.running("new")) > LONG_SLOT_LIMIT:
            await harness.tick()
        while harness.queue.task_counts[Priority.NORMAL] > 20:
            assert len(harness.running("new")) <= LONG_SLOT_LIMIT
            assert len(harness.running("quick")) >= SLOTS - LONG_SLOT_LIMIT
            await harness.tick()
        await finish(harness)


async def test_checkpointed_task_resumes_although_short_work_keeps_waiting():
    """Guards against a suspended straggler that starves if short work keeps coming."""
    adapter = FakeAdapter(("checkpoint",))
    async with anyio.create_task_group() as group:
        harness = ExecutorHarness(group, adapter)
        await harness.tick()
        await harness.push("quick", 2, 1)
        while not any(result.index == 0 for result in harness.results):
            assert harness.now < 30
            await harness.push("quick", 0.1, 2 * SLOTS - harness.queue.depth)
            await harness.tick()
        await finish(harness)


async def test_offer_of_a_long_job_respects_the_limit_for_long_work():
    """Guards against an offered job that exceeds the limit with a single request."""
    async with anyio.create_task_group() as group:
        harness = ExecutorHarness(group, FakeAdapter())
        await harness.tick()
        await harness.offer("slow", 5, 10)
        await harness.push("quick", 0.2, 20)
        await harness.tick()
        assert len(harness.running("slow")) == LONG_SLOT_LIMIT
        assert len(harness.running("quick")) == SLOTS - LONG_SLOT_LIMIT
        await finish(harness)
