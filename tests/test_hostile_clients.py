"""Guards against clients that make a process keep or compute without bound.

Each test starts an entry and an agent as processes of their own, on loopback addresses.
A crowd of connections sends what no client within the limits sends, and keeps the
connections open. The process must stay alive, within its memory and its descriptors,
and answer an ordinary request. Nothing here depends on how fast that is: the time
limits only end a test that hangs or a crowd whose connections are not read.

Each test has processes to itself, and pytest runs the tests one at a time.
"""

import random
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpcore
import msgspec
import pytest
from anyio.abc import TaskStatus

from emulator.addresses import HOST, free_address
from emulator.runners import RunnerEmulator
from emulator.sites import QUEUE_HOST, route
from emulator.stores import StoreEmulator
from emulator.workers import EmulatedWorker
from marigoldkeel.fleet.work import Resources
from marigoldkeel.messages import MAX_FRAME_BYTES
from marigoldkeel.platform.plans import PLAN_KEY
from marigoldkeel.servers import serve_http
from soak.programs import Program


pytestmark = pytest.mark.anyio

# An entry without load has 40 to 45 MB.
MEMORY_BOUND_MB = 96
DESCRIPTOR_BOUND = 256
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 262_144,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
MAX_REPORT_BYTES = 4 * 1024 * 1024
# The crowd's addresses differ from the one of the ordinary caller.
CROWD_HOSTS = [f"127.0.0.{number}" for number in range(2, 7)]
CROWD_DURATION_S = 10.0
HANG_GUARD_S = 90.0
ATTEMPT_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.2
RETURN_DELAY_S = 0.05
DESCRIPTOR_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 0.3
SEND_BYTES = 65_536
MB = 1_000_000

HOST_LINE = f"host: {QUEUE_HOST}\r\n".encode()
JOB_LINE = b"POST /stock/%016x HTTP/1.1\r\n" + HOST_LINE
CHUNKED = JOB_LINE + b"transfer-encoding: chunked\r\n\r\n"
DEADLINE_LINE = b"marigoldkeel-deadline-ms: 60000\r\n"


def whole_request(body: bytes) -> bytes:
    """Return a request that submits a job with this body."""
    return JOB_LINE + DEADLINE_LINE + b"content-length: %d\r\n\r\n" % len(body) + body


def step(**fields) -> dict:
    """Return a step whose tasks need a quarter of the worker."""
    return {"cpu": 1000, "mem_mb": 64, "estimate_ms": 50, **fields}


def job(**fields) -> dict:
    """Return the content of a job with one short task."""
    spec = msgspec.json.encode({"work_ms": 50, "cpu": 1000}).decode()
    return {"spec": spec, "steps": [step()], "best_effort": True, **fields}


def padded_job(size: int) -> bytes:
    """Return the body of a valid job, padded with spaces to ``size`` bytes."""
    return msgspec.json.encode(job()).ljust(size)


