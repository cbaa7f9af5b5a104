"""The state of one job at its primary, without I/O."""

from collections import deque
from collections.abc import Iterable

import anyio

from marigoldkeel.messages import Grant, TaskItem, TaskResult
from marigoldkeel.models import Answer, Outcome, Submission, TaskState


MAX_PLACEMENTS = 3
TERMINAL_STATES = (TaskState.SUCCEEDED, TaskState.FAILED, TaskState.MAY_HAVE_RUN)


class Job:
    """Hands out each task at most once and assembles the answer.

    ``pending`` holds the indexes that no agent has been given. ``claimed`` is set
    once both members of the partition hold the claim. ``answer`` is set exactly
    once, and from then on no task is handed out. ``first_answer`` replaces it for
    the attempt that made the job, if that attempt knows more. ``offers`` maps the
    incarnations of agents that were offered or pushed tasks to their addresses,
    ``returned_at`` maps those that gave a task back unstarted to when they last did,
    and ``held`` counts the tasks that are granted and have not ended.
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
        """Whether any task has been handed out and may have run."""
        return any(
            state not in (TaskState.PENDING, TaskState.NOT_STARTED)
            for state in self.states
        )

    def take(self, holder: str, sequence: int, want: int) -> list[int]:
        """Grant up to ``want`` tasks to the incarnation ``holder``.

        A repeated request gets the same tasks, as its first answer may be lost.
        Nothing is granted after the answer, which also drops the payloads.
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
        """Note that ``holder`` is given a task that is no longer pending."""
        self.states[index] = TaskState.GRANTED
        self.holders[index] = holder
        self.granted_count += 1

    def make_grant(self, indexes: list[int]) -> Grant:
        """Return the message that gives out ``indexes``."""
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
        """Take results of tasks granted to ``holder``.

        :param sequence: The number of the request that carries the results. They
            count once, as the holder may have been granted the same task again
            since and be running it.
        :return: The indexes that provably did not start and are pending again.
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
        """Fail the job if ``holder``, now lost, may have run one of its tasks."""
        for index, name in self.holders.items():
            if name == holder and self.states[index] is TaskState.GRANTED:
                self.states[index] = TaskState.MAY_HAVE_RUN
                self.granted_count -= 1
                self.fail(f"agent {holder} was lost with task {index}", now, holder)

    def close(self, message: str, now: float, step: str = "run") -> None:
        """Hand out nothing more, and end the job once no task is held.

        A held task may still turn out not to have started, and a job of which
        nothing started is answered "not run" rather than "failed". The reason
        given first is the one that the answer states.
        """
        if not self.closed:
            self.reason, self.step = message, step
        self.closed = True
        self.pending.clear()
        if not self.granted_count:
            self.fail(self.reason, now)

    def cancel(self, message: str, step: str, now: float) -> None:
        """Close the job on the caller's request.

        A job whose claim is still being obtained ends only with the reply to it:
        without the claim, an earlier attempt may run under a newer generation.
        """
        if self.claimed:
            self.close(message, now, step)
        elif not self.closed:
            self.reason, self.step = message, step
            self.closed = True
            self.pending.clear()

    def fail(self, message: str, now: float, peer: str = "") -> None:
        """End the job: failed, or not run when nothing can have started."""
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
        """Set the answer, once; later calls change nothing."""
        if self.answer is None:
            answer.run_ms = self.run_ms
            self.answer = answer
            self.closed = True
            self.finished_at = now
            self.pending.clear()
            # An answer is kept for a minute; what led to it is not needed.
            self.submission.payloads = []
            self.results = []
            self.holders = {}
            self.returned_at = {}
            self.grants = {}
            self.recorded_requests = set()
            self.done.set()
