"""Seeded open-loop loads and the ideal response time of their requests."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field


CLIENT_DELAY_S = 0.003
PEER_DELAY_S = 0.001
# Caller to entry to agent and back, the shortest way an answer can take.
IDEAL_NETWORK_S = 2 * (CLIENT_DELAY_S + PEER_DELAY_S)
SHORT_S = (0.05, 1.0)
URGENT_S = (0.05, 0.25)
LONG_S = (2.0, 5.0)
STRAGGLER_BASE_S = (0.1, 0.3)
STRAGGLER_FACTOR = (10, 30)
# Urgent calls are always short, as a call of several seconds cannot meet their
# deadline of 2 s. These shares of the other tasks make 3% and 0.5% of all tasks.
LONG_SHARE = 0.0332
STRAGGLER_SHARE = 0.0055
JOB_TASKS = (4, 40)
MEAN_SAMPLES = 20_000


@dataclass(slots=True, frozen=True)
class Kind:
    """One kind of request: its share of the requests, team and deadline."""

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


@dataclass(slots=True)
class Request:
    """One request. ``works_s`` holds the service time of each task at speed 1."""

    at_s: float
    kind: Kind
    works_s: list[float]
    has_long: bool = False
    started_s: float = 0.0
    response_s: float = 0.0
    ideal_s: float = 0.0
    error: str = ""
    attempts: int = 0
    runners: list[str] = field(default_factory=list)

    @property
    def ratio(self) -> float:
        """Response time / ideal."""
        return self.response_s / self.ideal_s

    @property
    def in_time(self) -> bool:
        """Whether the request was answered within its deadline."""
        return not self.error and self.response_s <= self.kind.deadline_s


def _log_uniform(rng: random.Random, bounds: tuple[float, float]) -> float:
    low, high = map(math.log, bounds)
    return math.exp(rng.uniform(low, high))


def draw_request(rng: random.Random, at_s: float, with_long: bool = True) -> Request:
    """Return a random request; without long work it is otherwise the same."""
    kind = rng.choices(KINDS, [kind.share for kind in KINDS])[0]
    if kind.category == "urgent":
        return Request(at_s, kind, [_log_uniform(rng, URGENT_S)])
    count = rng.randint(*JOB_TASKS) if kind.category == "job" else 1
    works_s, has_long = [], False
    for _ in range(count):
        short_s = _log_uniform(rng, SHORT_S)
        long_s = rng.uniform(*LONG_S)
        straggler_s = rng.uniform(*STRAGGLER_BASE_S) * rng.uniform(*STRAGGLER_FACTOR)
        draw = rng.random()
        is_long = draw < LONG_SHARE + STRAGGLER_SHARE
        has_long |= is_long
        if not is_long or not with_long:
            works_s.append(short_s)
        else:
            works_s.append(long_s if draw < LONG_SHARE else straggler_s)
    return Request(at_s, kind, works_s, has_long)


def mean_work_s(with_long: bool = True) -> float:
    """Return the mean service time of a request at speed 1."""
    rng = random.Random(0)
    draws = (draw_request(rng, 0.0, with_long) for _ in range(MEAN_SAMPLES))
    return sum(sum(request.works_s) for request in draws) / MEAN_SAMPLES


def make_load(
    seed: int,
    duration_s: float,
    load_at: Callable[[float], float],
    capacity: float,
    with_long: bool = True,
) -> list[Request]:
    """Return Poisson arrivals of ``duration_s`` seconds.

    :param load_at: The load by time, as a share of ``capacity``.
    :param capacity: Seconds of work at speed 1 that all slots do in a second.
    """
    rng = random.Random(seed)
    # Requests come from their own generator, so that the same seed gives the same
    # requests with and without long work.
    contents = random.Random(seed + 1)
    mean_s = mean_work_s()
    at_s, requests = 0.0, []
    while True:
        at_s += rng.expovariate(load_at(at_s) * capacity / mean_s)
        if at_s >= duration_s:
            return requests
        requests.append(draw_request(contents, at_s, with_long))


def ideal_s(request: Request, speeds: dict[str, float]) -> float:
    """Return the service time at the speeds of the runners used, plus network."""
    return IDEAL_NETWORK_S + max(
        work_s / speeds[runner]
        for work_s, runner in zip(request.works_s, request.runners, strict=True)
    )
