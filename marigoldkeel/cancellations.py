"""Cancels submissions at a member of their partition."""

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
# Long enough for agents to return the tasks that they dropped, and short enough for a
# caller to wait while other tasks keep running.
DEFAULT_WAIT_MS = 1000
CANCELLED_MESSAGE = "the submission was cancelled"


def unknown_outcome(message: str, step: str, peer: str = "") -> Answer:
    """Return the answer to a cancellation that may have had no effect.

    The outcome is never "not run", because the submission may be running or may
    still start.
    """
    return Answer(Outcome.UNKNOWN, b"", message, step, peer)


class CancellationController:
    """Cancels the jobs of the partitions of this agent.

    A cancellation sends one message to each agent to which tasks of the job were
    offered or pushed. Tasks that are still pending cause no messages.
    """

    def __init__(self, board: Blackboard, peers: PeerPool, group: TaskGroup):
        self.board = board
        self.peers = peers
        self.group = group

    async def cancel(self, message: CancelJob) -> Answer:
        """Cancel a submission and return its outcome."""
        count = self.board.partitions.partition_count
        if partition_of(message.submission_id, count) != message.partition:
            return unknown_outcome(
                "the id does not belong to this partition", CANCEL_STEP
            )
        job = self.board.jobs.get(message.submission_id)
        if job is None:
            return self._refuse_id(message)
        if job.submission.team != message.team:
            answer = unknown_outcome("another team submitted this id", "check team")
            answer.invalid = True
            return answer
        if job.answer is None:
            await self._end_job(job, message.wait_ms / 1000)
        if not job.claimed:
            return refusal(job.answer.message, message.unanswered, CANCEL_STEP)
        return job.answer

    async def _end_job(self, job: Job, wait_s: float) -> None:
        self.board.events["jobs_cancelled"] += 1
        job.cancel(CANCELLED_MESSAGE, CANCEL_STEP, self.board.clock())
        for address in job.offers.values():
            self.group.start_soon(self._notify, job, address)
        if not job.claimed:
            await job.done.wait()
            return
        # Agents return the tasks that they drop. Tasks that have not ended when the
        # wait is over are reported as tasks that may have run.
        with anyio.move_on_after(wait_s):
            await job.done.wait()
        job.fail(job.reason, self.board.clock())

    async def _notify(self, job: Job, address: str) -> None:
        try:
            await self.peers.send(address, Cancel(job.submission.submission_id))
        except PeerUnavailable as error:
            logger.info("could not send a cancellation: {}", error)

    def _refuse_id(self, message: CancelJob) -> Answer:
        """Refuse an id without a job, so that it can never start here."""
        register = self.board.registers.get(message.partition)
        if register is None:
            text = "this agent is not a member of the partition"
            return unknown_outcome(text, CANCEL_STEP)
        if not register.refuse(message.submission_id):
            text = "this agent does not have the job; any of its tasks may have run"
            return unknown_outcome(text, CANCEL_STEP)
        if not rules_out_start(register, message):
            text = (
                "the members of the partition are changing; try again with the same id"
            )
            return unknown_outcome(text, CANCEL_STEP)
        self.board.events["cancelled_before_submission"] += 1
        return refusal(CANCELLED_MESSAGE, message.unanswered, CANCEL_STEP)


def rules_out_start(register: ClaimRegister, message: CancelJob) -> bool:
    """Whether the refusal recorded here rules out a start in this generation."""
    record = register.claims[message.submission_id]
    return (
        record.state is ClaimState.REFUSED
        and register.has_complete_state
        and register.generation == message.generation
    )
