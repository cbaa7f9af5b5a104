"""Guards against tasks granted twice or after the answer of their job."""

import pytest

from marigoldkeel.jobs import MAX_PLACEMENTS, Job
from marigoldkeel.messages import Grant, TaskResult
from marigoldkeel.models import Outcome, Priority, Submission, TaskState


HOLDER = "h@1"


def make_job(count=2):
    payloads = [b"%d" % index for index in range(count)]
    submission = Submission(
        b"i" * 16, 0, 1, "team", "kind", Priority.NORMAL, 9.0, payloads
    )
    return Job(submission, b"digest", 0.0)


def test_repeated_request_gets_the_same_grant():
    """Guards against tasks lost or granted twice if a grant does not arrive."""
    job = make_job()
    assert job.take(HOLDER, 1, 1) == job.take(HOLDER, 1, 1) == [0]
    assert job.take(HOLDER, 2, 5) == [1]
    assert job.take("other@1", 1, 5) == []


@pytest.mark.parametrize("sequence", [1, 2])
def test_nothing_is_granted_after_the_answer(sequence):
    """Guards against a start after the answer, and against an error instead of a reply.

    Sequence number 1 repeats a request whose grant did not arrive.
    """
    job = make_job()
    job.take(HOLDER, 1, 1)
    job.fail("the deadline passed", 1.0)
    assert job.answer.outcome is Outcome.FAILED
    assert job.make_grant(job.take(HOLDER, sequence, 1)) == Grant(0, 1, [], 0)


@pytest.mark.parametrize(
    ("state", "holder", "outcome"),
    [
        pytest.param(
            TaskState.NOT_STARTED, HOLDER, Outcome.NOT_RUN, id="provably not started"
        ),
        pytest.param(
            TaskState.NOT_STARTED, "x@1", Outcome.FAILED, id="task of another holder"
        ),
        pytest.param(TaskState.MAY_HAVE_RUN, HOLDER, Outcome.FAILED, id="may have run"),
        pytest.param(TaskState.FAILED, HOLDER, Outcome.FAILED, id="failed"),
    ],
)
def test_not_run_only_when_no_task_can_have_started(state, holder, outcome):
    """Guards against "not run" for a job with a task that may have started."""
    job = make_job()
    for sequence in range(MAX_PLACEMENTS):
        granted = job.take(HOLDER, sequence, 1)
        job.record([TaskResult(index, state) for index in granted], holder, 0.0)
    job.fail("the deadline passed", 1.0)
    assert job.answer.outcome is outcome


def test_results_of_a_repeated_request_count_once():
    """Guards against a second start when the reply to a request is lost.

    The first copy of the request returns the task and is granted it again. If the
    second copy returned it as well, another agent would be granted a task that the
    holder is running.
    """
    job = make_job(1)
    job.take(HOLDER, 1, 1)
    results = [TaskResult(0, TaskState.NOT_STARTED)]
    for _ in range(2):
        job.record(results, HOLDER, 0.0, sequence=2)
        assert job.take(HOLDER, 2, 1) == [0]
    assert job.take("other@1", 1, 1) == []
