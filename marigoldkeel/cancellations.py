"""Cancels submissions at the member of their partition that an entry asked."""

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.claims import ClaimRegister, ClaimState
from marigoldkeel.exceptions import PeerUnavailable
from marigoldkeel.identifiers import partition_of
from marigoldkeel.jobs import Job
from marigoldkeel.messages import Cancel, CancelJob
from marigoldkeel.models import Answer, Outcome
from marigoldkeel.primaries import refusal
from marigoldkeel.transports import PeerPool


CANCEL_STEP = "cancel"
# Ample for agents to return the tasks that they dropped, and short enough for a
# caller to wait for while other tasks run on.
DEFAULT_WAIT_MS = 1000
CANCELLED = "the submission was cancelled"


def unsettled(message: str, step: str, peer: str = "") -> Answer:
    """Return the answer to a cancellation that may have had no effect.

    It is never "not run": the submission may be running or start later.
    """
    return Answer(Outcome.UNKNOWN, b"", message, step, peer)


class CancellationController:
    """The part of an agent that cancels the jobs of its partitions.

    A cancellation costs one message to each agent that was offered or pushed
    tasks of the job, and no work for the tasks that nobody was given.
    """

    def __init__(self, board: Blackboard, peers: PeerPool, group: TaskGroup):
        self.board = board
        self.peers = peers
        self.group = group

    async def cancel(self, message: CancelJob) -> Answer:
        """Cancel a submission and return its outcome."""
        count = self.board.partitions.partition_count
        if partition_of(message.submission_id, count) != message.partition:
            return unsettled("the id does not belong to this partition", CANCEL_STEP)
        job = self.board.jobs.get(message.submission_id)
        if job is None:
            return self._refuse(message)
        if job.submission.team != message.team:
            answer = unsettled("another team submitted this id", "check team")
            answer.invalid = True
            return answer
        if job.answer is None:
            await self._end(job, message.wait_ms / 1000)
        if not job.claimed:
            return refusal(job.answer.message, message.unanswered, CANCEL_STEP)
        return job.answer

    async def _end(self, job: Job, wait_s: float) -> None:
        self.board.events["jobs_cancelled"] += 1
        job.cancel(CANCELLED, CANCEL_STEP, self.board.clock())
        for address in job.offers.values():
            self.group.start_soon(self._notify, job, address)
        if not job.claimed:
            await job.done.wait()
            return
        # Agents return the tasks that they drop; what has not ended by then may
        # have run.
        with anyio.move_on_after(wait_s):
            await job.done.wait()
        job.fail(job.reason, self.board.clock())

    async def _notify(self, job: Job, address: str) -> None:
        try:
            await self.peers.send(address, Cancel(job.submission.submission_id))
        except PeerUnavailable as error:
            logger.info("cancellation not sent: {}", error)

    def _refuse(self, message: CancelJob) -> Answer:
        """Record that an id without a job never starts here."""
        register = self.board.registers.get(message.partition)
        if register is None:
            text = "this agent is no member of the partition"
            return unsettled(text, CANCEL_STEP)
        if not register.refuse(message.submission_id):
            text = "the job is not at this agent; every task may have run"
            return unsettled(text, CANCEL_STEP)
        if not is_settled(register, message):
            text = "the partition is changing members; ask again"
            return unsettled(text, CANCEL_STEP)
        self.board.events["cancelled_before_submission"] += 1
        return refusal(CANCELLED, message.unanswered, CANCEL_STEP)


def is_settled(register: ClaimRegister, message: CancelJob) -> bool:
    """Whether a refusal recorded here rules out a start in this generation."""
    record = register.claims[message.submission_id]
    return (
        record.state is ClaimState.REFUSED
        and register.has_complete_state
        and register.generation == message.generation
    )
