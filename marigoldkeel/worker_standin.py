"""A small stand-in for a worker that runs tasks under leases, with faults."""

import time
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec

from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.runners import Faults, RunnerStandin, Start, _first_half
from marigoldkeel.servers import HttpApplication, Request, Response
from marigoldkeel.workers import WAIT_HEADER, LeaseReply, LeaseRequest, Usage


TICK_S = 0.005
THROTTLED_SPEED = 0.25
WRONG_LEASE = "00000000-0000-5000-8000-000000000000"
HELD = ("running", "checkpointed")
STATES = {"stop": "stopped", "checkpoint": "checkpointed", "resume": "running"}


class WorkerFaults(Faults):
    """The faults of a worker, besides those of a runner.

    ``truncate`` applies to the answer to the start, ``wrong_echo`` to the result.

    :param refuse_control: Answer 500 to renewals and stops, so that leases lapse.
    """

    refuse_control: bool = False


@dataclass(slots=True)
class HeldLease:
    """A lease and the work left under it, in seconds at speed 1."""

    request: LeaseRequest
    work_s: float
    lapses_at: float
    state: str = ""
    speed: float = 1.0
    ended: anyio.Event = field(default_factory=anyio.Event)


class WorkerStandin(RunnerStandin):
    """Runs tasks like `RunnerStandin`, each under a lease.

    :param usage_lag_s: Age of the usage that is reported, in seconds.
    """

    protocol = "worker"

    def __init__(self, name: str, *, usage_lag_s: float = 1.0, **options: Any):
        self.leases: dict[str, HeldLease] = {}
        self.usage_lag_s = usage_lag_s
        self.usages: list[tuple[float, int]] = [(float("-inf"), 0)]
        super().__init__(name, **options)
        self.faults = WorkerFaults()

    def _routes(self) -> HttpApplication:
        application = HttpApplication()
        application.route("POST", "/v1/leases")(self._start)
        application.route("GET", "/v1/leases/{lease}")(self._wait)
        application.route("POST", "/v1/leases/{lease}/{verb}")(self._control)
        application.route("GET", "/v1/usage")(self._usage)
        return application

    async def _start(self, request: Request) -> Response:
        try:
            asked = msgspec.json.decode(request.body, type=LeaseRequest)
        except msgspec.DecodeError as error:
            raise InvalidInput(str(error), "lease", request.peer) from error
        lease = self.leases.get(asked.lease)
        if lease is None:
            if self.closed or self.busy >= self.slots:
                return Response.from_json(LeaseReply(asked.lease, "refused"))
            work_s = asked.payload.get("work_ms", 0) / 1000
            lapses_at = anyio.current_time() + asked.ttl_ms / 1000
            lease = self.leases[asked.lease] = HeldLease(asked, work_s, lapses_at)
            self._record(Start(asked.submission, asked.index, self.name, time.time()))
            self._enter(lease, "running")
            self.group.start_soon(self._run_lease, lease)
        response = self._reply(lease)
        if self.faults.truncate:
            response.headers["content-length"] = str(len(response.body))
            response.chunks, response.body = _first_half(response.body), b""
        return response

    async def _run_lease(self, lease: HeldLease) -> None:
        while lease.state in HELD and (
            lease.work_s > 0 or self.faults.hang_after_start
        ):
            await anyio.sleep(TICK_S)
            if lease.state == "running":
                lease.work_s -= TICK_S * self.speed * lease.speed
            if lease.state in HELD and anyio.current_time() >= lease.lapses_at:
                self._enter(lease, "lapsed")
        if lease.state in HELD:
            self._enter(lease, "failed" if self.faults.fail_all else "succeeded")
        lease.ended.set()

    def _enter(self, lease: HeldLease, state: str) -> None:
        self.busy += (state == "running") - (lease.state == "running")
        lease.state = state
        self.usages.append((anyio.current_time(), self.busy))
        self._notify()

    def _reply(self, lease: HeldLease) -> Response:
        reply = LeaseReply(lease.request.lease, lease.state)
        if lease.state == "succeeded":
            value = {"runner": self.name, "value": lease.request.payload}
            reply.result = msgspec.Raw(msgspec.json.encode(value))
        if self.faults.wrong_echo and lease.state not in HELD:
            reply.lease = WRONG_LEASE
        return Response.from_json(reply)

    def _find(self, request: Request) -> HeldLease:
        lease = self.leases.get(request.path_parameters["lease"])
        if lease is None:
            raise InvalidInput("no such lease", "lease", request.peer)
        return lease

    async def _wait(self, request: Request) -> Response:
        lease = self._find(request)
        with anyio.move_on_after(int(request.headers[WAIT_HEADER.lower()]) / 1000):
            await lease.ended.wait()
        return self._reply(lease)

    async def _control(self, request: Request) -> Response:
        lease, verb = self._find(request), request.path_parameters["verb"]
        if self.faults.refuse_control:
            return Response(500)
        if lease.state in HELD:
            if verb == "renew":
                ttl_s = msgspec.json.decode(request.body)["ttl_ms"] / 1000
                lease.lapses_at = anyio.current_time() + ttl_s
            elif verb == "throttle":
                lease.speed = THROTTLED_SPEED
            elif verb != "resume" or self.busy < self.slots:
                self._enter(lease, STATES[verb])
        return self._reply(lease)

    async def _usage(self, request: Request) -> Response:
        until = anyio.current_time() - self.usage_lag_s
        busy = [count for at, count in self.usages if at <= until][-1]
        return Response.from_json(Usage(round(self.usage_lag_s * 1000), busy))
