"""A stand-in for a worker that runs tasks under leases, with fault injection."""

import time
from typing import Any

import anyio
import msgspec
from msgspec import Struct, field

from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.runners import Faults, RunnerStandin, TaskStart, _first_half
from marigoldkeel.servers import HttpApplication, Request, Response
from marigoldkeel.workers import WAIT_HEADER, LeaseReply, LeaseRequest, Usage


TICK_S = 0.005
THROTTLED_SPEED = 0.25
WRONG_LEASE = "00000000-0000-5000-8000-000000000000"
ACTIVE_STATES = ("running", "checkpointed")
STATE_BY_VERB = {"stop": "stopped", "checkpoint": "checkpointed", "resume": "running"}


class WorkerFaults(Faults):
    """Faults to inject into a worker, in addition to those of a runner.

    ``truncate`` applies to the reply to the start request, ``wrong_echo`` to the
    reply with the result.

    :param refuse_control: Answer 500 to renewals and control requests such as stop, so
        that leases lapse.
    """

    refuse_control: bool = False


class GrantedLease(Struct):
    """A lease and the remaining work of its task, in seconds at speed 1."""

    request: LeaseRequest
    remaining_work_s: float
    lapses_at: float
    state: str = ""
    speed: float = 1.0
    ended: anyio.Event = field(default_factory=anyio.Event)


class WorkerStandin(RunnerStandin):
    """Runs tasks like `RunnerStandin`, each under a lease.

    :param usage_lag_s: Age of the reported usage, in seconds.
    """

    protocol = "worker"

    def __init__(self, name: str, *, usage_lag_s: float = 1.0, **options: Any):
        self.leases: dict[str, GrantedLease] = {}
        self.usage_lag_s = usage_lag_s
        self.usage_history: list[tuple[float, int]] = [(float("-inf"), 0)]
        super().__init__(name, **options)
        self.faults = WorkerFaults()

    def _routes(self) -> HttpApplication:
        application = HttpApplication()
        application.route("POST", "/v1/leases")(self._start)
        application.route("GET", "/v1/leases/{lease}")(self._wait_for_end)
        application.route("POST", "/v1/leases/{lease}/{verb}")(self._control)
        application.route("GET", "/v1/usage")(self._usage)
        return application

    async def _start(self, request: Request) -> Response:
        try:
            lease_request = msgspec.json.decode(request.body, type=LeaseRequest)
        except msgspec.DecodeError as error:
            raise InvalidInput(str(error), "lease", request.peer) from error
        lease = self.leases.get(lease_request.lease)
        if lease is None:
            if self.closed or self.busy_slots >= self.slots:
                return Response.from_json(LeaseReply(lease_request.lease, "refused"))
            remaining_work_s = lease_request.payload.get("work_ms", 0) / 1000
            lapses_at = anyio.current_time() + lease_request.ttl_ms / 1000
            lease = self.leases[lease_request.lease] = GrantedLease(
                lease_request, remaining_work_s, lapses_at
            )
            self._record_start(
                TaskStart(
                    lease_request.submission,
                    lease_request.index,
                    self.name,
                    time.time(),
                    lease_request.kind,
                )
            )
            self._set_state(lease, "running")
            self.group.start_soon(self._run_lease, lease)
        response = self._reply(lease)
        if self.faults.truncate:
            response.headers["content-length"] = str(len(response.body))
            response.chunks, response.body = _first_half(response.body), b""
        return response

    async def _run_lease(self, lease: GrantedLease) -> None:
        while lease.state in ACTIVE_STATES and (
            lease.remaining_work_s > 0 or self.faults.hang_after_start
        ):
            await anyio.sleep(TICK_S)
            if lease.state == "running":
                lease.remaining_work_s -= TICK_S * self.speed * lease.speed
            if lease.state in ACTIVE_STATES and anyio.current_time() >= lease.lapses_at:
                self._set_state(lease, "lapsed")
        if lease.state in ACTIVE_STATES:
            self._set_state(lease, "failed" if self.faults.fail_all else "succeeded")
        lease.ended.set()

    def _set_state(self, lease: GrantedLease, state: str) -> None:
        self.busy_slots += (state == "running") - (lease.state == "running")
        lease.state = state
        self.usage_history.append((anyio.current_time(), self.busy_slots))
        self._notify_waiters()

    def _reply(self, lease: GrantedLease) -> Response:
        reply = LeaseReply(lease.request.lease, lease.state)
        if lease.state == "succeeded":
            value = {"runner": self.name, "value": lease.request.payload}
            reply.result = msgspec.Raw(msgspec.json.encode(value))
        if self.faults.wrong_echo and lease.state not in ACTIVE_STATES:
            reply.lease = WRONG_LEASE
        return Response.from_json(reply)

    def _find_lease(self, request: Request) -> GrantedLease:
        lease = self.leases.get(request.path_parameters["lease"])
        if lease is None:
            raise InvalidInput("unknown lease", "lease", request.peer)
        return lease

    async def _wait_for_end(self, request: Request) -> Response:
        lease = self._find_lease(request)
        with anyio.move_on_after(int(request.headers[WAIT_HEADER.lower()]) / 1000):
            await lease.ended.wait()
        return self._reply(lease)

    async def _control(self, request: Request) -> Response:
        lease, verb = self._find_lease(request), request.path_parameters["verb"]
        if self.faults.refuse_control:
            return Response(500)
        if lease.state in ACTIVE_STATES:
            if verb == "renew":
                ttl_s = msgspec.json.decode(request.body)["ttl_ms"] / 1000
                lease.lapses_at = anyio.current_time() + ttl_s
            elif verb == "throttle":
                lease.speed = THROTTLED_SPEED
            elif verb != "resume" or self.busy_slots < self.slots:
                self._set_state(lease, STATE_BY_VERB[verb])
        return self._reply(lease)

    async def _usage(self, request: Request) -> Response:
        reported_at = anyio.current_time() - self.usage_lag_s
        busy_slots = [
            count
            for recorded_at, count in self.usage_history
            if recorded_at <= reported_at
        ][-1]
        return Response.from_json(Usage(round(self.usage_lag_s * 1000), busy_slots))
