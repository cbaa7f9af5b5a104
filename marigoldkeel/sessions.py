"""The callers' client: sessions that carry one submission to its outcome."""

import random
import re
import time
import uuid
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import quote

import anyio
import httpcore
import msgspec

from marigoldkeel.exceptions import (
    Conflict,
    InvalidInput,
    JobFailed,
    MarigoldkeelError,
    OutcomeUnknown,
    Refused,
)
from marigoldkeel.identifiers import mint_submission_id, parse_submission_id
from marigoldkeel.models import Outcome


DEFAULT_DEADLINE_S = 30.0
MAX_DEADLINE_S = 300.0
DEFAULT_MAX_ATTEMPTS = 8
BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 2.0
# An attempt waits for half of the remaining time, so that a frozen entry leaves
# time to ask another one, but not for less than this.
MIN_ANSWER_WAIT_S = 1.0
# The dispatcher answers at the deadline; this is the time for that answer to arrive.
ANSWER_GRACE_S = 0.25
# Ample for latencies of a few milliseconds, also when one SYN is lost.
CONNECT_TIMEOUT_S = 1.5
# No attempt starts with less time than this before the deadline.
MIN_REMAINING_S = 0.005
KEEPALIVE_EXPIRY_S = 30.0
MAX_CONNECTIONS = 64
MAX_ANSWER_BYTES = 16 * 1024 * 1024

ENTRY = re.compile(r"[\w.:\[\]-]+:[0-9]{1,5}\Z", re.ASCII)

STATUS_OUTCOMES = {
    200: Outcome.COMPLETE,
    400: Outcome.NOT_RUN,
    401: Outcome.NOT_RUN,
    403: Outcome.NOT_RUN,
    409: Outcome.NOT_RUN,
    413: Outcome.NOT_RUN,
    429: Outcome.NOT_RUN,
    502: Outcome.FAILED,
    503: Outcome.NOT_RUN,
    504: Outcome.UNKNOWN,
}
INVALID_STATUSES = (400, 401, 403, 413)
CONFLICT_STATUS = 409
CANCEL_STEP = "cancel"
DEFAULT_CANCEL_WAIT_S = 1.0
DEFAULT_CANCEL_DEADLINE_S = 10.0


class AnswerBody(msgspec.Struct):
    """The JSON body of an entry's answer."""

    submission: str
    outcome: Outcome | None = None
    results: list[Any] | None = None
    error: str = ""
    step: str = ""
    peer: str = ""
    ran: list[int] = []
    may_have_run: list[int] = []


@dataclass(slots=True)
class EntryAnswer:
    """What an entry said of one attempt."""

    outcome: Outcome
    results: list[Any] = field(default_factory=list)
    message: str = ""
    step: str = ""
    peer: str = ""
    retry_after_s: float = 0.0
    conflict: bool = False
    invalid: bool = False
    ran: list[int] = field(default_factory=list)
    may_have_run: list[int] = field(default_factory=list)


@dataclass(slots=True)
class NotSent:
    """No connection was made, so the entry cannot have seen the attempt."""

    reason: str = ""


@dataclass(slots=True)
class NoAnswer:
    """The attempt may have reached the entry and has no usable answer."""

    reason: str = ""


def read_answer(
    status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes, asked: uuid.UUID
) -> EntryAnswer | NoAnswer:
    """Return the answer in an HTTP response to an attempt with the id ``asked``.

    Anything that is not an answer to this id, such as an error page of the load
    balancer, says nothing about the submission and counts as no answer.
    """
    try:
        content = msgspec.json.decode(body, type=AnswerBody)
    except msgspec.DecodeError as error:
        return NoAnswer(f"response {status} is not an answer: {error}")
    if content.submission != str(asked):
        return NoAnswer(f"response {status} is for {content.submission[:64]!r}")
    outcome = STATUS_OUTCOMES.get(status)
    if outcome is None or content.outcome not in (None, outcome):
        return NoAnswer(f"response {status} does not match {content.outcome}")
    if outcome is Outcome.COMPLETE and content.results is None:
        return NoAnswer("complete answer has no results")
    return EntryAnswer(
        outcome,
        content.results or [],
        content.error,
        content.step,
        content.peer,
        _retry_after_s(headers),
        status == CONFLICT_STATUS,
        status in INVALID_STATUSES,
        content.ran,
        content.may_have_run,
    )


