"""Client sessions that submit jobs and calls, retry them and cancel them."""

import random
import time
import uuid
from collections.abc import Callable, Iterable, Sequence
from typing import Any
from urllib.parse import quote

import anyio
import httpcore
import msgspec
from msgspec import Struct, field

from marigoldkeel.attempts import (
    BACKOFF_BASE_S,
    CANCEL_STEP,
    CONNECT_TIMEOUT_S,
    DEFAULT_CANCEL_DEADLINE_S,
    DEFAULT_CANCEL_WAIT_S,
    DEFAULT_DEADLINE_S,
    DEFAULT_MAX_ATTEMPTS,
    ENTRY_PATTERN,
    INVALID_STATUSES,
    KEEPALIVE_EXPIRY_S,
    MAX_ANSWER_BYTES,
    MAX_CONNECTIONS,
    MAX_DEADLINE_S,
    MIN_REMAINING_S,
    AnswerBody,
    Attempt,
    AttemptPlan,
    EntryAnswer,
    Finished,
    NoAnswer,
    NotSent,
    parse_answer,
)
from marigoldkeel.exceptions import (
    InvalidInput,
    OutcomeUnknown,
)
from marigoldkeel.identifiers import parse_submission_id
from marigoldkeel.models import Outcome


class JobResult(Struct):
    """The result of a complete job; ``results`` has one value per task, in order."""

    results: list[Any]
    submission_id: str
    attempts: int
    elapsed_s: float


class CallResult(Struct):
    """The result of a complete call."""

    result: Any
    submission_id: str
    attempts: int
    elapsed_s: float


class CancelResult(Struct):
    """The outcome of a submission after its cancellation.

    ``not_run`` means that no task has run or will run, ``failed`` that the tasks
    in ``ran`` and ``may_have_run`` were started before the cancellation took effect,
    and ``complete`` that the job completed first.
    """

    outcome: Outcome
    submission_id: str
    results: list[Any] = field(default_factory=list)
    ran: list[int] = field(default_factory=list)
    may_have_run: list[int] = field(default_factory=list)


def _check_header_value(name: str, value: str) -> None:
    # Validated before sending, because httpcore rejects an illegal header value
    # only after it has started the request, which would count as an attempt
    # without an answer.
    if not (value.isascii() and value.isprintable() and value == value.strip()):
        raise InvalidInput(
            f"{name} {value[:64]!r} must be printable ASCII without surrounding spaces",
            step="submit",
        )


