"""Accepts submissions at the primary, places their tasks and returns the answers."""

import anyio
import msgspec
from anyio.abc import TaskGroup
from loguru import logger

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.claims import ClaimRegister, Verdict
from marigoldkeel.dispatch import Placement, PlacementPolicy, exclude_returning_agents
from marigoldkeel.exceptions import (
    InvalidInput,
    MarigoldkeelError,
    PeerUnavailable,
)
from marigoldkeel.identifiers import (
    body_digest,
    check_submission_id,
    format_submission_id,
    partition_of,
)
from marigoldkeel.jobs import Job
from marigoldkeel.messages import (
    Claim,
    Grant,
    Probe,
    Run,
    Submit,
    Take,
    TaskItem,
    TaskResult,
)
from marigoldkeel.models import Answer, Outcome, Priority, Submission, TaskState
from marigoldkeel.transports import PeerPool


# Answers are retained so that a resubmission gets the same answer. The claim is
# retained longer.
ANSWER_RETENTION_S = 60.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
PLACEMENT_RETRY_DELAY_S = 0.05
# Time after the deadline in which agents report the tasks that the deadline kept from
# starting. An entry waits twice as long.
REPLY_MARGIN_S = 0.5
DEADLINE_PASSED = "the deadline passed"
# Tasks that are still pending after this time are offered to more agents, chosen among
# those that appear idle.
EXTRA_OFFERS_AFTER_S = 0.25
RETRY_AFTER_MS = 200

REFUSAL_MESSAGES = {
    Verdict.REFUSED: "this id was refused before; use a new id",
    Verdict.WRONG_GENERATION: "the members of the partition have changed; try again",
    Verdict.STOPPED: "the members of the partition are changing; try again",
    Verdict.NOT_READY: "the partition is not open yet; try again",
    Verdict.TOO_OLD: "the id was created too long ago; use a new id",
    Verdict.TOO_NEW: "the id was created in the future; check the clock of the caller",
}


def refusal(message: str, unanswered: int, step: str, peer: str = "") -> Answer:
    """Return the answer to an attempt that was not started.

    The outcome is "not run" only if there are no unanswered earlier attempts, as one
    of those may have run elsewhere.
    """
    outcome = Outcome.UNKNOWN if unanswered else Outcome.NOT_RUN
    return Answer(outcome, b"", message, step, peer, RETRY_AFTER_MS)


def parse_tasks(body: bytes, count: int) -> list[bytes]:
    """Return the elements of a JSON array as raw bytes, unchanged.

    :raises InvalidInput: If the body is not a JSON array of ``count`` elements.
    """
    try:
        payloads = msgspec.json.decode(body, type=list[msgspec.Raw])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidInput(f"body is not JSON: {error}", "parse body") from error
    if len(payloads) != count:
        raise InvalidInput(
            f"body has {len(payloads)} tasks, but the request declares {count}",
            "parse body",
        )
    return [bytes(payload) for payload in payloads]


