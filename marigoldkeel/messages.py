"""Typed messages between processes, and their Cap'n Proto codec.

Each message class is registered for one member of the union ``Message`` in the schema.
Messages are plain slotted objects; the codec copies their fields to and from Cap'n
Proto.
"""

import functools
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

import capnp
from msgspec import Struct, field

from marigoldkeel.exceptions import ProtocolError
from marigoldkeel.models import Answer, Member


MAX_FRAME_BYTES = 16 * 1024 * 1024
WORD_BYTES = 8
# Bounds the work that a small frame with overlapping pointers can cause in the reader.
TRAVERSAL_LIMIT_WORDS = 2 * MAX_FRAME_BYTES // WORD_BYTES
# Senders batch at most 500 messages. Each becomes objects that are larger than it.
MAX_RECEIVED_MESSAGES = 10_000

message_types: dict[str, type] = {}
_union_fields: dict[type, str] = {}


def message(union_name: str) -> Callable[[type], type]:
    """Register a class as the message type of a member of the schema's union.

    Usage::

        @message("claim")
        class Claim(Struct): ...
    """

    def register(cls: type) -> type:
        message_types[union_name] = cls
        _union_fields[cls] = union_name
        return cls

    return register


@message("error")
class Error(Struct):
    """Reply to a request that failed; ``code`` is the name of the exception class."""

    code: str = ""
    message: str = ""
    step: str = ""
    peer: str = ""


@message("submit")
class Submit(Struct):
    """Asks a primary to run a submission; the reply is an `Answer`."""

    partition: int = 0
    generation: int = 0
    submission_id: bytes = b""
    team: str = ""
    kind: str = ""
    priority: int = 0
    deadline_ms: int = 0
    unanswered: int = 0
    tasks: int = 0
    body: bytes = b""


message("answer")(Answer)


@message("claim")
class Claim(Struct):
    """Asks the standby to record a claim before any task of the submission starts."""

    partition: int = 0
    generation: int = 0
    submission_id: bytes = b""
    digest: bytes = b""


@message("claimed")
class Claimed(Struct):
    """Reply to `Claim`; ``verdict`` is a `claims.Verdict` value."""

    verdict: int = 0
    generation: int = 0


@message("probe")
class Probe(Struct):
    """Offers an agent ``count`` tasks of a job, which it can request with `Take`."""

    partition: int = 0
    generation: int = 0
    submission_id: bytes = b""
    kind: str = ""
    priority: int = 0
    deadline_ms: int = 0
    count: int = 0
    address: str = ""


class TaskResult(Struct):
    """The result of one task; ``state`` is a `models.TaskState` value.

    ``run_ms`` is the run time at the target, without queueing.
    """

    index: int = 0
    state: int = 0
    payload: bytes = b""
    message: str = ""
    run_ms: int = 0


@message("take")
class Take(Struct):
    """Returns results of a job and requests up to ``want`` more of its tasks.

    The reply is a `Grant`. A repeated message with the same ``sequence`` gets the same
    grant.
    """

    submission_id: bytes = b""
    incarnation: str = ""
    sequence: int = 0
    want: int = 0
    results: list[TaskResult] = field(default_factory=list)


class TaskItem(Struct):
    """One task that is assigned to an agent."""

    index: int = 0
    payload: bytes = b""


@message("grant")
class Grant(Struct):
    """Tasks granted by a primary; ``left`` counts the tasks not granted yet."""

    partition: int = 0
    generation: int = 0
    tasks: list[TaskItem] = field(default_factory=list)
    left: int = 0


@message("run")
class Run(Struct):
    """Pushes tasks to an agent, which replies with `Ran` when all have ended.

    Generation 0 marks a read-only call, which needs no claim. ``incarnation`` is that
    of the agent that is to run the tasks, or empty for whichever has the address.
    """

    partition: int = 0
    generation: int = 0
    submission_id: bytes = b""
    kind: str = ""
    priority: int = 0
    deadline_ms: int = 0
    tasks: list[TaskItem] = field(default_factory=list)
    incarnation: str = ""


@message("ran")
class Ran(Struct):
    """Reply to `Run` with one result per task."""

    results: list[TaskResult] = field(default_factory=list)


class ClaimEntry(Struct):
    """A claim in a state transfer."""

    submission_id: bytes = b""
    digest: bytes = b""
    state: int = 0


@message("transfer")
class Transfer(Struct):
    """Sends part of a partition's state to its new standby.

    ``record`` is the partition record as encoded in the store.
    """

    transfer_id: str = ""
    partition: int = 0
    generation: int = 0
    incarnation: str = ""
    low_water_ms: int = 0
    sequence: int = 0
    claims: list[ClaimEntry] = field(default_factory=list)
    last: bool = False
    record: bytes = b""


@message("transferred")
class Transferred(Struct):
    """Reply to `Transfer`: whether the new standby accepted this part of the state."""

    accepted: bool = False
    generation: int = 0


@message("heartbeat")
class Heartbeat(Struct):
    """Informs a peer that the sender is alive, and of the sender's state.

    ``load`` is queued and running work divided by slots. ``wants_members`` asks the
    receiver for the members that it knows.
    """

    member: Member = field(default_factory=Member)
    load: float = 0.0
    slots: int = 0
    config_revision: int = 0
    table_version: int = 0
    leaving: bool = False
    kinds: list[str] = field(default_factory=list)
    is_agent: bool = False
    wants_members: bool = False


