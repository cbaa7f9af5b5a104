"""Guards against wrong or unspecific answers of an entry, and lost requests."""

import uuid

import anyio
import httpcore
import msgspec
import pytest

from marigoldkeel.admissions import CallerRequest
from marigoldkeel.demo import LocalSystem
from marigoldkeel.entries import Entry
from marigoldkeel.exceptions import (
    Conflict,
    JobFailed,
    PeerLost,
    PeerUnavailable,
    Refused,
)
from marigoldkeel.heartbeats import PeerState
from marigoldkeel.identifiers import mint_submission_id, wall_clock_ms
from marigoldkeel.messages import Ran, TaskResult
from marigoldkeel.models import Member, Outcome, Priority, TaskState
from marigoldkeel.partitions import PartitionTable
from marigoldkeel.revisions import RevisionRegister
from marigoldkeel.runners import Faults
from marigoldkeel.servers import MAX_BODY_BYTES
from marigoldkeel.settings import Settings, StoreSettings


pytestmark = pytest.mark.anyio
JOB = {
    "Marigoldkeel-Team": "brusadelli",
    "Marigoldkeel-Kind": "cut-list",
    "Marigoldkeel-Tasks": "1",
}
OLD_ID = str(mint_submission_id(now_ms=1_000))
BAD_INPUT = [
    ("/v1/jobs", {"Marigoldkeel-Kind": "unheard-of"}, b"[1]", 400, "unknown kind"),
    ("/v1/jobs", {"Marigoldkeel-Team": "nobody"}, b"[1]", 400, "unknown team"),
    ("/v1/jobs", {"Marigoldkeel-Submission": ""}, b"[1]", 400, "not a UUIDv7"),
    (
        "/v1/jobs",
        {"Marigoldkeel-Submission": str(uuid.UUID(int=7))},
        b"[1]",
        400,
        "not a UUIDv7",
    ),
    ("/v1/jobs", {"Marigoldkeel-Tasks": "0"}, b"[]", 400, "must be 1 to 150"),
    ("/v1/jobs", {"Marigoldkeel-Tasks": "151"}, b"[1]", 400, "must be 1 to 150"),
    ("/v1/jobs", {"Marigoldkeel-Tasks": "2"}, b"[1]", 400, "has 1 tasks"),
    ("/v1/jobs", {"Marigoldkeel-Tasks": "-1"}, b"[1]", 400, "not a number"),
    ("/v1/jobs", {"Marigoldkeel-Deadline-Ms": "0"}, b"[1]", 400, "deadline-ms"),
    ("/v1/jobs", {"Marigoldkeel-Deadline-Ms": "9" * 9}, b"[1]", 400, "deadline-ms"),
    ("/v1/jobs", {}, b"[1", 400, "not JSON"),
    ("/v1/jobs", {}, b'{"a": 1}', 400, "not JSON"),
    ("/v1/jobs", {}, b"\xff\xfe", 400, "not JSON"),
    ("/v1/jobs", {}, b"[" + b"1" * MAX_BODY_BYTES + b"]", 413, "exceeds"),
    ("/v1/calls/quote", {}, b"1,2", 400, "not JSON"),
    ("/v1/calls/stock-check", {}, b"{", 400, "not JSON"),
    ("/v1/calls/unheard-of", {}, b"1", 400, "unknown kind"),
    ("/v2/jobs", {}, b"[1]", 404, "no such resource"),
    # An id whose mint time is outside the window that the partition accepts.
    (
        "/v1/jobs",
        {"Marigoldkeel-Submission": str(mint_submission_id(now_ms=2**47))},
        b"[1]",
        503,
        "in the future",
    ),
]


class EmptyTable(PartitionTable):
    """Ignores the number of partitions and all records."""

    def set_partition_count(self, partition_count):
        pass

    def apply(self, record):
        return False


class EmptyRegister(RevisionRegister):
    """The configuration of a daemon that receives none from the store or a peer."""

    def offer(self, revision, document):
        return False


async def post(system: LocalSystem, path: str, headers: dict, body: bytes):
    merged = {"Marigoldkeel-Submission": str(mint_submission_id()), **JOB, **headers}
    merged["Content-Length"] = str(len(body))
    merged["Host"] = "entry"
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            "POST",
            f"http://{system.entries[0].http_address}{path}",
            headers=list(merged.items()),
            content=body,
        )
    return response.status, msgspec.json.decode(response.content), merged


