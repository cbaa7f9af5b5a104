"""The runner beside an agent: the orders it takes and the reports it sends."""

import time
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from loguru import logger

from marigoldkeel.exceptions import (
    MarigoldkeelError,
    PeerUnavailable,
    ProtocolError,
)
from marigoldkeel.fleet.drivers import WorkerClient
from marigoldkeel.fleet.messages import WorkerFacts
from marigoldkeel.fleet.supervisors import (
    Run,
    RunEndRecord,
    RunStatus,
    StartOutcome,
    Supervisor,
    WorkerPoll,
)
from marigoldkeel.fleet.work import Resources, RunEnd, RunId, TaskId
from marigoldkeel.platform.calls import PlatformClient, Reply
from marigoldkeel.servers import HttpApplication, Request, Response


# One connection waits for ends, the others carry orders.
MAX_CONNECTIONS = 6
# A runner on the same machine answers an order in about a millisecond.
STOP_TIMEOUT_S = 0.1
# What a look may take longer than it was asked to wait. A lost answer leaves the ends
# of runs untold and their lease running out, so it is not waited for.
POLL_TIMEOUT_MARGIN_S = 0.06
# The runner takes orders from its own machine only, so there is a single sender and
# no order needs to outrank another.
FENCE = 1
RUN_ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.BROKEN,
    "alone": RunEnd.ALONE,
}
UNHEALTHY_STATUSES = (429, 503)


class _OrderResponse(msgspec.Struct):
    clock_ms: int | None = None
    reason: str = ""


class _PollResponse(msgspec.Struct):
    """``born`` is the wall-clock time of the runner's start in milliseconds."""

    clock_ms: int
    born: int = 0
    running: list[Any] = []
    finished: list[Any] = []


def task_name(task: TaskId) -> str:
    """Return a task's name on the wire."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task_name(name: str) -> TaskId:
    """Return the task that a name stands for.

    :raises ProtocolError: If it is no name of a task.
    """
    try:
        job_id, occurrence, step, index = name.split(".")
        return TaskId(job_id, int(occurrence), int(step), int(index))
    except (ValueError, AttributeError):
        raise ProtocolError(f"task name {name!r} not readable", "look") from None


class RunnerClient(WorkerClient):
    """Speaks to the runner at an address of this machine."""

    def __init__(self, address: str, clock: Callable[[], float] = time.monotonic):
        self.client = PlatformClient(address, MAX_CONNECTIONS)
        self.clock = clock
        self.instance = ""
        self.clock_offset_ms: float | None = None

    async def start(
        self, run: Run, lease_s: float, timeout_s: float
    ) -> tuple[StartOutcome, str]:
        if self.clock_offset_ms is None:
            return StartOutcome.UNREACHABLE, "the runner's clock is not known"
        content = {
            "task": task_name(run.run_id.task),
            "run": run.run_id.number,
            "spec": run.payload,
            "until_ms": self._until_ms(lease_s),
            "fence": FENCE,
        }
        try:
            reply = await self._order("/api/run-start", content, timeout_s)
        except PeerUnavailable as error:
            return StartOutcome.UNREACHABLE, error.message
        except MarigoldkeelError as error:
            return StartOutcome.UNANSWERED, error.message
        if reply.status == 200:
            return StartOutcome.STARTED, ""
        if reply.status in UNHEALTHY_STATUSES:
            return StartOutcome.UNHEALTHY, f"HTTP status {reply.status}"
        reason = self._reason(reply)
        if reason == "old":
            return StartOutcome.OUTDATED, reason
        return StartOutcome.REFUSED, reason

    async def stop(self, run: Run) -> bool:
        content = {
            "task": task_name(run.run_id.task),
            "run": run.run_id.number,
            "fence": FENCE,
        }
        try:
            reply = await self._order("/api/run-stop", content, STOP_TIMEOUT_S)
        except MarigoldkeelError as error:
            logger.info("stop not answered: {}", error)
            return False
        return reply.status not in UNHEALTHY_STATUSES

    async def poll(self, lease_s: float, wait_s: float, last_end: int) -> WorkerPoll:
        content = {
            "fence": FENCE,
            "last_seen": last_end,
            "wait_ms": round(wait_s * 1000),
        }
        if lease_s and self.clock_offset_ms is not None:
            content["until_ms"] = self._until_ms(lease_s)
        timeout_s = wait_s + POLL_TIMEOUT_MARGIN_S
        reply = await self.client.call("POST", "/api/hold", timeout_s, content)
        if reply.status != 200:
            raise ProtocolError(
                f"HTTP status {reply.status}", "look", self.client.address
            )
        answer = reply.decode(_PollResponse, "look")
        self._update_clock_offset(answer.clock_ms)
        return WorkerPoll(
            answer.born,
            list(self._parse_rows(answer.running, parse_run)),
            list(self._parse_rows(answer.finished, parse_end)),
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self.client.aclose()

    async def _order(self, path: str, content: dict, timeout_s: float) -> Reply:
        headers = {}
        if self.instance:
            headers["Marigoldkeel-Expect-Instance"] = self.instance
        return await self.client.call("POST", path, timeout_s, content, headers)

    def _until_ms(self, lease_s: float) -> int:
        return round(self.clock() * 1000 + self.clock_offset_ms + lease_s * 1000)

    def _update_clock_offset(self, clock_ms: int) -> None:
        """Set the difference to the runner's clock, which is stamped at its answer."""
        self.clock_offset_ms = clock_ms - self.clock() * 1000

    def _reason(self, reply: Reply) -> str:
        try:
            return (
                reply.decode(_OrderResponse, "order").reason or f"HTTP {reply.status}"
            )
        except MarigoldkeelError:
            return f"HTTP {reply.status}"

    def _parse_rows(
        self, rows: list[Any], parse: Callable[[list], Any]
    ) -> Iterator[Any]:
        """Return the rows that can be read; the others name no run."""
        for row in rows:
            try:
                yield parse(row)
            except (ValueError, TypeError, ProtocolError) as error:
                logger.bind(peer=self.client.address).info(
                    "row {!r} of a look left out: {}", row, error
                )


