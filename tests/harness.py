"""Runs a complete system as separate processes over loopback, with faults."""

import os
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import anyio.from_thread
import msgspec

from emulator.addresses import free_address
from emulator.proxies import Proxy
from marigoldkeel.audit import ChangeResult, ConfigurationStore
from marigoldkeel.configuration import Configuration
from marigoldkeel.identifiers import mint_submission_id
from marigoldkeel.stores import open_store
from tests.processes import DaemonProcess, request, wait_until


DOMAINS = ("Seregno", "Lissone", "Meda")


@dataclass
class System:
    """The processes of one complete system: store, entries, agents and runners.

    Usage::

        with System.open(tmp_path) as system:
            system.agents[0].kill()
    """

    directory: Path
    partitions: int = 8
    store_url: str = ""
    store: DaemonProcess | None = None
    entries: list[DaemonProcess] = field(default_factory=list)
    agents: list[DaemonProcess] = field(default_factory=list)
    runners: dict[str, DaemonProcess] = field(default_factory=dict)
    forwarders: dict[str, Proxy] = field(default_factory=dict)
    started: list[DaemonProcess] = field(default_factory=list)

    def __enter__(self) -> "System":
        self.forwarder_tasks = []
        self.portal_context = anyio.from_thread.start_blocking_portal()
        self.portal = self.portal_context.__enter__()
        return self

    def __exit__(self, *details) -> None:
        self.close()

    def close(self) -> None:
        """Kill every process that was started."""
        for daemon in self.started:
            if daemon.alive:
                daemon.kill()
        for task in self.forwarder_tasks:
            task.cancel()
        self.portal_context.__exit__(None, None, None)

    def start(self, agents: int = 4, forwarded: int | None = None) -> None:
        """Start all processes and wait until all partitions are open.

        :param forwarded: Number of the agent that is reached through a proxy.
        """
        address = free_address()
        self.store_url = f"http://{address}"
        self.store = self.launch(
            DaemonProcess("store", ["standin", "store", "--address", address], address)
        )
        wait_until(
            lambda: request("GET", self.store_url + "/counts") is not None, "store"
        )
        self.apply(lambda configuration: Configuration.example())
        for number in range(2):
            self.entries.append(self.make_daemon("entry", f"entry-{number}", number))
        for number in range(agents):
            self.add_agent(f"agent-{number}", number, number == forwarded)
        self.wait_until_open()

    def launch(self, daemon: DaemonProcess) -> DaemonProcess:
        """Start the process of a daemon, which appends its output to a log file."""
        daemon.log = self.directory / f"{daemon.name}.log"
        with daemon.log.open("ab") as log:
            daemon.popen = subprocess.Popen(
                [sys.executable, "-m", "marigoldkeel", *daemon.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=Path(__file__).parent.parent,
                env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
            )
        self.started = [known for known in self.started if known is not daemon]
        self.started.append(daemon)
        return daemon

    def make_daemon(
        self, role: str, name: str, number: int, forwarded=False
    ) -> DaemonProcess:
        """Write the settings of an entry or agent and start it."""
        listen, http, domain = free_address(), free_address(), DOMAINS[number % 3]
        advertise = listen
        if forwarded:
            advertise = free_address()
            self.forwarders[name] = Proxy(advertise, listen)
            task, _ = self.portal.start_task(self.forwarders[name].serve)
            self.forwarder_tasks.append(task)
        contacts = [entry.address for entry in self.entries]
        path = self.directory / f"{name}.toml"
        path.write_text(
            f'name = "{name}"\ndomain = "{domain}"\nlisten = "{listen}"\n'
            f'advertise = "{advertise}"\nhttp = "{http}"\ncontacts = {contacts}\n'
            f"partitions = {self.partitions}\n"
            f'[store]\nurl = "{self.store_url}"\n'
        )
        return self.launch(
            DaemonProcess(name, [role, str(path)], http, advertise, domain)
        )

    def add_agent(
        self, name: str, number: int, forwarded: bool = False
    ) -> DaemonProcess:
        """Start an agent and the runner beside it."""
        agent = self.make_daemon("agent", name, number, forwarded)
        self.agents.append(agent)
        wait_until(agent.status, f"{name} answers")
        runner = DaemonProcess(
            f"runner-{name}", ["standin", "runner", f"runner-{name}"]
        )
        runner.arguments += [
            agent.http,
            "--kinds",
            *sorted(Configuration.example().kinds),
        ]
        runner.arguments += ["--history", str(self.directory / f"{runner.name}.starts")]
        self.runners[name] = self.launch(runner)
        return agent

    def remove_agent(self, agent: DaemonProcess) -> None:
        """Remove an agent and kill its runner, as when a host is lost."""
        self.agents.remove(agent)
        self.runners.pop(agent.name).kill()

    @property
    def daemons(self) -> list[DaemonProcess]:
        """The entries and agents."""
        return [*self.entries, *self.agents]

    def apply(self, edit) -> ChangeResult:
        """Change the configuration through the store."""

        async def change() -> ChangeResult:
            async with open_store("etcd", self.store_url) as store:
                return await ConfigurationStore(store).change(
                    edit, "tests", "whole path", str(mint_submission_id())
                )

        return anyio.run(change)

    def store_faults(self, **faults) -> None:
        """Set the faults that the store injects."""
        assert request("POST", f"{self.store_url}/faults", faults) is not None

    def starts(self) -> list[dict]:
        """Return the recorded starts of all runners."""
        return [
            msgspec.json.decode(line)
            for path in sorted(self.directory.glob("*.starts"))
            for line in path.read_bytes().splitlines()
        ]

    def starts_at(self, runner: DaemonProcess) -> int:
        """Return the number of starts that one runner has recorded."""
        path = self.directory / f"{runner.name}.starts"
        return len(path.read_bytes().splitlines()) if path.exists() else 0

    def records(self) -> dict[int, dict]:
        """Return the newest record of each partition that any daemon knows."""
        newest: dict[int, dict] = {}
        for status in filter(None, (daemon.status() for daemon in self.daemons)):
            for record in status["partitions"]:
                known = newest.get(record["partition"], {"generation": 0})
                if record["generation"] > known["generation"]:
                    newest[record["partition"]] = record
        return newest

    def agent(self, name: str) -> DaemonProcess:
        """Return the live agent with this name."""
        return next(agent for agent in self.agents if agent.name == name)

    def member_incarnations(self) -> set[str]:
        """Return the incarnations that are members of any partition."""
        return {
            record[role]["incarnation"]
            for record in self.records().values()
            for role in ("primary", "standby")
        }

    def revisions(self) -> set[int]:
        """Return the configuration revisions of the daemons; 0 for no answer."""
        statuses = [daemon.status() for daemon in self.daemons]
        return {status["config_revision"] if status else 0 for status in statuses}

    def wait_until_open(self) -> None:
        """Wait until all live daemons agree on partitions that are open."""
        wait_until(self.is_open, "all partitions are open")

    def is_open(self) -> bool:
        statuses = [daemon.status() for daemon in self.daemons if daemon.alive]
        if not all(statuses):
            return False
        roles: dict[tuple[str, str, int, int], bool] = {
            (
                status["member"]["incarnation"],
                register["role"],
                register["partition"],
                register["generation"],
            ): register["phase"] == "active"
            for status in statuses
            for register in status.get("registers", ())
        }
        for status in statuses:
            if len(status["partitions"]) != self.partitions:
                return False
            for record in status["partitions"]:
                where = (record["partition"], record["generation"])
                for role in ("primary", "standby"):
                    if not roles.get((record[role]["incarnation"], role, *where)):
                        return False
            if status["role"] == "agent" and not status["slots"]:
                return False
        return len(roles) == 2 * self.partitions