async def test_bad_input_is_answered_not_run_with_the_reason_and_runs_nothing():
    async with LocalSystem.open(agents=3, entries=1, partitions=4) as system:
        for path, headers, body, status, reason in BAD_INPUT:
            answer = await post(system, path, headers, body)
            assert (answer[0], answer[1]["outcome"]) == (status, "not_run"), answer
            assert reason in answer[1]["error"]
            assert answer[1]["step"]
            assert answer[1]["submission"] == answer[2]["Marigoldkeel-Submission"]
        status, answer, _ = await post(system, "/v1/jobs", {}, b"[1]")
        assert (status, answer["outcome"], len(answer["results"])) == (
            200,
            "complete",
            1,
        )
        assert sum(len(runner.starts) for runner in system.runners) == 1


async def test_bad_input_after_an_unanswered_attempt_is_not_answered_not_run():
    # The attempt itself starts nothing, but the answer is about the submission, and the
    # unanswered attempt may have run.
    async with LocalSystem.open(agents=3, entries=1, partitions=4) as system:
        for path, headers, body, status, reason in BAD_INPUT:
            for unanswered in ("1", "many"):
                repeat = {**headers, "Marigoldkeel-Unanswered": unanswered}
                answer = await post(system, path, repeat, body)
                assert answer[1]["outcome"] == "unknown", (answer, repeat)
                if unanswered == "1":
                    # 503 and 504 are the statuses of "not run" and "unknown".
                    assert answer[0] == {503: 504}.get(status, status)
                    assert reason in answer[1]["error"]


@pytest.mark.parametrize(
    ("method", "path", "size", "status"),
    [
        ("DELETE", "/v1/jobs/ID", MAX_BODY_BYTES + 1, 413),
        ("DELETE", "/v2/jobs/ID", 1, 404),
        ("PUT", "/v1/jobs", 1, 404),
    ],
)
async def test_rejected_cancellation_says_nothing_about_the_submission(
    method, path, size, status
):
    async with LocalSystem.open(agents=3, entries=1, partitions=4) as system:
        async with httpcore.AsyncConnectionPool() as pool:
            submission_id = str(mint_submission_id())
            response = await pool.request(
                method,
                f"http://{system.entries[0].http_address}"
                f"{path.replace('ID', submission_id)}",
                headers={"Host": "entry", **JOB},
                content=b"1" * size,
            )
        outcome = msgspec.json.decode(response.content)["outcome"]
    assert (response.status, outcome) == (status, "unknown")


async def test_resubmission_gets_the_same_answer_and_another_body_is_a_conflict():
    async with LocalSystem.open(agents=3, entries=2, partitions=4) as system:
        submission_id = mint_submission_id()
        answers = []

        async def submit(entry: int, tasks: list) -> None:
            address = system.entries[entry].http_address
            async with system.session("brusadelli") as session:
                session.entries = [address]
                result = await session.submit(
                    "cut-list", tasks, submission_id=submission_id, unanswered=0
                )
                answers.append(result.results)

        async with anyio.create_task_group() as group:
            for entry in (0, 1, 0, 1):
                group.start_soon(submit, entry, [{"work_ms": 20}] * 5)
        assert answers == [answers[0]] * 4
        assert sum(len(runner.starts) for runner in system.runners) == 5
        with pytest.raises(Conflict):
            await submit(0, [{"work_ms": 21}])
        assert sum(len(runner.starts) for runner in system.runners) == 5


async def test_job_outlives_the_entry_connection_and_a_resubmission_is_answered():
    async with LocalSystem.open(agents=3, entries=2, partitions=4) as system:

        async def cut_connections_once_started() -> None:
            while not any(runner.starts for runner in system.runners):
                await anyio.sleep(0.005)
            for entry in system.entries:
                for connection in list(entry.peers.connections.values()):
                    await anyio.aclose_forcefully(connection.stream)

        async with system.session("brusadelli") as session:
            async with anyio.create_task_group() as group:
                group.start_soon(cut_connections_once_started)
                result = await session.submit("cut-list", [{"work_ms": 100}] * 5)
        assert len(result.results) == 5
        assert result.attempts > 1
        assert sum(len(runner.starts) for runner in system.runners) == 5


async def test_quota_refuses_with_retry_after_and_does_not_affect_other_teams():
    async with LocalSystem.open(agents=3, entries=1, partitions=4) as system:
        policy = system.entries[0].board.policy.teams["brusadelli"]
        policy.tasks_per_s, policy.burst = 1.0, 150
        headers = {"Marigoldkeel-Tasks": "150"}
        body = msgspec.json.encode([{"work_ms": 1}] * 150)
        first = await post(system, "/v1/jobs", headers, body)
        second = await post(system, "/v1/jobs", headers, body)
        assert (first[0], second[0], second[1]["outcome"]) == (200, 429, "not_run")
        assert second[1]["retry_after_ms"] > 0
        other = await post(
            system, "/v1/jobs", {**headers, "Marigoldkeel-Team": "gulfline"}, body
        )
        assert other[0] == 200
        assert sum(len(runner.starts) for runner in system.runners) == 300


