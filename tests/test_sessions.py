"""Guards against client sessions that run work twice or report a wrong outcome."""

import uuid

import anyio
import pytest
from hypothesis import given, strategies as st

import marigoldkeel
from marigoldkeel import (
    AsyncSession,
    Conflict,
    InvalidInput,
    JobFailed,
    OutcomeUnknown,
    Refused,
    Session,
)
from marigoldkeel.attempts import (
    UNCONFIGURED_STEP,
    Attempt,
    AttemptPlan,
    EntryAnswer,
    NoAnswer,
    NotSent,
    parse_answer,
)
from marigoldkeel.identifiers import mint_submission_id
from marigoldkeel.models import Outcome
from marigoldkeel.servers import HttpApplication, Response, serve_http


REPLIES = {
    "unconnected": NotSent("connection refused"),
    "lost": NoAnswer("connection lost"),
    "short": EntryAnswer(Outcome.COMPLETE, []),
    "complete": EntryAnswer(Outcome.COMPLETE, ["r"]),
    "failed": EntryAnswer(Outcome.FAILED, ran=[0], may_have_run=[1]),
    "not_run": EntryAnswer(Outcome.NOT_RUN),
    "later": EntryAnswer(Outcome.NOT_RUN, retry_after_s=3.0),
    "much_later": EntryAnswer(Outcome.NOT_RUN, retry_after_s=60.0),
    "unknown": EntryAnswer(Outcome.UNKNOWN),
    "unconfigured": EntryAnswer(Outcome.UNKNOWN, step=UNCONFIGURED_STEP),
    "conflict": EntryAnswer(Outcome.NOT_RUN, conflict=True),
    "invalid": EntryAnswer(Outcome.NOT_RUN, invalid=True),
    "rejected": EntryAnswer(Outcome.UNKNOWN, invalid=True),
}
UNANSWERED = ("lost", "short", "unknown", "unconfigured")
CALLER_ID = mint_submission_id()


@pytest.fixture
def anyio_backend():
    return "asyncio"


def run_script(script, reply_time_s=0.1, **options):
    """Return the attempts as (entry, index of the id, unanswered) and the last step.

    :param script: Keys of REPLIES, one for each attempt.
    :param reply_time_s: Seconds until each reply arrives.
    """
    plan = AttemptPlan(["a", "b"], deadline=10.0, uniform=lambda: 0.0, **options)
    now, ids, attempts = 0.0, [], []
    step = plan.start(now)
    for name in script:
        if not isinstance(step, Attempt):
            break
        now += step.delay_s + reply_time_s
        if step.submission_id not in ids:
            ids.append(step.submission_id)
        attempts.append((step.entry, ids.index(step.submission_id), step.unanswered))
        step = plan.record(REPLIES[name], now)
    return attempts, step


@pytest.mark.parametrize(
    ("script", "options", "attempts", "end"),
    [
        ("complete", {}, "a00", "r"),
        ("unconnected complete", {}, "a00 b00", "r"),
        ("unconnected unconnected not_run complete", {}, "a00 b00 a00 b10", "r"),
        ("lost complete", {}, "a00 b01", "r"),
        ("short complete", {}, "a00 b01", "r"),
        ("unknown not_run later complete", {}, "a00 a01 a01 a01", "r"),
        ("lost unconnected not_run complete", {}, "a00 b01 a01 a01", "r"),
        ("not_run lost complete", {}, "a00 b10 a11", "r"),
        ("later complete", {}, "a00 b10", "r"),
        ("much_later", {}, "a00", Refused),
        ("not_run not_run", {"max_attempts": 2}, "a00 b10", Refused),
        ("not_run", {"submission_id": CALLER_ID}, "a00", Refused),
        ("invalid", {}, "a00", InvalidInput),
        ("lost invalid", {}, "a00 b01", OutcomeUnknown),
        ("lost rejected", {}, "a00 b01", OutcomeUnknown),
        ("unconfigured complete", {}, "a00 b01", "r"),
        ("lost conflict", {}, "a00 b01", Conflict),
        ("lost failed", {}, "a00 b01", JobFailed),
        ("lost not_run", {"reply_time_s": 6}, "a00 b01", OutcomeUnknown),
        ("unknown unknown", {"reply_time_s": 6}, "a00 a01", OutcomeUnknown),
        ("unconnected unconnected", {"reply_time_s": 6}, "a00 b00", Refused),
        (
            "not_run",
            {"submission_id": CALLER_ID, "unanswered": 1, "reply_time_s": 11},
            "a01",
            OutcomeUnknown,
        ),
    ],
)
def test_next_attempt_follows_from_each_reply(script, options, attempts, end):
    """Each attempt is written as entry, index of its id and unanswered attempts."""
    actual_attempts, step = run_script(script.split(), **options)
    assert [f"{entry}{number}{count}" for entry, number, count in actual_attempts] == (
        attempts.split()
    )
    if isinstance(end, str):
        assert step.answer.results == [end]
    else:
        assert type(step.error) is end
    if end is JobFailed:
        assert (step.error.ran, step.error.may_have_run) == ([0], [1])


