"""The attempts of one submission: what a caller may do after each answer."""

import random
import re
import uuid
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec

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
# Named in the answers of an entry that has no configuration yet.
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


def parse_answer(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
    expected_id: uuid.UUID,
) -> EntryAnswer | NoAnswer:
    """Return the answer in an HTTP response to an attempt with the id ``asked``.

    Anything that is not an answer to this id, such as an error page of the load
    balancer, says nothing about the submission and counts as no answer.
    """
    try:
        content = msgspec.json.decode(body, type=AnswerBody)
    except msgspec.DecodeError as error:
        return NoAnswer(f"response {status} is not an answer: {error}")
    if content.submission != str(expected_id):
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
        expected_results: int = 1,
        submission_id: uuid.UUID | None = None,
        unanswered: int = 0,
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
        generate_id: Callable[[], uuid.UUID] = mint_submission_id,
        uniform: Callable[[], float] = random.random,
    ):
        if not entries:
            raise InvalidInput("no entry is given", step="submit")
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
        """Return the first step."""
        return self._next_attempt(now, 0.0)

    def record(
        self, reply: EntryAnswer | NotSent | NoAnswer, now: float
    ) -> Attempt | Finished:
        """Take the reply to the last attempt and return the next step."""
        if isinstance(reply, NotSent):
            self.last_reply = reply.reason
            self._advance_entry()
            # The other entries are tried at once; a full round is followed by a
            # delay, since all of them may be restarting.
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
            reply = NoAnswer(f"{len(reply.results)} of {self.expected_results} results")
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
            # The attempt may still run, exactly as if it had no answer, so it
            # forbids a fresh id and is reported to the dispatcher.
            self.unanswered += 1
            if reply.step == UNCONFIGURED_STEP:
                self._advance_entry()
            return self._next_attempt(now, self._backoff())
        return self._handle_not_run(reply, now)

    def _handle_not_run(self, reply: EntryAnswer, now: float) -> Attempt | Finished:
        error_fields = (reply.message, reply.step, reply.peer)
        if reply.step == CANCEL_STEP:
            # The primary held the claim, so no other attempt started the work
            # either, and a fresh id would run what was cancelled.
            return Finished(error=Refused(*error_fields))
        if self.unanswered:
            if reply.invalid:
                return self._outcome_unknown(*error_fields)
            # This attempt did not run, but an earlier one may have.
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
            # Spreads the callers that were refused together.
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
            # Leaves time for a last question.
            min(delay, remaining / 2),
            self.deadline,
        )

    def _deadline_passed(self) -> Finished:
        message = f"deadline passed; last seen: {self.last_reply or 'nothing sent'}"
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
