"""Background load whose every attempt is recorded, and checks of the recordings."""

import random
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field
from itertools import count

import anyio

from marigoldkeel.attempts import Attempt, EntryAnswer, NotSent
from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.identifiers import mint_submission_id
from marigoldkeel.models import Outcome
from marigoldkeel.sessions import AsyncSession, Submitting
from tests.histories import Answered, Event, Sent, Start, check_history


READ_ONLY_KINDS = {"stock-check"}
# Short, so that requests caught by a fault end soon; the suspicion time is 3 s.
JOB_DEADLINE_S = 6.0
CALL_DEADLINE_S = 5.0
RESUBMISSION_DEADLINE_S = 4.0
PAUSE_S = 0.02


@dataclass
class Recorder:
    """Events of callers in wall-clock order, with the requests of the callers."""

    events: list[tuple[float, Event]] = field(default_factory=list)
    expected: dict[str, list] = field(default_factory=dict)
    # The caller's request that an id belongs to: a fresh id keeps the request.
    requests: dict[str, int] = field(default_factory=dict)
    kinds: dict[str, str] = field(default_factory=dict)
    entries: dict[int, str] = field(default_factory=dict)
    # Attempts that declared an earlier one as unanswered.
    resubmitted: set[int] = field(default_factory=set)
    # Attempts whose caller stopped waiting.
    abandoned: set[int] = field(default_factory=set)
    open_attempts: dict[str, set[int]] = field(default_factory=dict)
    outcomes: Counter = field(default_factory=Counter)
    numbers: count = field(default_factory=lambda: count(1))

    def send(self, attempt: Attempt) -> int:
        """Record that an attempt is about to be sent."""
        number = next(self.numbers)
        name = str(attempt.submission_id)
        self.entries[number] = attempt.entry
        if attempt.unanswered:
            self.resubmitted.add(number)
        self.open_attempts.setdefault(name, set()).add(number)
        self.events.append((time.time(), Sent(name, number)))
        return number

    def receive(self, attempt: Attempt, number: int, reply) -> None:
        """Record the reply to an attempt."""
        name = str(attempt.submission_id)
        pending = self.open_attempts[name]
        if isinstance(reply, NotSent):
            pending.discard(number)
        if not isinstance(reply, EntryAnswer):
            return
        if reply.outcome is not Outcome.UNKNOWN:
            pending.discard(number)
        results = [result["value"] for result in reply.results]
        answer = Answered(name, number, reply.outcome, results, len(pending))
        self.events.append((time.time(), answer))

    def since(self, moment: float, cls: type) -> int:
        """Return the number of events of a class after a wall-clock time."""
        return sum(when > moment and isinstance(e, cls) for when, e in self.events)

    def in_progress(self, moment: float) -> dict[int, str]:
        """Return the attempts that were sent and not answered at a time."""
        attempts = {}
        for when, event in self.events:
            if when < moment and isinstance(event, Sent):
                attempts[event.attempt] = event.submission
            elif when < moment and isinstance(event, Answered):
                attempts.pop(event.attempt, None)
        return attempts

    def answers(self) -> dict[int, Answered]:
        """Return the answers by attempt."""
        return {e.attempt: e for _, e in self.events if isinstance(e, Answered)}

    def history(self, starts: list[dict]) -> list[Event]:
        """Return the events merged with the runners' starts.

        Read-only calls may run twice, so only their first start is kept.
        """
        merged = list(self.events)
        seen = set()
        for start in sorted(starts, key=lambda start: start["time_s"]):
            name = start["submission"]
            if name not in self.kinds or (
                self.kinds[name] in READ_ONLY_KINDS and name in seen
            ):
                continue
            seen.add(name)
            event = Start(name, start["index"], start["runner"])
            merged.append((start["time_s"], event))
        return [event for _, event in sorted(merged, key=lambda item: item[0])]

    def violations(self, starts: list[dict]) -> list[str]:
        """Return what the history shows against the guarantees."""
        return check_history(self.history(starts), self.expected)

    def repeated_requests(self, starts: list[dict]) -> list[tuple]:
        """Return the tasks of a request that started more than once, by any id."""
        counts = Counter(
            (self.requests[start["submission"]], start["index"])
            for start in starts
            if start["submission"] in self.requests
            and self.kinds[start["submission"]] not in READ_ONLY_KINDS
        )
        return [task for task, number in counts.items() if number > 1]


