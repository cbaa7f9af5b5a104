"""Measures the cost of jobs at each daemon: forwarding, claims, dispatch, tasks."""

import os
from contextlib import asynccontextmanager

import anyio
import httpcore
import msgspec

from bench.daemons import (
    REQUEST_TIMEOUT_S,
    Testbed,
    daemon_under_test,
    measure_cost,
    send_heartbeats,
    store_record,
)
from bench.scale import PAYLOAD, make_member
from bench.slopes import benchmark
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


TASKS_PER_JOB = (1, 20, 150)


def payload_array(count: int) -> bytes:
    return b"[" + b",".join([PAYLOAD] * count) + b"]"


@benchmark
async def submissions_at_entry() -> dict:
    """Cost of forwarding a job by its number of tasks, including HTTP."""
    async with daemon_under_test("entry") as testbed:
        peer = testbed.peer
        peer.slots, peer.kinds = 10_000, ["kind-1"]
        peer.handlers[Submit] = lambda message: Answer(
            Outcome.COMPLETE, payload_array(message.tasks), run_ms=1
        )
        for partition in range(16):
            record = PartitionRecord(partition, 1, peer.member, make_member(1))
            await store_record(testbed, record)
        testbed.group.start_soon(send_heartbeats, testbed)
        await anyio.sleep(2)
        costs = {}
        async with httpcore.AsyncConnectionPool() as http_client:
            for task_count in TASKS_PER_JOB:

                async def post(task_count=task_count) -> None:
                    response = await http_client.request(
                        "POST",
                        f"http://{testbed.daemon.http_address}/v1/jobs",
                        headers={
                            "Marigoldkeel-Submission": str(mint_submission_id()),
                            "Marigoldkeel-Team": "team-1",
                            "Marigoldkeel-Kind": "kind-1",
                            "Marigoldkeel-Tasks": str(task_count),
                        },
                        content=payload_array(task_count),
                    )
                    if response.status != 200:
                        raise RuntimeError(response.content.decode())

                costs[str(task_count)] = await measure_cost(
                    testbed, (200, 400, 800), post
                )
        return costs


def mint_id_in_partition(partition: int, count: int = 16) -> bytes:
    """Return a new submission id that belongs to the given partition."""
    while True:
        submission_id = mint_submission_id().bytes
        if partition_of(submission_id, count) == partition:
            return submission_id


@benchmark
async def claims_at_standby() -> dict:
    """Cost of a claim; ``own_cpu_s`` is the CPU time of the sender."""
    async with daemon_under_test("agent") as testbed:
        daemon_member = testbed.peer.known_members["under-test"]
        record = PartitionRecord(0, 1, testbed.peer.member, daemon_member)
        transfer = Transfer(
            "1", 0, 1, daemon_member.incarnation, 0, 0, [], True, encode_record(record)
        )
        await store_record(testbed, record)
        reply = await testbed.peer.pool.request(
            testbed.daemon.address, transfer, REQUEST_TIMEOUT_S
        )
        if not reply.accepted:
            raise RuntimeError("the daemon under test rejected the partition transfer")

        async def claim() -> None:
            message = Claim(0, 1, mint_submission_id().bytes, os.urandom(32))
            reply = await testbed.peer.pool.request(
                testbed.daemon.address, message, REQUEST_TIMEOUT_S
            )
            if reply.verdict != Verdict.ACCEPTED:
                raise RuntimeError(f"claim not accepted: verdict {reply.verdict}")

        return await measure_cost(testbed, (500, 1000, 2000), claim)


