"""A small installation: the project's daemons as processes, and the stand-ins."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

import rig_web as web
from rig_proxy import Proxy
from rig_record import Record
from rig_runner import Runner
from rig_store import Store


ROOT = Path(__file__).resolve().parents[1]
METRICS_PORT = 9464
GRACE_S = 6
SERVICE = "huvo11a"
HOST = "nony24.example"
PREFIX = "/lohu930/"


def render(template: str, fields: dict) -> str:
    """Fill in a template of the deploy folder, as the platform does."""

    def section(match: re.Match) -> str:
        entries = fields[match[1]]
        parts = []
        for index, entry in enumerate(entries):
            comma = "," if index < len(entries) - 1 else ""
            parts.append(match[2].replace("{{.}}", entry).replace("{{,}}", comma))
        return "".join(parts)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(fields[match[1]]), text)


def run_arguments(role: str) -> list[str]:
    """Return the command of a role in the deploy file."""
    text = (ROOT / "deploy/system.toml").read_text()
    found = re.search(rf'\[roles\.{role}\]\nrun = "([^"]*)"', text)
    return found[1].split(" ")


class Daemon:
    """An entry or agent as a process.

    :ivar advertise: The address of a proxy at which other daemons reach it, if any.
    """

    def __init__(self, role: str, name: str, fields: dict, folder: Path, record):
        self.role = role
        self.name = name
        self.fields = fields
        self.record: Record = record
        self.folder = folder
        self.settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.advertise = ""
        self.process: subprocess.Popen | None = None

    @property
    def front(self) -> str:
        """The address for clients."""
        return self.fields["listen.front"]

    def launch(self) -> None:
        """Start the process with its settings."""
        template = (ROOT / f"deploy/{self.role}.toml").read_text()
        text = render(template, self.fields)
        if self.advertise:
            text = f'advertise = "{self.advertise}"\n{text}'
        self.settings.write_text(text)
        arguments = run_arguments(self.role)
        arguments[-1] = str(self.settings)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                arguments, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.note(f"{self.name} launched")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Stop the process as the platform does; SIGKILL after the grace period."""
        self.record.note(f"{self.name} gets SIGTERM")
        self.signal(signal.SIGTERM)
        end = time.monotonic() + GRACE_S
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        if self.process.poll() is None:
            self.kill()
        self.record.note(f"{self.name} ended with {self.process.poll()}")

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.record.note(f"{self.name} killed")


