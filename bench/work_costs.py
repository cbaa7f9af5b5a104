"""Measures the work of jobs at each daemon: forwarding, claims, placement, tasks."""

import os
from contextlib import asynccontextmanager

import anyio
import httpcore
import msgspec

from bench.daemons import (
    REQUEST_TIMEOUT_S,
    Setting,
    announce,
    cost_of,
    daemon_under_test,
    store_record,
)
from bench.scale import PAYLOAD, member
from bench.slopes import part
from marigoldkeel.claims import Verdict
from marigoldkeel.identifiers import mint_submission_id, partition_of
from marigoldkeel.messages import (
    Claim,
    Claimed,
    Grant,
    Probe,
    Ran,
    Run,
    Submit,
    Take,
    TaskItem,
    TaskResult,
    Transfer,
    Transferred,
)
from marigoldkeel.models import Answer, Outcome, PartitionRecord, TaskState
from marigoldkeel.partitions import encode_record
from marigoldkeel.servers import HttpApplication, Response, serve_http
from marigoldkeel.targets import SUBMISSION_HEADER, TASK_HEADER


JOB_WIDTHS = (1, 20, 150)


def results_body(count: int) -> bytes:
    return b"[" + b",".join([PAYLOAD] * count) + b"]"


@part
async def submissions_at_entry() -> dict:
    """Cost of forwarding jobs of some widths, HTTP included."""
    async with daemon_under_test("entry") as setting:
        peer = setting.peer
        peer.slots, peer.kinds = 10_000, ["kind-1"]
        peer.handlers[Submit] = lambda message: Answer(
            Outcome.COMPLETE, results_body(message.tasks), run_ms=1
        )
        for partition in range(16):
            record = PartitionRecord(partition, 1, peer.member, member(1))
            await store_record(setting, record)
        setting.group.start_soon(announce, setting)
        await anyio.sleep(2)
        costs = {}
        async with httpcore.AsyncConnectionPool() as http:
            for width in JOB_WIDTHS:

                async def post(width=width) -> None:
                    response = await http.request(
                        "POST",
                        f"http://{setting.daemon.http}/v1/jobs",
                        headers={
                            "Marigoldkeel-Submission": str(mint_submission_id()),
                            "Marigoldkeel-Team": "team-1",
                            "Marigoldkeel-Kind": "kind-1",
                            "Marigoldkeel-Tasks": str(width),
                        },
                        content=results_body(width),
                    )
                    if response.status != 200:
                        raise RuntimeError(response.content.decode())

                costs[str(width)] = await cost_of(setting, (200, 400, 800), post)
        return costs


def id_in(partition: int, count: int = 16) -> bytes:
    """Return a fresh id that falls on a partition."""
    while True:
        submission_id = mint_submission_id().bytes
        if partition_of(submission_id, count) == partition:
            return submission_id


@part
async def claims_at_standby() -> dict:
    """Cost of a claim; ``own_cpu_s`` is the sender's."""
    async with daemon_under_test("agent") as setting:
        own = setting.peer.heard["under-test"]
        record = PartitionRecord(0, 1, setting.peer.member, own)
        transfer = Transfer(
            "1", 0, 1, own.incarnation, 0, 0, [], True, encode_record(record)
        )
        await store_record(setting, record)
        reply = await setting.peer.pool.request(
            setting.daemon.address, transfer, REQUEST_TIMEOUT_S
        )
        if not reply.accepted:
            raise RuntimeError("the transfer was not accepted")

        async def claim() -> None:
            message = Claim(0, 1, mint_submission_id().bytes, os.urandom(32))
            reply = await setting.peer.pool.request(
                setting.daemon.address, message, REQUEST_TIMEOUT_S
            )
            if reply.verdict != Verdict.ACCEPTED:
                raise RuntimeError(f"claim refused: {reply.verdict}")

        return await cost_of(setting, (500, 1000, 2000), claim)


