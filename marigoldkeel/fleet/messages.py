"""Messages between the owner of repeatable jobs and the agents of workers.

The owner numbers what it sends to an agent, and the agent's `WorkerState` names the
highest number it has seen, so that the owner knows which of its orders a state
takes into account and when the agent last heard from it.
"""

from dataclasses import dataclass, field
from enum import IntEnum

from marigoldkeel.fleet.work import NO_RESOURCES, Resources, RunEnd, RunId, TaskId
from marigoldkeel.messages import message
from marigoldkeel.models import Member


NO_RUN = RunId(TaskId("", 0, 0, 0), 0)


@message("announce")
@dataclass(slots=True)
class Announce:
    """Makes the sender known to an entry.

    :ivar digest: Stands for the set of agents that the sender knows.
    :ivar known: These agents, for an entry with another set.
    """

    member: Member = field(default_factory=Member)
    is_agent: bool = False
    leaving: bool = False
    plan_version: int = 0
    digest: int = 0
    known: list[Member] = field(default_factory=list)


@message("workerFacts")
@dataclass(slots=True)
class WorkerFacts:
    """What a worker says of itself; sent to each owner when it changes.

    :ivar boot: Identifies one start of the worker; higher is later.
    :ivar leaves_in_ms: While it is leaving, the least time that is left.
    """

    worker: str = ""
    boot: int = 0
    service: str = ""
    domain: str = ""
    labels: list[str] = field(default_factory=list)
    capacity: Resources = NO_RESOURCES
    leaving: bool = False
    leaves_in_ms: int = 0


@dataclass(slots=True)
class HeldRun:
    """A run that its owner believes to be at the agent's worker."""

    run: RunId = NO_RUN
    demand: Resources = NO_RESOURCES


@message("attach")
@dataclass(slots=True)
class Attach:
    """Opens a link: who the owner is, and the runs that it has at this worker.

    ``facts`` are the last ones known of the worker. They let an agent that was
    restarted use the worker before the worker's next report.
    """

    sequence: int = 0
    owner: Member = field(default_factory=Member)
    held: list[HeldRun] = field(default_factory=list)
    facts: WorkerFacts = field(default_factory=WorkerFacts)


@dataclass(slots=True)
class RunNumber:
    """One run of a task of the step in `StartRuns`."""

    index: int = 0
    number: int = 0


@message("startRuns")
@dataclass(slots=True)
class StartRuns:
    """Asks the agent to start runs of one step, each at once or not at all.

    :ivar expected_ms: How long the owner expects a run to take there.
    :ivar spread_limit: Tasks of the step on one worker at most; 0 for any number.
    :ivar sent_ms: When it was sent by the agent's clock, as the owner reckons.
    """

    sequence: int = 0
    job_id: str = ""
    occurrence: int = 0
    step: int = 0
    demand: Resources = NO_RESOURCES
    payload: str = ""
    expected_ms: int = 0
    spread_limit: int = 0
    runs: list[RunNumber] = field(default_factory=list)
    sent_ms: int = 0

    def run_ids(self) -> list[RunId]:
        """Return the runs that are to be started."""
        return [
            RunId(
                TaskId(self.job_id, self.occurrence, self.step, item.index),
                item.number,
            )
            for item in self.runs
        ]


@message("stopRuns")
@dataclass(slots=True)
class StopRuns:
    """Asks the agent to stop runs."""

    sequence: int = 0
    runs: list[RunId] = field(default_factory=list)


@message("renew")
@dataclass(slots=True)
class Renew:
    """Shows that the owner is alive; ``sent_ms`` is as in `StartRuns`."""

    sequence: int = 0
    sent_ms: int = 0


@message("workerState")
@dataclass(slots=True)
class WorkerState:
    """What an agent tells the owners of its worker.

    :ivar heard: The highest number of a message of this owner that the state takes
        into account.
    :ivar room: What is free for new runs.
    :ivar usable: Whether new runs may be started there.
    :ivar clock_ms: The agent's clock, which goes on while its machine is suspended.
    """

    heard: int = 0
    room: Resources = NO_RESOURCES
    usable: bool = False
    clock_ms: int = 0


class RunEventKind(IntEnum):
    """What an agent has to tell of a run.

    ``REFUSED`` means that the run has not been started and never will be.
    """

    REFUSED = 0
    ENDED = 1


@message("runEvent")
@dataclass(slots=True)
class RunEvent:
    """Tells the owner of a run what became of it."""

    run: RunId = NO_RUN
    kind: RunEventKind = RunEventKind.REFUSED
    end: RunEnd = RunEnd.DONE
    reason: str = ""
    run_ms: int = 0


@dataclass(slots=True)
class RunProgress:
    """How far a run is, in percent, after ``elapsed_ms``."""

    run: RunId = NO_RUN
    percent: int = 0
    elapsed_ms: int = 0


@message("progress")
@dataclass(slots=True)
class Progress:
    """Tells an owner how far its runs are that have been running for a while."""

    rows: list[RunProgress] = field(default_factory=list)


@message("dropJob")
@dataclass(slots=True)
class DropJob:
    """Tells an entry that the caller of a job has cancelled it."""

    job_id: str = ""