async def test_failed_task_fails_the_whole_job_and_lists_what_ran():
    async with LocalSystem.open(agents=3, entries=1, partitions=4) as system:
        for runner in system.runners:
            runner.faults = Faults(fail_all=True)
        async with system.session("brusadelli") as session:
            with pytest.raises(JobFailed) as caught:
                await session.submit("cut-list", [1, 2, 3])
        assert caught.value.ran
        starts = [
            (start.submission, start.index)
            for runner in system.runners
            for start in runner.starts
        ]
        assert len(starts) == len(set(starts)) <= 3


async def test_job_that_no_target_can_run_is_refused_at_its_deadline():
    async with LocalSystem.open(agents=3, entries=1, partitions=4) as system:
        for agent in system.agents:
            for info in agent.targets.targets.values():
                info.kinds = ["stock-check"]
        for runner in system.runners:
            runner.kinds = ["stock-check"]
        async with system.session("brusadelli", max_attempts=1) as session:
            with pytest.raises(Refused):
                await session.submit("cut-list", [1], deadline_s=1.0)
        assert not any(runner.starts for runner in system.runners)


async def test_runner_that_fails_all_calls_fast_does_not_attract_calls():
    async with LocalSystem.open(agents=5, entries=1, partitions=4) as system:
        failing_runner = system.runners[0]
        failing_runner.faults = Faults(fail_all=True)
        failed = 0
        async with system.session("brusadelli") as session:
            for _ in range(100):
                try:
                    await session.call("stock-check", {"work_ms": 5})
                except JobFailed:
                    failed += 1
        # Without a bias in either direction, the runner gets one call in five. It is
        # ejected after five failures and gets only a few probes after that.
        assert 1 <= failed <= 10
        assert len(failing_runner.starts) <= 10


async def test_kind_that_fails_on_all_runners_does_not_eject_them():
    async with LocalSystem.open(agents=4, entries=1, partitions=4) as system:
        original = [runner._execute for runner in system.runners]
        for runner, work in zip(system.runners, original, strict=True):

            async def fail_marked(payload, echo, work=work, runner=runner):
                runner.faults.fail_all = payload.get("bad", False)
                return await work(payload, echo)

            runner._execute = fail_marked
        async with system.session("brusadelli") as session:
            for _ in range(40):
                with pytest.raises(JobFailed):
                    await session.call("quote", {"bad": True})
            for _ in range(40):
                await session.call("stock-check", {"work_ms": 1})
        assert all(runner.starts for runner in system.runners)


def forget_configuration(board):
    # This register rejects all revisions. Otherwise the entry could receive one from
    # the store or a peer's heartbeat at any time.
    board.configuration = EmptyRegister()


def forget_partitions(board):
    board.partitions = EmptyTable()


def forget_records(board):
    count = board.partitions.partition_count
    board.partitions = EmptyTable()
    board.partitions.partition_count = count
    board.partitions.count_confirmed = True


@pytest.mark.parametrize(
    "forget", [forget_configuration, forget_partitions, forget_records]
)
async def test_entry_that_has_just_started_does_not_answer_not_run(forget):
    """Guards against a "not run" although another entry may have accepted the id.

    Only a claim can rule that out, so the answer must be "unknown".
    """
    async with LocalSystem.open(agents=3, entries=2, partitions=4) as system:
        submission = {"Marigoldkeel-Submission": str(mint_submission_id())}
        status, answer, _ = await post(system, "/v1/jobs", submission, b"[1]")
        assert (status, answer["outcome"]) == (200, "complete")
        forget(system.entries[0].board)
        status, answer, _ = await post(system, "/v1/jobs", submission, b"[1]")
        assert (status, answer["outcome"]) == (504, "unknown")
        assert answer["retry_after_ms"] > 0


async def test_entry_that_knows_no_agents_yet_admits_concurrent_jobs(monkeypatch):
    """Guards against "overloaded" from an entry that has just started."""
    async with LocalSystem.open(agents=3, entries=1, partitions=4) as system:
        peers = system.entries[0].board.peers
        monkeypatch.setattr(peers, "live_agents", lambda now: [])
        results = []

        async def submit():
            async with system.session("brusadelli", max_attempts=1) as session:
                tasks = [{"work_ms": 50}] * 3
                results.append(await session.submit("cut-list", tasks))

        async with anyio.create_task_group() as group:
            for _ in range(4):
                group.start_soon(submit)
        assert len(results) == 4


