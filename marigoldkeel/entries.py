"""The entry: the process that accepts requests from callers over HTTP."""

import hashlib
import hmac

import anyio
import msgspec
from anyio.abc import TaskGroup
from loguru import logger

from marigoldkeel.admissions import QUOTA_STEP, CallerRequest, EntryAdmission
from marigoldkeel.attempts import UNCONFIGURED_STEP
from marigoldkeel.blackboard import Blackboard
from marigoldkeel.cancellations import DEFAULT_WAIT_MS, unknown_outcome
from marigoldkeel.claims import mint_time_of
from marigoldkeel.daemons import DRAIN_POLL_INTERVAL_S, Daemon
from marigoldkeel.exceptions import (
    InvalidInput,
    MarigoldkeelError,
    PeerUnavailable,
)
from marigoldkeel.followers import ConfigurationFollower, TableFollower
from marigoldkeel.guards import GuardedTaskGroup
from marigoldkeel.identifiers import (
    parse_submission_id,
    partition_of,
)
from marigoldkeel.limits import RetryBudget
from marigoldkeel.messages import (
    CancelJob,
    Run,
    Submit,
    TaskItem,
    TaskResult,
)
from marigoldkeel.metrics import ENTRY_METRICS, RequestTimes, add_metrics_route
from marigoldkeel.models import (
    Answer,
    Outcome,
    PartitionRecord,
    Priority,
    TaskState,
)
from marigoldkeel.primaries import REPLY_MARGIN_S, refusal
from marigoldkeel.servers import HttpApplication, Request, Response
from marigoldkeel.settings import Settings
from marigoldkeel.status import board_report


PRIORITIES = {
    "urgent": Priority.URGENT,
    "normal": Priority.NORMAL,
    "batch": Priority.BATCH,
}
STATUS_CODES = {
    Outcome.COMPLETE: 200,
    Outcome.FAILED: 502,
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 504,
}
NOT_READY_RETRY_MS = 500