def job_of_steps(size: int) -> bytes:
    """Return a body of at most ``size`` bytes that has as many steps as fit."""
    return b'{"best_effort":true,"steps":[' + b"{}," * ((size - 40) // 3) + b"{}]}"


@dataclass
class Crowd:
    """Connections that send ``first``, ``repeated`` up to ``size`` bytes, and ``last``.

    :ivar port: The listening port, by name.
    :ivar pause_s: Pause after each piece.
    """

    name: str
    first: bytes = b""
    repeated: bytes = b""
    size: int = 0
    last: bytes = b""
    connections: int = 25
    port: str = "callers"
    piece: int = SEND_BYTES
    pause_s: float = 0.0

    def content(self, number: int) -> bytes:
        """Return all bytes that one connection sends."""
        first = self.first.replace(b"%016x", b"%016x" % (number + 4096))
        count = self.size // len(self.repeated) if self.repeated else 0
        return first + self.repeated * count + self.last


BODY = padded_job(LIMITS["max_body_bytes"])
MANY_TASKS = msgspec.json.encode(job(steps=[step(count=10_000)]))
REPORT_LINE = b"PUT /api/instances/i-0 HTTP/1.1\r\nhost: a\r\n"
REPORT_BODY = REPORT_LINE + b"content-length: %d\r\n\r\n" % MAX_REPORT_BYTES
REPORT_HEADER = REPORT_LINE + b"x: "
CHECK_HEADER = b"GET /api/ready HTTP/1.1\r\nx: "
SMALL_GET = b"GET /stock/ HTTP/1.1\r\n" + HOST_LINE + b"\r\n"
METRICS_GET = b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n"
FRAME_START = struct.pack(">I", MAX_FRAME_BYTES - 1)

CROWDS = [
    Crowd("endless header", JOB_LINE + b"x: ", b"a" * 1000, 4 * MB),
    Crowd("many headers", JOB_LINE, b"x-header: value\r\n", 2 * MB),
    Crowd("endless target", b"GET /stock/", b"a" * 1000, 4 * MB),
    Crowd("empty lines", b"", b"\r\n" * 500, 4 * MB),
    Crowd("endless trailers", CHUNKED + b"0\r\n", b"x-trail: value\r\n", 2 * MB),
    Crowd("endless trailer", CHUNKED + b"0\r\nx: ", b"a" * 1000, 4 * MB),
    Crowd("chunk extensions", CHUNKED + b"1;x=", b"a" * 1000, 4 * MB),
    Crowd("small chunks", CHUNKED, b"1;" + b"a" * 96 + b"\r\n \r\n", 4 * MB),
    Crowd("chunks of one byte", CHUNKED, b"1\r\n \r\n", MB, connections=120),
    Crowd("whole bodies", whole_request(BODY), connections=300),
    Crowd("unfinished bodies", whole_request(BODY)[:-1], connections=300),
    Crowd(
        "unfinished bodies in pieces",
        whole_request(BODY)[:-1],
        connections=300,
        piece=16_384,
        pause_s=0.1,
    ),
    Crowd("unfinished chunked bodies", CHUNKED + b"fffff\r\n", b" " * 1000, MB),
    Crowd("unfinished reports", REPORT_BODY, b" " * 1000, 4 * MB, port="reports"),
    Crowd("pipelined requests", b"", SMALL_GET, 4 * MB),
    Crowd("pipelined jobs", b"", whole_request(MANY_TASKS), MB),
    Crowd("pipelined reads of metrics", b"", METRICS_GET, MB // 4, port="metrics"),
    Crowd("jobs of many tasks", whole_request(MANY_TASKS), connections=100),
    Crowd("jobs of many steps", whole_request(job_of_steps(262_000))),
    Crowd("idle connections", connections=400),
    Crowd("unfinished heads", JOB_LINE, connections=400),
    Crowd("idle readiness checks", connections=400, port="readiness"),
    Crowd("endless report header", REPORT_HEADER, b"a" * 1000, 4 * MB, port="reports"),
    Crowd("endless check header", CHECK_HEADER, b"a" * 1000, 4 * MB, port="readiness"),
    Crowd("unfinished frames", FRAME_START, b"\0" * 1000, 8 * MB, port="listen"),
    Crowd("idle links", connections=400, port="listen"),
    Crowd("idle links of an agent", connections=400, port="agent listen"),
]
# The connections of these crowds come back as soon as they are closed.
RETURNING_CROWDS = [
    Crowd("chunks of one byte", CHUNKED, b"1\r\n \r\n", MB, connections=150),
    Crowd("small headers", JOB_LINE, b"x: y\r\n", MB, connections=150),
    Crowd("empty lines", b"", b"\r\n" * 500, MB, connections=150),
    Crowd("endless trailers", CHUNKED + b"0\r\n", b"x: y\r\n", MB, connections=150),
    Crowd("unfinished bodies", whole_request(BODY)[:-1], connections=150),
    Crowd("pipelined requests", b"", SMALL_GET, MB, connections=150),
]


@dataclass
class Fleet:
    """An entry and an agent with its worker."""

    entry: Program
    agent: Program
    addresses: dict[str, str]
    numbers: random.Random = field(default_factory=lambda: random.Random(1))

    @classmethod
    @asynccontextmanager
    async def open(cls, directory: Path) -> AsyncIterator["Fleet"]:
        """Start the processes and the stand-ins; kill the processes at the end."""
        async with anyio.create_task_group() as group:
            store = StoreEmulator()
            # The objective is long, so that jobs wait for a worker.
            plan = {
                "version": 2,
                "routes": [route("stock", "/stock/", timeout_ms=60_000, slo_ms=60_000)],
                "services": [{"name": "service"}],
                "limits": LIMITS,
            }
            store.put(PLAN_KEY, msgspec.json.encode(plan))
            store_address = await group.start(serve_http, store.application, HOST, 0)
            capacity = Resources(4000, 65_536)
            runner = RunnerEmulator(EmulatedWorker("i-0", "service", "a", capacity))
            worker = await group.start(serve_http, runner.application, HOST, 0)
            names = "listen", "callers", "readiness", "metrics", "agent listen"
            addresses = {name: free_address() for name in (*names, "reports")}
            common = {
                "domain": "a",
                "seeds": [addresses["listen"]],
                "limits": {
                    "memory_mb": MEMORY_BOUND_MB,
                    "max_descriptors": DESCRIPTOR_BOUND,
                },
                "store": {"kind": "platform", "url": store_address, "timeout_s": 2.0},
            }
            entry = {
                "name": "entry",
                "listen": addresses["listen"],
                "metrics": addresses["metrics"],
                "callers": {
                    "address": addresses["callers"],
                    "readiness": addresses["readiness"],
                },
            }
            reports = addresses["reports"]
            agent = {
                "name": "agent",
                "listen": addresses["agent listen"],
                "worker": {"address": worker, "reports": reports, "service": "service"},
            }
            fleet = cls(
                Program("entry", common | entry, directory),
                Program("agent", common | agent, directory),
                addresses,
            )
            try:
                fleet.entry.launch()
                fleet.agent.launch()
                group.start_soon(runner.report_forever, reports, REPORT_INTERVAL_S)
                await fleet.answer_to_job()
                yield fleet
            finally:
                fleet.entry.kill()
                fleet.agent.kill()
                group.cancel_scope.cancel()

    def process_at(self, port: str) -> Program:
        """Return the process that listens on a port."""
        return self.agent if port in ("reports", "agent listen") else self.entry

    async def request(
        self, method: str, port: str, path: str, body: bytes = b"", padding: int = 0
    ) -> int:
        """Send one request on a connection of its own, and return the status."""
        headers = {"host": QUEUE_HOST, "marigoldkeel-deadline-ms": "10000"}
        if padding:
            headers["x-padding"] = "a" * padding
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), 30.0)
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                method,
                f"http://{self.addresses[port]}{path}",
                headers=headers,
                content=body,
                extensions={"timeout": timeouts},
            )
        return response.status

    async def answer_to_job(self, body: bytes = b"") -> None:
        """Submit jobs until one is done, as a caller does that may be refused."""
        body = body or msgspec.json.encode(job())
        status = 0
        while status != 200:
            path = f"/stock/{self.numbers.getrandbits(64):016x}"
            with anyio.move_on_after(ATTEMPT_TIMEOUT_S):
                with suppress(httpcore.NetworkError, httpcore.ProtocolError):
                    status = await self.request("POST", "callers", path, body)
            if status != 200:
                await anyio.sleep(RETRY_DELAY_S)

    async def answer_to_report(self) -> None:
        """Read the status of an agent until a request is answered."""
        status = 0
        while not status:
            with anyio.move_on_after(ATTEMPT_TIMEOUT_S):
                with suppress(httpcore.NetworkError, httpcore.ProtocolError):
                    status = await self.request("GET", "reports", "/")
            if not status:
                await anyio.sleep(RETRY_DELAY_S)


