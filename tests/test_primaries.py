"""Tests the answers of a primary while agents are leaving."""

import anyio
import pytest

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.claims import ClaimRegister, Verdict
from marigoldkeel.dispatch import make_policy
from marigoldkeel.exceptions import ProtocolError
from marigoldkeel.heartbeats import PeerState
from marigoldkeel.identifiers import mint_submission_id, partition_of
from marigoldkeel.jobs import Job
from marigoldkeel.messages import Claimed, Grant, Ran, Submit, Take, TaskResult
from marigoldkeel.models import (
    Member,
    Outcome,
    PartitionRecord,
    Priority,
    Submission,
    TaskState,
)
from marigoldkeel.primaries import PrimaryController


HANG_LIMIT_S = 30


class SlowStandby:
    """Acknowledges a claim once ``released`` is set."""

    def __init__(self):
        self.asked = anyio.Event()
        self.released = anyio.Event()

    async def request(self, address, claim, timeout_s):
        self.asked.set()
        await self.released.wait()
        return Claimed(Verdict.ACCEPTED, claim.generation)


@pytest.mark.anyio
async def test_resubmission_while_leaving_keeps_the_claim():
    """Guards against a resubmission that refuses the claim of its own job.

    The claim is still being obtained when the agent starts to leave and the same id
    is submitted again.
    """
    members = Member("a", "a@1", "a"), Member("b", "b@1", "b", "elsewhere")
    board = Blackboard(members[0])
    board.partitions.partition_count = 1
    board.partitions.apply(PartitionRecord(0, 1, *members))
    register = board.registers[0] = ClaimRegister.as_primary(0, 1)
    register.open()
    submission_id = mint_submission_id().bytes
    assert partition_of(submission_id, 1) == 0
    standby = SlowStandby()
    answers = {}

    async def submit(unanswered):
        message = Submit(
            0, 1, submission_id, "team", "quote", 1, 500, unanswered, 1, b"[1]"
        )
        answers[unanswered] = await primary.submit(message)

    with anyio.fail_after(HANG_LIMIT_S):
        async with anyio.create_task_group() as group:
            primary = PrimaryController(
                board, standby, make_policy("late_binding"), group
            )
            group.start_soon(submit, 0)
            await standby.asked.wait()
            board.leaving = True
            group.start_soon(submit, 1)
            await anyio.wait_all_tasks_blocked()
            standby.released.set()
            while len(answers) < 2:
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()
    assert board.events["jobs_started"] == 1
    # No agent serves the kind, so the job reaches its deadline without a start.
    assert answers[0].outcome is Outcome.NOT_RUN
    assert "deadline" in answers[0].message


class FakeAgents:
    """Accepts claims and runs pushed tasks, except on agents without a target."""

    def __init__(self, without_target):
        self.without_target = without_target
        self.pushes = []

    async def request(self, address, message, timeout_s):
        if not hasattr(message, "tasks"):
            return Claimed(Verdict.ACCEPTED, message.generation)
        self.pushes.append(address)
        assert message.incarnation == f"{address}@1"
        index = message.tasks[0].index
        if address in self.without_target:
            return Ran([TaskResult(index, TaskState.NOT_STARTED, b"", "no target")])
        return Ran([TaskResult(index, TaskState.SUCCEEDED, b"1")])


@pytest.mark.anyio
@pytest.mark.parametrize("without_target", [["b"], ["b", "c"]])
async def test_task_goes_to_another_agent_than_the_one_that_returned_it(without_target):
    """Guards against a job that fails because of outdated heartbeats.

    An agent whose last target is leaving returns its tasks. According to its last
    heartbeat, up to a second old, it is the least loaded agent, so each returned task
    would be pushed to it three times before the next heartbeat.
    """
    board = Blackboard(Member("a", "a@1", "a"))
    board.partitions.partition_count = 1
    standby = Member("b", "b@1", "b", "elsewhere")
    board.partitions.apply(PartitionRecord(0, 1, board.member, standby))
    register = board.registers[0] = ClaimRegister.as_primary(0, 1)
    register.open()
    for load, name in enumerate("bcd"):
        member = Member(name, f"{name}@1", name)
        board.peers.observe(
            PeerState(member, 10 * load, 4, kinds=["quote"]), board.clock()
        )
    agents = FakeAgents(without_target)
    message = Submit(
        0, 1, mint_submission_id().bytes, "team", "quote", 1, 20_000, 0, 1, b"[1]"
    )
    with anyio.fail_after(HANG_LIMIT_S):
        async with anyio.create_task_group() as group:
            primary = PrimaryController(
                board, agents, make_policy("least_loaded"), group
            )
            answer = await primary.submit(message)
    assert (answer.outcome, agents.pushes) == (
        Outcome.COMPLETE,
        [*without_target, "bcd"[len(without_target)]],
    )


