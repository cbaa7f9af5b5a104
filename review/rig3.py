"""Rig of the cases 11 to 15: the programs as processes, and stand-ins around them.

Uses only the standard library. The stand-ins of the store, the runners and the clients
do what the users' pages allow a sound one to do; a case adds the disruption.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit


ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
HOST_NAME = "rig.example"
PREFIX = "/jobs/"
# Bounds of the small sites.
GRACE_S = 6.0
CANCEL_S = 3.0
MAX_HOLD_S = 1.0
STOP_S = 0.05
HEARTBEAT_S = 1.5
# When a call that a runner leaves unanswered is carried out.
APPLIED_LATE_S = 2.0
READY_TIMEOUT_S = 15.0
START_ATTEMPTS = 5
# How long a case waits at most for its answers.
CASE_TIMEOUT_S = 100.0
STARTED_AT = time.monotonic()


class CannotRunError(Exception):
    """The case could not be played as described."""


class Record:
    """What was sent, answered and run, as lines of ``record.txt`` with seconds."""

    def __init__(self, folder: Path):
        self.path = folder / "record.txt"
        self.lines: list[str] = []

    def add(self, text: str) -> float:
        now = time.monotonic() - STARTED_AT
        self.lines.append(f"{now:8.3f} {text}")
        return now

    def write(self) -> None:
        self.path.write_text("\n".join(self.lines) + "\n")


def free_ports(count: int) -> list[int]:
    """Return ports on loopback that nothing listens at."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


Reply = tuple[int, Any] | None
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[Reply]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Return the first line and the body of a request or response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    length = 0
    for line in lines:
        name, _, value = line.partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
    return first, await reader.readexactly(length)


