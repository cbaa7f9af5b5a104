"""Runs as an agent knows them, and what it orders and reads of its worker."""

from enum import Enum, StrEnum

from msgspec import Struct, field

from marigoldkeel.fleet.work import Resources, RunEnd, RunId


class Phase(Enum):
    """State of a run as known to the agent.

    ``FOUND`` runs already existed when the agent started and have no known owner yet.
    """

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    FOUND = "found"


class StartOutcome(StrEnum):
    """Outcome of an order to start a run.

    ``REFUSED`` and ``UNHEALTHY`` mean that the worker started nothing. ``OUTDATED``
    means that the worker already knows a run of the task with the same or a higher
    number. ``UNREACHABLE`` means that the order was not sent, and ``UNANSWERED`` that
    the worker may have executed it or may still do so.
    """

    STARTED = "started"
    REFUSED = "refused"
    UNHEALTHY = "unhealthy"
    OUTDATED = "outdated"
    UNREACHABLE = "unreachable"
    UNANSWERED = "unanswered"


class Run(Struct):
    """A run that exists or may exist on the worker.

    :ivar demand: None if unknown; no further runs are started in that case.
    :ivar sent_at: When the owner sent the order, on the clock that includes suspension.
    :ivar order_answered_at: When the worker answered the last order for this run; None
        while an order is outstanding.
    :ivar confirmed: Whether a poll has listed the run.
    :ivar progressed_at: When the run started or its progress last changed.
    :ivar reported_at: The ``progressed_at`` that was last reported to the owner.
    :ivar may_have_run: Whether the run may have ended without this agent's knowledge.
    :ivar end_by: When the worker must have ended the run, on the clock that includes
        suspension.
    """

    run_id: RunId
    owner: str
    demand: Resources | None
    phase: Phase
    sent_at: float
    payload: str = ""
    expected_s: float = 0.0
    order_answered_at: float | None = None
    started_at: float | None = None
    confirmed: bool = False
    percent: int = 0
    progressed_at: float = 0.0
    reported_at: float = 0.0
    stop_reason: RunEnd = RunEnd.STOPPED
    may_have_run: bool = False
    end_by: float = float("inf")


class PendingClaim(Struct):
    """An owner's claim of a run before the first poll.

    :ivar may_start: Whether a start order of an earlier agent may still have an effect.
    :ivar stopping: Whether the owner has ordered the run to stop.
    :ivar end_by: As in `Run`.
    """

    owner: str
    demand: Resources
    may_start: bool
    stopping: bool = False
    end_by: float = float("inf")


class RunStatus(Struct):
    """A run that the worker lists as running."""

    run_id: RunId
    percent: int


class RunEndRecord(Struct):
    """The end of a run as listed by the worker; ``number`` increases within a boot."""

    number: int
    run_id: RunId
    end: RunEnd


class WorkerPoll(Struct):
    """The worker's response to one poll."""

    boot: int
    running: list[RunStatus] = field(default_factory=list)
    ended: list[RunEndRecord] = field(default_factory=list)


class StartOrder(Struct):
    """Start a run on the worker."""

    run: Run


class StopOrder(Struct):
    """Stop a run on the worker."""

    run: Run


class CheckBootOrder(Struct):
    """Poll the worker without delay to find out whether it has restarted."""