class HoldingAgents(FakeAgents):
    """Run pushed tasks once they are released."""

    def __init__(self):
        super().__init__([])
        self.released = anyio.Event()

    async def request(self, address, message, timeout_s):
        if hasattr(message, "tasks"):
            self.pushes.append(address)
            await self.released.wait()
        return await super().request(address, message, timeout_s)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("silent_s", "incarnation", "outcome"),
    [
        (5.0, "c@1", Outcome.COMPLETE),
        (11.0, "c@1", Outcome.FAILED),
        (0.0, "c@2", Outcome.FAILED),
    ],
)
async def test_work_of_an_agent_that_is_silent_for_a_while_is_not_given_up(
    silent_s, incarnation, outcome
):
    """Guards against a failed job whose tasks complete on a paused machine.

    An agent that was restarted has lost its tasks, so they are given up at once.
    """
    now = [100.0]
    board = Blackboard(Member("a", "a@1", "a"), lambda: now[0])
    board.partitions.partition_count = 1
    standby = Member("b", "b@1", "b", "elsewhere")
    board.partitions.apply(PartitionRecord(0, 1, board.member, standby))
    board.registers[0] = ClaimRegister.as_primary(0, 1)
    board.registers[0].open()
    holder = Member("c", "c@1", "c")
    board.peers.observe(PeerState(holder, 0.0, 4, kinds=["quote"]), now[0])
    agents = HoldingAgents()
    message = Submit(
        0, 1, mint_submission_id().bytes, "team", "quote", 1, 20_000, 0, 1, b"[1]"
    )
    answers = []
    with anyio.fail_after(HANG_LIMIT_S):
        async with anyio.create_task_group() as group:
            primary = PrimaryController(
                board, agents, make_policy("least_loaded"), group
            )

            async def submit():
                answers.append(await primary.submit(message))

            group.start_soon(submit)
            await anyio.wait_all_tasks_blocked()
            assert agents.pushes == ["c"]
            now[0] += silent_s
            if incarnation != holder.incarnation:
                board.peers.observe(PeerState(Member("c", incarnation, "c")), now[0])
            primary.reap()
            agents.released.set()
    assert [answer.outcome for answer in answers] == [outcome]


def make_running_job(board: Blackboard, tasks: int = 1) -> Job:
    submission = Submission(
        mint_submission_id().bytes,
        0,
        1,
        "team",
        "quote",
        Priority.NORMAL,
        board.clock() + 20,
        [b"1"] * tasks,
    )
    job = Job(submission, b"digest", board.clock())
    job.claimed = True
    board.jobs[submission.submission_id] = job
    return job


@pytest.mark.anyio
async def test_task_that_a_restarted_agent_takes_before_its_heartbeat_is_not_given_up():
    """Guards against a job that fails although its task runs on a sound agent.

    The offer goes to the address of the agent that was restarted in the meantime.
    """
    now = [100.0]
    board = Blackboard(Member("a", "a@1", "a"), lambda: now[0])
    board.registers[0] = ClaimRegister.as_primary(0, 1)
    board.peers.observe(PeerState(Member("c", "c@1", "c")), now[0])
    job = make_running_job(board)
    primary = PrimaryController(board, None, make_policy("late_binding"), None)
    grant = await primary.take(Take(job.submission.submission_id, "c@2", 1, 1))
    assert [task.index for task in grant.tasks] == [0]
    primary.reap()
    now[0] += 1
    board.peers.observe(PeerState(Member("c", "c@2", "c")), now[0])
    primary.reap()
    results = [TaskResult(0, TaskState.SUCCEEDED, b"1")]
    await primary.take(Take(job.submission.submission_id, "c@2", 2, 0, results))
    assert job.answer.outcome is Outcome.COMPLETE


@pytest.mark.anyio
async def test_late_request_of_an_agent_that_was_restarted_gets_no_task():
    """Guards against a job that fails because its task is granted to no one."""
    board = Blackboard(Member("a", "a@1", "a"))
    board.registers[0] = ClaimRegister.as_primary(0, 1)
    for incarnation in ("c@1", "c@2"):
        board.peers.observe(PeerState(Member("c", incarnation, "c")), board.clock())
    job = make_running_job(board, tasks=2)
    primary = PrimaryController(board, None, make_policy("late_binding"), None)
    assert (
        await primary.take(Take(job.submission.submission_id, "c@1", 1, 1)) == Grant()
    )
    grant = await primary.take(Take(job.submission.submission_id, "c@2", 1, 2))
    assert [task.index for task in grant.tasks] == [0, 1]
    primary.reap()
    assert job.answer is None


@pytest.mark.anyio
@pytest.mark.parametrize("submission_id", [b"", bytes(15), b"\xff" * 40])
async def test_submission_with_an_invalid_id_claims_nothing(submission_id):
    """Guards against an id that is neither refused nor run."""
    await submit_invalid(submission_id, 0)


@pytest.mark.anyio
async def test_submission_with_an_unknown_priority_claims_nothing():
    """Guards against an id that is neither refused nor run."""
    await submit_invalid(mint_submission_id().bytes, 9)


async def submit_invalid(submission_id: bytes, priority: int) -> None:
    """Submit an invalid job to a primary, and check that nothing is claimed."""
    board = Blackboard(Member("a", "a@1", "a"))
    board.partitions.partition_count = 1
    board.registers[0] = ClaimRegister.as_primary(0, 1)
    board.registers[0].open()
    primary = PrimaryController(board, None, make_policy("least_loaded"), None)
    message = Submit(
        0, 1, submission_id, "team", "quote", priority, 20_000, 0, 1, b"[1]"
    )
    with pytest.raises(ProtocolError):
        await primary.submit(message)
    assert board.registers[0].claims == {}
