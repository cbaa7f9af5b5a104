"""A stand-in for the platform's runner: an emulated worker served over HTTP."""

import time
from dataclasses import dataclass, field

import anyio
import httpcore
import msgspec

from emulator.workers import EmulatedWorker
from marigoldkeel.fleet.supervisors import StartOutcome
from marigoldkeel.fleet.work import Resources, RunEnd, RunId
from marigoldkeel.platform.workers import RUN_ENDS, parse_task_name, task_name
from marigoldkeel.servers import HttpApplication, Request, Response


END_NAMES = {end: name for name, end in RUN_ENDS.items()}
REASONS = {StartOutcome.OUTDATED: "old", StartOutcome.REFUSED: "late"}
POLL_S = 0.005
REPORT_S = 1.5


@dataclass
class RunnerEmulator:
    """A worker that takes orders over HTTP.

    What a task is to do stands in the job's ``spec`` as JSON: ``work_ms`` and
    ``cpu`` of one task, and ``fails``.

    :ivar mute: Give no answers.
    :ivar odd_rows: Put in front of both lists of a look, as by another writer.
    :ivar lost_answers: Carry out this many next orders without an answer.
    """

    worker: EmulatedWorker
    clock_ms: int = 1000
    mute: bool = False
    lost_answers: int = 0
    odd_rows: list = field(default_factory=list)
    sequence: int = 0
    reports: list[int] = field(default_factory=list)

    def __post_init__(self):
        self.began_at = time.monotonic()
        self.application = HttpApplication()
        for path, endpoint in (
            ("/api/run-start", self._start),
            ("/api/run-stop", self._stop),
            ("/api/hold", self._hold),
        ):
            self.application.route("POST", path)(endpoint)

    def restore(self) -> None:
        """End all faults; runs that stood still go on from now."""
        self.worker.advance(self.now)
        self.mute, self.lost_answers = False, 0
        self.worker.failing = self.worker.hanging = False

    @property
    def now(self) -> float:
        """Seconds on the worker's own clock."""
        return time.monotonic() - self.began_at

    def _lease_end(self, content: dict) -> float:
        return (content.get("until_ms", 0) - self.clock_ms) / 1000

    def _clock(self) -> int:
        return self.clock_ms + round(self.now * 1000)

    async def _answer(self, content: dict, status: int = 200) -> Response:
        if self.lost_answers or self.mute:
            self.lost_answers = max(0, self.lost_answers - 1)
            await anyio.sleep_forever()
        return Response.from_json(
            {"clock_ms": self._clock(), "born": self.worker.boot, **content}, status
        )

    async def _start(self, request: Request) -> Response:
        content = msgspec.json.decode(request.body)
        task = msgspec.json.decode(content["spec"])
        self.worker.advance(self.now)
        run_id = RunId(parse_task_name(content["task"]), content["run"])
        outcome = self.worker.start(
            run_id,
            Resources(task.get("cpu", 1000)),
            task["work_ms"] / 1000,
            self._lease_end(content),
            task.get("fails", False),
        )
        if outcome == StartOutcome.STARTED:
            return await self._answer({})
        return await self._answer({"reason": REASONS[outcome]}, 409)

    async def _stop(self, request: Request) -> Response:
        content = msgspec.json.decode(request.body)
        self.worker.advance(self.now)
        self.worker.stop(RunId(parse_task_name(content["task"]), content["run"]))
        return await self._answer({})

    async def _hold(self, request: Request) -> Response:
        content = msgspec.json.decode(request.body)
        last_end = content["last_seen"]
        until = self.now + content.get("wait_ms", 0) / 1000
        self.worker.advance(self.now)
        look = self.worker.look(self._lease_end(content), last_end)
        while not look.ended and self.now < until:
            await anyio.sleep(POLL_S)
            self.worker.advance(self.now)
            look = self.worker.look(0.0, last_end)
        running = [
            [task_name(row.run_id.task), row.run_id.number, "", row.percent, 0]
            for row in look.running
        ]
        finished = [
            [
                row.number,
                task_name(row.run_id.task),
                row.run_id.number,
                END_NAMES.get(row.end, END_NAMES[RunEnd.LAPSED]),
                "",
            ]
            for row in look.ended
        ]
        return await self._answer(
            {
                "running": [*self.odd_rows, *running],
                "finished": [*self.odd_rows, *finished],
            }
        )

    def report(self) -> dict:
        """Return the next report."""
        self.sequence += 1
        worker = self.worker
        return {
            "service": worker.service,
            "addr": "127.0.0.1:1",
            "zone": worker.domain,
            "version": "v1",
            "slots": 8,
            "state": "draining" if worker.leaving else "ready",
            "cold_left_ms": 0,
            "capacity": {
                "cpu": worker.capacity.cpu_milli,
                "mem_mb": worker.capacity.memory_mb,
                "gpus": worker.capacity.accelerators,
            },
            "labels": worker.labels,
            "clock_ms": self._clock(),
            "born": worker.boot,
            "seq": self.sequence,
        }

    async def report_forever(self, address: str, interval_s: float = REPORT_S) -> None:
        """Send reports to an agent."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await self.send_report(pool, address)
                await anyio.sleep(interval_s)

    async def send_report(
        self, pool: httpcore.AsyncConnectionPool, address: str
    ) -> None:
        """Send one report."""
        if self.mute:
            return
        url = f"http://{address}/api/instances/{self.worker.name}"
        try:
            with anyio.move_on_after(1.0):
                response = await pool.request(
                    "PUT", url, content=msgspec.json.encode(self.report())
                )
                self.reports.append(response.status)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            self.reports.append(0)