class Entry(Daemon):
    """An entry process.

    :ivar started_ms: When it began to accept requests, as a wall-clock time in
        milliseconds; infinite before.

    Usage::

        entry = Entry.from_settings(Settings.from_toml("entry.toml"))
        await entry.run()
    """

    role = "entry"
    # Time for the load balancer to notice that the health check reports not ready.
    shutdown_notice_s = 0.5

    def __init__(self, settings: Settings, board: Blackboard):
        super().__init__(settings, board)
        self.started_ms = float("inf")
        self.in_progress = 0
        self.admissions = EntryAdmission(board)
        self.retry_budget = RetryBudget()
        self.request_times = RequestTimes()

    def make_controllers(self, group: GuardedTaskGroup) -> None:
        self.followers = [
            TableFollower(self.board, self.store, self.peers, lambda record: None),
            ConfigurationFollower(self.board, self.store, self.peers),
        ]

    async def _start(self, group: TaskGroup) -> None:
        await super()._start(group)
        # Until now, callers were refused a connection and may have used another entry.
        self.started_ms = self.board.wall_ms()

    async def finish_work(self) -> None:
        """Wait until all requests in progress have been answered."""
        while self.in_progress:
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)

    def routes(self) -> HttpApplication:
        application = HttpApplication(describe_rejection=rejection_fields)

        @application.route("POST", "/v1/jobs")
        async def submit_job(request: Request) -> Response:
            kind = request.headers.get("marigoldkeel-kind", "")
            return await self._serve_submission(request, kind, is_job=True)

        @application.route("POST", "/v1/calls/{kind}")
        async def submit_call(request: Request) -> Response:
            return await self._serve_submission(
                request, request.path_parameters["kind"], is_job=False
            )

        @application.route("DELETE", "/v1/jobs/{submission}")
        async def cancel_job(request: Request) -> Response:
            self.in_progress += 1
            try:
                return await self._handle_cancellation(request)
            finally:
                self.in_progress -= 1

        @application.route("GET", "/v1/status")
        async def status(request: Request) -> Response:
            return Response.from_json(self.report())

        @application.route("GET", "/v1/health")
        async def health(request: Request) -> Response:
            ready = self.board.configuration.ready and not self.board.leaving
            return Response.from_json({"ready": ready}, 200 if ready else 503)

        add_metrics_route(
            application, self, ENTRY_METRICS, [self.request_times.histogram]
        )
        return application

    def report(self) -> dict:
        """Return the status report of this entry."""
        return {
            "role": "entry",
            **board_report(self.board),
            "http": self.http_address,
            "requests_in_progress": self.in_progress,
            "messages": msgspec.to_builtins(self.peers.counters),
        }

    async def _serve_submission(
        self, request: Request, kind: str, is_job: bool
    ) -> Response:
        """Handle a submission and count it as in progress meanwhile."""
        self.in_progress += 1
        try:
            return await self._handle_submission(request, kind, is_job)
        finally:
            self.in_progress -= 1

    async def _handle_submission(
        self, request: Request, kind: str, is_job: bool
    ) -> Response:
        """Validate, admit and run a submission."""
        raw_id = request.headers.get("marigoldkeel-submission", "")
        if not self.board.configuration.ready:
            answer = not_ready_answer("no configuration is known yet")
            return to_response(answer, raw_id, is_job)
        try:
            caller_request = self._validate(request, kind, is_job)
        except InvalidInput as error:
            answer = Answer(
                rejection_outcome(request.method, request.headers),
                b"",
                error.message,
                error.step,
                request.peer,
                invalid=True,
            )
            return to_response(answer, raw_id, is_job)
        started_at = self.board.clock()
        answer = await self._admit_and_run(caller_request, is_job)
        self.request_times.observe(
            caller_request.priority, answer.outcome, self.board.clock() - started_at
        )
        logger.debug(
            "submission {} of team {}: {} {}",
            caller_request.text_id,
            caller_request.team,
            answer.outcome,
            answer.message,
        )
        return to_response(answer, caller_request.text_id, is_job)

    async def _handle_cancellation(self, request: Request) -> Response:
        """Validate a cancellation and forward it to the submission's partition."""
        text_id = request.path_parameters["submission"]
        if not self.board.configuration.ready:
            answer = unknown_outcome("no configuration is known yet", UNCONFIGURED_STEP)
            return to_response(answer, text_id, is_job=True)
        try:
            parsed_id = parse_submission_id(text_id)
            team = self._authenticate(request)
            unanswered_attempts = parse_int_header(
                request, "marigoldkeel-unanswered", 0
            )
            # The deadline of a cancellation limits the wait for running tasks.
            wait_ms = parse_int_header(
                request, "marigoldkeel-deadline-ms", DEFAULT_WAIT_MS
            )
            limit_ms = int(self.board.setting("max_deadline_ms"))
            wait_ms = min(wait_ms, limit_ms)
        except InvalidInput as error:
            answer = unknown_outcome(error.message, error.step, request.peer)
            answer.invalid = True
            return to_response(answer, text_id, is_job=True)
        record = self._find_record(parsed_id.bytes)
        if record is None:
            answer = unknown_outcome("the partition is not known yet", "route")
            return to_response(answer, text_id, is_job=True)
        message = CancelJob(
            record.partition,
            record.generation,
            parsed_id.bytes,
            team,
            unanswered_attempts,
            wait_ms,
        )
        # The primary waits for a pending claim, or up to wait_ms for running tasks.
        claim_ms = self.board.setting("claim_timeout_ms")
        timeout_s = (claim_ms + wait_ms) / 1000 + 2 * REPLY_MARGIN_S
        answer = await self._request_members(record, message, timeout_s)
        if isinstance(answer, str):
            answer = unknown_outcome(answer, "cancel")
        return to_response(answer, text_id, is_job=True)

    async def _admit_and_run(
        self, caller_request: CallerRequest, is_job: bool
    ) -> Answer:
        needs_partition = is_job or not caller_request.read_only
        if needs_partition and not self.board.partitions.count_confirmed:
            return not_ready_answer("no partition is known yet")
        admission = self.admissions.admit(caller_request)
        if not admission.admitted:
            attempts = caller_request.possible_attempts
            return self.admissions.refuse(admission, attempts)
        started_at = self.board.clock()
        answer = None
        try:
            if needs_partition:
                answer = await self._forward_submission(caller_request)
            else:
                answer = await self._run_read_only(caller_request)
        finally:
            self.admissions.release(admission, caller_request, started_at, answer)
        return answer

    def _validate(self, request: Request, kind: str, is_job: bool) -> CallerRequest:
        """Validate a request and return its parsed form.

        :raises InvalidInput: If the request is invalid; its message gives the reason.
        """
        current_configuration = self.board.policy
        if kind not in current_configuration.kinds:
            raise InvalidInput(f"unknown kind {kind!r}", "check kind")
        caller_request = CallerRequest()
        caller_request.kind = kind
        caller_request.team = self._authenticate(request)
        parsed_id = parse_submission_id(
            request.headers.get("marigoldkeel-submission", "")
        )
        caller_request.submission_id = parsed_id.bytes
        caller_request.text_id = str(parsed_id)
        scope = {
            "kind": kind,
            "team": caller_request.team,
            "domain": self.settings.domain,
        }
        caller_request.priority = PRIORITIES[self.board.setting("priority", **scope)]
        caller_request.deadline_s = self._parse_deadline_s(request, scope)
        caller_request.deadline = self.board.clock() + caller_request.deadline_s
        caller_request.unanswered = parse_int_header(
            request, "marigoldkeel-unanswered", 0
        )
        # While this entry was not running, the caller may have sent the id to another
        # one, beside the attempt that arrives now.
        is_older = mint_time_of(caller_request.submission_id) < self.started_ms
        caller_request.possible_attempts = caller_request.unanswered or int(is_older)
        caller_request.tasks = 1
        caller_request.body = request.body
        if is_job:
            caller_request.tasks = parse_int_header(request, "marigoldkeel-tasks", -1)
            limit = self.board.setting("max_tasks", **scope)
            if not 1 <= caller_request.tasks <= limit:
                raise InvalidInput(
                    f"marigoldkeel-tasks must be 1 to {limit}", "check tasks"
                )
        else:
            caller_request.body = b"[" + request.body + b"]"
            check_json(request.body)
        caller_request.read_only = current_configuration.kinds[kind].read_only
        caller_request.idempotent = current_configuration.kinds[kind].idempotent
        return caller_request

    def _authenticate(self, request: Request) -> str:
        team = request.headers.get("marigoldkeel-team", "")
        team_policy = self.board.policy.teams.get(team)
        if team_policy is None:
            raise InvalidInput(f"unknown team {team!r}", "authenticate")
        if team_policy.token_sha256:
            token = request.headers.get("authorization", "").removeprefix("Bearer ")
            digest = hashlib.sha256(token.encode()).hexdigest()
            if not hmac.compare_digest(digest, team_policy.token_sha256):
                raise InvalidInput("invalid token for the team", "authenticate")
        return team

    def _parse_deadline_s(self, request: Request, scope: dict[str, str]) -> float:
        default_ms = self.board.setting("deadline_ms", **scope)
        limit_ms = self.board.setting("max_deadline_ms", **scope)
        deadline_ms = parse_int_header(request, "marigoldkeel-deadline-ms", default_ms)
        if not 1 <= deadline_ms <= limit_ms:
            raise InvalidInput(
                f"marigoldkeel-deadline-ms must be 1 to {limit_ms}", "check deadline"
            )
        return deadline_ms / 1000

    async def _forward_submission(self, caller_request: CallerRequest) -> Answer:
        """Forward an admitted submission to its partition."""
        record = self._find_record(caller_request.submission_id)
        if record is None:
            return not_ready_answer("the partition is not known yet")
        message = Submit(
            record.partition,
            record.generation,
            caller_request.submission_id,
            caller_request.team,
            caller_request.kind,
            caller_request.priority,
            int(caller_request.deadline_s * 1000),
            caller_request.unanswered,
            caller_request.tasks,
            caller_request.body,
        )
        # After the deadline, the primary itself waits one margin for the agents.
        timeout_s = caller_request.deadline_s + 2 * REPLY_MARGIN_S
        answer = await self._request_members(
            record, message, timeout_s, caller_request.deadline
        )
        if isinstance(answer, str):
            return refusal(answer, caller_request.possible_attempts, "submit")
        return answer

    def _find_record(self, submission_id: bytes) -> PartitionRecord | None:
        table = self.board.partitions
        if not table.count_confirmed:
            return None
        return table.records.get(partition_of(submission_id, table.partition_count))

    async def _request_members(
        self,
        record: PartitionRecord,
        message: Submit | CancelJob,
        timeout_s: float,
        deadline: float = float("inf"),
    ) -> Answer | str:
        """Send a message to the primary, or to the standby if the primary got nothing.

        :param deadline: When the caller no longer needs the answer.
        :return: The answer, or the reason why nothing was sent to either member.
        """
        failure_reason = ""
        for member in (record.primary, record.standby):
            try:
                connection = await self.peers.connect(member.address)
                if deadline < float("inf"):
                    # Connecting may take a second, or this process was paused. The
                    # member counts the time left from when it gets the message.
                    message.deadline_ms = int(1000 * (deadline - self.board.clock()))
                    if message.deadline_ms <= 0:
                        return "the deadline passed before the job was forwarded"
                reply = await connection.request(message, timeout_s)
            except PeerUnavailable as error:
                failure_reason = f"no member of the partition can be reached: {error}"
            except MarigoldkeelError as error:
                step = "submit" if isinstance(message, Submit) else "cancel"
                return Answer(Outcome.UNKNOWN, b"", error.message, step, error.peer)
            else:
                return reply
        return failure_reason

    async def _run_read_only(self, caller_request: CallerRequest) -> Answer:
        """Run a read-only call on the less loaded of two random agents.

        The call has no side effects, so it is retried on the other agent unless the
        first reported that it succeeded or failed.
        """
        states = self.board.candidates(caller_request.kind)
        sampled = self.board.random.sample(states, min(2, len(states)))
        sampled.sort(key=lambda state: state.load)
        now = self.board.clock()
        deadline = now + caller_request.deadline_s
        self.retry_budget.ratio = self.board.setting(
            "retry_budget_ratio", kind=caller_request.kind
        )
        self.retry_budget.record_call(now)
        result = TaskResult(0, TaskState.NOT_STARTED, b"", "no agent serves this kind")
        for state in sampled:
            remaining_s = deadline - self.board.clock()
            if remaining_s <= 0:
                break
            self.board.detector.record_start(state.member.name, self.board.clock())
            latest = await self._run_on_agent(caller_request, state, remaining_s)
            self.board.record_result(state.member.name, caller_request.kind, latest)
            # A retry that was not started does not show that the first one was not.
            if (
                result.state == TaskState.NOT_STARTED
                or latest.state != TaskState.NOT_STARTED
            ):
                result = latest
            if result.state in (TaskState.SUCCEEDED, TaskState.FAILED):
                break
            # Unlimited retries would double the load on an overloaded fleet.
            if not self.retry_budget.try_retry(self.board.clock()):
                break
        return answer_from_result(result, caller_request.possible_attempts)

    async def _run_on_agent(
        self, caller_request: CallerRequest, state, remaining_s
    ) -> TaskResult:
        state.load += 1 / max(1, state.slots)
        # Generation 0 marks a read-only call. `_validate` put the body in brackets,
        # which are removed.
        run = Run(
            0,
            0,
            caller_request.submission_id,
            caller_request.kind,
            caller_request.priority,
            int(remaining_s * 1000),
            [TaskItem(0, caller_request.body[1:-1])],
        )
        try:
            reply = await self.peers.request(
                state.member.address, run, remaining_s + REPLY_MARGIN_S
            )
            return reply.results[0]
        except PeerUnavailable as error:
            return TaskResult(0, TaskState.NOT_STARTED, b"", str(error))
        except MarigoldkeelError as error:
            return TaskResult(0, TaskState.MAY_HAVE_RUN, b"", str(error))