def peak_memory_mb(program: Program) -> float:
    """Return the largest resident size that a process has had."""
    lines = Path(f"/proc/{program.process.pid}/status").read_text().splitlines()
    (value,) = (line.split()[1] for line in lines if line.startswith("VmHWM:"))
    return int(value) / 1024


def open_descriptors(program: Program) -> int:
    """Return how many descriptors a process has open."""
    return len(list(Path(f"/proc/{program.process.pid}/fd").iterdir()))


async def send_and_hold(
    crowd: Crowd, address: str, number: int, *, task_status: TaskStatus
) -> None:
    """Send the content of one connection, read nothing, and hold the connection.

    Reports that it has sent all, that it sent for long enough, or that the connection
    was closed.
    """
    host, port = address.split(":")
    local_host = CROWD_HOSTS[number % len(CROWD_HOSTS)]
    content = crowd.content(number)
    with suppress(OSError, anyio.BrokenResourceError):
        async with await anyio.connect_tcp(
            host, int(port), local_host=local_host
        ) as stream:
            with anyio.move_on_after(CROWD_DURATION_S):
                for start in range(0, len(content), crowd.piece):
                    await stream.send(content[start : start + crowd.piece])
                    await anyio.sleep(crowd.pause_s)
            task_status.started()
            await anyio.sleep_forever()
    task_status.started()


async def count_descriptors(program: Program, counts: list[int]) -> None:
    """Record again and again how many descriptors a process has open."""
    while program.alive:
        counts.append(open_descriptors(program))
        await anyio.sleep(DESCRIPTOR_INTERVAL_S)


