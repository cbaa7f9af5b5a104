"""Data types shared by several modules."""

from enum import IntEnum, StrEnum

from msgspec import Struct, field

from marigoldkeel.exceptions import ProtocolError


class Outcome(StrEnum):
    """The outcome of a job or call as reported to the caller; a closed set."""

    COMPLETE = "complete"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class TaskState(IntEnum):
    """The state of a task, as far as it is known."""

    PENDING = 0
    GRANTED = 1
    SUCCEEDED = 2
    FAILED = 3
    NOT_STARTED = 4
    MAY_HAVE_RUN = 5


class Priority(IntEnum):
    """Classes of work; lower values are started first and refused last."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2

    @classmethod
    def parse(cls, number: int) -> "Priority":
        """Return the priority in a message.

        :raises ProtocolError: If there is none with this number.
        """
        if number not in cls._value2member_map_:
            raise ProtocolError(f"unknown priority {number}", step="parse priority")
        return cls(number)


class Member(Struct, frozen=True):
    """One start of a daemon process.

    ``incarnation`` differs between two starts of the daemon ``name``.
    """

    name: str = ""
    incarnation: str = ""
    address: str = ""
    domain: str = ""


class PartitionRecord(Struct, frozen=True):
    """The members of a partition in one generation.

    ``revision`` is the store revision of the record and not part of its stored value.
    ``low_water_ms`` is the mint time below which ids are refused. ``reopened`` marks a
    generation whose members are both new and hold no claims.
    """

    partition: int
    generation: int
    primary: Member
    standby: Member
    low_water_ms: int = 0
    revision: int = 0
    reopened: bool = False


class Submission(Struct):
    """A job or call as received by its primary. Times are in seconds."""

    submission_id: bytes
    partition: int
    generation: int
    team: str
    kind: str
    priority: Priority
    deadline: float
    payloads: list[bytes]


class Answer(Struct):
    """The answer to one attempt of a submission.

    ``body`` is a JSON array of results if the outcome is complete. ``ran`` and
    ``may_have_run`` are task indexes of a failed job. ``run_ms`` is the longest run
    time of a task, by which queueing time is distinguished from run time.
    """

    outcome: Outcome
    body: bytes = b""
    message: str = ""
    step: str = ""
    peer: str = ""
    retry_after_ms: int = 0
    conflict: bool = False
    invalid: bool = False
    ran: list[int] = field(default_factory=list)
    may_have_run: list[int] = field(default_factory=list)
    run_ms: int = 0
