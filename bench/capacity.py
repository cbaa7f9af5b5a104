"""Measures what one unit of state or work costs, as input to docs/CAPACITY.md.

Usage: python -m bench.capacity [PART ...]; writes bench/results/capacity.json.
The parts are the functions registered by `part`. With MARIGOLDKEEL_ZIPAPP set to
the path of the zipapp, daemons are started from it; without the test
dependencies, they need less memory.

Each slope is a least-squares fit over at least three sizes. Work is measured as
processor time of the process concerned, because other programs on the machine
change wall time: a daemon under test runs as a process of its own and reports
its processor time and bytes at ``GET /metrics``, while this process plays its
peers, its target and its callers.
"""

import gc
import json
import os
import random
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpcore
import msgspec

from marigoldkeel.admissions import Admissions
from marigoldkeel.audit import ConfigurationStore, VersionedConfiguration
from marigoldkeel.blackboard import Blackboard
from marigoldkeel.claims import ClaimRegister, Verdict
from marigoldkeel.configuration import Configuration, KindPolicy, TeamPolicy
from marigoldkeel.executors import ProbedJob
from marigoldkeel.followers import WATCHING_AGENTS, is_watching_agent
from marigoldkeel.heartbeats import MAX_PEERS, PeerState, PeerTable, next_interval_s
from marigoldkeel.identifiers import mint_incarnation, mint_submission_id, partition_of
from marigoldkeel.jobs import Job
from marigoldkeel.messages import (
    AnswerMessage,
    Claim,
    Claimed,
    ClaimEntry,
    Envelope,
    Grant,
    Heartbeat,
    HeartbeatReply,
    Inspect,
    Probe,
    Pull,
    Pulled,
    Ran,
    Run,
    Submit,
    Take,
    TaskItem,
    TaskResult,
    Transfer,
    Transferred,
    encode_frame,
)
from marigoldkeel.models import (
    Member,
    PartitionRecord,
    Priority,
    Submission,
    TaskState,
)
from marigoldkeel.partitions import (
    PARTITION_COUNT_KEY,
    PARTITION_PREFIX,
    PartitionTable,
    decode_record,
    encode_record,
    partition_key,
)
from marigoldkeel.queues import WorkItem, WorkQueue
from marigoldkeel.servers import HttpApplication, Response, serve_http
from marigoldkeel.stores import Write, open_store
from marigoldkeel.targets import SUBMISSION_HEADER, TASK_HEADER
from marigoldkeel.transports import Counters, PeerPool, serve_peers


RESULTS = Path("bench/results/capacity.json")
LOOPBACK = "127.0.0.1:0"
DESIGN_AGENTS = 3900
DESIGN_PARTITIONS = 8192
DESIGN_TEAMS = 51
# Enough for 280,000 task starts/s in jobs of 20 tasks; see docs/CAPACITY.md.
DESIGN_ENTRIES = 26
KINDS = 20
PAYLOAD = (
    b'{"sku":123456,"width_mm":1200,"depth_mm":600,"finish":"oak","shop":"Lissone"}'
)
CONCURRENCY = 8
REQUEST_TIMEOUT_S = 30.0
IDLE_S = 5.0
JOB_WIDTHS = (1, 20, 150)

parts: dict[str, Callable[[], Awaitable[dict]]] = {}


def part(function):
    """Register one part of the measurement."""
    parts[function.__name__] = function
    return function


def fit(sizes, values) -> dict:
    """Return the slope and intercept of a least-squares line, with its points."""
    count = len(sizes)
    mean_x, mean_y = sum(sizes) / count, sum(values) / count
    spread = sum((x - mean_x) ** 2 for x in sizes)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True))
        / spread
    )
    return {
        "slope": slope,
        "intercept": mean_y - slope * mean_x,
        "sizes": list(sizes),
        "values": list(values),
    }


def member(number: int, address: str = "") -> Member:
    """Return a member with names and addresses of realistic length."""
    name = f"agent-{number:05d}"
    return Member(
        name,
        mint_incarnation(name),
        address or f"10.{number % 200}.{number // 200 % 200}.17:7000",
        f"domain-{number % 5}",
    )