@given(
    st.lists(st.sampled_from(sorted(REPLIES)), max_size=40),
    st.sampled_from([0.0, 0.01, 0.5]),
)
def test_no_fresh_id_and_no_refusal_while_an_attempt_is_unanswered(
    script, reply_time_s
):
    """A new id for work that may still run would run it a second time."""
    attempts, step = run_script(script, reply_time_s)
    open_attempts = dict.fromkeys((number for _, number, _ in attempts), 0)
    for name, (_, number, unanswered) in zip(script, attempts, strict=False):
        assert unanswered == open_attempts[number]
        assert not any(open_attempts[earlier] for earlier in range(number))
        open_attempts[number] += name in UNANSWERED
    if isinstance(getattr(step, "error", None), (Refused, InvalidInput)):
        assert isinstance(step.error, Conflict) or not any(open_attempts.values())


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (503, b"<html>no healthy upstream</html>"),
        (503, b'{"error":"busy","step":"http","peer":""}'),
        (503, b'{"submission":"%s","outcome":"not_run"}' % str(uuid.uuid4()).encode()),
        (200, b'{"submission":"%s","outcome":"not_run"}' % str(CALLER_ID).encode()),
        (200, b'{"submission":"%s","outcome":"complete"}' % str(CALLER_ID).encode()),
        (404, b'{"submission":"%s","outcome":"not_run"}' % str(CALLER_ID).encode()),
    ],
)
def test_response_that_does_not_answer_this_id_is_no_answer(status, body):
    """If an error page counted as "not run", the work could start a second time."""
    assert isinstance(parse_answer(status, [], body, CALLER_ID), NoAnswer)


class ScriptedEntry:
    """An entry that answers as scripted and records the requests."""

    def __init__(self, script):
        self.script = list(script)
        self.requests = []
        self.application = HttpApplication()
        self.application.route("POST", "/v1/jobs")(self.answer)
        self.application.route("POST", "/v1/calls/{kind}")(self.answer)

    async def answer(self, request):
        self.requests.append(request)
        action = self.script.pop(0)
        content = {"submission": request.headers["marigoldkeel-submission"]}
        if action == "hang":
            await anyio.sleep_forever()
        if action == "other_id":
            content["submission"] = str(mint_submission_id())
        if action == "not_run":
            content |= {"outcome": "not_run", "error": "busy"}
            return Response.from_json(content, 503, retry_after="0.01")
        content |= {"outcome": "complete", "results": [1]}
        response = Response.from_json(content)
        if action == "truncated":
            response.headers["content-length"] = str(len(response.body))
            response.chunks, response.body = self.stream_prefix(response.body), b""
        return response

    async def stream_prefix(self, body):
        yield body[:5]


async def call_session(session_type, entries, method, *arguments, **options):
    if session_type is AsyncSession:
        async with AsyncSession(entries, "shop", token="t") as session:
            return await getattr(session, method)(*arguments, **options)

    def run_in_thread():
        with Session(entries, "shop", token="t") as session:
            return getattr(session, method)(*arguments, **options)

    return await anyio.to_thread.run_sync(run_in_thread)


@pytest.mark.anyio
@pytest.mark.parametrize("session_type", [Session, AsyncSession])
async def test_both_session_types_retry_over_http(session_type):
    entry = ScriptedEntry(
        ["not_run", "truncated", "other_id", "good", "good", "hang", "good"]
    )
    async with anyio.create_task_group() as group:
        address = await group.start(serve_http, entry.application, "127.0.0.1", 0)
        entries = ["127.0.0.1:9", address]
        job = await call_session(
            session_type, entries, "submit", "cut-list", [{"n": 1}]
        )
        assert (job.results, job.attempts) == ([1], 4)
        headers = [request.headers for request in entry.requests]
        ids = [item["marigoldkeel-submission"] for item in headers]
        assert ids[0] != ids[1] and ids[1:] == [job.submission_id] * 3
        counts = [item["marigoldkeel-unanswered"] for item in headers]
        assert counts == ["0", "0", "1", "2"]
        assert headers[3]["marigoldkeel-tasks"] == "1"
        assert headers[3]["authorization"] == "Bearer t"
        assert entry.requests[3].body == b'[{"n":1}]'
        quoted = await call_session(session_type, entries, "call", "quote", 7)
        assert (quoted.result, entry.requests[4].body) == (1, b"7")
        with pytest.raises(OutcomeUnknown) as caught:
            await call_session(
                session_type, address, "call", "quote", 7, deadline_s=0.3
            )
        known = {"submission_id": caught.value.submission_id}
        again = await call_session(session_type, address, "call", "quote", 7, **known)
        assert again.submission_id == caught.value.submission_id
        assert entry.requests[-1].headers["marigoldkeel-unanswered"] == "1"
        group.cancel_scope.cancel()


@pytest.mark.parametrize(
    "options",
    [
        {"kind": "a\nb"},
        {"tasks": []},
        {"tasks": [object()]},
        {"entries": []},
        {"entries": ["http://127.0.0.1:9"]},
        {"team": "é"},
        {"deadline_s": 0},
        {"submission_id": str(uuid.uuid4())},
    ],
)
def test_invalid_input_is_rejected_before_anything_is_sent(options):
    good = {"kind": "q", "tasks": [1], "entries": ["127.0.0.1:9"], "team": "shop"}
    with pytest.raises(InvalidInput):
        marigoldkeel.submit(**{**good, **options})