def _retry_after_s(headers: Iterable[tuple[bytes, bytes]]) -> float:
    for name, value in headers:
        if name.lower() == b"retry-after":
            try:
                return min(max(0.0, float(value)), MAX_DEADLINE_S)
            except ValueError:
                return 0.0
    return 0.0


@dataclass(slots=True)
class Attempt:
    """Send the submission to ``entry`` after ``delay_s`` seconds.

    The deadline that is sent is the time from then to ``deadline``.
    """

    entry: str
    submission_id: uuid.UUID
    unanswered: int
    delay_s: float
    deadline: float

    def timeout_s(self, now: float) -> float:
        """Return how long to wait for the answer of an attempt sent at ``now``."""
        remaining = max(0.0, self.deadline - now)
        wait = min(max(remaining / 2, MIN_ANSWER_WAIT_S), remaining)
        return wait + ANSWER_GRACE_S

    def headers(self, now: float) -> list[tuple[str, str]]:
        """Return the headers of an attempt sent at ``now``."""
        remaining_ms = max(1, round((self.deadline - now) * 1000))
        return [
            ("Marigoldkeel-Submission", str(self.submission_id)),
            ("Marigoldkeel-Deadline-Ms", str(remaining_ms)),
            ("Marigoldkeel-Unanswered", str(self.unanswered)),
        ]


@dataclass(slots=True)
class Finished:
    """The submission has its outcome: an answer that is complete, or an error."""

    answer: EntryAnswer | None = None
    error: MarigoldkeelError | None = None