def design_configuration() -> Configuration:
    """Return a configuration of the design scale without quotas that bind."""
    configuration = Configuration(
        kinds={f"kind-{number}": KindPolicy() for number in range(KINDS)},
        teams={
            f"team-{number}": TeamPolicy(1_000_000, 10_000_000)
            for number in range(DESIGN_TEAMS)
        },
    )
    configuration.defaults.max_inflight_tasks = 10_000_000
    configuration.defaults.queue_tasks_per_slot = 1000
    configuration.validate()
    return configuration


# State


def held_bytes(build: Callable[[int], object], sizes) -> dict:
    """Return the bytes that objects built for each size hold."""
    values = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = build(size)
        gc.collect()
        values.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del kept
    return fit(sizes, values)


def build_claims(count: int) -> ClaimRegister:
    register = ClaimRegister.as_primary(0, 1)
    register.open()
    for _ in range(count):
        submission_id = mint_submission_id().bytes
        now_ms = int.from_bytes(submission_id[:6], "big")
        register.propose(submission_id, os.urandom(32), 1, now_ms)
        register.confirm(submission_id, 1)
    return register


def stored_records(count: int) -> list[bytes]:
    return [
        encode_record(PartitionRecord(n, 3, member(n), member(n + 1), 1))
        for n in range(count)
    ]


def build_table(count: int) -> PartitionTable:
    table = PartitionTable(count)
    for number in range(count):
        data = encode_record(
            PartitionRecord(number, 3, member(number), member(number + 1), 1)
        )
        table.apply(decode_record(data, number + 1000))
    return table


def build_peers(count: int) -> PeerTable:
    peers = PeerTable(max_peers=count)
    for number in range(count):
        kinds = [f"kind-{number}-{kind}" for kind in range(6)]
        peers.observe(PeerState(member(number), 0.5, 8, 1, 1, False, kinds), 1.0)
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


def build_answers(tasks: int) -> Callable[[int], object]:
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
                job.record([result], "agent-00001@1", 1.0)
            jobs.append(job)
        return jobs

    return build


def build_started(count: int) -> OrderedDict:
    return OrderedDict(
        ((mint_submission_id().bytes, index % 150), None) for index in range(count)
    )


@part
async def state() -> dict:
    """Bytes of state, by tracemalloc."""
    return {
        "claim": held_bytes(build_claims, (1000, 4000, 16_000)),
        "partition_record": held_bytes(build_table, (512, 2048, 8192)),
        "peer": held_bytes(build_peers, (16, 32, 64)),
        "queued_item": held_bytes(build_queue, (1000, 4000, 16_000)),
        "answer_1_task": held_bytes(build_answers(1), (100, 400, 1600)),
        "answer_20_tasks": held_bytes(build_answers(20), (100, 400, 1600)),
        "answer_150_tasks": held_bytes(build_answers(150), (50, 100, 200)),
        "started_task": held_bytes(build_started, (10_000, 30_000, 100_000)),
        "record_stored_bytes": len(stored_records(1)[0]),
        "transferred_claim": transferred_bytes((1000, 2000, 4000)),
        "connection": await connection_bytes(),
    }


def transferred_bytes(sizes) -> dict:
    """Return the bytes on the wire for each claim that is handed over."""
    values = []
    for size in sizes:
        claims = [
            ClaimEntry(mint_submission_id().bytes, os.urandom(32), 2)
            for _ in range(size)
        ]
        transfer = Transfer("1", 0, 1, "agent-00001@1", 0, 0, claims, True)
        values.append(len(encode_frame([Envelope(1, False, transfer)])))
    return fit(sizes, values)


