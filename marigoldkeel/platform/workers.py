"""Interface to the runner on the agent's machine: orders to it and reports from it.

The fleet modules call the runner a worker, and the platform calls it an instance.
"""

import time
from collections.abc import Callable, Iterator
from typing import Annotated, Any, Literal

import anyio
import msgspec
from loguru import logger
from msgspec import Meta

from marigoldkeel.exceptions import (
    MarigoldkeelError,
    PeerUnavailable,
    ProtocolError,
)
from marigoldkeel.fleet.drivers import WorkerClient
from marigoldkeel.fleet.messages import WorkerFacts
from marigoldkeel.fleet.reports import ReportOutcome
from marigoldkeel.fleet.runs import (
    Run,
    RunEndRecord,
    RunStatus,
    StartOutcome,
    WorkerPoll,
)
from marigoldkeel.fleet.supervisors import Supervisor
from marigoldkeel.fleet.work import Resources, RunEnd, RunId, TaskId
from marigoldkeel.platform.calls import PlatformClient, Reply
from marigoldkeel.servers import HttpApplication, Request, Response


# One connection is used for polling, the others for orders.
MAX_CONNECTIONS = 6
# A runner on the same machine responds to an order within about a millisecond. A stop
# that gets no answer is repeated on other connections while the first attempts wait: if
# a run is not known to have ended in time, the worker's lease is withheld, at the cost
# of all other runs. Stops have connections of their own, as lost orders occupy theirs.
STOP_TIMEOUT_S = 0.1
STOP_ATTEMPTS = 4
STOP_ATTEMPT_INTERVAL_S = 0.025
MAX_STOP_CONNECTIONS = 24
# Added to the requested wait time of a poll to obtain its timeout. While a response is
# missing, ends of runs are not noticed and the worker's lease is running out, so the
# margin is short.
POLL_TIMEOUT_MARGIN_S = 0.06
# The runner accepts orders from its own machine only. The agent is the single sender
# there, so the fencing token is constant.
FENCE = 1
# Ends by their names in the runner's protocol.
RUN_ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.BROKEN,
    "alone": RunEnd.ALONE,
}
UNHEALTHY_STATUSES = (429, 503)
# A runner that states a longer time is used fully after this one.
MAX_COLD_MS = 600_000


class _OrderResponse(msgspec.Struct):
    """Response to an order; ``clock_ms`` is not used, as each poll reports it too."""

    clock_ms: int | None = None
    reason: str = ""


class _PollResponse(msgspec.Struct):
    """Response to a poll.

    :ivar born: Wall-clock time of the runner's start in milliseconds, which identifies
        its boot.
    """

    clock_ms: int
    born: int = 0
    running: list[Any] = []
    finished: list[Any] = []


def task_name(task: TaskId) -> str:
    """Return the name of a task in the runner's protocol."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task_name(name: str) -> TaskId:
    """Parse the name of a task in the runner's protocol.

    :raises ProtocolError: If the name is malformed.
    """
    try:
        job_id, occurrence, step, index = name.split(".")
        return TaskId(job_id, int(occurrence), int(step), int(index))
    except (ValueError, AttributeError):
        raise ProtocolError(f"malformed task name {name!r}", "poll") from None


class RunnerClient(WorkerClient):
    """Client of the runner on this machine.

    :ivar instance: The runner's name by its last report, which each order carries;
        empty before the first report.
    """

    def __init__(self, address: str, clock: Callable[[], float] = time.monotonic):
        self.client = PlatformClient(address, MAX_CONNECTIONS)
        self.stop_client = PlatformClient(address, MAX_STOP_CONNECTIONS)
        self.clock = clock
        self.instance = ""
        self.clock_offset_ms: float | None = None

    async def start(
        self, run: Run, lease_ends_at: float, timeout_s: float
    ) -> tuple[StartOutcome, str]:
        if self.clock_offset_ms is None:
            # Not sent, as the order must give the lease's end on the runner's clock.
            return StartOutcome.UNREACHABLE, "the runner's clock is not known"
        content = {
            "task": task_name(run.run_id.task),
            "run": run.run_id.number,
            "spec": run.payload,
            "until_ms": self._until_ms(lease_ends_at),
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
        # The runner already knows a run of the task with the same or a higher number.
        if reason == "old":
            return StartOutcome.OUTDATED, reason
        return StartOutcome.REFUSED, reason

    async def stop(self, run: Run) -> bool:
        answered = False

        async def attempt() -> None:
            nonlocal answered
            if await self._stop_once(run):
                answered = True
                group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(attempt)
            for _ in range(STOP_ATTEMPTS - 1):
                await anyio.sleep(STOP_ATTEMPT_INTERVAL_S)
                group.start_soon(attempt)
        return answered

    async def _stop_once(self, run: Run) -> bool:
        content = {
            "task": task_name(run.run_id.task),
            "run": run.run_id.number,
            "fence": FENCE,
        }
        try:
            reply = await self._order(
                "/api/run-stop", content, STOP_TIMEOUT_S, self.stop_client
            )
        except MarigoldkeelError as error:
            logger.info("stop order not confirmed: {}", error)
            return False
        return reply.status not in UNHEALTHY_STATUSES

    async def poll(
        self, lease_ends_at: float | None, wait_s: float, last_end: int
    ) -> WorkerPoll:
        content = {
            "fence": FENCE,
            "last_seen": last_end,
            "wait_ms": round(wait_s * 1000),
        }
        if lease_ends_at is not None and self.clock_offset_ms is not None:
            content["until_ms"] = self._until_ms(lease_ends_at)
        timeout_s = wait_s + POLL_TIMEOUT_MARGIN_S
        reply = await self.client.call("POST", "/api/hold", timeout_s, content)
        if reply.status != 200:
            raise ProtocolError(
                f"HTTP status {reply.status}", "poll", self.client.address
            )
        poll_response = reply.decode(_PollResponse, "poll")
        self._update_clock_offset(poll_response.clock_ms)
        return WorkerPoll(
            poll_response.born,
            list(self._parse_rows(poll_response.running, parse_run)),
            list(self._parse_rows(poll_response.finished, parse_end)),
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self.client.aclose()
        await self.stop_client.aclose()

    async def _order(
        self,
        path: str,
        content: dict,
        timeout_s: float,
        client: PlatformClient | None = None,
    ) -> Reply:
        headers = {}
        if self.instance:
            headers["Marigoldkeel-Expect-Instance"] = self.instance
        client = client or self.client
        return await client.call("POST", path, timeout_s, content, headers)

    def _until_ms(self, lease_ends_at: float) -> int:
        return round(lease_ends_at * 1000 + self.clock_offset_ms)

    def _update_clock_offset(self, clock_ms: int) -> None:
        """Update the offset of the runner's clock from its time in a new response."""
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
        """Parse the rows of a poll; skip malformed ones, since they identify no run."""
        for row in rows:
            try:
                yield parse(row)
            except (ValueError, TypeError, ProtocolError) as error:
                logger.bind(peer=self.client.address).info(
                    "malformed row {!r} of a poll skipped: {}", row, error
                )


