"""Tests of dispatch efficiency and of the load generator, in one process.

They check only counts and ratios within one run, never absolute times.
"""

from collections import Counter

import anyio
import msgspec
import pytest

from bench.loads import make_load
from bench.measures import count_sent_messages, seconds_to_recover, wasted_messages
from bench.systems import System
from marigoldkeel.blackboard import Blackboard
from marigoldkeel.configuration import Configuration
from marigoldkeel.demo import LocalSystem
from marigoldkeel.executors import Executor
from marigoldkeel.messages import Grant, Probe, Run, TaskItem, TaskResult
from marigoldkeel.models import Member, Priority, TaskState
from marigoldkeel.queues import WorkQueue
from marigoldkeel.runners import TaskStart
from marigoldkeel.status import agent_report
from marigoldkeel.targets import TargetInfo, TargetTable


MAX_WASTED_SHARE = 0.1
TASKS_PER_JOB = 24
TASK_S = 0.02


@pytest.mark.parametrize("policy", ["late_binding", "least_loaded"])
def test_wide_jobs_waste_few_messages(policy):
    """Fails if probes and requests grow with the number of agents, not of tasks."""
    jobs = 8

    async def run() -> tuple[dict, int]:
        async with LocalSystem.open(agents=6, entries=1, policy=policy) as system:
            before = count_sent_messages(
                [agent_report(agent) for agent in system.agents]
            )
            async with system.session("brusadelli") as session:
                async with anyio.create_task_group() as group:
                    payloads = [{"work_ms": TASK_S * 1000}] * TASKS_PER_JOB
                    for _ in range(jobs):
                        group.start_soon(session.submit, "cut-list", payloads)
            starts = Counter(
                (start.submission, start.index)
                for runner in system.runners
                for start in runner.starts
            )
            assert len(starts) == jobs * TASKS_PER_JOB
            assert set(starts.values()) == {1}
            after = count_sent_messages(
                [agent_report(agent) for agent in system.agents]
            )
            return wasted_messages(before, after, jobs * TASKS_PER_JOB)

    metrics = anyio.run(run)
    assert metrics["messages"]["wasted_share"] <= MAX_WASTED_SHARE
    assert metrics["frames"]["wasted_share"] <= MAX_WASTED_SHARE


class FakePrimary:
    """Replaces the peer pool: grants the tasks of one job and records its results."""

    def __init__(self, pending: int):
        self.pending = pending
        self.granted = 0
        self.results: list[TaskResult] = []

    async def request(self, address, take, timeout_s) -> Grant:
        self.results += take.results
        count = min(take.want, self.pending - self.granted)
        tasks = [TaskItem(self.granted + n, b"0") for n in range(count)]
        self.granted += count
        return Grant(tasks=tasks, left=self.pending - self.granted)


class FakeTarget:
    """Records the tasks in order of their start; the test completes them one by one."""

    def __init__(self):
        self.kinds: list[str] = []
        self.completions = anyio.Semaphore(0)

    async def run(self, target, call) -> TaskResult:
        self.kinds.append(call.kind)
        await self.completions.acquire()
        return TaskResult(call.index, TaskState.SUCCEEDED, b"0")


async def run_executor(executor: Executor) -> None:
    """Run the executor and its tasks for enough steps to become idle."""
    for _ in range(20):
        executor._start_work()
        await anyio.lowlevel.checkpoint()


def make_executor(primary, target, group) -> Executor:
    """Return an executor with eight slots and a clock that does not advance."""
    board = Blackboard(Member("a", "a@1", "127.0.0.1:1", "Meda"), clock=lambda: 0.0)
    board.slots = 8
    targets = TargetTable()
    kinds = ["cut-list", "stock-check"]
    targets.announce(TargetInfo("r", "127.0.0.1:2", kinds, 8, 64), 0.0)
    return Executor(board, primary, WorkQueue(8, 1000), targets, target, group)


def make_probe(count: int) -> Probe:
    return Probe(0, 0, b"j" * 16, "cut-list", Priority.BATCH, 60_000, count)