class AttemptPlan:
    """Decides the attempts of one submission; pure. Times are in seconds.

    Usage::

        plan = AttemptPlan(entries, deadline=clock() + 30)
        step = plan.start(clock())
        while isinstance(step, Attempt):
            step = plan.record(send(step), clock())

    :param entries: Addresses, tried in this order.
    :param expected: Number of results of a complete answer.
    :param submission_id: An id that the caller keeps. It is never replaced by a
        fresh one, because the caller may ask again with it.
    :param unanswered: Earlier attempts with this id that had no answer.
    :param max_attempts: Attempts sent after which a refusal is final.
    """

    def __init__(
        self,
        entries: Sequence[str],
        *,
        deadline: float,
        expected: int = 1,
        submission_id: uuid.UUID | None = None,
        unanswered: int = 0,
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
        mint: Callable[[], uuid.UUID] = mint_submission_id,
        uniform: Callable[[], float] = random.random,
    ):
        if not entries:
            raise InvalidInput("no entry is given", step="submit")
        self.entries = list(entries)
        self.deadline = deadline
        self.expected = expected
        self.kept = submission_id is not None
        self.submission_id = submission_id or mint()
        self.unanswered = unanswered
        self.max_attempts = max_attempts
        self.mint = mint
        self.uniform = uniform
        self.attempts = 0
        self.position = 0
        self.failures = 0
        self.last = ""

    def start(self, now: float) -> Attempt | Finished:
        """Return the first step."""
        return self._attempt(now, 0.0)

    def record(
        self, reply: EntryAnswer | NotSent | NoAnswer, now: float
    ) -> Attempt | Finished:
        """Take the reply to the last attempt and return the next step."""
        if isinstance(reply, NotSent):
            self.last = reply.reason
            self._next_entry()
            # The other entries are tried at once; a full round is followed by a
            # delay, since all of them may be restarting.
            round_is_over = self.position % len(self.entries) == 0
            return self._attempt(now, self._backoff() if round_is_over else 0.0)
        self.attempts += 1
        if (
            isinstance(reply, EntryAnswer)
            and reply.outcome is Outcome.COMPLETE
            and len(reply.results) != self.expected
        ):
            reply = NoAnswer(f"{len(reply.results)} of {self.expected} results")
        if isinstance(reply, NoAnswer):
            self.last = reply.reason
            self.unanswered += 1
            self._next_entry()
            return self._attempt(now, self._backoff())
        if reply.outcome is Outcome.COMPLETE:
            return Finished(answer=reply)
        self.last = f"{reply.outcome}: {reply.message}"
        where = (reply.message, reply.step, reply.peer)
        if reply.outcome is Outcome.FAILED:
            return Finished(
                error=JobFailed(*where, ran=reply.ran, may_have_run=reply.may_have_run)
            )
        if reply.conflict:
            return Finished(error=Conflict(*where))
        if reply.outcome is Outcome.UNKNOWN:
            # The attempt may still run, exactly as if it had no answer, so it
            # forbids a fresh id and is reported to the dispatcher.
            self.unanswered += 1
            return self._attempt(now, self._backoff())
        return self._not_run(reply, now)

    def _not_run(self, reply: EntryAnswer, now: float) -> Attempt | Finished:
        where = (reply.message, reply.step, reply.peer)
        if reply.step == CANCEL_STEP:
            # The primary held the claim, so no other attempt started the work
            # either, and a fresh id would run what was cancelled.
            return Finished(error=Refused(*where))
        if self.unanswered:
            if reply.invalid:
                return self._unknown(*where)
            # This attempt did not run, but an earlier one may have.
            delay = max(reply.retry_after_s, self._backoff())
            return self._attempt(now, delay)
        if reply.invalid:
            return Finished(error=InvalidInput(*where))
        refused = Finished(error=Refused(*where, retry_after_s=reply.retry_after_s))
        if self.kept or self.attempts >= self.max_attempts:
            return refused
        delay = self._backoff()
        if reply.retry_after_s:
            # Spreads the callers that were refused together.
            delay = reply.retry_after_s * (1 + self.uniform() / 2)
        if now + delay > self.deadline - MIN_REMAINING_S:
            return refused
        self.submission_id = self.mint()
        self._next_entry()
        return self._attempt(now, delay)

    def _attempt(self, now: float, delay: float) -> Attempt | Finished:
        remaining = self.deadline - now
        if remaining < MIN_REMAINING_S:
            return self._expired()
        return Attempt(
            self.entries[self.position % len(self.entries)],
            self.submission_id,
            self.unanswered,
            # Leaves time for a last question.
            min(delay, remaining / 2),
            self.deadline,
        )

    def _expired(self) -> Finished:
        message = f"deadline passed; last seen: {self.last or 'nothing sent'}"
        if self.unanswered:
            return self._unknown(message, "submit", self._entry())
        return Finished(error=Refused(message, "submit", self._entry()))

    def _unknown(self, message: str, step: str, peer: str) -> Finished:
        error = OutcomeUnknown(message, step, peer, str(self.submission_id))
        return Finished(error=error)

    def _entry(self) -> str:
        return self.entries[self.position % len(self.entries)]

    def _next_entry(self) -> None:
        self.position += 1

    def _backoff(self) -> float:
        ceiling = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2 ** min(self.failures, 16))
        self.failures += 1
        return ceiling * (1 + self.uniform()) / 2


@dataclass(slots=True)
class JobResult:
    """The whole answer to a job, in the order of its tasks."""

    results: list[Any]
    submission_id: str
    attempts: int
    elapsed_s: float


@dataclass(slots=True)
class CallResult:
    """The answer to a call."""

    result: Any
    submission_id: str
    attempts: int
    elapsed_s: float


@dataclass(slots=True)
class CancelResult:
    """The outcome of a submission after its cancellation.

    ``not_run`` means that nothing ran or will run, ``failed`` that the tasks in
    ``ran`` and ``may_have_run`` were started before, and ``complete`` that the
    cancellation came too late.
    """

    outcome: Outcome
    submission_id: str
    results: list[Any] = field(default_factory=list)
    ran: list[int] = field(default_factory=list)
    may_have_run: list[int] = field(default_factory=list)


def _check_header(name: str, value: str) -> None:
    # Rejected here, because the HTTP library fails on it after it has begun to
    # send, which looks like an attempt without an answer.
    if not (value.isascii() and value.isprintable() and value == value.strip()):
        raise InvalidInput(
            f"{name} {value[:64]!r} is not printable ASCII without outer spaces",
            step="submit",
        )