@part
async def jobs_at_primary() -> dict:
    """Cost of a job at its primary; this process is standby and agent."""
    async with daemon_under_test("agent") as setting:
        peer, pool = setting.peer, setting.peer.pool
        peer.slots, peer.kinds = 10_000, ["kind-1"]
        peer.handlers[Transfer] = lambda message: Transferred(True, 1)
        peer.handlers[Claim] = lambda message: Claimed(Verdict.ACCEPTED, 1)
        peer.handlers[Run] = lambda message: Ran(
            [TaskResult(t.index, TaskState.SUCCEEDED, PAYLOAD) for t in message.tasks]
        )
        sequence = iter(range(10**9))

        async def take(probe: Probe) -> None:
            """Ask for one task at a time, as a slot does."""
            results: list[TaskResult] = []
            while True:
                message = Take(
                    probe.submission_id,
                    peer.member.incarnation,
                    next(sequence),
                    1,
                    results,
                )
                grant = await pool.request(
                    setting.daemon.address, message, REQUEST_TIMEOUT_S
                )
                if not grant.tasks:
                    return
                results = [
                    TaskResult(task.index, TaskState.SUCCEEDED, PAYLOAD)
                    for task in grant.tasks
                ]

        peer.handlers[Probe] = lambda message: setting.group.start_soon(take, message)
        own = peer.heard["under-test"]
        await store_record(setting, PartitionRecord(0, 1, own, peer.member))
        setting.group.start_soon(announce, setting)
        await anyio.sleep(3)
        costs = {}
        for width in JOB_WIDTHS:

            async def submit(width=width) -> None:
                message = Submit(
                    0,
                    1,
                    id_in(0),
                    "team-1",
                    "kind-1",
                    1,
                    10_000,
                    0,
                    width,
                    results_body(width),
                )
                reply = await pool.request(
                    setting.daemon.address, message, REQUEST_TIMEOUT_S
                )
                if reply.outcome != "complete":
                    raise RuntimeError(f"{reply.outcome}: {reply.message}")

            sizes = (100, 200, 400) if width < 100 else (20, 40, 80)
            costs[str(width)] = await cost_of(setting, sizes, submit)
        return costs


@asynccontextmanager
async def target_of(setting: Setting):
    """Serve a target that answers at once and announce it to the daemon."""
    application = HttpApplication()

    @application.route("POST", "/v1/tasks/{kind}")
    async def run(request):
        headers = {
            name: request.headers[name.lower()]
            for name in (SUBMISSION_HEADER, TASK_HEADER)
        }
        return Response(200, PAYLOAD, headers)

    address = await setting.group.start(serve_http, application, "127.0.0.1", 0)
    body = {
        "name": "target",
        "address": address,
        "kinds": ["kind-1"],
        "slots": 8,
        "connections": 64,
    }

    async def renew() -> None:
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await pool.request(
                    "POST",
                    f"http://{setting.daemon.http}/v1/targets",
                    content=msgspec.json.encode(body),
                )
                await anyio.sleep(1)

    setting.group.start_soon(renew)
    await anyio.sleep(1)
    yield


@part
async def tasks_at_agent() -> dict:
    """Cost of a task at the agent beside the target, HTTP exchange included."""
    async with daemon_under_test("agent") as setting, target_of(setting):
        pool = setting.peer.pool
        waiting: dict[bytes, anyio.Event] = {}
        left: dict[bytes, int] = {}
        pending: dict[bytes, int] = {}

        def grant(message: Take) -> Grant:
            key = message.submission_id
            pending[key] -= len(message.results)
            if pending[key] == 0:
                waiting[key].set()
            count = min(message.want, left[key])
            first = left[key]
            left[key] -= count
            tasks = [TaskItem(first - number, PAYLOAD) for number in range(count)]
            return Grant(0, 1, tasks, left[key])

        setting.peer.handlers[Take] = grant

        async def push() -> None:
            message = Run(
                0, 0, mint_submission_id().bytes, "kind-1", 1, 10_000,
                [TaskItem(0, PAYLOAD)],
            )  # fmt: skip
            reply = await pool.request(
                setting.daemon.address, message, REQUEST_TIMEOUT_S
            )
            if reply.results[0].state != TaskState.SUCCEEDED:
                raise RuntimeError(reply.results[0].message)

        async def probe(count: int = 20) -> None:
            key = mint_submission_id().bytes
            waiting[key], left[key], pending[key] = anyio.Event(), count, count
            message = Probe(
                0, 1, key, "kind-1", 1, 30_000, count, setting.peer.member.address
            )
            await pool.send(setting.daemon.address, message)
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                await waiting[key].wait()

        return {
            "pushed": await cost_of(setting, (200, 400, 800), push),
            "probed_20_tasks": await cost_of(setting, (20, 40, 80), probe),
        }