async def connection_bytes() -> dict:
    """Return the bytes of a peer connection, both of its ends together."""
    sizes, values = (16, 32, 64), []
    for size in sizes:
        async with anyio.create_task_group() as group:
            address = await group.start(serve_peers, LOOPBACK, echo, Counters())
            async with anyio.create_task_group() as pools:
                pool = PeerPool(pools)
                await (await pool.connect(address)).request(Inspect(), 1)
                gc.collect()
                tracemalloc.start()
                many = [PeerPool(pools) for _ in range(size)]
                for pool in many:
                    await pool.request(address, Inspect(), 1)
                gc.collect()
                values.append(tracemalloc.get_traced_memory()[0])
                tracemalloc.stop()
                pools.cancel_scope.cancel()
            group.cancel_scope.cancel()
    return fit(sizes, values)


async def echo(content, peer: str):
    return content


# Bounds that follow from the rules, computed with the rules themselves


@part
async def rules() -> dict:
    """What the pacing, watching and admission rules yield at the design scale."""
    peers = build_peers(MAX_PEERS)
    for number in range(DESIGN_AGENTS):
        peers.observe(PeerState(member(number)), 2.0)
    interval_s = next_interval_s(len(peers.states))
    rng = random.Random(1)
    members = [member(number) for number in range(DESIGN_AGENTS)]
    watching = 0
    for own in members:
        near = [other for other in members if other.domain == own.domain]
        board = Blackboard(own)
        for other in rng.sample(near, MAX_PEERS):
            if other is not own:
                board.peers.observe(PeerState(other), board.clock())
        watching += is_watching_agent(board)
    board = Blackboard(members[0], is_agent=False)
    board.configuration.offer(1, Configuration.example())
    for number, other in enumerate(members):
        slots = 3 if number % 5 < 2 else 2
        board.peers.observe(PeerState(other, 0.5, slots), board.clock())
    admissions = Admissions(board)
    admissions._apply_configuration()
    return {
        "other_entries": DESIGN_ENTRIES - 1,
        "other_entries_known": known_entries(interval_s),
        "paced_interval_s": interval_s,
        "heartbeats_per_s_at_an_entry_all_agents_name": DESIGN_AGENTS / interval_s,
        "watching_agents": watching,
        "watching_agents_intended": WATCHING_AGENTS,
        "max_in_flight_of_one_entry": admissions.controller.max_in_flight,
    }


def known_entries(interval_s: float, seconds: int = 20) -> float:
    """Return how many other entries an entry knows on average.

    All agents and entries send it heartbeats at an interval with a random phase.
    """
    rng = random.Random(2)
    events = []
    for number in range(DESIGN_AGENTS + DESIGN_ENTRIES - 1):
        is_agent = number < DESIGN_AGENTS
        at = rng.uniform(0, interval_s)
        while at < seconds:
            events.append((at, number, is_agent))
            at += interval_s
    peers = PeerTable()
    members = [member(number) for number in range(DESIGN_AGENTS + DESIGN_ENTRIES)]
    counts = []
    for at, number, is_agent in sorted(events):
        peers.observe(PeerState(members[number], is_agent=is_agent), at)
        counts.append(sum(not state.is_agent for state in peers.states.values()))
    return sum(counts) / len(counts)


# Daemons as processes of their own


@dataclass
class Peer:
    """This process as seen by the daemon under test."""

    member: Member
    pool: PeerPool
    handlers: dict[type, Callable] = field(default_factory=dict)
    heard: dict[str, Member] = field(default_factory=dict)
    config_revision: int = 0
    slots: int = 0
    kinds: list[str] = field(default_factory=list)
    table_version: int = 0

    async def handle(self, message, peer: str):
        if isinstance(message, Heartbeat):
            self.heard[message.member.name] = message.member
            return self.reply()
        handler = self.handlers.get(type(message))
        return handler(message) if handler else None

    def reply(self) -> HeartbeatReply:
        return HeartbeatReply(
            self.member,
            0.0,
            self.slots,
            self.config_revision,
            self.table_version,
            False,
            self.kinds,
            True,
            1000,
        )

    def heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self.member,
            0.0,
            self.slots,
            self.config_revision,
            self.table_version,
            False,
            self.kinds,
            True,
        )


