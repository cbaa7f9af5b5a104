"""How long tasks will run and how fast each worker is, learned from their runs.

A worker runs every task by the same factor faster or slower than the mean of the
fleet. Tasks of one step differ little in their work, so two of them on different
workers tell of the workers' speeds; the caller's estimate, which is often off by half,
tells little. What the estimates of one queue have in common is learned as well.
"""

import math
from dataclasses import dataclass, field


# Weight of one comparison of two tasks of a step: about ten fill a worker's speed.
SIBLING_WEIGHT = 0.1
# Weight of one run that has only the estimate to compare with.
ESTIMATE_WEIGHT = 0.015
QUEUE_WEIGHT = 0.03
# A run that is this many times off what is expected tells of a change of the worker,
# and counts more.
SURPRISE = math.log(2.5)
SURPRISE_WEIGHT = 0.25
MIN_RUN_S = 0.001
# Bounds of what one run can say, as a factor.
MAX_FACTOR = 20.0
DEFAULT_TASK_S = 0.3


@dataclass(slots=True)
class Sample:
    """The run time of one task at a worker, ended or foreseen from its progress."""

    worker: str
    run_s: float


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
        return max(MIN_RUN_S, base_s) * math.exp(self.bias.get(queue, 0.0))

    def speed(self, worker: str) -> float:
        """Return a worker's speed; the mean of the fleet is 1."""
        return math.exp(-self.slowness.get(worker, 0.0))

    @property
    def fastest(self) -> float:
        """The speed of the fastest worker."""
        return math.exp(-min(self.slowness.values(), default=0.0))

    def work_s(self, sample: Sample) -> float:
        """Return what a run would have taken at the mean speed."""
        return max(MIN_RUN_S, sample.run_s) * self.speed(sample.worker)

    def record(self, queue: str, estimate_s: float, sample: Sample) -> None:
        """Compare a run with the caller's estimate."""
        off = self._off(self.task_s(queue, estimate_s), sample)
        self._shift(sample.worker, off, ESTIMATE_WEIGHT)
        if abs(off) <= SURPRISE:
            self.bias[queue] = self.bias.get(queue, 0.0) + QUEUE_WEIGHT * off
        self._centre()

    def compare(self, sample: Sample, siblings: list[Sample]) -> None:
        """Compare a run with those of other tasks of its step on other workers."""
        others = [item for item in siblings if item.worker != sample.worker]
        if not others:
            return
        logs = [math.log(self.work_s(item)) for item in others]
        off = self._off(math.exp(sum(logs) / len(logs)), sample)
        weight = SURPRISE_WEIGHT if abs(off) > SURPRISE else SIBLING_WEIGHT
        self._shift(sample.worker, off, weight)
        for item in others:
            self._shift(item.worker, -off / len(others), SIBLING_WEIGHT)
        self._centre()

    def forget(self, worker: str) -> None:
        """Forget a worker that has left or was replaced."""
        self.slowness.pop(worker, None)

    def _off(self, expected_s: float, sample: Sample) -> float:
        limit = math.log(MAX_FACTOR)
        off = math.log(self.work_s(sample) / expected_s)
        return max(-limit, min(limit, off))

    def _shift(self, worker: str, off: float, weight: float) -> None:
        self.slowness[worker] = self.slowness.get(worker, 0.0) + weight * off

    def _centre(self) -> None:
        """Keep the mean speed at 1; a common factor belongs to the queues."""
        mean = sum(self.slowness.values()) / len(self.slowness)
        for worker in self.slowness:
            self.slowness[worker] -= mean
        for queue in self.bias:
            self.bias[queue] += mean
