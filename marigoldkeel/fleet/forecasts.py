"""How long tasks will run and how fast each worker is, learned from ended runs.

The caller's estimate of a run time is off by a factor that is alike for the jobs of
one queue, and a worker runs every task by the same factor faster or slower than the
mean of the fleet. Both factors are learned from the runs that are done and from the
progress of those that still run.
"""

import math
from dataclasses import dataclass, field


# Weight of one run in the mean of a worker. About 25 runs fill it, a few seconds of
# load, so that a worker that has turned slow is known soon.
WORKER_WEIGHT = 0.08
# A run that is this many times off what is expected tells more of a change of the
# worker than the mean does, and counts more.
SURPRISE = math.log(2.5)
SURPRISE_WEIGHT = 0.3
QUEUE_WEIGHT = 0.03
MIN_ESTIMATE_S = 0.001
# Bounds of what one run can say, as a factor.
MAX_FACTOR = 20.0
DEFAULT_TASK_S = 0.3


@dataclass(slots=True)
class Forecaster:
    """Learned run times.

    :ivar slowness: For each worker the logarithm of its run time over that of the
        fleet's mean.
    :ivar bias: For each queue the logarithm of the run time over the estimate.
    """

    slowness: dict[str, float] = field(default_factory=dict)
    bias: dict[str, float] = field(default_factory=dict)

    def task_s(self, queue: str, estimate_s: float) -> float:
        """Return the run time of a task on a worker of the mean speed."""
        base_s = estimate_s if estimate_s > 0 else DEFAULT_TASK_S
        return max(MIN_ESTIMATE_S, base_s) * math.exp(self.bias.get(queue, 0.0))

    def speed(self, worker: str) -> float:
        """Return a worker's speed; the mean of the fleet is 1."""
        return math.exp(-self.slowness.get(worker, 0.0))

    def record(self, worker: str, queue: str, estimate_s: float, run_s: float) -> None:
        """Take the run time of one task, ended or foreseen from its progress."""
        expected_s = self.task_s(queue, estimate_s) / self.speed(worker)
        limit = math.log(MAX_FACTOR)
        off = math.log(max(run_s, MIN_ESTIMATE_S) / expected_s)
        off = max(-limit, min(limit, off))
        weight = SURPRISE_WEIGHT if abs(off) > SURPRISE else WORKER_WEIGHT
        self.slowness[worker] = self.slowness.get(worker, 0.0) + weight * off
        if abs(off) <= SURPRISE:
            self.bias[queue] = self.bias.get(queue, 0.0) + QUEUE_WEIGHT * off
        self._centre()

    def forget(self, worker: str) -> None:
        """Forget a worker that has left or was replaced."""
        self.slowness.pop(worker, None)

    def _centre(self) -> None:
        """Keep the mean speed at 1; a common factor belongs to the queues."""
        mean = sum(self.slowness.values()) / len(self.slowness)
        for worker in self.slowness:
            self.slowness[worker] -= mean
        for queue in self.bias:
            self.bias[queue] += mean