def test_urgent_call_finds_a_slot_before_batch_work():
    """Fails if batch work occupies all slots, so that an urgent call has to wait."""

    async def run() -> None:
        target = FakeTarget()
        async with anyio.create_task_group() as group:
            executor = make_executor(FakePrimary(100), target, group)
            await executor.probe(make_probe(100))
            await run_executor(executor)
            assert target.kinds == ["cut-list"] * 7
            call = Run(0, 0, b"u" * 16, "stock-check", Priority.URGENT, 2000)
            call.tasks = [TaskItem(0, b"0")]
            group.start_soon(executor.run, call)
            await anyio.lowlevel.checkpoint()
            await run_executor(executor)
            assert target.kinds[7:] == ["stock-check"]
            group.cancel_scope.cancel()

    anyio.run(run)


@pytest.mark.parametrize("pending", [1, 3, 8, 40])
def test_every_granted_task_is_reported_once(pending):
    """Fails if an agent still holds results when their job has ended."""

    async def run() -> None:
        target, primary = FakeTarget(), FakePrimary(pending)
        async with anyio.create_task_group() as group:
            executor = make_executor(primary, target, group)
            await executor.probe(make_probe(pending))
            for _ in range(pending):
                await run_executor(executor)
                target.completions.release()
            # Aborts a test that would otherwise hang.
            with anyio.fail_after(30):
                while len(primary.results) < pending:
                    await run_executor(executor)
            group.cancel_scope.cancel()
        indexes = sorted(result.index for result in primary.results)
        assert indexes == list(range(pending))
        assert len(target.kinds) == pending

    anyio.run(run)


def test_tasks_granted_ahead_are_returned_when_cancelled():
    """Fails if tasks granted in advance are dropped when their job is cancelled."""

    async def run() -> None:
        target, primary = FakeTarget(), FakePrimary(100)
        async with anyio.create_task_group() as group:
            executor = make_executor(primary, target, group)
            await executor.probe(make_probe(100))
            await run_executor(executor)
            assert primary.granted > len(target.kinds)
            not_started = primary.granted - len(target.kinds)
            executor.cancel(b"j" * 16)
            await run_executor(executor)
            assert [r.state for r in primary.results] == [
                TaskState.NOT_STARTED
            ] * not_started
            assert len(target.kinds) + not_started == primary.granted
            group.cancel_scope.cancel()

    anyio.run(run)


def test_loads_are_the_same_for_every_policy():
    """Fails if a seed gives different requests, so that policies cannot be compared.

    Without long tasks, the other tasks and all arrival times stay the same.
    """
    first, second = (make_load(7, 5.0, lambda arrival_s: 0.8, 95.0) for _ in range(2))
    assert first == second
    short_only = make_load(7, 5.0, lambda arrival_s: 0.8, 95.0, with_long_tasks=False)
    assert [r.arrival_s for r in short_only] == [r.arrival_s for r in first]
    for short_request, request in zip(short_only, first, strict=True):
        assert (
            request.has_long_task
            or short_request.service_times_s == request.service_times_s
        )
    assert {kind.name for kind in {r.kind for r in first}} <= set(
        Configuration.example().kinds
    )


def test_recovery_is_not_reported_without_goodput():
    """Fails if the system counts as recovered although no request is answered."""
    requests = make_load(7, 20.0, lambda arrival_s: 0.5, 95.0)
    for request in requests:
        request.error = "" if request.arrival_s < 10 else "Refused"
    assert seconds_to_recover(requests, 8.0, 12.0, 20.0) is None


def test_repeated_read_only_calls_do_not_count_as_double_starts(tmp_path):
    starts = [
        TaskStart("a", 0, "runner", 1.0, "stock-check"),
        TaskStart("a", 0, "runner", 2.0, "stock-check"),
        TaskStart("b", 0, "runner", 1.0, "cut-list"),
        TaskStart("b", 0, "runner", 2.0, "cut-list"),
    ]
    lines = b"".join(msgspec.json.encode(start) + b"\n" for start in starts)
    (tmp_path / "runner.history").write_bytes(lines)
    assert System("late_binding", tmp_path).starts() == [("b", 0), ("b", 0)]
