"""Messages between the owners of repeatable jobs and the agents of workers.

The owner numbers its messages to an agent. The agent's `WorkerState` acknowledges the
highest number received, so the owner knows which of its orders the state takes into
account and that the agent has renewed its lease.
"""

from enum import IntEnum

from msgspec import Struct, field

from marigoldkeel.fleet.work import NO_RESOURCES, Resources, RunEnd, RunId, TaskId
from marigoldkeel.messages import message
from marigoldkeel.models import Member


NO_RUN = RunId(TaskId("", 0, 0, 0), 0)
# Longest time that a field of a message can state.
MAX_FIELD_MS = 2**32 - 1


@message("announce")
class Announce(Struct):
    """Announces the sender to another daemon.

    :ivar is_agent: Whether the sender is an agent.
    :ivar digest: Hash of the set of agents that the sender knows.
    :ivar known: These agents; only sent to an entry whose digest differs.
    :ivar evacuation_revision: The revision of the evacuations that the sender knows; 0
        if it knows or follows none.
    """

    member: Member = field(default_factory=Member)
    is_agent: bool = False
    leaving: bool = False
    plan_version: int = 0
    digest: int = 0
    known: list[Member] = field(default_factory=list)
    evacuation_revision: int = 0


@message("workerFacts")
class WorkerFacts(Struct):
    """A worker's description of itself; sent to each owner when it changes.

    :ivar boot: Identifies one start of the worker; a higher value is later.
    :ivar leaves_in_ms: Minimum time until a leaving worker exits.
    :ivar cold_ms: How much longer the worker is slow after its start.
    """

    worker: str = ""
    boot: int = 0
    service: str = ""
    domain: str = ""
    labels: list[str] = field(default_factory=list)
    capacity: Resources = NO_RESOURCES
    leaving: bool = False
    leaves_in_ms: int = 0
    cold_ms: int = 0


class HeldRun(Struct):
    """A run that its owner believes to be on the agent's worker.

    :ivar caller_waits_ms: How much longer the caller waits at the time that ``sent_ms``
        of the `Attach` states; negative if it has timed out, 0 if it is not known.
    """

    run: RunId = NO_RUN
    demand: Resources = NO_RESOURCES
    caller_waits_ms: int = 0


@message("attach")
class Attach(Struct):
    """First message on a link: identifies the owner and lists its runs on the worker.

    :ivar facts: The facts of the worker that the owner received last. They let a
        restarted agent use the worker before the worker's next report.
    :ivar sent_ms: The agent's clock when the owner sent the last message that renews
        its lease: this one or, after a lost link, the last one on that link. 0 if the
        owner does not know the clock.
    :ivar agent: The name of the agent that the owner means to reach; empty for any.
    :ivar evacuation_revision: The revision of the evacuations that the owner knows; 0
        if it states none.
    :ivar evacuated: The evacuated domains as of that revision.
    """

    sequence: int = 0
    owner: Member = field(default_factory=Member)
    held: list[HeldRun] = field(default_factory=list)
    facts: WorkerFacts = field(default_factory=WorkerFacts)
    sent_ms: int = 0
    agent: str = ""
    evacuation_revision: int = 0
    evacuated: list[str] = field(default_factory=list)


class RunNumber(Struct):
    """Identifies one run of a task of the step in `StartRuns`."""

    index: int = 0
    number: int = 0


@message("startRuns")
class StartRuns(Struct):
    """Asks the agent to start runs of one step. It starts each immediately or refuses.

    :ivar expected_ms: The run time on this worker as estimated by the owner.
    :ivar spread_limit: Maximum number of tasks of the step on one worker; 0 for no
        limit.
    :ivar sent_ms: The owner's estimate of the agent's clock at the time of the facts
        that the order is based on; it may be sent later.
    :ivar caller_waits_ms: How much longer the caller waits at that time; 0 if it is not
        known.
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
    caller_waits_ms: int = 0

    def run_ids(self) -> list[RunId]:
        """Return the identifiers of the runs that are to be started."""
        return [
            RunId(
                TaskId(self.job_id, self.occurrence, self.step, item.index),
                item.number,
            )
            for item in self.runs
        ]


@message("stopRuns")
class StopRuns(Struct):
    """Asks the agent to stop runs; ``sent_ms`` is as in `StartRuns`.

    :ivar age_ms: How long before that time the owner may have had the reason to stop
        them, for example that the caller has left.
    """

    sequence: int = 0
    runs: list[RunId] = field(default_factory=list)
    sent_ms: int = 0
    age_ms: int = 0


@message("renew")
class Renew(Struct):
    """Renews the owner's lease; ``sent_ms`` is as in `StartRuns`.

    The evacuations are as in `Attach`, and only stated when they are news to the agent.
    """

    sequence: int = 0
    sent_ms: int = 0
    evacuation_revision: int = 0
    evacuated: list[str] = field(default_factory=list)


@message("workerState")
class WorkerState(Struct):
    """The state of an agent's worker, sent to one owner.

    :ivar heard: The highest sequence number of this owner's messages that the state
        takes into account.
    :ivar room: Capacity that is available for new runs.
    :ivar usable: Whether the agent accepts new runs.
    :ivar clock_ms: The agent's clock, which includes time in system suspend.
    """

    heard: int = 0
    room: Resources = NO_RESOURCES
    usable: bool = False
    clock_ms: int = 0


class RunEventKind(IntEnum):
    """Kind of a `RunEvent`.

    ``REFUSED`` means that the run was not started and never will be.
    """

    REFUSED = 0
    ENDED = 1


@message("runEvent")
class RunEvent(Struct):
    """Notifies the owner of a run that the run ended or was refused."""

    run: RunId = NO_RUN
    kind: RunEventKind = RunEventKind.REFUSED
    end: RunEnd = RunEnd.DONE
    reason: str = ""
    run_ms: int = 0


class RunProgress(Struct):
    """Progress of a run in percent, reached ``elapsed_ms`` after its start."""

    run: RunId = NO_RUN
    percent: int = 0
    elapsed_ms: int = 0


@message("progress")
class Progress(Struct):
    """Reports the progress of an owner's longer runs."""

    rows: list[RunProgress] = field(default_factory=list)


@message("dropJob")
class DropJob(Struct):
    """Notifies an entry that a job was cancelled; the reply is `Done`.

    An entry that stops hands its cancellations over to another one. Entries of earlier
    versions take such a message for an ordinary one.

    :ivar keep_ms: For how long the receiver sends the cancellation to the entries that
        it discovers; 0 if it is not handed over.
    :ivar forward: Whether the receiver also sends it to the entries that it knows.
    """

    job_id: str = ""
    keep_ms: int = 0
    forward: bool = False
