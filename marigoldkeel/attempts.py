"""Retry logic of one submission: which attempt may follow each answer."""

import random
import re
import uuid
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec
from msgspec import Struct, field

from marigoldkeel.exceptions import (
    Conflict,
    InvalidInput,
    JobFailed,
    MarigoldkeelError,
    OutcomeUnknown,
    Refused,
)
from marigoldkeel.identifiers import mint_submission_id
from marigoldkeel.models import Outcome


DEFAULT_DEADLINE_S = 30.0
MAX_DEADLINE_S = 300.0
DEFAULT_MAX_ATTEMPTS = 8
BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 2.0
# An attempt waits for its answer for half of the remaining time, so that time is left
# to try another entry if this one hangs, but for no less than this.
MIN_ANSWER_WAIT_S = 1.0
# The dispatcher may answer as late as the deadline; this covers the transfer of the
# answer.
ANSWER_GRACE_S = 0.25
# Network latencies are a few milliseconds; this also allows for one lost SYN, which
# TCP retransmits after 1 s.
CONNECT_TIMEOUT_S = 1.5
# No attempt is started with less time than this left before the deadline.
MIN_REMAINING_S = 0.005
KEEPALIVE_EXPIRY_S = 30.0
MAX_CONNECTIONS = 64
MAX_ANSWER_BYTES = 16 * 1024 * 1024

ENTRY_PATTERN = re.compile(r"[\w.:\[\]-]+:[0-9]{1,5}\Z", re.ASCII)

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
# The step in the answers of an entry that has not read its configuration yet.
UNCONFIGURED_STEP = "read configuration"
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


class EntryAnswer(Struct):
    """The answer of an entry to one attempt."""

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


class NotSent(Struct):
    """No part of the request was sent, so the entry cannot have received it."""

    reason: str = ""


class NoAnswer(Struct):
    """The entry may have received the request, but no valid answer arrived."""

    reason: str = ""


def parse_answer(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
    expected_id: uuid.UUID,
) -> EntryAnswer | NoAnswer:
    """Return the answer in an HTTP response to an attempt with ``expected_id``.

    A response that is not an answer for this id, such as an error page of a load
    balancer, says nothing about the submission and is returned as `NoAnswer`.
    """
    try:
        content = msgspec.json.decode(body, type=AnswerBody)
    except msgspec.DecodeError as error:
        return NoAnswer(f"HTTP {status} response has no valid answer: {error}")
    if content.submission != str(expected_id):
        return NoAnswer(f"HTTP {status} response is for id {content.submission[:64]!r}")
    outcome = STATUS_OUTCOMES.get(status)
    if outcome is None or content.outcome not in (None, outcome):
        return NoAnswer(f"HTTP {status} does not match outcome {content.outcome}")
    if outcome is Outcome.COMPLETE and content.results is None:
        return NoAnswer("answer with outcome complete has no results")
    return EntryAnswer(
        outcome,
        content.results or [],
        content.error,
        content.step,
        content.peer,
        _parse_retry_after(headers),
        status == CONFLICT_STATUS,
        status in INVALID_STATUSES,
        content.ran,
        content.may_have_run,
    )


def _parse_retry_after(headers: Iterable[tuple[bytes, bytes]]) -> float:
    for name, value in headers:
        if name.lower() == b"retry-after":
            try:
                return min(max(0.0, float(value)), MAX_DEADLINE_S)
            except ValueError:
                return 0.0
    return 0.0


class Attempt(Struct):
    """The next action: send the submission to ``entry`` after ``delay_s`` seconds.

    ``unanswered`` is the number of earlier attempts with this id that have no
    definite answer. The deadline header holds the time left until ``deadline``.
    """

    entry: str
    submission_id: uuid.UUID
    unanswered: int
    delay_s: float
    deadline: float

    def timeout_s(self, now: float) -> float:
        """Return how long to wait for the answer to an attempt sent at ``now``."""
        remaining = max(0.0, self.deadline - now)
        wait = min(max(remaining / 2, MIN_ANSWER_WAIT_S), remaining)
        return wait + ANSWER_GRACE_S

    def headers(self, now: float) -> list[tuple[str, str]]:
        """Return the headers that differ between attempts, for sending at ``now``."""
        remaining_ms = max(1, round((self.deadline - now) * 1000))
        return [
            ("Marigoldkeel-Submission", str(self.submission_id)),
            ("Marigoldkeel-Deadline-Ms", str(remaining_ms)),
            ("Marigoldkeel-Unanswered", str(self.unanswered)),
        ]


class Finished(Struct):
    """The end of a submission: either a complete answer or an error to raise."""

    answer: EntryAnswer | None = None
    error: MarigoldkeelError | None = None


