"""Feeds damaged documents to each decoder: no error but the expected kind leaves it."""

from contextlib import suppress

import msgspec
import pytest
from hypothesis import given, strategies

from emulator.sites import plan_document, route
from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.fleet.directory import DaemonRecord, WorkerRecord, decode_record
from marigoldkeel.fleet.messages import Announce, Attach, HeldRun, StartRuns
from marigoldkeel.fleet.plans import Queue
from marigoldkeel.messages import Envelope, decode_frame, encode_frame
from marigoldkeel.models import Member
from marigoldkeel.platform.callers import decode_job
from marigoldkeel.platform.plans import decode_plan
from marigoldkeel.platform.workers import parse_end, parse_run


MEMBER = Member("agent-1", "agent-1@1", "10.0.0.1:1", "a")
QUEUE = Queue("q", "h", "/q/", "service", 0, 4, 1.6, 0.06)
FRAME = encode_frame(
    [
        Envelope(0, False, Announce(MEMBER, True, False, 3, 7, [MEMBER])),
        Envelope(0, False, Attach(1, MEMBER, [HeldRun()])),
        Envelope(9, True, StartRuns(2, "00000000000000aa", payload="p")),
    ]
)
RECORD = DaemonRecord(
    "agent-1", "a@1", "10.0.0.1:1", "a", True, WorkerRecord("s", ["r"], 1, 2, 3)
)
JOB = {
    "spec": "p",
    "best_effort": True,
    "steps": [{"count": 2, "cpu": 100}, {"count": 1, "after": [0], "requires": "b"}],
}
DOCUMENTS = {
    "frame": (FRAME, decode_frame),
    "record": (msgspec.json.encode(RECORD), decode_record),
    "plan": (plan_document(4, [route("stock", "/stock/")]), decode_plan),
    "job": (
        msgspec.json.encode(JOB),
        lambda data: decode_job(data, "00000000000000aa", QUEUE, 0.0, 1.0, 1),
    ),
}


def damage(data: bytes, draw) -> bytes:
    """Return a document of which a part was cut, repeated or replaced."""
    start = draw(strategies.integers(0, len(data)))
    end = draw(strategies.integers(start, len(data)))
    part = draw(
        strategies.one_of(
            strategies.just(b""),
            strategies.just(data[start:end] * 2),
            strategies.binary(max_size=16),
            strategies.sampled_from([b"null", b"-1", b"1e400", b'"\\ud800"', b"[[]]"]),
        )
    )
    return data[:start] + part + data[end:]


@pytest.mark.parametrize("kind", DOCUMENTS)
@given(data=strategies.data())
def test_damaged_document_is_refused_or_read(kind, data):
    document, decode = DOCUMENTS[kind]
    try:
        decode(damage(document, data.draw))
    except MarigoldkeelError as error:
        assert error.message


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=20)
    | strategies.sampled_from(["00000000000000aa.0.0.1", "a.b.c.d", "1.2.3"]),
    lambda inner: strategies.lists(inner, max_size=6),
    max_leaves=8,
)


@pytest.mark.parametrize("parse", [parse_run, parse_end])
@given(row=JSON)
def test_row_of_another_type_is_refused_or_read(parse, row):
    # `RunnerClient` skips the rows that raise these errors.
    with suppress(ValueError, TypeError, MarigoldkeelError):
        parse(row)
