"""The operators' plan: which queues exist and which workers serve them."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Advice:
    """How a service that advises on workers is to be asked. Times in seconds."""

    decide_s: float
    per_worker_s: float
    valid_s: float


@dataclass(slots=True, frozen=True)
class Queue:
    """One kind of job.

    :ivar host: Name under which callers ask for it.
    :ivar prefix: Path under which callers ask for it.
    :ivar service: The service whose workers run its tasks.
    :ivar priority: 0 goes first.
    :ivar max_attempts: Failed runs of one task after which its job has failed.
    :ivar stretch: The objective is this many times the job's work, and
        ``allowance_s`` more.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    allowance_s: float = 0.0
    timeout_s: float = 0.0
    advice: Advice | None = None


@dataclass(slots=True, frozen=True)
class Service:
    """A pool of workers.

    :ivar enforces_capacity: Whether its workers refuse what does not fit.
    :ivar standby: Whether its workers are off.
    """

    name: str
    enforces_capacity: bool = False
    standby: bool = False


@dataclass(slots=True)
class Plan:
    """One version of the operators' plan."""

    version: int
    queues: list[Queue] = field(default_factory=list)
    services: list[Service] = field(default_factory=list)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of a request: that of its host with the longest prefix."""
        matches = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)
