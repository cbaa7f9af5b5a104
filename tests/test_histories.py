"""Guards against violations that the history checker, used by other tests, misses."""

import pytest

from tests.histories import Answered, Sent, Start, check_history


EXPECTED = {"a": [b"a0", b"a1"], "b": [b"b0", b"b1"]}
RAN = [Sent("a", 1), Start("a", 0, "x"), Start("a", 1, "y")]


@pytest.mark.parametrize(
    "events",
    [
        pytest.param([], id="empty"),
        pytest.param([*RAN, Answered("a", 1, "complete", [b"a0", b"a1"])], id="whole"),
        pytest.param([*RAN, Answered("a", 1, "failed")], id="failed after starts"),
        pytest.param(
            [Sent("a", 1), Start("a", 0, "x"), Sent("b", 1), Start("b", 0, "x")],
            id="same task of two submissions",
        ),
        pytest.param(
            [Sent("a", 1), Answered("a", 1, "not_run")], id="not run, no start"
        ),
        pytest.param(
            [*RAN, Sent("a", 2), Answered("a", 2, "not_run", unanswered=1)],
            id="not run that must not be acted on",
        ),
        pytest.param(
            [Sent("a", 1), Answered("a", 1, "not_run"), Sent("a", 2), Start("a", 0)],
            id="a newer attempt starts after not run",
        ),
        pytest.param(
            [Sent("a", 1), Answered("a", 1, "not_run"), Sent("b", 1), Start("b", 0)],
            id="another submission starts after not run",
        ),
        pytest.param(
            [*RAN, Sent("a", 2)]
            + [Answered("a", n, "complete", [b"a0", b"a1"]) for n in (2, 1)],
            id="both attempts get the same answer, out of order",
        ),
    ],
)
def test_correct_histories_have_no_violations(events):
    assert check_history(events, EXPECTED) == []


@pytest.mark.parametrize(
    ("events", "violations"),
    [
        pytest.param(
            [*RAN, Start("a", 1, "x")],
            ["a: task 1 started twice, at y and at x"],
            id="started twice",
        ),
        pytest.param(
            [*RAN, Sent("a", 2), Start("a", 0, "x")],
            ["a: task 0 started twice, at x and at x"],
            id="started twice at one place by two attempts",
        ),
        pytest.param(
            [*RAN, Answered("a", 1, "failed"), Start("a", 0, "z")],
            ["a: task 0 started twice, at x and at z"],
            id="started again after the answer",
        ),
        pytest.param(
            [*RAN, Answered("a", 1, "complete", [b"a0"])],
            ["a: answer to attempt 1 is wrong: [b'a0'], expected [b'a0', b'a1']"],
            id="incomplete answer",
        ),
        pytest.param(
            [*RAN, Answered("a", 1, "complete", [b"a1", b"a0"])],
            [
                "a: answer to attempt 1 is wrong: [b'a1', b'a0'], "
                "expected [b'a0', b'a1']"
            ],
            id="results in the wrong order",
        ),
        pytest.param(
            [*RAN, Answered("a", 1, "complete", [b"b0", b"b1"])],
            ["a: answer to attempt 1 is that of b, expected [b'a0', b'a1']"],
            id="answer of another submission",
        ),
        pytest.param(
            [*RAN, Answered("a", 1, "failed", [b"a0"])],
            ["a: answer to attempt 1 is failed but has results"],
            id="partial results of a failed job",
        ),
        pytest.param(
            [*RAN, Answered("a", 1, "partial")],
            ["a: answer to attempt 1 has unknown outcome 'partial'"],
            id="outcome outside the closed set",
        ),
        pytest.param(
            [*RAN, Answered("a", 2, "failed")],
            ["a: answer to attempt 2, which was never sent"],
            id="answer without a request",
        ),
        pytest.param(
            [*RAN, Answered("a", 1, "failed"), Answered("a", 1, "failed")],
            ["a: second answer to attempt 1"],
            id="two answers to one attempt",
        ),
        pytest.param(
            [Start("a", 0, "x")],
            ["a: task 0 started but was never sent"],
            id="start without a request",
        ),
        pytest.param(
            [*RAN[:2], Answered("a", 1, "complete", [b"a0", b"a1"])],
            ["a: answer to attempt 1 is complete, but task 1 never started"],
            id="complete without a recorded start",
        ),
        pytest.param(
            [*RAN[:2], Answered("a", 1, "not_run")],
            ['a: answer to attempt 1 is "not run", but task 0 started'],
            id="not run after a start of the same attempt",
        ),
        pytest.param(
            [*RAN[:2], Sent("a", 2), Answered("a", 2, "not_run")],
            ['a: answer to attempt 2 is "not run", but task 0 started'],
            id="not run after a start of an earlier attempt",
        ),
        pytest.param(
            [Sent("a", 1), Answered("a", 1, "not_run"), Start("a", 0, "x")],
            ['a: task 0 started after "not run"'],
            id="late start after not run",
        ),
        pytest.param(
            [Sent("a", 1), Sent("a", 2), Answered("a", 2, "not_run"), Start("a", 0)],
            ['a: task 0 started after "not run"'],
            id="late start of an attempt sent before the answer",
        ),
        pytest.param(
            [Sent("a", 1), Answered("a", 1, "not_run"), Sent("b", 1), Start("a", 0)],
            ['a: task 0 started after "not run"'],
            id="an attempt of another submission excuses no start",
        ),
    ],
)
def test_each_violation_is_reported(events, violations):
    assert check_history(events, EXPECTED) == violations
