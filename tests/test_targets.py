"""Tests of the reported task states, connection reuse and target announcements."""

import uuid
from contextlib import asynccontextmanager

import anyio
import httpcore
import msgspec
import pytest

from marigoldkeel.models import TaskState
from marigoldkeel.runners import Faults, RunnerStandin
from marigoldkeel.servers import HttpApplication, Response, serve_http
from marigoldkeel.targets import (
    RENEWAL_TIMEOUT_S,
    HttpAdapter,
    TargetInfo,
    TargetTable,
    TaskCall,
    target_routes,
)


SUBMISSION = uuid.UUID("01890000-0000-7000-8000-000000000001")


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def adapter():
    adapter = HttpAdapter()
    yield adapter
    await adapter.aclose()


def call(index=0, work_ms=0, timeout_s=30.0):
    payload = msgspec.json.encode({"work_ms": work_ms, "n": index})
    return TaskCall(SUBMISSION.bytes, index, "quote", payload, timeout_s)


@asynccontextmanager
async def serving(runner, agent=None):
    async with anyio.create_task_group() as group:
        address = await group.start(runner.serve, agent)
        yield TargetInfo(runner.name, address, ["quote"], 8, 8)
        group.cancel_scope.cancel()


def test_only_renewed_targets_with_free_slots_get_new_tasks():
    table = TargetTable()
    table.announce(TargetInfo("a", "127.0.0.1:1", ["q"], 3, 2), 10.0)
    table.announce(TargetInfo("b", "127.0.0.1:2", ["r"], 1, 9), 10.0)
    assert [table.acquire("q", 10.0) for _ in range(3)] == ["a", "a", None]
    table.withdraw("a")
    table.announce(TargetInfo("a", "127.0.0.1:3", ["q"], 3, 2), 11.0)
    assert table.acquire("q", 11.0) is None
    table.release("a")
    assert table.acquire("q", 11.0, prefer=lambda info: None) is None
    assert table.available("q", 11.0 + RENEWAL_TIMEOUT_S - 0.01)
    assert not table.available("q", 11.0 + RENEWAL_TIMEOUT_S)
    table.announce(TargetInfo("a", "127.0.0.1:3", ["q"], 3, 2, True), 12.0)
    assert table.acquire("q", 12.0) is None


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("faults", "timeout_s", "state", "text", "starts", "kept"),
    [
        ({}, 30, TaskState.SUCCEEDED, "", 1, 1),
        ({"fail_all": True}, 30, TaskState.FAILED, "fail_all", 1, 1),
        (
            {"wrong_echo": True},
            30,
            TaskState.MAY_HAVE_RUN,
            "not for this request",
            1,
            0,
        ),
        ({"truncate": True}, 30, TaskState.MAY_HAVE_RUN, "failed", 1, 0),
        ({"hang_after_start": True}, 0.3, TaskState.MAY_HAVE_RUN, "deadline", 1, 0),
        ({}, 0, TaskState.NOT_STARTED, "deadline", 0, 0),
    ],
)
async def test_result_and_connection_for_each_fault(
    adapter, faults, timeout_s, state, text, starts, kept
):
    runner = RunnerStandin("r", kinds=["quote"])
    async with serving(runner) as info:
        runner.faults = Faults(**faults)
        result = await adapter.run(info, call(7, timeout_s=timeout_s))
        assert (result.index, result.state) == (7, state)
        assert text in result.message
        assert [(start.submission, start.index) for start in runner.starts] == [
            (str(SUBMISSION), 7)
        ] * starts
        # A connection is kept for reuse only after a complete exchange.
        assert len(adapter.pool.connections) == kept
        runner.faults = Faults()
        result = await adapter.run(info, call(8))
        assert msgspec.json.decode(result.payload)["value"]["n"] == 8


ECHO = {"Marigoldkeel-Submission": str(SUBMISSION), "Marigoldkeel-Task": "0"}
NOT_RUN = {"Marigoldkeel-Not-Run": "1"}