class Installation:
    """The daemons, the store and the runners.

    :param proxied: Numbers of the entries that the others reach through a proxy.

    The folder with settings and logs is removed at the end, unless KEEP=1 is set.

    Usage::

        async with Installation(record, entries=2, runners=3) as installation:
            await installation.wait_until_ready()
    """

    def __init__(
        self, record: Record, entries: int, runners: int, proxied: tuple[int, ...] = ()
    ):
        self.record = record
        self.proxied = proxied
        self.proxies: dict[str, Proxy] = {}
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.net = f"127.{random.randint(20, 240)}.{random.randint(1, 250)}"
        self.next_ip = 1
        self.entries: list[Daemon] = []
        self.agents: list[Daemon] = []
        self.runners: list[Runner] = []
        self.counts = (entries, runners)

    def free_ip(self) -> str:
        """Return a loopback address on which the port of the metrics is free."""
        while True:
            ip = f"{self.net}.{self.next_ip}"
            self.next_ip += 1
            with socket.socket() as probe:
                try:
                    probe.bind((ip, METRICS_PORT))
                except OSError:
                    continue
            return ip

    def free_address(self, ip: str) -> str:
        """Return an address with a free port."""
        with socket.socket() as probe:
            probe.bind((ip, 0))
            return f"{ip}:{probe.getsockname()[1]}"

    async def __aenter__(self) -> "Installation":
        self.configure(1)
        entries, runners = self.counts
        zones = ("pensacola", "destin", "panama-city")
        for number in range(entries):
            await self.add_entry(f"front-{number + 1}", zones[number % 3])
        seeds = [entry.fields["listen.control"] for entry in self.entries][:3]
        for entry in self.entries:
            entry.fields["seeds"] = seeds
        for number in range(runners):
            await self.add_runner(f"side-{number + 1}", zones[number % 3], seeds)
        for number in self.proxied:
            entry = self.entries[number]
            self.proxies[entry.name] = await self.add_proxy(entry)
            control = entry.fields["listen.control"]
            seeds[:] = [entry.advertise if seed == control else seed for seed in seeds]
        # "All machines start within 0.3 s of each other, in any order."
        daemons = [*self.entries, *self.agents]
        for daemon in daemons:
            daemon.launch()
            await asyncio.sleep(0.28 / len(daemons))
        return self

    async def __aexit__(self, *error) -> None:
        for daemon in self.entries + self.agents:
            if daemon.process is not None:
                daemon.process.kill()
                daemon.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, version: int, timeout_ms: int = 1500, **route) -> None:
        """Write the configuration, as the operator does."""
        config = {
            "version": version,
            "routes": [
                {
                    "name": "r-1",
                    "host": HOST,
                    "prefix": PREFIX,
                    "service": SERVICE,
                    "timeout_ms": timeout_ms,
                    "slo_ms": 60,
                    "priority": 0,
                    "max_attempts": 3,
                    "stretch": 1.6,
                    **route,
                }
            ],
            "services": [{"name": SERVICE, "admission_check": False}],
            "limits": {},
        }
        self.store.put("op/config", json.dumps(config).encode())

    async def _fields(self, name: str, zone: str) -> dict:
        ip = self.free_ip()
        store = self.free_address("127.0.0.1")
        await self.store.open(name, store)
        return {
            "node": name,
            "zone": zone,
            "ip": ip,
            "listen.control": self.free_address(ip),
            "bounds.grace_s": GRACE_S,
            "platform.addr": store,
            "seeds": [],
        }

    async def add_entry(self, name: str, zone: str) -> Daemon:
        """Add an entry without launching it."""
        fields = await self._fields(name, zone)
        fields["listen.front"] = self.free_address(fields["ip"])
        fields["listen.ready_addr"] = self.free_address(fields["ip"])
        entry = Daemon("entry", name, fields, self.folder, self.record)
        self.entries.append(entry)
        return entry

    async def add_runner(self, name: str, zone: str, seeds: list[str]) -> None:
        """Add a runner, and its agent without launching it."""
        fields = await self._fields(name, zone)
        fields["port_range.0"] = self.free_address(fields["ip"]).rpartition(":")[2]
        fields["app"] = self.free_address(fields["ip"])
        fields["service"] = SERVICE
        fields["seeds"] = seeds
        agent = Daemon("agent", name, fields, self.folder, self.record)
        runner = Runner(
            f"i-{name}", fields["app"], fields["listen.control"], zone, self.record
        )
        await runner.open(SERVICE)
        self.agents.append(agent)
        self.runners.append(runner)

    async def add_proxy(self, daemon: Daemon) -> Proxy:
        """Put a proxy between a daemon and the others, before it is launched."""
        proxy = Proxy(daemon.fields["listen.control"])
        daemon.advertise = self.free_address(daemon.fields["ip"])
        await proxy.open(daemon.advertise)
        return proxy

    async def is_ready(self, entry: Daemon) -> bool:
        """Return whether the balancer would use an entry."""
        try:
            status, _ = await web.call(
                entry.fields["listen.ready_addr"], "GET", "/api/ready", {}
            )
        except (ConnectionError, OSError, TimeoutError):
            return False
        return status == 200

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all entries are ready and a job has been done through each."""
        end = time.monotonic() + timeout_s
        for entry in self.entries:
            while not await self.is_ready(entry):
                if time.monotonic() > end:
                    raise RuntimeError(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)


async def submit(
    entry: Daemon,
    job: str,
    steps: list[dict],
    work_ms: int,
    deadline_ms: int,
    timeout_s: float | None = None,
) -> int | str:
    """Hand a job in and wait for its answer.

    :return: The status, or why there was none.
    """
    content = {"spec": f"work_ms={work_ms}", "best_effort": True, "steps": steps}
    headers = {"host": HOST, "marigoldkeel-deadline-ms": str(deadline_ms)}
    entry.record.note(f"POST {job} to {entry.name}")
    try:
        status, answer = await web.call(
            entry.front,
            "POST",
            PREFIX + job,
            headers,
            content,
            timeout_s or deadline_ms / 1000,
        )
    except TimeoutError:
        outcome: int | str = "no answer in time"
    except (ConnectionError, OSError) as error:
        outcome = f"channel broken: {error}"
    else:
        outcome = status
        text = answer.get("state") or answer.get("error")
        entry.record.note(f"answer {job} {status} {text}")
        return outcome
    entry.record.note(f"no answer {job} {outcome}")
    return outcome


def job_id(rng: random.Random) -> str:
    """Return a new job id."""
    return f"{rng.getrandbits(64):016x}"