class BaseSession:
    """Input validation and request preparation shared by both session classes.

    :param entries: Addresses of entries, such as ``"10.0.0.1:8000"``.
    :param team: The team whose quota is charged.
    :param token: The team's bearer token; empty to send none.
    :param max_attempts: Number of attempts after which a refusal is not retried.
    """

    def __init__(
        self,
        entries: Sequence[str] | str,
        team: str,
        *,
        token: str = "",
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
    ):
        self.entries = [entries] if isinstance(entries, str) else list(entries)
        self.team = team
        self.token = token
        self.max_attempts = max_attempts
        self.clock: Callable[[], float] = time.monotonic
        if not self.entries:
            raise InvalidInput("at least one entry address is required", step="submit")
        for entry in self.entries:
            if not ENTRY_PATTERN.match(entry):
                raise InvalidInput(
                    f"entry address {entry!r} is not of the form HOST:PORT",
                    step="submit",
                )
        _check_header_value("team", team)
        _check_header_value("token", token)

    def prepare_job(
        self, kind: str, tasks: Iterable[Any], **options: Any
    ) -> "PendingSubmission":
        _check_header_value("kind", kind)
        tasks = list(tasks)
        if not tasks:
            raise InvalidInput("a job must have at least one task", step="submit")
        headers = [
            ("Marigoldkeel-Kind", kind),
            ("Marigoldkeel-Tasks", str(len(tasks))),
        ]
        return self._prepare("/v1/jobs", headers, tasks, len(tasks), **options)

    def prepare_call(
        self, kind: str, value: Any, **options: Any
    ) -> "PendingSubmission":
        path = f"/v1/calls/{quote(kind, safe='')}"
        return self._prepare(path, [], value, 1, **options)

    def _prepare(
        self,
        path: str,
        headers: list[tuple[str, str]],
        content: Any,
        expected_results: int,
        *,
        deadline_s: float,
        submission_id: uuid.UUID | str | None,
        unanswered: int | None,
    ) -> "PendingSubmission":
        if not 0 < deadline_s <= MAX_DEADLINE_S:
            raise InvalidInput(
                f"deadline_s is {deadline_s}, but must be in (0, {MAX_DEADLINE_S:g}]",
                step="submit",
            )
        if isinstance(submission_id, str):
            submission_id = parse_submission_id(submission_id)
        if unanswered is None:
            # An id passed by the caller usually belongs to an earlier request whose
            # answer was lost, so one unanswered attempt is assumed.
            unanswered = 0 if submission_id is None else 1
        try:
            body = msgspec.json.encode(content)
        except (TypeError, ValueError, OverflowError) as error:
            raise InvalidInput(str(error), step="encode") from error
        # Starts at a random entry to spread callers over all entries.
        offset = random.randrange(len(self.entries))
        started = self.clock()
        plan = AttemptPlan(
            self.entries[offset:] + self.entries[:offset],
            deadline=started + deadline_s,
            expected_results=expected_results,
            submission_id=submission_id,
            unanswered=unanswered,
            max_attempts=self.max_attempts,
        )
        headers = [
            *headers,
            ("Marigoldkeel-Team", self.team),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if self.token:
            headers.append(("Authorization", f"Bearer {self.token}"))
        return PendingSubmission(plan, path, headers, body, started)


class PendingCancellation:
    """A cancellation in progress.

    Cancelling is idempotent, so a failed request is repeated at another entry.
    """

    def __init__(
        self,
        session: BaseSession,
        submission_id: uuid.UUID | str,
        unanswered: int,
        wait_s: float,
        deadline_s: float,
    ):
        if isinstance(submission_id, str):
            submission_id = parse_submission_id(submission_id)
        self.submission_id = submission_id
        self.clock = session.clock
        self.deadline = self.clock() + deadline_s
        self.failures = 0
        self.entries = random.sample(session.entries, len(session.entries))
        self.headers = [
            ("Marigoldkeel-Team", session.team),
            ("Marigoldkeel-Unanswered", str(unanswered)),
            ("Marigoldkeel-Deadline-Ms", str(max(1, round(wait_s * 1000)))),
        ]
        if session.token:
            self.headers.append(("Authorization", f"Bearer {session.token}"))

    def request_arguments(self) -> dict:
        """Return the keyword arguments for the connection pool's ``request``."""
        entry = self.entries[self.failures % len(self.entries)]
        remaining_s = max(MIN_REMAINING_S, self.deadline - self.clock())
        timeouts = dict.fromkeys(("read", "write", "pool"), remaining_s)
        timeouts["connect"] = min(remaining_s, CONNECT_TIMEOUT_S)
        return {
            "method": "DELETE",
            "url": f"http://{entry}/v1/jobs/{self.submission_id}",
            "headers": [("Host", entry), *self.headers],
            "extensions": {"timeout": timeouts},
        }

    def parse_response(self, response: httpcore.Response) -> CancelResult | NoAnswer:
        """Return the outcome in a response, or the reason why it contains none.

        :raises InvalidInput: The entry rejected the cancellation as invalid.
        :raises OutcomeUnknown: An earlier attempt of the submission may have run.
        """
        try:
            content = msgspec.json.decode(response.content, type=AnswerBody)
        except msgspec.DecodeError as error:
            return NoAnswer(
                f"HTTP {response.status} response has no valid answer: {error}"
            )
        if content.submission != str(self.submission_id) or content.outcome is None:
            return NoAnswer(
                f"HTTP {response.status} response is not for this submission"
            )
        error_fields = (content.error, content.step, content.peer)
        if response.status in INVALID_STATUSES:
            raise InvalidInput(*error_fields)
        if content.outcome is Outcome.UNKNOWN:
            raise OutcomeUnknown(*error_fields, content.submission)
        return CancelResult(
            content.outcome,
            content.submission,
            content.results or [],
            content.ran,
            content.may_have_run,
        )

    def retry_delay_s(self, reason: str) -> float:
        """Return the backoff before the request to the next entry.

        :raises OutcomeUnknown: The backoff would extend past the deadline.
        """
        delay_s = BACKOFF_BASE_S * 2 ** min(self.failures, 5)
        self.failures += 1
        if self.clock() + delay_s > self.deadline:
            raise OutcomeUnknown(reason, CANCEL_STEP, "", str(self.submission_id))
        return delay_s


class PendingSubmission:
    """A submission in progress: its attempts and the request parts they share."""

    def __init__(
        self,
        plan: AttemptPlan,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        started: float,
    ):
        self.plan = plan
        self.path = path
        self.headers = headers
        self.body = body
        self.started = started

    def request_arguments(
        self, attempt: Attempt, now: float, trace: "SendTrace"
    ) -> dict:
        """Return the keyword arguments for the connection pool's ``stream``."""
        timeout_s = attempt.timeout_s(now)
        timeouts = dict.fromkeys(("read", "write", "pool"), timeout_s)
        timeouts["connect"] = min(timeout_s, CONNECT_TIMEOUT_S)
        host = [("Host", attempt.entry)]
        return {
            "method": "POST",
            "url": f"http://{attempt.entry}{self.path}",
            "headers": host + attempt.headers(now) + self.headers,
            "content": self.body,
            "extensions": {"timeout": timeouts, "trace": trace},
        }

    def finish(self, step: Finished, now: float) -> tuple[list[Any], dict]:
        """Return the task results and the remaining fields of the result object.

        :raises MarigoldkeelError: The outcome is not complete.
        """
        if step.error is not None:
            raise step.error
        return step.answer.results, {
            "submission_id": str(self.plan.submission_id),
            "attempts": self.plan.attempts,
            "elapsed_s": now - self.started,
        }


class SendTrace:
    """An httpcore trace callback that records whether sending has started.

    Once it has, the entry may have received the request even if no answer arrives.
    """

    def __init__(self):
        self.sent = False

    def __call__(self, event: str, info: dict) -> None:
        if event == "http11.send_request_headers.started":
            self.sent = True

    def classify_failure(self, error: Exception | str) -> NotSent | NoAnswer:
        """Return `NoAnswer` if the request may have been sent, otherwise `NotSent`."""
        reason = str(error) or type(error).__name__
        return NoAnswer(reason) if self.sent else NotSent(reason)


class AsyncSendTrace(SendTrace):
    async def __call__(self, event: str, info: dict) -> None:
        SendTrace.__call__(self, event, info)


HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


class Session(BaseSession):
    """A thread-safe client that reuses connections to the entries.

    Usage::

        with Session(["10.0.0.1:8000"], "garden-centres") as session:
            session.call("quote", {"sku": 7}).result
    """

    def __init__(self, *args: Any, **options: Any):
        super().__init__(*args, **options)
        self.pool = httpcore.ConnectionPool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=KEEPALIVE_EXPIRY_S
        )

    def __enter__(self) -> "Session":
        return self

    def __exit__(self, *details: object) -> None:
        self.close()

    def close(self) -> None:
        """Close all connections."""
        self.pool.close()

    def submit(
        self,
        kind: str,
        tasks: Iterable[Any],
        *,
        deadline_s: float = DEFAULT_DEADLINE_S,
        submission_id: uuid.UUID | str | None = None,
        unanswered: int | None = None,
    ) -> JobResult:
        """Run a job and return the results of all its tasks.

        :param kind: The kind of the tasks.
        :param tasks: One JSON-serialisable value per task.
        :param deadline_s: Seconds until the result is no longer useful, at most 300.
        :param submission_id: The id of an earlier request, to get its outcome or to
            run it if it has not run. A given id is never replaced by a new one.
        :param unanswered: Number of earlier attempts with a given id that got no
            answer, 1 by default; 0 means that the id has never been sent.
        :raises Refused: The job was refused and no task ran.
        :raises JobFailed: Some tasks ran or may have run.
        :raises OutcomeUnknown: The deadline passed without a definite answer, or an
            earlier attempt with this id may have run.
        :raises Conflict: The id was used before with a different body.
        :raises InvalidInput: The input was rejected and no task ran.
        """
        pending = self.prepare_job(
            kind,
            tasks,
            deadline_s=deadline_s,
            submission_id=submission_id,
            unanswered=unanswered,
        )
        results, details = self._run(pending)
        return JobResult(results, **details)

    def call(
        self,
        kind: str,
        value: Any,
        *,
        deadline_s: float = DEFAULT_DEADLINE_S,
        submission_id: uuid.UUID | str | None = None,
        unanswered: int | None = None,
    ) -> CallResult:
        """Make a single call; see `submit` for the other parameters and the errors.

        :param value: A JSON-serialisable value.
        """
        pending = self.prepare_call(
            kind,
            value,
            deadline_s=deadline_s,
            submission_id=submission_id,
            unanswered=unanswered,
        )
        results, details = self._run(pending)
        return CallResult(results[0], **details)

    def cancel(
        self,
        submission_id: uuid.UUID | str,
        *,
        unanswered: int = 1,
        wait_s: float = DEFAULT_CANCEL_WAIT_S,
        deadline_s: float = DEFAULT_CANCEL_DEADLINE_S,
    ) -> CancelResult:
        """Cancel a submission of this team and return its outcome.

        :param unanswered: Number of attempts with this id that have no answer yet; 0
            means that the id has never been sent or that each attempt was answered.
        :param wait_s: Seconds to wait for running tasks to end; those still running
            afterwards are listed in ``may_have_run``.
        :param deadline_s: Seconds after which a cancellation is no longer retried.
        :raises OutcomeUnknown: No definite answer was received; tasks may have run.
        :raises InvalidInput: The id is malformed or belongs to another team.
        """
        cancellation = PendingCancellation(
            self, submission_id, unanswered, wait_s, deadline_s
        )
        while True:
            try:
                reply = cancellation.parse_response(
                    self.pool.request(**cancellation.request_arguments())
                )
            except HTTP_ERRORS as error:
                reply = NoAnswer(str(error) or type(error).__name__)
            if isinstance(reply, CancelResult):
                return reply
            time.sleep(cancellation.retry_delay_s(reply.reason))

    def _run(self, pending: PendingSubmission) -> tuple[list[Any], dict]:
        step = pending.plan.start(self.clock())
        while isinstance(step, Attempt):
            if step.delay_s:
                time.sleep(step.delay_s)
            reply = self._send(pending, step)
            step = pending.plan.record(reply, self.clock())
        return pending.finish(step, self.clock())

    def _send(
        self, pending: PendingSubmission, attempt: Attempt
    ) -> EntryAnswer | NotSent | NoAnswer:
        trace = SendTrace()
        now = self.clock()
        # httpcore's time-out applies to each read; this one limits the whole answer,
        # which may arrive in many small parts.
        read_until = now + attempt.timeout_s(now)
        try:
            arguments = pending.request_arguments(attempt, now, trace)
            with self.pool.stream(**arguments) as response:
                body = bytearray()
                for chunk in response.iter_stream():
                    body += chunk
                    if len(body) > MAX_ANSWER_BYTES or self.clock() > read_until:
                        return trace.classify_failure(
                            "answer exceeded its size or time limit"
                        )
        except HTTP_ERRORS as error:
            return trace.classify_failure(error)
        return parse_answer(
            response.status, response.headers, bytes(body), attempt.submission_id
        )