def not_ready_answer(message: str) -> Answer:
    """Return the answer of an entry that has just started to a submission.

    The outcome is not "not run", as another entry may have accepted the id, which only
    the members of its partition can rule out.
    """
    answer = unknown_outcome(message, UNCONFIGURED_STEP)
    answer.retry_after_ms = NOT_READY_RETRY_MS
    return answer


def rejection_outcome(method: str, headers: dict[str, str]) -> Outcome:
    """Return what a rejected request shows about its submission.

    Only a submission without unanswered attempts has certainly not run. A rejected
    cancellation shows nothing.
    """
    unanswered = headers.get("marigoldkeel-unanswered", "0")
    is_first = unanswered.isascii() and unanswered.isdigit() and int(unanswered) == 0
    return Outcome.NOT_RUN if method == "POST" and is_first else Outcome.UNKNOWN


def rejection_fields(method: str, headers: dict[str, str]) -> dict[str, str]:
    """Return fields for the response to a request that reached no endpoint."""
    submission = headers.get("marigoldkeel-submission", "")
    return {"submission": submission, "outcome": rejection_outcome(method, headers)}


def parse_int_header(request: Request, name: str, default: int) -> int:
    """Return the value of an integer header, or ``default`` if it is missing.

    :raises InvalidInput: If it is not a decimal number of at most 12 digits.
    """
    text = request.headers.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit()) or len(text) > 12:
        raise InvalidInput(
            f"{name} is not a number of at most 12 digits: {text[:32]!r}",
            "check headers",
        )
    return int(text)