def parse_run(row: list) -> RunStatus:
    """Return a row of the runs that are present.

    :raises ValueError, TypeError, ProtocolError: If it is not readable.
    """
    name, number, _, percent = row[:4]
    return RunStatus(RunId(parse_task_name(name), int(number)), int(percent))


def parse_end(row: list) -> RunEndRecord:
    """Return a row of the ends.

    :raises ValueError, TypeError, ProtocolError: If it is not readable.
    """
    number, name, run, end_name = row[:4]
    end = RUN_ENDS.get(end_name, RunEnd.LAPSED)
    return RunEndRecord(int(number), RunId(parse_task_name(name), int(run)), end)


class _Capacity(msgspec.Struct):
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0


class _Report(msgspec.Struct):
    """A runner's report about itself; ``seq`` rises with each report of one boot."""

    service: str
    state: str
    seq: int
    capacity: _Capacity
    zone: str = ""
    labels: list[str] = []
    remaining_ms: int = 0
    born: int = 0


LEAVING_BY_STATE = {"ready": False, "draining": True}


def reports_application(
    supervisor: Supervisor, client: RunnerClient, flush: Callable[[], None]
) -> HttpApplication:
    """Return the application that takes the reports of the runner beside an agent."""
    application = HttpApplication()

    @application.route("PUT", "/api/instances/{worker}")
    async def receive_report(request: Request) -> Response:
        worker = request.arguments["worker"]
        try:
            content = msgspec.json.decode(request.body, type=_Report)
            leaving = LEAVING_BY_STATE[content.state]
        except (msgspec.MsgspecError, UnicodeDecodeError, KeyError) as error:
            logger.warning("report of {} not readable: {}", worker, error)
            return Response.from_json({"error": f"report not readable: {error}"}, 400)
        capacity = Resources(
            content.capacity.cpu, content.capacity.mem_mb, content.capacity.gpus
        )
        facts = WorkerFacts(
            worker,
            content.born,
            content.service,
            content.zone,
            content.labels,
            capacity,
            leaving,
            content.remaining_ms,
        )
        if supervisor.update_facts(facts, content.seq):
            client.instance = worker
        flush()
        return Response.from_json({})

    @application.route("DELETE", "/api/instances/{worker}")
    async def deregister(request: Request) -> Response:
        supervisor.record_worker_exit(request.arguments["worker"])
        flush()
        return Response.from_json({})

    return application
