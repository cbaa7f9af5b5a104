"""Guards against starts under an outdated generation, and against unreturned tasks."""

import time

import anyio
import pytest

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.exceptions import ProtocolError
from marigoldkeel.executors import Executor
from marigoldkeel.messages import (
    Envelope,
    Grant,
    Probe,
    Run,
    TaskItem,
    TaskResult,
    decode_frame,
    encode_frame,
)
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
    """A target that completes each task immediately and records its index."""

    def __init__(self):
        self.started = []

    async def run(self, target, task):
        self.started.append(task.index)
        return TaskResult(task.index, TaskState.SUCCEEDED, b"1")


class GrantingPrimary:
    """Grants one task under ``generation``, after ``board`` observed generation 2."""

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
    """Guards against running a task that was pushed by a primary since replaced."""
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
    ("incarnation", "state", "started"),
    [
        ("a@1", TaskState.NOT_STARTED, []),
        ("b@1", TaskState.NOT_STARTED, []),
        ("a@2", TaskState.SUCCEEDED, [0]),
        # A primary of an earlier version, or a read-only call.
        ("", TaskState.SUCCEEDED, [0]),
    ],
)
async def test_task_pushed_to_an_earlier_start_of_the_agent_is_returned(
    incarnation, state, started
):
    """Guards against a job that fails while its task runs on a restarted agent."""
    board = Blackboard(Member("a", "a@2"))
    with anyio.fail_after(HANG_LIMIT_S):
        async with anyio.create_task_group() as group:
            executor = make_executor(None, board, group)
            group.start_soon(executor.run_forever)
            tasks = [TaskItem(0, b"1")]
            run = Run(PARTITION, 1, SUBMISSION, "quote", 1, 10_000, tasks)
            run.incarnation = incarnation
            (copy,) = decode_frame(encode_frame([Envelope(1, False, run)]))
            ran = await executor.run(copy.content)
            group.cancel_scope.cancel()
    assert [result.state for result in ran.results] == [state]
    assert executor.adapter.started == started


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("generation", "state", "started"),
    [(1, TaskState.NOT_STARTED, []), (2, TaskState.SUCCEEDED, [0])],
)
async def test_grant_needs_the_newest_generation(generation, state, started):
    """Guards against a grant by a primary that resumes after it was replaced.

    The probe has generation 1. A primary that has entered generation 2 grants under
    it, and its task runs. A replaced primary still grants under generation 1.
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


@pytest.mark.anyio
@pytest.mark.parametrize("submission_id", [b"", bytes(15), b"\xff" * 40])
@pytest.mark.parametrize("kind", ["run", "probe"])
async def test_invalid_submission_id_starts_nothing(kind, submission_id):
    """Guards against a pushed task that ran but whose result was never returned."""
    board = Blackboard(Member("a", "a@1"))
    executor = make_executor(None, board, None)
    tasks = [TaskItem(0, b"1")]
    messages = {
        "run": Run(PARTITION, 0, submission_id, "quote", 1, 10_000, tasks),
        "probe": Probe(PARTITION, 1, submission_id, "quote", 1, 10_000, 1, "primary"),
    }
    with anyio.fail_after(HANG_LIMIT_S), pytest.raises(ProtocolError):
        await getattr(executor, kind)(messages[kind])
    assert executor.queue.depth == 0


class HangingTarget(RecordingTarget):
    """A target whose tasks never end."""

    async def run(self, target, task):
        self.started.append(task.index)
        await anyio.sleep_forever()


class UnlimitedPrimary:
    """Grants as many tasks as requested, of a job with many tasks."""

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
    """Guards against tasks that wait for a lost target until their deadline."""
    now = [0.0]
    board = Blackboard(Member("a", "a@1"), clock=lambda: now[0])
    primary, pushed = UnlimitedPrimary(), []
    with anyio.fail_after(HANG_LIMIT_S):
        async with anyio.create_task_group() as group:
            executor = make_executor(primary, board, group)
            executor.adapter = HangingTarget()
            executor.reserved_slot_share = 0.0
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
@pytest.mark.parametrize("pause_s", [3.0, 30.0])
async def test_target_is_not_lost_when_the_agent_process_is_paused(pause_s):
    """Guards against targets that count as lost after a pause of the agent itself.

    The renewals that the target sent during the pause have not been read yet. Queued
    work would be returned, and three returns of a task fail its job.
    """
    now = [0.0]
    board = Blackboard(Member("a", "a@1"), clock=lambda: now[0])
    primary = UnlimitedPrimary()
    with anyio.fail_after(HANG_LIMIT_S):
        async with anyio.create_task_group() as group:
            executor = make_executor(primary, board, group)
            executor.adapter = HangingTarget()
            executor.step()
            now[0] += pause_s
            await executor.probe(
                Probe(PARTITION, 1, SUBMISSION, "quote", 1, 60_000, 12)
            )
            executor.step()
            await anyio.wait_all_tasks_blocked()
            assert executor.adapter.started == [0]
            assert primary.results == []
            group.cancel_scope.cancel()


class SuspendableClock:
    """Replaces the clocks of the operating system on a machine that is suspended."""

    def __init__(self, monkeypatch):
        self.suspended_s = 0.0
        read = time.clock_gettime
        monkeypatch.setattr(
            time,
            "clock_gettime",
            lambda clock: (
                read(clock) + self.suspended_s * (clock == time.CLOCK_BOOTTIME)
            ),
        )


@pytest.mark.anyio
@pytest.mark.parametrize("suspended_s", [0.0, 60.0])
async def test_task_is_not_started_after_its_deadline_passed_in_suspend(
    suspended_s, monkeypatch
):
    """Guards against a machine that resumes and starts work that was given up."""
    clock = SuspendableClock(monkeypatch)
    board = Blackboard(Member("a", "a@1"))
    results = []
    with anyio.fail_after(HANG_LIMIT_S):
        async with anyio.create_task_group() as group:
            executor = make_executor(None, board, group)

            async def push():
                run = Run(PARTITION, 1, SUBMISSION, "quote", 1, 10_000, [TaskItem(0)])
                results.extend((await executor.run(run)).results)

            group.start_soon(push)
            await anyio.wait_all_tasks_blocked()
            clock.suspended_s = suspended_s
            executor.targets.announce(
                TargetInfo("runner", "127.0.0.1:1", ["quote"], 1, 1), board.clock()
            )
            executor.step()
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()
    state = TaskState.NOT_STARTED if suspended_s else TaskState.SUCCEEDED
    assert [result.state for result in results] == [state]
    assert executor.adapter.started == ([] if suspended_s else [0])
