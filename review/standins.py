"""Stand-ins for the platform, its runners and its clients, for the review's scripts.

They need the standard library only. The programs under test run as separate processes
with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs


ROOT = Path(__file__).resolve().parent.parent
# An address for each run, so that concurrent runs don't take each other's ports.
HOST = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 200 + 1}.1"
QUEUE_HOST = "shop.example"
PREFIX = "/stock/"
SERVICE = "service"
MAX_HOLD_MS = 1000
HEARTBEAT_S = 1.5
GRACE_S = 6.0
# As the platform's clients: a job without an answer is sent again after this time.
RETRANSMIT_S = 1.3
# The first retransmission of a lost packet.
RETRANSMISSION_S = 0.2
HELD, BROKEN, FAILED = 0, 1, 2

Answer = tuple[int, dict] | None
LISTEN_PORTS = (12_000, 32_000)
taken_ports: set[int] = set()


class Record:
    """The lines of ``record.txt``, with times since the start of the script."""

    def __init__(self):
        self.started_at = time.monotonic()
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} {text}")

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n")


def free_port() -> int:
    """Return a free port, below those that outgoing channels take, and each once."""
    while True:
        port = random.randrange(*LISTEN_PORTS)
        if port in taken_ports:
            continue
        try:
            with socket.create_server((HOST, port)):
                taken_ports.add(port)
                return port
        except OSError:
            continue


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict, bytes]:
    """Return first line, headers and body of an HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length") or 0))
    return head[0], headers, body


async def serve_http(handle, port: int = 0) -> tuple[asyncio.Server, int]:
    """Serve HTTP; ``handle`` returns status and content, or None for no answer."""

    async def serve(reader, writer) -> None:
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                answer = await handle(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n%b" % (status, len(data), data)
                )
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, HOST, port)
    return server, server.sockets[0].getsockname()[1]


class Channel:
    """An HTTP channel of a client, which stays open between requests."""

    def __init__(self, address: str):
        self.address = address
        self.streams = None

    async def request(
        self, method: str, path: str, content=None, timeout_s=5.0, host="", **headers
    ) -> tuple[int | str, dict]:
        """Send a request; return status and content, or why there is no answer."""
        data = b"" if content is None else json.dumps(content).encode()
        head = [f"{method} {path} HTTP/1.1", f"Host: {host or self.address}"]
        head += [f"{key.replace('_', '-')}: {value}" for key, value in headers.items()]
        head += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
        try:
            async with asyncio.timeout(timeout_s):
                if self.streams is None:
                    self.streams = await asyncio.open_connection(
                        *self.address.rsplit(":", 1)
                    )
                reader, writer = self.streams
                writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + data)
                first, headers, body = await read_message(reader)
            if headers.get("connection") == "close":
                self.close()
            return int(first.split(" ")[1]), json.loads(body or b"{}")
        except TimeoutError:
            self.close()
            return "no answer", {}
        except (OSError, EOFError):
            self.close()
            return "channel lost", {}

    def close(self) -> None:
        """Close the channel."""
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


async def call(address: str, method: str, path: str, **fields) -> tuple:
    """Send one request on a channel of its own."""
    channel = Channel(address)
    try:
        return await channel.request(method, path, **fields)
    finally:
        channel.close()