class PrimaryController:
    """Handles the partitions of which this agent is the primary."""

    def __init__(
        self,
        board: Blackboard,
        peers: PeerPool,
        policy: PlacementPolicy,
        group: TaskGroup,
    ):
        self.board = board
        self.peers = peers
        self.policy = policy
        self.group = group

    async def submit(self, message: Submit) -> Answer:
        """Run a submission and return the answer to this attempt.

        :raises ProtocolError: If the message is invalid; nothing is claimed then.
        """
        check_submission_id(message.submission_id)
        Priority.parse(message.priority)
        register = self.board.registers.get(message.partition)
        failure_reason = self._check_member(message, register)
        if failure_reason:
            return refusal(failure_reason, message.unanswered, "submit")
        digest = body_digest(message.kind, message.body)
        # A resubmission must not refuse the claim that its own job is still obtaining.
        if self.board.leaving and message.submission_id not in self.board.jobs:
            register.refuse(message.submission_id, digest)
        verdict = register.propose(
            message.submission_id, digest, message.generation, self.board.wall_ms()
        )
        if verdict is Verdict.ACCEPTED:
            return await self._start(message, register, digest)
        if verdict is Verdict.DUPLICATE:
            return await self._attach(message, register)
        if verdict is Verdict.CONFLICT:
            text = "the id was already used with another kind or body"
            return Answer(Outcome.NOT_RUN, b"", text, "claim", conflict=True)
        self.board.events[f"refused_{verdict.name.lower()}"] += 1
        return refusal(REFUSAL_MESSAGES[verdict], message.unanswered, "claim")

    def _check_member(self, message: Submit, register: ClaimRegister | None) -> str:
        count = self.board.partitions.partition_count
        if partition_of(message.submission_id, count) != message.partition:
            return "the id does not belong to this partition"
        if register is None:
            return "this agent is not a member of the partition"
        return ""

    async def _start(
        self, message: Submit, register: ClaimRegister, digest: bytes
    ) -> Answer:
        submission_id = message.submission_id
        now = self.board.clock()
        try:
            payloads = parse_tasks(message.body, message.tasks)
        except InvalidInput as error:
            register.refuse(submission_id)
            answer = refusal(error.message, message.unanswered, error.step)
            answer.invalid, answer.retry_after_ms = True, 0
            return answer
        submission = Submission(
            submission_id,
            message.partition,
            message.generation,
            message.team,
            message.kind,
            Priority(message.priority),
            now + message.deadline_ms / 1000,
            payloads,
        )
        job = Job(submission, digest, now)
        self.board.jobs[submission_id] = job
        # The entry's connection may close at any time, which must not end the job.
        self.group.start_soon(self._claim_and_run, job, register, message.unanswered)
        await job.done.wait()
        return job.first_answer or job.answer

    async def _claim_and_run(
        self, job: Job, register: ClaimRegister, unanswered: int
    ) -> None:
        """Run a job; after an unexpected error its outcome is unknown."""
        try:
            await self._claim_then_run(job, register, unanswered)
        except Exception as error:
            logger.exception("unexpected error in step run job")
            register.refuse(job.submission.submission_id)
            answer = Answer(Outcome.UNKNOWN, b"", f"internal error: {error}", "run")
            job.finish(answer, self.board.clock())

    async def _claim_then_run(
        self, job: Job, register: ClaimRegister, unanswered: int
    ) -> None:
        failure_reason = await self._obtain_claim(job, register)
        if failure_reason:
            name = format_submission_id(job.submission.submission_id)
            logger.debug("submission {}: not claimed: {}", name, failure_reason)
            # Only the attempt that created the job is known not to have run. Other
            # attempts that wait for it may have reached another member earlier.
            job.first_answer = refusal(failure_reason, unanswered, "claim")
            answer = Answer(Outcome.UNKNOWN, b"", failure_reason, "claim")
            job.finish(answer, self.board.clock())
            del self.board.jobs[job.submission.submission_id]
            return
        job.claimed = True
        logger.debug(
            "submission {}: claimed", format_submission_id(job.submission.submission_id)
        )
        if job.closed:
            job.close(job.reason, self.board.clock())
            return
        self.board.events["jobs_started"] += 1
        await self._run(job)

    async def _attach(self, message: Submit, register: ClaimRegister) -> Answer:
        job = self.board.jobs.get(message.submission_id)
        if job is None:
            return self._answer_without_job(message, register)
        with anyio.move_on_after(message.deadline_ms / 1000 + REPLY_MARGIN_S):
            await job.done.wait()
        if job.answer is None:
            return Answer(Outcome.UNKNOWN, b"", "the job is still running", "run")
        return job.answer

    def _answer_without_job(self, message: Submit, register: ClaimRegister) -> Answer:
        if register.is_primary:
            text = "the agent that ran this id was lost; any of its tasks may have run"
            answer = Answer(Outcome.FAILED, b"", text, "claim")
            answer.may_have_run = list(range(message.tasks))
            return answer
        text = (
            "the primary that holds this id is unreachable; try again with the same id"
        )
        return Answer(Outcome.UNKNOWN, b"", text, "claim")

    async def _obtain_claim(self, job: Job, register: ClaimRegister) -> str:
        """Have the standby record the claim.

        :return: Why the job may not start, or an empty string if it may.
        """
        submission = job.submission
        generation = submission.generation
        record = self.board.partitions.records[submission.partition]
        if record.generation != generation:
            register.refuse(submission.submission_id)
            return REFUSAL_MESSAGES[Verdict.WRONG_GENERATION]
        claim = Claim(
            submission.partition,
            generation,
            submission.submission_id,
            job.digest,
        )
        timeout_s = self.board.setting("claim_timeout_ms") / 1000
        peer = record.standby.address
        try:
            reply = await self.peers.request(peer, claim, timeout_s)
        except MarigoldkeelError as error:
            register.refuse(submission.submission_id)
            self.board.events["claims_unanswered"] += 1
            return f"the standby did not acknowledge the claim: {error}"
        if reply.verdict != Verdict.ACCEPTED:
            register.refuse(submission.submission_id)
            return (
                f"the standby refused the claim: {Verdict(reply.verdict).name.lower()}"
            )
        if not register.confirm(submission.submission_id, generation):
            return REFUSAL_MESSAGES[Verdict.STOPPED]
        return ""

    async def _run(self, job: Job) -> None:
        submission = job.submission
        with anyio.move_on_after(submission.deadline - self.board.clock()):
            offered = await self._place(job, list(job.pending))
            while job.answer is None:
                with anyio.move_on_after(EXTRA_OFFERS_AFTER_S):
                    await job.done.wait()
                if job.pending:
                    self._send_extra_offers(job, offered)
        job.close(DEADLINE_PASSED, self.board.clock())
        with anyio.move_on_after(REPLY_MARGIN_S):
            await job.done.wait()
        job.fail(DEADLINE_PASSED, self.board.clock())

    async def _place(self, job: Job, indexes: list[int]) -> set[str]:
        """Offer or push tasks to agents, waiting for a suitable agent if there is none.

        :return: The incarnations of the agents to which the job was offered.
        """
        kind = job.submission.kind
        while not job.closed:
            agents = self.board.candidates(kind)
            if agents:
                break
            await anyio.sleep(PLACEMENT_RETRY_DELAY_S)
        else:
            return set()
        agents = exclude_returning_agents(agents, job.returned_at)
        self.policy.probe_ratio = self.board.setting("probe_ratio", kind=kind)
        placement = self.policy.place(indexes, agents, self.board.random)
        self._send_placement(job, placement, agents)
        return set(placement.probes)

    def _send_extra_offers(self, job: Job, offered: set[str]) -> None:
        """Offer the tasks that are still pending to more agents."""
        agents = [
            agent
            for agent in self.board.candidates(job.submission.kind)
            if agent.member.incarnation not in offered
        ]
        placement = self.policy.extra_offers(
            len(job.pending), agents, self.board.random
        )
        self._send_placement(job, placement, agents)
        offered.update(placement.probes)

    def _send_placement(self, job: Job, placement: Placement, agents: list) -> None:
        addresses = {agent.member.incarnation: agent.member for agent in agents}
        for incarnation in (*placement.probes, *placement.pushes):
            name = addresses[incarnation].name
            self.board.detector.record_start(name, self.board.clock())
            job.offers[incarnation] = addresses[incarnation].address
        for incarnation, count in placement.probes.items():
            member = addresses[incarnation]
            self.group.start_soon(self._probe, job, member.address, count)
        for incarnation, pushed in placement.pushes.items():
            for index in pushed:
                if index in job.pending and not job.closed:
                    self.group.start_soon(
                        self._push, job, addresses[incarnation], index
                    )

    async def _probe(self, job: Job, address: str, count: int) -> None:
        if job.closed:
            return
        submission = job.submission
        remaining_s = submission.deadline - self.board.clock()
        probe = Probe(
            submission.partition,
            submission.generation,
            submission.submission_id,
            submission.kind,
            submission.priority,
            max(0, int(remaining_s * 1000)),
            count,
            self.board.member.address,
        )
        try:
            await self.peers.send(address, probe)
        except PeerUnavailable as error:
            logger.info("could not send a probe: {}", error)

    async def _push(self, job: Job, member, index: int) -> None:
        submission = job.submission
        if index not in job.pending or job.closed:
            return
        job.pending.remove(index)
        job.mark_granted(index, member.incarnation)
        remaining_s = max(0.0, submission.deadline - self.board.clock())
        run = Run(
            submission.partition,
            submission.generation,
            submission.submission_id,
            submission.kind,
            submission.priority,
            int(remaining_s * 1000),
            [TaskItem(index, submission.payloads[index])],
            member.incarnation,
        )
        try:
            reply = await self.peers.request(
                member.address, run, remaining_s + REPLY_MARGIN_S
            )
            results = reply.results
        except PeerUnavailable as error:
            results = [TaskResult(index, TaskState.NOT_STARTED, b"", str(error))]
        except MarigoldkeelError as error:
            results = [TaskResult(index, TaskState.MAY_HAVE_RUN, b"", str(error))]
        except Exception as error:
            logger.exception("unexpected error in step push from {}", member.address)
            results = [TaskResult(index, TaskState.MAY_HAVE_RUN, b"", str(error))]
        self._record(job, results, member.incarnation)

    def _record(
        self,
        job: Job,
        results: list[TaskResult],
        holder: str,
        sequence: int | None = None,
    ) -> None:
        for result in results:
            self.board.record_result(holder, job.submission.kind, result)
        returned = job.record(results, holder, self.board.clock(), sequence)
        if returned:
            self.board.events["tasks_placed_again"] += len(returned)
            self.group.start_soon(self._place_again, job, returned)

    async def _place_again(self, job: Job, indexes: list[int]) -> None:
        await anyio.sleep(PLACEMENT_RETRY_DELAY_S)
        await self._place(job, indexes)

    async def take(self, message: Take) -> Grant:
        """Record the results of an agent and grant it more tasks of the job."""
        job = self.board.jobs.get(message.submission_id)
        if job is None:
            return Grant()
        self._record(job, message.results, message.incarnation, message.sequence)
        if message.incarnation in self.board.peers.replaced:
            # Its tasks would be given up at the next check.
            return Grant()
        register = self.board.registers.get(job.submission.partition)
        want = message.want
        if register is None or not register.is_primary:
            want = 0
        return job.make_grant(job.take(message.incarnation, message.sequence, want))

    def adopt_generation(self, partition: int, generation: int) -> None:
        """Continue the jobs of a partition under its new generation.

        This member survived the change of members, so only it has and runs these jobs.
        """
        for job in self.board.jobs.values():
            if job.submission.partition == partition and job.answer is None:
                job.submission.generation = generation

    def step_down(self, partition: int) -> None:
        """Stop granting tasks of a partition that another member took over.

        A job that is still obtaining its claim is left to the attempt that waits for
        the claim, as another member may have started the id.
        """
        for job in list(self.board.jobs.values()):
            if job.submission.partition == partition and job.claimed:
                job.close("another agent took over the partition", self.board.clock())

    def reap(self) -> None:
        """Fail the jobs of lost agents and evict old answers."""
        now = self.board.clock()
        running = [job for job in self.board.jobs.values() if job.answer is None]
        holders = {name for job in running for name in job.holders.values()}
        own = self.board.member.incarnation
        for holder in holders:
            if holder != own and self.board.peers.is_lost(holder, now):
                for job in running:
                    job.handle_lost_holder(holder, now)
        self._evict_answers(now)

    def _evict_answers(self, now: float) -> None:
        kept_bytes = 0
        for submission_id, job in reversed(list(self.board.jobs.items())):
            if job.answer is None:
                continue
            kept_bytes += len(job.answer.body)
            expired = now - job.finished_at > ANSWER_RETENTION_S
            if expired or kept_bytes > MAX_ANSWER_BYTES:
                del self.board.jobs[submission_id]

    @property
    def running_jobs(self) -> int:
        """The number of jobs without an answer."""
        return sum(job.answer is None for job in self.board.jobs.values())
