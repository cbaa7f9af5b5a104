"""Runs the system under test as separate processes on loopback."""

import os
import random
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import asynccontextmanager
from itertools import islice
from pathlib import Path

import anyio
import httpcore
import msgspec
import tomli_w

from bench.loads import PEER_DELAY_S
from marigoldkeel.audit import ConfigurationStore
from marigoldkeel.configuration import Configuration
from marigoldkeel.identifiers import mint_submission_id
from marigoldkeel.stores import open_store


AGENTS, ENTRIES, PARTITIONS = 11, 2, 16
SLOTS, CONNECTIONS = 8, 64
DOMAINS = ("Seregno", "Lissone", "Meda", "Cantu")
MIN_SPEED, MAX_SPEED, SPEED_SEED = 0.5, 2.0, 11
RUNNER_PROCESSES = 2
READY_TIMEOUT_S = 60.0
READY_POLL_S = 0.2
# Below the ephemeral ports, which the kernel assigns to outgoing connections.
PORTS = range(20_000, 30_000)
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def runner_speeds() -> list[float]:
    """Return geometrically spaced speeds in a seeded random order."""
    step = (MAX_SPEED / MIN_SPEED) ** (1 / (AGENTS - 1))
    speeds = [round(MIN_SPEED * step**number, 3) for number in range(AGENTS)]
    random.Random(SPEED_SEED).shuffle(speeds)
    return speeds


def free_addresses() -> Iterator[str]:
    """Yield loopback addresses on which no process is listening."""
    for port in random.SystemRandom().sample(PORTS, len(PORTS)):
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)):
                yield f"127.0.0.1:{port}"


def process_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    stat_fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(stat_fields[11]) + int(stat_fields[12])) / CLOCK_TICKS_PER_S


