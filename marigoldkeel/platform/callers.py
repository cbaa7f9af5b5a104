"""HTTP interfaces for callers, which submit jobs, and for the balancer's health check.

The fields of the structures are named as in the platform's requests.
"""

import re
from collections.abc import Iterator
from contextlib import contextmanager
from math import isfinite

import anyio
import msgspec
from loguru import logger

from marigoldkeel.client_limits import Holding
from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.fleet.daemons import FleetEntry
from marigoldkeel.fleet.messages import MAX_FIELD_MS
from marigoldkeel.fleet.plans import Queue
from marigoldkeel.fleet.work import (
    JobAnswer,
    JobState,
    RepeatableJob,
    Resources,
    Step,
)
from marigoldkeel.servers import (
    HttpApplication,
    Request,
    Response,
    read_pending_events,
)


JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
# Name of the header that states how long the caller waits for the answer, counted from
# the arrival of its request.
DEADLINE_HEADER = "marigoldkeel-deadline-ms"
# Used when a request does not contain the deadline header.
DEFAULT_CALLER_TIMEOUT_S = 30.0
MAX_PAYLOAD_BYTES = 4000
# Largest value of a step's numbers that a start order can state.
MAX_FIELD = 2**32 - 1
MAX_TASKS = 10_000
# Each step has at least one task, and a payload may contain braces. The objects of more
# steps would be created before their tasks can be counted.
MAX_OBJECTS = MAX_TASKS + MAX_PAYLOAD_BYTES + 1
# A body that is shorter has no more objects.
UNCOUNTED_BODY_BYTES = 2 * MAX_OBJECTS
# Sum over the steps of the tasks that each waits for. They are looked at again whenever
# a task ends, so a body of legal size could otherwise keep an entry busy for minutes.
MAX_DEPENDENCIES = 100_000
# Memory of a task that waits. 100 jobs of 10,000 tasks took 409 MB.
TASK_BYTES = 450
# Memory of a step besides its text in the body.
STEP_BYTES = 400
# Jobs of fewer tasks are contained in what is accounted for each connection.
UNACCOUNTED_TASKS = 32
MEMORY_RETRY_S = 1.0
# Of the host and the path of a request for which there is no queue.
MAX_LOGGED_CHARACTERS = 100
STATUS_CODES = {
    JobState.DONE: 200,
    JobState.FAILED: 200,
    JobState.CANCELLED: 200,
    JobState.NOT_RUN: 503,
    JobState.UNKNOWN: 504,
}
# A response for `JobState.NOT_RUN` or `JobState.UNKNOWN` has an error and no state.
STATE_NAMES = {
    JobState.DONE: "done",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


class _Step(msgspec.Struct):
    """A group of identical tasks.

    A job with a step that sets ``gang``, ``persistent`` or ``fills`` is refused, since
    these features of the platform are not supported.

    :ivar cpu: CPU that each task requires, in thousandths of a core.
    :ivar requires: A label that a worker must have to run the tasks.
    :ivar anti_affinity: Maximum number of tasks of the step per worker; 0 for no limit.
    """

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0
    estimate_ms: float = 0
    after: list[int] = []
    requires: str = ""
    data_rack: str = ""
    anti_affinity: int = 0
    gang: bool = False
    persistent: bool = False
    fills: bool = False

    def to_step(self, number: int) -> Step:
        fields = (self.cpu, self.mem_mb, self.gpus, self.anti_affinity)
        is_in_range = all(0 <= value <= MAX_FIELD for value in fields)
        if self.count < 1 or not is_in_range:
            raise InvalidInput(f"step {number}: count, demand or limit out of range")
        if not 0 <= self.estimate_ms <= MAX_FIELD_MS:
            raise InvalidInput(f"step {number}: estimate out of range")
        if any(not 0 <= index < number for index in self.after):
            raise InvalidInput(f"step {number}: waits for a step that is not earlier")
        unsupported = [
            name for name in ("gang", "persistent", "fills") if getattr(self, name)
        ]
        return Step(
            self.count,
            Resources(self.cpu, self.mem_mb, self.gpus),
            self.estimate_ms / 1000,
            sorted(set(self.after)),
            self.requires,
            self.data_rack,
            self.anti_affinity,
            ", ".join(unsupported),
        )


class _Job(msgspec.Struct):
    """A job request.

    :ivar spec: Input passed to every task.
    :ivar best_effort: True for a job that may be run again, by its owner or when the
        caller submits it again. It is not persisted. Other jobs are not supported.
    :ivar times: Not 0 for a job that is to run at set times, which is not supported.
    """

    steps: list[_Step]
    spec: str = ""
    best_effort: bool = False
    times: int = 0


def decode_job(
    body: bytes,
    job_id: str,
    queue: Queue,
    now: float,
    caller_timeout_s: float,
    plan_version: int,
) -> tuple[RepeatableJob, str]:
    """Decode the job in a request body.

    :return: The job, and the unsupported features that it or its queue requires,
        separated by commas.
    :raises InvalidInput: If the body is malformed.
    """
    if len(body) > UNCOUNTED_BODY_BYTES and body.count(b"{") > MAX_OBJECTS:
        raise InvalidInput(f"a job has at most {MAX_TASKS} steps")
    try:
        content = msgspec.json.decode(body, type=_Job)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidInput(f"malformed job: {error}", "read job") from None
    if not content.steps or len(content.spec.encode()) > MAX_PAYLOAD_BYTES:
        raise InvalidInput("a job has steps and a spec of at most 4,000 bytes")
    if sum(step.count for step in content.steps) > MAX_TASKS:
        raise InvalidInput(f"a job has at most {MAX_TASKS} tasks")
    steps = [step.to_step(number) for number, step in enumerate(content.steps)]
    dependencies = sum(steps[index].count for step in steps for index in step.after)
    if dependencies > MAX_DEPENDENCIES:
        raise InvalidInput("the steps wait for too many tasks")
    unsupported = [step.unsupported for step in steps if step.unsupported]
    if not content.best_effort:
        unsupported.append("jobs that are kept")
    if content.times:
        unsupported.append("jobs at set times")
    if queue.advice is not None:
        unsupported.append("queues with advice")
    job = RepeatableJob(
        job_id, queue, content.spec, steps, now, caller_timeout_s, plan_version
    )
    return job, ", ".join(unsupported)


def callers_application(entry: FleetEntry) -> HttpApplication:
    """Create the application that serves the callers of an entry."""
    application = HttpApplication(get_limits=lambda: entry.client_limits)

    @application.default
    async def serve(request: Request) -> Response:
        entry.in_progress += 1
        try:
            response = await _serve(entry, request)
        finally:
            entry.in_progress -= 1
        if entry.closes_connections:
            response.headers["connection"] = "close"
        return response

    return application


async def _serve(entry: FleetEntry, request: Request) -> Response:
    if entry.plan is None:
        return _not_run_response("no configuration is known yet", 1.0)
    host = request.headers.get("host", "").partition(":")[0]
    queue = entry.plan.find(host, request.path)
    if queue is None:
        logger.bind(
            host=host[:MAX_LOGGED_CHARACTERS],
            path=request.path[:MAX_LOGGED_CHARACTERS],
            plan=entry.plan.version,
            plan_unconfirmed_ms=round(1000 * entry.follower.unconfirmed_s),
        ).info("no such queue")
        return Response.from_json({"error": "no such queue"}, 404)
    job_id = request.path[len(queue.prefix) :]
    if not job_id and request.method == "GET":
        return Response.from_json({"pending": entry.scheduler.pending(queue.name)})
    if not JOB_ID.match(job_id):
        return Response.from_json({"error": "an id has 16 hexadecimal digits"}, 404)
    if request.method == "POST":
        return await _submit(entry, request, queue, job_id)
    if request.method == "GET":
        owned_job = entry.scheduler.jobs.get(job_id)
        if owned_job is None:
            return Response.from_json({"error": "no such job"}, 410)
        state = "running" if owned_job.has_started else "queued"
        return Response.from_json({"state": state})
    if request.method == "DELETE":
        owned_job = entry.scheduler.jobs.get(job_id)
        was_owned = owned_job is not None and not owned_job.answered
        # The request may arrive once more at another entry, whoever owns the job.
        if not await entry.confirm_cancellation(job_id):
            response = Response.from_json({"error": "not known elsewhere yet"}, 503)
            response.headers["retry-after"] = "1"
            return response
        if was_owned:
            return Response.from_json({})
        return Response.from_json({"error": "no such job here"}, 410)
    return Response.from_json({"error": "no such method"}, 405)


async def _submit(
    entry: FleetEntry, request: Request, queue: Queue, job_id: str
) -> Response:
    now = entry.scheduler.clock()
    caller_timeout_s = _caller_timeout_s(request)
    try:
        job, unsupported = decode_job(
            request.body, job_id, queue, now, caller_timeout_s, entry.plan.version
        )
    except InvalidInput as error:
        return Response.from_json({"error": error.message}, 400)
    job.plan_unconfirmed_s = entry.follower.unconfirmed_s
    if unsupported:
        return _not_run_response(f"not carried out here: {unsupported}", 30.0)
    request.body = b""
    with _accounted(entry, request, job) as has_room:
        if not has_room:
            return _not_run_response("memory is short", MEMORY_RETRY_S)
        return await _serve_job(entry, request, job)


@contextmanager
def _accounted(
    entry: FleetEntry, request: Request, job: RepeatableJob
) -> Iterator[bool]:
    """Account the tasks of a job; yield whether there is room for them."""
    tasks = sum(step.count for step in job.steps)
    if tasks <= UNACCOUNTED_TASKS:
        yield True
        return
    holding = Holding(job.job_id, request.peer.rpartition(":")[0])
    try:
        size = tasks * TASK_BYTES + len(job.steps) * STEP_BYTES
        yield entry.guard.resize(holding, size, share=1.0)
    finally:
        entry.guard.budget.release(holding)


async def _serve_job(
    entry: FleetEntry, request: Request, job: RepeatableJob
) -> Response:
    """Submit a job and wait for its answer."""
    answer_recorded = anyio.Event()
    recorded_answers: list[JobAnswer] = []

    def record_answer(result: JobAnswer) -> None:
        recorded_answers.append(result)
        answer_recorded.set()

    owned_job = entry.scheduler.submit(job, record_answer, held=True)
    if owned_job is not None:
        async with anyio.create_task_group() as group:
            group.start_soon(_abandon_on_disconnect, entry, request, owned_job)
            # A request that was read late is often followed by the end of its
            # connection: its caller has submitted the job elsewhere.
            await read_pending_events()
            entry.scheduler.release(owned_job)
            await answer_recorded.wait()
            group.cancel_scope.cancel()
    # If submit() refused the job, it has already called record_answer().
    return _to_response(recorded_answers[0])


async def _abandon_on_disconnect(
    entry: FleetEntry, request: Request, owned_job
) -> None:
    await request.wait_for_disconnect()
    entry.scheduler.abandon(owned_job, "the caller has left")


def _caller_timeout_s(request: Request) -> float:
    try:
        timeout_s = float(request.headers[DEADLINE_HEADER]) / 1000
    except (KeyError, ValueError):
        return DEFAULT_CALLER_TIMEOUT_S
    return timeout_s if isfinite(timeout_s) else DEFAULT_CALLER_TIMEOUT_S


def _to_response(answer: JobAnswer) -> Response:
    if answer.state == JobState.NOT_RUN:
        return _not_run_response(answer.reason, answer.retry_after_s)
    # The default is never sent: the content for UNKNOWN is replaced below.
    content = {"state": STATE_NAMES.get(answer.state, "running")}
    if answer.state == JobState.UNKNOWN:
        content = {"error": answer.reason}
    return Response.from_json(content, STATUS_CODES[answer.state])


def _not_run_response(reason: str, retry_after_s: float) -> Response:
    """Return a response that states that the job was not run and when to retry."""
    response = Response.from_json({"error": reason}, STATUS_CODES[JobState.NOT_RUN])
    response.headers["retry-after"] = str(max(1, round(retry_after_s)))
    return response


def readiness_application(entry: FleetEntry) -> HttpApplication:
    """Create the application that answers the balancer's readiness checks."""
    application = HttpApplication()

    @application.route("GET", "/api/ready")
    async def ready(request: Request) -> Response:
        return Response.from_json({}, 200 if entry.ready else 503)

    return application