class Submitter:
    """What the synchronous and the asynchronous session have in common.

    :param entries: Addresses (``"10.0.0.1:8000"``) of entries.
    :param token: Sent as a bearer token, if any.
    :param max_attempts: Attempts sent after which a refusal is final.
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
            raise InvalidInput("no entry is given", step="submit")
        for entry in self.entries:
            if not ENTRY.match(entry):
                raise InvalidInput(
                    f"entry {entry!r} is not of the form HOST:PORT", step="submit"
                )
        _check_header("team", team)
        _check_header("token", token)

    def prepare_job(
        self, kind: str, tasks: Iterable[Any], **options: Any
    ) -> "Submitting":
        _check_header("kind", kind)
        tasks = list(tasks)
        if not tasks:
            raise InvalidInput("a job needs at least one task", step="submit")
        headers = [
            ("Marigoldkeel-Kind", kind),
            ("Marigoldkeel-Tasks", str(len(tasks))),
        ]
        return self._prepare("/v1/jobs", headers, tasks, len(tasks), **options)

    def prepare_call(self, kind: str, value: Any, **options: Any) -> "Submitting":
        path = f"/v1/calls/{quote(kind, safe='')}"
        return self._prepare(path, [], value, 1, **options)

    def _prepare(
        self,
        path: str,
        headers: list[tuple[str, str]],
        content: Any,
        expected: int,
        *,
        deadline_s: float,
        submission_id: uuid.UUID | str | None,
        unanswered: int | None,
    ) -> "Submitting":
        if not 0 < deadline_s <= MAX_DEADLINE_S:
            raise InvalidInput(
                f"deadline_s is {deadline_s}, not in (0, {MAX_DEADLINE_S:g}]",
                step="submit",
            )
        if isinstance(submission_id, str):
            submission_id = parse_submission_id(submission_id)
        if unanswered is None:
            # A given id usually is that of an earlier, unanswered call.
            unanswered = 0 if submission_id is None else 1
        try:
            body = msgspec.json.encode(content)
        except (TypeError, ValueError, OverflowError) as error:
            raise InvalidInput(str(error), step="encode") from error
        # Spreads callers over the entries.
        first = random.randrange(len(self.entries))
        started = self.clock()
        plan = AttemptPlan(
            self.entries[first:] + self.entries[:first],
            deadline=started + deadline_s,
            expected=expected,
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
        return Submitting(plan, path, headers, body, started)


class Cancelling:
    """One cancellation in progress; each entry may be asked, as it is idempotent."""

    def __init__(
        self,
        submitter: Submitter,
        submission_id: uuid.UUID | str,
        unanswered: int,
        wait_s: float,
        deadline_s: float,
    ):
        if isinstance(submission_id, str):
            submission_id = parse_submission_id(submission_id)
        self.submission_id = submission_id
        self.clock = submitter.clock
        self.deadline = self.clock() + deadline_s
        self.failures = 0
        self.entries = random.sample(submitter.entries, len(submitter.entries))
        self.headers = [
            ("Marigoldkeel-Team", submitter.team),
            ("Marigoldkeel-Unanswered", str(unanswered)),
            ("Marigoldkeel-Deadline-Ms", str(max(1, round(wait_s * 1000)))),
        ]
        if submitter.token:
            self.headers.append(("Authorization", f"Bearer {submitter.token}"))

    def arguments(self) -> dict:
        """Return the arguments of the connection pool's ``request``."""
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

    def read(self, response: httpcore.Response) -> CancelResult | NoAnswer:
        """Return the outcome in a response, or why it has none.

        :raises InvalidInput: The entry does not accept the cancellation.
        :raises OutcomeUnknown: Attempts of the submission may have run elsewhere.
        """
        try:
            content = msgspec.json.decode(response.content, type=AnswerBody)
        except msgspec.DecodeError as error:
            return NoAnswer(f"response {response.status} is not an answer: {error}")
        if content.submission != str(self.submission_id) or content.outcome is None:
            return NoAnswer(f"response {response.status} is not for this submission")
        where = (content.error, content.step, content.peer)
        if response.status in INVALID_STATUSES:
            raise InvalidInput(*where)
        if content.outcome is Outcome.UNKNOWN:
            raise OutcomeUnknown(*where, content.submission)
        return CancelResult(
            content.outcome,
            content.submission,
            content.results or [],
            content.ran,
            content.may_have_run,
        )

    def retry_delay_s(self, reason: str) -> float:
        """Return the delay before the next entry is asked.

        :raises OutcomeUnknown: The deadline leaves no time for it.
        """
        delay_s = BACKOFF_BASE_S * 2 ** min(self.failures, 5)
        self.failures += 1
        if self.clock() + delay_s > self.deadline:
            raise OutcomeUnknown(reason, CANCEL_STEP, "", str(self.submission_id))
        return delay_s


