"""A stand-in for a runner, for demo, tests and benchmarks, with injectable faults."""

import os
import time
from collections.abc import Callable
from typing import Any

import anyio
import httpcore
import msgspec
from anyio.abc import TaskStatus
from loguru import logger
from msgspec import Struct

from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.servers import HttpApplication, Request, Response, serve_http
from marigoldkeel.targets import (
    NOT_RUN_HEADER,
    RENEWAL_INTERVAL_S,
    SUBMISSION_HEADER,
    TASK_HEADER,
)


ANNOUNCEMENT_TIMEOUT_S = 1.0
# Requests that the agent sent before it processed the leaving announcement arrive
# within this time.
DRAIN_DELAY_S = 0.1
WRONG_SUBMISSION = "00000000-0000-7000-8000-000000000000"


class TaskStart(Struct):
    """The start of a task; ``time_s`` is the Unix time in seconds."""

    submission: str
    index: int
    runner: str
    time_s: float
    kind: str


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to inject into a runner.

    :param fail_all: Answer each task with 500 right after its start.
    :param hang_after_start: Never answer a task that has started.
    :param wrong_echo: Answer with the id of another submission.
    :param truncate: Close the connection in the middle of the response body.
    :param latency_s: Delay before a task starts, in seconds.
    """

    fail_all: bool = False
    hang_after_start: bool = False
    wrong_echo: bool = False
    truncate: bool = False
    latency_s: float = 0.0


class RunnerStandin:
    """Answers each task after the service time given in its payload.

    The payload is JSON. If it is an object, ``work_ms`` is the service time at
    speed 1. The answer contains the payload as ``value``.

    Usage::

        runner = RunnerStandin("runner-1", kinds=["quote"])
        address = await group.start(runner.serve, agent_http_address)
        ...
        await runner.stop()

    :param speed: Divisor of the service time.
    :param history_path: File to which each start is appended as a JSON line.
    :ivar leaving: Whether announcements say that the runner leaves; tasks still start.
    :ivar closed: Whether every new task is answered with 503.
    :ivar changed: Set and replaced whenever a task starts or ends.
    :ivar stop_requested: Set by `stop`.
    :ivar stopped: Set when `serve` has ended.
    """

    protocol = "http"

    def __init__(
        self,
        name: str,
        *,
        kinds: list[str],
        slots: int = 8,
        connections: int = 64,
        speed: float = 1.0,
        history_path: str | os.PathLike[str] | None = None,
    ):
        self.name = name
        self.kinds = kinds
        self.slots = slots
        self.connections = connections
        self.speed = speed
        self.faults = Faults()
        self.starts: list[TaskStart] = []
        self.busy_slots = 0
        self.leaving = False
        self.closed = False
        self.changed = anyio.Event()
        self.announcement_lock = anyio.Lock()
        self.stop_requested = anyio.Event()
        self.stopped = anyio.Event()
        self.history = None
        if history_path is not None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self.history = os.open(history_path, flags, 0o644)
        self.application = self._routes()

    def _routes(self) -> HttpApplication:
        application = HttpApplication()
        application.route("POST", "/v1/tasks/{kind}")(self._run)

        @application.route("POST", "/faults")
        async def set_faults(request: Request) -> Response:
            try:
                self.faults = msgspec.json.decode(request.body, type=Faults)
            except msgspec.DecodeError as error:
                raise InvalidInput(str(error), "faults", request.peer) from error
            return Response.from_json(self.faults)

        @application.route("GET", "/starts")
        async def list_starts(request: Request) -> Response:
            return Response.from_json(self.starts)

        return application

    async def _run(self, request: Request) -> Response:
        submission = request.headers.get(SUBMISSION_HEADER.lower(), "")
        index = request.headers.get(TASK_HEADER.lower(), "")
        echo = {SUBMISSION_HEADER: submission, TASK_HEADER: index}
        if not submission or not index.isdigit():
            raise InvalidInput(
                f"{SUBMISSION_HEADER} or {TASK_HEADER} is missing or invalid",
                "task",
                request.peer,
            )
        try:
            payload = msgspec.json.decode(request.body)
        except msgspec.DecodeError as error:
            raise InvalidInput(str(error), "task", request.peer) from error
        if self.faults.latency_s:
            await anyio.sleep(self.faults.latency_s)
        if self.closed or self.busy_slots >= self.slots:
            return Response(503, b"no free slot", {**echo, NOT_RUN_HEADER: "1"})
        self.busy_slots += 1
        try:
            kind = request.path_parameters["kind"]
            self._record_start(
                TaskStart(submission, int(index), self.name, time.time(), kind)
            )
            return await self._execute(payload, echo)
        finally:
            self.busy_slots -= 1
            self._notify_waiters()

    def _notify_waiters(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until ``condition`` holds; it is checked when a task starts or ends."""
        while not condition():
            await self.changed.wait()

    def _record_start(self, start: TaskStart) -> None:
        self.starts.append(start)
        self._notify_waiters()
        if self.history is not None:
            # Each line is one write, made before the work begins, so that it is
            # complete even if the process is killed during the task.
            os.write(self.history, msgspec.json.encode(start) + b"\n")

    async def _execute(self, payload: Any, echo: dict[str, str]) -> Response:
        faults = self.faults
        if faults.hang_after_start:
            await anyio.sleep_forever()
        if faults.fail_all:
            return Response(500, b"fault: fail_all", echo)
        work_ms = payload.get("work_ms", 0) if isinstance(payload, dict) else 0
        await anyio.sleep(work_ms / 1000 / self.speed)
        if faults.wrong_echo:
            echo = {**echo, SUBMISSION_HEADER: WRONG_SUBMISSION}
        response = Response.from_json({"runner": self.name, "value": payload})
        response.headers.update(echo)
        if faults.truncate:
            response.headers["content-length"] = str(len(response.body))
            response.chunks = _first_half(response.body)
            response.body = b""
        return response

    async def serve(
        self,
        agent_http_address: str | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        task_status: TaskStatus = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until `stop` or cancellation; report ``"host:port"`` when started.

        :param agent_http_address: The agent to announce the runner to, if any.
        """
        try:
            async with anyio.create_task_group() as group:
                self.group = group
                address = await group.start(serve_http, self.application, host, port)
                async with httpcore.AsyncConnectionPool() as pool:
                    if agent_http_address:
                        await self._announce(pool, agent_http_address, address)
                        group.start_soon(self._renew, pool, agent_http_address, address)
                    task_status.started(address)
                    await self.stop_requested.wait()
                    self.leaving = True
                    if agent_http_address:
                        await self._announce(pool, agent_http_address, address)
                        await anyio.sleep(DRAIN_DELAY_S)
                    await self.wait_until(lambda: self.busy_slots == 0)
                    self.closed = True
                    group.cancel_scope.cancel()
        finally:
            self.closed = True
            if self.history is not None:
                os.close(self.history)
                self.history = None
            self.stopped.set()

    async def stop(self) -> None:
        """Announce that the runner leaves, finish running tasks and end `serve`."""
        self.stop_requested.set()
        await self.stopped.wait()

    async def _renew(self, pool, agent: str, address: str) -> None:
        while True:
            await anyio.sleep(RENEWAL_INTERVAL_S)
            await self._announce(pool, agent, address)

    async def _announce(self, pool, agent: str, address: str) -> None:
        # Announcements are sent one at a time, so that an older renewal never arrives
        # after the leaving announcement.
        async with self.announcement_lock:
            content = {
                "name": self.name,
                "address": address,
                "kinds": self.kinds,
                "slots": self.slots,
                "connections": self.connections,
                "leaving": self.leaving,
                "protocol": self.protocol,
            }
            try:
                with anyio.fail_after(ANNOUNCEMENT_TIMEOUT_S):
                    response = await pool.request(
                        "POST",
                        f"http://{agent}/v1/targets",
                        content=msgspec.json.encode(content),
                    )
            except (
                TimeoutError,
                httpcore.NetworkError,
                httpcore.ProtocolError,
            ) as error:
                logger.warning("announcement to agent {} failed: {}", agent, error)
                return
        if response.status != 200:
            logger.warning(
                "agent {} rejected the announcement: {}", agent, response.content
            )


async def _first_half(body: bytes):
    yield body[: len(body) // 2]
