"""Runs tasks under leases on worker hosts, over HTTP."""

import uuid
from collections.abc import Callable
from typing import Annotated, Any

import anyio
import httpcore
import msgspec

from marigoldkeel.exceptions import ProtocolError
from marigoldkeel.messages import TaskResult
from marigoldkeel.models import TaskState
from marigoldkeel.servers import MAX_BODY_BYTES
from marigoldkeel.targets import (
    KEEPALIVE_EXPIRY_S,
    TargetAdapter,
    TargetInfo,
    TaskCall,
    target,
)


LEASE_TTL_S = 3.0
# Two consecutive renewals may be lost before the lease lapses.
RENEWALS_PER_TTL = 3
# Shorter than a lease, so that a dead connection is noticed within one lease.
LONG_POLL_S = 2.0
CONTROL_TIMEOUT_S = 1.0
POLL_RETRY_DELAY_S = 0.05
# Header with the time for which a worker may delay its reply to a poll while the task
# runs.
WAIT_HEADER = "Worker-Wait-Ms"
LEASE_NAMESPACE = uuid.UUID("a2f1c6de-4f2e-5b6c-9d0a-7d1a5c3e8b40")
HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


def lease_id_of(submission_id: bytes, index: int) -> str:
    """Return the lease id of a task.

    It depends on the task alone, so a repeated start request finds the lease of the
    first one and cannot start the task again.
    """
    return str(uuid.uuid5(LEASE_NAMESPACE, f"{submission_id.hex()}/{index}"))


class LeaseRequest(msgspec.Struct):
    """The body of ``POST /v1/leases``, which grants a lease for ``ttl_ms``."""

    lease: str
    submission: str
    index: int
    kind: str
    payload: Any
    ttl_ms: int


class LeaseReply(msgspec.Struct):
    """The reply of a worker to a request about a lease.

    ``state`` is "running", "checkpointed", "succeeded", "failed", "stopped",
    "lapsed" or "refused"; a refused task has not started.
    """

    lease: str
    state: str
    result: msgspec.Raw = msgspec.Raw(b"null")
    error: str = ""


class Usage(msgspec.Struct):
    """The resource usage of a worker ``lag_ms`` milliseconds ago."""

    lag_ms: Annotated[int, msgspec.Meta(ge=0)]
    running: int
    cpu_share: float = 0.0
    memory_bytes: int = 0


class SendTracker:
    """An httpcore trace function: records that a request may have been sent."""

    def __init__(self):
        self.sent = False

    async def __call__(self, event: str, info: dict) -> None:
        if event == "http11.send_request_headers.started":
            self.sent = True


@target("worker")
class WorkerAdapter(TargetAdapter):
    """Runs a task under a lease that is renewed while the task runs.

    If the reply to a start request is lost, the start is not repeated: the worker is
    told to stop the task, and the task may have run. When a lease lapses, the worker
    stops its task, so the task may have run in part.

    :param ttl_s: Seconds for which a lease is granted and renewed.
    """

    def __init__(self, ttl_s: float = LEASE_TTL_S):
        self.ttl_s = ttl_s
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=None, keepalive_expiry=KEEPALIVE_EXPIRY_S
        )

    async def aclose(self) -> None:
        await self.pool.aclose()

    async def run(self, target: TargetInfo, task: TaskCall) -> TaskResult:
        lease = LeasedTask(self, target, task)
        if task.timeout_s <= 0:
            return lease.result(TaskState.NOT_STARTED, "deadline passed")
        with anyio.move_on_after(task.timeout_s):
            return await lease.run()
        await self.stop(target, task)
        if not lease.sent:
            return lease.result(TaskState.NOT_STARTED, "deadline passed")
        return lease.result(TaskState.MAY_HAVE_RUN, "deadline passed")

    async def stop(self, target: TargetInfo, task: TaskCall) -> bool:
        """Stop a task; return whether the worker confirmed it."""
        return await self._control(target, task, "stop", "stopped")

    async def throttle(self, target: TargetInfo, task: TaskCall) -> bool:
        return await self._control(target, task, "throttle", "running")

    async def checkpoint(self, target: TargetInfo, task: TaskCall) -> bool:
        return await self._control(target, task, "checkpoint", "checkpointed")

    async def resume(self, target: TargetInfo, task: TaskCall) -> bool:
        return await self._control(target, task, "resume", "running")

    async def usage(self, target: TargetInfo) -> Usage | None:
        """Return the usage that the worker reports, or None without a valid reply."""
        try:
            body = await self.request(target, "GET", "/v1/usage", CONTROL_TIMEOUT_S)
            return msgspec.json.decode(body, type=Usage)
        except (TimeoutError, ProtocolError, msgspec.DecodeError, *HTTP_ERRORS):
            return None

    async def _control(
        self, target: TargetInfo, task: TaskCall, verb: str, expected: str
    ) -> bool:
        path = f"/v1/leases/{lease_id_of(task.submission_id, task.index)}/{verb}"
        try:
            body = await self.request(target, "POST", path, CONTROL_TIMEOUT_S)
            return msgspec.json.decode(body, type=LeaseReply).state == expected
        except (TimeoutError, ProtocolError, msgspec.DecodeError, *HTTP_ERRORS):
            return False

    async def request(
        self,
        target: TargetInfo,
        method: str,
        path: str,
        timeout_s: float,
        content: Any = None,
        trace: Callable | None = None,
    ) -> bytes:
        """Send a request and return the body of its reply.

        :raises TimeoutError: If the reply is not complete within ``timeout_s``.
        :raises ProtocolError: If the reply is too large or its status is not 200.
        """
        body = b"" if content is None else msgspec.json.encode(content)
        with anyio.fail_after(timeout_s):
            async with self.pool.stream(
                method,
                f"http://{target.address}{path}",
                headers=[
                    ("Host", target.address),
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(body))),
                    (WAIT_HEADER, str(round(LONG_POLL_S * 1000))),
                ],
                content=body,
                extensions={"trace": trace} if trace else {},
            ) as response:
                received = bytearray()
                async for chunk in response.aiter_stream():
                    received += chunk
                    if len(received) > MAX_BODY_BYTES:
                        raise ProtocolError(
                            f"reply exceeds {MAX_BODY_BYTES} bytes",
                            "read reply",
                            target.address,
                        )
        if response.status != 200:
            raise ProtocolError(
                f"worker answered with status {response.status}",
                "read reply",
                target.address,
            )
        return bytes(received)


