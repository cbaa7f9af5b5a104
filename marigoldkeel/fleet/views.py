"""An entry's view of the workers, built from the messages of their agents."""

from msgspec import Struct, field

from marigoldkeel.fleet.evacuations import EvacuatedDomains
from marigoldkeel.fleet.messages import HeldRun, WorkerFacts, WorkerState
from marigoldkeel.fleet.work import NO_RESOURCES, Resources, RunId


# Share of a worker's cores that is used when it returns cold. It grows to the whole
# until the worker is warm, so that few runs are slow.
COLD_SHARE = 0.25
# Assumed speed of a cold worker relative to its speed when it is warm. The platform
# states only how long it is slow, so the value is between no effect and a standstill.
COLD_SPEED = 0.5


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
    :ivar cold_s: How long the worker is slow after its start; 0 if it is warm.
    :ivar warm_at: When the worker is warm, on the clock of the scheduler.
    """

    name: str
    facts: WorkerFacts | None = None
    reported_free: Resources = NO_RESOURCES
    free: Resources = NO_RESOURCES
    usable: bool = False
    connected: bool = False
    acknowledged: int = 0
    placed: dict[RunId, tuple[int, Resources]] = field(default_factory=dict)
    cold_s: float = 0.0
    warm_at: float = float("-inf")

    @property
    def ready(self) -> bool:
        """Whether runs may be sent to the worker."""
        return self.connected and self.usable and self.facts is not None

    @property
    def placed_cpu_milli(self) -> int:
        """The CPU demand of this entry's runs on the worker."""
        return sum(demand.cpu_milli for _, demand in self.placed.values())

    def describe(
        self, facts: WorkerFacts, now: float, counts_cold: bool = True
    ) -> None:
        """Apply the worker's newer description of itself.

        :param counts_cold: Whether a cold worker is used by degrees.
        """
        cold_left_s = facts.cold_ms / 1000 if counts_cold else 0.0
        if self.facts is None or self.facts.boot != facts.boot or not cold_left_s:
            self.cold_s = 0.0
        self.facts = facts
        self.cold_s = max(self.cold_s, cold_left_s)
        self.warm_at = now + cold_left_s

    def is_cold(self, now: float) -> bool:
        """Return whether the worker is still slow after its start."""
        return now < self.warm_at

    def coldness(self, now: float) -> float:
        """Return the part of its cold time that a worker has left: 1 to 0."""
        if not self.is_cold(now):
            return 0.0
        return min(1.0, (self.warm_at - now) / self.cold_s)

    def held_back_milli(self, now: float) -> int:
        """Return the CPU capacity that is not used yet because the worker is cold."""
        held_back = (1 - COLD_SHARE) * self.coldness(now)
        return round(held_back * self.facts.capacity.cpu_milli)

    def speed_factor(self, now: float) -> float:
        """Return the worker's assumed speed relative to its speed when it is warm."""
        return 1 - (1 - COLD_SPEED) * self.coldness(now)

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


def has_warm(views: list[WorkerView], now: float) -> bool:
    """Return whether a worker is warm.

    If none is, as after a loss of power, holding back capacity would only delay jobs.
    """
    return not all(view.is_cold(now) for view in views)


class FleetView:
    """All workers known to an entry, by the name of their agent.

    :ivar described: The description of each worker in its agent's directory record;
        most of them belong to agents that this entry is not connected to.
    :ivar agent_domains: The failure domain of each known agent.
    """

    def __init__(self, evacuations: EvacuatedDomains | None = None):
        self.evacuations = evacuations or EvacuatedDomains()
        self.agent_domains: dict[str, str] = {}
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

    def is_evacuated(self, name: str) -> bool:
        """Return whether a worker's failure domain is evacuated.

        The domain is the one that either the worker or its agent states.
        """
        evacuated = self.evacuations.since
        if not evacuated:
            return False
        if self.agent_domains.get(name) in evacuated:
            return True
        view = self.workers.get(name)
        return (
            view is not None
            and view.facts is not None
            and (view.facts.domain in evacuated)
        )

    def evacuated(self) -> list[WorkerView]:
        """Return the workers on which no run may start."""
        return [view for view in self.workers.values() if self.is_evacuated(view.name)]

    def runs_by_evacuated_domain(self) -> dict[str, int]:
        """Return how many runs of this entry go on in each evacuated domain."""
        runs = dict.fromkeys(self.evacuations.domains, 0)
        for view in self.evacuated():
            domain = self.agent_domains.get(view.name)
            if domain not in runs:
                domain = view.facts.domain
            runs[domain] += len(view.placed)
        return runs

    def ready(self, service: str) -> list[WorkerView]:
        """Return the workers of a service to which runs may be sent."""
        has_evacuated = bool(self.evacuations.since)
        return [
            view
            for view in self.workers.values()
            if view.ready
            and view.facts.service == service
            and not (has_evacuated and self.is_evacuated(view.name))
        ]

    def services(self) -> list[str]:
        """Return the services of which a worker is known."""
        reported = [view.facts for view in self.workers.values()]
        known = [*self.described.values(), *filter(None, reported)]
        return sorted({facts.service for facts in known})

    def known(self, service: str) -> dict[str, WorkerFacts]:
        """Return the workers of a service, including unusable and unconnected ones.

        Those of evacuated domains are left out.

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
            if facts.service == service and not self.is_evacuated(name)
        }