async def two_chunks():
    yield b"1"
    yield b"2"


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("response", "state"),
    [
        (Response(200, b"1", ECHO), TaskState.SUCCEEDED),
        (Response(200, b"1"), TaskState.MAY_HAVE_RUN),
        (Response(200, b"", ECHO, two_chunks()), TaskState.MAY_HAVE_RUN),
        (Response(503, b"", ECHO | NOT_RUN), TaskState.NOT_STARTED),
        (Response(503, b"", NOT_RUN), TaskState.MAY_HAVE_RUN),
        (Response(503, b"", ECHO), TaskState.FAILED),
        (Response(404), TaskState.FAILED),
        (Response(404, b"", ECHO | {"Marigoldkeel-Task": "1"}), TaskState.MAY_HAVE_RUN),
    ],
)
async def test_reply_counts_only_if_it_belongs_to_the_task(adapter, response, state):
    """If the refusal of another task were accepted, this task would start twice."""
    application = HttpApplication()

    @application.route("POST", "/v1/tasks/quote")
    async def answer(request):
        return response

    async with anyio.create_task_group() as group:
        address = await group.start(serve_http, application, "127.0.0.1", 0)
        result = await adapter.run(TargetInfo("t", address), call())
        kept = state != TaskState.MAY_HAVE_RUN
        assert (result.state, len(adapter.pool.connections)) == (state, kept)
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_full_or_unreachable_target_reports_not_started(adapter):
    runner = RunnerStandin("r", kinds=["quote"], slots=0)
    async with serving(runner) as info:
        refused = await adapter.run(info, call())
    assert (refused.state, runner.starts) == (TaskState.NOT_STARTED, [])
    unreachable = TargetInfo("unreachable", "127.0.0.1:9", ["quote"])
    result = await adapter.run(unreachable, call())
    assert result.state == TaskState.NOT_STARTED


@pytest.mark.anyio
async def test_connection_of_cancelled_exchange_is_not_reused(adapter):
    """Otherwise, its late reply would be read as the reply to the next task."""
    runner = RunnerStandin("r", kinds=["quote"])
    async with serving(runner) as info:
        async with anyio.create_task_group() as group:
            for index in range(5):
                group.start_soon(adapter.run, info, call(index, work_ms=50))
            await runner.wait_until(lambda: len(runner.starts) == 5)
            group.cancel_scope.cancel()
        assert adapter.pool.connections == []
        result = await adapter.run(info, call(9))
        assert msgspec.json.decode(result.payload)["value"]["n"] == 9


@pytest.mark.anyio
async def test_stopping_runner_announces_leaving_and_finishes_its_tasks(
    adapter, tmp_path
):
    table = TargetTable()
    results = []
    runner = RunnerStandin("r", kinds=["quote"], history_path=tmp_path / "r.jsonl")

    async def run(info):
        results.append(await adapter.run(info, call(3, work_ms=300)))

    async with anyio.create_task_group() as group:
        agent = await group.start(
            serve_http, target_routes(table, anyio.current_time), "127.0.0.1", 0
        )
        await group.start(runner.serve, agent)
        assert [info.name for info in table.available("quote", anyio.current_time())]
        group.start_soon(run, table.targets["r"])
        await runner.wait_until(lambda: runner.starts)
        await runner.stop()
        assert table.targets["r"].leaving
        assert not table.available("quote", anyio.current_time())
        group.cancel_scope.cancel()
    assert [result.state for result in results] == [TaskState.SUCCEEDED]
    assert b'"index":3' in (tmp_path / "r.jsonl").read_bytes()


@pytest.mark.anyio
async def test_bad_announcement_is_refused_naming_the_field():
    good = {"name": "r", "address": "127.0.0.1:1", "kinds": ["q"], "slots": 1}
    good["connections"] = 1
    bad = {"name": "a b", "address": "host:1", "kinds": ["/"], "slots": 0, "zone": 1}
    table = TargetTable()
    async with anyio.create_task_group() as group:
        agent = await group.start(serve_http, target_routes(table), "127.0.0.1", 0)
        url = f"http://{agent}/v1/targets"
        async with httpcore.AsyncConnectionPool() as pool:
            for name, value in bad.items():
                content = msgspec.json.encode({**good, name: value})
                response = await pool.request("POST", url, content=content)
                assert response.status == 400
                assert name in msgspec.json.decode(response.content)["error"]
            assert table.targets == {}
            content = msgspec.json.encode(good)
            assert (await pool.request("POST", url, content=content)).status == 200
            assert list(table.targets) == ["r"]
            assert (await pool.request("DELETE", f"{url}/r")).status == 200
            assert table.targets == {}
        group.cancel_scope.cancel()
