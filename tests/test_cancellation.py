"""Guards against starts after a cancellation and wrong answers to cancelled work."""

from contextlib import AsyncExitStack

import anyio
import anyio.to_thread
import msgspec
import pytest

from marigoldkeel.attempts import MAX_DEADLINE_S
from marigoldkeel.commands import cancel as cancel_command
from marigoldkeel.configuration import Configuration, TeamPolicy
from marigoldkeel.demo import LocalSystem
from marigoldkeel.exceptions import (
    InvalidInput,
    JobFailed,
    MarigoldkeelError,
    OutcomeUnknown,
    Refused,
)
from marigoldkeel.identifiers import mint_submission_id, partition_of
from marigoldkeel.messages import Claimed
from marigoldkeel.models import Outcome


pytestmark = pytest.mark.anyio
TASKS = 40
LONG_TASK = {"work_ms": 60_000}


async def wait_until(condition):
    while not condition():
        await anyio.sleep(0.005)


def starts(system, submission_id):
    return sorted(
        start.index
        for runner in system.runners
        for start in runner.starts
        if start.submission == str(submission_id)
    )


def job_of(system, submission_id):
    jobs = (agent.board.jobs.get(submission_id.bytes) for agent in system.agents)
    return next((job for job in jobs if job is not None), None)


def occupy_all_slots(system):
    """Occupy the slots of all targets, so that all work stays queued."""
    for agent in system.agents:
        for info in agent.targets.targets.values():
            agent.targets.busy_slots[info.name] = info.slots


def free_all_slots(system):
    for agent in system.agents:
        agent.targets.busy_slots.clear()
        agent.executor.wake.set()


async def submit(session, submission_id, tasks, outcomes, **options):
    try:
        result = await session.submit(
            "cut-list", tasks, submission_id=submission_id, unanswered=0, **options
        )
        outcomes.append(result.results)
    except MarigoldkeelError as error:
        outcomes.append(error)


def delay_claims(system):
    """Delay the replies of standbys to claims until the returned event is set."""
    release = anyio.Event()
    for agent in system.agents:
        original = agent.failover.receive_claim

        async def receive(message, original=original) -> Claimed:
            await release.wait()
            return await original(message)

        agent.failover.receive_claim = receive
    return release


@pytest.mark.parametrize("policy", ["late_binding", "random"])
@pytest.mark.parametrize("stage", ["claim", "queued", "running", "finished"])
async def test_caller_and_canceller_learn_what_had_started(stage, policy):
    outcomes, submission_id = [], mint_submission_id()
    async with LocalSystem.open(agents=3, entries=2, policy=policy) as system:
        async with system.session("brusadelli") as session:
            async with anyio.create_task_group() as group:
                if stage == "queued":
                    occupy_all_slots(system)
                if stage == "claim":
                    release = delay_claims(system)
                work = {"work_ms": 1} if stage == "finished" else LONG_TASK
                group.start_soon(
                    submit, session, submission_id, [work] * TASKS, outcomes
                )
                await wait_until(lambda: job_of(system, submission_id) is not None)
                job = job_of(system, submission_id)
                if stage == "claim":
                    group.start_soon(release_when_closed, job, release)
                elif stage == "queued":
                    await wait_until(lambda: sum(a.queue.depth for a in system.agents))
                elif stage == "running":
                    await wait_until(lambda: len(starts(system, submission_id)) >= 8)
                else:
                    await wait_until(lambda: outcomes)
                cancelled = await session.cancel(submission_id)
                await wait_until(lambda: outcomes)
            started = starts(system, submission_id)
            if stage == "queued":
                free_all_slots(system)
            await anyio.sleep(0.3)
            assert starts(system, submission_id) == started
            assert sum(agent.queue.depth for agent in system.agents) == 0
            again = await session.cancel(submission_id)
            assert (again.outcome, again.ran) == (cancelled.outcome, cancelled.ran)
    if stage == "finished":
        assert cancelled.results == outcomes[0]
        assert cancelled.outcome is Outcome.COMPLETE
    elif stage == "running":
        error = outcomes[0]
        assert isinstance(error, JobFailed)
        assert cancelled.outcome is Outcome.FAILED
        assert sorted(error.ran + error.may_have_run) == started
        assert sorted(cancelled.may_have_run) == started
    else:
        assert (isinstance(outcomes[0], Refused), started) == (True, [])
        assert cancelled.outcome is Outcome.NOT_RUN


async def release_when_closed(job, release):
    await wait_until(lambda: job.closed)
    release.set()


