"""State of a job at its primary. Performs no I/O."""

from collections import deque
from collections.abc import Iterable

import anyio

from marigoldkeel.messages import Grant, TaskItem, TaskResult
from marigoldkeel.models import Answer, Outcome, Submission, TaskState


MAX_PLACEMENTS = 3
TERMINAL_STATES = (TaskState.SUCCEEDED, TaskState.FAILED, TaskState.MAY_HAVE_RUN)


class Job:
    """Grants each task to one agent at a time and assembles the answer.

    A task is granted again only if it provably did not start.

    ``pending`` has the indexes of the tasks that are not granted to any agent.
    ``claimed`` is set once both members of the partition hold the claim. ``answer`` is
    set exactly once, and no task is granted after that. ``first_answer`` replaces it
    for the attempt that created the job, if more is known about that attempt.
    ``offers`` maps the incarnations of agents that were offered or pushed tasks to
    their addresses. ``returned_at`` maps incarnations to when they last returned a task
    unstarted. ``granted_count`` is the number of granted tasks that have not ended.
    """

    __slots__ = (
        "submission",
        "digest",
        "claimed",
        "states",
        "results",
        "pending",
        "holders",
        "placements",
        "offers",
        "returned_at",
        "granted_count",
        "grants",
        "recorded_requests",
        "unfinished",
        "answer",
        "first_answer",
        "done",
        "started_at",
        "run_ms",
        "closed",
        "reason",
        "step",
        "finished_at",
    )

    def __init__(self, submission: Submission, digest: bytes, now: float):
        count = len(submission.payloads)
        self.submission = submission
        self.digest = digest
        self.claimed = False
        self.states = [TaskState.PENDING] * count
        self.results: list[bytes] = [b""] * count
        self.pending: deque[int] = deque(range(count))
        self.holders: dict[int, str] = {}
        self.placements = [0] * count
        self.offers: dict[str, str] = {}
        self.returned_at: dict[str, float] = {}
        self.granted_count = 0
        self.grants: dict[tuple[str, int], list[int]] = {}
        self.recorded_requests: set[tuple[str, int]] = set()
        self.unfinished = count
        self.answer: Answer | None = None
        self.first_answer: Answer | None = None
        self.done = anyio.Event()
        self.started_at = now
        self.run_ms = 0
        self.closed = False
        self.reason = ""
        self.step = "run"
        self.finished_at = 0.0

    @property
    def has_started(self) -> bool:
        """Whether any task has been granted and may have run."""
        return any(
            state not in (TaskState.PENDING, TaskState.NOT_STARTED)
            for state in self.states
        )

    def take(self, holder: str, sequence: int, want: int) -> list[int]:
        """Grant up to ``want`` tasks to the incarnation ``holder``.

        A repeated request gets the same tasks, because the first reply may be lost.
        Nothing is granted once the job has its answer, as that discards the payloads.
        """
        if self.answer is not None:
            return []
        key = (holder, sequence)
        if key in self.grants:
            return self.grants[key]
        if self.closed or want <= 0:
            return []
        granted = [self.pending.popleft() for _ in range(min(want, len(self.pending)))]
        for index in granted:
            self.mark_granted(index, holder)
        if granted:
            self.grants[key] = granted
        return granted

    def mark_granted(self, index: int, holder: str) -> None:
        """Record that a task, already removed from ``pending``, is granted."""
        self.states[index] = TaskState.GRANTED
        self.holders[index] = holder
        self.granted_count += 1

    def make_grant(self, indexes: list[int]) -> Grant:
        """Return the message that grants the tasks ``indexes``."""
        submission = self.submission
        tasks = [TaskItem(index, submission.payloads[index]) for index in indexes]
        left = 0 if self.closed else len(self.pending)
        return Grant(submission.partition, submission.generation, tasks, left)

    def record(
        self,
        results: Iterable[TaskResult],
        holder: str,
        now: float,
        sequence: int | None = None,
    ) -> list[int]:
        """Record results of tasks granted to ``holder``.

        :param sequence: The sequence number of the request with the results. Repeated
            requests are ignored, because the holder may since have been granted the
            same task again and may be running it.
        :return: The indexes of tasks that provably did not start and are pending again.
        """
        if self.answer is not None:
            return []
        if sequence is not None:
            if (holder, sequence) in self.recorded_requests:
                return []
            self.recorded_requests.add((holder, sequence))
        returned = []
        for result in results:
            index = result.index
            if index >= len(self.states) or self.holders.get(index) != holder:
                continue
            if self.states[index] is not TaskState.GRANTED:
                continue
            if self._end_task(index, result, now):
                returned.append(index)
                self.returned_at[holder] = now
        return returned

    def _end_task(self, index: int, result: TaskResult, now: float) -> bool:
        state = TaskState(result.state)
        self.granted_count -= 1
        if state is TaskState.NOT_STARTED:
            del self.holders[index]
            self.states[index] = TaskState.PENDING
            self.placements[index] += 1
            if not self.closed and self.placements[index] < MAX_PLACEMENTS:
                self.pending.append(index)
                return True
            self.states[index] = TaskState.NOT_STARTED
            self.close(f"task {index} could not be placed: {result.message}", now)
            return False
        self.states[index] = (
            state if state in TERMINAL_STATES else TaskState.MAY_HAVE_RUN
        )
        self.results[index] = result.payload
        self.run_ms = max(self.run_ms, result.run_ms)
        self.unfinished -= 1
        if state is not TaskState.SUCCEEDED:
            self.fail(f"task {index}: {result.message or state.name.lower()}", now)
        elif self.unfinished == 0:
            body = b"[" + b",".join(self.results) + b"]"
            self.finish(Answer(Outcome.COMPLETE, body), now)
        elif self.closed and not self.granted_count:
            self.fail(self.reason, now)
        return False

    def handle_lost_holder(self, holder: str, now: float) -> None:
        """Fail the job if the lost ``holder`` may have run any of its tasks."""
        for index, name in self.holders.items():
            if name == holder and self.states[index] is TaskState.GRANTED:
                self.states[index] = TaskState.MAY_HAVE_RUN
                self.granted_count -= 1
                self.fail(f"agent {holder} was lost with task {index}", now, holder)

    def close(self, message: str, now: float, step: str = "run") -> None:
        """Grant no more tasks, and end the job once no task is granted.

        A granted task may still turn out not to have started, and a job without any
        started task is answered "not run" instead of "failed". If the job is closed
        more than once, the answer has the first reason.
        """
        if not self.closed:
            self.reason, self.step = message, step
        self.closed = True
        self.pending.clear()
        if not self.granted_count:
            self.fail(self.reason, now)

    def cancel(self, message: str, step: str, now: float) -> None:
        """Close the job at the request of the caller.

        While its claim is being obtained, the job does not end before the reply to
        the claim: without the claim, an earlier attempt may run under a newer
        generation.
        """
        if self.claimed:
            self.close(message, now, step)
        elif not self.closed:
            self.reason, self.step = message, step
            self.closed = True
            self.pending.clear()

    def fail(self, message: str, now: float, peer: str = "") -> None:
        """End the job as failed, or as not run if no task can have started."""
        if not self.has_started:
            answer = Answer(Outcome.NOT_RUN, b"", message, self.step, peer, 1000)
        else:
            answer = Answer(Outcome.FAILED, b"", message, self.step, peer)
            self._fill_task_lists(answer)
        self.finish(answer, now)

    def _fill_task_lists(self, answer: Answer) -> None:
        for index, state in enumerate(self.states):
            if state in (TaskState.SUCCEEDED, TaskState.FAILED):
                answer.ran.append(index)
            elif state in (TaskState.GRANTED, TaskState.MAY_HAVE_RUN):
                answer.may_have_run.append(index)

    def finish(self, answer: Answer, now: float) -> None:
        """Set the answer. Only the first call has an effect."""
        if self.answer is None:
            answer.run_ms = self.run_ms
            self.answer = answer
            self.closed = True
            self.finished_at = now
            self.pending.clear()
            # The answer is retained for a minute. The state behind it is not needed.
            self.submission.payloads = []
            self.results = []
            self.holders = {}
            self.returned_at = {}
            self.grants = {}
            self.recorded_requests = set()
            self.done.set()
