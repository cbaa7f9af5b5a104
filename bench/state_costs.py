"""Measures the memory of each unit of state."""

import gc
import os
import tracemalloc
from collections import OrderedDict
from collections.abc import Callable

import anyio

from bench.scale import PAYLOAD, encode_records, make_member
from bench.slopes import benchmark, fit_line, fit_traced_bytes
from marigoldkeel.claims import ClaimRegister
from marigoldkeel.executors import ProbedJob
from marigoldkeel.heartbeats import PeerState, PeerTable
from marigoldkeel.identifiers import mint_submission_id
from marigoldkeel.jobs import Job
from marigoldkeel.messages import (
    ClaimEntry,
    Envelope,
    Inspect,
    Probe,
    TaskResult,
    Transfer,
    encode_frame,
)
from marigoldkeel.models import Priority, Submission, TaskState
from marigoldkeel.partitions import PartitionTable, decode_record
from marigoldkeel.queues import WorkItem, WorkQueue
from marigoldkeel.transports import Counters, PeerPool, serve_peers


LOOPBACK_ANY_PORT = "127.0.0.1:0"


def build_claims(count: int) -> ClaimRegister:
    register = ClaimRegister.as_primary(0, 1)
    register.open()
    for _ in range(count):
        submission_id = mint_submission_id().bytes
        now_ms = int.from_bytes(submission_id[:6], "big")
        register.propose(submission_id, os.urandom(32), 1, now_ms)
        register.confirm(submission_id, 1)
    return register


def build_table(count: int) -> PartitionTable:
    table = PartitionTable(count)
    for number, data in enumerate(encode_records(count)):
        table.apply(decode_record(data, number + 1000))
    return table


def build_peers(count: int) -> PeerTable:
    peers = PeerTable(max_peers=count)
    for number in range(count):
        kinds = [f"kind-{number}-{kind}" for kind in range(6)]
        peers.observe(PeerState(make_member(number), 0.5, 8, 1, 1, False, kinds), 1.0)
    return peers


def build_queue(count: int) -> WorkQueue:
    queue = WorkQueue(8, 10_000_000)
    for _ in range(count):
        submission_id = mint_submission_id().bytes
        probe = Probe(1, 1, submission_id, "kind-1", 1, 1000, 1, "10.0.0.1:7000")
        source = ProbedJob(probe, 10.0, 1)
        queue.push(
            WorkItem(submission_id, "kind-1", Priority.NORMAL, 10.0, 1, source=source),
            0.0,
        )
    return queue


def build_finished_jobs(tasks: int) -> Callable[[int], object]:
    def build(count: int) -> list[Job]:
        jobs = []
        for _ in range(count):
            submission = Submission(
                mint_submission_id().bytes,
                1,
                1,
                "team-1",
                "kind-1",
                Priority.NORMAL,
                10.0,
                [bytes(bytearray(PAYLOAD)) for _ in range(tasks)],
            )
            job = Job(submission, os.urandom(32), 0.0)
            for sequence in range(tasks):
                (index,) = job.take("agent-00001@1", sequence, 1)
                result = TaskResult(
                    index, TaskState.SUCCEEDED, bytes(bytearray(PAYLOAD))
                )
                # Each result is sent with the next request for a task.
                job.record([result], "agent-00001@1", 1.0, sequence + 1)
            jobs.append(job)
        return jobs

    return build


def build_started_tasks(count: int) -> OrderedDict:
    return OrderedDict(
        ((mint_submission_id().bytes, index % 150), float(index))
        for index in range(count)
    )


@benchmark
async def state() -> dict:
    """Memory of each unit of state, measured with tracemalloc."""
    return {
        "claim": fit_traced_bytes(build_claims, (1000, 4000, 16_000)),
        "partition_record": fit_traced_bytes(build_table, (512, 2048, 8192)),
        "peer": fit_traced_bytes(build_peers, (16, 32, 64)),
        "queued_item": fit_traced_bytes(build_queue, (1000, 4000, 16_000)),
        "answer_1_task": fit_traced_bytes(build_finished_jobs(1), (100, 400, 1600)),
        "answer_20_tasks": fit_traced_bytes(build_finished_jobs(20), (100, 400, 1600)),
        "answer_150_tasks": fit_traced_bytes(build_finished_jobs(150), (50, 100, 200)),
        "started_task": fit_traced_bytes(
            build_started_tasks, (10_000, 30_000, 100_000)
        ),
        "record_stored_bytes": len(encode_records(1)[0]),
        "transferred_claim": transferred_bytes((1000, 2000, 4000)),
        "connection": await connection_bytes(),
    }


def transferred_bytes(sizes) -> dict:
    """Return the encoded size of a transfer by its number of claims."""
    values = []
    for size in sizes:
        claims = [
            ClaimEntry(mint_submission_id().bytes, os.urandom(32), 2)
            for _ in range(size)
        ]
        transfer = Transfer("1", 0, 1, "agent-00001@1", 0, 0, claims, True)
        values.append(len(encode_frame([Envelope(1, False, transfer)])))
    return fit_line(sizes, values)


async def connection_bytes() -> dict:
    """Return the memory of a peer connection, both endpoints together."""
    sizes, values = (16, 32, 64), []
    for size in sizes:
        async with anyio.create_task_group() as group:
            address = await group.start(
                serve_peers, LOOPBACK_ANY_PORT, echo, Counters()
            )
            async with anyio.create_task_group() as pool_group:
                pool = PeerPool(pool_group)
                await (await pool.connect(address)).request(Inspect(), 1)
                gc.collect()
                tracemalloc.start()
                pools = [PeerPool(pool_group) for _ in range(size)]
                for pool in pools:
                    await pool.request(address, Inspect(), 1)
                gc.collect()
                values.append(tracemalloc.get_traced_memory()[0])
                tracemalloc.stop()
                pool_group.cancel_scope.cancel()
            group.cancel_scope.cancel()
    return fit_line(sizes, values)


async def echo(content, peer: str):
    return content
