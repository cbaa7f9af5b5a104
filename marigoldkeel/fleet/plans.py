"""The operators' plan: the queues and the services whose workers run their tasks."""

from msgspec import Struct, field

from marigoldkeel.client_limits import DEFAULT_LIMITS, ClientLimits


class Advice(Struct, frozen=True):
    """Parameters of requests to a service that advises on the choice of workers.

    All times are in seconds.
    """

    decide_s: float
    per_worker_s: float
    valid_s: float


class Queue(Struct, frozen=True):
    """A queue for one kind of job.

    :ivar host: Host name to which callers send its requests.
    :ivar prefix: Path prefix of its requests.
    :ivar service: The service whose workers run its tasks.
    :ivar priority: 0 is the highest priority.
    :ivar max_attempts: Failed runs of one task after which its job has failed.
    :ivar stretch: The objective is this many times the expected length of the job's
        critical path, and ``allowance_s`` more.
    :ivar allowance_s: Constant part of the objective, in seconds.
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


class Service(Struct, frozen=True):
    """A pool of workers.

    :ivar enforces_capacity: Whether its workers refuse tasks that do not fit.
    :ivar standby: Whether its workers are switched off.
    """

    name: str
    enforces_capacity: bool = False
    standby: bool = False


class Plan(Struct):
    """One version of the operators' plan.

    :ivar limits: Limits on the requests of callers.
    :ivar queues_by_host: The queues by lower-case host, those with longer prefixes
        first.
    """

    version: int
    queues: list[Queue] = field(default_factory=list)
    services: list[Service] = field(default_factory=list)
    limits: ClientLimits = DEFAULT_LIMITS
    queues_by_host: dict[str, list[Queue]] = field(default_factory=dict)

    def __post_init__(self):
        for queue in sorted(self.queues, key=lambda queue: -len(queue.prefix)):
            self.queues_by_host.setdefault(queue.host.lower(), []).append(queue)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of the host with the longest prefix that matches a path.

        Host names are compared regardless of case (RFC 9110, section 4.2.3).
        """
        for queue in self.queues_by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        return None
