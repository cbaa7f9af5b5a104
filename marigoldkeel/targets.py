"""The targets of an agent: announcements, slots and task execution over HTTP."""

import time
import uuid
from collections.abc import Callable
from typing import Annotated
from urllib.parse import quote

import anyio
import httpcore
import msgspec
from msgspec import Struct, field

from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.liveness import LivenessTable
from marigoldkeel.messages import TaskResult
from marigoldkeel.models import TaskState
from marigoldkeel.servers import MAX_BODY_BYTES, HttpApplication, Request, Response
from marigoldkeel.transports import parse_address


SUBMISSION_HEADER = "Marigoldkeel-Submission"
TASK_HEADER = "Marigoldkeel-Task"
DEADLINE_HEADER = "Marigoldkeel-Deadline-Ms"
NOT_RUN_HEADER = "Marigoldkeel-Not-Run"

RENEWAL_INTERVAL_S = 1.0
RENEWAL_TIMEOUT_S = 3.0
# Targets not renewed for this long are removed, so that the table stays bounded when
# targets restart under new names.
TARGET_EXPIRY_S = 60.0
# Shorter than the keep-alive time of servers, so that the agent closes idle
# connections first and sends no request on a connection that the server is closing.
KEEPALIVE_EXPIRY_S = 30.0
MAX_ERROR_TEXT_BYTES = 500


class TargetInfo(Struct):
    """The latest announcement of a target; ``renewed_at`` is in seconds.

    ``protocol`` is the name of a registered `TargetAdapter`.
    """

    name: str
    address: str
    kinds: list[str] = field(default_factory=list)
    slots: int = 1
    connections: int = 1
    leaving: bool = False
    protocol: str = "http"
    renewed_at: float = 0.0


class TargetTable(LivenessTable):
    """The targets of one agent and their busy slots. Times are in seconds.

    Usage::

        name = table.acquire("stock-check", clock())
        try:
            ...
        finally:
            table.release(name)
    """

    def __init__(self):
        super().__init__()
        self.targets: dict[str, TargetInfo] = {}
        # Kept separately from the targets, so that exchanges in progress still count
        # when a target is withdrawn and announced again.
        self.busy_slots: dict[str, int] = {}

    def shift_heard_times(self, delay_s: float, now: float) -> None:
        for info in self.targets.values():
            info.renewed_at = min(now, info.renewed_at + delay_s)

    def announce(self, info: TargetInfo, now: float) -> None:
        """Add or renew a target, and remove expired ones."""
        info.renewed_at = now
        self.targets[info.name] = info
        for name, other in list(self.targets.items()):
            if now - other.renewed_at > TARGET_EXPIRY_S:
                del self.targets[name]

    def withdraw(self, name: str) -> bool:
        """Remove a target; exchanges in progress continue.

        :return: Whether the target was known.
        """
        return self.targets.pop(name, None) is not None

    def free_slots(self, name: str, now: float) -> int:
        """Return the number of tasks that can be sent to the target now."""
        info = self.targets.get(name)
        if info is None or info.leaving or now - info.renewed_at >= RENEWAL_TIMEOUT_S:
            return 0
        return max(0, min(info.slots, info.connections) - self.busy_slots.get(name, 0))

    def serves(self, kind: str, now: float) -> bool:
        """Return whether a usable target accepts this kind, even with no free slot."""
        return any(
            kind in info.kinds
            and not info.leaving
            and now - info.renewed_at < RENEWAL_TIMEOUT_S
            for info in self.targets.values()
        )

    def available(self, kind: str, now: float) -> list[TargetInfo]:
        """Return the targets that can be sent a task of this kind now."""
        return [
            info
            for info in self.targets.values()
            if kind in info.kinds and self.free_slots(info.name, now) > 0
        ]

    def acquire(
        self,
        kind: str,
        now: float,
        prefer: Callable[[TargetInfo], float | None] | None = None,
    ) -> str | None:
        """Occupy a slot of a target and return its name, or None if no slot is free.

        :param prefer: Returns a rank for a target, or None if the target must not be
            used. The target with the lowest rank is chosen, by default the one with
            the largest share of free slots.
        """
        rank = prefer or (lambda info: -self.free_slots(info.name, now) / info.slots)
        ranked = [(rank(info), info.name) for info in self.available(kind, now)]
        usable = [item for item in ranked if item[0] is not None]
        if not usable:
            return None
        name = min(usable)[1]
        self.occupy(name)
        return name

    def occupy(self, name: str) -> None:
        """Occupy a slot of a target, even if none is free."""
        self.busy_slots[name] = self.busy_slots.get(name, 0) + 1

    def release(self, name: str) -> None:
        """Release a slot occupied by `acquire` or `occupy`.

        :raises ValueError: If no slot of the target is occupied.
        """
        count = self.busy_slots.get(name, 0)
        if count == 0:
            raise ValueError(f"no slot of target {name!r} is occupied")
        if count == 1:
            del self.busy_slots[name]
        else:
            self.busy_slots[name] = count - 1