class System:
    """The processes of one benchmark run.

    :ivar capacity: Sum of the speeds of all slots.
    """

    def __init__(self, policy: str, directory: Path):
        self.policy = policy
        self.directory = directory
        self.processes: dict[str, subprocess.Popen] = {}
        self.speeds = {f"runner-{n}": s for n, s in enumerate(runner_speeds())}
        self.capacity = SLOTS * sum(self.speeds.values())
        self.addresses = free_addresses()
        self.store_address = next(self.addresses)
        self.entry_peer_addresses = list(islice(self.addresses, ENTRIES))
        self.entry_http_addresses = list(islice(self.addresses, ENTRIES))
        self.agent_http_addresses = list(islice(self.addresses, AGENTS))

    @classmethod
    @asynccontextmanager
    async def open(cls, policy: str, directory: Path):
        """Start the processes and wait until all partitions are active."""
        system = cls(policy, directory)
        try:
            async with httpcore.AsyncConnectionPool() as system.pool:
                await system._start()
                yield system
        finally:
            # A graceful shutdown would wait for the work in progress.
            for process in system.processes.values():
                process.kill()
                process.wait()

    def _spawn(self, name: str, *arguments: str) -> None:
        with (self.directory / f"{name}.log").open("wb") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=log, stderr=log
            )

    def _spawn_host(self, name: str, role: str, options: list[dict]) -> None:
        path = self.directory / f"{name}.json"
        path.write_bytes(msgspec.json.encode(options))
        self._spawn(name, "bench.hosts", role, str(path))

    def _spawn_daemon(self, role: str, number: int, **settings) -> None:
        name = f"{role}-{number}"
        settings |= {"name": name, "domain": DOMAINS[number % len(DOMAINS)]}
        settings |= {"contacts": self.entry_peer_addresses, "log_level": "WARNING"}
        settings |= {"store": {"url": f"http://{self.store_address}"}}
        path = self.directory / f"{name}.toml"
        path.write_text(tomli_w.dumps(settings))
        self._spawn(name, "marigoldkeel", role, str(path))

    async def _start(self) -> None:
        self._spawn(
            "store", "marigoldkeel", "standin", "store", "--address", self.store_address
        )
        await self._write_configuration()
        for n, (peer, http) in enumerate(
            zip(self.entry_peer_addresses, self.entry_http_addresses, strict=True)
        ):
            self._spawn_daemon("entry", n, listen=peer, http=http)
        relays, runners = [], []
        for n, http in enumerate(self.agent_http_addresses):
            listen, relay = islice(self.addresses, 2)
            relays.append({"listen": relay, "target": listen, "delay_s": PEER_DELAY_S})
            runners.append(self._runner_options(f"runner-{n}", http))
            addresses = {"listen": listen, "advertise": relay, "http": http}
            options = {"policy": self.policy, "partitions": PARTITIONS}
            self._spawn_daemon("agent", n, **addresses, **options)
        self._spawn_host("delays", "delays", relays)
        for n in range(RUNNER_PROCESSES):
            self._spawn_host(f"runners-{n}", "runners", runners[n::RUNNER_PROCESSES])
        with anyio.fail_after(READY_TIMEOUT_S):
            while not await self._is_ready():
                await anyio.sleep(READY_POLL_S)

    def _runner_options(self, name: str, agent_http: str) -> dict:
        return {
            "name": name,
            "agent_http": agent_http,
            "kinds": sorted(Configuration.example().kinds),
            "slots": SLOTS,
            "connections": CONNECTIONS,
            "speed": self.speeds[name],
            "history_path": str(self.directory / f"{name}.history"),
        }

    async def _write_configuration(self) -> None:
        change = ("bench", "first configuration", str(mint_submission_id()))
        async with open_store("etcd", f"http://{self.store_address}") as store:
            configurations = ConfigurationStore(store)
            with anyio.fail_after(READY_TIMEOUT_S):
                # The store may still be starting, so retry until there is a revision.
                while not (
                    await configurations.change(
                        lambda _: bench_configuration(), *change
                    )
                ).revision:
                    await anyio.sleep(READY_POLL_S)

    async def _is_ready(self) -> bool:
        reports = await self.reports()
        active = sum(
            register["role"] == "primary" and register["phase"] == "active"
            for report in reports
            for register in report.get("registers", [])
        )
        complete = len(reports) == ENTRIES + AGENTS and active >= PARTITIONS
        return complete and all(
            report["config_revision"]
            and len(report["partitions"]) == PARTITIONS
            and sum(state.get("slots") == SLOTS for state in [*report["peers"], report])
            == AGENTS
            for report in reports
        )

    async def reports(self) -> list[dict]:
        """Return the status reports of all daemons that respond within a second."""
        reports = []
        for address in (*self.entry_http_addresses, *self.agent_http_addresses):
            try:
                with anyio.fail_after(1.0):
                    url = f"http://{address}/v1/status"
                    response = await self.pool.request("GET", url)
            except (TimeoutError, httpcore.NetworkError, httpcore.ProtocolError):
                continue
            reports.append(msgspec.json.decode(response.content))
        return reports

    def cpu_s(self) -> dict[str, float]:
        """Return the CPU time of each process, in seconds."""
        times = {
            name: process_cpu_s(process.pid) for name, process in self.processes.items()
        }
        return times | {"load generator": time.process_time()}

    async def set_store_down(self, down: bool) -> None:
        """Make the store reject all calls, or restore it."""
        content = msgspec.json.encode({"down": down})
        await self.pool.request(
            "POST", f"http://{self.store_address}/faults", content=content
        )

    def starts(self) -> list[tuple[str, int]]:
        """Return submission and task index of each start in the runners' histories.

        Read-only calls are left out, since they may be repeated on another agent.
        """
        kinds = bench_configuration().kinds
        return [
            (start["submission"], start["index"])
            for path in sorted(self.directory.glob("*.history"))
            for start in map(msgspec.json.decode, path.read_bytes().splitlines())
            if not kinds[start["kind"]].read_only
        ]


def bench_configuration() -> Configuration:
    """Return the example configuration, with jobs in the batch class behind calls."""
    example = Configuration.example()
    cut_list = msgspec.structs.replace(example.kinds["cut-list"], priority="batch")
    kinds = example.kinds | {"cut-list": cut_list}
    return msgspec.structs.replace(example, kinds=kinds)