class AttemptPlan:
    """Decides on the attempts of one submission. Times are in seconds.

    Does no I/O and reads no clock; the caller sends each attempt and records the
    reply.

    Usage::

        plan = AttemptPlan(entries, deadline=clock() + 30)
        step = plan.start(clock())
        while isinstance(step, Attempt):
            step = plan.record(send(step), clock())

    :param entries: Addresses of entries, tried in this order.
    :param deadline: Time of the same clock as ``now`` after which attempts end.
    :param expected_results: Number of results in a complete answer.
    :param submission_id: An id chosen by the caller. It is never replaced by a new
        one, because the caller may submit it again.
    :param unanswered: Number of earlier attempts with this id without an answer.
    :param max_attempts: Number of attempts after which a refusal is not retried.
    """

    def __init__(
        self,
        entries: Sequence[str],
        *,
        deadline: float,
        expected_results: int = 1,
        submission_id: uuid.UUID | None = None,
        unanswered: int = 0,
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
        generate_id: Callable[[], uuid.UUID] = mint_submission_id,
        uniform: Callable[[], float] = random.random,
    ):
        if not entries:
            raise InvalidInput("at least one entry address is required", step="submit")
        self.entries = list(entries)
        self.deadline = deadline
        self.expected_results = expected_results
        self.id_from_caller = submission_id is not None
        self.submission_id = submission_id or generate_id()
        self.unanswered = unanswered
        self.max_attempts = max_attempts
        self.generate_id = generate_id
        self.uniform = uniform
        self.attempts = 0
        self.entry_index = 0
        self.backoffs = 0
        self.last_reply = ""

    def start(self, now: float) -> Attempt | Finished:
        """Return the first attempt, or the end if the deadline has passed."""
        return self._next_attempt(now, 0.0)

    def record(
        self, reply: EntryAnswer | NotSent | NoAnswer, now: float
    ) -> Attempt | Finished:
        """Record the reply to the last attempt and return what to do next."""
        if isinstance(reply, NotSent):
            self.last_reply = reply.reason
            self._advance_entry()
            # The other entries are tried without a delay. Once each has been tried, a
            # backoff follows, since all of them may be restarting.
            all_entries_tried = self.entry_index % len(self.entries) == 0
            return self._next_attempt(
                now, self._backoff() if all_entries_tried else 0.0
            )
        self.attempts += 1
        if (
            isinstance(reply, EntryAnswer)
            and reply.outcome is Outcome.COMPLETE
            and len(reply.results) != self.expected_results
        ):
            reply = NoAnswer(
                f"answer has {len(reply.results)} of {self.expected_results} results"
            )
        if isinstance(reply, NoAnswer):
            self.last_reply = reply.reason
            self.unanswered += 1
            self._advance_entry()
            return self._next_attempt(now, self._backoff())
        if reply.outcome is Outcome.COMPLETE:
            return Finished(answer=reply)
        self.last_reply = f"{reply.outcome}: {reply.message}"
        error_fields = (reply.message, reply.step, reply.peer)
        if reply.outcome is Outcome.FAILED:
            return Finished(
                error=JobFailed(
                    *error_fields, ran=reply.ran, may_have_run=reply.may_have_run
                )
            )
        if reply.conflict:
            return Finished(error=Conflict(*error_fields))
        if reply.outcome is Outcome.UNKNOWN:
            # The attempt may still run, just like one without an answer. It counts as
            # unanswered, so no new id is used and the dispatcher is told about it.
            self.unanswered += 1
            if reply.invalid:
                # The same request would be rejected again.
                return self._outcome_unknown(*error_fields)
            if reply.step == UNCONFIGURED_STEP:
                self._advance_entry()
            return self._next_attempt(now, self._backoff())
        return self._handle_not_run(reply, now)

    def _handle_not_run(self, reply: EntryAnswer, now: float) -> Attempt | Finished:
        error_fields = (reply.message, reply.step, reply.peer)
        if reply.step == CANCEL_STEP:
            # The primary held the claim, so no other attempt started the work either.
            # A new id would run the cancelled work.
            return Finished(error=Refused(*error_fields))
        if self.unanswered:
            if reply.invalid:
                return self._outcome_unknown(*error_fields)
            # This attempt did not run, but an earlier one may have, so the same id is
            # submitted again until the outcome is definite.
            delay = max(reply.retry_after_s, self._backoff())
            return self._next_attempt(now, delay)
        if reply.invalid:
            return Finished(error=InvalidInput(*error_fields))
        refusal = Finished(
            error=Refused(*error_fields, retry_after_s=reply.retry_after_s)
        )
        if self.id_from_caller or self.attempts >= self.max_attempts:
            return refusal
        delay = self._backoff()
        if reply.retry_after_s:
            # Jitter, so that callers refused at the same time do not return together.
            delay = reply.retry_after_s * (1 + self.uniform() / 2)
        if now + delay > self.deadline - MIN_REMAINING_S:
            return refusal
        self.submission_id = self.generate_id()
        self._advance_entry()
        return self._next_attempt(now, delay)

    def _next_attempt(self, now: float, delay: float) -> Attempt | Finished:
        remaining = self.deadline - now
        if remaining < MIN_REMAINING_S:
            return self._deadline_passed()
        return Attempt(
            self.entries[self.entry_index % len(self.entries)],
            self.submission_id,
            self.unanswered,
            # Leaves time for one more attempt after the delay.
            min(delay, remaining / 2),
            self.deadline,
        )

    def _deadline_passed(self) -> Finished:
        message = (
            f"deadline passed; last result: {self.last_reply or 'no attempt was made'}"
        )
        if self.unanswered:
            return self._outcome_unknown(message, "submit", self._current_entry())
        return Finished(error=Refused(message, "submit", self._current_entry()))

    def _outcome_unknown(self, message: str, step: str, peer: str) -> Finished:
        error = OutcomeUnknown(message, step, peer, str(self.submission_id))
        return Finished(error=error)

    def _current_entry(self) -> str:
        return self.entries[self.entry_index % len(self.entries)]

    def _advance_entry(self) -> None:
        self.entry_index += 1

    def _backoff(self) -> float:
        ceiling = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2 ** min(self.backoffs, 16))
        self.backoffs += 1
        return ceiling * (1 + self.uniform()) / 2
