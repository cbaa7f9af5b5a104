"""A small installation of the platform on loopback within one process."""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import httpcore
import msgspec
from anyio.abc import TaskGroup

from emulator.addresses import HOST, free_address
from emulator.runners import RunnerEmulator
from emulator.stores import StoreEmulator
from emulator.workers import EmulatedWorker
from marigoldkeel.fleet.daemons import FleetAgent, FleetDaemon, FleetEntry
from marigoldkeel.fleet.settings import (
    CallerSettings,
    EvacuationSettings,
    FleetSettings,
    WorkerSettings,
)
from marigoldkeel.fleet.work import Resources
from marigoldkeel.platform.daemons import open_daemon
from marigoldkeel.platform.plans import PLAN_KEY
from marigoldkeel.servers import serve_http
from marigoldkeel.settings import StoreSettings


REPORT_INTERVAL_S = 0.3
QUEUE_HOST = "shop.example"
TASK_CPU_MILLI = 1000


def route(name: str, prefix: str, **fields) -> dict:
    """Return a queue in the format of the operators' configuration."""
    return {
        "name": name,
        "host": QUEUE_HOST,
        "prefix": prefix,
        "service": "service",
        "kind": "unsafe",
        "timeout_ms": 1500,
        "slo_ms": 60,
        "priority": 1,
        "max_attempts": 3,
        "stretch": 1.6,
        **fields,
    }


def plan_document(version: int, routes: Iterable[dict]) -> bytes:
    """Return a configuration in the operators' format."""
    content = {
        "version": version,
        "routes": list(routes),
        "services": [{"name": "service", "admission_check": False}],
        "limits": {},
    }
    return msgspec.json.encode(content)


@dataclass
class Site:
    """The daemons of an installation and the emulated platform services.

    Usage::

        async with Site.open(entries=2, workers=3) as site:
            status, body = await site.submit("/stock/", count=2, work_ms=50)
    """

    group: TaskGroup
    pool: httpcore.AsyncConnectionPool
    store: StoreEmulator
    store_address: str
    entries: list[FleetEntry] = field(default_factory=list)
    agents: list[FleetAgent] = field(default_factory=list)
    runners: list[RunnerEmulator] = field(default_factory=list)
    version: int = 0
    jobs: int = 0
    metrics: bool = False
    evacuation: EvacuationSettings | None = None

    @classmethod
    @asynccontextmanager
    async def open(
        cls,
        entries: int = 2,
        workers: int = 3,
        metrics: bool = False,
        evacuation: EvacuationSettings | None = None,
    ) -> AsyncIterator["Site"]:
        """Start all daemons and wait until the entries know all workers."""
        async with anyio.create_task_group() as group:
            store = StoreEmulator()
            address = await group.start(serve_http, store.application, HOST, 0)
            async with httpcore.AsyncConnectionPool() as pool:
                site = cls(
                    group, pool, store, address, metrics=metrics, evacuation=evacuation
                )
                site.configure(route("stock", "/stock/"))
                for number in range(entries):
                    site.add_entry(f"entry-{number}")
                for number in range(workers):
                    await site.add_worker(f"agent-{number}")
                await site.wait_until_ready()
                yield site
            group.cancel_scope.cancel()

    def configure(self, *routes: dict) -> int:
        """Write a new configuration and return its version."""
        self.version += 2
        self.store.put(PLAN_KEY, plan_document(self.version, routes))
        return self.version

    def settings(self, name: str, domain: str = "a", **fields) -> FleetSettings:
        """Return settings for a daemon with free addresses."""
        seeds = [entry.settings.listen for entry in self.entries]
        store = StoreSettings(self.store_address, "platform", 0.3)
        return FleetSettings(
            name=name,
            domain=domain,
            listen=free_address(),
            store=store,
            seeds=seeds,
            metrics=free_address() if self.metrics else "",
            **fields,
        )

    def add_entry(self, name: str) -> FleetEntry:
        """Start an entry."""
        callers = CallerSettings(free_address(), free_address())
        entry = open_daemon(
            self.settings(name, callers=callers, evacuation=self.evacuation)
        )
        self.entries.append(entry)
        self.group.start_soon(entry.run)
        return entry

    async def add_worker(
        self, name: str, cores: int = 4, domain: str = "a"
    ) -> FleetAgent:
        """Start a runner and its agent."""
        capacity = Resources(1000 * cores, 65_536)
        runner = RunnerEmulator(
            EmulatedWorker(f"i-{name}", "service", domain, capacity)
        )
        address = await self.group.start(serve_http, runner.application, HOST, 0)
        worker = WorkerSettings(address, free_address(), "service")
        agent = open_daemon(self.settings(name, domain, worker=worker))
        self.runners.append(runner)
        self.agents.append(agent)
        self.group.start_soon(agent.run)
        self.group.start_soon(runner.report_forever, worker.reports, REPORT_INTERVAL_S)
        return agent

    async def wait_until_ready(self, limit_s: float = 20.0) -> None:
        """Wait until every entry has the current plan and can use every worker."""
        with anyio.fail_after(limit_s):
            while not all(
                entry.controller is not None
                and entry.plan is not None
                and entry.plan.version == self.version
                and len(entry.fleet.ready("service")) == len(self.agents)
                for entry in self.entries
            ):
                await anyio.sleep(0.02)

    async def request(
        self,
        daemon: FleetDaemon,
        method: str,
        path: str,
        content: object = None,
        caller_timeout_ms: int = 10_000,
    ) -> tuple[int, dict, dict]:
        """Send a request to an entry; return status, content and headers."""
        body = content if isinstance(content, bytes) else msgspec.json.encode(content)
        response = await self.pool.request(
            method,
            f"http://{daemon.settings.callers.address}{path}",
            headers={
                "host": QUEUE_HOST,
                "content-type": "application/json",
                "marigoldkeel-deadline-ms": str(caller_timeout_ms),
            },
            content=body,
        )
        headers = {name.decode().lower(): v.decode() for name, v in response.headers}
        return response.status, msgspec.json.decode(response.content), headers

    def job(self, count: int = 1, work_ms: int = 50, **fields) -> dict:
        """Return the body of a job of one step."""
        task = {"work_ms": work_ms, "cpu": TASK_CPU_MILLI, **fields.pop("task", {})}
        step = {
            "count": count,
            "cpu": TASK_CPU_MILLI,
            "mem_mb": 64,
            "estimate_ms": work_ms,
        }
        return {
            "spec": msgspec.json.encode(task).decode(),
            "steps": [{**step, **fields.pop("step", {})}],
            "best_effort": True,
            **fields,
        }

    def job_path(self, prefix: str = "/stock/") -> str:
        """Return the path of a new, unused job id."""
        self.jobs += 1
        return f"{prefix}{self.jobs:016x}"

    def started(self) -> list[str]:
        """Return the job id of each run that was started."""
        return [
            run_id.task.job_id
            for runner in self.runners
            for _, run_id in runner.worker.starts
        ]