class TaskCall(Struct):
    """One task to run on a target; it has to finish within ``timeout_s`` seconds."""

    submission_id: bytes
    index: int
    kind: str
    payload: bytes
    timeout_s: float


adapter_types: dict[str, type["TargetAdapter"]] = {}


def target(name: str) -> Callable[[type], type]:
    """Register a `TargetAdapter` class under the name used in announcements."""

    def register(cls: type) -> type:
        adapter_types[name] = cls
        return cls

    return register


class TargetAdapter:
    """Runs single tasks on targets over one protocol."""

    async def run(self, target: TargetInfo, task: TaskCall) -> TaskResult:
        """Run a task and return its result.

        I/O errors are not raised; the result reports them.
        If the call is cancelled, its connection is not reused.
        """
        raise NotImplementedError

    async def stop(self, target: TargetInfo, task: TaskCall) -> bool:
        """Stop a running task; return False if this is not supported or failed."""
        return False

    async def throttle(self, target: TargetInfo, task: TaskCall) -> bool:
        """Slow down a running task; return False if this is not supported or failed."""
        return False

    async def checkpoint(self, target: TargetInfo, task: TaskCall) -> bool:
        """Suspend a running task so that it occupies no slot of its target.

        `run` continues to wait for its result.

        :return: False if this is not supported or failed; the task then continues.
        """
        return False

    async def resume(self, target: TargetInfo, task: TaskCall) -> bool:
        """Continue a task after `checkpoint`; return False if this failed."""
        return False

    async def aclose(self) -> None:
        """Close all connections."""


class RegisteredAdapters(TargetAdapter):
    """Passes each task to the adapter of the protocol that its target announced."""

    def __init__(self):
        self.adapters: dict[str, TargetAdapter] = {}

    def adapter_for(self, target: TargetInfo) -> TargetAdapter:
        """Return the adapter for a target."""
        protocol = target.protocol
        if protocol not in self.adapters:
            self.adapters[protocol] = adapter_types[protocol]()
        return self.adapters[protocol]

    async def run(self, target: TargetInfo, task: TaskCall) -> TaskResult:
        return await self.adapter_for(target).run(target, task)

    async def stop(self, target: TargetInfo, task: TaskCall) -> bool:
        return await self.adapter_for(target).stop(target, task)

    async def throttle(self, target: TargetInfo, task: TaskCall) -> bool:
        return await self.adapter_for(target).throttle(target, task)

    async def checkpoint(self, target: TargetInfo, task: TaskCall) -> bool:
        return await self.adapter_for(target).checkpoint(target, task)

    async def resume(self, target: TargetInfo, task: TaskCall) -> bool:
        return await self.adapter_for(target).resume(target, task)

    async def aclose(self) -> None:
        for adapter in self.adapters.values():
            await adapter.aclose()


@target("http")
class HttpAdapter(TargetAdapter):
    """Runs tasks with ``POST http://ADDRESS/v1/tasks/KIND``.

    `TargetTable` limits the connections. The pool itself has no limit, because
    httpcore 1.0.9 leaks a connection when a request that waits for a full pool is
    cancelled after a connection has been assigned to it and before it resumes: with
    random cancellations, all 5 connections of a pool became unusable.
    """

    def __init__(self):
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=None, keepalive_expiry=KEEPALIVE_EXPIRY_S
        )

    async def run(self, target: TargetInfo, task: TaskCall) -> TaskResult:
        exchange = HttpExchange(target, task)
        if task.timeout_s > 0:
            with anyio.move_on_after(task.timeout_s):
                return await exchange.run(self.pool)
        return exchange.result_without_reply("deadline passed")

    async def aclose(self) -> None:
        await self.pool.aclose()


