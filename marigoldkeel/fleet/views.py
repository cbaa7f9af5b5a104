"""An entry's picture of the workers, pieced together from what their agents tell."""

from dataclasses import dataclass, field

from marigoldkeel.fleet.messages import HeldRun, WorkerFacts, WorkerState
from marigoldkeel.fleet.work import NO_RESOURCES, Resources, RunId


@dataclass(slots=True)
class WorkerView:
    """One worker as its agent last described it.

    :ivar name: The name of its agent.
    :ivar reported_free: What was free when the agent last said so, and what this
        entry's runs that have ended since have given back.
    :ivar free: What is left of it after the orders that it does not take into account.
    :ivar placed: This entry's runs there, with the number of the order of each.
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
        """Whether runs may be sent there."""
        return self.connected and self.usable and self.facts is not None

    def place(self, run: RunId, sequence: int, demand: Resources) -> None:
        """Count a run that has just been ordered."""
        self.placed[run] = (sequence, demand)
        self.free = self.free - demand

    def release(self, run: RunId) -> None:
        """Count a run no more that has ended or was refused."""
        sequence, demand = self.placed.pop(run, (0, NO_RESOURCES))
        self.free = self.free + demand
        if sequence <= self.acknowledged:
            self.reported_free = self.reported_free + demand

    def update(self, state: WorkerState) -> None:
        """Take a newer state."""
        self.acknowledged = state.heard
        self.reported_free = self.free = state.room
        self.usable = state.usable
        for sequence, demand in self.placed.values():
            if sequence > state.heard:
                self.free = self.free - demand

    def restore(self, held: list[HeldRun], sequence: int) -> None:
        """Count the runs that a new connection's first message names."""
        self.placed = {item.run: (sequence, item.demand) for item in held}

    def disconnect(self) -> None:
        """Note that nothing is known of it any more."""
        self.connected = False
        self.usable = False
        self.placed.clear()


class FleetView:
    """All workers that an entry knows of, by the name of their agent."""

    def __init__(self):
        self.workers: dict[str, WorkerView] = {}

    def view(self, name: str) -> WorkerView:
        """Return the view of a worker, which is made if it is new."""
        if name not in self.workers:
            self.workers[name] = WorkerView(name)
        return self.workers[name]

    def remove(self, name: str) -> None:
        """Forget a worker."""
        self.workers.pop(name, None)

    def ready(self, service: str) -> list[WorkerView]:
        """Return the workers of a service that runs may be sent to."""
        return [
            view
            for view in self.workers.values()
            if view.ready and view.facts.service == service
        ]

    def known(self, service: str) -> list[WorkerView]:
        """Return the workers of a service, also those that are not usable now."""
        return [
            view
            for view in self.workers.values()
            if view.facts is not None and view.facts.service == service
        ]
