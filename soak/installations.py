"""The stand-ins and processes of one run of the soak test."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from emulator.addresses import HOST, free_address
from emulator.proxies import Proxy
from emulator.runners import RunnerEmulator
from emulator.sites import QUEUE_HOST, plan_document, route
from emulator.stores import StoreEmulator
from emulator.workers import EmulatedWorker
from marigoldkeel.fleet.work import Resources
from marigoldkeel.platform.plans import PLAN_KEY
from marigoldkeel.servers import serve_http
from soak.programs import Program
from soak.records import OverwrittenRecords


REPORT_INTERVAL_S = 0.5
# As on the platform: the time from SIGTERM to SIGKILL.
GRACE_S = 6.0
STORE_TIMEOUT_S = 0.5
LEASE_CHECK_INTERVAL_S = 0.2
CORES = (4, 6, 8)
DOMAINS = "abc"
# Time from the operator's order until no task may start in a domain.
EVACUATE_S = 5.0
# Leaves room for earlier boots.
FIRST_BOOT = 1_000_000
# How the proxy of an entry tells a caller that the entry accepts no connection.
NOT_ACCEPTED_STATUS = 599
NOT_ACCEPTED = (
    f"HTTP/1.1 {NOT_ACCEPTED_STATUS} Not Accepted\r\n"
    "content-length: 0\r\nconnection: close\r\n\r\n"
).encode()


@dataclass
class PlanChange:
    """A configuration that the operator wrote, with the prefixes of its queues."""

    version: int
    prefixes: set[str]


@dataclass
class CancelledJob:
    """A job whose cancellation was confirmed during a disruption.

    :ivar calm_at: When the disruption had ended.
    :ivar ended_at: Until when starts of its tasks were to be seen.
    """

    job_id: str
    began_at: float
    calm_at: float
    ended_at: float


@dataclass
class FaultPeriod:
    """When a fault acted, on the soak test's clock."""

    name: str
    began_at: float
    ended_at: float


