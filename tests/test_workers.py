"""Tests that a task under a lease starts once and its state is reported correctly."""

import uuid
from contextlib import asynccontextmanager

import anyio
import httpcore
import msgspec
import pytest

from marigoldkeel.demo import LocalSystem
from marigoldkeel.models import TaskState
from marigoldkeel.servers import serve_http
from marigoldkeel.targets import (
    RegisteredAdapters,
    TargetInfo,
    TargetTable,
    TaskCall,
    target_routes,
)
from marigoldkeel.worker_standin import WorkerFaults, WorkerStandin
from marigoldkeel.workers import WorkerAdapter, lease_id_of


pytestmark = pytest.mark.anyio
SUBMISSION = uuid.UUID("01890000-0000-7000-8000-000000000001")


def call(index=0, work_ms=0, timeout_s=30.0):
    payload = msgspec.json.encode({"work_ms": work_ms, "n": index})
    return TaskCall(SUBMISSION.bytes, index, "quote", payload, timeout_s)


@asynccontextmanager
async def serving(ttl_s=3.0, **options):
    worker = WorkerStandin("w", kinds=["quote"], **options)
    adapter = WorkerAdapter(ttl_s)
    async with anyio.create_task_group() as group:
        address = await group.start(worker.serve)
        yield worker, adapter, TargetInfo("w", address, ["quote"], 8, 8)
        await adapter.aclose()
        group.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("faults", "options", "state", "text", "starts", "ends"),
    [
        ({}, {}, TaskState.SUCCEEDED, "", 1, "succeeded"),
        ({"fail_all": True}, {}, TaskState.FAILED, "task failed", 1, "failed"),
        ({"truncate": True}, {}, TaskState.MAY_HAVE_RUN, "no answer", 1, "stopped"),
        (
            {"refuse_control": True, "hang_after_start": True},
            {},
            TaskState.MAY_HAVE_RUN,
            "lapsed",
            1,
            "lapsed",
        ),
        (
            {"hang_after_start": True},
            {"timeout_s": 0.5},
            TaskState.MAY_HAVE_RUN,
            "deadline",
            1,
            "stopped",
        ),
        ({"wrong_echo": True}, {"timeout_s": 0.5}, TaskState.MAY_HAVE_RUN, "", 1, ""),
        ({}, {"timeout_s": 0}, TaskState.NOT_STARTED, "deadline", 0, ""),
    ],
)
async def test_result_and_lease_state_for_each_fault(
    faults, options, state, text, starts, ends
):
    async with serving(ttl_s=0.3) as (worker, adapter, info):
        worker.faults = WorkerFaults(**faults)
        result = await adapter.run(info, call(7, work_ms=50, **options))
        assert (result.index, result.state) == (7, state), result.message
        assert text in result.message
        for lease in worker.leases.values():
            await lease.ended.wait()
            assert lease.state == (ends or lease.state)
        worker.faults = WorkerFaults()
        # A repeated request for the same task must not start it again.
        await adapter.run(info, call(7))
        assert len(worker.starts) == max(1, starts)
        result = await adapter.run(info, call(8))
        assert msgspec.json.decode(result.payload)["value"]["n"] == 8


async def test_lease_is_renewed_for_as_long_as_the_task_runs():
    async with serving(ttl_s=0.2) as (worker, adapter, info):
        result = await adapter.run(info, call(work_ms=900))
        assert result.state == TaskState.SUCCEEDED


async def test_full_lost_and_unreachable_workers_give_correct_states():
    async with serving(ttl_s=0.3, slots=1) as (worker, adapter, info):
        results = []

        async def run():
            results.append(await adapter.run(info, call(1, work_ms=60_000)))

        async with anyio.create_task_group() as group:
            group.start_soon(run)
            await worker.wait_until(lambda: worker.busy_slots)
            full = await adapter.run(info, call(2))
            worker.group.cancel_scope.cancel()
        unreachable = await adapter.run(TargetInfo("a", "127.0.0.1:9"), call(3))
        states = [result.state for result in (full, *results, unreachable)]
        assert states == [
            TaskState.NOT_STARTED,
            TaskState.MAY_HAVE_RUN,
            TaskState.NOT_STARTED,
        ]
        assert len(worker.starts) == 1


async def test_running_task_is_throttled_checkpointed_resumed_and_stopped():
    async with serving(usage_lag_s=0.2) as (worker, adapter, info):
        results = []
        task = call(1, work_ms=60_000)

        async def run():
            results.append(await adapter.run(info, task))

        async with anyio.create_task_group() as group:
            group.start_soon(run)
            await worker.wait_until(lambda: worker.busy_slots)
            lease = worker.leases[lease_id_of(SUBMISSION.bytes, 1)]
            assert (await adapter.usage(info)).running == 0
            await anyio.sleep(0.3)
            assert (await adapter.usage(info)).running == 1
            assert await adapter.throttle(info, task)
            assert lease.speed < 1
            assert await adapter.checkpoint(info, task)
            assert worker.busy_slots == 0
            assert await adapter.resume(info, task)
            assert worker.busy_slots == 1
            assert await adapter.stop(info, task)
        assert results[0].state == TaskState.MAY_HAVE_RUN
        assert not await adapter.checkpoint(info, call(2))


async def test_announced_protocol_chooses_the_adapter():
    """With the adapter for runners, every task on a worker would fail."""
    table = TargetTable()
    body = {"address": "127.0.0.1:1", "kinds": ["q"], "slots": 1, "connections": 1}
    async with anyio.create_task_group() as group:
        agent = await group.start(serve_http, target_routes(table), "127.0.0.1", 0)
        async with httpcore.AsyncConnectionPool() as pool:
            for protocol, status in (("worker", 200), ("http", 200), ("smtp", 400)):
                content = msgspec.json.encode(
                    {**body, "name": protocol, "protocol": protocol}
                )
                url = f"http://{agent}/v1/targets"
                response = await pool.request("POST", url, content=content)
                assert response.status == status
        group.cancel_scope.cancel()
    adapters = RegisteredAdapters()
    types = [
        type(adapters.adapter_for(info)).__name__ for info in table.targets.values()
    ]
    assert types == ["WorkerAdapter", "HttpAdapter"]


async def test_job_runs_on_runners_and_workers():
    async with LocalSystem.open(agents=3, entries=1, partitions=4) as system:
        worker = WorkerStandin("worker", kinds=["cut-list"])
        await system.group.start(worker.serve, system.agents[0].http_address)
        await system.runners[0].stop()
        while any(len(a.board.candidates("cut-list")) < 3 for a in system.agents):
            await anyio.sleep(0.05)
        async with system.session("brusadelli") as session:
            result = await session.submit("cut-list", [{"work_ms": 50}] * 60)
        assert len(result.results) == 60
        assert worker.starts