class AsyncSession(BaseSession):
    """The asynchronous equivalent of `Session`, for programs that use anyio.

    Usage::

        async with AsyncSession(["10.0.0.1:8000"], "garden-centres") as session:
            (await session.call("quote", {"sku": 7})).result

    If the surrounding task is cancelled during a request, the outcome of the request
    is unknown. Pass a ``submission_id`` with ``unanswered=0`` to be able to request
    the outcome later under the same id.
    """

    def __init__(self, *args: Any, **options: Any):
        super().__init__(*args, **options)
        # Unlimited, because httpcore leaks a connection if a request that waits in a
        # full pool is cancelled after it was assigned the connection and before it
        # resumes.
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=None, keepalive_expiry=KEEPALIVE_EXPIRY_S
        )

    async def __aenter__(self) -> "AsyncSession":
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        await self.pool.aclose()

    async def submit(
        self,
        kind: str,
        tasks: Iterable[Any],
        *,
        deadline_s: float = DEFAULT_DEADLINE_S,
        submission_id: uuid.UUID | str | None = None,
        unanswered: int | None = None,
    ) -> JobResult:
        """Run a job; see `Session.submit`."""
        pending = self.prepare_job(
            kind,
            tasks,
            deadline_s=deadline_s,
            submission_id=submission_id,
            unanswered=unanswered,
        )
        results, details = await self._run(pending)
        return JobResult(results, **details)

    async def call(
        self,
        kind: str,
        value: Any,
        *,
        deadline_s: float = DEFAULT_DEADLINE_S,
        submission_id: uuid.UUID | str | None = None,
        unanswered: int | None = None,
    ) -> CallResult:
        """Make a single call; see `Session.submit`."""
        pending = self.prepare_call(
            kind,
            value,
            deadline_s=deadline_s,
            submission_id=submission_id,
            unanswered=unanswered,
        )
        results, details = await self._run(pending)
        return CallResult(results[0], **details)

    async def cancel(
        self,
        submission_id: uuid.UUID | str,
        *,
        unanswered: int = 1,
        wait_s: float = DEFAULT_CANCEL_WAIT_S,
        deadline_s: float = DEFAULT_CANCEL_DEADLINE_S,
    ) -> CancelResult:
        """Cancel a submission of this team; see `Session.cancel`."""
        cancellation = PendingCancellation(
            self, submission_id, unanswered, wait_s, deadline_s
        )
        while True:
            try:
                response = await self.pool.request(**cancellation.request_arguments())
                reply = cancellation.parse_response(response)
            except HTTP_ERRORS as error:
                reply = NoAnswer(str(error) or type(error).__name__)
            if isinstance(reply, CancelResult):
                return reply
            await anyio.sleep(cancellation.retry_delay_s(reply.reason))

    async def _run(self, pending: PendingSubmission) -> tuple[list[Any], dict]:
        step = pending.plan.start(self.clock())
        while isinstance(step, Attempt):
            if step.delay_s:
                await anyio.sleep(step.delay_s)
            reply = await self._send(pending, step)
            step = pending.plan.record(reply, self.clock())
        return pending.finish(step, self.clock())

    async def _send(
        self, pending: PendingSubmission, attempt: Attempt
    ) -> EntryAnswer | NotSent | NoAnswer:
        trace = AsyncSendTrace()
        now = self.clock()
        try:
            with anyio.fail_after(attempt.timeout_s(now)):
                arguments = pending.request_arguments(attempt, now, trace)
                async with self.pool.stream(**arguments) as response:
                    body = bytearray()
                    async for chunk in response.aiter_stream():
                        body += chunk
                        if len(body) > MAX_ANSWER_BYTES:
                            return trace.classify_failure(
                                "answer exceeded its size limit"
                            )
        except (TimeoutError, *HTTP_ERRORS) as error:
            return trace.classify_failure(error)
        return parse_answer(
            response.status, response.headers, bytes(body), attempt.submission_id
        )