@pytest.mark.parametrize("crowd", CROWDS, ids=lambda crowd: crowd.name)
async def test_process_stays_within_its_bounds_and_answers(crowd, tmp_path):
    counts = []
    with anyio.fail_after(HANG_GUARD_S):
        async with Fleet.open(tmp_path) as fleet, anyio.create_task_group() as group:
            program = fleet.process_at(crowd.port)
            address = fleet.addresses[crowd.port]
            group.start_soon(count_descriptors, program, counts)
            async with anyio.create_task_group() as starting:
                for number in range(crowd.connections):
                    starting.start_soon(
                        group.start, send_and_hold, crowd, address, number
                    )
            # The connections of the crowd are still open.
            if program is fleet.agent:
                await fleet.answer_to_report()
            await fleet.answer_to_job()
            assert program.alive
            peak = peak_memory_mb(program)
            group.cancel_scope.cancel()
    print(f"{crowd.name}: {peak:.0f} MB, {max(counts)} descriptors")
    assert peak < MEMORY_BOUND_MB
    assert max(counts) < DESCRIPTOR_BOUND


async def send_again_and_again(crowd: Crowd, address: str, number: int) -> None:
    """Send the content of one connection, and again as soon as it is closed."""
    host, port = address.split(":")
    local_host = CROWD_HOSTS[number % len(CROWD_HOSTS)]
    while True:
        with suppress(OSError, anyio.BrokenResourceError, anyio.EndOfStream):
            async with await anyio.connect_tcp(
                host, int(port), local_host=local_host
            ) as stream:
                await stream.send(crowd.content(number))
                while True:
                    await stream.receive()
        await anyio.sleep(RETURN_DELAY_S)


@pytest.mark.parametrize("crowd", RETURNING_CROWDS, ids=lambda crowd: crowd.name)
async def test_process_stays_within_its_bounds_and_answers_after_a_crowd_that_returns(
    crowd, tmp_path
):
    counts = []
    with anyio.fail_after(HANG_GUARD_S):
        async with Fleet.open(tmp_path) as fleet, anyio.create_task_group() as group:
            group.start_soon(count_descriptors, fleet.entry, counts)
            address = fleet.addresses[crowd.port]
            with anyio.move_on_after(CROWD_DURATION_S):
                async with anyio.create_task_group() as sending:
                    for number in range(crowd.connections):
                        sending.start_soon(send_again_and_again, crowd, address, number)
            gone_at = anyio.current_time()
            await fleet.answer_to_job()
            answered_s = anyio.current_time() - gone_at
            assert fleet.entry.alive
            peak = peak_memory_mb(fleet.entry)
            group.cancel_scope.cancel()
    print(f"{crowd.name}: {peak:.0f} MB, {max(counts)} descriptors, {answered_s:.1f} s")
    assert peak < MEMORY_BOUND_MB
    assert max(counts) < DESCRIPTOR_BOUND


async def test_largest_requests_within_the_limits_are_served(tmp_path):
    # Guards against a limit that refuses what a legal client sends.
    with anyio.fail_after(HANG_GUARD_S):
        async with Fleet.open(tmp_path) as fleet:
            body = padded_job(LIMITS["max_body_bytes"])
            path = "/stock/00000000000000aa"
            padding = LIMITS["max_header_bytes"] - 400
            status = await fleet.request("POST", "callers", path, body, padding)
            assert status == 200
            report = {
                "service": "service",
                "addr": fleet.addresses["reports"],
                "zone": "a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "labels": [],
                "clock_ms": 10**9,
                "seq": 1_000_000,
                "capacity": {"cpu": 4000, "mem_mb": 65_536, "gpus": 0},
            }
            body = msgspec.json.encode(report).ljust(MAX_REPORT_BYTES - 1)
            path = "/api/instances/i-0"
            assert await fleet.request("PUT", "reports", path, body) == 200


async def test_body_in_chunks_of_one_byte_is_served(tmp_path):
    # Guards against a bound on chunk framing that refuses a legal client.
    body = padded_job(2_000)
    content = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
    head = CHUNKED.replace(b"%016x", b"%016x" % 77)
    with anyio.fail_after(HANG_GUARD_S):
        async with Fleet.open(tmp_path) as fleet:
            host, port = fleet.addresses["callers"].split(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(head + content)
                answer = await stream.receive()
            assert answer.startswith(b"HTTP/1.1 200")
