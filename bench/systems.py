"""The system under measure: separate processes on loopback."""

import os
import random
import socket
import subprocess
import sys
import time
from contextlib import asynccontextmanager
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


AGENTS = 11
ENTRIES = 2
SLOTS = 8
CONNECTIONS = 64
PARTITIONS = 16
DOMAINS = ("Seregno", "Lissone", "Meda", "Cantu")
MIN_SPEED, MAX_SPEED = 0.5, 2.0
SPEED_SEED = 11
RUNNER_PROCESSES = 2
READY_TIMEOUT_S = 60.0
READY_TICK_S = 0.2
STOP_TIMEOUT_S = 2.0
# Below the range from which the system picks ports of outgoing connections.
PORTS = range(20_000, 30_000)
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def spread_speeds() -> list[float]:
    """Return speeds that are evenly spread by ratio, in a seeded order."""
    step = (MAX_SPEED / MIN_SPEED) ** (1 / (AGENTS - 1))
    speeds = [round(MIN_SPEED * step**number, 3) for number in range(AGENTS)]
    random.Random(SPEED_SEED).shuffle(speeds)
    return speeds


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses on which nothing listens now."""
    found = []
    first = random.SystemRandom().randrange(len(PORTS))
    for offset in range(len(PORTS)):
        port = PORTS[(first + offset) % len(PORTS)]
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(f"127.0.0.1:{port}")
        if len(found) == count:
            return found
    raise OSError("not enough free ports")


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


class System:
    """The processes of one run.

    Usage::

        async with System.open("late_binding", directory) as system:
            reports = await system.agent_reports()
    """

    def __init__(self, policy: str, directory: Path):
        self.policy = policy
        self.directory = directory
        self.processes: dict[str, subprocess.Popen] = {}
        speeds = spread_speeds()
        self.speeds = {f"runner-{n}": speeds[n] for n in range(AGENTS)}
        self.capacity = SLOTS * sum(speeds)
        addresses = iter(free_addresses(1 + 2 * ENTRIES + 3 * AGENTS))
        self.store_address = next(addresses)
        self.entry_peers = [next(addresses) for _ in range(ENTRIES)]
        self.entry_http = [next(addresses) for _ in range(ENTRIES)]
        self.agent_peers = [next(addresses) for _ in range(AGENTS)]
        self.agent_relays = [next(addresses) for _ in range(AGENTS)]
        self.agent_http = [next(addresses) for _ in range(AGENTS)]

    @classmethod
    @asynccontextmanager
    async def open(cls, policy: str, directory: Path):
        """Start the processes and wait until every partition is open."""
        system = cls(policy, directory)
        try:
            async with httpcore.AsyncConnectionPool() as system.pool:
                await system._start()
                yield system
        finally:
            await anyio.to_thread.run_sync(system._stop)

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        log = (self.directory / f"{name}.log").open("wb")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments], stdout=log, stderr=log
        )
        log.close()

    def _spawn_host(self, name: str, role: str, options: list[dict]) -> None:
        path = self.directory / f"{name}.json"
        path.write_bytes(msgspec.json.encode(options))
        self._spawn(name, "bench.hosts", role, str(path))

    def _spawn_daemon(self, role: str, name: str, **settings) -> None:
        path = self.directory / f"{name}.toml"
        settings |= {"name": name, "contacts": self.entry_peers}
        settings["store"] = {"url": f"http://{self.store_address}"}
        settings["log_level"] = "WARNING"
        path.write_text(tomli_w.dumps(settings))
        self._spawn(name, "marigoldkeel", role, str(path))

    async def _start(self) -> None:
        store = ("standin", "store", "--address", self.store_address)
        self._spawn("store", "marigoldkeel", *store)
        await self._write_configuration()
        for n in range(ENTRIES):
            self._spawn_daemon(
                "entry",
                f"entry-{n}",
                domain=DOMAINS[n],
                listen=self.entry_peers[n],
                http=self.entry_http[n],
            )
        relays = [
            {"listen": relay, "target": peer, "delay_s": PEER_DELAY_S}
            for relay, peer in zip(self.agent_relays, self.agent_peers, strict=True)
        ]
        self._spawn_host("delays", "delays", relays)
        for n in range(AGENTS):
            self._spawn_daemon(
                "agent",
                f"agent-{n}",
                domain=DOMAINS[n % len(DOMAINS)],
                listen=self.agent_peers[n],
                advertise=self.agent_relays[n],
                http=self.agent_http[n],
                policy=self.policy,
                partitions=PARTITIONS,
            )
        runners = [self._runner(n) for n in range(AGENTS)]
        for n in range(RUNNER_PROCESSES):
            self._spawn_host(f"runners-{n}", "runners", runners[n::RUNNER_PROCESSES])
        with anyio.fail_after(READY_TIMEOUT_S):
            while not await self._is_ready():
                await anyio.sleep(READY_TICK_S)

    def _runner(self, n: int) -> dict:
        name = f"runner-{n}"
        return {
            "name": name,
            "agent_http": self.agent_http[n],
            "kinds": sorted(Configuration.example().kinds),
            "slots": SLOTS,
            "connections": CONNECTIONS,
            "speed": self.speeds[name],
            "history_path": str(self.directory / f"{name}.history"),
        }

    async def _write_configuration(self) -> None:
        async with open_store("etcd", f"http://{self.store_address}") as store:
            change_id = str(mint_submission_id())
            with anyio.fail_after(READY_TIMEOUT_S):
                while not await self._change(ConfigurationStore(store), change_id):
                    await anyio.sleep(READY_TICK_S)

    async def _change(self, store: ConfigurationStore, change_id: str) -> bool:
        change = await store.change(
            lambda current: Configuration.example(), "bench", "first", change_id
        )
        return change.revision > 0

    async def _is_ready(self) -> bool:
        entries = [await self.report(address) for address in self.entry_http]
        agents = await self.agent_reports()
        open_partitions = sum(
            register["role"] == "primary" and register["phase"] == "active"
            for report in agents
            for register in report.get("registers", [])
        )
        if not all(entries) or len(agents) < AGENTS or open_partitions < PARTITIONS:
            return False
        return all(
            len(entry["partitions"]) == PARTITIONS and entry["config_revision"]
            for entry in entries
        ) and all(
            sum(state.get("slots") == SLOTS for state in [*report["peers"], report])
            == AGENTS
            for report in entries + agents
        )

    async def report(self, address: str) -> dict:
        """Return the status report of a daemon, empty if it gives none."""
        try:
            with anyio.fail_after(1.0):
                response = await self.pool.request("GET", f"http://{address}/v1/status")
        except (TimeoutError, httpcore.NetworkError, httpcore.ProtocolError):
            return {}
        return msgspec.json.decode(response.content)

    async def agent_reports(self) -> list[dict]:
        """Return the status reports of the agents that answer."""
        reports = [await self.report(address) for address in self.agent_http]
        return [report for report in reports if report]

    def cpu_s(self) -> dict[str, float]:
        """Return the CPU time of each process, in seconds."""
        times = {name: cpu_s(process.pid) for name, process in self.processes.items()}
        return times | {"load generator": time.process_time()}

    def kill_agent(self, number: int) -> None:
        """Kill one agent's process."""
        self.processes[f"agent-{number}"].kill()

    async def set_store_down(self, down: bool) -> None:
        """Make the store refuse every call, or answer again."""
        url = f"http://{self.store_address}/faults"
        await self.pool.request(
            "POST", url, content=msgspec.json.encode({"down": down})
        )

    def starts(self) -> list[tuple[str, int]]:
        """Return submission and index of each start in the runners' histories."""
        return [
            (start["submission"], start["index"])
            for path in sorted(self.directory.glob("*.history"))
            for start in map(msgspec.json.decode, path.read_bytes().splitlines())
        ]

    def _stop(self) -> None:
        # A planned stop would wait for the work in progress.
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)
