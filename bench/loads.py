"""Generates seeded open-loop loads and the ideal response times of their requests."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field


CLIENT_DELAY_S = 0.003
PEER_DELAY_S = 0.001
# Round trip from the caller through an entry to an agent, the minimum for a response.
IDEAL_NETWORK_S = 2 * (CLIENT_DELAY_S + PEER_DELAY_S)
SHORT_TASK_S = (0.05, 1.0)
LONG_TASK_S = (2.0, 5.0)
STRAGGLER_BASE_S = (0.1, 0.3)
STRAGGLER_FACTOR = (10, 30)
# Urgent calls are always short, since a call of several seconds cannot meet their
# deadline of 2 s. Long tasks and stragglers are therefore drawn from the other tasks
# only; these shares of them are 3% and 0.5% of all tasks.
URGENT_TASK_S = (0.05, 0.25)
LONG_TASK_SHARE = 0.0332
STRAGGLER_SHARE = 0.0055
TASKS_PER_JOB = (4, 40)
MEAN_SAMPLES = 20_000


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request, with its share of all requests, its team and its deadline."""

    name: str
    category: str
    team: str
    share: float
    deadline_s: float


KINDS = (
    Kind("stock-check", "urgent", "brusadelli", 0.35, 2.0),
    Kind("flag-change", "urgent", "gulfline", 0.10, 2.0),
    Kind("surf-alert", "urgent", "gulfline", 0.05, 5.0),
    Kind("quote", "normal", "brusadelli", 0.20, 30.0),
    Kind("swap", "normal", "gulfline", 0.10, 30.0),
    Kind("cut-list", "job", "brusadelli", 0.20, 60.0),
)
CATEGORIES = ("urgent", "normal", "job")


@dataclass(slots=True)
class Request:
    """A request and its outcome.

    :ivar service_times_s: Service time of each task at speed 1.
    :ivar error: Class name of the error, or a note that there was no answer. Empty if
        the request was answered.
    """

    arrival_s: float
    kind: Kind
    service_times_s: list[float]
    has_long_task: bool = False
    response_s: float = 0.0
    ideal_s: float = 1.0
    error: str = "no answer before the phase ended"
    runners: list[str] = field(default_factory=list)

    @property
    def in_time(self) -> bool:
        """Whether the request was answered before its deadline."""
        return not self.error and self.response_s <= self.kind.deadline_s

    def set_ideal_time(self, speeds: dict[str, float]) -> None:
        """Set the ideal response time.

        This is the network round trip plus the longest service time of a task at the
        speed of the runner that executed it.
        """
        pairs = zip(self.service_times_s, self.runners, strict=True)
        slowest_s = max(
            service_time_s / speeds[runner] for service_time_s, runner in pairs
        )
        self.ideal_s = IDEAL_NETWORK_S + slowest_s


def _log_uniform(rng: random.Random, bounds: tuple[float, float]) -> float:
    return math.exp(rng.uniform(*map(math.log, bounds)))


def draw_request(
    rng: random.Random, arrival_s: float, with_long_tasks: bool = True
) -> Request:
    """Return a random request.

    If ``with_long_tasks`` is false, each long task or straggler is replaced by a short
    task and all else is the same.
    """
    kind = rng.choices(KINDS, [kind.share for kind in KINDS])[0]
    if kind.category == "urgent":
        return Request(arrival_s, kind, [_log_uniform(rng, URGENT_TASK_S)])
    request = Request(arrival_s, kind, [])
    for _ in range(rng.randint(*TASKS_PER_JOB) if kind.category == "job" else 1):
        service_time_s = _log_uniform(rng, SHORT_TASK_S)
        long_s = rng.uniform(*LONG_TASK_S)
        straggler_s = rng.uniform(*STRAGGLER_BASE_S) * rng.uniform(*STRAGGLER_FACTOR)
        draw = rng.random()
        if draw < LONG_TASK_SHARE + STRAGGLER_SHARE:
            request.has_long_task = True
            if with_long_tasks:
                service_time_s = long_s if draw < LONG_TASK_SHARE else straggler_s
        request.service_times_s.append(service_time_s)
    return request


def make_load(
    seed: int,
    duration_s: float,
    load_at: Callable[[float], float],
    capacity: float,
    with_long_tasks: bool = True,
) -> list[Request]:
    """Return requests with Poisson arrivals over ``duration_s`` seconds.

    :param load_at: Returns the load at a time, as a fraction of ``capacity``.
    :param capacity: Service time at speed 1 that all slots complete per second.
    """
    sample_rng = random.Random(0)
    sample_requests = (draw_request(sample_rng, 0.0) for _ in range(MEAN_SAMPLES))
    mean_s = (
        sum(sum(request.service_times_s) for request in sample_requests) / MEAN_SAMPLES
    )
    # The contents of the requests have a separate generator, so that they are the same
    # at every load although the arrival times differ.
    arrival_rng, request_rng = random.Random(seed), random.Random(seed + 1)
    arrival_s, requests = 0.0, []
    while True:
        arrival_s += arrival_rng.expovariate(load_at(arrival_s) * capacity / mean_s)
        if arrival_s >= duration_s:
            return requests
        requests.append(draw_request(request_rng, arrival_s, with_long_tasks))
