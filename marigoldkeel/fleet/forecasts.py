"""How long jobs will run and how fast each worker is, learned from their runs.

A worker runs every task by the same factor faster or slower than the mean of the
fleet. Tasks of one step differ little in their work, so two of them on different
workers tell of the workers' speeds.

Callers give two hints of a job's length: an estimate, which is often off by half, and
how long they wait for the answer. How far off each is, is learned for each queue, and
the better one counts more.
"""

import math
from dataclasses import dataclass, field


# Weight of one comparison of two tasks of a step: about ten fill a worker's speed.
SIBLING_WEIGHT = 0.1
# Weight of one run that has only the job's forecast to compare with.
FORECAST_WEIGHT = 0.015
# A run that is this many times off its siblings tells of a change of the worker, and
# counts more.
OUTLIER_LOG_RATIO = math.log(2.5)
OUTLIER_WEIGHT = 0.25
# Weight of one job in what is learned of a hint, once some have been seen.
HINT_WEIGHT = 0.03
# Before that a hint is taken to be off by a factor of e, up or down.
INITIAL_VARIANCE = 1.0
# No hint is trusted beyond this, as the tasks of a job differ too.
MIN_VARIANCE = 0.01
MIN_RUN_S = 0.001
# Bounds of what one run can say, as a factor.
MAX_FACTOR = 20.0
# Used for a queue of which nothing is known and whose callers say nothing.
DEFAULT_CRITICAL_PATH_S = 0.3


@dataclass(slots=True)
class Sample:
    """The run time of one task at a worker, ended or foreseen from its progress."""

    worker: str
    run_s: float


@dataclass(slots=True)
class HintAccuracy:
    """What is known of one kind of hint of one queue.

    ``bias`` is the mean of the logarithm of the true length over the hint.
    """

    seen: int = 0
    bias: float = 0.0
    variance: float = INITIAL_VARIANCE

    def learn(self, hint_s: float, actual_s: float) -> None:
        """Take the true length of one job."""
        log_error = math.log(actual_s / hint_s) - self.bias
        limit = math.log(MAX_FACTOR)
        if self.seen:
            log_error = max(-limit, min(limit, log_error))
        self.seen += 1
        weight = max(HINT_WEIGHT, 1 / self.seen)
        self.bias += weight * log_error
        if self.seen > 1:
            self.variance += max(HINT_WEIGHT, 1 / (self.seen + 1)) * (
                log_error * log_error - self.variance
            )


@dataclass(slots=True)
class Forecaster:
    """Learned run times.

    :ivar log_slowdown: For each worker the logarithm of its run time over that of the
        fleet's mean.
    :ivar hints: What is known of the hints, by queue and position.
    """

    log_slowdown: dict[str, float] = field(default_factory=dict)
    hints: dict[tuple[str, int], HintAccuracy] = field(default_factory=dict)

    def critical_path_s(self, queue: str, hints_s: list[float]) -> float:
        """Return the length of a job at the mean speed.

        :param hints_s: The callers' hints in seconds; 0 where there is none.
        """
        total = weights = 0.0
        for position, hint_s in enumerate(hints_s):
            if hint_s <= 0:
                continue
            record = self.hints.get((queue, position), HintAccuracy())
            # A hint that is not the caller's own measure means nothing until it has
            # been seen to.
            if position and not record.seen:
                continue
            weight = 1 / max(MIN_VARIANCE, record.variance)
            total += weight * (math.log(hint_s) + record.bias)
            weights += weight
        return math.exp(total / weights) if weights else DEFAULT_CRITICAL_PATH_S

    def learn_critical_path(
        self, queue: str, hints_s: list[float], actual_s: float
    ) -> None:
        """Take the length of a job that is done, at the mean speed."""
        for position, hint_s in enumerate(hints_s):
            if hint_s > 0:
                record = self.hints.setdefault((queue, position), HintAccuracy())
                record.learn(hint_s, max(MIN_RUN_S, actual_s))

    def speed(self, worker: str) -> float:
        """Return a worker's speed; the mean of the fleet is 1."""
        return math.exp(-self.log_slowdown.get(worker, 0.0))

    @property
    def max_speed(self) -> float:
        """The speed of the fastest worker."""
        return math.exp(-min(self.log_slowdown.values(), default=0.0))

    def work_s(self, sample: Sample) -> float:
        """Return what a run would have taken at the mean speed."""
        return max(MIN_RUN_S, sample.run_s) * self.speed(sample.worker)

    def learn_speed(
        self, sample: Sample, siblings: list[Sample], forecast_s: float
    ) -> None:
        """Learn a worker's speed from a run.

        :param siblings: Runs of other tasks of the same step.
        :param forecast_s: What the run would take at the mean speed, as forecast.
        """
        self._adjust(
            sample.worker, self._log_error(forecast_s, sample), FORECAST_WEIGHT
        )
        others = [item for item in siblings if item.worker != sample.worker]
        if others:
            logs = [math.log(self.work_s(item)) for item in others]
            log_error = self._log_error(math.exp(sum(logs) / len(logs)), sample)
            weight = (
                OUTLIER_WEIGHT if abs(log_error) > OUTLIER_LOG_RATIO else SIBLING_WEIGHT
            )
            self._adjust(sample.worker, log_error, weight)
            for item in others:
                self._adjust(item.worker, -log_error / len(others), SIBLING_WEIGHT)
        self._normalize()

    def forget(self, worker: str) -> None:
        """Forget a worker that has left or was replaced."""
        self.log_slowdown.pop(worker, None)

    def _log_error(self, expected_s: float, sample: Sample) -> float:
        limit = math.log(MAX_FACTOR)
        log_error = math.log(self.work_s(sample) / max(MIN_RUN_S, expected_s))
        return max(-limit, min(limit, log_error))

    def _adjust(self, worker: str, log_error: float, weight: float) -> None:
        self.log_slowdown[worker] = (
            self.log_slowdown.get(worker, 0.0) + weight * log_error
        )

    def _normalize(self) -> None:
        """Keep the mean speed at 1; a common factor belongs to the hints."""
        mean = sum(self.log_slowdown.values()) / len(self.log_slowdown)
        for worker in self.log_slowdown:
            self.log_slowdown[worker] -= mean