class Store:
    """The platform's store: keys, leases and watches."""

    def __init__(self):
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, list[float]] = {}
        self.turned_away: set[str] = set()
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        text = base64.b64encode(value).decode()
        item = {"key": key, "value": text, "rev": self.revision}
        self.items[key] = {**item, "created": created, "lease": lease}
        self._tell(self.items[key])

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._tell({"key": key, "rev": self.revision, "removed": True})

    def _tell(self, event: dict) -> None:
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_forever(self) -> None:
        """Remove the keys whose leases have run out."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for number in [n for n, (_, end) in self.leases.items() if end < now]:
                self._end_lease(number)

    def _end_lease(self, number: int) -> bool:
        known = self.leases.pop(number, None) is not None
        for key in [k for k, item in self.items.items() if item["lease"] == number]:
            self.remove(key)
        return known

    async def open_for(self, machine: str) -> tuple[asyncio.Server, int]:
        """Serve one machine, which may be turned away with 503."""

        async def handle(method, target, headers, body) -> Answer:
            if machine in self.turned_away:
                return 503, {}
            return await self.handle(method, target, headers, body)

        return await serve_http(handle)

    async def handle(self, method: str, target: str, headers, body: bytes) -> Answer:
        """Answer one call."""
        path, _, query_text = target.partition("?")
        query = {key: value[0] for key, value in parse_qs(query_text).items()}
        content = json.loads(body) if body else {}
        name = path.split("/")[2]
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "current_rev": self.revision}) if item else (404, {})
        if name == "kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            items = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            answer = {"items": items, "more_pages": more, "current_rev": self.revision}
            return 200, answer
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._write(content)
        if name == "kv-lease":
            number, ttl_s = len(self.events) + 1000, content["ttl_ms"] / 1000
            while number in self.leases:
                number += 1
            self.leases[number] = [ttl_s, time.monotonic() + ttl_s]
            return 200, {"lease": number, "ttl_ms": content["ttl_ms"]}
        if name == "kv-keep":
            lease = self.leases.get(int(path.split("/")[3]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {"ttl_ms": round(lease[0] * 1000)}
        if name == "kv-lease-end":
            return (200 if self._end_lease(int(path.split("/")[3])) else 404), {}
        return 404, {}

    async def _watch(self, query: dict) -> Answer:
        after, until = int(query["after"]), time.monotonic()
        until += int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event["rev"] > after and event["key"].startswith(query["prefix"])
            ]
            remaining_s = until - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), remaining_s)

    def _write(self, content: dict) -> Answer:
        for row in content.get("expect_rev", []):
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [item] if item else []}
        for row in content.get("set_keys", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in content.get("set_keys", []):
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in content.get("remove", []):
            self.remove(key)
        return 200, {"rev": self.revision}


class Run:
    """One run of a task on a runner."""

    def __init__(self, runner: str, task: str, number: int, work_s: float):
        self.runner, self.task, self.number, self.work_s = runner, task, number, work_s
        self.began_at = time.monotonic()
        self.ended_at: float | None = None
        self.how = ""
        self.timer: asyncio.TimerHandle | None = None

    @property
    def percent(self) -> int:
        """The share of the work that is done."""
        return min(99, int(100 * (time.monotonic() - self.began_at) / self.work_s))


class Runner:
    """A runner: starts what it is told to, under a lease, and reports about itself.

    The ``spec`` of a job is the run time of its tasks in milliseconds. All rows of
    ``runs`` are kept for the check.
    """

    def __init__(self, name: str, zone: str, record: Record, cpu=8000):
        self.name, self.zone, self.record, self.cpu = name, zone, record, cpu
        self.agent = ""
        self.address = ""
        self.state = "ready"
        self.runs: list[Run] = []
        self.boot()

    def boot(self) -> None:
        """Begin a new life, which knows nothing of the one before."""
        self.booted_at = time.monotonic()
        self.born = round(time.time() * 1000)
        self.running: dict[str, Run] = {}
        self.finished: list[list] = []
        self.highest: dict[str, int] = {}
        self.fence = self.ends = self.sequence = 0
        self.lease_ends_at = self.held_at = 0.0
        self.ended = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """The runner's own steady clock."""
        return 1000 + round((time.monotonic() - self.booted_at) * 1000)

    def _said(self, status: int, **content) -> Answer:
        return status, {"clock_ms": self.clock_ms, "born": self.born, **content}

    def _extend_lease(self, until_ms: int) -> None:
        remaining_s = min(until_ms - self.clock_ms, MAX_HOLD_MS) / 1000
        ends_at = time.monotonic() + remaining_s
        self.lease_ends_at = max(self.lease_ends_at, ends_at)

    async def watch_lease(self) -> None:
        """Kill everything when the lease has expired."""
        while True:
            await asyncio.sleep(0.002)
            if self.running and time.monotonic() >= self.lease_ends_at:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        run.timer.cancel()
        run.ended_at, run.how = time.monotonic(), how
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.ends += 1
        self.finished.append([self.ends, run.task, run.number, how, ""])
        self.record.add(f"{self.name} end {run.task} run {run.number} {how}")
        self.ended.set()
        self.ended = asyncio.Event()

    async def handle(self, method: str, target: str, headers, body: bytes) -> Answer:
        """Answer one call of the agent."""
        expected = headers.get("marigoldkeel-expect-instance", self.name)
        if expected != self.name:
            return self._said(421)
        content = json.loads(body) if body else {}
        fence = content.get("fence", 0)
        if fence < self.fence:
            return self._said(409, reason="fence")
        self.fence = fence
        if target == "/api/hold":
            return await self._hold(content)
        if target == "/api/run-start":
            return self._start(content)
        if target == "/api/run-stop":
            task, number = content["task"], content["run"]
            run = self.running.get(task)
            if run is not None and run.number <= number:
                self.end(run, "stopped")
            self.highest[task] = max(number, self.highest.get(task, 0))
            return self._said(200)
        return self._said(404)

    def _start(self, content: dict) -> Answer:
        task, number = content["task"], content["run"]
        if content["until_ms"] <= self.clock_ms:
            return self._said(409, reason="late")
        self._extend_lease(content["until_ms"])
        run = self.running.get(task)
        if run is not None and run.number == number:
            return self._said(200)
        if number <= self.highest.get(task, 0) or run is not None:
            return self._said(409, reason="old")
        run = Run(self.name, task, number, float(content["spec"]) / 1000)
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(run.work_s, self.end, run, "done")
        self.running[task] = run
        self.runs.append(run)
        self.record.add(f"{self.name} start {task} run {number}")
        return self._said(200)

    async def _hold(self, content: dict) -> Answer:
        self.held_at = time.monotonic()
        if "until_ms" in content:
            self._extend_lease(content["until_ms"])
        last_seen = content["last_seen"]
        self.finished = [row for row in self.finished if row[0] > last_seen]
        if not self.finished and content.get("wait_ms"):
            with suppress(TimeoutError):
                await asyncio.wait_for(self.ended.wait(), content["wait_ms"] / 1000)
        running = [
            [run.task, run.number, "", run.percent, 1000]
            for run in self.running.values()
        ]
        return self._said(200, running=running, finished=self.finished[:500])

    def report(self) -> dict:
        """Return the next status report."""
        self.sequence += 1
        return {
            "service": SERVICE,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpus": 0},
            "labels": ["a"],
            "clock_ms": self.clock_ms,
            "born": self.born,
            "seq": self.sequence,
        }

    async def send_report(self) -> int | str:
        """Send one status report; return the status of its confirmation."""
        path = f"/api/instances/{self.name}"
        status, _ = await call(
            self.agent, "PUT", path, content=self.report(), timeout_s=1.0
        )
        return status

    async def report_forever(self) -> None:
        """Send status reports; soon again where one was not confirmed."""
        while True:
            status = await self.send_report()
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.2)


