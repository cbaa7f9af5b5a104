"""Guards against starts under a generation that the agent knows is over."""

import anyio
import pytest

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.executors import Executor
from marigoldkeel.messages import Grant, Probe, Run, TaskItem, TaskResult
from marigoldkeel.models import Member, TaskState
from marigoldkeel.queues import WorkQueue
from marigoldkeel.targets import TargetInfo, TargetTable


HANG_LIMIT_S = 30
PARTITION = 3
SUBMISSION = bytes(16)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class RecordingTarget:
    """A target that ends each task at once and remembers it."""

    def __init__(self):
        self.started = []

    async def run(self, target, task):
        self.started.append(task.index)
        return TaskResult(task.index, TaskState.SUCCEEDED, b"1")


class GrantingPrimary:
    """Grants one task under ``generation``; ``board`` learns of 2 before that."""

    def __init__(self, board, generation):
        self.board = board
        self.generation = generation
        self.results = []
        self.reported = anyio.Event()

    async def request(self, address, take, timeout_s):
        if take.results:
            self.results += take.results
            self.reported.set()
            return Grant()
        self.board.observe_generation(PARTITION, 2)
        return Grant(PARTITION, self.generation, [TaskItem(0, b"1")], 0)


def make_executor(peers, board, group):
    targets = TargetTable()
    targets.announce(
        TargetInfo("runner", "127.0.0.1:1", ["quote"], 1, 1), board.clock()
    )
    queue = WorkQueue(1, 16)
    return Executor(board, peers, queue, targets, RecordingTarget(), group)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("generation", "state", "started"),
    [(1, TaskState.NOT_STARTED, []), (2, TaskState.SUCCEEDED, [0])],
)
async def test_pushed_task_needs_the_newest_generation(generation, state, started):
    """Guards against a task that a replaced primary pushed before it was frozen."""
    board = Blackboard(Member("a", "a@1"))
    board.observe_generation(PARTITION, 2)
    with anyio.fail_after(HANG_LIMIT_S):
        async with anyio.create_task_group() as group:
            executor = make_executor(None, board, group)
            group.start_soon(executor.run_forever)
            tasks = [TaskItem(0, b"1")]
            run = Run(PARTITION, generation, SUBMISSION, "quote", 1, 10_000, tasks)
            ran = await executor.run(run)
            group.cancel_scope.cancel()
    assert [result.state for result in ran.results] == [state]
    assert executor.adapter.started == started


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("generation", "state", "started"),
    [(1, TaskState.NOT_STARTED, []), (2, TaskState.SUCCEEDED, [0])],
)
async def test_grant_needs_the_newest_generation(generation, state, started):
    """Guards against a grant of a primary that woke after its replacement.

    The probe came under generation 1. A primary that entered generation 2 grants
    under it and its task runs; one that was replaced still grants under 1.
    """
    board = Blackboard(Member("a", "a@1"))
    with anyio.fail_after(HANG_LIMIT_S):
        async with anyio.create_task_group() as group:
            primary = GrantingPrimary(board, generation)
            executor = make_executor(primary, board, group)
            group.start_soon(executor.run_forever)
            probe = Probe(PARTITION, 1, SUBMISSION, "quote", 1, 10_000, 1, "primary")
            await executor.probe(probe)
            await primary.reported.wait()
            group.cancel_scope.cancel()
    assert [result.state for result in primary.results] == [state]
    assert executor.adapter.started == started


class HangingTarget(RecordingTarget):
    """A target whose tasks do not end."""

    async def run(self, target, task):
        self.started.append(task.index)
        await anyio.sleep_forever()


class WidePrimary:
    """Grants all that is asked for, of a job with many tasks."""

    def __init__(self):
        self.granted = 0
        self.results = []

    async def request(self, address, take, timeout_s):
        self.results += take.results
        first = self.granted
        self.granted += take.want
        tasks = [TaskItem(index, b"1") for index in range(first, self.granted)]
        return Grant(PARTITION, 1, tasks, 18)


@pytest.mark.anyio
@pytest.mark.parametrize("loss", ["leaving", "silent", "withdrawn"])
async def test_held_tasks_are_returned_when_their_target_is_lost(loss):
    """Guards against tasks that wait until their deadline for a lost target."""
    now = [0.0]
    board = Blackboard(Member("a", "a@1"), clock=lambda: now[0])
    primary, pushed = WidePrimary(), []
    with anyio.fail_after(HANG_LIMIT_S):
        async with anyio.create_task_group() as group:
            executor = make_executor(primary, board, group)
            executor.adapter = HangingTarget()
            executor.spare_slot_share = 0.0
            await executor.probe(
                Probe(PARTITION, 1, SUBMISSION, "quote", 1, 60_000, 12)
            )
            executor.step()
            await anyio.wait_all_tasks_blocked()

            async def push():
                run = Run(PARTITION, 1, b"p" * 16, "quote", 1, 60_000, [TaskItem(0)])
                pushed.extend((await executor.run(run)).results)

            group.start_soon(push)
            await anyio.wait_all_tasks_blocked()
            assert (executor.adapter.started, primary.granted) == ([0], 3)
            if loss == "leaving":
                executor.targets.targets["runner"].leaving = True
            elif loss == "silent":
                for _ in range(30):
                    now[0] += 0.1
                    executor.step()
            else:
                executor.targets.withdraw("runner")
            executor.step()
            await anyio.wait_all_tasks_blocked()
            returned = {result.index: result.state for result in primary.results}
            assert returned == {
                1: TaskState.NOT_STARTED,
                2: TaskState.NOT_STARTED,
            }
            assert [result.state for result in pushed] == [TaskState.NOT_STARTED]
            group.cancel_scope.cancel()


@pytest.mark.anyio
@pytest.mark.parametrize("stall_s", [3.0, 30.0])
async def test_target_is_not_lost_because_the_agent_stood_still(stall_s):
    """Guards against queued work given back three times, which fails its job.

    The renewals that the target sent meanwhile are yet to be read.
    """
    now = [0.0]
    board = Blackboard(Member("a", "a@1"), clock=lambda: now[0])
    primary = WidePrimary()
    with anyio.fail_after(HANG_LIMIT_S):
        async with anyio.create_task_group() as group:
            executor = make_executor(primary, board, group)
            executor.adapter = HangingTarget()
            executor.step()
            now[0] += stall_s
            await executor.probe(
                Probe(PARTITION, 1, SUBMISSION, "quote", 1, 60_000, 12)
            )
            executor.step()
            await anyio.wait_all_tasks_blocked()
            assert executor.adapter.started == [0]
            assert primary.results == []
            group.cancel_scope.cancel()
