"""Runs the daemon under test in a separate process, with this process as its peer."""

import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpcore

from bench.scale import design_configuration, encode_records, make_member
from bench.slopes import fit_line
from emulator.addresses import free_address
from marigoldkeel.audit import ConfigurationStore
from marigoldkeel.identifiers import mint_submission_id
from marigoldkeel.messages import Heartbeat, HeartbeatReply
from marigoldkeel.models import Member, PartitionRecord
from marigoldkeel.partitions import PARTITION_COUNT_KEY, encode_record, partition_key
from marigoldkeel.stores import Write, open_store
from marigoldkeel.transports import PeerPool, serve_peers


LOOPBACK_ANY_PORT = "127.0.0.1:0"
CONCURRENT_ACTIONS = 8
REQUEST_TIMEOUT_S = 30.0
METRICS = {
    "cpu_s": "process_cpu_seconds_total",
    "bytes_sent": "marigoldkeel_bytes_sent_total",
    "bytes_received": "marigoldkeel_bytes_received_total",
    "messages_sent": "marigoldkeel_messages_sent_total",
}


@dataclass
class SimulatedPeer:
    """The peer that this process simulates for the daemon under test.

    :ivar handlers: Request handlers by message type, other than heartbeats.
    :ivar known_members: The members that have sent a heartbeat, by name.
    """

    member: Member
    pool: PeerPool
    handlers: dict[type, Callable] = field(default_factory=dict)
    known_members: dict[str, Member] = field(default_factory=dict)
    config_revision: int = 0
    slots: int = 0
    kinds: list[str] = field(default_factory=list)
    table_version: int = 0

    async def handle(self, message, peer: str):
        if isinstance(message, Heartbeat):
            self.known_members[message.member.name] = message.member
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

    def heartbeat(self, wants_members: bool = False) -> Heartbeat:
        return Heartbeat(
            self.member,
            0.0,
            self.slots,
            self.config_revision,
            self.table_version,
            False,
            self.kinds,
            True,
            wants_members,
        )


class Daemon:
    """The process of a daemon under test.

    :ivar address: Its peer address, known after its first heartbeat.
    """

    def __init__(self, process: subprocess.Popen, http_address: str):
        self.process = process
        self.http_address = http_address
        self.address = ""

    async def metrics(self) -> dict[str, float]:
        """Return the metrics of the daemon, each summed over its labels."""
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("GET", f"http://{self.http_address}/metrics")
        samples: dict[str, float] = {}
        for line in response.content.decode().splitlines():
            if not line.startswith("#"):
                name, _, value = line.rpartition(" ")
                name = name.partition("{")[0]
                samples[name] = samples.get(name, 0) + float(value)
        return samples


@dataclass
class Testbed:
    """A store, the simulated peer and the daemon under test."""

    store_url: str
    store: object
    peer: SimulatedPeer
    daemon: Daemon
    group: object


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
    """Start a store and a daemon whose only peer is this process.

    :param role: Subcommand of the daemon, ``agent`` or ``entry``.
    :param preload: Number of partition records of other agents that are stored before
        the daemon starts.
    """
    processes = []
    with tempfile.TemporaryDirectory() as directory:
        try:
            async with anyio.create_task_group() as group:
                store_address, http_address = free_address(), free_address()
                processes.append(start_process("standin", "store", "-a", store_address))
                store_url = f"http://{store_address}"
                await wait_for_http(f"{store_url}/counts")
                async with (
                    PeerPool.open() as pool,
                    open_store("etcd", store_url) as store_client,
                ):
                    await populate_store(store_client, partitions, preload)
                    peer = SimulatedPeer(make_member(0, "127.0.0.1:1"), pool)
                    peer_address = await group.start(
                        serve_peers, LOOPBACK_ANY_PORT, peer.handle, pool.counters
                    )
                    peer.member = make_member(0, peer_address)
                    settings = Path(directory) / "settings.toml"
                    settings.write_text(
                        f'name = "under-test"\ndomain = "domain-1"\n'
                        f'listen = "{free_address()}"\nhttp = "{http_address}"\n'
                        f'contacts = ["{peer_address}"]\npartitions = {partitions}\n'
                        f'[store]\nurl = "{store_url}"\n'
                    )
                    processes.append(start_process(role, str(settings)))
                    daemon = Daemon(processes[-1], http_address)
                    await wait_for_http(f"http://{http_address}/metrics")
                    testbed = Testbed(store_url, store_client, peer, daemon, group)
                    with anyio.fail_after(REQUEST_TIMEOUT_S):
                        while "under-test" not in peer.known_members:
                            await anyio.sleep(0.05)
                    daemon.address = peer.known_members["under-test"].address
                    yield testbed
                group.cancel_scope.cancel()
        finally:
            for process in reversed(processes):
                process.kill()
                process.wait()


async def populate_store(store, partitions: int, preload: int) -> None:
    configurations = ConfigurationStore(store)
    await configurations.change(
        lambda current: design_configuration(),
        "bench",
        "first configuration",
        str(mint_submission_id()),
    )
    count = Write(PARTITION_COUNT_KEY, str(partitions).encode(), 0)
    await store.compare_and_swap([count])
    records = encode_records(preload)
    for start in range(0, preload, 100):
        await store.compare_and_swap(
            [
                Write(partition_key(number), records[number], 0)
                for number in range(start, min(start + 100, preload))
            ]
        )


async def store_record(testbed: Testbed, record: PartitionRecord) -> None:
    await testbed.store.compare_and_swap(
        [Write(partition_key(record.partition), encode_record(record), 0)]
    )


async def send_heartbeats(testbed: Testbed) -> None:
    """Send the daemon a heartbeat once a second, as agents do."""
    while True:
        await testbed.peer.pool.request(
            testbed.daemon.address, testbed.peer.heartbeat(), REQUEST_TIMEOUT_S
        )
        await anyio.sleep(1)


async def run_repeatedly(count: int, action: Callable[[], Awaitable]) -> None:
    """Run an action ``count`` times, `CONCURRENT_ACTIONS` at a time."""
    remaining = iter(range(count))

    async def run_actions() -> None:
        for _ in remaining:
            await action()

    async with anyio.create_task_group() as group:
        for _ in range(CONCURRENT_ACTIONS):
            group.start_soon(run_actions)


async def measure_cost(
    testbed: Testbed, sizes, action: Callable[[], Awaitable]
) -> dict:
    """Return the CPU time, bytes and messages per action as fitted lines.

    Half of the smallest size is run first to warm up.

    :param sizes: Numbers of actions at which the totals are measured.
    """
    points: dict[str, list[float]] = {name: [] for name in (*METRICS, "own_cpu_s")}
    await run_repeatedly(sizes[0] // 2, action)
    for size in sizes:
        before, own_cpu_before = await testbed.daemon.metrics(), time.process_time()
        await run_repeatedly(size, action)
        points["own_cpu_s"].append(time.process_time() - own_cpu_before)
        after = await testbed.daemon.metrics()
        for name, metric in METRICS.items():
            points[name].append(after.get(metric, 0) - before.get(metric, 0))
    return {name: fit_line(sizes, values) for name, values in points.items()}