class HttpExchange:
    """One request to a target; ``sent`` is set before its first byte may be sent."""

    def __init__(self, target: TargetInfo, task: TaskCall):
        self.target = target
        self.task = task
        self.sent = False

    async def trace(self, event: str, info: dict) -> None:
        if event == "http11.send_request_headers.started":
            self.sent = True

    def result(
        self, state: TaskState, payload: bytes = b"", message: str = ""
    ) -> TaskResult:
        if message:
            message = f"{message} (target: {self.target.name} {self.target.address})"
        return TaskResult(self.task.index, int(state), payload, message)

    def result_without_reply(self, message: str) -> TaskResult:
        """Return the result of an exchange without a valid reply."""
        state = TaskState.MAY_HAVE_RUN if self.sent else TaskState.NOT_STARTED
        return self.result(state, message=message)

    async def run(self, pool: httpcore.AsyncConnectionPool) -> TaskResult:
        task = self.task
        headers = [
            ("Host", self.target.address),
            (SUBMISSION_HEADER, str(uuid.UUID(bytes=task.submission_id))),
            (TASK_HEADER, str(task.index)),
            (DEADLINE_HEADER, str(max(1, round(task.timeout_s * 1000)))),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(task.payload))),
        ]
        try:
            async with pool.stream(
                "POST",
                f"http://{self.target.address}/v1/tasks/{quote(task.kind, safe='')}",
                headers=headers,
                content=task.payload,
                extensions={"trace": self.trace},
            ) as response:
                return await self.read(response)
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            text = str(error) or type(error).__name__
            return self.result_without_reply(f"exchange failed: {text}")

    async def read(self, response: httpcore.Response) -> TaskResult:
        # The headers are checked before the body is read: httpcore closes a
        # connection whose response was not read to its end, so a connection with
        # an invalid reply is never reused.
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in response.headers
        }
        expected = {
            SUBMISSION_HEADER: str(uuid.UUID(bytes=self.task.submission_id)),
            TASK_HEADER: str(self.task.index),
        }
        echoed = {name: headers.get(name.lower()) for name in expected}
        not_run = response.status == 503 and headers.get(NOT_RUN_HEADER.lower()) == "1"
        # HTTP servers answer some errors before the target's handler runs, so only
        # a reply that decides whether the task has run must echo the request headers.
        is_final = response.status == 200 or not_run
        if echoed != expected and (is_final or any(echoed.values())):
            return self.result_without_reply(f"reply is not for this request: {echoed}")
        length = headers.get("content-length", "")
        if not_run:
            # Reading the body makes the connection reusable; only a body of known
            # size is read.
            if length.isdigit() and int(length) <= MAX_BODY_BYTES:
                await response.aread()
            return self.result(TaskState.NOT_STARTED, message="target refused the task")
        if not length.isdigit():
            return self.result_without_reply("reply has no Content-Length")
        if int(length) > MAX_BODY_BYTES:
            return self.result(
                TaskState.FAILED,
                message=f"reply of {length} bytes exceeds the size limit",
            )
        body = await response.aread()
        if len(body) != int(length):
            return self.result_without_reply(
                f"reply truncated: {len(body)} of {length} bytes"
            )
        if response.status == 200:
            return self.result(TaskState.SUCCEEDED, body)
        text = body[:MAX_ERROR_TEXT_BYTES].decode("utf-8", "replace")
        return self.result(
            TaskState.FAILED,
            message=f"target answered with status {response.status}: {text}",
        )


Name = Annotated[str, msgspec.Meta(pattern=r"\A[A-Za-z0-9._-]{1,100}\Z")]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000)]


class Announcement(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The body of ``POST /v1/targets``."""

    name: Name
    address: str
    kinds: Annotated[list[Name], msgspec.Meta(min_length=1, max_length=1000)]
    slots: Count
    connections: Count
    leaving: bool = False
    protocol: Name = "http"


def target_routes(
    table: TargetTable,
    clock: Callable[[], float] = time.monotonic,
    application: HttpApplication | None = None,
) -> HttpApplication:
    """Return an application with the agent's routes for target announcements.

    :param application: The application to add the routes to; by default a new one.
    """
    application = application or HttpApplication()

    @application.route("POST", "/v1/targets")
    async def announce(request: Request) -> Response:
        try:
            body = msgspec.json.decode(request.body, type=Announcement)
        except msgspec.DecodeError as error:
            raise InvalidInput(str(error), "announce", request.peer) from error
        try:
            parse_address(body.address)
        except InvalidInput as error:
            raise InvalidInput(
                f"{error.message} - at `$.address`", "announce", request.peer
            ) from error
        if body.protocol not in adapter_types:
            known = ", ".join(sorted(adapter_types))
            raise InvalidInput(
                f"unsupported protocol, expected one of {known} - at `$.protocol`",
                "announce",
                request.peer,
            )
        table.announce(TargetInfo(**msgspec.structs.asdict(body)), clock())
        return Response.from_json({"renew_after_s": RENEWAL_INTERVAL_S})

    @application.route("DELETE", "/v1/targets/{name}")
    async def withdraw(request: Request) -> Response:
        return Response.from_json(
            {"withdrawn": table.withdraw(request.path_parameters["name"])}
        )

    return application