@dataclass
class Installation:
    """Entries and agents as processes, with stand-ins for the systems that they use.

    :ivar evacuations: Domain, time of the order and time of its withdrawal.
    :ivar evacuated: The domains that are evacuated now.
    :ivar store_outages: The times in which the store served nobody or with a delay.

    Usage::

        async with Installation.open(directory, entries=3, workers=4) as installation:
            installation.entries[0].kill()
    """

    directory: Path
    group: TaskGroup
    host: str = HOST
    store: StoreEmulator = field(default_factory=StoreEmulator)
    store_address: str = ""
    entries: list[Program] = field(default_factory=list)
    agents: list[Program] = field(default_factory=list)
    runners: list[RunnerEmulator] = field(default_factory=list)
    changes: list[PlanChange] = field(default_factory=list)
    leaving_periods: list[tuple[str, float, float]] = field(default_factory=list)
    evacuations: list[tuple[str, float, float]] = field(default_factory=list)
    evacuated: set[str] = field(default_factory=set)
    store_outages: list[tuple[float, float]] = field(default_factory=list)
    cancelled_jobs: list[CancelledJob] = field(default_factory=list)
    fault_periods: list[FaultPeriod] = field(default_factory=list)
    records: OverwrittenRecords = field(init=False)

    def __post_init__(self):
        self.records = OverwrittenRecords(self.store)

    @classmethod
    @asynccontextmanager
    async def open(
        cls, directory: Path, entries: int, workers: int, host: str = HOST
    ) -> AsyncIterator["Installation"]:
        """Start the stand-ins and processes, and kill the processes at the end.

        :param host: Loopback address of all processes, different for each run, so that
            concurrent runs do not take each other's ports.
        """
        async with anyio.create_task_group() as group:
            self = cls(directory, group, host)
            self.remove_logs()
            try:
                self.store_address = await group.start(
                    serve_http, self.store.application, self.host, 0
                )
                group.start_soon(self._expire_leases)
                self.configure({"/stock/"})
                for number in range(entries):
                    await self._add_entry(number)
                for number in range(workers):
                    await self._add_worker(number)
                yield self
            finally:
                for program in self.programs:
                    program.kill()
                group.cancel_scope.cancel()

    @property
    def programs(self) -> list[Program]:
        """The processes of all entries and agents."""
        return self.entries + self.agents

    @property
    def proxies(self) -> list[Proxy]:
        """The proxies of all links of the processes."""
        return [proxy for item in self.programs for proxy in item.links.values()]

    @property
    def callers_links(self) -> list[Proxy]:
        """The proxies between callers and entries."""
        return [entry.callers_link for entry in self.entries]

    @property
    def prefixes(self) -> set[str]:
        """The prefixes of all queues that were ever configured."""
        return {prefix for change in self.changes for prefix in change.prefixes}

    def remove_logs(self) -> None:
        """Remove the logs of an earlier run in the same directory."""
        for log in self.directory.glob("*.log"):
            log.unlink()

    def configure(self, prefixes: set[str]) -> None:
        """Write a configuration with these queues, as the operator does."""
        version = 2 + (self.changes[-1].version if self.changes else 0)
        routes = [
            route(prefix.strip("/"), prefix, timeout_ms=5000)
            for prefix in sorted(prefixes)
        ]
        self.store.put(PLAN_KEY, plan_document(version, routes))
        self.changes.append(PlanChange(version, set(prefixes)))

    def restore(self) -> None:
        """End the faults of all links, of the store and of the workers."""
        for proxy in self.proxies + self.callers_links:
            proxy.restore()
        self.store.restore()
        for runner in self.runners:
            runner.restore()

    async def _expire_leases(self) -> None:
        while True:
            await anyio.sleep(LEASE_CHECK_INTERVAL_S)
            self.store.expire()

    async def _add_proxy(self, program: Program, name: str, target: str) -> str:
        proxy = Proxy(free_address(self.host), target)
        await self.group.start(proxy.serve)
        program.links[name] = proxy
        return proxy.address

    async def _create_program(self, name: str, domain: str) -> Program:
        program = Program(name, {}, self.directory)
        listen = free_address(self.host)
        program.settings.update(
            name=name,
            domain=domain,
            listen=listen,
            advertise=await self._add_proxy(program, "peers", listen),
            metrics=free_address(self.host),
            seeds=[entry.settings["advertise"] for entry in self.entries],
            grace_s=GRACE_S,
            store={
                "kind": "platform",
                "url": await self._add_proxy(program, "store", self.store_address),
                "timeout_s": STORE_TIMEOUT_S,
            },
        )
        return program

    async def _add_entry(self, number: int) -> None:
        entry = await self._create_program(f"entry-{number}", DOMAINS[number % 3])
        entry.settings["callers"] = {
            "address": free_address(self.host),
            "readiness": free_address(self.host),
        }
        entry.settings["evacuation"] = {"within_ms": 1000 * EVACUATE_S}
        proxy = Proxy(
            free_address(self.host), entry.settings["callers"]["address"], NOT_ACCEPTED
        )
        await self.group.start(proxy.serve)
        entry.callers_link = proxy
        self.entries.append(entry)
        entry.launch()

    async def _add_worker(self, number: int) -> None:
        domain = DOMAINS[number % 3]
        agent = await self._create_program(f"agent-{number}", domain)
        capacity = Resources(1000 * CORES[number % 3], 65_536)
        runner = RunnerEmulator(
            EmulatedWorker(f"i-{number}", "service", domain, capacity, boot=FIRST_BOOT)
        )
        address = await self.group.start(serve_http, runner.application, self.host, 0)
        agent.settings["worker"] = {
            "address": await self._add_proxy(agent, "worker", address),
            "reports": free_address(self.host),
            "service": "service",
        }
        self.agents.append(agent)
        self.runners.append(runner)
        agent.launch()
        reports = agent.settings["worker"]["reports"]
        self.group.start_soon(runner.report_forever, reports, REPORT_INTERVAL_S)


def entry_url(entry: Program, path: str) -> tuple[str, dict[str, str]]:
    """Return the URL of a path at an entry, and the ``host`` header of its queue."""
    return f"http://{entry.callers_link.address}{path}", {"host": QUEUE_HOST}