class RecordingSession(AsyncSession):
    """A caller's session that records each attempt."""

    def __init__(self, entries, team: str, recorder: Recorder):
        super().__init__(entries, team)
        self.recorder = recorder

    async def _send(self, submitting: Submitting, attempt: Attempt):
        recorder, name = self.recorder, str(attempt.submission_id)
        recorder.expected[name] = submitting.asked["values"]
        recorder.requests[name] = submitting.asked["request"]
        recorder.kinds[name] = submitting.asked["kind"]
        number = recorder.send(attempt)
        try:
            reply = await super()._send(submitting, attempt)
        except BaseException:
            recorder.abandoned.add(number)
            raise
        recorder.receive(attempt, number, reply)
        return reply

    def prepare_job(self, kind, tasks, **options):
        submitting = super().prepare_job(kind, tasks, **options)
        submitting.asked = ask(kind, tasks)
        return submitting

    def prepare_call(self, kind, value, **options):
        submitting = super().prepare_call(kind, value, **options)
        submitting.asked = ask(kind, [value])
        return submitting


def ask(kind: str, values: list[dict]) -> dict:
    """Return what identifies a caller's request; payloads carry its number."""
    return {"kind": kind, "values": values, "request": values[0]["request"]}


class Load:
    """Callers that send jobs, calls and resubmissions until stopped.

    Usage::

        load = Load(["127.0.0.1:8000", "127.0.0.1:8001"], seed=1)
        async with anyio.create_task_group() as group:
            group.start_soon(load.run)
            ...
            load.stopping.set()
    """

    def __init__(self, entries: list[str], seed: int):
        self.entries = entries
        self.recorder = Recorder()
        self.numbers = count(1)
        self.random = random.Random(seed)
        self.stopping = False

    def payloads(self, tasks: int, work_ms: int) -> list[dict]:
        request = next(self.numbers)
        return [
            {"work_ms": work_ms, "request": request, "task": task}
            for task in range(tasks)
        ]

    async def run(self) -> None:
        """Send until `stopping` and return when every request has ended."""
        async with anyio.create_task_group() as group:
            for caller in (
                *(self.send_jobs, self.send_jobs, self.send_calls, self.send_calls),
                *(self.send_reads, self.resubmit_at_once, self.resubmit_later),
            ):
                group.start_soon(self.repeat, caller)

    async def repeat(self, caller) -> None:
        while not self.stopping:
            await caller()
            await anyio.sleep(PAUSE_S)

    def session(self, entry: str | None = None) -> RecordingSession:
        entries = [entry] if entry else self.entries
        return RecordingSession(entries, "brusadelli", self.recorder)

    async def attempt(self, session, kind: str, values: list[dict], **options) -> None:
        """Make one request, and count how it ended."""
        try:
            if kind == "cut-list":
                deadline_s = options.pop("deadline_s", JOB_DEADLINE_S)
                await session.submit(kind, values, deadline_s=deadline_s, **options)
            else:
                await session.call(
                    kind, values[0], deadline_s=CALL_DEADLINE_S, **options
                )
            self.recorder.outcomes["complete"] += 1
        except MarigoldkeelError as error:
            self.recorder.outcomes[type(error).__name__] += 1

    async def send_jobs(self) -> None:
        values = self.payloads(self.random.randint(2, 12), self.random.randint(5, 60))
        async with self.session() as session:
            await self.attempt(session, "cut-list", values)

    async def send_calls(self) -> None:
        kind = self.random.choice(["quote", "swap"])
        async with self.session() as session:
            await self.attempt(session, kind, self.payloads(1, 20))

    async def send_reads(self) -> None:
        async with self.session() as session:
            await self.attempt(session, "stock-check", self.payloads(1, 10))

    async def resubmit_at_once(self) -> None:
        """Send one id through two entries at the same time."""
        values = self.payloads(self.random.randint(1, 6), 30)
        submission_id = mint_submission_id()
        async with anyio.create_task_group() as group:
            for unanswered, entry in enumerate(self.entries):
                group.start_soon(
                    self.send_with_id, entry, values, submission_id, unanswered
                )

    async def resubmit_later(self) -> None:
        """Abandon an attempt while it runs, then resubmit its id to another entry."""
        values = self.payloads(self.random.randint(1, 6), 30)
        submission_id = mint_submission_id()
        first, second = self.random.sample(self.entries, 2)
        with anyio.move_on_after(self.random.uniform(0, 0.1)):
            await self.send_with_id(first, values, submission_id, 0)
        await self.send_with_id(second, values, submission_id, 1)
        await self.send_with_id(first, values, submission_id, 2)

    async def send_with_id(
        self, entry: str, values: list[dict], submission_id: uuid.UUID, unanswered: int
    ) -> None:
        async with self.session(entry) as session:
            await self.attempt(
                session,
                "cut-list",
                values,
                deadline_s=RESUBMISSION_DEADLINE_S,
                submission_id=submission_id,
                unanswered=unanswered,
            )