async def serve_http(port: int, handler: Handler) -> asyncio.Server:
    """Serve requests; a handler that returns None leaves its request unanswered."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        try:
            while True:
                first, body = await read_message(reader)
                method, target, _ = first.split(" ")
                url = urlsplit(target)
                query = {key: row[0] for key, row in parse_qs(url.query).items()}
                content = json.loads(body) if body else None
                reply = await handler(method, unquote(url.path), query, content)
                if reply is None:
                    await reader.read(1)
                    return
                status, answer = reply
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", port)


async def call(
    port: int,
    method: str,
    path: str,
    content: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
    left_open: list[asyncio.StreamWriter] | None = None,
) -> tuple[int, Any]:
    """Send a request on a channel of its own; status 0 if there is no answer.

    :param left_open: Takes the channel, which is then left open after the time-out.
    """
    data = b"" if content is None else json.dumps(content).encode()
    fields = {
        "host": HOST_NAME,
        "content-type": "application/json",
        "content-length": str(len(data)),
        **(headers or {}),
    }
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head.encode() + data)
            first, body = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(body) if body else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None and left_open is not None:
            left_open.append(writer)
        elif writer is not None:
            writer.close()


def process_of(port: int, processes: set[int]) -> int:
    """Return which of some processes has a channel from a port; 0 if none of them."""
    if not processes:
        return 0
    # The fields are: local and remote address, state, queues, timer, retransmissions,
    # user, time-out and inode.
    row = rf"\d+: [0-9A-F]+:{port:04X} (?:\S+\s+){{7}}(\d+)"
    inodes = re.findall(row, Path("/proc/net/tcp").read_text())
    names = {f"socket:[{inode}]" for inode in inodes if inode != "0"}
    for process in processes:
        for path in Path(f"/proc/{process}/fd").glob("*"):
            try:
                if os.readlink(path) in names:
                    return process
            except OSError:
                continue
    return 0


class Proxy:
    """Forwards the channels to a daemon; those that are cut are reset and refused.

    :ivar is_cut: Whether all channels are cut.
    :ivar cut_processes: The processes whose channels are cut.
    :ivar is_silent: Whether cut channels hold their bytes instead.
    """

    def __init__(self, target: int):
        self.target = target
        (self.port,) = free_ports(1)
        self.is_cut = False
        self.processes: set[int] = set()
        self.cut_processes: set[int] = set()
        # The processes of the channels, by their ports.
        self.owners: dict[int, int] = {}
        self.channels: list[tuple[int, asyncio.StreamWriter]] = []
        self.is_silent = False
        self.healed = asyncio.Event()

    async def serve(self) -> None:
        await asyncio.start_server(self._forward, "127.0.0.1", self.port)

    def cut(self) -> None:
        self.is_cut = True
        self._reset(self._is_closed_to)

    def cut_process(self, process: int) -> None:
        self.cut_processes.add(process)
        self._reset(self._is_closed_to)

    def heal(self) -> None:
        self.is_cut = False
        self.cut_processes.clear()
        self.healed.set()
        self.healed = asyncio.Event()

    def _is_closed_to(self, port: int) -> bool:
        """Return whether a channel from a port is cut."""
        if self.is_cut or not self.cut_processes:
            return self.is_cut
        if port not in self.owners:
            self.owners[port] = process_of(port, self.processes)
        return self.owners[port] in self.cut_processes

    def _reset(self, is_meant: Callable[[int], bool]) -> None:
        if self.is_silent:
            return
        for port, writer in list(self.channels):
            if is_meant(port):
                writer.transport.abort()

    async def _forward(self, reader, writer) -> None:
        port = writer.get_extra_info("peername")[1]
        self.owners.pop(port, None)
        if self._is_closed_to(port) and not self.is_silent:
            writer.transport.abort()
            return
        rows = [(port, writer)]
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.target
            )
            rows.append((port, far_writer))
            self.channels += rows
            await asyncio.wait(
                [
                    asyncio.ensure_future(self._copy(port, reader, far_writer)),
                    asyncio.ensure_future(self._copy(port, far_reader, writer)),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for row in rows:
                if row in self.channels:
                    self.channels.remove(row)
                row[1].close()

    async def _copy(self, port: int, reader, writer) -> None:
        try:
            while data := await reader.read(65_536):
                while self._is_closed_to(port):
                    await self.healed.wait()
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.rev = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = asyncio.Event()

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write an item; the value is base64 text."""
        self.rev += 1
        created = self.items.get(key, {}).get("created", self.rev)
        item = {"key": key, "value": value, "rev": self.rev, "created": created}
        self.items[key] = {**item, "lease": lease}
        self._notify(self.items[key])

    def put_json(self, key: str, content: Any) -> None:
        self.put(key, base64.b64encode(json.dumps(content).encode()).decode())

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.rev += 1
            self._notify({"key": key, "rev": self.rev, "removed": True})

    def _notify(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_forever(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self.leases.items()):
                if now > ends_at:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def handle(self, method: str, path: str, query: dict, content: Any) -> Reply:
        name, _, rest = path.removeprefix("/api/").partition("/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            found = {"current_rev": self.rev, **(item or {})}
            return (200 if item else 404), found
        if name == "kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
            items = [self.items[key] for key in keys if key > query.get("after", "")]
            return 200, {"items": items, "more_pages": False, "current_rev": self.rev}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(content)
        if name == "kv-lease":
            lease, ttl_s = len(self.history) + 1 + self.rev * 1000, content["ttl_ms"]
            while lease in self.leases:
                lease += 1
            ttl_s /= 1000
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "ttl_ms": content["ttl_ms"]}
        if name == "kv-keep":
            if int(rest) not in self.leases:
                return 404, {}
            ttl_s, _ = self.leases[int(rest)]
            self.leases[int(rest)] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttl_ms": round(1000 * ttl_s)}
        if name == "kv-lease-end":
            self._end_lease(int(rest))
            return 200, {}
        return 404, {}

    async def _watch(self, query: dict) -> Reply:
        after, prefix = int(query["after"]), query["prefix"]
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self.changed
            events = [
                event
                for event in self.history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self.rev}
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                pass

    def _transact(self, content: dict) -> Reply:
        for row in content.get("expect_rev", []):
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [item] if item else []}
        for row in content.get("set_keys", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in content.get("set_keys", []):
            self.put(row["key"], row["value"], row.get("lease", 0))
        for key in content.get("remove", []):
            self.remove(key)
        return 200, {"rev": self.rev}


class Task:
    """A run on a runner."""

    def __init__(self, number: int, work_s: float, began_at: float):
        self.number = number
        self.work_s = work_s
        self.began_at = began_at


class Runner:
    """A runner that doesn't guard its capacity. A task's ``spec`` is its time in ms.

    :ivar unanswered: Asked for each call, by its path; True leaves it without an
        answer and carries it out late.
    """

    def __init__(self, name: str, record: Record, cpu: int = 16_000):
        self.name = name
        self.record = record
        self.cpu = cpu
        self.port, self.control_port = free_ports(2)
        self.born = round(time.time() * 1000)
        self.clock_began_at = time.monotonic() - 100.0
        self.lease_ends_at = 0.0
        self.fence = 0
        self.running: dict[str, Task] = {}
        self.finished: list[list] = []
        self.ends = 0
        self.highest: dict[str, int] = {}
        self.sequence = 0
        self.changed = asyncio.Event()
        self.unanswered: Callable[[str], bool] = lambda path: False
        self.starts: list[tuple[float, str, int]] = []
        self.spans: dict[tuple[str, int], list[float]] = {}

    def clock_ms(self) -> int:
        return round(1000 * (time.monotonic() - self.clock_began_at))

    async def run_forever(self) -> None:
        """End tasks that are done, and all of them when the lease expires."""
        while True:
            await asyncio.sleep(0.002)
            now = time.monotonic()
            for task, run in list(self.running.items()):
                if now - run.began_at >= run.work_s:
                    self._end(task, "done")
            if self.running and now > self.lease_ends_at:
                for task in list(self.running):
                    self._end(task, "lapsed")

    async def report_forever(self) -> None:
        while True:
            self.sequence += 1
            report = {
                "service": "rig",
                "addr": f"127.0.0.1:{self.port}",
                "zone": "zone-a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpus": 0},
                "labels": ["a", "r1-1"],
                "clock_ms": self.clock_ms(),
                "seq": self.sequence,
                "born": self.born,
            }
            path = f"/api/instances/{self.name}"
            await call(self.control_port, "PUT", path, report, timeout_s=1.0)
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, method: str, path: str, query: dict, content: Any) -> Reply:
        if self.unanswered(path):
            self.record.add(f"{self.name} leaves {path} without an answer")
            await asyncio.sleep(APPLIED_LATE_S)
            await self._carry_out(path, content)
            return None
        status, answer = await self._carry_out(path, content)
        return status, {"clock_ms": self.clock_ms(), "born": self.born, **answer}

    async def _carry_out(self, path: str, content: dict) -> tuple[int, dict]:
        if content.get("fence", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = max(self.fence, content.get("fence", 0))
        if path == "/api/run-start":
            return self._start(content)
        if path == "/api/run-stop":
            await self._stop(content)
            return 200, {}
        if path == "/api/hold":
            return 200, await self._hold(content)
        return 404, {}

    def _extend(self, until_ms: int) -> None:
        left_s = min(MAX_HOLD_S, (until_ms - self.clock_ms()) / 1000)
        self.lease_ends_at = max(self.lease_ends_at, time.monotonic() + left_s)

    def _start(self, content: dict) -> tuple[int, dict]:
        task, number = content["task"], content["run"]
        if content["until_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(content["until_ms"])
        current = self.running.get(task)
        if current is not None and current.number == number:
            return 200, {}
        if current is not None or number <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        now = time.monotonic()
        self.running[task] = Task(number, int(content["spec"]) / 1000, now)
        seconds = self.record.add(f"{self.name} begins {task} run {number}")
        self.starts.append((seconds, task, number))
        self.spans[task, number] = [seconds, float("inf")]
        return 200, {}

    async def _stop(self, content: dict) -> None:
        task, number = content["task"], content["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        await asyncio.sleep(STOP_S / 2)
        run = self.running.get(task)
        if run is not None and run.number <= number:
            self._end(task, "stopped")

    def _end(self, task: str, how: str) -> None:
        run = self.running.pop(task)
        self.ends += 1
        self.highest[task] = max(run.number, self.highest.get(task, 0))
        self.finished.append([self.ends, task, run.number, how, ""])
        seconds = self.record.add(f"{self.name} ends {task} run {run.number} {how}")
        self.spans[task, run.number][1] = seconds
        self.changed.set()
        self.changed = asyncio.Event()

    async def _hold(self, content: dict) -> dict:
        if "until_ms" in content:
            self._extend(content["until_ms"])
        last_seen = content["last_seen"]
        self.finished = [row for row in self.finished if row[0] > last_seen]
        if not self.finished and content.get("wait_ms"):
            try:
                async with asyncio.timeout(content["wait_ms"] / 1000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [
                task,
                run.number,
                "",
                min(99, int(100 * (now - run.began_at) / run.work_s)),
            ]
            for task, run in self.running.items()
        ]
        return {"running": running, "finished": self.finished[:500]}


class Daemon:
    """One program, started with the command of the deploy file."""

    def __init__(self, name: str, settings: str, folder: Path, record: Record):
        self.name = name
        self.folder = folder
        self.record = record
        self.settings_path = folder / f"{name}.toml"
        self.settings_path.write_text(settings)
        self.process: subprocess.Popen | None = None

    def launch(self) -> None:
        paths = [str(ROOT / "target/deps"), str(ROOT)]
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": os.pathsep.join(paths),
            "MARIGOLDKEEL_MEMORY_MB": "300",
            "MARIGOLDKEEL_MAX_DESCRIPTORS": "1024",
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "marigoldkeel", "serve", self.settings_path],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.add(f"{self.name} is started")

    def send(self, number: signal.Signals) -> None:
        self.record.add(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    async def wait_end(self, timeout_s: float) -> None:
        """Wait for the end of the process.

        :raises CannotRunError: If it does not end in time.
        """
        ends_at = time.monotonic() + timeout_s
        while self.process.poll() is None:
            if time.monotonic() > ends_at:
                raise CannotRunError(f"{self.name} did not end")
            await asyncio.sleep(0.005)
        self.record.add(f"{self.name} has ended with {self.process.returncode}")

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Entry(Daemon):
    """A daemon that takes jobs at ``port``."""

    def __init__(self, name: str, rig: "Rig"):
        self.port, self.ready_port, listen, metrics = free_ports(4)
        # What other daemons send to this one passes it.
        self.link = Proxy(listen)
        seeds = [f"127.0.0.1:{item.link.port}" for item in rig.entries]
        seeds.append(f"127.0.0.1:{self.link.port}")
        settings = f"""
name = "{name}"
domain = "zone-a"
listen = "127.0.0.1:{listen}"
advertise = "127.0.0.1:{self.link.port}"
seeds = {json.dumps(seeds[:3])}
metrics = "127.0.0.1:{metrics}"
grace_s = {GRACE_S}

[store]
kind = "platform"
url = "127.0.0.1:{rig.store_port}"
timeout_s = 0.5

[callers]
address = "127.0.0.1:{self.port}"
readiness = "127.0.0.1:{self.ready_port}"

[overload]
policy = "by_priority"
capacity = "left_over"

[placement]
look_ahead = false
packing = "in_time"
"""
        super().__init__(name, settings, rig.folder, rig.record)

    async def submit(
        self,
        job_id: str,
        steps: list[dict],
        spec: int,
        waits_s: float,
        left_open: list[asyncio.StreamWriter] | None = None,
    ) -> int:
        """Hand in a job; return the status of the answer, 0 if there was none."""
        content = {"spec": str(spec), "steps": steps, "best_effort": True}
        self.record.add(f"client sends POST {job_id} to {self.name}")
        headers = {"marigoldkeel-deadline-ms": str(round(1000 * waits_s))}
        path = PREFIX + job_id
        status, answer = await call(
            self.port, "POST", path, content, headers, waits_s, left_open
        )
        self.record.add(f"client gets {status} {answer} for POST {job_id}")
        return status

    async def cancel(self, job_id: str) -> tuple[int, float]:
        """Cancel a job; return the status and when it was received."""
        self.record.add(f"client sends DELETE {job_id} to {self.name}")
        status, _ = await call(self.port, "DELETE", PREFIX + job_id)
        seconds = self.record.add(f"client gets {status} for DELETE {job_id}")
        return status, seconds


class Agent(Daemon):
    """The daemon on a runner's machine."""

    def __init__(self, name: str, runner: Runner, rig: "Rig"):
        self.runner = runner
        listen, metrics = free_ports(2)
        self.link = Proxy(listen)
        seeds = [f"127.0.0.1:{item.link.port}" for item in rig.entries]
        settings = f"""
name = "{name}"
domain = "zone-a"
listen = "127.0.0.1:{listen}"
advertise = "127.0.0.1:{self.link.port}"
seeds = {json.dumps(seeds[:3])}
metrics = "127.0.0.1:{metrics}"
grace_s = {GRACE_S}

[store]
kind = "platform"
url = "127.0.0.1:{rig.store_port}"
timeout_s = 0.5

[worker]
address = "127.0.0.1:{runner.port}"
reports = "127.0.0.1:{runner.control_port}"
service = "rig"
"""
        super().__init__(name, settings, rig.folder, rig.record)


class Rig:
    """A small deployment on loopback."""

    def __init__(self, folder: Path, record: Record):
        self.folder = folder
        self.record = record
        self.store = Store()
        (self.store_port,) = free_ports(1)
        self.entries: list[Entry] = []
        self.agents: list[Agent] = []
        self.runners: list[Runner] = []
        self.tasks: list[asyncio.Task] = []

    def spawn(self, work: Awaitable) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def start(self, entries: int, runners: int) -> None:
        """Start everything, and wait until each entry is ready.

        :raises CannotRunError: If that takes too long.
        """
        route = {
            "name": "jobs",
            "host": HOST_NAME,
            "prefix": PREFIX,
            "service": "rig",
            "timeout_ms": 60_000,
            "slo_ms": 60_000,
            "priority": 0,
            "max_attempts": 3,
            "stretch": 2.0,
        }
        service = {"name": "rig", "admission_check": False}
        self.store.put_json(
            "op/config", {"version": 3, "routes": [route], "services": [service]}
        )
        await serve_http(self.store_port, self.store.handle)
        self.spawn(self.store.expire_forever())
        for number in range(runners):
            runner = Runner(f"i-{number}", self.record)
            await serve_http(runner.port, runner.handle)
            self.runners.append(runner)
        for number in range(entries):
            entry = Entry(f"entry-{number}", self)
            await entry.link.serve()
            self.entries.append(entry)
        for number, runner in enumerate(self.runners):
            agent = Agent(f"agent-{number}", runner, self)
            await agent.link.serve()
            self.agents.append(agent)
        for daemon in self.daemons:
            daemon.launch()
        self._tell_processes()
        for runner in self.runners:
            self.spawn(runner.run_forever())
            self.spawn(runner.report_forever())
        ends_at = time.monotonic() + READY_TIMEOUT_S
        for entry in self.entries:
            while (await call(entry.ready_port, "GET", "/api/ready"))[0] != 200:
                if time.monotonic() > ends_at:
                    raise CannotRunError(f"{entry.name} is not ready")
                await asyncio.sleep(0.05)
        # Each entry knows all agents and the other entries by now.
        await asyncio.sleep(3.0)
        for number, entry in enumerate(self.entries):
            for attempt in range(START_ATTEMPTS):
                job_id = f"{number:08x}{attempt:08x}"
                if await entry.submit(job_id, [step()], 50, 5.0) == 200:
                    break
                await asyncio.sleep(1.0)
            else:
                raise CannotRunError(f"{entry.name} does not serve")

    @property
    def daemons(self) -> list[Daemon]:
        return [*self.entries, *self.agents]

    def _tell_processes(self) -> None:
        for daemon in self.daemons:
            daemon.link.processes = {item.process.pid for item in self.daemons}

    def cut_off(self, daemon: Daemon, is_silent: bool = False) -> None:
        """Cut all channels between a daemon and the other ones."""
        self.record.add(f"{daemon.name} is cut off from all other daemons")
        self._tell_processes()
        for other in self.daemons:
            other.link.is_silent = is_silent
        daemon.link.cut()
        for other in self.daemons:
            other.link.cut_process(daemon.process.pid)

    def reconnect(self) -> None:
        self.record.add("all daemons reach each other")
        for daemon in self.daemons:
            daemon.link.heal()

    def starts_of(self, job_id: str) -> list[tuple[float, str, str, int]]:
        """Return time, runner, task and number of the runs of a job."""
        return sorted(
            (seconds, runner.name, task, number)
            for runner in self.runners
            for seconds, task, number in runner.starts
            if task.startswith(job_id)
        )

    def overlaps_of(self, job_id: str) -> list[str]:
        """Return a line for each two runs of a task of a job at the same time."""
        rows = [
            (*span, task, number, runner.name)
            for runner in self.runners
            for (task, number), span in runner.spans.items()
            if task.startswith(job_id)
        ]
        return [
            f"{task} began on {other} (run {later_number}) at {later:.3f} while run "
            f"{number} went on on {name} from {began:.3f} to {ended:.3f}"
            for began, ended, task, number, name in rows
            for later, _, same, later_number, other in rows
            if task == same and began < later < ended
        ]

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            daemon.kill()


def step(count: int = 1, cpu: int = 1000, **fields: Any) -> dict:
    """Return a step of a job; ``estimate_ms`` and ``after`` are further fields."""
    return {"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": 500, **fields}


Case = Callable[[Rig], Awaitable[list[str]]]


def keep_logs(directory: Path) -> None:
    """Copy the logs to the folder that ``KEEP`` names, if any."""
    if os.environ.get("KEEP"):
        for log in directory.glob("*.log"):
            (Path(os.environ["KEEP"]) / log.name).write_bytes(log.read_bytes())


def main(case: Case, entries: int, runners: int) -> None:
    """Play a case; it returns what broke the rule."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    record.add(f"disruption: {'yes' if TROUBLE else 'no'}")

    async def play(directory: Path) -> list[str]:
        rig = Rig(directory, record)
        try:
            async with asyncio.timeout(CASE_TIMEOUT_S):
                await rig.start(entries, runners)
                return await case(rig)
        finally:
            rig.close()
            keep_logs(directory)

    code = EXIT_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as directory:
            broken = asyncio.run(play(Path(directory)))
        for line in broken:
            record.add(f"BROKEN: {line}")
        code = EXIT_BROKEN if broken else EXIT_HELD
    except (CannotRunError, TimeoutError, OSError) as error:
        record.add(f"not run: {type(error).__name__} {error}")
    record.add(f"exit {code}")
    record.write()
    print("\n".join(record.lines[-6:]))
    sys.exit(code)