class Submitting:
    """One submission in progress: its plan and its unchanging request parts."""

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

    def arguments(self, attempt: Attempt, now: float, sent: "SentTrace") -> dict:
        """Return the arguments of the connection pool's ``stream``."""
        timeout_s = attempt.timeout_s(now)
        timeouts = dict.fromkeys(("read", "write", "pool"), timeout_s)
        timeouts["connect"] = min(timeout_s, CONNECT_TIMEOUT_S)
        host = [("Host", attempt.entry)]
        return {
            "method": "POST",
            "url": f"http://{attempt.entry}{self.path}",
            "headers": host + attempt.headers(now) + self.headers,
            "content": self.body,
            "extensions": {"timeout": timeouts, "trace": sent},
        }

    def finish(self, step: Finished, now: float) -> tuple[list[Any], dict]:
        """Return the results and the other fields of a result object.

        :raises MarigoldkeelError: If the outcome is not complete.
        """
        if step.error is not None:
            raise step.error
        return step.answer.results, {
            "submission_id": str(self.plan.submission_id),
            "attempts": self.plan.attempts,
            "elapsed_s": now - self.started,
        }


class SentTrace:
    """Notes whether a byte of the request may have left; httpcore calls it."""

    def __init__(self):
        self.sent = False

    def __call__(self, event: str, info: dict) -> None:
        if event == "http11.send_request_headers.started":
            self.sent = True

    def lost(self, error: Exception | str) -> NotSent | NoAnswer:
        """Return the reply to record after an error."""
        reason = str(error) or type(error).__name__
        return NoAnswer(reason) if self.sent else NotSent(reason)


class AsyncSentTrace(SentTrace):
    async def __call__(self, event: str, info: dict) -> None:
        SentTrace.__call__(self, event, info)


HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


class Session(Submitter):
    """A client that keeps its entries, team and connections; thread-safe.

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
        """Run a job and return its whole answer.

        :param tasks: One JSON value per task.
        :param deadline_s: Seconds until the answer is of no use, at most 300.
        :param submission_id: The id of an earlier call, to learn its outcome. It
            is never replaced by a fresh id.
        :param unanswered: Earlier attempts with that id without an answer, 1 by
            default; 0 states that the id has never been sent.
        :raises Refused: Nothing ran.
        :raises JobFailed: Some tasks ran or may have run.
        :raises OutcomeUnknown: The deadline passed without a definite answer.
        :raises Conflict: The id was used with another body.
        :raises InvalidInput: The input was not accepted and nothing ran.
        """
        submitting = self.prepare_job(
            kind,
            tasks,
            deadline_s=deadline_s,
            submission_id=submission_id,
            unanswered=unanswered,
        )
        results, details = self._run(submitting)
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
        """Make a single call; parameters and errors are those of `submit`."""
        submitting = self.prepare_call(
            kind,
            value,
            deadline_s=deadline_s,
            submission_id=submission_id,
            unanswered=unanswered,
        )
        results, details = self._run(submitting)
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

        :param unanswered: Attempts with that id that have no answer yet; 0 states
            that the id has never been sent, or that every attempt was answered.
        :param wait_s: Seconds to wait for tasks that run; those that have not ended
            by then are listed in ``may_have_run``.
        :param deadline_s: Seconds to try for.
        :raises OutcomeUnknown: No definite answer; the work may have run.
        :raises InvalidInput: The id is malformed or belongs to another team.
        """
        cancelling = Cancelling(self, submission_id, unanswered, wait_s, deadline_s)
        while True:
            try:
                reply = cancelling.read(self.pool.request(**cancelling.arguments()))
            except HTTP_ERRORS as error:
                reply = NoAnswer(str(error) or type(error).__name__)
            if isinstance(reply, CancelResult):
                return reply
            time.sleep(cancelling.retry_delay_s(reply.reason))

    def _run(self, submitting: Submitting) -> tuple[list[Any], dict]:
        step = submitting.plan.start(self.clock())
        while isinstance(step, Attempt):
            if step.delay_s:
                time.sleep(step.delay_s)
            reply = self._send(submitting, step)
            step = submitting.plan.record(reply, self.clock())
        return submitting.finish(step, self.clock())

    def _send(
        self, submitting: Submitting, attempt: Attempt
    ) -> EntryAnswer | NotSent | NoAnswer:
        sent = SentTrace()
        now = self.clock()
        # httpcore bounds each read; this bounds an answer that trickles in.
        until = now + attempt.timeout_s(now)
        try:
            arguments = submitting.arguments(attempt, now, sent)
            with self.pool.stream(**arguments) as response:
                body = bytearray()
                for chunk in response.iter_stream():
                    body += chunk
                    if len(body) > MAX_ANSWER_BYTES or self.clock() > until:
                        return sent.lost("answer is too large or too slow")
        except HTTP_ERRORS as error:
            return sent.lost(error)
        return read_answer(
            response.status, response.headers, bytes(body), attempt.submission_id
        )