class Proxy:
    """Forwards TCP channels; its owner can silence them or refuse to forward."""

    def __init__(self, target: str):
        self.target = target
        self.address = ""
        self.cut = False
        self.loss = 0.0
        self.random = random.Random(1)
        self.channels: list[dict] = []
        self.writers: list[asyncio.StreamWriter] = []

    async def open(self) -> str:
        """Listen and return the address."""
        server = await asyncio.start_server(self._accept, HOST, 0)
        self.server = server
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        return self.address

    def silence_open(self) -> int:
        """Make the open channels silent for good; new ones work."""
        open_channels = [item for item in self.channels if not item["silent"]]
        for channel in open_channels:
            channel["silent"] = True
        return len(open_channels)

    async def _lose(self, timeout_s: float) -> None:
        """Delay a packet by as many retransmissions as it is lost."""
        while self.random.random() < self.loss:
            await asyncio.sleep(timeout_s)
            timeout_s *= 2

    async def _accept(self, reader, writer) -> None:
        channel = {"silent": False}
        while self.cut:
            await asyncio.sleep(0.01)
        try:
            other = await asyncio.open_connection(*self.target.rsplit(":", 1))
        except OSError:
            writer.transport.abort()
            return
        self.channels.append(channel)
        self.writers += [writer, other[1]]
        await asyncio.gather(
            self._copy(channel, reader, other[1]), self._copy(channel, other[0], writer)
        )
        self.channels.remove(channel)

    async def _copy(self, channel: dict, reader, writer) -> None:
        try:
            while data := await reader.read(65536):
                while self.cut or channel["silent"]:
                    await asyncio.sleep(0.01)
                await self._lose(RETRANSMISSION_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            if not channel["silent"]:
                writer.close()


class Program:
    """A process of the system, which may be started repeatedly."""

    def __init__(self, name: str, settings: str, directory: Path):
        self.name = name
        self.path = directory / f"{name}.toml"
        self.path.write_text(settings)
        self.log = directory / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["MARIGOLDKEEL_SETTINGS"] = str(self.path)
        command = [sys.executable, "-S", "-m", "marigoldkeel", "serve", str(self.path)]
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        with suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()


class Installation:
    """Entries and agents as processes, with stand-ins for all that they talk to."""

    def __init__(self, record: Record):
        self.record = record
        self.store = Store()
        self.entries: list[Program] = []
        self.agents: list[Program] = []
        self.runners: list[Runner] = []
        self.fronts: list[str] = []
        self.readiness: list[str] = []
        self.links: dict[str, Proxy] = {}
        self.tasks: list[asyncio.Task] = []
        self.servers: list[asyncio.Server] = []
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = Path(self.folder.name)

    def background(self, coroutine) -> None:
        """Run a coroutine until the end of the script."""
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def open(self, entries=2, agents=4, cpu=8000) -> None:
        """Start everything and wait until each entry has served a job."""
        self.background(self.store.expire_forever())
        self.configure(2, [PREFIX])
        listens = [f"{HOST}:{free_port()}" for _ in range(entries)]
        self.seeds = ", ".join(f'"{listen}"' for listen in listens)
        for number, listen in enumerate(listens):
            await self._add_entry(number, listen)
        for number in range(agents):
            await self._add_agent(number, cpu)
        for front in self.fronts:
            while (await self.submit(front, 20, 1, 1500))[0] != 200:
                await asyncio.sleep(0.2)
        self.record.add("all entries serve")

    def configure(self, version: int, prefixes: list[str]) -> None:
        """Write a configuration with these queues, as the operator does."""
        routes = [
            {
                "name": "r-" + prefix.strip("/"),
                "host": QUEUE_HOST,
                "prefix": prefix,
                "kind": "unsafe",
                "timeout_ms": 1500,
                "slo_ms": 60,
                "priority": 1,
                "service": SERVICE,
                "max_attempts": 3,
                "stretch": 1.6,
            }
            for prefix in prefixes
        ]
        services = [{"name": SERVICE, "admission_check": False}]
        plan = {"version": version, "routes": routes, "services": services}
        self.store.put("op/config", json.dumps({**plan, "limits": {}}).encode())
        self.record.add(f"configuration {version} confirmed: {prefixes}")

    async def _common(self, name: str, zone: str, listen: str, advertise: str) -> str:
        server, port = await self.store.open_for(name)
        self.servers.append(server)
        return (
            f'name = "{name}"\ndomain = "{zone}"\nlisten = "{listen}"\n'
            f'advertise = "{advertise}"\nseeds = [{self.seeds}]\n'
            f'metrics = "{HOST}:{free_port()}"\ngrace_s = {GRACE_S}\n\n'
            f'[store]\nkind = "platform"\nurl = "{HOST}:{port}"\n'
            "timeout_s = 0.5\n\n"
        )

    async def _link(self, name: str, target: str) -> str:
        self.links[name] = Proxy(target)
        return await self.links[name].open()

    async def _add_entry(self, number: int, listen: str) -> None:
        name, zone = f"front-{number}", "abc"[number % 3]
        front, ready = f"{HOST}:{free_port()}", f"{HOST}:{free_port()}"
        advertise = await self._link(name, listen)
        text = await self._common(name, zone, listen, advertise)
        text += f'[callers]\naddress = "{front}"\nreadiness = "{ready}"\n'
        self.entries.append(Program(name, text, self.directory))
        self.fronts.append(front)
        self.readiness.append(ready)
        await self.entries[-1].start()

    async def _add_agent(self, number: int, cpu: int) -> None:
        name, zone = f"side-{number}", "abc"[number % 3]
        runner = Runner(f"i-{number}", zone, self.record, cpu)
        server, port = await serve_http(runner.handle)
        self.servers.append(server)
        app = await self._link(f"{name}-app", f"{HOST}:{port}")
        control, listen = f"{HOST}:{free_port()}", f"{HOST}:{free_port()}"
        runner.address, runner.agent = app, control
        advertise = await self._link(name, listen)
        text = await self._common(name, zone, listen, advertise)
        text += f'[worker]\naddress = "{app}"\nreports = "{control}"\n'
        text += f'service = "{SERVICE}"\n'
        self.agents.append(Program(name, text, self.directory))
        self.runners.append(runner)
        await self.agents[-1].start()
        self.background(runner.watch_lease())
        self.background(runner.report_forever())

    async def submit(
        self,
        front: str,
        work_ms: int,
        count: int,
        wait_ms: int,
        job: str = "",
        steps: int = 1,
    ) -> tuple:
        """Send a job of sequential steps and return its answer."""
        job = job or os.urandom(8).hex()
        step = {"count": count, "cpu": 1000, "mem_mb": 64, "estimate_ms": work_ms}
        rows = [{**step, "after": [n - 1]} if n else step for n in range(steps)]
        content = {"spec": str(work_ms), "steps": rows, "best_effort": True}
        self.record.add(f"client sends {job} to {self.fronts.index(front)}")
        answer = await call(
            front,
            "POST",
            PREFIX + job,
            content=content,
            timeout_s=wait_ms / 1000,
            host=QUEUE_HOST,
            Marigoldkeel_Deadline_Ms=wait_ms,
        )
        self.record.add(f"client got for {job}: {answer[0]} {answer[1]}")
        return answer

    async def submit_until_answered(
        self, fronts: list[str], work_ms: int, count: int, wait_ms: int
    ) -> None:
        """Send a job as the platform's clients do, each attempt to the next entry."""
        job = os.urandom(8).hex()
        for front in fronts:
            status, _ = await self.submit(front, work_ms, count, wait_ms, job)
            if not isinstance(status, str) and status not in (502, 504):
                return
            await asyncio.sleep(RETRANSMIT_S)

    def overlaps(self) -> list[str]:
        """Return the tasks that ran twice at the same time, one line each."""
        by_task: dict[str, list[Run]] = {}
        for runner in self.runners:
            for run in runner.runs:
                by_task.setdefault(run.task, []).append(run)
        lines = []
        for task, runs in by_task.items():
            runs.sort(key=lambda run: run.began_at)
            for first, second in zip(runs, runs[1:], strict=False):
                ended_at = first.ended_at or time.monotonic()
                if second.began_at < ended_at:
                    lines.append(
                        f"{task} began on {second.runner} "
                        f"{ended_at - second.began_at:.3f} s before its run on "
                        f"{first.runner} ended ({first.how})"
                    )
        return lines

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for program in self.entries + self.agents:
            await program.end()
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        for proxy in self.links.values():
            proxy.server.close()
            for writer in proxy.writers:
                writer.transport.abort()
        await asyncio.sleep(0.1)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in [*self.directory.glob("*.log"), *self.directory.glob("*.toml")]:
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self.folder.cleanup()


def run_case(case, folder: str) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if not, 2 if it failed.

    ``case`` gets an `Installation` that is not open yet and whether to disturb it, and
    returns the lines that show a broken rule.
    """
    record = Record()
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        installation = Installation(record)
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(110):
                broken = await case(installation, trouble)
        finally:
            await installation.close()
        for line in broken:
            record.add(f"BROKEN: {line}")
        record.add(f"{len(broken)} findings")
        return BROKEN if broken else HELD

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # The case could not run.
        record.add(f"could not run: {type(error).__name__} {error}")
        code = FAILED
    record.write(Path(folder) / "record.txt")
    print("\n".join(record.lines[-6:]))
    sys.exit(code)