@message("heartbeatReply")
class HeartbeatReply(Struct):
    """Reply to `Heartbeat`: the receiver's state and the members that it knows.

    ``interval_ms`` is the time until the next heartbeat is due.
    """

    member: Member = field(default_factory=Member)
    load: float = 0.0
    slots: int = 0
    config_revision: int = 0
    table_version: int = 0
    leaving: bool = False
    kinds: list[str] = field(default_factory=list)
    is_agent: bool = False
    interval_ms: int = 0
    members: list[Member] = field(default_factory=list)


@message("pull")
class Pull(Struct):
    """Requests the ``"config"`` or ``"table"`` if newer than revision ``above``."""

    what: str = ""
    above: int = 0


@message("pulled")
class Pulled(Struct):
    """Reply to `Pull`: all changes from ``above`` (exclusive) up to ``version``."""

    above: int = 0
    version: int = 0
    document: bytes = b""


@message("cancel")
class Cancel(Struct):
    """Instructs an agent to discard the tasks of a job that have not started."""

    submission_id: bytes = b""


@message("cancelJob")
class CancelJob(Struct):
    """Asks a primary to cancel a submission; the reply is an `Answer`.

    Tasks that have not ended within ``wait_ms`` are reported as "may have run".
    """

    partition: int = 0
    generation: int = 0
    submission_id: bytes = b""
    team: str = ""
    unanswered: int = 0
    wait_ms: int = 0


@message("done")
class Done(Struct):
    """An empty reply."""


@message("inspect")
class Inspect(Struct):
    """Requests the status report of a daemon; the reply is a `Report`."""


@message("report")
class Report(Struct):
    """A status report as a JSON document."""

    document: bytes = b""


@message("move")
class Move(Struct):
    """Asks the other member of a partition to replace the sender, which will stop."""

    partition: int = 0
    generation: int = 0
    standby: Member = field(default_factory=Member)


@functools.cache
def _schema() -> Any:
    return capnp.load(str(Path(__file__).with_name("messages.capnp")))


def _camel_case(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.title() for part in rest)


@functools.cache
def _field_layout(cls: type) -> list[tuple[str, str, type | None, bool]]:
    """Return (attribute, schema field, nested type, is a list) for each field.

    The nested type is the class of a nested message or enumeration, otherwise None.
    """
    hints = get_type_hints(cls)
    layout = []
    for attribute in cls.__struct_fields__:
        hint = hints[attribute]
        is_list = get_origin(hint) is list
        inner = get_args(hint)[0] if is_list else hint
        needs_conversion = issubclass(inner, Struct | Enum)
        nested = inner if needs_conversion else None
        layout.append((attribute, _camel_case(attribute), nested, is_list))
    return layout


def _write_fields(builder: Any, value: Any) -> None:
    for attribute, name, nested_type, is_list in _field_layout(type(value)):
        content = getattr(value, attribute)
        if isinstance(content, Enum):
            setattr(builder, name, content.value)
        elif nested_type is None:
            setattr(builder, name, content)
        elif not is_list:
            _write_fields(builder.init(name), content)
        elif content:
            items = builder.init(name, len(content))
            for position, item in enumerate(content):
                _write_fields(items[position], item)


def _read_fields(reader: Any, cls: type) -> Any:
    values = {}
    for attribute, name, nested_type, is_list in _field_layout(cls):
        content = getattr(reader, name)
        if nested_type is None:
            values[attribute] = list(content) if is_list else content
        elif issubclass(nested_type, Enum):
            values[attribute] = nested_type(content)
        elif is_list:
            values[attribute] = [_read_fields(item, nested_type) for item in content]
        else:
            values[attribute] = _read_fields(content, nested_type)
    return cls(**values)


class Envelope(Struct):
    """A message with the id that matches a reply to its request.

    ``request_id`` is 0 for a message that is not answered.
    """

    request_id: int
    is_reply: bool
    content: Any


def encode_frame(envelopes: list[Envelope]) -> bytes:
    """Encode a frame, without its length prefix.

    :raises ProtocolError: If the frame would exceed ``MAX_FRAME_BYTES``.
    """
    frame = _schema().Frame.new_message()
    items = frame.init("messages", len(envelopes))
    for position, envelope in enumerate(envelopes):
        item = items[position]
        item.requestId = envelope.request_id
        item.reply = envelope.is_reply
        _write_fields(
            item.init(_union_fields[type(envelope.content)]), envelope.content
        )
    data = frame.to_bytes()
    if len(data) > MAX_FRAME_BYTES:
        raise ProtocolError(
            f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES} bytes", step="encode"
        )
    return data


def decode_frame(data: bytes, peer: str = "") -> list[Envelope]:
    """Decode the messages of a frame.

    :raises ProtocolError: If the bytes are not a frame that this version can read.
    """
    try:
        with _schema().Frame.from_bytes(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as frame:
            if len(frame.messages) > MAX_RECEIVED_MESSAGES:
                raise ProtocolError("too many messages in a frame", step="decode")
            return [_decode_message(item) for item in frame.messages]
    except ProtocolError as error:
        error.peer = peer
        raise
    except Exception as error:
        raise ProtocolError(
            f"malformed frame: {error}", step="decode", peer=peer
        ) from error


def _decode_message(item: Any) -> Envelope:
    name = str(item.which())
    cls = message_types.get(name)
    if cls is None:
        raise ProtocolError(f"unknown message {name!r}", step="decode")
    return Envelope(item.requestId, item.reply, _read_fields(getattr(item, name), cls))