class AsyncSession(Submitter):
    """`Session` for anyio programs.

    Usage::

        async with AsyncSession(["10.0.0.1:8000"], "garden-centres") as session:
            (await session.call("quote", {"sku": 7})).result

    Cancelling a call leaves its outcome unknown; to be able to ask again, give it
    a ``submission_id`` with ``unanswered=0``.
    """

    def __init__(self, *args: Any, **options: Any):
        super().__init__(*args, **options)
        # Unbounded, because httpcore loses a connection when a request queued in
        # a full pool is cancelled between its assignment and its first step.
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
        submitting = self.prepare_job(
            kind,
            tasks,
            deadline_s=deadline_s,
            submission_id=submission_id,
            unanswered=unanswered,
        )
        results, details = await self._run(submitting)
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
        submitting = self.prepare_call(
            kind,
            value,
            deadline_s=deadline_s,
            submission_id=submission_id,
            unanswered=unanswered,
        )
        results, details = await self._run(submitting)
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
        cancelling = Cancelling(self, submission_id, unanswered, wait_s, deadline_s)
        while True:
            try:
                response = await self.pool.request(**cancelling.arguments())
                reply = cancelling.read(response)
            except HTTP_ERRORS as error:
                reply = NoAnswer(str(error) or type(error).__name__)
            if isinstance(reply, CancelResult):
                return reply
            await anyio.sleep(cancelling.retry_delay_s(reply.reason))

    async def _run(self, submitting: Submitting) -> tuple[list[Any], dict]:
        step = submitting.plan.start(self.clock())
        while isinstance(step, Attempt):
            if step.delay_s:
                await anyio.sleep(step.delay_s)
            reply = await self._send(submitting, step)
            step = submitting.plan.record(reply, self.clock())
        return submitting.finish(step, self.clock())

    async def _send(
        self, submitting: Submitting, attempt: Attempt
    ) -> EntryAnswer | NotSent | NoAnswer:
        sent = AsyncSentTrace()
        now = self.clock()
        try:
            with anyio.fail_after(attempt.timeout_s(now)):
                arguments = submitting.arguments(attempt, now, sent)
                async with self.pool.stream(**arguments) as response:
                    body = bytearray()
                    async for chunk in response.aiter_stream():
                        body += chunk
                        if len(body) > MAX_ANSWER_BYTES:
                            return sent.lost("answer is too large")
        except (TimeoutError, *HTTP_ERRORS) as error:
            return sent.lost(error)
        return read_answer(
            response.status, response.headers, bytes(body), attempt.submission_id
        )