@pytest.mark.parametrize("unanswered", [0, 1])
async def test_cancelled_unknown_id_never_starts_when_submitted_late(unanswered):
    outcomes, submission_id = [], mint_submission_id()
    async with LocalSystem.open(agents=3, entries=2, partitions=4) as system:
        async with system.session("brusadelli") as session:
            if unanswered:
                with pytest.raises(OutcomeUnknown):
                    await session.cancel(submission_id)
            else:
                cancelled = await session.cancel(submission_id, unanswered=0)
                assert cancelled.outcome is Outcome.NOT_RUN
            await submit(session, submission_id, [1] * 5, outcomes)
        assert isinstance(outcomes[0], Refused)
        assert starts(system, submission_id) == []


async def test_only_the_team_that_submitted_can_cancel():
    outcomes, submission_id = [], mint_submission_id()
    async with LocalSystem.open(agents=3, entries=1, partitions=4) as system:
        async with (
            system.session("brusadelli") as session,
            system.session("gulfline") as other,
            anyio.create_task_group() as group,
        ):
            tasks = [{"work_ms": 300}] * 5
            group.start_soon(submit, session, submission_id, tasks, outcomes)
            await wait_until(lambda: starts(system, submission_id))
            with pytest.raises(InvalidInput, match="another team"):
                await other.cancel(submission_id)
        assert len(outcomes[0]) == 5


async def test_command_prints_the_outcome(capsys):
    """Covers the synchronous session, which the other tests here do not use."""
    outcomes, submission_id = [], mint_submission_id()
    async with LocalSystem.open(agents=3, entries=1, partitions=4) as system:
        async with system.session("brusadelli") as session:
            await submit(session, submission_id, [1] * 3, outcomes)

        def command():
            entries = [system.entries[0].http_address]
            return cancel_command(
                str(submission_id), entries=entries, team="brusadelli"
            )

        assert await anyio.to_thread.run_sync(command) == 0
    printed = msgspec.json.decode(capsys.readouterr().out)
    assert (printed["outcome"], printed["results"]) == ("complete", outcomes[0])


async def test_unreachable_members_leave_the_outcome_unknown():
    """Guards against "not run" if no member recorded the refusal.

    A submission that arrives later may still start.
    """
    async with LocalSystem.open(agents=3, entries=1, partitions=4) as system:
        submission_id = mint_submission_id()
        table = system.entries[0].board.partitions
        del table.records[partition_of(submission_id.bytes, 4)]
        async with system.session("brusadelli") as session:
            with pytest.raises(OutcomeUnknown):
                await session.cancel(submission_id, unanswered=0)


async def test_wave_of_cancellations_starts_none_of_the_cancelled_tasks():
    outcomes, cancelled = [], []

    async def submit_job(session, submission_id):
        tasks = [1] * (1 + submission_id.int % 5)
        # No job may reach its deadline before the cancellation, even on a slow machine.
        await submit(session, submission_id, tasks, outcomes, deadline_s=MAX_DEADLINE_S)

    async def cancel(session, submission_id):
        # Long enough for every task to be returned, even on a slow machine.
        cancelled.append(await session.cancel(submission_id, wait_s=60, deadline_s=60))

    configuration = Configuration.example()
    configuration.defaults.queue_tasks_per_slot = 10_000
    configuration.teams["brusadelli"] = TeamPolicy(tasks_per_s=100_000, burst=100_000)
    async with LocalSystem.open(
        agents=3, entries=2, partitions=4, configuration=configuration
    ) as system:
        occupy_all_slots(system)
        async with AsyncExitStack() as stack, anyio.create_task_group() as group:
            # The connection pool of a session is slow with hundreds of open requests.
            sessions = [
                await stack.enter_async_context(system.session("brusadelli"))
                for _ in range(40)
            ]
            wave = [(session, mint_submission_id()) for session in sessions * 25]
            for session, submission_id in wave:
                group.start_soon(submit_job, session, submission_id)
            await wait_until(lambda: jobs_started(system) + len(outcomes) >= len(wave))
            for session, submission_id in wave:
                group.start_soon(cancel, session, submission_id)
        jobs = [job for agent in system.agents for job in agent.board.jobs.values()]
        sent = [
            agent.peers.counters.by_type.get("Cancel", 0) for agent in system.agents
        ]
        assert sum(sent) == sum(len(job.offers) for job in jobs)
        free_all_slots(system)
        await anyio.sleep(0.5)
        assert sum(agent.queue.depth for agent in system.agents) == 0
        assert sum(len(runner.starts) for runner in system.runners) == 0
    assert [result.outcome for result in cancelled] == [Outcome.NOT_RUN] * len(wave)
    assert [type(outcome) for outcome in outcomes] == [Refused] * len(wave)


def jobs_started(system):
    return sum(agent.board.events["jobs_started"] for agent in system.agents)