class LeasedTask:
    """A task that runs under a lease; ``sent`` is set before its start may be sent."""

    def __init__(self, adapter: WorkerAdapter, target: TargetInfo, task: TaskCall):
        self.adapter = adapter
        self.target = target
        self.task = task
        self.lease_id = lease_id_of(task.submission_id, task.index)
        self.trace = SendTracker()
        self.lapsed = False

    @property
    def sent(self) -> bool:
        return self.trace.sent

    def result(
        self, state: TaskState, message: str = "", payload: bytes = b""
    ) -> TaskResult:
        if message:
            message = f"{message} (target: {self.target.name} {self.target.address})"
        return TaskResult(self.task.index, int(state), payload, message)

    async def run(self) -> TaskResult:
        """Start the task, keep its lease and return its result."""
        try:
            reply = await self._start()
        except (
            TimeoutError,
            ProtocolError,
            msgspec.DecodeError,
            *HTTP_ERRORS,
        ) as error:
            if not self.sent:
                return self.result(TaskState.NOT_STARTED, f"task not started: {error}")
            await self.adapter.stop(self.target, self.task)
            text = str(error) or type(error).__name__
            return self.result(
                TaskState.MAY_HAVE_RUN, f"no answer to the start request: {text}"
            )
        if reply.state == "refused":
            return self.result(TaskState.NOT_STARTED, "worker refused the task")
        async with anyio.create_task_group() as group:
            group.start_soon(self._renew, group.cancel_scope)
            while reply.state in ("running", "checkpointed"):
                reply = await self._poll() or reply
            group.cancel_scope.cancel()
        if self.lapsed:
            await self.adapter.stop(self.target, self.task)
        return self._final_result(reply)

    def _final_result(self, reply: LeaseReply) -> TaskResult:
        if reply.state == "succeeded":
            return self.result(TaskState.SUCCEEDED, payload=bytes(reply.result))
        if reply.state == "failed":
            return self.result(
                TaskState.FAILED, f"task failed on the worker: {reply.error}"
            )
        text = "lease lapsed" if self.lapsed else f"worker reports state {reply.state}"
        return self.result(TaskState.MAY_HAVE_RUN, text)

    async def _start(self) -> LeaseReply:
        task = self.task
        content = LeaseRequest(
            self.lease_id,
            str(uuid.UUID(bytes=task.submission_id)),
            task.index,
            task.kind,
            msgspec.Raw(task.payload),
            round(self.adapter.ttl_s * 1000),
        )
        body = await self.adapter.request(
            self.target,
            "POST",
            "/v1/leases",
            min(CONTROL_TIMEOUT_S, self.adapter.ttl_s),
            content,
            self.trace,
        )
        return self._decode_reply(body)

    async def _renew(self, scope: anyio.CancelScope) -> None:
        """Renew the lease until it lapses, counted from the last answered request."""
        ttl_s = self.adapter.ttl_s
        lapses_at = anyio.current_time() + ttl_s
        while anyio.current_time() < lapses_at:
            remaining_s = lapses_at - anyio.current_time()
            await anyio.sleep(min(ttl_s / RENEWALS_PER_TTL, remaining_s))
            sent_at = anyio.current_time()
            path = f"/v1/leases/{self.lease_id}/renew"
            content = {"ttl_ms": round(ttl_s * 1000)}
            try:
                with anyio.fail_after(max(0.0, lapses_at - sent_at)):
                    body = await self.adapter.request(
                        self.target, "POST", path, CONTROL_TIMEOUT_S, content
                    )
                if self._decode_reply(body).state == "lapsed":
                    break
                lapses_at = sent_at + ttl_s
            except (TimeoutError, ProtocolError, msgspec.DecodeError, *HTTP_ERRORS):
                continue
        self.lapsed = True
        scope.cancel()

    async def _poll(self) -> LeaseReply | None:
        path = f"/v1/leases/{self.lease_id}"
        try:
            body = await self.adapter.request(
                self.target, "GET", path, LONG_POLL_S + CONTROL_TIMEOUT_S
            )
            return self._decode_reply(body)
        except (TimeoutError, ProtocolError, msgspec.DecodeError, *HTTP_ERRORS):
            # Polls are repeated; the lease limits how long this may go on.
            await anyio.sleep(POLL_RETRY_DELAY_S)
            return None

    def _decode_reply(self, body: bytes) -> LeaseReply:
        reply = msgspec.json.decode(body, type=LeaseReply)
        if reply.lease != self.lease_id:
            raise ProtocolError(
                f"reply is for another lease: {reply.lease[:64]!r}",
                "read reply",
                self.target.address,
            )
        return reply