def check_json(body: bytes) -> None:
    """Check that the body of a call is a single JSON value.

    :raises InvalidInput: If it is not.
    """
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidInput(f"body is not JSON: {error}", "parse body") from error


def answer_from_result(result: TaskResult, possible_attempts: int) -> Answer:
    """Return the answer to a read-only call with the given result."""
    if result.state == TaskState.SUCCEEDED:
        body = b"[" + result.payload + b"]"
        return Answer(Outcome.COMPLETE, body, run_ms=result.run_ms)
    if result.state == TaskState.NOT_STARTED:
        return refusal(result.message, possible_attempts, "run")
    answer = Answer(Outcome.FAILED, b"", result.message, "run", run_ms=result.run_ms)
    # The only task of a call has index 0.
    certainly_ran = result.state == TaskState.FAILED
    (answer.ran if certainly_ran else answer.may_have_run).append(0)
    return answer


def to_response(answer: Answer, submission: str, is_job: bool) -> Response:
    """Return the HTTP response for an answer."""
    status = STATUS_CODES[answer.outcome]
    if answer.conflict:
        status = 409
    elif answer.step == QUOTA_STEP:
        status = 429
    elif answer.invalid:
        status = 400
    headers = {"content-type": "application/json"}
    if answer.outcome is Outcome.COMPLETE:
        head = msgspec.json.encode({"submission": submission, "outcome": "complete"})
        body = head[:-1] + b',"results":' + answer.body + b"}"
        return Response(status, body, headers)
    if answer.retry_after_ms:
        headers["retry-after"] = str(max(1, round(answer.retry_after_ms / 1000)))
    content = {
        "submission": submission,
        "outcome": answer.outcome,
        "error": answer.message,
        "step": answer.step,
        "peer": answer.peer,
        "retry_after_ms": answer.retry_after_ms,
        "ran": answer.ran,
        "may_have_run": answer.may_have_run,
    }
    return Response(status, msgspec.json.encode(content), headers)