def parse_run(row: list) -> RunStatus:
    """Parse a row of the list of running runs.

    :raises ValueError, TypeError, ProtocolError: If the row is malformed.
    """
    name, number, _, percent = row[:4]
    return RunStatus(RunId(parse_task_name(name), int(number)), int(percent))


def parse_end(row: list) -> RunEndRecord:
    """Parse a row of the list of ended runs.

    :raises ValueError, TypeError, ProtocolError: If the row is malformed.
    """
    end_number, name, run_number, end_name = row[:4]
    end = RUN_ENDS.get(end_name, RunEnd.LAPSED)
    return RunEndRecord(
        int(end_number), RunId(parse_task_name(name), int(run_number)), end
    )


# Numbers of a report, which may be written with or without a fraction. Amounts are sent
# on as 32 bits.
MAX_AMOUNT = 2**31 - 1
Amount = Annotated[float, Meta(ge=0, le=MAX_AMOUNT)]
PositiveAmount = Annotated[float, Meta(gt=0, le=MAX_AMOUNT)]
Counter = Annotated[float, Meta(ge=0, le=2**63)]
Text = Annotated[str, Meta(min_length=1)]


class _Capacity(msgspec.Struct):
    cpu: PositiveAmount
    mem_mb: PositiveAmount
    gpus: Amount


class _Report(msgspec.Struct):
    """A runner's report about itself; it counts only if it is complete.

    :ivar seq: Increases with each report until the runner restarts.
    :ivar cold_left_ms: How much longer the runner is slow after its start.
    :ivar clock_ms: The runner's clock, as in its answers to polls.
    :ivar remaining_ms: Minimum time until a draining runner exits; given only by one.
    :ivar born: As in `_PollResponse`; given only where runners restart under their id.
    """

    service: Text
    addr: Text
    zone: Text
    version: Text
    slots: Amount
    state: Literal["ready", "draining"]
    cold_left_ms: Amount
    capacity: _Capacity
    labels: list[str]
    clock_ms: Counter
    seq: Counter
    remaining_ms: Amount | None = None
    born: Counter = 0

    def __post_init__(self):
        if self.state == "draining" and self.remaining_ms is None:
            raise ValueError("Object missing required field `remaining_ms`")


def reports_application(
    supervisor: Supervisor, client: RunnerClient, flush: Callable[[], None]
) -> HttpApplication:
    """Create the application that accepts the reports of the agent's runner."""
    application = HttpApplication()

    def name_instance(facts: WorkerFacts) -> None:
        client.instance = facts.worker

    supervisor.reports.on_facts = name_instance

    @application.route("PUT", "/api/instances/{worker}")
    async def receive_report(request: Request) -> Response:
        worker = request.path_parameters["worker"]
        try:
            content = msgspec.json.decode(request.body, type=_Report)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            logger.warning("malformed report of {}: {}", worker, error)
            return Response.from_json({"error": f"report not readable: {error}"}, 400)
        capacity = Resources(
            int(content.capacity.cpu),
            int(content.capacity.mem_mb),
            int(content.capacity.gpus),
        )
        facts = WorkerFacts(
            worker,
            int(content.born),
            content.service,
            content.zone,
            content.labels,
            capacity,
            content.state == "draining",
            int(content.remaining_ms or 0),
            round(min(MAX_COLD_MS, content.cold_left_ms)),
        )
        outcome = supervisor.update_facts(facts, int(content.seq), content.clock_ms)
        if outcome == ReportOutcome.CONTRADICTORY:
            # Not confirmed, since it may be the worker's: that it leaves, for example.
            return Response.from_json({"error": f"report ignored: {outcome}"}, 409)
        flush()
        return Response.from_json({})

    @application.route("DELETE", "/api/instances/{worker}")
    async def deregister(request: Request) -> Response:
        supervisor.record_worker_exit(request.path_parameters["worker"])
        flush()
        return Response.from_json({})

    return application
