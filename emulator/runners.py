"""An emulator of the platform's runner: an emulated worker served over HTTP."""

import time
from dataclasses import dataclass, field

import anyio
import httpcore
import msgspec

from emulator.workers import EmulatedWorker
from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.fleet.runs import StartOutcome
from marigoldkeel.fleet.work import Resources, RunEnd, RunId
from marigoldkeel.platform.workers import RUN_ENDS, parse_task_name, task_name
from marigoldkeel.servers import HttpApplication, Request, Response


RUN_END_NAMES = {end: name for name, end in RUN_ENDS.items()}
REFUSAL_REASONS = {StartOutcome.OUTDATED: "old", StartOutcome.REFUSED: "late"}
POLL_INTERVAL_S = 0.005
REPORT_INTERVAL_S = 1.5


@dataclass
class RunnerEmulator:
    """A worker that is controlled over HTTP.

    A task's behaviour is given as JSON in the job's ``spec``: ``work_ms`` and ``cpu``
    of one task, and whether it ``fails``.

    :ivar unresponsive: Whether requests get no response, and no reports are sent.
    :ivar foreign_rows: Rows of another writer, put in front of both lists of a poll's
        response.
    :ivar responses_to_drop: Number of next requests that are executed without a
        response.
    :ivar reports: Status of the response to each report; 0 for a connection error.
    """

    worker: EmulatedWorker
    clock_ms: int = 1000
    unresponsive: bool = False
    responses_to_drop: int = 0
    foreign_rows: list = field(default_factory=list)
    sequence: int = 0
    reports: list[int] = field(default_factory=list)

    def __post_init__(self):
        self.started_at = time.monotonic()
        self.application = HttpApplication()
        for path, endpoint in (
            ("/api/run-start", self._handle_start),
            ("/api/run-stop", self._handle_stop),
            ("/api/hold", self._handle_poll),
        ):
            self.application.route("POST", path)(endpoint)

    def restore(self) -> None:
        """Remove all faults; runs that hung continue from now."""
        self.worker.advance(self.now)
        self.unresponsive, self.responses_to_drop = False, 0
        self.worker.failing = self.worker.hanging = False

    @property
    def now(self) -> float:
        """Time on the worker's own clock, in seconds."""
        return time.monotonic() - self.started_at

    def _lease_end_s(self, content: dict) -> float:
        return (content.get("until_ms", 0) - self.clock_ms) / 1000

    def _clock_ms(self) -> int:
        return self.clock_ms + round(self.now * 1000)

    async def _respond(self, content: dict, status: int = 200) -> Response:
        if self.responses_to_drop or self.unresponsive:
            self.responses_to_drop = max(0, self.responses_to_drop - 1)
            await anyio.sleep_forever()
        return Response.from_json(
            {"clock_ms": self._clock_ms(), "born": self.worker.boot, **content}, status
        )

    async def _handle_start(self, request: Request) -> Response:
        content = msgspec.json.decode(request.body)
        try:
            task = msgspec.json.decode(content["spec"], type=dict)
        except msgspec.DecodeError as error:
            raise InvalidInput(f"malformed spec: {error}", "start run") from None
        self.worker.advance(self.now)
        run_id = RunId(parse_task_name(content["task"]), content["run"])
        outcome = self.worker.start(
            run_id,
            Resources(task.get("cpu", 1000)),
            task.get("work_ms", 0) / 1000,
            self._lease_end_s(content),
            task.get("fails", False),
        )
        if outcome == StartOutcome.STARTED:
            return await self._respond({})
        return await self._respond({"reason": REFUSAL_REASONS[outcome]}, 409)

    async def _handle_stop(self, request: Request) -> Response:
        content = msgspec.json.decode(request.body)
        self.worker.advance(self.now)
        self.worker.stop(RunId(parse_task_name(content["task"]), content["run"]))
        return await self._respond({})

    async def _handle_poll(self, request: Request) -> Response:
        content = msgspec.json.decode(request.body)
        last_end = content["last_seen"]
        until = self.now + content.get("wait_ms", 0) / 1000
        self.worker.advance(self.now)
        poll_result = self.worker.poll(self._lease_end_s(content), last_end)
        while not poll_result.ended and self.now < until:
            await anyio.sleep(POLL_INTERVAL_S)
            self.worker.advance(self.now)
            poll_result = self.worker.poll(0.0, last_end)
        running = [
            [task_name(row.run_id.task), row.run_id.number, "", row.percent, 0]
            for row in poll_result.running
        ]
        finished = [
            [
                row.number,
                task_name(row.run_id.task),
                row.run_id.number,
                RUN_END_NAMES.get(row.end, RUN_END_NAMES[RunEnd.LAPSED]),
                "",
            ]
            for row in poll_result.ended
        ]
        return await self._respond(
            {
                "running": [*self.foreign_rows, *running],
                "finished": [*self.foreign_rows, *finished],
            }
        )

    def report(self) -> dict:
        """Return the next status report of the worker."""
        self.sequence += 1
        worker = self.worker
        return {
            "service": worker.service,
            "addr": "127.0.0.1:1",
            "zone": worker.domain,
            "version": "v1",
            "slots": 8,
            "state": "draining" if worker.leaving else "ready",
            **({"remaining_ms": 0} if worker.leaving else {}),
            "cold_left_ms": 0,
            "capacity": {
                "cpu": worker.capacity.cpu_milli,
                "mem_mb": worker.capacity.memory_mb,
                "gpus": worker.capacity.accelerators,
            },
            "labels": worker.labels,
            "clock_ms": self._clock_ms(),
            "born": worker.boot,
            "seq": self.sequence,
        }

    async def report_forever(
        self, address: str, interval_s: float = REPORT_INTERVAL_S
    ) -> None:
        """Send reports to an agent at an interval."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await self.send_report(pool, address)
                await anyio.sleep(interval_s)

    async def send_report(
        self, pool: httpcore.AsyncConnectionPool, address: str
    ) -> None:
        """Send one report and record the status of its response."""
        if self.unresponsive:
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
