"""An entry's view of the workers, built from the messages of their agents."""

from msgspec import Struct, field

from marigoldkeel.fleet.messages import HeldRun, WorkerFacts, WorkerState
from marigoldkeel.fleet.work import NO_RESOURCES, Resources, RunId


class WorkerView(Struct):
    """One worker, as last described by its agent.

    :ivar name: The name of its agent.
    :ivar reported_free: The free capacity last reported by the agent, plus that of this
        entry's runs that have ended since.
    :ivar free: The reported free capacity minus the demand of the runs that the report
        does not include yet.
    :ivar acknowledged: The last sequence number that the agent's report includes.
    :ivar placed: This entry's runs on the worker, with the sequence number of the
        message that ordered each and its demand.
    """

    name: str
    facts: WorkerFacts | None = None
    reported_free: Resources = NO_RESOURCES
    free: Resources = NO_RESOURCES
    usable: bool = False
    connected: bool = False
    acknowledged: int = 0
    placed: dict[RunId, tuple[int, Resources]] = field(default_factory=dict)

    @property
    def ready(self) -> bool:
        """Whether runs may be sent to the worker."""
        return self.connected and self.usable and self.facts is not None

    @property
    def placed_cpu_milli(self) -> int:
        """The CPU demand of this entry's runs on the worker."""
        return sum(demand.cpu_milli for _, demand in self.placed.values())

    def place(self, run: RunId, sequence: int, demand: Resources) -> None:
        """Reserve capacity for a run that has just been ordered."""
        self.placed[run] = (sequence, demand)
        self.free = self.free - demand

    def release(self, run: RunId) -> None:
        """Free the capacity of a run that has ended or was refused."""
        sequence, demand = self.placed.pop(run, (0, NO_RESOURCES))
        self.free = self.free + demand
        if sequence <= self.acknowledged:
            self.reported_free = self.reported_free + demand

    def update(self, state: WorkerState) -> None:
        """Apply a newer state reported by the agent."""
        self.acknowledged = state.heard
        self.reported_free = self.free = state.room
        self.usable = state.usable
        for sequence, demand in self.placed.values():
            if sequence > state.heard:
                self.free = self.free - demand

    def restore(self, held: list[HeldRun], sequence: int) -> None:
        """Set the placed runs to those that this entry names when it reconnects."""
        self.placed = {item.run: (sequence, item.demand) for item in held}

    def disconnect(self) -> None:
        """Mark the worker as unusable after the connection to its agent was lost."""
        self.connected = False
        self.usable = False
        self.placed.clear()


class FleetView:
    """All workers known to an entry, by the name of their agent.

    :ivar described: The description of each worker in its agent's directory record;
        most of them belong to agents that this entry is not connected to.
    """

    def __init__(self):
        self.workers: dict[str, WorkerView] = {}
        self.described: dict[str, WorkerFacts] = {}

    def view(self, name: str) -> WorkerView:
        """Return the view of a worker, and create it if necessary."""
        if name not in self.workers:
            self.workers[name] = WorkerView(name)
        return self.workers[name]

    def remove(self, name: str) -> None:
        """Remove a worker that has left or was replaced."""
        self.workers.pop(name, None)

    def ready(self, service: str) -> list[WorkerView]:
        """Return the workers of a service to which runs may be sent."""
        return [
            view
            for view in self.workers.values()
            if view.ready and view.facts.service == service
        ]

    def services(self) -> list[str]:
        """Return the services of which a worker is known."""
        reported = [view.facts for view in self.workers.values()]
        known = [*self.described.values(), *filter(None, reported)]
        return sorted({facts.service for facts in known})

    def known(self, service: str) -> dict[str, WorkerFacts]:
        """Return the workers of a service, including unusable and unconnected ones.

        What an agent says on its own connection is newer than its directory record.
        """
        facts_by_name = self.described | {
            view.name: view.facts
            for view in self.workers.values()
            if view.facts is not None
        }
        return {
            name: facts
            for name, facts in facts_by_name.items()
            if facts.service == service
        }
