"""A complete system in one process on loopback, for demonstrations and tests."""

import time
from contextlib import asynccontextmanager

import anyio
import msgspec
from msgspec import Struct, field

from marigoldkeel.agents import Agent
from marigoldkeel.audit import ConfigurationStore
from marigoldkeel.configuration import Configuration
from marigoldkeel.entries import Entry
from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.identifiers import mint_submission_id
from marigoldkeel.runners import RunnerStandin
from marigoldkeel.servers import serve_http
from marigoldkeel.sessions import AsyncSession
from marigoldkeel.settings import Settings, StoreSettings
from marigoldkeel.standins import StoreStandin
from marigoldkeel.stores import open_store


ANY_PORT = "127.0.0.1:0"
DOMAINS = ("Seregno", "Lissone", "Meda", "Cantù")
READY_POLL_S = 0.05


class LocalSystem(Struct):
    """A store stand-in, entries, agents and runners on one event loop.

    Usage::

        async with LocalSystem.open(agents=4) as system:
            async with system.session("brusadelli") as session:
                await session.call("stock-check", {"sku": 1})
    """

    store: StoreStandin
    store_url: str
    configuration: Configuration
    entries: list[Entry] = field(default_factory=list)
    agents: list[Agent] = field(default_factory=list)
    runners: list[RunnerStandin] = field(default_factory=list)
    group: anyio.abc.TaskGroup | None = None

    @classmethod
    @asynccontextmanager
    async def open(
        cls,
        agents: int = 4,
        entries: int = 2,
        domains: tuple[str, ...] = DOMAINS,
        configuration: Configuration | None = None,
        speeds: tuple[float, ...] = (1.0,),
        policy: str = "late_binding",
        partitions: int = 16,
    ):
        """Start the system and wait until every partition is active."""
        async with anyio.create_task_group() as group:
            standin = StoreStandin()
            address = await group.start(serve_http, standin, "127.0.0.1", 0)
            system = cls(
                standin,
                f"http://{address}",
                configuration or Configuration.example(),
                group=group,
            )
            await system._write_configuration()
            for number in range(entries):
                await system.start_entry(f"entry-{number}", domains[0])
            for number in range(agents):
                domain = domains[number % len(domains)]
                speed = speeds[number % len(speeds)]
                await system.start_agent(
                    f"agent-{number}", domain, speed, policy, partitions
                )
            await system.wait_until_ready(partitions)
            yield system
            group.cancel_scope.cancel()

    async def _write_configuration(self) -> None:
        async with open_store("etcd", self.store_url) as store:
            await ConfigurationStore(store).change(
                lambda current: self.configuration,
                "demo",
                "first configuration",
                str(mint_submission_id()),
            )

    def _settings(self, name: str, domain: str, **overrides) -> Settings:
        return Settings(
            name=name,
            domain=domain,
            listen=ANY_PORT,
            http=ANY_PORT,
            store=StoreSettings(self.store_url),
            contacts=[entry.board.member.address for entry in self.entries],
            **overrides,
        )

    async def start_entry(self, name: str, domain: str) -> Entry:
        """Start an entry."""
        entry = Entry.from_settings(self._settings(name, domain))
        await self.group.start(entry.run)
        self.entries.append(entry)
        return entry

    async def start_agent(
        self,
        name: str,
        domain: str,
        speed: float = 1.0,
        policy: str = "late_binding",
        partitions: int = 16,
    ) -> Agent:
        """Start an agent and a runner that announces itself to it."""
        settings = self._settings(name, domain, policy=policy, partitions=partitions)
        agent = Agent.from_settings(settings)
        await self.group.start(agent.run)
        self.agents.append(agent)
        runner = RunnerStandin(
            f"runner-of-{name}", kinds=sorted(self.configuration.kinds), speed=speed
        )
        await self.group.start(runner.serve, agent.http_address)
        self.runners.append(runner)
        return agent

    async def wait_until_ready(self, partitions: int) -> None:
        """Wait until every partition is active and the entries are configured."""
        while not self._is_ready(partitions):
            await anyio.sleep(READY_POLL_S)

    def _is_ready(self, partitions: int) -> bool:
        active = sum(
            register.is_primary and register.phase.value == "active"
            for agent in self.agents
            for register in agent.board.registers.values()
        )
        return active >= partitions and all(
            len(entry.board.partitions.records) == partitions
            and entry.board.configuration.ready
            for entry in self.entries
        )

    def session(self, team: str, **options) -> AsyncSession:
        """Return a client session that uses all entries."""
        addresses = [entry.http_address for entry in self.entries]
        return AsyncSession(addresses, team, **options)


class Timing(Struct):
    """The response times of one kind of request, in seconds."""

    kind: str
    ideal_s: float
    elapsed_s: list[float] = field(default_factory=list)
    failures: int = 0


async def run_demo(seconds: float = 5.0) -> list[Timing]:
    """Run jobs and calls of all kinds and return their timings."""
    timings = {
        "stock-check": Timing("stock-check", 0.05),
        "cut-list": Timing("cut-list", 0.1),
        "quote": Timing("quote", 0.08),
        "flag-change": Timing("flag-change", 0.05),
        "surf-alert": Timing("surf-alert", 0.05),
        "swap": Timing("swap", 0.08),
    }
    async with LocalSystem.open(agents=4) as system:
        print(
            f"{len(system.entries)} entries, {len(system.agents)} agents, "
            f"{len(system.runners)} runners on loopback; entry at "
            f"http://{system.entries[0].http_address}"
        )
        async with anyio.create_task_group() as group:
            for timing in timings.values():
                group.start_soon(_run_kind, system, timing, seconds)
        _print_timings(timings.values())
        _print_messages(system)
    return list(timings.values())


async def _run_kind(system: LocalSystem, timing: Timing, seconds: float) -> None:
    team = "brusadelli"
    if timing.kind in ("flag-change", "surf-alert", "swap"):
        team = "gulfline"
    deadline = time.monotonic() + seconds
    payload = {"work_ms": timing.ideal_s * 1000}
    async with system.session(team) as session:
        while time.monotonic() < deadline:
            started = time.monotonic()
            try:
                if timing.kind == "cut-list":
                    await session.submit(timing.kind, [payload] * 20)
                else:
                    await session.call(timing.kind, payload)
            except MarigoldkeelError as error:
                timing.failures += 1
                print(f"{timing.kind}: {error}")
            timing.elapsed_s.append(time.monotonic() - started)


def _print_timings(timings) -> None:
    print(f"{'kind':12} {'answers':>8} {'failures':>8} {'mean/ideal':>10}")
    for timing in timings:
        mean_s = sum(timing.elapsed_s) / max(1, len(timing.elapsed_s))
        print(
            f"{timing.kind:12} {len(timing.elapsed_s):8} {timing.failures:8} "
            f"{mean_s / timing.ideal_s:10.2f}"
        )


def _print_messages(system: LocalSystem) -> None:
    by_type: dict[str, int] = {}
    for agent in system.agents:
        for name, number in agent.peers.counters.by_type.items():
            by_type[name] = by_type.get(name, 0) + number
    print("messages sent by agents:", msgspec.json.encode(by_type).decode())
    print("store calls:", msgspec.json.encode(dict(system.store.counts)).decode())