class Daemon:
    """A daemon under test."""

    def __init__(self, process: subprocess.Popen, http: str):
        self.process = process
        self.http = http
        self.address = ""

    async def metrics(self) -> dict[str, float]:
        """Return its processor time, bytes and messages."""
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("GET", f"http://{self.http}/metrics")
        samples: dict[str, float] = {}
        for line in response.content.decode().splitlines():
            if not line.startswith("#"):
                name, _, value = line.rpartition(" ")
                name = name.partition("{")[0]
                samples[name] = samples.get(name, 0) + float(value)
        return samples


@dataclass
class Setting:
    """A store, this process as a peer, and the daemon under test."""

    store_url: str
    store: object
    peer: Peer
    daemon: Daemon
    group: object


def free_address() -> str:
    import socket

    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def start_process(*arguments: str) -> subprocess.Popen:
    zipapp = os.environ.get("MARIGOLDKEEL_ZIPAPP")
    program = [zipapp] if zipapp else ["-m", "marigoldkeel"]
    return subprocess.Popen(
        [sys.executable, *program, *arguments],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


async def wait_for_http(url: str) -> None:
    with anyio.fail_after(REQUEST_TIMEOUT_S):
        while True:
            try:
                async with httpcore.AsyncConnectionPool() as pool:
                    await pool.request("GET", url)
                return
            except httpcore.ConnectError:
                await anyio.sleep(0.05)


@asynccontextmanager
async def daemon_under_test(role: str, partitions: int = 16, preload: int = 0):
    """Start a store and a daemon; this process is its only peer.

    :param preload: Number of records of other agents to store beforehand.
    """
    processes = []
    with tempfile.TemporaryDirectory() as directory:
        try:
            async with anyio.create_task_group() as group:
                store_address, http = free_address(), free_address()
                processes.append(start_process("standin", "store", "-a", store_address))
                store_url = f"http://{store_address}"
                await wait_for_http(f"{store_url}/counts")
                async with PeerPool.open() as pool, open_store("etcd", store_url) as s:
                    await fill_store(s, partitions, preload)
                    peer = Peer(member(0, "127.0.0.1:1"), pool)
                    bound = await group.start(
                        serve_peers, LOOPBACK, peer.handle, pool.counters
                    )
                    peer.member = member(0, bound)
                    settings = Path(directory) / "settings.toml"
                    settings.write_text(
                        f'name = "under-test"\ndomain = "domain-1"\n'
                        f'listen = "{free_address()}"\nhttp = "{http}"\n'
                        f'contacts = ["{bound}"]\npartitions = {partitions}\n'
                        f'[store]\nurl = "{store_url}"\n'
                    )
                    processes.append(start_process(role, str(settings)))
                    daemon = Daemon(processes[-1], http)
                    await wait_for_http(f"http://{http}/metrics")
                    setting = Setting(store_url, s, peer, daemon, group)
                    with anyio.fail_after(REQUEST_TIMEOUT_S):
                        while "under-test" not in peer.heard:
                            await anyio.sleep(0.05)
                    daemon.address = peer.heard["under-test"].address
                    yield setting
                group.cancel_scope.cancel()
        finally:
            for process in reversed(processes):
                process.kill()
                process.wait()


async def fill_store(store, partitions: int, preload: int) -> None:
    configurations = ConfigurationStore(store)
    await configurations.change(
        lambda current: design_configuration(),
        "bench",
        "first configuration",
        str(mint_submission_id()),
    )
    count = Write(PARTITION_COUNT_KEY, str(partitions).encode(), 0)
    await store.compare_and_swap([count])
    records = stored_records(preload)
    for start in range(0, preload, 100):
        await store.compare_and_swap(
            [
                Write(partition_key(number), records[number], 0)
                for number in range(start, min(start + 100, preload))
            ]
        )


async def repeat(count: int, action: Callable[[], Awaitable]) -> None:
    """Run an action ``count`` times, a few at once."""
    left = iter(range(count))

    async def work() -> None:
        for _ in left:
            await action()

    async with anyio.create_task_group() as group:
        for _ in range(CONCURRENCY):
            group.start_soon(work)


METRICS = {
    "cpu_s": "process_cpu_seconds_total",
    "bytes_sent": "marigoldkeel_bytes_sent_total",
    "bytes_received": "marigoldkeel_bytes_received_total",
    "messages_sent": "marigoldkeel_messages_sent_total",
}


async def cost_of(setting: Setting, sizes, action: Callable[[], Awaitable]) -> dict:
    """Return slopes of processor time and bytes for each run of an action."""
    points: dict[str, list[float]] = {name: [] for name in (*METRICS, "own_cpu_s")}
    await repeat(sizes[0] // 2, action)
    for size in sizes:
        before, own = await setting.daemon.metrics(), time.process_time()
        await repeat(size, action)
        points["own_cpu_s"].append(time.process_time() - own)
        after = await setting.daemon.metrics()
        for name, metric in METRICS.items():
            points[name].append(after.get(metric, 0) - before.get(metric, 0))
    return {name: fit(sizes, values) for name, values in points.items()}


@part
async def heartbeats() -> dict:
    """Cost of a heartbeat; ``own_cpu_s`` is the sender's."""
    async with daemon_under_test("entry") as setting:
        # The table of the daemon is full, so that its replies have full length.
        for number in range(1, MAX_PEERS):
            await setting.peer.pool.request(
                setting.daemon.address,
                Heartbeat(member(number), kinds=["kind-1"] * 6, is_agent=True),
                REQUEST_TIMEOUT_S,
            )
        setting.peer.kinds = [f"kind-{number}" for number in range(6)]

        async def send() -> None:
            await setting.peer.pool.request(
                setting.daemon.address, setting.peer.heartbeat(), REQUEST_TIMEOUT_S
            )

        return await cost_of(setting, (500, 1000, 2000), send)


@part
async def idle() -> dict:
    """Processor time a second of an idle daemon by the number of partitions."""
    result = {}
    for role in ("entry", "agent"):
        sizes, values, memory = (16, 2048, 8192), [], []
        for size in sizes:
            async with daemon_under_test(role, size, preload=size) as setting:
                await anyio.sleep(3)
                before = await setting.daemon.metrics()
                await anyio.sleep(IDLE_S)
                after = await setting.daemon.metrics()
                name = METRICS["cpu_s"]
                values.append((after[name] - before[name]) / IDLE_S)
                memory.append(after["process_resident_memory_bytes"])
        result[role] = {
            "cpu_s_per_s": fit(sizes, values),
            "resident_bytes": fit(sizes, memory),
        }
    return result


async def announce(setting: Setting) -> None:
    """Tell the daemon of this process once a second, as agents do."""
    while True:
        await setting.peer.pool.request(
            setting.daemon.address, setting.peer.heartbeat(), REQUEST_TIMEOUT_S
        )
        await anyio.sleep(1)


def results_body(count: int) -> bytes:
    return b"[" + b",".join([PAYLOAD] * count) + b"]"


@part
async def submissions_at_entry() -> dict:
    """Cost of forwarding jobs of some widths, HTTP included."""
    async with daemon_under_test("entry") as setting:
        peer = setting.peer
        peer.slots, peer.kinds = 10_000, ["kind-1"]
        peer.handlers[Submit] = lambda message: AnswerMessage(
            "complete", results_body(message.tasks), run_ms=1
        )
        for partition in range(16):
            record = PartitionRecord(partition, 1, peer.member, member(1))
            await setting.store.compare_and_swap(
                [Write(partition_key(partition), encode_record(record), 0)]
            )
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


async def store_record(setting: Setting, record: PartitionRecord) -> None:
    await setting.store.compare_and_swap(
        [Write(partition_key(record.partition), encode_record(record), 0)]
    )


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


@part
async def configuration_changes() -> dict:
    """Cost of a change: pulled from a peer, and watched in the store."""
    document = VersionedConfiguration(2, design_configuration()).to_json()
    result: dict = {"document_bytes": len(document)}
    async with daemon_under_test("agent") as setting:
        peer = setting.peer
        await anyio.sleep(2)
        peer.config_revision = 1000
        pulled = anyio.Event()

        def answer(message: Pull) -> Pulled:
            if message.what == "config":
                pulled.set()
            versioned = VersionedConfiguration(
                peer.config_revision, design_configuration()
            )
            return Pulled(message.above, peer.config_revision, versioned.to_json())

        peer.handlers[Pull] = answer
        lock = anyio.Lock()

        async def change() -> None:
            nonlocal pulled
            async with lock:
                peer.config_revision += 1
                pulled = anyio.Event()
                await peer.pool.request(
                    setting.daemon.address, peer.heartbeat(), REQUEST_TIMEOUT_S
                )
                with anyio.fail_after(REQUEST_TIMEOUT_S):
                    await pulled.wait()

        result["pulled"] = await cost_of(setting, (20, 40, 80), change)
    async with daemon_under_test("entry") as setting:
        configurations = ConfigurationStore(setting.store)
        await anyio.sleep(2)
        lock = anyio.Lock()

        async def write() -> None:
            async with lock:
                await configurations.change(
                    lambda current: current.with_value(
                        "teams.team-1.burst", str(random.randrange(10**6) + 1)
                    ),
                    "bench",
                    "measure",
                    str(mint_submission_id()),
                )

        result["watched"] = await cost_of(setting, (20, 40, 80), write)
    return result


@part
async def store_calls() -> dict:
    """Processor time of the client for each call, and of a whole table read."""
    address = free_address()
    process = start_process("standin", "store", "-a", address)
    result: dict = {}
    try:
        await wait_for_http(f"http://{address}/counts")
        async with open_store("etcd", f"http://{address}") as store:
            await fill_store(store, DESIGN_PARTITIONS, DESIGN_PARTITIONS)
            revision = {"value": (await store.get(partition_key(1))).revision}
            data = stored_records(2)[1]

            async def swap() -> None:
                write = Write(partition_key(1), data, revision["value"])
                revision["value"] = await store.compare_and_swap([write])

            for name, call in (
                ("range", lambda: store.get(partition_key(1))),
                ("txn", swap),
            ):
                sizes, values = (100, 200, 400), []
                for size in sizes:
                    started = time.process_time()
                    for _ in range(size):
                        await call()
                    values.append(time.process_time() - started)
                result[name] = fit(sizes, values)
            calls, started = store.counts["range"], time.process_time()
            snapshot = await store.get_prefix(PARTITION_PREFIX)
            table = PartitionTable(DESIGN_PARTITIONS)
            table.apply_changes(
                [
                    decode_record(value.data, value.revision)
                    for value in snapshot.values
                    if value.key != PARTITION_COUNT_KEY
                ],
                0,
                snapshot.revision,
            )
            result["table_read"] = {
                "cpu_s": time.process_time() - started,
                "calls": store.counts["range"] - calls,
                "value_bytes": sum(len(value.data) for value in snapshot.values),
                "records": len(table.records),
            }
    finally:
        process.kill()
        process.wait()
    return result


async def run_parts(names: list[str]) -> dict:
    result = {}
    for name in names:
        print(f"{name} ...", file=sys.stderr, flush=True)
        load = os.getloadavg()[0]
        result[name] = {"load_average": load, **await parts[name]()}
    return result


def main() -> None:
    names = sys.argv[1:] or list(parts)
    result = anyio.run(run_parts, names)
    RESULTS.parent.mkdir(parents=True, exist_ok=True)
    kept = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    document = {**kept, "processors": os.cpu_count(), **result}
    RESULTS.write_text(json.dumps(document, indent=1))
    print(summary(document))


def summary(document: dict) -> str:
    """Return each slope and number on a line of its own."""
    lines: list[str] = []

    def walk(path: str, value) -> None:
        if isinstance(value, dict) and "slope" in value:
            lines.append(f"{path} = {value['slope']:.6g} (+ {value['intercept']:.4g})")
        elif isinstance(value, dict):
            for key, child in value.items():
                walk(f"{path}.{key}" if path else key, child)
        else:
            lines.append(f"{path} = {value}")

    walk("", document)
    return "\n".join(lines)


if __name__ == "__main__":
    main()
