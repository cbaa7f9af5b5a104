"""Measures control work: heartbeats, idle daemons, configuration, the store."""

import random
import time

import anyio

from bench.daemons import (
    METRICS,
    REQUEST_TIMEOUT_S,
    cost_of,
    daemon_under_test,
    fill_store,
    start_process,
    wait_for_http,
)
from bench.scale import (
    DESIGN_PARTITIONS,
    design_configuration,
    member,
    stored_records,
)
from bench.slopes import fit, part
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


@part
async def heartbeats() -> dict:
    """Cost of a heartbeat; ``own_cpu_s`` is the sender's.

    Replies list members only when asked, so both kinds are measured.
    """
    costs = {}
    for name, wants_members in (("plain", False), ("with_members", True)):
        async with daemon_under_test("entry") as setting:
            peer = setting.peer
            peer.kinds = [f"kind-{number}" for number in range(6)]
            # The table of the daemon is full, so that its replies have full length.
            # All peers have the address of this process: the daemon learns it from
            # them and sends heartbeats to it.
            for number in range(1, MAX_PEERS):
                await peer.pool.request(
                    setting.daemon.address,
                    Heartbeat(
                        member(number, peer.member.address),
                        kinds=peer.kinds,
                        is_agent=True,
                    ),
                    REQUEST_TIMEOUT_S,
                )

            async def send(setting=setting, wants_members=wants_members) -> None:
                await setting.peer.pool.request(
                    setting.daemon.address,
                    setting.peer.heartbeat(wants_members),
                    REQUEST_TIMEOUT_S,
                )

            costs[name] = await cost_of(setting, (500, 1000, 2000), send)
    return costs


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
