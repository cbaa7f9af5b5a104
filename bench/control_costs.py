"""Measures the control plane: heartbeats, idle load, configuration, store calls."""

import random
import time

import anyio

from bench.daemons import (
    METRICS,
    REQUEST_TIMEOUT_S,
    daemon_under_test,
    measure_cost,
    populate_store,
    start_process,
    wait_for_http,
)
from bench.scale import (
    DESIGN_PARTITIONS,
    design_configuration,
    encode_records,
    make_member,
)
from bench.slopes import benchmark, fit_line
from emulator.addresses import free_address
from marigoldkeel.audit import ConfigurationStore, VersionedConfiguration
from marigoldkeel.heartbeats import MAX_PEERS
from marigoldkeel.identifiers import mint_submission_id
from marigoldkeel.messages import Heartbeat, Pull, Pulled
from marigoldkeel.partitions import (
    PARTITION_COUNT_KEY,
    PARTITION_PREFIX,
    PartitionTable,
    decode_record,
    partition_key,
)
from marigoldkeel.stores import Write, open_store


IDLE_S = 5.0


@benchmark
async def heartbeats() -> dict:
    """Cost of a heartbeat; ``own_cpu_s`` is the CPU time of the sender.

    Replies list members only on request, so both variants are measured.
    """
    costs = {}
    for name, wants_members in (("plain", False), ("with_members", True)):
        async with daemon_under_test("entry") as testbed:
            peer = testbed.peer
            peer.kinds = [f"kind-{number}" for number in range(6)]
            # Fill the peer table of the daemon, so that its replies have maximum size.
            # All peers are announced with the address of this process, which therefore
            # receives the heartbeats that the daemon sends to them.
            for number in range(1, MAX_PEERS):
                await peer.pool.request(
                    testbed.daemon.address,
                    Heartbeat(
                        make_member(number, peer.member.address),
                        kinds=peer.kinds,
                        is_agent=True,
                    ),
                    REQUEST_TIMEOUT_S,
                )

            async def send_heartbeat(
                testbed=testbed, wants_members=wants_members
            ) -> None:
                await testbed.peer.pool.request(
                    testbed.daemon.address,
                    testbed.peer.heartbeat(wants_members),
                    REQUEST_TIMEOUT_S,
                )

            costs[name] = await measure_cost(testbed, (500, 1000, 2000), send_heartbeat)
    return costs


@benchmark
async def idle() -> dict:
    """CPU time per second and memory of an idle daemon by number of partitions."""
    result = {}
    for role in ("entry", "agent"):
        sizes, values, memory = (16, 2048, 8192), [], []
        for size in sizes:
            async with daemon_under_test(role, size, preload=size) as testbed:
                await anyio.sleep(3)
                before = await testbed.daemon.metrics()
                await anyio.sleep(IDLE_S)
                after = await testbed.daemon.metrics()
                name = METRICS["cpu_s"]
                values.append((after[name] - before[name]) / IDLE_S)
                memory.append(after["process_resident_memory_bytes"])
        result[role] = {
            "cpu_s_per_s": fit_line(sizes, values),
            "resident_bytes": fit_line(sizes, memory),
        }
    return result


@benchmark
async def configuration_changes() -> dict:
    """Cost of a configuration change, pulled from a peer or watched in the store."""
    document = VersionedConfiguration(2, design_configuration()).to_json()
    result: dict = {"document_bytes": len(document)}
    async with daemon_under_test("agent") as testbed:
        peer = testbed.peer
        await anyio.sleep(2)
        peer.config_revision = 1000
        pulled = anyio.Event()

        def answer_pull(message: Pull) -> Pulled:
            if message.what == "config":
                pulled.set()
            versioned = VersionedConfiguration(
                peer.config_revision, design_configuration()
            )
            return Pulled(message.above, peer.config_revision, versioned.to_json())

        peer.handlers[Pull] = answer_pull
        lock = anyio.Lock()

        async def change() -> None:
            nonlocal pulled
            async with lock:
                peer.config_revision += 1
                pulled = anyio.Event()
                await peer.pool.request(
                    testbed.daemon.address, peer.heartbeat(), REQUEST_TIMEOUT_S
                )
                with anyio.fail_after(REQUEST_TIMEOUT_S):
                    await pulled.wait()

        result["pulled"] = await measure_cost(testbed, (20, 40, 80), change)
    async with daemon_under_test("entry") as testbed:
        configurations = ConfigurationStore(testbed.store)
        await anyio.sleep(2)
        lock = anyio.Lock()

        async def write_change() -> None:
            async with lock:
                await configurations.change(
                    lambda current: current.with_value(
                        "teams.team-1.burst", str(random.randrange(10**6) + 1)
                    ),
                    "bench",
                    "measure",
                    str(mint_submission_id()),
                )

        result["watched"] = await measure_cost(testbed, (20, 40, 80), write_change)
    return result


@benchmark
async def store_calls() -> dict:
    """CPU time of the client for each store call and for reading the whole table."""
    address = free_address()
    process = start_process("standin", "store", "-a", address)
    result: dict = {}
    try:
        await wait_for_http(f"http://{address}/counts")
        async with open_store("etcd", f"http://{address}") as store:
            await populate_store(store, DESIGN_PARTITIONS, DESIGN_PARTITIONS)
            revision = {"value": (await store.get(partition_key(1))).revision}
            data = encode_records(2)[1]

            async def swap() -> None:
                write = Write(partition_key(1), data, revision["value"])
                revision["value"] = await store.compare_and_swap([write])

            for name, call in (
                ("range", lambda: store.get(partition_key(1))),
                ("txn", swap),
            ):
                sizes, values = (100, 200, 400), []
                for size in sizes:
                    cpu_before = time.process_time()
                    for _ in range(size):
                        await call()
                    values.append(time.process_time() - cpu_before)
                result[name] = fit_line(sizes, values)
            calls_before, cpu_before = store.counts["range"], time.process_time()
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
                "cpu_s": time.process_time() - cpu_before,
                "calls": store.counts["range"] - calls_before,
                "value_bytes": sum(len(value.data) for value in snapshot.values),
                "records": len(table.records),
            }
    finally:
        process.kill()
        process.wait()
    return result