@benchmark
async def jobs_at_primary() -> dict:
    """Cost of a job at its primary; this process acts as standby and as agent."""
    async with daemon_under_test("agent") as testbed:
        peer, pool = testbed.peer, testbed.peer.pool
        peer.slots, peer.kinds = 10_000, ["kind-1"]
        peer.handlers[Transfer] = lambda message: Transferred(True, 1)
        peer.handlers[Claim] = lambda message: Claimed(Verdict.ACCEPTED, 1)
        peer.handlers[Run] = lambda message: Ran(
            [TaskResult(t.index, TaskState.SUCCEEDED, PAYLOAD) for t in message.tasks]
        )
        sequence = iter(range(10**9))

        async def take_tasks(probe: Probe) -> None:
            """Request one task at a time, as a slot does, until none is left."""
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
                    testbed.daemon.address, message, REQUEST_TIMEOUT_S
                )
                if not grant.tasks:
                    return
                results = [
                    TaskResult(task.index, TaskState.SUCCEEDED, PAYLOAD)
                    for task in grant.tasks
                ]

        peer.handlers[Probe] = lambda message: testbed.group.start_soon(
            take_tasks, message
        )
        daemon_member = peer.known_members["under-test"]
        await store_record(testbed, PartitionRecord(0, 1, daemon_member, peer.member))
        testbed.group.start_soon(send_heartbeats, testbed)
        await anyio.sleep(3)
        costs = {}
        for task_count in TASKS_PER_JOB:

            async def submit(task_count=task_count) -> None:
                message = Submit(
                    0,
                    1,
                    mint_id_in_partition(0),
                    "team-1",
                    "kind-1",
                    1,
                    10_000,
                    0,
                    task_count,
                    payload_array(task_count),
                )
                reply = await pool.request(
                    testbed.daemon.address, message, REQUEST_TIMEOUT_S
                )
                if reply.outcome != "complete":
                    raise RuntimeError(
                        f"job failed with outcome {reply.outcome}: {reply.message}"
                    )

            sizes = (100, 200, 400) if task_count < 100 else (20, 40, 80)
            costs[str(task_count)] = await measure_cost(testbed, sizes, submit)
        return costs


@asynccontextmanager
async def serve_target(testbed: Testbed):
    """Serve a target that responds immediately and register it with the daemon."""
    application = HttpApplication()

    @application.route("POST", "/v1/tasks/{kind}")
    async def run(request):
        headers = {
            name: request.headers[name.lower()]
            for name in (SUBMISSION_HEADER, TASK_HEADER)
        }
        return Response(200, PAYLOAD, headers)

    address = await testbed.group.start(serve_http, application, "127.0.0.1", 0)
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
                    f"http://{testbed.daemon.http_address}/v1/targets",
                    content=msgspec.json.encode(body),
                )
                await anyio.sleep(1)

    testbed.group.start_soon(renew)
    await anyio.sleep(1)
    yield


@benchmark
async def tasks_at_agent() -> dict:
    """Cost of a task at its agent, including the HTTP call to the target."""
    async with daemon_under_test("agent") as testbed, serve_target(testbed):
        pool = testbed.peer.pool
        finished: dict[bytes, anyio.Event] = {}
        ungranted: dict[bytes, int] = {}
        unreported: dict[bytes, int] = {}

        def grant_tasks(message: Take) -> Grant:
            key = message.submission_id
            unreported[key] -= len(message.results)
            if unreported[key] == 0:
                finished[key].set()
            count = min(message.want, ungranted[key])
            first = ungranted[key]
            ungranted[key] -= count
            tasks = [TaskItem(first - number, PAYLOAD) for number in range(count)]
            return Grant(0, 1, tasks, ungranted[key])

        testbed.peer.handlers[Take] = grant_tasks

        async def push_task() -> None:
            message = Run(
                0, 0, mint_submission_id().bytes, "kind-1", 1, 10_000,
                [TaskItem(0, PAYLOAD)],
            )  # fmt: skip
            reply = await pool.request(
                testbed.daemon.address, message, REQUEST_TIMEOUT_S
            )
            if reply.results[0].state != TaskState.SUCCEEDED:
                raise RuntimeError(reply.results[0].message)

        async def probe_job(count: int = 20) -> None:
            key = mint_submission_id().bytes
            finished[key], ungranted[key], unreported[key] = anyio.Event(), count, count
            message = Probe(
                0, 1, key, "kind-1", 1, 30_000, count, testbed.peer.member.address
            )
            await pool.send(testbed.daemon.address, message)
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                await finished[key].wait()

        return {
            "pushed": await measure_cost(testbed, (200, 400, 800), push_task),
            "probed_20_tasks": await measure_cost(testbed, (20, 40, 80), probe_job),
        }