@pytest.mark.parametrize(
    ("connecting_s", "status", "started"), [(0.0, 200, 1), (0.6, 503, 0)]
)
async def test_job_is_not_forwarded_after_its_deadline(
    monkeypatch, connecting_s, status, started
):
    """Guards against work that an entry forwards after it was paused or delayed."""
    async with LocalSystem.open(agents=3, entries=1, partitions=4) as system:
        peers = system.entries[0].peers
        connect = peers.connect

        async def connect_late(address):
            await anyio.sleep(connecting_s)
            return await connect(address)

        monkeypatch.setattr(peers, "connect", connect_late)
        headers = {"Marigoldkeel-Deadline-Ms": "500"}
        answer = await post(system, "/v1/jobs", headers, b"[1]")
        assert (answer[0], answer[1]["outcome"] == "not_run") == (status, not started)
        assert sum(len(runner.starts) for runner in system.runners) == started


@pytest.mark.parametrize(("age_s", "outcome"), [(0.0, "not_run"), (60.0, "unknown")])
@pytest.mark.parametrize("path", ["/v1/jobs", "/v1/calls/stock-check"])
async def test_refusal_of_an_id_older_than_the_entry_is_unknown(
    monkeypatch, path, age_s, outcome
):
    """Guards against a "not run" for an id that ran elsewhere during a restart.

    A caller that submits an id through two entries at the same time says to the first
    that it is new, and repeats this while that entry restarts.
    """
    async with LocalSystem.open(agents=3, entries=1, partitions=4) as system:

        async def fail(address):
            raise PeerUnavailable("connect timed out", "connect", address)

        monkeypatch.setattr(system.entries[0].peers, "connect", fail)
        submission_id = mint_submission_id(wall_clock_ms() - round(1000 * age_s))
        headers = {"Marigoldkeel-Submission": str(submission_id)}
        _, answer, _ = await post(system, path, headers, b"[1]")
        assert answer["outcome"] == outcome


class AnsweringAgents:
    """Replies to each read-only call with the next of ``replies``, or raises it."""

    def __init__(self, replies):
        self.replies = list(replies)

    async def request(self, address, run, timeout_s):
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return Ran([TaskResult(0, reply, b"1")])


LOST = PeerLost("connection lost", "request", "a")
UNREACHABLE = PeerUnavailable("connection refused", "connect", "a")


@pytest.mark.parametrize(
    ("replies", "outcome"),
    [
        ([TaskState.NOT_STARTED, UNREACHABLE], Outcome.NOT_RUN),
        ([TaskState.NOT_STARTED, LOST], Outcome.FAILED),
        ([LOST, TaskState.NOT_STARTED], Outcome.FAILED),
        ([LOST, UNREACHABLE], Outcome.FAILED),
        ([TaskState.MAY_HAVE_RUN, TaskState.NOT_STARTED], Outcome.FAILED),
        ([LOST, TaskState.SUCCEEDED], Outcome.COMPLETE),
    ],
)
async def test_retry_that_was_not_started_does_not_hide_a_read_only_call_that_ran(
    replies, outcome
):
    """Guards against a "not run" for a call whose first agent may have run it."""
    settings = Settings(
        name="e", domain="x", listen="", http="", store=StoreSettings("")
    )
    entry = Entry.from_settings(settings)
    entry.peers = AnsweringAgents(replies)
    for name in "ab":
        state = PeerState(Member(name, f"{name}@1", name), 0.0, 4, kinds=["quote"])
        entry.board.peers.observe(state, entry.board.clock())
    call = CallerRequest()
    call.submission_id, call.kind, call.body = mint_submission_id().bytes, "quote", b""
    call.priority, call.deadline_s, call.possible_attempts = Priority.NORMAL, 10.0, 0
    answer = await entry._run_read_only(call)
    assert not entry.peers.replies
    assert answer.outcome is outcome
    assert answer.may_have_run == ([0] if outcome is Outcome.FAILED else [])


async def test_refusal_of_an_id_minted_while_the_entry_started_is_unknown(monkeypatch):
    """Guards against a "not run" for an id that ran elsewhere during a restart.

    The process runs for a while before it accepts connections.
    """
    async with LocalSystem.open(agents=3, entries=1, partitions=4) as system:
        start = Entry._start
        minted = []

        async def start_late(entry, group):
            minted.append(mint_submission_id(wall_clock_ms() + 1))
            await anyio.sleep(0.1)
            await start(entry, group)

        monkeypatch.setattr(Entry, "_start", start_late)
        late = await system.start_entry("entry-late", "x")
        with anyio.fail_after(10):
            while not late.board.partitions.count_confirmed:
                await anyio.sleep(0.01)

        async def fail(address):
            raise PeerUnavailable("connect timed out", "connect", address)

        monkeypatch.setattr(late.peers, "connect", fail)
        system.entries[0] = late
        headers = {"Marigoldkeel-Submission": str(minted[0])}
        _, answer, _ = await post(system, "/v1/jobs", headers, b"[1]")
        assert answer["outcome"] == "unknown", answer
