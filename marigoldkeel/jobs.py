"""The state of one job at its primary, without I/O."""

from collections import deque
from collections.abc import Iterable

import anyio

from marigoldkeel.messages import Grant, TaskItem, TaskResult
from marigoldkeel.models import Answer, Outcome, Submission, TaskState


MAX_PLACEMENTS = 3
ENDED = (TaskState.SUCCEEDED, TaskState.FAILED, TaskState.MAY_HAVE_RUN)


class Job:
    """Hands out each task at most once and assembles the answer.

    ``pending`` holds the indexes that no agent has been given. ``claimed`` is set
    once both members of the partition hold the claim. ``answer`` is set exactly
    once, and from then on no task is handed out.
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
        "grants",
        "recorded",
        "unfinished",
        "answer",
        "done",
        "started_at",
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
        self.grants: dict[tuple[str, int], list[int]] = {}
        self.recorded: set[tuple[str, int]] = set()
        self.unfinished = count
        self.answer: Answer | None = None
        self.done = anyio.Event()
        self.started_at = now
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
        if want <= 0:
            return []
        granted = [self.pending.popleft() for _ in range(min(want, len(self.pending)))]
        for index in granted:
            self.states[index] = TaskState.GRANTED
            self.holders[index] = holder
        if granted:
            self.grants[key] = granted
        return granted

    def grant(self, indexes: list[int]) -> Grant:
        """Return the message that gives out ``indexes``."""
        submission = self.submission
        tasks = [TaskItem(index, submission.payloads[index]) for index in indexes]
        left = len(self.pending) if self.answer is None else 0
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
        if sequence is not None:
            if (holder, sequence) in self.recorded:
                return []
            self.recorded.add((holder, sequence))
        returned = []
        for result in results:
            index = result.index
            if index >= len(self.states) or self.holders.get(index) != holder:
                continue
            if self.states[index] is not TaskState.GRANTED:
                continue
            if self._end_task(index, result, now):
                returned.append(index)
        return returned

    def _end_task(self, index: int, result: TaskResult, now: float) -> bool:
        state = TaskState(result.state)
        if state is TaskState.NOT_STARTED:
            del self.holders[index]
            self.states[index] = TaskState.PENDING
            self.placements[index] += 1
            if self.placements[index] < MAX_PLACEMENTS:
                self.pending.append(index)
                return True
            self.states[index] = TaskState.NOT_STARTED
            self.fail(f"task {index} could not be placed: {result.message}", now)
            return False
        self.states[index] = state if state in ENDED else TaskState.MAY_HAVE_RUN
        self.results[index] = result.payload
        self.unfinished -= 1
        if state is not TaskState.SUCCEEDED:
            self.fail(f"task {index}: {result.message or state.name.lower()}", now)
        elif self.unfinished == 0:
            body = b"[" + b",".join(self.results) + b"]"
            self.finish(Answer(Outcome.COMPLETE, body), now)
        return False

    def lose_holder(self, holder: str, now: float) -> None:
        """Fail the job if ``holder``, now lost, may have run one of its tasks."""
        for index, name in self.holders.items():
            if name == holder and self.states[index] is TaskState.GRANTED:
                self.states[index] = TaskState.MAY_HAVE_RUN
                self.fail(f"agent {holder} was lost with task {index}", now, holder)

    def fail(self, message: str, now: float, peer: str = "") -> None:
        """End the job: failed, or not run when nothing can have started."""
        if not self.has_started:
            answer = Answer(Outcome.NOT_RUN, b"", message, "run", peer, 1000)
        else:
            answer = Answer(Outcome.FAILED, b"", message, "run", peer)
            self._list_tasks(answer)
        self.finish(answer, now)

    def _list_tasks(self, answer: Answer) -> None:
        for index, state in enumerate(self.states):
            if state in (TaskState.SUCCEEDED, TaskState.FAILED):
                answer.ran.append(index)
            elif state in (TaskState.GRANTED, TaskState.MAY_HAVE_RUN):
                answer.may_have_run.append(index)

    def finish(self, answer: Answer, now: float) -> None:
        """Set the answer, once; later calls change nothing."""
        if self.answer is None:
            self.answer = answer
            self.finished_at = now
            self.pending.clear()
            self.submission.payloads = []
            self.done.set()
